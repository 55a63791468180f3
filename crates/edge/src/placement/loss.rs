//! What a placement breaks: the request's own objective or deadline, and the streams beside it.
//!
//! Answers long prompts among streams: a target reads prompts between the tokens of the streams that
//! it runs, so that a prompt that takes longer than a stream may pause makes all of them late. On
//! slow targets usual prompts suffice for that. Such requests wait for a target that can take them
//! while they are on time, and smaller ones pass them.

use super::queue::{RANK_FACTOR, WaitingRequest};
use super::speed::SpeedModel;
use super::target::TargetState;
use burdockcleat_core::clock::ClockTime;

/// Part of a stream's longest pause that reading prompts may take beside it: the rest is for the
/// steps in between and for errors of the estimate.
const PAUSE_FRACTION: f64 = 0.9;
/// Part of a stream's longest pause for which a prompt that was sent counts as read beside it.
const RECENT_FRACTION: f64 = 0.25;
/// Part of the time left until the objective or the deadline that is planned with.
const TIME_LEFT_FRACTION: f64 = 0.9;
/// Ranks apart beyond which requests are not weighed against each other any more.
const MAX_RANK_DISTANCE: i64 = 8;

impl SpeedModel {
    /// Whether a target of this speed could read the request's prompt within a pause of a stream.
    pub(super) fn prefills_within_pause(&self, waiting: &WaitingRequest) -> bool {
        let pause_ms =
            waiting.request.pause_ms.map_or(f64::MAX, |pause| pause as f64 * PAUSE_FRACTION);
        self.prefill_ms(waiting.prefill_work) <= pause_ms
    }
}

impl TargetState {
    /// Worth that is lost by sending a request here now, in usual requests of its rank.
    pub(super) fn placement_loss(&self, waiting: &WaitingRequest, now: ClockTime) -> f64 {
        let first_ms = self.expected_first_ms(waiting.prefill_work, now);
        self.request_loss(waiting, first_ms, now)
            + self.stream_loss(waiting, self.concurrent_prefill_ms(now))
    }

    /// The same if nothing were read here when the request is sent.
    pub(super) fn min_placement_loss(&self, waiting: &WaitingRequest, now: ClockTime) -> f64 {
        let first_ms = self.speed().first_event_ms(waiting.prefill_work);
        self.request_loss(waiting, first_ms, now) + self.stream_loss(waiting, 0.0)
    }

    /// What the request loses itself if its first event takes `first_ms`.
    fn request_loss(&self, waiting: &WaitingRequest, first_ms: f64, now: ClockTime) -> f64 {
        let waited_ms = now.since(waiting.arrived);
        let request = &waiting.request;
        let objective_ms = request.objective_left_ms - waited_ms.cast_signed();
        let late = objective_ms > 0 && first_ms > objective_ms as f64 * TIME_LEFT_FRACTION;
        let answer_ms = request.answer_left_ms.saturating_sub(waited_ms) as f64;
        let unfinished = self.speed().run_ms(waiting.prefill_work, request.output_tokens)
            > answer_ms * TIME_LEFT_FRACTION;
        if late || unfinished { waiting.value } else { 0.0 }
    }

    /// What the streams that run here lose by the pause while the request's prompt is read, after
    /// `reading_ms` of other prompts.
    fn stream_loss(&self, waiting: &WaitingRequest, prefill_ms: f64) -> f64 {
        let pause_ms = prefill_ms + self.speed().prefill_ms(waiting.prefill_work);
        let late_streams = self.running.values().filter(|running| {
            running.first_event.is_some()
                && running
                    .pause_ms
                    .is_some_and(|longest| pause_ms > longest as f64 * PAUSE_FRACTION)
        });
        let own_rank = i64::from(waiting.request.rank);
        let losses = late_streams.map(|running| {
            let distance =
                (own_rank - i64::from(running.rank)).clamp(-MAX_RANK_DISTANCE, MAX_RANK_DISTANCE);
            running.value * RANK_FACTOR.powi(distance as i32)
        });
        losses.sum()
    }

    /// Time that prompts which are read beside the streams here take, in ms: those sent just now, or
    /// all that are not read yet if that is more.
    fn concurrent_prefill_ms(&self, now: ClockTime) -> f64 {
        let longest =
            self.running.values().filter_map(|running| running.pause_ms).min().unwrap_or(0);
        let sent = self
            .recent_prefills
            .iter()
            .filter(|(at, _)| (now.since(*at) as f64) < longest as f64 * RECENT_FRACTION);
        let sent: f64 = sent.map(|(_, prefill_work)| prefill_work).sum();
        self.speed().prefill_ms(sent.max(self.pending_prefill_work(now)))
    }
}
