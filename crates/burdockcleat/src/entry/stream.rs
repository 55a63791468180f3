//! Reads the event stream of a target on a separate thread.
//!
//! A blocking read cannot be interrupted. While the target is silent, the handler must still react
//! to a cancellation, to its deadline and to a caller that disconnects.

use super::upstream::{EventReader, TargetCall, TargetResponse, UpstreamError};
use super::workers::WorkerPool;
use burdockcleat_core::outcome::ReasonCode;
use serde::Deserialize;
use serde_json::Value;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Number of items that are queued for a slow handler before reading from the target pauses.
const ITEM_CAPACITY: usize = 64;

/// Event that the reader reports to the handler.
#[derive(Debug)]
pub enum StreamItem {
    /// The request did not reach the target.
    NotSent(UpstreamError),
    /// The connection to the target is established and the request may be written.
    Connected,
    /// The target responded with this status. Events follow if it is 200.
    Head(u16),
    /// One token of the response.
    Token(Value),
    /// Token counts of the response.
    Usage(UsageCounts),
    /// The final event arrived, so the response is complete.
    Done,
    /// The stream ended before the final event.
    Broken(ReasonCode),
}

/// Token counts that an engine reports at the end of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct UsageCounts {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Tokens of the prompt that were in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
    /// Tokens of the completion.
    #[serde(default)]
    pub completion_tokens: u32,
}

/// Starts a call to a target and returns a channel with the items of its stream. A stream whose events
/// exceed `limit` bytes in all is broken; `None` is for a caller that gets each event at once.
///
/// # Errors
/// Fails if the thread cannot be created. The request was then not sent.
pub fn spawn_reader(
    readers: &WorkerPool,
    call: TargetCall,
    stream: String,
    limit: Option<u64>,
    still_allowed: impl Fn() -> bool + Send + Sync + 'static,
) -> std::io::Result<Receiver<StreamItem>> {
    let (items, inbox) = sync_channel(ITEM_CAPACITY);
    let connected = items.clone();
    let check_and_notify = move || {
        let allowed = still_allowed();
        if allowed {
            // The send fails if the handler has ended.
            let _ = connected.send(StreamItem::Connected);
        }
        allowed
    };
    readers.start(move || match call.send(check_and_notify) {
        Ok(response) => forward(response, &stream, limit, &items),
        Err(error) if error.never_sent() => {
            let _ = items.send(StreamItem::NotSent(error));
        }
        Err(error) => {
            let _ = items.send(StreamItem::Broken(error.reason()));
        }
    })?;
    Ok(inbox)
}

fn forward(
    response: TargetResponse,
    stream: &str,
    limit: Option<u64>,
    items: &SyncSender<StreamItem>,
) {
    let status = response.status().as_u16();
    if items.send(StreamItem::Head(status)).is_err() || status != 200 {
        return;
    }
    let mut reader = EventReader::new(response.into_body().into_reader());
    let mut checker = EventChecker::new(stream);
    let mut left = limit;
    loop {
        let item = match reader.next_event() {
            Ok(Some(data)) => {
                left = left.map(|left| left.saturating_sub(data.len() as u64));
                if left == Some(0) {
                    Some(StreamItem::Broken(ReasonCode::TooLarge))
                } else {
                    checker.check(&data)
                }
            }
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

/// Checks that events belong to the request and that none is missing.
struct EventChecker<'a> {
    stream: &'a str,
    next_index: u64,
}

impl<'a> EventChecker<'a> {
    fn new(stream: &'a str) -> Self {
        Self { stream, next_index: 0 }
    }

    /// Returns the item to pass on, or `None` for an event of another request or a repeated one.
    fn check(&mut self, data: &str) -> Option<StreamItem> {
        if data == "[DONE]" {
            return Some(StreamItem::Done);
        }
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            return Some(StreamItem::Broken(ReasonCode::UpstreamError));
        };
        if event.get("id").and_then(Value::as_str) != Some(self.stream) {
            log::warn!(event = "foreign_event_dropped"; "dropped an event of another request");
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
