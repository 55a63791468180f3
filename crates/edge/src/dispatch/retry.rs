//! Sends a request to one target after another until one responds or no retry is left.

use super::send::{CompleteResponse, SendResult, TargetResponse, send_once};
use super::{CRASHES_TARGETS, Refusal, RequestContext, STOPPING, STOPPING_RETRY_MS};
use crate::node::{ActiveRequestGuard, Placement};
use crate::placement::{AttemptOutcome, PlacementRequest, RefusalReason, TargetKey};
use crate::targets::TargetAnnouncement;
use burdockcleat_core::clock::ClockTime;
use hyper::StatusCode;
use std::rc::Rc;
use std::time::Duration;

/// Number of unreachable targets after which a request is refused.
const MAX_UNREACHABLE: u32 = 4;
/// Retry-after time when the targets were full or unreachable, in ms.
const FULL_RETRY_MS: u64 = 300;

/// Divisor of the time left that gives the longest wait for a target that wants no requests. It
/// leaves the caller time to retry at another node.
const PAUSE_WAIT_DIVISOR: u64 = 2;
/// Interval at which a request that waits for such a target looks for another one, in ms.
const PAUSE_CHECK_MS: u64 = 100;
/// Longest retry-after time while the targets want no requests, in ms. Other nodes may send to them.
const MAX_PAUSE_RETRY_MS: u64 = 2_000;

/// State of a request over all of its sends.
#[derive(Default)]
pub(crate) struct SendHistory {
    /// Number of sends that reached a target.
    pub(crate) sends: u32,
    /// Whether a target has been sent the request and has not answered yet.
    in_flight: bool,
    /// Whether a target may have run the request.
    pub(crate) may_have_run: bool,
    pub(crate) last_target: Option<String>,
    /// Time that the last send waited for its placement, in ms.
    pub(crate) waited_ms: u64,
    /// Time of the first send.
    pub(crate) first_sent: Option<ClockTime>,
    /// Time from the receipt to the first event, in ms.
    pub(crate) first_ms: Option<u64>,
    /// Longest pause between two parts of the response, in ms.
    pub(crate) pause_ms: u64,
    /// Whether events have been forwarded to the caller.
    pub(crate) streaming: bool,
    unreachable: u32,
    excluded: Vec<TargetKey>,
    /// Error response of a target, returned to the caller if no other send succeeds.
    failure: Option<CompleteResponse>,
}

impl SendHistory {
    /// Returns whether the request may be sent again, and takes a retry from the budget if so.
    pub(crate) fn may_retry(&self, context: &RequestContext) -> bool {
        if self.sends >= context.route.max_attempts.max(1) {
            return false;
        }
        let now = ClockTime::monotonic();
        let node = &context.node;
        node.budget.borrow_mut().try_take(&context.service, node.node_count(now), now)
    }

    /// Returns the time left until the caller stops waiting for the next part of the response, in ms.
    fn left_ms(&self, context: &RequestContext, now: ClockTime) -> u64 {
        if !self.streaming {
            return context.first_response_left_ms(now);
        }
        // The caller of a resumed stream waits for the next event from now on.
        let gap_timeout_ms = context.route.stream_gap_timeout_ms().unwrap_or(u64::MAX);
        context.left_ms(now).min(gap_timeout_ms)
    }

    /// Returns the refusal for a request that is not sent again. It depends on whether a target may
    /// have run the request.
    fn give_up(&self, reason: &'static str, retry_after_ms: Option<u64>) -> Refusal {
        if self.may_have_run || self.in_flight {
            Refusal::Failed { status: StatusCode::BAD_GATEWAY, reason }
        } else {
            Refusal::NotRun { reason, retry_after_ms }
        }
    }
}

/// Sends a request until a target responds. `last_event` is the last event that the caller has
/// received.
pub(crate) async fn send_until_answered(
    context: &Rc<RequestContext>,
    history: &mut SendHistory,
    last_event: Option<u64>,
) -> Result<TargetResponse, Refusal> {
    loop {
        let sent = tokio::select! {
            // First, because the end of one request may grant its slot to another one.
            biased;
            () = context.node.until_last_answers() => {
                Err(Some(history.give_up(STOPPING, Some(STOPPING_RETRY_MS))))
            }
            sent = place_and_send(context, history, last_event) => sent,
        };
        match sent {
            Ok(response) => return Ok(response),
            Err(Some(refusal)) => {
                // An error response of a target takes precedence over our own refusal.
                return history.failure.take().map(TargetResponse::Complete).ok_or(refusal);
            }
            Err(None) => {}
        }
    }
}

/// Places and sends a request once. Returns `Err(None)` if the request may be placed again.
async fn place_and_send(
    context: &Rc<RequestContext>,
    history: &mut SendHistory,
    last_event: Option<u64>,
) -> Result<TargetResponse, Option<Refusal>> {
    let started = ClockTime::monotonic();
    await_pause_end(context, history).await.map_err(Some)?;
    let guard = place(context, history).await.map_err(Some)?;
    let now = ClockTime::monotonic();
    history.waited_ms = now.since(started);
    if context.node.is_paused(guard.target(), now) {
        // The target turned another request away while this one waited.
        guard.finish(AttemptOutcome::Dropped);
        return Err(None);
    }
    history.excluded.push(guard.target());
    let Some(announcement) = context.node.announcement(guard.target()) else {
        guard.finish(AttemptOutcome::Dropped);
        return Err(None);
    };
    history.last_target = Some(announcement.id.clone());
    history.first_sent.get_or_insert(now);
    history.in_flight = true;
    let result = send_once(context, history, guard, &announcement, last_event).await;
    history.in_flight = false;
    handle_send_result(context, history, &announcement, result)
}

/// Decides from the result of a send whether to respond, retry or refuse.
fn handle_send_result(
    context: &RequestContext,
    history: &mut SendHistory,
    announcement: &TargetAnnouncement,
    result: SendResult,
) -> Result<TargetResponse, Option<Refusal>> {
    let repeatable = context.route.repeatable();
    let cause = match result {
        SendResult::Response(TargetResponse::Complete(response)) => {
            history.sends += 1;
            history.may_have_run = true;
            if response.parts.status.is_success() {
                context.node.clear_suspects(&context.traits);
            }
            if !response.parts.status.is_server_error() || !repeatable {
                return Ok(TargetResponse::Complete(response));
            }
            history.failure = Some(response);
            "the target answered with a failure"
        }
        SendResult::Response(stream @ TargetResponse::Stream(_)) => {
            let first_ms = ClockTime::monotonic().since(context.request.received);
            history.first_ms.get_or_insert(first_ms);
            context.node.clear_suspects(&context.traits);
            history.sends += 1;
            history.may_have_run = true;
            return Ok(stream);
        }
        SendResult::NotRun => {
            history.sends += 1;
            "the target did not run the request"
        }
        SendResult::Unreachable => {
            history.unreachable += 1;
            log_send(context, announcement, "the target could not be reached");
            if history.unreachable >= MAX_UNREACHABLE {
                let reason = "several targets could not be reached";
                return Err(Some(history.give_up(reason, Some(FULL_RETRY_MS))));
            }
            return Err(None);
        }
        SendResult::Broken(cause) => {
            history.sends += 1;
            history.may_have_run = true;
            context.node.suspect(&context.traits, announcement);
            context.count_wasted_prefill(cause);
            cause
        }
        SendResult::Stalled => {
            history.sends += 1;
            history.may_have_run = true;
            let cause = "the target is silent";
            context.count_wasted_prefill(cause);
            cause
        }
        SendResult::DeadlinePassed => {
            history.sends += 1;
            let reason = "the target did not answer in time";
            log_send(context, announcement, reason);
            context.count_wasted_prefill(reason);
            let status = StatusCode::GATEWAY_TIMEOUT;
            return Err(Some(Refusal::Failed { status, reason }));
        }
    };
    log_send(context, announcement, cause);
    if (history.may_have_run && !repeatable) || !history.may_retry(context) {
        return Err(Some(history.give_up(cause, Some(FULL_RETRY_MS))));
    }
    Err(None)
}

fn log_send(context: &RequestContext, announcement: &TargetAnnouncement, cause: &str) {
    let id = &context.request.attempt;
    let target = &announcement.id;
    let after_ms = ClockTime::monotonic().since(context.request.received);
    log::info!(
        target: "burdockcleat",
        "event=request.send_failed id={id} target={target} incarnation={} cause=\"{cause}\" after_ms={after_ms} parts={}",
        announcement.incarnation, context.request.describe_parts()
    );
    context.node.metrics.borrow_mut().count("sends_failed", cause, 1);
}

/// Waits while all targets that the request may go to want nothing from this node.
async fn await_pause_end(context: &RequestContext, history: &SendHistory) -> Result<(), Refusal> {
    let node = &context.node;
    loop {
        let now = ClockTime::monotonic();
        let Some(end) = node.pause_end(&context.service, &history.excluded, now) else {
            return Ok(());
        };
        let wait_ms = end.since(now);
        if wait_ms > history.left_ms(context, now) / PAUSE_WAIT_DIVISOR {
            let reason = "the targets of the service want no requests now";
            return Err(history.give_up(reason, Some(wait_ms.min(MAX_PAUSE_RETRY_MS))));
        }
        // Another target may become usable meanwhile.
        tokio::time::sleep(Duration::from_millis(wait_ms.min(PAUSE_CHECK_MS))).await;
    }
}

/// Returns the time that is needed after a send, in ms. A stream that broke off ends at once unless
/// it is resumed, so it may be resumed at any time.
fn expected_ms(context: &RequestContext, history: &SendHistory, now: ClockTime) -> u64 {
    if history.streaming {
        return 0;
    }
    let left_ms = context.left_ms(now);
    let expected_ms = context.node.durations.borrow().expected_ms(&context.route.name);
    expected_ms.map_or(left_ms, |ms| ms.min(left_ms))
}

/// Waits until a target is chosen for the request.
async fn place(
    context: &Rc<RequestContext>,
    history: &SendHistory,
) -> Result<ActiveRequestGuard, Refusal> {
    let now = ClockTime::monotonic();
    // A resumed stream has the highest priority, since a refusal would waste the work of its earlier
    // targets.
    let rank = if history.streaming { 0 } else { context.rank };
    let left_ms = history.left_ms(context, now);
    if left_ms == 0 {
        return Err(history.give_up("no time is left", None));
    }
    let node = &context.node;
    let waited = (now.since(context.request.received) + context.spent_ms).cast_signed();
    let objective_ms = context.route.objective_ms.cast_signed();
    let objective_left_ms = objective_ms - if history.streaming { 0 } else { waited };
    let request = PlacementRequest {
        key: node.next_placement_key(),
        process: node.process,
        service: context.service.clone(),
        domain: node.settings.domain.clone(),
        version: None,
        rank,
        prompt_tokens: context.prompt_tokens(),
        output_tokens: context.output_tokens(),
        objective_left_ms,
        deadline_left_ms: left_ms,
        answer_left_ms: context.left_ms(now),
        pause_ms: context.route.pause_ms,
        excluded: [history.excluded.clone(), node.paused_targets(&context.service, now)].concat(),
    };
    let expected_ms = expected_ms(context, history, now);
    let placement = node.place(request);
    let placed = tokio::select! {
        biased;
        () = node.until_blocked(&context.traits) => {
            return Err(history.give_up(CRASHES_TARGETS, None));
        }
        () = node.until_too_late(expected_ms) => {
            return Err(history.give_up(STOPPING, Some(STOPPING_RETRY_MS)));
        }
        placed = tokio::time::timeout(Duration::from_millis(left_ms), placement) => placed,
    };
    match placed {
        Ok(Placement::Granted(guard)) => Ok(guard),
        Ok(Placement::Refused { reason, retry_after_ms }) => {
            let reason = match reason {
                RefusalReason::WaitTooLong => "the wait for a target would be too long",
                RefusalReason::NoTarget => "no target of the service can be used",
            };
            Err(history.give_up(reason, Some(retry_after_ms)))
        }
        Err(_) => Err(history.give_up("no target became free in time", None)),
    }
}
