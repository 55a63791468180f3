//! Errors of proposals, leadership transfers and compaction.

use super::MAX_ENTRY_BYTES;
use crate::keys::NodeId;
use thiserror::Error;

/// Reason why an input was refused. A refused input does not change the replica.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum ReplicaError {
    /// This replica is not the leader.
    #[error("this replica is not the leader; known leader: {leader:?}")]
    NotLeader {
        /// Leader of the current term, if known.
        leader: Option<NodeId>,
    },
    /// The leader is transferring its leadership, or is no longer a voter.
    #[error("a leadership transfer is in progress")]
    TransferInProgress,
    /// There is no other voter that could take over the leadership.
    #[error("cannot transfer leadership: there is no other voter")]
    NoSuccessor,
    /// A membership change is not yet committed, or the leader has not committed an entry yet.
    #[error("cannot change members before entry {pending} is committed")]
    ChangeInProgress {
        /// Index of the entry that must be committed first.
        pending: u64,
    },
    /// The proposed membership differs from the current one by more than one permitted change.
    #[error("cannot change members by more than one permitted change at a time")]
    InvalidMemberChange,
    /// The leader would remove itself. It has to transfer its leadership first.
    #[error("cannot remove the leader before it has transferred its leadership")]
    RemovesLeader,
    /// The learner to promote lacks committed entries.
    #[error("cannot promote learner {node}: its log is at entry {matched} of {commit_index}")]
    LearnerBehind {
        /// Learner to promote.
        node: NodeId,
        /// Index of the last entry that the learner is known to have.
        matched: u64,
        /// Commit index of the leader.
        commit_index: u64,
    },
    /// The entry is larger than [`MAX_ENTRY_BYTES`].
    #[error("entry of {size} bytes exceeds the limit of {MAX_ENTRY_BYTES} bytes")]
    EntryTooLarge {
        /// Size of the entry in bytes.
        size: usize,
    },
    /// The snapshot is not between the last snapshot and the last applied entry.
    #[error("cannot compact at entry {index}: it is outside of {first}..={last}")]
    CompactOutOfRange {
        /// Index of the snapshot.
        index: u64,
        /// Lowest permitted index.
        first: u64,
        /// Highest permitted index.
        last: u64,
    },
}
