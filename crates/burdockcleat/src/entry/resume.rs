//! Answers a resend from the stream or the outcome of an earlier attempt.

use super::answer::CallerAnswer;
use super::chain::ChainRecord;
use super::refusal::FilterRefusal;
use super::request::{AnswerForm, RoutedRequest};
use super::stream::{StreamItem, UsageCounts, spawn_reader};
use super::upstream::TargetCall;
use super::workers::WorkerPool;
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;
use std::time::Duration;
use ureq::http::Method;

/// Interval of further tries while the owner may still be connecting to the target.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Tries before a target without the stream counts as one that never got the request.
const MAX_TRIES: u32 = 5;
/// When to ask again for the outcome of a request that still runs elsewhere.
const RUNNING_RETRY_MS: u32 = 2_000;

/// Whether the target holds the stream.
enum StreamFound {
    Ended(Result<UsageCounts, ReasonCode>),
    Missing,
}

/// Answers from the recorded target, or says what is recorded.
pub fn resume(
    readers: &WorkerPool,
    mut answer: CallerAnswer,
    routed: &RoutedRequest,
    address: &str,
    recorded: Option<RequestOutcome>,
) -> ChainRecord {
    let may_hold = matches!(recorded, None | Some(RequestOutcome::Completed));
    if routed.form != AnswerForm::Service && !address.is_empty() && may_hold {
        let tries = if recorded.is_none() { MAX_TRIES } else { 1 };
        for _ in 0..tries {
            match read_stream(readers, &mut answer, routed, address) {
                StreamFound::Ended(Ok(usage)) => return finish(answer, usage),
                StreamFound::Ended(Err(reason)) => return answer.refuse(broken(reason)),
                StreamFound::Missing => thread::sleep(RETRY_INTERVAL),
            }
        }
    }
    answer.refuse(recorded_refusal(recorded))
}

fn finish(answer: CallerAnswer, usage: UsageCounts) -> ChainRecord {
    if let Err(error) = answer.complete(usage) {
        log::debug!(event = "answer_not_delivered"; "{error}");
    }
    let outcome = RequestOutcome::Completed;
    ChainRecord { tier: None, outcome, reason: None, run: None, in_time: false }
}

/// The first attempt may still complete, so the end of this copy decides nothing.
fn broken(reason: ReasonCode) -> FilterRefusal {
    let message = "the stream of an earlier attempt broke off";
    let retry = Some(RUNNING_RETRY_MS);
    FilterRefusal::known(RequestOutcome::Unknown, reason, message, retry)
}

fn recorded_refusal(recorded: Option<RequestOutcome>) -> FilterRefusal {
    match recorded {
        None => {
            let message = "an earlier attempt was dispatched and its end is not known";
            let retry = Some(RUNNING_RETRY_MS);
            FilterRefusal::known(RequestOutcome::Unknown, ReasonCode::OwnerLost, message, retry)
        }
        Some(outcome) => {
            let message = "an earlier attempt with this request id has ended";
            FilterRefusal::known(outcome, ReasonCode::AlreadyEnded, message, None)
        }
    }
}

fn read_stream(
    readers: &WorkerPool,
    answer: &mut CallerAnswer,
    routed: &RoutedRequest,
    address: &str,
) -> StreamFound {
    let stream = routed.submit.key.to_string();
    let call = TargetCall {
        address: address.to_owned(),
        method: Method::GET,
        path: format!("/v1/streams/{stream}?after=0"),
        headers: Vec::new(),
        body: Arc::from([]),
        timeout: Duration::from_millis(routed.deadline.since(ClockTime::monotonic()).max(1)),
    };
    match spawn_reader(readers, call, stream, || true) {
        Ok(items) => forward(answer, routed, &items),
        Err(_) => StreamFound::Missing,
    }
}

fn forward(
    answer: &mut CallerAnswer,
    routed: &RoutedRequest,
    items: &Receiver<StreamItem>,
) -> StreamFound {
    let mut usage = UsageCounts::default();
    loop {
        let wait = Duration::from_millis(routed.deadline.since(ClockTime::monotonic()));
        match items.recv_timeout(wait) {
            Ok(StreamItem::NotSent(_) | StreamItem::Head(404)) => return StreamFound::Missing,
            Ok(StreamItem::Connected | StreamItem::Head(200)) => {}
            Ok(StreamItem::Head(_)) => return StreamFound::Ended(Err(ReasonCode::UpstreamError)),
            Ok(StreamItem::Token(event)) => {
                usage.completion_tokens += 1;
                if answer.deliver(routed.form, event).is_err() {
                    return StreamFound::Ended(Err(ReasonCode::CallerGone));
                }
            }
            Ok(StreamItem::Usage(counts)) => usage = counts,
            Ok(StreamItem::Done) => return StreamFound::Ended(Ok(usage)),
            Ok(StreamItem::Broken(reason)) => return StreamFound::Ended(Err(reason)),
            Err(RecvTimeoutError::Timeout) => {
                return StreamFound::Ended(Err(ReasonCode::DeadlinePassed));
            }
            Err(RecvTimeoutError::Disconnected) => {
                return StreamFound::Ended(Err(ReasonCode::UpstreamCut));
            }
        }
    }
}
