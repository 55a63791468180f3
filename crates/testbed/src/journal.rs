//! Journal of the dispatches and orders that a fake target received.

use serde::{Deserialize, Serialize};

/// Maximum number of dispatches kept. Later ones are only counted.
const JOURNAL_LIMIT: usize = 200_000;

/// State of a dispatched request at the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DispatchEnd {
    /// Waiting or running.
    #[default]
    Open,
    /// All tokens were produced, or the complete response was written.
    Completed,
    /// Cancelled by `DELETE`.
    Cancelled,
    /// Answered with an error status.
    Error,
}

/// One dispatch that the target received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct DispatchRecord {
    /// Value of `x-request-id`.
    pub request_id: String,
    /// Wall clock time of receipt, in milliseconds.
    pub at_ms: u64,
    /// XXH3-64 of the body.
    pub body_hash: u64,
    /// HTTP method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// Body of a call to a plain service; empty at engines.
    pub body: String,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u32,
    /// Prompt tokens that were computed.
    pub computed_tokens: u32,
    /// Hashes of the complete prompt blocks that were computed.
    pub computed_blocks: Vec<u64>,
    /// Tokens that were produced.
    pub output_tokens: u32,
    /// Whether and how the request ended.
    pub end: DispatchEnd,
}

/// Order that an engine received.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRecord {
    /// Id of the order.
    pub order_id: String,
    /// Fencing number of the order.
    pub fencing: u64,
    /// Kind of the order, for example `load_model` or `unload_model`.
    pub kind: String,
    /// Model that the order refers to.
    #[serde(default)]
    pub model: String,
    /// Wall clock time of receipt, in milliseconds.
    #[serde(default)]
    pub at_ms: u64,
    /// Whether the order was executed. False for stale and repeated orders.
    #[serde(default)]
    pub applied: bool,
}

/// Journal of one target. `GET /testbed/journal` returns it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetJournal {
    /// Name of the target.
    pub name: String,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// Dispatches in order of receipt.
    pub dispatches: Vec<DispatchRecord>,
    /// Number of dispatches that were dropped because the journal was full.
    pub dropped: u64,
    /// Orders in order of receipt.
    pub orders: Vec<OrderRecord>,
    /// Number of streams that were resumed.
    pub resumed: u64,
}

impl TargetJournal {
    /// Appends a dispatch and returns its position, or `None` if the journal is full.
    pub(crate) fn append(&mut self, record: DispatchRecord) -> Option<usize> {
        if self.dispatches.len() >= JOURNAL_LIMIT {
            self.dropped += 1;
            return None;
        }
        self.dispatches.push(record);
        Some(self.dispatches.len() - 1)
    }

    /// Updates the dispatch at a position that `append` returned.
    pub(crate) fn update(&mut self, slot: Option<usize>, change: impl FnOnce(&mut DispatchRecord)) {
        if let Some(record) = slot.and_then(|position| self.dispatches.get_mut(position)) {
            change(record);
        }
    }

    /// Returns the number of dispatches received.
    pub fn dispatch_count(&self) -> u64 {
        self.dispatches.len() as u64 + self.dropped
    }

    /// Returns the number of recorded dispatches in this state.
    pub fn ended(&self, end: DispatchEnd) -> usize {
        self.dispatches.iter().filter(|record| record.end == end).count()
    }
}
