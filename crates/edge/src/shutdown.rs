//! Graceful shutdown: withdraw readiness, wait for the load balancer, finish requests, exit.

use burdockcleat_core::clock::ClockTime;

/// Time between the withdrawal of readiness and the closing of idle connections, in ms. The load
/// balancer needs two readiness checks, 1 s apart, to stop sending new connections.
const READINESS_WITHDRAWAL_MS: u64 = 2_600;
/// Time between the planned exit and the end of the grace period, in ms.
const EXIT_MARGIN_MS: u64 = 600;

/// Stage of a node's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShutdownStage {
    /// The node serves requests and is not shutting down.
    Running,
    /// The node reports that it is not ready, but still serves new connections.
    Withdrawn,
    /// Connections are closed after their current request.
    Closing,
}

/// Times of the stages of a shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShutdownPlan {
    pub(crate) close_at: ClockTime,
    pub(crate) exit_at: ClockTime,
}

impl ShutdownPlan {
    /// Plans a shutdown that starts at `now`.
    pub(crate) fn new(now: ClockTime, grace_ms: u64) -> Self {
        let exit_at = now.plus(grace_ms.saturating_sub(EXIT_MARGIN_MS));
        Self { close_at: now.plus(READINESS_WITHDRAWAL_MS).min(exit_at), exit_at }
    }
}
