//! Handle to a caller's connection in the connection proxy.

use super::proxy::ConnectionProxy;
use std::sync::Arc;
use std::time::Instant;

/// A caller's connection, identified by its port in the connection proxy.
#[derive(Clone)]
pub struct CallerConnection {
    proxy: Arc<ConnectionProxy>,
    port: u16,
}

impl CallerConnection {
    /// Refers to the connection by the remote port that `tiny_http` reports.
    pub fn new(proxy: Arc<ConnectionProxy>, port: u16) -> Self {
        Self { proxy, port }
    }

    /// Marks the request as completely read. Returns false if the request must not be used.
    pub fn mark_received(&self) -> bool {
        self.proxy.mark_received(self.port)
    }

    /// Returns when the first byte of the request arrived.
    pub fn request_started(&self) -> Option<Instant> {
        self.proxy.request_started(self.port)
    }

    /// Marks the response as sent.
    pub fn mark_finished(&self) {
        self.proxy.mark_finished(self.port);
    }

    /// Returns whether the caller has disconnected.
    pub fn is_gone(&self) -> bool {
        self.proxy.caller_gone(self.port)
    }

    /// Resets the connection before the final chunk, so that the response is visibly incomplete.
    pub fn truncate(&self) {
        self.proxy.reset(self.port);
    }
}
