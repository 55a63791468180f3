//! Outcomes of requests and the reason codes of refusals and failures.

use serde::{Deserialize, Serialize};

/// What is known about a request when its caller gets the final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The whole answer arrived.
    Completed,
    /// The request was never dispatched and no attempt of it is pending.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// The request was dispatched and ended with an error.
    Failed,
}

/// Why a request was refused or failed. Codes are part of the public interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReasonCode {
    /// A header, the path or the body is malformed.
    BadRequest,
    /// The body or the head is larger than the limit.
    TooLarge,
    /// The credential is missing or does not belong to a workspace.
    Unauthorized,
    /// No rule of the document routes this request, or the workspace may not use the pool.
    NoRoute,
    /// A limit of the workspace is reached.
    WorkspaceLimit,
    /// The queue of the pool is too long for this tier.
    Overloaded,
    /// The deadline passed before a target was free.
    DeadlinePassed,
    /// No target of the pool is announced.
    NoTarget,
    /// No control leader is in reach.
    NoLeader,
    /// This entry is shutting down.
    Draining,
    /// The claim table is full.
    ClaimsFull,
    /// The request made targets crash and is quarantined.
    CrashesTargets,
    /// A running request was cancelled in favour of a higher tier.
    Preempted,
    /// The caller closed its connection.
    CallerGone,
    /// The target answered with an error.
    UpstreamError,
    /// The connection to the target broke after dispatch.
    UpstreamCut,
    /// The target gave no further data before the deadline.
    UpstreamTimeout,
    /// An earlier attempt was dispatched and its owner is gone.
    OwnerLost,
    /// Another attempt with the same request id has already ended.
    AlreadyEnded,
    /// No connection to any target could be established.
    Unreachable,
    /// The request id was used before with another content.
    IdReused,
    /// A fault inside the entry or the control instance.
    Internal,
}
