//! Sends orders to engines. Only the leader sends them, in the order of the log.

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

/// Timeout of one attempt to send an order, in milliseconds. The outcome of an attempt that takes
/// longer is unknown.
pub const ORDER_TIMEOUT_MS: u64 = 2_000;
/// Time in milliseconds that a new leader waits before it sends orders to targets that do not check
/// fencing numbers: the old leader's lease (500 ms), the clock margin (100 ms), and the timeout of
/// an order that the old leader has sent.
pub const UNFENCED_ORDER_DELAY_MS: u64 = 500 + 100 + ORDER_TIMEOUT_MS;
/// Time in milliseconds after the lease check within which an order must have a connection. The
/// lease must stay valid for that long.
pub const SEND_DEADLINE_MS: u64 = 200;
/// Time in milliseconds without an announcement after which the target of an order counts as gone.
/// Targets are unknown after a restart of all control instances, and announce themselves twice a
/// second.
const TARGET_GONE_AFTER_MS: u64 = 10_000;
/// Time in milliseconds after which an unconfirmed order is sent again, or its result is proposed
/// again.
const RESEND_AFTER_MS: u64 = 3_000;
/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60_000;

/// Result of one attempt to send an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeliveryResult {
    /// No usable answer arrived. The order is sent again.
    NoAnswer,
    /// The target accepted the order.
    Accepted {
        /// Whether the order loads a model, and so is complete only once the target reports that
        /// model.
        is_load: bool,
    },
    /// The target refused the order.
    Refused(String),
}

/// A target's answer to one attempt to send an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderAnswer {
    /// Id of the order.
    pub id: OrderId,
    /// Incarnation of the target that the order was sent to.
    pub incarnation: u64,
    /// Result of the attempt.
    pub reply: DeliveryResult,
}

/// The HTTP request that sends an order.
struct OrderCall {
    request: TargetCall,
    is_load: bool,
}

/// Callback that passes answers to the control thread.
pub type OrderAnswerSender = Arc<dyn Fn(OrderAnswer) + Send + Sync>;

/// Sends committed orders while this instance leads.
pub struct OrderController {
    /// Issuer name that a target must announce to receive orders from this deployment.
    issuer: String,
    answers: OrderAnswerSender,
    /// When orders may be sent to targets that do not check fencing numbers. `None` while this
    /// instance does not lead.
    unfenced_from: Option<ClockTime>,
    in_flight: BTreeSet<OrderId>,
    resend_at: BTreeMap<OrderId, ClockTime>,
    /// Target incarnation that accepted each load and does not report the model yet.
    loading: BTreeMap<OrderId, u64>,
    /// Since when the target of each order has not been registered.
    absent_since: BTreeMap<OrderId, ClockTime>,
    /// When the result of each order was last proposed.
    result_proposed_at: BTreeMap<OrderId, ClockTime>,
    loads_per_minute: u64,
    /// Time from which the weight store can serve the next load.
    next_load_at: ClockTime,
}

impl OrderController {
    /// Creates a controller for an instance that does not lead.
    pub fn new(issuer: &str, answers: OrderAnswerSender) -> Self {
        Self {
            issuer: issuer.to_owned(),
            answers,
            unfenced_from: None,
            in_flight: BTreeSet::new(),
            resend_at: BTreeMap::new(),
            loading: BTreeMap::new(),
            absent_since: BTreeMap::new(),
            result_proposed_at: BTreeMap::new(),
            loads_per_minute: u64::from(LimitSettings::default().weight_loads_per_minute),
            next_load_at: ClockTime::default(),
        }
    }

    /// Prepares for sending orders when this instance becomes leader.
    pub fn start_leading(&mut self, now: ClockTime) {
        self.unfenced_from = Some(now.plus(UNFENCED_ORDER_DELAY_MS));
        // The previous leader may have just started a load.
        self.next_load_at = now.plus(self.load_interval());
    }

    /// Stops sending orders when this instance no longer leads.
    pub fn stop_leading(&mut self) {
        self.unfenced_from = None;
        self.resend_at.clear();
        self.loading.clear();
        self.absent_since.clear();
        self.result_proposed_at.clear();
    }

    /// Applies the load rate of the weight store from the configuration.
    pub fn configure(&mut self, limits: &LimitSettings) {
        self.loads_per_minute = u64::from(limits.weight_loads_per_minute.max(1));
    }

    /// Returns the minimum time between two loads, in milliseconds.
    fn load_interval(&self) -> u64 {
        MINUTE_MS.div_ceil(self.loads_per_minute)
    }

    /// Sends due orders, and returns commands that record the results of completed ones.
    ///
    /// Must be called only while the lease stays valid for another [`SEND_DEADLINE_MS`].
    pub fn send_due(
        &mut self,
        now: ClockTime,
        state: &ReplicatedState,
        registry: &TargetRegistry,
    ) -> Vec<StateCommand> {
        if self.unfenced_from.is_none() {
            return Vec::new();
        }
        let mut busy_targets = BTreeSet::new();
        let mut results = Vec::new();
        for record in state.orders().filter(|record| record.result.is_none()) {
            // Orders to the same target are sent one at a time, in the order of the log.
            if !busy_targets.insert(&record.order.target) || self.in_flight.contains(&record.id) {
                continue;
            }
            let target = registry
                .iter()
                .map(|(_, known)| &known.announcement)
                .find(|known| known.name == record.order.target);
            if let Some(result) = self.advance(now, record, target)
                && self
                    .result_proposed_at
                    .get(&record.id)
                    .is_none_or(|at| now.since(*at) >= RESEND_AFTER_MS)
            {
                self.result_proposed_at.insert(record.id, now);
                results.push(StateCommand::OrderDone { id: record.id, result });
            }
        }
        results
    }

    /// Advances an order by one step. Returns its result once it is complete.
    fn advance(
        &mut self,
        now: ClockTime,
        record: &OrderRecord,
        target: Option<&TargetAnnouncement>,
    ) -> Option<OrderResult> {
        let Some(target) = target else {
            let since = *self.absent_since.entry(record.id).or_insert(now);
            let gone = now.since(since) >= TARGET_GONE_AFTER_MS;
            return gone.then(|| failed_result("the target has left"));
        };
        self.absent_since.remove(&record.id);
        if target.order_issuer != self.issuer {
            return Some(failed_result("the target takes no orders from this deployment"));
        }
        if self.loading.get(&record.id) == Some(&target.incarnation) {
            let OrderAction::LoadModel { model, .. } = &record.order.action else { return None };
            return target.models.contains(model).then_some(OrderResult::Succeeded);
        }
        if self.resend_at.get(&record.id).is_none_or(|at| now >= *at) {
            self.send(now, record, target);
        }
        None
    }

    fn send(&mut self, now: ClockTime, record: &OrderRecord, target: &TargetAnnouncement) {
        let unfenced_allowed = self.unfenced_from.is_some_and(|from| now >= from);
        if !target.enforces_fencing && !unfenced_allowed {
            return;
        }
        if matches!(
            record.order.action,
            OrderAction::LoadModel { .. } | OrderAction::LoadAdapter { .. }
        ) {
            if now < self.next_load_at {
                return;
            }
            self.next_load_at = now.plus(self.load_interval());
        }
        self.in_flight.insert(record.id);
        self.resend_at.insert(record.id, now.plus(RESEND_AFTER_MS));
        log::info!(event = "order_sent", order = record.id.0, target = target.name.as_str(); "sending order to target");
        let call = order_call(record, target);
        let (id, incarnation, answers) = (record.id, target.incarnation, self.answers.clone());
        let spawned = thread::Builder::new().name("order".into()).spawn(move || {
            answers(OrderAnswer { id, incarnation, reply: send_order(&call, now) });
        });
        if let Err(error) = spawned {
            log::error!(event = "thread_failed"; "starting the order thread: {error}");
            self.in_flight.remove(&record.id);
        }
    }

    /// Handles an answer. Returns the command that records the result if the order is complete.
    ///
    /// Loading a model continues after the answer. It is complete when the target reports the
    /// model.
    pub fn handle_answer(&mut self, answer: OrderAnswer) -> Option<StateCommand> {
        self.in_flight.remove(&answer.id);
        let result = match answer.reply {
            DeliveryResult::NoAnswer => return None,
            DeliveryResult::Accepted { is_load: true } => {
                self.loading.insert(answer.id, answer.incarnation);
                return None;
            }
            DeliveryResult::Accepted { is_load: false } => OrderResult::Succeeded,
            DeliveryResult::Refused(message) => OrderResult::Failed { message },
        };
        Some(StateCommand::OrderDone { id: answer.id, result })
    }

    /// Returns whether this leader has sent an order at least once.
    pub fn has_been_sent(&self, id: OrderId) -> bool {
        self.resend_at.contains_key(&id)
    }

    /// Returns the number of orders in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }
}

fn failed_result(message: &str) -> OrderResult {
    OrderResult::Failed { message: message.to_owned() }
}

/// Builds the request that sends an order to a target.
fn order_call(record: &OrderRecord, target: &TargetAnnouncement) -> OrderCall {
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
    let request = TargetCall {
        address: target.address.clone(),
        method: Method::POST,
        path: "/v1/orders".into(),
        headers: vec![("content-type".into(), "application/json".into())],
        body: body.to_string().into_bytes().into(),
        timeout: Duration::from_millis(ORDER_TIMEOUT_MS),
    };
    OrderCall { request, is_load: kind == "load_model" }
}

/// Sends an order whose lease check took place at `lease_checked`.
///
/// Sends nothing once [`SEND_DEADLINE_MS`] has passed since then. A process that was suspended may
/// have lost its lease, and the next leader relies on [`UNFENCED_ORDER_DELAY_MS`].
fn send_order(call: &OrderCall, lease_checked: ClockTime) -> DeliveryResult {
    let before_deadline = move || ClockTime::monotonic().since(lease_checked) < SEND_DEADLINE_MS;
    match call.request.send(before_deadline) {
        Ok(response) if response.status().is_success() => {
            DeliveryResult::Accepted { is_load: call.is_load }
        }
        Ok(response) if response.status().is_client_error() => DeliveryResult::Refused(format!(
            "the target answered with status {}",
            response.status()
        )),
        Ok(_) => DeliveryResult::NoAnswer,
        Err(error) => {
            log::info!(event = "order_unanswered"; "{error}");
            DeliveryResult::NoAnswer
        }
    }
}
