//! Announcements, silence, leaves and crashes of targets.

use crate::support::{PoolHarness, at, placed, request, target};
use burdockcleat_core::pool::{PoolInput, PoolSettings};
use burdockcleat_core::registry::{
    AnnounceError, LoadReport, TARGET_HEARTBEAT_TIMEOUT_MS, TargetAnnouncement, TargetChangeKind,
    TargetRegistry,
};

fn incarnation(number: u64) -> TargetAnnouncement {
    TargetAnnouncement { incarnation: number, ..target(1, 2) }
}

/// Guards against a target that has left and is registered again by a late announcement.
#[test]
fn leave_is_final_for_its_incarnation() {
    let mut registry = TargetRegistry::default();
    registry.announce(at(0), incarnation(2)).unwrap();
    let left = registry.leave(&incarnation(2).identity()).unwrap();
    assert_eq!(left.kind, TargetChangeKind::Left);
    for old in [1, 2] {
        let refused = registry.announce(at(10), incarnation(old)).unwrap_err();
        assert!(matches!(refused, AnnounceError::IncarnationEnded { newest: 2, .. }));
    }
    let (_, changes) = registry.announce(at(20), incarnation(3)).unwrap();
    assert_eq!(changes.len(), 1, "no crash is reported after a leave");
}

/// Guards against ignoring a leave that arrives before the first announcement.
#[test]
fn leave_before_the_announcement_is_final() {
    let mut registry = TargetRegistry::default();
    assert_eq!(registry.leave(&incarnation(1).identity()), None);
    assert!(registry.announce(at(0), incarnation(1)).is_err());
}

/// Guards against registering an incarnation that left before it was announced, while an older
/// incarnation was still registered.
#[test]
fn leave_of_a_newer_incarnation_ends_both() {
    let mut registry = TargetRegistry::default();
    registry.announce(at(0), incarnation(1)).unwrap();
    let ended = registry.leave(&incarnation(2).identity()).unwrap();
    assert_eq!(ended.kind, TargetChangeKind::Crashed);
    for old in [1, 2] {
        assert!(registry.announce(at(1), incarnation(old)).is_err());
    }
}

/// Guards against a late announcement or leave of an old incarnation that affects the new one.
#[test]
fn messages_of_an_old_incarnation_do_not_affect_the_new_one() {
    let mut registry = TargetRegistry::default();
    registry.announce(at(0), incarnation(1)).unwrap();
    let (key, changes) = registry.announce(at(1), incarnation(2)).unwrap();
    assert_eq!(changes[0].kind, TargetChangeKind::Crashed);
    assert!(registry.announce(at(2), incarnation(1)).is_err());
    assert_eq!(registry.leave(&incarnation(1).identity()), None);
    assert!(registry.is_eligible(key));
}

/// Guards against placing requests on a target that has stopped announcing itself.
#[test]
fn silent_target_gets_no_work_until_it_returns() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    harness.now = at(TARGET_HEARTBEAT_TIMEOUT_MS);
    for change in harness.registry.tick(harness.now) {
        harness.step(PoolInput::Target { target: change.target, change: change.kind });
    }
    assert!(placed(&harness.submit(request(1, 0))).is_empty());
    harness.announce(target(1, 1));
    assert_eq!(harness.placements.len(), 1);
}

/// Guards against a delayed load report that replaces a newer one.
#[test]
fn older_load_report_is_ignored() {
    let mut registry = TargetRegistry::default();
    let report = |running, sequence| TargetAnnouncement {
        load: LoadReport { running, waiting: 0, sequence },
        ..target(1, 2)
    };
    let (key, _) = registry.announce(at(0), report(5, 7)).unwrap();
    registry.announce(at(1), report(0, 6)).unwrap();
    assert_eq!(registry.get(key).unwrap().announcement.load.running, 5);
}
