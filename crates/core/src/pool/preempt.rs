//! Slots for requests whose slack runs out: preemption and dispatch above the limit.

use super::PoolScheduler;
use super::event::PoolOutput;
use super::request::{RequestRecord, RequestSlot};
use crate::clock::ClockTime;
use crate::outcome::ReasonCode;
use crate::registry::TargetKey;

/// Requests looked at per step for which no victim may be found. Bounds the cost of a step when
/// many requests wait and none of the running ones can be cancelled.
const SEARCH_LIMIT: usize = 32;

impl PoolScheduler {
    /// Lets a waiting request seek a slot by preemption.
    pub(super) fn seek_preemption(&mut self, slot: RequestSlot) {
        let record = &mut self.requests[slot];
        let key = record.urgent_key();
        let paired = record.partner.is_some();
        let Some(state) = record.waiting_mut() else { return };
        state.urgent = true;
        if !paired && state.parked.is_none() {
            self.urgent.insert(key);
        }
    }

    /// Pairs urgent requests with running requests of lower tiers.
    pub(super) fn serve_urgent(&mut self, now: ClockTime) {
        if !self.settings.switches.preemption {
            return;
        }
        let mut failed = 0;
        let mut last = None;
        while failed < SEARCH_LIMIT {
            let next = match last {
                None => self.urgent.first().copied(),
                Some(last) => self.urgent.range(last..).find(|key| **key != last).copied(),
            };
            let Some(key) = next else { return };
            // Urgent requests are in tier order: if this one has no lower tier, neither have the
            // following ones.
            if self.running.last_key_value().is_none_or(|(lowest, _)| *lowest <= key.0) {
                return;
            }
            last = Some(key);
            if !self.serve_one(now, key.3) {
                failed += 1;
            }
        }
    }

    fn serve_one(&mut self, now: ClockTime, slot: RequestSlot) -> bool {
        if let Some(victim) = self.find_victim(slot, |record| self.cancellable(now, record)) {
            self.cancel(now, slot, victim);
            return true;
        }
        let slack_over = now >= self.slack_end(&self.requests[slot]);
        if slack_over && let Some(victim) = self.find_victim(slot, |_| true) {
            return self.place_above(now, slot, victim);
        }
        slack_over && self.take_over(now, slot)
    }

    /// Takes the place of a lower-tier request that runs above the limit. Both run until the
    /// cancel is confirmed. The cancelled one stays out of `unpaired`, since its end frees no slot.
    fn take_over(&mut self, now: ClockTime, slot: RequestSlot) -> bool {
        let tier = self.requests[slot].item.tier;
        let found = self.above.iter().rev().take_while(|(rank, ..)| *rank > tier).find_map(
            |(.., above)| {
                let record = self.requests.get(*above)?;
                let fresh = record.running()?.cancelling.is_none();
                let victim = record.partner?;
                (fresh && self.cancellable(now, record)).then_some((*above, victim))
            },
        );
        let Some((above, victim)) = found else { return false };
        self.unpair(above);
        self.send_cancel(now, above);
        self.place_above(now, slot, victim)
    }

    /// Whether a running request can be told to make room. One that was told before counts too,
    /// unless the confirmation is overdue.
    fn cancellable(&self, now: ClockTime, record: &RequestRecord) -> bool {
        let overdue = |at: ClockTime| now.since(at) >= self.settings.cancel_timeout_ms;
        record.idempotent
            && record.running().is_some_and(|state| {
                state.reachable()
                    && state.target.is_some()
                    && !state.cancelling.is_some_and(overdue)
            })
    }

    /// The unpaired running request that gives way to a waiting one: of the lowest tier, and in
    /// it the one with the least completed work.
    fn find_victim(
        &self,
        slot: RequestSlot,
        accept: impl Fn(&RequestRecord) -> bool,
    ) -> Option<RequestSlot> {
        let waiting = &self.requests[slot];
        let tier = waiting.item.tier;
        let model = &self.classes[waiting.item.class];
        let useful = |key: TargetKey| {
            self.targets.get(&key).is_some_and(|target| {
                target.eligible
                    && target.announcement.serves(model)
                    && !waiting.tried.contains(&key)
            })
        };
        for (rank, slots) in self.unpaired.iter().rev() {
            if *rank <= tier {
                return None;
            }
            let found = slots
                .iter()
                .filter_map(|victim| {
                    let record = self.requests.get(*victim)?;
                    let state = record.running()?;
                    let usable = state.target.is_some_and(useful) && accept(record);
                    let fresh = state.cancelling.is_none();
                    usable.then(|| (fresh, state.work(), record.item.sequence, *victim))
                })
                .min_by(|left, right| {
                    // Among equals, the newest has waited least.
                    let work = left.1.total_cmp(&right.1);
                    left.0.cmp(&right.0).then(work).then(right.2.cmp(&left.2))
                });
            if let Some((.., victim)) = found {
                return Some(victim);
            }
        }
        None
    }

    fn cancel(&mut self, now: ClockTime, slot: RequestSlot, victim: RequestSlot) {
        self.pair(slot, victim);
        self.send_cancel(now, victim);
        self.schedule_waiting(now, slot);
    }

    fn send_cancel(&mut self, now: ClockTime, victim: RequestSlot) {
        let record = &mut self.requests[victim];
        let (key, entry, tier) = (record.key, record.entry, record.item.tier);
        let Some(state) = record.running_mut() else { return };
        let Some(claim) = state.claim else { return };
        if state.cancelling.replace(now).is_none() {
            let retry_after_ms = self.retry_after(now, tier);
            self.outputs.push(PoolOutput::Cancel {
                key,
                claim,
                entry,
                reason: ReasonCode::Preempted,
                retry_after_ms,
            });
        }
    }

    /// A cancel has not been confirmed in time, so it counts as impossible.
    pub(super) fn cancel_overdue(&mut self, now: ClockTime, slot: RequestSlot) {
        let record = &self.requests[slot];
        let Some(victim) = record.partner else { return };
        let since = self.requests.get(victim).and_then(|victim| victim.running()?.cancelling);
        let overdue = since.is_none_or(|at| now.since(at) >= self.settings.cancel_timeout_ms);
        if overdue && now >= self.slack_end(record) {
            self.place_above(now, slot, victim);
        }
    }

    /// Dispatches a request above the concurrency limit of the target of `victim`.
    fn place_above(&mut self, now: ClockTime, slot: RequestSlot, victim: RequestSlot) -> bool {
        let target = self.requests[victim].running().and_then(|state| state.target);
        let Some(key) = target.filter(|key| self.targets.contains_key(key)) else { return false };
        let suspect = self.suspects.is_marked(now, self.requests[slot].fingerprint);
        if suspect && self.targets[&key].marked > 0 {
            return false;
        }
        self.unpair(slot);
        self.place(now, slot, key, true);
        self.pair(slot, victim);
        true
    }

    /// Pairs a request with the running lower-tier request that gives way to it.
    pub(super) fn pair(&mut self, slot: RequestSlot, victim: RequestSlot) {
        for (one, other) in [(slot, victim), (victim, slot)] {
            let record = &mut self.requests[one];
            record.partner = Some(other);
            let (tier, key) = (record.item.tier, record.urgent_key());
            self.urgent.remove(&key);
            if let Some(slots) = self.unpaired.get_mut(&tier) {
                slots.remove(&one);
                if slots.is_empty() {
                    self.unpaired.remove(&tier);
                }
            }
        }
    }

    /// Dissolves the pair of a request, if it has one.
    pub(super) fn unpair(&mut self, slot: RequestSlot) {
        let Some(other) = self.requests.get_mut(slot).and_then(|record| record.partner.take())
        else {
            return;
        };
        let Some(record) = self.requests.get_mut(other) else { return };
        record.partner = None;
        let tier = record.item.tier;
        if record.running().is_some() {
            if self.running.get(&tier).is_some_and(|slots| slots.contains(&other)) {
                self.unpaired.entry(tier).or_default().insert(other);
            }
        } else {
            self.seek_preemption(other);
        }
    }
}
