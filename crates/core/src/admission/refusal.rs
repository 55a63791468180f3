//! Refuses attempts. A `not_run` refusal waits until its record is committed.

use super::{AdmissionController, AttemptRecord, DEFAULT_RETRY_AFTER_MS, PendingRefusal, StepTime};
use crate::clock::ClockTime;
use crate::keys::RequestKey;
use crate::message::ControlMessage;
use crate::outcome::{ReasonCode, RequestOutcome};
use crate::state::StateCommand;

impl AdmissionController {
    /// Refuses all attempts of a request and removes it.
    pub(super) fn refuse_all(
        &mut self,
        time: StepTime,
        key: RequestKey,
        outcome: RequestOutcome,
        reason: ReasonCode,
        retry_after_ms: u32,
    ) {
        let Some(tracked) = self.requests.remove(&key) else { return };
        let refusals: Vec<PendingRefusal> = tracked
            .owner
            .into_iter()
            .chain(tracked.duplicates)
            .map(|attempt| PendingRefusal {
                entry: attempt.entry,
                attempt: attempt.request.attempt,
                reason,
                retry_after_ms,
            })
            .collect();
        if outcome == RequestOutcome::NotRun {
            let until = time.wall.plus(u64::from(retry_after_ms));
            self.propose_refusal(key, until, reason, refusals);
            return;
        }
        for refusal in refusals {
            self.send_refusal(key, outcome, refusal);
        }
    }

    /// Proposes the record of a refusal. The attempts are answered after it is committed.
    ///
    /// The record blocks claims of the key before `until`. An early resend therefore costs only a
    /// lookup, and a delayed message of an earlier attempt cannot run the request.
    pub(super) fn propose_refusal(
        &mut self,
        key: RequestKey,
        until: ClockTime,
        reason: ReasonCode,
        refusals: Vec<PendingRefusal>,
    ) {
        self.output.commands.push(StateCommand::Refuse { key, until, reason });
        if self.rules.confirm_not_run {
            self.refusals.entry(key).or_default().extend(refusals);
            return;
        }
        for refusal in refusals {
            self.send_refusal(key, RequestOutcome::NotRun, refusal);
        }
    }

    /// Answers an attempt with a recorded refusal, after a commit has shown that this leader is
    /// still the current one.
    pub(super) fn resend_refusal(&mut self, key: RequestKey, refusal: PendingRefusal) {
        let PendingRefusal { entry, attempt, reason, retry_after_ms } = refusal;
        let outcome = RequestOutcome::NotRun;
        let message = ControlMessage::Refuse { key, attempt, outcome, reason, retry_after_ms };
        self.output.after_commit.push((entry, message));
    }

    pub(super) fn send_refusal(
        &mut self,
        key: RequestKey,
        outcome: RequestOutcome,
        refusal: PendingRefusal,
    ) {
        let PendingRefusal { entry, attempt, reason, retry_after_ms } = refusal;
        let message = ControlMessage::Refuse { key, attempt, outcome, reason, retry_after_ms };
        self.output.messages.push((entry, message));
    }

    /// Refuses one attempt with an outcome that requires no record in the log.
    pub(super) fn refuse(
        &mut self,
        attempt: &AttemptRecord,
        outcome: RequestOutcome,
        reason: ReasonCode,
    ) {
        let refusal = PendingRefusal {
            entry: attempt.entry,
            attempt: attempt.request.attempt,
            reason,
            retry_after_ms: DEFAULT_RETRY_AFTER_MS,
        };
        self.send_refusal(attempt.request.key, outcome, refusal);
    }
}
