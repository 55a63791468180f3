//! Calls of operators that order version roll-outs and read their state.

use super::{REGISTER_TIMEOUT_MS, RETRY_AFTER_MS};
use crate::node::NodeState;
use crate::register::{RegisterChange, RegisterValue};
use crate::reply::{ReplyBody, json_reply, refusal_reply, text_reply};
use crate::rollout::{RolloutHistory, RolloutOrder, RolloutRecord, RolloutState};
use burdockcleat_core::clock::ClockTime;
use hyper::{Method, Response, StatusCode};
use std::rc::Rc;

/// Timeout of an order, in ms. Operators wait for 5 s, so a second node can be asked.
const ORDER_TIMEOUT_MS: u64 = 2_000;
/// Reason of the refusal while the services are not known.
const NO_DOCUMENT: &str = "no document yet";

/// Answers a call about roll-outs. `service` is the rest of the path. Returns `None` if there is no
/// such call, or the deployment has no roll-outs.
pub(super) async fn answer_rollouts(
    node: &Rc<NodeState>,
    method: &Method,
    service: &str,
    body: &[u8],
) -> Option<Response<ReplyBody>> {
    node.settings.features.rollouts?;
    if service.is_empty() {
        return Some(match *method {
            Method::POST => start_rollout(node, body).await,
            _ => text_reply(StatusCode::METHOD_NOT_ALLOWED, "use POST"),
        });
    }
    let service = service.strip_prefix('/')?;
    Some(match *method {
        Method::GET => read_rollout(node, service).await,
        _ => text_reply(StatusCode::METHOD_NOT_ALLOWED, "use GET"),
    })
}

fn unavailable(reason: &'static str) -> Response<ReplyBody> {
    refusal_reply(StatusCode::SERVICE_UNAVAILABLE, reason, Some(RETRY_AFTER_MS))
}

/// Returns whether a service is configured, or `None` if this node has no document.
fn is_configured(node: &NodeState, service: &str) -> Option<bool> {
    Some(node.config()?.services.contains_key(service))
}

fn has_accepted(value: &RegisterValue, order: &RolloutOrder) -> bool {
    let history = value.rollouts.get(&order.service);
    history.is_some_and(|history| history.has_accepted(&order.to, order.duration_ms))
}

async fn start_rollout(node: &Rc<NodeState>, body: &[u8]) -> Response<ReplyBody> {
    let order = match (node.http_api.decode_rollout)(body) {
        Ok(order) => order,
        Err(error) => {
            log::info!(target: "burdockcleat", "event=rollout.rejected cause=\"{error}\"");
            return text_reply(StatusCode::BAD_REQUEST, error.to_string());
        }
    };
    let RolloutOrder { service, to, duration_ms } = &order;
    match is_configured(node, service) {
        Some(true) => {}
        Some(false) => {
            log::info!(target: "burdockcleat", "event=rollout.rejected service={service:?} cause=\"no such service\"");
            return text_reply(StatusCode::BAD_REQUEST, "no such service");
        }
        None => return unavailable(NO_DOCUMENT),
    }
    let started = ClockTime::monotonic();
    let (outcome, reply) = submit_order(node, &order).await;
    log::info!(
        target: "burdockcleat",
        "event=rollout.{outcome} service={service:?} to={to:?} duration_ms={duration_ms} took_ms={}",
        ClockTime::monotonic().since(started)
    );
    node.metrics.borrow_mut().count("rollout_orders", outcome, 1);
    reply
}

async fn submit_order(
    node: &Rc<NodeState>,
    order: &RolloutOrder,
) -> (&'static str, Response<ReplyBody>) {
    // An applied value is chosen, so an order that it holds is accepted.
    let applied = node.register.applied();
    if applied.is_some_and(|applied| has_accepted(&applied.value, order)) {
        return ("repeated", json_reply(StatusCode::OK, "{}"));
    }
    let record = RolloutRecord {
        to: order.to.clone(),
        started: ClockTime::wall().as_ms(),
        duration_ms: order.duration_ms,
        state: RolloutState::InProgress,
    };
    let change = RegisterChange::StartRollout { service: order.service.clone(), record };
    match node.submit_change(&change, ORDER_TIMEOUT_MS).await {
        Ok(value) if has_accepted(&value, order) => ("accepted", json_reply(StatusCode::OK, "{}")),
        Ok(_) => {
            let reason = "another roll-out of the service is in progress";
            ("conflicting", text_reply(StatusCode::CONFLICT, reason))
        }
        Err(error) => {
            log::info!(target: "burdockcleat", "event=rollout.not_chosen service={:?} cause=\"{error}\"", order.service);
            ("not_acknowledged", unavailable("no majority answered"))
        }
    }
}

async fn read_rollout(node: &Rc<NodeState>, service: &str) -> Response<ReplyBody> {
    match is_configured(node, service) {
        Some(true) => {}
        Some(false) => return text_reply(StatusCode::NOT_FOUND, "no such service"),
        None => return unavailable(NO_DOCUMENT),
    }
    match node.read_register(REGISTER_TIMEOUT_MS).await {
        Ok(value) => match value.rollouts.get(service).and_then(RolloutHistory::newest) {
            Some(record) => json_reply(StatusCode::OK, (node.http_api.encode_rollout)(record)),
            None => text_reply(StatusCode::NOT_FOUND, "no roll-out of this service"),
        },
        Err(error) => {
            log::info!(target: "burdockcleat", "event=rollout.read_failed service={service:?} cause=\"{error}\"");
            unavailable("no majority answered")
        }
    }
}
