//! Submission and withdrawal of requests.

use super::PoolScheduler;
use super::event::PoolOutput;
use super::queue::QueueItem;
use super::request::{RequestHandle, RequestPhase, RequestRecord, WaitState};
use crate::clock::ClockTime;
use crate::keys::{NodeId, RequestKey};
use crate::message::SubmitRequest;
use crate::outcome::{ReasonCode, RequestOutcome};

impl PoolScheduler {
    pub(super) fn submit(&mut self, now: ClockTime, entry: NodeId, request: SubmitRequest) {
        if let Some(handle) = self.by_key.get(&request.key).copied() {
            let record = &mut self.requests[handle];
            if record.entry == entry && record.waiting().is_some() {
                record.attempt = request.attempt;
            }
            return;
        }
        if let Some(left) = self.suspects.quarantine_remaining_ms(now, request.fingerprint) {
            let wait = super::clamp_ms(left);
            return self.refuse_submit(entry, &request, ReasonCode::CrashesTargets, wait);
        }
        if self.rebuild.is_none() && !self.has_target_for(&request.model) {
            let wait = self.settings.retry_after_min_ms;
            return self.refuse_submit(entry, &request, ReasonCode::NoTarget, wait);
        }
        let workspace = self.workspaces.index_or_insert(now, &request.workspace, &self.settings);
        let state = self.workspaces.state_mut(workspace);
        if state.in_flight >= state.settings.max_in_flight {
            let wait = self.retry_after(now, request.tier);
            return self.refuse_submit(entry, &request, ReasonCode::WorkspaceLimit, wait);
        }
        let output_expected = state.expected_output(now, request.output_tokens);
        let tokens = f64::from(request.prompt_tokens) + output_expected;
        let charged = match state.take_tokens(now, tokens) {
            Ok(charged) => charged,
            Err(wait_ms) => {
                let max = self.settings.retry_after_max_ms;
                let wait = (wait_ms as u32).clamp(self.settings.retry_after_min_ms, max);
                return self.refuse_submit(entry, &request, ReasonCode::WorkspaceLimit, wait);
            }
        };
        state.in_flight += 1;
        self.enqueue(now, entry, request, workspace, output_expected, charged);
    }

    fn enqueue(
        &mut self,
        now: ClockTime,
        entry: NodeId,
        request: SubmitRequest,
        workspace: usize,
        output_expected: f64,
        charged_tokens: f64,
    ) {
        let deadline = now.plus(u64::from(request.deadline_in_ms));
        let model_index = self.model_index(&request.model);
        self.sequence += 1;
        let sequence = self.sequence;
        let switches = self.settings.switches;
        let item = QueueItem {
            handle: RequestHandle::default(),
            model_index,
            tier: request.tier,
            flow: if switches.fair_share { workspace } else { 0 },
            order: if switches.deadline_order { deadline.as_ms() } else { sequence },
            sequence,
            service_ms: self.service_ms(now, model_index, request.prompt_tokens, output_expected),
        };
        let handle = self.requests.insert(RequestRecord {
            key: request.key,
            attempt: request.attempt,
            entry,
            fingerprint: request.fingerprint,
            workspace,
            idempotent: request.idempotent,
            submitted: now,
            deadline,
            prompt_tokens: request.prompt_tokens,
            output_limit: request.output_tokens,
            output_expected,
            prefix_hashes: request.prefix_hashes,
            charged_tokens,
            item,
            restored: false,
            tried: Vec::new(),
            timer: None,
            partner: None,
            phase: RequestPhase::Waiting(WaitState::default()),
        });
        self.requests[handle].item.handle = handle;
        self.by_key.insert(request.key, handle);
        self.by_entry.entry(entry).or_default().insert(handle);
        self.queue.insert(&self.requests[handle].item);
        self.schedule_waiting(now, handle);
        if self.claims_full && self.rebuild.is_none() {
            self.shed_one(now, ReasonCode::ClaimsFull);
        }
    }

    /// Removes a waiting request. A request that is already placed is released or finished by its
    /// owner.
    pub(super) fn withdraw(&mut self, key: RequestKey) {
        let Some(handle) = self.by_key.get(&key).copied() else { return };
        if self.requests[handle].waiting().is_some() {
            self.remove_waiting(handle);
        }
    }

    /// Returns whether any target that has not left the pool serves the model.
    pub(super) fn has_target_for(&self, model: &str) -> bool {
        self.targets.values().any(|target| !target.left && target.announcement.serves(model))
    }

    pub(super) fn model_index(&mut self, model: &str) -> usize {
        if let Some(model_index) = self.models.iter().position(|known| known == model) {
            return model_index;
        }
        self.models.push(model.to_owned());
        self.models.len() - 1
    }

    /// Returns the estimated service time in milliseconds, without queueing and without cached
    /// blocks.
    fn service_ms(
        &self,
        now: ClockTime,
        model_index: usize,
        prompt_tokens: u32,
        output: f64,
    ) -> f64 {
        if self.is_service(model_index) {
            let half_life = self.settings.rates.half_life_ms;
            return self.service_time.with_prior(
                now,
                half_life,
                1.0,
                self.settings.service_time_ms,
            );
        }
        let (prefill, decode) = self.rates.mean_rates();
        f64::from(prompt_tokens) / prefill.max(1e-6) + output / decode.max(1e-6)
    }

    /// Returns whether requests of this model go to plain services. These requests name no model,
    /// and the services report no tokens.
    pub(super) fn is_service(&self, model_index: usize) -> bool {
        self.models.get(model_index).is_none_or(String::is_empty)
    }

    /// Returns the cost of a request in fair sharing, in tokens.
    pub(super) fn cost_tokens(&self, record: &RequestRecord) -> f64 {
        if self.is_service(record.item.model_index) {
            self.settings.service_cost_tokens
        } else {
            f64::from(record.prompt_tokens) + record.output_expected
        }
    }

    fn refuse_submit(
        &mut self,
        entry: NodeId,
        request: &SubmitRequest,
        reason: ReasonCode,
        retry_after_ms: u32,
    ) {
        self.outputs.push(PoolOutput::Refuse {
            key: request.key,
            attempt: request.attempt,
            entry,
            tier: request.tier,
            outcome: RequestOutcome::NotRun,
            reason,
            retry_after_ms,
        });
    }
}
