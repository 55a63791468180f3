//! Values that several tests share.

use burdockcleat_edge::allowance::NodeView;

/// Returns the view of a node that hears all `nodes` every `report_interval_ms`.
pub const fn connected_view(nodes: usize, report_interval_ms: u64) -> NodeView {
    NodeView {
        expected: nodes,
        reachable: nodes,
        restricted_peers: 0,
        disk_majority: true,
        recent_disk_majority: true,
        peer_disk_majority: true,
        report_interval_ms,
        silence_ms: 1_000,
    }
}
