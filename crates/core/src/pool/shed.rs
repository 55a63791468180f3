//! Load shedding and expired deadlines, in tier order.

use super::PoolScheduler;
use super::request::{ParkReason, RequestHandle, RequestRecord};
use crate::clock::ClockTime;
use crate::outcome::ReasonCode;

/// Weight of the initial ratio of 1 between actual and estimated service time, as observation time
/// in milliseconds.
const SERVICE_TIME_RATIO_PRIOR_MS: f64 = 5_000.0;

/// Minimum share of the slots that the lowest waiting tier is assumed to get. Bounds the estimated
/// wait while the tiers above use all slots.
const MIN_SLOT_SHARE: f64 = 0.05;

impl PoolScheduler {
    /// Sets the timer of a waiting request.
    pub(super) fn schedule_waiting(&mut self, now: ClockTime, handle: RequestHandle) {
        let record = &self.requests[handle];
        let deadline = record.deadline;
        let urgent_at = self.slack_end(record).min(self.preempt_at(record));
        let at = match record.waiting() {
            Some(state) if state.parked == Some(ParkReason::Expired) => None,
            Some(_) if record.partner.is_some() => {
                Some(self.cancel_overdue_at(now, record).min(deadline))
            }
            Some(state) if !state.urgent => Some(urgent_at.min(deadline)),
            Some(_) => Some(deadline),
            None => None,
        };
        self.set_timer(handle, at);
    }

    /// Returns when the pending cancel for a waiting request counts as failed and the slack of the
    /// request is used up.
    fn cancel_overdue_at(&self, now: ClockTime, record: &RequestRecord) -> ClockTime {
        let wait = self.settings.cancel_timeout_ms;
        let victim = record.partner.and_then(|victim| self.requests.get(victim));
        let since = victim.and_then(|victim| victim.running()?.cancelling).unwrap_or(now);
        let at = since.plus(wait).max(self.slack_end(record));
        if at > now { at } else { now.plus(wait) }
    }

    /// Returns when the slack of a request falls below `preempt_slack_ms`.
    pub(super) fn slack_end(&self, record: &RequestRecord) -> ClockTime {
        // The cast saturates.
        let reserve =
            (record.item.service_ms as u64).saturating_add(self.settings.preempt_slack_ms);
        ClockTime::from_ms(record.deadline.as_ms().saturating_sub(reserve))
    }

    fn preempt_at(&self, record: &RequestRecord) -> ClockTime {
        record.submitted.plus(self.settings.tier(record.item.tier).preempt_after_ms)
    }

    /// Handles the timer of a waiting request.
    pub(super) fn waiting_timer_fired(&mut self, now: ClockTime, handle: RequestHandle) {
        let record = &self.requests[handle];
        if now >= record.deadline {
            return self.expire(now, handle);
        }
        if record.partner.is_some() {
            self.handle_overdue_cancel(now, handle);
        } else {
            self.make_urgent(handle);
        }
        if self.requests.get(handle).is_some_and(|record| record.waiting().is_some()) {
            self.schedule_waiting(now, handle);
        }
    }

    /// Refuses a waiting request whose deadline has passed, or holds it while a lower tier runs.
    fn expire(&mut self, now: ClockTime, handle: RequestHandle) {
        let record = &self.requests[handle];
        let parked = record.waiting().and_then(|state| state.parked);
        if parked == Some(ParkReason::Suspect) {
            return self.refuse(now, handle, ReasonCode::CrashesTargets);
        }
        if !self.has_target_for(&self.models[record.item.model_index]) {
            return self.refuse(now, handle, ReasonCode::NoTarget);
        }
        let switches = self.settings.switches;
        if !switches.preemption || !switches.tiered_shedding {
            return self.refuse(now, handle, ReasonCode::DeadlinePassed);
        }
        self.urgent.remove(&record.urgent_key());
        self.unpair(handle);
        self.park(handle, ParkReason::Expired);
    }

    /// Refuses expired requests for which no request of a lower tier runs any more. Waiting
    /// requests of lower tiers are shed first.
    pub(super) fn refuse_expired(&mut self, now: ClockTime) {
        // Process the lowest tier first, because a held request is itself a waiting request of a
        // lower tier for those above.
        let held: Vec<(u8, RequestHandle)> = self.expired.iter().rev().copied().collect();
        for (tier, handle) in held {
            if !self.is_expired(handle) || self.lower_running(tier, handle) {
                continue;
            }
            let below: Vec<RequestHandle> = self
                .queue
                .lower_tiers(tier)
                .filter(|other| self.competes(*other, handle))
                .collect();
            for other in below {
                self.refuse(now, other, ReasonCode::Overloaded);
            }
            self.refuse(now, handle, ReasonCode::DeadlinePassed);
        }
    }

    /// Returns whether a request of a lower tier runs at a target that this request could use.
    fn lower_running(&self, tier: u8, handle: RequestHandle) -> bool {
        let model_index = self.requests[handle].item.model_index;
        let model = &self.models[model_index];
        self.running
            .range(tier..)
            .filter(|(rank, _)| **rank > tier)
            .flat_map(|(_, handles)| handles)
            .filter_map(|other| self.requests.get(*other))
            .any(|other| match other.running().and_then(|state| state.target) {
                Some(key) => {
                    self.targets.get(&key).is_some_and(|target| target.announcement.serves(model))
                }
                None => true,
            })
    }

    /// Returns whether two waiting requests could use the same target.
    fn competes(&self, left: RequestHandle, right: RequestHandle) -> bool {
        let models = (self.requests[left].item.model_index, self.requests[right].item.model_index);
        models.0 == models.1
            || self.targets.values().any(|target| {
                target.announcement.serves(&self.models[models.0])
                    && target.announcement.serves(&self.models[models.1])
            })
    }

    /// Sheds requests while the queue is too long for the lowest waiting tier.
    pub(super) fn shed_overload(&mut self, now: ClockTime) {
        while self.overloaded(now) {
            if !self.shed_one(now, ReasonCode::Overloaded) {
                return;
            }
        }
    }

    /// Sheds the newest request of the lowest waiting tier and returns true. If a still lower tier
    /// runs, makes the request urgent instead and returns false: the queue may exceed its limit
    /// until that tier is preempted.
    pub(super) fn shed_one(&mut self, now: ClockTime, reason: ReasonCode) -> bool {
        let Some((tier, lowest)) = self.queue.newest_of_lowest() else { return false };
        if !self.settings.switches.tiered_shedding {
            let Some(newest) = self.queue.newest() else { return false };
            self.refuse(now, newest, reason);
            return true;
        }
        if self.running.range(tier..).any(|(rank, _)| *rank > tier) {
            self.make_urgent(lowest);
            return false;
        }
        self.refuse(now, lowest, reason);
        true
    }

    /// Returns whether the queue is too long for the lowest waiting tier.
    fn overloaded(&self, now: ClockTime) -> bool {
        let Some((tier, newest)) = self.queue.newest_of_lowest() else { return false };
        let mut bound = self.settings.tier(tier).max_queue_ms;
        let remaining = self.requests[newest].deadline.since(now);
        if remaining > 0 {
            // Refuse a request that would wait past its deadline now rather than at the deadline.
            bound = bound.min(remaining);
        }
        self.queue.len() > self.settings.queue_limit || self.estimated_wait(now) > bound as f64
    }

    /// Returns the estimated wait at the end of the queue, in milliseconds. Assumes that requests
    /// of the tiers above keep arriving at the same rate.
    fn estimated_wait(&self, now: ClockTime) -> f64 {
        if self.slot_count == 0 {
            return 0.0;
        }
        let half_life = self.settings.rates.half_life_ms;
        let ratio =
            self.service_time_ratio.with_prior(now, half_life, SERVICE_TIME_RATIO_PRIOR_MS, 1.0);
        let slots = self.slot_count as f64;
        let Some((lowest, _)) = self.queue.newest_of_lowest() else { return 0.0 };
        // The decayed sum of a steady rate r converges to r·half_life/ln 2.
        let used_above: f64 = self
            .placed_service_time
            .range(..lowest)
            .map(|(_, served)| served.amount(now, half_life))
            .sum();
        let used_above = used_above * std::f64::consts::LN_2 / half_life * ratio;
        let slots_left = (slots - used_above).max(slots * MIN_SLOT_SHARE);
        self.queue.service_ms() * ratio / slots_left
    }
}
