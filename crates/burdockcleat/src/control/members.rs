//! Group membership: forming a group, adding an instance, and replacing one that lost its disk.

use super::peer::PeerIntroduction;
use crate::link::LinkKey;
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::replica::{MemberRecord, MemberSet};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time in milliseconds without a link after which an instance whose address was taken over by
/// another one counts as gone.
const REPLACED_IDENTITY_TIMEOUT_MS: u64 = 3_000;

/// Tracks the other control instances and decides on membership changes.
pub struct MemberController {
    own: PeerIntroduction,
    peers: BTreeSet<SocketAddr>,
    form_group: bool,
    introductions: BTreeMap<NodeId, PeerIntroduction>,
    /// Instances that had an empty data folder when they introduced themselves, by address.
    seen_empty: BTreeMap<SocketAddr, MemberRecord>,
    links: BTreeMap<NodeId, LinkKey>,
    /// When the link to each unlinked peer was lost.
    unlinked: BTreeMap<NodeId, ClockTime>,
}

impl MemberController {
    /// Creates a controller that knows only the configured peer addresses.
    pub fn new(own: PeerIntroduction, peers: &[SocketAddr], form_group: bool) -> Self {
        Self {
            own,
            peers: peers.iter().copied().collect(),
            form_group,
            introductions: BTreeMap::new(),
            seen_empty: BTreeMap::new(),
            links: BTreeMap::new(),
            unlinked: BTreeMap::new(),
        }
    }

    /// Returns the introduction that this instance sends to its peers.
    pub fn introduction(&self) -> &PeerIntroduction {
        &self.own
    }

    /// Records that this instance now has a log.
    pub fn mark_log_written(&mut self) {
        self.own.empty = false;
    }

    /// Records a peer's introduction and the link that it arrived on.
    pub fn introduce(&mut self, link: LinkKey, peer: PeerIntroduction) {
        let node = peer.record.node;
        if peer.empty {
            self.seen_empty.insert(peer.record.address, peer.record.clone());
        }
        self.links.insert(node, link);
        self.unlinked.remove(&node);
        self.introductions.insert(node, peer);
    }

    /// Removes a closed link. Returns the peer at its other end, unless that has a newer link.
    pub fn remove_link(&mut self, now: ClockTime, link: LinkKey) -> Option<NodeId> {
        let node = self.links.iter().find(|(_, known)| **known == link).map(|(node, _)| *node)?;
        self.links.remove(&node);
        self.unlinked.insert(node, now);
        Some(node)
    }

    /// Returns the link to a peer.
    pub fn link(&self, node: NodeId) -> Option<LinkKey> {
        self.links.get(&node).copied()
    }

    /// Iterates over the links to all peers.
    pub fn links(&self) -> impl Iterator<Item = LinkKey> + '_ {
        self.links.values().copied()
    }

    /// Returns the peer at the other end of a link.
    pub fn peer(&self, link: LinkKey) -> Option<NodeId> {
        self.links.iter().find(|(_, known)| **known == link).map(|(node, _)| *node)
    }

    /// Returns the URL at which operators and targets reach an instance.
    pub fn operator_url(&self, node: NodeId) -> Option<String> {
        if node == self.own.record.node {
            return Some(self.own.operator_url.clone());
        }
        self.introductions.get(&node).map(|peer| peer.operator_url.clone())
    }

    /// Returns the members of a new group once every configured peer has reported an empty data
    /// folder.
    ///
    /// All instances compute the same set. An instance that meets a peer with a log never forms a
    /// group, since its own data may have been lost.
    pub fn new_group(&self) -> Option<MemberSet> {
        let all_empty = self.peers.iter().all(|address| self.seen_empty.contains_key(address));
        let other_log = self.introductions.values().any(|peer| {
            !peer.empty && !self.seen_empty.values().any(|record| record.node == peer.record.node)
        });
        if !self.form_group || !self.own.empty || !all_empty || other_log {
            return None;
        }
        let peers = self.peers.iter().filter_map(|address| self.seen_empty.get(address));
        Some(MemberSet::of_voters(peers.chain([&self.own.record]).cloned().collect()))
    }

    /// Returns the next membership that the leader should propose, if any.
    ///
    /// An instance with an empty data folder is first added as a learner and then promoted to
    /// voter. Afterwards the instance that it replaces, which has the same address, is removed.
    pub fn next_change(&self, now: ClockTime, members: &MemberSet) -> Option<MemberSet> {
        if let Some(learner) = members.learners.iter().find(|record| self.is_linked(record.node)) {
            return Some(members.with_promoted(learner.node));
        }
        if let Some(old) = self.replaced_voter(now, members) {
            return Some(members.without(old));
        }
        let joining = self.introductions.values().find(|peer| {
            let node = peer.record.node;
            peer.empty
                && !members.contains(node)
                && self.is_linked(node)
                && self.peers.contains(&peer.record.address)
        })?;
        Some(members.with_learner(joining.record.clone()))
    }

    /// Returns a voter that is gone and whose address another linked voter has taken over.
    fn replaced_voter(&self, now: ClockTime, members: &MemberSet) -> Option<NodeId> {
        let gone = members.voters.iter().find(|record| {
            let address_taken = members.voters.iter().any(|other| {
                other.address == record.address
                    && other.node != record.node
                    && self.is_linked(other.node)
            });
            address_taken && record.node != self.own.record.node && self.is_gone(now, record.node)
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
