//! Roll-out orders in the register: old disks, and random schedules of concurrent rounds.

use burdockcleat_edge::register::{
    BallotNumber, ProposerRound, RegisterChange, RegisterValue, ReplicaKey, ReplicaState,
    RoundPhase,
};
use burdockcleat_edge::rollout::{RolloutRecord, RolloutState};
use burdockcleat_edge::slots::SlotStore;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

const SERVICE: &str = "s";
const SCHEDULES: u64 = 2_000;

fn key(host: u8) -> ReplicaKey {
    ReplicaKey {
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 7_600),
        disk: host.into(),
    }
}

fn order(number: u64) -> RolloutRecord {
    let to = format!("v{}", number % 3);
    RolloutRecord { to, started: number, duration_ms: number, state: RolloutState::InProgress }
}

/// File that the program wrote before the register held roll-outs.
const EARLIER_FILE: [u8; 48] = [
    36, 0, 0, 0, 0, 0, 0, 0, 137, 189, 86, 210, 1, 172, 2, 9, 1, 172, 2, 9, 17, 3, 1, 2, 3, 2, 10,
    0, 0, 1, 176, 59, 1, 10, 0, 0, 2, 176, 59, 2, 1, 10, 0, 0, 1, 176, 59, 1,
];

/// Guards against a disk that counts as empty after an update of the program: the replica would
/// vote without what it had accepted.
#[test]
fn a_disk_from_before_the_rollouts_is_read() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("register-b"), EARLIER_FILE).unwrap();
    let (mut store, mut state) = SlotStore::open(folder.path(), 7).unwrap();
    let accepted = state.accepted.clone().unwrap();
    let ballot = BallotNumber { counter: 300, proposer: 9 };
    let mut expected = RegisterValue {
        version: 17,
        body: Arc::new(vec![1, 2, 3]),
        replicas: [key(1), key(2)].into(),
        previous: [key(1)].into(),
        rollouts: BTreeMap::new(),
    };
    assert_eq!((state.promised, accepted.ballot, &accepted.value), (ballot, ballot, &expected));
    let change = RegisterChange::StartRollout { service: SERVICE.into(), record: order(1) };
    expected = expected.apply(&change);
    state.accept(BallotNumber { counter: 301, proposer: 9 }, &expected);
    store.save_replica(&state).unwrap();
    drop(store);
    let (_, found) = SlotStore::open(folder.path(), 7).unwrap();
    assert_eq!(found, state, "the newer form follows in the other file");
}

/// Random schedule of rounds with lost replies and proposers that give up.
struct Schedule {
    random: StdRng,
    /// Whether an order counts as accepted once one replica has accepted it.
    acknowledges_early: bool,
    replicas: BTreeMap<ReplicaKey, ReplicaState>,
    rounds: Vec<(ProposerRound, RegisterChange)>,
    next: u64,
    newest: (BallotNumber, RegisterValue),
    acknowledged: BTreeSet<u64>,
    ended: BTreeMap<u64, RolloutState>,
}

impl Schedule {
    fn new(seed: u64, acknowledges_early: bool) -> Self {
        let keys: BTreeSet<_> = (1..=3).map(key).collect();
        let value =
            RegisterValue { replicas: keys.clone(), previous: keys.clone(), ..Default::default() };
        let ballot = BallotNumber { counter: 1, proposer: 0 };
        let mut state = ReplicaState::default();
        state.accept(ballot, &value);
        Self {
            random: StdRng::seed_from_u64(seed),
            acknowledges_early,
            replicas: keys.into_iter().map(|key| (key, state.clone())).collect(),
            rounds: Vec::new(),
            next: 2,
            newest: (ballot, value),
            acknowledged: BTreeSet::new(),
            ended: BTreeMap::new(),
        }
    }

    fn start_round(&mut self) {
        let (number, service) = (self.next, SERVICE.to_owned());
        self.next += 1;
        let states = [RolloutState::Completed, RolloutState::Reverted];
        let earlier = order(self.random.random_range(number.saturating_sub(6)..=number));
        let change = match self.random.random_range(0..4) {
            0 => RegisterChange::StartRollout { service, record: earlier },
            1 => RegisterChange::Document { version: number, body: Arc::new(vec![]) },
            _ => RegisterChange::FinishRollout {
                service,
                to: earlier.to,
                started: earlier.started,
                state: states[self.random.random_range(0..2)],
            },
        };
        let ballot = BallotNumber { counter: number, proposer: self.random.random_range(1..4) };
        let voters = self.newest.1.voters();
        self.rounds.push((ProposerRound::new(ballot, change.clone(), voters), change));
    }

    fn deliver(&mut self) {
        let at = self.random.random_range(0..self.rounds.len());
        let (round, change) = &mut self.rounds[at];
        let Some(target) = round.pending().choose(&mut self.random).copied() else { return };
        let Some(state) = self.replicas.get_mut(&target) else { return };
        let (reply, accepts) = match round.phase().clone() {
            RoundPhase::Accept(value) => (state.accept(round.ballot(), &value), Some(value)),
            _ => (state.prepare(round.ballot()), None),
        };
        if self.random.random_bool(0.2) {
            return;
        }
        round.handle_reply(target, reply);
        let (phase, change, ballot) = (round.phase().clone(), change.clone(), round.ballot());
        let chosen = match phase {
            RoundPhase::Chosen(value) => value,
            RoundPhase::Accept(_) if self.acknowledges_early && accepts.is_some() => {
                self.acknowledge(&change, &accepts.unwrap_or_default());
                return;
            }
            RoundPhase::Preempted(_) => {
                self.rounds.swap_remove(at);
                return;
            }
            _ => return,
        };
        self.rounds.swap_remove(at);
        if ballot > self.newest.0 {
            self.newest = (ballot, chosen.clone());
        }
        self.acknowledge(&change, &chosen);
    }

    fn acknowledge(&mut self, change: &RegisterChange, value: &RegisterValue) {
        if let RegisterChange::StartRollout { record, .. } = change
            && let Some(history) = value.rollouts.get(SERVICE)
            && history.has_accepted(&record.to, record.duration_ms)
        {
            self.acknowledged.insert(record.duration_ms);
        }
    }

    /// Returns what is wrong with the newest chosen value.
    fn check(&mut self) -> Option<String> {
        let empty = Default::default();
        let history = self.newest.1.rollouts.get(SERVICE).unwrap_or(&empty);
        for number in &self.acknowledged {
            if !history.has_accepted(&order(*number).to, *number) {
                return Some(format!("order {number} was lost"));
            }
        }
        let newest = history.newest()?;
        if newest.state != RolloutState::InProgress {
            self.ended.entry(newest.started).or_insert(newest.state);
        }
        let known = self.ended.get(&newest.started);
        (known.is_some_and(|known| *known != newest.state))
            .then(|| format!("order {} ended twice", newest.started))
    }

    fn run(&mut self) -> Option<String> {
        (0..200).find_map(|_| {
            match self.random.random_range(0..100) {
                0..15 if self.rounds.len() < 3 => self.start_round(),
                15..18 if !self.rounds.is_empty() => drop(self.rounds.swap_remove(0)),
                _ if !self.rounds.is_empty() => self.deliver(),
                _ => {}
            }
            self.check()
        })
    }
}

/// Guards against an accepted order that is lost or undone. A search that acknowledges orders before
/// they are chosen finds a lost one.
#[test]
fn accepted_orders_are_never_lost_or_undone() {
    let search = |early| (0..SCHEDULES).find_map(|seed| Schedule::new(seed, early).run());
    assert_eq!(search(false), None);
    assert!(search(true).is_some());
}
