//! Inputs and outputs of the scheduler of one pool.

use super::PoolSettings;
use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, NodeId, RequestFingerprint, RequestKey, TargetIdentity};
use crate::message::{FinishReport, HeldClaim, StreamProgress, SubmitRequest};
use crate::outcome::{ReasonCode, RequestOutcome};
use crate::registry::{SuspectChange, TargetChangeKind, TargetKey};

/// Open claim from the replicated log, from which a new leader restores a running request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenClaim {
    /// Key of the request.
    pub key: RequestKey,
    /// Number of the claim.
    pub claim: ClaimNumber,
    /// Entry that owns the claim.
    pub entry: NodeId,
    /// Target named in the claim.
    pub target: TargetIdentity,
    /// Workspace of the request.
    pub workspace: String,
    /// Content fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Rank of the tier.
    pub tier: u8,
    /// Whether the request may be cancelled.
    pub idempotent: bool,
    /// Deadline on the scheduler's clock.
    pub deadline: ClockTime,
}

/// Input of the scheduler.
#[derive(Clone, Debug)]
pub enum PoolInput {
    /// An entry requests a target. A repeated submit of a waiting request by the same entry
    /// replaces the attempt number. Any other submit of a known request is ignored, because the
    /// caller answers duplicates from the claims.
    Submit {
        /// Entry that submits the request.
        entry: NodeId,
        /// The request.
        request: SubmitRequest,
    },
    /// The caller of a waiting request has gone away. A placed request is not affected. The sender
    /// of this input must drop withdrawals of older attempts.
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
    /// The claim of a placed request was rejected. The request is removed without an output.
    ClaimRefused {
        /// Key of the request.
        key: RequestKey,
    },
    /// The claim table has reached its limit or fallen below it.
    ClaimTable {
        /// Whether the table is full.
        full: bool,
    },
    /// The owner did not dispatch the request. A request restored after a change of leader is
    /// refused with attempt 0, because only its claim is known.
    Release {
        /// Key of the request.
        key: RequestKey,
        /// Number of the claim.
        claim: ClaimNumber,
        /// Whether the entry wants the request to be placed again.
        retry: bool,
    },
    /// Progress reports of running requests.
    Progress(Vec<StreamProgress>),
    /// A dispatched request ended.
    Finish(FinishReport),
    /// The cancel of a request is confirmed: it no longer runs at its target.
    CancelDone {
        /// Key of the request.
        key: RequestKey,
        /// Number of the claim.
        claim: ClaimNumber,
    },
    /// A target of this pool changed.
    Target {
        /// Key of the target incarnation.
        target: TargetKey,
        /// Kind of the change.
        change: TargetChangeKind,
    },
    /// The connection to an entry is lost. Its waiting requests are removed without an output.
    EntryLost {
        /// The entry.
        entry: NodeId,
    },
    /// An entry reported its running requests, in its first message after a change of leader or a
    /// reconnection.
    EntryReported {
        /// The entry.
        entry: NodeId,
        /// Claims of the requests that the entry runs.
        running: Vec<HeldClaim>,
    },
    /// This instance became leader. Requests with open claims count as running from now on.
    Rebuild {
        /// Open claims of the pool.
        claims: Vec<OpenClaim>,
        /// Entries with sessions, in addition to the owners of the claims.
        entries: Vec<NodeId>,
    },
    /// Suspicion marks from the replicated log.
    RestoreSuspects(Vec<SuspectChange>),
    /// New settings of the pool. Existing targets keep the size of their prefix prediction.
    Settings(Box<PoolSettings>),
    /// Time has passed. Must be sent at least every 100 ms.
    Tick,
}

/// Action for the caller of the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolOutput {
    /// Commit a claim for this target, report it with [`PoolInput::ClaimCommitted`] and send the
    /// grant. The request occupies a slot from now on.
    Place {
        /// Key of the request.
        key: RequestKey,
        /// Attempt that receives the grant.
        attempt: u32,
        /// Entry that receives the grant.
        entry: NodeId,
        /// Target that runs the request.
        target: TargetKey,
        /// Whether the dispatch exceeds the target's concurrency limit.
        above_limit: bool,
    },
    /// Tell the entry to cancel a running request. The response is [`PoolInput::CancelDone`] or
    /// [`PoolInput::Finish`].
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
    /// Tell the entry that the request was removed and will not run.
    Refuse {
        /// Key of the request.
        key: RequestKey,
        /// Refused attempt.
        attempt: u32,
        /// Entry that submitted the request.
        entry: NodeId,
        /// Rank of the tier.
        tier: u8,
        /// Outcome reported to the caller.
        outcome: RequestOutcome,
        /// Why.
        reason: ReasonCode,
        /// Time after which a resend has a chance, in milliseconds.
        retry_after_ms: u32,
    },
    /// Write a change of the suspicion marks to the replicated log.
    Suspect(SuspectChange),
}
