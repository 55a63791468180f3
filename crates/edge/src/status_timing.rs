//! How often nodes tell of themselves, and when a silent one counts as down, by the number of nodes.

/// Pause between two statuses of a node, in ms.
pub const STATUS_INTERVAL_MS: u64 = 200;
/// Nodes up to which the pause holds; with more of them it grows, so that a node receives a bounded
/// number of statuses a second.
pub const BASE_INTERVAL_MAX_NODES: usize = 40;
/// Shortest time without a status after which a node counts as down, in ms: five statuses.
const MIN_FAILURE_TIMEOUT_MS: u64 = 1_000;
/// The same in statuses, for many nodes: two may be lost.
const FAILURE_TIMEOUT_STATUSES: u64 = 3;

/// Pause between two statuses of one of `nodes` nodes, in ms.
pub fn status_interval_ms(nodes: usize) -> u64 {
    STATUS_INTERVAL_MS * nodes.div_ceil(BASE_INTERVAL_MAX_NODES).max(1) as u64
}

/// Silence after which one of `nodes` nodes counts as down, in ms.
pub fn failure_timeout_ms(nodes: usize) -> u64 {
    MIN_FAILURE_TIMEOUT_MS.max(status_interval_ms(nodes) * FAILURE_TIMEOUT_STATUSES)
}
