//! The replicated log: a Raft replica as a deterministic state machine without I/O.
//!
//! It implements pre-votes, leader leases, leadership transfer, learners, snapshots, and membership
//! changes of one member at a time. A new membership takes effect when its entry is committed.
//!
//! [`LogReplica::step`] takes one input and changes the state. [`LogReplica::take_output`] returns
//! what the caller has to do:
//!
//! 1. Write and sync the vote, the snapshot, the truncation and the appended entries, in this order.
//! 2. Call `step` with [`ReplicaInput::Persisted`].
//! 3. Send the messages.
//!
//! A crash at any point of this sequence has the same effect as lost messages.

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

/// Default of [`ReplicaConfig::batch_bytes`], in bytes.
pub const MAX_BATCH_BYTES: usize = 256 * 1024;

/// Largest permitted entry, in bytes.
///
/// A configuration document of 7,100 workspaces has about 700 KB.
pub const MAX_ENTRY_BYTES: usize = 4 * 1024 * 1024;

/// Settings of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaConfig {
    /// Identity of this replica's data folder.
    pub node: NodeId,
    /// Shortest election timeout. A replica also grants no vote for this long after it has
    /// acknowledged a heartbeat.
    pub election_min_ms: u64,
    /// Longest election timeout. A leader that hears from no majority for this long steps down.
    pub election_max_ms: u64,
    /// Time between heartbeats.
    pub heartbeat_ms: u64,
    /// Duration of a lease. It must be shorter than `election_min_ms` by at least the error of the
    /// clock rates.
    pub lease_ms: u64,
    /// Number of entries before the end of a snapshot that stay in the log, so that a follower that
    /// is slightly behind needs no snapshot.
    pub keep_entries: u64,
    /// Largest number of bytes of entries in one append, and of data in one snapshot part. A larger
    /// entry is sent in an append of its own.
    pub batch_bytes: usize,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

impl ReplicaConfig {
    /// Returns the default settings for a node.
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

/// Safety rules of the protocol. All are enabled; tests disable one at a time to show that their
/// checks detect the resulting violation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SafetyRules {
    /// A replica votes for at most one candidate per term.
    pub one_vote_per_term: bool,
    /// A replica votes only for a candidate whose log is at least as up to date as its own.
    pub require_up_to_date_log: bool,
    /// A follower accepts an append only if its log contains the entry before the new ones.
    pub check_previous_entry: bool,
    /// A leader counts replicas only for entries of its own term; earlier entries are committed
    /// with them.
    pub commit_current_term_only: bool,
    /// A membership change is refused until the previous one is committed.
    pub one_member_change: bool,
    /// A replica grants no vote for the minimum election timeout after it acknowledged a heartbeat.
    pub withhold_votes: bool,
    /// A replica grants no vote for the minimum election timeout after a restart.
    pub withhold_votes_after_restart: bool,
    /// A leader gives up its lease before it transfers its leadership.
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
    /// Checks the timers. The caller sends it at least once every few tens of milliseconds.
    Tick,
    /// Handles a message from another replica.
    Receive {
        /// Sender of the message.
        from: NodeId,
        /// The message.
        message: ReplicaMessage,
    },
    /// Appends an entry. Only the leader accepts it.
    Propose(EntryPayload),
    /// Transfers the leadership to a voter that has the whole log.
    Transfer,
    /// Reports that the link to a peer is lost. Messages in flight to the peer may be lost too.
    PeerDown(NodeId),
    /// Reports that all entries up to this position are synced to disk.
    Persisted(LogPosition),
}

/// Work for the caller, to be done in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ReplicaOutput {
    /// Term and vote to write.
    pub vote: Option<VoteRecord>,
    /// Snapshot to write.
    pub snapshot: Option<SnapshotImage>,
    /// Whether `snapshot` came from the leader, so that the state machine is restored from it.
    pub restore: bool,
    /// First index of the entries to remove from the end of the log.
    pub truncate_from: Option<u64>,
    /// Entries to append to the log.
    pub append: Vec<LogEntry>,
    /// Messages to send after all of the above is synced, except for those that
    /// [`Self::take_messages_before_sync`] returned.
    pub messages: Vec<(NodeId, ReplicaMessage)>,
    /// Entries to apply to the state machine, after a `restore`.
    pub committed: Vec<LogEntry>,
}

impl ReplicaOutput {
    /// Returns whether something must be written and synced before the messages are sent.
    pub fn needs_sync(&self) -> bool {
        self.vote.is_some()
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || !self.append.is_empty()
    }

    /// Removes and returns the messages that may be sent before the sync: the appends of a leader.
    ///
    /// The followers then write their copies at the same time as the leader. The leader counts its
    /// own copy only after [`ReplicaInput::Persisted`]. After a crash it appends only in a later
    /// term, so no other entry can get the index and term of one that was already sent. This holds
    /// only if its vote is on the disk, so an output with a vote has no such messages.
    pub fn take_messages_before_sync(&mut self) -> Vec<(NodeId, ReplicaMessage)> {
        if self.vote.is_some() || self.truncate_from.is_some() || self.restore {
            return Vec::new();
        }
        let is_append = |message: &ReplicaMessage| matches!(message, ReplicaMessage::Append(_));
        self.messages.extract_if(.., |(_, message)| is_append(message)).collect()
    }

    /// Returns the input for [`LogReplica::step`] after the appended entries are synced.
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
    /// Time of the next heartbeat.
    heartbeat_at: ClockTime,
    /// Time at which a leadership transfer is abandoned if no voter could take over.
    transfer_until: Option<ClockTime>,
}

/// Role of a replica. A candidate holds the nodes that have granted their vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RoleState {
    Follower,
    PreCandidate(BTreeSet<NodeId>),
    Candidate(BTreeSet<NodeId>),
    Leader(LeaderState),
}

/// One replica of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LogReplica {
    config: ReplicaConfig,
    rules: SafetyRules,
    now: ClockTime,
    vote: VoteRecord,
    log: EntryLog,
    role: RoleState,
    /// Leader of the current term, if known. It may still be this node after it has transferred its
    /// leadership.
    leader: Option<NodeId>,
    commit_index: u64,
    applied_index: u64,
    /// Last entry that is known to be synced to this replica's disk.
    persisted_index: u64,
    /// End of the election timeout.
    election_at: ClockTime,
    withhold_votes_until: ClockTime,
    /// State of the random number generator.
    random: u64,
    partial: Option<PartialSnapshot>,
    output: ReplicaOutput,
}

impl LogReplica {
    /// Opens a replica with the state read from its disk.
    pub fn open(config: ReplicaConfig, stored: StoredState, now: ClockTime) -> Self {
        Self::open_with_rules(config, SafetyRules::default(), stored, now)
    }

    /// Opens a replica with some safety rules disabled, for tests.
    pub fn open_with_rules(
        config: ReplicaConfig,
        rules: SafetyRules,
        mut stored: StoredState,
        now: ClockTime,
    ) -> Self {
        stored.reconcile();
        let log = EntryLog::open(stored.snapshot, stored.entries);
        // The replica may have acknowledged a heartbeat, and so extended a lease, just before it
        // stopped.
        let withhold_ms =
            if rules.withhold_votes_after_restart { config.election_min_ms } else { 0 };
        let mut replica = Self {
            now,
            vote: stored.vote,
            role: RoleState::Follower,
            leader: None,
            commit_index: log.snapshot_index(),
            applied_index: log.snapshot_index(),
            persisted_index: log.last().index,
            election_at: now,
            withhold_votes_until: now.plus(withhold_ms),
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

    /// Handles one input. A proposal returns the position of its entry.
    ///
    /// # Errors
    /// Returns a [`ReplicaError`] if a proposal or a leadership transfer is refused. Other inputs
    /// never fail.
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

    /// Returns the work for the caller that has accumulated since the last call.
    ///
    /// All proposals since the last call are sent to each follower in one batch, within the limits
    /// on the size and on the messages in flight.
    pub fn take_output(&mut self) -> ReplicaOutput {
        self.replicate();
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1) else { break };
            self.output.committed.push(entry.clone());
            self.applied_index += 1;
        }
        std::mem::take(&mut self.output)
    }

    /// Builds a snapshot from `data`, the encoded state machine after the entry at `index`.
    ///
    /// Returns `None` if the log does not contain that entry, or if [`LogReplica::take_output`] has
    /// not yet returned it as committed.
    pub fn snapshot_at(&self, index: u64, data: Arc<[u8]>) -> Option<SnapshotImage> {
        let members = self.log.members_at(index).filter(|_| index <= self.applied_index)?.clone();
        Some(SnapshotImage { index, term: self.log.term_at(index)?, members, data })
    }

    /// Replaces the log up to `index` by a snapshot of the state machine after that entry.
    ///
    /// # Errors
    /// Fails if the new snapshot is not newer than the last one, or if it contains entries that
    /// [`LogReplica::take_output`] has not yet returned as committed.
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
            && self.withholds_vote(request)
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
        // A leader that is no longer a voter leads only until its removal is final.
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
        Ok(self.append_as_leader(payload))
    }

    fn check_change(&self, next: &MemberSet) -> Result<(), ReplicaError> {
        if self.rules.one_member_change {
            let pending = self.log.last_membership_index();
            if pending > self.commit_index {
                return Err(ReplicaError::ChangeInProgress { pending });
            }
            // Until an entry of its own term is committed, the leader may not know whether a change
            // that an earlier leader appended is committed.
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

    fn append_as_leader(&mut self, payload: EntryPayload) -> LogPosition {
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
