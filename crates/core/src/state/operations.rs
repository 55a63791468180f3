//! Results of operations by operation id, so that a resent operation is not executed again.

use super::command::DocumentReply;
use super::drains::DrainSubject;
use super::orders::{EngineOrder, OrderId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_128;

/// Number of operation ids whose results are kept. The oldest is removed first.
pub const OPERATIONS_KEPT: usize = 4_096;

/// Content of an operator request, without the data that the leader adds.
///
/// A drain contains only the name of the entry or target, so a resend after a restart of that
/// process still counts as the same request.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub enum OperationBody<'a> {
    /// Edit of the configuration.
    Document {
        /// Version that the edit started from.
        base_version: u64,
        /// Author of the edit.
        author: &'a str,
        /// Document text in TOML.
        document: &'a str,
    },
    /// Order to an engine.
    Order {
        /// Author of the order.
        author: &'a str,
        /// The order.
        order: &'a EngineOrder,
    },
    /// Drain of an entry or a target.
    Drain {
        /// Author of the drain.
        author: &'a str,
        /// Whether the name is that of an entry; otherwise it is that of a target.
        entry: bool,
        /// Name of the entry or target.
        name: &'a str,
    },
}

impl OperationBody<'_> {
    fn digest(&self) -> u128 {
        // With a growable buffer, encoding fails only if a `Serialize` implementation returns an
        // error.
        xxh3_128(&postcard::to_stdvec(self).unwrap_or_default())
    }
}

/// Result of the first execution of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum OperationResult {
    /// Result of an edit.
    Document(DocumentReply),
    /// The order that was issued.
    Order(OrderId),
    /// The process that was drained.
    Drain(DrainSubject),
}

/// Result of looking up an operation id that was used before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KnownOperation {
    /// The id was used for the same request, which had this result.
    Repeated(OperationResult),
    /// The id was used for a different request.
    Reused,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct OperationRecord {
    id: Arc<str>,
    digest: u128,
    result: OperationResult,
}

/// Recorded operations, oldest first.
///
/// All kinds of operations share one id space: an id that was used for an edit cannot be used for
/// an order.
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

    /// Returns the records in the order in which they were added.
    pub(super) fn to_records(&self) -> Vec<OperationRecord> {
        self.order.iter().filter_map(|id| self.records.get(id)).cloned().collect()
    }

    pub(super) fn from_records(records: Vec<OperationRecord>) -> Self {
        let mut log = Self::default();
        records.into_iter().for_each(|record| log.insert(record));
        log
    }
}
