//! Statistics over all targets of a service, recomputed a few times per second.
//!
//! Services may have hundreds of targets and hundreds of requests per second. A decision must not
//! scan all targets for values that change slowly.

use super::speed::SpeedModel;
use super::target::TargetState;
use super::version_slots::VersionSlots;
use super::{PlacementRequest, VersionKey};
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Time for which a summary is used, in ms. Speed estimates change over several requests only.
const MAX_AGE_MS: u64 = 50;
/// Prefill work for which the fastest target is chosen, as a multiple of that of the mean request.
const LONG_PROMPT_FACTOR: f64 = 4.0;

/// Speeds and slots of the targets of a service.
#[derive(Clone, Debug)]
pub(super) struct TargetSummary {
    /// Mean speed of all targets.
    pub(super) mean: SpeedModel,
    /// Speed of the target of each version with the shortest time to the first event for a long
    /// prompt.
    fastest: BTreeMap<VersionKey, SpeedModel>,
    /// Speed of the fastest of these.
    fastest_of_all: SpeedModel,
    /// Mean number of slots per target.
    pub(super) slots: f64,
    /// Slots of the usable targets.
    pub(super) capacity: VersionSlots,
    /// Time of the computation; `None` if the summary must be recomputed.
    computed_at: Option<ClockTime>,
}

impl Default for TargetSummary {
    fn default() -> Self {
        let prior = SpeedModel::PRIOR;
        let capacity = VersionSlots::default();
        let (fastest, fastest_of_all) = (BTreeMap::new(), prior);
        Self { mean: prior, fastest, fastest_of_all, slots: 0.0, capacity, computed_at: None }
    }
}

impl TargetSummary {
    /// Causes the summary to be recomputed at its next use.
    pub(super) const fn invalidate(&mut self) {
        self.computed_at = None;
    }

    pub(super) fn is_current(&self, now: ClockTime) -> bool {
        self.computed_at.is_some_and(|computed_at| now.since(computed_at) < MAX_AGE_MS)
    }

    /// Returns the speed of the fastest target that the request may be sent to, or of all targets if
    /// its version has none.
    pub(super) fn fastest(&self, request: &PlacementRequest) -> SpeedModel {
        let of_version = request.version.and_then(|version| self.fastest.get(&version));
        of_version.copied().unwrap_or(self.fastest_of_all)
    }

    /// Computes the summary. The mean request is given by its prefill work and its output tokens.
    pub(super) fn compute<'a>(
        states: impl Iterator<Item = &'a TargetState> + Clone,
        (prefill_work, output_tokens): (f64, f64),
        now: ClockTime,
    ) -> Self {
        let mean = SpeedModel::mean(states.clone().map(|state| *state.speed()));
        let long = |speed: &SpeedModel| speed.first_event_ms(prefill_work * LONG_PROMPT_FACTOR);
        let faster = |left: &SpeedModel, right: &SpeedModel| long(left).total_cmp(&long(right));
        let mut fastest = BTreeMap::new();
        for state in states.clone() {
            let best = fastest.entry(state.info.version).or_insert(*state.speed());
            *best = std::cmp::min_by(*best, *state.speed(), faster);
        }
        let fastest_of_all = fastest.values().copied().min_by(faster).unwrap_or(mean);
        let count = states.clone().count().max(1) as f64;
        let slots = states.clone().map(|state| f64::from(state.info.slots)).sum::<f64>() / count;
        let mean_request_ms =
            |speed: &SpeedModel| speed.load_ms(prefill_work, output_tokens, slots);
        let mut capacity = VersionSlots::default();
        for state in states {
            let relative =
                mean_request_ms(&mean) / mean_request_ms(state.speed()).max(f64::EPSILON);
            let slots = if state.usable(now) { f64::from(state.info.slots) } else { 0.0 };
            let used = state.pacer.map_or(slots, |pacer| {
                (pacer.rate_per_ms() * mean_request_ms(state.speed())).min(slots)
            });
            capacity.add(state.info.version, used * relative);
        }
        Self { mean, fastest, fastest_of_all, slots, capacity, computed_at: Some(now) }
    }
}
