//! Inputs and outputs of the agent.

use crate::keys::{ClaimNumber, LinkKey, RequestKey, TargetIdentity};
use crate::message::{
    ControlMessage, EntryMessage, FinishReport, GrantTicket, StreamProgress, SubmitRequest,
};
use crate::outcome::{ReasonCode, RequestOutcome};
use std::sync::Arc;

/// Names one attempt of a request at this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Key of the request.
    pub key: RequestKey,
    /// Number of the attempt.
    pub attempt: u32,
}

/// An event for the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryInput {
    /// A link to a control instance is up.
    LinkUp {
        /// The link.
        link: LinkKey,
    },
    /// A link is down; what was sent over it may be lost.
    LinkDown {
        /// The link.
        link: LinkKey,
    },
    /// A control instance sent a message.
    Receive {
        /// Link that carried it.
        link: LinkKey,
        /// The message.
        message: ControlMessage,
    },
    /// A configuration is in force. An older version than the one held changes nothing.
    ConfigInstalled {
        /// Version of the document.
        version: u64,
    },
    /// A caller's request asks for a grant. Its attempt number comes from
    /// [`EntryAgent::next_attempt`](super::EntryAgent::next_attempt).
    Submit(SubmitRequest),
    /// The caller of a waiting attempt is gone.
    Withdraw {
        /// The attempt.
        id: AttemptId,
    },
    /// A granted request starts to dispatch.
    Running {
        /// Key of the request.
        key: RequestKey,
        /// Number of the claim.
        claim: ClaimNumber,
    },
    /// Progress of a running request; it is sent with the next batch.
    Progress(StreamProgress),
    /// A dispatched request ended.
    Finish(FinishReport),
    /// A granted request will not be dispatched here.
    Release {
        /// Key of the request.
        key: RequestKey,
        /// Number of the claim.
        claim: ClaimNumber,
    },
    /// No connection to the target was established; the attempt waits for another grant.
    Retry {
        /// The request with its attempt number and the time that remains.
        request: SubmitRequest,
        /// Number of the claim that is given back.
        claim: ClaimNumber,
    },
    /// The entry will submit nothing more.
    Goodbye,
    /// Time passed. Expected at least every 100 ms.
    Tick,
}

/// Final answer to an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AttemptAnswer {
    /// Dispatch to this target.
    Grant(GrantTicket),
    /// The leader refused the attempt.
    Refuse {
        /// Outcome that the caller is told.
        outcome: RequestOutcome,
        /// Why.
        reason: ReasonCode,
        /// When a resend has a chance.
        retry_after_ms: u32,
    },
    /// Another attempt owns the request.
    Resume {
        /// Target that ran or runs it.
        target: TargetIdentity,
        /// Address of the target, empty if unknown.
        address: String,
        /// Recorded outcome, if the request has ended.
        recorded: Option<RequestOutcome>,
    },
    /// The attempt was withdrawn and gets no other answer.
    Withdrawn {
        /// Outcome that the caller is told.
        outcome: RequestOutcome,
    },
}

/// What the caller of the agent has to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum EntryOutput {
    /// Send a message to a control instance.
    Send {
        /// Link to use.
        link: LinkKey,
        /// The message.
        message: EntryMessage,
    },
    /// Wake the attempt with its answer; the agent no longer waits for it.
    Answer {
        /// The attempt.
        id: AttemptId,
        /// The answer.
        answer: AttemptAnswer,
    },
    /// Cancel a running request and report `Finish`.
    Cancel {
        /// Key of the request.
        key: RequestKey,
        /// Number of the claim.
        claim: ClaimNumber,
        /// Why.
        reason: ReasonCode,
        /// When a resend under a new id has a chance, in milliseconds.
        retry_after_ms: u32,
    },
    /// Validate a document, put it in force, and report `ConfigInstalled`.
    Install {
        /// Version of the document.
        version: u64,
        /// Document text in TOML.
        document: Arc<str>,
    },
    /// Apply a delta to the document in force, and report `ConfigInstalled`.
    Patch {
        /// Version of the document.
        version: u64,
        /// Encoded delta.
        delta: Arc<str>,
    },
    /// Shut down gracefully.
    Drain,
}
