//! One send of a request to one target, up to an answer that can be passed on.

use super::attempt::Attempts;
use super::{RequestContext, streamed};
use crate::events::EventSplitter;
use crate::node::{NodeState, TicketGuard};
use crate::placement::AttemptOutcome;
use crate::reply::ReplyBody;
use crate::request::{header_value, hop_by_hop};
use crate::targets::TargetAnnouncement;
use crate::upstream::{LinkGuard, SendFault};
use burdockcleat_core::clock::ClockTime;
use bytes::{Bytes, BytesMut};
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
const MAX_WHOLE_BYTES: usize = 4 << 20;
/// Bytes of answers that are being read whole at a node at most: a part of the memory of a small
/// instance.
const MAX_BUFFERED_BYTES: usize = 24 << 20;
/// Bytes that a stream may bring without a whole event, frames of its chunks included.
pub(super) const MAX_EVENT_FRAME_BYTES: u64 = 512 << 10;

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
pub(super) enum SendResult {
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

/// Sends the request to one target and reads its answer: streams up to the first event, all others
/// to the end.
pub(super) async fn send_once(
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
            ticket.finish(AttemptOutcome::Stalled);
            let stalled = stall_ms == Some(limit_ms);
            return if stalled { SendResult::Stalled } else { SendResult::Late };
        }
        Ok(Err(SendFault::NotSent(cause))) => {
            log::debug!(target: "burdockcleat", "event=target.unreachable target={} cause=\"{cause}\"", announcement.id);
            node.upstreams.forget(announcement.address);
            ticket.finish(AttemptOutcome::Unreachable);
            return SendResult::Unreachable;
        }
        Ok(Err(SendFault::Lost(cause))) => {
            log::debug!(target: "burdockcleat", "event=target.broke target={} cause=\"{cause}\"", announcement.id);
            ticket.finish(AttemptOutcome::Broken);
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
    let names = &context.node.http_api.headers;
    let (parts, body) = response.into_parts();
    let misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    if misdirected || parts.headers.contains_key(&names.not_run) {
        if misdirected {
            context.node.end_target(announcement);
        }
        ticket.finish(if misdirected { AttemptOutcome::Unreachable } else { AttemptOutcome::Full });
        return SendResult::NotRun;
    }
    let echoed = parts.headers.get(&names.attempt).and_then(|value| value.to_str().ok());
    let foreign = echoed != Some(context.request.attempt.as_str())
        || (parts.status.is_success() && !parts.headers.contains_key(&names.signature))
        || parts.headers.contains_key(CONTENT_ENCODING);
    if foreign {
        ticket.finish(AttemptOutcome::Broken);
        return SendResult::Broken("the target answered with something else");
    }
    if streamed(&context.route) && parts.status.is_success() {
        return read_first_event(context, ticket, parts, body, link).await;
    }
    let left_ms = context.left_ms(ClockTime::monotonic());
    let limit = Duration::from_millis(left_ms + ANSWER_MARGIN_MS);
    link.allow(2 * MAX_WHOLE_BYTES as u64);
    let whole = read_whole(&context.node, body);
    match tokio::time::timeout(limit, whole).await {
        Err(_) => {
            ticket.finish(AttemptOutcome::Broken);
            SendResult::Late
        }
        Ok(None) => {
            ticket.finish(AttemptOutcome::Broken);
            SendResult::Broken("the target broke off its answer, or it is too long")
        }
        Ok(Some(body)) => {
            link.release();
            let failed = parts.status.is_server_error();
            ticket.finish(if failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered });
            SendResult::Answer(OpenAnswer::Whole(WholeAnswer { parts, body }))
        }
    }
}

/// Bytes of an answer that is being read, counted at its node until it is dropped.
struct BufferGuard<'a> {
    node: &'a NodeState,
    bytes: usize,
}

impl BufferGuard<'_> {
    fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let total = self.node.buffered.get() + bytes;
        self.node.buffered.set(total);
        self.bytes <= MAX_WHOLE_BYTES && total <= MAX_BUFFERED_BYTES
    }
}

impl Drop for BufferGuard<'_> {
    fn drop(&mut self) {
        self.node.buffered.set(self.node.buffered.get() - self.bytes);
    }
}

/// Reads a body to its end. None if it breaks off or is too long.
async fn read_whole(node: &NodeState, mut body: Incoming) -> Option<Bytes> {
    let mut guard = BufferGuard { node, bytes: 0 };
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if !guard.grow(data.len()) {
            return None;
        }
        whole.extend_from_slice(&data);
    }
    Some(whole.freeze())
}

async fn read_first_event(
    context: &Rc<RequestContext>,
    ticket: TicketGuard,
    parts: Parts,
    mut body: Incoming,
    link: LinkGuard,
) -> SendResult {
    let mut splitter = EventSplitter::default();
    link.allow(MAX_EVENT_FRAME_BYTES);
    loop {
        let left_ms = context.left_ms(ClockTime::monotonic());
        let limit = Duration::from_millis(left_ms + ANSWER_MARGIN_MS);
        let Ok(frame) = tokio::time::timeout(limit, body.frame()).await else {
            ticket.finish(AttemptOutcome::Broken);
            return SendResult::Late;
        };
        let broken = "the target broke off before the first event";
        let (first, ended) = match frame {
            None if splitter.torn() => {
                ticket.finish(AttemptOutcome::Broken);
                return SendResult::Broken(broken);
            }
            None => (Bytes::new(), true),
            Some(Err(_)) => {
                ticket.finish(AttemptOutcome::Broken);
                return SendResult::Broken(broken);
            }
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                match splitter.push(&data) {
                    Ok(Some(events)) => (events, false),
                    Ok(None) => continue,
                    Err(_) => {
                        ticket.finish(AttemptOutcome::Broken);
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
    let names = &context.node.http_api.headers;
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
