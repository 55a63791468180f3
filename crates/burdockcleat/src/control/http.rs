//! HTTP API for operators and targets.

use super::event::{ApiCall, CallReply, ControlEvent};
use super::listen::{HttpCall, HttpReply, RequestClass};
use super::replies::{error_reply, unconfirmed_reply};
use crate::operator::{
    ApplyRequest, DrainRequest, ErrorCode, FaultText, OrderRequest, is_operation_id, paths,
};
use burdockcleat_core::document::ConfigDocument;
use burdockcleat_core::keys::TargetIdentity;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;
use tiny_http::Method;

/// Time to wait for the control thread, which waits for a majority. After it, the caller is told
/// that the outcome is unknown.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Threads that serve operator requests.
const OPERATOR_THREADS: usize = 8;
/// Threads that serve target requests.
const TARGET_THREADS: usize = 8;
/// Threads that serve health checks, dumps and metrics.
const LOCAL_THREADS: usize = 2;

/// Path on which targets announce themselves.
pub const ANNOUNCE_PATH: &str = "/v1/targets/announce";
/// Path on which targets report that they leave.
pub const LEAVE_PATH: &str = "/v1/targets/leave";
/// Path of the liveness check. It needs no token.
const HEALTH_PATH: &str = "/healthz";
/// Path of the readiness check. It needs no token.
const READINESS_PATH: &str = "/readyz";

/// Bearer tokens of the two kinds of callers.
#[derive(Clone, Debug)]
pub struct AccessTokens {
    /// Token that operators present.
    pub operator: String,
    /// Token that targets present.
    pub target: String,
}

/// Channels to the control thread.
#[derive(Clone)]
pub struct CallChannels {
    /// Channel for calls that are handled in order with all other events.
    pub events: Sender<ControlEvent>,
    /// Channel for calls that must be answered even while other events queue up.
    pub urgent: Sender<ControlEvent>,
}

/// Returns the request classes of the API listener.
pub fn request_classes(tokens: AccessTokens, channels: &CallChannels) -> Vec<RequestClass> {
    let tokens = Arc::new(tokens);
    let class = |name, threads, matches, events: &Sender<ControlEvent>| {
        let (tokens, events) = (tokens.clone(), events.clone());
        let serve = Arc::new(move |call: HttpCall| serve(call, &tokens, &events));
        RequestClass { name, threads, matches, serve }
    };
    vec![
        class("local", LOCAL_THREADS, is_local, &channels.urgent),
        class("targets", TARGET_THREADS, is_target, &channels.events),
        class("operators", OPERATOR_THREADS, |_| true, &channels.events),
    ]
}

/// Returns whether every instance answers the request from its own state, without the leader.
fn is_local(call: &HttpCall) -> bool {
    *call.method() == Method::Get
        && [HEALTH_PATH, READINESS_PATH, paths::DUMP, paths::METRICS].contains(&call.path())
}

fn is_target(call: &HttpCall) -> bool {
    call.path().starts_with("/v1/targets/")
}

fn serve(mut call: HttpCall, tokens: &AccessTokens, events: &Sender<ControlEvent>) {
    let reply = match decode_call(&mut call, tokens) {
        Ok(call) => call_control_thread(call, events),
        Err(reply) => reply,
    };
    let headers = vec![("content-type", "application/json".to_owned())];
    call.respond(HttpReply { status: reply.status, body: reply.body, headers });
}

/// Sends a call to the control thread and waits for its reply.
fn call_control_thread(call: ApiCall, events: &Sender<ControlEvent>) -> CallReply {
    let (reply, inbox) = channel();
    if events.send(ControlEvent::Call { call, reply }).is_err() {
        return unconfirmed_reply();
    }
    inbox.recv_timeout(REPLY_TIMEOUT).unwrap_or_else(|_| unconfirmed_reply())
}

/// Authenticates and decodes a request. `Err` holds a reply that needs no control thread: the
/// answer to a liveness check, or a refusal.
fn decode_call(call: &mut HttpCall, tokens: &AccessTokens) -> Result<ApiCall, CallReply> {
    let path = call.path().to_owned();
    match path.as_str() {
        HEALTH_PATH => return Err(CallReply { status: 200, body: "{\"alive\":true}".into() }),
        READINESS_PATH => return Ok(ApiCall::Ready),
        _ => {}
    }
    let token = if is_target(call) { &tokens.target } else { &tokens.operator };
    if !has_bearer_token(call, token) {
        let message = "the token is missing or wrong";
        return Err(error_reply(401, ErrorCode::Unauthorized, message));
    }
    match (call.method(), path.as_str()) {
        (Method::Get, paths::CONFIG) => read_config(call),
        (Method::Get, paths::HISTORY) => Ok(ApiCall::History),
        (Method::Get, paths::STATUS) => Ok(ApiCall::Status),
        (Method::Get, paths::DUMP) => Ok(ApiCall::Dump),
        (Method::Get, paths::METRICS) => Ok(ApiCall::Metrics),
        (Method::Post, paths::CONFIG) => {
            let request: ApplyRequest =
                read_write_body(call, |body: &ApplyRequest| &body.operation_id)?;
            let document = ConfigDocument::parse(&request.document).map(Box::new);
            let document = document.map_err(|faults| faults.iter().map(FaultText::from).collect());
            Ok(ApiCall::Apply { request, document })
        }
        (Method::Post, paths::DRAIN) => {
            read_write_body(call, |body: &DrainRequest| &body.operation_id).map(ApiCall::Drain)
        }
        (Method::Post, paths::ORDERS) => {
            read_write_body(call, |body: &OrderRequest| &body.operation_id).map(ApiCall::Order)
        }
        (Method::Post, ANNOUNCE_PATH) => Ok(ApiCall::Announce(Box::new(read_json(call)?))),
        (Method::Post, LEAVE_PATH) => Ok(ApiCall::Leave(read_json::<TargetIdentity>(call)?)),
        _ => Err(error_reply(404, ErrorCode::NotFound, "no such path")),
    }
}

fn read_config(call: &HttpCall) -> Result<ApiCall, CallReply> {
    match call.query("version").map(str::parse) {
        None => Ok(ApiCall::ReadConfig),
        Some(Ok(version)) => Ok(ApiCall::ReadVersion(version)),
        Some(Err(_)) => Err(bad_request("version must be a whole number")),
    }
}

/// Returns whether the request carries this bearer token.
fn has_bearer_token(call: &HttpCall, token: &str) -> bool {
    let expected = format!("Bearer {token}");
    call.header("authorization").is_some_and(|given| constant_time_eq(given, &expected))
}

/// Compares two strings without stopping at the first difference, so that the response time does
/// not reveal a matching prefix.
pub(super) fn constant_time_eq(given: &str, expected: &str) -> bool {
    let pairs = given.bytes().zip(expected.bytes());
    given.len() == expected.len() && pairs.fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
}

fn bad_request(message: impl Into<String>) -> CallReply {
    error_reply(400, ErrorCode::BadRequest, message)
}

/// Reads and validates the JSON body of an operator's write.
fn read_write_body<T: DeserializeOwned>(
    call: &mut HttpCall,
    operation_id: fn(&T) -> &String,
) -> Result<T, CallReply> {
    let content = call.header("content-type").unwrap_or_default();
    let content = content.split(';').next().unwrap_or_default().trim();
    if !content.eq_ignore_ascii_case("application/json") {
        return Err(bad_request("content-type must be application/json"));
    }
    let body = read_json(call)?;
    if !is_operation_id(operation_id(&body)) {
        return Err(bad_request("operation_id must have 1 to 128 printable ASCII characters"));
    }
    Ok(body)
}

fn read_json<T: DeserializeOwned>(call: &mut HttpCall) -> Result<T, CallReply> {
    let Some(body) = call.read_body() else {
        return Err(error_reply(413, ErrorCode::BadRequest, "the body broke off or is too large"));
    };
    serde_json::from_slice(&body).map_err(|fault| bad_request(format!("reading the body: {fault}")))
}
