//! Handles the messages and the loss of entries.

use super::claim::retry_after;
use super::{
    AdmissionController, AdmissionEventKind, AttemptRecord, DEFAULT_RETRY_AFTER_MS,
    ENTRY_LOST_TIMEOUT_MS, EntryRecord, PendingRefusal, REGRANT_DELAY_MS, RequestStage, StepTime,
    TrackedRequest,
};
use crate::keys::{NodeId, RequestKey};
use crate::message::{EntryMessage, FinishReport, HeldClaim, StreamProgress, SubmitRequest};
use crate::outcome::{ReasonCode, RequestOutcome};
use crate::pool::PoolInput;
use crate::state::{ClaimPhase, ClaimRecord, ReplicatedState, StateCommand};
use std::collections::BTreeMap;

impl AdmissionController {
    /// Handles a message from an entry.
    pub fn receive(
        &mut self,
        time: StepTime,
        from: NodeId,
        message: EntryMessage,
        state: &ReplicatedState,
    ) {
        match message {
            EntryMessage::Hello { entry_time, running, .. } => {
                self.entries.insert(from, EntryRecord { entry_time, disconnected_at: None });
                self.entry_reported(time, from, &running, state);
            }
            EntryMessage::Heartbeat { entry_time, .. } => {
                let record = EntryRecord { entry_time, disconnected_at: None };
                self.entries.insert(from, record);
            }
            EntryMessage::Submit(request) => self.submit(time, from, request, state),
            EntryMessage::Withdraw { key, attempt } => {
                self.withdraw(time, from, key, attempt, state);
            }
            EntryMessage::Progress(reports) => self.progress(time, reports),
            EntryMessage::Finish(report) => self.finish(time, report),
            EntryMessage::Release { key, claim, retry } => self.release(key, claim, retry),
            EntryMessage::Goodbye => {
                if let Some(record) = self.entries.get_mut(&from) {
                    record.disconnected_at.get_or_insert(time.now);
                }
            }
        }
    }

    /// Records that the link of an entry is down.
    pub fn entry_disconnected(&mut self, time: StepTime, entry: NodeId) {
        if let Some(record) = self.entries.get_mut(&entry) {
            record.disconnected_at.get_or_insert(time.now);
        }
    }

    pub(super) fn remove_lost_entries(&mut self, time: StepTime) {
        let lost: Vec<NodeId> = self
            .entries
            .iter()
            .filter(|(_, record)| {
                record
                    .disconnected_at
                    .is_some_and(|since| time.now.since(since) >= ENTRY_LOST_TIMEOUT_MS)
            })
            .map(|(entry, _)| *entry)
            .collect();
        for entry in lost {
            self.entries.remove(&entry);
            self.drop_entry_attempts(time, entry);
            self.step_all(time, || PoolInput::EntryLost { entry });
            self.output.commands.push(StateCommand::OwnerLost { entry });
        }
    }

    /// Drops the waiting attempts of a lost entry. Its claims stay open.
    fn drop_entry_attempts(&mut self, time: StepTime, entry: NodeId) {
        let mut orphaned = Vec::new();
        self.requests.retain(|key, tracked| {
            tracked.duplicates.retain(|attempt| attempt.entry != entry);
            let owned = tracked.owner.as_ref().is_some_and(|attempt| attempt.entry == entry);
            if !owned || tracked.stage != RequestStage::Waiting {
                return true;
            }
            orphaned.push((*key, tracked.pool.clone(), std::mem::take(&mut tracked.duplicates)));
            false
        });
        for (key, pool, mut duplicates) in orphaned {
            self.step_pool(time, &pool, PoolInput::Withdraw { key });
            if !duplicates.is_empty() {
                let next = duplicates.remove(0);
                self.enqueue(time, &pool, next, duplicates);
            }
        }
    }

    fn submit(
        &mut self,
        time: StepTime,
        from: NodeId,
        request: SubmitRequest,
        state: &ReplicatedState,
    ) {
        let attempt = AttemptRecord { entry: from, request };
        if let Some(record) = state.claim(attempt.request.key) {
            self.submit_claimed(&record, attempt);
            return;
        }
        let refusal = state.refusal(attempt.request.key);
        match refusal.filter(|record| record.until > time.wall) {
            Some(record) => {
                let refusal = PendingRefusal {
                    entry: attempt.entry,
                    attempt: attempt.request.attempt,
                    reason: record.reason,
                    retry_after_ms: retry_after(time, &record),
                };
                // The recorded refusal blocks claims of the key until it expires. A leader that
                // was frozen may still read it after that, so the answer waits for a commit.
                self.resend_refusal(attempt.request.key, refusal);
            }
            None => self.submit_unclaimed(time, attempt),
        }
    }

    /// Handles a submit whose key has a claim. The attempt waits for the release or the outcome,
    /// receives the grant again, or is directed to the target that runs or ran the request.
    fn submit_claimed(&mut self, record: &ClaimRecord, attempt: AttemptRecord) {
        let open = matches!(record.phase, ClaimPhase::Open { .. });
        let Some(tracked) = self.requests.get_mut(&record.key).filter(|_| open) else {
            self.resume(record, &attempt);
            return;
        };
        let own = record.entry == attempt.entry
            && record.fingerprint == attempt.request.fingerprint
            && tracked
                .owner
                .as_ref()
                .is_none_or(|owner| owner.request.attempt == attempt.request.attempt);
        match (&tracked.stage, own) {
            // After a change of leader, the entry repeats the release and then the submit.
            (RequestStage::Releasing { .. }, true) => tracked.owner = Some(attempt),
            // The grant was lost with a link, and the entry still waits for it.
            (RequestStage::Granted { .. }, true) if !tracked.started => {
                self.resend_grant(record, attempt);
            }
            // The outcome is recorded when the proposed `Finish` is committed. Until then the
            // claim looks open, although a failed target has no stream to resume.
            (RequestStage::Granted { .. }, _)
                if (tracked.finish_proposed || !attempt.is_stream())
                    && record.fingerprint == attempt.request.fingerprint =>
            {
                tracked.duplicates.retain(|known| !known.is_same_attempt(&attempt));
                tracked.duplicates.push(attempt);
            }
            _ => self.resume(record, &attempt),
        }
    }

    fn submit_unclaimed(&mut self, time: StepTime, attempt: AttemptRecord) {
        let pool = attempt.request.pool.clone();
        if !self.pools.contains_key(&pool) {
            let refusal = PendingRefusal {
                entry: attempt.entry,
                attempt: attempt.request.attempt,
                reason: ReasonCode::NoRoute,
                retry_after_ms: DEFAULT_RETRY_AFTER_MS,
            };
            let key = attempt.request.key;
            self.propose_refusal(key, time.wall, ReasonCode::NoRoute, vec![refusal]);
            return;
        }
        let Some(tracked) = self.requests.get_mut(&attempt.request.key) else {
            self.enqueue(time, &pool, attempt, Vec::new());
            return;
        };
        let Some(owner) = &tracked.owner else { return };
        if owner.request.fingerprint != attempt.request.fingerprint {
            self.refuse(&attempt, RequestOutcome::Failed, ReasonCode::IdReused);
            return;
        }
        let known = tracked.duplicates.iter().any(|known| known.is_same_attempt(&attempt));
        if !owner.is_same_attempt(&attempt) && !known {
            tracked.duplicates.push(attempt);
        }
    }

    /// Adds a request to the queue of its pool.
    pub(super) fn enqueue(
        &mut self,
        time: StepTime,
        pool: &str,
        owner: AttemptRecord,
        duplicates: Vec<AttemptRecord>,
    ) {
        let (entry, request) = (owner.entry, owner.request.clone());
        let tracked = TrackedRequest {
            pool: pool.to_owned(),
            tier: request.tier,
            deadline: time.now.plus(u64::from(request.deadline_in_ms)),
            end_counted: false,
            stage: RequestStage::Waiting,
            owner: Some(owner),
            duplicates,
            started: false,
            restored: false,
            finish_proposed: false,
        };
        self.requests.insert(request.key, tracked);
        self.step_pool(time, pool, PoolInput::Submit { entry, request });
    }

    fn entry_reported(
        &mut self,
        time: StepTime,
        entry: NodeId,
        running: &[HeldClaim],
        state: &ReplicatedState,
    ) {
        for record in state.open_claims_of(entry) {
            let held = running.iter().any(|held| held.claim == record.claim);
            if held {
                self.regrants_due.remove(&record.key);
            } else {
                self.regrants_due.insert(record.key, time.now.plus(REGRANT_DELAY_MS));
            }
        }
        for held in running {
            self.mark_started(held);
        }
        self.step_all(time, || PoolInput::EntryReported { entry, running: running.to_vec() });
    }

    /// Repeats the grants of claims that their entries did not report as held.
    ///
    /// A grant can be lost with a link after its attempt has ended. The entry then answers the
    /// repeated grant with a release. Without it, the claim would stay open until the entry stops.
    pub(super) fn regrant_unreported_claims(&mut self, time: StepTime, state: &ReplicatedState) {
        let due = self.regrants_due.iter().filter(|(_, at)| **at <= time.now);
        let due: Vec<RequestKey> = due.map(|(key, _)| *key).collect();
        for key in due {
            self.regrants_due.remove(&key);
            let Some(record) = state.claim(key) else { continue };
            let Some(tracked) = self.requests.get(&key).filter(|tracked| !tracked.started) else {
                continue;
            };
            let attempt = tracked.owner.as_ref().map_or(0, |owner| owner.request.attempt);
            if tracked.stage == (RequestStage::Granted { claim: record.claim }) {
                self.send_grant(&record, attempt);
            }
        }
    }

    fn mark_started(&mut self, held: &HeldClaim) {
        if let Some(tracked) = self.requests.get_mut(&held.key) {
            tracked.started = true;
        }
    }

    fn progress(&mut self, time: StepTime, reports: Vec<StreamProgress>) {
        let mut by_pool: BTreeMap<String, Vec<StreamProgress>> = BTreeMap::new();
        for report in reports {
            if let Some(tracked) = self.requests.get_mut(&report.key) {
                tracked.started = true;
                by_pool.entry(tracked.pool.clone()).or_default().push(report);
            }
        }
        for (pool, reports) in by_pool {
            self.step_pool(time, &pool, PoolInput::Progress(reports));
        }
    }

    fn finish(&mut self, time: StepTime, report: FinishReport) {
        self.output.commands.push(StateCommand::Finish {
            key: report.key,
            claim: report.claim,
            outcome: report.outcome,
            reason: report.reason,
        });
        let Some(tracked) = self.requests.get_mut(&report.key) else { return };
        // A resend through the same entry must not receive the grant again before the commit.
        tracked.started = true;
        tracked.finish_proposed |= tracked.stage == RequestStage::Granted { claim: report.claim };
        let (pool, tier) = (tracked.pool.clone(), tracked.tier);
        if !std::mem::replace(&mut tracked.end_counted, true) {
            let prompt = tracked.owner.as_ref().map_or(0, |owner| owner.request.prompt_tokens);
            let kind = AdmissionEventKind::Ended {
                outcome: report.outcome,
                in_time: time.now <= tracked.deadline,
                wasted_tokens: match report.outcome {
                    RequestOutcome::Completed => 0,
                    _ => prompt.saturating_sub(report.cached_tokens),
                },
            };
            self.record_event(&pool, tier, kind);
        }
        // The slot is free immediately. The outcome is recorded by the commit.
        self.step_pool(time, &pool, PoolInput::Finish(report));
    }
}
