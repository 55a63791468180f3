//! Messages between replicas.

use super::entry::{LogEntry, LogPosition};
use super::members::MemberSet;
use crate::clock::ClockTime;
use crate::keys::NodeId;
use serde::{Deserialize, Serialize};

/// Request for a vote or for the promise of one (pre-vote).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct VoteRequest {
    /// Term that the candidate wants to lead.
    pub term: u64,
    /// Index of the candidate's last entry.
    pub last_index: u64,
    /// Term of the candidate's last entry.
    pub last_term: u64,
    /// Leader that handed over its leadership; overrides the hold of voters that follow it.
    pub transfer_from: Option<NodeId>,
}

/// Entries for a follower; without entries it is a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AppendRequest {
    /// Term of the leader.
    pub term: u64,
    /// Entry directly before `entries`.
    pub previous: LogPosition,
    /// Commit index of the leader.
    pub commit_index: u64,
    /// Reading of the leader's clock, returned in the reply.
    pub sent: ClockTime,
    /// Entries in order.
    pub entries: Vec<LogEntry>,
}

/// Result of an append at the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum AppendResult {
    /// The follower's log equals the leader's up to this index.
    Matched(u64),
    /// The follower does not hold the previous entry.
    Conflict {
        /// Index of the previous entry in the request, to recognise outdated replies.
        previous: u64,
        /// Newest position at which the logs may agree.
        hint: LogPosition,
    },
}

/// One part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Term of the leader.
    pub term: u64,
    /// Reading of the leader's clock, returned in the reply.
    pub sent: ClockTime,
    /// Last entry that the snapshot contains.
    pub last: LogPosition,
    /// Membership in effect at that entry.
    pub members: MemberSet,
    /// Position of `data` in the image.
    pub offset: u64,
    /// Length of the whole image.
    pub total: u64,
    /// Bytes of this part.
    pub data: Vec<u8>,
}

/// Messages between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Asks whether a vote in the given term would be granted.
    PreVote(VoteRequest),
    /// Answer to `PreVote`.
    PreVoteReply {
        /// Term of the voter.
        term: u64,
        /// Term that the request asked for.
        next_term: u64,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answer to `Vote`.
    VoteReply {
        /// Term of the voter.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries or heartbeat.
    Append(AppendRequest),
    /// Answer to `Append`.
    AppendReply {
        /// Term of the follower.
        term: u64,
        /// Leader's clock reading of the request.
        sent: ClockTime,
        /// Result.
        result: AppendResult,
    },
    /// Part of a snapshot.
    Install(SnapshotPart),
    /// Answer to `Install`.
    InstallReply {
        /// Term of the follower.
        term: u64,
        /// Leader's clock reading of the request.
        sent: ClockTime,
        /// Index of the snapshot.
        index: u64,
        /// Bytes received so far without a gap.
        received: u64,
    },
    /// The leader hands over its leadership to the receiver.
    StartElection {
        /// Term of the leader.
        term: u64,
    },
}

impl ReplicaMessage {
    /// Term of the sender. The term of a pre-vote request is only proposed, so it has none.
    pub(super) fn sender_term(&self) -> Option<u64> {
        match self {
            Self::PreVote(_) => None,
            Self::Vote(request) => Some(request.term),
            Self::Append(request) => Some(request.term),
            Self::Install(part) => Some(part.term),
            Self::PreVoteReply { term, .. }
            | Self::VoteReply { term, .. }
            | Self::AppendReply { term, .. }
            | Self::InstallReply { term, .. }
            | Self::StartElection { term } => Some(*term),
        }
    }
}
