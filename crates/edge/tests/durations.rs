//! Expected durations of requests.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::durations::DurationTracker;

/// Guards against expecting requests to end earlier than others of their route did, and against
/// remembering a slow time for good.
#[test]
fn the_longest_recent_duration_is_expected() {
    let mut tracker = DurationTracker::default();
    let at = ClockTime::from_ms;
    assert_eq!(tracker.expected_ms("a"), None);
    for (took_ms, ms) in [(100, 0), (4_000, 1_000), (200, 15_000)] {
        tracker.record("a", took_ms, at(ms));
    }
    tracker.record("b", 20, at(15_000));
    let expected = |tracker: &DurationTracker| ["a", "b", "new"].map(|r| tracker.expected_ms(r));
    assert_eq!(expected(&tracker), [Some(5_000), Some(25), Some(5_000)]);
    tracker.record("a", 200, at(30_000));
    tracker.record("a", 200, at(60_000));
    assert_eq!(tracker.expected_ms("a"), Some(250));
}
