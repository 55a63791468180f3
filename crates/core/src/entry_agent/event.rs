//! Inputs and outputs of the entry agent.

use crate::keys::{ClaimNumber, LinkKey, RequestKey, TargetIdentity};
use crate::message::{
    ControlMessage, EntryMessage, FinishReport, GrantTicket, StreamProgress, SubmitRequest,
};
use crate::outcome::{ReasonCode, RequestOutcome};
use std::sync::Arc;

/// Identifies one attempt of a request at this entry.
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
    /// A link is down. Messages sent over it may be lost.
    LinkDown {
        /// The link.
        link: LinkKey,
    },
    /// A control instance sent a message.
    Receive {
        /// Link over which the message arrived.
        link: LinkKey,
        /// The message.
        message: ControlMessage,
    },
    /// A configuration has become active. A version older than the current one is ignored.
    ConfigInstalled {
        /// Version of the document.
        version: u64,
    },
    /// A request needs a grant. Its attempt number comes from
    /// [`EntryAgent::next_attempt`](super::EntryAgent::next_attempt).
    Submit(SubmitRequest),
    /// The caller of a waiting attempt has disconnected.
    Withdraw {
        /// The attempt.
        id: AttemptId,
    },
    /// The dispatch of a granted request starts.
    Running {
        /// Key of the request.
        key: RequestKey,
        /// Number of the claim.
        claim: ClaimNumber,
    },
    /// Progress of a running request, sent with the next batch.
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
    /// No connection to the target was established. The attempt waits for another grant.
    Retry {
        /// The request with its attempt number and its remaining time.
        request: SubmitRequest,
        /// Number of the claim to release.
        claim: ClaimNumber,
    },
    /// The entry will submit no more requests.
    Goodbye,
    /// Runs the timers. Expected at least every 100 ms.
    Tick,
}

/// Final answer to an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AttemptAnswer {
    /// The request may be dispatched to the granted target.
    Grant(GrantTicket),
    /// The leader refused the attempt.
    Refuse {
        /// Outcome to report to the caller.
        outcome: RequestOutcome,
        /// Reason of the refusal.
        reason: ReasonCode,
        /// Time after which a resend may succeed, in milliseconds.
        retry_after_ms: u32,
    },
    /// Another attempt owns the request.
    Resume {
        /// Target that runs or ran it.
        target: TargetIdentity,
        /// Address of the target, empty if unknown.
        address: String,
        /// Recorded outcome, if the request has ended.
        recorded: Option<RequestOutcome>,
    },
    /// The attempt was withdrawn and receives no other answer.
    Withdrawn {
        /// Outcome to report to the caller.
        outcome: RequestOutcome,
    },
}

/// An action for the caller of the agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum EntryOutput {
    /// Send a message to a control instance.
    Send {
        /// Link to use.
        link: LinkKey,
        /// The message.
        message: EntryMessage,
    },
    /// Deliver the answer to the attempt, which the agent no longer tracks as waiting.
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
        /// Reason of the cancellation.
        reason: ReasonCode,
        /// Time after which a resend under a new id may succeed, in milliseconds.
        retry_after_ms: u32,
    },
    /// Validate and activate a document, and report `ConfigInstalled`.
    Install {
        /// Version of the document.
        version: u64,
        /// Text of the document, in TOML.
        document: Arc<str>,
    },
    /// Apply a delta to the active document, and report `ConfigInstalled`.
    Patch {
        /// Version of the document.
        version: u64,
        /// Encoded delta.
        delta: Arc<str>,
    },
    /// Shut down gracefully.
    Drain,
}
