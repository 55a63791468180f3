//! First results of operation ids, so that a resent operation has no second effect.

use super::command::DocumentReply;
use super::drains::DrainSubject;
use super::orders::{EngineOrder, OrderId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_128;

/// Number of operation ids whose results are kept; the oldest is forgotten first.
pub const OPERATIONS_KEPT: usize = 4_096;

/// What an operator asked for, without what the leader added to it.
///
/// A drain names its entry or target as the operator did, so that a resend after a restart of
/// that process is still the same request.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub enum OperationBody<'a> {
    /// An edit of the configuration.
    Document {
        /// Version that the edit started from.
        base_version: u64,
        /// Who made the edit.
        author: &'a str,
        /// Document text in TOML.
        document: &'a str,
    },
    /// An order to an engine.
    Order {
        /// Who asks.
        author: &'a str,
        /// The order.
        order: &'a EngineOrder,
    },
    /// A drain of an entry or a target.
    Drain {
        /// Who asks.
        author: &'a str,
        /// Whether the name is that of an entry.
        entry: bool,
        /// Name of the entry or target.
        name: &'a str,
    },
}

impl OperationBody<'_> {
    fn digest(&self) -> u128 {
        // Encoding into a growable buffer fails only for types that refuse to serialise themselves.
        xxh3_128(&postcard::to_stdvec(self).unwrap_or_default())
    }
}

/// First result of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum OperationResult {
    /// Result of an edit.
    Document(DocumentReply),
    /// The order that was issued.
    Order(OrderId),
    /// What was drained.
    Drain(DrainSubject),
}

/// What is known of an operation id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KnownOperation {
    /// The same request was made before, with this result.
    Repeated(OperationResult),
    /// Another request was made with this id.
    Reused,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct OperationRecord {
    id: Arc<str>,
    digest: u128,
    result: OperationResult,
}

/// One id space for all kinds of operations: an id that was used for an edit cannot order.
#[derive(Clone, Debug, Default)]
pub(super) struct OperationLog {
    order: VecDeque<Arc<str>>,
    records: BTreeMap<Arc<str>, OperationRecord>,
}

impl OperationLog {
    pub(super) fn find(&self, id: &str, body: &OperationBody<'_>) -> Option<KnownOperation> {
        let record = self.records.get(id)?;
        Some(match record.digest == body.digest() {
            true => KnownOperation::Repeated(record.result.clone()),
            false => KnownOperation::Reused,
        })
    }

    /// Records the first result of an id.
    pub(super) fn record(&mut self, id: &str, body: &OperationBody<'_>, result: OperationResult) {
        self.insert(OperationRecord { id: id.into(), digest: body.digest(), result });
    }

    fn insert(&mut self, record: OperationRecord) {
        self.order.push_back(Arc::clone(&record.id));
        self.records.insert(Arc::clone(&record.id), record);
        if self.order.len() > OPERATIONS_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.records.remove(&oldest);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// Ids and results in the order of their recording.
    pub(super) fn image(&self) -> Vec<OperationRecord> {
        self.order.iter().filter_map(|id| self.records.get(id)).cloned().collect()
    }

    pub(super) fn from_image(image: Vec<OperationRecord>) -> Self {
        let mut log = Self::default();
        image.into_iter().for_each(|record| log.insert(record));
        log
    }
}
