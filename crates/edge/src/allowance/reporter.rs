//! Usage of one workspace by the process of another node, as reported.

use super::window::{WindowSum, bin_number};
use super::{AllowanceRule, AllowanceUsage};
use burdockcleat_core::clock::ClockTime;

/// Change between two reports of a process.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsageChange {
    pub(super) used: f64,
    pub(super) pending: f64,
}

/// Last report of a process and what it is expected to use until the next one.
#[derive(Clone, Debug)]
pub(super) struct UsageReporter {
    pub(super) usage: AllowanceUsage,
    /// Whether the node admits only its guaranteed part.
    pub(super) restricted: bool,
    reported_at: ClockTime,
    /// Rate between the last two reports, including reservations, per ms.
    last_rate: f64,
    /// Reported usage within the window.
    window: WindowSum,
}

impl UsageReporter {
    pub(super) fn new(usage: AllowanceUsage, now: ClockTime) -> Self {
        let window = WindowSum::default();
        Self { usage, restricted: false, reported_at: now, last_rate: 0.0, window }
    }

    /// Applies the next report. Returns the change since the last one.
    pub(super) fn update(
        &mut self,
        usage: AllowanceUsage,
        restricted: bool,
        rule: &AllowanceRule,
        now: ClockTime,
    ) -> UsageChange {
        let used = usage.used.saturating_sub(self.usage.used) as f64;
        let pending = usage.pending as f64 - self.usage.pending as f64;
        let age_ms = self.age_ms(now) as f64;
        if age_ms > 0.0 {
            self.last_rate = (used + pending).max(0.0) / age_ms;
        }
        if used > 0.0 {
            self.window.add(used, bin_number(rule, now));
        }
        (self.usage, self.restricted, self.reported_at) = (usage, restricted, now);
        UsageChange { used, pending }
    }

    /// Removes usage that has left the window.
    pub(super) fn expire(&mut self, rule: &AllowanceRule, now: ClockTime) {
        self.window.expire(rule, now);
    }

    /// Returns the time since the last report, in ms.
    pub(super) fn age_ms(&self, now: ClockTime) -> u64 {
        now.since(self.reported_at)
    }

    /// Returns the amount that the process may have used because its next report is overdue.
    pub(super) fn overdue(
        &self,
        report_interval_ms: u64,
        rule: &AllowanceRule,
        now: ClockTime,
    ) -> f64 {
        self.rate(rule) * self.age_ms(now).saturating_sub(report_interval_ms) as f64
    }

    /// Returns the amount within the window that the process may use without being heard, if it
    /// keeps to its guaranteed part from `unheard_ms` after its last report on.
    pub(super) fn unreported(
        &self,
        guaranteed: f64,
        unheard_ms: u64,
        rule: &AllowanceRule,
        now: ClockTime,
    ) -> f64 {
        let in_window = self.age_ms(now) < rule.window_ms;
        let before = if in_window { self.rate(rule) * unheard_ms as f64 } else { 0.0 };
        before.max(guaranteed - self.window.sum)
    }

    /// Returns the rate between the last two reports, including reservations, per ms.
    pub(super) const fn last_rate(&self) -> f64 {
        self.last_rate
    }

    /// Returns the expected rate per ms. A rate that is limited by the window returns to its mean.
    fn rate(&self, rule: &AllowanceRule) -> f64 {
        self.last_rate.max(self.window.sum / rule.window_ms as f64)
    }
}
