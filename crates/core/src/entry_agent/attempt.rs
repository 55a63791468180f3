//! Handles attempts that wait for a grant, and granted requests.

use super::{
    AttemptAnswer, AttemptId, EntryAgent, EntryOutput, HeldGrant, LEADER_GRACE_MS,
    WITHDRAW_GRACE_MS, WaitingAttempt,
};
use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, LinkKey, RequestKey};
use crate::message::{EntryMessage, GrantTicket, SubmitRequest};
use crate::outcome::RequestOutcome;

impl EntryAgent {
    pub(super) fn submit(&mut self, now: ClockTime, request: SubmitRequest) {
        self.add_waiting(now, request.clone());
        self.send_leader(EntryMessage::Submit(request));
    }

    pub(super) fn retry(&mut self, now: ClockTime, request: SubmitRequest, claim: ClaimNumber) {
        let key = request.key;
        // Registered before the release is sent, so that the next grant finds the attempt.
        self.add_waiting(now, request);
        self.release_claim(now, key, claim, true);
    }

    fn add_waiting(&mut self, now: ClockTime, request: SubmitRequest) {
        let id = AttemptId { key: request.key, attempt: request.attempt };
        let deadline = now.plus(u64::from(request.deadline_in_ms));
        self.waiting.insert(id, WaitingAttempt { request, deadline, withdrawn: None });
    }

    /// Submits the waiting attempts to a leader that may not know them. Repeats the withdrawal
    /// instead if an attempt was withdrawn.
    pub(super) fn resubmit_waiting(&mut self, now: ClockTime, link: LinkKey) {
        let mut messages = Vec::new();
        for (id, attempt) in &self.waiting {
            if attempt.withdrawn.is_some() {
                messages.push(EntryMessage::Withdraw { key: id.key, attempt: id.attempt });
                continue;
            }
            let mut request = attempt.request.clone();
            request.deadline_in_ms = remaining_ms(now, attempt.deadline);
            messages.push(EntryMessage::Submit(request));
        }
        for message in messages {
            self.send(link, message);
        }
    }

    /// Withdraws an attempt. The leader answers unless it has already granted the request.
    pub(super) fn withdraw(&mut self, now: ClockTime, id: AttemptId) {
        let Some(attempt) = self.waiting.get_mut(&id) else { return };
        if attempt.withdrawn.is_none() {
            attempt.withdrawn = Some(now);
            self.send_leader(EntryMessage::Withdraw { key: id.key, attempt: id.attempt });
        }
    }

    /// Withdraws attempts that are past their deadline, and ends withdrawn attempts that no leader
    /// answers in time.
    pub(super) fn expire_waiting(&mut self, now: ClockTime) {
        let mut late = Vec::new();
        let mut unanswered = Vec::new();
        for (id, attempt) in &self.waiting {
            match attempt.withdrawn {
                None if now >= attempt.deadline.plus(LEADER_GRACE_MS) => late.push(*id),
                Some(at)
                    if now.since(at) > WITHDRAW_GRACE_MS && self.rules.time_out_withdrawals =>
                {
                    unanswered.push(*id);
                }
                _ => {}
            }
        }
        for id in late {
            self.withdraw(now, id);
        }
        for id in unanswered {
            // The claim of a grant that arrives later is released, as no attempt waits for it.
            self.answer(id, AttemptAnswer::Withdrawn { outcome: RequestOutcome::Unknown });
        }
    }

    /// Answers an attempt if it is still waiting.
    pub(super) fn answer(&mut self, id: AttemptId, answer: AttemptAnswer) {
        if self.waiting.remove(&id).is_some() {
            self.outputs.push(EntryOutput::Answer { id, answer });
        }
    }

    pub(super) fn handle_grant(&mut self, now: ClockTime, ticket: GrantTicket) {
        let (key, claim) = (ticket.key, ticket.claim);
        let id = AttemptId { key, attempt: ticket.attempt };
        let held = self.held.get(&key).is_some_and(|held| held.claim == claim);
        if held && self.rules.one_attempt_per_claim {
            // Another attempt of this entry holds the claim, or the grant was sent twice.
            let GrantTicket { target, address, .. } = ticket;
            self.answer(id, AttemptAnswer::Resume { target, address, recorded: None });
            return;
        }
        let closed = self.closed.get(&key).filter(|closed| closed.claim >= claim);
        if let Some(closed) = closed.filter(|_| self.rules.reject_closed_claims) {
            // The grant was sent before the report arrived. After a release, the attempt continues
            // to wait for the grant of another claim.
            if let recorded @ Some(_) = closed.ended {
                let GrantTicket { target, address, .. } = ticket;
                self.answer(id, AttemptAnswer::Resume { target, address, recorded });
            }
            return;
        }
        let withdrawn = self.waiting.get(&id).map(|attempt| attempt.withdrawn.is_some());
        if withdrawn != Some(false) && self.rules.check_waiting {
            self.release_claim(now, key, claim, false);
            self.answer(id, AttemptAnswer::Withdrawn { outcome: RequestOutcome::NotRun });
            return;
        }
        if !self.is_grant_fresh(now, ticket.entry_time) || !self.is_ready(now) {
            self.release_claim(now, key, claim, true);
            return;
        }
        let entry_time = ticket.entry_time;
        self.held.insert(key, HeldGrant { claim, entry_time, running: false, cancel: None });
        self.waiting.remove(&id);
        self.outputs.push(EntryOutput::Answer { id, answer: AttemptAnswer::Grant(ticket) });
    }

    pub(super) fn start_running(&mut self, key: RequestKey, claim: ClaimNumber) {
        let Some(held) = self.held.get_mut(&key).filter(|held| held.claim == claim) else { return };
        held.running = true;
        self.outputs.extend(held.cancel.take());
    }

    /// Forwards a cancel order to the running request, or stores it until the request starts.
    pub(super) fn cancel(&mut self, key: RequestKey, claim: ClaimNumber, order: EntryOutput) {
        let Some(held) = self.held.get_mut(&key).filter(|held| held.claim == claim) else { return };
        match held.running {
            true => self.outputs.push(order),
            false => held.cancel = Some(order),
        }
    }
}

/// Time until the deadline of a request, in milliseconds.
fn remaining_ms(now: ClockTime, deadline: ClockTime) -> u32 {
    u32::try_from(deadline.since(now)).unwrap_or(u32::MAX)
}
