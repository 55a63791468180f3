//! Lossy exchanges of statuses, and their size.

use super::*;
use crate::datagram::ValueId;
use crate::facts::FactDigests;
use crate::placement::TargetKey;
use crate::register::BallotNumber;
use crate::streams::{ServiceKey, StreamKey, StreamRecord};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const RECEIVER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 4, 0, 1), 7_400);

fn status(process: u64, random: &mut StdRng) -> NodeStatus {
    let ballot = BallotNumber { counter: 12, proposer: random.random() };
    let value = Some(ValueId { ballot, version: 7 });
    let peer = |last: u8| SocketAddrV4::new(Ipv4Addr::new(10, 4, 0, last), 7_400);
    let request = |key: u64, random: &mut StdRng| ActiveRequest {
        key: PlacementKey(process.wrapping_add(key * 3)),
        target: TargetKey(random.random()),
        prompt_tokens: random.random_range(100..4_000),
        started: true,
        most_tokens: 0,
        written_tokens: 0,
    };
    let record = |random: &mut StdRng| StreamRecord {
        stream: StreamKey(random.random()),
        service: ServiceKey(1 << 31),
        version: crate::placement::VersionKey(1 << 31),
    };
    NodeStatus {
        process: ProcessKey(process),
        sequence: 0,
        address: peer(40),
        domain: "north-2".into(),
        disk: Some(process),
        first_start: false,
        warm: true,
        leaving: false,
        applied: value,
        accepted: value,
        peers: (0..8).map(peer).collect(),
        active: Some((0..20).map(|key| request(key, random)).collect()),
        disk_majority: true,
        restricted: false,
        facts: FactDigests { departures: random.random(), suspects: 0, limits: random.random() },
        used: (0..16)
            .map(|key| (key << 27, AllowanceUsage { used: 4_000_000, pending: 900 }))
            .collect(),
        streams: StreamGroup::collect(&(0..5).map(|_| record(random)).collect::<Vec<_>>()),
        rollouts: Vec::new(),
    }
}

/// Changes some parts of a status as time does.
fn change(status: &mut NodeStatus, random: &mut StdRng) {
    status.sequence += 1;
    if random.random_bool(0.05) {
        status.warm = !status.warm;
    }
    let active = status.active.get_or_insert_default();
    active.retain(|_| random.random_bool(0.9));
    for request in active.iter_mut().filter(|_| random.random_bool(0.1)) {
        request.started = !request.started;
    }
    let last = active.last().map_or(status.process.0, |request| request.key.0);
    let (key, target) = (PlacementKey(last.wrapping_add(1)), TargetKey(random.random()));
    active.push(ActiveRequest {
        key,
        target,
        prompt_tokens: 700,
        started: false,
        most_tokens: 0,
        written_tokens: 0,
    });
    active.sort_by_key(|request| request.key);
    status.used.retain(|_| random.random_bool(0.99));
    for (_, usage) in status.used.iter_mut().filter(|_| random.random_bool(0.3)) {
        usage.used += 1_000;
    }
    if random.random_bool(0.1) {
        let key = 100 + random.random_range(0..16);
        status.used.retain(|(workspace, _)| *workspace != key);
        status.used.push((key, AllowanceUsage { used: 0, pending: 5 }));
        status.used.sort_by_key(|(workspace, _)| *workspace);
    }
}

/// One node that sends statuses and keeps those of another one.
struct Peer {
    status: NodeStatus,
    log: StatusLog,
    known: Option<NodeStatus>,
    acknowledged: Option<HeardStatus>,
}

impl Peer {
    fn new(random: &mut StdRng) -> Self {
        let (process, log) = (random.random(), StatusLog::default());
        Self { status: status(process, random), log, known: None, acknowledged: None }
    }

    fn send(&mut self, with_active: bool, random: &mut StdRng) -> (CompactStatus, NodeStatus) {
        change(&mut self.status, random);
        self.log.record(&self.status);
        let mut sent = self.status.clone();
        sent.active = sent.active.filter(|_| with_active);
        let heard = self.known.as_ref().map(HeardStatus::of);
        (self.log.compact(&sent, RECEIVER, self.acknowledged, heard), sent)
    }

    /// Takes a status. Returns whether it could be restored.
    fn receive(&mut self, compact: CompactStatus, sent: &NodeStatus) -> bool {
        self.acknowledged = compact.heard();
        let Some(restored) = compact.restore(self.known.as_ref()) else { return false };
        assert_eq!(&restored, sent);
        self.known = Some(restored);
        true
    }
}

/// Guards against statuses that leave out what their receiver lacks: after losses, after restarts of
/// either node, and when the running requests are left out for some time.
#[test]
fn every_status_that_arrives_tells_what_a_complete_one_would() {
    let mut unrestored = 0;
    for seed in 0..40 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut nodes = [Peer::new(&mut random), Peer::new(&mut random)];
        for step in 0..500 {
            let (from, to) = (step % 2, (step + 1) % 2);
            if random.random_bool(0.01) {
                nodes[from] = Peer::new(&mut random);
            }
            let with_active = random.random_bool(0.8);
            let (compact, sent) = nodes[from].send(with_active, &mut random);
            if random.random_bool(0.3) {
                continue;
            }
            if nodes[to].receive(compact, &sent) {
                continue;
            }
            // The receiver has started since and answers at once, so the next one is complete.
            unrestored += 1;
            let (answer, answered) = nodes[to].send(true, &mut random);
            assert!(nodes[from].receive(answer, &answered), "seed {seed} step {step}");
            let (compact, sent) = nodes[from].send(true, &mut random);
            assert!(compact.is_complete() && nodes[to].receive(compact, &sent));
        }
    }
    assert!(unrestored >= 20, "only {unrestored} statuses met a restart");
}

/// Prints the size of each part of a status. Guards against statuses that grow back to complete ones.
#[test]
fn a_status_is_small_while_little_changes() {
    let mut random = StdRng::seed_from_u64(1);
    let size = |value: &CompactStatus| postcard::to_stdvec(value).map_or(0, |bytes| bytes.len());
    let mut node = Peer::new(&mut random);
    let full = node.status.clone();
    let part = |bytes: Result<Vec<u8>, _>| bytes.map_or(0, |bytes: Vec<u8>| bytes.len());
    println!(
        "plain={} used={} active={} peers={} streams={} domain={} applied_accepted={} facts={}",
        part(postcard::to_stdvec(&full)),
        part(postcard::to_stdvec(&full.used)),
        part(postcard::to_stdvec(&full.active)),
        part(postcard::to_stdvec(&full.peers)),
        part(postcard::to_stdvec(&full.streams)),
        part(postcard::to_stdvec(&full.domain)),
        part(postcard::to_stdvec(&(full.applied, full.accepted))),
        part(postcard::to_stdvec(&full.facts)),
    );
    let (first, _) = node.send(true, &mut random);
    node.acknowledged = Some(HeardStatus::of(&node.status));
    let (next, sent) = node.send(true, &mut random);
    let mut without = sent.clone();
    without.streams.clear();
    let without = node.log.compact(&without, RECEIVER, node.acknowledged, None);
    println!("first={} next={} without_streams={}", size(&first), size(&next), size(&without));
    assert!(size(&next) * 2 < part(postcard::to_stdvec(&full)), "{}", size(&next));
}
