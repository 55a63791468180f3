//! Test harness for the admission of one leader, with a log that commits on demand.

use burdockcleat_core::admission::{AdmissionController, StepTime};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::document::ConfigDocument;
use burdockcleat_core::keys::{
    ClaimNumber, NodeId, RequestFingerprint, RequestKey, TargetIdentity,
};
use burdockcleat_core::message::{ControlMessage, EntryMessage, HeldClaim, SubmitRequest};
use burdockcleat_core::registry::{TargetAnnouncement, TargetKind, TargetRegistry};
use burdockcleat_core::state::{DrainSubject, ReplicatedState, StampedCommand, StateCommand};

pub const ENTRY_A: NodeId = NodeId(101);
pub const ENTRY_B: NodeId = NodeId(102);
const DOCUMENT: &str = include_str!("../../../../examples/bureau.toml");
const WORKSPACE: &str = "provincial-depots";
const MODEL: &str = "hinge-spares-13b";
const POOL: &str = "hinge-model";
const SERVICE_POOL: &str = "depot-orders";
const SLOTS: u32 = 4;

/// Builds a request with this number, as attempt `attempt` of its entry.
pub fn submit(number: u64, attempt: u32) -> SubmitRequest {
    SubmitRequest {
        key: RequestKey::derive(WORKSPACE, &number.to_string()),
        attempt,
        fingerprint: RequestFingerprint(number),
        workspace: WORKSPACE.into(),
        pool: POOL.into(),
        model: MODEL.into(),
        tier: 0,
        idempotent: true,
        deadline_in_ms: 20_000,
        prompt_tokens: 40,
        output_tokens: 8,
        prefix_hashes: Vec::new(),
    }
}

/// Builds a call to a plain service with this number.
pub fn submit_call(number: u64, attempt: u32) -> SubmitRequest {
    let request = submit(number, attempt);
    SubmitRequest { pool: SERVICE_POOL.into(), model: String::new(), idempotent: false, ..request }
}

pub struct AdmissionHarness {
    pub state: ReplicatedState,
    pub admission: AdmissionController,
    now: u64,
    index: u64,
    uncommitted: Vec<StateCommand>,
    messages: Vec<(NodeId, ControlMessage)>,
    /// Messages that wait for the next commit.
    after_commit: Vec<(NodeId, ControlMessage)>,
}

impl AdmissionHarness {
    /// Starts a leader with two connected entries and one engine.
    pub fn open() -> Self {
        let mut harness = Self::without_targets();
        harness.announce("engine-1", 1);
        harness
    }

    /// Starts a leader with two connected entries.
    fn without_targets() -> Self {
        let state = ReplicatedState::new();
        let admission =
            AdmissionController::open(time(0), &document(), &state, TargetRegistry::default());
        let mut harness = Self {
            state,
            admission,
            now: 0,
            index: 0,
            uncommitted: Vec::new(),
            messages: Vec::new(),
            after_commit: Vec::new(),
        };
        harness.hello(ENTRY_A, &[]);
        harness.hello(ENTRY_B, &[]);
        harness.end_rebuild();
        harness
    }

    /// Advances time past the rebuild time of a new leader.
    pub fn end_rebuild(&mut self) {
        self.now += 1_100;
        for engine in self.engines() {
            self.admission.announce(time(self.now), engine).unwrap();
        }
        self.admission.tick(time(self.now), &self.state);
        self.collect();
        self.commit();
    }

    fn engines(&self) -> Vec<TargetAnnouncement> {
        let known = self.admission.registry().iter();
        known.map(|(_, record)| record.announcement.clone()).collect()
    }

    /// Announces an engine.
    pub fn announce(&mut self, name: &str, incarnation: u64) {
        let announcement = TargetAnnouncement {
            name: name.into(),
            incarnation,
            address: format!("127.0.0.1:{}", 9_000 + name.len()),
            pool: POOL.into(),
            models: vec![MODEL.into()],
            slots: SLOTS,
            ..TargetAnnouncement::default()
        };
        self.admission.announce(time(self.now), announcement).unwrap();
        self.collect();
    }

    /// Announces a plain service.
    pub fn announce_service(&mut self) {
        let announcement = TargetAnnouncement {
            name: "service-1".into(),
            incarnation: 1,
            address: "127.0.0.1:9100".into(),
            pool: SERVICE_POOL.into(),
            kind: TargetKind::Service,
            slots: SLOTS,
            ..TargetAnnouncement::default()
        };
        self.admission.announce(time(self.now), announcement).unwrap();
        self.collect();
    }

    /// Disconnects an entry and advances time until it is lost and its claims have expired.
    pub fn disconnect_entry(&mut self, entry: NodeId, ms: u64) {
        self.admission.entry_disconnected(time(self.now), entry);
        self.now += ms;
        // The first tick records the loss. The second expires the claims that are too old.
        for _ in 0..2 {
            self.now += 5_000;
            self.admission.tick(time(self.now), &self.state);
            self.collect();
            self.commit();
        }
    }

    /// Removes an engine by its leave.
    pub fn leave(&mut self, name: &str, incarnation: u64) {
        let identity = TargetIdentity { name: name.into(), incarnation };
        self.admission.leave(time(self.now), &identity);
        self.collect();
    }

    /// Advances time and runs the timers.
    pub fn advance(&mut self, ms: u64) {
        self.now += ms;
        self.admission.tick(time(self.now), &self.state);
        self.collect();
        self.commit();
    }

    /// Occupies all slots of the engine with requests.
    pub fn fill_slots(&mut self) {
        for number in 100..100 + u64::from(SLOTS) {
            self.receive(ENTRY_A, EntryMessage::Submit(submit(number, SLOTS + 1)));
        }
        self.commit();
        assert_eq!(self.take_messages().len(), SLOTS as usize);
    }

    /// Sends the `Hello` of an entry with the claims that it runs.
    pub fn hello(&mut self, entry: NodeId, running: &[(RequestKey, ClaimNumber)]) {
        let running = running.iter().map(|(key, claim)| HeldClaim { key: *key, claim: *claim });
        let hello = EntryMessage::Hello {
            name: entry.to_string(),
            entry_time: ClockTime::from_ms(self.now),
            config_version: 1,
            running: running.collect(),
        };
        self.receive(entry, hello);
    }

    /// Delivers a message from an entry.
    pub fn receive(&mut self, entry: NodeId, message: EntryMessage) {
        self.admission.receive(time(self.now), entry, message, &self.state);
        self.collect();
    }

    /// Commits and applies all proposed commands, including those that result from them.
    pub fn commit(&mut self) {
        while !self.uncommitted.is_empty() {
            for command in std::mem::take(&mut self.uncommitted) {
                self.index += 1;
                let at = time(self.now).wall;
                let stamped = StampedCommand { at, command };
                let reply = self.state.apply(self.index, &stamped);
                let time = time(self.now);
                self.admission.committed(time, &stamped.command, &reply, &self.state);
            }
            self.collect();
        }
        self.messages.append(&mut self.after_commit);
    }

    /// Commits the drain of an incarnation. The leader applies it only if `apply_at_leader` is set.
    pub fn drain(&mut self, name: &str, incarnation: u64, apply_at_leader: bool) {
        let identity = TargetIdentity { name: name.into(), incarnation };
        self.uncommitted.push(StateCommand::Drain {
            subject: DrainSubject::Target(identity.clone()),
            operation_id: format!("drain-{name}-{incarnation}"),
            author: "operator".into(),
        });
        self.commit();
        if apply_at_leader {
            self.admission.drain_target(time(self.now), &identity);
            self.collect();
        }
    }

    /// Replaces the leader by another one with the applied state. Uncommitted commands are lost.
    pub fn replace_leader(&mut self) {
        self.uncommitted.clear();
        self.after_commit.clear();
        self.messages.clear();
        self.now += 800;
        let registry = self.admission.registry().clone();
        self.admission =
            AdmissionController::open(time(self.now), &document(), &self.state, registry);
        self.collect();
    }

    /// Takes the messages sent since the last call.
    pub fn take_messages(&mut self) -> Vec<(NodeId, ControlMessage)> {
        std::mem::take(&mut self.messages)
    }

    fn collect(&mut self) {
        let output = self.admission.take_output();
        self.uncommitted.extend(output.commands);
        self.messages.extend(output.messages);
        self.after_commit.extend(output.after_commit);
    }
}

fn document() -> ConfigDocument {
    ConfigDocument::parse(DOCUMENT).expect("the example is valid")
}

fn time(now: u64) -> StepTime {
    StepTime { now: ClockTime::from_ms(now), wall: ClockTime::from_ms(1_000_000 + now) }
}
