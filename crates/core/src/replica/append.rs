//! Replication of entries, commit and changes of the members.

use super::entry::LogPosition;
use super::log::EntryLog;
use super::message::{AppendRequest, AppendResult, ReplicaMessage};
use super::peer::{LeaderMark, PeerProgress, append_of};
use super::{EntryPayload, LogReplica, MemberSet, RoleState};
use crate::clock::ClockTime;
use crate::keys::NodeId;

impl LogReplica {
    fn mark(&self) -> LeaderMark {
        LeaderMark {
            term: self.vote.term,
            commit_index: self.commit_index,
            sent: self.now,
            batch_bytes: self.config.batch_bytes,
        }
    }

    /// Queues for each peer what can be sent to it now.
    pub(super) fn replicate(&mut self) {
        let mark = self.mark();
        let RoleState::Leader(state) = &mut self.role else { return };
        let mut messages = Vec::new();
        for (node, peer) in &mut state.peers {
            peer.plan(&self.log, mark, &mut messages);
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
        // The entry may have been replaced while it was written.
        if self.log.holds(position) {
            self.persisted_index = self.persisted_index.max(position.index);
            self.advance_commit();
        }
    }

    pub(super) fn receive_append(&mut self, from: NodeId, request: AppendRequest) {
        let sent = request.sent;
        let result = if request.term < self.vote.term {
            conflict_of(&request, LogPosition::default())
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
            let hint = self.log.position_below(previous.index, previous.term);
            return conflict_of(&request, hint);
        }
        // Entries up to the base are committed, so they equal the leader's.
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
        peer.contact(now, sent);
        peer.receive(log, result);
        self.advance_commit();
    }

    /// Commits what a majority holds.
    ///
    /// A membership entry takes effect when it is committed, so entries after it are counted
    /// again under the new members.
    pub(super) fn advance_commit(&mut self) {
        while let Some(target) = self.committable() {
            let before =
                (self.log.last_change() > self.commit_index).then(|| self.members().clone());
            self.commit_index = target;
            if let Some(before) = before
                && *self.members() != before
            {
                self.members_changed(&before);
            }
            self.settle_members();
        }
    }

    /// Repeats a committed membership in a second entry, and leads no longer than until that entry
    /// is committed if this node is removed.
    ///
    /// A restarted replica takes the last membership but one as committed. Without the second
    /// entry it would return to the membership before, and the rest of the members could be
    /// without a majority if the leader is lost directly after a repair.
    fn settle_members(&mut self) {
        if !self.is_leader() || self.log.last_change() > self.commit_index {
            return;
        }
        if let Some(members) = self.log.unsealed_members().cloned() {
            self.append_own(EntryPayload::Members(members));
        } else if !self.is_voter() {
            let others: Vec<NodeId> = self.members().others(self.config.node).collect();
            for node in others {
                self.send_commit(node);
            }
            self.step_down();
            self.leader = None;
        }
    }

    fn committable(&self) -> Option<u64> {
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
        let change = self.log.last_change();
        let target = if change > self.commit_index { held.min(change) } else { held };
        (target > self.commit_index).then_some(target)
    }

    fn members_changed(&mut self, before: &MemberSet) {
        let after = self.members().clone();
        let next = self.log.last().index + 1;
        let gone: Vec<NodeId> =
            before.others(self.config.node).filter(|node| !after.contains(*node)).collect();
        for node in gone {
            self.send_commit(node);
        }
        let RoleState::Leader(state) = &mut self.role else { return };
        state.peers.retain(|node, _| after.contains(*node));
        for node in after.others(self.config.node) {
            state.peers.entry(node).or_insert_with(|| PeerProgress::probe(next));
        }
    }

    /// Tells a peer the commit index outside of the regular schedule.
    ///
    /// A removed member gets nothing further from the leader, and a removed leader sends nothing
    /// further.
    fn send_commit(&mut self, node: NodeId) {
        let mark = self.mark();
        let Some(peer) = self.peer(node) else { return };
        let next = peer.match_index + 1;
        if self.log.term_at(peer.match_index).is_some() {
            let entries = self.log.batch(next, mark.batch_bytes);
            let message = append_of(&self.log, mark, next, entries);
            self.send(node, message);
        }
    }
}

fn conflict_of(request: &AppendRequest, hint: LogPosition) -> AppendResult {
    AppendResult::Conflict { previous: request.previous.index, hint }
}
