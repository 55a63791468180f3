//! Suspicion and quarantine of requests that crash targets.

use crate::support::{PoolHarness, at, key, placed, refused, request, target};
use burdockcleat_core::keys::{RequestFingerprint, TargetIdentity};
use burdockcleat_core::message::SubmitRequest;
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use burdockcleat_core::pool::{PoolInput, PoolOutput, PoolSettings};
use burdockcleat_core::registry::{SuspectChange, SuspectTable, TargetAnnouncement};

fn with_fingerprint(number: u32, fingerprint: u64) -> SubmitRequest {
    SubmitRequest { fingerprint: RequestFingerprint(fingerprint), ..request(number, 0) }
}

fn restarted(number: u32, slots: u32, incarnation: u64) -> TargetAnnouncement {
    TargetAnnouncement { incarnation, ..target(number, slots) }
}

fn mark(fingerprint: u64, name: &str, incarnation: u64) -> SuspectChange {
    let target = TargetIdentity { name: name.into(), incarnation };
    SuspectChange::Mark { fingerprint: RequestFingerprint(fingerprint), target }
}

/// Guards against a request that crashes one target after another, and against refusing a harmless
/// request that ran beside it once.
#[test]
fn crashing_request_is_quarantined_and_a_concurrent_one_is_not() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 2)]);
    harness.submit(with_fingerprint(1, 666));
    harness.submit(with_fingerprint(2, 7));
    harness.announce(restarted(1, 2, 2));
    harness.finish_with(1, RequestOutcome::Failed, Some(ReasonCode::UpstreamCut));
    harness.finish_with(2, RequestOutcome::Failed, Some(ReasonCode::UpstreamCut));
    // Both requests are marked now, so they run on different targets.
    harness.announce(target(2, 2));
    harness.submit(with_fingerprint(3, 666));
    harness.submit(with_fingerprint(4, 7));
    assert_ne!(harness.placements[&key(3)], harness.placements[&key(4)]);
    let crashed = harness.placements[&key(3)];
    let number =
        if harness.registry.get(crashed).unwrap().announcement.name == "engine-1" { 1 } else { 2 };
    harness.announce(restarted(number, 2, 9));
    // If request 3 ran on target 1, both crashes are of one target, which is no evidence against
    // it.
    let expected = if number == 2 { vec![(5, ReasonCode::CrashesTargets)] } else { vec![] };
    assert_eq!(refused(&harness.submit(with_fingerprint(5, 666))), expected);
    assert!(refused(&harness.submit(with_fingerprint(6, 7))).is_empty());
}

/// Guards against a quarantine while two requests were part of the same crashes, and against a
/// missing one after a third crash with only one of them.
#[test]
fn third_crash_distinguishes_requests_that_crashed_together() {
    let mut table = SuspectTable::default();
    for change in [mark(1, "a", 1), mark(2, "a", 1), mark(1, "b", 1), mark(2, "b", 1)] {
        table.apply(at(0), &change);
    }
    let quarantined = |table: &SuspectTable, fingerprint| {
        table.quarantine_remaining_ms(at(10), RequestFingerprint(fingerprint)).is_some()
    };
    assert!(!quarantined(&table, 1) && !quarantined(&table, 2));
    table.apply(at(5), &mark(1, "c", 1));
    assert!(quarantined(&table, 1) && !quarantined(&table, 2));
}

/// Guards against a quarantine because of two crashes of one faulty target.
#[test]
fn crashes_of_one_target_do_not_quarantine_a_request() {
    let mut table = SuspectTable::default();
    table.apply(at(0), &mark(1, "a", 1));
    table.apply(at(0), &mark(1, "a", 2));
    assert_eq!(table.quarantine_remaining_ms(at(1), RequestFingerprint(1)), None);
}

/// Guards against a quarantine that never ends.
#[test]
fn quarantine_ends_after_ten_minutes() {
    let mut table = SuspectTable::default();
    table.apply(at(0), &mark(1, "a", 1));
    table.apply(at(0), &mark(1, "b", 1));
    assert!(table.quarantine_remaining_ms(at(599_999), RequestFingerprint(1)).is_some());
    assert_eq!(table.quarantine_remaining_ms(at(600_000), RequestFingerprint(1)), None);
    table.expire(at(600_000));
    assert!(!table.is_marked(at(0), RequestFingerprint(1)));
}

/// Guards against a marked request that is not cleared by its completion, and against one that
/// blocks the requests behind it while it waits for a target without other marked requests.
#[test]
fn suspected_request_is_parked_and_cleared_by_completion() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 2)]);
    let marks = vec![mark(1, "x", 1), mark(2, "x", 1)];
    harness.step(PoolInput::RestoreSuspects(marks));
    harness.submit(with_fingerprint(1, 1));
    assert!(placed(&harness.submit(with_fingerprint(2, 2))).is_empty());
    assert_eq!(placed(&harness.submit(with_fingerprint(3, 3))), [3]);
    harness.finish(3);
    let outputs = harness.finish(1);
    let clear = SuspectChange::Clear { fingerprint: RequestFingerprint(1) };
    assert!(outputs.contains(&PoolOutput::Suspect(clear)));
    assert_eq!(placed(&outputs), [2]);
}

/// Guards against placing a request that was quarantined while it waited.
#[test]
fn waiting_request_is_refused_once_it_is_quarantined() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    harness.submit(with_fingerprint(1, 1));
    harness.submit(with_fingerprint(2, 666));
    harness.step(PoolInput::RestoreSuspects(vec![mark(666, "x", 1), mark(666, "y", 1)]));
    assert_eq!(refused(&harness.finish(1)), [(2, ReasonCode::CrashesTargets)]);
}

/// Guards against marking requests after a graceful restart.
#[test]
fn graceful_leave_marks_no_request() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 2)]);
    harness.submit(with_fingerprint(1, 1));
    let left = harness.registry.leave(&target(1, 2).identity()).unwrap();
    harness.step(PoolInput::Target { target: left.target, change: left.kind });
    let announced = harness.registry.announce(harness.now, restarted(1, 2, 2)).unwrap();
    assert_eq!(announced.1.len(), 1);
}
