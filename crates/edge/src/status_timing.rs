//! Interval of status datagrams and timeout of failure detection, both scaled by the number of
//! nodes.

/// Interval between two statuses of a node in small deployments, in ms.
pub const STATUS_INTERVAL_MS: u64 = 200;
/// Largest number of nodes that use [`STATUS_INTERVAL_MS`]. Larger deployments use longer
/// intervals, which bounds the number of statuses that a node receives per second.
pub const BASE_INTERVAL_MAX_NODES: usize = 40;
/// Lower bound of the failure timeout, in ms: five status intervals in small deployments.
const MIN_FAILURE_TIMEOUT_MS: u64 = 1_000;
/// Failure timeout in status intervals, for large deployments: two lost statuses are tolerated.
const FAILURE_TIMEOUT_STATUSES: u64 = 3;

/// Returns the interval between two statuses of a node in a deployment of `nodes` nodes, in ms.
pub fn status_interval_ms(nodes: usize) -> u64 {
    STATUS_INTERVAL_MS * nodes.div_ceil(BASE_INTERVAL_MAX_NODES).max(1) as u64
}

/// Time without a status after which one is overdue, as a multiple of half a status interval.
const OVERDUE_HALF_INTERVALS: u64 = 3;
/// Additional time for a status that is delayed by a busy node, in ms.
const OVERDUE_MARGIN_MS: u64 = 100;

/// Returns the time without a status after which the next status of a node is overdue, in ms. An
/// overdue status causes a check of the node, which is cheap, but never counts as a failure.
pub fn overdue_ms(nodes: usize) -> u64 {
    status_interval_ms(nodes) * OVERDUE_HALF_INTERVALS / 2 + OVERDUE_MARGIN_MS
}

/// Half status intervals after which a node counts as silent for limits that all nodes share, beside
/// [`SILENCE_MARGIN_MS`].
const SILENCE_HALF_INTERVALS: u64 = 3;
/// Additional time for a status that is late, in ms.
const SILENCE_MARGIN_MS: u64 = 300;

/// Returns the time without a status after which a node counts as silent for limits that all nodes
/// share, in ms. It is shorter than the failure timeout, since a wrong guess costs only a small part
/// of a limit.
pub fn silence_ms(nodes: usize) -> u64 {
    status_interval_ms(nodes) * SILENCE_HALF_INTERVALS / 2 + SILENCE_MARGIN_MS
}

/// Returns the time without a status after which a node counts as down, in ms.
pub fn failure_timeout_ms(nodes: usize) -> u64 {
    MIN_FAILURE_TIMEOUT_MS.max(status_interval_ms(nodes) * FAILURE_TIMEOUT_STATUSES)
}
