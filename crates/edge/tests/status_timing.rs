//! Statuses by the number of nodes.

use burdockcleat_edge::status_timing::{failure_timeout_ms, status_interval_ms};

/// Pattern: hundreds of nodes. Their statuses are rarer than the silence after which a node counts
/// as down, so that every node takes all others for lost.
#[test]
fn no_node_counts_as_down_between_its_statuses() {
    for nodes in 1..=1_000 {
        assert!(failure_timeout_ms(nodes) >= 5 * status_interval_ms(nodes) / 2, "{nodes}");
    }
    assert_eq!(failure_timeout_ms(76), 1_200);
    assert_eq!(failure_timeout_ms(12), 1_000);
}
