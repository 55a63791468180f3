//! Spaces out the requests to a target that limits their rate.

use super::TargetKey;
use crate::target_limits::RequestRate;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Time for which an unused rate accumulates, in ms; at least one request accumulates.
const BURST_MS: f64 = 250.0;
/// Time after which requests beyond the rate no longer delay others, in ms.
const DEBT_MS: f64 = 4_000.0;
/// Lowest rate, in requests per ms. The target's answers to a request now and then tell whether its
/// limit still holds.
const MIN_RATE_PER_MS: f64 = 1e-4;

/// Limits of the request rates of targets, and the part of them that this scheduler may use.
#[derive(Debug, Default)]
pub(super) struct RateLimits {
    pub(super) rates: BTreeMap<TargetKey, RequestRate>,
    pub(super) share: f64,
}

impl RateLimits {
    pub(super) fn pacer(&self, target: TargetKey, now: ClockTime) -> Option<RatePacer> {
        let rate = self.rates.get(&target)?;
        Some(RatePacer::new(*rate, self.share, now))
    }
}

/// Counts the requests that a target may get by now.
#[derive(Clone, Copy, Debug)]
pub(super) struct RatePacer {
    rate_per_ms: f64,
    /// Whether this scheduler may send any request to the target.
    enabled: bool,
    /// Requests that may be sent at `updated`; negative after requests beyond the rate.
    credit: f64,
    updated: ClockTime,
}

impl RatePacer {
    /// Creates a pacer without credit, for a target that got an unknown number of requests before.
    pub(super) fn new(rate: RequestRate, share: f64, now: ClockTime) -> Self {
        let mut pacer = Self { rate_per_ms: 0.0, enabled: false, credit: 0.0, updated: now };
        pacer.set_rate(rate, share, now);
        pacer
    }

    /// Changes the rate, and the part of it that this scheduler may use. Without any, the rate still
    /// earns credit for the time when this scheduler is the one that may use it.
    pub(super) fn set_rate(&mut self, rate: RequestRate, share: f64, now: ClockTime) {
        self.credit = self.credit_at(now);
        self.updated = now;
        self.enabled = share > 0.0;
        let share = if self.enabled { share } else { 1.0 };
        self.rate_per_ms = rate.per_ms().max(MIN_RATE_PER_MS) * share;
    }

    /// Returns the rate that this scheduler may use, in requests per ms.
    pub(super) const fn rate_per_ms(&self) -> f64 {
        if self.enabled { self.rate_per_ms } else { 0.0 }
    }

    /// Returns whether a request may be sent.
    pub(super) fn is_ready(&self, now: ClockTime) -> bool {
        self.enabled && self.credit_at(now) >= 1.0
    }

    /// Counts a request, whether it was due or not.
    pub(super) fn count_request(&mut self, now: ClockTime) {
        let debt = (self.rate_per_ms * DEBT_MS).max(1.0);
        self.credit = (self.credit_at(now) - 1.0).max(-debt);
        self.updated = now;
    }

    fn credit_at(&self, now: ClockTime) -> f64 {
        let earned = now.since(self.updated) as f64 * self.rate_per_ms;
        (self.credit + earned).min((self.rate_per_ms * BURST_MS).max(1.0))
    }
}
