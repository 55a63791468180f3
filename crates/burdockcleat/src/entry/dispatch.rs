//! The dispatch and record filters: runs a granted request and reports how it ended.

use super::chain::FilterChain;
use super::metrics::RequestStage;
use super::refusal::FilterRefusal;
use super::request::{AnswerForm, RoutedRequest};
use super::session::{CancelOrder, ControlSession};
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

/// Interval at which a silent stream is checked for its deadline and its caller.
const POLL: Duration = Duration::from_millis(20);
/// Time added to the deadline for the transport's own limit, so that the deadline check comes first.
const TRANSPORT_MARGIN_MS: u64 = 1_000;

/// How a dispatch went.
#[derive(Debug)]
pub enum DispatchEnd {
    /// The request did not reach the target; the claim may be given back.
    NotSent(UpstreamError),
    /// The request ran and ended.
    Ended(RunRecord),
}

/// How a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Why, if it did not complete.
    pub reason: Option<ReasonCode>,
    /// Counts of the answer.
    pub usage: UsageCounts,
    /// Time of the dispatch.
    pub started: ClockTime,
    /// Time of the first token, if there was one.
    pub first_token: Option<ClockTime>,
    /// Time of the end.
    pub ended: ClockTime,
    /// When a resend under a new id has a chance, if the leader said so.
    pub retry_after_ms: Option<u32>,
}

impl RunRecord {
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

    /// Report for the leader.
    pub fn report(&self, ticket: &GrantTicket) -> FinishReport {
        let first = self.first_token.unwrap_or(self.ended);
        FinishReport {
            key: ticket.key,
            claim: ticket.claim,
            outcome: self.outcome,
            reason: self.reason,
            cached_tokens: self.usage.cached_tokens,
            output_tokens: self.usage.completion_tokens,
            first_token_ms: saturate(first.since(self.started)),
            total_ms: saturate(self.ended.since(self.started)),
        }
    }

    /// What the caller is told if the answer is not whole.
    pub fn refusal(&self) -> FilterRefusal {
        let reason = self.reason.unwrap_or(ReasonCode::Internal);
        let message = "the request was dispatched and did not complete";
        FilterRefusal::known(self.outcome, reason, message, self.retry_after_ms)
    }
}

fn saturate(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}

/// Outcome of a request that was sent and whose end was not seen.
///
/// A target may have run a non-idempotent request although its answer was lost.
fn outcome_of_loss(routed: &RoutedRequest) -> RequestOutcome {
    match routed.submit.idempotent {
        true => RequestOutcome::Failed,
        false => RequestOutcome::Unknown,
    }
}

/// Builds the call to the target. The stream id is the request key, since ids of callers are
/// unique within a workspace only.
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
            AnswerForm::EventStream | AnswerForm::Service => routed.body.clone(),
            AnswerForm::WholeCompletion => streamed_body(&routed.body),
        },
        timeout: Duration::from_millis(remaining),
    }
}

/// Asks the target for a stream also where the caller wants one body, so that a cancel order
/// and progress work alike.
fn streamed_body(body: &Arc<[u8]>) -> Arc<[u8]> {
    let Ok(mut value) = serde_json::from_slice::<Value>(body) else { return body.clone() };
    value["stream"] = true.into();
    value.to_string().into_bytes().into()
}

/// A model stream that is being read.
pub struct ModelRun<'a> {
    chain: &'a FilterChain<'a>,
    routed: &'a RoutedRequest,
    ticket: &'a GrantTicket,
    record: RunRecord,
    tokens: u32,
    /// End of the last stage that was recorded.
    stage_end: Instant,
}

impl<'a> ModelRun<'a> {
    /// Prepares a dispatch.
    pub fn prepare(
        chain: &'a FilterChain<'a>,
        routed: &'a RoutedRequest,
        ticket: &'a GrantTicket,
    ) -> Self {
        let (record, stage_end) = (RunRecord::start(), Instant::now());
        Self { chain, routed, ticket, record, tokens: 0, stage_end }
    }

    /// Dispatches and passes each token to `deliver`, which fails once the caller has gone.
    pub fn run(mut self, mut deliver: impl FnMut(Value) -> std::io::Result<()>) -> DispatchEnd {
        let cancel = self.chain.session.start_running(self.ticket.key, self.ticket.claim);
        let call = target_call(self.routed, &self.ticket.address);
        let stream = self.ticket.key.to_string();
        let allowed = self.chain.session.dispatch_check(self.ticket);
        let items = match spawn_reader(self.chain.readers, call, stream, allowed) {
            Ok(items) => items,
            Err(error) => return DispatchEnd::NotSent(UpstreamError::Thread(error)),
        };
        loop {
            if let Some(reason) = self.stop_reason(&cancel) {
                return DispatchEnd::Ended(self.stop(reason, &items));
            }
            match items.recv_timeout(POLL) {
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
                    let delivered = deliver(event);
                    if first {
                        self.end_stage(RequestStage::Deliver);
                    }
                    if delivered.is_err() && self.routed.submit.idempotent {
                        return DispatchEnd::Ended(self.stop(ReasonCode::CallerGone, &items));
                    }
                }
                Ok(StreamItem::Usage(usage)) => self.record.usage = usage,
                Ok(StreamItem::Done) => {
                    return DispatchEnd::Ended(self.record.end(RequestOutcome::Completed, None));
                }
                Ok(StreamItem::Broken(reason)) => {
                    let outcome = outcome_of_loss(self.routed);
                    return DispatchEnd::Ended(self.record.end(outcome, Some(reason)));
                }
                Err(RecvTimeoutError::Disconnected) => {
                    let outcome = outcome_of_loss(self.routed);
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
        self.chain.session.note_progress(StreamProgress {
            key: self.ticket.key,
            tokens: self.tokens,
            first_token_ms: Some(saturate(first.since(self.record.started))),
        });
    }

    /// Why the stream must be cancelled now, if it must.
    fn stop_reason(&mut self, cancel: &Receiver<CancelOrder>) -> Option<ReasonCode> {
        if let Ok(order) = cancel.try_recv() {
            self.record.retry_after_ms = Some(order.retry_after_ms);
            return Some(order.reason);
        }
        if ClockTime::monotonic() >= self.routed.deadline {
            return Some(ReasonCode::DeadlinePassed);
        }
        // A non-idempotent request runs to its end, so that its outcome is known.
        let gone = self.routed.submit.idempotent && self.chain.caller.is_gone();
        gone.then_some(ReasonCode::CallerGone)
    }

    /// Cancels the stream at the target and waits until it has ended.
    fn stop(self, reason: ReasonCode, items: &Receiver<StreamItem>) -> RunRecord {
        let confirmed = cancel_stream(&self.ticket.address, &self.ticket.key.to_string());
        let limit = ClockTime::monotonic().plus(TRANSPORT_MARGIN_MS);
        while !confirmed && ClockTime::monotonic() < limit {
            match items.recv_timeout(POLL) {
                Ok(StreamItem::Done | StreamItem::Broken(_) | StreamItem::NotSent(_))
                | Err(RecvTimeoutError::Disconnected) => break,
                Ok(_) | Err(RecvTimeoutError::Timeout) => {}
            }
        }
        let outcome = outcome_of_loss(self.routed);
        self.record.end(outcome, Some(reason))
    }
}

/// Answer of a plain service.
#[derive(Debug)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Calls a plain service and reads its whole answer.
pub fn run_service(
    session: &ControlSession,
    routed: &RoutedRequest,
    ticket: &GrantTicket,
) -> (DispatchEnd, Option<ServiceAnswer>) {
    // A call of a plain service cannot be cancelled; the order channel is dropped.
    let _ = session.start_running(ticket.key, ticket.claim);
    let mut record = RunRecord::start();
    let allowed = session.dispatch_check(ticket);
    let response = match target_call(routed, &ticket.address).send(allowed) {
        Ok(response) => response,
        Err(error) if error.never_sent() => return (DispatchEnd::NotSent(error), None),
        Err(error) => {
            let end = record.end(outcome_of_loss(routed), Some(error.reason()));
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
        let end = record.end(outcome_of_loss(routed), Some(reason));
        return (DispatchEnd::Ended(end), None);
    }
    let end = record.end(RequestOutcome::Completed, None);
    (DispatchEnd::Ended(end), Some(ServiceAnswer { status, content_type, body }))
}
