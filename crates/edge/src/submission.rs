//! Timing of repeated submissions to the placement coordinator.
//!
//! Under overload, thousands of requests wait at the coordinator. Resubmitting requests that are
//! known to be queued there must not take the processor time that it needs to place them.

use burdockcleat_core::clock::ClockTime;

/// Pause before an unanswered submission is repeated, in ms. It covers several round trips.
pub const RESEND_MS: u64 = 30;
/// Silence of the coordinator after which another node is asked, in ms. It covers three
/// submissions.
pub const SILENCE_MS: u64 = 100;
/// First pause before a queued request is submitted again in case the decision was lost, in ms.
/// The pause doubles each time.
const QUEUED_RESEND_MS: u64 = 300;
/// Longest pause before a queued request is submitted again, in ms.
const MAX_QUEUED_RESEND_MS: u64 = 1_200;

/// Next action of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionStep {
    /// Submit the request, then ask for the next step.
    Submit,
    /// Ask for the next step after this many ms, unless a decision arrives first.
    Wait(u64),
    /// The coordinator does not respond.
    Silent,
}

/// Schedules the submissions of one request to a coordinator.
#[derive(Clone, Copy, Debug)]
pub struct SubmissionTimer {
    sent: Option<ClockTime>,
    /// Start of the current silence of the coordinator.
    unanswered_since: ClockTime,
    queued_pause_ms: u64,
}

impl SubmissionTimer {
    /// Creates a timer whose first step is a submission.
    pub const fn new(now: ClockTime) -> Self {
        Self { sent: None, unanswered_since: now, queued_pause_ms: QUEUED_RESEND_MS }
    }

    /// Returns the next step. `queued` is the time at which the coordinator last reported that the
    /// request is queued.
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
            // This process was suspended, and the answer may be waiting in its socket.
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
