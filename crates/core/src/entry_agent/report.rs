//! Reports finished and released claims to the leader.
//!
//! A report is kept until a leader has confirmed it. Frames arrive in order on a link, and a leader
//! answers a heartbeat only after a record that it appended after receiving it is committed. An
//! answer, in the same term and over the same link, to a heartbeat sent after the report therefore
//! proves that the leader received the report while it led. An answer to an earlier heartbeat
//! proves nothing.

use super::{EntryAgent, FollowedLeader, GRANT_TTL_MS};
use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, RequestKey};
use crate::message::{EntryMessage, FinishReport};
use crate::outcome::RequestOutcome;

/// Minimum time for which a closed claim is kept, in milliseconds. The claim is also kept until its
/// report is confirmed. A grant sent before that is too old to be used afterwards.
const CLOSED_CLAIM_RETENTION_MS: u64 = 2 * GRANT_TTL_MS;

/// The newest claim of a request key that this entry released or finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ClosedClaim {
    pub(super) claim: ClaimNumber,
    /// Outcome of the request, if it was dispatched.
    pub(super) ended: Option<RequestOutcome>,
    at: ClockTime,
}

/// A report that a leader may not have received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingReport {
    message: EntryMessage,
    /// The leader that the report was last sent to, and when.
    last_sent: Option<(FollowedLeader, ClockTime)>,
}

impl EntryAgent {
    pub(super) fn finish(&mut self, now: ClockTime, report: FinishReport) {
        let (key, claim) = (report.key, report.claim);
        self.close_claim(now, key, claim, EntryMessage::Finish(report));
    }

    /// Releases a claim that was not used.
    pub(super) fn release_claim(
        &mut self,
        now: ClockTime,
        key: RequestKey,
        claim: ClaimNumber,
        retry: bool,
    ) {
        self.close_claim(now, key, claim, EntryMessage::Release { key, claim, retry });
    }

    fn close_claim(
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
        let last_sent = self.leader.map(|leader| (leader, now));
        self.reports.insert((key, claim), PendingReport { message, last_sent });
    }

    pub(super) fn send_reports(&mut self, now: ClockTime, leader: FollowedLeader) {
        let mut messages = Vec::new();
        for report in self.reports.values_mut() {
            report.last_sent = Some((leader, now));
            messages.push(report.message.clone());
        }
        for message in messages {
            self.send(leader.link, message);
        }
    }

    /// Drops the reports that the answer of a leader confirms.
    pub(super) fn confirm_reports(&mut self, leader: FollowedLeader, entry_time: ClockTime) {
        let checked = self.rules.confirm_reports;
        self.reports.retain(|_, report| {
            // A heartbeat with an equal time may have been sent just before the report.
            checked && !report.last_sent.is_some_and(|(to, at)| to == leader && at < entry_time)
        });
    }

    pub(super) fn prune_closed_claims(&mut self, now: ClockTime) {
        let reports = &self.reports;
        self.closed.retain(|key, closed| {
            reports.contains_key(&(*key, closed.claim))
                || now.since(closed.at) <= CLOSED_CLAIM_RETENTION_MS
        });
    }
}
