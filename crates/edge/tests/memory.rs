//! Recovery memory of a node.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::allowance::WorkspaceUsage;
use burdockcleat_edge::deadlines::DeadlineTracker;
use burdockcleat_edge::memory::{RecoveryMemory, StoredMemory, StoredUsage};
use burdockcleat_edge::placement::{SpeedModel, TargetKey};
use burdockcleat_edge::slots::SlotStore;
use burdockcleat_edge::targets::{
    AgedNotice, TargetAnnouncement, TargetChange, TargetNotice, TargetTable,
};
use std::fs;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn announcement(sequence: u64) -> TargetAnnouncement {
    TargetAnnouncement {
        id: "i-1".into(),
        service: "engines".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "a".into(),
        version: "v1".into(),
        slots: 4,
        cold_ms: 0,
        draining: false,
        incarnation: 7,
        sequence,
    }
}

fn memory(sequence: u64) -> RecoveryMemory {
    let notice = TargetNotice::Announced(announcement(sequence));
    RecoveryMemory {
        targets: vec![AgedNotice { notice, age_ms: 300 }],
        speeds: vec![(TargetKey(9), SpeedModel::PRIOR)],
        deadlines: vec![("r".into(), 5_000)],
        suspects: vec![],
        nodes: vec!["10.0.0.2:7600".parse().expect("an address")],
    }
}

fn written(sequence: u64, written: u64) -> StoredMemory {
    StoredMemory { written: at(written), memory: memory(sequence) }
}

/// Guards against losing the previous memory when the power fails during a write.
#[test]
fn a_torn_write_preserves_the_previous_memory() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = SlotStore::open(folder.path(), 7).unwrap();
    assert_eq!(store.take_memory(), None);
    store.save_memory(&written(1, 100)).unwrap();
    store.save_memory(&written(2, 200)).unwrap();
    drop(store);
    let path = folder.path().join("memory-a");
    let bytes = fs::read(&path).unwrap();
    fs::write(&path, &bytes[..bytes.len() / 2]).unwrap();
    let (mut store, _) = SlotStore::open(folder.path(), 7).unwrap();
    assert_eq!(store.take_memory(), Some(written(1, 100)));
}

/// Guards against losing the usage of allowances when the power fails during a write, and against a
/// disk of an earlier version, which has none.
#[test]
fn stored_usage_survives_a_torn_write() {
    let folder = tempfile::tempdir().unwrap();
    let usage = |written, amount| StoredUsage {
        written: at(written),
        usage: vec![WorkspaceUsage { key: 3, amounts: vec![(250, amount)] }],
    };
    let (mut store, _) = SlotStore::open(folder.path(), 7).unwrap();
    assert_eq!(store.take_usage(), None);
    store.save_usage(&usage(100, 4.0)).unwrap();
    store.save_usage(&usage(300, 5.0)).unwrap();
    drop(store);
    let path = folder.path().join("usage-a");
    let bytes = fs::read(&path).unwrap();
    fs::write(&path, &bytes[..bytes.len() / 2]).unwrap();
    let (mut store, _) = SlotStore::open(folder.path(), 7).unwrap();
    assert_eq!(store.take_usage(), Some(usage(100, 4.0)));
}

/// Guards against a node that does not start because its memory cannot be read.
#[test]
fn an_unreadable_memory_is_ignored() {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("memory-a"), [1; 300]).unwrap();
    fs::write(folder.path().join("memory-b"), []).unwrap();
    let (mut store, _) = SlotStore::open(folder.path(), 7).unwrap();
    assert_eq!(store.take_memory(), None);
    store.save_memory(&written(1, 100)).unwrap();
}

/// Guards against using targets from an hour ago.
#[test]
fn an_expired_memory_is_not_used() {
    assert_eq!(written(1, 10_000).age_ms(at(12_000)), Some(2_000));
    assert_eq!(written(1, 10_000).age_ms(at(3_610_000)), None);
    // The wall clock was set back.
    assert_eq!(written(1, 10_000).age_ms(at(9_000)), Some(0));
}

/// Guards against a disk write for each announcement of a known target.
#[test]
fn repeated_announcements_do_not_change_the_memory() {
    assert!(memory(1).is_current(&memory(8)));
    let left = TargetNotice::Left { id: "i-1".into(), incarnation: 7 };
    let other =
        RecoveryMemory { targets: vec![AgedNotice { notice: left, age_ms: 0 }], ..memory(1) };
    assert!(!memory(1).is_current(&other));
}

/// Guards against a remembered target that takes precedence over its own announcements or leave.
#[test]
fn announcements_and_leaves_replace_remembered_targets() {
    let remembered = TargetNotice::Announced(announcement(50)).without_sequence();
    let mut table = TargetTable::default();
    assert_eq!(table.apply(&remembered, at(0)), TargetChange::Joined);
    assert_eq!(table.usable("engines", 1_200, at(100)).len(), 1);
    let next = TargetNotice::Announced(announcement(51));
    assert_eq!(table.apply(&next, at(200)), TargetChange::Refreshed);
    assert_eq!(table.apply(&remembered, at(300)), TargetChange::Stale);
    let leave = TargetNotice::Left { id: "i-1".into(), incarnation: 7 };
    assert_eq!(table.apply(&leave, at(400)), TargetChange::Leaving);
    assert_eq!(table.apply(&remembered, at(500)), TargetChange::Stale);
    assert!(table.usable("engines", 1_200, at(500)).is_empty());
}

/// Guards against treating callers that reconnect after a restart as new ones, which would ignore
/// the time that they have already waited.
#[test]
fn time_already_waited_is_deducted_after_a_restart() {
    let mut before = DeadlineTracker::default();
    before.spent_ms("r", 10_000, at(500));
    let mut after = DeadlineTracker::default();
    after.restore(&before.longest_deadlines(), at(10));
    assert_eq!(after.spent_ms("r", 6_000, at(20)), 2_500);
}
