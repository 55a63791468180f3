//! What a node knows about the other nodes when it admits requests within the allowances.
//!
//! A silent node is down, or it is cut off and its callers still reach it. Both look the same, so
//! an equal part of every allowance is guaranteed to each node. The nodes that hear each other
//! leave the parts of the others unused, except for what these are known to have used already.

/// Nodes that are expected, heard and connected, as seen by one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeView {
    /// Number of nodes that may run, including this one.
    pub expected: usize,
    /// Number of the expected nodes that are heard, including this one.
    pub reachable: usize,
    /// Number of the reachable nodes that are restricted to their guaranteed part.
    pub restricted_peers: usize,
    /// Whether this node reaches most of the nodes with a disk, counting itself.
    pub disk_majority: bool,
    /// Whether it still reached them [`NodeView::lost_majority_ms`] ago or later.
    pub recent_disk_majority: bool,
    /// Whether any reachable node reaches most of the nodes with a disk.
    pub peer_disk_majority: bool,
    /// Interval between two reports of a node, in ms.
    pub report_interval_ms: u64,
    /// Time without a report after which a node counts as silent, in ms.
    pub silence_ms: u64,
}

impl NodeView {
    /// Returns whether this node may admit only its guaranteed part. Nodes that hear each other may
    /// hear different others. Those that hear most of the nodes with a disk share the rest.
    pub const fn is_restricted(&self) -> bool {
        !self.recent_disk_majority && self.peer_disk_majority
    }

    /// Returns the silence of a node with a disk, in ms, after which the majority counts as lost.
    /// By then the reports of the other nodes tell whether they have lost it too.
    pub const fn lost_majority_ms(silence_ms: u64, report_interval_ms: u64) -> u64 {
        silence_ms + 2 * report_interval_ms
    }

    /// Returns the guaranteed part of each node in a limit.
    pub fn guaranteed(&self, limit: f64) -> f64 {
        limit / self.expected.max(1) as f64
    }

    /// Returns the number of nodes that may use their guaranteed part without being heard in time.
    pub const fn absent(&self) -> usize {
        self.expected.saturating_sub(self.reachable) + self.restricted_peers
    }
}
