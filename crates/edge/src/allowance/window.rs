//! Sliding window of one workspace.

use super::AllowanceRule;
use burdockcleat_core::clock::ClockTime;
use std::collections::VecDeque;

/// Fraction of the limit that is handed out. The rest covers rates that grow between two reports.
const USABLE_FRACTION: f64 = 0.87;
/// Length of the bins in which usage expires from the window, in ms.
pub(super) const BIN_MS: u64 = 250;

/// Bin numbers and the amounts used in them, oldest first.
pub(super) type UsageBins = VecDeque<(u64, f64)>;

/// Amounts within a sliding window.
#[derive(Clone, Debug, Default)]
pub(super) struct WindowSum {
    pub(super) bins: UsageBins,
    pub(super) sum: f64,
}

#[derive(Debug)]
pub(super) struct WorkspaceWindow {
    pub(super) rate_per_s: f64,
    pub(super) burst: f64,
    /// Used by all nodes.
    pub(super) all: WindowSum,
    /// Used by this process.
    pub(super) own: WindowSum,
    /// Reserved by this node for requests that are not sent yet.
    pub(super) pending: u64,
    /// Used by this node since its start.
    pub(super) used: u64,
    /// Used by all nodes since the usage was stored.
    pub(super) unsaved: f64,
}

/// Returns the number of the bin that contains `now`. The clock starts with the process, so bins
/// are counted from one window before that.
pub(super) fn bin_number(rule: &AllowanceRule, now: ClockTime) -> u64 {
    (now.as_ms() + rule.window_ms) / BIN_MS
}

/// Returns the number of the bin that contains the time `age_ms` before `now`. `None` if that time
/// is outside the window.
pub(super) fn bin_number_before(rule: &AllowanceRule, now: ClockTime, age_ms: u64) -> Option<u64> {
    (age_ms <= rule.window_ms).then(|| (now.as_ms() + rule.window_ms - age_ms) / BIN_MS)
}

impl WindowSum {
    pub(super) fn new(bins: UsageBins) -> Self {
        Self { sum: bins.iter().map(|(_, amount)| amount).sum(), bins }
    }

    pub(super) fn add(&mut self, amount: f64, bin: u64) {
        self.sum += amount;
        match self.bins.back_mut() {
            Some((last, sum)) if *last == bin => *sum += amount,
            _ => self.bins.push_back((bin, amount)),
        }
    }

    pub(super) fn expire(&mut self, rule: &AllowanceRule, now: ClockTime) {
        let window_bins = rule.window_ms / BIN_MS + 1;
        let now_bin = bin_number(rule, now);
        while let Some((bin, amount)) = self.bins.front()
            && bin + window_bins <= now_bin
        {
            self.sum -= amount;
            self.bins.pop_front();
        }
        if self.bins.is_empty() {
            self.sum = 0.0;
        }
    }

    /// Returns the time until `excess` has expired from the window, in ms.
    pub(super) fn wait_ms(&self, excess: f64, rule: &AllowanceRule, now: ClockTime) -> u64 {
        let mut left = excess;
        for (bin, amount) in &self.bins {
            left -= amount;
            if left <= 0.0 {
                let leaves = (bin + 1) * BIN_MS;
                return leaves.saturating_sub(now.as_ms()).max(BIN_MS);
            }
        }
        rule.window_ms
    }
}

impl WorkspaceWindow {
    pub(super) fn new(rate_per_s: f64, burst: f64) -> Self {
        Self {
            rate_per_s,
            burst,
            all: WindowSum::default(),
            own: WindowSum::default(),
            pending: 0,
            used: 0,
            unsaved: 0.0,
        }
    }

    /// Returns the amount that all nodes together may use within the window.
    pub(super) fn limit(&self, rule: &AllowanceRule) -> f64 {
        let seconds = rule.window_ms as f64 / 1_000.0;
        let agreed = self.rate_per_s * seconds + self.burst;
        (agreed * (1.0 + rule.overshoot) + rule.tolerance) * USABLE_FRACTION
    }

    /// Adds an amount that any node has used.
    pub(super) fn add(&mut self, amount: f64, rule: &AllowanceRule, now: ClockTime) {
        self.unsaved += amount;
        self.all.add(amount, bin_number(rule, now));
    }

    /// Adds an amount that this process has used.
    pub(super) fn add_own(&mut self, amount: u64, rule: &AllowanceRule, now: ClockTime) {
        self.add(amount as f64, rule, now);
        self.own.add(amount as f64, bin_number(rule, now));
        self.used += amount;
    }

    /// Spreads an amount evenly over the window that ends at `now`.
    pub(super) fn fill(&mut self, amount: f64, rule: &AllowanceRule, now: ClockTime) {
        let steps = (rule.window_ms / BIN_MS).max(1);
        let last = bin_number(rule, now);
        for bin in last.saturating_sub(steps) + 1..=last {
            self.all.add(amount / steps as f64, bin);
        }
    }

    pub(super) fn expire(&mut self, rule: &AllowanceRule, now: ClockTime) {
        self.all.expire(rule, now);
        self.own.expire(rule, now);
    }
}
