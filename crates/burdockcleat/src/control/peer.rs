//! Messages between control instances.

use burdockcleat_core::keys::TargetIdentity;
use burdockcleat_core::registry::TargetAnnouncement;
use burdockcleat_core::replica::{MemberRecord, ReplicaMessage};
use serde::{Deserialize, Serialize};

/// A message between two control instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// Introduction of the sender, the first message on a link.
    Introduce(PeerIntroduction),
    /// A message of the replicated log.
    Replica(ReplicaMessage),
    /// Forwards the announcement of a target that called the sender.
    Announce(Box<TargetAnnouncement>),
    /// Forwards that a target has told the sender that it leaves.
    Leave(TargetIdentity),
}

/// Identity and state of a control instance, as it introduces itself to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerIntroduction {
    /// Node id, link address and failure domain.
    pub record: MemberRecord,
    /// URL of the HTTP API for operators and targets.
    pub operator_url: String,
    /// Whether the data folder holds no log yet.
    pub empty: bool,
}
