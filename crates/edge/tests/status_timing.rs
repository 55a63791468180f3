//! Status interval and failure timeout for different numbers of nodes.

use burdockcleat_edge::status_timing::{failure_timeout_ms, status_interval_ms};

/// Guards against false failure detection with hundreds of nodes: if their status interval exceeded
/// the failure timeout, every node would consider all others down.
#[test]
fn failure_timeout_exceeds_the_status_interval() {
    for nodes in 1..=1_000 {
        assert!(failure_timeout_ms(nodes) >= 5 * status_interval_ms(nodes) / 2, "{nodes}");
    }
    assert_eq!(failure_timeout_ms(76), 1_200);
    assert_eq!(failure_timeout_ms(12), 1_000);
}
