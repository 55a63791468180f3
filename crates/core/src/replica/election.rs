//! Elections, withheld votes, the leader lease and leadership transfer.

use super::message::{ReplicaMessage, VoteRequest};
use super::peer::PeerProgress;
use super::{EntryPayload, LeaderState, LogReplica, ReplicaError, RoleState, VoteRecord};
use crate::clock::ClockTime;
use crate::keys::NodeId;
use std::collections::BTreeSet;

impl LogReplica {
    /// Returns whether this replica is the leader of its term.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// Returns whether this replica is the leader and no other replica can have been elected since.
    ///
    /// This holds while a majority has acknowledged a message that was sent less than `lease_ms`
    /// ago.
    pub fn lease_valid(&self, now: ClockTime) -> bool {
        let RoleState::Leader(state) = &self.role else { return false };
        if self.rules.release_lease_on_transfer && state.transfer_until.is_some() {
            return false;
        }
        let confirmed = self.majority_acknowledged(state, now, None);
        confirmed.is_some_and(|sent| now.since(sent) < self.config.lease_ms)
    }

    pub(super) fn tick(&mut self) {
        if self.is_leader() {
            self.tick_as_leader();
        } else if self.now >= self.election_at && self.may_campaign() {
            self.start_pre_vote();
        }
    }

    /// Returns whether this replica may start an election.
    ///
    /// A removed replica may do so while its log has entries that it does not know to be committed;
    /// its own vote does not count. If it was the leader until its removal and then restarted, its
    /// log can be more up to date than the log of a member that still needs its vote.
    fn may_campaign(&self) -> bool {
        let members = self.members();
        let is_removed = !members.voters.is_empty() && !members.contains(self.config.node);
        self.is_voter() || (is_removed && self.log.last().index > self.commit_index)
    }

    fn tick_as_leader(&mut self) {
        let RoleState::Leader(state) = &self.role else { return };
        let confirmed = self.majority_acknowledged(state, self.now, Some(state.elected_at));
        if confirmed.is_none_or(|sent| self.now.since(sent) > self.config.election_max_ms) {
            self.step_down();
            self.leader = None;
            return;
        }
        let (now, next) = (self.now, self.now.plus(self.config.heartbeat_ms));
        let RoleState::Leader(state) = &mut self.role else { return };
        if state.transfer_until.is_some_and(|until| now > until) {
            state.transfer_until = None;
        }
        if now >= state.heartbeat_at {
            state.heartbeat_at = next;
            state.peers.values_mut().for_each(|peer| peer.heartbeat_due = true);
        }
    }

    /// Returns the latest time such that a majority has acknowledged messages that were sent at
    /// that time or later.
    ///
    /// This node counts with the time `now`, and a peer that has acknowledged nothing with
    /// `default`.
    fn majority_acknowledged(
        &self,
        state: &LeaderState,
        now: ClockTime,
        default: Option<ClockTime>,
    ) -> Option<ClockTime> {
        let members = self.members();
        let mut times: Vec<Option<ClockTime>> = members
            .voters
            .iter()
            .map(|member| {
                if member.node == self.config.node {
                    return Some(now);
                }
                state.peers.get(&member.node).and_then(|peer| peer.acknowledged).or(default)
            })
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(members.majority() - 1).copied().flatten()
    }

    /// Returns whether a vote must be withheld because the current leader may hold a lease.
    ///
    /// The vote is not withheld if that leader has transferred its leadership to the candidate.
    pub(super) fn withholds_vote(&self, request: &VoteRequest) -> bool {
        let is_transfer = request.transfer_from.is_some()
            && request.transfer_from == self.leader
            && request.term == self.vote.term + 1;
        self.rules.withhold_votes && !is_transfer && self.leader_may_hold_lease()
    }

    fn leader_may_hold_lease(&self) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return self.now < self.withhold_votes_until;
        };
        let confirmed = self.majority_acknowledged(state, self.now, None);
        confirmed.is_some_and(|sent| self.now.since(sent) < self.config.election_min_ms)
    }

    /// Becomes a follower of `leader`, restarts the election timeout and withholds votes, as the
    /// caller acknowledges a message of that leader.
    pub(super) fn follow(&mut self, leader: NodeId) {
        self.role = RoleState::Follower;
        self.leader = Some(leader);
        self.withhold_votes_until =
            self.now.plus(self.config.election_min_ms).max(self.withhold_votes_until);
        self.reset_election_timer();
    }

    /// Moves to a later term as a follower without a known leader.
    pub(super) fn adopt_term(&mut self, term: u64) {
        self.write_vote(VoteRecord { term, voted_for: None });
        self.leader = None;
        self.partial = None;
        self.step_down();
    }

    pub(super) fn step_down(&mut self) {
        self.role = RoleState::Follower;
        self.reset_election_timer();
    }

    fn write_vote(&mut self, vote: VoteRecord) {
        self.vote = vote;
        self.output.vote = Some(vote);
    }

    pub(super) fn reset_election_timer(&mut self) {
        let (min, max) = (self.config.election_min_ms, self.config.election_max_ms);
        let span = max.saturating_sub(min);
        let delay = if span == 0 { min } else { min + self.next_random() % (span + 1) };
        self.election_at = self.now.plus(delay);
    }

    /// Returns the next SplitMix64 value, so that a test run can be repeated with the same seed.
    fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn vote_request(&self, term: u64, transfer_from: Option<NodeId>) -> VoteRequest {
        let last = self.log.last();
        VoteRequest { term, last_index: last.index, last_term: last.term, transfer_from }
    }

    fn send_to_voters(&mut self, message: &ReplicaMessage) {
        let voters: Vec<NodeId> = self.members().voters.iter().map(|voter| voter.node).collect();
        for voter in voters {
            if voter != self.config.node {
                self.send(voter, message.clone());
            }
        }
    }

    fn start_pre_vote(&mut self) {
        self.leader = None;
        self.reset_election_timer();
        self.role = RoleState::PreCandidate(BTreeSet::from([self.config.node]));
        let request = self.vote_request(self.vote.term + 1, None);
        self.send_to_voters(&ReplicaMessage::PreVote(request));
        self.count_votes();
    }

    fn start_election(&mut self, transfer_from: Option<NodeId>) {
        let term = self.vote.term + 1;
        self.leader = None;
        self.partial = None;
        self.write_vote(VoteRecord { term, voted_for: Some(self.config.node) });
        self.reset_election_timer();
        self.role = RoleState::Candidate(BTreeSet::from([self.config.node]));
        let request = self.vote_request(term, transfer_from);
        self.send_to_voters(&ReplicaMessage::Vote(request));
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let (RoleState::PreCandidate(granted) | RoleState::Candidate(granted)) = &self.role else {
            return;
        };
        let members = self.members();
        let votes = granted.iter().filter(|node| members.is_voter(**node)).count();
        if votes < members.majority() {
            return;
        }
        match self.role {
            RoleState::PreCandidate(_) => self.start_election(None),
            _ => self.become_leader(),
        }
    }

    fn become_leader(&mut self) {
        let next = self.log.last().index + 1;
        let others = self.members().others(self.config.node);
        let peers = others.map(|node| (node, PeerProgress::probe(next))).collect();
        self.role = RoleState::Leader(LeaderState {
            peers,
            elected_at: self.now,
            heartbeat_at: self.now,
            transfer_until: None,
        });
        self.leader = Some(self.config.node);
        self.append_as_leader(EntryPayload::Noop);
    }

    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let last = self.log.last();
        !self.rules.require_up_to_date_log
            || (request.last_term, request.last_index) >= (last.term, last.index)
    }

    pub(super) fn receive_pre_vote(&mut self, from: NodeId, request: &VoteRequest) {
        let granted = request.term > self.vote.term
            && self.is_up_to_date(request)
            && !self.withholds_vote(request);
        let (term, next_term) = (self.vote.term, request.term);
        self.send(from, ReplicaMessage::PreVoteReply { term, next_term, granted });
    }

    pub(super) fn receive_pre_vote_reply(&mut self, from: NodeId, next_term: u64, granted: bool) {
        let RoleState::PreCandidate(votes) = &mut self.role else { return };
        if granted && next_term == self.vote.term + 1 {
            votes.insert(from);
            self.count_votes();
        }
    }

    pub(super) fn receive_vote(&mut self, from: NodeId, request: &VoteRequest) {
        let free = !self.rules.one_vote_per_term
            || self.vote.voted_for.is_none_or(|candidate| candidate == from);
        let granted = request.term == self.vote.term
            && free
            && self.leader.is_none()
            && self.is_up_to_date(request);
        if granted {
            if self.vote.voted_for != Some(from) {
                self.write_vote(VoteRecord { term: request.term, voted_for: Some(from) });
            }
            self.reset_election_timer();
        }
        self.send(from, ReplicaMessage::VoteReply { term: self.vote.term, granted });
    }

    pub(super) fn receive_vote_reply(&mut self, from: NodeId, term: u64, granted: bool) {
        let RoleState::Candidate(votes) = &mut self.role else { return };
        if granted && term == self.vote.term {
            votes.insert(from);
            self.count_votes();
        }
    }

    pub(super) fn receive_start_election(&mut self, from: NodeId, term: u64) {
        if term == self.vote.term && self.leader == Some(from) && self.is_voter() {
            self.start_election(Some(from));
        }
    }

    pub(super) fn begin_transfer(&mut self) -> Result<(), ReplicaError> {
        let until = self.now.plus(self.config.election_max_ms);
        let has_successor = self.members().voters.len() > 1;
        let leader = self.leader();
        let RoleState::Leader(state) = &mut self.role else {
            return Err(ReplicaError::NotLeader { leader });
        };
        if !has_successor {
            return Err(ReplicaError::NoSuccessor);
        }
        state.transfer_until.get_or_insert(until);
        Ok(())
    }

    /// Completes a leadership transfer once all entries are committed and a voter has all of them.
    ///
    /// The leader becomes a follower when it sends the message. It cannot get its lease back in
    /// this term, so the message may arrive with any delay.
    pub(super) fn finish_transfer(&mut self) {
        let last = self.log.last().index;
        let RoleState::Leader(state) = &self.role else { return };
        if state.transfer_until.is_none() || self.commit_index < last {
            return;
        }
        let members = self.members();
        let ready = state
            .peers
            .iter()
            .filter(|(node, peer)| members.is_voter(**node) && peer.match_index == last);
        let Some((&successor, _)) = ready.max_by_key(|(_, peer)| peer.last_contact) else {
            return;
        };
        self.send(successor, ReplicaMessage::StartElection { term: self.vote.term });
        if self.rules.release_lease_on_transfer {
            self.step_down();
        }
    }
}
