//! The connection of one caller.

use std::fmt;
use std::sync::Arc;

/// What the connection gate offers for one connection.
#[derive(Clone)]
pub struct CallerConnection {
    gone: Arc<dyn Fn() -> bool + Send + Sync>,
    truncate: Arc<dyn Fn() + Send + Sync>,
}

impl CallerConnection {
    /// Builds a connection from what its owner can tell and do.
    pub fn new(
        gone: impl Fn() -> bool + Send + Sync + 'static,
        truncate: impl Fn() + Send + Sync + 'static,
    ) -> Self {
        Self { gone: Arc::new(gone), truncate: Arc::new(truncate) }
    }

    /// Whether the caller closed its connection.
    pub fn is_gone(&self) -> bool {
        (self.gone)()
    }

    /// Closes the connection without the final chunk, so that the answer looks incomplete.
    pub fn truncate(&self) {
        (self.truncate)();
    }
}

impl fmt::Debug for CallerConnection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CallerConnection")
    }
}
