//! HTTP interface for operators and targets.

use super::event::{CallReply, ControlEvent, OperatorCall};
use super::replies::unconfirmed;
use crate::operator::{ApplyRequest, ErrorCode, ErrorReply, FaultText, FaultsReply, paths};
use burdockcleat_core::document::ConfigDocument;
use burdockcleat_core::keys::TargetIdentity;
use serde::de::DeserializeOwned;
use std::io::Read;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;
use tiny_http::{Header, Method, Request, Response, StatusCode};

/// Time for a majority to confirm a decision before the caller is told that it is not known.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest body: a document of 7,100 workspaces has about 1.5 MB.
const MAX_BODY_BYTES: u64 = 4 << 20;

/// Path of the announcements of targets.
pub const ANNOUNCE: &str = "/v1/targets/announce";
/// Path on which targets leave.
pub const LEAVE: &str = "/v1/targets/leave";

/// Tokens of the two kinds of callers.
#[derive(Clone, Debug)]
pub struct AccessTokens {
    /// Token of operators.
    pub operator: String,
    /// Token of targets.
    pub target: String,
}

/// Serves one request.
pub fn serve(mut request: Request, tokens: &AccessTokens, events: &Sender<ControlEvent>) {
    let reply = match decode(&mut request, tokens) {
        Ok(call) => ask(call, events),
        Err(reply) => reply,
    };
    let mut response = Response::from_string(reply.body).with_status_code(StatusCode(reply.status));
    if let Ok(header) = Header::from_bytes("content-type", "application/json") {
        response.add_header(header);
    }
    // A failed write means that the caller has gone.
    let _ = request.respond(response);
}

fn ask(call: OperatorCall, events: &Sender<ControlEvent>) -> CallReply {
    let (reply, inbox) = channel();
    if events.send(ControlEvent::Call { call, reply }).is_err() {
        return unconfirmed();
    }
    inbox.recv_timeout(REPLY_TIMEOUT).unwrap_or_else(|_| unconfirmed())
}

fn error(status: u16, code: ErrorCode, message: impl Into<String>) -> CallReply {
    CallReply::json(status, &ErrorReply { error: code, message: message.into() })
}

fn decode(request: &mut Request, tokens: &AccessTokens) -> Result<OperatorCall, CallReply> {
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    let is_target = path.starts_with("/v1/targets/");
    let token = if is_target { &tokens.target } else { &tokens.operator };
    if path == "/healthz" {
        return Err(CallReply { status: 200, body: "{\"alive\":true}".into() });
    }
    check_token(request, token)?;
    match (request.method(), path.as_str()) {
        (Method::Get, paths::CONFIG) => Ok(OperatorCall::ReadConfig),
        (Method::Get, paths::HISTORY) => Ok(OperatorCall::History),
        (Method::Get, paths::STATUS) => Ok(OperatorCall::Status),
        (Method::Get, paths::DUMP) => Ok(OperatorCall::Dump),
        (Method::Post, paths::CONFIG) => {
            let body = read_json(request)?;
            check_document(&body)?;
            Ok(OperatorCall::Apply(body))
        }
        (Method::Post, paths::DRAIN) => Ok(OperatorCall::Drain(read_json(request)?)),
        (Method::Post, paths::ORDERS) => Ok(OperatorCall::Order(read_json(request)?)),
        (Method::Post, ANNOUNCE) => Ok(OperatorCall::Announce(Box::new(read_json(request)?))),
        (Method::Post, LEAVE) => Ok(OperatorCall::Leave(read_json::<TargetIdentity>(request)?)),
        _ => Err(error(404, ErrorCode::NotFound, "no such path")),
    }
}

fn check_token(request: &Request, token: &str) -> Result<(), CallReply> {
    let expected = format!("Bearer {token}");
    let mut headers = request.headers().iter();
    let given = headers.find(|header| header.field.equiv("authorization"));
    let matches = given.is_some_and(|header| {
        let given = header.value.as_str().as_bytes();
        // Compared without leaving early, so that timing tells nothing about a prefix.
        let difference = given.iter().zip(expected.as_bytes()).fold(0, |sum, (a, b)| sum | (a ^ b));
        given.len() == expected.len() && difference == 0
    });
    match matches {
        true => Ok(()),
        false => Err(error(401, ErrorCode::Other, "the token is missing or wrong")),
    }
}

fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, CallReply> {
    let mut body = Vec::new();
    let mut bounded = request.as_reader().take(MAX_BODY_BYTES + 1);
    if bounded.read_to_end(&mut body).is_err() || body.len() as u64 > MAX_BODY_BYTES {
        return Err(error(413, ErrorCode::BadRequest, "the body broke off or is too large"));
    }
    serde_json::from_slice(&body)
        .map_err(|fault| error(400, ErrorCode::BadRequest, format!("reading the body: {fault}")))
}

/// Refuses a bad document before it is proposed, with every fault.
fn check_document(body: &ApplyRequest) -> Result<(), CallReply> {
    if body.operation_id.is_empty() {
        return Err(error(400, ErrorCode::BadRequest, "operation_id must not be empty"));
    }
    ConfigDocument::parse(&body.document).map(|_| ()).map_err(|faults| {
        let faults = faults.iter().map(FaultText::from).collect();
        CallReply::json(422, &FaultsReply { faults })
    })
}
