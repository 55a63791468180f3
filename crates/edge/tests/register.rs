//! Random schedules of the configuration register: lost messages, crashed proposers, wiped disks,
//! replaced replicas. Guards against a document that is lost, reverts, or has two contents under one
//! version.

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

/// Schedules of each search.
const SCHEDULES: u64 = 2_000;
/// Steps of each schedule.
const STEPS: usize = 220;
/// Rounds in flight at once.
const MAX_ROUNDS: usize = 3;

/// Empty disks beside the replicas at the start.
const SPARES: u8 = 2;

/// Which rule of the register a search leaves out.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Variant {
    Complete,
    /// A wiped disk answers under its old key.
    ForgetfulDisk,
}

struct RunningRound {
    round: ProposerRound,
    change: RegisterChange,
}

struct World {
    random: StdRng,
    variant: Variant,
    replicas: BTreeMap<ReplicaKey, ReplicaState>,
    rounds: Vec<RunningRound>,
    next_counter: u64,
    next_disk: u64,
    /// Chosen documents by version.
    documents: BTreeMap<u64, Arc<Vec<u8>>>,
    /// Highest version that was acknowledged.
    acknowledged: u64,
    /// Set of replicas of the newest value seen chosen, and its ballot.
    newest: (BallotNumber, RegisterValue),
    fault: Option<String>,
}

fn key(host: u8, disk: u64) -> ReplicaKey {
    ReplicaKey { address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 7_600), disk }
}

impl World {
    fn new(seed: u64, variant: Variant, count: u8) -> Self {
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
            newest: (ballot, value),
            fault: None,
        }
    }

    fn run(&mut self) -> Option<String> {
        for _ in 0..STEPS {
            match self.random.random_range(0..100) {
                0..12 => self.start_round(),
                12..15 => self.drop_round(),
                15..17 => self.wipe(),
                _ => self.deliver(),
            }
            if self.fault.is_some() {
                return self.fault.take();
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
        let settled = self.newest.1.settled();
        let replicas = self.newest.1.replicas.clone();
        let change = match self.random.random_range(0..10) {
            0..6 => RegisterChange::Document { version, body },
            6..8 if settled => RegisterChange::Replicas { from: replicas, to: self.repaired() },
            6..9 if !settled => RegisterChange::Settle(replicas),
            _ => RegisterChange::Confirm,
        };
        let proposer = self.random.random_range(1..4);
        let counter = self.next_counter;
        self.next_counter += 1;
        let ballot = BallotNumber { counter, proposer };
        // Proposers may know only a set that is long out of date.
        let known: BTreeSet<_> =
            if self.random.random_bool(0.5) { self.newest.1.voters() } else { self.original() };
        let round = ProposerRound::new(ballot, change.clone(), known);
        self.rounds.push(RunningRound { round, change });
    }

    fn original(&self) -> BTreeSet<ReplicaKey> {
        (1..=3).map(|host| key(host, u64::from(host))).collect()
    }

    /// The replicas with wiped ones replaced by what is at their address now, and sometimes others
    /// in place of live ones.
    fn repaired(&mut self) -> BTreeSet<ReplicaKey> {
        let replicas = self.newest.1.replicas.iter();
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

    fn drop_round(&mut self) {
        if !self.rounds.is_empty() {
            let at = self.random.random_range(0..self.rounds.len());
            self.rounds.swap_remove(at);
        }
    }

    /// Wipes the disk of a replica, if a quorum of the others holds the newest chosen value: no more
    /// disks are lost at once than a quorum bears.
    fn wipe(&mut self) {
        let (ballot, value) = self.newest.clone();
        let holders: BTreeSet<_> = self
            .replicas
            .iter()
            .filter(|(_, state)| {
                state.accepted.as_ref().is_some_and(|accepted| accepted.ballot >= ballot)
            })
            .map(|(key, _)| *key)
            .collect();
        let keys: Vec<_> = value.replicas.iter().copied().collect();
        let Some(victim) = keys.choose(&mut self.random).copied() else { return };
        let lost: BTreeSet<_> =
            value.voters().into_iter().filter(|key| !self.replicas.contains_key(key)).collect();
        let mut rest = holders;
        rest.remove(&victim);
        if !value.settled() || !lost.is_empty() || !value.has_quorum(&rest) {
            return;
        }
        self.replicas.remove(&victim);
        let disk = match self.variant {
            Variant::ForgetfulDisk => victim.disk,
            _ => self.next_disk,
        };
        self.next_disk += 1;
        let fresh = ReplicaKey { address: victim.address, disk };
        self.replicas.insert(fresh, ReplicaState::default());
    }

    fn deliver(&mut self) {
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
            RoundPhase::Chosen(_) | RoundPhase::Lost(_) => return,
        };
        // A reply may be lost on its way.
        if self.random.random_bool(0.15) {
            return;
        }
        running.round.step(target, reply);
        match running.round.phase().clone() {
            RoundPhase::Chosen(value) => {
                let change = self.rounds.swap_remove(at).change;
                self.check_chosen(ballot, &value, &change);
            }
            RoundPhase::Lost(higher) => {
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
        if value.version < self.acknowledged && ballot > self.newest.0 {
            self.fault = Some(format!(
                "version {} chosen after version {} was acknowledged",
                value.version, self.acknowledged
            ));
        }
        let body = self.documents.entry(value.version).or_insert_with(|| value.body.clone());
        if *body != value.body {
            self.fault = Some(format!("version {} has two contents", value.version));
        }
        if let RegisterChange::Document { version, .. } = change
            && value.version < *version
        {
            self.fault = Some(format!("version {version} acknowledged and not held"));
        }
        self.acknowledged = self.acknowledged.max(value.version);
        if ballot > self.newest.0 {
            self.newest = (ballot, value.clone());
        }
    }
}

fn search(variant: Variant, count: u8) -> Option<(u64, String)> {
    (0..SCHEDULES)
        .find_map(|seed| World::new(seed, variant, count).run().map(|fault| (seed, fault)))
}

#[test]
fn acknowledged_documents_survive_crashes_wipes_and_races() {
    for count in [3, 4, 5, 6] {
        assert_eq!(search(Variant::Complete, count), None, "{count} replicas");
    }
}

/// The search finds the fault that the number of the disk in a replica's key prevents.
#[test]
fn a_wiped_disk_under_its_old_key_is_found() {
    assert!(search(Variant::ForgetfulDisk, 3).is_some());
}

/// Runs a round against some replicas only.
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
            RoundPhase::Chosen(_) | RoundPhase::Lost(_) => None,
        };
        let Some(next) = next.copied() else { return round.phase().clone() };
        let state = replicas.get_mut(&next).expect("a replica");
        let reply = match round.phase() {
            RoundPhase::Accept(value) => state.accept(ballot, &value.clone()),
            _ => state.prepare(ballot),
        };
        round.step(next, reply);
    }
}

/// A change of replicas that only a minority accepted is settled, and a proposer that knows the old
/// set alone goes on with it: two documents are in force. Confirming the change first prevents it.
#[test]
fn a_change_settled_before_it_is_chosen_splits_the_register() {
    for confirmed in [false, true] {
        let mut world = World::new(1, Variant::Complete, 3);
        let replicas = &mut world.replicas;
        let old: BTreeSet<_> = (1..=3).map(|host| key(host, u64::from(host))).collect();
        let spares = [key(20, 20), key(21, 21)];
        let new: BTreeSet<_> = spares.into_iter().chain([key(1, 1)]).collect();
        let everyone: Vec<_> = replicas.keys().rev().copied().collect();
        let change = RegisterChange::Replicas { from: old.clone(), to: new.clone() };
        run_round(replicas, 2, change, &old, &everyone, &spares[..1]);
        if confirmed {
            run_round(replicas, 3, RegisterChange::Confirm, &new, &everyone, &everyone);
        }
        let settle = RegisterChange::Settle(new.clone());
        let settled = run_round(replicas, 4, settle, &new, &everyone, &spares);
        assert!(matches!(settled, RoundPhase::Chosen(_)), "{settled:?}");
        let body = Arc::new(vec![1]);
        let document = RegisterChange::Document { version: 5, body };
        let behind = [key(2, 2), key(3, 3)];
        let stale = run_round(replicas, 5, document, &old, &behind, &behind);
        assert_eq!(matches!(stale, RoundPhase::Chosen(_)), !confirmed, "{stale:?}");
    }
}

/// A value at a minority is not taken for chosen.
#[test]
fn reports_of_a_minority_do_not_make_a_value_chosen() {
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

/// A refused replica answers with the ballot to beat.
#[test]
fn a_lower_ballot_is_refused_in_both_phases() {
    let mut state = ReplicaState::default();
    let high = BallotNumber { counter: 5, proposer: 1 };
    let low = BallotNumber { counter: 4, proposer: 9 };
    assert_eq!(state.prepare(high), PhaseReply::Promised(None));
    assert_eq!(state.prepare(low), PhaseReply::Refused(high));
    assert_eq!(state.accept(low, &RegisterValue::default()), PhaseReply::Refused(high));
}
