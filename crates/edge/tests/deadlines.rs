//! Detection of retries by their shorter deadlines.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::deadlines::DeadlineTracker;

/// Guards against retries that are placed before requests that can still meet their latency
/// objective, although their own has passed. This happens under overload, when refused callers
/// retry.
#[test]
fn a_retried_request_counts_its_earlier_waiting_time() {
    let mut tracker = DeadlineTracker::default();
    let at = ClockTime::from_ms;
    for n in 0..50 {
        let deadline_ms = 5_000 - (n % 16) * 46;
        assert_eq!(tracker.spent_ms("r", deadline_ms, at(n * 10)), 0, "{deadline_ms}");
    }
    assert!(tracker.spent_ms("r", 3_000, at(600)) >= 1_200);
    assert_eq!(tracker.spent_ms("other", 3_000, at(600)), 0);
}

/// Guards against taking all requests for retries after the deadlines of a route have become
/// shorter.
#[test]
fn longer_deadlines_are_forgotten() {
    let mut tracker = DeadlineTracker::default();
    let at = ClockTime::from_ms;
    tracker.spent_ms("r", 5_000, at(0));
    assert!(tracker.spent_ms("r", 2_000, at(1_000)) > 0);
    tracker.spent_ms("r", 2_000, at(25_000));
    assert_eq!(tracker.spent_ms("r", 2_000, at(50_000)), 0);
}
