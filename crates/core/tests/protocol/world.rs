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

/// What must never happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// A key was dispatched twice.
    SecondDispatch,
    /// A caller was told `not_run` although the key had been dispatched.
    NotRunAfterDispatch,
    /// An attempt was dispatched after it was answered.
    DispatchAfterAnswer,
    /// An entry without a recent leader dispatched.
    NotReady,
    /// A grant was used after its time to live.
    OldGrant,
    /// A recorded outcome changed.
    OutcomeChanged,
    /// An entry forgot the report of a claim that is still open.
    ReportLost,
    /// A request is tracked, or its claim is open, after all attempts have ended.
    RequestLeft,
    /// An attempt has no answer after links were up and time passed.
    WaitsForEver,
}

/// Rules of all machines; tests turn one off.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rules {
    pub entry: EntryRules,
    pub claims: ClaimRules,
    pub admission: AdmissionRules,
}

/// How a scenario starts.
#[derive(Clone, Debug)]
pub struct Setup {
    pub rules: Rules,
    pub targets: u32,
    pub slots: u32,
    /// Whether the requests are calls of a plain service, which cannot be resumed.
    pub service: bool,
    /// Tier of each request key.
    pub tiers: Vec<u8>,
    /// Remaining time of each request when it is sent.
    pub deadline_ms: u32,
    /// Milliseconds of one advance of time.
    pub advance_ms: u64,
    /// Whether messages are delivered one at a time, or all that wait on a link at once.
    pub single_messages: bool,
    /// Whether a leader's proposals are committed as soon as they are made.
    pub commit_at_once: bool,
}

/// A message to an entry. Remembers whether its key had been dispatched when it was sent.
#[derive(Clone, Debug, Hash)]
pub struct Downward {
    pub message: ControlMessage,
    pub dispatched: bool,
}

/// One link between an entry and a control instance.
#[derive(Clone, Debug, Hash)]
pub struct Link {
    pub key: LinkKey,
    pub up: bool,
    pub upward: VecDeque<EntryMessage>,
    pub downward: VecDeque<Downward>,
    /// Messages of an earlier link that the control instance has not read yet.
    pub late: VecDeque<EntryMessage>,
}

#[derive(Clone, Debug, Hash)]
pub struct Proposal {
    pub command: CommandKey,
    /// Messages that wait for the commit.
    pub held: Vec<(NodeId, ControlMessage)>,
}

/// A command with a hash, since the replicated commands have none.
#[derive(Clone, Debug)]
pub struct CommandKey(pub StateCommand);

impl Hash for CommandKey {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        format!("{:?}", self.0).hash(hasher);
    }
}

#[derive(Clone)]
pub struct Leader {
    pub admission: Rc<AdmissionController>,
    /// State as this instance applied it.
    pub state: Rc<ReplicatedState>,
    pub pending: Vec<Proposal>,
}

/// One control instance.
#[derive(Clone, Default)]
pub struct Control {
    pub leader: Option<Leader>,
    /// Whether another instance was elected. Its proposals are not committed any more.
    pub deposed: bool,
    /// Clock of a deposed leader. It may be frozen between reading its clock and a send.
    pub stopped: Option<u64>,
    /// Newest clock reading of each entry.
    pub heard: BTreeMap<NodeId, ClockTime>,
}

#[derive(Clone, Debug, Hash)]
pub enum Phase {
    Waiting,
    Holding(GrantTicket),
    Dispatched {
        claim: ClaimNumber,
        cancelled: bool,
    },
    Answered,
    /// Its entry died.
    Lost,
}

#[derive(Clone, Debug, Hash)]
pub struct Attempt {
    pub entry: usize,
    pub key: usize,
    pub id: AttemptId,
    pub phase: Phase,
}

#[derive(Clone)]
pub struct Entry {
    pub agent: Rc<EntryAgent>,
    pub alive: bool,
    pub frozen: bool,
}

#[derive(Clone)]
pub struct World {
    pub setup: Rc<Setup>,
    pub now: u64,
    pub log: Rc<ReplicatedState>,
    pub index: u64,
    pub controls: [Control; 2],
    pub entries: [Entry; 2],
    pub links: [[Link; 2]; 2],
    pub next_link: u64,
    pub attempts: Vec<Attempt>,
    pub dispatched: Vec<bool>,
    pub recorded: Vec<Option<RequestOutcome>>,
    /// Claims that an entry gave back or finished.
    pub closed: Vec<(usize, usize, ClaimNumber)>,
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

impl World {
    /// Instance 0 leads with its rebuild over, and both entries follow it.
    pub fn open(setup: Setup) -> Self {
        let mut state = ReplicatedState::with_rules(setup.rules.claims);
        // The version in force, so that entries count as ready.
        state.set_claim_limit(1_000);
        let rules = setup.rules.entry;
        let agent = |name| Rc::new(EntryAgent::with_rules(name, at(0), rules));
        let entry = |name| Entry { agent: agent(name), alive: true, frozen: false };
        let link = |key| Link {
            key: LinkKey(key),
            up: false,
            upward: VecDeque::new(),
            downward: VecDeque::new(),
            late: VecDeque::new(),
        };
        let keys = setup.tiers.len();
        let mut world = Self {
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
            recorded: vec![None; keys],
            closed: Vec::new(),
            violation: None,
        };
        world.start_leading(0);
        for entry in 0..2 {
            world.install(entry);
            for control in 0..2 {
                world.link_up(entry, control);
            }
        }
        world.deliver_all();
        // Passes the rebuild time and lets the first leader see its targets.
        world.advance(1_100);
        world.deliver_all();
        world
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

    pub fn time(&self) -> StepTime {
        StepTime { now: at(self.now), wall: at(1_000_000 + self.now) }
    }

    /// Clock of a control instance.
    pub fn time_of(&self, control: usize) -> StepTime {
        let now = self.controls[control].stopped.unwrap_or(self.now);
        StepTime { now: at(now), wall: at(1_000_000 + now) }
    }

    pub fn violate(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Hash of everything that decides what can happen next.
    pub fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.now, self.index, self.violation).hash(&mut hasher);
        self.hash_log(&self.log, &mut hasher);
        for control in &self.controls {
            (control.deposed, control.stopped, &control.heard).hash(&mut hasher);
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
        (&self.links, &self.attempts, &self.dispatched, &self.recorded).hash(&mut hasher);
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

pub fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}
