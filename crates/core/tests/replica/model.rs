//! The model that the searches explore: nodes, disks, messages in flight and the observed leaders
//! and commits.

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

/// Violated invariant of the log. A search stops at the first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two leaders in one term.
    TwoLeaders,
    /// Two logs contain the same position but differ before it.
    LogMatching,
    /// Two replicas committed different entries at one index.
    ConflictingCommits,
    /// A new leader lacks an entry that was committed in an earlier term.
    LostCommit,
    /// A leader has more than one uncommitted membership change.
    OverlappingChanges,
    /// A replica has a valid lease while another one is the leader of a later term.
    OverlappingLease,
}

/// Steps of the model. Nodes and messages are given by their position in [`Model`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Tick(usize),
    Propose(usize),
    Change(usize, MemberSet),
    Transfer(usize),
    Compact(usize),
    /// Restarts a node from its disk.
    Crash(usize),
    /// A leader appends an entry, sends the messages that need no sync, and restarts without the
    /// entry.
    CrashInSync(usize),
    /// Restarts a node with an empty disk.
    LoseDisk(usize),
    /// Delivers a message. With `duplicate`, a copy stays in flight.
    Deliver {
        at: usize,
        duplicate: bool,
    },
    /// Removes a message in flight.
    DropMessage(usize),
    /// Advances the time, in milliseconds.
    Advance(u64),
    /// A step of one node, then up to `limit` deliveries in order between the nodes in the bit set
    /// `reachable`. All other messages are lost.
    Exchange {
        start: Box<Action>,
        reachable: u8,
        limit: u8,
    },
}

#[derive(Clone)]
pub struct Node {
    pub id: u64,
    pub replica: LogReplica,
    pub disk: StoredState,
    /// Hash of the replica and the disk. Zero if they have changed since it was computed.
    hash: u64,
}

#[derive(Clone)]
pub struct Packet {
    pub from: u64,
    pub to: u64,
    pub message: Rc<ReplicaMessage>,
    hash: u64,
}

impl Packet {
    pub fn is_same(&self, other: &Self) -> bool {
        self.hash == other.hash
    }
}

/// Settings of a search.
#[derive(Clone)]
pub struct Setup {
    pub rules: SafetyRules,
    /// Shortest and longest election timeout.
    pub election_ms: (u64, u64),
    pub lease_ms: u64,
    /// Clock rate of each node in percent.
    pub clock_rates: Vec<u64>,
    /// Whether a replica keeps its identity when it loses its disk, which is unsafe.
    pub keep_identity: bool,
    pub seed: u64,
}

impl Setup {
    /// Sets all timeouts to zero, so that each of them may expire at any time.
    pub fn untimed(rules: SafetyRules) -> Self {
        Self { election_ms: (0, 0), lease_ms: 0, ..Self::timed(rules, &[]) }
    }

    /// Uses the default lease, the shortest default election timeout and the given clock rates.
    pub fn timed(rules: SafetyRules, clock_rates: &[u64]) -> Self {
        let (election_ms, clock_rates) = ((600, 600), clock_rates.to_vec());
        Self { rules, election_ms, lease_ms: 500, clock_rates, keep_identity: false, seed: 0 }
    }
}

#[derive(Clone)]
pub struct Model {
    pub setup: Rc<Setup>,
    pub nodes: Vec<Rc<Node>>,
    pub network: Vec<Packet>,
    /// Time in milliseconds.
    pub time: u64,
    pub leaders_by_term: BTreeMap<u64, u64>,
    /// Committed entries with the term in which a replica first knew of the commit.
    pub committed: BTreeMap<u64, (Rc<LogEntry>, u64)>,
    pub violation: Option<Violation>,
    next_id: u64,
    command_count: u8,
}

pub fn hash_of<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl Model {
    /// Starts three voters. `spare_node` adds a fourth node with an empty disk.
    pub fn open(setup: Setup, spare_node: bool) -> Self {
        let mut model = Self {
            setup: Rc::new(setup),
            nodes: Vec::new(),
            network: Vec::new(),
            time: 0,
            leaders_by_term: BTreeMap::new(),
            committed: BTreeMap::new(),
            violation: None,
            next_id: 5,
            command_count: 0,
        };
        for id in 1..=3 {
            model.push_node(id, StoredState::initial(voters(&[1, 2, 3])));
        }
        if spare_node {
            model.push_node(4, StoredState::default());
        }
        model
    }

    fn push_node(&mut self, id: u64, disk: StoredState) {
        let at = self.nodes.len();
        let replica = self.open_replica(at, id, &disk);
        self.nodes.push(Rc::new(Node { id, replica, disk, hash: 0 }));
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

    /// Runs a step of a node and delivers all messages that follow from it.
    #[must_use]
    pub fn with_exchange(mut self, start: Action) -> Self {
        let (start, reachable, limit) = (Box::new(start), u8::MAX, u8::MAX);
        assert!(self.apply(&Action::Exchange { start, reachable, limit }));
        self
    }

    /// Returns the reading of a node's clock.
    pub fn clock(&self, at: usize) -> ClockTime {
        let rate = self.setup.clock_rates.get(at).copied().unwrap_or(100);
        ClockTime::from_ms(10_000 + self.time * rate / 100)
    }

    /// Returns a hash of the state of the model.
    pub fn state_hash(&self) -> u64 {
        let nodes: Vec<u64> = self.nodes.iter().map(|node| node.hash).collect();
        let network: Vec<u64> = self.network.iter().map(|packet| packet.hash).collect();
        let committed: Vec<_> = self.committed.iter().map(|(at, (e, t))| (at, e.term, t)).collect();
        hash_of(&(nodes, network, self.time, &self.leaders_by_term, committed, self.command_count))
    }

    /// Returns the model after an action, or `None` if the action is refused.
    pub fn after(&self, action: &Action) -> Option<Self> {
        let mut model = self.clone();
        if !model.apply(action) {
            return None;
        }
        for node in model.nodes.iter_mut().filter(|node| node.hash == 0) {
            let node = Rc::make_mut(node);
            node.hash = hash_of(&(&node.replica, &node.disk));
        }
        // Messages are delivered in any order, so their order must not change the hash.
        model.network.sort_by_key(|packet| packet.hash);
        Some(model)
    }

    pub fn apply(&mut self, action: &Action) -> bool {
        match action {
            Action::Tick(at) => self.step(*at, ReplicaInput::Tick),
            Action::Propose(at) => {
                self.command_count += 1;
                let payload = EntryPayload::Command(vec![self.command_count]);
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
            Action::Deliver { at, duplicate } => {
                let packet = self.network[*at].clone();
                if !duplicate {
                    self.network.remove(*at);
                }
                self.deliver(&packet)
            }
            Action::DropMessage(at) => {
                self.network.remove(*at);
                true
            }
            Action::Advance(ms) => {
                self.time += ms;
                self.check_lease();
                true
            }
            Action::Exchange { start, reachable, limit } => {
                self.exchange(start, *reachable, *limit)
            }
        }
    }

    fn exchange(&mut self, start: &Action, reachable: u8, limit: u8) -> bool {
        if !self.apply(start) {
            return false;
        }
        for _ in 0..limit {
            let is_reachable = |id: u64| {
                self.nodes
                    .iter()
                    .position(|node| node.id == id)
                    .is_some_and(|at| reachable >> at & 1 == 1)
            };
            self.network.retain(|packet| is_reachable(packet.from) && is_reachable(packet.to));
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
        // A node that lost its disk has a new id. Messages to the old id are lost.
        let Some(at) = self.nodes.iter().position(|node| node.id == packet.to) else { return true };
        let message = (*packet.message).clone();
        self.step(at, ReplicaInput::Receive { from: NodeId(packet.from), message })
    }

    fn replace(&mut self, at: usize, id: u64, disk: StoredState) {
        let replica = self.open_replica(at, id, &disk);
        self.nodes[at] = Rc::new(Node { id, replica, disk, hash: 0 });
        self.check(at, true);
    }

    fn step(&mut self, at: usize, input: ReplicaInput) -> bool {
        let now = self.clock(at);
        let node = Rc::make_mut(&mut self.nodes[at]);
        node.hash = 0;
        node.replica.step(now, input).is_ok() && self.flush(at)
    }

    fn crash_in_sync(&mut self, at: usize) -> bool {
        let now = self.clock(at);
        self.command_count += 1;
        let payload = EntryPayload::Command(vec![self.command_count]);
        let node = Rc::make_mut(&mut self.nodes[at]);
        node.hash = 0;
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
        let hash = hash_of(&(from, to, &message));
        self.network.push(Packet { from, to, message: Rc::new(message), hash });
    }

    fn compact(&mut self, at: usize) -> bool {
        let node = Rc::make_mut(&mut self.nodes[at]);
        node.hash = 0;
        let index = node.replica.commit_index();
        node.replica.compact(index, vec![0; 2].into()).is_ok() && self.flush(at)
    }

    /// Writes all outputs of a node, reports them as persisted and sends their messages.
    ///
    /// A crash in between has the same effect as a crash before the step or as lost messages, so it
    /// needs no action of its own. The exception is a crash after the messages that need no sync
    /// and before the write, for which there is [`Action::CrashInSync`].
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

    fn record_violation(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    fn commit(&mut self, entry: LogEntry, term: u64) {
        match self.committed.get(&entry.index) {
            Some((known, _)) if **known != entry => {
                self.record_violation(Violation::ConflictingCommits);
            }
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
        if *self.leaders_by_term.entry(term).or_insert(node.id) != node.id {
            self.record_violation(Violation::TwoLeaders);
        }
        let covered = node.disk.snapshot.as_ref().map_or(0, |image| image.index);
        let lost = self.committed.values().any(|(entry, committed_in)| {
            *committed_in < term && entry.index > covered && !node.disk.entries.contains(entry)
        });
        if lost {
            self.record_violation(Violation::LostCommit);
        }
        // The commit index of the model is used, as a new leader learns only later which entries
        // are committed.
        let commit_index = self.committed.last_key_value().map_or(0, |(index, _)| *index);
        let pending = node.disk.entries.iter().filter(|entry| {
            entry.index > commit_index && matches!(entry.payload, EntryPayload::Members(_))
        });
        if pending.count() > 1 {
            self.record_violation(Violation::OverlappingChanges);
        }
    }

    fn check_lease(&mut self) {
        let leads = |node: &Rc<Node>| node.replica.is_leader().then(|| node.replica.term());
        let latest = self.nodes.iter().filter_map(leads).max();
        let overlap = self.nodes.iter().enumerate().any(|(at, node)| {
            node.replica.lease_valid(self.clock(at)) && Some(node.replica.term()) < latest
        });
        if overlap {
            self.record_violation(Violation::OverlappingLease);
        }
    }
}

/// Returns whether two logs are equal up to their last common position.
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
