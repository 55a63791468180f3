//! Buffered token streams, which callers read, resume and cancel.

use crate::sync::locked;
use burdockcleat_core::clock::ClockTime;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum time that a read waits for an event.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// Events of one answer, in progress or ended.
pub(crate) struct StreamBuffer {
    pub(crate) id: String,
    pub(crate) prompt_hash: u64,
    limit: usize,
    state: Mutex<StreamState>,
    changed: Condvar,
}

#[derive(Default)]
struct StreamState {
    /// Buffered events. The first of them has the number `first`.
    events: VecDeque<String>,
    first: usize,
    ended: Option<ClockTime>,
    cancelled: bool,
}

/// Result of reading the event at a position.
pub(crate) enum StreamRead {
    /// The event at the position.
    Event(String),
    /// The event was removed because the buffer was full.
    Evicted,
    /// The stream completed before the position.
    Ended,
    /// The stream was cancelled before the position.
    Cancelled,
    /// No event yet.
    Waiting,
}

impl StreamBuffer {
    pub(crate) fn new(id: &str, prompt: &str, limit: usize) -> Self {
        let prompt_hash = xxh3_64(prompt.as_bytes());
        let (state, changed) = (Mutex::default(), Condvar::new());
        Self { id: id.to_owned(), prompt_hash, limit: limit.max(1), state, changed }
    }

    pub(crate) fn append(&self, event: String) {
        let mut state = locked(&self.state);
        state.events.push_back(event);
        if state.events.len() > self.limit {
            state.events.pop_front();
            state.first += 1;
        }
        self.changed.notify_all();
    }

    pub(crate) fn end(&self) {
        locked(&self.state).ended.get_or_insert_with(ClockTime::monotonic);
        self.changed.notify_all();
    }

    /// Cancels the stream. Returns false if it had already ended.
    pub(crate) fn cancel(&self) -> bool {
        let mut state = locked(&self.state);
        if state.ended.is_some() {
            return false;
        }
        state.cancelled = true;
        state.ended = Some(ClockTime::monotonic());
        self.changed.notify_all();
        true
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        locked(&self.state).cancelled
    }

    fn is_open(&self) -> bool {
        locked(&self.state).ended.is_none()
    }

    /// Reads the event with the number `position`. Waits for it up to `READ_TIMEOUT`.
    pub(crate) fn read(&self, position: usize) -> StreamRead {
        let mut state = locked(&self.state);
        if position >= state.first + state.events.len() && state.ended.is_none() {
            let Ok((woken, _)) = self.changed.wait_timeout(state, READ_TIMEOUT) else {
                return StreamRead::Waiting;
            };
            state = woken;
        }
        if position < state.first {
            return StreamRead::Evicted;
        }
        if let Some(event) = state.events.get(position - state.first) {
            return StreamRead::Event(event.clone());
        }
        match (state.ended, state.cancelled) {
            (_, true) => StreamRead::Cancelled,
            (Some(_), false) => StreamRead::Ended,
            (None, false) => StreamRead::Waiting,
        }
    }
}

/// Streams by request id. Ended streams are kept for the retention time.
pub(crate) struct StreamRegistry {
    streams: HashMap<String, Arc<StreamBuffer>>,
    retention_ms: u64,
}

impl StreamRegistry {
    pub(crate) fn new(retention_ms: u64) -> Self {
        Self { streams: HashMap::new(), retention_ms }
    }

    pub(crate) fn insert(&mut self, stream: Arc<StreamBuffer>) {
        self.remove_expired();
        self.streams.insert(stream.id.clone(), stream);
    }

    pub(crate) fn find(&mut self, id: &str) -> Option<Arc<StreamBuffer>> {
        self.remove_expired();
        self.streams.get(id).cloned()
    }

    /// Returns an open stream other than `id`, for the fault of crossed frames.
    pub(crate) fn find_other_open(&self, id: &str) -> Option<Arc<StreamBuffer>> {
        self.streams.values().find(|stream| stream.id != id && stream.is_open()).cloned()
    }

    fn remove_expired(&mut self) {
        let (now, retention) = (ClockTime::monotonic(), self.retention_ms);
        self.streams.retain(|_, stream| {
            let ended = locked(&stream.state).ended;
            ended.is_none_or(|at| now.since(at) <= retention)
        });
    }
}
