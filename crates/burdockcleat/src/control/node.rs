//! The control thread: feeds events to the replicated log, applies committed records, and runs the
//! controllers.

use super::config::ConfigController;
use super::event::ControlEvent;
use super::members::MemberController;
use super::metrics::ControlMetrics;
use super::orders::{OrderAnswerSender, OrderController, SEND_DEADLINE_MS};
use super::peer::{PeerIntroduction, PeerMessage};
use super::replies::PendingReplies;
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

/// Interval between ticks of the replicated log.
const LOG_TICK_MS: u64 = 20;
/// Interval between ticks of the controllers.
const CONTROLLER_TICK_MS: u64 = 50;
/// Interval at which the leader checks whether the membership must change.
const MEMBER_TICK_MS: u64 = 200;
/// Maximum number of events that are handled before their output is synced and sent. Handling
/// several at a time lets a burst share one sync.
const MAX_EVENTS_PER_FLUSH: usize = 2_000;
/// Divisor of `compact-after` that limits the records kept behind a snapshot for slightly lagging
/// followers. Without this limit, a low `compact-after` would keep 4,096 records and remove none.
const KEEP_ENTRIES_DIVISOR: u64 = 4;

/// An error that stops the control thread.
#[derive(Debug)]
#[derive(Error)]
pub enum NodeError {
    /// The data folder cannot be read or written.
    #[error("accessing the data folder")]
    Storage(#[from] StorageError),
    /// A snapshot cannot be read.
    #[error("restoring the state from a snapshot")]
    Snapshot(#[from] SnapshotError),
    /// A committed record cannot be decoded, which means that another version wrote it.
    #[error("decoding log record {index}")]
    Record {
        /// Index of the record.
        index: u64,
        /// Error from the codec.
        #[source]
        source: burdockcleat_core::message::FrameError,
    },
}

/// State of a control instance, owned by the control thread.
pub struct ControlNode {
    pub(super) settings: ControlSettings,
    pub(super) link: LinkHandle,
    pub(super) storage: LogStorage,
    pub(super) replica: LogReplica,
    pub(super) state: ReplicatedState,
    pub(super) members: MemberController,
    pub(super) config: ConfigController,
    pub(super) replies: PendingReplies,
    pub(super) orders: OrderController,
    pub(super) metrics: ControlMetrics,
    /// Targets known to this instance while it does not lead. While it leads, the admission
    /// controller holds them.
    pub(super) follower_registry: TargetRegistry,
    /// Admission controller. Present while this instance leads and a record of its term is
    /// committed.
    pub(super) admission: Option<AdmissionController>,
    /// When the first record of this leader's term was committed.
    pub(super) leading_since: ClockTime,
    /// Configuration as this instance last parsed it.
    pub(super) document: ConfigDocument,
    /// Admission commands that wait until the log accepts proposals again after a leadership
    /// transfer.
    pub(super) backlog: VecDeque<StateCommand>,
    /// Signals the end of a requested stop.
    stopping: Option<Sender<()>>,
    pub(super) events: Sender<ControlEvent>,
    /// Whether a snapshot is being encoded and written on its own thread.
    pub(super) snapshot_in_progress: bool,
    next_log_tick: ClockTime,
    next_controller_tick: ClockTime,
    next_member_tick: ClockTime,
}

impl ControlNode {
    /// Restores an instance from the state stored in its data folder.
    ///
    /// # Errors
    /// Fails if the folder cannot be written or the snapshot cannot be decoded.
    pub fn open(
        settings: ControlSettings,
        link: LinkHandle,
        storage: LogStorage,
        stored: StoredState,
        order_answers: OrderAnswerSender,
        events: Sender<ControlEvent>,
    ) -> Result<Self, NodeError> {
        let now = ClockTime::monotonic();
        let empty = stored.entries.is_empty() && stored.snapshot.is_none();
        let state = match &stored.snapshot {
            Some(image) => ReplicatedState::restore(&image.data)?,
            None => ReplicatedState::new(),
        };
        let record = MemberRecord {
            node: storage.node(),
            address: settings.link_address,
            domain: settings.failure_domain.clone(),
        };
        let operator_url = settings.operator_url.clone();
        let me = PeerIntroduction { record, operator_url, empty };
        let members = MemberController::new(me, &settings.peers, settings.form_group);
        let config = replica_config(&settings, storage.node());
        let mut node = Self {
            replica: LogReplica::open(config, stored, now),
            link,
            storage,
            state,
            members,
            config: ConfigController::default(),
            replies: PendingReplies::default(),
            orders: OrderController::new(&settings.order_issuer, order_answers),
            metrics: ControlMetrics::open(),
            follower_registry: TargetRegistry::default(),
            admission: None,
            leading_since: now,
            document: ConfigDocument::default(),
            settings,
            backlog: VecDeque::new(),
            stopping: None,
            events,
            snapshot_in_progress: false,
            next_log_tick: now,
            next_controller_tick: now,
            next_member_tick: now,
        };
        node.form_group()?;
        Ok(node)
    }

    /// Handles events until the process stops.
    ///
    /// Events from `urgent` are handled before those from `inbox`, so that dumps and health checks
    /// are answered under load.
    ///
    /// # Errors
    /// Fails if the data folder cannot be written, since an instance that cannot sync must not
    /// acknowledge records. Also fails if a committed record or a received snapshot cannot be
    /// decoded.
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
            if self.finish_stop() {
                return Ok(());
            }
        }
    }

    fn handle(&mut self, event: ControlEvent) -> Result<(), NodeError> {
        match event {
            ControlEvent::Link(event) => self.handle_link_event(event)?,
            ControlEvent::Call { call, reply } => self.handle_call(call, reply),
            ControlEvent::SnapshotStaged(result) => {
                let (image, staged) = result?;
                self.activate_snapshot(image, staged);
            }
            ControlEvent::OrderAnswered(answer) => {
                if let Some(command) = self.orders.handle_answer(answer) {
                    self.propose(command);
                }
            }
            ControlEvent::Stop(done) => {
                log::info!(event = "control_stopping"; "transferring leadership");
                // The transfer is refused if this instance does not lead or there is no other
                // voter.
                let _ = self.replica.step(ClockTime::monotonic(), ReplicaInput::Transfer);
                self.stopping = Some(done);
            }
        }
        Ok(())
    }

    /// Signals a requested stop and returns `true`, unless a transfer of leadership still runs.
    fn finish_stop(&mut self) -> bool {
        let Some(done) = &self.stopping else { return false };
        if self.replica.is_leader() && self.replica.is_transferring() {
            return false;
        }
        let _ = done.send(());
        true
    }

    /// Proposes a command. Returns its log position, or `None` if the log refuses it.
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
            self.metrics.record_proposal(position.index);
        }
        Ok(position)
    }

    /// Appends a barrier record and sends the messages once it is committed.
    pub(super) fn send_after_commit(&mut self, messages: Vec<(NodeId, ControlMessage)>) {
        // A barrier ahead of the backlog would confirm reports that are not in the log yet.
        if messages.is_empty() || !self.backlog.is_empty() {
            return;
        }
        if let Some(position) = self.propose(StateCommand::Barrier) {
            self.replies.hold_messages(position, messages);
        }
    }

    /// Sends a message to an entry, if it is linked.
    pub(super) fn send_to_entry(&mut self, node: NodeId, message: &ControlMessage) {
        if let Some(entry) = self.config.entry_mut(node) {
            self.link.send(entry.link, encode_frame(message));
        }
    }

    fn tick(&mut self) {
        let now = ClockTime::monotonic();
        if now >= self.next_log_tick {
            self.next_log_tick = now.plus(LOG_TICK_MS);
            // The log never refuses a tick.
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
            self.propose_membership_change(now);
        }
    }

    fn tick_controllers(&mut self, now: ClockTime) {
        let Some(admission) = &mut self.admission else {
            // If this instance becomes leader, its pools read the silent targets from the registry.
            let _ = self.follower_registry.tick(now);
            return;
        };
        admission.tick(step_time(), &self.state);
        // The lease must stay valid until the orders have been sent.
        let lease = self.replica.lease_valid(now.plus(SEND_DEADLINE_MS));
        if let (true, Some(admission)) = (lease, &self.admission) {
            for command in self.orders.send_due(now, &self.state, admission.registry()) {
                self.propose(command);
            }
        }
        self.send_config(now);
    }

    /// Persists, sends and applies the output of the log until there is none left.
    fn flush(&mut self) -> Result<(), NodeError> {
        loop {
            self.process_admission_output();
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
                self.members.mark_log_written();
            }
            if let Some(persisted) = output.persisted() {
                // The log never refuses the confirmation of a sync.
                let _ = self.replica.step(ClockTime::monotonic(), persisted);
            }
            for (node, message) in output.messages {
                self.send_peer(node, message);
            }
            if let (true, Some(image)) = (output.restore, &output.snapshot) {
                log::info!(event = "snapshot_installed", index = image.index; "replaced the state with a snapshot of the leader");
                self.state = ReplicatedState::restore(&image.data)?;
            }
            for entry in output.committed {
                self.apply(&entry)?;
            }
            self.start_compaction();
        }
    }

    fn send_peer(&self, node: NodeId, message: ReplicaMessage) {
        if let Some(link) = self.members.link(node) {
            self.link.send(link, encode_frame(&PeerMessage::Replica(message)));
        }
    }

    /// Proposes, counts and sends what the admission controller has produced.
    pub(super) fn process_admission_output(&mut self) {
        let Some(admission) = &mut self.admission else { return };
        let output = admission.take_output();
        self.backlog.extend(output.commands);
        self.propose_backlog();
        self.send_after_commit(output.after_commit);
        for event in &output.events {
            self.metrics.count_event(event);
        }
        for (node, message) in output.messages {
            self.send_to_entry(node, &message);
        }
    }

    fn propose_backlog(&mut self) {
        while let Some(command) = self.backlog.pop_front() {
            match self.try_propose(command.clone()) {
                Ok(_) => {}
                Err(ReplicaError::TransferInProgress) => {
                    // If the transfer fails, this instance still leads and must propose them all.
                    self.backlog.push_front(command);
                    return;
                }
                Err(error) => log::debug!(event = "proposal_refused"; "{error}"),
            }
        }
    }

    fn apply(&mut self, entry: &LogEntry) -> Result<(), NodeError> {
        self.metrics.record_commits(entry.index);
        let position = LogPosition { index: entry.index, term: entry.term };
        match &entry.payload {
            EntryPayload::Command(bytes) => {
                let stamped: StampedCommand = decode_frame(bytes)
                    .map_err(|source| NodeError::Record { index: entry.index, source })?;
                let reply = self.state.apply(entry.index, &stamped);
                self.after_apply(&stamped.command, &reply);
                for (node, message) in self.replies.committed(position, &reply, &self.state) {
                    self.send_to_entry(node, &message);
                }
            }
            EntryPayload::Noop => {
                if self.replica.is_leader() && entry.term == self.replica.term() {
                    self.start_leading();
                }
            }
            EntryPayload::Members(members) => {
                log::info!(event = "members_changed", voters = members.voters.len(), learners = members.learners.len(); "committed a membership change");
            }
        }
        Ok(())
    }

    /// Carries out the effects of an applied command outside the replicated state.
    fn after_apply(&mut self, command: &StateCommand, reply: &CommandReply) {
        if let CommandReply::Document(DocumentReply::Accepted { version }) = reply {
            log::info!(event = "config_accepted", version = *version; "committed a new configuration version");
            self.apply_config();
        }
        if let CommandReply::Drained(subject) = reply {
            self.start_drain(subject);
        }
        if let Some(admission) = &mut self.admission {
            admission.committed(step_time(), command, reply, &self.state);
        }
    }
}

/// Returns the configuration of the replicated log.
pub(super) fn replica_config(settings: &ControlSettings, node: NodeId) -> ReplicaConfig {
    let mut config = ReplicaConfig::of_node(node, rand::random());
    config.keep_entries =
        config.keep_entries.min(settings.compact_after.get() / KEEP_ENTRIES_DIVISOR);
    config
}

/// Returns the current monotonic and wall-clock time.
pub(super) fn step_time() -> StepTime {
    StepTime { now: ClockTime::monotonic(), wall: ClockTime::wall() }
}
