//! Sends a request to one target after another until one responds or no retry is left.

use super::send::{CompleteResponse, PendingSend, SendResult, TargetResponse};
use super::silence::{replace_silent, response_stall_ms};
use super::{CRASHES_TARGETS, Refusal, RequestContext, STOPPING, STOPPING_RETRY_MS, workspace_key};
use crate::node::{ActiveRequestGuard, Placement, target_key};
use crate::placement::{AttemptOutcome, PlacementRequest, RefusalReason, TargetKey, VersionKey};
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
    /// Number of sends, without those that did not reach their target.
    pub(crate) sends: u32,
    /// Number of sends whose outcome is not known.
    open_sends: u32,
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
    /// Version of the targets that may run the request; `None` while all may. What targets of two
    /// versions write does not fit together, so a stream ends at the version that began it.
    pub(crate) version: Option<VersionKey>,
    /// Target that brought the first event of the answer.
    pub(super) first_target: Option<TargetAnnouncement>,
    unreachable: u32,
    excluded: Vec<TargetKey>,
    /// Error response of a target, returned to the caller if no other send succeeds.
    pub(super) failure: Option<CompleteResponse>,
}

/// Target that was granted to a request.
pub(super) struct GrantedTarget {
    pub(super) announcement: TargetAnnouncement,
    pub(super) guard: ActiveRequestGuard,
    /// Time that the request waited for the grant, in ms.
    pub(super) waited_ms: u64,
}

/// Reason why a request got no response from a target.
pub(super) enum SendFailure {
    /// The request reached no target, so it may be sent again without a retry of the budget.
    Free,
    /// The request may be sent again within the budget. Carries the refusal in case it is not.
    Retry(Refusal),
    /// The request may not be sent again.
    Final(Refusal),
}

impl SendHistory {
    /// Creates the history of a request that only targets of `version` may run.
    pub(super) fn new(version: Option<VersionKey>) -> Self {
        Self { version, ..Self::default() }
    }

    /// Returns whether the request may be sent again.
    pub(super) fn can_retry(&self, context: &RequestContext) -> bool {
        let node = &context.node;
        let now = ClockTime::monotonic();
        self.sends < context.route.max_attempts.max(1)
            && node.budget.borrow_mut().has_retry(&context.service, node.node_count(now), now)
    }

    /// Takes a retry from the budget. Returns false if the request may not be sent again.
    pub(super) fn take_retry(&self, context: &RequestContext) -> bool {
        let node = &context.node;
        let now = ClockTime::monotonic();
        self.sends < context.route.max_attempts.max(1)
            && node.budget.borrow_mut().try_take(&context.service, node.node_count(now), now)
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
        if self.may_have_run || self.open_sends > 0 {
            Refusal::Failed { status: StatusCode::BAD_GATEWAY, reason }
        } else {
            Refusal::NotRun { reason, retry_after_ms }
        }
    }
}

/// Sends a request until a target responds. `last_event` is the last event that the caller has
/// received. `pending` is the first send if it was already started.
pub(crate) async fn send_until_answered(
    context: &Rc<RequestContext>,
    history: &mut SendHistory,
    last_event: Option<u64>,
    mut pending: Option<PendingSend>,
) -> Result<TargetResponse, Refusal> {
    loop {
        let sent = tokio::select! {
            // First, because the end of one request may grant its slot to another one.
            biased;
            () = context.node.until_last_answers() => {
                let refusal = history.give_up(STOPPING, Some(STOPPING_RETRY_MS));
                Err(SendFailure::Final(refusal))
            }
            sent = place_and_send(context, history, last_event, pending.take()) => sent,
        };
        let refusal = match sent {
            Ok(response) => return Ok(response),
            Err(SendFailure::Free) => continue,
            Err(SendFailure::Retry(_)) if history.take_retry(context) => continue,
            Err(SendFailure::Retry(refusal) | SendFailure::Final(refusal)) => refusal,
        };
        // An error response of a target takes precedence over our own refusal.
        return history.failure.take().map(TargetResponse::Complete).ok_or(refusal);
    }
}

/// Waits for the response to the pending send, or places and sends the request once.
async fn place_and_send(
    context: &Rc<RequestContext>,
    history: &mut SendHistory,
    last_event: Option<u64>,
    pending: Option<PendingSend>,
) -> Result<TargetResponse, SendFailure> {
    let send = match pending {
        Some(send) => send,
        None => {
            let target = find_target(context, history).await?;
            start_send(context, history, target, last_event)?
        }
    };
    await_response(context, history, send, last_event).await
}

/// Waits until a target is granted that wants requests.
pub(super) async fn find_target(
    context: &Rc<RequestContext>,
    history: &mut SendHistory,
) -> Result<GrantedTarget, SendFailure> {
    let started = ClockTime::monotonic();
    await_pause_end(context, history).await.map_err(SendFailure::Final)?;
    if let Some(version) = history.version {
        let left_ms = history.left_ms(context, started);
        context.node.await_heard_target(&context.service, version, left_ms).await;
    }
    let guard = place(context, history).await.map_err(SendFailure::Final)?;
    let now = ClockTime::monotonic();
    if context.node.is_paused(guard.target(), now) {
        // The target turned another request away while this one waited.
        guard.finish(AttemptOutcome::Dropped);
        return Err(SendFailure::Free);
    }
    if history.version.is_some() && context.node.is_outdated(guard.target()) {
        // This node was absent while the request waited, or has not used the target for long.
        history.excluded.push(guard.target());
        guard.finish(AttemptOutcome::Dropped);
        return Err(SendFailure::Free);
    }
    let Some(announcement) = context.node.announcement(guard.target()) else {
        history.excluded.push(guard.target());
        guard.finish(AttemptOutcome::Dropped);
        return Err(SendFailure::Free);
    };
    Ok(GrantedTarget { announcement, guard, waited_ms: now.since(started) })
}

/// Sends a request to the target that it was granted.
pub(super) fn start_send(
    context: &Rc<RequestContext>,
    history: &mut SendHistory,
    target: GrantedTarget,
    last_event: Option<u64>,
) -> Result<PendingSend, SendFailure> {
    history.excluded.push(target.guard.target());
    history.sends += 1;
    let reason = "the request could not be encoded";
    let send = PendingSend::start(context, target, last_event)
        .ok_or_else(|| SendFailure::Final(history.give_up(reason, None)))?;
    history.open_sends += 1;
    history.first_sent.get_or_insert_with(ClockTime::monotonic);
    Ok(send)
}

/// Waits for the response to a request. If the target is silent, another one replaces it once it has
/// taken the request.
async fn await_response(
    context: &Rc<RequestContext>,
    history: &mut SendHistory,
    mut send: PendingSend,
    last_event: Option<u64>,
) -> Result<TargetResponse, SendFailure> {
    loop {
        history.last_target = Some(send.announcement.id.clone());
        history.waited_ms = send.waited_ms;
        let stall_ms = response_stall_ms(context, history);
        let next = tokio::select! {
            biased;
            () = send.receive_head() => return finish_send(context, history, send).await,
            next = replace_silent(context, history, stall_ms, last_event) => next,
        };
        let cause = "the target is silent";
        history.may_have_run = true;
        context.count_wasted_prefill(cause);
        log_send(context, &send.announcement, cause);
        std::mem::replace(&mut send, next).abandon();
    }
}

/// Reads the response to a request and decides whether to respond, retry or refuse.
pub(super) async fn finish_send(
    context: &RequestContext,
    history: &mut SendHistory,
    send: PendingSend,
) -> Result<TargetResponse, SendFailure> {
    let (announcement, result) = send.receive().await;
    history.open_sends -= 1;
    handle_send_result(context, history, &announcement, result)
}

/// Decides from the result of a send whether to respond, retry or refuse.
fn handle_send_result(
    context: &RequestContext,
    history: &mut SendHistory,
    announcement: &TargetAnnouncement,
    result: SendResult,
) -> Result<TargetResponse, SendFailure> {
    let repeatable = context.route.repeatable();
    let cause = match result {
        SendResult::Response(TargetResponse::Complete(response)) => {
            history.may_have_run = true;
            if response.parts.status.is_success() {
                let headers = &response.parts.headers;
                context.node.note_complete_answer(&context.traits, announcement, headers);
            }
            if !response.parts.status.is_server_error() || !repeatable {
                return Ok(TargetResponse::Complete(response));
            }
            history.failure = Some(response);
            "the target answered with a failure"
        }
        // The request names only the id of its target, which may run another version by now.
        SendResult::Response(TargetResponse::Stream(_))
            if context.route.resumable && context.node.has_restarted(announcement) =>
        {
            history.may_have_run = true;
            "the target has started again"
        }
        SendResult::Response(stream @ TargetResponse::Stream(_)) => {
            let first_ms = ClockTime::monotonic().since(context.request.received);
            history.first_ms.get_or_insert(first_ms);
            // What an outdated target writes may be of another version than the known one.
            let outdated =
                context.route.resumable && context.node.is_outdated(target_key(announcement));
            let version = if outdated { VersionKey::UNKNOWN } else { announcement.version_key() };
            history.version.get_or_insert(version);
            history.first_target.get_or_insert_with(|| announcement.clone());
            context.node.note_begun_answer(&context.traits);
            history.may_have_run = true;
            return Ok(stream);
        }
        SendResult::NotRun => "the target did not run the request",
        SendResult::Unreachable => {
            history.sends -= 1;
            history.unreachable += 1;
            log_send(context, announcement, "the target could not be reached");
            if history.unreachable >= MAX_UNREACHABLE {
                let reason = "several targets could not be reached";
                return Err(SendFailure::Final(history.give_up(reason, Some(FULL_RETRY_MS))));
            }
            return Err(SendFailure::Free);
        }
        SendResult::Broken(cause) => {
            history.may_have_run = true;
            context.node.suspect(&context.traits, announcement);
            context.count_wasted_prefill(cause);
            cause
        }
        SendResult::DeadlinePassed => {
            let reason = "the target did not answer in time";
            log_send(context, announcement, reason);
            context.count_wasted_prefill(reason);
            let status = StatusCode::GATEWAY_TIMEOUT;
            return Err(SendFailure::Final(Refusal::Failed { status, reason }));
        }
    };
    log_send(context, announcement, cause);
    let refusal = history.give_up(cause, Some(FULL_RETRY_MS));
    if history.may_have_run && !repeatable {
        return Err(SendFailure::Final(refusal));
    }
    Err(SendFailure::Retry(refusal))
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
        let excluded = &history.excluded;
        let Some(end) = node.pause_end(&context.service, history.version, excluded, now) else {
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
    // A stream that has begun has met or missed its objective, and its caller waits for the next event.
    let objective_left_ms = if history.version.is_some() {
        left_ms.cast_signed()
    } else {
        let waited = (now.since(context.request.received) + context.spent_ms).cast_signed();
        context.route.objective_ms.cast_signed() - waited
    };
    let attempts_left = history.sends + 1 < context.route.max_attempts;
    let repeatable = context.route.repeatable() && attempts_left && history.can_retry(context);
    let paused = node.paused_targets(&context.service, now);
    let outdated =
        history.version.map(|version| node.outdated_targets(&context.service, version).0);
    let request = PlacementRequest {
        key: node.next_placement_key(),
        process: node.process,
        service: context.service.clone(),
        domain: node.settings.domain.clone(),
        version: history.version,
        rank,
        workspace: context.workspace.as_deref().map(workspace_key),
        share: context.share,
        stream: context.stream(),
        identity: context.identity(),
        prompt_tokens: context.prompt_tokens(),
        output_tokens: context.output_tokens(),
        max_output_tokens: context.max_output_tokens(),
        objective_left_ms,
        deadline_left_ms: left_ms,
        answer_left_ms: context.left_ms(now),
        pause_ms: context.route.pause_ms,
        repeatable,
        excluded: [history.excluded.clone(), paused, outdated.unwrap_or_default()].concat(),
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
            let (reason, retry_after_ms) = match reason {
                RefusalReason::WaitTooLong => {
                    ("the wait for a target would be too long", Some(retry_after_ms))
                }
                RefusalReason::NoTarget => {
                    ("no target of the service can be used", Some(retry_after_ms))
                }
                RefusalReason::TooLarge => {
                    ("the request is larger than the memory of any target", None)
                }
                RefusalReason::CannotFinish => ("no target would end the output in time", None),
            };
            Err(history.give_up(reason, retry_after_ms))
        }
        Err(_) => Err(history.give_up("no target became free in time", None)),
    }
}
