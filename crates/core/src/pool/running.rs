//! Running requests, from placement to end.

use super::PoolScheduler;
use super::event::PoolOutput;
use super::request::{ParkReason, RequestHandle, RequestPhase, RequestRecord, RunState, WaitState};
use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, RequestKey};
use crate::message::{FinishReport, StreamProgress};
use crate::outcome::{ReasonCode, RequestOutcome};
use crate::registry::{SuspectChange, TargetKey};

/// Maximum number of cut connections recorded per target incarnation. Their requests are marked as
/// suspects if the incarnation turns out to have crashed.
const MAX_CUT_CONNECTIONS: usize = 256;
/// Time without progress of any stream after which a target's decode rate is recorded as zero, in
/// milliseconds. Entries report four times a second.
const STALL_MS: u64 = 1_000;

impl PoolScheduler {
    /// Returns the running request with this claim, or one whose claim is not committed yet.
    fn find_running(&self, key: RequestKey, claim: ClaimNumber) -> Option<RequestHandle> {
        let handle = self.by_key.get(&key).copied()?;
        let state = self.requests[handle].running()?;
        if state.claim.is_none_or(|known| known == claim) { Some(handle) } else { None }
    }

    pub(super) fn claim_committed(&mut self, key: RequestKey, claim: ClaimNumber) {
        let Some(handle) = self.by_key.get(&key).copied() else { return };
        if let Some(state) = self.requests[handle].running_mut() {
            state.claim = Some(claim);
        }
    }

    pub(super) fn claim_refused(&mut self, now: ClockTime, key: RequestKey) {
        let Some(handle) = self.by_key.get(&key).copied() else { return };
        if self.requests[handle].running().is_some_and(|state| state.claim.is_none()) {
            self.end_undispatched(now, handle);
        }
    }

    pub(super) fn cancel_done(&mut self, now: ClockTime, key: RequestKey, claim: ClaimNumber) {
        if let Some(handle) = self.find_running(key, claim) {
            self.end_running(now, handle);
        }
    }

    pub(super) fn release(
        &mut self,
        now: ClockTime,
        key: RequestKey,
        claim: ClaimNumber,
        retry: bool,
    ) {
        let Some(handle) = self.find_running(key, claim) else { return };
        if !retry {
            return self.end_undispatched(now, handle);
        }
        if self.requests[handle].restored {
            return self.refuse_restored(now, handle);
        }
        let state = self.requests[handle].running();
        let tried = state.and_then(|state| state.target);
        let recent_grant =
            state.is_some_and(|state| now.since(state.placed) < self.settings.grant_ttl_ms);
        if recent_grant {
            self.connection_failed(tried);
        }
        self.leave_target(now, handle);
        let record = &mut self.requests[handle];
        record.tried.extend(tried);
        record.phase = RequestPhase::Waiting(WaitState::default());
        let item = record.item;
        let attempts = record.tried.len();
        self.queue.insert(&item);
        let allowed = attempts < self.settings.max_attempts as usize
            && self.untried_target(handle)
            && self.retries.try_take(now, &self.settings);
        if !allowed {
            return self.refuse(now, handle, ReasonCode::Unreachable);
        }
        self.schedule_waiting(now, handle);
    }

    /// Refuses a released request that was restored from its claim. It cannot be placed again,
    /// because only the claim is known.
    fn refuse_restored(&mut self, now: ClockTime, handle: RequestHandle) {
        let Some(record) = self.end_running(now, handle) else { return };
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

    /// Counts a failed connection to a target. Without the count, a dead target would accept and
    /// fail requests faster than any other target until its silence is detected.
    fn connection_failed(&mut self, key: Option<TargetKey>) {
        if let Some(target) = key.and_then(|key| self.targets.get_mut(&key)) {
            target.failures += 1;
        }
    }

    fn untried_target(&self, handle: RequestHandle) -> bool {
        let record = &self.requests[handle];
        let model = &self.models[record.item.model_index];
        self.targets.iter().any(|(key, target)| {
            !target.left && target.announcement.serves(model) && !record.tried.contains(key)
        })
    }

    /// Ends a placed request that was not dispatched and refunds its tokens.
    fn end_undispatched(&mut self, now: ClockTime, handle: RequestHandle) {
        if let Some(record) = self.end_running(now, handle) {
            self.workspaces.state_mut(record.workspace).refund_tokens(record.charged_tokens);
        }
    }

    pub(super) fn progress(&mut self, now: ClockTime, report: StreamProgress) {
        let Some(handle) = self.by_key.get(&report.key).copied() else { return };
        if report.first_token_ms.is_some() {
            self.record_first_token(now, handle);
        }
        let record = &mut self.requests[handle];
        let Some(state) = record.running_mut() else { return };
        let delta = f64::from(report.tokens.saturating_sub(state.tokens));
        let span = now.since(state.last_report);
        state.tokens = state.tokens.max(report.tokens);
        let (first, target) = (state.first_token_received, state.target);
        if span > 0 {
            state.last_report = now;
        }
        let Some(key) = target else { return };
        let Some(target) = self.targets.get_mut(&key) else { return };
        if delta > 0.0 {
            target.last_progress = now;
        }
        // The time until the first report includes the prefill, so it is not used.
        if first && report.tokens > 0 && span > 0 && delta < f64::from(report.tokens) {
            self.rates.record_decode(now, key, delta, span as f64);
        }
    }

    /// Records the first token of a request: its prompt no longer counts as pending prefill at the
    /// target.
    fn record_first_token(&mut self, now: ClockTime, handle: RequestHandle) {
        let Some(state) = self.requests[handle].running_mut() else { return };
        if state.first_token_received {
            return;
        }
        state.first_token_received = true;
        state.last_report = now;
        let (uncached, key) = (state.uncached_tokens, state.target);
        if let Some(target) = key.and_then(|key| self.targets.get_mut(&key)) {
            target.pending_prefill_tokens = (target.pending_prefill_tokens - uncached).max(0.0);
            target.last_progress = now;
        }
    }

    pub(super) fn finish(&mut self, now: ClockTime, report: &FinishReport) {
        let Some(handle) = self.find_running(report.key, report.claim) else { return };
        if self.requests[handle].running().is_some_and(|state| state.cancelling.is_none()) {
            self.update_estimates(now, handle, report);
        }
        if report.reason == Some(ReasonCode::UpstreamCut) {
            self.record_cut_connection(handle);
        }
        let Some(record) = self.end_running(now, handle) else { return };
        let half_life = self.settings.rates.half_life_ms;
        self.ended_requests.add(now, half_life, 1.0, 0.0);
        let used = f64::from(record.prompt_tokens) + f64::from(report.output_tokens);
        let workspace = self.workspaces.state_mut(record.workspace);
        if record.charged_tokens > 0.0 {
            workspace.refund_tokens(record.charged_tokens - used);
        }
        if report.outcome == RequestOutcome::Completed {
            let limit = f64::from(record.output_limit);
            workspace.record_output(now, f64::from(report.output_tokens), limit);
            self.clear_suspect(now, &record);
        }
    }

    /// Updates the rate and service time estimates from a completed request.
    fn update_estimates(&mut self, now: ClockTime, handle: RequestHandle, report: &FinishReport) {
        if report.outcome != RequestOutcome::Completed {
            return;
        }
        let record = &self.requests[handle];
        // A restored request has no estimate to compare with.
        if record.restored {
            return;
        }
        let Some(state) = record.running() else { return };
        let half_life = self.settings.rates.half_life_ms;
        let total = f64::from(report.total_ms);
        self.service_time_ratio.add(now, half_life, total, record.item.service_ms);
        let Some(target) = state.target else { return };
        self.service_time.add(now, half_life, total, 1.0);
        if self.is_service(record.item.model_index) {
            return;
        }
        let uncached = f64::from(record.prompt_tokens.saturating_sub(report.cached_tokens));
        let computed = state.prefill_ahead_tokens + uncached;
        let (reported_tokens, last_report) = (state.tokens, state.last_report);
        let first_ms = f64::from(report.first_token_ms);
        self.rates.record_prefill(now, target, computed, first_ms.max(1.0));
        let unreported = f64::from(report.output_tokens.saturating_sub(reported_tokens));
        if reported_tokens > 0 && unreported > 0.0 {
            self.rates.record_decode(now, target, unreported, now.since(last_report).max(1) as f64);
        } else if reported_tokens == 0 && report.output_tokens > 1 {
            let span = (total - first_ms).max(1.0);
            self.rates.record_decode(now, target, f64::from(report.output_tokens - 1), span);
        }
        if let Some(target) = self.targets.get_mut(&target) {
            target.last_progress = now;
        }
    }

    fn record_cut_connection(&mut self, handle: RequestHandle) {
        let record = &self.requests[handle];
        let key = record.running().and_then(|state| state.target);
        if let Some(target) = key.and_then(|key| self.targets.get_mut(&key))
            && target.cut_connections.len() < MAX_CUT_CONNECTIONS
        {
            target.cut_connections.push(record.fingerprint);
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

    /// Frees the slot of a running request and removes the request.
    pub(super) fn end_running(
        &mut self,
        now: ClockTime,
        handle: RequestHandle,
    ) -> Option<RequestRecord> {
        self.leave_target(now, handle);
        self.remove_request(handle)
    }

    /// Frees the slot of a running request.
    pub(super) fn leave_target(&mut self, now: ClockTime, handle: RequestHandle) {
        let Some(record) = self.requests.get(handle) else { return };
        let Some(state) = record.running().cloned() else { return };
        let (tier, sequence) = (record.item.tier, record.item.sequence);
        for index in [&mut self.running, &mut self.unpaired] {
            if let Some(handles) = index.get_mut(&tier) {
                handles.remove(&handle);
                if handles.is_empty() {
                    index.remove(&tier);
                }
            }
        }
        self.unpair(handle);
        self.set_timer(handle, None);
        self.running_above_limit.remove(&(tier, sequence, handle));
        let Some(key) = state.target else { return };
        let Some(target) = self.targets.get_mut(&key) else { return };
        target.running.retain(|other| *other != handle);
        if !state.first_token_received {
            target.pending_prefill_tokens =
                (target.pending_prefill_tokens - state.uncached_tokens).max(0.0);
        }
        target.suspect_count -= u32::from(state.suspect);
        let idle = target.running.is_empty();
        if idle {
            // Resets the accumulated rounding error.
            target.pending_prefill_tokens = 0.0;
            target.last_progress = now;
        }
        if idle && target.left {
            self.targets.remove(&key);
            self.rates.remove(key);
        }
        if state.suspect {
            self.unpark_suspects();
        }
    }

    /// Records a zero decode rate for targets whose streams make no progress.
    pub(super) fn report_stalls(&mut self, now: ClockTime) {
        for (key, target) in &mut self.targets {
            let stalled = now.since(target.last_progress);
            let decoding = target.running.iter().any(|handle| {
                self.requests.get(*handle).and_then(RequestRecord::running).is_some_and(
                    |state: &RunState| state.first_token_received && state.owner_lost.is_none(),
                )
            });
            if decoding && stalled >= STALL_MS {
                self.rates.record_decode(now, *key, 0.0, stalled as f64);
                target.last_progress = now;
            }
        }
    }

    /// Handles the timer of a running request: ends it if its owner is lost and its deadline has
    /// passed.
    pub(super) fn running_timer_fired(&mut self, now: ClockTime, handle: RequestHandle) {
        let record = &self.requests[handle];
        let lost = record.running().is_some_and(|state| state.owner_lost.is_some());
        if lost && now >= record.deadline {
            self.end_running(now, handle);
        }
    }

    pub(super) fn is_expired(&self, handle: RequestHandle) -> bool {
        let state = self.requests.get(handle).and_then(RequestRecord::waiting);
        state.is_some_and(|state| state.parked == Some(ParkReason::Expired))
    }
}
