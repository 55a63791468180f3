//! Sends a request to one target and reads the response until it can be forwarded.

use super::response_body::{MAX_RESPONSE_BYTES, read_body};
use super::retry::GrantedTarget;
use super::{RequestContext, is_streamed};
use crate::events::EventSplitter;
use crate::node::{ActiveRequestGuard, NodeState};
use crate::placement::AttemptOutcome;
use crate::reply::ReplyBody;
use crate::request::{header_value, is_hop_by_hop};
use crate::targets::TargetAnnouncement;
use crate::upstream::{ConnectionGuard, SendError};
use burdockcleat_core::clock::ClockTime;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode, Version};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::error::Elapsed;

/// Time to wait for the target's own response after the deadline, in ms. The target stops at the
/// deadline that it was given.
const DEADLINE_MARGIN_MS: u64 = 60;
/// Bytes that a stream may send without completing an event, including chunk framing.
pub(super) const MAX_EVENT_FRAME_BYTES: u64 = 512 << 10;

/// Response of a target that was read to its end.
pub(crate) struct CompleteResponse {
    pub(crate) parts: Parts,
    body: Bytes,
}

/// Event stream of a target whose first event has arrived.
pub(crate) struct StreamSource {
    pub(crate) parts: Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: ConnectionGuard,
    pub(crate) guard: ActiveRequestGuard,
    pub(crate) splitter: EventSplitter,
    /// First events, or empty if the stream ended without any.
    pub(crate) first: Bytes,
    pub(crate) ended: bool,
}

/// Response that can be forwarded to the caller.
pub(crate) enum TargetResponse {
    Complete(CompleteResponse),
    Stream(Box<StreamSource>),
}

/// Result of one send.
pub(super) enum SendResult {
    Response(TargetResponse),
    /// The target reported that it did not run the request.
    NotRun,
    Unreachable,
    /// The connection broke, or the response does not belong to the request.
    Broken(&'static str),
    /// No response arrived before the deadline.
    DeadlinePassed,
}

/// Head of a response or the reason why there is none.
type ResponseHead = Result<Result<(Response<Incoming>, ConnectionGuard), SendError>, Elapsed>;

/// Request that was sent to a target. Dropping it closes the connection, which makes the target stop
/// its work.
pub(super) struct PendingSend {
    context: Rc<RequestContext>,
    pub(super) announcement: TargetAnnouncement,
    guard: ActiveRequestGuard,
    /// Time that the request waited for its placement, in ms.
    pub(super) waited_ms: u64,
    sent_at: ClockTime,
    /// Notified when the connection to the target is open.
    connected: Rc<Notify>,
    exchange: Pin<Box<dyn Future<Output = ResponseHead>>>,
    head: Option<ResponseHead>,
}

impl CompleteResponse {
    pub(crate) fn into_response(mut self, context: &RequestContext) -> Response<ReplyBody> {
        let body = if self.body.is_empty() { None } else { Some(self.body) };
        prepare_head(&mut self.parts, context.request.method == Method::HEAD);
        Response::from_parts(self.parts, ReplyBody::Full(body))
    }
}

/// Replaces what applies only to the connection to the target: its HTTP version, which decides how a
/// body without a length ends, and its headers.
pub(crate) fn prepare_head(parts: &mut Parts, keep_length: bool) {
    parts.version = Version::HTTP_11;
    let dropped: Vec<_> = parts
        .headers
        .keys()
        .filter(|name| is_hop_by_hop(name) || (**name == CONTENT_LENGTH && !keep_length))
        .cloned()
        .collect();
    for name in dropped {
        parts.headers.remove(&name);
    }
}

impl PendingSend {
    /// Sends a request to one target. Returns `None` if the request cannot be encoded.
    pub(super) fn start(
        context: &Rc<RequestContext>,
        target: GrantedTarget,
        last_event: Option<u64>,
    ) -> Option<Self> {
        let GrantedTarget { announcement, guard, waited_ms } = target;
        let sent_at = ClockTime::monotonic();
        let left_ms = context.left_ms(sent_at);
        let request = build_request(context, &announcement, last_event, left_ms)?;
        guard.sent(&announcement, &context.route.name);
        context.commit_reservation();
        let (node, address) = (context.node.clone(), announcement.address);
        let link = node.count_target_request(&announcement.domain);
        let connected = Rc::new(Notify::new());
        let opened = connected.clone();
        let exchange = Box::pin(async move {
            let limit = Duration::from_millis(left_ms + DEADLINE_MARGIN_MS);
            let sending = node.upstreams.send(address, link, request, &opened);
            let sent = tokio::time::timeout(limit, sending).await?;
            Ok(sent.map(|(response, connection, _)| (response, connection)))
        });
        let context = context.clone();
        let head = None;
        Some(Self { context, announcement, guard, waited_ms, sent_at, connected, exchange, head })
    }

    /// Waits until the head of the response has arrived or the send has failed. May be dropped and
    /// called again.
    pub(super) async fn receive_head(&mut self) {
        if self.head.is_none() {
            self.head = Some((&mut self.exchange).await);
        }
    }

    /// Waits until the head of the response has arrived or the send has failed, but not longer than
    /// `limit` once the connection is open. Returns whether the wait ended in time.
    pub(super) async fn receive_head_within(&mut self, limit: Duration) -> bool {
        let connected = self.connected.clone();
        let expired = async {
            connected.notified().await;
            tokio::time::sleep(limit).await;
        };
        tokio::select! {
            biased;
            () = self.receive_head() => true,
            () = expired => false,
        }
    }

    /// Returns whether the head of a successful response to the request has arrived.
    pub(super) fn has_succeeded(&self) -> bool {
        let Some(Ok(Ok((response, _)))) = &self.head else { return false };
        response.status().is_success()
            && echoed_attempt(&self.context, response) == Some(&*self.context.request.attempt)
            && !is_unexpected(&self.context, response)
    }

    /// Closes the connection to a target that is silent.
    pub(super) fn abandon(self) {
        self.guard.finish(AttemptOutcome::Stalled);
    }

    /// Reads the response: streams up to the first event, all others to the end.
    pub(super) async fn receive(mut self) -> (TargetAnnouncement, SendResult) {
        self.receive_head().await;
        let Self { context, announcement, guard, sent_at, head, .. } = self;
        let Some(head) = head else { return (announcement, SendResult::DeadlinePassed) };
        let result = read_exchange(&context, guard, &announcement, head, sent_at).await;
        (announcement, result)
    }
}

async fn read_exchange(
    context: &Rc<RequestContext>,
    guard: ActiveRequestGuard,
    announcement: &TargetAnnouncement,
    head: ResponseHead,
    sent_at: ClockTime,
) -> SendResult {
    let node = &context.node;
    let (response, connection) = match head {
        Err(_) => {
            guard.finish(AttemptOutcome::Stalled);
            return SendResult::DeadlinePassed;
        }
        Ok(Err(SendError::NotSent(cause))) => {
            log::debug!(target: "burdockcleat", "event=target.unreachable target={} cause=\"{cause}\"", announcement.id);
            node.upstreams.close_idle(announcement.address);
            guard.finish(AttemptOutcome::Unreachable);
            return SendResult::Unreachable;
        }
        Ok(Err(SendError::Lost(cause))) => {
            log::debug!(target: "burdockcleat", "event=target.broke target={} cause=\"{cause}\"", announcement.id);
            guard.finish(AttemptOutcome::Broken);
            return SendResult::Broken("the target broke off before its answer");
        }
        Ok(Ok(sent)) => sent,
    };
    let echoed = echoed_attempt(context, &response);
    let own = echoed == Some(context.request.attempt.as_str());
    // Another incarnation or the response to another request says nothing about the target now.
    let stated = own && response.status() != StatusCode::MISDIRECTED_REQUEST;
    guard.started(stated.then(|| node.read_load(announcement, response.headers())).flatten());
    if !own {
        // A rejection may be that of an earlier request, so this one may have run.
        log::info!(
            target: "burdockcleat",
            "event=target.answered_another id={} target={} status={} echoed={}",
            context.request.attempt, announcement.id, response.status().as_u16(),
            echoed.unwrap_or("-")
        );
        guard.finish(AttemptOutcome::Broken);
        return SendResult::Broken("the target answered another request");
    }
    if response.status() != StatusCode::MISDIRECTED_REQUEST {
        observe_target(node, announcement, &response, sent_at);
    }
    read_response(context, guard, announcement, response, connection).await
}

/// Returns the attempt that a response belongs to, as its target states it.
fn echoed_attempt<'a>(
    context: &RequestContext,
    response: &'a Response<Incoming>,
) -> Option<&'a str> {
    let name = &context.node.http_api.headers.attempt;
    response.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Returns whether a response cannot be that of a target: a success without a signature, or an
/// encoded body.
fn is_unexpected(context: &RequestContext, response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let signed = headers.contains_key(&context.node.http_api.headers.signature);
    (response.status().is_success() && !signed) || headers.contains_key(CONTENT_ENCODING)
}

/// Records what a target says of itself in an answer.
fn observe_target(
    node: &Rc<NodeState>,
    announcement: &TargetAnnouncement,
    response: &Response<Incoming>,
    sent_at: ClockTime,
) {
    node.observe_limit(announcement, response.headers(), sent_at);
    node.observe_leaving(announcement, response.headers());
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        node.observe_pause(announcement, response.headers());
    }
}

async fn read_response(
    context: &Rc<RequestContext>,
    guard: ActiveRequestGuard,
    announcement: &TargetAnnouncement,
    response: Response<Incoming>,
    connection: ConnectionGuard,
) -> SendResult {
    let names = &context.node.http_api.headers;
    let unexpected = is_unexpected(context, &response);
    let (parts, body) = response.into_parts();
    let misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    if misdirected || parts.headers.contains_key(&names.not_run) {
        if misdirected {
            context.node.end_target(announcement);
        }
        guard.finish(if misdirected { AttemptOutcome::Unreachable } else { AttemptOutcome::Full });
        return SendResult::NotRun;
    }
    if unexpected {
        guard.finish(AttemptOutcome::Broken);
        return SendResult::Broken("the target answered with something else");
    }
    if is_streamed(&context.route) && parts.status.is_success() {
        return read_first_event(context, guard, parts, body, connection).await;
    }
    let left_ms = context.left_ms(ClockTime::monotonic());
    let limit = Duration::from_millis(left_ms + DEADLINE_MARGIN_MS);
    connection.set_read_limit(2 * MAX_RESPONSE_BYTES as u64);
    let reading = read_body(&context.node, body);
    match tokio::time::timeout(limit, reading).await {
        Err(_) => {
            guard.finish(AttemptOutcome::Broken);
            SendResult::DeadlinePassed
        }
        Ok(None) => {
            guard.finish(AttemptOutcome::Broken);
            SendResult::Broken("the target broke off its answer, or it is too long")
        }
        Ok(Some(body)) => {
            connection.release();
            let failed = parts.status.is_server_error();
            guard.finish(if failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered });
            SendResult::Response(TargetResponse::Complete(CompleteResponse { parts, body }))
        }
    }
}

async fn read_first_event(
    context: &Rc<RequestContext>,
    guard: ActiveRequestGuard,
    parts: Parts,
    mut body: Incoming,
    connection: ConnectionGuard,
) -> SendResult {
    let mut splitter = EventSplitter::default();
    connection.set_read_limit(MAX_EVENT_FRAME_BYTES);
    loop {
        let left_ms = context.left_ms(ClockTime::monotonic());
        let limit = Duration::from_millis(left_ms + DEADLINE_MARGIN_MS);
        let Ok(frame) = tokio::time::timeout(limit, body.frame()).await else {
            guard.finish(AttemptOutcome::Broken);
            return SendResult::DeadlinePassed;
        };
        let broken = "the target broke off before the first event";
        let (first, ended) = match frame {
            None if splitter.has_partial_event() => {
                guard.finish(AttemptOutcome::Broken);
                return SendResult::Broken(broken);
            }
            None => (Bytes::new(), true),
            Some(Err(_)) => {
                guard.finish(AttemptOutcome::Broken);
                return SendResult::Broken(broken);
            }
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                match splitter.push(&data) {
                    Ok(Some(events)) => (events, false),
                    Ok(None) => continue,
                    Err(_) => {
                        guard.finish(AttemptOutcome::Broken);
                        return SendResult::Broken(broken);
                    }
                }
            }
        };
        let source = StreamSource { parts, body, connection, guard, splitter, first, ended };
        return SendResult::Response(TargetResponse::Stream(Box::new(source)));
    }
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
