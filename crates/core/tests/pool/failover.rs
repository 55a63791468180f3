//! Lost entries, failed connections and changes of the leader.

use crate::support::{ENTRY, PoolHarness, key, placed, refused, request, target};
use burdockcleat_core::keys::{ClaimNumber, NodeId, RequestFingerprint};
use burdockcleat_core::message::HeldClaim;
use burdockcleat_core::outcome::ReasonCode;
use burdockcleat_core::pool::{OpenClaim, PoolInput, PoolSettings};
use burdockcleat_core::registry::{LoadReport, TargetAnnouncement};

fn open_claim(harness: &PoolHarness, number: u32, entry: u64) -> OpenClaim {
    OpenClaim {
        key: key(number),
        claim: ClaimNumber(u64::from(number)),
        entry: NodeId(entry),
        target: target(1, 2).identity(),
        workspace: "w0".into(),
        fingerprint: RequestFingerprint(u64::from(number)),
        tier: 1,
        idempotent: true,
        deadline: harness.now.plus(30_000),
    }
}

/// Guards against a new leader that grants slots before it knows which requests run, and so assigns
/// an occupied slot again.
#[test]
fn rebuild_grants_nothing_until_all_entries_have_reported() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[]);
    let claims = vec![open_claim(&harness, 1, 1), open_claim(&harness, 2, 2)];
    harness.step(PoolInput::Rebuild { claims, entries: vec![NodeId(3)] });
    harness.announce(target(1, 2));
    assert!(placed(&harness.submit(request(3, 0))).is_empty());
    let held = HeldClaim { key: key(1), claim: ClaimNumber(1) };
    harness.step(PoolInput::EntryReported { entry: NodeId(1), running: vec![held] });
    harness.step(PoolInput::EntryReported { entry: NodeId(3), running: vec![] });
    assert_eq!(harness.placements.len(), 0);
    // The second entry no longer runs request 2, so one of the two slots is free.
    harness.step(PoolInput::EntryReported { entry: NodeId(2), running: vec![] });
    assert_eq!(harness.placements.len(), 1);
    assert!(placed(&harness.submit(request(4, 1))).is_empty());
}

/// Guards against a rebuild that waits forever for a lost entry, and against shedding during a
/// rebuild.
#[test]
fn rebuild_ends_after_its_timeout() {
    let settings = PoolSettings { queue_limit: 1, ..PoolSettings::default() };
    let mut harness = PoolHarness::new(settings, &[target(1, 2)]);
    let claims = vec![open_claim(&harness, 1, 1)];
    harness.step(PoolInput::Rebuild { claims, entries: vec![] });
    for number in 2..6 {
        assert!(refused(&harness.submit(request(number, 1))).is_empty());
    }
    assert!(placed(&harness.advance(999)).is_empty());
    let outputs = harness.advance(1);
    assert_eq!(placed(&outputs).len(), 1);
    assert_eq!(refused(&outputs).len(), 2);
}

/// Guards against queueing a released request that was restored from its claim, whose model and
/// tokens are unknown.
#[test]
fn released_claim_of_the_old_leader_is_refused() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 2)]);
    let claims = vec![open_claim(&harness, 1, 1)];
    harness.step(PoolInput::Rebuild { claims, entries: vec![] });
    let held = HeldClaim { key: key(1), claim: ClaimNumber(1) };
    harness.step(PoolInput::EntryReported { entry: NodeId(1), running: vec![held] });
    let release = PoolInput::Release { key: key(1), claim: ClaimNumber(1), retry: true };
    assert_eq!(refused(&harness.step(release)), [(1, ReasonCode::Unreachable)]);
    assert_eq!(harness.scheduler.counts().running, 0);
}

/// Guards against a slot that is freed while the request of a lost entry may still run, and against
/// a slot that stays occupied although the target reports to be idle.
#[test]
fn request_of_a_lost_entry_keeps_its_slot_until_the_target_is_idle() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    harness.submit(request(1, 0));
    harness.step(PoolInput::EntryLost { entry: ENTRY });
    harness.submit(request(2, 0));
    let idle = |sequence| TargetAnnouncement {
        load: LoadReport { running: 0, waiting: 0, sequence },
        ..target(1, 1)
    };
    harness.now = harness.now.plus(1_000);
    // This report may have been made before the dispatch.
    harness.announce(idle(1));
    assert!(!harness.placements.contains_key(&key(2)));
    harness.now = harness.now.plus(1_000);
    harness.announce(idle(2));
    assert!(harness.placements.contains_key(&key(2)));
}

/// Guards against a slot that is never freed after the loss of the entry.
#[test]
fn request_of_a_lost_entry_ends_at_its_deadline() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    harness.submit(request(1, 0));
    harness.step(PoolInput::EntryLost { entry: ENTRY });
    harness.advance(59_999);
    assert_eq!(harness.scheduler.counts().running, 1);
    harness.advance(1);
    assert_eq!(harness.scheduler.counts().running, 0);
}

fn release(harness: &mut PoolHarness, number: u32) -> Vec<burdockcleat_core::pool::PoolOutput> {
    let claim = harness.claims[&key(number)];
    harness.step(PoolInput::Release { key: key(number), claim, retry: true })
}

/// Guards against a request that is tried at the same unreachable target twice, or at more than
/// three targets.
#[test]
fn request_is_tried_at_three_different_targets() {
    let targets: Vec<_> = (0..5).map(|number| target(number, 1)).collect();
    let mut harness = PoolHarness::new(PoolSettings::default(), &targets);
    harness.submit(request(1, 0));
    let mut tried = vec![harness.placements[&key(1)]];
    for _ in 0..2 {
        assert_eq!(placed(&release(&mut harness, 1)), [1]);
        assert!(!tried.contains(&harness.placements[&key(1)]));
        tried.push(harness.placements[&key(1)]);
    }
    assert_eq!(refused(&release(&mut harness, 1)), [(1, ReasonCode::Unreachable)]);
}

/// Guards against retries that multiply the load while many connections fail.
#[test]
fn retries_are_limited_to_a_tenth_of_the_grants() {
    let targets: Vec<_> = (0..2).map(|number| target(number, 100)).collect();
    let settings = PoolSettings { failure_limit: u32::MAX, ..PoolSettings::default() };
    let mut harness = PoolHarness::new(settings, &targets);
    for number in 1..=100 {
        harness.submit(request(number, 0));
    }
    let retried = (1..=100).filter(|number| !placed(&release(&mut harness, *number)).is_empty());
    // Each retry also counts as a grant.
    assert!((10..=11).contains(&retried.count()));
}

/// Guards against a dead target that accepts and fails requests faster than the other targets serve
/// them.
#[test]
fn target_that_refuses_connections_gets_no_work_until_its_next_announcement() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 4), target(2, 4)]);
    let dead = harness.registry.find(&target(1, 4).identity()).unwrap();
    for number in 1..=4 {
        harness.submit(request(number, 0));
    }
    for number in 1..=4 {
        if harness.placements[&key(number)] == dead {
            release(&mut harness, number);
        }
    }
    assert_eq!(harness.scheduler.free_targets().count(), 0);
    harness.announce(target(1, 4));
    assert_eq!(harness.scheduler.free_targets().collect::<Vec<_>>(), [dead]);
}
