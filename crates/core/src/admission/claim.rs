//! Proposes claims for placed requests, sends grants, and applies committed commands.

use super::{
    AdmissionController, AttemptRecord, DEFAULT_RETRY_AFTER_MS, PendingRefusal, RequestStage,
    StepTime, TrackedRequest,
};
use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, NodeId, RequestKey, TargetIdentity};
use crate::message::{ControlMessage, GrantTicket};
use crate::outcome::{ReasonCode, RequestOutcome};
use crate::pool::PoolInput;
use crate::registry::TargetKey;
use crate::state::{
    ClaimPhase, ClaimRecord, ClaimReply, ClaimRequest, CloseReply, CommandReply, RefusalRecord,
    RefuseReply, ReplicatedState, StateCommand,
};

impl AdmissionController {
    /// Handles a command that was committed and applied to the replicated state.
    pub fn committed(
        &mut self,
        time: StepTime,
        command: &StateCommand,
        reply: &CommandReply,
        state: &ReplicatedState,
    ) {
        match (command, reply) {
            (StateCommand::Claim(request), CommandReply::Claim(reply)) => match reply {
                ClaimReply::Created(claim) => self.grant(time, request, *claim),
                ClaimReply::AlreadyOpen(record) | ClaimReply::AlreadyEnded(record) => {
                    self.claim_conflicted(time, record);
                }
                ClaimReply::Refused(record) => self.claim_blocked_by_refusal(time, record),
            },
            (StateCommand::Refuse { key, .. }, CommandReply::Refuse(reply)) => {
                self.refusal_committed(*key, reply);
            }
            (StateCommand::Release { key, claim }, CommandReply::Close(reply)) => {
                self.release_committed(time, *key, *claim, reply);
            }
            (StateCommand::Finish { key, claim, .. }, CommandReply::Close(_)) => {
                self.finish_committed(*key, *claim, state);
            }
            (StateCommand::ExpireClaims, CommandReply::Expired(reply))
                if !reply.ended.is_empty() =>
            {
                self.claims_expired(&reply.ended, state);
            }
            _ => {}
        }
    }

    /// Proposes the claim for a request that a pool assigned to a target.
    pub(super) fn propose_claim(
        &mut self,
        time: StepTime,
        pool: &str,
        key: RequestKey,
        owner: (NodeId, u32),
        target: TargetKey,
    ) {
        let announced = self.registry.get(target).map(|record| &record.announcement);
        let tracked = self.requests.get_mut(&key).filter(|tracked| {
            tracked
                .owner
                .as_ref()
                .is_some_and(|attempt| (attempt.entry, attempt.request.attempt) == owner)
        });
        let (Some(announced), Some(tracked)) = (announced, tracked) else {
            self.step_pool(time, pool, PoolInput::ClaimRefused { key });
            return;
        };
        let Some(AttemptRecord { entry, request }) = &tracked.owner else { return };
        let claim = ClaimRequest {
            key,
            fingerprint: request.fingerprint,
            target: announced.identity(),
            address: announced.address.clone(),
            entry: *entry,
            workspace: request.workspace.clone(),
            pool: pool.to_owned(),
            tier: request.tier,
            idempotent: request.idempotent,
            deadline: time.wall.plus(u64::from(request.deadline_in_ms)),
        };
        tracked.stage =
            RequestStage::Claiming { target: claim.target.clone(), address: claim.address.clone() };
        self.output.commands.push(StateCommand::Claim(claim));
    }

    fn grant(&mut self, time: StepTime, request: &ClaimRequest, claim: ClaimNumber) {
        let Some(tracked) = self.requests.get_mut(&request.key) else { return };
        let pool = tracked.pool.clone();
        // A running stream can be resumed. A call to a plain service has only an outcome, so its
        // duplicates wait for the end.
        let duplicates = match tracked.owner.as_ref().is_some_and(AttemptRecord::is_stream) {
            true => std::mem::take(&mut tracked.duplicates),
            false => Vec::new(),
        };
        tracked.stage = RequestStage::Granted { claim };
        let attempt = tracked.owner.as_ref().map_or(0, |owner| owner.request.attempt);
        let ticket = GrantTicket {
            key: request.key,
            attempt,
            claim,
            target: request.target.clone(),
            address: request.address.clone(),
            entry_time: self.grant_time(request.entry, &request.target),
        };
        self.output.messages.push((request.entry, ControlMessage::Grant(ticket)));
        for duplicate in duplicates {
            let resume = ControlMessage::Resume {
                key: request.key,
                attempt: duplicate.request.attempt,
                target: request.target.clone(),
                address: request.address.clone(),
                recorded: None,
            };
            self.output.messages.push((duplicate.entry, resume));
        }
        self.step_pool(time, &pool, PoolInput::ClaimCommitted { key: request.key, claim });
    }

    /// Removes a request that has ended and sends its outcome to the waiting duplicates.
    fn finish_committed(&mut self, key: RequestKey, claim: ClaimNumber, state: &ReplicatedState) {
        let ended = self.requests.get(&key).is_some_and(|tracked| {
            matches!(tracked.stage, RequestStage::Granted { claim: held } if held == claim)
        });
        if !ended {
            return;
        }
        let Some(tracked) = self.requests.remove(&key) else { return };
        let Some(record) = state.claim(key) else { return };
        for attempt in tracked.duplicates {
            self.resume(&record, &attempt);
        }
    }

    /// Repeats the grant of a committed claim for the attempt that still waits for it.
    pub(super) fn resend_grant(&mut self, record: &ClaimRecord, attempt: AttemptRecord) {
        self.send_grant(record, attempt.request.attempt);
        if let Some(tracked) = self.requests.get_mut(&record.key) {
            tracked.owner = Some(attempt);
        }
    }

    pub(super) fn send_grant(&mut self, record: &ClaimRecord, attempt: u32) {
        let ticket = GrantTicket {
            key: record.key,
            attempt,
            claim: record.claim,
            target: record.target.clone(),
            address: record.address.clone(),
            entry_time: self.grant_time(record.entry, &record.target),
        };
        self.output.messages.push((record.entry, ControlMessage::Grant(ticket)));
    }

    /// Returns the reading of the entry's clock from which the entry computes the age of a grant.
    ///
    /// A claim can stay open after its target has left, for example while the link to the entry is
    /// broken. A grant sent after that carries time zero, so the entry considers it expired and
    /// releases the claim.
    fn grant_time(&self, entry: NodeId, target: &TargetIdentity) -> ClockTime {
        let target = self.registry.find(target);
        match target.is_some_and(|target| self.registry.is_eligible(target)) {
            true => self.entry_time(entry),
            false => ClockTime::default(),
        }
    }

    /// Handles a claim that conflicts with one recorded by another leader.
    fn claim_conflicted(&mut self, time: StepTime, record: &ClaimRecord) {
        let Some(tracked) = self.requests.remove(&record.key) else { return };
        self.step_pool(time, &tracked.pool, PoolInput::ClaimRefused { key: record.key });
        for attempt in tracked.owner.into_iter().chain(tracked.duplicates) {
            self.resume(record, &attempt);
        }
        if matches!(record.phase, ClaimPhase::Open { .. }) {
            self.track_claim(time, record);
        }
    }

    /// Handles a claim that is blocked by a refusal recorded by an earlier leader.
    fn claim_blocked_by_refusal(&mut self, time: StepTime, record: &RefusalRecord) {
        let Some(tracked) = self.requests.get(&record.key) else { return };
        let pool = tracked.pool.clone();
        self.step_pool(time, &pool, PoolInput::ClaimRefused { key: record.key });
        let retry_after_ms = retry_after(time, record);
        self.refuse_all(time, record.key, RequestOutcome::NotRun, record.reason, retry_after_ms);
    }

    /// Answers the refused attempts after the refusal is committed.
    fn refusal_committed(&mut self, key: RequestKey, reply: &RefuseReply) {
        for refusal in self.refusals.remove(&key).unwrap_or_default() {
            match reply {
                RefuseReply::Recorded => self.send_refusal(key, RequestOutcome::NotRun, refusal),
                RefuseReply::AlreadyClaimed(record) => {
                    self.resume_attempt(record, refusal.entry, refusal.attempt);
                }
            }
        }
    }

    /// Directs an attempt to the target that runs or ran the request. Refuses the attempt if it
    /// reuses the request id for different content.
    pub(super) fn resume(&mut self, record: &ClaimRecord, attempt: &AttemptRecord) {
        if record.fingerprint != attempt.request.fingerprint {
            self.refuse(attempt, RequestOutcome::Failed, ReasonCode::IdReused);
            return;
        }
        self.resume_attempt(record, attempt.entry, attempt.request.attempt);
    }

    fn resume_attempt(&mut self, record: &ClaimRecord, entry: NodeId, attempt: u32) {
        let recorded = match record.phase {
            ClaimPhase::Open { .. } => None,
            ClaimPhase::Ended { outcome, .. } => Some(outcome),
        };
        let replaced = self.registry.iter().any(|(_, known)| {
            let announced = &known.announcement;
            announced.name == record.target.name
                && announced.incarnation > record.target.incarnation
        });
        let address = if replaced { String::new() } else { record.address.clone() };
        let target = record.target.clone();
        let key = record.key;
        let message = ControlMessage::Resume { key, attempt, target, address, recorded };
        self.output.messages.push((entry, message));
    }

    fn release_committed(
        &mut self,
        time: StepTime,
        key: RequestKey,
        claim: ClaimNumber,
        reply: &CloseReply,
    ) {
        let Some(tracked) = self.requests.get_mut(&key) else { return };
        let RequestStage::Releasing { claim: held, retry } = tracked.stage else { return };
        if held != claim {
            return;
        }
        let pool = tracked.pool.clone();
        // The scheduler does not have the request of a restored claim, and it drops a request
        // when its entry is lost.
        let known =
            !tracked.restored && self.pools.get(&pool).is_some_and(|pool| pool.contains(key));
        if *reply == CloseReply::Accepted && retry && known {
            tracked.stage = RequestStage::Waiting;
            tracked.started = false;
            self.step_pool(time, &pool, PoolInput::Release { key, claim, retry });
            return;
        }
        let Some(tracked) = self.requests.remove(&key) else { return };
        self.step_pool(time, &pool, PoolInput::Release { key, claim, retry: false });
        let owner = tracked.owner.filter(|_| retry);
        let mut waiting = owner.into_iter().chain(tracked.duplicates);
        match reply {
            CloseReply::AlreadyEnded(record) => {
                for attempt in waiting {
                    self.resume(record, &attempt);
                }
            }
            _ => {
                if let Some(next) = waiting.next() {
                    self.enqueue(time, &pool, next, waiting.collect());
                }
            }
        }
    }

    /// Removes the requests of lost entries whose claims expired without a report.
    fn claims_expired(&mut self, ended: &[ClaimNumber], state: &ReplicatedState) {
        let is_ended = |tracked: &TrackedRequest| matches!(tracked.stage, RequestStage::Granted { claim } if ended.contains(&claim));
        let ended = self.requests.iter().filter(|(_, tracked)| is_ended(tracked));
        let mut keys: Vec<RequestKey> = ended.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        for key in keys {
            let Some(tracked) = self.requests.remove(&key) else { continue };
            let Some(record) = state.claim(key) else { continue };
            for attempt in tracked.duplicates {
                self.resume(&record, &attempt);
            }
        }
    }

    /// Proposes the release of a claim that its owner returned without dispatching the request.
    pub(super) fn release(&mut self, key: RequestKey, claim: ClaimNumber, retry: bool) {
        let Some(tracked) = self.requests.get_mut(&key) else { return };
        if tracked.stage != (RequestStage::Granted { claim }) {
            return;
        }
        tracked.stage = RequestStage::Releasing { claim, retry };
        self.output.commands.push(StateCommand::Release { key, claim });
    }

    /// Withdraws an attempt whose caller disconnected or whose deadline has passed.
    pub(super) fn withdraw(
        &mut self,
        time: StepTime,
        from: NodeId,
        key: RequestKey,
        number: u32,
        state: &ReplicatedState,
    ) {
        let is_attempt =
            |attempt: &AttemptRecord| attempt.entry == from && attempt.request.attempt == number;
        let Some(tracked) = self.requests.get_mut(&key) else {
            let outcome = match state.claim(key) {
                None => RequestOutcome::NotRun,
                Some(_) => RequestOutcome::Unknown,
            };
            self.answer_withdrawal(time, from, key, number, outcome);
            return;
        };
        if let Some(position) = tracked.duplicates.iter().position(is_attempt) {
            tracked.duplicates.remove(position);
            // Another attempt may still run the request, so `NotRun` would be wrong.
            self.answer_withdrawal(time, from, key, number, RequestOutcome::Unknown);
            return;
        }
        let owns = tracked.owner.as_ref().is_some_and(is_attempt);
        if let RequestStage::Releasing { claim, retry: true } = tracked.stage
            && owns
        {
            tracked.stage = RequestStage::Releasing { claim, retry: false };
            let outcome = match tracked.duplicates.is_empty() {
                true => RequestOutcome::NotRun,
                false => RequestOutcome::Unknown,
            };
            self.answer_withdrawal(time, from, key, number, outcome);
            return;
        }
        if !owns || tracked.stage != RequestStage::Waiting {
            // A claim was proposed or committed. The entry releases it when the grant arrives.
            return;
        }
        let tracked = self.requests.remove(&key);
        let Some(TrackedRequest { pool, mut duplicates, .. }) = tracked else { return };
        self.step_pool(time, &pool, PoolInput::Withdraw { key });
        if duplicates.is_empty() {
            self.answer_withdrawal(time, from, key, number, RequestOutcome::NotRun);
            return;
        }
        self.answer_withdrawal(time, from, key, number, RequestOutcome::Unknown);
        let next = duplicates.remove(0);
        self.enqueue(time, &pool, next, duplicates);
    }

    /// Answers a withdrawal. The key stays claimable, since a caller that disconnected may resend
    /// immediately.
    fn answer_withdrawal(
        &mut self,
        time: StepTime,
        entry: NodeId,
        key: RequestKey,
        attempt: u32,
        outcome: RequestOutcome,
    ) {
        let reason = ReasonCode::DeadlinePassed;
        let refusal =
            PendingRefusal { entry, attempt, reason, retry_after_ms: DEFAULT_RETRY_AFTER_MS };
        match outcome {
            RequestOutcome::NotRun => {
                self.propose_refusal(key, time.wall, reason, vec![refusal]);
            }
            _ => self.send_refusal(key, outcome, refusal),
        }
    }

    fn entry_time(&self, entry: NodeId) -> ClockTime {
        self.entries.get(&entry).map_or(ClockTime::default(), |record| record.entry_time)
    }
}

/// Time until a recorded refusal ends, in milliseconds.
pub(super) fn retry_after(time: StepTime, record: &RefusalRecord) -> u32 {
    u32::try_from(record.until.since(time.wall)).unwrap_or(u32::MAX)
}
