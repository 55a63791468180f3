//! Messages between entry and control instances.
//!
//! A message is encoded with postcard. The types of the hot path have hand-written serde
//! visitors in the `hot` module; they are positional, so a change of their fields needs a new
//! [`PROTOCOL_VERSION`].

mod hot;

use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, NodeId, RequestFingerprint, RequestKey, TargetIdentity};
use crate::outcome::{ReasonCode, RequestOutcome};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// Version of the messages between processes. Peers with another version are refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// A request that asks for a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SubmitRequest {
    /// Key of the request.
    pub key: RequestKey,
    /// Number that the entry gave this attempt. Answers carry it back.
    pub attempt: u32,
    /// Hash of path and body, to detect reuse of an id and requests that crash targets.
    pub fingerprint: RequestFingerprint,
    /// Workspace that sends the request.
    pub workspace: String,
    /// Pool that the rules of the document chose.
    pub pool: String,
    /// Model that must be loaded, empty for plain services.
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
    /// Cumulative hashes of the prompt's blocks, from the start of the prompt.
    pub prefix_hashes: Vec<u64>,
}

/// Permission of the leader to dispatch one request to one target.
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
    /// Newest reading of the entry's clock that the leader had received.
    ///
    /// The entry compares it with its own clock, so the check of the grant's age needs no
    /// synchronised clocks.
    pub entry_time: ClockTime,
}

/// Report of the owner that a dispatched request has ended.
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
    /// Tokens that the target reported as read from its prefix cache.
    pub cached_tokens: u32,
    /// Tokens that the answer had.
    pub output_tokens: u32,
    /// Time from dispatch to the first token, in milliseconds.
    pub first_token_ms: u32,
    /// Time from dispatch to the end, in milliseconds.
    pub total_ms: u32,
}

/// Progress of one running request.
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

/// A request that an entry holds a claim for, reported to a new leader.
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
    /// First message on a link, and again after each change of leader.
    Hello {
        /// Name of the entry instance, for dumps and logs.
        name: String,
        /// Reading of the entry's monotonic clock.
        entry_time: ClockTime,
        /// Version of the configuration that the entry holds.
        config_version: u64,
        /// Requests that the entry dispatched and that still run.
        running: Vec<HeldClaim>,
    },
    /// Asks for a target.
    Submit(SubmitRequest),
    /// The caller hung up, or the deadline passed, before a grant arrived.
    Withdraw {
        /// Key of the request.
        key: RequestKey,
        /// Attempt that is withdrawn.
        attempt: u32,
    },
    /// Progress of running requests, at most four batches per second.
    Progress(Vec<StreamProgress>),
    /// A dispatched request has ended.
    Finish(FinishReport),
    /// The grant was not used: no connection was established, or the grant was too old.
    Release {
        /// Key of the request.
        key: RequestKey,
        /// Number of the claim.
        claim: ClaimNumber,
        /// Whether the entry still wants to run the request.
        retry: bool,
    },
    /// Sign of life, each half second.
    Heartbeat {
        /// Reading of the entry's monotonic clock.
        entry_time: ClockTime,
        /// Version of the configuration in force at the entry.
        config_version: u64,
    },
    /// The entry is shutting down and will submit nothing more.
    Goodbye,
}

/// Messages from a control instance to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum ControlMessage {
    /// Answer to `Hello`: who leads, and which configuration a majority holds.
    Welcome {
        /// Whether the sender leads and confirmed it with a majority.
        leading: bool,
        /// Term of the sender.
        term: u64,
        /// Leader that the sender knows of.
        leader: Option<NodeId>,
        /// Version of the configuration in force.
        config_version: u64,
        /// Reading of the entry's clock in the message that this answers.
        ///
        /// A frozen sender may deliver the answer late; the entry sees it by this time.
        entry_time: ClockTime,
    },
    /// A configuration that is in force.
    Config {
        /// Version of the document.
        version: u64,
        /// Document text in TOML.
        document: Arc<str>,
    },
    /// What a configuration in force changes in the version before it.
    ConfigDelta {
        /// Version that the delta applies to.
        base_version: u64,
        /// Version that results.
        version: u64,
        /// Encoded [`DocumentDelta`](crate::document::DocumentDelta) in JSON.
        delta: Arc<str>,
    },
    /// Permission to dispatch.
    Grant(GrantTicket),
    /// The request will not run through this attempt.
    Refuse {
        /// Key of the request.
        key: RequestKey,
        /// Attempt that is refused.
        attempt: u32,
        /// Outcome that the caller is told.
        outcome: RequestOutcome,
        /// Why.
        reason: ReasonCode,
        /// Time after which a resend has a chance, in milliseconds.
        retry_after_ms: u32,
    },
    /// Another attempt owns the claim; its stream may be resumed at the target.
    Resume {
        /// Key of the request.
        key: RequestKey,
        /// Attempt that asked.
        attempt: u32,
        /// Target that ran or runs the request.
        target: TargetIdentity,
        /// Address of the target, `ip:port`, empty if it is no longer announced.
        address: String,
        /// Outcome recorded so far, if the request has ended.
        recorded: Option<RequestOutcome>,
    },
    /// The entry must cancel the running request and then report `Finish`.
    Cancel {
        /// Key of the request.
        key: RequestKey,
        /// Number of the claim.
        claim: ClaimNumber,
        /// Why.
        reason: ReasonCode,
        /// Time after which a resend under a new id has a chance, in milliseconds.
        retry_after_ms: u32,
    },
    /// The entry must shut down gracefully.
    Drain,
}

/// A frame that could not be decoded.
#[derive(Debug)]
#[derive(Error)]
#[error("decoding a frame of {length} bytes")]
pub struct FrameError {
    /// Length of the frame.
    pub length: usize,
    /// What the codec reported.
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
    // Encoding into a growable buffer fails only for types that refuse to serialise themselves.
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Decodes a frame.
///
/// # Errors
/// Fails if the bytes are not a whole message of this type.
pub fn decode_frame<T: for<'de> Deserialize<'de>>(frame: &[u8]) -> Result<T, FrameError> {
    postcard::from_bytes(frame).map_err(|source| FrameError { length: frame.len(), source })
}
