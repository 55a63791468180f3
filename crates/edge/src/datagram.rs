//! Datagrams between nodes. Each is repeated or superseded by a later one, so a lost datagram
//! delays information but never leads to a wrong decision.

use crate::allowance::{AllowanceUsage, WorkspaceKey};
use crate::facts::FactDigests;
use crate::placement::{
    ActiveRequest, AttemptOutcome, OutputReport, PlacementKey, PlacementRequest, ProcessKey,
    RefusalReason, TargetKey,
};
use crate::register::BallotNumber;
use crate::rollout::RolloutReport;
use crate::status_parts::CompactStatus;
use crate::streams::{StreamGroup, StreamKey, StreamRecord};
use crate::suspects::SuspectReport;
use crate::target_limits::LimitReport;
use crate::target_load::LoadReport;
use crate::targets::TargetNotice;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Size limit of received datagrams, in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Identifies a register value by its ballot and document version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ValueId {
    pub(crate) ballot: BallotNumber,
    pub(crate) version: u64,
}

/// State that a node sends to the others a few times a second.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct NodeStatus {
    pub(crate) process: ProcessKey,
    /// Sequence number, increased with each status of the process.
    pub(crate) sequence: u64,
    pub(crate) address: SocketAddrV4,
    /// Failure domain of the node.
    pub(crate) domain: String,
    /// Identifier of the disk, if the node has one.
    pub(crate) disk: Option<u64>,
    /// Whether this process belongs to the first start of the whole deployment.
    pub(crate) first_start: bool,
    /// Whether the node has run long enough to know the requests of the other nodes.
    pub(crate) warm: bool,
    pub(crate) leaving: bool,
    /// Newest register value known to be chosen.
    pub(crate) applied: Option<ValueId>,
    /// Newest register value accepted by the node's replica.
    pub(crate) accepted: Option<ValueId>,
    /// Addresses of some of the nodes that this node knows.
    pub(crate) peers: Vec<SocketAddrV4>,
    /// Requests of this node that run at targets. Omitted for receivers that are unlikely to become
    /// the placement coordinator.
    pub(crate) active: Option<Vec<ActiveRequest>>,
    /// Whether the node reaches most of the nodes with a disk.
    pub(crate) disk_majority: bool,
    /// Whether the node admits only its guaranteed part of the allowances.
    pub(crate) restricted: bool,
    /// Digests of what the node knows of targets and requests.
    pub(crate) facts: FactDigests,
    /// Usage of the allowances, by workspace.
    pub(crate) used: Vec<(WorkspaceKey, AllowanceUsage)>,
    /// Streams that callers of the node began lately. Omitted for receivers without a disk.
    pub(crate) streams: Vec<StreamGroup>,
    /// Counts of the roll-outs in progress. Omitted for receivers without a disk.
    pub(crate) rollouts: Vec<RolloutReport>,
}

/// Decision of the placement coordinator about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PlacementDecision {
    /// The request is to be sent to the target.
    Grant { target: TargetKey, waited_ms: u64 },
    /// The request is refused.
    Refuse { reason: RefusalReason, retry_after_ms: u64 },
    /// The request waits in the queue of the coordinator.
    Queued,
}

/// Datagram between two nodes.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerDatagram {
    Status(Box<CompactStatus>),
    /// A target announced itself or left.
    Notice(TargetNotice),
    /// Targets crashed under requests, or requests were answered that have a suspect.
    Suspects(Vec<SuspectReport>),
    /// Targets changed the limits that they name.
    Limits(Vec<LimitReport>),
    /// The placement coordinator is to place the request.
    Submit(PlacementRequest),
    /// Reply of the placement coordinator to a submitted request.
    Decision {
        key: PlacementKey,
        decision: PlacementDecision,
    },
    /// The sender no longer waits for the placement of the request.
    Withdraw(PlacementKey),
    /// A target has started to respond to the request.
    Started {
        key: PlacementKey,
        target: TargetKey,
        load: Option<LoadReport>,
    },
    /// The request no longer runs at the target.
    Finished {
        key: PlacementKey,
        target: TargetKey,
        outcome: AttemptOutcome,
        /// Counted output; `None` if it is not counted.
        output: Option<OutputReport>,
        /// Repeated from the start of the response, in case that datagram was lost.
        load: Option<LoadReport>,
    },
    /// A caller of the sender began a stream. The placement coordinator passes the record on.
    Stream(StreamRecord),
    /// Records that the sender passes on or was asked for.
    Streams(Vec<StreamGroup>),
    /// The receiver is to send the records of these streams that it has.
    FindStreams(Vec<StreamKey>),
}

impl PeerDatagram {
    /// Returns the name of the kind of datagram, for metrics.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Status(_) => "status",
            Self::Notice(_) => "notice",
            Self::Suspects(_) => "suspects",
            Self::Limits(_) => "limits",
            Self::Submit(_) => "submit",
            Self::Decision { .. } => "decision",
            Self::Withdraw(_) => "withdraw",
            Self::Started { .. } => "started",
            Self::Finished { .. } => "finished",
            Self::Stream(_) => "stream",
            Self::Streams(_) => "streams",
            Self::FindStreams(_) => "find streams",
        }
    }
}
