//! Long prompts among streams: which loss a placement causes, and which requests wait for a better
//! target.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{
    AttemptOutcome, PlacementKey, PlacementOutput, PlacementRequest, PlacementScheduler,
    ProcessKey, SpeedModel, TargetInfo, TargetKey, VersionKey,
};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const FAST: TargetKey = TargetKey(0);
const SLOW: TargetKey = TargetKey(1);
const SLOTS: u32 = 4;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

/// Creates a scheduler with one target that prefills 100 tokens per ms and one that prefills 20.
fn scheduler() -> PlacementScheduler {
    let mut scheduler = PlacementScheduler::default();
    let speed = |read_ms, token_ms| SpeedModel { fixed_ms: 10.0, read_ms, token_ms };
    scheduler.restore_speeds(&[(FAST, speed(0.01, 2.0)), (SLOW, speed(0.05, 8.0))]);
    let info = |key| TargetInfo {
        key,
        service: "engines".into(),
        domain: "a".into(),
        version: VersionKey(0),
        slots: SLOTS,
        memory_tokens: 0,
        cold_ms: 0,
    };
    scheduler.set_targets("engines", &[info(FAST), info(SLOW)], at(0));
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
        prompt_tokens,
        output_tokens,
        workspace: None,
        share: 1.0,
        stream: None,
        identity: 0,
        max_output_tokens: 10_000,
        objective_left_ms: 600,
        deadline_left_ms: 3_000,
        answer_left_ms: 10_000,
        pause_ms: Some(400),
        repeatable: true,
        excluded: Vec::new(),
    }
}

fn granted(scheduler: &mut PlacementScheduler) -> Vec<(u64, TargetKey)> {
    let grant = |output| match output {
        PlacementOutput::Grant { key, target, .. } => Some((key.0, target)),
        PlacementOutput::Refuse { .. } => None,
    };
    scheduler.take_outputs().into_iter().filter_map(grant).collect()
}

/// Fills both targets with streams that have started, and ends one stream on each target in
/// `freed`.
fn fill(scheduler: &mut PlacementScheduler, freed: &[TargetKey]) {
    for key in 0..u64::from(2 * SLOTS) {
        scheduler.submit(request(key, 500, 100), at(0));
    }
    let grants = granted(scheduler);
    assert_eq!(grants.len(), 2 * SLOTS as usize);
    for (key, target) in &grants {
        let first_ms = if *target == FAST { 15 } else { 35 };
        scheduler.started(*target, PlacementKey(*key), at(first_ms));
    }
    for target in freed {
        let (key, _) = grants.iter().find(|(_, granted)| granted == target).expect("a stream");
        scheduler.finished(*target, PlacementKey(*key), AttemptOutcome::Dropped, at(1_000));
    }
}

/// Guards against long prompts on slow targets. Their prefill takes longer than the streams on the
/// target may pause, and makes all of them late.
#[test]
fn a_long_prompt_waits_for_a_target_that_prefills_it_in_time() {
    let mut scheduler = scheduler();
    fill(&mut scheduler, &[SLOW]);
    // The prefill takes 500 ms on the slow target and 100 ms on the fast one.
    scheduler.submit(request(20, 10_000, 100), at(1_010));
    assert_eq!(granted(&mut scheduler), []);
    // A short prompt passes it.
    scheduler.submit(request(21, 500, 100), at(1_020));
    assert_eq!(granted(&mut scheduler), [(21, SLOW)]);
    let key = PlacementKey(0);
    let fast = scheduler.granted_target(key) == Some(FAST);
    let freed = (0..8).map(PlacementKey).find(|key| scheduler.granted_target(*key) == Some(FAST));
    assert!(fast || freed.is_some());
    scheduler.finished(FAST, freed.unwrap_or(key), AttemptOutcome::Answered, at(1_100));
    assert_eq!(granted(&mut scheduler), [(20, FAST)]);
}

/// Guards against long outputs on slow targets. They would occupy a slot until their deadline and
/// never be complete.
#[test]
fn a_long_output_waits_for_a_target_that_can_finish_it() {
    let mut scheduler = scheduler();
    fill(&mut scheduler, &[SLOW]);
    // The output takes 16 s on the slow target and 4 s on the fast one.
    scheduler.submit(request(20, 500, 2_000), at(1_010));
    assert_eq!(granted(&mut scheduler), []);
    scheduler.submit(request(21, 500, 100), at(1_020));
    assert_eq!(granted(&mut scheduler), [(21, SLOW)]);
}

/// Guards against a request that is late on every target and waits for a better target that does
/// not exist.
#[test]
fn a_request_that_is_late_everywhere_goes_where_the_loss_is_least() {
    let mut scheduler = scheduler();
    for key in 0..u64::from(SLOTS) {
        scheduler.submit(request(key, 500, 100), at(key * 50));
        assert_eq!(granted(&mut scheduler), [(key, FAST)], "the fast target is free");
        scheduler.started(FAST, PlacementKey(key), at(key * 50 + 15));
    }
    scheduler.finished(FAST, PlacementKey(0), AttemptOutcome::Dropped, at(900));
    // The prefill takes 1 s on the fast target, with three streams, and 5 s on the slow one,
    // without streams.
    scheduler.submit(request(20, 100_000, 100), at(1_000));
    assert_eq!(granted(&mut scheduler), [(20, SLOW)]);
}

/// Guards against a service on which all requests wait for a better target, since every prompt is
/// too long for the streams on targets of equal speed.
#[test]
fn requests_are_placed_when_no_target_would_be_better() {
    let mut scheduler = PlacementScheduler::default();
    let speed = SpeedModel { fixed_ms: 10.0, read_ms: 0.5, token_ms: 8.0 };
    scheduler.restore_speeds(&[(FAST, speed), (SLOW, speed)]);
    let info = |key| TargetInfo {
        key,
        service: "engines".into(),
        domain: "a".into(),
        version: VersionKey(0),
        slots: SLOTS,
        memory_tokens: 0,
        cold_ms: 0,
    };
    scheduler.set_targets("engines", &[info(FAST), info(SLOW)], at(0));
    let mut placed = 0;
    for key in 0..u64::from(2 * SLOTS) {
        let now = key * 700;
        scheduler.submit(request(key, 1_000, 1_000), at(now));
        for (key, target) in granted(&mut scheduler) {
            placed += 1;
            scheduler.started(target, PlacementKey(key), at(now + 510));
        }
    }
    assert_eq!(placed, 2 * SLOTS);
}

/// Guards against judging a long prompt by the mean speed when only the fast targets prefill it in
/// time. It would count as late on arrival and be refused in an overload.
#[test]
fn a_prompt_that_the_fastest_target_prefills_in_time_is_not_late() {
    let mut scheduler = scheduler();
    fill(&mut scheduler, &[]);
    // Urgent load for several seconds, so that late requests are refused on arrival.
    for key in 50..90 {
        scheduler.submit(request(key, 4_000, 1_000), at(1_000));
    }
    // The prefill takes 300 ms on the fast target and 1,500 ms on the slow one; the objective is
    // 600 ms.
    scheduler.submit(request(20, 30_000, 100), at(1_010));
    assert!(scheduler.is_waiting(PlacementKey(20)), "{:?}", scheduler.take_outputs());
}

/// Returns the shortest time of three rounds of requests in an overload with the given number of
/// targets.
fn overload_duration(targets: u64) -> Duration {
    /// Requests per round.
    const ROUND: u64 = 60;
    let mut scheduler = PlacementScheduler::default();
    let infos: Vec<_> = (0..targets)
        .map(|key| TargetInfo {
            key: TargetKey(key),
            service: "engines".into(),
            domain: "a".into(),
            version: VersionKey(0),
            slots: SLOTS,
            memory_tokens: 0,
            cold_ms: 0,
        })
        .collect();
    scheduler.set_targets("engines", &infos, at(0));
    let slots = targets * u64::from(SLOTS);
    let mut running = VecDeque::new();
    for key in 0..slots {
        scheduler.submit(request(key, 500, 200), at(key));
        for (key, target) in granted(&mut scheduler) {
            scheduler.started(target, PlacementKey(key), at(key));
            running.push_back((key, target));
        }
    }
    let mut next = slots;
    let mut shortest = Duration::MAX;
    for _ in 0..3 {
        let started = Instant::now();
        for _ in 0..ROUND {
            let now = next * 2;
            let prompt = if next.is_multiple_of(20) { 60_000 } else { 2_000 };
            scheduler.submit(request(next, prompt, 200), at(now));
            let (key, target) = running.pop_front().expect("a running request");
            scheduler.finished(target, PlacementKey(key), AttemptOutcome::Answered, at(now));
            for (key, target) in granted(&mut scheduler) {
                scheduler.started(target, PlacementKey(key), at(now));
                running.push_back((key, target));
            }
            next += 1;
        }
        shortest = shortest.min(started.elapsed());
    }
    shortest
}

/// Guards against decisions that compute statistics over all targets for each target. In a large
/// deployment under overload the placement coordinator would have no time left. Seen in the load
/// scale-1 of an enlarged customer deployment.
#[test]
fn placement_time_is_not_quadratic_in_the_targets() {
    // Ten times the targets may take ten times as long, with a margin for a busy machine, but not a
    // hundred times.
    let (few, many) = (overload_duration(20), overload_duration(200));
    assert!(many < few * 20, "{few:?} and {many:?}");
}
