//! Long prompts among streams: what a placement breaks, and who waits for a better target.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{
    AttemptOutcome, PlacementKey, PlacementOutput, PlacementRequest, PlacementScheduler,
    ProcessKey, SpeedModel, TargetInfo, TargetKey,
};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const FAST: TargetKey = TargetKey(0);
const SLOW: TargetKey = TargetKey(1);
const SLOTS: u32 = 4;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

/// One target that reads 100 tokens in a ms, and one that reads 20.
fn board() -> PlacementScheduler {
    let mut board = PlacementScheduler::default();
    let speed = |read_ms, token_ms| SpeedModel { fixed_ms: 10.0, read_ms, token_ms };
    board.restore_speeds(&[(FAST, speed(0.01, 2.0)), (SLOW, speed(0.05, 8.0))]);
    let info =
        |key| TargetInfo { key, service: "engines".into(), domain: "a".into(), slots: SLOTS };
    board.set_targets("engines", &[info(FAST), info(SLOW)], at(0));
    board
}

fn ticket(key: u64, prompt_tokens: u32, output_tokens: u32) -> PlacementRequest {
    PlacementRequest {
        key: PlacementKey(key),
        process: ProcessKey(1),
        service: "engines".into(),
        domain: "a".into(),
        rank: 0,
        prompt_tokens,
        output_tokens,
        objective_left_ms: 600,
        deadline_left_ms: 3_000,
        answer_left_ms: 10_000,
        pause_ms: Some(400),
        excluded: Vec::new(),
    }
}

fn granted(board: &mut PlacementScheduler) -> Vec<(u64, TargetKey)> {
    let grant = |output| match output {
        PlacementOutput::Grant { key, target, .. } => Some((key.0, target)),
        PlacementOutput::Refuse { .. } => None,
    };
    board.take_outputs().into_iter().filter_map(grant).collect()
}

/// Fills both targets with streams that have begun, and ends one stream at each of `freed`.
fn fill(board: &mut PlacementScheduler, freed: &[TargetKey]) {
    for key in 0..u64::from(2 * SLOTS) {
        board.submit(ticket(key, 500, 100), at(0));
    }
    let grants = granted(board);
    assert_eq!(grants.len(), 2 * SLOTS as usize);
    for (key, target) in &grants {
        let first_ms = if *target == FAST { 15 } else { 35 };
        board.started(*target, PlacementKey(*key), at(first_ms));
    }
    for target in freed {
        let (key, _) = grants.iter().find(|(_, granted)| granted == target).expect("a stream");
        board.finished(*target, PlacementKey(*key), AttemptOutcome::Dropped, at(1_000));
    }
}

/// Pattern: long prompts on slow targets. One takes longer to read there than the streams beside it
/// may pause, and all of them are late.
#[test]
fn a_long_prompt_waits_for_a_target_that_reads_it_in_time() {
    let mut board = board();
    fill(&mut board, &[SLOW]);
    // 500 ms at the slow target, 100 ms at the fast one.
    board.submit(ticket(20, 10_000, 100), at(1_010));
    assert_eq!(granted(&mut board), []);
    // A short one passes it.
    board.submit(ticket(21, 500, 100), at(1_020));
    assert_eq!(granted(&mut board), [(21, SLOW)]);
    let key = PlacementKey(0);
    let fast = board.granted_target(key) == Some(FAST);
    let freed = (0..8).map(PlacementKey).find(|key| board.granted_target(*key) == Some(FAST));
    assert!(fast || freed.is_some());
    board.finished(FAST, freed.unwrap_or(key), AttemptOutcome::Answered, at(1_100));
    assert_eq!(granted(&mut board), [(20, FAST)]);
}

/// Pattern: long outputs on slow targets. They hold a slot until the deadline and are never complete.
#[test]
fn a_long_output_waits_for_a_target_that_can_finish_it() {
    let mut board = board();
    fill(&mut board, &[SLOW]);
    // 16 s at the slow target, 4 s at the fast one.
    board.submit(ticket(20, 500, 2_000), at(1_010));
    assert_eq!(granted(&mut board), []);
    board.submit(ticket(21, 500, 100), at(1_020));
    assert_eq!(granted(&mut board), [(21, SLOW)]);
}

/// Pattern: a prompt that is late at every target. It waits for a better one that does not exist.
#[test]
fn a_request_that_is_late_everywhere_goes_where_it_breaks_least() {
    let mut board = board();
    for key in 0..u64::from(SLOTS) {
        board.submit(ticket(key, 500, 100), at(key * 50));
        assert_eq!(granted(&mut board), [(key, FAST)], "the fast target is free");
        board.started(FAST, PlacementKey(key), at(key * 50 + 15));
    }
    board.finished(FAST, PlacementKey(0), AttemptOutcome::Dropped, at(900));
    // 1 s at the fast target, beside three streams; 5 s at the slow one, beside none.
    board.submit(ticket(20, 100_000, 100), at(1_000));
    assert_eq!(granted(&mut board), [(20, SLOW)]);
}

/// Pattern: one kind of target, at which every prompt is too long for the streams beside it. All wait
/// for a better target.
#[test]
fn requests_are_placed_where_no_target_would_be_better() {
    let mut board = PlacementScheduler::default();
    let speed = SpeedModel { fixed_ms: 10.0, read_ms: 0.5, token_ms: 8.0 };
    board.restore_speeds(&[(FAST, speed), (SLOW, speed)]);
    let info =
        |key| TargetInfo { key, service: "engines".into(), domain: "a".into(), slots: SLOTS };
    board.set_targets("engines", &[info(FAST), info(SLOW)], at(0));
    let mut placed = 0;
    for key in 0..u64::from(2 * SLOTS) {
        let now = key * 700;
        board.submit(ticket(key, 1_000, 1_000), at(now));
        for (key, target) in granted(&mut board) {
            placed += 1;
            board.started(target, PlacementKey(key), at(now + 510));
        }
    }
    assert_eq!(placed, 2 * SLOTS);
}

/// Pattern: targets of unlike speed. A long prompt that only the fast ones read in time counts as late
/// when it arrives, by their mean speed, and is refused in an overload.
#[test]
fn a_prompt_that_the_fastest_target_reads_in_time_is_not_late() {
    let mut board = board();
    fill(&mut board, &[]);
    // Urgent work for seconds, so that late requests are refused on arrival.
    for key in 50..90 {
        board.submit(ticket(key, 4_000, 1_000), at(1_000));
    }
    // 300 ms at the fast target, 1,500 ms at the slow one, and an objective of 600 ms.
    board.submit(ticket(20, 30_000, 100), at(1_010));
    assert!(board.is_waiting(PlacementKey(20)), "{:?}", board.take_outputs());
}

/// Shortest time of three rounds of requests in an overload, at so many targets.
fn time_of_overload(targets: u64) -> Duration {
    /// Requests of a round.
    const ROUND: u64 = 60;
    let mut board = PlacementScheduler::default();
    let infos: Vec<_> = (0..targets)
        .map(|key| TargetInfo {
            key: TargetKey(key),
            service: "engines".into(),
            domain: "a".into(),
            slots: SLOTS,
        })
        .collect();
    board.set_targets("engines", &infos, at(0));
    let slots = targets * u64::from(SLOTS);
    let mut running = VecDeque::new();
    for key in 0..slots {
        board.submit(ticket(key, 500, 200), at(key));
        for (key, target) in granted(&mut board) {
            board.started(target, PlacementKey(key), at(key));
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
            board.submit(ticket(next, prompt, 200), at(now));
            let (key, target) = running.pop_front().expect("a running request");
            board.finished(target, PlacementKey(key), AttemptOutcome::Answered, at(now));
            for (key, target) in granted(&mut board) {
                board.started(target, PlacementKey(key), at(now));
                running.push_back((key, target));
            }
            next += 1;
        }
        shortest = shortest.min(started.elapsed());
    }
    shortest
}

/// Pattern: a large deployment in an overload. Each decision works out figures over all targets for
/// each of them, and the placing node has no time left (grown further customer, scale-1).
#[test]
fn placements_at_many_targets_take_little_time() {
    // Ten times as many targets may cost ten times as much, with room for a busy machine, but not the
    // square of it.
    let (few, many) = (time_of_overload(20), time_of_overload(200));
    assert!(many < few * 20, "{few:?} and {many:?}");
}
