//! Faults of a deployment.

use std::path::PathBuf;
use thiserror::Error;

/// A deployment that could not be started or controlled.
#[derive(Debug)]
#[derive(Error)]
pub enum DeploymentError {
    /// A temporary folder could not be created.
    #[error("creating a data folder")]
    Folder(#[source] std::io::Error),
    /// All networks that were tried are taken.
    #[error("reserving a loopback network")]
    Network(#[source] Option<std::io::Error>),
    /// A relay could not be started.
    #[error("starting a relay")]
    Relay(#[source] std::io::Error),
    /// A daemon could not be started. The daemons must be built before.
    #[error("starting {program}")]
    Start {
        /// Path of the daemon.
        program: PathBuf,
        /// What the system reported.
        #[source]
        source: std::io::Error,
    },
    /// A signal could not be sent.
    #[error("sending a signal to {name}")]
    Signal {
        /// Name of the process.
        name: String,
        /// What the system reported.
        #[source]
        source: std::io::Error,
    },
    /// A condition did not hold in time.
    #[error("waiting {timeout_ms} ms for {what}")]
    Timeout {
        /// What was waited for.
        what: String,
        /// How long.
        timeout_ms: u64,
    },
    /// A call to a process failed.
    #[error("calling {url}")]
    Call {
        /// URL of the call.
        url: String,
        /// What the client reported.
        #[source]
        source: Box<ureq::Error>,
    },
}
