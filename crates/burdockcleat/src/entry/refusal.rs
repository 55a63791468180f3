//! Error responses for callers.

use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use serde::Serialize;

/// Error response to a request that did not complete.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct CallerError {
    /// Whether the request ran, as far as known.
    pub outcome: RequestOutcome,
    /// Reason code.
    pub reason: ReasonCode,
    /// Human-readable explanation.
    pub message: String,
    /// Request id, from the caller or generated.
    pub request_id: String,
    /// Retry hint, in milliseconds.
    pub retry_after_ms: Option<u32>,
}

/// Refusal by a filter, to which the request id is still to be added.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FilterRefusal {
    /// Whether the request ran, as far as known. `None` if the filter did not look up the request
    /// id. The outcome then depends on who chose the id, see [`Self::into_error`].
    pub outcome: Option<RequestOutcome>,
    /// Reason code.
    pub reason: ReasonCode,
    /// Human-readable explanation.
    pub message: String,
    /// Retry hint, in milliseconds.
    pub retry_after_ms: Option<u32>,
}

impl FilterRefusal {
    /// Creates a refusal by a filter that did not look up the request id.
    pub fn without_outcome(reason: ReasonCode, message: impl Into<String>) -> Self {
        Self { outcome: None, reason, message: message.into(), retry_after_ms: None }
    }

    /// Creates a refusal with a known outcome.
    pub fn with_outcome(
        outcome: RequestOutcome,
        reason: ReasonCode,
        message: impl Into<String>,
        retry_after_ms: Option<u32>,
    ) -> Self {
        Self { outcome: Some(outcome), reason, message: message.into(), retry_after_ms }
    }

    /// Sets the retry hint, in milliseconds.
    #[must_use]
    pub fn retry_after(mut self, ms: u32) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Adds the request id.
    ///
    /// A refusal without an outcome becomes `not_run` only if this entry generated the id. If the
    /// caller chose it, an earlier attempt with the same id may have run through another entry.
    pub fn into_error(self, request_id: &str, generated: bool) -> CallerError {
        let default = if generated { RequestOutcome::NotRun } else { RequestOutcome::Unknown };
        CallerError {
            outcome: self.outcome.unwrap_or(default),
            reason: self.reason,
            message: self.message,
            request_id: request_id.to_owned(),
            retry_after_ms: self.retry_after_ms,
        }
    }
}

impl CallerError {
    /// Returns the HTTP status for an error that occurs before the head of the response is sent.
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

    /// Returns the body of the error response.
    pub fn to_json(&self) -> String {
        serde_json::json!({ "error": self }).to_string()
    }
}
