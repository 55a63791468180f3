//! Passes an event stream on as it arrives, and continues it at another target after a break.

use super::attempt::{Attempts, open_answer};
use super::send::{MAX_EVENT_FRAME_BYTES, OpenAnswer, StreamSource, strip_headers};
use super::{RequestContext, log_answer};
use crate::placement::AttemptOutcome;
use crate::reply::{ReplyBody, StreamBroken};
use burdockcleat_core::clock::ClockTime;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender, channel};

/// Parts that wait for a slow caller before the target is held up.
const PARTS_AHEAD: usize = 8;

/// Shortest silence in the middle of a stream after which it continues elsewhere, in ms: a target
/// that reads long prompts for others pauses for some hundreds of ms.
const MIN_STALL_MS: u64 = 800;
/// The same in longest pauses of the route; its callers abandon a stream after eight.
const STALL_PAUSES: u64 = 3;

/// How the stream of one target ended.
enum StreamEnd {
    Complete,
    /// The target broke off.
    Broken,
    /// The caller left.
    CallerLeft,
    /// The route's timeout or the deadline has passed.
    OutOfTime,
}

/// Answers with a stream whose first event has arrived.
pub(crate) fn respond(
    context: Rc<RequestContext>,
    attempts: Attempts,
    source: Box<StreamSource>,
) -> Response<ReplyBody> {
    let (sender, receiver): (_, Receiver<Result<Bytes, StreamBroken>>) = channel(PARTS_AHEAD);
    let mut head = source.parts.clone();
    strip_headers(&mut head.headers, false);
    tokio::task::spawn_local(pump(context, attempts, source, sender));
    Response::from_parts(head, ReplyBody::Stream(receiver))
}

/// Passes on one target's stream after the other until the answer is complete.
async fn pump(
    context: Rc<RequestContext>,
    mut attempts: Attempts,
    mut source: Box<StreamSource>,
    sender: Sender<Result<Bytes, StreamBroken>>,
) {
    let _running = context.node.count_running();
    let mut last_event = context.request.last_event;
    let status = source.parts.status;
    attempts.streaming = true;
    loop {
        let (end, last_id) = pass_on(&context, &mut attempts, source, &sender).await;
        last_event = last_id.or(last_event);
        match end {
            StreamEnd::Complete => return log_answer(&context, &attempts, status, "stream"),
            StreamEnd::CallerLeft => {
                context.count_wasted_prefill("the caller left");
                return log_end(&context, &attempts, "the caller left");
            }
            StreamEnd::OutOfTime => {
                context.count_wasted_prefill("out of time");
                log_end(&context, &attempts, "out of time");
                break;
            }
            StreamEnd::Broken => {}
        }
        context.count_wasted_prefill("the target broke off");
        log_end(&context, &attempts, "the target broke off");
        if !context.route.resumable {
            break;
        }
        let resumed = tokio::select! {
            resumed = resume(&context, &mut attempts, last_event) => resumed,
            () = sender.closed() => return log_end(&context, &attempts, "the caller left"),
        };
        let Some(next) = resumed else { break };
        source = next;
    }
    // The receiver is gone if the caller left meanwhile; then there is nobody to tell.
    let _ = sender.send(Err(StreamBroken)).await;
}

/// Continues a stream at another target after its last whole event.
async fn resume(
    context: &Rc<RequestContext>,
    attempts: &mut Attempts,
    last_event: Option<u64>,
) -> Option<Box<StreamSource>> {
    if !attempts.may_repeat(context) {
        return None;
    }
    match open_answer(context, attempts, last_event).await {
        Ok(OpenAnswer::Stream(source)) => Some(source),
        Ok(OpenAnswer::Whole(_)) => None,
        Err(refusal) => {
            log_end(context, attempts, refusal.reason());
            None
        }
    }
}

/// Passes on one target's stream. Returns how it ended and the last event passed on.
async fn pass_on(
    context: &RequestContext,
    attempts: &mut Attempts,
    source: Box<StreamSource>,
    sender: &Sender<Result<Bytes, StreamBroken>>,
) -> (StreamEnd, Option<u64>) {
    let StreamSource { mut body, link, ticket, mut splitter, first, ended, .. } = *source;
    if !first.is_empty() && sender.send(Ok(first)).await.is_err() {
        return (StreamEnd::CallerLeft, splitter.last_id());
    }
    let mut ended = ended;
    let mut last_part = ClockTime::monotonic();
    while !ended {
        let left_ms = context.left_ms(ClockTime::monotonic());
        let stall_ms = stall_ms(context, attempts).unwrap_or(u64::MAX);
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sender.closed() => return (StreamEnd::CallerLeft, splitter.last_id()),
            () = tokio::time::sleep(Duration::from_millis(left_ms.min(stall_ms))) => {
                ticket.finish(AttemptOutcome::Stalled);
                let end = if stall_ms < left_ms { StreamEnd::Broken } else { StreamEnd::OutOfTime };
                return (end, splitter.last_id());
            }
        };
        let data = match frame {
            None => {
                ended = true;
                continue;
            }
            Some(Err(_)) => {
                ticket.finish(AttemptOutcome::Broken);
                return (StreamEnd::Broken, splitter.last_id());
            }
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        match splitter.push(&data) {
            Ok(None) => {}
            Ok(Some(events)) => {
                link.allow(MAX_EVENT_FRAME_BYTES);
                let now = ClockTime::monotonic();
                attempts.pause_ms = attempts.pause_ms.max(now.since(last_part));
                last_part = now;
                if sender.send(Ok(events)).await.is_err() {
                    return (StreamEnd::CallerLeft, splitter.last_id());
                }
            }
            Err(error) => {
                log::warn!(target: "burdockcleat", "event=stream.broken cause=\"{error}\"");
                ticket.finish(AttemptOutcome::Broken);
                return (StreamEnd::Broken, splitter.last_id());
            }
        }
    }
    if splitter.torn() {
        ticket.finish(AttemptOutcome::Broken);
        return (StreamEnd::Broken, splitter.last_id());
    }
    link.release();
    ticket.finish(AttemptOutcome::Answered);
    (StreamEnd::Complete, splitter.last_id())
}

/// Silence of a target, in ms, after which its stream continues at another one. None if it may not.
fn stall_ms(context: &RequestContext, attempts: &Attempts) -> Option<u64> {
    let route = &context.route;
    let may = route.resumable && attempts.sends < route.max_attempts;
    may.then(|| MIN_STALL_MS.max(route.pause_ms.unwrap_or(0) * STALL_PAUSES))
}

fn log_end(context: &RequestContext, attempts: &Attempts, cause: &str) {
    let id = &context.request.attempt;
    let target = attempts.last_target.as_deref().unwrap_or("-");
    let after_ms = ClockTime::monotonic().since(context.request.received);
    log::info!(
        target: "burdockcleat",
        "event=stream.ended id={id} target={target} cause=\"{cause}\" after_ms={after_ms}"
    );
    context.node.metrics.borrow_mut().count("streams_ended", cause, 1);
}
