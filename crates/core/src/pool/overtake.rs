//! Cache-aware reordering: overtaking among the first waiting requests of a tier.
//!
//! A request with cached prompt blocks at the free target may be placed before a request without
//! them, as long as the latter has enough slack. No slot stays idle for this.

use super::PoolScheduler;
use super::request::RequestHandle;
use super::route::Placement;
use crate::clock::ClockTime;

impl PoolScheduler {
    /// Returns the placement of a request that overtakes the request of `first` at the same target,
    /// if there is one.
    pub(super) fn overtaking_request(
        &self,
        now: ClockTime,
        first: &Placement,
    ) -> Option<Placement> {
        if !self.settings.switches.overtaking || !self.may_be_overtaken(now, first.handle) {
            return None;
        }
        let target = self.targets.get(&first.target)?;
        let record = &self.requests[first.handle];
        let first_reusable = self.reusable_tokens(record, first.target);
        let tier = record.item.tier;
        let limit = self.settings.lookahead;
        self.queue
            .candidates_within(&record.item, self.settings.overtake_tokens, limit)
            .filter(|handle| *handle != first.handle)
            .take_while(|handle| !self.slack_is_short(now, *handle))
            .find(|handle| {
                let other = &self.requests[*handle];
                other.item.tier == tier
                    && self.reusable_tokens(other, first.target) > first_reusable
                    && self.is_usable(now, other, first.target, target)
                    && self.suspects.quarantine_remaining_ms(now, other.fingerprint).is_none()
            })
            .map(|handle| {
                let cost_ms = self.routing_cost(now, &self.requests[handle], first.target);
                Placement { handle, target: first.target, cost_ms }
            })
    }

    /// Returns whether a request may be overtaken: it has used less than `overtake_share` of the
    /// time that it can wait. The rest of that time is reserved for waiting in queue order.
    fn may_be_overtaken(&self, now: ClockTime, handle: RequestHandle) -> bool {
        let record = &self.requests[handle];
        let spare_ms = self.slack_end(record).since(record.submitted) as f64;
        let waited_ms = now.since(record.submitted) as f64;
        waited_ms < spare_ms * self.settings.overtake_share && !self.slack_is_short(now, handle)
    }
}
