//! Membership: forming a group, adding an instance, and replacing one that lost its disk.

use super::peer::PeerIntroduction;
use crate::link::LinkKey;
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::replica::{MemberRecord, MemberSet};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time without a link after which a replaced identity counts as gone, in milliseconds.
const REPLACED_IDENTITY_TIMEOUT_MS: u64 = 3_000;

/// What is known of the other control instances.
pub struct MemberController {
    own: PeerIntroduction,
    peers: BTreeSet<SocketAddr>,
    form_group: bool,
    introduced: BTreeMap<NodeId, PeerIntroduction>,
    /// Identities that had an empty folder when they introduced themselves.
    seen_empty: BTreeMap<SocketAddr, MemberRecord>,
    links: BTreeMap<NodeId, LinkKey>,
    unlinked: BTreeMap<NodeId, ClockTime>,
}

impl MemberController {
    /// Starts with nothing but the settings.
    pub fn new(own: PeerIntroduction, peers: &[SocketAddr], form_group: bool) -> Self {
        Self {
            own,
            peers: peers.iter().copied().collect(),
            form_group,
            introduced: BTreeMap::new(),
            seen_empty: BTreeMap::new(),
            links: BTreeMap::new(),
            unlinked: BTreeMap::new(),
        }
    }

    /// How this instance introduces itself.
    pub fn introduction(&self) -> &PeerIntroduction {
        &self.own
    }

    /// Notes that this instance holds a log now.
    pub fn mark_log_written(&mut self) {
        self.own.empty = false;
    }

    /// Notes an introduction.
    pub fn introduce(&mut self, link: LinkKey, peer: PeerIntroduction) {
        let node = peer.record.node;
        if peer.empty {
            self.seen_empty.insert(peer.record.address, peer.record.clone());
        }
        self.links.insert(node, link);
        self.unlinked.remove(&node);
        self.introduced.insert(node, peer);
    }

    /// Notes that a link is gone. Returns the peer if it has no other link.
    pub fn remove_link(&mut self, now: ClockTime, link: LinkKey) -> Option<NodeId> {
        let node = self.links.iter().find(|(_, known)| **known == link).map(|(node, _)| *node)?;
        self.links.remove(&node);
        self.unlinked.insert(node, now);
        Some(node)
    }

    /// The link to a peer.
    pub fn link(&self, node: NodeId) -> Option<LinkKey> {
        self.links.get(&node).copied()
    }

    /// The links to all peers.
    pub fn links(&self) -> impl Iterator<Item = LinkKey> + '_ {
        self.links.values().copied()
    }

    /// The peer at the other end of a link.
    pub fn peer(&self, link: LinkKey) -> Option<NodeId> {
        self.links.iter().find(|(_, known)| **known == link).map(|(node, _)| *node)
    }

    /// URL of an instance for operators and targets.
    pub fn operator_url(&self, node: NodeId) -> Option<String> {
        if node == self.own.record.node {
            return Some(self.own.operator_url.clone());
        }
        self.introduced.get(&node).map(|peer| peer.operator_url.clone())
    }

    /// The members of a new group, once every configured peer has shown an empty folder.
    ///
    /// All instances compute the same set. An instance that finds a peer with a log never forms a
    /// group: its own folder may have been lost.
    pub fn new_group(&self) -> Option<MemberSet> {
        let all_empty = self.peers.iter().all(|address| self.seen_empty.contains_key(address));
        let other_log = self.introduced.values().any(|peer| {
            !peer.empty && !self.seen_empty.values().any(|record| record.node == peer.record.node)
        });
        if !self.form_group || !self.own.empty || !all_empty || other_log {
            return None;
        }
        let peers = self.peers.iter().filter_map(|address| self.seen_empty.get(address));
        Some(MemberSet::of_voters(peers.chain([&self.own.record]).cloned().collect()))
    }

    /// The next membership that the leader should propose, if any.
    ///
    /// An instance with an empty folder is added as a learner and promoted; afterwards the identity
    /// that it replaces, which has the same address, is removed.
    pub fn next_change(&self, now: ClockTime, members: &MemberSet) -> Option<MemberSet> {
        if let Some(learner) = members.learners.iter().find(|record| self.is_linked(record.node)) {
            return Some(members.with_promoted(learner.node));
        }
        if let Some(old) = self.replaced_voter(now, members) {
            return Some(members.without(old));
        }
        let joining = self.introduced.values().find(|peer| {
            let node = peer.record.node;
            peer.empty
                && !members.contains(node)
                && self.is_linked(node)
                && self.peers.contains(&peer.record.address)
        })?;
        Some(members.with_learner(joining.record.clone()))
    }

    /// A voter whose address another voter has taken over.
    fn replaced_voter(&self, now: ClockTime, members: &MemberSet) -> Option<NodeId> {
        let gone = members.voters.iter().find(|record| {
            let taken = members.voters.iter().any(|other| {
                other.address == record.address
                    && other.node != record.node
                    && self.is_linked(other.node)
            });
            taken && record.node != self.own.record.node && self.is_gone(now, record.node)
        })?;
        Some(gone.node)
    }

    fn is_linked(&self, node: NodeId) -> bool {
        self.links.contains_key(&node)
    }

    fn is_gone(&self, now: ClockTime, node: NodeId) -> bool {
        !self.is_linked(node)
            && self
                .unlinked
                .get(&node)
                .is_none_or(|since| now.since(*since) >= REPLACED_IDENTITY_TIMEOUT_MS)
    }
}
