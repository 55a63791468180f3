//! The connection of one caller, as the proxy sees it.

use super::proxy::ConnectionProxy;
use std::sync::Arc;
use std::time::Instant;

/// One connection of the proxy.
#[derive(Clone)]
pub struct CallerConnection {
    proxy: Arc<ConnectionProxy>,
    port: u16,
}

impl CallerConnection {
    /// Names the connection by the port that the inner server shows.
    pub fn new(proxy: Arc<ConnectionProxy>, port: u16) -> Self {
        Self { proxy, port }
    }

    /// Notes that the whole request was read. False means that it must not be used.
    pub fn mark_received(&self) -> bool {
        self.proxy.mark_received(self.port)
    }

    /// When the first byte of the request arrived.
    pub fn request_started(&self) -> Option<Instant> {
        self.proxy.request_started(self.port)
    }

    /// Notes that the answer was sent.
    pub fn mark_finished(&self) {
        self.proxy.mark_finished(self.port);
    }

    /// Whether the caller closed its connection.
    pub fn is_gone(&self) -> bool {
        self.proxy.caller_gone(self.port)
    }

    /// Closes the connection without the final chunk, so that the answer looks incomplete.
    pub fn truncate(&self) {
        self.proxy.reset(self.port);
    }
}
