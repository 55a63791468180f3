//! The control thread: feeds events to the replicated log, applies what is committed, and runs
//! the controllers.

use super::config::ConfigController;
use super::event::ControlEvent;
use super::members::MemberController;
use super::metrics::ControlMetrics;
use super::orders::{OrderController, OrderSender, SEND_WITHIN_MS};
use super::peer::{PeerIntroduction, PeerMessage};
use super::replies::ReplyController;
use crate::link::LinkHandle;
use crate::settings::ControlSettings;
use crate::storage::{LogStorage, StorageError};
use burdockcleat_core::admission::{AdmissionController, StepTime};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::document::ConfigDocument;
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::message::{ControlMessage, decode_frame, encode_frame};
use burdockcleat_core::registry::TargetRegistry;
use burdockcleat_core::replica::{
    EntryPayload, LogEntry, LogPosition, LogReplica, MemberRecord, ReplicaConfig, ReplicaError,
    ReplicaInput, ReplicaMessage, StoredState,
};
use burdockcleat_core::state::{
    CommandReply, DocumentReply, ReplicatedState, SnapshotError, StampedCommand, StateCommand,
};
use std::collections::VecDeque;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Interval of the log's timer.
const LOG_TICK_MS: u64 = 20;
/// Interval of the controllers' timers.
const CONTROLLER_TICK_MS: u64 = 50;
/// Interval at which the leader looks for a membership change.
const MEMBER_TICK_MS: u64 = 200;
/// Events that are handled before their output is synced and sent, so that a burst shares syncs.
const MAX_EVENTS_PER_FLUSH: usize = 2_000;
/// Part of `compact-after` that a snapshot keeps at most for followers that are slightly behind, as
/// a divisor. Without it, a low bound would keep 4,096 records and take none away.
const KEPT_SHARE: u64 = 4;

/// A fault that stops the control thread.
#[derive(Debug)]
#[derive(Error)]
pub enum NodeError {
    /// The data folder cannot be read or written.
    #[error("using the data folder")]
    Storage(#[from] StorageError),
    /// A snapshot cannot be read.
    #[error("restoring the state from a snapshot")]
    Snapshot(#[from] SnapshotError),
    /// A committed record cannot be read, which means that another version wrote it.
    #[error("decoding log record {index}")]
    Record {
        /// Index of the record.
        index: u64,
        /// What the codec reported.
        #[source]
        source: burdockcleat_core::message::FrameError,
    },
}

/// All state of a control instance.
pub struct ControlNode {
    pub(super) settings: ControlSettings,
    pub(super) link: LinkHandle,
    pub(super) storage: LogStorage,
    pub(super) replica: LogReplica,
    pub(super) state: ReplicatedState,
    pub(super) members: MemberController,
    pub(super) config: ConfigController,
    pub(super) replies: ReplyController,
    pub(super) orders: OrderController,
    pub(super) metrics: ControlMetrics,
    /// Targets, while this instance follows. The admission holds them while it leads.
    pub(super) followed: TargetRegistry,
    /// Present while this instance leads and has committed a record of its term.
    pub(super) admission: Option<AdmissionController>,
    /// Since when this instance leads with a committed record.
    pub(super) leading_since: ClockTime,
    /// The configuration in force, as the leader last parsed it.
    pub(super) document: ConfigDocument,
    /// Commands of the admission that the log does not take during a transfer of leadership.
    pub(super) backlog: VecDeque<StateCommand>,
    stopping: Option<Sender<()>>,
    pub(super) events: Sender<ControlEvent>,
    /// Whether a snapshot is being encoded and written.
    pub(super) encoding: bool,
    next_log_tick: ClockTime,
    next_controller_tick: ClockTime,
    next_member_tick: ClockTime,
}

impl ControlNode {
    /// Reads the data folder.
    ///
    /// # Errors
    /// Fails if the folder or the snapshot cannot be read.
    pub fn open(
        settings: ControlSettings,
        link: LinkHandle,
        storage: LogStorage,
        stored: StoredState,
        orders: OrderSender,
        events: Sender<ControlEvent>,
    ) -> Result<Self, NodeError> {
        let now = ClockTime::monotonic();
        let empty = stored.entries.is_empty() && stored.snapshot.is_none();
        let state = match &stored.snapshot {
            Some(image) => ReplicatedState::restore(&image.data)?,
            None => ReplicatedState::open(),
        };
        let record = MemberRecord {
            node: storage.node(),
            address: settings.link_address,
            domain: settings.failure_domain.clone(),
        };
        let operator_url = settings.operator_url.clone();
        let me = PeerIntroduction { record, operator_url, empty };
        let members = MemberController::open(me, &settings.peers, settings.form_group);
        let config = replica_config(&settings, storage.node());
        let mut node = Self {
            replica: LogReplica::open(config, stored, now),
            link,
            storage,
            state,
            members,
            config: ConfigController::default(),
            replies: ReplyController::default(),
            orders: OrderController::open(&settings.order_issuer, orders),
            metrics: ControlMetrics::open(),
            followed: TargetRegistry::default(),
            admission: None,
            leading_since: now,
            document: ConfigDocument::default(),
            settings,
            backlog: VecDeque::new(),
            stopping: None,
            events,
            encoding: false,
            next_log_tick: now,
            next_controller_tick: now,
            next_member_tick: now,
        };
        node.form_group()?;
        Ok(node)
    }

    /// Handles events until the process stops.
    ///
    /// # Errors
    /// Stops if the data folder fails: an instance that cannot sync must not acknowledge.
    ///
    /// Events of `urgent` are handled before those of `inbox`, so that dumps answer under load.
    pub fn run(
        &mut self,
        inbox: &Receiver<ControlEvent>,
        urgent: &Receiver<ControlEvent>,
    ) -> Result<(), NodeError> {
        loop {
            let now = ClockTime::monotonic();
            let next = self.next_log_tick.min(self.next_controller_tick);
            match inbox.recv_timeout(Duration::from_millis(next.since(now).max(1))) {
                Ok(event) => self.handle(event)?,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            for _ in 0..MAX_EVENTS_PER_FLUSH {
                while let Ok(event) = urgent.try_recv() {
                    self.handle(event)?;
                }
                let Ok(event) = inbox.try_recv() else { break };
                self.handle(event)?;
            }
            self.tick();
            self.flush()?;
            if self.stopped() {
                return Ok(());
            }
        }
    }

    fn handle(&mut self, event: ControlEvent) -> Result<(), NodeError> {
        match event {
            ControlEvent::Link(event) => self.handle_link(event)?,
            ControlEvent::Call { call, reply } => self.handle_call(call, reply),
            ControlEvent::SnapshotStaged(result) => {
                let (image, staged) = result?;
                self.switch_snapshot(image, staged);
            }
            ControlEvent::OrderAnswered(answer) => {
                if let Some(command) = self.orders.answered(answer) {
                    self.propose(command);
                }
            }
            ControlEvent::Stop(done) => {
                log::info!(event = "control_stopping"; "handing over leadership");
                // Without another voter there is nobody to hand over to.
                let _ = self.replica.step(ClockTime::monotonic(), ReplicaInput::Transfer);
                self.stopping = Some(done);
            }
        }
        Ok(())
    }

    /// Whether a requested stop may happen: this instance no longer leads, or cannot hand over.
    fn stopped(&mut self) -> bool {
        let Some(done) = &self.stopping else { return false };
        if self.replica.is_leader() && self.replica.is_transferring() {
            return false;
        }
        let _ = done.send(());
        true
    }

    pub(super) fn propose(&mut self, command: StateCommand) -> Option<LogPosition> {
        match self.try_propose(command) {
            Ok(position) => position,
            Err(error) => {
                log::debug!(event = "proposal_refused"; "{error}");
                None
            }
        }
    }

    fn try_propose(&mut self, command: StateCommand) -> Result<Option<LogPosition>, ReplicaError> {
        let stamped = StampedCommand { at: ClockTime::wall(), command };
        let payload = EntryPayload::Command(encode_frame(&stamped));
        let position = self.replica.step(ClockTime::monotonic(), ReplicaInput::Propose(payload))?;
        if let Some(position) = position {
            self.metrics.note_proposal(position.index);
        }
        Ok(position)
    }

    /// Sends messages after a record that is appended now is committed.
    pub(super) fn confirm(&mut self, messages: Vec<(NodeId, ControlMessage)>) {
        // A record that overtook the backlog would confirm reports that are not in the log yet.
        if messages.is_empty() || !self.backlog.is_empty() {
            return;
        }
        if let Some(position) = self.propose(StateCommand::Barrier) {
            self.replies.hold_messages(position, messages);
        }
    }

    pub(super) fn send_entry(&mut self, node: NodeId, message: &ControlMessage) {
        if let Some(entry) = self.config.entry_mut(node) {
            self.link.send(entry.link, encode_frame(message));
        }
    }

    fn tick(&mut self) {
        let now = ClockTime::monotonic();
        if now >= self.next_log_tick {
            self.next_log_tick = now.plus(LOG_TICK_MS);
            // A tick is never refused.
            let _ = self.replica.step(now, ReplicaInput::Tick);
        }
        if !self.replica.is_leader() {
            self.stop_leading();
        }
        if now >= self.next_controller_tick {
            self.next_controller_tick = now.plus(CONTROLLER_TICK_MS);
            self.tick_controllers(now);
        }
        if now >= self.next_member_tick {
            self.next_member_tick = now.plus(MEMBER_TICK_MS);
            self.change_members(now);
        }
    }

    fn tick_controllers(&mut self, now: ClockTime) {
        let Some(admission) = &mut self.admission else {
            // The pools of a later leadership learn of silent targets from the records.
            let _ = self.followed.tick(now);
            return;
        };
        admission.tick(step_time(), &self.state);
        // The rest of the lease must outlast the time from here to the send.
        let lease = self.replica.lease_valid(now.plus(SEND_WITHIN_MS));
        if let (true, Some(admission)) = (lease, &self.admission) {
            for command in self.orders.send_due(now, &self.state, admission.registry()) {
                self.propose(command);
            }
        }
        self.push_config(now);
    }

    /// Persists, sends and applies until there is nothing left to do.
    fn flush(&mut self) -> Result<(), NodeError> {
        loop {
            self.drain_admission();
            let mut output = self.replica.take_output();
            let idle =
                !output.needs_sync() && output.messages.is_empty() && output.committed.is_empty();
            if idle {
                return Ok(());
            }
            if output.needs_sync() {
                for (node, message) in output.take_messages_before_sync() {
                    self.send_peer(node, message);
                }
                let started = Instant::now();
                self.storage.persist(&output)?;
                self.metrics.record_sync(started.elapsed());
                self.members.note_log();
            }
            if let Some(persisted) = output.persisted() {
                // The confirmation of a sync is never refused.
                let _ = self.replica.step(ClockTime::monotonic(), persisted);
            }
            for (node, message) in output.messages {
                self.send_peer(node, message);
            }
            if let (true, Some(image)) = (output.restore, &output.snapshot) {
                log::info!(event = "snapshot_installed", index = image.index; "state replaced");
                self.state = ReplicatedState::restore(&image.data)?;
            }
            for entry in output.committed {
                self.apply(&entry)?;
            }
            self.compact();
        }
    }

    fn send_peer(&self, node: NodeId, message: ReplicaMessage) {
        if let Some(link) = self.members.link(node) {
            self.link.send(link, encode_frame(&PeerMessage::Replica(message)));
        }
    }

    pub(super) fn drain_admission(&mut self) {
        let Some(admission) = &mut self.admission else { return };
        let output = admission.take_output();
        self.backlog.extend(output.commands);
        self.propose_backlog();
        self.confirm(output.after_commit);
        for event in &output.events {
            self.metrics.count(event);
        }
        for (node, message) in output.messages {
            self.send_entry(node, &message);
        }
    }

    fn propose_backlog(&mut self) {
        while let Some(command) = self.backlog.pop_front() {
            match self.try_propose(command.clone()) {
                Ok(_) => {}
                Err(ReplicaError::TransferInProgress) => {
                    // If the transfer fails, this instance leads on and must not have lost any.
                    self.backlog.push_front(command);
                    return;
                }
                Err(error) => log::debug!(event = "proposal_refused"; "{error}"),
            }
        }
    }

    fn apply(&mut self, entry: &LogEntry) -> Result<(), NodeError> {
        self.metrics.note_commit(entry.index);
        let position = LogPosition { index: entry.index, term: entry.term };
        match &entry.payload {
            EntryPayload::Command(bytes) => {
                let stamped: StampedCommand = decode_frame(bytes)
                    .map_err(|source| NodeError::Record { index: entry.index, source })?;
                let reply = self.state.apply(entry.index, &stamped);
                self.applied(&stamped.command, &reply);
                for (node, message) in self.replies.committed(position, &reply, &self.state) {
                    self.send_entry(node, &message);
                }
            }
            EntryPayload::Noop => {
                if self.replica.is_leader() && entry.term == self.replica.term() {
                    self.start_leading();
                }
            }
            EntryPayload::Members(members) => {
                log::info!(event = "members_changed", voters = members.voters.len(), learners = members.learners.len(); "membership committed");
            }
        }
        Ok(())
    }

    fn applied(&mut self, command: &StateCommand, reply: &CommandReply) {
        if let CommandReply::Document(DocumentReply::Accepted { version }) = reply {
            log::info!(event = "config_accepted", version = *version; "configuration committed");
            self.configure();
        }
        if let CommandReply::Drained(subject) = reply {
            self.start_drain(subject);
        }
        if let Some(admission) = &mut self.admission {
            admission.committed(step_time(), command, reply, &self.state);
        }
    }
}

/// Settings of the replicated log.
pub(super) fn replica_config(settings: &ControlSettings, node: NodeId) -> ReplicaConfig {
    let mut config = ReplicaConfig::of_node(node, rand::random());
    config.keep_entries = config.keep_entries.min(settings.compact_after.get() / KEPT_SHARE);
    config
}

/// Both clocks now.
pub(super) fn step_time() -> StepTime {
    StepTime { now: ClockTime::monotonic(), wall: ClockTime::wall() }
}
