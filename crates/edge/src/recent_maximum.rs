//! Maximum of recent values.

use burdockcleat_core::clock::ClockTime;

/// Length of a recording period, in ms. A value counts until the end of the following period.
const PERIOD_MS: u64 = 20_000;

/// Largest value of the current and the previous recording period.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentMaximum {
    current: u64,
    previous: u64,
    since: ClockTime,
}

impl RecentMaximum {
    /// Records a value.
    pub(crate) fn record(&mut self, value: u64, now: ClockTime) {
        if now.since(self.since) >= PERIOD_MS {
            self.previous = self.current;
            self.current = 0;
            self.since = now;
        }
        self.current = self.current.max(value);
    }

    /// Records a value that was known before this node started.
    pub(crate) fn restore(&mut self, value: u64, now: ClockTime) {
        if self.current == 0 {
            self.since = now;
        }
        self.current = self.current.max(value);
    }

    /// Returns the largest recent value, or 0 if there is none.
    pub(crate) fn get(&self) -> u64 {
        self.current.max(self.previous)
    }
}
