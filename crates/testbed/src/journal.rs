//! Records that a fake target keeps of what it was asked to do.

use serde::{Deserialize, Serialize};

/// Entries kept at most; later ones are only counted.
const JOURNAL_LIMIT: usize = 200_000;

/// How a dispatched request ended at the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DispatchEnd {
    /// Waiting or running.
    #[default]
    Open,
    /// All tokens were produced, or the whole answer was written.
    Completed,
    /// Cancelled by `DELETE`.
    Cancelled,
    /// Answered with an error by a fault.
    Error,
}

/// One dispatch that the target received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct DispatchRecord {
    /// Value of `x-request-id`.
    pub request_id: String,
    /// Wall clock time of receipt in milliseconds.
    pub at_ms: u64,
    /// XXH3-64 of the body.
    pub body_hash: u64,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// Body of a call to a plain service; empty at engines.
    pub body: String,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens that the prefix cache held.
    pub cached_tokens: u32,
    /// Prompt tokens that were computed.
    pub computed_tokens: u32,
    /// Hashes of the whole prompt blocks that were computed.
    pub computed_blocks: Vec<u64>,
    /// Tokens that were produced.
    pub output_tokens: u32,
    /// How it ended.
    pub end: DispatchEnd,
}

/// One order that an engine received.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRecord {
    /// Id of the order.
    pub order_id: String,
    /// Fencing number of the order.
    pub fencing: u64,
    /// What is ordered, for example `load_model` or `unload_model`.
    pub kind: String,
    /// Model that the order is about.
    #[serde(default)]
    pub model: String,
    /// Wall clock time of receipt in milliseconds.
    #[serde(default)]
    pub at_ms: u64,
    /// Whether the order took effect; false for stale and repeated ones.
    #[serde(default)]
    pub applied: bool,
}

/// Journal of one target, the answer to `GET /testbed/journal`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetJournal {
    /// Name of the target.
    pub name: String,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// Dispatches in order of receipt.
    pub dispatches: Vec<DispatchRecord>,
    /// Dispatches beyond the journal's bound.
    pub dropped: u64,
    /// Orders in order of receipt.
    pub orders: Vec<OrderRecord>,
    /// Streams resumed.
    pub resumed: u64,
}

impl TargetJournal {
    /// Appends a dispatch and returns its position, or `None` beyond the bound.
    pub(crate) fn append(&mut self, record: DispatchRecord) -> Option<usize> {
        if self.dispatches.len() >= JOURNAL_LIMIT {
            self.dropped += 1;
            return None;
        }
        self.dispatches.push(record);
        Some(self.dispatches.len() - 1)
    }

    /// Changes the dispatch at a position that `append` returned.
    pub(crate) fn update(&mut self, slot: Option<usize>, change: impl FnOnce(&mut DispatchRecord)) {
        if let Some(record) = slot.and_then(|position| self.dispatches.get_mut(position)) {
            change(record);
        }
    }

    /// Number of dispatches received.
    pub fn dispatch_count(&self) -> u64 {
        self.dispatches.len() as u64 + self.dropped
    }

    /// Number of dispatches that ended this way.
    pub fn ended(&self, end: DispatchEnd) -> usize {
        self.dispatches.iter().filter(|record| record.end == end).count()
    }
}
