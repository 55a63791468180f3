//! Exponentially decayed rate estimates.

use crate::clock::ClockTime;

/// Settings of the rate estimates.
#[derive(Clone, Debug)]
pub struct RateSettings {
    /// Half-life of a sample in the rate estimates, in milliseconds.
    pub half_life_ms: f64,
    /// Weight of the generation's mean, expressed as observation time in milliseconds. The estimate
    /// of an idle target returns to the mean as its samples decay.
    pub prior_ms: f64,
    /// Prefill rate assumed before the first report, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Decode rate of one stream assumed before the first report, in tokens per second.
    pub decode_tokens_per_s: f64,
    /// Fraction of the median decode rate below which a target is slow.
    pub straggler_fraction: f64,
    /// Time for which a target must be slow to become a straggler, in milliseconds.
    pub straggler_after_ms: u64,
    /// Half-life of the samples used for straggler detection, in milliseconds. With the half-life
    /// of the rate estimates, a target at a quarter of its speed would be detected 16 s later.
    pub straggler_window_ms: f64,
    /// Minimum observed stream time of a target in the straggler comparison, in milliseconds.
    pub straggler_min_ms: f64,
}

impl Default for RateSettings {
    fn default() -> Self {
        Self {
            half_life_ms: 10_000.0,
            prior_ms: 500.0,
            prefill_tokens_per_s: 4_000.0,
            decode_tokens_per_s: 40.0,
            straggler_fraction: 0.5,
            straggler_after_ms: 2_000,
            straggler_window_ms: 1_000.0,
            straggler_min_ms: 100.0,
        }
    }
}

/// Ratio of an amount to a time span. Both sums decay by half per half-life.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayedRatio {
    amount: f64,
    span_ms: f64,
    updated: ClockTime,
}

impl DecayedRatio {
    /// Adds an observation of `amount` in `span_ms` milliseconds.
    pub fn add(&mut self, now: ClockTime, half_life_ms: f64, amount: f64, span_ms: f64) {
        let weight = self.weight(now, half_life_ms);
        self.amount = self.amount * weight + amount;
        self.span_ms = self.span_ms * weight + span_ms;
        self.updated = self.updated.max(now);
    }

    /// Adds the observations of another ratio with their weights at its last update.
    pub fn merge(&mut self, other: &Self) {
        self.amount += other.amount;
        self.span_ms += other.span_ms;
    }

    /// Returns the ratio at its last update, combined with `prior` at the weight of `prior_ms` of
    /// observation. The result does not decay while there are no observations.
    pub fn last_with_prior(&self, prior_ms: f64, prior: f64) -> f64 {
        (self.amount + prior * prior_ms) / (self.span_ms + prior_ms)
    }

    /// Returns the ratio if at least `min_ms` of decayed observation time is left.
    pub fn value(&self, now: ClockTime, half_life_ms: f64, min_ms: f64) -> Option<f64> {
        let span = self.span_ms * self.weight(now, half_life_ms);
        if span < min_ms { None } else { Some(self.amount / self.span_ms) }
    }

    /// Returns the ratio combined with `prior` at the weight of `prior_ms` of observation. The
    /// weight of the observations decays over time.
    pub fn with_prior(&self, now: ClockTime, half_life_ms: f64, prior_ms: f64, prior: f64) -> f64 {
        let weight = self.weight(now, half_life_ms);
        (self.amount * weight + prior * prior_ms) / (self.span_ms * weight + prior_ms)
    }

    /// Returns the decayed sum of amounts.
    pub fn amount(&self, now: ClockTime, half_life_ms: f64) -> f64 {
        self.amount * self.weight(now, half_life_ms)
    }

    fn weight(&self, now: ClockTime, half_life_ms: f64) -> f64 {
        // The cast is exact for spans below 2^52 ms.
        (-(now.since(self.updated) as f64) / half_life_ms).exp2()
    }
}

/// Prefill and decode rates of one target, or the mean rates of a hardware generation, in tokens
/// per millisecond.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateEstimate {
    /// Prompt tokens computed per millisecond.
    pub prefill: DecayedRatio,
    /// Output tokens per stream and millisecond.
    pub decode: DecayedRatio,
}
