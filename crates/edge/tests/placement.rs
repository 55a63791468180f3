//! Placement under different load patterns: which requests wait, which are refused and where they
//! go.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{
    ActiveRequest, AttemptOutcome, PlacementKey, PlacementOutput, PlacementRequest,
    PlacementScheduler, ProcessKey, RefusalReason, TargetInfo, TargetKey, VersionKey,
};

const PROCESS: ProcessKey = ProcessKey(1);
/// Time that a request occupies a slot in the simulation, in ms.
const WORK_MS: u64 = 200;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn scheduler(targets: u64, slots: u32) -> PlacementScheduler {
    let mut scheduler = PlacementScheduler::default();
    let infos: Vec<_> = (0..targets)
        .map(|target| TargetInfo {
            key: TargetKey(target),
            service: "engines".into(),
            domain: "a".into(),
            version: VersionKey(0),
            slots,
            memory_tokens: 0,
            cold_ms: 0,
        })
        .collect();
    scheduler.set_targets("engines", &infos, at(0));
    scheduler
}

fn request(key: u64, rank: u32, output_tokens: u32) -> PlacementRequest {
    PlacementRequest {
        key: PlacementKey(key),
        process: PROCESS,
        service: "engines".into(),
        domain: "a".into(),
        version: None,
        rank,
        prompt_tokens: 1_000,
        output_tokens,
        workspace: None,
        share: 1.0,
        stream: None,
        identity: 0,
        max_output_tokens: 10_000,
        objective_left_ms: 500,
        deadline_left_ms: 2_400,
        answer_left_ms: 10_000,
        pause_ms: None,
        repeatable: true,
        excluded: Vec::new(),
    }
}

fn grants(scheduler: &mut PlacementScheduler) -> Vec<(u64, TargetKey)> {
    scheduler
        .take_outputs()
        .into_iter()
        .filter_map(|output| match output {
            PlacementOutput::Grant { key, target, .. } => Some((key.0, target)),
            PlacementOutput::Refuse { .. } => None,
        })
        .collect()
}

/// Result of a simulation in which each request occupies a slot for [`WORK_MS`].
#[derive(Debug, Default)]
struct LoadResult {
    on_time: Vec<u64>,
    late: usize,
    refused: usize,
    longest_refusal_ms: u64,
}

/// Simulates a scheduler under arrivals of (time in ms, request).
fn simulate(
    scheduler: &mut PlacementScheduler,
    arrivals: &[(u64, PlacementRequest)],
    end_ms: u64,
) -> LoadResult {
    let mut result = LoadResult::default();
    let mut running: Vec<(u64, TargetKey, PlacementKey)> = Vec::new();
    let mut next = 0;
    for now in 0..end_ms {
        while arrivals.get(next).is_some_and(|(ms, _)| *ms == now) {
            scheduler.submit(arrivals[next].1.clone(), at(now));
            next += 1;
        }
        let (ended, kept): (Vec<_>, Vec<_>) = running.into_iter().partition(|run| run.0 <= now);
        running = kept;
        for (_, target, key) in ended {
            scheduler.finished(target, key, AttemptOutcome::Answered, at(now));
        }
        if now % 25 == 0 {
            let active: Vec<_> = running
                .iter()
                .map(|(_, target, key)| ActiveRequest {
                    key: *key,
                    target: *target,
                    prompt_tokens: 1_000,
                    started: true,
                    most_tokens: 0,
                    written_tokens: 0,
                })
                .collect();
            scheduler.reconcile(PROCESS, &active, at(now));
            scheduler.advance(at(now));
        }
        for output in scheduler.take_outputs() {
            let arrival_of = |key: PlacementKey| {
                arrivals.iter().find(|(_, t)| t.key == key).expect("an arrival")
            };
            match output {
                PlacementOutput::Grant { key, target, .. } => {
                    running.push((now + WORK_MS, target, key));
                    let (ms, request) = arrival_of(key);
                    // The first event comes about 60 ms after the request is sent.
                    if now + 60 - ms <= request.objective_left_ms.cast_unsigned() {
                        result.on_time.push(key.0);
                    } else {
                        result.late += 1;
                    }
                }
                PlacementOutput::Refuse { key, .. } => {
                    result.refused += 1;
                    let waited = now - arrival_of(key).0;
                    result.longest_refusal_ms = result.longest_refusal_ms.max(waited);
                }
            }
        }
    }
    result
}

/// Guards against a queue order that serves each request just too late. In a burst of three times
/// the capacity, all slots would be busy and no request would meet its objective.
#[test]
fn slots_serve_requests_on_time_during_a_burst() {
    let mut scheduler = scheduler(2, 4);
    // Eight slots serve 40 requests a second; 120 arrive.
    let arrivals: Vec<_> = (0..360).map(|n| (n * 1_000 / 120, request(n, 0, 20))).collect();
    let result = simulate(&mut scheduler, &arrivals, 6_000);
    let possible = 3 * 40;
    assert!(result.on_time.len() * 10 >= possible * 8, "{} of {possible}", result.on_time.len());
    assert!(result.longest_refusal_ms <= 1_500, "{}", result.longest_refusal_ms);
}

/// Guards against less urgent requests that take slots from urgent ones when both together exceed
/// the capacity.
#[test]
fn urgent_requests_go_first_in_an_overload() {
    let mut scheduler = scheduler(2, 4);
    let arrivals: Vec<_> =
        (0..320).map(|n| (n * 1_000 / 80, request(n, u32::from(n % 2 == 1), 20))).collect();
    let result = simulate(&mut scheduler, &arrivals, 6_000);
    let urgent = result.on_time.iter().filter(|key| **key % 2 == 0).count();
    assert!(urgent * 100 >= 160 * 90, "{urgent} of 160");
}

/// Guards against starvation of long outputs among short ones in an overload.
#[test]
fn long_requests_are_not_starved() {
    let mut scheduler = scheduler(2, 4);
    // Every tenth request has an output of many times the usual length.
    let output = |n: u64| if n.is_multiple_of(10) { 2_000 } else { 150 };
    let arrivals: Vec<_> = (0..400).map(|n| (n * 1_000 / 100, request(n, 0, output(n)))).collect();
    let result = simulate(&mut scheduler, &arrivals, 6_000);
    let long = result.on_time.iter().filter(|key| **key % 10 == 0).count();
    let all = result.on_time.len();
    assert!(long * 10 * 2 >= all, "{long} long ones of {all}");
}

/// Guards against requests that wait although slots are free, or that gather on one target.
#[test]
fn free_targets_share_the_requests() {
    let mut scheduler = scheduler(4, 4);
    for key in 0..16 {
        scheduler.submit(request(key, 0, 20), at(0));
    }
    let grants = grants(&mut scheduler);
    for target in 0..4 {
        let count = grants.iter().filter(|(_, granted)| *granted == TargetKey(target)).count();
        assert_eq!(count, 4);
    }
    scheduler.submit(request(99, 0, 20), at(0));
    assert!(scheduler.is_waiting(PlacementKey(99)), "no target gets more than its slots");
}

/// Guards against sending as much to a slow target as to a fast one that is free.
#[test]
fn fast_targets_are_preferred() {
    let mut scheduler = scheduler(2, 8);
    let mut sent_to_slow = 0;
    for key in 0..40 {
        scheduler.submit(request(key, 0, 20), at(key * 1_000));
        for (key, target) in grants(&mut scheduler) {
            let slow = target == TargetKey(0);
            sent_to_slow += u32::from(slow);
            let took_ms = if slow { 400 } else { 60 };
            scheduler.started(target, PlacementKey(key), at(key * 1_000 + took_ms));
            scheduler.finished(
                target,
                PlacementKey(key),
                AttemptOutcome::Answered,
                at(key * 1_000 + 500),
            );
        }
    }
    assert!(sent_to_slow <= 4, "{sent_to_slow} of 40");
}

/// Guards against sending one request after another to a target that has failed.
#[test]
fn an_unreachable_target_backs_off_and_is_retried_with_one_request() {
    let mut scheduler = scheduler(2, 4);
    scheduler.submit(request(1, 0, 20), at(0));
    let (key, dead) = grants(&mut scheduler)[0];
    scheduler.finished(dead, PlacementKey(key), AttemptOutcome::Unreachable, at(10));
    for key in 2..6 {
        scheduler.submit(request(key, 0, 20), at(20));
    }
    assert!(grants(&mut scheduler).iter().all(|(_, target)| *target != dead));
    // After the backoff it gets one request at a time until one is answered.
    for key in 6..10 {
        scheduler.submit(request(key, 0, 20), at(1_000));
    }
    let tried = grants(&mut scheduler);
    assert_eq!(tried.iter().filter(|(_, target)| *target == dead).count(), 1);
}

/// Guards against slots that stay occupied after the node of their requests has failed.
#[test]
fn requests_of_a_silent_node_are_removed() {
    let mut scheduler = scheduler(1, 2);
    let other = ProcessKey(2);
    let active = ActiveRequest {
        key: PlacementKey(1),
        target: TargetKey(0),
        prompt_tokens: 10,
        started: true,
        most_tokens: 0,
        written_tokens: 0,
    };
    let second = ActiveRequest { key: PlacementKey(2), ..active };
    scheduler.reconcile(other, &[active, second], at(0));
    scheduler.submit(request(3, 0, 20), at(100));
    assert!(scheduler.is_waiting(PlacementKey(3)));
    // A report that no longer lists a request frees its slot.
    scheduler.reconcile(other, &[active], at(900));
    assert_eq!(grants(&mut scheduler).len(), 1);
    scheduler.submit(PlacementRequest { deadline_left_ms: 9_000, ..request(4, 0, 20) }, at(1_000));
    scheduler.advance(at(2_000));
    assert!(scheduler.is_waiting(PlacementKey(4)));
    scheduler.advance(at(4_500));
    assert_eq!(grants(&mut scheduler).len(), 1, "the node was silent for too long");
}

/// Guards against refusals right after a restart of a node. Targets announce themselves within a
/// second.
#[test]
fn requests_wait_briefly_for_the_first_target() {
    let mut scheduler = PlacementScheduler::default();
    scheduler.submit(request(1, 0, 20), at(0));
    assert!(scheduler.is_waiting(PlacementKey(1)));
    let info = TargetInfo {
        key: TargetKey(7),
        service: "engines".into(),
        domain: "a".into(),
        version: VersionKey(0),
        slots: 1,
        memory_tokens: 0,
        cold_ms: 0,
    };
    scheduler.set_targets("engines", &[info], at(600));
    assert_eq!(grants(&mut scheduler), [(1, TargetKey(7))]);
    let mut empty = PlacementScheduler::default();
    empty.submit(request(2, 0, 20), at(0));
    empty.advance(at(1_300));
    let outputs = empty.take_outputs();
    assert!(
        matches!(outputs[0], PlacementOutput::Refuse { reason: RefusalReason::NoTarget, .. }),
        "{outputs:?}"
    );
}

/// Guards against sending a request to an excluded target, and against blocking the queue with it.
#[test]
fn excluded_targets_are_skipped_and_do_not_block_other_requests() {
    let mut scheduler = scheduler(1, 1);
    scheduler.submit(PlacementRequest { excluded: vec![TargetKey(0)], ..request(1, 0, 20) }, at(0));
    scheduler.submit(request(2, 1, 20), at(0));
    assert_eq!(grants(&mut scheduler), [(2, TargetKey(0))]);
    assert!(scheduler.is_waiting(PlacementKey(1)));
    scheduler.withdraw(PlacementKey(1));
    assert_eq!(scheduler.waiting_count(), 0);
}

/// Guards against datagrams out of order. A report that was sent before a request finished may
/// arrive after the notice of its end, and would occupy the slot again.
#[test]
fn a_stale_report_does_not_occupy_the_slot_of_a_finished_request() {
    let mut scheduler = scheduler(1, 1);
    scheduler.submit(request(1, 0, 20), at(0));
    let (key, target) = grants(&mut scheduler)[0];
    let active = ActiveRequest {
        key: PlacementKey(key),
        target,
        prompt_tokens: 1_000,
        started: true,
        most_tokens: 0,
        written_tokens: 0,
    };
    scheduler.finished(target, PlacementKey(key), AttemptOutcome::Answered, at(100));
    scheduler.reconcile(PROCESS, &[active], at(101));
    scheduler.submit(request(2, 0, 20), at(102));
    assert_eq!(grants(&mut scheduler), [(2, target)]);
}

/// Guards against a lost notice of a request's end, after which the slot would stay occupied for
/// several reports.
#[test]
fn a_report_frees_the_slot_of_a_request_that_it_no_longer_lists() {
    let mut scheduler = scheduler(1, 1);
    scheduler.submit(request(1, 0, 20), at(0));
    let (key, target) = grants(&mut scheduler)[0];
    let active = ActiveRequest {
        key: PlacementKey(key),
        target,
        prompt_tokens: 1_000,
        started: true,
        most_tokens: 0,
        written_tokens: 0,
    };
    scheduler.reconcile(PROCESS, &[active], at(100));
    scheduler.reconcile(PROCESS, &[], at(300));
    scheduler.submit(request(2, 0, 20), at(301));
    assert_eq!(grants(&mut scheduler), [(2, target)]);
}

/// Guards against starvation of the largest tenth of the prompts of a rank in a sustained overload.
#[test]
fn the_largest_prompts_are_served_in_a_sustained_overload() {
    let mut scheduler = scheduler(2, 4);
    let size = |n: u64| if n.is_multiple_of(10) { 20_000 } else { 800 };
    let arrivals: Vec<_> = (0..600)
        .map(|n| {
            (n * 1_000 / 100, PlacementRequest { prompt_tokens: size(n), ..request(n, 0, 20) })
        })
        .collect();
    let result = simulate(&mut scheduler, &arrivals, 8_000);
    let largest = result.on_time.iter().filter(|key| **key % 10 == 0).count();
    let all = result.on_time.len();
    // At least half of the share of all requests of the rank.
    assert!(largest * 10 * 2 >= all, "{largest} largest ones of {all}");
}

/// Guards against late refusals in a sustained overload. Requests that can no longer meet their
/// objective would be kept until little of their deadline is left.
#[test]
fn requests_that_become_late_are_refused_early_in_a_sustained_overload() {
    let mut scheduler = scheduler(1, 4);
    let request = |n| PlacementRequest { deadline_left_ms: 5_000, ..request(n, 0, 20) };
    // Four slots serve 20 requests a second; 60 arrive.
    let arrivals: Vec<_> = (0..360).map(|n| (n * 1_000 / 60, request(n))).collect();
    let result = simulate(&mut scheduler, &arrivals, 8_000);
    assert!(result.refused >= 180, "{result:?}");
    assert!(result.longest_refusal_ms <= 700, "{}", result.longest_refusal_ms);
}

/// Sends `count` requests one after another. `fails` takes the target and the number of the request
/// on it, and returns whether the answer is a failure. Returns the number of requests per target.
fn send_sequentially<F>(targets: u64, count: u64, fails: F) -> Vec<u64>
where
    F: Fn(u64, u64) -> bool,
{
    let mut scheduler = scheduler(targets, 4);
    let mut sent = vec![0; targets as usize];
    for key in 0..count {
        let now = key * 10;
        let plain = PlacementRequest { prompt_tokens: 0, ..request(key, 0, 0) };
        scheduler.submit(plain, at(now));
        let (key, target) = grants(&mut scheduler)[0];
        let number = sent[target.0 as usize];
        sent[target.0 as usize] += 1;
        let failed = fails(target.0, number);
        let outcome = if failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        scheduler.started(target, PlacementKey(key), at(now + 5));
        scheduler.finished(target, PlacementKey(key), outcome, at(now + 5));
    }
    sent
}

/// Guards against preferring a target that fails half of its requests while its health checks pass.
/// Failures are fast, so it would get as many requests as the others or more.
#[test]
fn a_target_that_fails_half_of_its_requests_is_avoided() {
    let sent = send_sequentially(3, 600, |target, number| target == 0 && number.is_multiple_of(2));
    assert!(sent[0] * 10 <= 600, "{sent:?}");
}

/// Guards against excluding a target for a few failures, since some requests fail on every target.
#[test]
fn occasional_failures_do_not_exclude_a_target() {
    // The first target differs from the second one by its failures only.
    let sent = send_sequentially(2, 600, |target, number| target == 0 && number % 7 == 3);
    assert!(sent[0] * 2 >= 600, "{sent:?}");
}
