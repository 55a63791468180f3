//! Serves a resent request from the stream or the recorded outcome of an earlier attempt.

use super::chain::RequestRecord;
use super::refusal::FilterRefusal;
use super::request::{ResponseForm, RoutedRequest};
use super::response::CallerResponse;
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

/// Pause between attempts. The entry that owns the claim may still be connecting to the target.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Number of attempts before a target without the stream counts as one that never got the request.
const MAX_ATTEMPTS: u32 = 5;
/// Retry hint, in milliseconds, for a request that may still run through another entry.
const RUNNING_RETRY_MS: u32 = 2_000;

/// Result of reading an earlier attempt's stream from the target.
enum StreamLookup {
    /// The stream was read to its end.
    Ended(Result<UsageCounts, ReasonCode>),
    /// The target does not have the stream.
    Missing,
}

/// Responds with the stream of the recorded target, or with the recorded outcome if there is none.
pub fn resume(
    readers: &WorkerPool,
    mut response: CallerResponse,
    routed: &RoutedRequest,
    address: &str,
    recorded: Option<RequestOutcome>,
) -> RequestRecord {
    let may_have_stream = matches!(recorded, None | Some(RequestOutcome::Completed));
    if routed.form != ResponseForm::Service && !address.is_empty() && may_have_stream {
        let attempts = if recorded.is_none() { MAX_ATTEMPTS } else { 1 };
        for _ in 0..attempts {
            match read_stream(readers, &mut response, routed, address) {
                StreamLookup::Ended(Ok(usage)) => return finish(response, usage),
                StreamLookup::Ended(Err(reason)) => {
                    return response.refuse(broken_stream_refusal(reason));
                }
                StreamLookup::Missing => thread::sleep(RETRY_INTERVAL),
            }
        }
    }
    response.refuse(recorded_refusal(recorded))
}

fn finish(response: CallerResponse, usage: UsageCounts) -> RequestRecord {
    if let Err(error) = response.complete(usage) {
        log::debug!(event = "answer_not_delivered"; "{error}");
    }
    let outcome = RequestOutcome::Completed;
    RequestRecord { tier: None, outcome, reason: None, dispatch: None, in_time: false }
}

/// Refusal for a stream that broke off. Its outcome is unknown, since the first attempt may still
/// complete.
fn broken_stream_refusal(reason: ReasonCode) -> FilterRefusal {
    let message = "the stream of an earlier attempt broke off";
    let retry = Some(RUNNING_RETRY_MS);
    FilterRefusal::with_outcome(RequestOutcome::Unknown, reason, message, retry)
}

fn recorded_refusal(recorded: Option<RequestOutcome>) -> FilterRefusal {
    match recorded {
        None => {
            let message = "an earlier attempt was dispatched and its end is not known";
            let retry = Some(RUNNING_RETRY_MS);
            FilterRefusal::with_outcome(
                RequestOutcome::Unknown,
                ReasonCode::OwnerLost,
                message,
                retry,
            )
        }
        Some(outcome) => {
            let message = "an earlier attempt with this request id has ended";
            FilterRefusal::with_outcome(outcome, ReasonCode::AlreadyEnded, message, None)
        }
    }
}

fn read_stream(
    readers: &WorkerPool,
    response: &mut CallerResponse,
    routed: &RoutedRequest,
    address: &str,
) -> StreamLookup {
    let stream = routed.submit.key.to_string();
    let call = TargetCall {
        address: address.to_owned(),
        method: Method::GET,
        path: format!("/v1/streams/{stream}?after=0"),
        headers: Vec::new(),
        body: Arc::from([]),
        timeout: Duration::from_millis(routed.deadline.since(ClockTime::monotonic()).max(1)),
    };
    match spawn_reader(readers, call, stream, routed.collected_limit(), || true) {
        Ok(items) => forward(response, routed, &items),
        Err(_) => StreamLookup::Missing,
    }
}

fn forward(
    response: &mut CallerResponse,
    routed: &RoutedRequest,
    items: &Receiver<StreamItem>,
) -> StreamLookup {
    let mut usage = UsageCounts::default();
    loop {
        let wait = Duration::from_millis(routed.deadline.since(ClockTime::monotonic()));
        match items.recv_timeout(wait) {
            Ok(StreamItem::NotSent(_) | StreamItem::Head(404)) => return StreamLookup::Missing,
            Ok(StreamItem::Connected | StreamItem::Head(200)) => {}
            Ok(StreamItem::Head(_)) => return StreamLookup::Ended(Err(ReasonCode::UpstreamError)),
            Ok(StreamItem::Token(event)) => {
                usage.completion_tokens += 1;
                if response.send_token(routed.form, event).is_err() {
                    return StreamLookup::Ended(Err(ReasonCode::CallerGone));
                }
            }
            Ok(StreamItem::Usage(counts)) => usage = counts,
            Ok(StreamItem::Done) => return StreamLookup::Ended(Ok(usage)),
            Ok(StreamItem::Broken(reason)) => return StreamLookup::Ended(Err(reason)),
            Err(RecvTimeoutError::Timeout) => {
                return StreamLookup::Ended(Err(ReasonCode::DeadlinePassed));
            }
            Err(RecvTimeoutError::Disconnected) => {
                return StreamLookup::Ended(Err(ReasonCode::UpstreamCut));
            }
        }
    }
}
