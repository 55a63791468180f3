//! Queries and the state dump of a replica.

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
    /// Receives the log but does not vote, or is not a member.
    Learner,
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads the term.
    Leader,
}

/// A leader's view of one other member.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerStatus {
    /// Identity of the member.
    pub node: NodeId,
    /// Whether it counts towards a majority.
    pub voter: bool,
    /// Last entry that it is known to hold.
    pub match_index: u64,
    /// Next entry to send.
    pub next_index: u64,
    /// Bytes of the snapshot sent so far, while one is being sent.
    pub snapshot_offset: Option<u64>,
    /// Milliseconds since its last reply.
    pub last_contact_ms: Option<u64>,
}

/// State of a replica for the dump.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Identity of this replica.
    pub node: NodeId,
    /// Role.
    pub role: ReplicaRole,
    /// Current term.
    pub term: u64,
    /// Known leader.
    pub leader: Option<NodeId>,
    /// Whether this replica may answer as current.
    pub lease_valid: bool,
    /// Whether leadership is being handed over.
    pub transferring: bool,
    /// Last committed entry.
    pub commit_index: u64,
    /// Last entry given to the state machine.
    pub applied_index: u64,
    /// Last entry of the log.
    pub last_index: u64,
    /// Last entry of the snapshot.
    pub snapshot_index: u64,
    /// Members in effect.
    pub members: MemberSet,
    /// Whether the last change of the members is complete.
    pub members_settled: bool,
    /// The other members, at the leader only.
    pub peers: Vec<PeerStatus>,
}

static NO_MEMBERS: MemberSet = MemberSet { voters: Vec::new(), learners: Vec::new() };

impl LogReplica {
    /// Identity of this replica.
    pub fn node(&self) -> NodeId {
        self.config.node
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.vote.term
    }

    /// Leader of the current term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader.filter(|leader| *leader != self.config.node || self.is_leader())
    }

    /// Last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Members in effect: those of the last committed membership entry.
    pub fn members(&self) -> &MemberSet {
        self.log.members(self.commit_index).unwrap_or(&NO_MEMBERS)
    }

    /// Whether the members in effect stay in effect over restarts of all members.
    ///
    /// Before that, the loss of a removed member may leave the others without a majority, so a
    /// removed replica is kept running until the leader reports this.
    pub fn members_settled(&self) -> bool {
        self.log.last_change() <= self.commit_index && self.log.unsealed_members().is_none()
    }

    /// Number of entries after the snapshot.
    pub fn log_length(&self) -> u64 {
        self.log.last().index - self.log.snapshot_index()
    }

    /// Whether leadership is being handed over.
    pub fn is_transferring(&self) -> bool {
        matches!(&self.role, RoleState::Leader(state) if state.transfer_until.is_some())
    }

    pub(super) fn is_voter(&self) -> bool {
        self.members().is_voter(self.config.node)
    }

    /// State for the dump.
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
