//! Errors of proposals and hand-overs.

use super::MAX_ENTRY_BYTES;
use crate::keys::NodeId;
use thiserror::Error;

/// Why an input was refused. A refused input changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum ReplicaError {
    /// This replica does not lead.
    #[error("proposing at replica that does not lead; known leader: {leader:?}")]
    NotLeader {
        /// Leader that is known here.
        leader: Option<NodeId>,
    },
    /// The leader is handing over.
    #[error("proposing while leadership is handed over")]
    TransferInProgress,
    /// No other voter exists.
    #[error("handing over leadership without another voter")]
    NoSuccessor,
    /// A membership change is not yet committed, or the leader has not committed an entry yet.
    #[error("changing members before entry {pending} is committed")]
    ChangeInProgress {
        /// Entry to wait for.
        pending: u64,
    },
    /// The proposed membership is not one permitted step from the current one.
    #[error("changing members by more than one permitted step")]
    InvalidMemberChange,
    /// The leader would remove itself; it has to hand over first.
    #[error("removing the leader, which has to hand over first")]
    RemovesLeader,
    /// The learner to promote lacks committed entries.
    #[error("promoting learner {node} with log at {matched} of {commit_index}")]
    LearnerBehind {
        /// Learner.
        node: NodeId,
        /// Last entry that the learner holds.
        matched: u64,
        /// Commit index of the leader.
        commit_index: u64,
    },
    /// The entry is too large.
    #[error("proposing entry of {size} bytes above limit {MAX_ENTRY_BYTES}")]
    EntryTooLarge {
        /// Size of the entry.
        size: usize,
    },
    /// The snapshot is not between the last snapshot and the last applied entry.
    #[error("compacting at entry {index} outside of {first}..={last}")]
    CompactOutOfRange {
        /// Index of the image.
        index: u64,
        /// Lowest permitted index.
        first: u64,
        /// Highest permitted index.
        last: u64,
    },
}
