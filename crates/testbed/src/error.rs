//! Errors of the testbed.

use burdockcleat::entry::proxy::ProxyError;
use std::net::SocketAddr;
use thiserror::Error;

/// Errors of the fake targets and of load runs.
#[derive(Debug)]
#[derive(Error)]
pub enum TestbedError {
    /// The listen address is not a loopback address.
    #[error("{0} is not a loopback address")]
    NotLoopback(SocketAddr),
    /// The HTTP server could not bind its address.
    #[error("failed to bind {address}")]
    Bind {
        /// Requested address.
        address: SocketAddr,
        /// Error of the HTTP server.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The connection proxy in front of the server could not start.
    #[error(transparent)]
    Proxy(#[from] ProxyError),
    /// A thread could not be started.
    #[error("failed to start a thread")]
    Thread(#[source] std::io::Error),
    /// A flag is unknown, missing or out of range.
    #[error("flag {flag}: {problem}")]
    Flag {
        /// Name of the flag.
        flag: String,
        /// Description of the problem.
        problem: String,
    },
}
