//! A world of replicas for the searches: nodes, disks, messages in flight and what has happened.

use crate::cluster::{voters, write_disk};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::replica::{
    EntryPayload, LogEntry, LogReplica, MemberSet, ReplicaConfig, ReplicaInput, ReplicaMessage,
    ReplicaOutput, SafetyRules, StoredState,
};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

/// Invariants of the log. A world stops at the first violated one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two leaders in one term.
    Election,
    /// Equal positions in two logs with different entries before them.
    LogMatching,
    /// Two replicas committed different entries at one index.
    CommitDiffers,
    /// A new leader lacks an entry that was committed in an earlier term.
    CommitLost,
    /// A leader has more than one uncommitted membership change.
    Changes,
    /// A replica holds a lease while another leads a later term.
    Lease,
}

/// Steps of the world. Nodes are given by position.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Tick(usize),
    Propose(usize),
    Change(usize, MemberSet),
    Transfer(usize),
    Compact(usize),
    /// Restart from the disk.
    Crash(usize),
    /// A leader appends, sends what may leave before the sync, and restarts without the entry.
    CrashInSync(usize),
    /// Start with an empty disk.
    LoseDisk(usize),
    /// Delivers a message; it stays in flight as a duplicate if `keep`.
    Deliver {
        at: usize,
        keep: bool,
    },
    /// Loses a message.
    Lose(usize),
    /// Lets time pass.
    Advance(u64),
    /// A step of one node, then up to `limit` deliveries between the nodes in the bit set `reach`,
    /// in order; all other messages are lost.
    Exchange {
        start: Box<Action>,
        reach: u8,
        limit: u8,
    },
}

#[derive(Clone)]
pub struct Node {
    pub id: u64,
    pub replica: LogReplica,
    pub disk: StoredState,
    /// Zero while the node has changed since its key was computed.
    key: u64,
}

#[derive(Clone)]
pub struct Packet {
    pub from: u64,
    pub to: u64,
    pub message: Rc<ReplicaMessage>,
    key: u64,
}

impl Packet {
    pub fn is_same(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

/// What stays the same in one search.
#[derive(Clone)]
pub struct Setup {
    pub rules: SafetyRules,
    pub election_ms: (u64, u64),
    pub lease_ms: u64,
    /// Clock rate of each node in percent.
    pub rates: Vec<u64>,
    /// Whether a replica with a lost disk wrongly keeps its identity.
    pub keep_identity: bool,
    pub seed: u64,
}

impl Setup {
    /// All timeouts are zero, so each of them may fire at any time.
    pub fn untimed(rules: SafetyRules) -> Self {
        Self { election_ms: (0, 0), lease_ms: 0, ..Self::timed(rules, &[]) }
    }

    /// Timeouts of the design and clocks with the given rates.
    pub fn timed(rules: SafetyRules, rates: &[u64]) -> Self {
        let (election_ms, rates) = ((600, 600), rates.to_vec());
        Self { rules, election_ms, lease_ms: 500, rates, keep_identity: false, seed: 0 }
    }
}

#[derive(Clone)]
pub struct World {
    pub setup: Rc<Setup>,
    pub nodes: Vec<Rc<Node>>,
    pub network: Vec<Packet>,
    pub time: u64,
    pub elected: BTreeMap<u64, u64>,
    /// Committed entries with the term in which that became known first.
    pub committed: BTreeMap<u64, (Rc<LogEntry>, u64)>,
    pub violation: Option<Violation>,
    next_id: u64,
    commands: u8,
}

pub fn key_of<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl World {
    /// Three voters; `spare` adds a fourth node with an empty disk.
    pub fn open(setup: Setup, spare: bool) -> Self {
        let mut world = Self {
            setup: Rc::new(setup),
            nodes: Vec::new(),
            network: Vec::new(),
            time: 0,
            elected: BTreeMap::new(),
            committed: BTreeMap::new(),
            violation: None,
            next_id: 5,
            commands: 0,
        };
        for id in 1..=3 {
            world.push_node(id, StoredState::initial(voters(&[1, 2, 3])));
        }
        if spare {
            world.push_node(4, StoredState::default());
        }
        world
    }

    fn push_node(&mut self, id: u64, disk: StoredState) {
        let at = self.nodes.len();
        let replica = self.open_replica(at, id, &disk);
        self.nodes.push(Rc::new(Node { id, replica, disk, key: 0 }));
    }

    fn open_replica(&self, at: usize, id: u64, disk: &StoredState) -> LogReplica {
        let config = ReplicaConfig {
            node: NodeId(id),
            election_min_ms: self.setup.election_ms.0,
            election_max_ms: self.setup.election_ms.1,
            heartbeat_ms: 0,
            lease_ms: self.setup.lease_ms,
            keep_entries: 0,
            batch_bytes: 1,
            seed: self.setup.seed + id,
        };
        let rules = self.setup.rules.clone();
        LogReplica::open_with_rules(config, rules, disk.clone(), self.clock(at))
    }

    /// Lets a node run an exchange with all others.
    #[must_use]
    pub fn with_exchange(mut self, start: Action) -> Self {
        let (start, reach, limit) = (Box::new(start), u8::MAX, u8::MAX);
        assert!(self.apply(&Action::Exchange { start, reach, limit }));
        self
    }

    /// Reading of a node's clock.
    pub fn clock(&self, at: usize) -> ClockTime {
        let rate = self.setup.rates.get(at).copied().unwrap_or(100);
        ClockTime::from_ms(10_000 + self.time * rate / 100)
    }

    /// Identifies the state of the world.
    pub fn key(&self) -> u64 {
        let nodes: Vec<u64> = self.nodes.iter().map(|node| node.key).collect();
        let network: Vec<u64> = self.network.iter().map(|packet| packet.key).collect();
        let committed: Vec<_> = self.committed.iter().map(|(at, (e, t))| (at, e.term, t)).collect();
        key_of(&(nodes, network, self.time, &self.elected, committed, self.commands))
    }

    /// The world after an action, or `None` if the action is refused or changes nothing.
    pub fn after(&self, action: &Action) -> Option<Self> {
        let mut world = self.clone();
        if !world.apply(action) {
            return None;
        }
        for node in world.nodes.iter_mut().filter(|node| node.key == 0) {
            let node = Rc::make_mut(node);
            node.key = key_of(&(&node.replica, &node.disk));
        }
        // Messages are delivered in any order, so their order must not change the key.
        world.network.sort_by_key(|packet| packet.key);
        Some(world)
    }

    pub fn apply(&mut self, action: &Action) -> bool {
        match action {
            Action::Tick(at) => self.step(*at, ReplicaInput::Tick),
            Action::Propose(at) => {
                self.commands += 1;
                let payload = EntryPayload::Command(vec![self.commands]);
                self.step(*at, ReplicaInput::Propose(payload))
            }
            Action::Change(at, members) => {
                let payload = EntryPayload::Members(members.clone());
                self.step(*at, ReplicaInput::Propose(payload))
            }
            Action::Transfer(at) => self.step(*at, ReplicaInput::Transfer),
            Action::Compact(at) => self.compact(*at),
            Action::Crash(at) => {
                let node = &self.nodes[*at];
                let (id, disk) = (node.id, node.disk.clone());
                self.replace(*at, id, disk);
                true
            }
            Action::CrashInSync(at) => self.crash_in_sync(*at),
            Action::LoseDisk(at) => {
                let id = if self.setup.keep_identity { self.nodes[*at].id } else { self.next_id };
                self.next_id += 1;
                self.replace(*at, id, StoredState::default());
                true
            }
            Action::Deliver { at, keep } => {
                let packet = self.network[*at].clone();
                if !keep {
                    self.network.remove(*at);
                }
                self.deliver(&packet)
            }
            Action::Lose(at) => {
                self.network.remove(*at);
                true
            }
            Action::Advance(ms) => {
                self.time += ms;
                self.check_lease();
                true
            }
            Action::Exchange { start, reach, limit } => self.exchange(start, *reach, *limit),
        }
    }

    fn exchange(&mut self, start: &Action, reach: u8, limit: u8) -> bool {
        if !self.apply(start) {
            return false;
        }
        for _ in 0..limit {
            let reached = |id: u64| {
                self.nodes
                    .iter()
                    .position(|node| node.id == id)
                    .is_some_and(|at| reach >> at & 1 == 1)
            };
            self.network.retain(|packet| reached(packet.from) && reached(packet.to));
            if self.network.is_empty() || self.violation.is_some() {
                break;
            }
            let packet = self.network.remove(0);
            self.deliver(&packet);
        }
        self.network.clear();
        true
    }

    fn deliver(&mut self, packet: &Packet) -> bool {
        // A node with a lost disk has another id; messages to the old one vanish.
        let Some(at) = self.nodes.iter().position(|node| node.id == packet.to) else { return true };
        let message = (*packet.message).clone();
        self.step(at, ReplicaInput::Receive { from: NodeId(packet.from), message })
    }

    fn replace(&mut self, at: usize, id: u64, disk: StoredState) {
        let replica = self.open_replica(at, id, &disk);
        self.nodes[at] = Rc::new(Node { id, replica, disk, key: 0 });
        self.check(at, true);
    }

    fn step(&mut self, at: usize, input: ReplicaInput) -> bool {
        let now = self.clock(at);
        let node = Rc::make_mut(&mut self.nodes[at]);
        node.key = 0;
        node.replica.step(now, input).is_ok() && self.flush(at)
    }

    fn crash_in_sync(&mut self, at: usize) -> bool {
        let now = self.clock(at);
        self.commands += 1;
        let payload = EntryPayload::Command(vec![self.commands]);
        let node = Rc::make_mut(&mut self.nodes[at]);
        node.key = 0;
        if node.replica.step(now, ReplicaInput::Propose(payload)).is_err() {
            return false;
        }
        let early = node.replica.take_output().take_messages_before_sync();
        let (id, disk) = (node.id, node.disk.clone());
        for (to, message) in early {
            self.send(id, to.0, message);
        }
        self.replace(at, id, disk);
        true
    }

    fn send(&mut self, from: u64, to: u64, message: ReplicaMessage) {
        let key = key_of(&(from, to, &message));
        self.network.push(Packet { from, to, message: Rc::new(message), key });
    }

    fn compact(&mut self, at: usize) -> bool {
        let node = Rc::make_mut(&mut self.nodes[at]);
        node.key = 0;
        let index = node.replica.commit_index();
        node.replica.compact(index, vec![0; 2].into()).is_ok() && self.flush(at)
    }

    /// Writes, confirms and sends all outputs. A crash in between equals a crash before the step
    /// or the loss of messages, so it needs no action of its own, except between the early messages
    /// and the write.
    fn flush(&mut self, at: usize) -> bool {
        let now = self.clock(at);
        let mut written = false;
        loop {
            let node = Rc::make_mut(&mut self.nodes[at]);
            let output = node.replica.take_output();
            if output == ReplicaOutput::default() {
                break;
            }
            write_disk(&mut node.disk, &output);
            written |= output.needs_sync();
            if let Some(input) = output.persisted() {
                node.replica.step(now, input).expect("Persisted is never refused");
            }
            let (id, term) = (node.id, node.replica.term());
            for entry in output.committed {
                self.commit(entry, term);
            }
            for (to, message) in output.messages {
                self.send(id, to.0, message);
            }
        }
        self.check(at, written);
        true
    }

    fn violate(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    fn commit(&mut self, entry: LogEntry, term: u64) {
        match self.committed.get(&entry.index) {
            Some((known, _)) if **known != entry => self.violate(Violation::CommitDiffers),
            Some(_) => {}
            None => drop(self.committed.insert(entry.index, (Rc::new(entry), term))),
        }
    }

    fn check(&mut self, at: usize, written: bool) {
        let node = Rc::clone(&self.nodes[at]);
        if node.replica.is_leader() {
            self.check_leader(&node);
        }
        for other in self.nodes.iter().filter(|_| written) {
            if other.id != node.id && !logs_match(&node.disk, &other.disk) {
                self.violation.get_or_insert(Violation::LogMatching);
            }
        }
        self.check_lease();
    }

    fn check_leader(&mut self, node: &Node) {
        let term = node.replica.term();
        if *self.elected.entry(term).or_insert(node.id) != node.id {
            self.violate(Violation::Election);
        }
        let covered = node.disk.snapshot.as_ref().map_or(0, |image| image.index);
        let lost = self.committed.values().any(|(entry, committed_in)| {
            *committed_in < term && entry.index > covered && !node.disk.entries.contains(entry)
        });
        if lost {
            self.violate(Violation::CommitLost);
        }
        // A new leader learns only later which entries are committed.
        let commit_index = self.committed.last_key_value().map_or(0, |(index, _)| *index);
        let pending = node.disk.entries.iter().filter(|entry| {
            entry.index > commit_index && matches!(entry.payload, EntryPayload::Members(_))
        });
        if pending.count() > 1 {
            self.violate(Violation::Changes);
        }
    }

    fn check_lease(&mut self) {
        let leads = |node: &Rc<Node>| node.replica.is_leader().then(|| node.replica.term());
        let latest = self.nodes.iter().filter_map(leads).max();
        let overlap = self.nodes.iter().enumerate().any(|(at, node)| {
            node.replica.lease_valid(self.clock(at)) && Some(node.replica.term()) < latest
        });
        if overlap {
            self.violate(Violation::Lease);
        }
    }
}

/// Whether the entries before the last common position are equal.
fn logs_match(a: &StoredState, b: &StoredState) -> bool {
    let (Some(a_first), Some(b_first)) = (a.entries.first(), b.entries.first()) else {
        return true;
    };
    let first = a_first.index.max(b_first.index);
    let a = a.entries.iter().skip_while(|entry| entry.index < first);
    let b = b.entries.iter().skip_while(|entry| entry.index < first);
    let pairs: Vec<_> = a.zip(b).collect();
    let common = pairs.iter().rposition(|(a, b)| a.term == b.term);
    common.is_none_or(|common| pairs[..=common].iter().all(|(a, b)| a == b))
}
