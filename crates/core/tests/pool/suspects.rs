//! Requests that crash targets.

use crate::support::{PoolHarness, at, key, placed, refused, request, target};
use burdockcleat_core::keys::{RequestFingerprint, TargetIdentity};
use burdockcleat_core::message::SubmitRequest;
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use burdockcleat_core::pool::{PoolInput, PoolOutput, PoolSettings};
use burdockcleat_core::registry::{SuspectChange, SuspectTable, TargetAnnouncement};

fn content(number: u32, fingerprint: u64) -> SubmitRequest {
    SubmitRequest { fingerprint: RequestFingerprint(fingerprint), ..request(number, 0) }
}

fn restarted(number: u32, slots: u32, incarnation: u64) -> TargetAnnouncement {
    TargetAnnouncement { incarnation, ..target(number, slots) }
}

fn mark(fingerprint: u64, name: &str, incarnation: u64) -> SuspectChange {
    let target = TargetIdentity { name: name.into(), incarnation };
    SuspectChange::Mark { fingerprint: RequestFingerprint(fingerprint), target }
}

/// Guards against a crashing request that takes down target after target, and against the refusal
/// of an innocent request for sharing a batch with it once.
#[test]
fn crashing_request_is_quarantined_and_its_neighbour_is_not() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 2)]);
    harness.submit(content(1, 666));
    harness.submit(content(2, 7));
    harness.announce(restarted(1, 2, 2));
    harness.finish_with(1, RequestOutcome::Failed, Some(ReasonCode::UpstreamCut));
    harness.finish_with(2, RequestOutcome::Failed, Some(ReasonCode::UpstreamCut));
    // Both are marked now, so they run on different targets.
    harness.announce(target(2, 2));
    harness.submit(content(3, 666));
    harness.submit(content(4, 7));
    assert_ne!(harness.places[&key(3)], harness.places[&key(4)]);
    let crashed = harness.places[&key(3)];
    let number =
        if harness.registry.get(crashed).unwrap().announcement.name == "engine-1" { 1 } else { 2 };
    harness.announce(restarted(number, 2, 9));
    // The first crash on the same target again would not be a second target.
    let expected = if number == 2 { vec![(5, ReasonCode::CrashesTargets)] } else { vec![] };
    assert_eq!(refused(&harness.submit(content(5, 666))), expected);
    assert!(refused(&harness.submit(content(6, 7))).is_empty());
}

/// Guards against a verdict when two requests shared both crashes, and against none at all when a
/// third crash tells them apart.
#[test]
fn requests_that_crashed_together_are_told_apart_by_a_third_crash() {
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

/// Guards against two crashes of one faulty target that are blamed on a request.
#[test]
fn crashes_of_one_target_are_no_evidence() {
    let mut table = SuspectTable::default();
    table.apply(at(0), &mark(1, "a", 1));
    table.apply(at(0), &mark(1, "a", 2));
    assert_eq!(table.quarantine_remaining_ms(at(1), RequestFingerprint(1)), None);
}

/// Guards against a quarantine without end.
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

/// Guards against a marked request that is not cleared by completing, and against one that blocks
/// the requests behind it while it waits for a target of its own.
#[test]
fn marked_request_waits_aside_and_is_cleared_by_completing() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 2)]);
    let marks = vec![mark(1, "x", 1), mark(2, "x", 1)];
    harness.step(PoolInput::RestoreSuspects(marks));
    harness.submit(content(1, 1));
    assert!(placed(&harness.submit(content(2, 2))).is_empty());
    assert_eq!(placed(&harness.submit(content(3, 3))), [3]);
    harness.finish(3);
    let outputs = harness.finish(1);
    let clear = SuspectChange::Clear { fingerprint: RequestFingerprint(1) };
    assert!(outputs.contains(&PoolOutput::Suspect(clear)));
    assert_eq!(placed(&outputs), [2]);
}

/// Guards against a request that is quarantined while it waits and is placed all the same.
#[test]
fn waiting_request_is_refused_once_it_is_quarantined() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    harness.submit(content(1, 1));
    harness.submit(content(2, 666));
    harness.step(PoolInput::RestoreSuspects(vec![mark(666, "x", 1), mark(666, "y", 1)]));
    assert_eq!(refused(&harness.finish(1)), [(2, ReasonCode::CrashesTargets)]);
}

/// Guards against suspicion after a graceful restart.
#[test]
fn leave_marks_nothing() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 2)]);
    harness.submit(content(1, 1));
    let left = harness.registry.leave(&target(1, 2).identity()).unwrap();
    harness.step(PoolInput::Target { target: left.target, change: left.kind });
    let announced = harness.registry.announce(harness.now, restarted(1, 2, 2)).unwrap();
    assert_eq!(announced.1.len(), 1);
}
