//! Streams that requests of this node look for at other nodes.

use super::StreamKey;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Interval between two questions for the same stream, in ms.
const REPEAT_INTERVAL_MS: u64 = 100;

/// Stream that requests wait for.
#[derive(Debug, Default)]
struct PendingLookup {
    waiting: usize,
    asked: Option<ClockTime>,
}

/// Streams to ask for now.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DueLookups {
    /// Streams that no node was asked for yet.
    pub first: Vec<StreamKey>,
    /// Streams that the first question has not found.
    pub repeated: Vec<StreamKey>,
}

/// Streams that requests wait for. Questions for several streams share a datagram.
#[derive(Debug, Default)]
pub struct PendingLookups {
    lookups: BTreeMap<StreamKey, PendingLookup>,
    /// Whether a task asks for the streams.
    asking: bool,
}

impl PendingLookups {
    /// Adds a request that waits for a stream. Returns whether a task must be started that calls
    /// [`Self::take_due`] until it returns `None`.
    pub fn add(&mut self, stream: StreamKey) -> bool {
        self.lookups.entry(stream).or_default().waiting += 1;
        !std::mem::replace(&mut self.asking, true)
    }

    /// Removes a request that waits for a stream.
    pub fn remove(&mut self, stream: StreamKey) {
        let Some(lookup) = self.lookups.get_mut(&stream) else { return };
        lookup.waiting -= 1;
        if lookup.waiting == 0 {
            self.lookups.remove(&stream);
        }
    }

    /// Returns the streams to ask for at `now`, and counts them as asked for. Returns `None` if no
    /// request waits.
    pub fn take_due(&mut self, now: ClockTime) -> Option<DueLookups> {
        self.asking = !self.lookups.is_empty();
        if !self.asking {
            return None;
        }
        let mut due = DueLookups::default();
        for (stream, lookup) in &mut self.lookups {
            match lookup.asked {
                None => due.first.push(*stream),
                Some(asked) if now.since(asked) >= REPEAT_INTERVAL_MS => due.repeated.push(*stream),
                Some(_) => continue,
            }
            lookup.asked = Some(now);
        }
        Some(due)
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.lookups.is_empty()
    }
}
