//! Records crashes of targets and answers, and exchanges them with the other nodes.

use super::{NodeState, target_key};
use crate::datagram::PeerDatagram;
use crate::suspects::{RequestTrait, SuspectReport};
use crate::targets::TargetAnnouncement;
use burdockcleat_core::clock::ClockTime;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of reports in a datagram, so that it fits into one packet.
const REPORTS_PER_DATAGRAM: usize = 32;
/// Maximum number of suspects in a log line.
const MAX_LOGGED_SUSPECTS: usize = 64;
/// Time after which a target that still runs has announced itself again, in announcement intervals.
const HEARD_INTERVALS: u64 = 2;

impl NodeState {
    /// Records that a target crashed before it had answered a request completely, here and at the
    /// other nodes. A target that is leaving may end its answers without a crash.
    pub(crate) fn suspect(&self, traits: &[RequestTrait], announcement: &TargetAnnouncement) {
        if self.targets.borrow().has_departed(&announcement.id, announcement.incarnation) {
            return;
        }
        let now = ClockTime::monotonic();
        let target = target_key(announcement);
        let reports = self.suspects.borrow_mut().record_crash(traits, target, now);
        let logged = traits.iter().take(MAX_LOGGED_SUSPECTS);
        let keys: Vec<_> = logged.map(|suspect| format!("{:x}", suspect.key.0)).collect();
        log::info!(
            target: "burdockcleat",
            "event=request.suspected target={} incarnation={} count={} suspects={}",
            announcement.id, announcement.incarnation, traits.len(), keys.join(",")
        );
        self.broadcast_reports(&reports);
        self.update_blocked(now);
    }

    /// Records that a target began to answer a request.
    pub(crate) fn note_begun_answer(&self, traits: &[RequestTrait]) {
        self.suspects.borrow_mut().record_begin(traits);
    }

    /// Records that the answer of a target to a request has ended without an error. An answer that does
    /// not state where it ends may have ended with a crash, so it counts once the target is heard.
    pub(crate) fn note_complete_answer(
        self: &Rc<Self>,
        traits: &[RequestTrait],
        announcement: &TargetAnnouncement,
        headers: &HeaderMap,
    ) {
        if headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING) {
            return self.clear_suspects(traits);
        }
        let (node, traits) = (self.clone(), traits.to_vec());
        let (id, incarnation) = (announcement.id.clone(), announcement.incarnation);
        let ended = ClockTime::monotonic();
        let wait_ms = HEARD_INTERVALS * self.settings.limits.announce_interval_ms;
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            let heard = node.targets.borrow().get(&id).is_some_and(|record| {
                record.announcement.incarnation == incarnation && record.last_seen > ended
            });
            if heard {
                node.clear_suspects(&traits);
            }
        });
    }

    /// Records that a target answered a request completely.
    fn clear_suspects(&self, traits: &[RequestTrait]) {
        let now = ClockTime::monotonic();
        let reports = self.suspects.borrow_mut().record_answer(traits, now);
        if !reports.is_empty() {
            self.broadcast_reports(&reports);
            self.update_blocked(now);
        }
    }

    fn broadcast_reports(&self, reports: &[SuspectReport]) {
        for part in reports.chunks(REPORTS_PER_DATAGRAM) {
            self.broadcast(&PeerDatagram::Suspects(part.to_vec()));
        }
    }

    /// Adds what another node has seen, or what was known before a restart.
    pub(crate) fn merge_suspects(&self, reports: &[SuspectReport]) {
        if !reports.is_empty() {
            let now = ClockTime::monotonic();
            self.suspects.borrow_mut().merge(reports, now);
            self.update_blocked(now);
        }
    }

    /// Decides anew which requests are blocked, and remembers it over a restart.
    pub(super) fn update_blocked(&self, now: ClockTime) {
        let changes = self.suspects.borrow_mut().update_blocked(now);
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            let event = if change.blocked { "suspect.blocked" } else { "suspect.released" };
            log::info!(target: "burdockcleat", "event={event} suspect={:x}", change.key.0);
        }
        self.suspects_changed.notify_waiters();
        self.save_memory();
    }

    /// Waits until a request is blocked.
    pub(crate) async fn until_blocked(&self, traits: &[RequestTrait]) {
        loop {
            let changed = self.suspects_changed.notified();
            if self.suspects.borrow().find_blocked(traits).is_some() {
                return;
            }
            changed.await;
        }
    }
}
