//! Figures over all targets of a service, worked out a few times a second.
//!
//! Answers services with hundreds of targets and requests a second: a decision may not look at each
//! target for figures that change slowly.

use super::speed::SpeedModel;
use super::target::TargetState;
use burdockcleat_core::clock::ClockTime;

/// Time for which the figures hold, in ms: speeds change over several requests.
const MAX_AGE_MS: u64 = 50;
/// Length of the prompts by which the fastest target is told, in usual ones.
const LONG_PROMPT_FACTOR: f64 = 4.0;

/// Speeds and slots of a service's targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetSummary {
    /// Mean speed.
    pub(super) mean: SpeedModel,
    /// Speed of the target that reads a long prompt soonest.
    pub(super) fastest: SpeedModel,
    /// Mean number of slots.
    pub(super) slots: f64,
    /// Slots of the targets that may be used, as slots of the mean speed.
    pub(super) capacity: f64,
    /// When the figures were worked out; none if they no longer hold.
    computed_at: Option<ClockTime>,
}

impl Default for TargetSummary {
    fn default() -> Self {
        let prior = SpeedModel::PRIOR;
        Self { mean: prior, fastest: prior, slots: 0.0, capacity: 0.0, computed_at: None }
    }
}

impl TargetSummary {
    /// Has the figures worked out at the next use.
    pub(super) const fn invalidate(&mut self) {
        self.computed_at = None;
    }

    pub(super) fn is_current(&self, now: ClockTime) -> bool {
        self.computed_at.is_some_and(|computed_at| now.since(computed_at) < MAX_AGE_MS)
    }

    /// Works the figures out. The usual request has a prompt of `effort` and `output_tokens`.
    pub(super) fn compute<'a>(
        states: impl Iterator<Item = &'a TargetState> + Clone,
        (prefill_work, output_tokens): (f64, f64),
        now: ClockTime,
    ) -> Self {
        let mean = SpeedModel::mean(states.clone().map(|state| *state.speed()));
        let long = |speed: &SpeedModel| speed.first_event_ms(prefill_work * LONG_PROMPT_FACTOR);
        let speeds = states.clone().map(|state| *state.speed());
        let fastest = speeds.min_by(|left, right| long(left).total_cmp(&long(right)));
        let count = states.clone().count().max(1) as f64;
        let slots = states.clone().map(|state| f64::from(state.info.slots)).sum::<f64>() / count;
        let mean_request_ms =
            |speed: &SpeedModel| speed.load_ms(prefill_work, output_tokens, slots);
        let usable = states.filter(|state| state.usable(now));
        let capacity = usable.map(|state| {
            let relative =
                mean_request_ms(&mean) / mean_request_ms(state.speed()).max(f64::EPSILON);
            f64::from(state.info.slots) * relative
        });
        let capacity = capacity.sum();
        Self { mean, fastest: fastest.unwrap_or(mean), slots, capacity, computed_at: Some(now) }
    }
}
