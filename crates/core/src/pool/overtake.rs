//! Choice among the first waiting requests of a tier by the prompt blocks at the free target.
//!
//! A request without cached blocks at the free target lets one that has them go first, as long as
//! it has time left. No slot stays idle for this.

use super::PoolScheduler;
use super::request::RequestSlot;
use super::route::Choice;
use crate::clock::ClockTime;

impl PoolScheduler {
    /// The request that goes before the one of `first` at the same target, if there is one.
    pub(super) fn overtaker(&self, now: ClockTime, first: &Choice) -> Option<Choice> {
        if !self.settings.switches.overtaking || !self.may_be_overtaken(now, first.slot) {
            return None;
        }
        let target = self.targets.get(&first.target)?;
        let record = &self.requests[first.slot];
        let reused = self.ready(record, first.target);
        let tier = record.item.tier;
        let limit = self.settings.lookahead;
        self.queue
            .near_candidates(&record.item, self.settings.overtake_tokens, limit)
            .filter(|slot| *slot != first.slot)
            .take_while(|slot| !self.in_haste(now, *slot))
            .find(|slot| {
                let other = &self.requests[*slot];
                other.item.tier == tier
                    && self.ready(other, first.target) > reused
                    && self.usable(now, other, first.target, target)
                    && self.suspects.quarantine_remaining_ms(now, other.fingerprint).is_none()
            })
            .map(|slot| {
                let cost_ms = self.routing_cost(now, &self.requests[slot], first.target);
                Choice { slot, target: first.target, cost_ms }
            })
    }

    /// Whether a request has used less than its share of the time that it may wait. The rest is
    /// kept for the wait in the order of the queue.
    fn may_be_overtaken(&self, now: ClockTime, slot: RequestSlot) -> bool {
        let record = &self.requests[slot];
        let spare_ms = self.slack_end(record).since(record.submitted) as f64;
        let waited_ms = now.since(record.submitted) as f64;
        waited_ms < spare_ms * self.settings.overtake_share && !self.in_haste(now, slot)
    }
}
