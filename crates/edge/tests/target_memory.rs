//! Memory of targets: what requests reserve, and a search over random schedules for a target that
//! holds more tokens than its memory.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{
    ActiveRequest, AttemptOutcome, OutputReport, PlacementFeatures, PlacementKey, PlacementOutput,
    PlacementRequest, PlacementScheduler, ProcessKey, RefusalReason, TargetInfo, TargetKey,
    VersionKey,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const MEMORY: u32 = 8_000;
const SETTLE_MS: u64 = 400;
const STATUS_MS: u64 = 200;
const STEP_MS: u64 = 5;
const DEADLINE_MS: u64 = 6_000;
const NODES: u64 = 3;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn scheduler(target_memory: bool, targets: u64) -> PlacementScheduler {
    let mut scheduler = PlacementScheduler::default();
    scheduler.set_features(PlacementFeatures { target_memory, ..PlacementFeatures::default() });
    let info = |key| TargetInfo {
        key: TargetKey(key),
        service: "engines".into(),
        domain: "a".into(),
        version: VersionKey(0),
        slots: 6,
        memory_tokens: MEMORY,
        cold_ms: 0,
    };
    scheduler.set_targets("engines", &(0..targets).map(info).collect::<Vec<_>>(), at(0));
    scheduler
}

fn request(key: u64, prompt_tokens: u32, output_tokens: u32) -> PlacementRequest {
    PlacementRequest {
        key: PlacementKey(key),
        process: ProcessKey(1),
        service: "engines".into(),
        domain: "a".into(),
        version: None,
        rank: 0,
        workspace: None,
        share: 1.0,
        stream: None,
        identity: 0,
        prompt_tokens,
        output_tokens,
        max_output_tokens: 1_000,
        repeatable: true,
        objective_left_ms: 500,
        deadline_left_ms: 2_400,
        answer_left_ms: DEADLINE_MS,
        pause_ms: None,
        excluded: Vec::new(),
    }
}

fn grants(scheduler: &mut PlacementScheduler) -> Vec<u64> {
    let grant = |output| match output {
        PlacementOutput::Grant { key, .. } => Some(key.0),
        PlacementOutput::Refuse { .. } => None,
    };
    scheduler.take_outputs().into_iter().filter_map(grant).collect()
}

/// Guards against a wait for memory that no target has, and against a refusal of requests that fit
/// while the target is merely full.
#[test]
fn only_requests_larger_than_every_memory_are_refused_at_once() {
    let mut scheduler = scheduler(true, 1);
    scheduler.set_coordinating(true, 0, at(0));
    scheduler.submit(request(1, MEMORY, 10), at(0));
    let refused = |output: &PlacementOutput| {
        matches!(output, PlacementOutput::Refuse { reason: RefusalReason::TooLarge, .. })
    };
    assert!(scheduler.take_outputs().iter().all(refused));
    scheduler.submit(request(2, MEMORY - 100, 10), at(10));
    assert_eq!(grants(&mut scheduler), [2], "fits the empty target");
    scheduler.submit(request(3, 50, 10), at(20));
    assert!(scheduler.is_waiting(PlacementKey(3)));
    scheduler.finished(TargetKey(0), PlacementKey(2), AttemptOutcome::Answered, at(30));
    assert_eq!(grants(&mut scheduler), [3]);
}

/// Guards against a new coordinator that fills a target whose requests it doesn't know yet.
#[test]
fn half_of_the_memory_is_free_until_all_nodes_have_reported() {
    let mut scheduler = scheduler(true, 1);
    scheduler.reconcile(ProcessKey(2), &[], at(900));
    scheduler.set_coordinating(true, SETTLE_MS, at(1_000));
    let submit = |scheduler: &mut PlacementScheduler, key, ms| {
        scheduler.set_coordinating(true, SETTLE_MS, at(ms));
        scheduler.submit(request(key, 2_500, 100), at(ms));
        grants(scheduler).len()
    };
    assert_eq!(submit(&mut scheduler, 1, 1_000), 1);
    assert_eq!(submit(&mut scheduler, 2, 2_100), 0, "the other node has not reported");
    scheduler.reconcile(ProcessKey(2), &[], at(2_110));
    assert_eq!(submit(&mut scheduler, 3, 2_120), 1);
}

/// Guards against a stream that outgrows its estimate while its reservation stays.
#[test]
fn a_stream_that_exceeds_its_estimate_reserves_its_maximum() {
    let mut scheduler = scheduler(true, 1);
    scheduler.set_coordinating(true, 0, at(0));
    let free = |scheduler: &PlacementScheduler| scheduler.memory_use()[0].1;
    for key in 0..200 {
        let output = OutputReport { tokens: 100, first_tokens: 5, complete: true };
        let ends = (TargetKey(0), PlacementKey(key));
        scheduler.submit(request(key, 10, 100), at(key * 2_000));
        scheduler.finished_with(ends, AttemptOutcome::Answered, Some(output), at(key * 2_000 + 1));
    }
    scheduler.submit(request(500, 1_000, 100), at(500_000));
    let (target, key) = (TargetKey(0), PlacementKey(500));
    let before = free(&scheduler);
    assert!(before < 0.16, "{before}: prompt and an output of nearly the expected length");
    let written_tokens = 300;
    let active = ActiveRequest {
        key,
        target,
        prompt_tokens: 1_000,
        started: true,
        most_tokens: 2_000,
        written_tokens,
    };
    scheduler.reconcile(ProcessKey(1), &[active], at(500_200));
    assert!((free(&scheduler) - 0.25).abs() < 1e-6, "{}", free(&scheduler));
}

struct Run {
    target: TargetKey,
    request: PlacementRequest,
    length: u32,
    written: u32,
    started: u64,
}

/// Nodes that place through one of two schedulers, over a network that loses messages.
struct LossyNetwork {
    random: StdRng,
    schedulers: [PlacementScheduler; 2],
    coordinator: usize,
    /// Whether both schedulers take what they know for complete at all times.
    knows_all: bool,
    /// Requests that wait for a decision, with the real length of their output.
    pending: BTreeMap<u64, (PlacementRequest, u32)>,
    running: BTreeMap<u64, Run>,
    /// Standard deviation of the logarithm of real to expected length.
    spread: f64,
    served: usize,
    next: u64,
}

impl LossyNetwork {
    fn new(seed: u64, target_memory: bool) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let schedulers = [scheduler(target_memory, 3), scheduler(target_memory, 3)];
        let spread = random.random_range(0.2..1.0);
        let (pending, running) = (BTreeMap::new(), BTreeMap::new());
        let mut network = Self {
            random,
            schedulers,
            coordinator: 0,
            knows_all: false,
            pending,
            running,
            spread,
            served: 0,
            next: 0,
        };
        // Half of the schedules begin with observed lengths.
        if seed.is_multiple_of(2) {
            network.learn_lengths();
        }
        network
    }

    /// Lets both schedulers observe lengths that are a third of those that follow.
    fn learn_lengths(&mut self) {
        for _ in 0..400 {
            self.arrive();
            let Some((key, (request, tokens))) = self.pending.pop_first() else { return };
            let tokens = tokens.div_ceil(3);
            let output = OutputReport { tokens, first_tokens: 5, complete: true };
            for scheduler in &mut self.schedulers {
                scheduler.set_coordinating(true, 0, at(0));
                scheduler.submit(request.clone(), at(0));
                for granted in scheduler.take_outputs() {
                    let PlacementOutput::Grant { target, .. } = granted else { continue };
                    let (ends, outcome) = ((target, PlacementKey(key)), AttemptOutcome::Answered);
                    scheduler.finished_with(ends, outcome, Some(output), at(0));
                }
                scheduler.set_coordinating(false, 0, at(0));
            }
        }
    }

    fn lost(&mut self) -> bool {
        self.random.random_bool(0.2)
    }

    fn arrive(&mut self) {
        let expected = self.random.random_range(50..300);
        // The sum of twelve uniform numbers is nearly normal.
        let normal = (0..12).map(|_| self.random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
        let max_output_tokens = expected * self.random.random_range(2..6);
        let length = (f64::from(expected) * (normal * self.spread).exp()) as u32;
        let prompt = self.random.random_range(100..2_500);
        self.next += 1;
        let process = ProcessKey(self.next % NODES);
        let placed =
            PlacementRequest { process, max_output_tokens, ..request(self.next, prompt, expected) };
        self.pending.insert(self.next, (placed, length.clamp(1, max_output_tokens)));
    }

    /// Submits requests again, as nodes do while they hear nothing.
    fn resubmit(&mut self, now: u64) {
        for (key, (request, _)) in self.pending.clone() {
            if self.lost() {
                continue;
            }
            let scheduler = &mut self.schedulers[self.coordinator];
            let target = scheduler.granted_target(PlacementKey(key));
            if let Some(target) = target {
                self.start(key, target, now);
            } else if !scheduler.is_waiting(PlacementKey(key)) {
                scheduler.submit(request, at(now));
            }
        }
    }

    fn start(&mut self, key: u64, target: TargetKey, now: u64) {
        if let Some((request, length)) = self.pending.remove(&key) {
            self.served += 1;
            self.running.insert(key, Run { target, request, length, written: 0, started: now });
        }
    }

    fn deliver(&mut self, now: u64) {
        for output in self.schedulers[self.coordinator].take_outputs() {
            match output {
                PlacementOutput::Grant { key, target, .. } if !self.lost() => {
                    self.start(key.0, target, now);
                }
                PlacementOutput::Grant { .. } => {}
                PlacementOutput::Refuse { key, .. } => {
                    self.pending.remove(&key.0);
                }
            }
        }
    }

    /// Lets all streams write, one event of five tokens in 60 ms after the prompt.
    fn write(&mut self, now: u64) {
        let mut ended = Vec::new();
        for (key, run) in &mut self.running {
            let first = run.started + u64::from(run.request.prompt_tokens) / 40;
            run.written = (now.saturating_sub(first) as u32 / 60 * 5).min(run.length);
            let complete = run.written >= run.length;
            if complete || now >= run.started + DEADLINE_MS {
                let tokens = run.written;
                ended.push((*key, OutputReport { tokens, first_tokens: 5, complete }));
            }
        }
        for (key, output) in ended {
            let Some(run) = self.running.remove(&key) else { continue };
            if !self.lost() {
                let (ends, outcome) = ((run.target, PlacementKey(key)), AttemptOutcome::Answered);
                let scheduler = &mut self.schedulers[self.coordinator];
                scheduler.finished_with(ends, outcome, Some(output), at(now));
            }
        }
    }

    fn report(&mut self, process: ProcessKey, now: u64) {
        let own = self.running.iter().filter(|(_, run)| run.request.process == process);
        let active: Vec<_> = own
            .map(|(key, run)| ActiveRequest {
                key: PlacementKey(*key),
                target: run.target,
                prompt_tokens: run.request.prompt_tokens,
                started: run.written > 0,
                most_tokens: run.request.prompt_tokens + run.request.max_output_tokens,
                written_tokens: run.written,
            })
            .collect();
        for receiver in 0..2 {
            if !self.lost() {
                self.schedulers[receiver].reconcile(process, &active, at(now));
            }
        }
    }

    fn change_coordinator(&mut self) {
        for key in self.pending.keys() {
            self.schedulers[self.coordinator].withdraw(PlacementKey(*key));
        }
        self.coordinator = 1 - self.coordinator;
    }

    /// Returns the tokens that the fullest target holds.
    fn most_held(&self) -> u32 {
        let mut held = BTreeMap::new();
        for run in self.running.values() {
            *held.entry(run.target).or_insert(0) += run.request.prompt_tokens + run.written;
        }
        held.into_values().max().unwrap_or(0)
    }

    /// Runs 16 s with two changes of coordinator and returns the most tokens that a target held.
    fn run(&mut self) -> u32 {
        let changes =
            [self.random.random_range(800..1_400), self.random.random_range(1_800..2_400)];
        let mut most = 0;
        for step in 0..3_200 {
            let now = step * STEP_MS;
            if self.random.random_bool(0.3) {
                self.arrive();
            }
            if changes.contains(&step) {
                self.change_coordinator();
            }
            for (index, scheduler) in self.schedulers.iter_mut().enumerate() {
                if now.is_multiple_of(25) {
                    let coordinating = self.knows_all || index == self.coordinator;
                    scheduler.set_coordinating(coordinating, SETTLE_MS, at(now));
                    scheduler.advance(at(now));
                }
            }
            if now.is_multiple_of(20) {
                self.resubmit(now);
            }
            self.deliver(now);
            self.write(now);
            if let Some(process) = (0..NODES).find(|node| now % STATUS_MS == node * 65) {
                self.report(ProcessKey(process), now);
            }
            most = most.max(self.most_held());
        }
        most
    }
}

/// Guards against a target that crashes because it holds more than its memory, whatever the
/// arrivals, lengths, lost messages and changes of coordinator. Within the bounds of the search no
/// request may take more than half of a memory.
#[test]
fn no_random_schedule_exceeds_the_memory_of_a_target() {
    for seed in 0..30 {
        let mut network = LossyNetwork::new(seed, true);
        let most = network.run();
        assert!(most <= MEMORY, "seed {seed}: {most}");
        assert!(most > MEMORY * 6 / 10, "seed {seed}: {most}, the memory is not used");
        assert!(network.served > 100, "seed {seed}: {}", network.served);
    }
}

/// Shows that the search finds a new coordinator that exceeds the memory if it leaves no half free
/// until all nodes have reported.
#[test]
fn without_the_free_half_the_search_finds_full_targets() {
    for seed in [1_043, 1_051] {
        let mut network = LossyNetwork { knows_all: true, ..LossyNetwork::new(seed, true) };
        assert!(network.run() > MEMORY, "seed {seed}");
    }
}

/// Shows that the search finds a target that holds too much once nothing is reserved.
#[test]
fn without_reservations_the_search_finds_full_targets() {
    let exceeded = (0..10).filter(|seed| LossyNetwork::new(*seed, false).run() > MEMORY).count();
    assert!(exceeded >= 5, "{exceeded} of 10");
}
