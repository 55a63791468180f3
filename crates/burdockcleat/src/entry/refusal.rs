//! Refusals and failures as the caller sees them.

use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use serde::Serialize;

/// Final answer to a request that did not complete.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct CallerError {
    /// What is known about the request.
    pub outcome: RequestOutcome,
    /// Why.
    pub reason: ReasonCode,
    /// Explanation for a person.
    pub message: String,
    /// Request id of the caller, or the generated one.
    pub request_id: String,
    /// When a resend has a chance, in milliseconds.
    pub retry_after_ms: Option<u32>,
}

/// A refusal before the caller's request id is attached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FilterRefusal {
    /// What is known about the request. `None` where the filter did not look the id up; then the
    /// outcome depends on who chose the id.
    pub outcome: Option<RequestOutcome>,
    /// Why.
    pub reason: ReasonCode,
    /// Explanation for a person.
    pub message: String,
    /// When a resend has a chance, in milliseconds.
    pub retry_after_ms: Option<u32>,
}

impl FilterRefusal {
    /// A refusal by a filter that did not look the request id up.
    pub fn early(reason: ReasonCode, message: impl Into<String>) -> Self {
        Self { outcome: None, reason, message: message.into(), retry_after_ms: None }
    }

    /// A refusal whose outcome is known.
    pub fn known(
        outcome: RequestOutcome,
        reason: ReasonCode,
        message: impl Into<String>,
        retry_after_ms: Option<u32>,
    ) -> Self {
        Self { outcome: Some(outcome), reason, message: message.into(), retry_after_ms }
    }

    /// Adds the time after which a resend has a chance.
    #[must_use]
    pub fn retry_after(mut self, ms: u32) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Attaches the request id.
    ///
    /// An early refusal is `not_run` only if this entry generated the id: an earlier attempt
    /// with an id of the caller may have run elsewhere.
    pub fn into_error(self, request_id: &str, generated: bool) -> CallerError {
        let early = if generated { RequestOutcome::NotRun } else { RequestOutcome::Unknown };
        CallerError {
            outcome: self.outcome.unwrap_or(early),
            reason: self.reason,
            message: self.message,
            request_id: request_id.to_owned(),
            retry_after_ms: self.retry_after_ms,
        }
    }
}

impl CallerError {
    /// HTTP status of an error that precedes the head of an answer.
    pub fn status(&self) -> u16 {
        match self.reason {
            ReasonCode::BadRequest => 400,
            ReasonCode::Unauthorized => 401,
            ReasonCode::NoRoute => 404,
            ReasonCode::TooLarge => 413,
            ReasonCode::IdReused | ReasonCode::AlreadyEnded | ReasonCode::OwnerLost => 409,
            ReasonCode::WorkspaceLimit => 429,
            ReasonCode::DeadlinePassed | ReasonCode::UpstreamTimeout => 504,
            ReasonCode::UpstreamError | ReasonCode::UpstreamCut => 502,
            ReasonCode::CallerGone => 499,
            ReasonCode::CrashesTargets => 422,
            ReasonCode::Internal => 500,
            ReasonCode::Overloaded
            | ReasonCode::NoTarget
            | ReasonCode::NoLeader
            | ReasonCode::Draining
            | ReasonCode::ClaimsFull
            | ReasonCode::Preempted
            | ReasonCode::Unreachable => 503,
        }
    }

    /// Body of the error answer.
    pub fn to_json(&self) -> String {
        serde_json::json!({ "error": self }).to_string()
    }
}
