//! Inputs and outputs of the scheduler of one pool.

use super::PoolSettings;
use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, NodeId, RequestFingerprint, RequestKey, TargetIdentity};
use crate::message::{FinishReport, HeldClaim, StreamProgress, SubmitRequest};
use crate::outcome::{ReasonCode, RequestOutcome};
use crate::registry::{SuspectChange, TargetChangeKind, TargetKey};

/// An open claim of the replicated log, re-entered by a new leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenClaim {
    /// Key of the request.
    pub key: RequestKey,
    /// Number of the claim.
    pub claim: ClaimNumber,
    /// Entry that owns the claim.
    pub entry: NodeId,
    /// Target that the claim names.
    pub target: TargetIdentity,
    /// Workspace of the request.
    pub workspace: String,
    /// Content fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Rank of the tier.
    pub tier: u8,
    /// Whether the request may be cancelled.
    pub idempotent: bool,
    /// Deadline on the clock of the scheduler.
    pub deadline: ClockTime,
}

/// An event for the scheduler.
#[derive(Clone, Debug)]
pub enum PoolInput {
    /// An entry asks for a target. A second submit of a waiting request from the same entry
    /// replaces the attempt number; any other submit of a known request is ignored, since the
    /// caller answers duplicates from the claims.
    Submit {
        /// Entry that asks.
        entry: NodeId,
        /// The request.
        request: SubmitRequest,
    },
    /// The caller of a waiting request is gone. A placed request is not affected. The sender of this
    /// input has to drop withdrawals of an older attempt.
    Withdraw {
        /// Key of the request.
        key: RequestKey,
    },
    /// The claim of a placed request is committed.
    ClaimCommitted {
        /// Key of the request.
        key: RequestKey,
        /// Number of the claim.
        claim: ClaimNumber,
    },
    /// The claim of a placed request was not accepted. The request is dropped without an output.
    ClaimRefused {
        /// Key of the request.
        key: RequestKey,
    },
    /// Whether the claim table has reached its limit.
    ClaimTable {
        /// Whether it is full.
        full: bool,
    },
    /// The owner did not dispatch the request. A claim that was re-entered after a change of leader
    /// is refused with attempt 0, since only its claim is known.
    Release {
        /// Key of the request.
        key: RequestKey,
        /// Number of the claim.
        claim: ClaimNumber,
        /// Whether the entry still wants to run the request.
        retry: bool,
    },
    /// Progress of running requests.
    Progress(Vec<StreamProgress>),
    /// A dispatched request ended.
    Finish(FinishReport),
    /// A cancelled request no longer runs at its target.
    CancelDone {
        /// Key of the request.
        key: RequestKey,
        /// Number of the claim.
        claim: ClaimNumber,
    },
    /// A target of this pool changed.
    Target {
        /// Incarnation that changed.
        target: TargetKey,
        /// What changed.
        change: TargetChangeKind,
    },
    /// The link to an entry is gone. Its waiting requests are dropped without an output.
    EntryLost {
        /// The entry.
        entry: NodeId,
    },
    /// An entry reported what it runs, in its first message after a change of leader or a
    /// reconnection.
    EntryReported {
        /// The entry.
        entry: NodeId,
        /// Claims that the entry runs.
        running: Vec<HeldClaim>,
    },
    /// This instance became leader. Open claims count as running from here on.
    Rebuild {
        /// Open claims of the pool.
        claims: Vec<OpenClaim>,
        /// Entries known from sessions, besides the owners of the claims.
        entries: Vec<NodeId>,
    },
    /// Marks from the replicated log.
    RestoreSuspects(Vec<SuspectChange>),
    /// New settings of the pool. Targets that are known already keep the size of their prefix
    /// prediction.
    Settings(Box<PoolSettings>),
    /// Time passed. To be sent at least every 100 ms.
    Tick,
}

/// What the caller of the scheduler has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolOutput {
    /// Commit a claim for this target, report it with `ClaimCommitted` and send the grant. The
    /// request occupies its slot from now on.
    Place {
        /// Key of the request.
        key: RequestKey,
        /// Attempt that receives the grant.
        attempt: u32,
        /// Entry that receives the grant.
        entry: NodeId,
        /// Target to run at.
        target: TargetKey,
        /// Whether the dispatch exceeds the target's concurrency limit.
        above_limit: bool,
    },
    /// Tell the entry to cancel a running request. Answered by `CancelDone` or `Finish`.
    Cancel {
        /// Key of the request.
        key: RequestKey,
        /// Number of the claim.
        claim: ClaimNumber,
        /// Entry that owns the claim.
        entry: NodeId,
        /// Why.
        reason: ReasonCode,
        /// Time after which a resend has a chance, in milliseconds.
        retry_after_ms: u32,
    },
    /// The request was removed and will not run.
    Refuse {
        /// Key of the request.
        key: RequestKey,
        /// Attempt that is refused.
        attempt: u32,
        /// Entry that asked.
        entry: NodeId,
        /// Rank of the tier.
        tier: u8,
        /// Outcome for the caller.
        outcome: RequestOutcome,
        /// Why.
        reason: ReasonCode,
        /// Time after which a resend has a chance, in milliseconds.
        retry_after_ms: u32,
    },
    /// Write a change of the suspicion marks to the replicated log.
    Suspect(SuspectChange),
}
