//! Answers to requests that were not read completely.

use super::{Refusal, refuse};
use crate::client_stream::UnreadMark;
use crate::node::NodeState;
use crate::reply::{ReplyBody, text_reply};
use crate::request::RequestError;
use burdockcleat_core::clock::ClockTime;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Response, StatusCode};

/// Retry-after time while the memory for bodies is in use, in ms. The largest body arrives within
/// 0.4 s at 100 Mbit/s.
const NO_MEMORY_RETRY_MS: u64 = 400;

/// Answers a request that was not read completely. The rest of its body is discarded and the connection
/// is closed.
pub(super) fn reject_unread(
    node: &NodeState,
    error: &RequestError,
    received: ClockTime,
    unread: &UnreadMark,
) -> Response<ReplyBody> {
    let mut response = match error {
        RequestError::NoMemory(attempt) => {
            let reason = "the memory for bodies is in use";
            let refusal = Refusal::NotRun { reason, retry_after_ms: Some(NO_MEMORY_RETRY_MS) };
            refuse(node, attempt, None, received, &refusal)
        }
        _ => reject_unreadable(node, error),
    };
    let body_left = matches!(
        error,
        RequestError::NoMemory(_) | RequestError::TooLong(_) | RequestError::BodyTimeout
    );
    if body_left {
        close_unread(unread, &mut response);
    }
    response
}

/// Makes the connection discard the rest of a body and close after the response.
pub(crate) fn close_unread(unread: &UnreadMark, response: &mut Response<ReplyBody>) {
    unread.set();
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

fn reject_unreadable(node: &NodeState, error: &RequestError) -> Response<ReplyBody> {
    let status = match error {
        RequestError::MissingHost | RequestError::MissingAttemptId | RequestError::BodyRead(_) => {
            StatusCode::BAD_REQUEST
        }
        RequestError::TooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
        RequestError::NoMemory(_) => StatusCode::SERVICE_UNAVAILABLE,
        RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
    };
    let status_text = status.as_u16();
    log::info!(target: "burdockcleat", "event=request.rejected status={status_text} reason=\"{error}\"");
    node.metrics.borrow_mut().count("requests_refused", "unreadable", 1);
    text_reply(status, error.to_string())
}
