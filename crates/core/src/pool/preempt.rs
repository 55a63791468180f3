//! Preemption and dispatch above the concurrency limit, for requests that run out of slack.

use super::PoolScheduler;
use super::event::PoolOutput;
use super::request::{RequestHandle, RequestRecord};
use crate::clock::ClockTime;
use crate::outcome::ReasonCode;
use crate::registry::TargetKey;

/// Maximum number of unsuccessful victim searches per step. Bounds the cost of a step when many
/// requests wait and no running request can be cancelled.
const MAX_FAILED_SEARCHES: usize = 32;

impl PoolScheduler {
    /// Marks a waiting request as urgent, so that it gets a slot by preemption.
    pub(super) fn make_urgent(&mut self, handle: RequestHandle) {
        let record = &mut self.requests[handle];
        let key = record.urgent_key();
        let paired = record.partner.is_some();
        let Some(state) = record.waiting_mut() else { return };
        state.urgent = true;
        if !paired && state.parked.is_none() {
            self.urgent.insert(key);
        }
    }

    /// Preempts running requests of lower tiers in favour of urgent requests.
    pub(super) fn preempt_for_urgent(&mut self, now: ClockTime) {
        if !self.settings.switches.preemption {
            return;
        }
        let mut failed = 0;
        let mut last = None;
        while failed < MAX_FAILED_SEARCHES {
            let next = match last {
                None => self.urgent.first().copied(),
                Some(last) => self.urgent.range(last..).find(|key| **key != last).copied(),
            };
            let Some(key) = next else { return };
            // Urgent requests are in tier order. If no lower tier runs for this one, none runs for
            // the following ones.
            if self.running.last_key_value().is_none_or(|(lowest, _)| *lowest <= key.0) {
                return;
            }
            last = Some(key);
            if !self.preempt_for(now, key.3) {
                failed += 1;
            }
        }
    }

    fn preempt_for(&mut self, now: ClockTime, handle: RequestHandle) -> bool {
        if let Some(victim) = self.find_victim(handle, |record| self.cancellable(now, record)) {
            self.cancel(now, handle, victim);
            return true;
        }
        let slack_exhausted = now >= self.slack_end(&self.requests[handle]);
        if slack_exhausted && let Some(victim) = self.find_victim(handle, |_| true) {
            return self.place_above_limit(now, handle, victim);
        }
        slack_exhausted && self.replace_above_limit(now, handle)
    }

    /// Replaces a lower-tier request that runs above the limit. Both requests run until the cancel
    /// is confirmed. The cancelled request does not return to `unpaired`, because its end frees no
    /// slot.
    fn replace_above_limit(&mut self, now: ClockTime, handle: RequestHandle) -> bool {
        let tier = self.requests[handle].item.tier;
        let found =
            self.running_above_limit.iter().rev().take_while(|(rank, ..)| *rank > tier).find_map(
                |(.., above)| {
                    let record = self.requests.get(*above)?;
                    let not_cancelling = record.running()?.cancelling.is_none();
                    let victim = record.partner?;
                    (not_cancelling && self.cancellable(now, record)).then_some((*above, victim))
                },
            );
        let Some((above, victim)) = found else { return false };
        self.unpair(above);
        self.send_cancel(now, above);
        self.place_above_limit(now, handle, victim)
    }

    /// Returns whether a running request can be cancelled. This includes a request with a pending
    /// cancel, unless its confirmation is overdue.
    fn cancellable(&self, now: ClockTime, record: &RequestRecord) -> bool {
        let overdue = |at: ClockTime| now.since(at) >= self.settings.cancel_timeout_ms;
        record.idempotent
            && record.running().is_some_and(|state| {
                state.reachable()
                    && state.target.is_some()
                    && !state.cancelling.is_some_and(overdue)
            })
    }

    /// Selects the victim for a waiting request among the unpaired running requests: the request of
    /// the lowest tier that has the least completed work. Within a tier, requests with a pending
    /// cancel are preferred.
    fn find_victim(
        &self,
        handle: RequestHandle,
        accept: impl Fn(&RequestRecord) -> bool,
    ) -> Option<RequestHandle> {
        let waiting = &self.requests[handle];
        let tier = waiting.item.tier;
        let model = &self.models[waiting.item.model_index];
        let usable_target = |key: TargetKey| {
            self.targets.get(&key).is_some_and(|target| {
                target.eligible
                    && target.announcement.serves(model)
                    && !waiting.tried.contains(&key)
            })
        };
        for (rank, handles) in self.unpaired.iter().rev() {
            if *rank <= tier {
                return None;
            }
            let found = handles
                .iter()
                .filter_map(|victim| {
                    let record = self.requests.get(*victim)?;
                    let state = record.running()?;
                    let usable = state.target.is_some_and(usable_target) && accept(record);
                    let not_cancelling = state.cancelling.is_none();
                    usable.then(|| (not_cancelling, state.work(), record.item.sequence, *victim))
                })
                .min_by(|left, right| {
                    // On a tie, preempt the newest request, which has waited least.
                    let work = left.1.total_cmp(&right.1);
                    left.0.cmp(&right.0).then(work).then(right.2.cmp(&left.2))
                });
            if let Some((.., victim)) = found {
                return Some(victim);
            }
        }
        None
    }

    fn cancel(&mut self, now: ClockTime, handle: RequestHandle, victim: RequestHandle) {
        self.pair(handle, victim);
        self.send_cancel(now, victim);
        self.schedule_waiting(now, handle);
    }

    fn send_cancel(&mut self, now: ClockTime, victim: RequestHandle) {
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

    /// Places a request above the limit if the cancel of its victim was not confirmed in time and
    /// its slack is used up.
    pub(super) fn handle_overdue_cancel(&mut self, now: ClockTime, handle: RequestHandle) {
        let record = &self.requests[handle];
        let Some(victim) = record.partner else { return };
        let since = self.requests.get(victim).and_then(|victim| victim.running()?.cancelling);
        let overdue = since.is_none_or(|at| now.since(at) >= self.settings.cancel_timeout_ms);
        if overdue && now >= self.slack_end(record) {
            self.place_above_limit(now, handle, victim);
        }
    }

    /// Places a request above the concurrency limit of the target that runs `victim`. Returns
    /// whether it was placed.
    fn place_above_limit(
        &mut self,
        now: ClockTime,
        handle: RequestHandle,
        victim: RequestHandle,
    ) -> bool {
        let target = self.requests[victim].running().and_then(|state| state.target);
        let Some(key) = target.filter(|key| self.targets.contains_key(key)) else { return false };
        let suspect = self.suspects.is_marked(now, self.requests[handle].fingerprint);
        if suspect && self.targets[&key].suspect_count > 0 {
            return false;
        }
        self.unpair(handle);
        self.place(now, handle, key, true);
        self.pair(handle, victim);
        true
    }

    /// Pairs a request with its victim, the running request of a lower tier.
    pub(super) fn pair(&mut self, handle: RequestHandle, victim: RequestHandle) {
        for (one, other) in [(handle, victim), (victim, handle)] {
            let record = &mut self.requests[one];
            record.partner = Some(other);
            let (tier, key) = (record.item.tier, record.urgent_key());
            self.urgent.remove(&key);
            if let Some(handles) = self.unpaired.get_mut(&tier) {
                handles.remove(&one);
                if handles.is_empty() {
                    self.unpaired.remove(&tier);
                }
            }
        }
    }

    /// Dissolves the pair of a request, if there is one.
    pub(super) fn unpair(&mut self, handle: RequestHandle) {
        let Some(other) = self.requests.get_mut(handle).and_then(|record| record.partner.take())
        else {
            return;
        };
        let Some(record) = self.requests.get_mut(other) else { return };
        record.partner = None;
        let tier = record.item.tier;
        if record.running().is_some() {
            if self.running.get(&tier).is_some_and(|handles| handles.contains(&other)) {
                self.unpaired.entry(tier).or_default().insert(other);
            }
        } else {
            self.make_urgent(other);
        }
    }
}
