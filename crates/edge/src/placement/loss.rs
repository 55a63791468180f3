//! Loss caused by a placement: missed objectives or deadlines of the request itself and of the
//! streams on the target.
//!
//! A target prefills prompts between the decode steps of its streams. A prefill that takes longer
//! than a stream may pause makes all streams on the target late. On slow targets, even prompts of
//! usual length do so. Such requests wait for a better target while they are on time, and smaller
//! requests may pass them.

use super::feasibility::unfinished_probability;
use super::queue::{RANK_FACTOR, WaitingRequest};
use super::speed::SpeedModel;
use super::target::TargetState;
use burdockcleat_core::clock::ClockTime;

/// Fraction of the longest permitted pause of a stream that prefill may take. The rest covers the
/// decode steps in between and estimation errors.
const PAUSE_FRACTION: f64 = 0.9;
/// Time for which a sent prompt counts as concurrent prefill, as a fraction of the shortest
/// permitted pause of the streams.
const RECENT_FRACTION: f64 = 0.25;
/// Fraction of the time left until the objective or deadline that an estimate may use.
const TIME_LEFT_FRACTION: f64 = 0.9;
/// Largest difference in rank that is weighed; larger differences count as this one.
const MAX_RANK_DISTANCE: i64 = 8;

impl SpeedModel {
    /// Returns whether a target of this speed could prefill the prompt within the permitted pause
    /// of the request's own stream.
    pub(super) fn prefills_within_pause(&self, waiting: &WaitingRequest) -> bool {
        let pause_ms =
            waiting.request.pause_ms.map_or(f64::MAX, |pause| pause as f64 * PAUSE_FRACTION);
        self.prefill_ms(waiting.prefill_work) <= pause_ms
    }
}

impl TargetState {
    /// Returns the value that is lost by sending the request to this target now, relative to the
    /// mean request of its rank.
    pub(super) fn placement_loss(&self, waiting: &WaitingRequest, now: ClockTime) -> f64 {
        let first_ms = self.expected_first_ms(waiting.prefill_work, now);
        self.request_loss(waiting, first_ms, now)
            + self.stream_loss(waiting, self.prefill_pause_ms(waiting, now))
    }

    /// Returns the loss if no other prompt were prefilled on the target when the request is sent.
    pub(super) fn min_placement_loss(&self, waiting: &WaitingRequest, now: ClockTime) -> f64 {
        let first_ms = self.speed().first_event_ms(waiting.prefill_work);
        self.request_loss(waiting, first_ms, now)
            + self.stream_loss(waiting, self.speed().prefill_ms(waiting.prefill_work))
    }

    /// Returns the request's own loss if its first event takes `first_ms`: its whole value if it
    /// would miss its objective or not complete in time, else 0. If the lengths of its rank are known,
    /// the value is weighted by the probability of not completing.
    fn request_loss(&self, waiting: &WaitingRequest, first_ms: f64, now: ClockTime) -> f64 {
        let waited_ms = now.since(waiting.arrived);
        let request = &waiting.request;
        let objective_ms = request.objective_left_ms - waited_ms.cast_signed();
        let late = objective_ms > 0 && first_ms > objective_ms as f64 * TIME_LEFT_FRACTION;
        let answer_ms = request.answer_left_ms.saturating_sub(waited_ms) as f64;
        if late {
            return waiting.value;
        }
        let write_ms = answer_ms * TIME_LEFT_FRACTION - first_ms;
        let slowed_ms = self.load.expected_ms(write_ms.max(0.0), now) - write_ms.max(0.0);
        if let Some(unfinished) =
            unfinished_probability(waiting, self.speed(), write_ms - slowed_ms)
        {
            return waiting.value * unfinished;
        }
        let run_ms = self.speed().run_ms(waiting.prefill_work, request.output_tokens);
        let unfinished = self.load.expected_ms(run_ms, now) > answer_ms * TIME_LEFT_FRACTION;
        if unfinished { waiting.value } else { 0.0 }
    }

    /// Returns the expected pause of the streams on the target while the prompt is prefilled, after
    /// other prompts.
    fn prefill_pause_ms(&self, waiting: &WaitingRequest, now: ClockTime) -> f64 {
        let prefill_ms =
            self.concurrent_prefill_ms(now) + self.speed().prefill_ms(waiting.prefill_work);
        self.load.expected_ms(prefill_ms, now)
    }

    /// Returns the loss of the streams on the target that would pause for too long if they pause for
    /// `pause_ms`.
    fn stream_loss(&self, waiting: &WaitingRequest, pause_ms: f64) -> f64 {
        let late_streams = self.running.values().filter(|running| {
            running.first_event.is_some()
                && running
                    .pause_ms
                    .is_some_and(|allowed_ms| pause_ms > allowed_ms as f64 * PAUSE_FRACTION)
        });
        let own_rank = i64::from(waiting.request.rank);
        let losses = late_streams.map(|running| {
            let distance =
                (own_rank - i64::from(running.rank)).clamp(-MAX_RANK_DISTANCE, MAX_RANK_DISTANCE);
            running.value * RANK_FACTOR.powi(distance as i32)
        });
        losses.sum()
    }

    /// Returns the time for prompts that are prefilled alongside the streams on the target, in ms:
    /// the prompts that were just sent, or all pending prefill work if that is more.
    fn concurrent_prefill_ms(&self, now: ClockTime) -> f64 {
        let shortest_pause_ms =
            self.running.values().filter_map(|running| running.pause_ms).min().unwrap_or(0);
        let sent = self
            .recent_prefills
            .iter()
            .filter(|(at, _)| (now.since(*at) as f64) < shortest_pause_ms as f64 * RECENT_FRACTION);
        let sent: f64 = sent.map(|(_, prefill_work)| prefill_work).sum();
        self.speed().prefill_ms(sent.max(self.pending_prefill_work(now)))
    }
}
