//! Pace of targets that have just started, failed or recovered.

#[path = "support/placement.rs"]
mod support;

use burdockcleat_edge::placement::{
    AttemptOutcome, PlacementFeatures, PlacementKey, PlacementRequest, PlacementScheduler,
    ProcessKey, TargetKey,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use support::{SERVICE, SLOTS, at, granted, infos, listed, request, scheduler};

const PACED: PlacementFeatures =
    PlacementFeatures { target_pace: true, ..PlacementFeatures::for_settings(false) };
/// Time until the first event on an idle target, for each further request on it, and from the first
/// event to the end, in ms.
const TIMES_MS: (u64, u64, u64) = (40, 8, 150);
/// Time after which the node of a request gives up a silent target, in ms.
const SILENCE_MS: u64 = 700;

/// Request at a target.
struct SentRequest {
    key: u64,
    target: TargetKey,
    repeatable: bool,
    first: u64,
    end: u64,
    /// Time at which a target that is gone is given up.
    given_up: Option<u64>,
}

/// Simulated service whose targets may be gone. Requests at a target that goes break off; requests to
/// one that is gone are refused at once by targets with an odd key, and not answered by the others.
struct Simulation {
    scheduler: PlacementScheduler,
    random: StdRng,
    now: u64,
    next_key: u64,
    /// Part of the requests that may be repeated.
    repeatable: f64,
    gone: BTreeSet<TargetKey>,
    sent: Vec<SentRequest>,
    repeatable_keys: BTreeSet<u64>,
    retried: BTreeSet<u64>,
    answered: usize,
    /// Lost requests that were sent before their target went, and after.
    lost: [usize; 2],
}

impl Simulation {
    fn new(targets: u64, features: PlacementFeatures, seed: u64) -> Self {
        Self {
            scheduler: scheduler(targets, features),
            random: StdRng::seed_from_u64(seed),
            now: 0,
            next_key: 0,
            repeatable: 0.2,
            gone: BTreeSet::new(),
            sent: Vec::new(),
            repeatable_keys: BTreeSet::new(),
            retried: BTreeSet::new(),
            answered: 0,
            lost: [0, 0],
        }
    }

    fn submit(&mut self, repeatable: bool) {
        let request = PlacementRequest { repeatable, ..request(self.next_key, 500, 30) };
        self.scheduler.submit(request, at(self.now));
        if repeatable {
            self.repeatable_keys.insert(self.next_key);
        }
        self.next_key += 1;
    }

    fn held(&self, target: TargetKey) -> usize {
        self.sent.iter().filter(|sent| sent.target == target).count()
    }

    /// Ends a request. One that did not run is sent again, one that may have run only if it may be
    /// repeated and was not yet.
    fn finish(&mut self, sent: &SentRequest, outcome: AttemptOutcome) {
        self.scheduler.finished(sent.target, PlacementKey(sent.key), outcome, at(self.now));
        match outcome {
            AttemptOutcome::Answered => self.answered += 1,
            AttemptOutcome::Unreachable => self.submit(sent.repeatable),
            _ if sent.repeatable && !self.retried.contains(&sent.key) => {
                self.retried.insert(self.next_key);
                self.submit(true);
            }
            _ => self.lost[usize::from(sent.given_up.is_some())] += 1,
        }
    }

    fn set_gone(&mut self, target: TargetKey, gone: bool) {
        if !gone {
            self.gone.remove(&target);
            return;
        }
        self.gone.insert(target);
        let sent = std::mem::take(&mut self.sent);
        let (broken, kept) = sent.into_iter().partition(|sent| sent.target == target);
        self.sent = kept;
        for sent in broken {
            self.finish(&sent, AttemptOutcome::Broken);
        }
    }

    /// Simulates 1 ms in which `rate` requests arrive on average.
    fn step(&mut self, rate: f64) {
        self.now += 1;
        if self.random.random_bool(rate) {
            let repeatable = self.random.random_bool(self.repeatable);
            self.submit(repeatable);
        }
        let now = self.now;
        let mut ended = Vec::new();
        for sent in std::mem::take(&mut self.sent) {
            if sent.given_up.is_none() && sent.first == now {
                self.scheduler.started(sent.target, PlacementKey(sent.key), at(now));
            }
            let end = sent.given_up.unwrap_or(sent.end);
            if end <= now { ended.push(sent) } else { self.sent.push(sent) }
        }
        for sent in ended {
            let outcome = match sent.given_up {
                None => AttemptOutcome::Answered,
                Some(_) if sent.target.0 % 2 == 1 => AttemptOutcome::Unreachable,
                Some(_) => AttemptOutcome::Stalled,
            };
            self.finish(&sent, outcome);
        }
        if now.is_multiple_of(25) {
            self.scheduler.advance(at(now));
        }
        for (key, target) in granted(&mut self.scheduler) {
            let silence_ms = if target.0 % 2 == 1 { 2 } else { SILENCE_MS };
            let given_up = self.gone.contains(&target).then_some(now + silence_ms);
            let first = now + TIMES_MS.0 + TIMES_MS.1 * self.held(target) as u64;
            let repeatable = self.repeatable_keys.contains(&key);
            let end = first + TIMES_MS.2;
            self.sent.push(SentRequest { key, target, repeatable, first, end, given_up });
        }
    }
}

/// Guards against one-attempt requests that are sent to targets that are gone or have just come back.
/// A third of the targets go and come back every 1.4 s for 6.5 s.
#[test]
fn fewer_requests_are_lost_to_targets_that_go_and_come_back() {
    let run = |seed, features| {
        let mut simulation = Simulation::new(12, features, seed);
        for now in 0..8_000 {
            if now % 1_400 == 500 && now < 7_000 {
                let gone = now / 1_400 % 2 == 0;
                (0..4).for_each(|target| simulation.set_gone(TargetKey(target), gone));
            }
            simulation.step(0.3);
        }
        (simulation.lost, simulation.answered)
    };
    for seed in 0..6 {
        let (lost, answered) = run(seed, PACED);
        let (lost_before, answered_before) = run(seed, PlacementFeatures::default());
        assert!(lost[1] * 2 < lost_before[1], "seed {seed}: {lost:?} and {lost_before:?} lost");
        assert!(answered >= answered_before, "seed {seed}: {answered} and {answered_before}");
    }
}

/// Guards against a deployment that stays closed after all targets have restarted, beside 1.5 times the
/// load that the targets can serve.
#[test]
fn windows_open_within_a_few_answers_if_all_targets_are_new() {
    let run = |seed, features| {
        let mut simulation = Simulation::new(12, features, seed);
        while simulation.now < 4_000 {
            if simulation.now == 2_000 {
                (0..12).for_each(|target| simulation.set_gone(TargetKey(target), true));
                simulation.scheduler.set_targets(SERVICE, &infos(12..24), at(simulation.now));
            }
            if simulation.now == 2_000 || simulation.now == 2_500 {
                simulation.answered = 0;
            }
            simulation.step(0.5);
        }
        simulation.answered
    };
    let (paced, before) = (run(1, PACED), run(1, PlacementFeatures::default()));
    assert!(paced * 100 >= before * 95, "{paced} and {before} answered");
}

/// Guards against a target that stays idle or half used after it has recovered, and against one that is
/// flooded when it comes back.
#[test]
fn a_recovered_target_is_probed_and_at_full_use_within_a_second() {
    for target in [TargetKey(0), TargetKey(1)] {
        for repeatable in [0.0, 0.3] {
            let mut simulation = Simulation::new(2, PACED, 7);
            simulation.repeatable = repeatable;
            let (mut first, mut full) = (None, None);
            while simulation.now < 8_000 {
                if simulation.now == 1_000 || simulation.now == 4_300 {
                    simulation.set_gone(target, simulation.now == 1_000);
                }
                simulation.step(0.12);
                if simulation.now > 4_300 {
                    let answering =
                        |sent: &&SentRequest| sent.target == target && sent.given_up.is_none();
                    let held = simulation.sent.iter().filter(answering).count();
                    let opened = held > 0 && first.is_none();
                    assert!(!opened || held == 1, "{held} requests at once");
                    first = first.or((held > 0).then_some(simulation.now));
                    full = full.or((held == SLOTS as usize).then_some(simulation.now));
                }
            }
            let (Some(first), Some(full)) = (first, full) else { panic!("{target:?} stays idle") };
            // A silent probe takes 0.7 s, and the next one may follow up to 1 s later.
            let longest = if repeatable > 0.0 { 4_300 + 1_750 } else { 4_300 + 4_250 };
            assert!(first <= longest, "{target:?}: probed at {first}");
            assert!(full <= first + 1_000, "{target:?}: full at {full}, probed at {first}");
        }
    }
}

/// Guards against probing with a request that is lost if the probe fails, while one waits that is not,
/// and against never probing without one.
#[test]
fn a_request_that_may_be_repeated_is_the_probe() {
    let fail = || {
        let mut scheduler = scheduler(1, PACED);
        scheduler.submit(request(1, 500, 30), at(0));
        assert_eq!(granted(&mut scheduler), [(1, TargetKey(0))]);
        scheduler.finished(TargetKey(0), PlacementKey(1), AttemptOutcome::Unreachable, at(10));
        scheduler.submit(PlacementRequest { repeatable: false, ..request(2, 500, 30) }, at(20));
        scheduler
    };
    let mut scheduler = fail();
    scheduler.submit(PlacementRequest { rank: 1, ..request(3, 500, 30) }, at(30));
    scheduler.advance(at(255));
    assert_eq!(granted(&mut scheduler), [], "a probe too early");
    scheduler.advance(at(265));
    assert_eq!(granted(&mut scheduler), [(3, TargetKey(0))]);
    scheduler.started(TargetKey(0), PlacementKey(3), at(300));
    scheduler.advance(at(301));
    assert_eq!(granted(&mut scheduler), [(2, TargetKey(0))], "the target responds");
    let mut scheduler = fail();
    scheduler.advance(at(500));
    assert_eq!(granted(&mut scheduler), []);
    scheduler.advance(at(515));
    assert_eq!(granted(&mut scheduler), [(2, TargetKey(0))], "nothing else waits");
}

/// Guards against flooding a target that responds much later than expected, or that is slow after its
/// start.
#[test]
fn late_first_events_and_cold_starts_keep_the_window_low() {
    let first_events = |cold_ms, late_ms: u64| {
        let mut scheduler = PlacementScheduler::default();
        scheduler.set_features(PACED);
        let mut infos = infos(0..1);
        infos[0].cold_ms = cold_ms;
        scheduler.set_targets(SERVICE, &infos, at(0));
        for key in 0..40 {
            scheduler.submit(request(key, 100, 30), at(0));
        }
        let mut counts = Vec::new();
        for round in 1..=3 {
            let sent = granted(&mut scheduler);
            counts.push(sent.len());
            for (key, target) in sent {
                scheduler.started(target, PlacementKey(key), at(round * late_ms));
                let end = at(round * late_ms + 1);
                scheduler.finished(target, PlacementKey(key), AttemptOutcome::Answered, end);
            }
        }
        counts
    };
    assert_eq!(first_events(0, 50), [2, 4, 7]);
    assert_eq!(first_events(0, 900), [2, 1, 1], "late");
    assert_eq!(first_events(5_000, 50), [1, 2, 2], "cold");
}

/// Guards against a new placement coordinator that closes the windows of targets that run requests.
#[test]
fn a_target_that_runs_requests_of_other_schedulers_has_an_open_window() {
    let mut scheduler = scheduler(1, PACED);
    scheduler.reconcile(ProcessKey(2), &listed(50..56), at(10));
    for (end, key) in [(20, 50), (21, 51), (22, 52)] {
        scheduler.finished(TargetKey(0), PlacementKey(key), AttemptOutcome::Answered, at(end));
        scheduler.submit(request(key - 50, 500, 30), at(end));
    }
    assert_eq!(granted(&mut scheduler).len(), 3);
}

/// Guards against a target that gets nothing until all its requests have ended, because one of them was
/// silent or passed its deadline.
#[test]
fn a_target_that_responds_again_is_refilled() {
    for (outcome, refilled) in [(AttemptOutcome::Stalled, 0), (AttemptOutcome::DeadlinePassed, 1)] {
        let mut scheduler = scheduler(1, PACED);
        for key in 0..u64::from(SLOTS) + 2 {
            scheduler.submit(request(key, 100, 30), at(0));
        }
        for now in [20, 40, 60, 80] {
            for (key, target) in granted(&mut scheduler) {
                scheduler.started(target, PlacementKey(key), at(now));
            }
            scheduler.advance(at(now));
        }
        let end = |scheduler: &mut PlacementScheduler, key, outcome, now| {
            scheduler.finished(TargetKey(0), PlacementKey(key), outcome, at(now));
            granted(scheduler).len()
        };
        assert_eq!(end(&mut scheduler, 0, outcome, 1_000), refilled, "{outcome:?}");
        assert_eq!(end(&mut scheduler, 1, AttemptOutcome::Answered, 1_100), 1, "{outcome:?}");
    }
}
