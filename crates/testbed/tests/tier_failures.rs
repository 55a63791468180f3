//! Tests of bursts of requests of several tiers over several entries.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_testbed::client::{CompletionCall, TimedCall};
use burdockcleat_testbed::cluster::{
    BATCH_CREDENTIAL, BATCH_MODEL, ClusterPlan, TestCluster, URGENT_CREDENTIAL,
};
use burdockcleat_testbed::deployment::wait_until;
use burdockcleat_testbed::journal::DispatchEnd;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Longest time in milliseconds between a refusal and its receipt, and between a call and the
/// arrival of the request at the scheduler.
const TRANSIT_MS: u64 = 500;

fn stage(entries: usize, engines: usize, slots: u32) -> TestCluster {
    TestCluster::open(ClusterPlan { entries, engines, slots, ..ClusterPlan::default() }).unwrap()
}

fn join(workers: Vec<JoinHandle<TimedCall>>) -> Vec<TimedCall> {
    workers.into_iter().map(|worker| worker.join().unwrap()).collect()
}

/// Creates a call of the tier with this rank.
fn tier_call(
    stage: &TestCluster,
    rank: usize,
    entry: usize,
    id: &str,
    tokens: u32,
) -> CompletionCall {
    let mut call = stage.completion(entry, id, tokens);
    match rank {
        0 => call.credential = URGENT_CREDENTIAL.into(),
        1 => {}
        _ => {
            call.credential = BATCH_CREDENTIAL.into();
            call.model = BATCH_MODEL.into();
        }
    }
    call
}

fn rank(call: &CompletionCall) -> usize {
    match call.credential.as_str() {
        URGENT_CREDENTIAL => 0,
        BATCH_CREDENTIAL => 2,
        _ => 1,
    }
}

fn is_refused(sent: &TimedCall) -> bool {
    let reason = sent.answer.error["reason"].as_str().unwrap_or_default();
    sent.answer.outcome() == "not_run"
        && ["overloaded", "deadline_passed", "claims_full"].contains(&reason)
}

/// Finds each request of a lower tier that was certainly at the scheduler when one of a higher tier
/// was refused.
fn wrongly_refused(calls: &[TimedCall]) -> Vec<String> {
    let mut found = Vec::new();
    for refused in calls.iter().filter(|sent| is_refused(sent)) {
        let was_at_scheduler = |lower: &&TimedCall| {
            rank(&lower.call) > rank(&refused.call)
                && lower.sent_ms + 2 * TRANSIT_MS <= refused.ended_ms
                && lower.ended_ms >= refused.ended_ms + TRANSIT_MS
        };
        found.extend(calls.iter().filter(was_at_scheduler).map(|lower| {
            format!(
                "{} was refused while {} ran or waited",
                refused.call.request_id, lower.call.request_id
            )
        }));
    }
    found
}

/// Guards against a refused urgent request while requests of a lower tier run or wait at any entry.
#[test]
fn a_burst_over_several_entries_sheds_the_lowest_tier_first() {
    let stage = stage(3, 2, 2);
    let mut workers = Vec::new();
    for wave in 0..12 {
        for entry in 0..3 {
            // The lower tiers arrive first and fill the slots and the queue.
            for rank in (0..3).rev().filter(|rank| *rank > 0 || wave >= 3) {
                for number in 0..2 {
                    let id = format!("t{rank}-{wave}-{entry}-{number}");
                    let mut call = tier_call(&stage, rank, entry, &id, 40);
                    call.deadline_ms = 8_000;
                    workers.push(call.spawn());
                }
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
    let calls = join(workers);
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
    assert_eq!(wrongly_refused(&calls), Vec::<String>::new());
    let refused = |tier_rank: usize| {
        calls.iter().filter(|sent| rank(&sent.call) == tier_rank && is_refused(sent)).count()
    };
    let counts = [refused(0), refused(1), refused(2)];
    println!("refused by tier: {counts:?} of {}", calls.len());
    assert!(counts[2] > 0 && counts[1] > 0, "the burst refused nothing: {counts:?}");
    let urgent_done = calls.iter().filter(|sent| rank(&sent.call) == 0 && sent.answer.done).count();
    assert!(urgent_done > 0, "no urgent request completed");
    for sent in calls.iter().filter(|sent| is_refused(sent)) {
        assert!(sent.answer.error["retry_after_ms"].as_u64() > Some(0), "{sent:?}");
    }
}

/// Guards against a cancelled non-idempotent request, and against an urgent request that is refused
/// because the running one cannot be cancelled.
#[test]
fn an_urgent_request_passes_a_running_one_that_cannot_be_cancelled() {
    let stage = stage(2, 1, 1);
    let mut call = tier_call(&stage, 1, 0, "order", 300);
    call.headers.push(("x-idempotent".into(), "false".into()));
    let running = call.spawn();
    wait_until("the order to run", 5_000, || stage.dispatch_count() == 1).unwrap();
    let mut urgent = tier_call(&stage, 0, 1, "urgent", 20);
    urgent.deadline_ms = 3_000;
    let urgent = urgent.send_timed();
    assert!(urgent.answer.done, "{urgent:?}");
    let running = running.join().unwrap();
    assert!(running.answer.done && running.ended_ms > urgent.ended_ms, "{running:?}");
    assert_eq!(stage.inconsistencies(&[running, urgent]), Vec::<String>::new());
    assert_eq!(stage.engines[0].journal().ended(DispatchEnd::Cancelled), 0);
}

/// Guards against refusals that are late or lack a retry time, and against resends of refused
/// requests that are dispatched.
#[test]
fn refusals_come_at_once_and_a_resend_costs_no_dispatch() {
    let stage = stage(2, 1, 1);
    let fill: Vec<_> =
        (0..12).map(|number| stage.completion(0, &format!("fill-{number}"), 200).spawn()).collect();
    thread::sleep(Duration::from_millis(700));
    // The queued work takes three to four times this deadline, so the request is refused at once
    // even if the estimates drift.
    let mut call = stage.completion(0, "refused", 200);
    call.deadline_ms = 5_000;
    let refused = call.send_timed();
    assert!(is_refused(&refused), "{refused:?}");
    assert!(refused.ended_ms - refused.sent_ms < 1_000, "{refused:?}");
    let retry_after = refused.answer.error["retry_after_ms"].as_u64().unwrap();
    assert!(retry_after > 0);
    let mut calls = vec![refused];
    for entry in [1, 0, 1] {
        let mut call = calls[0].call.clone();
        call.entry_url = stage.deployment.entry_url(entry);
        let resent = call.send_timed();
        if resent.ended_ms >= calls[0].ended_ms + retry_after {
            break;
        }
        assert!(is_refused(&resent), "{resent:?}");
        assert!(resent.ended_ms - resent.sent_ms < 1_000, "{resent:?}");
        calls.push(resent);
    }
    assert!(calls.len() > 1, "no resend ended before the retry time of the refusal");
    calls.extend(join(fill));
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
    let done = calls.iter().filter(|sent| sent.answer.done).count() as u64;
    assert_eq!(stage.dispatch_count(), done);
}
