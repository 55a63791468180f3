//! When a request that another node is to place is submitted again.
//!
//! Answers an overload in which thousands of requests wait at the placing node: submissions of
//! requests that are known to wait there must not cost it the time that it needs to place them.

use burdockcleat_core::clock::ClockTime;

/// Pause before a submission without an answer is repeated, in ms: several round trips.
pub const RESEND_MS: u64 = 30;
/// Silence of the placing node after which another one is asked, in ms: three submissions.
pub const SILENCE_MS: u64 = 100;
/// First pause before a request that waits at the placing node is submitted again, in case the
/// decision was lost, in ms. Doubled each time.
const QUEUED_RESEND_MS: u64 = 300;
/// Longest such pause, in ms.
const MAX_QUEUED_RESEND_MS: u64 = 1_200;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionStep {
    /// Submit the request, and look again.
    Submit,
    /// Look again after so many ms, unless a decision comes first.
    Wait(u64),
    /// The placing node does not answer.
    Silent,
}

/// A request on its way to a placing node.
#[derive(Clone, Copy, Debug)]
pub struct SubmissionTimer {
    sent: Option<ClockTime>,
    /// Start of the silence.
    unanswered_since: ClockTime,
    queued_pause_ms: u64,
}

impl SubmissionTimer {
    /// Starts with a first submission.
    pub const fn new(now: ClockTime) -> Self {
        Self { sent: None, unanswered_since: now, queued_pause_ms: QUEUED_RESEND_MS }
    }

    /// Decides what to do next. `queued` is when the placing node told last that the request waits.
    pub fn step(&mut self, queued: Option<ClockTime>, now: ClockTime) -> SubmissionStep {
        let Some(sent) = self.sent else { return self.submit(now) };
        let answered = queued.filter(|heard| *heard >= sent);
        let due =
            answered.map_or_else(|| sent.plus(RESEND_MS), |heard| heard.plus(self.queued_pause_ms));
        if now < due {
            return SubmissionStep::Wait(due.since(now));
        }
        if answered.is_some() {
            self.queued_pause_ms = (self.queued_pause_ms * 2).min(MAX_QUEUED_RESEND_MS);
            self.unanswered_since = now;
        } else if now.since(due) > RESEND_MS {
            // This process stood still: the answer may be waiting in its socket.
            self.unanswered_since = now;
        } else if now.since(self.unanswered_since) >= SILENCE_MS {
            return SubmissionStep::Silent;
        }
        self.submit(now)
    }

    fn submit(&mut self, now: ClockTime) -> SubmissionStep {
        self.sent = Some(now);
        SubmissionStep::Submit
    }
}
