//! Reports the bookings of refused requests to operators.

use super::NodeState;

impl NodeState {
    /// Logs and counts what became of refused requests at this node's scheduler since the last call.
    pub(super) fn report_returns(&self) {
        let counts = self.scheduler.borrow_mut().take_return_counts();
        let mut metrics = self.metrics.borrow_mut();
        for (service, count) in counts {
            log::info!(
                target: "burdockcleat",
                "event=placement.returns service={service} booked={} unbooked={} returned={} early={} expired={} refused_again={}",
                count.booked, count.unbooked, count.returned, count.early, count.expired, count.refused_again
            );
            metrics.count("returns", "booked", count.booked);
            metrics.count("returns", "unbooked", count.unbooked);
            metrics.count("returns", "returned", count.returned);
            metrics.count("returns", "early", count.early);
            metrics.count("returns", "expired", count.expired);
            metrics.count("returns", "refused_again", count.refused_again);
        }
    }
}
