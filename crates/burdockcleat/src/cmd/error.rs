//! Errors of subcommands and their exit status.

use crate::operator::{ClientError, FaultText};
use serde_json::{Value, json};
use std::io;
use thiserror::Error;

/// Exit status of a failed command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The request was refused, for example by validation or because of a conflict.
    Refused = 1,
    /// The usage is wrong, or a file cannot be read.
    Usage = 2,
    /// No leading control instance can be reached; nothing has taken effect.
    Unreachable = 3,
    /// The reply was lost; the request may have taken effect.
    OutcomeUnknown = 4,
    /// The time limit of `--wait` passed; the request itself has taken effect.
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
        /// Error of the operating system.
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
    /// The control instances refused the request or could not be reached.
    #[error("{}{}", .0, advice(.0))]
    Client(#[from] ClientError),
    /// The target reported that it did not carry out the order.
    #[error("the order failed: {0}")]
    OrderFailed(String),
    /// The time limit of `--wait` passed.
    #[error("gave up waiting after {seconds} s: {state}")]
    WaitTimeout {
        /// Time limit of `--wait`, in seconds.
        seconds: u64,
        /// Last state that was observed.
        state: String,
    },
}

impl From<lexopt::Error> for CommandError {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(format!("{error}; see burdockcleat --help"))
    }
}

impl CommandError {
    /// Returns the exit status for this error, which scripts can test.
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

    /// Whether the reader of standard output closed the pipe, which is not a failure of the
    /// command.
    pub fn is_broken_pipe(&self) -> bool {
        matches!(self, Self::Output(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }

    /// Returns the error in the form that `--json` prints.
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

/// Formats each fault on a line of its own, after its path if it has one.
fn list_faults(faults: &[FaultText]) -> String {
    faults
        .iter()
        .map(|fault| match fault.path.as_str() {
            "" => format!("\n  {}", fault.message),
            path => format!("\n  {path}: {}", fault.message),
        })
        .collect()
}

/// Returns text to append to the message: how to resolve a conflict, or the list of faults.
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
