//! Online estimates of prefill and decode rates, straggler detection, and prediction of prefix
//! caches.
//!
//! Recording an observation costs O(1). [`RateTable::tick`] sorts the targets of each hardware
//! generation.

mod prefix;
mod rate;

pub use prefix::{PrefixIndex, PrefixSettings};
pub use rate::{DecayedRatio, RateEstimate, RateSettings};

use crate::clock::ClockTime;
use crate::registry::TargetKey;
use slotmap::SecondaryMap;
use std::collections::HashMap;

/// Prefill and decode rates of the targets of one pool, with the mean of each hardware generation.
#[derive(Clone, Debug)]
pub struct RateTable {
    settings: RateSettings,
    targets: SecondaryMap<TargetKey, TargetRates>,
    generations: HashMap<String, usize>,
    means: Vec<RateEstimate>,
}

#[derive(Clone, Debug)]
struct TargetRates {
    generation: usize,
    estimate: RateEstimate,
    /// Decode rate over a short window, used to detect stragglers.
    recent: DecayedRatio,
    slow_since: Option<ClockTime>,
    straggler: bool,
}

impl RateTable {
    /// Creates an empty table.
    pub fn new(settings: RateSettings) -> Self {
        Self {
            settings,
            targets: SecondaryMap::new(),
            generations: HashMap::new(),
            means: Vec::new(),
        }
    }

    /// Replaces the settings and keeps the observations.
    pub fn update_settings(&mut self, settings: RateSettings) {
        self.settings = settings;
    }

    /// Adds a target of a hardware generation. A target that is already in the table keeps its
    /// rates.
    pub fn insert(&mut self, target: TargetKey, generation: &str) {
        let next = self.means.len();
        let generation = *self.generations.entry(generation.to_owned()).or_insert(next);
        if generation == next {
            self.means.push(RateEstimate::default());
        }
        if self.targets.contains_key(target) {
            return;
        }
        let rates = TargetRates {
            generation,
            estimate: RateEstimate::default(),
            recent: DecayedRatio::default(),
            slow_since: None,
            straggler: false,
        };
        self.targets.insert(target, rates);
    }

    /// Removes a target.
    pub fn remove(&mut self, target: TargetKey) {
        self.targets.remove(target);
    }

    /// Records that a target computed `tokens` prompt tokens in `span_ms` milliseconds.
    pub fn record_prefill(&mut self, now: ClockTime, target: TargetKey, tokens: f64, span_ms: f64) {
        let half_life = self.settings.half_life_ms;
        let Some(rates) = self.targets.get_mut(target) else { return };
        rates.estimate.prefill.add(now, half_life, tokens, span_ms);
        self.means[rates.generation].prefill.add(now, half_life, tokens, span_ms);
    }

    /// Records that one stream received `tokens` output tokens in `span_ms` milliseconds.
    pub fn record_decode(&mut self, now: ClockTime, target: TargetKey, tokens: f64, span_ms: f64) {
        let half_life = self.settings.half_life_ms;
        let Some(rates) = self.targets.get_mut(target) else { return };
        rates.estimate.decode.add(now, half_life, tokens, span_ms);
        rates.recent.add(now, self.settings.straggler_window_ms, tokens, span_ms);
        self.means[rates.generation].decode.add(now, half_life, tokens, span_ms);
    }

    /// Returns the estimated prefill rate of a target, in tokens per millisecond.
    pub fn prefill_rate(&self, now: ClockTime, target: TargetKey) -> f64 {
        let prior = self.settings.prefill_tokens_per_s / 1_000.0;
        self.rate(now, target, |estimate| estimate.prefill, prior)
    }

    /// Returns the estimated decode rate of one stream at a target, in tokens per millisecond.
    pub fn decode_rate(&self, now: ClockTime, target: TargetKey) -> f64 {
        let prior = self.settings.decode_tokens_per_s / 1_000.0;
        self.rate(now, target, |estimate| estimate.decode, prior)
    }

    /// Returns the mean prefill and decode rates in tokens per millisecond. Each generation is
    /// weighted by its observation time.
    pub fn mean_rates(&self) -> (f64, f64) {
        let prior_ms = self.settings.prior_ms;
        let mut total = RateEstimate::default();
        for mean in &self.means {
            total.prefill.merge(&mean.prefill);
            total.decode.merge(&mean.decode);
        }
        let prefill_prior = self.settings.prefill_tokens_per_s / 1_000.0;
        let decode_prior = self.settings.decode_tokens_per_s / 1_000.0;
        (
            total.prefill.last_with_prior(prior_ms, prefill_prior),
            total.decode.last_with_prior(prior_ms, decode_prior),
        )
    }

    /// Returns whether the target is a straggler: its decode rate stayed below
    /// [`RateSettings::straggler_fraction`] of its generation's median for
    /// [`RateSettings::straggler_after_ms`].
    pub fn is_straggler(&self, target: TargetKey) -> bool {
        self.targets.get(target).is_some_and(|rates| rates.straggler)
    }

    /// Updates the stragglers of each generation. Must be called several times per second.
    pub fn tick(&mut self, now: ClockTime) {
        for generation in 0..self.means.len() {
            let median = self.median_decode_rate(now, generation);
            let bound = median.map(|rate| rate * self.settings.straggler_fraction);
            for (_, rates) in &mut self.targets {
                if rates.generation == generation {
                    rates.update_straggler(now, bound, &self.settings);
                }
            }
        }
    }

    fn rate(
        &self,
        now: ClockTime,
        target: TargetKey,
        select: impl Fn(&RateEstimate) -> DecayedRatio,
        default: f64,
    ) -> f64 {
        let Some(rates) = self.targets.get(target) else { return default };
        let RateSettings { half_life_ms, prior_ms, .. } = self.settings;
        let mean = select(&self.means[rates.generation]).last_with_prior(prior_ms, default);
        select(&rates.estimate).with_prior(now, half_life_ms, prior_ms, mean)
    }

    fn median_decode_rate(&self, now: ClockTime, generation: usize) -> Option<f64> {
        let window = self.settings.straggler_window_ms;
        let mut rates: Vec<f64> = self
            .targets
            .values()
            .filter(|rates| rates.generation == generation)
            .filter_map(|rates| rates.recent.value(now, window, self.settings.straggler_min_ms))
            .collect();
        // With fewer than three targets, the median does not show which of them is slow.
        if rates.len() < 3 {
            return None;
        }
        rates.sort_by(f64::total_cmp);
        Some(rates[rates.len() / 2])
    }
}

impl TargetRates {
    fn update_straggler(&mut self, now: ClockTime, bound: Option<f64>, settings: &RateSettings) {
        let recent =
            self.recent.value(now, settings.straggler_window_ms, settings.straggler_min_ms);
        let slow = match (recent, bound) {
            (Some(rate), Some(bound)) => rate < bound,
            _ => false,
        };
        if !slow {
            self.slow_since = None;
            self.straggler = false;
            return;
        }
        let since = *self.slow_since.get_or_insert(now);
        self.straggler = now.since(since) >= settings.straggler_after_ms;
    }
}
