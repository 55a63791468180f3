//! Sliding window of one workspace.

use super::AllowanceRule;
use super::reporter::UsageChange;
use burdockcleat_core::clock::ClockTime;
use std::collections::VecDeque;

/// Fraction of the limit that is handed out. The rest covers rates that grow between two reports.
const USABLE_FRACTION: f64 = 0.87;
/// Time constant of the estimated rate of the other nodes, in ms. It spans a few reports.
const RATE_TIME_CONSTANT_MS: f64 = 600.0;
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
    /// Recent usage and reservations reported by all other nodes, decayed exponentially.
    reported: f64,
    reported_at: ClockTime,
    /// Reserved by this node for requests that are not sent yet.
    pub(super) pending: u64,
    /// Reserved by this node lately, decayed exponentially over the interval of its reports.
    unreported: f64,
    unreported_at: ClockTime,
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
            // Most pairs of a node and a workspace are idle in a large deployment.
            *self = Self::default();
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
    pub(super) fn new(rate_per_s: f64, burst: f64, now: ClockTime) -> Self {
        Self {
            rate_per_s,
            burst,
            all: WindowSum::default(),
            own: WindowSum::default(),
            reported: 0.0,
            reported_at: now,
            pending: 0,
            unreported: 0.0,
            unreported_at: now,
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

    /// Adds what another node has reported.
    pub(super) fn add_reported(
        &mut self,
        change: UsageChange,
        rule: &AllowanceRule,
        now: ClockTime,
    ) {
        self.add(change.used, rule, now);
        let decay = (-(now.since(self.reported_at) as f64) / RATE_TIME_CONSTANT_MS).exp();
        self.reported = (self.reported * decay + change.used + change.pending).max(0.0);
        self.reported_at = now;
    }

    /// Returns the amount that the other nodes are expected to have used since their reports, which
    /// arrive every `report_interval_ms`. `last_rate` is the sum of their rates between the last
    /// two reports. The highest of three estimates counts: a rise shows in the last rates, or in
    /// the recent reports if the interval is long, and usage that is limited by the window returns
    /// to its mean. None of them fades while no reports arrive.
    pub(super) fn outstanding(
        &self,
        last_rate: f64,
        report_interval_ms: u64,
        rule: &AllowanceRule,
        now: ClockTime,
    ) -> f64 {
        let age_ms = now.since(self.reported_at).max(report_interval_ms);
        let mean_rate = (self.all.sum - self.own.sum).max(0.0) / rule.window_ms as f64;
        let recent_rate = self.reported / RATE_TIME_CONSTANT_MS;
        last_rate.max(recent_rate).max(mean_rate) * age_ms as f64
    }

    /// Returns the amount that the other nodes are expected to have admitted since their reports if
    /// they get requests at the same time as this node, in proportion to what each used within the
    /// window. `nodes` is the number of nodes that are heard, including this one.
    pub(super) fn simultaneous(
        &self,
        nodes: usize,
        report_interval_ms: u64,
        now: ClockTime,
    ) -> f64 {
        let unreported = self.unreported(report_interval_ms, now);
        let others = (self.all.sum - self.own.sum).max(0.0);
        let reported = self.own.sum - unreported;
        let equal_parts = nodes.saturating_sub(1) as f64;
        let ratio = if reported > 0.0 { others / reported } else { equal_parts };
        unreported * ratio.min(equal_parts)
    }

    /// Counts a reservation of this node that the others do not know yet.
    pub(super) fn reserve(&mut self, amount: u64, report_interval_ms: u64, now: ClockTime) {
        self.pending += amount;
        self.unreported = self.unreported(report_interval_ms, now) + amount as f64;
        self.unreported_at = now;
    }

    fn unreported(&self, report_interval_ms: u64, now: ClockTime) -> f64 {
        let age_ms = now.since(self.unreported_at) as f64;
        self.unreported * (-age_ms / report_interval_ms.max(1) as f64).exp()
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
