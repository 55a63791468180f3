//! Orders to engines with their fencing numbers.

use super::command::OrderDoneReply;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Number of ended orders that are kept for the console and the dump.
pub const ENDED_ORDERS_KEPT: usize = 1_024;

/// Id of an order: the log index of its command, which is also its fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId(pub u64);

/// What an engine is asked to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Name of the engine.
    pub target: String,
    /// What it is asked to do.
    pub action: OrderAction,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Id and fencing number.
    pub id: OrderId,
    /// The order.
    pub order: EngineOrder,
    /// How it ended, if it has.
    pub result: Option<OrderResult>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct OrderTable {
    records: BTreeMap<OrderId, OrderRecord>,
    ended: VecDeque<OrderId>,
}

impl OrderTable {
    pub(super) fn issue(&mut self, index: u64, order: &EngineOrder) -> OrderId {
        let id = OrderId(index);
        self.records.insert(id, OrderRecord { id, order: order.clone(), result: None });
        id
    }

    pub(super) fn finish(&mut self, id: OrderId, result: &OrderResult) -> OrderDoneReply {
        let Some(record) = self.records.get_mut(&id) else {
            return OrderDoneReply::UnknownOrder;
        };
        if let Some(recorded) = &record.result {
            return OrderDoneReply::AlreadyDone(recorded.clone());
        }
        record.result = Some(result.clone());
        self.ended.push_back(id);
        if self.ended.len() > ENDED_ORDERS_KEPT
            && let Some(oldest) = self.ended.pop_front()
        {
            self.records.remove(&oldest);
        }
        OrderDoneReply::Accepted
    }

    pub(super) fn records(&self) -> impl Iterator<Item = &OrderRecord> {
        self.records.values()
    }

    pub(super) fn open_len(&self) -> usize {
        self.records.len() - self.ended.len()
    }
}
