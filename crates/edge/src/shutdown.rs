//! Steps of an orderly end: withdraw readiness, wait for the load balancer, finish requests, exit.

use burdockcleat_core::clock::ClockTime;

/// Time between the withdrawal of readiness and the end of idle connections, in ms: the load
/// balancer needs two readiness checks, a second apart, to stop sending new connections.
const WITHDRAW_MS: u64 = 2_600;
/// Time kept free before the process is killed, in ms.
const MARGIN_MS: u64 = 600;

/// Where the shutdown of a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShutdownStage {
    /// Serving.
    Running,
    /// Not ready any more; new connections are still served.
    Withdrawn,
    /// Connections end after their request.
    Closing,
}

/// When a shutdown moves on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShutdownPlan {
    pub(crate) close_at: ClockTime,
    pub(crate) exit_at: ClockTime,
}

impl ShutdownPlan {
    /// Plans a shutdown that was asked for at `now`.
    pub(crate) fn new(now: ClockTime, grace_ms: u64) -> Self {
        let exit_at = now.plus(grace_ms.saturating_sub(MARGIN_MS));
        Self { close_at: now.plus(WITHDRAW_MS).min(exit_at), exit_at }
    }
}
