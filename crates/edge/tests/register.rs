//! Randomized simulation of the configuration register with lost messages, crashed proposers, wiped
//! disks and replaced replicas. Guards against documents that are lost, revert to an older version
//! or differ under the same version.

use burdockcleat_edge::register::{
    BallotNumber, PhaseReply, ProposerRound, RegisterChange, RegisterValue, ReplicaKey,
    ReplicaState, RoundPhase, find_chosen,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

/// Number of random schedules per search.
const SCHEDULES: u64 = 2_000;
/// Number of steps per schedule.
const STEPS: usize = 220;
/// Maximum number of concurrent rounds.
const MAX_ROUNDS: usize = 3;

/// Number of empty disks besides the initial replicas.
const SPARES: u8 = 2;

/// Variant of the protocol that a search simulates.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ProtocolVariant {
    Correct,
    /// Faulty: a wiped disk keeps its old number and so its replica key.
    ReusedDiskNumber,
}

struct RunningRound {
    round: ProposerRound,
    change: RegisterChange,
}

struct Simulation {
    random: StdRng,
    variant: ProtocolVariant,
    replicas: BTreeMap<ReplicaKey, ReplicaState>,
    rounds: Vec<RunningRound>,
    next_counter: u64,
    next_disk: u64,
    /// Chosen documents by version.
    documents: BTreeMap<u64, Arc<Vec<u8>>>,
    /// Highest acknowledged version.
    acknowledged: u64,
    /// Newest value observed as chosen, with its ballot.
    newest_chosen: (BallotNumber, RegisterValue),
    violation: Option<String>,
}

fn key(host: u8, disk: u64) -> ReplicaKey {
    ReplicaKey { address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 7_600), disk }
}

impl Simulation {
    fn new(seed: u64, variant: ProtocolVariant, count: u8) -> Self {
        let keys: BTreeSet<_> = (1..=count).map(|host| key(host, u64::from(host))).collect();
        let value = RegisterValue {
            replicas: keys.clone(),
            previous: keys.clone(),
            ..RegisterValue::default()
        };
        let ballot = BallotNumber { counter: 1, proposer: 0 };
        let mut replicas = BTreeMap::new();
        for key in keys {
            let mut state = ReplicaState::default();
            state.accept(ballot, &value);
            replicas.insert(key, state);
        }
        for spare in 0..SPARES {
            replicas.insert(key(20 + spare, u64::from(20 + spare)), ReplicaState::default());
        }
        Self {
            random: StdRng::seed_from_u64(seed),
            variant,
            replicas,
            rounds: Vec::new(),
            next_counter: 2,
            next_disk: 100,
            documents: BTreeMap::new(),
            acknowledged: 0,
            newest_chosen: (ballot, value),
            violation: None,
        }
    }

    fn run(&mut self) -> Option<String> {
        for _ in 0..STEPS {
            match self.random.random_range(0..100) {
                0..12 => self.start_round(),
                12..15 => self.abandon_round(),
                15..17 => self.wipe_disk(),
                _ => self.deliver_message(),
            }
            if self.violation.is_some() {
                return self.violation.take();
            }
        }
        None
    }

    fn start_round(&mut self) {
        if self.rounds.len() >= MAX_ROUNDS {
            return;
        }
        let version = self.acknowledged + self.random.random_range(0..4);
        let body = Arc::new(vec![self.random.random(); 2]);
        let settled = self.newest_chosen.1.settled();
        let replicas = self.newest_chosen.1.replicas.clone();
        let change = match self.random.random_range(0..10) {
            0..6 => RegisterChange::Document { version, body },
            6..8 if settled => {
                RegisterChange::Replicas { from: replicas, to: self.repaired_replicas() }
            }
            6..9 if !settled => RegisterChange::Settle(replicas),
            _ => RegisterChange::Confirm,
        };
        let proposer = self.random.random_range(1..4);
        let counter = self.next_counter;
        self.next_counter += 1;
        let ballot = BallotNumber { counter, proposer };
        // Proposers may know only an outdated set of replicas.
        let known: BTreeSet<_> = if self.random.random_bool(0.5) {
            self.newest_chosen.1.voters()
        } else {
            self.initial_replicas()
        };
        let round = ProposerRound::new(ballot, change.clone(), known);
        self.rounds.push(RunningRound { round, change });
    }

    fn initial_replicas(&self) -> BTreeSet<ReplicaKey> {
        (1..=3).map(|host| key(host, u64::from(host))).collect()
    }

    /// Returns the replicas with wiped disks replaced by the current disk at the same address, and
    /// sometimes with live replicas replaced by others.
    fn repaired_replicas(&mut self) -> BTreeSet<ReplicaKey> {
        let replicas = self.newest_chosen.1.replicas.iter();
        let mut repaired: BTreeSet<_> = replicas
            .map(|old| {
                let here = self.replicas.keys().find(|key| key.address == old.address);
                here.copied().unwrap_or(*old)
            })
            .collect();
        let others: Vec<_> =
            self.replicas.keys().filter(|key| !repaired.contains(key)).copied().collect();
        for other in others {
            if self.random.random_bool(0.4) {
                let live: Vec<_> = repaired.iter().copied().collect();
                repaired.extend(live.choose(&mut self.random).map(|_| other));
                if let Some(gone) = live.choose(&mut self.random) {
                    repaired.remove(gone);
                }
            }
        }
        repaired
    }

    fn abandon_round(&mut self) {
        if !self.rounds.is_empty() {
            let at = self.random.random_range(0..self.rounds.len());
            self.rounds.swap_remove(at);
        }
    }

    /// Wipes the disk of a replica if a quorum of the others holds the newest chosen value. The
    /// protocol does not tolerate the loss of more disks at once.
    fn wipe_disk(&mut self) {
        let (ballot, value) = self.newest_chosen.clone();
        let holders: BTreeSet<_> = self
            .replicas
            .iter()
            .filter(|(_, state)| {
                state.accepted.as_ref().is_some_and(|accepted| accepted.ballot >= ballot)
            })
            .map(|(key, _)| *key)
            .collect();
        let keys: Vec<_> = value.replicas.iter().copied().collect();
        let Some(wiped) = keys.choose(&mut self.random).copied() else { return };
        let lost: BTreeSet<_> =
            value.voters().into_iter().filter(|key| !self.replicas.contains_key(key)).collect();
        let mut rest = holders;
        rest.remove(&wiped);
        if !value.settled() || !lost.is_empty() || !value.has_quorum(&rest) {
            return;
        }
        self.replicas.remove(&wiped);
        let disk = match self.variant {
            ProtocolVariant::ReusedDiskNumber => wiped.disk,
            _ => self.next_disk,
        };
        self.next_disk += 1;
        let replacement = ReplicaKey { address: wiped.address, disk };
        self.replicas.insert(replacement, ReplicaState::default());
    }

    fn deliver_message(&mut self) {
        if self.rounds.is_empty() {
            return;
        }
        let at = self.random.random_range(0..self.rounds.len());
        let running = &mut self.rounds[at];
        let pending = running.round.pending();
        let Some(target) = pending.choose(&mut self.random).copied() else { return };
        let Some(state) = self.replicas.get_mut(&target) else { return };
        let ballot = running.round.ballot();
        let reply = match running.round.phase() {
            RoundPhase::Prepare => state.prepare(ballot),
            RoundPhase::Accept(value) => {
                let value = value.clone();
                state.accept(ballot, &value)
            }
            RoundPhase::Chosen(_) | RoundPhase::Preempted(_) => return,
        };
        // The reply may be lost.
        if self.random.random_bool(0.15) {
            return;
        }
        running.round.handle_reply(target, reply);
        match running.round.phase().clone() {
            RoundPhase::Chosen(value) => {
                let change = self.rounds.swap_remove(at).change;
                self.check_chosen(ballot, &value, &change);
            }
            RoundPhase::Preempted(higher) => {
                self.next_counter = self.next_counter.max(higher.counter + 1);
                self.rounds.swap_remove(at);
            }
            RoundPhase::Prepare | RoundPhase::Accept(_) => {}
        }
    }

    fn check_chosen(
        &mut self,
        ballot: BallotNumber,
        value: &RegisterValue,
        change: &RegisterChange,
    ) {
        if value.version < self.acknowledged && ballot > self.newest_chosen.0 {
            self.violation = Some(format!(
                "version {} chosen after version {} was acknowledged",
                value.version, self.acknowledged
            ));
        }
        let body = self.documents.entry(value.version).or_insert_with(|| value.body.clone());
        if *body != value.body {
            self.violation = Some(format!("version {} has two contents", value.version));
        }
        if let RegisterChange::Document { version, .. } = change
            && value.version < *version
        {
            self.violation = Some(format!("version {version} acknowledged and not held"));
        }
        self.acknowledged = self.acknowledged.max(value.version);
        if ballot > self.newest_chosen.0 {
            self.newest_chosen = (ballot, value.clone());
        }
    }
}

/// Simulates all schedules. Returns the seed and the violation of the first one that fails.
fn search(variant: ProtocolVariant, count: u8) -> Option<(u64, String)> {
    (0..SCHEDULES).find_map(|seed| {
        Simulation::new(seed, variant, count).run().map(|violation| (seed, violation))
    })
}

/// Guards against lost or conflicting documents in random schedules.
#[test]
fn acknowledged_documents_survive_crashes_disk_loss_and_concurrent_rounds() {
    for count in [3, 4, 5, 6] {
        assert_eq!(search(ProtocolVariant::Correct, count), None, "{count} replicas");
    }
}

/// Verifies that the search detects the violation that the disk number in the replica key prevents.
#[test]
fn search_detects_a_wiped_disk_that_keeps_its_old_key() {
    assert!(search(ProtocolVariant::ReusedDiskNumber, 3).is_some());
}

/// Runs a round in which only `reachable` replicas receive prepares and only `acceptors` receive
/// accepts.
fn run_round(
    replicas: &mut BTreeMap<ReplicaKey, ReplicaState>,
    counter: u64,
    change: RegisterChange,
    known: &BTreeSet<ReplicaKey>,
    reachable: &[ReplicaKey],
    acceptors: &[ReplicaKey],
) -> RoundPhase {
    let ballot = BallotNumber { counter, proposer: 1 };
    let mut round = ProposerRound::new(ballot, change, known.clone());
    loop {
        let pending = round.pending();
        let next = match round.phase() {
            RoundPhase::Prepare => reachable.iter().find(|key| pending.contains(key)),
            RoundPhase::Accept(_) => acceptors.iter().find(|key| pending.contains(key)),
            RoundPhase::Chosen(_) | RoundPhase::Preempted(_) => None,
        };
        let Some(next) = next.copied() else { return round.phase().clone() };
        let state = replicas.get_mut(&next).expect("a replica");
        let reply = match round.phase() {
            RoundPhase::Accept(value) => state.accept(ballot, &value.clone()),
            _ => state.prepare(ballot),
        };
        round.handle_reply(next, reply);
    }
}

/// Shows why a change of replicas is confirmed before it is settled. If a change that only a
/// minority accepted is settled, a proposer that knows only the old set can still get a value
/// chosen there, and two documents are active. Confirming the change first prevents this.
#[test]
fn settling_an_unchosen_replica_change_causes_split_brain() {
    for confirmed in [false, true] {
        let mut simulation = Simulation::new(1, ProtocolVariant::Correct, 3);
        let replicas = &mut simulation.replicas;
        let old: BTreeSet<_> = (1..=3).map(|host| key(host, u64::from(host))).collect();
        let spares = [key(20, 20), key(21, 21)];
        let new: BTreeSet<_> = spares.into_iter().chain([key(1, 1)]).collect();
        let all: Vec<_> = replicas.keys().rev().copied().collect();
        let change = RegisterChange::Replicas { from: old.clone(), to: new.clone() };
        run_round(replicas, 2, change, &old, &all, &spares[..1]);
        if confirmed {
            run_round(replicas, 3, RegisterChange::Confirm, &new, &all, &all);
        }
        let settle = RegisterChange::Settle(new.clone());
        let settled = run_round(replicas, 4, settle, &new, &all, &spares);
        assert!(matches!(settled, RoundPhase::Chosen(_)), "{settled:?}");
        let body = Arc::new(vec![1]);
        let document = RegisterChange::Document { version: 5, body };
        let outdated = [key(2, 2), key(3, 3)];
        let stale = run_round(replicas, 5, document, &old, &outdated, &outdated);
        assert_eq!(matches!(stale, RoundPhase::Chosen(_)), !confirmed, "{stale:?}");
    }
}

/// Guards against treating a value that only a minority accepted as chosen.
#[test]
fn a_value_reported_by_a_minority_is_not_chosen() {
    let keys: BTreeSet<_> = (1..=3).map(|host| key(host, 1)).collect();
    let value =
        RegisterValue { replicas: keys.clone(), previous: keys.clone(), ..Default::default() };
    let (old, new) =
        (BallotNumber { counter: 1, proposer: 1 }, BallotNumber { counter: 2, proposer: 1 });
    let mut reports: BTreeMap<_, _> = keys.iter().map(|key| (*key, old)).collect();
    reports.insert(key(1, 1), new);
    assert_eq!(find_chosen(&reports, |_| Some(value.clone())), Some(old));
    reports.insert(key(2, 1), new);
    assert_eq!(find_chosen(&reports, |_| Some(value.clone())), Some(new));
}

/// Verifies that a replica refuses lower ballots with the ballot that it has promised.
#[test]
fn a_lower_ballot_is_refused_in_both_phases() {
    let mut state = ReplicaState::default();
    let high = BallotNumber { counter: 5, proposer: 1 };
    let low = BallotNumber { counter: 4, proposer: 9 };
    assert_eq!(state.prepare(high), PhaseReply::Promised(None));
    assert_eq!(state.prepare(low), PhaseReply::Refused(high));
    assert_eq!(state.accept(low, &RegisterValue::default()), PhaseReply::Refused(high));
}
