//! First results of operation ids, so that a resent operation has no second effect.

use super::command::DocumentReply;
use super::orders::OrderId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Number of operation ids whose results are kept; the oldest is forgotten first.
pub const OPERATIONS_KEPT: usize = 4_096;

/// Edits and orders have separate id spaces, so an id that an operator used for an edit cannot
/// answer an order.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct OperationRecord {
    id: Arc<str>,
    result: OperationResult,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) enum OperationResult {
    Document(DocumentReply),
    Order(OrderId),
}

#[derive(Clone, Debug, Default)]
pub(super) struct OperationLog {
    order: VecDeque<OperationRecord>,
    documents: BTreeMap<Arc<str>, DocumentReply>,
    orders: BTreeMap<Arc<str>, OrderId>,
}

impl OperationLog {
    pub(super) fn document(&self, id: &str) -> Option<DocumentReply> {
        self.documents.get(id).copied()
    }

    pub(super) fn order(&self, id: &str) -> Option<OrderId> {
        self.orders.get(id).copied()
    }

    /// Records the first result of an id.
    pub(super) fn record(&mut self, id: &str, result: OperationResult) {
        let id: Arc<str> = Arc::from(id);
        match result {
            OperationResult::Document(reply) => {
                self.documents.insert(Arc::clone(&id), reply);
            }
            OperationResult::Order(order) => {
                self.orders.insert(Arc::clone(&id), order);
            }
        }
        self.order.push_back(OperationRecord { id, result });
        if self.order.len() <= OPERATIONS_KEPT {
            return;
        }
        let Some(oldest) = self.order.pop_front() else { return };
        match oldest.result {
            OperationResult::Document(_) => {
                self.documents.remove(&oldest.id);
            }
            OperationResult::Order(_) => {
                self.orders.remove(&oldest.id);
            }
        }
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// Ids and results in the order of their recording.
    pub(super) fn image(&self) -> Vec<(Arc<str>, OperationResult)> {
        self.order.iter().map(|record| (Arc::clone(&record.id), record.result)).collect()
    }

    pub(super) fn from_image(image: Vec<(Arc<str>, OperationResult)>) -> Self {
        let mut log = Self::default();
        for (id, result) in image {
            log.record(&id, result);
        }
        log
    }
}
