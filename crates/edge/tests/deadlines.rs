//! Callers that come back, told from their deadlines.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::deadlines::DeadlineTracker;

/// Pattern: an overload in which refused callers come back. Their objective has passed, but they go
/// before requests that can still meet theirs.
#[test]
fn a_caller_that_comes_back_has_spent_time() {
    let mut ledger = DeadlineTracker::default();
    let at = ClockTime::from_ms;
    for n in 0..50 {
        let deadline_ms = 5_000 - (n % 16) * 46;
        assert_eq!(ledger.spent_ms("r", deadline_ms, at(n * 10)), 0, "{deadline_ms}");
    }
    assert!(ledger.spent_ms("r", 3_000, at(600)) >= 1_200);
    assert_eq!(ledger.spent_ms("other", 3_000, at(600)), 0);
}

/// Pattern: the deadlines of a route become shorter. All callers are taken for ones that come back.
#[test]
fn longer_deadlines_are_forgotten() {
    let mut ledger = DeadlineTracker::default();
    let at = ClockTime::from_ms;
    ledger.spent_ms("r", 5_000, at(0));
    assert!(ledger.spent_ms("r", 2_000, at(1_000)) > 0);
    ledger.spent_ms("r", 2_000, at(25_000));
    assert_eq!(ledger.spent_ms("r", 2_000, at(50_000)), 0);
}
