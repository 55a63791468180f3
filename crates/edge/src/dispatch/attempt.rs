//! Sends of a request to targets, until one answers or the request is given up.

use super::{Refusal, RequestContext, streamed};
use crate::events::EventSplitter;
use crate::node::{Placement, TicketGuard};
use crate::placement::{PlacementTicket, RefusalReason, TargetKey, TicketOutcome};
use crate::reply::ReplyBody;
use crate::request::{header_value, hop_by_hop};
use crate::targets::TargetAnnouncement;
use crate::upstream::{LinkGuard, SendFault};
use burdockcleat_core::clock::ClockTime;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;

/// Time after the deadline for which the target's own answer is awaited, in ms: it ends its work
/// at the deadline that it was given.
const ANSWER_MARGIN_MS: u64 = 60;
/// Silence of a target before the first event after which another one is tried, beside the time for
/// the prompt, in ms: several times that of a busy target.
const STREAM_STALL_MS: u64 = 700;
/// Prompt tokens that the slowest target reads in a ms under load.
const STALL_TOKENS_PER_MS: u64 = 8;
/// Silence of a plain target after which another one is tried, in latency objectives.
const STALL_OBJECTIVES: u64 = 2;
/// Largest answer that is read whole, in bytes.
const MAX_WHOLE_BYTES: usize = 16 << 20;
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

/// A target's answer that was read to its end.
pub(crate) struct WholeAnswer {
    pub(crate) parts: Parts,
    body: Bytes,
}

/// A target's event stream whose first event has arrived.
pub(crate) struct StreamSource {
    pub(crate) parts: Parts,
    pub(crate) body: Incoming,
    pub(crate) link: LinkGuard,
    pub(crate) ticket: TicketGuard,
    pub(crate) splitter: EventSplitter,
    /// The first events; empty if the stream ended without any.
    pub(crate) first: Bytes,
    pub(crate) ended: bool,
}

/// An answer that can be passed on.
pub(crate) enum OpenAnswer {
    Whole(WholeAnswer),
    Stream(Box<StreamSource>),
}

/// Result of one send.
enum SendResult {
    Answer(OpenAnswer),
    /// The target answered that the request did not run.
    NotRun,
    Unreachable,
    /// The target broke off, or answered with something else than its answer.
    Broken(&'static str),
    /// No answer until the deadline.
    Late,
    /// The target has been silent for so long that another one is tried.
    Stalled,
}

impl WholeAnswer {
    pub(crate) fn into_response(self, context: &RequestContext) -> Response<ReplyBody> {
        let body = if self.body.is_empty() { None } else { Some(self.body) };
        let mut response = Response::from_parts(self.parts, ReplyBody::Whole(body));
        strip_headers(response.headers_mut(), context.request.method == Method::HEAD);
        response
    }
}

/// Removes the headers that concern only the target's connection.
pub(crate) fn strip_headers(headers: &mut HeaderMap, keep_length: bool) {
    let dropped: Vec<_> = headers
        .keys()
        .filter(|name| hop_by_hop(name) || (**name == CONTENT_LENGTH && !keep_length))
        .cloned()
        .collect();
    for name in dropped {
        headers.remove(&name);
    }
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
        ticket.finish(TicketOutcome::Dropped);
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
            cause
        }
        SendResult::Stalled => {
            attempts.sends += 1;
            attempts.may_have_run = true;
            "the target is silent"
        }
        SendResult::Late => {
            attempts.sends += 1;
            let reason = "the target did not answer in time";
            log_send(context, announcement, reason);
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
    // A resumed stream has its first events, and its caller waits for the next one from now on.
    let left_ms = if attempts.streaming {
        context.left_ms(now).min(context.route.patience_ms().unwrap_or(u64::MAX))
    } else {
        context.patience_left_ms(now)
    };
    if left_ms == 0 {
        return Err(attempts.give_up("no time is left", None));
    }
    let node = &context.node;
    let waited = now.since(context.request.received);
    let objective_left_ms = context.route.objective_ms.cast_signed() - waited.cast_signed();
    let ticket = PlacementTicket {
        key: node.next_ticket(),
        process: node.process,
        service: context.service.clone(),
        domain: node.settings.domain.clone(),
        rank: context.rank,
        prompt_tokens: context.prompt_tokens(),
        output_tokens: context.output_tokens(),
        objective_left_ms,
        deadline_left_ms: left_ms,
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

/// Sends the request to one target and reads its answer: streams up to the first event, all others
/// to the end.
async fn send_once(
    context: &Rc<RequestContext>,
    attempts: &Attempts,
    ticket: TicketGuard,
    announcement: &TargetAnnouncement,
    last_event: Option<u64>,
) -> SendResult {
    let left_ms = context.left_ms(ClockTime::monotonic());
    let Some(request) = build_request(context, announcement, last_event, left_ms) else {
        return SendResult::Broken("the request could not be encoded");
    };
    context.confirm_charge();
    let node = &context.node;
    let exchange = async {
        let (response, link, _) = match node.upstreams.send(announcement.address, request).await {
            Ok(sent) => sent,
            Err(fault) => return Err(fault),
        };
        ticket.started();
        Ok((response, link))
    };
    let stall_ms = stall_ms(context, attempts);
    let limit_ms = stall_ms.unwrap_or(u64::MAX).min(left_ms + ANSWER_MARGIN_MS);
    let sent = tokio::time::timeout(Duration::from_millis(limit_ms), exchange).await;
    let (response, link) = match sent {
        Err(_) => {
            ticket.finish(TicketOutcome::Stalled);
            let stalled = stall_ms == Some(limit_ms);
            return if stalled { SendResult::Stalled } else { SendResult::Late };
        }
        Ok(Err(SendFault::NotSent(cause))) => {
            log::debug!(target: "burdockcleat", "event=target.unreachable target={} cause=\"{cause}\"", announcement.id);
            node.upstreams.forget(announcement.address);
            ticket.finish(TicketOutcome::Unreachable);
            return SendResult::Unreachable;
        }
        Ok(Err(SendFault::Lost(cause))) => {
            log::debug!(target: "burdockcleat", "event=target.broke target={} cause=\"{cause}\"", announcement.id);
            ticket.finish(TicketOutcome::Broken);
            return SendResult::Broken("the target broke off before its answer");
        }
        Ok(Ok(sent)) => sent,
    };
    read_answer(context, ticket, announcement, response, link).await
}

async fn read_answer(
    context: &Rc<RequestContext>,
    ticket: TicketGuard,
    announcement: &TargetAnnouncement,
    response: Response<Incoming>,
    link: LinkGuard,
) -> SendResult {
    let names = &context.node.dialect.headers;
    let (parts, body) = response.into_parts();
    let misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    if misdirected || parts.headers.contains_key(&names.not_run) {
        if misdirected {
            context.node.end_target(announcement);
        }
        ticket.finish(if misdirected { TicketOutcome::Unreachable } else { TicketOutcome::Full });
        return SendResult::NotRun;
    }
    let echoed = parts.headers.get(&names.attempt).and_then(|value| value.to_str().ok());
    let foreign = echoed != Some(context.request.attempt.as_str())
        || (parts.status.is_success() && !parts.headers.contains_key(&names.signature))
        || parts.headers.contains_key(CONTENT_ENCODING);
    if foreign {
        ticket.finish(TicketOutcome::Broken);
        return SendResult::Broken("the target answered with something else");
    }
    if streamed(&context.route) && parts.status.is_success() {
        return read_first_event(context, ticket, parts, body, link).await;
    }
    let left_ms = context.left_ms(ClockTime::monotonic());
    let limit = Duration::from_millis(left_ms + ANSWER_MARGIN_MS);
    let whole = http_body_util::Limited::new(body, MAX_WHOLE_BYTES).collect();
    match tokio::time::timeout(limit, whole).await {
        Err(_) => {
            ticket.finish(TicketOutcome::Broken);
            SendResult::Late
        }
        Ok(Err(_)) => {
            ticket.finish(TicketOutcome::Broken);
            SendResult::Broken("the target broke off its answer")
        }
        Ok(Ok(body)) => {
            link.release();
            ticket.finish(TicketOutcome::Answered);
            SendResult::Answer(OpenAnswer::Whole(WholeAnswer { parts, body: body.to_bytes() }))
        }
    }
}

async fn read_first_event(
    context: &Rc<RequestContext>,
    ticket: TicketGuard,
    parts: Parts,
    mut body: Incoming,
    link: LinkGuard,
) -> SendResult {
    let mut splitter = EventSplitter::default();
    loop {
        let left_ms = context.left_ms(ClockTime::monotonic());
        let limit = Duration::from_millis(left_ms + ANSWER_MARGIN_MS);
        let Ok(frame) = tokio::time::timeout(limit, body.frame()).await else {
            ticket.finish(TicketOutcome::Broken);
            return SendResult::Late;
        };
        let broken = "the target broke off before the first event";
        let (first, ended) = match frame {
            None if splitter.torn() => {
                ticket.finish(TicketOutcome::Broken);
                return SendResult::Broken(broken);
            }
            None => (Bytes::new(), true),
            Some(Err(_)) => {
                ticket.finish(TicketOutcome::Broken);
                return SendResult::Broken(broken);
            }
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                match splitter.push(&data) {
                    Ok(Some(events)) => (events, false),
                    Ok(None) => continue,
                    Err(_) => {
                        ticket.finish(TicketOutcome::Broken);
                        return SendResult::Broken(broken);
                    }
                }
            }
        };
        let source = StreamSource { parts, body, link, ticket, splitter, first, ended };
        return SendResult::Answer(OpenAnswer::Stream(Box::new(source)));
    }
}

/// Silence of a target, in ms, after which a request goes to another one. None if it may not.
fn stall_ms(context: &RequestContext, attempts: &Attempts) -> Option<u64> {
    let route = &context.route;
    if !route.repeatable() || attempts.sends + 1 >= route.max_attempts {
        return None;
    }
    Some(if streamed(route) {
        STREAM_STALL_MS + u64::from(context.prompt_tokens()) / STALL_TOKENS_PER_MS
    } else {
        route.objective_ms * STALL_OBJECTIVES
    })
}

fn build_request(
    context: &RequestContext,
    announcement: &TargetAnnouncement,
    last_event: Option<u64>,
    left_ms: u64,
) -> Option<Request<Full<Bytes>>> {
    let names = &context.node.dialect.headers;
    let caller = &context.request;
    let mut request = Request::builder()
        .method(caller.method.clone())
        .uri(&caller.uri)
        .body(Full::new(caller.body.clone()))
        .ok()?;
    let headers = request.headers_mut();
    headers.clone_from(&caller.headers);
    headers.insert(names.deadline.clone(), left_ms.max(1).into());
    headers.insert(names.expected_target.clone(), header_value(&announcement.id)?);
    if let Some(workspace) = &context.workspace {
        headers.insert(names.workspace.clone(), header_value(workspace)?);
    }
    if let Some(last_event) = last_event {
        headers.insert(names.last_event.clone(), last_event.into());
    }
    Some(request)
}
