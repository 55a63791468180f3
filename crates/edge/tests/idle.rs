//! Idle timeouts that were in force during the life of a connection.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::idle::IdleLimits;

/// Guards against closing a connection before a limit that its caller may go by, and against
/// keeping a limit that was in force long ago.
#[test]
fn the_longest_limit_since_the_start_of_a_connection_holds() {
    let mut limits = IdleLimits::default();
    for (limit_ms, at) in [(5_000, 0), (1_000, 10_000), (2_000, 11_000)] {
        limits.set(limit_ms, ClockTime::from_ms(at));
    }
    let longest = |start| limits.longest_since(ClockTime::from_ms(start));
    assert_eq!([9_000, 10_500, 11_500].map(longest), [5_000, 2_000, 2_000]);
    limits.set(1_000, ClockTime::from_ms(30_000));
    assert_eq!(limits.longest_since(ClockTime::from_ms(9_000)), 2_000);
}
