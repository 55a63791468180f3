//! Looks for another target while a target is silent.
//!
//! A sound target may be silent for a second and go on. So its connection stays open until another
//! target has taken the request.

use super::retry::{SendFailure, SendHistory, find_target, finish_send, start_send};
use super::send::{PendingSend, TargetResponse};
use super::{RequestContext, is_streamed};
use crate::placement::AttemptOutcome;
use std::rc::Rc;
use std::time::Duration;

/// Silence before the first event after which another target is sought, in ms, in addition to the
/// time for the prompt. It is several times the silence of a busy target.
const FIRST_EVENT_STALL_MS: u64 = 700;
/// Prompt tokens per ms that the slowest target processes under load.
const STALL_TOKENS_PER_MS: u64 = 8;
/// Silence without streaming after which another target is sought, as a multiple of the route's
/// latency objective.
const STALL_OBJECTIVE_FACTOR: u64 = 2;
/// Minimum silence in the middle of a stream after which another target is sought, in ms. A target
/// that processes long prompts of other requests pauses for some hundreds of ms.
const MIN_STREAM_STALL_MS: u64 = 800;
/// Silence in the middle of a stream after which another target is sought, as a multiple of the
/// route's longest pause. Callers abandon a stream after eight times that pause.
const STALL_PAUSE_FACTOR: u64 = 3;
/// Pause between two searches for another target, in ms.
const SEARCH_INTERVAL_MS: u64 = 250;
/// Time for another target to reject a request before the silent one is given up, in ms, once the
/// connection is open. A full target rejects at once. Two targets may work on a request for at most 400 ms.
const HANDOVER_MS: u64 = 150;

/// Returns the silence before a response, in ms, after which another target is sought, or `None` if
/// the request may not be sent again.
pub(super) fn response_stall_ms(context: &RequestContext, history: &SendHistory) -> Option<u64> {
    let route = &context.route;
    if !route.repeatable() || history.sends >= route.max_attempts {
        return None;
    }
    Some(if is_streamed(route) {
        FIRST_EVENT_STALL_MS + u64::from(context.prompt_tokens()) / STALL_TOKENS_PER_MS
    } else {
        route.objective_ms * STALL_OBJECTIVE_FACTOR
    })
}

/// Returns the silence in the middle of a stream, in ms, after which another target is sought, or
/// `None` if the stream may not be resumed.
pub(super) fn stream_stall_ms(context: &RequestContext, history: &SendHistory) -> Option<u64> {
    let route = &context.route;
    let may_resume = route.resumable && history.sends < route.max_attempts;
    may_resume.then(|| MIN_STREAM_STALL_MS.max(route.pause_ms.unwrap_or(0) * STALL_PAUSE_FACTOR))
}

/// Returns the outcome of a stream whose deadline passed `silent_ms` after its last event.
pub(super) const fn deadline_outcome(silent_ms: u64) -> AttemptOutcome {
    if silent_ms < MIN_STREAM_STALL_MS {
        AttemptOutcome::DeadlinePassed
    } else {
        AttemptOutcome::Stalled
    }
}

/// Waits until a target has been silent for `stall_ms` and another target has taken the request.
/// Never returns if `stall_ms` is `None`. Dropping the future withdraws the request from the other
/// target.
pub(super) async fn replace_silent(
    context: &Rc<RequestContext>,
    history: &mut SendHistory,
    stall_ms: Option<u64>,
    last_event: Option<u64>,
) -> PendingSend {
    let Some(stall_ms) = stall_ms else { return std::future::pending().await };
    tokio::time::sleep(Duration::from_millis(stall_ms)).await;
    let mut has_retry = false;
    loop {
        if let Some(send) = offer(context, history, last_event, &mut has_retry).await {
            return send;
        }
        tokio::time::sleep(Duration::from_millis(SEARCH_INTERVAL_MS)).await;
    }
}

/// Sends a request to another target. Returns `None` if there is none now or it does not take the
/// request. `has_retry` tells whether a retry was already taken from the budget.
async fn offer(
    context: &Rc<RequestContext>,
    history: &mut SendHistory,
    last_event: Option<u64>,
    has_retry: &mut bool,
) -> Option<PendingSend> {
    if !*has_retry && !history.can_retry(context) {
        return None;
    }
    let target = find_target(context, history).await.ok()?;
    if !*has_retry && !history.take_retry(context) {
        return None;
    }
    *has_retry = false;
    let mut send = start_send(context, history, target, last_event).ok()?;
    let handover = Duration::from_millis(HANDOVER_MS);
    if !send.receive_head_within(handover).await || send.has_succeeded() {
        return Some(send);
    }
    match finish_send(context, history, send).await {
        Ok(TargetResponse::Complete(response)) => history.failure = Some(response),
        Ok(TargetResponse::Stream(_)) | Err(SendFailure::Retry(_) | SendFailure::Final(_)) => {}
        // The request did not reach the target.
        Err(SendFailure::Free) => *has_retry = true,
    }
    None
}
