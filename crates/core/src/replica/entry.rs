//! Log entries, snapshots and the state that a replica reads back from its disk.

use super::members::MemberSet;
use crate::keys::NodeId;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum EntryPayload {
    /// First entry of a new leader; it commits the entries of earlier terms.
    Noop,
    /// Command of the state machine, opaque to the log.
    Command(Vec<u8>),
    /// Membership that takes effect when this entry is committed.
    Members(MemberSet),
}

impl EntryPayload {
    /// Approximate encoded size in bytes, for the bounds of messages.
    pub fn size(&self) -> usize {
        match self {
            Self::Noop => 1,
            Self::Command(bytes) => bytes.len() + 4,
            Self::Members(members) => members.size(),
        }
    }
}

/// One record of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log; the first entry has index 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Content.
    pub payload: EntryPayload,
}

/// Index and term of an entry. Two logs with the same position are equal up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LogPosition {
    /// Position in the log.
    pub index: u64,
    /// Term of the entry at that position.
    pub term: u64,
}

/// Current term and the vote given in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct VoteRecord {
    /// Newest term that the replica has seen.
    pub term: u64,
    /// Candidate that got the vote of this term.
    pub voted_for: Option<NodeId>,
}

/// State of the state machine after the entry at `index`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotImage {
    /// Last entry that the image contains.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership in effect at that entry.
    pub members: MemberSet,
    /// Encoded state machine.
    pub data: Arc<[u8]>,
}

/// What a replica has on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct StoredState {
    /// Term and vote.
    pub vote: VoteRecord,
    /// Newest snapshot.
    pub snapshot: Option<SnapshotImage>,
    /// Log entries in order without gaps; may start before the end of the snapshot.
    pub entries: Vec<LogEntry>,
}

impl StoredState {
    /// State of the first replicas of a new deployment.
    ///
    /// Only for a deployment without any earlier replica. A replica that lost its folder starts
    /// from an empty state instead and is added by the leader.
    pub fn initial(members: MemberSet) -> Self {
        let entry = LogEntry { index: 1, term: 1, payload: EntryPayload::Members(members) };
        Self { vote: VoteRecord { term: 1, voted_for: None }, snapshot: None, entries: vec![entry] }
    }

    /// Drops the entries that do not continue the snapshot.
    ///
    /// A crash after the write of an installed snapshot and before the truncation of the log
    /// leaves entries that end before the snapshot or belong to another history.
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
