//! The state of the protocol model: two control instances, two entries, and their links.

use burdockcleat_core::admission::{AdmissionController, AdmissionRules, StepTime};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::document::ConfigDocument;
use burdockcleat_core::entry_agent::{AttemptId, EntryAgent, EntryRules};
use burdockcleat_core::keys::{ClaimNumber, LinkKey, NodeId, RequestFingerprint, RequestKey};
use burdockcleat_core::message::{ControlMessage, EntryMessage, GrantTicket, SubmitRequest};
use burdockcleat_core::outcome::RequestOutcome;
use burdockcleat_core::registry::{TargetAnnouncement, TargetKind};
use burdockcleat_core::state::{ClaimRules, ReplicatedState, StateCommand};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::sync::OnceLock;

const DOCUMENT: &str = include_str!("../../../../examples/bureau.toml");
const POOL: &str = "hinge-model";
const MODEL: &str = "hinge-spares-13b";

/// Violated invariant of the claim protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// A request key was dispatched twice.
    SecondDispatch,
    /// A caller got the answer `not_run` although the key had been dispatched.
    NotRunAfterDispatch,
    /// An attempt was dispatched after it was answered.
    DispatchAfterAnswer,
    /// An entry dispatched without recent contact to a leader.
    DispatchWithoutLeader,
    /// A grant was used after its time to live.
    ExpiredGrant,
    /// A recorded outcome changed.
    OutcomeChanged,
    /// An entry dropped the report of a claim that is still open.
    ReportLost,
    /// A request is still tracked, or its claim is still open, after all attempts have ended.
    RequestLeaked,
    /// An attempt got no answer although the links were up for long enough.
    NeverAnswered,
}

/// Rules of all state machines. Tests disable some of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rules {
    pub entry: EntryRules,
    pub claims: ClaimRules,
    pub admission: AdmissionRules,
}

/// Settings of a model.
#[derive(Clone, Debug)]
pub struct Setup {
    pub rules: Rules,
    pub targets: u32,
    pub slots: u32,
    /// Whether the requests are calls of a service, which are not idempotent and cannot be
    /// resumed.
    pub service: bool,
    /// Tier of each request key.
    pub tiers: Vec<u8>,
    /// Time to the deadline of each request when it is sent.
    pub deadline_ms: u32,
    /// Milliseconds of one advance of time.
    pub advance_ms: u64,
    /// Whether a delivery takes one message, and not all that wait on the link.
    pub one_message_per_delivery: bool,
    /// Whether the proposals of a leader are committed right after each delivery to it.
    pub commit_immediately: bool,
}

/// A message to an entry. `dispatched` is whether its request key had been dispatched when the
/// message was sent.
#[derive(Clone, Debug, Hash)]
pub struct MessageToEntry {
    pub message: ControlMessage,
    pub dispatched: bool,
}

/// One link between an entry and a control instance.
#[derive(Clone, Debug, Hash)]
pub struct Link {
    pub key: LinkKey,
    pub up: bool,
    pub to_control: VecDeque<EntryMessage>,
    pub to_entry: VecDeque<MessageToEntry>,
    /// Messages of an earlier link that the control instance has not read yet.
    pub unread: VecDeque<EntryMessage>,
}

/// A proposal that is not yet committed.
#[derive(Clone, Debug, Hash)]
pub struct Proposal {
    pub command: HashableCommand,
    /// Messages that are sent after the commit.
    pub messages_after_commit: Vec<(NodeId, ControlMessage)>,
}

/// A replicated command with a hash, as [`StateCommand`] does not implement [`Hash`].
#[derive(Clone, Debug)]
pub struct HashableCommand(pub StateCommand);

impl Hash for HashableCommand {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        format!("{:?}", self.0).hash(hasher);
    }
}

/// State of a control instance that leads, or has not noticed that it was deposed.
#[derive(Clone)]
pub struct Leader {
    pub admission: Rc<AdmissionController>,
    /// Replicated state as applied by this instance.
    pub state: Rc<ReplicatedState>,
    pub pending: Vec<Proposal>,
}

/// One control instance.
#[derive(Clone, Default)]
pub struct Control {
    pub leader: Option<Leader>,
    /// Whether another instance was elected since. Its proposals are no longer committed.
    pub deposed: bool,
    /// Clock reading of a deposed leader, which may have been suspended between reading its clock
    /// and sending a message.
    pub frozen_clock: Option<u64>,
    /// Latest clock reading received from each entry.
    pub entry_clocks: BTreeMap<NodeId, ClockTime>,
}

/// State of an attempt.
#[derive(Clone, Debug, Hash)]
pub enum Phase {
    /// It has no answer from the entry yet.
    Waiting,
    /// It has a grant and is about to connect to the target.
    Granted(GrantTicket),
    /// The request was dispatched to the target.
    Dispatched { claim: ClaimNumber, cancelled: bool },
    /// The caller got an answer, or has disconnected with a grant.
    Answered,
    /// Its entry was killed.
    Lost,
}

/// An attempt of a caller to run a request.
#[derive(Clone, Debug, Hash)]
pub struct Attempt {
    pub entry: usize,
    pub key: usize,
    pub id: AttemptId,
    pub phase: Phase,
}

/// An entry.
#[derive(Clone)]
pub struct Entry {
    pub agent: Rc<EntryAgent>,
    pub alive: bool,
    /// Whether the process is suspended, so that it takes no steps.
    pub frozen: bool,
}

/// The whole system. Control instances, entries and request keys are given by their position.
#[derive(Clone)]
pub struct Model {
    pub setup: Rc<Setup>,
    /// Time in milliseconds.
    pub now: u64,
    /// Replicated state after all committed commands.
    pub log: Rc<ReplicatedState>,
    /// Index of the last committed command.
    pub index: u64,
    pub controls: [Control; 2],
    pub entries: [Entry; 2],
    pub links: [[Link; 2]; 2],
    pub next_link: u64,
    pub attempts: Vec<Attempt>,
    /// Whether each request key was dispatched.
    pub dispatched: Vec<bool>,
    /// Outcome of each request key that was recorded first.
    pub recorded_outcomes: Vec<Option<RequestOutcome>>,
    /// Claims that an entry has released or finished, as entry, request key and claim.
    pub closed_claims: Vec<(usize, usize, ClaimNumber)>,
    pub violation: Option<Violation>,
}

pub fn node(entry: usize) -> NodeId {
    NodeId(101 + entry as u64)
}

pub fn entry_of(node: NodeId) -> usize {
    (node.0 - 101) as usize
}

pub fn document() -> &'static ConfigDocument {
    static PARSED: OnceLock<ConfigDocument> = OnceLock::new();
    PARSED.get_or_init(|| ConfigDocument::parse(DOCUMENT).expect("the example is valid"))
}

impl Model {
    /// Starts with control instance 0 as the leader, its rebuild completed, and both entries
    /// connected.
    pub fn open(setup: Setup) -> Self {
        let mut state = ReplicatedState::with_rules(setup.rules.claims);
        // Far above the number of claims in a scenario, so that no request is shed.
        state.set_claim_limit(1_000);
        let rules = setup.rules.entry;
        let agent = |name| Rc::new(EntryAgent::with_rules(name, time_at(0), rules));
        let entry = |name| Entry { agent: agent(name), alive: true, frozen: false };
        let link = |key| Link {
            key: LinkKey(key),
            up: false,
            to_control: VecDeque::new(),
            to_entry: VecDeque::new(),
            unread: VecDeque::new(),
        };
        let keys = setup.tiers.len();
        let mut model = Self {
            setup: Rc::new(setup),
            now: 0,
            log: Rc::new(state),
            index: 0,
            controls: Default::default(),
            entries: [entry("entry-a"), entry("entry-b")],
            links: [[link(1), link(2)], [link(3), link(4)]],
            next_link: 5,
            attempts: Vec::new(),
            dispatched: vec![false; keys],
            recorded_outcomes: vec![None; keys],
            closed_claims: Vec::new(),
            violation: None,
        };
        model.start_leading(0);
        for entry in 0..2 {
            model.install_config(entry);
            for control in 0..2 {
                model.link_up(entry, control);
            }
        }
        model.deliver_all();
        // Completes the rebuild time, and announces the targets to the first leader.
        model.advance(1_100);
        model.deliver_all();
        model
    }

    pub fn request(&self, key: usize, attempt: u32) -> SubmitRequest {
        SubmitRequest {
            key: request_key(key),
            attempt,
            fingerprint: RequestFingerprint(key as u64),
            workspace: "provincial-depots".into(),
            pool: self.pool().into(),
            model: if self.setup.service { String::new() } else { MODEL.into() },
            tier: self.setup.tiers[key],
            idempotent: !self.setup.service,
            deadline_in_ms: self.setup.deadline_ms,
            prompt_tokens: 40,
            output_tokens: 8,
            prefix_hashes: Vec::new(),
        }
    }

    fn pool(&self) -> &'static str {
        if self.setup.service { "depot-orders" } else { POOL }
    }

    pub fn announcements(&self) -> impl Iterator<Item = TargetAnnouncement> + use<> {
        let slots = self.setup.slots;
        let (pool, service) = (self.pool(), self.setup.service);
        (1..=self.setup.targets).map(move |number| TargetAnnouncement {
            name: format!("engine-{number}"),
            incarnation: 1,
            address: format!("127.0.0.1:{}", 9_000 + number),
            pool: pool.into(),
            kind: if service { TargetKind::Service } else { TargetKind::Model },
            models: if service { Vec::new() } else { vec![MODEL.into()] },
            slots,
            ..TargetAnnouncement::default()
        })
    }

    /// Returns the current time.
    pub fn time(&self) -> StepTime {
        StepTime { now: time_at(self.now), wall: time_at(1_000_000 + self.now) }
    }

    /// Returns the clock reading of a control instance.
    pub fn time_of(&self, control: usize) -> StepTime {
        let now = self.controls[control].frozen_clock.unwrap_or(self.now);
        StepTime { now: time_at(now), wall: time_at(1_000_000 + now) }
    }

    pub fn record_violation(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Returns a hash of everything that determines the next steps.
    pub fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.now, self.index, self.violation).hash(&mut hasher);
        self.hash_log(&self.log, &mut hasher);
        for control in &self.controls {
            (control.deposed, control.frozen_clock, &control.entry_clocks).hash(&mut hasher);
            control.leader.is_some().hash(&mut hasher);
            if let Some(leader) = &control.leader {
                leader.admission.digest(&mut hasher);
                leader.pending.hash(&mut hasher);
                leader.state.applied().hash(&mut hasher);
            }
        }
        for entry in &self.entries {
            (&*entry.agent, entry.alive, entry.frozen).hash(&mut hasher);
        }
        (&self.links, &self.attempts, &self.dispatched, &self.recorded_outcomes).hash(&mut hasher);
        hasher.finish()
    }

    fn hash_log(&self, state: &ReplicatedState, hasher: &mut DefaultHasher) {
        for key in 0..self.dispatched.len() {
            let claim = state.claim(request_key(key));
            format!("{claim:?}{:?}", state.refusal(request_key(key))).hash(hasher);
        }
    }
}

pub fn request_key(key: usize) -> RequestKey {
    RequestKey(key as u128 + 1)
}

pub fn time_at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}
