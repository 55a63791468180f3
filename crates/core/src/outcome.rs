//! Outcomes of requests and the reason codes of refusals and failures.

use serde::{Deserialize, Serialize};

/// Outcome of a request, as far as it is known when its caller gets the final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The complete answer arrived.
    Completed,
    /// No attempt of the request was dispatched, and none is pending.
    NotRun,
    /// It is not known whether the request ran.
    Unknown,
    /// The request was dispatched and ended with an error.
    Failed,
}

/// Reason why a request was refused or failed. The codes are part of the public API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReasonCode {
    /// A header, the path or the body is malformed.
    BadRequest,
    /// The body or the head of the request is larger than the limit.
    TooLarge,
    /// The credential is missing or does not belong to a workspace.
    Unauthorized,
    /// No routing rule matches the request, the workspace may not use the pool or tier, or the pool
    /// does not serve the model.
    NoRoute,
    /// A limit of the workspace is reached.
    WorkspaceLimit,
    /// The queue of the pool is too long for this tier.
    Overloaded,
    /// The deadline passed before a target was free.
    DeadlinePassed,
    /// No target of the pool is announced.
    NoTarget,
    /// No leading control instance is reachable.
    NoLeader,
    /// This entry is shutting down.
    Draining,
    /// The claim table is full.
    ClaimsFull,
    /// The request is quarantined because targets crashed while they ran it.
    CrashesTargets,
    /// The running request was cancelled in favour of a request of a higher tier.
    Preempted,
    /// The caller closed its connection.
    CallerGone,
    /// The target answered with an error.
    UpstreamError,
    /// The connection to the target broke after dispatch.
    UpstreamCut,
    /// The target gave no further data before the deadline.
    UpstreamTimeout,
    /// An earlier attempt was dispatched, and the entry process that owned it has ended.
    OwnerLost,
    /// Another attempt with the same request id has already ended.
    AlreadyEnded,
    /// No connection to any target could be established.
    Unreachable,
    /// The request id was used before for a request with different content.
    IdReused,
    /// An internal error of the entry or the control instance.
    Internal,
}
