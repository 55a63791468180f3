//! The claim filter: submits a request and waits for the leader's answer.

use super::caller::CallerConnection;
use super::refusal::FilterRefusal;
use super::request::RoutedRequest;
use super::session::{AttemptEvent, ControlSession};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::TargetIdentity;
use burdockcleat_core::message::{GrantTicket, SubmitRequest};
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// A grant older than this is not used, so that a frozen entry does not dispatch to a target
/// that has left meanwhile.
pub const GRANT_TTL_MS: u64 = 2_000;
/// Time after the deadline in which the leader's own refusal is expected.
const LEADER_GRACE_MS: u64 = 300;
/// Time for the leader to answer a withdrawal.
const WITHDRAW_GRACE_MS: u64 = 1_000;
/// Interval at which a waiting attempt looks at its caller and its deadline.
const POLL: Duration = Duration::from_millis(20);
/// When to come back if no leader answers: a failover takes up to 2.2 s.
const FAILOVER_RETRY_MS: u32 = 2_500;

/// Answer of the leader that lets the request go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// Dispatch to this target.
    Granted(GrantTicket),
    /// Another attempt owns the request.
    Resume {
        /// Target that ran or runs it.
        target: TargetIdentity,
        /// Address of the target, empty if unknown.
        address: String,
        /// Recorded outcome, if the request has ended.
        recorded: Option<RequestOutcome>,
    },
}

/// One attempt that waits for its grant.
pub struct PendingClaim<'a> {
    session: &'a ControlSession,
    caller: &'a CallerConnection,
    request: SubmitRequest,
    deadline: ClockTime,
    answers: Receiver<AttemptEvent>,
}

impl<'a> PendingClaim<'a> {
    /// Submits the request.
    pub fn submit(
        session: &'a ControlSession,
        caller: &'a CallerConnection,
        routed: &RoutedRequest,
    ) -> Self {
        let mut request = routed.submit.clone();
        let (attempt, answers) = session.submit(request.clone());
        request.attempt = attempt;
        Self { session, caller, request, deadline: routed.deadline, answers }
    }

    /// Waits for the leader's answer. An outdated grant is given back and waited for again.
    ///
    /// # Errors
    /// Refuses if the leader does, or if no answer arrives in time.
    pub fn wait(&mut self) -> Result<ClaimAnswer, FilterRefusal> {
        let mut withdrawn = None;
        loop {
            match self.answers.recv_timeout(POLL) {
                Ok(AttemptEvent::Grant(ticket)) => {
                    if withdrawn.is_some() || self.caller.is_gone() {
                        self.session.release(ticket.key, ticket.claim, false);
                        return Err(self.gave_up(RequestOutcome::NotRun));
                    }
                    if is_fresh(&ticket) && self.session.is_ready() {
                        return Ok(ClaimAnswer::Granted(ticket));
                    }
                    self.give_back(&ticket);
                }
                Ok(AttemptEvent::Refuse { outcome, reason, retry_after_ms }) => {
                    let message = "the scheduler refused the request";
                    return Err(FilterRefusal::known(
                        outcome,
                        reason,
                        message,
                        Some(retry_after_ms),
                    ));
                }
                Ok(AttemptEvent::Resume { target, address, recorded }) => {
                    return Ok(ClaimAnswer::Resume { target, address, recorded });
                }
                Err(RecvTimeoutError::Timeout) => self.check_time(&mut withdrawn)?,
                Err(RecvTimeoutError::Disconnected) => {
                    let message = "the attempt was lost inside the entry";
                    return Err(FilterRefusal::early(ReasonCode::Internal, message));
                }
            }
        }
    }

    /// Returns a claim whose target could not be reached and waits for another grant.
    pub fn give_back(&mut self, ticket: &GrantTicket) {
        let remaining = self.deadline.since(ClockTime::monotonic());
        self.request.deadline_in_ms = u32::try_from(remaining).unwrap_or(u32::MAX);
        self.answers = self.session.release_for_retry(self.request.clone(), ticket.claim);
    }

    /// Withdraws the attempt when its caller or its time is gone.
    fn check_time(&self, withdrawn: &mut Option<ClockTime>) -> Result<(), FilterRefusal> {
        let now = ClockTime::monotonic();
        let (key, attempt) = (self.request.key, self.request.attempt);
        match *withdrawn {
            None => {
                let late = now >= self.deadline.plus(LEADER_GRACE_MS);
                if late || self.caller.is_gone() {
                    self.session.withdraw(key, attempt);
                    *withdrawn = Some(now);
                }
                Ok(())
            }
            Some(time) if now.since(time) > WITHDRAW_GRACE_MS => {
                // A grant that arrives later finds no attempt and is released by the session.
                self.session.forget(key, attempt);
                Err(self.gave_up(RequestOutcome::Unknown))
            }
            Some(_) => Ok(()),
        }
    }

    fn gave_up(&self, outcome: RequestOutcome) -> FilterRefusal {
        if self.caller.is_gone() {
            let message = "the caller closed its connection";
            return FilterRefusal::known(outcome, ReasonCode::CallerGone, message, None);
        }
        let (reason, message) = match outcome {
            RequestOutcome::NotRun => (ReasonCode::DeadlinePassed, "the deadline passed"),
            _ => (ReasonCode::NoLeader, "no control leader answered before the deadline"),
        };
        FilterRefusal::known(outcome, reason, message, Some(FAILOVER_RETRY_MS))
    }
}

/// Whether a grant may still be used.
pub fn is_fresh(ticket: &GrantTicket) -> bool {
    ClockTime::monotonic().since(ticket.entry_time) <= GRANT_TTL_MS
}
