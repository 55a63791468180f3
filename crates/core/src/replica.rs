//! The replicated log as a pure step machine.
//!
//! [`LogReplica::step`] takes one input and changes the state; [`LogReplica::take_output`] returns
//! what the caller has to do. The caller first writes and syncs vote, snapshot, truncation and
//! appended entries of an output, in this order. It then calls `step` with
//! [`ReplicaInput::Persisted`], and only then sends the messages of that output. A crash at any
//! point of this sequence equals the loss of messages.

mod append;
mod election;
mod entry;
mod error;
mod install;
mod log;
mod members;
mod message;
mod peer;
mod status;

pub use entry::{EntryPayload, LogEntry, LogPosition, SnapshotImage, StoredState, VoteRecord};
pub use error::ReplicaError;
pub use members::{MemberRecord, MemberSet};
pub use message::{AppendRequest, AppendResult, ReplicaMessage, SnapshotPart, VoteRequest};
pub use status::{PeerStatus, ReplicaRole, ReplicaStatus};

use crate::clock::ClockTime;
use crate::keys::NodeId;
use install::PartialSnapshot;
use log::EntryLog;
use members::MemberChange;
use peer::PeerProgress;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Default of [`ReplicaConfig::batch_bytes`].
pub const MAX_BATCH_BYTES: usize = 256 * 1024;

/// Largest entry.
///
/// A configuration document of 7,100 workspaces has about 700 KB.
pub const MAX_ENTRY_BYTES: usize = 4 * 1024 * 1024;

/// Settings of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaConfig {
    /// Identity of this replica's data folder.
    pub node: NodeId,
    /// Shortest election timeout. Also the time without votes after an acknowledged heartbeat.
    pub election_min_ms: u64,
    /// Longest election timeout. A leader without a majority for this time steps down.
    pub election_max_ms: u64,
    /// Time between heartbeats.
    pub heartbeat_ms: u64,
    /// Validity of a lease. It must be below `election_min_ms` by the clock rate error.
    pub lease_ms: u64,
    /// Entries kept in front of a snapshot, so that a follower that is slightly behind needs no
    /// snapshot.
    pub keep_entries: u64,
    /// Largest number of bytes of entries in one append, and of data in one snapshot part. A larger
    /// entry travels alone.
    pub batch_bytes: usize,
    /// Seed of the election timeouts.
    pub seed: u64,
}

impl ReplicaConfig {
    /// The settings of the design for a node.
    pub fn of_node(node: NodeId, seed: u64) -> Self {
        Self {
            node,
            election_min_ms: 600,
            election_max_ms: 1_200,
            heartbeat_ms: 100,
            lease_ms: 500,
            keep_entries: 4_096,
            batch_bytes: MAX_BATCH_BYTES,
            seed,
        }
    }
}

/// Safety rules. All are on; tests switch one off to show that a check detects its absence.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SafetyRules {
    /// A replica votes for one candidate per term.
    pub one_vote_per_term: bool,
    /// A candidate needs a log at least as new as the voter's.
    pub require_up_to_date_log: bool,
    /// A follower appends only after an entry that it holds.
    pub check_previous_entry: bool,
    /// A leader commits by counting replicas only entries of its own term.
    pub commit_current_term_only: bool,
    /// A membership change waits for the one before.
    pub one_member_change: bool,
    /// No vote for the minimum election timeout after an acknowledged heartbeat.
    pub withhold_votes: bool,
    /// No vote for the minimum election timeout after a restart.
    pub withhold_votes_after_restart: bool,
    /// A leader gives up its lease before it hands over.
    pub release_lease_on_transfer: bool,
}

impl Default for SafetyRules {
    fn default() -> Self {
        Self {
            one_vote_per_term: true,
            require_up_to_date_log: true,
            check_previous_entry: true,
            commit_current_term_only: true,
            one_member_change: true,
            withhold_votes: true,
            withhold_votes_after_restart: true,
            release_lease_on_transfer: true,
        }
    }
}

/// Inputs of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReplicaInput {
    /// Time has passed. Expected at least every few 10 ms.
    Tick,
    /// A message arrived.
    Receive {
        /// Sender.
        from: NodeId,
        /// Message.
        message: ReplicaMessage,
    },
    /// Append an entry, at the leader only.
    Propose(EntryPayload),
    /// Hand leadership over to the most up-to-date follower.
    Transfer,
    /// The link to a peer is lost; messages in flight to it may be lost as well.
    PeerDown(NodeId),
    /// All entries up to this position are synced.
    Persisted(LogPosition),
}

/// What the caller must do, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ReplicaOutput {
    /// Term and vote to write.
    pub vote: Option<VoteRecord>,
    /// Snapshot to write.
    pub snapshot: Option<SnapshotImage>,
    /// Whether `snapshot` came from the leader and replaces the state machine.
    pub restore: bool,
    /// Remove all entries from this index on.
    pub truncate_from: Option<u64>,
    /// Entries to append.
    pub append: Vec<LogEntry>,
    /// Messages to send after all of the above is synced, unless they were taken early.
    pub messages: Vec<(NodeId, ReplicaMessage)>,
    /// Entries to apply to the state machine, after a `restore`.
    pub committed: Vec<LogEntry>,
}

impl ReplicaOutput {
    /// Whether something must be written and synced before the messages are sent.
    pub fn needs_sync(&self) -> bool {
        self.vote.is_some()
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || !self.append.is_empty()
    }

    /// Takes the messages that may leave before the sync: the appends of a leader.
    ///
    /// The followers then write while the leader writes. The leader counts its own copy only after
    /// [`ReplicaInput::Persisted`]. After a crash it appends in a later term only, so that no other
    /// entry ever takes the position of one that was sent. This needs its vote on the disk, hence
    /// nothing leaves early together with a vote.
    pub fn take_messages_before_sync(&mut self) -> Vec<(NodeId, ReplicaMessage)> {
        if self.vote.is_some() || self.truncate_from.is_some() || self.restore {
            return Vec::new();
        }
        let is_append = |message: &ReplicaMessage| matches!(message, ReplicaMessage::Append(_));
        self.messages.extract_if(.., |(_, message)| is_append(message)).collect()
    }

    /// The input to give after the append is synced.
    pub fn persisted(&self) -> Option<ReplicaInput> {
        let entry = self.append.last()?;
        let position = LogPosition { index: entry.index, term: entry.term };
        Some(ReplicaInput::Persisted(position))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LeaderState {
    peers: BTreeMap<NodeId, PeerProgress>,
    elected_at: ClockTime,
    heartbeat_at: ClockTime,
    /// Time at which a hand-over that found no successor is given up.
    transfer_until: Option<ClockTime>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RoleState {
    Follower,
    PreCandidate(BTreeSet<NodeId>),
    Candidate(BTreeSet<NodeId>),
    Leader(LeaderState),
}

/// One replica of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LogReplica {
    config: ReplicaConfig,
    rules: SafetyRules,
    now: ClockTime,
    vote: VoteRecord,
    log: EntryLog,
    role: RoleState,
    /// Leader of the current term, as far as known. It may be this node after a hand-over.
    leader: Option<NodeId>,
    commit_index: u64,
    applied_index: u64,
    /// Last entry known to be synced here.
    persisted_index: u64,
    election_at: ClockTime,
    hold_until: ClockTime,
    random: u64,
    partial: Option<PartialSnapshot>,
    output: ReplicaOutput,
}

impl LogReplica {
    /// Opens a replica with the state read from its disk.
    pub fn open(config: ReplicaConfig, stored: StoredState, now: ClockTime) -> Self {
        Self::open_with_rules(config, SafetyRules::default(), stored, now)
    }

    /// Opens a replica with some rules switched off, for tests of the checks.
    pub fn open_with_rules(
        config: ReplicaConfig,
        rules: SafetyRules,
        mut stored: StoredState,
        now: ClockTime,
    ) -> Self {
        stored.reconcile();
        let log = EntryLog::open(stored.snapshot, stored.entries);
        // The replica may have acknowledged a heartbeat just before it stopped.
        let hold_ms = if rules.withhold_votes_after_restart { config.election_min_ms } else { 0 };
        let mut replica = Self {
            now,
            vote: stored.vote,
            role: RoleState::Follower,
            leader: None,
            commit_index: log.snapshot_index(),
            applied_index: log.snapshot_index(),
            persisted_index: log.last().index,
            election_at: now,
            hold_until: now.plus(hold_ms),
            random: config.seed,
            partial: None,
            output: ReplicaOutput::default(),
            log,
            config,
            rules,
        };
        replica.reset_election_timer();
        replica
    }

    /// Takes one input. A proposal returns the position of its entry.
    ///
    /// # Errors
    /// Proposals and hand-overs are refused with a [`ReplicaError`]; other inputs never are.
    pub fn step(
        &mut self,
        now: ClockTime,
        input: ReplicaInput,
    ) -> Result<Option<LogPosition>, ReplicaError> {
        self.now = self.now.max(now);
        match input {
            ReplicaInput::Tick => self.tick(),
            ReplicaInput::Receive { from, message } => self.receive(from, message),
            ReplicaInput::Propose(payload) => return self.propose(payload).map(Some),
            ReplicaInput::Transfer => self.begin_transfer()?,
            ReplicaInput::PeerDown(node) => self.peer_down(node),
            ReplicaInput::Persisted(position) => self.persisted(position),
        }
        self.finish_transfer();
        Ok(None)
    }

    /// Returns what the caller has to do since the last call.
    ///
    /// All proposals since the last call leave in one batch per follower, within the limits of
    /// size and of messages in flight.
    pub fn take_output(&mut self) -> ReplicaOutput {
        self.replicate();
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1) else { break };
            self.output.committed.push(entry.clone());
            self.applied_index += 1;
        }
        std::mem::take(&mut self.output)
    }

    /// The image of the state machine after the entry at `index`, for [`LogReplica::compact`], or
    /// `None` if the log does not hold that entry or it was not handed out as committed.
    pub fn snapshot_at(&self, index: u64, data: Arc<[u8]>) -> Option<SnapshotImage> {
        let members = self.log.members_at(index).filter(|_| index <= self.applied_index)?.clone();
        Some(SnapshotImage { index, term: self.log.term_at(index)?, members, data })
    }

    /// Replaces the log up to `index` by an image of the state machine after that entry.
    ///
    /// # Errors
    /// Fails if the image is older than the last snapshot or contains entries that were not
    /// handed out as committed.
    pub fn compact(&mut self, index: u64, image: Arc<[u8]>) -> Result<(), ReplicaError> {
        let (first, last) = (self.log.snapshot_index() + 1, self.applied_index);
        let out_of_range = ReplicaError::CompactOutOfRange { index, first, last };
        if index < first || index > last {
            return Err(out_of_range);
        }
        let Some(image) = self.snapshot_at(index, image) else { return Err(out_of_range) };
        self.log.compact(image.clone(), self.config.keep_entries);
        self.output.snapshot = Some(image);
        Ok(())
    }

    fn receive(&mut self, from: NodeId, message: ReplicaMessage) {
        if let ReplicaMessage::Vote(request) = &message
            && self.holds_vote(request)
        {
            let reply = ReplicaMessage::VoteReply { term: self.vote.term, granted: false };
            self.send(from, reply);
            return;
        }
        if let Some(term) = message.sender_term()
            && term > self.vote.term
        {
            self.adopt_term(term);
        }
        match message {
            ReplicaMessage::PreVote(request) => self.receive_pre_vote(from, &request),
            ReplicaMessage::PreVoteReply { next_term, granted, .. } => {
                self.receive_pre_vote_reply(from, next_term, granted);
            }
            ReplicaMessage::Vote(request) => self.receive_vote(from, &request),
            ReplicaMessage::VoteReply { term, granted } => {
                self.receive_vote_reply(from, term, granted);
            }
            ReplicaMessage::Append(request) => self.receive_append(from, request),
            ReplicaMessage::AppendReply { term, sent, result } => {
                self.receive_append_reply(from, term, sent, result);
            }
            ReplicaMessage::Install(part) => self.receive_part(from, part),
            ReplicaMessage::InstallReply { term, sent, index, received } => {
                self.receive_part_reply(from, term, sent, (index, received));
            }
            ReplicaMessage::StartElection { term } => self.receive_start_election(from, term),
        }
    }

    fn propose(&mut self, payload: EntryPayload) -> Result<LogPosition, ReplicaError> {
        let RoleState::Leader(state) = &self.role else {
            return Err(ReplicaError::NotLeader { leader: self.leader() });
        };
        // A leader that is removed leads only until its removal is settled.
        if state.transfer_until.is_some() || !self.is_voter() {
            return Err(ReplicaError::TransferInProgress);
        }
        let size = payload.size();
        if size > MAX_ENTRY_BYTES {
            return Err(ReplicaError::EntryTooLarge { size });
        }
        if let EntryPayload::Members(next) = &payload {
            self.check_change(next)?;
        }
        Ok(self.append_own(payload))
    }

    fn check_change(&self, next: &MemberSet) -> Result<(), ReplicaError> {
        if self.rules.one_member_change {
            let pending = self.log.last_change();
            if pending > self.commit_index {
                return Err(ReplicaError::ChangeInProgress { pending });
            }
            // Without a committed entry of its own term the leader may not know of a change that
            // an earlier leader appended.
            if self.log.term_at(self.commit_index) != Some(self.vote.term) {
                return Err(ReplicaError::ChangeInProgress { pending: self.log.last().index });
            }
        }
        let change = self.members().change_to(next).ok_or(ReplicaError::InvalidMemberChange)?;
        if !next.is_voter(self.config.node) {
            return Err(ReplicaError::RemovesLeader);
        }
        let MemberChange::Promote(node) = change else { return Ok(()) };
        let matched = self.peer(node).map_or(0, |peer| peer.match_index);
        if matched < self.commit_index {
            let commit_index = self.commit_index;
            return Err(ReplicaError::LearnerBehind { node, matched, commit_index });
        }
        Ok(())
    }

    fn append_own(&mut self, payload: EntryPayload) -> LogPosition {
        let position = LogPosition { index: self.log.last().index + 1, term: self.vote.term };
        self.push_entry(LogEntry { index: position.index, term: position.term, payload });
        position
    }

    fn push_entry(&mut self, entry: LogEntry) {
        self.output.append.push(entry.clone());
        self.log.push(entry);
    }

    fn peer(&self, node: NodeId) -> Option<&PeerProgress> {
        let RoleState::Leader(state) = &self.role else { return None };
        state.peers.get(&node)
    }

    fn send(&mut self, node: NodeId, message: ReplicaMessage) {
        self.output.messages.push((node, message));
    }
}
