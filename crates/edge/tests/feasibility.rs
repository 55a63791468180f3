//! Outputs whose length is known as a distribution: which targets they go to and wait for, and which
//! are refused because no target would end them in time.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{
    AttemptOutcome, OutputReport, PlacementFeatures, PlacementKey, PlacementOutput,
    PlacementRequest, PlacementScheduler, ProcessKey, RefusalReason, SpeedModel, TargetInfo,
    TargetKey, VersionKey,
};

const FAST: TargetKey = TargetKey(0);
const SLOW: TargetKey = TargetKey(1);

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

/// Returns the time per token of a target, in ms.
fn token_ms(target: TargetKey) -> u64 {
    if target == FAST { 2 } else { 8 }
}

fn request(key: u64, output_tokens: u32) -> PlacementRequest {
    PlacementRequest {
        key: PlacementKey(key),
        process: ProcessKey(1),
        service: "engines".into(),
        domain: "a".into(),
        version: None,
        rank: 0,
        prompt_tokens: 500,
        output_tokens,
        workspace: None,
        share: 1.0,
        stream: None,
        identity: 0,
        max_output_tokens: output_tokens * 4,
        repeatable: true,
        objective_left_ms: 600,
        deadline_left_ms: 3_000,
        answer_left_ms: 10_000,
        pause_ms: Some(400),
        excluded: Vec::new(),
    }
}

/// Creates a scheduler that has observed `outputs` outputs, of up to twice the expected length, and
/// returns the time of the last one.
fn scheduler(feasibility: bool, outputs: u64) -> (PlacementScheduler, u64) {
    let mut scheduler = PlacementScheduler::default();
    scheduler.set_features(PlacementFeatures { feasibility, ..PlacementFeatures::default() });
    let speed = |read_ms, token_ms| SpeedModel { fixed_ms: 10.0, read_ms, token_ms };
    scheduler.restore_speeds(&[(FAST, speed(0.01, 2.0)), (SLOW, speed(0.05, 8.0))]);
    let info = |key| TargetInfo {
        key,
        service: "engines".into(),
        domain: "a".into(),
        version: VersionKey(0),
        slots: 4,
        memory_tokens: 0,
        cold_ms: 0,
    };
    scheduler.set_targets("engines", &[info(FAST), info(SLOW)], at(0));
    let mut now = 0;
    for round in 0..outputs {
        let target = TargetKey(round % 2);
        let other = TargetKey(1 - target.0);
        let key = 1_000 + round;
        scheduler.submit(PlacementRequest { excluded: vec![other], ..request(key, 100) }, at(now));
        let first = now + if target == FAST { 15 } else { 35 };
        let tokens = (round * 77 % 200 + 5) as u32;
        now = first + u64::from(tokens - 5) * token_ms(target);
        scheduler.started(target, PlacementKey(key), at(first));
        let output = Some(OutputReport { tokens, first_tokens: 5, complete: true });
        let outcome = AttemptOutcome::Answered;
        scheduler.finished_with((target, PlacementKey(key)), outcome, output, at(now));
    }
    scheduler.take_outputs();
    (scheduler, now)
}

fn granted(scheduler: &mut PlacementScheduler) -> Vec<(u64, TargetKey)> {
    let grant = |output| match output {
        PlacementOutput::Grant { key, target, .. } => Some((key.0, target)),
        PlacementOutput::Refuse { .. } => None,
    };
    scheduler.take_outputs().into_iter().filter_map(grant).collect()
}

/// Guards against long outputs on slow targets where they end in time only if the expected length is
/// exact, and against short ones that wait for no reason.
#[test]
fn a_long_output_waits_for_a_target_that_ends_it_more_likely() {
    // At the slow target 9 s are enough for 1.07 times the expected length.
    for (feasibility, expected) in [(true, vec![]), (false, vec![(1, SLOW)])] {
        let (mut scheduler, now) = scheduler(feasibility, 200);
        for key in 10..14 {
            let only = PlacementRequest { excluded: vec![SLOW], ..request(key, 100) };
            scheduler.submit(only, at(now));
            scheduler.started(FAST, PlacementKey(key), at(now + 20));
        }
        assert_eq!(granted(&mut scheduler).len(), 4);
        scheduler.submit(request(1, 1_050), at(now + 500));
        assert_eq!(granted(&mut scheduler), expected);
        scheduler.submit(request(2, 100), at(now + 510));
        assert_eq!(granted(&mut scheduler), [(2, SLOW)]);
        scheduler.finished(FAST, PlacementKey(10), AttemptOutcome::Answered, at(now + 600));
        assert_eq!(granted(&mut scheduler).len(), usize::from(feasibility));
    }
}

fn refused(scheduler: &mut PlacementScheduler, request: PlacementRequest, now: u64) -> bool {
    scheduler.submit(request, at(now));
    let cannot_finish = |output: &PlacementOutput| {
        matches!(output, PlacementOutput::Refuse { reason: RefusalReason::CannotFinish, .. })
    };
    scheduler.take_outputs().iter().any(cannot_finish)
}

/// Guards against streams that hold a slot until their deadline without hope, and against refusals
/// of requests that have a chance or that nothing is known of.
#[test]
fn only_outputs_without_a_chance_are_refused() {
    let (mut scheduler, now) = scheduler(true, 200);
    // The fast target writes 5,000 tokens in time. Of the outputs 0.6, 0.08 and 0 are as short.
    assert!(!refused(&mut scheduler, request(1, 4_000), now));
    assert!(!refused(&mut scheduler, request(2, 25_000), now));
    assert!(refused(&mut scheduler, request(3, 150_000), now));
    let limited = PlacementRequest { max_output_tokens: 4_000, ..request(4, 150_000) };
    assert!(!refused(&mut scheduler, limited, now), "its maximum ends in time");
    let resumed = PlacementRequest { version: Some(VersionKey(0)), ..request(5, 150_000) };
    assert!(!refused(&mut scheduler, resumed, now), "a part of the stream was written before");
    assert!(!refused(&mut scheduler, request(6, 150_000), now + 11_000), "nothing seen lately");
}

/// Guards against refusals that rest on a few outputs, and in deployments that do not want them.
#[test]
fn nothing_is_refused_without_enough_observations() {
    for (feasibility, outputs) in [(true, 29), (false, 200)] {
        let (mut scheduler, now) = scheduler(feasibility, outputs);
        assert!(!refused(&mut scheduler, request(1, 150_000), now), "{outputs}");
    }
}

/// Guards against a time per token that rests on expected lengths where the real ones are known: a
/// rank whose callers expect too little would make its targets look slow.
#[test]
fn speeds_are_learned_from_real_lengths() {
    let (mut scheduler, mut now) = scheduler(true, 0);
    for key in 0..60 {
        scheduler.submit(PlacementRequest { excluded: vec![SLOW], ..request(key, 100) }, at(now));
        scheduler.started(FAST, PlacementKey(key), at(now + 15));
        now += 15 + 300 * 3;
        let output = Some(OutputReport { tokens: 305, first_tokens: 5, complete: true });
        let ends = (FAST, PlacementKey(key));
        scheduler.finished_with(ends, AttemptOutcome::Answered, output, at(now));
    }
    let speeds = scheduler.speeds();
    let (_, speed) = speeds.iter().find(|(target, _)| *target == FAST).expect("a speed");
    assert!((2.9..3.1).contains(&speed.token_ms), "{}", speed.token_ms);
}
