//! Dispatch filter: sends a granted request to its target and records how it ended.

use super::chain::FilterChain;
use super::metrics::RequestStage;
use super::refusal::FilterRefusal;
use super::request::{ResponseForm, RoutedRequest};
use super::session::{Cancellation, ControlSession};
use super::stream::{StreamItem, UsageCounts, spawn_reader};
use super::upstream::{TargetCall, UpstreamError, cancel_stream};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::message::{FinishReport, GrantTicket, StreamProgress};
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use serde_json::Value;
use std::io::Read;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};
use ureq::http::Method;

/// Interval at which a silent stream is checked for its deadline and for a disconnected caller.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Margin between the request's deadline and the timeout of the transport, in milliseconds. The
/// deadline check fires first.
const TRANSPORT_MARGIN_MS: u64 = 1_000;

/// Result of a dispatch.
#[derive(Debug)]
pub enum DispatchEnd {
    /// The request did not reach the target, so its claim may be released.
    NotSent(UpstreamError),
    /// The request was sent and has ended.
    Ended(DispatchRecord),
}

/// Record of a dispatched request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchRecord {
    /// How the request ended.
    pub outcome: RequestOutcome,
    /// Why it did not complete, if it did not.
    pub reason: Option<ReasonCode>,
    /// Token counts of the response.
    pub usage: UsageCounts,
    /// When the request was dispatched.
    pub started: ClockTime,
    /// When the first token arrived, if one did.
    pub first_token: Option<ClockTime>,
    /// When the request ended.
    pub ended: ClockTime,
    /// Retry hint of the leader for a resend under a new id, in milliseconds.
    pub retry_after_ms: Option<u32>,
}

impl DispatchRecord {
    fn start() -> Self {
        let now = ClockTime::monotonic();
        Self {
            outcome: RequestOutcome::Unknown,
            reason: None,
            usage: UsageCounts::default(),
            started: now,
            first_token: None,
            ended: now,
            retry_after_ms: None,
        }
    }

    fn end(mut self, outcome: RequestOutcome, reason: Option<ReasonCode>) -> Self {
        self.outcome = outcome;
        self.reason = reason;
        self.ended = ClockTime::monotonic();
        self
    }

    /// Builds the report for the leader.
    pub fn report(&self, ticket: &GrantTicket) -> FinishReport {
        let first = self.first_token.unwrap_or(self.ended);
        FinishReport {
            key: ticket.key,
            claim: ticket.claim,
            outcome: self.outcome,
            reason: self.reason,
            cached_tokens: self.usage.cached_tokens,
            output_tokens: self.usage.completion_tokens,
            first_token_ms: saturating_u32(first.since(self.started)),
            total_ms: saturating_u32(self.ended.since(self.started)),
        }
    }

    /// Builds the refusal that the caller gets after an incomplete response.
    pub fn refusal(&self) -> FilterRefusal {
        let reason = self.reason.unwrap_or(ReasonCode::Internal);
        let message = "the request was dispatched and did not complete";
        FilterRefusal::with_outcome(self.outcome, reason, message, self.retry_after_ms)
    }
}

fn saturating_u32(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}

/// Returns the outcome of a request that was sent and whose end was not observed.
///
/// A non-idempotent request is `Unknown`, since the target may have run it although its response
/// was lost.
fn outcome_of_lost_request(routed: &RoutedRequest) -> RequestOutcome {
    match routed.submit.idempotent {
        true => RequestOutcome::Failed,
        false => RequestOutcome::Unknown,
    }
}

/// Builds the call to the target.
///
/// The stream id is the request key, since the ids of callers are unique only within a workspace.
pub fn target_call(routed: &RoutedRequest, address: &str) -> TargetCall {
    let remaining = routed.deadline.since(ClockTime::monotonic()) + TRANSPORT_MARGIN_MS;
    let headers = [
        ("content-type", routed.content_type.clone()),
        ("x-request-id", routed.submit.key.to_string()),
        ("x-caller-request-id", routed.id.text.clone()),
    ];
    TargetCall {
        address: address.to_owned(),
        method: Method::from_bytes(routed.method.as_bytes()).unwrap_or(Method::POST),
        path: routed.path.clone(),
        headers: headers.map(|(name, value)| (name.to_owned(), value)).into(),
        body: match routed.form {
            ResponseForm::EventStream | ResponseForm::Service => routed.body.clone(),
            ResponseForm::JsonBody => streamed_body(&routed.body),
        },
        timeout: Duration::from_millis(remaining),
    }
}

/// Sets `stream` in the body of a completion request.
///
/// The target streams even if the caller wants a single body, so that cancellation and progress
/// reports work in the same way.
fn streamed_body(body: &Arc<[u8]>) -> Arc<[u8]> {
    let Ok(mut value) = serde_json::from_slice::<Value>(body) else { return body.clone() };
    value["stream"] = true.into();
    value.to_string().into_bytes().into()
}

/// Dispatch of one model request, whose event stream is read until it ends.
pub struct ModelDispatch<'a> {
    chain: &'a FilterChain<'a>,
    routed: &'a RoutedRequest,
    ticket: &'a GrantTicket,
    record: DispatchRecord,
    tokens: u32,
    /// When the last recorded stage ended.
    stage_end: Instant,
}

impl<'a> ModelDispatch<'a> {
    /// Prepares a dispatch.
    pub fn prepare(
        chain: &'a FilterChain<'a>,
        routed: &'a RoutedRequest,
        ticket: &'a GrantTicket,
    ) -> Self {
        let (record, stage_end) = (DispatchRecord::start(), Instant::now());
        Self { chain, routed, ticket, record, tokens: 0, stage_end }
    }

    /// Dispatches the request and passes each token to `send_token`, which fails once the caller
    /// has disconnected.
    pub fn run(mut self, mut send_token: impl FnMut(Value) -> std::io::Result<()>) -> DispatchEnd {
        let cancel = self.chain.session.start_running(self.ticket.key, self.ticket.claim);
        let call = target_call(self.routed, &self.ticket.address);
        let stream = self.ticket.key.to_string();
        let may_send = self.chain.session.dispatch_check(self.ticket);
        let limit = self.routed.collected_limit();
        let items = match spawn_reader(self.chain.readers, call, stream, limit, may_send) {
            Ok(items) => items,
            Err(error) => return DispatchEnd::NotSent(UpstreamError::Thread(error)),
        };
        loop {
            if let Some(reason) = self.cancel_reason(&cancel) {
                return DispatchEnd::Ended(self.cancel(reason, &items));
            }
            match items.recv_timeout(POLL_INTERVAL) {
                Ok(StreamItem::NotSent(error)) => return DispatchEnd::NotSent(error),
                Ok(StreamItem::Connected) => self.end_stage(RequestStage::Connect),
                Ok(StreamItem::Head(200)) => self.end_stage(RequestStage::Head),
                Err(RecvTimeoutError::Timeout) => {}
                Ok(StreamItem::Head(_)) => {
                    let reason = Some(ReasonCode::UpstreamError);
                    return DispatchEnd::Ended(self.record.end(RequestOutcome::Failed, reason));
                }
                Ok(StreamItem::Token(event)) => {
                    self.count_token();
                    let first = self.tokens == 1;
                    if first {
                        self.end_stage(RequestStage::FirstToken);
                    }
                    let sent = send_token(event);
                    if first {
                        self.end_stage(RequestStage::Deliver);
                    }
                    if sent.is_err() && self.routed.submit.idempotent {
                        return DispatchEnd::Ended(self.cancel(ReasonCode::CallerGone, &items));
                    }
                }
                Ok(StreamItem::Usage(usage)) => self.record.usage = usage,
                Ok(StreamItem::Done) => {
                    return DispatchEnd::Ended(self.record.end(RequestOutcome::Completed, None));
                }
                Ok(StreamItem::Broken(reason)) => {
                    let outcome = outcome_of_lost_request(self.routed);
                    return DispatchEnd::Ended(self.record.end(outcome, Some(reason)));
                }
                Err(RecvTimeoutError::Disconnected) => {
                    let outcome = outcome_of_lost_request(self.routed);
                    return DispatchEnd::Ended(
                        self.record.end(outcome, Some(ReasonCode::UpstreamCut)),
                    );
                }
            }
        }
    }

    fn end_stage(&mut self, stage: RequestStage) {
        let now = Instant::now();
        self.chain.metrics.record_stage(stage, now.saturating_duration_since(self.stage_end));
        self.stage_end = now;
    }

    fn count_token(&mut self) {
        self.tokens += 1;
        self.record.usage.completion_tokens = self.tokens;
        let now = ClockTime::monotonic();
        let first = *self.record.first_token.get_or_insert(now);
        self.chain.session.report_progress(StreamProgress {
            key: self.ticket.key,
            tokens: self.tokens,
            first_token_ms: Some(saturating_u32(first.since(self.record.started))),
        });
    }

    /// Returns why the stream must be cancelled now, if it must.
    fn cancel_reason(&mut self, cancel: &Receiver<Cancellation>) -> Option<ReasonCode> {
        if let Ok(cancellation) = cancel.try_recv() {
            self.record.retry_after_ms = Some(cancellation.retry_after_ms);
            return Some(cancellation.reason);
        }
        if ClockTime::monotonic() >= self.routed.deadline {
            return Some(ReasonCode::DeadlinePassed);
        }
        // A non-idempotent request runs to its end, so that its outcome becomes known.
        let gone = self.routed.submit.idempotent && self.chain.caller.is_gone();
        gone.then_some(ReasonCode::CallerGone)
    }

    /// Cancels the stream at the target. If the target does not confirm this, waits up to
    /// [`TRANSPORT_MARGIN_MS`] for the stream to end.
    fn cancel(self, reason: ReasonCode, items: &Receiver<StreamItem>) -> DispatchRecord {
        let confirmed = cancel_stream(&self.ticket.address, &self.ticket.key.to_string());
        let limit = ClockTime::monotonic().plus(TRANSPORT_MARGIN_MS);
        while !confirmed && ClockTime::monotonic() < limit {
            match items.recv_timeout(POLL_INTERVAL) {
                Ok(StreamItem::Done | StreamItem::Broken(_) | StreamItem::NotSent(_))
                | Err(RecvTimeoutError::Disconnected) => break,
                Ok(_) | Err(RecvTimeoutError::Timeout) => {}
            }
        }
        let outcome = outcome_of_lost_request(self.routed);
        self.record.end(outcome, Some(reason))
    }
}

/// Response of a plain service.
#[derive(Debug)]
pub struct ServiceResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Calls a plain service and reads its complete response.
pub fn dispatch_service(
    session: &ControlSession,
    routed: &RoutedRequest,
    ticket: &GrantTicket,
) -> (DispatchEnd, Option<ServiceResponse>) {
    // A call to a plain service cannot be cancelled, so the channel for cancellations is dropped.
    let _ = session.start_running(ticket.key, ticket.claim);
    let mut record = DispatchRecord::start();
    let may_send = session.dispatch_check(ticket);
    let response = match target_call(routed, &ticket.address).send(may_send) {
        Ok(response) => response,
        Err(error) if error.never_sent() => return (DispatchEnd::NotSent(error), None),
        Err(error) => {
            let end = record.end(outcome_of_lost_request(routed), Some(error.reason()));
            return (DispatchEnd::Ended(end), None);
        }
    };
    record.first_token = Some(ClockTime::monotonic());
    let status = response.status().as_u16();
    let content_type = response.headers().get("content-type").and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
    let mut body = Vec::new();
    let mut bounded = response.into_body().into_reader().take(routed.response_limit + 1);
    let read = bounded.read_to_end(&mut body);
    if read.is_err() || body.len() as u64 > routed.response_limit {
        let reason = match read {
            Ok(_) => ReasonCode::TooLarge,
            Err(_) => ReasonCode::UpstreamCut,
        };
        let end = record.end(outcome_of_lost_request(routed), Some(reason));
        return (DispatchEnd::Ended(end), None);
    }
    let end = record.end(RequestOutcome::Completed, None);
    (DispatchEnd::Ended(end), Some(ServiceResponse { status, content_type, body }))
}
