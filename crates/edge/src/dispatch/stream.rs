//! Forwards an event stream as it arrives and resumes it at another target after a failure.

use super::queue::CallerQueue;
use super::retry::{SendHistory, send_until_answered};
use super::send::{MAX_EVENT_FRAME_BYTES, PendingSend, StreamSource, TargetResponse, prepare_head};
use super::silence::{deadline_outcome, replace_silent, stream_stall_ms};
use super::{RequestContext, log_response};
use crate::events::EventSplitter;
use crate::node::ActiveRequestGuard;
use crate::placement::{AttemptOutcome, OutputReport, VersionKey};
use crate::reply::ReplyBody;
use crate::targets::TargetAnnouncement;
use burdockcleat_core::clock::ClockTime;
use http_body_util::BodyExt;
use hyper::Response;
use std::rc::Rc;
use std::time::Duration;

/// Time before the deadline within which the end of a stream counts as a cut, in ms. Targets stop by
/// their own clock, and the deadline that they are given is rounded.
const CUT_MARGIN_MS: u64 = 50;

/// Reason why the stream of one target ended.
enum StreamEnd {
    Complete,
    /// The connection broke, or the target sent an invalid stream.
    Broken,
    /// The target was silent, and another one has taken the stream.
    Replaced(Box<PendingSend>),
    /// The caller closed its connection.
    CallerDisconnected,
    /// The route's timeout or the deadline has passed.
    DeadlinePassed,
}

/// Responds with a stream whose first event has arrived.
pub(crate) fn respond(
    context: Rc<RequestContext>,
    history: SendHistory,
    source: Box<StreamSource>,
) -> Response<ReplyBody> {
    let (queue, receiver) = CallerQueue::open(context.node.memory_budget.as_ref());
    let mut head = source.parts.clone();
    prepare_head(&mut head, false);
    // A stream that this attempt takes up is recorded by the attempt that began it.
    if context.route.resumable
        && !source.first.is_empty()
        && context.origin.is_none()
        && let Some(announcement) = context.node.known_announcement(source.guard.target())
    {
        if history.version == Some(VersionKey::UNKNOWN) {
            tokio::task::spawn_local(record_confirmed(context.clone(), announcement));
        } else {
            context.node.record_stream(&context.request.attempt, &announcement);
        }
    }
    tokio::task::spawn_local(forward_stream(context, history, source, queue));
    Response::from_parts(head, ReplyBody::Stream(receiver))
}

/// Records a stream at an outdated target once the target's version is confirmed.
async fn record_confirmed(context: Rc<RequestContext>, announcement: TargetAnnouncement) {
    if context.node.confirm_version(&announcement).await.is_some() {
        context.node.record_stream(&context.request.attempt, &announcement);
    }
}

/// Forwards the stream of one target after another until the response is complete.
async fn forward_stream(
    context: Rc<RequestContext>,
    mut history: SendHistory,
    mut source: Box<StreamSource>,
    queue: CallerQueue,
) {
    let _running = context.node.track_running();
    let mut last_event = context.request.last_event;
    let status = source.parts.status;
    history.streaming = true;
    loop {
        let (end, last_id) =
            forward_from_target(&context, &mut history, source, &queue, last_event).await;
        last_event = last_id.or(last_event);
        let (cause, next) = match end {
            StreamEnd::Complete => return log_response(&context, &history, status, "stream"),
            StreamEnd::CallerDisconnected => {
                context.count_wasted_prefill("the caller left");
                return log_stream_end(&context, &history, "the caller left");
            }
            StreamEnd::DeadlinePassed => {
                context.count_wasted_prefill("out of time");
                log_stream_end(&context, &history, "out of time");
                break;
            }
            StreamEnd::Broken => ("the target broke off", None),
            StreamEnd::Replaced(next) => ("the target is silent", Some(*next)),
        };
        context.count_wasted_prefill(cause);
        log_stream_end(&context, &history, cause);
        if !context.route.resumable {
            break;
        }
        let resumed = tokio::select! {
            resumed = resume(&context, &mut history, last_event, next) => resumed,
            () = queue.closed() => return log_stream_end(&context, &history, "the caller left"),
        };
        let Some(next) = resumed else { break };
        source = next;
    }
    queue.fail(context.left_ms(ClockTime::monotonic())).await;
}

/// Resumes a stream after the last complete event, at the target of `next` if it was already sent
/// to one.
async fn resume(
    context: &Rc<RequestContext>,
    history: &mut SendHistory,
    last_event: Option<u64>,
    next: Option<PendingSend>,
) -> Option<Box<StreamSource>> {
    if history.version == Some(VersionKey::UNKNOWN)
        && let Some(announcement) = history.first_target.clone()
    {
        history.version = context.node.confirm_version(&announcement).await.or(history.version);
    }
    if next.is_none() && !history.take_retry(context) {
        return None;
    }
    match send_until_answered(context, history, last_event, next).await {
        Ok(TargetResponse::Stream(source)) => Some(source),
        Ok(TargetResponse::Complete(_)) => {
            log_stream_end(context, history, "the next target answered with a failure");
            None
        }
        Err(refusal) => {
            log_stream_end(context, history, refusal.reason());
            None
        }
    }
}

/// Forwards the stream of one target. Returns how it ended and the id of the last complete event.
/// `last_event` is the last event before this stream.
async fn forward_from_target(
    context: &Rc<RequestContext>,
    history: &mut SendHistory,
    source: Box<StreamSource>,
    queue: &CallerQueue,
    last_event: Option<u64>,
) -> (StreamEnd, Option<u64>) {
    let StreamSource { parts, mut body, connection, guard, mut splitter, first, ended } = *source;
    if !first.is_empty() && queue.push(first).await.is_err() {
        return (StreamEnd::CallerDisconnected, splitter.last_id());
    }
    let mut ended = ended;
    let counter = OutputCounter::new(context, &splitter, last_event);
    counter.record(&guard, &splitter, false);
    let mut last_chunk = ClockTime::monotonic();
    while !ended {
        let left_ms = context.left_ms(ClockTime::monotonic());
        let stall_ms = stream_stall_ms(context, history);
        let last_id = splitter.last_id();
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = queue.closed() => return (StreamEnd::CallerDisconnected, last_id),
            () = tokio::time::sleep(Duration::from_millis(left_ms)) => {
                let silent_ms = ClockTime::monotonic().since(last_chunk);
                guard.finish(deadline_outcome(silent_ms));
                return (StreamEnd::DeadlinePassed, last_id);
            }
            next = replace_silent(context, history, stall_ms, last_id.or(last_event)) => {
                guard.finish(AttemptOutcome::Stalled);
                return (StreamEnd::Replaced(Box::new(next)), last_id);
            }
        };
        let data = match frame {
            None => {
                ended = true;
                continue;
            }
            Some(Err(_)) => {
                suspect_target(context, &guard);
                guard.finish(AttemptOutcome::Broken);
                return (StreamEnd::Broken, splitter.last_id());
            }
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        match splitter.push(&data) {
            Ok(None) => {}
            Ok(Some(events)) => {
                connection.set_read_limit(MAX_EVENT_FRAME_BYTES);
                counter.record(&guard, &splitter, false);
                let now = ClockTime::monotonic();
                history.pause_ms = history.pause_ms.max(now.since(last_chunk));
                last_chunk = now;
                if queue.push(events).await.is_err() {
                    return (StreamEnd::CallerDisconnected, splitter.last_id());
                }
            }
            Err(error) => {
                log::warn!(target: "burdockcleat", "event=stream.broken cause=\"{error}\"");
                guard.finish(AttemptOutcome::Broken);
                return (StreamEnd::Broken, splitter.last_id());
            }
        }
    }
    if splitter.has_partial_event() {
        suspect_target(context, &guard);
        guard.finish(AttemptOutcome::Broken);
        return (StreamEnd::Broken, splitter.last_id());
    }
    connection.release();
    if let Some(announcement) = context.node.known_announcement(guard.target()) {
        context.node.note_complete_answer(&context.traits, &announcement, &parts.headers);
    }
    let left_ms = context.left_ms(ClockTime::monotonic());
    counter.record(&guard, &splitter, left_ms > CUT_MARGIN_MS);
    guard.finish(AttemptOutcome::Answered);
    (StreamEnd::Complete, splitter.last_id())
}

/// Records that a target broke off a stream. Targets also end their work at the deadline.
fn suspect_target(context: &RequestContext, guard: &ActiveRequestGuard) {
    if context.left_ms(ClockTime::monotonic()) <= CUT_MARGIN_MS {
        return;
    }
    if let Some(announcement) = context.node.known_announcement(guard.target()) {
        context.node.suspect(&context.traits, &announcement);
    }
}

/// Counts the output tokens of a stream at one target.
struct OutputCounter {
    /// Tokens of an event; 0 if they are not known.
    event_tokens: u32,
    first_tokens: u32,
}

impl OutputCounter {
    /// Creates a counter for a stream whose first events have arrived. Streams that go on after
    /// `last_event` of another target are not counted: their length is that of the rest only.
    fn new(context: &RequestContext, splitter: &EventSplitter, last_event: Option<u64>) -> Self {
        let node = &context.node;
        let uses_outputs = || node.scheduler.borrow().uses_outputs(&context.service);
        let counted = last_event.is_none() && uses_outputs();
        let config = node.config().filter(|_| counted);
        let rule = config.as_ref().and_then(|config| config.services.get(&context.service));
        let event_tokens = rule.map_or(0, |rule| rule.event_tokens);
        let first_tokens = splitter.event_count().saturating_mul(event_tokens);
        Self { event_tokens, first_tokens }
    }

    fn record(&self, guard: &ActiveRequestGuard, splitter: &EventSplitter, complete: bool) {
        if self.event_tokens == 0 {
            return;
        }
        let tokens = splitter.event_count().saturating_mul(self.event_tokens);
        guard.record_output(OutputReport { tokens, first_tokens: self.first_tokens, complete });
    }
}

fn log_stream_end(context: &RequestContext, history: &SendHistory, cause: &str) {
    let id = &context.request.attempt;
    let target = history.last_target.as_deref().unwrap_or("-");
    let after_ms = ClockTime::monotonic().since(context.request.received);
    log::info!(
        target: "burdockcleat",
        "event=stream.ended id={id} target={target} cause=\"{cause}\" after_ms={after_ms} parts={}",
        context.request.describe_parts()
    );
    context.node.metrics.borrow_mut().count("streams_ended", cause, 1);
}
