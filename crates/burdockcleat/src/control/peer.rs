//! Messages between control instances.

use burdockcleat_core::keys::TargetIdentity;
use burdockcleat_core::registry::TargetAnnouncement;
use burdockcleat_core::replica::{MemberRecord, ReplicaMessage};
use serde::{Deserialize, Serialize};

/// A message between two control instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message on a link.
    Introduce(PeerIntroduction),
    /// A message of the replicated log.
    Replica(ReplicaMessage),
    /// A target announced itself at the sender.
    Announce(Box<TargetAnnouncement>),
    /// A target left at the sender.
    Leave(TargetIdentity),
}

/// Who a control instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerIntroduction {
    /// Identity, address and failure domain.
    pub record: MemberRecord,
    /// URL for operators and targets.
    pub operator_url: String,
    /// Whether the data folder has never held a log.
    pub empty: bool,
}
