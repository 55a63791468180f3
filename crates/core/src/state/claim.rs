//! Public form of a claim, and the limits and rules of the claim table.

use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, NodeId, RequestFingerprint, RequestKey, TargetIdentity};
use crate::outcome::{ReasonCode, RequestOutcome};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time that an ended idempotent request is kept, in milliseconds.
pub const IDEMPOTENT_RETENTION_MS: u64 = 10 * 60 * 1_000;
/// Time that an ended non-idempotent request is kept, in milliseconds.
pub const NON_IDEMPOTENT_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// Time after its deadline at which an ownerless claim ends as unknown, in milliseconds.
///
/// A finish report can be delayed by a failover of up to 2.2 s; within the margin it is still
/// recorded as the outcome.
pub const OWNERLESS_MARGIN_MS: u64 = 5_000;
/// Default of `claim-limit`.
pub const DEFAULT_CLAIM_LIMIT: usize = 2_000_000;
/// Largest number of claims that one `ExpireClaims` ends or removes.
///
/// Without the bound, the first expiry after a long pause would remove the whole table in one
/// command and stall every replica.
pub const EXPIRE_BATCH: usize = 10_000;

/// Rules of the claim table. All are on in production; only the specification's tests turn one
/// off, to show that the search finds the fault that the rule prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRules {
    /// A key with an open claim is not claimed again.
    pub refuse_while_open: bool,
    /// A key whose request has ended is not claimed again within its retention.
    pub refuse_after_end: bool,
    /// A release or a finish must carry the number of the claim.
    pub check_claim_number: bool,
    /// A second finish does not change the recorded outcome.
    pub keep_first_outcome: bool,
    /// The claims of a lost entry stay.
    pub keep_ownerless: bool,
}

impl Default for ClaimRules {
    fn default() -> Self {
        Self {
            refuse_while_open: true,
            refuse_after_end: true,
            check_claim_number: true,
            keep_first_outcome: true,
            keep_ownerless: true,
        }
    }
}

/// Whether a claim is open or how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimPhase {
    /// The request may be running.
    Open {
        /// Wall time by which the caller expects the answer.
        deadline: ClockTime,
        /// Whether the entry run that owned the claim is over.
        ownerless: bool,
    },
    /// The request has ended.
    Ended {
        /// Time of the command that ended it.
        at: ClockTime,
        /// How it ended.
        outcome: RequestOutcome,
        /// Why, if it did not complete.
        reason: Option<ReasonCode>,
    },
}

/// A claim with its names resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Key of the request.
    pub key: RequestKey,
    /// Log index of the command that created the claim.
    pub claim: ClaimNumber,
    /// Content fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Target that the request was granted to.
    pub target: TargetIdentity,
    /// Address of the target, `ip:port`.
    pub address: String,
    /// Entry run that owns or owned the claim.
    pub entry: NodeId,
    /// Workspace of the request.
    pub workspace: Arc<str>,
    /// Pool of the request.
    pub pool: Arc<str>,
    /// Rank of the tier.
    pub tier: u8,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// Whether the claim is open or how it ended.
    pub phase: ClaimPhase,
}
