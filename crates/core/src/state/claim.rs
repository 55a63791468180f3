//! Public representation of a claim, and the limits and rules of the claim table.

use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, NodeId, RequestFingerprint, RequestKey, TargetIdentity};
use crate::outcome::{ReasonCode, RequestOutcome};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time that the claim of an ended idempotent request is kept, in milliseconds.
pub const IDEMPOTENT_RETENTION_MS: u64 = 10 * 60 * 1_000;
/// Time that the claim of an ended non-idempotent request is kept, in milliseconds.
pub const NON_IDEMPOTENT_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// Time after its deadline at which an ownerless claim ends with outcome `unknown`, in
/// milliseconds.
///
/// A failover can delay a finish report by up to 2.2 s. Within this margin the reported outcome
/// is still recorded.
pub const OWNERLESS_MARGIN_MS: u64 = 5_000;
/// Default of the setting `claim-limit`.
pub const DEFAULT_CLAIM_LIMIT: usize = 2_000_000;
/// Maximum number of claims that one `ExpireClaims` command ends or removes.
///
/// Without a limit, the first expiry after a long pause could remove the whole table in one
/// command and block every replica.
pub const EXPIRE_BATCH: usize = 10_000;

/// Switches for the rules of the claim table.
///
/// All rules are on in production. The model checks turn off one at a time to show that they
/// detect the error that the rule prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRules {
    /// Refuses a second claim of a key while the first one is open.
    pub refuse_while_open: bool,
    /// Refuses a second claim of a key within the retention of an ended one.
    pub refuse_after_end: bool,
    /// Rejects a release or finish that has the wrong claim number.
    pub check_claim_number: bool,
    /// Keeps the recorded outcome when a second finish arrives.
    pub keep_first_outcome: bool,
    /// Keeps the open claims of a lost entry as ownerless claims.
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

/// State of a claim: open, or ended with an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimPhase {
    /// The request may be running.
    Open {
        /// Wall time by which the caller expects the answer.
        deadline: ClockTime,
        /// Whether the entry process that owned the claim has ended.
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

/// Claim with its interned names resolved.
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
    /// Entry process that owns or owned the claim.
    pub entry: NodeId,
    /// Workspace of the request.
    pub workspace: Arc<str>,
    /// Pool of the request.
    pub pool: Arc<str>,
    /// Rank of the tier.
    pub tier: u8,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// State of the claim.
    pub phase: ClaimPhase,
}
