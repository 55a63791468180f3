//! Errors of subcommands and their exit status.

use crate::operator::{ClientError, FaultText};
use serde_json::{Value, json};
use std::io;
use thiserror::Error;

/// Exit status of the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Refused by validation or by a conflict.
    Refused = 1,
    /// Wrong usage, or a file that cannot be read.
    Usage = 2,
    /// No leading control instance in reach; nothing has taken effect.
    Unreachable = 3,
    /// The reply was lost.
    OutcomeUnknown = 4,
    /// The time of `--wait` passed.
    WaitTimeout = 5,
}

/// Why a subcommand failed.
#[derive(Debug)]
#[derive(Error)]
pub enum CommandError {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("reading {path}")]
    File {
        /// Path of the file.
        path: String,
        /// What the system reported.
        #[source]
        source: io::Error,
    },
    /// Standard output cannot be written.
    #[error("writing the output")]
    Output(#[from] io::Error),
    /// A document has faults.
    #[error("{source_name}: {} faults{}", faults.len(), list_faults(faults))]
    Faults {
        /// File or URL of the document.
        source_name: String,
        /// Every fault.
        faults: Vec<FaultText>,
    },
    /// The control instances refused the request or were not in reach.
    #[error("{}{}", .0, advice(.0))]
    Client(#[from] ClientError),
    /// The target reported that it did not carry out the order.
    #[error("the order failed: {0}")]
    OrderFailed(String),
    /// The time of `--wait` passed.
    #[error("gave up waiting after {seconds} s: {state}")]
    WaitTimeout {
        /// Time waited.
        seconds: u64,
        /// What was reached.
        state: String,
    },
}

impl From<lexopt::Error> for CommandError {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(format!("{error}; see burdockcleat --help"))
    }
}

impl CommandError {
    /// Exit status that tells scripts what happened.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) | Self::File { .. } | Self::Output(_) => ExitStatus::Usage,
            Self::Faults { .. } | Self::OrderFailed(_) => ExitStatus::Refused,
            Self::WaitTimeout { .. } => ExitStatus::WaitTimeout,
            Self::Client(error) => match error {
                ClientError::NoUrl | ClientError::BadUrl(_) => ExitStatus::Usage,
                ClientError::Unreachable(_) | ClientError::BadReply(_) => ExitStatus::Unreachable,
                ClientError::OutcomeUnknown { .. } => ExitStatus::OutcomeUnknown,
                ClientError::Conflict { .. }
                | ClientError::OperationReused
                | ClientError::Faults(_)
                | ClientError::Refused { .. } => ExitStatus::Refused,
            },
        }
    }

    /// Whether the reader of the output went away, which is no error of the command.
    pub fn is_broken_pipe(&self) -> bool {
        matches!(self, Self::Output(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }

    /// The error for `--json`.
    pub(super) fn to_json(&self) -> Value {
        let message = self.to_string();
        match self {
            Self::Faults { faults, .. } | Self::Client(ClientError::Faults(faults)) => {
                json!({"error": "faults", "faults": faults})
            }
            Self::Client(ClientError::Conflict { current_version }) => {
                json!({"error": "conflict", "current_version": current_version})
            }
            Self::Client(ClientError::OutcomeUnknown { operation_id, .. }) => {
                json!({"error": "unknown", "operation_id": operation_id, "message": message})
            }
            Self::Client(ClientError::Unreachable(_)) => {
                json!({"error": "unreachable", "message": message})
            }
            Self::WaitTimeout { .. } => json!({"error": "wait_timeout", "message": message}),
            _ => json!({"error": "failed", "message": message}),
        }
    }
}

fn list_faults(faults: &[FaultText]) -> String {
    faults
        .iter()
        .map(|fault| match fault.path.as_str() {
            "" => format!("\n  {}", fault.message),
            path => format!("\n  {path}: {}", fault.message),
        })
        .collect()
}

/// What the operator can do about the error.
fn advice(error: &ClientError) -> String {
    match error {
        ClientError::Conflict { current_version } => format!(
            "\nCompare with `burdockcleat diff FILE --control URL`, bring in the other edit, \
             and apply with --base {current_version}."
        ),
        ClientError::Faults(faults) => list_faults(faults),
        _ => String::new(),
    }
}
