//! Members of the replicated log, and the rule that they change one at a time.

use crate::keys::NodeId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A control instance that has a replica of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// Identity of the data folder.
    pub node: NodeId,
    /// Address for messages between replicas.
    pub address: SocketAddr,
    /// Failure domain of the control instance.
    pub domain: String,
}

/// Voters and learners. Both lists are sorted by node id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct MemberSet {
    /// Replicas that count towards a majority.
    pub voters: Vec<MemberRecord>,
    /// Replicas that receive the log but do not count towards a majority.
    pub learners: Vec<MemberRecord>,
}

impl MemberSet {
    /// Builds a set of voters without learners.
    pub fn of_voters(mut voters: Vec<MemberRecord>) -> Self {
        voters.sort();
        Self { voters, learners: Vec::new() }
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether the node is a voter.
    pub fn is_voter(&self, node: NodeId) -> bool {
        self.voters.iter().any(|member| member.node == node)
    }

    /// Returns whether the node is a voter or a learner.
    pub fn contains(&self, node: NodeId) -> bool {
        self.find(node).is_some()
    }

    /// Returns the record of a member.
    pub fn find(&self, node: NodeId) -> Option<&MemberRecord> {
        self.voters.iter().chain(&self.learners).find(|member| member.node == node)
    }

    /// Returns all members except `node`.
    pub fn others(&self, node: NodeId) -> impl Iterator<Item = NodeId> + '_ {
        let all = self.voters.iter().chain(&self.learners);
        all.map(|member| member.node).filter(move |other| *other != node)
    }

    /// Returns the set with an additional learner. A member with the same node id is replaced.
    #[must_use]
    pub fn with_learner(&self, record: MemberRecord) -> Self {
        let mut members = self.without(record.node);
        members.learners.push(record);
        members.learners.sort();
        members
    }

    /// Returns the set with a learner promoted to voter. It is unchanged if there is no such
    /// learner.
    #[must_use]
    pub fn with_promoted(&self, node: NodeId) -> Self {
        let mut members = self.clone();
        let Some(at) = members.learners.iter().position(|member| member.node == node) else {
            return members;
        };
        let record = members.learners.remove(at);
        members.voters.push(record);
        members.voters.sort();
        members
    }

    /// Returns the set without a node.
    #[must_use]
    pub fn without(&self, node: NodeId) -> Self {
        let mut members = self.clone();
        members.voters.retain(|member| member.node != node);
        members.learners.retain(|member| member.node != node);
        members
    }

    /// Returns the approximate encoded size in bytes.
    pub(super) fn size(&self) -> usize {
        self.voters.iter().chain(&self.learners).map(|member| 40 + member.domain.len()).sum()
    }

    /// Returns the kind of the change from this set to `next`, or `None` if it is not permitted,
    /// such as a change of more than one member.
    pub(super) fn change_to(&self, next: &Self) -> Option<MemberChange> {
        if next.voters.is_empty() || !next.is_well_formed() {
            return None;
        }
        let all = self.voters.iter().chain(&self.learners);
        let next_all = next.voters.iter().chain(&next.learners);
        let mut changed: Vec<NodeId> = all
            .chain(next_all)
            .map(|member| member.node)
            .filter(|node| self.role(*node) != next.role(*node))
            .collect();
        changed.sort_unstable();
        changed.dedup();
        let [node] = changed[..] else { return None };
        match (self.role(node), next.role(node)) {
            (None, Some((false, _))) => Some(MemberChange::AddLearner),
            (Some((false, old)), Some((true, new))) if old == new => {
                Some(MemberChange::Promote(node))
            }
            (Some(_), None) => Some(MemberChange::Remove),
            (Some((was_voter, _)), Some((is_voter, _))) if was_voter == is_voter => {
                Some(MemberChange::Update)
            }
            _ => None,
        }
    }

    /// Returns whether a member is a voter, and its record.
    fn role(&self, node: NodeId) -> Option<(bool, &MemberRecord)> {
        self.find(node).map(|record| (self.is_voter(node), record))
    }

    /// Returns whether no node is listed twice.
    fn is_well_formed(&self) -> bool {
        let mut nodes: Vec<NodeId> =
            self.voters.iter().chain(&self.learners).map(|member| member.node).collect();
        let count = nodes.len();
        nodes.sort_unstable();
        nodes.dedup();
        nodes.len() == count
    }
}

/// Permitted changes from one member set to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemberChange {
    AddLearner,
    Promote(NodeId),
    Remove,
    /// Changes the address or the failure domain of a member.
    Update,
}
