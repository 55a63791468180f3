//! Sends of a request to targets, until one answers or the request is given up.

use super::send::{OpenAnswer, SendResult, WholeAnswer, send_once};
use super::{Refusal, RequestContext};
use crate::node::{Placement, TicketGuard};
use crate::placement::{AttemptOutcome, PlacementRequest, RefusalReason, TargetKey};
use crate::targets::TargetAnnouncement;
use burdockcleat_core::clock::ClockTime;
use hyper::StatusCode;
use std::rc::Rc;
use std::time::Duration;

/// Targets that a request may fail to reach before it is refused.
const MAX_UNREACHABLE: u32 = 4;
/// Time to come back after the targets were full or unreachable, in ms.
const FULL_RETRY_MS: u64 = 300;

/// What happened to a request so far.
#[derive(Default)]
pub(crate) struct Attempts {
    /// Sends that reached a target.
    pub(crate) sends: u32,
    /// Whether a send may have run.
    pub(crate) may_have_run: bool,
    pub(crate) last_target: Option<String>,
    /// Wait for the placement of the last send, in ms.
    pub(crate) waited_ms: u64,
    /// Time from the receipt to the first event, in ms.
    pub(crate) first_ms: Option<u64>,
    /// Longest pause between two parts of the answer, in ms.
    pub(crate) pause_ms: u64,
    /// Whether events have been passed on.
    pub(crate) streaming: bool,
    unreachable: u32,
    excluded: Vec<TargetKey>,
    /// A failure that a target answered, for the case that no other send succeeds.
    failure: Option<WholeAnswer>,
}

impl Attempts {
    /// Whether the request may be sent to another target after it was sent once.
    pub(crate) fn may_repeat(&self, context: &RequestContext) -> bool {
        if self.sends >= context.route.max_attempts.max(1) {
            return false;
        }
        let now = ClockTime::monotonic();
        let node = &context.node;
        node.budget.borrow_mut().take(&context.service, node.node_count(now), now)
    }

    fn give_up(&self, reason: &'static str, retry_after_ms: Option<u64>) -> Refusal {
        if self.may_have_run {
            Refusal::Failed { status: StatusCode::BAD_GATEWAY, reason }
        } else {
            Refusal::NotRun { reason, retry_after_ms }
        }
    }
}

/// Sends a request until a target answers. `last_event` is the last event that the caller has.
pub(crate) async fn open_answer(
    context: &Rc<RequestContext>,
    attempts: &mut Attempts,
    last_event: Option<u64>,
) -> Result<OpenAnswer, Refusal> {
    loop {
        match place_and_send(context, attempts, last_event).await {
            Ok(answer) => return Ok(answer),
            Err(Some(refusal)) => {
                // A failure that a target answered goes before one of our own.
                return attempts.failure.take().map(OpenAnswer::Whole).ok_or(refusal);
            }
            Err(None) => {}
        }
    }
}

/// One placement and send. Fails with no refusal if the request may be placed again.
async fn place_and_send(
    context: &Rc<RequestContext>,
    attempts: &mut Attempts,
    last_event: Option<u64>,
) -> Result<OpenAnswer, Option<Refusal>> {
    let started = ClockTime::monotonic();
    let ticket = match place(context, attempts).await {
        Ok(ticket) => ticket,
        Err(refusal) => return Err(Some(refusal)),
    };
    attempts.waited_ms = ClockTime::monotonic().since(started);
    attempts.excluded.push(ticket.target());
    let Some(announcement) = context.node.announcement(ticket.target()) else {
        ticket.finish(AttemptOutcome::Dropped);
        return Err(None);
    };
    attempts.last_target = Some(announcement.id.clone());
    let result = send_once(context, attempts, ticket, &announcement, last_event).await;
    judge(context, attempts, &announcement, result)
}

/// Decides what follows from the result of a send.
fn judge(
    context: &RequestContext,
    attempts: &mut Attempts,
    announcement: &TargetAnnouncement,
    result: SendResult,
) -> Result<OpenAnswer, Option<Refusal>> {
    let repeatable = context.route.repeatable();
    let cause = match result {
        SendResult::Answer(OpenAnswer::Whole(answer)) => {
            attempts.sends += 1;
            attempts.may_have_run = true;
            if !answer.parts.status.is_server_error() || !repeatable {
                return Ok(OpenAnswer::Whole(answer));
            }
            attempts.failure = Some(answer);
            "the target answered with a failure"
        }
        SendResult::Answer(stream @ OpenAnswer::Stream(_)) => {
            let first_ms = ClockTime::monotonic().since(context.request.received);
            attempts.first_ms.get_or_insert(first_ms);
            attempts.sends += 1;
            attempts.may_have_run = true;
            return Ok(stream);
        }
        SendResult::NotRun => {
            attempts.sends += 1;
            "the target did not run the request"
        }
        SendResult::Unreachable => {
            attempts.unreachable += 1;
            log_send(context, announcement, "the target could not be reached");
            if attempts.unreachable >= MAX_UNREACHABLE {
                let reason = "several targets could not be reached";
                return Err(Some(attempts.give_up(reason, Some(FULL_RETRY_MS))));
            }
            return Err(None);
        }
        SendResult::Broken(cause) => {
            attempts.sends += 1;
            attempts.may_have_run = true;
            context.node.suspect(context.fingerprint, announcement);
            context.count_wasted_prefill(cause);
            cause
        }
        SendResult::Stalled => {
            attempts.sends += 1;
            attempts.may_have_run = true;
            let cause = "the target is silent";
            context.count_wasted_prefill(cause);
            cause
        }
        SendResult::Late => {
            attempts.sends += 1;
            let reason = "the target did not answer in time";
            log_send(context, announcement, reason);
            context.count_wasted_prefill(reason);
            let status = StatusCode::GATEWAY_TIMEOUT;
            return Err(Some(Refusal::Failed { status, reason }));
        }
    };
    log_send(context, announcement, cause);
    if (attempts.may_have_run && !repeatable) || !attempts.may_repeat(context) {
        return Err(Some(attempts.give_up(cause, Some(FULL_RETRY_MS))));
    }
    Err(None)
}

fn log_send(context: &RequestContext, announcement: &TargetAnnouncement, cause: &str) {
    let id = &context.request.attempt;
    let target = &announcement.id;
    let after_ms = ClockTime::monotonic().since(context.request.received);
    log::info!(
        target: "burdockcleat",
        "event=request.send_failed id={id} target={target} cause=\"{cause}\" after_ms={after_ms}"
    );
    context.node.metrics.borrow_mut().count("sends_failed", cause, 1);
}

/// Has a target chosen for the request.
async fn place(context: &Rc<RequestContext>, attempts: &Attempts) -> Result<TicketGuard, Refusal> {
    let now = ClockTime::monotonic();
    // The caller of a resumed stream waits for the next event from now on. It goes before all others:
    // refused, it would lose what its targets have done already.
    let (rank, left_ms) = if attempts.streaming {
        let patience_ms = context.route.stream_gap_timeout_ms().unwrap_or(u64::MAX);
        (0, context.left_ms(now).min(patience_ms))
    } else {
        (context.rank, context.patience_left_ms(now))
    };
    if left_ms == 0 {
        return Err(attempts.give_up("no time is left", None));
    }
    let node = &context.node;
    let waited = (now.since(context.request.received) + context.spent_ms).cast_signed();
    let objective_ms = context.route.objective_ms.cast_signed();
    let objective_left_ms = objective_ms - if attempts.streaming { 0 } else { waited };
    let ticket = PlacementRequest {
        key: node.next_ticket(),
        process: node.process,
        service: context.service.clone(),
        domain: node.settings.domain.clone(),
        rank,
        prompt_tokens: context.prompt_tokens(),
        output_tokens: context.output_tokens(),
        objective_left_ms,
        deadline_left_ms: left_ms,
        answer_left_ms: context.left_ms(now),
        pause_ms: context.route.pause_ms,
        excluded: attempts.excluded.clone(),
    };
    let placement = node.place(ticket);
    match tokio::time::timeout(Duration::from_millis(left_ms), placement).await {
        Ok(Placement::Granted(ticket)) => Ok(ticket),
        Ok(Placement::Refused { reason, retry_after_ms }) => {
            let reason = match reason {
                RefusalReason::WaitTooLong => "the wait for a target would be too long",
                RefusalReason::NoTarget => "no target of the service can be used",
            };
            Err(attempts.give_up(reason, Some(retry_after_ms)))
        }
        Err(_) => Err(attempts.give_up("no target became free in time", None)),
    }
}
