//! Requests of processes that have ended, or may have.

#[path = "support/placement.rs"]
mod support;

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{
    FreedRequests, PlacementFeatures, PlacementRequest, PlacementScheduler, ProcessKey, TargetKey,
    VersionKey,
};
use burdockcleat_edge::process_checks::ProcessChecks;
use burdockcleat_edge::streams::StreamKey;
use burdockcleat_edge::target_load::{LoadReport, TargetLoad};
use std::collections::BTreeSet;
use support::{PROCESS, SLOTS, at, granted, listed, request, scheduler};

const LOST: ProcessKey = ProcessKey(2);
/// Key of the first request that waits.
const WAITING: u64 = SLOTS as u64;

/// Returns a request that begins a stream, with the key of the request as that of the stream.
fn stream_of(key: u64, process: ProcessKey) -> PlacementRequest {
    let stream = Some(StreamKey(key));
    PlacementRequest { process, stream, ..request(key, 500, 30) }
}

/// Returns a request of [`PROCESS`] that goes on with a stream.
fn return_of(stream: u64, key: u64) -> PlacementRequest {
    let (stream, version) = (Some(StreamKey(stream)), Some(VersionKey(0)));
    PlacementRequest { stream, version, ..request(key, 500, 30) }
}

/// Returns a scheduler whose only target is taken by requests of [`LOST`].
fn taken_scheduler() -> PlacementScheduler {
    let mut scheduler = scheduler(1, PlacementFeatures::default());
    for key in 0..u64::from(SLOTS) {
        scheduler.submit(stream_of(key, LOST), at(0));
    }
    assert_eq!(granted(&mut scheduler).len(), SLOTS as usize);
    scheduler
}

/// Guards against slots that a process which has ended keeps for 3 s, while requests that wait for
/// them are refused.
#[test]
fn waiting_requests_get_the_slots_of_an_ended_process() {
    let mut scheduler = taken_scheduler();
    scheduler.submit(return_of(0, WAITING), at(300));
    assert!(scheduler.slot_holders().contains(&LOST));
    assert_eq!(granted(&mut scheduler), []);
    let freed = scheduler.end_process(LOST, at(400));
    assert_eq!(freed, FreedRequests { running: SLOTS as usize, waiting: 0 });
    assert_eq!(granted(&mut scheduler), [(WAITING, TargetKey(0))]);
}

/// Guards against slots that are granted to waiting requests of a process which has ended, and stay
/// unused.
#[test]
fn waiting_requests_of_an_ended_process_get_no_slot() {
    let mut scheduler = taken_scheduler();
    scheduler.submit(request(WAITING, 500, 30), at(100));
    for key in 0..3 {
        scheduler.submit(stream_of(WAITING + 1 + key, ProcessKey(3)), at(50));
    }
    assert_eq!(
        scheduler.end_process(ProcessKey(3), at(150)),
        FreedRequests { running: 0, waiting: 3 }
    );
    scheduler.end_process(LOST, at(200));
    assert_eq!(granted(&mut scheduler), [(WAITING, TargetKey(0))]);
}

/// Guards against a report that was on its way when the process ended and takes the slots again.
#[test]
fn a_late_report_takes_no_slot_of_an_ended_process() {
    let mut scheduler = taken_scheduler();
    scheduler.end_process(LOST, at(400));
    scheduler.reconcile(LOST, &listed(0..u64::from(SLOTS)), at(450));
    for key in 0..u64::from(SLOTS) {
        scheduler.submit(request(WAITING + key, 500, 30), at(460));
    }
    assert_eq!(granted(&mut scheduler).len(), SLOTS as usize);
}

/// Guards against checking a lost node of a large deployment only when its next status is overdue,
/// after the callers of its streams have been refused.
#[test]
fn a_returning_stream_tells_which_process_its_caller_has_left() {
    let mut scheduler = taken_scheduler();
    assert!(scheduler.left_processes().is_empty());
    scheduler.submit(request(WAITING, 500, 30), at(200));
    assert!(scheduler.left_processes().is_empty(), "a new request has left no process");
    scheduler.submit(return_of(3, WAITING + 1), at(300));
    scheduler.submit(return_of(4, WAITING + 2), at(350));
    let left: Vec<_> = scheduler.left_processes().into_iter().collect();
    assert_eq!(left, [(LOST, at(350))]);
    let own = PlacementRequest { process: LOST, ..return_of(5, WAITING + 3) };
    scheduler.withdraw_process(PROCESS);
    scheduler.submit(own, at(400));
    assert!(scheduler.left_processes().is_empty(), "the stream is at the process that began it");
}

/// Guards against connections in quick succession to nodes that stay silent, and against a node that
/// falls silent again and is not checked at once.
#[test]
fn checks_of_a_silent_process_become_rarer() {
    let mut checks = ProcessChecks::default();
    let silent: BTreeSet<_> = [LOST].into();
    let mut times = Vec::new();
    for ms in (0..3_000).step_by(25) {
        if !checks.take_due(&silent, 8, at(ms)).is_empty() {
            times.push(ms);
        }
    }
    assert_eq!(times, [0, 350, 1_050, 2_450]);
    assert!(checks.take_due(&BTreeSet::new(), 8, at(3_000)).is_empty());
    assert_eq!(checks.take_due(&silent, 8, at(3_025)), [LOST]);
}

/// Guards against a connection to each node at once if a whole failure domain falls silent.
#[test]
fn only_some_silent_processes_are_checked_at_once() {
    let mut checks = ProcessChecks::default();
    let silent: BTreeSet<_> = (0..20).map(ProcessKey).collect();
    let at_once =
        |checks: &mut ProcessChecks, now: ClockTime| checks.take_due(&silent, 8, now).len();
    assert_eq!([0, 25, 50, 75].map(|ms| at_once(&mut checks, at(ms))), [8, 8, 4, 0]);
}

/// States at `ms` that the target holds a number of requests.
fn state_held(scheduler: &mut PlacementScheduler, running: u32, ms: u64) {
    let load = TargetLoad { running, waiting: 0, slots: SLOTS, work_percent: None };
    let report = LoadReport::new(load, 0).expect("a new report");
    scheduler.observe_load(TargetKey(0), report, at(ms));
}

/// Returns a scheduler whose only target runs five requests of [`LOST`] and two of [`PROCESS`], which
/// reports at 1,000 ms, while others wait.
fn shared_scheduler() -> PlacementScheduler {
    let mut scheduler = scheduler(1, PlacementFeatures::default());
    scheduler.reconcile(LOST, &listed(0..5), at(0));
    scheduler.reconcile(PROCESS, &listed(100..102), at(0));
    scheduler.reconcile(PROCESS, &listed(100..102), at(1_000));
    for key in WAITING..WAITING + 7 {
        scheduler.submit(request(key, 500, 30), at(1_000));
    }
    assert_eq!(granted(&mut scheduler), []);
    scheduler
}

/// Guards against slots that a silent node keeps, although the target states that its requests have
/// ended.
#[test]
fn requests_of_a_silent_process_that_a_target_no_longer_holds_are_removed() {
    let mut scheduler = shared_scheduler();
    state_held(&mut scheduler, 4, 1_050);
    let silent: BTreeSet<_> = [LOST].into();
    assert_eq!(scheduler.remove_ended(&silent, at(1_100)), 0, "the end may still be reported");
    assert_eq!(scheduler.remove_ended(&silent, at(1_200)), 3);
    assert_eq!(granted(&mut scheduler).len(), 3);
    assert_eq!(scheduler.remove_ended(&silent, at(1_225)), 0, "requests were removed twice");
}

/// Guards against overfilling a target whose requests come from a node that is only cut off, and against
/// counting requests of others that have just been sent or have been reported since.
#[test]
fn requests_that_a_target_may_still_hold_keep_their_slots() {
    let silent: BTreeSet<_> = [LOST].into();
    let mut all_held = shared_scheduler();
    state_held(&mut all_held, 7, 1_050);
    assert_eq!(all_held.remove_ended(&silent, at(1_200)), 0);

    let mut heard_again = shared_scheduler();
    state_held(&mut heard_again, 2, 1_050);
    heard_again.reconcile(LOST, &listed(0..5), at(1_060));
    assert_eq!(heard_again.remove_ended(&silent, at(1_200)), 0);

    let mut just_sent = scheduler(1, PlacementFeatures::default());
    just_sent.reconcile(LOST, &listed(0..5), at(0));
    for key in WAITING..WAITING + 2 {
        just_sent.submit(request(key, 500, 30), at(1_000));
    }
    assert_eq!(granted(&mut just_sent).len(), 2);
    state_held(&mut just_sent, 5, 1_010);
    assert_eq!(just_sent.remove_ended(&silent, at(1_200)), 0);
}

/// Guards against removing requests of a process that is heard.
#[test]
fn requests_of_a_process_that_is_heard_stay() {
    let mut scheduler = shared_scheduler();
    state_held(&mut scheduler, 0, 1_050);
    assert_eq!(scheduler.remove_ended(&BTreeSet::new(), at(1_200)), 0);
}
