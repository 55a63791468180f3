//! Requests that only some targets may run: those of one software version, or all but the excluded
//! ones.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{
    AttemptOutcome, PlacementKey, PlacementOutput, PlacementRequest, PlacementScheduler,
    ProcessKey, RefusalReason, SpeedModel, TargetInfo, TargetKey, VersionKey,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const OLD: VersionKey = VersionKey(1);
const NEW: VersionKey = VersionKey(2);

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn info((key, version, slots): (u64, VersionKey, u32)) -> TargetInfo {
    let (service, domain) = ("engines".into(), "a".into());
    TargetInfo {
        key: TargetKey(key),
        service,
        domain,
        version,
        slots,
        memory_tokens: 0,
        cold_ms: 0,
    }
}

fn set_targets(scheduler: &mut PlacementScheduler, targets: &[(u64, VersionKey, u32)], ms: u64) {
    let infos: Vec<_> = targets.iter().copied().map(info).collect();
    scheduler.set_targets("engines", &infos, at(ms));
}

fn scheduler(targets: &[(u64, VersionKey, u32)]) -> PlacementScheduler {
    let mut scheduler = PlacementScheduler::default();
    set_targets(&mut scheduler, targets, 0);
    scheduler
}

fn request(key: u64, version: Option<VersionKey>) -> PlacementRequest {
    PlacementRequest {
        key: PlacementKey(key),
        process: ProcessKey(1),
        service: "engines".into(),
        domain: "a".into(),
        version,
        rank: 0,
        prompt_tokens: 1_000,
        output_tokens: 20,
        workspace: None,
        share: 1.0,
        stream: None,
        identity: 0,
        max_output_tokens: 10_000,
        objective_left_ms: 500,
        deadline_left_ms: 4_000,
        answer_left_ms: 10_000,
        pause_ms: None,
        repeatable: true,
        excluded: Vec::new(),
    }
}

fn granted(scheduler: &mut PlacementScheduler) -> Vec<(u64, u64)> {
    let grant = |output| match output {
        PlacementOutput::Grant { key, target, .. } => Some((key.0, target.0)),
        PlacementOutput::Refuse { .. } => None,
    };
    scheduler.take_outputs().into_iter().filter_map(grant).collect()
}

/// Guards against requests that exclude the free targets and hold up others for which these are
/// free.
#[test]
fn requests_without_a_free_target_hold_up_no_others() {
    let mut scheduler = scheduler(&[(1, OLD, 1), (2, NEW, 1)]);
    scheduler.submit(PlacementRequest { excluded: vec![TargetKey(2)], ..request(0, None) }, at(0));
    assert_eq!(granted(&mut scheduler), [(0, 1)]);
    for key in 1..=40 {
        let excluded = vec![TargetKey(2)];
        scheduler.submit(PlacementRequest { excluded, ..request(key, None) }, at(0));
    }
    scheduler.submit(PlacementRequest { rank: 1, ..request(41, None) }, at(0));
    assert_eq!(granted(&mut scheduler), [(41, 2)]);
}

/// Guards against a stream that goes on at a target of another version than it began at: one that is
/// free, the only one that is not excluded, or a successor under the same id.
#[test]
fn a_bound_request_goes_to_no_other_version() {
    let mut scheduler = scheduler(&[(1, OLD, 1), (2, NEW, 4)]);
    scheduler.submit(request(1, Some(OLD)), at(0));
    assert_eq!(granted(&mut scheduler), [(1, 1)]);
    scheduler.submit(request(2, Some(OLD)), at(10));
    let excluded = vec![TargetKey(1)];
    scheduler.submit(PlacementRequest { excluded, ..request(3, Some(OLD)) }, at(10));
    // Target 3 starts where target 1 was.
    set_targets(&mut scheduler, &[(2, NEW, 4), (3, NEW, 4)], 20);
    scheduler.advance(at(100));
    assert_eq!(granted(&mut scheduler), []);
    set_targets(&mut scheduler, &[(2, NEW, 4), (3, NEW, 4), (4, OLD, 1)], 200);
    scheduler.finished(TargetKey(4), PlacementKey(2), AttemptOutcome::Answered, at(210));
    let mut both = granted(&mut scheduler);
    both.sort_unstable();
    assert_eq!(both, [(2, 4), (3, 4)]);
}

/// Guards against waiting requests of a version without a free slot that hold up others.
#[test]
fn requests_of_a_full_version_hold_up_no_others() {
    let mut scheduler = scheduler(&[(1, OLD, 1), (2, NEW, 1)]);
    for key in 0..=40 {
        scheduler.submit(request(key, Some(OLD)), at(0));
    }
    assert_eq!(granted(&mut scheduler), [(0, 1)]);
    scheduler.submit(PlacementRequest { rank: 1, ..request(41, None) }, at(0));
    assert_eq!(granted(&mut scheduler), [(41, 2)]);
}

/// Guards against a bound request that gets no slot of its version since requests of any version take
/// them.
#[test]
fn a_bound_request_gets_the_next_slot_of_its_version() {
    let mut scheduler = scheduler(&[(1, OLD, 1), (2, NEW, 1)]);
    scheduler.submit(request(0, Some(OLD)), at(0));
    scheduler.submit(request(1, Some(NEW)), at(0));
    for key in 2..60 {
        scheduler.submit(PlacementRequest { rank: 1, ..request(key, None) }, at(0));
    }
    scheduler.submit(request(60, Some(OLD)), at(0));
    assert_eq!(granted(&mut scheduler), [(0, 1), (1, 2)]);
    scheduler.finished(TargetKey(2), PlacementKey(1), AttemptOutcome::Answered, at(50));
    let unbound = granted(&mut scheduler);
    assert!(matches!(unbound[..], [(2..60, 2)]), "{unbound:?}");
    scheduler.finished(TargetKey(1), PlacementKey(0), AttemptOutcome::Answered, at(100));
    assert_eq!(granted(&mut scheduler), [(60, 1)]);
}

/// Advances every 25 ms until `end_ms`. Returns the requests refused meanwhile, with the time and
/// the reason.
fn refused(
    scheduler: &mut PlacementScheduler,
    start_ms: u64,
    end_ms: u64,
) -> Vec<(u64, u64, RefusalReason)> {
    let mut refused = Vec::new();
    for ms in (start_ms..end_ms).step_by(25) {
        scheduler.advance(at(ms));
        for output in scheduler.take_outputs() {
            if let PlacementOutput::Refuse { key, reason, .. } = output {
                refused.push((key.0, ms, reason));
            }
        }
    }
    refused.sort_unstable_by_key(|(key, ..)| *key);
    refused
}

/// Guards against refusals as soon as requests are late while a crashed target is away, and against
/// requests that wait for one that does not come back.
#[test]
fn requests_without_any_target_wait_for_one() {
    for (version, others) in [(Some(OLD), vec![(2, NEW, 8)]), (None, Vec::new())] {
        let mut scheduler = scheduler(&others);
        for key in 0..3 {
            let objective_left_ms = 500 * key as i64;
            scheduler
                .submit(PlacementRequest { objective_left_ms, ..request(key, version) }, at(0));
        }
        let refusals = refused(&mut scheduler, 0, 3_000);
        let no_target = |key| (key, 1_200, RefusalReason::NoTarget);
        assert_eq!(refusals, [0, 1, 2].map(no_target), "{version:?}");
        // A target that comes back is used, and the wait without one no longer counts.
        scheduler.submit(request(3, version), at(3_000));
        let patient = PlacementRequest { rank: 1, deadline_left_ms: 8_000, ..request(4, version) };
        scheduler.submit(patient, at(3_000));
        assert_eq!(refused(&mut scheduler, 3_000, 4_100), []);
        set_targets(&mut scheduler, &[others.clone(), vec![(1, OLD, 1)]].concat(), 4_100);
        assert_eq!(granted(&mut scheduler), [(3, 1)]);
        assert_eq!(refused(&mut scheduler, 4_100, 4_300), []);
        assert!(scheduler.is_waiting(PlacementKey(4)), "{version:?}");
        // When it is lost, the other one waits as if it had just arrived.
        set_targets(&mut scheduler, &others, 4_300);
        let refusals = refused(&mut scheduler, 4_300, 6_000);
        assert_eq!(refusals, [(4, 5_500, RefusalReason::NoTarget)], "{version:?}");
    }
}

/// Submits a request that is late on arrival, so that its wait is checked. Returns whether it waits,
/// and withdraws it.
fn late_request_waits(
    scheduler: &mut PlacementScheduler,
    version: Option<VersionKey>,
    ms: u64,
) -> bool {
    let (objective_left_ms, deadline_left_ms) = (0, 2_000);
    let late = PlacementRequest { objective_left_ms, deadline_left_ms, ..request(999, version) };
    scheduler.submit(late, at(ms));
    let waits = scheduler.is_waiting(PlacementKey(999));
    scheduler.withdraw(PlacementKey(999));
    waits
}

/// Guards against refusals for the wait of another version, and against accepting requests that their
/// own version cannot serve in time: right after a burst of them, and long after.
#[test]
fn waits_are_expected_by_version() {
    let mut scheduler = scheduler(&[(1, OLD, 1), (2, NEW, 19)]);
    let patient = |key, version| PlacementRequest {
        workspace: None,
        share: 1.0,
        stream: None,
        identity: 0,
        max_output_tokens: 10_000,
        objective_left_ms: 20_000,
        deadline_left_ms: 40_000,
        ..request(key, version)
    };
    for key in 0..60 {
        scheduler.submit(patient(key, Some(if key < 19 { NEW } else { OLD })), at(0));
    }
    for ms in [1, 5_000] {
        let waits = [None, Some(NEW), Some(OLD)].map(|v| late_request_waits(&mut scheduler, v, ms));
        assert_eq!(waits, [true, true, false], "at {ms}");
    }
    // Requests for any target take those of each version.
    (20..60).for_each(|key| scheduler.withdraw(PlacementKey(key)));
    assert!(late_request_waits(&mut scheduler, Some(OLD), 5_000));
    (100..200).for_each(|key| scheduler.submit(patient(key, None), at(5_000)));
    for version in [None, Some(NEW), Some(OLD)] {
        assert!(!late_request_waits(&mut scheduler, version, 9_000), "{version:?}");
    }
}

/// Guards against judging a bound request by a fast target of another version. Its prompt would count
/// as on time until its objective has passed, and go ahead of those that can still meet theirs.
#[test]
fn a_bound_prompt_is_judged_by_the_targets_of_its_version() {
    let mut scheduler = PlacementScheduler::default();
    let speed = |read_ms| SpeedModel { fixed_ms: 10.0, read_ms, token_ms: 2.0 };
    scheduler.restore_speeds(&[(TargetKey(1), speed(0.5)), (TargetKey(2), speed(0.01))]);
    set_targets(&mut scheduler, &[(1, OLD, 1), (2, NEW, 1)], 0);
    scheduler.submit(request(0, Some(OLD)), at(0));
    scheduler.submit(request(1, Some(NEW)), at(0));
    // The prefill takes 1 s on the target of the old version and 20 ms on the other one; the
    // objective is 500 ms.
    let long = |key, version| PlacementRequest { prompt_tokens: 2_000, ..request(key, version) };
    let short =
        |key, version| PlacementRequest { prompt_tokens: 300, rank: 1, ..request(key, version) };
    scheduler.submit(long(2, Some(OLD)), at(100));
    scheduler.submit(short(3, Some(OLD)), at(100));
    scheduler.submit(long(4, Some(NEW)), at(100));
    scheduler.submit(short(5, Some(NEW)), at(100));
    granted(&mut scheduler);
    for target in [1, 2] {
        let key = PlacementKey(target - 1);
        scheduler.finished(TargetKey(target), key, AttemptOutcome::Answered, at(200));
    }
    assert_eq!(granted(&mut scheduler), [(3, 1), (4, 2)]);
}

fn allowed(request: &PlacementRequest, target: u64, version: VersionKey) -> bool {
    request.version.is_none_or(|only| only == version)
        && !request.excluded.contains(&TargetKey(target))
}

/// A scheduler under random events, and what its grants left in use.
struct RandomSchedule {
    random: StdRng,
    scheduler: PlacementScheduler,
    /// Version and slots of each target.
    targets: BTreeMap<u64, (VersionKey, u32)>,
    submitted: BTreeMap<u64, PlacementRequest>,
    /// Running requests with their targets.
    running: Vec<(u64, u64)>,
    next_key: u64,
}

impl RandomSchedule {
    fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            scheduler: PlacementScheduler::default(),
            targets: BTreeMap::new(),
            submitted: BTreeMap::new(),
            running: Vec::new(),
            next_key: 0,
        }
    }

    fn version(&mut self) -> VersionKey {
        VersionKey(self.random.random_range(1..=3))
    }

    /// Replaces some of the targets by others, perhaps of another version.
    fn change_targets(&mut self, ms: u64) {
        let random = &mut self.random;
        self.targets.retain(|_, _| random.random_bool(0.8));
        while self.targets.len() < 8 {
            self.next_key += 1;
            let target = (self.version(), self.random.random_range(1..4));
            self.targets.insert(self.next_key, target);
        }
        let targets = &self.targets;
        self.running.retain(|(_, target)| targets.contains_key(target));
        let targets: Vec<_> =
            targets.iter().map(|(key, target)| (*key, target.0, target.1)).collect();
        set_targets(&mut self.scheduler, &targets, ms);
    }

    fn submit(&mut self, ms: u64) {
        self.next_key += 1;
        let version = self.random.random_bool(0.6).then(|| self.version());
        let keys: Vec<_> = self.targets.keys().collect();
        let excluded = keys.choose_multiple(&mut self.random, 2).map(|key| TargetKey(**key));
        let rank = u32::from(self.random.random_bool(0.5));
        let request = PlacementRequest {
            rank,
            excluded: excluded.collect(),
            ..request(self.next_key, version)
        };
        self.submitted.insert(self.next_key, request.clone());
        self.scheduler.submit(request, at(ms));
    }

    fn finish(&mut self, ms: u64) {
        if !self.running.is_empty() {
            let index = self.random.random_range(0..self.running.len());
            let (key, target) = self.running.swap_remove(index);
            let (target, key) = (TargetKey(target), PlacementKey(key));
            self.scheduler.finished(target, key, AttemptOutcome::Answered, at(ms));
        }
    }

    fn used(&self, target: u64) -> u32 {
        self.running.iter().filter(|(_, used)| *used == target).count() as u32
    }

    /// Checks that all grants were allowed, and that no free target is left to a waiting request.
    fn check(&mut self) {
        for (key, target) in granted(&mut self.scheduler) {
            let request = &self.submitted[&key];
            let (version, slots) = self.targets[&target];
            assert!(allowed(request, target, version), "{key} on {target}");
            self.running.push((key, target));
            assert!(self.used(target) <= slots, "{key} on {target}");
        }
        self.submitted.retain(|key, _| self.scheduler.is_waiting(PlacementKey(*key)));
        for (key, (version, slots)) in &self.targets {
            if self.used(*key) < *slots {
                let left = self.submitted.values().find(|r| allowed(r, *key, *version));
                assert_eq!(left, None, "{key} is free");
            }
        }
    }
}

/// Guards against grants beyond the version or the slots of a target, and against free targets that
/// are left unused while a request waits that may go there, whatever the order of events.
#[test]
fn every_order_of_events_keeps_versions_and_uses_free_targets() {
    for seed in 0..20 {
        let mut schedule = RandomSchedule::new(seed);
        let mut most_waiting = 0;
        for ms in 0..600 {
            match schedule.random.random_range(0..100) {
                0..2 => schedule.change_targets(ms),
                2..65 => schedule.submit(ms),
                65..95 => schedule.finish(ms),
                _ => schedule.scheduler.advance(at(ms)),
            }
            schedule.check();
            most_waiting = most_waiting.max(schedule.scheduler.waiting_count());
        }
        assert!(most_waiting > 32, "seed {seed}: {most_waiting}");
    }
}
