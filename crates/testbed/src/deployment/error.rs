//! Errors of a deployment.

use std::path::PathBuf;
use thiserror::Error;

/// Errors of starting and controlling a deployment.
#[derive(Debug)]
#[derive(Error)]
pub enum DeploymentError {
    /// A temporary folder, a data folder or a log file could not be created, opened or removed.
    #[error("failed to prepare or remove a folder of the deployment")]
    Folder(#[source] std::io::Error),
    /// All networks that were tried are reserved by others.
    #[error("failed to reserve a loopback network")]
    Network(#[source] Option<std::io::Error>),
    /// A relay could not be started.
    #[error("failed to start a relay")]
    Relay(#[source] std::io::Error),
    /// A program could not be started. The daemons must be built beforehand.
    #[error("failed to start {program}")]
    Start {
        /// Path of the program.
        program: PathBuf,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// A signal could not be sent.
    #[error("failed to send a signal to {name}")]
    Signal {
        /// Name of the process.
        name: String,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// A condition did not hold in time.
    #[error("timed out after {timeout_ms} ms waiting for {what}")]
    Timeout {
        /// Description of the condition.
        what: String,
        /// Timeout in milliseconds.
        timeout_ms: u64,
    },
    /// An HTTP request to a process failed.
    #[error("failed to call {url}")]
    Call {
        /// URL of the request.
        url: String,
        /// Error of the HTTP client.
        #[source]
        source: Box<ureq::Error>,
    },
}
