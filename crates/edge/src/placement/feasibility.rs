//! Probability that an output ends before its deadline at a target.

use super::PlacementRequest;
use super::lengths::LengthCurve;
use super::queue::WaitingRequest;
use super::speed::SpeedModel;
use super::target::TargetState;
use burdockcleat_core::clock::ClockTime;

/// Number of observed outputs from which the lengths of a rank are used; fewer say little about the
/// rare long ones.
pub(super) const MIN_OUTPUTS: f64 = 30.0;
/// Probability of ending in time below which a request is refused. A stream that is cut holds its
/// slot for 15 s where a typical one takes 2 s. At this bound one stream that ends costs the slot time
/// of 150 typical ones; a wrong refusal costs a caller all of its value, so the bound is no higher.
const MIN_END_PROBABILITY: f64 = 0.05;
/// Time without an observed output after which no request of the rank is refused, in ms: a rank that
/// is refused as a whole would never show that its outputs or the targets have changed.
const MAX_OBSERVATION_AGE_MS: u64 = 10_000;
/// Step in which probabilities of a loss are told apart. Smaller differences between targets would
/// send all streams to the fastest ones.
const PROBABILITY_STEP: f64 = 0.05;

impl SpeedModel {
    /// Returns the tokens that a target writes in a time after the first event.
    fn tokens_within(&self, ms: f64) -> f64 {
        ms / self.token_ms
    }
}

/// Returns the probability that the output of a waiting request does not end within `ms` after its
/// first event, in steps; `None` if the lengths of its rank are not known.
pub(super) fn unfinished_probability(
    waiting: &WaitingRequest,
    speed: &SpeedModel,
    ms: f64,
) -> Option<f64> {
    let curve = waiting.lengths.as_ref()?;
    let (request, tokens) = (&waiting.request, speed.tokens_within(ms));
    if tokens >= f64::from(request.max_output_tokens) {
        return Some(0.0);
    }
    let exceeds = curve.exceeds(request.output_tokens, tokens);
    Some((exceeds / PROBABILITY_STEP).floor() * PROBABILITY_STEP)
}

/// Returns whether none of the targets, were it idle, would end the output in time. Targets whose
/// speed was not observed might.
pub(super) fn cannot_finish<'a>(
    request: &PlacementRequest,
    curve: &LengthCurve,
    targets: impl Iterator<Item = &'a TargetState>,
    now: ClockTime,
) -> bool {
    if now.since(curve.observed_at()) > MAX_OBSERVATION_AGE_MS {
        return false;
    }
    let (mut known, mut best) = (0, 0.0_f64);
    for state in targets {
        if !state.speed_observed() {
            if state.usable(now) {
                return false;
            }
            continue;
        }
        let first_ms = state.speed().first_event_ms(f64::from(request.prompt_tokens));
        let tokens = state.speed().tokens_within(request.answer_left_ms as f64 - first_ms);
        if tokens >= f64::from(request.max_output_tokens) {
            return false;
        }
        best = best.max(curve.ends_within_at_most(request.output_tokens, tokens));
        known += 1;
        if best >= MIN_END_PROBABILITY {
            return false;
        }
    }
    if known > 0 {
        log::info!(
            target: "burdockcleat",
            "event=placement.cannot_finish key={:x} rank={} prompt={} expected={} most={} left_ms={} probability={best:.3} targets={known} output_lengths={:.0}",
            request.key.0, request.rank, request.prompt_tokens, request.output_tokens,
            request.max_output_tokens, request.answer_left_ms, curve.count()
        );
    }
    known > 0
}
