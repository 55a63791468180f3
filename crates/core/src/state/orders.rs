//! Orders to engines and their fencing numbers.

use super::command::OrderDoneReply;
use crate::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Number of ended orders that are kept even if they are past their retention.
pub const ENDED_ORDERS_KEPT: usize = 1_024;
/// Time that an ended order is always kept, in milliseconds, so that a waiting operator can read
/// its result.
pub const ENDED_ORDER_RETENTION_MS: u64 = 600_000;

/// Id of an order: the log index of its command, which is also its fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct OrderId(pub u64);

/// Action that an engine is ordered to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a version of a model.
    LoadModel {
        /// Name of the model.
        model: String,
        /// Version of the weights.
        version: String,
    },
    /// Unload a model.
    UnloadModel {
        /// Name of the model.
        model: String,
    },
    /// Load an adapter of a loaded model.
    LoadAdapter {
        /// Name of the model.
        model: String,
        /// Name of the adapter.
        adapter: String,
        /// Version of the adapter.
        version: String,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// Name of the model.
        model: String,
        /// Name of the adapter.
        adapter: String,
    },
    /// Change the engine's role.
    SetRole {
        /// Name of the role.
        role: String,
    },
}

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineOrder {
    /// Name of the engine.
    pub target: String,
    /// Action to perform.
    pub action: OrderAction,
}

/// Result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// The engine confirmed the order.
    Succeeded,
    /// The engine refused the order or failed to execute it.
    Failed {
        /// Message reported by the engine.
        message: String,
    },
    /// The engine did not confirm the order and may have executed it.
    Unknown,
}

/// Order with its origin and its result.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRecord {
    /// Id and fencing number.
    pub id: OrderId,
    /// The order.
    pub order: EngineOrder,
    /// Operation id chosen by the operator.
    pub operation_id: String,
    /// Author of the order.
    pub author: String,
    /// Result, if the order has ended.
    pub result: Option<OrderResult>,
    /// Time at which the result was recorded.
    pub ended: Option<ClockTime>,
}

/// Orders by id, and the ids of the ended orders in the order in which they ended.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub(super) struct OrderTable {
    records: BTreeMap<OrderId, OrderRecord>,
    ended: VecDeque<OrderId>,
}

impl OrderTable {
    pub(super) fn issue(
        &mut self,
        index: u64,
        order: &EngineOrder,
        operation_id: &str,
        author: &str,
    ) -> OrderId {
        let id = OrderId(index);
        let (operation_id, author) = (operation_id.to_owned(), author.to_owned());
        let order = order.clone();
        let record = OrderRecord { id, order, operation_id, author, result: None, ended: None };
        self.records.insert(id, record);
        id
    }

    pub(super) fn finish(
        &mut self,
        now: ClockTime,
        id: OrderId,
        result: &OrderResult,
    ) -> OrderDoneReply {
        let Some(record) = self.records.get_mut(&id) else {
            return OrderDoneReply::UnknownOrder;
        };
        if let Some(recorded) = &record.result {
            return OrderDoneReply::AlreadyDone(recorded.clone());
        }
        record.result = Some(result.clone());
        record.ended = Some(now);
        self.ended.push_back(id);
        self.expire(now);
        OrderDoneReply::Accepted
    }

    /// Removes the oldest ended orders that exceed [`ENDED_ORDERS_KEPT`] and are past their
    /// retention.
    fn expire(&mut self, now: ClockTime) {
        while self.ended.len() > ENDED_ORDERS_KEPT
            && let Some(oldest) = self.ended.front()
        {
            let ended = self.records.get(oldest).and_then(|record| record.ended);
            if ended.is_some_and(|at| now.since(at) < ENDED_ORDER_RETENTION_MS) {
                return;
            }
            self.records.remove(oldest);
            self.ended.pop_front();
        }
    }

    pub(super) fn records(&self) -> impl Iterator<Item = &OrderRecord> {
        self.records.values()
    }

    pub(super) fn open_len(&self) -> usize {
        self.records.len() - self.ended.len()
    }
}
