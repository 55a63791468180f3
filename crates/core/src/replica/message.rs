//! Messages between replicas.

use super::entry::{LogEntry, LogPosition};
use super::members::MemberSet;
use crate::clock::ClockTime;
use crate::keys::NodeId;
use serde::{Deserialize, Serialize};

/// Request for a vote or a pre-vote.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct VoteRequest {
    /// Term in which the candidate wants to become the leader.
    pub term: u64,
    /// Index of the candidate's last entry.
    pub last_index: u64,
    /// Term of the candidate's last entry.
    pub last_term: u64,
    /// Leader that transferred its leadership to the candidate. Voters that follow this leader do
    /// not withhold their vote.
    pub transfer_from: Option<NodeId>,
}

/// Entries for a follower. A request without entries is a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AppendRequest {
    /// Term of the leader.
    pub term: u64,
    /// Position of the entry directly before `entries`.
    pub previous: LogPosition,
    /// Commit index of the leader.
    pub commit_index: u64,
    /// Send time on the leader's clock, which the reply returns.
    pub sent: ClockTime,
    /// Entries to append, in order.
    pub entries: Vec<LogEntry>,
}

/// Result of an append at a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum AppendResult {
    /// The follower's log is equal to the leader's up to this index.
    Matched(u64),
    /// The follower's log does not contain the previous entry.
    Conflict {
        /// Index of the previous entry in the request, so that the leader can ignore outdated
        /// replies.
        previous: u64,
        /// Last position up to which the two logs may be equal.
        hint: LogPosition,
    },
}

/// One part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Term of the leader.
    pub term: u64,
    /// Send time on the leader's clock, which the reply returns.
    pub sent: ClockTime,
    /// Position of the last entry that the snapshot contains.
    pub last: LogPosition,
    /// Membership in effect at that entry.
    pub members: MemberSet,
    /// Offset of `data` in the snapshot's data, in bytes.
    pub offset: u64,
    /// Length of the snapshot's data, in bytes.
    pub total: u64,
    /// Data of this part. A part without data asks how much the follower has received.
    pub data: Vec<u8>,
}

/// Messages between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Asks whether a vote in the given term would be granted.
    PreVote(VoteRequest),
    /// Reply to `PreVote`.
    PreVoteReply {
        /// Term of the voter.
        term: u64,
        /// Term of the request.
        next_term: u64,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote(VoteRequest),
    /// Reply to `Vote`.
    VoteReply {
        /// Term of the voter.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends entries, or is a heartbeat.
    Append(AppendRequest),
    /// Reply to `Append`.
    AppendReply {
        /// Term of the follower.
        term: u64,
        /// Send time of the request on the leader's clock.
        sent: ClockTime,
        /// Result of the append.
        result: AppendResult,
    },
    /// Sends a part of a snapshot.
    Install(SnapshotPart),
    /// Reply to `Install`.
    InstallReply {
        /// Term of the follower.
        term: u64,
        /// Send time of the request on the leader's clock.
        sent: ClockTime,
        /// Index of the last entry in the snapshot.
        index: u64,
        /// Number of bytes received so far without a gap.
        received: u64,
    },
    /// Tells the receiver to start an election at once, as the leader transfers its leadership.
    StartElection {
        /// Term of the leader.
        term: u64,
    },
}

impl ReplicaMessage {
    /// Returns the term of the sender, or `None` for a pre-vote request, as its term is only a
    /// proposed one.
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
