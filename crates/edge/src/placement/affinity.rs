//! Cost of a target in another failure domain.
//!
//! Traffic between domains is charged for, so work stays in the domain of its caller's node while the
//! caller does not notice. A target that loses value is avoided in any domain, since losses are compared
//! before costs; this cost decides between targets of equal loss.

use super::queue::WaitingRequest;

/// Cost of a target in another failure domain, in ms: a round trip, and traffic that is charged
/// for.
const REMOTE_DOMAIN_COST_MS: f64 = 4.0;
/// Part of the objective by which the first event may be later in the own domain than in another one.
/// The first event stays within the objective; the rest of it is left for errors of the estimate.
const OBJECTIVE_FRACTION: f64 = 0.25;
/// The same for requests without an objective or beyond it, in ms: the shortest pause that callers of
/// streams tolerate.
const LATE_COST_MS: f64 = 300.0;

/// Returns the cost of a target in another failure domain than that of the request's node, in ms.
/// `affinity` tells whether requests stay in their domain while it has room.
pub(super) fn remote_cost_ms(waiting: &WaitingRequest, affinity: bool) -> f64 {
    if !affinity {
        return REMOTE_DOMAIN_COST_MS;
    }
    let objective_ms = waiting.request.objective_left_ms;
    let part_ms = objective_ms as f64 * OBJECTIVE_FRACTION;
    if objective_ms > 0 { part_ms.max(REMOTE_DOMAIN_COST_MS) } else { LATE_COST_MS }
}
