//! Errors of the testbed.

use burdockcleat::entry::proxy::ProxyError;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a fake target or a load run could not start or continue.
#[derive(Debug)]
#[derive(Error)]
pub enum TestbedError {
    /// The listen address is not a loopback address.
    #[error("{0} is not a loopback address")]
    NotLoopback(SocketAddr),
    /// The HTTP server could not bind its address.
    #[error("binding {address}")]
    Bind {
        /// Address that was asked for.
        address: SocketAddr,
        /// What the server reported.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The connection proxy in front of the server could not start.
    #[error(transparent)]
    Proxy(#[from] ProxyError),
    /// A thread could not be started.
    #[error("starting a thread")]
    Thread(#[source] std::io::Error),
    /// A flag is unknown, missing or out of range.
    #[error("flag {flag}: {problem}")]
    Flag {
        /// Name of the flag.
        flag: String,
        /// What is wrong with it.
        problem: String,
    },
}
