//! Datagrams between nodes. All of them are repeated or replaced by later ones: a lost datagram
//! delays a belief, it never decides anything.

use crate::allowance::{AllowanceUse, WorkspaceKey};
use crate::placement::{
    ActiveRequest, AttemptOutcome, PlacementKey, PlacementRequest, ProcessKey, RefusalReason,
    TargetKey,
};
use crate::register::BallotNumber;
use crate::suspects::FingerprintKey;
use crate::targets::TargetNotice;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Largest datagram that a node reads, in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// A value of the register, by ballot and version of the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ValueMark {
    pub(crate) ballot: BallotNumber,
    pub(crate) version: u64,
}

/// What a node says of itself a few times a second.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct NodeStatus {
    pub(crate) process: ProcessKey,
    /// Increases with each status of the process.
    pub(crate) sequence: u64,
    pub(crate) address: SocketAddrV4,
    /// Number of the disk, if the node has one.
    pub(crate) disk: Option<u64>,
    /// Whether the whole deployment started for the first time with this process.
    pub(crate) first_start: bool,
    /// Whether the node has run long enough to know the others' requests.
    pub(crate) warm: bool,
    pub(crate) leaving: bool,
    /// Newest value known to be chosen.
    pub(crate) applied: Option<ValueMark>,
    /// Newest value accepted by the node's replica.
    pub(crate) accepted: Option<ValueMark>,
    /// Some of the nodes that this one knows.
    pub(crate) peers: Vec<SocketAddrV4>,
    /// Requests of this node that run at targets; left out for nodes that are unlikely to place.
    pub(crate) active: Option<Vec<ActiveRequest>>,
    /// Taken from allowances, by workspace.
    pub(crate) used: Vec<(WorkspaceKey, AllowanceUse)>,
}

/// The placing node's answer about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PlacementDecision {
    /// Send it to the target.
    Grant { target: TargetKey, waited_ms: u64 },
    /// Refuse it.
    Refuse { reason: RefusalReason, retry_after_ms: u64 },
    /// It waits.
    Queued,
}

/// A message between nodes.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerDatagram {
    Status(NodeStatus),
    Notice(TargetNotice),
    /// A target broke while it ran a request.
    Suspect {
        fingerprint: FingerprintKey,
        incarnation: String,
    },
    Submit(PlacementRequest),
    Decision {
        key: PlacementKey,
        decision: PlacementDecision,
    },
    Withdraw(PlacementKey),
    Started {
        key: PlacementKey,
        target: TargetKey,
    },
    Finished {
        key: PlacementKey,
        target: TargetKey,
        outcome: AttemptOutcome,
    },
}
