//! A deterministic cluster of replicas with an in-memory network and in-memory disks.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::replica::{
    EntryPayload, LogEntry, LogPosition, LogReplica, MemberRecord, MemberSet, ReplicaConfig,
    ReplicaError, ReplicaInput, ReplicaMessage, ReplicaOutput, SafetyRules, StoredState,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

pub fn member(node: u64) -> MemberRecord {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000 + node as u16));
    MemberRecord { node: NodeId(node), address, domain: String::new() }
}

pub fn voters(nodes: &[u64]) -> MemberSet {
    MemberSet::of_voters(nodes.iter().map(|node| member(*node)).collect())
}

/// Writes an output to a disk, in the order that [`ReplicaOutput`] requires.
pub fn write_disk(disk: &mut StoredState, output: &ReplicaOutput) {
    if let Some(vote) = output.vote {
        disk.vote = vote;
    }
    if let Some(image) = &output.snapshot {
        disk.snapshot = Some(image.clone());
    }
    if let Some(from) = output.truncate_from {
        disk.entries.retain(|entry| entry.index < from);
    }
    disk.entries.extend(output.append.iter().cloned());
    if let Some(image) = &output.snapshot {
        // Storage removes whole segments, so some entries that the snapshot contains stay.
        disk.entries.retain(|entry| entry.index + 2 > image.index);
    }
}

/// A process with its replica, its disk and the entries that it has applied.
pub struct Process {
    pub replica: LogReplica,
    pub disk: StoredState,
    pub applied: Vec<LogEntry>,
    pub restored_at: u64,
}

/// Processes that receive messages in the order in which they were sent.
pub struct Cluster {
    pub now: ClockTime,
    pub processes: BTreeMap<u64, Process>,
    pub network: VecDeque<(u64, u64, ReplicaMessage)>,
    /// Nodes that neither send nor receive.
    pub isolated: BTreeSet<u64>,
    /// Every message sent since the list was last cleared.
    pub sent: Vec<(u64, u64, ReplicaMessage)>,
    keep_entries: u64,
}

impl Cluster {
    pub fn open(nodes: &[u64]) -> Self {
        let mut cluster = Self {
            now: ClockTime::from_ms(1_000),
            processes: BTreeMap::new(),
            network: VecDeque::new(),
            isolated: BTreeSet::new(),
            sent: Vec::new(),
            keep_entries: 4,
        };
        for node in nodes {
            cluster.start(*node, StoredState::initial(voters(nodes)));
        }
        cluster
    }

    /// Starts a process, or restarts one from the given disk.
    pub fn start(&mut self, node: u64, disk: StoredState) {
        let mut config = ReplicaConfig::of_node(NodeId(node), node);
        config.keep_entries = self.keep_entries;
        let stored = disk.clone();
        let replica = LogReplica::open_with_rules(config, SafetyRules::default(), stored, self.now);
        let restored_at = disk.snapshot.as_ref().map_or(0, |image| image.index);
        let process = Process { replica, disk, applied: Vec::new(), restored_at };
        self.processes.insert(node, process);
    }

    pub fn restart(&mut self, node: u64) {
        let disk = self.processes[&node].disk.clone();
        self.start(node, disk);
    }

    pub fn replica(&self, node: u64) -> &LogReplica {
        &self.processes[&node].replica
    }

    pub fn step(
        &mut self,
        node: u64,
        input: ReplicaInput,
    ) -> Result<Option<LogPosition>, ReplicaError> {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&node) else { return Ok(None) };
        process.replica.step(now, input)
    }

    /// Writes the outputs of a node, reports them as persisted and sends their messages, until
    /// there are no more outputs.
    pub fn flush(&mut self, node: u64) {
        let now = self.now;
        while let Some(process) = self.processes.get_mut(&node) {
            let output = process.replica.take_output();
            if output == ReplicaOutput::default() {
                return;
            }
            write_disk(&mut process.disk, &output);
            if let Some(input) = output.persisted() {
                process.replica.step(now, input).expect("Persisted is never refused");
            }
            if output.restore {
                process.restored_at = output.snapshot.as_ref().map_or(0, |image| image.index);
            }
            process.applied.extend(output.committed);
            for (to, message) in output.messages {
                self.sent.push((node, to.0, message.clone()));
                self.network.push_back((node, to.0, message));
            }
        }
    }

    /// Delivers messages until the network is empty.
    pub fn deliver(&mut self) {
        while let Some((from, to, message)) = self.network.pop_front() {
            if self.isolated.contains(&from) || self.isolated.contains(&to) {
                continue;
            }
            self.step(to, ReplicaInput::Receive { from: NodeId(from), message })
                .expect("a message is never refused");
            self.flush(to);
        }
    }

    /// Advances the time in steps of 10 ms.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now = self.now.plus(10);
            let nodes: Vec<u64> = self.processes.keys().copied().collect();
            for node in nodes {
                self.step(node, ReplicaInput::Tick).expect("a tick is never refused");
                self.flush(node);
            }
            self.deliver();
        }
    }

    /// Returns the leader with a valid lease.
    pub fn leader(&self) -> Option<u64> {
        let leads = |node: &&u64| {
            !self.isolated.contains(*node) && self.replica(**node).lease_valid(self.now)
        };
        self.processes.keys().find(leads).copied()
    }

    /// Runs until a leader has a valid lease, for 5 s at most.
    pub fn elect(&mut self) -> u64 {
        for _ in 0..500 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run(10);
        }
        panic!("no leader after 5 s");
    }

    pub fn propose(
        &mut self,
        node: u64,
        payload: EntryPayload,
    ) -> Result<LogPosition, ReplicaError> {
        let position = self.step(node, ReplicaInput::Propose(payload))?;
        Ok(position.expect("a proposal has a position"))
    }

    pub fn command(&mut self, node: u64, bytes: &[u8]) -> LogPosition {
        self.propose(node, EntryPayload::Command(bytes.to_vec())).expect("the leader accepts")
    }

    /// Proposes a membership, runs for 300 ms and checks that it is in effect at the leader.
    pub fn change(&mut self, leader: u64, members: &MemberSet) {
        self.propose(leader, EntryPayload::Members(members.clone())).expect("a valid change");
        self.flush(leader);
        self.run(300);
        assert_eq!(self.replica(leader).members(), members);
        assert!(self.replica(leader).members_settled());
    }

    pub fn commands(&self, node: u64) -> Vec<Vec<u8>> {
        let applied = self.processes[&node].applied.iter();
        applied
            .filter_map(|entry| match &entry.payload {
                EntryPayload::Command(bytes) => Some(bytes.clone()),
                _ => None,
            })
            .collect()
    }
}
