//! Reads the event stream of a target on a thread of its own.
//!
//! The handler must react to cancel orders, to its deadline and to a caller that hangs up while
//! the target is silent, and a blocking read cannot be interrupted.

use super::upstream::{EventReader, TargetCall, TargetResponse, UpstreamError};
use super::workers::WorkerPool;
use burdockcleat_core::outcome::ReasonCode;
use serde::Deserialize;
use serde_json::Value;
use std::sync::mpsc::{Receiver, Sender, channel};

/// What the reader saw.
#[derive(Debug)]
pub enum StreamItem {
    /// The request certainly did not reach the target.
    NotSent(UpstreamError),
    /// The connection to the target is established and the request may be written.
    Connected,
    /// The target answered with this status; events follow if it is 200.
    Head(u16),
    /// One token of the answer.
    Token(Value),
    /// Counts of the answer.
    Usage(UsageCounts),
    /// The final event arrived: the answer is whole.
    Done,
    /// The stream ended before the final event.
    Broken(ReasonCode),
}

/// Token counts that an engine reports at the end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct UsageCounts {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Tokens of the prompt that the prefix cache held.
    #[serde(default)]
    pub cached_tokens: u32,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u32,
}

/// Starts a call and returns what the target streams.
///
/// # Errors
/// Fails if the thread cannot be created; then the request was not sent.
pub fn spawn_reader(
    readers: &WorkerPool,
    call: TargetCall,
    stream: String,
    still_allowed: impl Fn() -> bool + Send + Sync + 'static,
) -> std::io::Result<Receiver<StreamItem>> {
    let (items, inbox) = channel();
    let connected = items.clone();
    let checked = move || {
        let allowed = still_allowed();
        if allowed {
            // Nobody waits for the item if the handler has ended.
            let _ = connected.send(StreamItem::Connected);
        }
        allowed
    };
    readers.start(move || match call.send(checked) {
        Ok(response) => forward(response, &stream, &items),
        Err(error) if error.never_sent() => {
            let _ = items.send(StreamItem::NotSent(error));
        }
        Err(error) => {
            let _ = items.send(StreamItem::Broken(error.reason()));
        }
    })?;
    Ok(inbox)
}

fn forward(response: TargetResponse, stream: &str, items: &Sender<StreamItem>) {
    let status = response.status().as_u16();
    if items.send(StreamItem::Head(status)).is_err() || status != 200 {
        return;
    }
    let mut reader = EventReader::new(response.into_body().into_reader());
    let mut checker = EventChecker::new(stream);
    loop {
        let item = match reader.next_event() {
            Ok(Some(data)) => checker.check(&data),
            Ok(None) => Some(StreamItem::Broken(ReasonCode::UpstreamCut)),
            Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {
                Some(StreamItem::Broken(ReasonCode::UpstreamTimeout))
            }
            Err(_) => Some(StreamItem::Broken(ReasonCode::UpstreamCut)),
        };
        let Some(item) = item else { continue };
        let last = matches!(item, StreamItem::Done | StreamItem::Broken(_));
        if items.send(item).is_err() || last {
            return;
        }
    }
}

/// Checks that events belong to one request and that none is missing.
struct EventChecker<'a> {
    stream: &'a str,
    next_index: u64,
}

impl<'a> EventChecker<'a> {
    fn new(stream: &'a str) -> Self {
        Self { stream, next_index: 0 }
    }

    /// Returns what to pass on, or nothing for an event of another request or a repeated one.
    fn check(&mut self, data: &str) -> Option<StreamItem> {
        if data == "[DONE]" {
            return Some(StreamItem::Done);
        }
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            return Some(StreamItem::Broken(ReasonCode::UpstreamError));
        };
        if event.get("id").and_then(Value::as_str) != Some(self.stream) {
            log::warn!(event = "foreign_event_dropped"; "an event of another request was dropped");
            return None;
        }
        if let Some(usage) = event.get("usage") {
            let usage = UsageCounts::deserialize(usage).unwrap_or_default();
            if u64::from(usage.completion_tokens) != self.next_index {
                return Some(StreamItem::Broken(ReasonCode::UpstreamCut));
            }
            return Some(StreamItem::Usage(usage));
        }
        let index = event.get("index").and_then(Value::as_u64)?;
        if index > self.next_index {
            return Some(StreamItem::Broken(ReasonCode::UpstreamCut));
        }
        if index < self.next_index {
            return None;
        }
        self.next_index += 1;
        Some(StreamItem::Token(event))
    }
}
