//! Property test of the tier rule with random bursts, stragglers, lost entries and crashing
//! targets.

use crate::support::{PoolHarness, key, request, target};
use burdockcleat_core::keys::{NodeId, RequestKey, TargetIdentity};
use burdockcleat_core::message::{FinishReport, HeldClaim, StreamProgress, SubmitRequest};
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use burdockcleat_core::pool::{
    MechanismSwitches, PoolInput, PoolOutput, PoolSettings, TierSettings,
};
use burdockcleat_core::registry::TargetKey;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseError, TestError, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

const TARGETS: u32 = 3;
const ENTRIES: u64 = 3;

/// Random event. Indices are taken modulo the number of candidates.
#[derive(Clone, Debug)]
enum Event {
    Burst { count: u8, tier: u8, idempotent: bool, deadline_ms: u32, entry: u64 },
    Finish { index: usize, cut: bool },
    ConfirmCancel { index: usize },
    Commit,
    Withdraw { index: usize },
    Release { index: usize, retry: bool },
    LoseEntry { entry: u64 },
    ReportEntry { entry: u64 },
    Crash { number: u32 },
    Leave { number: u32 },
    Announce,
    Progress { slow: u32 },
    Advance { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1..12_u8, 0..3_u8, any::<bool>(), 0..6_000_u32, 0..ENTRIES).prop_map(
            |(count, tier, idempotent, deadline_ms, entry)| Event::Burst {
                count, tier, idempotent, deadline_ms, entry
            }),
        6 => (any::<usize>(), any::<bool>()).prop_map(|(index, cut)| Event::Finish { index, cut }),
        3 => any::<usize>().prop_map(|index| Event::ConfirmCancel { index }),
        4 => Just(Event::Commit),
        1 => any::<usize>().prop_map(|index| Event::Withdraw { index }),
        1 => (any::<usize>(), any::<bool>())
            .prop_map(|(index, retry)| Event::Release { index, retry }),
        1 => (0..ENTRIES).prop_map(|entry| Event::LoseEntry { entry }),
        1 => (0..ENTRIES).prop_map(|entry| Event::ReportEntry { entry }),
        1 => (0..TARGETS).prop_map(|number| Event::Crash { number }),
        1 => (0..TARGETS).prop_map(|number| Event::Leave { number }),
        2 => Just(Event::Announce),
        2 => (0..TARGETS).prop_map(|slow| Event::Progress { slow }),
        8 => (1..900_u64).prop_map(|ms| Event::Advance { ms }),
    ]
}

struct Simulation {
    harness: PoolHarness,
    next: u32,
    waiting: BTreeMap<RequestKey, u8>,
    running: BTreeMap<RequestKey, TargetKey>,
    uncommitted: Vec<RequestKey>,
    cancelled: BTreeSet<RequestKey>,
    incarnations: BTreeMap<u32, u64>,
    tokens: u32,
}

impl Simulation {
    fn new(settings: PoolSettings) -> Self {
        let targets: Vec<_> = (0..TARGETS).map(|number| target(number, 2)).collect();
        Self {
            harness: PoolHarness::new(settings, &targets),
            next: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            uncommitted: Vec::new(),
            cancelled: BTreeSet::new(),
            incarnations: (0..TARGETS).map(|number| (number, 1)).collect(),
            tokens: 0,
        }
    }

    fn step(&mut self, input: PoolInput) -> Result<(), TestCaseError> {
        for output in self.harness.step_uncommitted(input) {
            match output {
                PoolOutput::Place { key, target, .. } => {
                    prop_assert!(self.waiting.remove(&key).is_some(), "placed twice");
                    self.running.insert(key, target);
                    self.uncommitted.push(key);
                }
                PoolOutput::Cancel { key, .. } => {
                    prop_assert!(self.running.contains_key(&key));
                    prop_assert!(self.cancelled.insert(key), "cancelled twice");
                }
                PoolOutput::Refuse { key, .. } => {
                    self.waiting.remove(&key);
                }
                PoolOutput::Suspect(_) => {}
            }
        }
        prop_assert_eq!(self.harness.violations, 0);
        Ok(())
    }

    fn commit(&mut self) -> Result<(), TestCaseError> {
        for key in std::mem::take(&mut self.uncommitted) {
            let claim = self.harness.commit(key);
            self.step(PoolInput::ClaimCommitted { key, claim })?;
        }
        Ok(())
    }

    fn pick_committed(&self, index: usize) -> Option<RequestKey> {
        let keys: Vec<RequestKey> =
            self.running.keys().copied().filter(|key| !self.uncommitted.contains(key)).collect();
        keys.get(index % keys.len().max(1)).copied()
    }

    fn remove_running(&mut self, key: RequestKey) {
        self.running.remove(&key);
        self.cancelled.remove(&key);
    }

    fn apply(&mut self, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::Burst { count, tier, idempotent, deadline_ms, entry } => {
                for _ in 0..count {
                    self.next += 1;
                    let number = self.next;
                    let request = SubmitRequest {
                        idempotent,
                        deadline_in_ms: deadline_ms,
                        workspace: format!("w{}", number % 2),
                        ..request(number, tier)
                    };
                    self.waiting.insert(key(number), tier);
                    self.step(PoolInput::Submit { entry: NodeId(entry), request })?;
                }
                Ok(())
            }
            Event::Finish { index, cut } => match self.pick_committed(index) {
                Some(key) => self.finish(key, cut),
                None => Ok(()),
            },
            Event::ConfirmCancel { index } => {
                let keys: Vec<RequestKey> = self.cancelled.iter().copied().collect();
                let Some(key) = keys.get(index % keys.len().max(1)).copied() else { return Ok(()) };
                self.remove_running(key);
                let claim = self.harness.claims[&key];
                self.step(PoolInput::CancelDone { key, claim })
            }
            Event::Commit => self.commit(),
            Event::Withdraw { index } => {
                let keys: Vec<RequestKey> = self.waiting.keys().copied().collect();
                let Some(key) = keys.get(index % keys.len().max(1)).copied() else { return Ok(()) };
                self.waiting.remove(&key);
                self.step(PoolInput::Withdraw { key })
            }
            Event::Release { index, retry } => {
                let Some(key) = self.pick_committed(index) else { return Ok(()) };
                self.remove_running(key);
                if retry {
                    self.waiting.insert(key, 0);
                }
                let claim = self.harness.claims[&key];
                self.step(PoolInput::Release { key, claim, retry })
            }
            Event::LoseEntry { entry } => self.step(PoolInput::EntryLost { entry: NodeId(entry) }),
            Event::ReportEntry { entry } => {
                let running = self.running.keys().filter_map(|key| {
                    self.harness.claims.get(key).map(|claim| HeldClaim { key: *key, claim: *claim })
                });
                let running = running.collect();
                self.step(PoolInput::EntryReported { entry: NodeId(entry), running })
            }
            other => self.apply_target(&other),
        }
    }

    fn apply_target(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match *event {
            Event::Crash { number } => {
                if let Some(incarnation) = self.incarnations.get_mut(&number) {
                    *incarnation += 1;
                }
                self.announce(number)
            }
            Event::Leave { number } => {
                let incarnation = self.incarnations[&number];
                let identity = TargetIdentity { name: target(number, 2).name, incarnation };
                self.incarnations.insert(number, incarnation + 1);
                match self.harness.registry.leave(&identity) {
                    Some(left) => {
                        self.step(PoolInput::Target { target: left.target, change: left.kind })
                    }
                    None => Ok(()),
                }
            }
            Event::Announce => (0..TARGETS).try_for_each(|number| self.announce(number)),
            Event::Progress { slow } => {
                self.tokens += 1;
                let slow = target(slow, 2).identity();
                let slow = self.harness.registry.find(&slow);
                let reports = self.running.iter().map(|(key, target)| StreamProgress {
                    key: *key,
                    tokens: if Some(*target) == slow { 1 } else { self.tokens * 10 },
                    first_token_ms: Some(50),
                });
                let reports = reports.collect();
                self.step(PoolInput::Progress(reports))
            }
            Event::Advance { ms } => {
                self.harness.now = self.harness.now.plus(ms);
                for change in self.harness.registry.tick(self.harness.now) {
                    self.step(PoolInput::Target { target: change.target, change: change.kind })?;
                }
                self.step(PoolInput::Tick)
            }
            _ => Ok(()),
        }
    }

    fn announce(&mut self, number: u32) -> Result<(), TestCaseError> {
        let mut target = target(number, 2);
        target.incarnation = self.incarnations[&number];
        let announced = self.harness.registry.announce(self.harness.now, target);
        let (_, changes) = announced.map_err(|error| TestCaseError::fail(error.to_string()))?;
        for change in changes {
            self.step(PoolInput::Target { target: change.target, change: change.kind })?;
        }
        Ok(())
    }

    fn finish(&mut self, key: RequestKey, cut: bool) -> Result<(), TestCaseError> {
        self.remove_running(key);
        self.step(PoolInput::Finish(FinishReport {
            key,
            claim: self.harness.claims[&key],
            outcome: if cut { RequestOutcome::Failed } else { RequestOutcome::Completed },
            reason: cut.then_some(ReasonCode::UpstreamCut),
            cached_tokens: 0,
            output_tokens: 40,
            first_token_ms: 100,
            total_ms: 1_100,
        }))
    }

    /// Ends all requests and checks that no waiting or running request is left.
    fn drain(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..1_000 {
            self.commit()?;
            while let Some(key) = self.pick_committed(0) {
                self.finish(key, false)?;
            }
            self.apply_target(&Event::Announce)?;
            self.apply_target(&Event::Advance { ms: 100 })?;
            if self.running.is_empty() && self.uncommitted.is_empty() {
                break;
            }
        }
        // Requests of lost entries keep their slots until their deadlines.
        self.apply_target(&Event::Advance { ms: 60_000 })?;
        let counts = self.harness.scheduler.counts();
        prop_assert_eq!((counts.waiting, counts.running), (0, 0));
        Ok(())
    }
}

fn settings(switches: MechanismSwitches) -> PoolSettings {
    PoolSettings {
        switches,
        queue_limit: 12,
        tiers: vec![TierSettings { max_queue_ms: 3_000, preempt_after_ms: 3_000 }],
        ..PoolSettings::default()
    }
}

fn run(switches: MechanismSwitches) -> Result<(), TestError<Vec<Event>>> {
    let config = ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(20_261_204),
        max_shrink_iters: 2_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new(config).run(&prop::collection::vec(event(), 1..120), |events| {
        let mut simulation = Simulation::new(settings(switches));
        events.into_iter().try_for_each(|event| simulation.apply(event))?;
        simulation.drain()
    })
}

/// Guards against a request that is shed or expires while a lower tier waits or runs, against a
/// request that is placed or cancelled twice, and against requests that are never removed.
#[test]
fn no_tier_is_refused_while_a_lower_one_is_served() {
    if let Err(error) = run(MechanismSwitches::default()) {
        panic!("{error}");
    }
}

/// Verifies that the property test detects a scheduler that sheds by arrival.
#[test]
fn shedding_by_arrival_breaks_the_tier_rule() {
    let switches = MechanismSwitches { tiered_shedding: false, ..MechanismSwitches::default() };
    assert!(matches!(run(switches), Err(TestError::Fail(..))));
}

/// Verifies that the property test detects a scheduler without preemption.
#[test]
fn missing_preemption_breaks_the_tier_rule() {
    let switches = MechanismSwitches { preemption: false, ..MechanismSwitches::default() };
    assert!(matches!(run(switches), Err(TestError::Fail(..))));
}
