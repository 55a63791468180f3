//! Submits and withdrawals.

use super::PoolScheduler;
use super::event::PoolOutput;
use super::queue::QueueItem;
use super::request::{RequestPhase, RequestRecord, RequestSlot, WaitState};
use crate::clock::ClockTime;
use crate::keys::{NodeId, RequestKey};
use crate::message::SubmitRequest;
use crate::outcome::{ReasonCode, RequestOutcome};

impl PoolScheduler {
    pub(super) fn submit(&mut self, now: ClockTime, entry: NodeId, request: SubmitRequest) {
        if let Some(slot) = self.by_key.get(&request.key).copied() {
            let record = &mut self.requests[slot];
            if record.entry == entry && record.waiting().is_some() {
                record.attempt = request.attempt;
            }
            return;
        }
        if let Some(left) = self.suspects.quarantine_remaining_ms(now, request.fingerprint) {
            let wait = super::clamp_ms(left);
            return self.refuse_submit(entry, &request, ReasonCode::CrashesTargets, wait);
        }
        if self.rebuild.is_none() && !self.announced(&request.model) {
            let wait = self.settings.retry_after_min_ms;
            return self.refuse_submit(entry, &request, ReasonCode::NoTarget, wait);
        }
        let workspace = self.workspaces.index(now, &request.workspace, &self.settings);
        let state = self.workspaces.state_mut(workspace);
        if state.in_flight >= state.settings.max_in_flight {
            let wait = self.retry_after(now, request.tier);
            return self.refuse_submit(entry, &request, ReasonCode::WorkspaceLimit, wait);
        }
        let output_expected = state.expected_output(now, request.output_tokens);
        let tokens = f64::from(request.prompt_tokens) + output_expected;
        let charged = match state.take(now, tokens) {
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
        let class = self.class(&request.model);
        self.sequence += 1;
        let sequence = self.sequence;
        let switches = self.settings.switches;
        let item = QueueItem {
            slot: RequestSlot::default(),
            class,
            tier: request.tier,
            flow: if switches.fair_share { workspace } else { 0 },
            order: if switches.deadline_order { deadline.as_ms() } else { sequence },
            sequence,
            service_ms: self.service_ms(now, class, request.prompt_tokens, output_expected),
        };
        let slot = self.requests.insert(RequestRecord {
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
            reentered: false,
            tried: Vec::new(),
            timer: None,
            partner: None,
            phase: RequestPhase::Waiting(WaitState::default()),
        });
        self.requests[slot].item.slot = slot;
        self.by_key.insert(request.key, slot);
        self.by_entry.entry(entry).or_default().insert(slot);
        self.queue.insert(&self.requests[slot].item);
        self.schedule_waiting(now, slot);
        if self.claims_full && self.rebuild.is_none() {
            self.shed_one(now, ReasonCode::ClaimsFull);
        }
    }

    /// A withdrawn request that is already placed is released or finished by its owner.
    pub(super) fn withdraw(&mut self, key: RequestKey) {
        let Some(slot) = self.by_key.get(&key).copied() else { return };
        if self.requests[slot].waiting().is_some() {
            self.remove_waiting(slot);
        }
    }

    /// Whether any target that has not left serves the model.
    pub(super) fn announced(&self, model: &str) -> bool {
        self.targets.values().any(|target| !target.left && target.announcement.serves(model))
    }

    pub(super) fn class(&mut self, model: &str) -> usize {
        if let Some(class) = self.classes.iter().position(|known| known == model) {
            return class;
        }
        self.classes.push(model.to_owned());
        self.classes.len() - 1
    }

    /// Estimated time at a target without queueing and without cached blocks.
    fn service_ms(&self, now: ClockTime, class: usize, prompt_tokens: u32, output: f64) -> f64 {
        if self.is_service(class) {
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

    /// Requests without a model go to plain services, which report no tokens.
    pub(super) fn is_service(&self, class: usize) -> bool {
        self.classes.get(class).is_none_or(String::is_empty)
    }

    /// Tokens that a request counts as in fair sharing.
    pub(super) fn cost_tokens(&self, record: &RequestRecord) -> f64 {
        if self.is_service(record.item.class) {
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
