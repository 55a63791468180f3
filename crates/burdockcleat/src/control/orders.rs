//! Orders to engines: sent by the leader only, in the order of the log.

use crate::entry::upstream::TargetCall;
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::document::LimitSettings;
use burdockcleat_core::registry::{TargetAnnouncement, TargetRegistry};
use burdockcleat_core::state::{
    OrderAction, OrderId, OrderRecord, OrderResult, ReplicatedState, StateCommand,
};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use ureq::http::Method;

/// Bound on an order in flight. An order that takes longer counts as unknown.
pub const ORDER_FLIGHT_MS: u64 = 2_000;
/// Time that a new leader waits before it orders a target that ignores fencing numbers: the old
/// leader's lease (500 ms), the clock margin (100 ms), and an order in flight.
pub const EXCLUSION_MS: u64 = 500 + 100 + ORDER_FLIGHT_MS;
/// Pause before an unconfirmed order is sent again.
const RESEND_MS: u64 = 3_000;
const MINUTE_MS: u64 = 60_000;

/// Answer of a target to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderAnswer {
    /// The order.
    pub id: OrderId,
    /// How it ended; `None` if no answer arrived and it is to be sent again.
    pub result: Option<OrderResult>,
}

/// Passes answers to the control thread.
pub type OrderSender = Arc<dyn Fn(OrderAnswer) + Send + Sync>;

/// Sends the orders of the log while this instance leads.
pub struct OrderController {
    answers: OrderSender,
    /// When targets that ignore fencing numbers may be ordered; absent while not leading.
    exclusive_from: Option<ClockTime>,
    leading: bool,
    in_flight: BTreeSet<OrderId>,
    resend_at: BTreeMap<OrderId, ClockTime>,
    loads_per_minute: u64,
    /// Time at which the weight store can serve the next load.
    next_load: ClockTime,
}

impl OrderController {
    /// Starts without leadership.
    pub fn open(answers: OrderSender) -> Self {
        Self {
            answers,
            exclusive_from: None,
            leading: false,
            in_flight: BTreeSet::new(),
            resend_at: BTreeMap::new(),
            loads_per_minute: u64::from(LimitSettings::default().weight_loads_per_minute),
            next_load: ClockTime::default(),
        }
    }

    /// Notes that this instance leads from now on.
    pub fn start_leading(&mut self, now: ClockTime) {
        self.leading = true;
        self.exclusive_from = Some(now.plus(EXCLUSION_MS));
        // The previous leader may have used the weight store's rate just before.
        self.next_load = now.plus(self.load_interval());
    }

    /// Notes that this instance no longer leads.
    pub fn stop_leading(&mut self) {
        self.leading = false;
        self.exclusive_from = None;
        self.resend_at.clear();
    }

    /// Takes the weight store's rate from the document.
    pub fn configure(&mut self, limits: &LimitSettings) {
        self.loads_per_minute = u64::from(limits.weight_loads_per_minute.max(1));
    }

    fn load_interval(&self) -> u64 {
        MINUTE_MS.div_ceil(self.loads_per_minute)
    }

    /// Sends what is due. To be called only while the lease is valid.
    pub fn send_due(&mut self, now: ClockTime, state: &ReplicatedState, registry: &TargetRegistry) {
        if !self.leading {
            return;
        }
        let mut busy = BTreeSet::new();
        for record in state.orders().filter(|record| record.result.is_none()) {
            // Orders to one target keep the order of the log.
            if !busy.insert(record.order.target.clone()) || self.in_flight.contains(&record.id) {
                continue;
            }
            if self.resend_at.get(&record.id).is_some_and(|at| now < *at) {
                continue;
            }
            let target = registry
                .iter()
                .map(|(_, known)| &known.announcement)
                .find(|known| known.name == record.order.target);
            if let Some(target) = target {
                self.send(now, record, target);
            }
        }
    }

    fn send(&mut self, now: ClockTime, record: &OrderRecord, target: &TargetAnnouncement) {
        let exclusive = self.exclusive_from.is_some_and(|from| now >= from);
        if !target.enforces_fencing && !exclusive {
            return;
        }
        if matches!(
            record.order.action,
            OrderAction::LoadModel { .. } | OrderAction::LoadAdapter { .. }
        ) {
            if now < self.next_load {
                return;
            }
            self.next_load = now.plus(self.load_interval());
        }
        self.in_flight.insert(record.id);
        self.resend_at.insert(record.id, now.plus(RESEND_MS));
        let call = order_call(record, target);
        let (id, answers) = (record.id, self.answers.clone());
        let spawned = thread::Builder::new().name("order".into()).spawn(move || {
            answers(OrderAnswer { id, result: send_order(&call) });
        });
        if let Err(error) = spawned {
            log::error!(event = "thread_failed"; "starting an order thread: {error}");
            self.in_flight.remove(&record.id);
        }
    }

    /// Takes an answer. Returns the command that records it.
    pub fn answered(&mut self, answer: OrderAnswer) -> Option<StateCommand> {
        self.in_flight.remove(&answer.id);
        let result = answer.result?;
        Some(StateCommand::OrderDone { id: answer.id, result })
    }

    /// Number of orders in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }
}

fn order_call(record: &OrderRecord, target: &TargetAnnouncement) -> TargetCall {
    let (kind, model) = match &record.order.action {
        OrderAction::LoadModel { model, .. } => ("load_model", model.clone()),
        OrderAction::UnloadModel { model } => ("unload_model", model.clone()),
        OrderAction::LoadAdapter { adapter, .. } => ("load_adapter", adapter.clone()),
        OrderAction::UnloadAdapter { adapter, .. } => ("unload_adapter", adapter.clone()),
        OrderAction::SetRole { role } => ("set_role", role.clone()),
    };
    let body = json!({
        "order_id": record.id.0.to_string(),
        "fencing": record.id.0,
        "kind": kind,
        "model": model,
        "action": record.order.action,
    });
    TargetCall {
        address: target.address.clone(),
        method: Method::POST,
        path: "/v1/orders".into(),
        headers: vec![("content-type".into(), "application/json".into())],
        body: body.to_string().into_bytes().into(),
        timeout: Duration::from_millis(ORDER_FLIGHT_MS),
    }
}

fn send_order(call: &TargetCall) -> Option<OrderResult> {
    match call.send(|| true) {
        Ok(response) if response.status().is_success() => Some(OrderResult::Succeeded),
        Ok(response) if response.status().is_client_error() => {
            let message = format!("the target answered with status {}", response.status());
            Some(OrderResult::Failed { message })
        }
        Ok(_) => None,
        Err(error) => {
            log::info!(event = "order_unanswered"; "{error}");
            None
        }
    }
}
