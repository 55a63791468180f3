//! Errors of the operator API client.

use super::{ConflictReply, ErrorCode, ErrorReply, FaultText, FaultsReply};
use thiserror::Error;

/// Why a request to the control instances did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum ClientError {
    /// No control URL is known.
    #[error("no control URL; use --control or BURDOCKCLEAT_CONTROL")]
    NoUrl,
    /// A control URL does not have the form `http://host:port`.
    #[error("{0:?} is not a control URL of the form http://host:port")]
    BadUrl(String),
    /// No instance could be reached, or none is the leader. The request has not taken effect.
    #[error("no leading control instance is in reach ({0})")]
    Unreachable(String),
    /// The request may have been sent and may have taken effect.
    #[error(
        "the outcome is unknown ({detail}); resend the same request with --operation-id {operation_id}"
    )]
    OutcomeUnknown {
        /// Operation id to resend the request with.
        operation_id: String,
        /// Description of the last failure.
        detail: String,
    },
    /// The base version is no longer in force.
    #[error("conflict: version {current_version} is in force")]
    Conflict {
        /// Version in force.
        current_version: u64,
    },
    /// The operation id was used before with another request.
    #[error("the operation id was used before with another request")]
    OperationReused,
    /// The document has faults.
    #[error("the document has {} faults", .0.len())]
    Faults(Vec<FaultText>),
    /// The instance refused the request.
    #[error("refused with status {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Explanation that the instance gave.
        message: String,
    },
    /// The reply is not in the documented format.
    #[error("the reply of {0} cannot be read")]
    BadReply(String),
}

impl ClientError {
    /// Converts a reply whose status is not 200 into an error.
    pub(super) fn from_reply(path: &str, status: u16, body: &str) -> Self {
        let read = match status {
            409 => serde_json::from_str::<ConflictReply>(body)
                .ok()
                .map(|conflict| Self::Conflict { current_version: conflict.current_version }),
            422 => serde_json::from_str::<FaultsReply>(body)
                .ok()
                .map(|reply| Self::Faults(reply.faults)),
            _ => None,
        };
        if let Some(error) = read {
            return error;
        }
        match serde_json::from_str::<ErrorReply>(body) {
            Ok(reply) if reply.error == ErrorCode::OperationReused => Self::OperationReused,
            Ok(reply) => {
                let message = match reply.message.as_str() {
                    "" => format!("{:?}", reply.error),
                    text => text.to_owned(),
                };
                Self::Refused { status, message }
            }
            Err(_) => Self::Refused { status, message: format!("no explanation for {path}") },
        }
    }
}
