//! Who waits, who is refused and where work goes, by load pattern.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{
    ActiveRequest, AttemptOutcome, PlacementKey, PlacementOutput, PlacementRequest,
    PlacementScheduler, ProcessKey, RefusalReason, TargetInfo, TargetKey,
};

const PROCESS: ProcessKey = ProcessKey(1);
/// Time that a target needs for a request in the tests, in ms.
const WORK_MS: u64 = 200;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn board(targets: u64, slots: u32) -> PlacementScheduler {
    let mut board = PlacementScheduler::default();
    let infos: Vec<_> = (0..targets)
        .map(|target| TargetInfo {
            key: TargetKey(target),
            service: "engines".into(),
            domain: "a".into(),
            slots,
        })
        .collect();
    board.set_targets("engines", &infos, at(0));
    board
}

fn ticket(key: u64, rank: u32, output_tokens: u32) -> PlacementRequest {
    PlacementRequest {
        key: PlacementKey(key),
        process: PROCESS,
        service: "engines".into(),
        domain: "a".into(),
        rank,
        prompt_tokens: 1_000,
        output_tokens,
        objective_left_ms: 500,
        deadline_left_ms: 2_400,
        answer_left_ms: 10_000,
        pause_ms: None,
        excluded: Vec::new(),
    }
}

fn grants(board: &mut PlacementScheduler) -> Vec<(u64, TargetKey)> {
    board
        .take_outputs()
        .into_iter()
        .filter_map(|output| match output {
            PlacementOutput::Grant { key, target, .. } => Some((key.0, target)),
            PlacementOutput::Refuse { .. } => None,
        })
        .collect()
}

/// Result of a load in which each request holds a slot for the same time.
#[derive(Debug, Default)]
struct LoadResult {
    on_time: Vec<u64>,
    late: usize,
    refused: usize,
    longest_refusal_ms: u64,
}

/// Plays arrivals of (ms, ticket) against a board.
fn play(
    board: &mut PlacementScheduler,
    arrivals: &[(u64, PlacementRequest)],
    end_ms: u64,
) -> LoadResult {
    let mut result = LoadResult::default();
    let mut running: Vec<(u64, TargetKey, PlacementKey)> = Vec::new();
    let mut next = 0;
    for now in 0..end_ms {
        while arrivals.get(next).is_some_and(|(ms, _)| *ms == now) {
            board.submit(arrivals[next].1.clone(), at(now));
            next += 1;
        }
        let (ended, kept): (Vec<_>, Vec<_>) = running.into_iter().partition(|run| run.0 <= now);
        running = kept;
        for (_, target, key) in ended {
            board.finished(target, key, AttemptOutcome::Answered, at(now));
        }
        if now % 25 == 0 {
            let active: Vec<_> = running
                .iter()
                .map(|(_, target, key)| ActiveRequest {
                    key: *key,
                    target: *target,
                    prompt_tokens: 1_000,
                    started: true,
                })
                .collect();
            board.reconcile(PROCESS, &active, at(now));
            board.advance(at(now));
        }
        for output in board.take_outputs() {
            let arrived = |key: PlacementKey| {
                arrivals.iter().find(|(_, t)| t.key == key).expect("an arrival")
            };
            match output {
                PlacementOutput::Grant { key, target, .. } => {
                    running.push((now + WORK_MS, target, key));
                    let (ms, ticket) = arrived(key);
                    // The first event comes about 60 ms after the send.
                    if now + 60 - ms <= ticket.objective_left_ms.cast_unsigned() {
                        result.on_time.push(key.0);
                    } else {
                        result.late += 1;
                    }
                }
                PlacementOutput::Refuse { key, .. } => {
                    result.refused += 1;
                    let waited = now - arrived(key).0;
                    result.longest_refusal_ms = result.longest_refusal_ms.max(waited);
                }
            }
        }
    }
    result
}

/// Pattern: a burst of three times what the targets can do. Every request waits until it is just too
/// late, so that none meets its objective although the slots are always busy.
#[test]
fn a_burst_leaves_a_full_share_of_requests_on_time() {
    let mut board = board(2, 4);
    // Eight slots serve 40 requests a second; 120 arrive.
    let arrivals: Vec<_> = (0..360).map(|n| (n * 1_000 / 120, ticket(n, 0, 20))).collect();
    let result = play(&mut board, &arrivals, 6_000);
    let possible = 3 * 40;
    assert!(result.on_time.len() * 10 >= possible * 8, "{} of {possible}", result.on_time.len());
    assert!(result.longest_refusal_ms <= 1_500, "{}", result.longest_refusal_ms);
}

/// Pattern: urgent and less urgent requests together exceed the targets. The less urgent ones take
/// slots from the urgent ones.
#[test]
fn urgent_requests_go_first_in_an_overload() {
    let mut board = board(2, 4);
    let arrivals: Vec<_> =
        (0..320).map(|n| (n * 1_000 / 80, ticket(n, u32::from(n % 2 == 1), 20))).collect();
    let result = play(&mut board, &arrivals, 6_000);
    let urgent = result.on_time.iter().filter(|key| **key % 2 == 0).count();
    assert!(urgent * 100 >= 160 * 90, "{urgent} of 160");
}

/// Pattern: long outputs among short ones in an overload. The long ones are never served.
#[test]
fn long_requests_are_not_starved() {
    let mut board = board(2, 4);
    // Each tenth request has an output of many times the usual.
    let output = |n: u64| if n.is_multiple_of(10) { 2_000 } else { 150 };
    let arrivals: Vec<_> = (0..400).map(|n| (n * 1_000 / 100, ticket(n, 0, output(n)))).collect();
    let result = play(&mut board, &arrivals, 6_000);
    let long = result.on_time.iter().filter(|key| **key % 10 == 0).count();
    let all = result.on_time.len();
    assert!(long * 10 * 2 >= all, "{long} long ones of {all}");
}

/// Pattern: no load to speak of. Requests wait although slots are free, or crowd on one target.
#[test]
fn free_targets_share_the_requests() {
    let mut board = board(4, 4);
    for key in 0..16 {
        board.submit(ticket(key, 0, 20), at(0));
    }
    let grants = grants(&mut board);
    for target in 0..4 {
        let count = grants.iter().filter(|(_, granted)| *granted == TargetKey(target)).count();
        assert_eq!(count, 4);
    }
    board.submit(ticket(99, 0, 20), at(0));
    assert!(board.is_waiting(PlacementKey(99)), "no target gets more than its slots");
}

/// Pattern: unlike targets. A slow one gets as much as a fast one while the fast one is free.
#[test]
fn fast_targets_are_preferred() {
    let mut board = board(2, 8);
    let mut sent_to_slow = 0;
    for key in 0..40 {
        board.submit(ticket(key, 0, 20), at(key * 1_000));
        for (key, target) in grants(&mut board) {
            let slow = target == TargetKey(0);
            sent_to_slow += u32::from(slow);
            let took_ms = if slow { 400 } else { 60 };
            board.started(target, PlacementKey(key), at(key * 1_000 + took_ms));
            board.finished(
                target,
                PlacementKey(key),
                AttemptOutcome::Answered,
                at(key * 1_000 + 500),
            );
        }
    }
    assert!(sent_to_slow <= 4, "{sent_to_slow} of 40");
}

/// Pattern: a target dies. Requests are sent to it one after the other.
#[test]
fn an_unreachable_target_is_paused_and_tried_gently() {
    let mut board = board(2, 4);
    board.submit(ticket(1, 0, 20), at(0));
    let (key, dead) = grants(&mut board)[0];
    board.finished(dead, PlacementKey(key), AttemptOutcome::Unreachable, at(10));
    for key in 2..6 {
        board.submit(ticket(key, 0, 20), at(20));
    }
    assert!(grants(&mut board).iter().all(|(_, target)| *target != dead));
    // After the pause it gets one request at a time until one is answered.
    for key in 6..10 {
        board.submit(ticket(key, 0, 20), at(1_000));
    }
    let tried = grants(&mut board);
    assert_eq!(tried.iter().filter(|(_, target)| *target == dead).count(), 1);
}

/// Pattern: a node dies with its requests. Their slots are never free again.
#[test]
fn requests_of_a_silent_node_are_forgotten() {
    let mut board = board(1, 2);
    let other = ProcessKey(2);
    let active = ActiveRequest {
        key: PlacementKey(1),
        target: TargetKey(0),
        prompt_tokens: 10,
        started: true,
    };
    let second = ActiveRequest { key: PlacementKey(2), ..active };
    board.reconcile(other, &[active, second], at(0));
    board.submit(ticket(3, 0, 20), at(100));
    assert!(board.is_waiting(PlacementKey(3)));
    // A report without one of them frees its slot.
    board.reconcile(other, &[active], at(900));
    assert_eq!(grants(&mut board).len(), 1);
    board.submit(PlacementRequest { deadline_left_ms: 9_000, ..ticket(4, 0, 20) }, at(1_000));
    board.advance(at(2_000));
    assert!(board.is_waiting(PlacementKey(4)));
    board.advance(at(4_500));
    assert_eq!(grants(&mut board).len(), 1, "the node was silent for too long");
}

/// Pattern: the first moments of a restarted node. Requests are refused although targets announce
/// themselves within a second.
#[test]
fn requests_wait_a_moment_for_the_first_target() {
    let mut board = PlacementScheduler::default();
    board.submit(ticket(1, 0, 20), at(0));
    assert!(board.is_waiting(PlacementKey(1)));
    let info =
        TargetInfo { key: TargetKey(7), service: "engines".into(), domain: "a".into(), slots: 1 };
    board.set_targets("engines", &[info], at(600));
    assert_eq!(grants(&mut board), [(1, TargetKey(7))]);
    let mut empty = PlacementScheduler::default();
    empty.submit(ticket(2, 0, 20), at(0));
    empty.advance(at(1_300));
    let outputs = empty.take_outputs();
    assert!(
        matches!(outputs[0], PlacementOutput::Refuse { reason: RefusalReason::NoTarget, .. }),
        "{outputs:?}"
    );
}

/// A request goes to the target again that it must not go to.
#[test]
fn excluded_targets_are_left_out_and_do_not_hold_up_others() {
    let mut board = board(1, 1);
    board.submit(PlacementRequest { excluded: vec![TargetKey(0)], ..ticket(1, 0, 20) }, at(0));
    board.submit(ticket(2, 1, 20), at(0));
    assert_eq!(grants(&mut board), [(2, TargetKey(0))]);
    assert!(board.is_waiting(PlacementKey(1)));
    board.withdraw(PlacementKey(1));
    assert_eq!(board.waiting_count(), 0);
}

/// Pattern: datagrams cross. A report that was sent before a request ended, and arrives after the
/// notice of its end, takes the slot again.
#[test]
fn an_old_report_does_not_take_the_slot_of_an_ended_request() {
    let mut board = board(1, 1);
    board.submit(ticket(1, 0, 20), at(0));
    let (key, target) = grants(&mut board)[0];
    let active =
        ActiveRequest { key: PlacementKey(key), target, prompt_tokens: 1_000, started: true };
    board.finished(target, PlacementKey(key), AttemptOutcome::Answered, at(100));
    board.reconcile(PROCESS, &[active], at(101));
    board.submit(ticket(2, 0, 20), at(102));
    assert_eq!(grants(&mut board), [(2, target)]);
}

/// Pattern: the notice of a request's end is lost. Its slot stays taken for several reports.
#[test]
fn a_report_frees_the_slot_of_a_request_that_was_reported_before() {
    let mut board = board(1, 1);
    board.submit(ticket(1, 0, 20), at(0));
    let (key, target) = grants(&mut board)[0];
    let active =
        ActiveRequest { key: PlacementKey(key), target, prompt_tokens: 1_000, started: true };
    board.reconcile(PROCESS, &[active], at(100));
    board.reconcile(PROCESS, &[], at(300));
    board.submit(ticket(2, 0, 20), at(301));
    assert_eq!(grants(&mut board), [(2, target)]);
}

/// Pattern: an overload that lasts, with prompts of very different sizes. The largest tenth is
/// always behind all others of its rank.
#[test]
fn the_largest_prompts_get_their_share_of_a_lasting_overload() {
    let mut board = board(2, 4);
    let size = |n: u64| if n.is_multiple_of(10) { 20_000 } else { 800 };
    let arrivals: Vec<_> = (0..600)
        .map(|n| (n * 1_000 / 100, PlacementRequest { prompt_tokens: size(n), ..ticket(n, 0, 20) }))
        .collect();
    let result = play(&mut board, &arrivals, 8_000);
    let largest = result.on_time.iter().filter(|key| **key % 10 == 0).count();
    let all = result.on_time.len();
    // Half of what the whole kind gets.
    assert!(largest * 10 * 2 >= all, "{largest} largest ones of {all}");
}

/// Pattern: an overload that lasts. Requests that cannot meet their objective any more are held
/// until little of their deadline is left, in place of an early refusal.
#[test]
fn requests_that_became_late_are_refused_early_in_a_lasting_overload() {
    let mut board = board(1, 4);
    let ticket = |n| PlacementRequest { deadline_left_ms: 5_000, ..ticket(n, 0, 20) };
    // Four slots serve 20 requests a second; 60 arrive.
    let arrivals: Vec<_> = (0..360).map(|n| (n * 1_000 / 60, ticket(n))).collect();
    let result = play(&mut board, &arrivals, 8_000);
    assert!(result.refused >= 180, "{result:?}");
    assert!(result.longest_refusal_ms <= 700, "{}", result.longest_refusal_ms);
}

/// Sends `count` requests one after the other; `fails` tells by target and number of the request at
/// it whether its answer is a failure. Returns the requests at each target.
fn send_one_by_one<F>(targets: u64, count: u64, fails: F) -> Vec<u64>
where
    F: Fn(u64, u64) -> bool,
{
    let mut board = board(targets, 4);
    let mut sent = vec![0; targets as usize];
    for key in 0..count {
        let now = key * 10;
        let plain = PlacementRequest { prompt_tokens: 0, ..ticket(key, 0, 0) };
        board.submit(plain, at(now));
        let (key, target) = grants(&mut board)[0];
        let number = sent[target.0 as usize];
        sent[target.0 as usize] += 1;
        let failed = fails(target.0, number);
        let outcome = if failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        board.started(target, PlacementKey(key), at(now + 5));
        board.finished(target, PlacementKey(key), outcome, at(now + 5));
    }
    sent
}

/// Pattern: a target answers half of its requests with a failure while its health is good. It gets
/// as many requests as the others, or more, since failures come fast.
#[test]
fn a_target_that_fails_half_of_its_requests_is_avoided() {
    let sent = send_one_by_one(3, 600, |target, number| target == 0 && number.is_multiple_of(2));
    assert!(sent[0] * 10 <= 600, "{sent:?}");
}

/// Pattern: some requests fail wherever they run. A target with a little bad luck is left out.
#[test]
fn failures_of_the_requests_themselves_keep_no_target_out() {
    // The first target is as good as the second one, but for its failures.
    let sent = send_one_by_one(2, 600, |target, number| target == 0 && number % 7 == 3);
    assert!(sent[0] * 2 >= 600, "{sent:?}");
}
