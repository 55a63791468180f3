//! Commands of the replicated state machine and its typed replies.

use super::claim::ClaimRecord;
use super::drains::DrainSubject;
use super::operations::{OperationBody, OperationResult};
use super::orders::{EngineOrder, OrderId, OrderResult};
use super::refusals::RefusalRecord;
use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, NodeId, RequestFingerprint, RequestKey, TargetIdentity};
use crate::outcome::{ReasonCode, RequestOutcome};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A command with the wall time of the leader that appended it.
///
/// The state machine reads no clock. Its time is the largest `at` applied so far, so that a
/// leader whose clock is behind that of its predecessor cannot move the time back.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StampedCommand {
    /// Wall time of the leader when it appended the command.
    pub at: ClockTime,
    /// The change.
    pub command: StateCommand,
}

/// Asks for the claim of one request key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key of the request.
    pub key: RequestKey,
    /// Content fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Target that the request will be dispatched to.
    pub target: TargetIdentity,
    /// Address of the target, `ip:port`.
    pub address: String,
    /// Entry run that will own the claim.
    pub entry: NodeId,
    /// Workspace of the request.
    pub workspace: String,
    /// Pool of the request.
    pub pool: String,
    /// Rank of the tier; 0 is the highest.
    pub tier: u8,
    /// Whether the request is idempotent; decides how long the ended claim is kept.
    pub idempotent: bool,
    /// Wall time by which the caller expects the answer.
    pub deadline: ClockTime,
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StateCommand {
    /// Changes nothing. Its commit confirms what the leader decided before it was appended.
    Barrier,
    /// Replaces the configuration document. The caller has validated it.
    ApplyDocument {
        /// Version that the edit started from.
        base_version: u64,
        /// Id that the operator's tool drew for this edit; resends carry the same one.
        operation_id: String,
        /// Who made the edit.
        author: String,
        /// Document text in TOML.
        document: Arc<str>,
        /// Number of changes against the base version, for the history.
        changes: u32,
    },
    /// Claims a request key for one dispatch.
    Claim(ClaimRequest),
    /// Records that a request was refused as `not_run`, unless the key has a claim.
    ///
    /// Its commit confirms the refusal, as that of `Barrier` would. In addition, no attempt of
    /// the request can be claimed before `until`, not even one that the leader has not seen.
    Refuse {
        /// Key of the request.
        key: RequestKey,
        /// Wall time from which the key may be claimed again. It should lie after the deadlines
        /// of all attempts.
        until: ClockTime,
        /// Why the request is refused.
        reason: ReasonCode,
    },
    /// The owner states that it did not dispatch and will not.
    Release {
        /// Key of the request.
        key: RequestKey,
        /// Claim that is given back.
        claim: ClaimNumber,
    },
    /// The request has ended.
    Finish {
        /// Key of the request.
        key: RequestKey,
        /// Claim that has ended.
        claim: ClaimNumber,
        /// How the request ended.
        outcome: RequestOutcome,
        /// Why, if it did not complete.
        reason: Option<ReasonCode>,
    },
    /// The run of an entry is over. Its open claims stay and become ownerless.
    OwnerLost {
        /// The run that is over.
        entry: NodeId,
    },
    /// Ends overdue ownerless claims and removes ended claims, marks and quarantines past their
    /// retention.
    ExpireClaims,
    /// A target crashed while a request with this fingerprint ran on it.
    SuspectMark {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Name of the target that crashed.
        target: String,
        /// Wall time of the crash.
        at: ClockTime,
    },
    /// Removes all marks of a fingerprint, because a request with it completed.
    SuspectClear {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
    },
    /// Refuses a fingerprint until a time.
    Quarantine {
        /// Fingerprint of the requests to refuse.
        fingerprint: RequestFingerprint,
        /// Wall time at which the quarantine ends.
        until: ClockTime,
    },
    /// Issues an order to an engine. Its fencing number is the log index of this command.
    IssueOrder {
        /// The order.
        order: EngineOrder,
        /// Id that the issuer drew; resends carry the same one.
        operation_id: String,
        /// Who asks.
        author: String,
    },
    /// Drains one run of an entry or a target.
    Drain {
        /// What is drained.
        subject: DrainSubject,
        /// Id that the operator's tool drew; resends carry the same one.
        operation_id: String,
        /// Who asks.
        author: String,
    },
    /// An order has ended.
    OrderDone {
        /// Order that has ended.
        id: OrderId,
        /// How it ended.
        result: OrderResult,
    },
}

impl StateCommand {
    /// Operation id and body of an operator's request.
    pub fn operation(&self) -> Option<(&str, OperationBody<'_>)> {
        match self {
            Self::ApplyDocument { base_version, operation_id, author, document, .. } => {
                let body =
                    OperationBody::Document { base_version: *base_version, author, document };
                Some((operation_id, body))
            }
            Self::IssueOrder { order, operation_id, author } => {
                Some((operation_id, OperationBody::Order { author, order }))
            }
            Self::Drain { subject, operation_id, author } => {
                let entry = matches!(subject, DrainSubject::Entry { .. });
                let body = OperationBody::Drain { author, entry, name: subject.name() };
                Some((operation_id, body))
            }
            _ => None,
        }
    }
}

/// Reply to one command.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CommandReply {
    /// The command has no result of its own.
    Done,
    /// Reply to `ApplyDocument`.
    Document(DocumentReply),
    /// Reply to `Claim`.
    Claim(ClaimReply),
    /// Reply to `Refuse`.
    Refuse(RefuseReply),
    /// Reply to `Release` and `Finish`.
    Close(CloseReply),
    /// Reply to `OwnerLost`: the claims that became ownerless, in ascending order.
    OwnerLost(Vec<ClaimNumber>),
    /// Reply to `ExpireClaims`.
    Expired(ExpireReply),
    /// Reply to `IssueOrder`.
    OrderIssued(OrderId),
    /// Reply to `OrderDone`.
    OrderDone(OrderDoneReply),
    /// Reply to `Drain`: what the first request with this id drained.
    Drained(DrainSubject),
    /// The operation id was used before with another request; nothing changed.
    OperationReused,
}

impl CommandReply {
    /// The reply that an operation's first result stands for.
    pub fn from_operation(result: OperationResult) -> Self {
        match result {
            OperationResult::Document(reply) => Self::Document(reply),
            OperationResult::Order(id) => Self::OrderIssued(id),
            OperationResult::Drain(subject) => Self::Drained(subject),
        }
    }
}

/// Reply to a configuration edit. A resent operation id gets the first reply again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum DocumentReply {
    /// The document is in force.
    Accepted {
        /// Its version.
        version: u64,
    },
    /// Another edit was accepted since the base version; nothing changed.
    Conflict {
        /// Version in force when the edit was first applied.
        current: u64,
    },
}

/// Reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimReply {
    /// The key is claimed; the number is the log index of the command.
    Created(ClaimNumber),
    /// The key has an open claim.
    AlreadyOpen(ClaimRecord),
    /// The request has ended and is within its retention.
    AlreadyEnded(ClaimRecord),
    /// The request was refused as `not_run`, and the refusal is in force.
    Refused(RefusalRecord),
}

/// Reply to a refusal. The caller may be told `not_run` only after `Recorded`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RefuseReply {
    /// The refusal is in force.
    Recorded,
    /// The key has a claim, so the request may have run.
    AlreadyClaimed(ClaimRecord),
}

/// Reply to a release or a finish.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CloseReply {
    /// The claim is closed.
    Accepted,
    /// The claim had ended before; the recorded outcome stays.
    AlreadyEnded(ClaimRecord),
    /// The key has no claim with this number.
    WrongClaim,
}

/// Reply to an expiry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExpireReply {
    /// Ownerless claims that ended with outcome `unknown`, in ascending order.
    pub ended: Vec<ClaimNumber>,
    /// Number of ended claims and refusals that were removed.
    pub removed: usize,
    /// Whether the bound per command was reached and another command is needed.
    pub more: bool,
}

/// Reply to the end of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum OrderDoneReply {
    /// The result is recorded.
    Accepted,
    /// The order had ended before; the recorded result stays.
    AlreadyDone(OrderResult),
    /// No order with this id is kept.
    UnknownOrder,
}
