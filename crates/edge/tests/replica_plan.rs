//! Choice of the replicas of the register while disks fail, are replaced and come back.

use burdockcleat_edge::register::{
    DiskPresence, DiskReport, RegisterValue, ReplicaKey, plan_replicas,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

const DOMAINS: u8 = 3;
/// Time from the start of a successor until the next machine may be lost, in ms: `catch_up_s` of the
/// deployments.
const CATCH_UP_MS: u64 = 4_000;
/// Time without a status after which a node counts as down, in ms.
const FAILURE_TIMEOUT_MS: u64 = 1_000;
const STEP_MS: u64 = 100;
const SCHEDULES: u64 = 40;
const LOSSES: usize = 12;

fn key(host: u8, disk: u64) -> ReplicaKey {
    ReplicaKey { address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 7_600), disk }
}

fn heard(host: u8) -> DiskReport {
    report(host, DiskPresence::Heard { uptime_ms: 60_000, leaving: false })
}

fn report(host: u8, presence: DiskPresence) -> DiskReport {
    DiskReport { key: key(host, 1), domain: format!("z{}", host % DOMAINS), presence }
}

fn hosts(set: &BTreeSet<ReplicaKey>) -> Vec<u8> {
    set.iter().map(|key| key.address.ip().octets()[3]).collect()
}

fn plan(current: &[u8], disks: &[DiskReport]) -> Vec<u8> {
    let current = current.iter().map(|host| key(*host, 1)).collect();
    hosts(&plan_replicas(&current, disks))
}

/// Guards against a set with an even number of replicas, which bears no more losses than one replica
/// fewer, and against one failure domain with more replicas than it needs.
#[test]
fn the_number_of_replicas_is_odd() {
    let disks: Vec<_> = (1..=6).map(heard).collect();
    assert_eq!(plan(&[], &disks[..1]), [1]);
    assert_eq!(plan(&[], &disks[..3]), [1, 2, 3]);
    assert_eq!(plan(&[], &disks[..4]), [1, 2, 3]);
    assert_eq!(plan(&[], &disks), [1, 2, 3, 4, 5]);
    assert_eq!(plan(&[1, 2, 3, 4], &disks[..4]), [1, 2, 3], "four of an earlier build");
    assert_eq!(plan(&[1, 2, 3], &disks), [1, 2, 3, 4, 5], "two more disks");
    let same_domain = [heard(1), heard(4), heard(7), heard(2), heard(3)];
    assert_eq!(plan(&[], &same_domain[..4]), [1, 2, 4]);
}

/// Guards against a replica that keeps its place when it leaves, falls silent or loses its disk while
/// another disk stands by.
#[test]
fn a_failed_replica_is_replaced_by_a_disk_that_stands_by() {
    let silent = |silence_ms| DiskPresence::Silent { silence_ms };
    let failed = |presence| plan(&[1, 2, 3], &[heard(1), heard(2), report(3, presence), heard(4)]);
    assert_eq!(failed(DiskPresence::Heard { uptime_ms: 60_000, leaving: true }), [1, 2, 4]);
    assert_eq!(failed(silent(1_900)), [1, 2, 3]);
    assert_eq!(failed(silent(2_000)), [1, 2, 4]);
    assert_eq!(failed(DiskPresence::Gone), [1, 2, 4]);
    let starting = DiskPresence::Heard { uptime_ms: 300, leaving: false };
    let leaving = DiskPresence::Heard { uptime_ms: 60_000, leaving: true };
    for unfit in [starting, leaving, silent(10)] {
        let disks = [heard(1), heard(2), report(3, DiskPresence::Gone), report(4, unfit)];
        assert_eq!(plan(&[1, 2, 3], &disks), [1, 2, 3], "{unfit:?}");
    }
}

/// Guards against removing one replica of an odd set without a replacement, which bears fewer losses
/// afterwards, and against keeping two that are gone for good.
#[test]
fn lost_replicas_are_removed_in_pairs() {
    let lost = |host| report(host, DiskPresence::Silent { silence_ms: 15_000 });
    let disks = [heard(1), heard(2), heard(3), heard(4), lost(5)];
    assert_eq!(plan(&[1, 2, 3, 4, 5], &disks), [1, 2, 3, 4, 5]);
    let disks = [heard(1), heard(2), heard(3), lost(4), lost(5)];
    assert_eq!(plan(&[1, 2, 3, 4, 5], &disks), [1, 2, 3]);
    assert_eq!(plan(&[1, 2, 3], &[heard(1), lost(2), lost(3)]), [1, 2, 3]);
}

/// Node with a disk in the simulation.
#[derive(Clone, Copy)]
struct SimulatedNode {
    disk: u64,
    started_ms: u64,
    down_since: Option<u64>,
    leaving: bool,
}

struct Simulation {
    random: StdRng,
    now_ms: u64,
    nodes: BTreeMap<u8, SimulatedNode>,
    value: RegisterValue,
    next_disk: u64,
}

impl Simulation {
    fn new(seed: u64, count: u8) -> Self {
        let node = SimulatedNode { disk: 1, started_ms: 0, down_since: None, leaving: false };
        let nodes = (1..=count).map(|host| (host, node)).collect();
        let disks: Vec<_> = (1..=count).map(heard).collect();
        let replicas = plan_replicas(&BTreeSet::new(), &disks);
        let value = RegisterValue {
            replicas: replicas.clone(),
            previous: replicas,
            ..RegisterValue::default()
        };
        let random = StdRng::seed_from_u64(seed);
        Self { random, now_ms: 60_000, nodes, value, next_disk: 2 }
    }

    fn presence(&self, replica: ReplicaKey) -> DiskPresence {
        let node = &self.nodes[&replica.address.ip().octets()[3]];
        let silence_ms = node.down_since.map_or(0, |since| self.now_ms - since);
        if silence_ms > FAILURE_TIMEOUT_MS {
            DiskPresence::Silent { silence_ms }
        } else if node.disk == replica.disk {
            let uptime_ms = self.now_ms - node.started_ms;
            DiskPresence::Heard { uptime_ms, leaving: node.leaving }
        } else {
            DiskPresence::Gone
        }
    }

    /// Returns the replicas that answer: their processes run and hold the disk of the set.
    fn answering(&self) -> BTreeSet<ReplicaKey> {
        let running = self.nodes.iter().filter(|(_, node)| node.down_since.is_none());
        running.map(|(host, node)| key(*host, node.disk)).collect()
    }

    /// Passes time, in steps of the register's maintenance.
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now_ms += STEP_MS;
            if !self.value.has_quorum(&self.answering()) {
                continue;
            }
            if !self.value.settled() {
                self.value.previous.clone_from(&self.value.replicas);
                continue;
            }
            let heard = self.nodes.iter().map(|(host, node)| key(*host, node.disk));
            let known: BTreeSet<_> = heard.chain(self.value.replicas.iter().copied()).collect();
            let disks: Vec<_> = known
                .into_iter()
                .map(|key| DiskReport {
                    key,
                    domain: format!("z{}", key.address.ip().octets()[3] % DOMAINS),
                    presence: self.presence(key),
                })
                .collect();
            let mut next = self.value.clone();
            next.replicas = plan_replicas(&next.replicas, &disks);
            if next.has_quorum(&self.answering()) {
                self.value = next;
            }
        }
    }

    /// Replaces a node by one with an empty disk at another address, or wipes its disk, or restarts
    /// it.
    fn lose_one(&mut self) {
        let running = self.nodes.iter().filter(|(_, node)| node.down_since.is_none());
        let hosts: Vec<_> = running.map(|(host, _)| *host).collect();
        let Some(host) = hosts.choose(&mut self.random).copied() else { return };
        let successor = self.nodes.keys().max().map_or(1, |host| host + 1);
        let disk = self.next_disk;
        self.next_disk += 1;
        let started =
            |now_ms| SimulatedNode { disk, started_ms: now_ms, down_since: None, leaving: false };
        match self.random.random_range(0..4) {
            // Planned: the successor comes first.
            0 => {
                self.nodes.insert(successor, started(self.now_ms));
                self.pass(CATCH_UP_MS);
                self.change(host, |node| node.leaving = true);
                let leaving_ms = self.random.random_range(5..80) * STEP_MS;
                self.pass(leaving_ms);
                let now_ms = self.now_ms;
                self.change(host, |node| node.down_since = Some(now_ms));
            }
            // Gone for good, with a successor one second later.
            1 => {
                let now_ms = self.now_ms;
                self.change(host, |node| node.down_since = Some(now_ms));
                self.pass(1_000);
                self.nodes.insert(successor, started(self.now_ms));
                self.pass(CATCH_UP_MS);
            }
            // Back at its address with or without its disk.
            back => {
                let now_ms = self.now_ms;
                self.change(host, |node| node.down_since = Some(now_ms));
                let down_ms = self.random.random_range(5..60) * STEP_MS;
                self.pass(down_ms);
                let now_ms = self.now_ms;
                self.change(host, |node| {
                    let kept = if back == 2 { node.disk } else { disk };
                    *node = SimulatedNode { disk: kept, ..started(now_ms) };
                });
                self.pass(CATCH_UP_MS);
            }
        }
    }

    fn change(&mut self, host: u8, change: impl FnOnce(&mut SimulatedNode)) {
        if let Some(node) = self.nodes.get_mut(&host) {
            change(node);
        }
    }

    /// Returns whether a quorum is left after the loss of any `count` disks.
    fn bears_losses(&self, count: usize) -> bool {
        let answering: Vec<_> = self.answering().into_iter().collect();
        let all: BTreeSet<_> = answering.iter().copied().collect();
        let without = |lost: &[ReplicaKey]| {
            let rest = all.iter().filter(|key| !lost.contains(key)).copied().collect();
            self.value.has_quorum(&rest)
        };
        match count {
            1 => answering.iter().all(|one| without(&[*one])),
            _ => answering.iter().all(|one| answering.iter().all(|other| without(&[*one, *other]))),
        }
    }
}

/// Guards against a set of replicas that cannot bear the losses that a deployment tolerates, `catch_up_s`
/// after the previous loss was made good.
#[test]
fn the_tolerated_losses_leave_a_quorum_after_each_repair() {
    for (count, tolerated) in [(3, 1), (4, 1), (5, 2), (6, 2), (7, 2)] {
        for seed in 0..SCHEDULES {
            let mut simulation = Simulation::new(seed, count);
            for loss in 0..LOSSES {
                simulation.lose_one();
                let replicas = hosts(&simulation.value.replicas);
                assert!(
                    simulation.bears_losses(tolerated),
                    "{count} disks, seed {seed}, loss {loss}: {replicas:?}"
                );
                assert!(replicas.len() % 2 == 1, "{count} disks, seed {seed}: {replicas:?}");
            }
        }
    }
}
