//! Orders to engines with their fencing numbers.

use super::command::OrderDoneReply;
use crate::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Number of ended orders that are kept even after their retention.
pub const ENDED_ORDERS_KEPT: usize = 1_024;
/// Time for which every ended order is kept, so that an operator who waits sees its result.
pub const ENDED_ORDER_RETENTION_MS: u64 = 600_000;

/// Id of an order: the log index of its command, which is also its fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct OrderId(pub u64);

/// What an engine is asked to do.
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

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineOrder {
    /// Name of the engine.
    pub target: String,
    /// What it is asked to do.
    pub action: OrderAction,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// The engine confirmed the order.
    Succeeded,
    /// The engine refused the order or failed to carry it out.
    Failed {
        /// What the engine reported.
        message: String,
    },
    /// The order was not confirmed; the engine may have carried it out.
    Unknown,
}

/// An order in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRecord {
    /// Id and fencing number.
    pub id: OrderId,
    /// The order.
    pub order: EngineOrder,
    /// Id that the operator gave the order.
    pub operation_id: String,
    /// Who asked.
    pub author: String,
    /// How it ended, if it has.
    pub result: Option<OrderResult>,
    /// Time of the command that ended it.
    pub ended: Option<ClockTime>,
}

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

    /// Removes the oldest ended orders that are past their retention and above the number kept.
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
