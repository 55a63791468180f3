//! Graceful shutdown: withdraw readiness, wait for the load balancer, finish requests, answer the
//! rest, exit.

use burdockcleat_core::clock::ClockTime;

/// Longest time between the withdrawal of readiness and the closing of idle connections, in ms. The
/// load balancer needs two readiness checks, 1 s apart, to stop sending new connections.
const READINESS_WITHDRAWAL_MS: u64 = 2_600;
/// Divisor of the grace period that gives the longest such time if the period is short.
const WITHDRAWAL_DIVISOR: u64 = 2;
/// Longest time between the planned exit and the end of the grace period, in ms.
const EXIT_MARGIN_MS: u64 = 600;
/// Divisor of the grace period that gives the longest such time if the period is short. Together
/// with the time for the last answers it leaves requests at least five sixths of the period.
const EXIT_MARGIN_DIVISOR: u64 = 8;
/// Longest time for writing the last answers before the exit, in ms.
const LAST_ANSWERS_MS: u64 = 200;
/// Divisor of the grace period that gives the longest such time if the period is short.
const LAST_ANSWERS_DIVISOR: u64 = 32;

/// Stage of a node's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// The node serves requests and is not shutting down.
    Running,
    /// The node reports that it is not ready, but still serves new connections.
    Withdrawn,
    /// Connections are closed after their current request.
    Closing,
    /// Requests without an answer get one from the node.
    Answering,
}

/// Times of the stages of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownPlan {
    /// Time from which connections are closed after their current request.
    pub close_at: ClockTime,
    /// Time from which the node answers all requests itself.
    pub answer_at: ClockTime,
    /// Time of the exit if connections are still open.
    pub exit_at: ClockTime,
}

impl ShutdownPlan {
    /// Plans a shutdown that starts at `now`.
    pub fn new(now: ClockTime, grace_ms: u64) -> Self {
        let exit_ms = grace_ms - EXIT_MARGIN_MS.min(grace_ms / EXIT_MARGIN_DIVISOR);
        let answer_ms = exit_ms - LAST_ANSWERS_MS.min(grace_ms / LAST_ANSWERS_DIVISOR);
        let close_ms = READINESS_WITHDRAWAL_MS.min(grace_ms / WITHDRAWAL_DIVISOR);
        Self {
            close_at: now.plus(close_ms),
            answer_at: now.plus(answer_ms),
            exit_at: now.plus(exit_ms),
        }
    }
}
