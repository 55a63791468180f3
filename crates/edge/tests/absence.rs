//! Absences of a node that stood still or heard nobody.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::absence::AbsenceTracker;

fn mark(tracker: &mut AbsenceTracker, ms: u64, wall_ms: u64, alone: bool) -> Option<u64> {
    tracker.mark(ClockTime::from_ms(ms), ClockTime::from_ms(wall_ms), alone)
}

/// Guards against announcements from before a freeze that count as newer than it, and against
/// short pauses that count as absences.
#[test]
fn a_long_pause_is_an_absence() {
    let mut tracker = AbsenceTracker::default();
    assert_eq!(mark(&mut tracker, 5_000, 5_000, false), None, "the start is no absence");
    assert_eq!(mark(&mut tracker, 5_900, 5_900, false), None);
    assert_eq!(tracker.returned(), ClockTime::default());
    assert_eq!(mark(&mut tracker, 8_000, 8_000, false), Some(2_100));
    assert!(tracker.returned() > ClockTime::from_ms(8_000));
}

/// Guards against a suspended instance that does not notice the time, which its steady clock does
/// not count.
#[test]
fn a_suspended_instance_was_absent() {
    let mut tracker = AbsenceTracker::default();
    mark(&mut tracker, 5_000, 5_000, false);
    assert_eq!(mark(&mut tracker, 5_025, 9_025, false), Some(4_025));
    let returned = tracker.returned();
    assert_eq!(mark(&mut tracker, 5_050, 2_000, false), None, "a clock that was set back");
    assert_eq!(tracker.returned(), returned);
}

/// Guards against a node without contact that trusts what it heard meanwhile.
#[test]
fn a_node_that_hears_nobody_is_absent() {
    let mut tracker = AbsenceTracker::default();
    for ms in (0..3_000).step_by(25) {
        assert_eq!(mark(&mut tracker, ms, ms, true), None);
        assert!(tracker.returned() > ClockTime::from_ms(ms));
    }
    let returned = tracker.returned();
    mark(&mut tracker, 3_000, 3_000, false);
    assert_eq!(tracker.returned(), returned);
}
