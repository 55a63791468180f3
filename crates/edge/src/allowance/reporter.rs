//! Usage of one workspace by the process of another node, as reported.

use super::window::{WindowSum, bin_number};
use super::{AllowanceRule, AllowanceUsage};
use burdockcleat_core::clock::ClockTime;

/// Time constant of the estimated rate of a process, in ms. It spans a few reports.
const RATE_TIME_CONSTANT_MS: f64 = 600.0;

/// Last report of a process and what it is expected to use until the next one.
#[derive(Clone, Debug)]
pub(super) struct UsageReporter {
    pub(super) usage: AllowanceUsage,
    /// Whether the node admits only its guaranteed part.
    pub(super) restricted: bool,
    reported_at: ClockTime,
    /// Recent usage, decayed exponentially.
    recent: f64,
    /// Reported usage within the window.
    window: WindowSum,
}

impl UsageReporter {
    pub(super) fn new(usage: AllowanceUsage, now: ClockTime) -> Self {
        let window = WindowSum::default();
        Self { usage, restricted: false, reported_at: now, recent: 0.0, window }
    }

    /// Applies the next report. Returns the amount used since the last one.
    pub(super) fn update(
        &mut self,
        usage: AllowanceUsage,
        restricted: bool,
        rule: &AllowanceRule,
        now: ClockTime,
    ) -> f64 {
        let used = usage.used.saturating_sub(self.usage.used) as f64;
        let pending = usage.pending as f64 - self.usage.pending as f64;
        let decay = (-(self.age_ms(now) as f64) / RATE_TIME_CONSTANT_MS).exp();
        self.recent = (self.recent * decay + used + pending).max(0.0);
        if used > 0.0 {
            self.window.add(used, bin_number(rule, now));
        }
        (self.usage, self.restricted, self.reported_at) = (usage, restricted, now);
        used
    }

    /// Removes usage that has left the window.
    pub(super) fn expire(&mut self, rule: &AllowanceRule, now: ClockTime) {
        self.window.expire(rule, now);
    }

    /// Returns the time since the last report, in ms.
    pub(super) fn age_ms(&self, now: ClockTime) -> u64 {
        now.since(self.reported_at)
    }

    /// Returns the amount that the process has reserved or may have used since its last report, or
    /// until the next one.
    pub(super) fn outstanding(
        &self,
        report_interval_ms: u64,
        rule: &AllowanceRule,
        now: ClockTime,
    ) -> f64 {
        let age_ms = self.age_ms(now).max(report_interval_ms);
        self.usage.pending as f64 + self.expected_usage(age_ms, report_interval_ms, rule)
    }

    /// Returns the amount within the window that the process may use without being heard, if it
    /// keeps to its guaranteed part from `unheard_ms` after its last report on.
    pub(super) fn unreported(
        &self,
        guaranteed: f64,
        unheard_ms: u64,
        report_interval_ms: u64,
        rule: &AllowanceRule,
        now: ClockTime,
    ) -> f64 {
        let in_window = self.age_ms(now) < rule.window_ms;
        let before =
            if in_window { self.expected_usage(unheard_ms, report_interval_ms, rule) } else { 0.0 };
        before.max(guaranteed - self.window.sum)
    }

    /// Returns the usage that is expected within `ms` after the last report. Reports that follow
    /// each other regularly tell of a recent rise; a process that is overdue returns to its mean.
    fn expected_usage(&self, ms: u64, report_interval_ms: u64, rule: &AllowanceRule) -> f64 {
        let mean_rate = self.window.sum / rule.window_ms as f64;
        let recent_rate = mean_rate.max(self.recent / RATE_TIME_CONSTANT_MS);
        let recent_ms = ms.min(report_interval_ms);
        recent_rate * recent_ms as f64 + mean_rate * (ms - recent_ms) as f64
    }
}
