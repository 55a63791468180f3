//! Log entries, snapshots and the persistent state of a replica.

use super::members::MemberSet;
use crate::keys::NodeId;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum EntryPayload {
    /// First entry of a new leader. Its commit also commits the entries of earlier terms.
    Noop,
    /// Encoded command of the state machine. The log does not interpret it.
    Command(Vec<u8>),
    /// Membership that takes effect when this entry is committed.
    Members(MemberSet),
}

impl EntryPayload {
    /// Returns the approximate encoded size in bytes, which limits the size of messages.
    pub fn size(&self) -> usize {
        match self {
            Self::Noop => 1,
            Self::Command(bytes) => bytes.len() + 4,
            Self::Members(members) => members.size(),
        }
    }
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log; the first entry has index 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Content of the entry.
    pub payload: EntryPayload,
}

/// Index and term of an entry. Two logs that contain the same position are equal up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LogPosition {
    /// Position in the log.
    pub index: u64,
    /// Term of the entry at that position.
    pub term: u64,
}

/// Current term and the vote that the replica granted in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct VoteRecord {
    /// Latest term that the replica has seen.
    pub term: u64,
    /// Candidate that received the vote in this term.
    pub voted_for: Option<NodeId>,
}

/// Snapshot of the state machine after the entry at `index`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotImage {
    /// Index of the last entry that the snapshot contains.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership in effect at that entry.
    pub members: MemberSet,
    /// Encoded state machine.
    pub data: Arc<[u8]>,
}

/// Persistent state of a replica, as read from its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct StoredState {
    /// Current term and vote.
    pub vote: VoteRecord,
    /// Latest snapshot.
    pub snapshot: Option<SnapshotImage>,
    /// Log entries in order and without gaps. They may start before the end of the snapshot.
    pub entries: Vec<LogEntry>,
}

impl StoredState {
    /// Returns the initial state of the first replicas of a new deployment.
    ///
    /// It must not be used if the deployment has ever had replicas. A replica that has lost its
    /// data folder starts from an empty state instead, and the leader adds it.
    pub fn initial(members: MemberSet) -> Self {
        let entry = LogEntry { index: 1, term: 1, payload: EntryPayload::Members(members) };
        Self { vote: VoteRecord { term: 1, voted_for: None }, snapshot: None, entries: vec![entry] }
    }

    /// Removes all entries if they do not connect to the snapshot.
    ///
    /// A crash after the write of a received snapshot and before the truncation of the log leaves
    /// entries that end before the snapshot, or that conflict with it.
    pub fn reconcile(&mut self) {
        let Some(image) = &self.snapshot else { return };
        let first = self.entries.first().map_or(image.index + 1, |entry| entry.index);
        let continues = if first == image.index + 1 {
            true
        } else {
            let held = image.index.checked_sub(first).and_then(|at| usize::try_from(at).ok());
            held.and_then(|at| self.entries.get(at)).is_some_and(|entry| entry.term == image.term)
        };
        if !continues {
            self.entries.clear();
        }
    }
}
