//! Accessors and the status of a replica for the state dump.

use super::members::MemberSet;
use super::peer::PeerMode;
use super::{LogReplica, RoleState};
use crate::clock::ClockTime;
use crate::keys::NodeId;
use serde::{Deserialize, Serialize};

/// Role of a replica in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaRole {
    /// Is not a voter: a learner, or not a member.
    Learner,
    /// Follows a leader or waits for one.
    Follower,
    /// Is requesting votes or pre-votes.
    Candidate,
    /// Is the leader of the term.
    Leader,
}

/// Status of another member, as known to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerStatus {
    /// Identity of the member.
    pub node: NodeId,
    /// Whether it counts towards a majority.
    pub voter: bool,
    /// Index of the last entry that it is known to have.
    pub match_index: u64,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Number of bytes of the snapshot sent so far, while one is being sent.
    pub snapshot_offset: Option<u64>,
    /// Time since its last reply, in milliseconds.
    pub last_contact_ms: Option<u64>,
}

/// Status of a replica for the state dump.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Identity of this replica.
    pub node: NodeId,
    /// Role in the current term.
    pub role: ReplicaRole,
    /// Current term.
    pub term: u64,
    /// Leader of the current term, if known.
    pub leader: Option<NodeId>,
    /// Whether this replica holds a valid lease as the leader, so that its answers are current.
    pub lease_valid: bool,
    /// Whether this replica is transferring its leadership.
    pub transferring: bool,
    /// Index of the last entry known to be committed.
    pub commit_index: u64,
    /// Index of the last entry returned for application to the state machine.
    pub applied_index: u64,
    /// Index of the last entry in the log.
    pub last_index: u64,
    /// Index of the last entry in the snapshot.
    pub snapshot_index: u64,
    /// Membership in effect.
    pub members: MemberSet,
    /// Whether the last membership change is complete.
    pub members_settled: bool,
    /// Status of the other members. Empty unless this replica is the leader.
    pub peers: Vec<PeerStatus>,
}

static NO_MEMBERS: MemberSet = MemberSet { voters: Vec::new(), learners: Vec::new() };

impl LogReplica {
    /// Returns the identity of this replica.
    pub fn node(&self) -> NodeId {
        self.config.node
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.vote.term
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader.filter(|leader| *leader != self.config.node || self.is_leader())
    }

    /// Returns the index of the last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the membership in effect, which is that of the last committed membership entry.
    pub fn members(&self) -> &MemberSet {
        self.log.members(self.commit_index).unwrap_or(&NO_MEMBERS)
    }

    /// Returns whether the membership stays in effect even if all members restart.
    ///
    /// Until then, the loss of a removed member may leave the others without a majority, so a
    /// removed replica must keep running until the leader reports this.
    pub fn members_settled(&self) -> bool {
        self.log.last_membership_index() <= self.commit_index
            && self.log.unsettled_members().is_none()
    }

    /// Returns the number of entries after the snapshot.
    pub fn log_length(&self) -> u64 {
        self.log.last().index - self.log.snapshot_index()
    }

    /// Returns whether this replica is transferring its leadership.
    pub fn is_transferring(&self) -> bool {
        matches!(&self.role, RoleState::Leader(state) if state.transfer_until.is_some())
    }

    pub(super) fn is_voter(&self) -> bool {
        self.members().is_voter(self.config.node)
    }

    /// Returns the status for the state dump.
    pub fn status(&self, now: ClockTime) -> ReplicaStatus {
        let role = match &self.role {
            RoleState::Leader(_) => ReplicaRole::Leader,
            RoleState::PreCandidate(_) | RoleState::Candidate(_) => ReplicaRole::Candidate,
            RoleState::Follower if self.is_voter() => ReplicaRole::Follower,
            RoleState::Follower => ReplicaRole::Learner,
        };
        ReplicaStatus {
            node: self.config.node,
            role,
            term: self.vote.term,
            leader: self.leader(),
            lease_valid: self.lease_valid(now),
            transferring: self.is_transferring(),
            commit_index: self.commit_index,
            applied_index: self.applied_index,
            last_index: self.log.last().index,
            snapshot_index: self.log.snapshot_index(),
            members: self.members().clone(),
            members_settled: self.members_settled(),
            peers: self.peer_status(now),
        }
    }

    fn peer_status(&self, now: ClockTime) -> Vec<PeerStatus> {
        let RoleState::Leader(state) = &self.role else { return Vec::new() };
        let status_of = |(node, peer): (&NodeId, &super::PeerProgress)| PeerStatus {
            node: *node,
            voter: self.members().is_voter(*node),
            match_index: peer.match_index,
            next_index: peer.next_index,
            snapshot_offset: match &peer.mode {
                PeerMode::Snapshot { offset, .. } => Some(*offset as u64),
                _ => None,
            },
            last_contact_ms: peer.last_contact.map(|contact| now.since(contact)),
        };
        state.peers.iter().map(status_of).collect()
    }
}
