//! Reports of finished and released claims.
//!
//! A report is kept until a leader certainly has it. The frames of a link arrive in order, and a
//! leader answers a question only after a record that it appended later is committed. So a leader
//! that answers, in the same term and over the same link, a question that followed the report has
//! received the report while it led. An answer to an earlier question proves nothing.

use super::{EntryAgent, FollowedLeader, GRANT_TTL_MS};
use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, RequestKey};
use crate::message::{EntryMessage, FinishReport};
use crate::outcome::RequestOutcome;

/// Time for which a closed claim is remembered after its report was confirmed. A grant that was
/// sent before that is too old to be used afterwards.
const CLOSED_KEPT_MS: u64 = 2 * GRANT_TTL_MS;

/// The newest claim of a key that this entry gave back or whose request ended here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ClosedClaim {
    pub(super) claim: ClaimNumber,
    /// How the request ended, if it was dispatched.
    pub(super) ended: Option<RequestOutcome>,
    at: ClockTime,
}

/// A report that a leader may not have received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingReport {
    message: EntryMessage,
    /// To which leader the report was sent last, and when.
    sent: Option<(FollowedLeader, ClockTime)>,
}

impl EntryAgent {
    pub(super) fn finish(&mut self, now: ClockTime, report: FinishReport) {
        let (key, claim) = (report.key, report.claim);
        self.close(now, key, claim, EntryMessage::Finish(report));
    }

    /// Returns a claim that was not used.
    pub(super) fn give_back(
        &mut self,
        now: ClockTime,
        key: RequestKey,
        claim: ClaimNumber,
        retry: bool,
    ) {
        self.close(now, key, claim, EntryMessage::Release { key, claim, retry });
    }

    fn close(
        &mut self,
        now: ClockTime,
        key: RequestKey,
        claim: ClaimNumber,
        message: EntryMessage,
    ) {
        if self.held.get(&key).is_some_and(|held| held.claim == claim) {
            self.held.remove(&key);
            self.progress.remove(&key);
        }
        let ended = match &message {
            EntryMessage::Finish(report) => Some(report.outcome),
            _ => None,
        };
        if self.closed.get(&key).is_none_or(|closed| closed.claim < claim) {
            self.closed.insert(key, ClosedClaim { claim, ended, at: now });
        }
        self.send_leader(message.clone());
        let sent = self.leader.map(|leader| (leader, now));
        self.reports.insert((key, claim), PendingReport { message, sent });
    }

    pub(super) fn send_reports(&mut self, now: ClockTime, leader: FollowedLeader) {
        let mut messages = Vec::new();
        for report in self.reports.values_mut() {
            report.sent = Some((leader, now));
            messages.push(report.message.clone());
        }
        for message in messages {
            self.send(leader.link, message);
        }
    }

    /// Forgets the reports that a leader certainly has.
    pub(super) fn confirm_reports(&mut self, leader: FollowedLeader, entry_time: ClockTime) {
        let checked = self.rules.confirm_reports;
        self.reports.retain(|_, report| {
            // A question with the same reading may have been sent just before the report.
            checked && !report.sent.is_some_and(|(to, at)| to == leader && at < entry_time)
        });
    }

    pub(super) fn forget_closed(&mut self, now: ClockTime) {
        let reports = &self.reports;
        self.closed.retain(|key, closed| {
            reports.contains_key(&(*key, closed.claim)) || now.since(closed.at) <= CLOSED_KEPT_MS
        });
    }
}
