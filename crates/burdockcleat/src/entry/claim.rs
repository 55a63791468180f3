//! Claim filter: submits a request to the leader and waits for the decision.

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

/// Interval at which a waiting attempt checks whether its caller is still connected.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Retry hint, in milliseconds, if no leader answers. A failover takes up to 2.2 s.
const FAILOVER_RETRY_MS: u32 = 2_500;

/// Decision of the leader that lets the request proceed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request may be dispatched to the target of this ticket.
    Granted(GrantTicket),
    /// Another attempt owns the request.
    Resume {
        /// Target that runs or ran the request.
        target: TargetIdentity,
        /// Address of the target. Empty if unknown.
        address: String,
        /// Recorded outcome, if the request has ended.
        recorded: Option<RequestOutcome>,
    },
}

/// A submitted attempt that waits for the leader's decision.
pub struct PendingClaim<'a> {
    session: &'a ControlSession,
    caller: &'a CallerConnection,
    request: SubmitRequest,
    deadline: ClockTime,
    answers: Receiver<AttemptAnswer>,
}

impl<'a> PendingClaim<'a> {
    /// Submits the request to the leader.
    pub fn submit(
        session: &'a ControlSession,
        caller: &'a CallerConnection,
        routed: &RoutedRequest,
    ) -> Self {
        let mut request = routed.submit.clone();
        request.deadline_in_ms = remaining_ms(routed.deadline);
        let (attempt, answers) = session.submit(request.clone());
        request.attempt = attempt;
        Self { session, caller, request, deadline: routed.deadline, answers }
    }

    /// Waits for the decision on the attempt. Withdraws the attempt if the caller disconnects.
    ///
    /// # Errors
    /// Fails if the leader refuses the request or if the attempt was withdrawn.
    pub fn wait(&mut self) -> Result<ClaimOutcome, FilterRefusal> {
        loop {
            match self.answers.recv_timeout(POLL_INTERVAL) {
                Ok(answer) => return self.handle_answer(answer),
                Err(RecvTimeoutError::Timeout) if self.caller.is_gone() => {
                    let (key, attempt) = (self.request.key, self.request.attempt);
                    self.session.withdraw(AttemptId { key, attempt });
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    let message = "the attempt was lost inside the entry";
                    return Err(FilterRefusal::without_outcome(ReasonCode::Internal, message));
                }
            }
        }
    }

    fn handle_answer(&self, answer: AttemptAnswer) -> Result<ClaimOutcome, FilterRefusal> {
        match answer {
            AttemptAnswer::Grant(ticket) if self.caller.is_gone() => {
                self.session.release(ticket.key, ticket.claim);
                Err(self.withdrawal_refusal(RequestOutcome::NotRun))
            }
            AttemptAnswer::Grant(ticket) => Ok(ClaimOutcome::Granted(ticket)),
            AttemptAnswer::Refuse { outcome, reason, retry_after_ms } => {
                let message = "the scheduler refused the request";
                Err(FilterRefusal::with_outcome(outcome, reason, message, Some(retry_after_ms)))
            }
            AttemptAnswer::Resume { target, address, recorded } => {
                Ok(ClaimOutcome::Resume { target, address, recorded })
            }
            AttemptAnswer::Withdrawn { outcome } => Err(self.withdrawal_refusal(outcome)),
        }
    }

    /// Releases a claim whose target could not be reached and submits the request again.
    pub fn release_for_retry(&mut self, ticket: &GrantTicket) {
        self.request.deadline_in_ms = remaining_ms(self.deadline);
        self.answers = self.session.release_for_retry(self.request.clone(), ticket.claim);
    }

    fn withdrawal_refusal(&self, outcome: RequestOutcome) -> FilterRefusal {
        if self.caller.is_gone() {
            let message = "the caller closed its connection";
            return FilterRefusal::with_outcome(outcome, ReasonCode::CallerGone, message, None);
        }
        let (reason, message) = match outcome {
            RequestOutcome::NotRun => (ReasonCode::DeadlinePassed, "the deadline passed"),
            _ => (ReasonCode::NoLeader, "no control leader answered before the deadline"),
        };
        FilterRefusal::with_outcome(outcome, reason, message, Some(FAILOVER_RETRY_MS))
    }
}

fn remaining_ms(deadline: ClockTime) -> u32 {
    u32::try_from(deadline.since(ClockTime::monotonic())).unwrap_or(u32::MAX)
}
