//! Shedding and passed deadlines, in tier order.

use super::PoolScheduler;
use super::request::{ParkReason, RequestRecord, RequestSlot};
use crate::clock::ClockTime;
use crate::outcome::ReasonCode;

/// Observation time that the correction of the estimated service time starts with, in
/// milliseconds.
const STRETCH_PRIOR_MS: f64 = 5_000.0;

/// Share of the slots that the lowest waiting tier is assumed to get at least. Bounds the estimate
/// while the tiers above use all slots.
const MIN_SHARE: f64 = 0.05;

impl PoolScheduler {
    /// Sets the time at which a waiting request is looked at next.
    pub(super) fn schedule_waiting(&mut self, now: ClockTime, slot: RequestSlot) {
        let record = &self.requests[slot];
        let deadline = record.deadline;
        let seek = self.slack_end(record).min(self.patience_end(record));
        let at = match record.waiting() {
            Some(state) if state.parked == Some(ParkReason::Expired) => None,
            Some(_) if record.partner.is_some() => Some(self.overdue_at(now, record).min(deadline)),
            Some(state) if !state.urgent => Some(seek.min(deadline)),
            Some(_) => Some(deadline),
            None => None,
        };
        self.set_timer(slot, at);
    }

    /// When the cancel for a waiting request counts as impossible.
    fn overdue_at(&self, now: ClockTime, record: &RequestRecord) -> ClockTime {
        let wait = self.settings.cancel_timeout_ms;
        let victim = record.partner.and_then(|victim| self.requests.get(victim));
        let since = victim.and_then(|victim| victim.running()?.cancelling).unwrap_or(now);
        let at = since.plus(wait).max(self.slack_end(record));
        if at > now { at } else { now.plus(wait) }
    }

    /// When the slack of a waiting request falls below the bound.
    pub(super) fn slack_end(&self, record: &RequestRecord) -> ClockTime {
        // The cast saturates.
        let reserve =
            (record.item.service_ms as u64).saturating_add(self.settings.preempt_slack_ms);
        ClockTime::from_ms(record.deadline.as_ms().saturating_sub(reserve))
    }

    fn patience_end(&self, record: &RequestRecord) -> ClockTime {
        record.submitted.plus(self.settings.tier(record.item.tier).preempt_after_ms)
    }

    /// A timer of a waiting request has fired.
    pub(super) fn waiting_due(&mut self, now: ClockTime, slot: RequestSlot) {
        let record = &self.requests[slot];
        if now >= record.deadline {
            return self.expire(now, slot);
        }
        if record.partner.is_some() {
            self.cancel_overdue(now, slot);
        } else {
            self.seek_preemption(slot);
        }
        if self.requests.get(slot).is_some_and(|record| record.waiting().is_some()) {
            self.schedule_waiting(now, slot);
        }
    }

    /// The deadline of a waiting request has passed.
    fn expire(&mut self, now: ClockTime, slot: RequestSlot) {
        let record = &self.requests[slot];
        let parked = record.waiting().and_then(|state| state.parked);
        if parked == Some(ParkReason::Suspect) {
            return self.refuse(now, slot, ReasonCode::CrashesTargets);
        }
        if !self.announced(&self.classes[record.item.class]) {
            return self.refuse(now, slot, ReasonCode::NoTarget);
        }
        let switches = self.settings.switches;
        if !switches.preemption || !switches.tiered_shedding {
            return self.refuse(now, slot, ReasonCode::DeadlinePassed);
        }
        self.urgent.remove(&record.urgent_key());
        self.unpair(slot);
        self.park(slot, ParkReason::Expired);
    }

    /// Refuses requests with a passed deadline for which no lower tier runs any more. Waiting
    /// requests of lower tiers are shed first.
    pub(super) fn settle_expired(&mut self, now: ClockTime) {
        // From the lowest tier up, since a held request is itself a waiting one for those above.
        let held: Vec<(u8, RequestSlot)> = self.expired.iter().rev().copied().collect();
        for (tier, slot) in held {
            if !self.is_expired(slot) || self.lower_running(tier, slot) {
                continue;
            }
            let below: Vec<RequestSlot> =
                self.queue.below(tier).filter(|other| self.competes(*other, slot)).collect();
            for other in below {
                self.refuse(now, other, ReasonCode::Overloaded);
            }
            self.refuse(now, slot, ReasonCode::DeadlinePassed);
        }
    }

    /// Whether a request of a tier below runs at a target that this request could use.
    fn lower_running(&self, tier: u8, slot: RequestSlot) -> bool {
        let class = self.requests[slot].item.class;
        let model = &self.classes[class];
        self.running
            .range(tier..)
            .filter(|(rank, _)| **rank > tier)
            .flat_map(|(_, slots)| slots)
            .filter_map(|other| self.requests.get(*other))
            .any(|other| match other.running().and_then(|state| state.target) {
                Some(key) => {
                    self.targets.get(&key).is_some_and(|target| target.announcement.serves(model))
                }
                None => true,
            })
    }

    /// Whether two waiting requests could use the same target.
    fn competes(&self, left: RequestSlot, right: RequestSlot) -> bool {
        let classes = (self.requests[left].item.class, self.requests[right].item.class);
        classes.0 == classes.1
            || self.targets.values().any(|target| {
                target.announcement.serves(&self.classes[classes.0])
                    && target.announcement.serves(&self.classes[classes.1])
            })
    }

    /// Sheds while the queue is too long for the lowest tier that waits.
    pub(super) fn shed_overload(&mut self, now: ClockTime) {
        while self.overloaded(now) {
            if !self.shed_one(now, ReasonCode::Overloaded) {
                return;
            }
        }
    }

    /// Sheds the newest request of the lowest tier, unless a still lower tier runs: then the bound
    /// may be exceeded while that one gives way.
    pub(super) fn shed_one(&mut self, now: ClockTime, reason: ReasonCode) -> bool {
        let Some((tier, lowest)) = self.queue.newest_of_lowest() else { return false };
        if !self.settings.switches.tiered_shedding {
            let Some(newest) = self.queue.newest() else { return false };
            self.refuse(now, newest, reason);
            return true;
        }
        if self.running.range(tier..).any(|(rank, _)| *rank > tier) {
            self.seek_preemption(lowest);
            return false;
        }
        self.refuse(now, lowest, reason);
        true
    }

    /// Whether the queue is too long for the lowest tier that waits.
    fn overloaded(&self, now: ClockTime) -> bool {
        let Some((tier, newest)) = self.queue.newest_of_lowest() else { return false };
        let mut bound = self.settings.tier(tier).max_queue_ms;
        let remaining = self.requests[newest].deadline.since(now);
        if remaining > 0 {
            // A request that would wait past its own deadline gets its refusal now, not then.
            bound = bound.min(remaining);
        }
        self.queue.len() > self.settings.queue_limit || self.estimated_wait(now) > bound as f64
    }

    /// Estimated wait at the end of the queue, in milliseconds. Arrivals of the tiers above are
    /// expected to go on as they did.
    fn estimated_wait(&self, now: ClockTime) -> f64 {
        if self.slot_count == 0 {
            return 0.0;
        }
        let half_life = self.settings.rates.half_life_ms;
        let stretch = self.stretch.with_prior(now, half_life, STRETCH_PRIOR_MS, 1.0);
        let slots = self.slot_count as f64;
        let Some((lowest, _)) = self.queue.newest_of_lowest() else { return 0.0 };
        // A steady rate r sums up to r·half_life/ln 2.
        let above: f64 =
            self.served.range(..lowest).map(|(_, served)| served.amount(now, half_life)).sum();
        let above = above * std::f64::consts::LN_2 / half_life * stretch;
        let left = (slots - above).max(slots * MIN_SHARE);
        self.queue.service_ms() * stretch / left
    }
}
