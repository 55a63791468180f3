//! Messages between entry and control instances.
//!
//! Messages are encoded with postcard. The types of the hot path are serialised by hand-written
//! code in the `hot` module. Fields are encoded by position, so any change of them needs a new
//! [`PROTOCOL_VERSION`].

mod hot;

use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, NodeId, RequestFingerprint, RequestKey, TargetIdentity};
use crate::outcome::{ReasonCode, RequestOutcome};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// Version of the protocol between processes. Peers with another version are refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// Asks the leader for a target for a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SubmitRequest {
    /// Key of the request.
    pub key: RequestKey,
    /// Number of the attempt, assigned by the entry and repeated in replies.
    pub attempt: u32,
    /// Hash of path and body, used to detect reused request ids and requests that crash targets.
    pub fingerprint: RequestFingerprint,
    /// Workspace that sends the request.
    pub workspace: String,
    /// Pool that the routing rules selected.
    pub pool: String,
    /// Model that must be loaded; empty for plain services.
    pub model: String,
    /// Rank of the tier; 0 is the highest.
    pub tier: u8,
    /// Whether the request may be cancelled while it runs.
    pub idempotent: bool,
    /// Remaining time until the deadline, in milliseconds.
    pub deadline_in_ms: u32,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Largest number of tokens that the answer may have.
    pub output_tokens: u32,
    /// Cumulative hashes of the prompt blocks: each covers the prompt from its start.
    pub prefix_hashes: Vec<u64>,
}

/// Permission to dispatch a request to a target, issued by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GrantTicket {
    /// Key of the request.
    pub key: RequestKey,
    /// Attempt that receives the grant.
    pub attempt: u32,
    /// Number of the committed claim.
    pub claim: ClaimNumber,
    /// Target to dispatch to.
    pub target: TargetIdentity,
    /// Address of the target, `ip:port`.
    pub address: String,
    /// Latest time of the entry's clock that the leader had received.
    ///
    /// The entry compares it with its own clock, so it can check the age of the grant without
    /// synchronised clocks.
    pub entry_time: ClockTime,
}

/// Reports that a dispatched request has ended. Sent by the entry that owns the claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FinishReport {
    /// Key of the request.
    pub key: RequestKey,
    /// Number of the claim.
    pub claim: ClaimNumber,
    /// How the request ended.
    pub outcome: RequestOutcome,
    /// Why, if it did not complete.
    pub reason: Option<ReasonCode>,
    /// Prompt tokens that the target reported as read from its prefix cache.
    pub cached_tokens: u32,
    /// Number of tokens in the answer.
    pub output_tokens: u32,
    /// Time from dispatch to the first token, in milliseconds.
    pub first_token_ms: u32,
    /// Time from dispatch to the end, in milliseconds.
    pub total_ms: u32,
}

/// Progress of a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StreamProgress {
    /// Key of the request.
    pub key: RequestKey,
    /// Tokens received so far.
    pub tokens: u32,
    /// Time from dispatch to the first token in milliseconds, once known.
    pub first_token_ms: Option<u32>,
}

/// Claim held by an entry, reported to a new leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HeldClaim {
    /// Key of the request.
    pub key: RequestKey,
    /// Number of the claim.
    pub claim: ClaimNumber,
}

/// Messages from an entry to a control instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum EntryMessage {
    /// First message on a link, sent again after each change of leader.
    Hello {
        /// Name of the entry instance, for dumps and logs.
        name: String,
        /// Current time of the entry's monotonic clock.
        entry_time: ClockTime,
        /// Version of the configuration that the entry holds.
        config_version: u64,
        /// Claims of the requests that the entry dispatched and that are still running.
        running: Vec<HeldClaim>,
    },
    /// Asks for a target.
    Submit(SubmitRequest),
    /// The caller disconnected, or the deadline passed, before a grant arrived.
    Withdraw {
        /// Key of the request.
        key: RequestKey,
        /// Attempt that is withdrawn.
        attempt: u32,
    },
    /// Progress of running requests, sent at most four times per second.
    Progress(Vec<StreamProgress>),
    /// A dispatched request has ended.
    Finish(FinishReport),
    /// The grant was not used because no connection was established or the grant was too old.
    Release {
        /// Key of the request.
        key: RequestKey,
        /// Number of the claim.
        claim: ClaimNumber,
        /// Whether the entry still wants to run the request.
        retry: bool,
    },
    /// Periodic liveness message, sent every 500 ms.
    Heartbeat {
        /// Current time of the entry's monotonic clock.
        entry_time: ClockTime,
        /// Version of the configuration in force at the entry.
        config_version: u64,
    },
    /// The entry is shutting down and submits no more requests.
    Goodbye,
}

/// Messages from a control instance to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum ControlMessage {
    /// Reply to `Hello` with the known leader and the version of the committed configuration.
    Welcome {
        /// Whether the sender is the leader and has confirmed this with a majority.
        leading: bool,
        /// Term of the sender.
        term: u64,
        /// Leader known to the sender.
        leader: Option<NodeId>,
        /// Version of the configuration in force.
        config_version: u64,
        /// `entry_time` of the message that this replies to.
        ///
        /// A process that was paused may send the reply late. The entry detects this by comparing
        /// the time with its clock.
        entry_time: ClockTime,
    },
    /// The configuration in force.
    Config {
        /// Version of the document.
        version: u64,
        /// Document text in TOML.
        document: Arc<str>,
    },
    /// The configuration in force, as a delta from an earlier version.
    ConfigDelta {
        /// Version that the delta applies to.
        base_version: u64,
        /// Version after the delta.
        version: u64,
        /// [`DocumentDelta`](crate::document::DocumentDelta) encoded as JSON.
        delta: Arc<str>,
    },
    /// Permission to dispatch the request.
    Grant(GrantTicket),
    /// The attempt is refused and will not be dispatched.
    Refuse {
        /// Key of the request.
        key: RequestKey,
        /// Attempt that is refused.
        attempt: u32,
        /// Outcome to report to the caller.
        outcome: RequestOutcome,
        /// Why.
        reason: ReasonCode,
        /// Time in milliseconds after which a resend may succeed.
        retry_after_ms: u32,
    },
    /// Another attempt holds the claim; its stream can be resumed at the target.
    Resume {
        /// Key of the request.
        key: RequestKey,
        /// Attempt that this replies to.
        attempt: u32,
        /// Target that ran or runs the request.
        target: TargetIdentity,
        /// Address of the target, `ip:port`; empty if it is no longer announced.
        address: String,
        /// Outcome recorded so far, if the request has ended.
        recorded: Option<RequestOutcome>,
    },
    /// The entry must cancel the running request and then send `Finish`.
    Cancel {
        /// Key of the request.
        key: RequestKey,
        /// Number of the claim.
        claim: ClaimNumber,
        /// Why.
        reason: ReasonCode,
        /// Time in milliseconds after which a resend under a new request id may succeed.
        retry_after_ms: u32,
    },
    /// The entry must shut down gracefully.
    Drain,
}

/// Error returned when a frame cannot be decoded.
#[derive(Debug)]
#[derive(Error)]
#[error("decoding a frame of {length} bytes")]
pub struct FrameError {
    /// Length of the frame.
    pub length: usize,
    /// Error of the codec.
    #[source]
    pub source: postcard::Error,
}

/// Encodes a message as a frame.
///
/// ```
/// use burdockcleat_core::message::{EntryMessage, decode_frame, encode_frame};
/// let frame = encode_frame(&EntryMessage::Goodbye);
/// assert_eq!(decode_frame::<EntryMessage>(&frame).unwrap(), EntryMessage::Goodbye);
/// ```
pub fn encode_frame<T: Serialize>(message: &T) -> Vec<u8> {
    // With a growable buffer, encoding fails only if a `Serialize` implementation returns an error.
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Decodes a frame.
///
/// # Errors
/// Returns an error if the bytes are not a complete message of this type.
pub fn decode_frame<T: for<'de> Deserialize<'de>>(frame: &[u8]) -> Result<T, FrameError> {
    postcard::from_bytes(frame).map_err(|source| FrameError { length: frame.len(), source })
}
