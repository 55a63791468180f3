//! Replication and commit of entries, and the effects of membership changes.

use super::entry::LogPosition;
use super::log::EntryLog;
use super::message::{AppendRequest, AppendResult, ReplicaMessage};
use super::peer::{PeerProgress, SendContext, append_request};
use super::{EntryPayload, LogReplica, MemberSet, RoleState};
use crate::clock::ClockTime;
use crate::keys::NodeId;

impl LogReplica {
    fn send_context(&self) -> SendContext {
        SendContext {
            term: self.vote.term,
            commit_index: self.commit_index,
            sent: self.now,
            batch_bytes: self.config.batch_bytes,
        }
    }

    /// Adds the messages that can be sent to each peer now to the output.
    pub(super) fn replicate(&mut self) {
        let context = self.send_context();
        let RoleState::Leader(state) = &mut self.role else { return };
        let mut messages = Vec::new();
        for (node, peer) in &mut state.peers {
            peer.collect_messages(&self.log, context, &mut messages);
            let addressed = messages.drain(..).map(|message| (*node, message));
            self.output.messages.extend(addressed);
        }
    }

    pub(super) fn peer_down(&mut self, node: NodeId) {
        if let Some((peer, _)) = self.peer_mut(node) {
            peer.link_lost();
        }
    }

    pub(super) fn peer_mut(&mut self, node: NodeId) -> Option<(&mut PeerProgress, &EntryLog)> {
        let RoleState::Leader(state) = &mut self.role else { return None };
        state.peers.get_mut(&node).map(|peer| (peer, &self.log))
    }

    pub(super) fn persisted(&mut self, position: LogPosition) {
        // The entry may have been overwritten by another leader's while it was being synced.
        if self.log.holds(position) {
            self.persisted_index = self.persisted_index.max(position.index);
            self.advance_commit();
        }
    }

    pub(super) fn receive_append(&mut self, from: NodeId, request: AppendRequest) {
        let sent = request.sent;
        let result = if request.term < self.vote.term {
            conflict_result(&request, LogPosition::default())
        } else {
            self.follow(from);
            self.append_entries(request)
        };
        self.send(from, ReplicaMessage::AppendReply { term: self.vote.term, sent, result });
    }

    fn append_entries(&mut self, request: AppendRequest) -> AppendResult {
        let previous = request.previous;
        let base = self.log.base().index;
        let missing = previous.index > self.log.last().index;
        let differs = self.rules.check_previous_entry && !self.log.holds(previous);
        if previous.index >= base && (missing || differs) {
            let hint = self.log.last_position_within(previous.index, previous.term);
            return conflict_result(&request, hint);
        }
        // Entries up to the base are committed, so they are equal to the leader's.
        let mut matched = previous.index.max(base);
        for entry in request.entries {
            if entry.index <= base {
                continue;
            }
            matched = entry.index;
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => {}
                Some(_) => {
                    self.truncate_from(entry.index);
                    self.push_entry(entry);
                }
                None => self.push_entry(entry),
            }
        }
        self.commit_index = self.commit_index.max(request.commit_index.min(matched));
        AppendResult::Matched(matched)
    }

    pub(super) fn truncate_from(&mut self, index: u64) {
        self.log.truncate_from(index);
        self.persisted_index = self.persisted_index.min(index.saturating_sub(1));
        self.output.append.retain(|entry| entry.index < index);
        let earlier = self.output.truncate_from.unwrap_or(index);
        self.output.truncate_from = Some(index.min(earlier));
    }

    pub(super) fn receive_append_reply(
        &mut self,
        from: NodeId,
        term: u64,
        sent: ClockTime,
        result: AppendResult,
    ) {
        let now = self.now;
        if term != self.vote.term {
            return;
        }
        let Some((peer, log)) = self.peer_mut(from) else { return };
        peer.record_contact(now, sent);
        peer.receive(log, result);
        self.advance_commit();
    }

    /// Advances the commit index to the last entry that a majority has synced.
    ///
    /// A membership entry takes effect when it is committed, so the replicas that hold the entries
    /// after it are counted again under the new membership.
    pub(super) fn advance_commit(&mut self) {
        while let Some(target) = self.next_commit_index() {
            let before = (self.log.last_membership_index() > self.commit_index)
                .then(|| self.members().clone());
            self.commit_index = target;
            if let Some(before) = before
                && *self.members() != before
            {
                self.update_peers(&before);
            }
            self.settle_members();
        }
    }

    /// Appends a committed membership a second time. If the membership does not contain this
    /// leader, it steps down as soon as the second entry is committed.
    ///
    /// A restarted replica knows only that the second to last membership in its log is committed.
    /// Without the second entry it would go back to the old membership. If the leader is then lost
    /// directly after a lost member was replaced, the remaining members have no majority.
    fn settle_members(&mut self) {
        if !self.is_leader() || self.log.last_membership_index() > self.commit_index {
            return;
        }
        if let Some(members) = self.log.unsettled_members().cloned() {
            self.append_as_leader(EntryPayload::Members(members));
        } else if !self.is_voter() {
            let others: Vec<NodeId> = self.members().others(self.config.node).collect();
            for node in others {
                self.send_commit_index(node);
            }
            self.step_down();
            self.leader = None;
        }
    }

    /// Returns the index up to which entries can be committed now, if it is above the commit index.
    fn next_commit_index(&self) -> Option<u64> {
        let RoleState::Leader(state) = &self.role else { return None };
        let members = self.members();
        let mut matches: Vec<u64> = members
            .voters
            .iter()
            .map(|member| {
                if member.node == self.config.node {
                    return self.persisted_index;
                }
                state.peers.get(&member.node).map_or(0, |peer| peer.match_index)
            })
            .collect();
        matches.sort_unstable_by(|a, b| b.cmp(a));
        let held = matches.get(members.majority() - 1).copied()?;
        let own_term = self.log.term_at(held) == Some(self.vote.term);
        if self.rules.commit_current_term_only && !own_term {
            return None;
        }
        let change = self.log.last_membership_index();
        let target = if change > self.commit_index { held.min(change) } else { held };
        (target > self.commit_index).then_some(target)
    }

    /// Sends the commit index to the removed members and updates the list of peers.
    fn update_peers(&mut self, before: &MemberSet) {
        let after = self.members().clone();
        let next = self.log.last().index + 1;
        let gone: Vec<NodeId> =
            before.others(self.config.node).filter(|node| !after.contains(*node)).collect();
        for node in gone {
            self.send_commit_index(node);
        }
        let RoleState::Leader(state) = &mut self.role else { return };
        state.peers.retain(|node, _| after.contains(*node));
        for node in after.others(self.config.node) {
            state.peers.entry(node).or_insert_with(|| PeerProgress::probe(next));
        }
    }

    /// Sends the commit index to a peer without waiting for the next heartbeat.
    ///
    /// This is the last message to a removed member, and the last message from a removed leader.
    fn send_commit_index(&mut self, node: NodeId) {
        let context = self.send_context();
        let Some(peer) = self.peer(node) else { return };
        let next = peer.match_index + 1;
        if self.log.term_at(peer.match_index).is_some() {
            let entries = self.log.batch(next, context.batch_bytes);
            let message = append_request(&self.log, context, next, entries);
            self.send(node, message);
        }
    }
}

fn conflict_result(request: &AppendRequest, hint: LogPosition) -> AppendResult {
    AppendResult::Conflict { previous: request.previous.index, hint }
}
