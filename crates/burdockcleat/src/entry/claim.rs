//! The claim filter: submits a request and waits for the leader's answer.

use super::caller::CallerConnection;
use super::refusal::FilterRefusal;
use super::request::RoutedRequest;
use super::session::ControlSession;
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::entry_agent::{AttemptAnswer, AttemptId};
use burdockcleat_core::keys::TargetIdentity;
use burdockcleat_core::message::{GrantTicket, SubmitRequest};
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// Interval at which a waiting attempt looks at its caller.
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
    answers: Receiver<AttemptAnswer>,
}

impl<'a> PendingClaim<'a> {
    /// Submits the request.
    pub fn submit(
        session: &'a ControlSession,
        caller: &'a CallerConnection,
        routed: &RoutedRequest,
    ) -> Self {
        let mut request = routed.submit.clone();
        request.deadline_in_ms = remaining(routed.deadline);
        let (attempt, answers) = session.submit(request.clone());
        request.attempt = attempt;
        Self { session, caller, request, deadline: routed.deadline, answers }
    }

    /// Waits for the answer to the attempt.
    ///
    /// # Errors
    /// Refuses if the leader does, or if the attempt was withdrawn.
    pub fn wait(&mut self) -> Result<ClaimAnswer, FilterRefusal> {
        loop {
            match self.answers.recv_timeout(POLL) {
                Ok(answer) => return self.take(answer),
                Err(RecvTimeoutError::Timeout) if self.caller.is_gone() => {
                    let (key, attempt) = (self.request.key, self.request.attempt);
                    self.session.withdraw(AttemptId { key, attempt });
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    let message = "the attempt was lost inside the entry";
                    return Err(FilterRefusal::early(ReasonCode::Internal, message));
                }
            }
        }
    }

    fn take(&self, answer: AttemptAnswer) -> Result<ClaimAnswer, FilterRefusal> {
        match answer {
            AttemptAnswer::Grant(ticket) if self.caller.is_gone() => {
                self.session.release(ticket.key, ticket.claim);
                Err(self.gave_up(RequestOutcome::NotRun))
            }
            AttemptAnswer::Grant(ticket) => Ok(ClaimAnswer::Granted(ticket)),
            AttemptAnswer::Refuse { outcome, reason, retry_after_ms } => {
                let message = "the scheduler refused the request";
                Err(FilterRefusal::known(outcome, reason, message, Some(retry_after_ms)))
            }
            AttemptAnswer::Resume { target, address, recorded } => {
                Ok(ClaimAnswer::Resume { target, address, recorded })
            }
            AttemptAnswer::Withdrawn { outcome } => Err(self.gave_up(outcome)),
        }
    }

    /// Returns a claim whose target could not be reached and waits for another grant.
    pub fn give_back(&mut self, ticket: &GrantTicket) {
        self.request.deadline_in_ms = remaining(self.deadline);
        self.answers = self.session.release_for_retry(self.request.clone(), ticket.claim);
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

fn remaining(deadline: ClockTime) -> u32 {
    u32::try_from(deadline.since(ClockTime::monotonic())).unwrap_or(u32::MAX)
}
