//! Requests from their placement to their end.

use super::PoolScheduler;
use super::event::PoolOutput;
use super::request::{ParkReason, RequestPhase, RequestRecord, RequestSlot, RunState, WaitState};
use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, RequestKey};
use crate::message::{FinishReport, StreamProgress};
use crate::outcome::{ReasonCode, RequestOutcome};
use crate::registry::{SuspectChange, TargetKey};

/// Cut connections remembered per incarnation, for the marks if it turns out to have crashed.
const CUT_LIMIT: usize = 256;
/// Time without progress of any stream after which a target's decode rate is entered as zero, in
/// milliseconds. Entries report four times a second.
const STALL_MS: u64 = 1_000;

impl PoolScheduler {
    /// Slot of a running request with this claim.
    fn claimed(&self, key: RequestKey, claim: ClaimNumber) -> Option<RequestSlot> {
        let slot = self.by_key.get(&key).copied()?;
        let state = self.requests[slot].running()?;
        if state.claim.is_none_or(|known| known == claim) { Some(slot) } else { None }
    }

    pub(super) fn claim_committed(&mut self, key: RequestKey, claim: ClaimNumber) {
        let Some(slot) = self.by_key.get(&key).copied() else { return };
        if let Some(state) = self.requests[slot].running_mut() {
            state.claim = Some(claim);
        }
    }

    pub(super) fn claim_refused(&mut self, now: ClockTime, key: RequestKey) {
        let Some(slot) = self.by_key.get(&key).copied() else { return };
        if self.requests[slot].running().is_some_and(|state| state.claim.is_none()) {
            self.end_unused(now, slot);
        }
    }

    pub(super) fn cancel_done(&mut self, now: ClockTime, key: RequestKey, claim: ClaimNumber) {
        if let Some(slot) = self.claimed(key, claim) {
            self.end_running(now, slot);
        }
    }

    pub(super) fn release(
        &mut self,
        now: ClockTime,
        key: RequestKey,
        claim: ClaimNumber,
        retry: bool,
    ) {
        let Some(slot) = self.claimed(key, claim) else { return };
        if !retry {
            return self.end_unused(now, slot);
        }
        if self.requests[slot].reentered {
            return self.refuse_reentered(now, slot);
        }
        let state = self.requests[slot].running();
        let tried = state.and_then(|state| state.target);
        let fresh = state.is_some_and(|state| now.since(state.placed) < self.settings.grant_ttl_ms);
        if fresh {
            self.connection_failed(tried);
        }
        self.leave_target(now, slot);
        let record = &mut self.requests[slot];
        record.tried.extend(tried);
        record.phase = RequestPhase::Waiting(WaitState::default());
        let item = record.item;
        let attempts = record.tried.len();
        self.queue.insert(&item);
        let allowed = attempts < self.settings.max_attempts as usize
            && self.untried_target(slot)
            && self.retries.take(now, &self.settings);
        if !allowed {
            return self.refuse(now, slot, ReasonCode::Unreachable);
        }
        self.schedule_waiting(now, slot);
    }

    /// Refuses a released request of which only the claim is known, so that it cannot be placed
    /// again.
    fn refuse_reentered(&mut self, now: ClockTime, slot: RequestSlot) {
        let Some(record) = self.end_running(now, slot) else { return };
        self.outputs.push(PoolOutput::Refuse {
            key: record.key,
            attempt: record.attempt,
            entry: record.entry,
            tier: record.item.tier,
            outcome: RequestOutcome::NotRun,
            reason: ReasonCode::Unreachable,
            retry_after_ms: self.settings.retry_after_min_ms,
        });
    }

    /// Counts a failed connection. Without the count, a dead target would take and fail requests
    /// faster than any other until its silence is noticed.
    fn connection_failed(&mut self, key: Option<TargetKey>) {
        if let Some(target) = key.and_then(|key| self.targets.get_mut(&key)) {
            target.failures += 1;
        }
    }

    fn untried_target(&self, slot: RequestSlot) -> bool {
        let record = &self.requests[slot];
        let model = &self.classes[record.item.class];
        self.targets.iter().any(|(key, target)| {
            !target.left && target.announcement.serves(model) && !record.tried.contains(key)
        })
    }

    /// Ends a placed request that was not dispatched.
    fn end_unused(&mut self, now: ClockTime, slot: RequestSlot) {
        if let Some(record) = self.end_running(now, slot) {
            self.workspaces.state_mut(record.workspace).give_back(record.charged_tokens);
        }
    }

    pub(super) fn progress(&mut self, now: ClockTime, report: StreamProgress) {
        let Some(slot) = self.by_key.get(&report.key).copied() else { return };
        if report.first_token_ms.is_some() {
            self.first_token(now, slot);
        }
        let record = &mut self.requests[slot];
        let Some(state) = record.running_mut() else { return };
        let delta = f64::from(report.tokens.saturating_sub(state.tokens));
        let span = now.since(state.reported);
        state.tokens = state.tokens.max(report.tokens);
        let (first, target) = (state.first_token, state.target);
        if span > 0 {
            state.reported = now;
        }
        let Some(key) = target else { return };
        let Some(target) = self.targets.get_mut(&key) else { return };
        if delta > 0.0 {
            target.progressed = now;
        }
        // The span until the first report also covers the prefill.
        if first && report.tokens > 0 && span > 0 && delta < f64::from(report.tokens) {
            self.rates.record_decode(now, key, delta, span as f64);
        }
    }

    /// Takes the prompt of a request out of the work ahead at its target.
    fn first_token(&mut self, now: ClockTime, slot: RequestSlot) {
        let Some(state) = self.requests[slot].running_mut() else { return };
        if state.first_token {
            return;
        }
        state.first_token = true;
        state.reported = now;
        let (uncached, key) = (state.uncached, state.target);
        if let Some(target) = key.and_then(|key| self.targets.get_mut(&key)) {
            target.prefill_ahead = (target.prefill_ahead - uncached).max(0.0);
            target.progressed = now;
        }
    }

    pub(super) fn finish(&mut self, now: ClockTime, report: &FinishReport) {
        let Some(slot) = self.claimed(report.key, report.claim) else { return };
        if self.requests[slot].running().is_some_and(|state| state.cancelling.is_none()) {
            self.learn(now, slot, report);
        }
        if report.reason == Some(ReasonCode::UpstreamCut) {
            self.remember_cut(slot);
        }
        let Some(record) = self.end_running(now, slot) else { return };
        let half_life = self.settings.rates.half_life_ms;
        self.drained.add(now, half_life, 1.0, 0.0);
        let used = f64::from(record.prompt_tokens) + f64::from(report.output_tokens);
        let workspace = self.workspaces.state_mut(record.workspace);
        if record.charged_tokens > 0.0 {
            workspace.give_back(record.charged_tokens - used);
        }
        if report.outcome == RequestOutcome::Completed {
            let limit = f64::from(record.output_limit);
            workspace.used_output(now, f64::from(report.output_tokens), limit);
            self.clear_suspect(now, &record);
        }
    }

    /// Enters the rates that a completed request shows.
    fn learn(&mut self, now: ClockTime, slot: RequestSlot, report: &FinishReport) {
        if report.outcome != RequestOutcome::Completed {
            return;
        }
        let record = &self.requests[slot];
        // A re-entered claim has no estimate to compare with.
        if record.reentered {
            return;
        }
        let Some(state) = record.running() else { return };
        let half_life = self.settings.rates.half_life_ms;
        let total = f64::from(report.total_ms);
        self.stretch.add(now, half_life, total, record.item.service_ms);
        let Some(target) = state.target else { return };
        self.service_time.add(now, half_life, total, 1.0);
        if self.is_service(record.item.class) {
            return;
        }
        let uncached = f64::from(record.prompt_tokens.saturating_sub(report.cached_tokens));
        let computed = state.ahead + uncached;
        let (seen, reported) = (state.tokens, state.reported);
        let first_ms = f64::from(report.first_token_ms);
        self.rates.record_prefill(now, target, computed, first_ms.max(1.0));
        let rest = f64::from(report.output_tokens.saturating_sub(seen));
        if seen > 0 && rest > 0.0 {
            self.rates.record_decode(now, target, rest, now.since(reported).max(1) as f64);
        } else if seen == 0 && report.output_tokens > 1 {
            let span = (total - first_ms).max(1.0);
            self.rates.record_decode(now, target, f64::from(report.output_tokens - 1), span);
        }
        if let Some(target) = self.targets.get_mut(&target) {
            target.progressed = now;
        }
    }

    fn remember_cut(&mut self, slot: RequestSlot) {
        let record = &self.requests[slot];
        let key = record.running().and_then(|state| state.target);
        if let Some(target) = key.and_then(|key| self.targets.get_mut(&key))
            && target.cut.len() < CUT_LIMIT
        {
            target.cut.push(record.fingerprint);
        }
        self.connection_failed(key);
    }

    fn clear_suspect(&mut self, now: ClockTime, record: &RequestRecord) {
        if self.suspects.is_marked(now, record.fingerprint) {
            let change = SuspectChange::Clear { fingerprint: record.fingerprint };
            self.suspects.apply(now, &change);
            self.outputs.push(PoolOutput::Suspect(change));
            self.unpark_suspects();
        }
    }

    /// Frees the slot of a running request and drops the request.
    pub(super) fn end_running(
        &mut self,
        now: ClockTime,
        slot: RequestSlot,
    ) -> Option<RequestRecord> {
        self.leave_target(now, slot);
        self.forget(slot)
    }

    /// Frees the slot of a running request.
    pub(super) fn leave_target(&mut self, now: ClockTime, slot: RequestSlot) {
        let Some(record) = self.requests.get(slot) else { return };
        let Some(state) = record.running().cloned() else { return };
        let (tier, sequence) = (record.item.tier, record.item.sequence);
        for index in [&mut self.running, &mut self.unpaired] {
            if let Some(slots) = index.get_mut(&tier) {
                slots.remove(&slot);
                if slots.is_empty() {
                    index.remove(&tier);
                }
            }
        }
        self.unpair(slot);
        self.set_timer(slot, None);
        self.above.remove(&(tier, sequence, slot));
        let Some(key) = state.target else { return };
        let Some(target) = self.targets.get_mut(&key) else { return };
        target.running.retain(|other| *other != slot);
        if !state.first_token {
            target.prefill_ahead = (target.prefill_ahead - state.uncached).max(0.0);
        }
        target.marked -= u32::from(state.marked);
        let idle = target.running.is_empty();
        if idle {
            // Corrects the rounding of many additions and subtractions.
            target.prefill_ahead = 0.0;
            target.progressed = now;
        }
        if idle && target.left {
            self.targets.remove(&key);
            self.rates.remove(key);
        }
        if state.marked {
            self.unpark_suspects();
        }
    }

    /// Enters a zero decode rate for targets whose streams make no progress at all.
    pub(super) fn report_stalls(&mut self, now: ClockTime) {
        for (key, target) in &mut self.targets {
            let stalled = now.since(target.progressed);
            let decoding = target.running.iter().any(|slot| {
                self.requests
                    .get(*slot)
                    .and_then(RequestRecord::running)
                    .is_some_and(|state: &RunState| state.first_token && state.owner_lost.is_none())
            });
            if decoding && stalled >= STALL_MS {
                self.rates.record_decode(now, *key, 0.0, stalled as f64);
                target.progressed = now;
            }
        }
    }

    /// The deadline of a running request whose owner is lost has passed.
    pub(super) fn running_due(&mut self, now: ClockTime, slot: RequestSlot) {
        let record = &self.requests[slot];
        let lost = record.running().is_some_and(|state| state.owner_lost.is_some());
        if lost && now >= record.deadline {
            self.end_running(now, slot);
        }
    }

    pub(super) fn is_expired(&self, slot: RequestSlot) -> bool {
        let state = self.requests.get(slot).and_then(RequestRecord::waiting);
        state.is_some_and(|state| state.parked == Some(ParkReason::Expired))
    }
}
