//! Records crashes of targets and answers, and exchanges them with the other nodes.

use super::{NodeState, target_key};
use crate::datagram::PeerDatagram;
use crate::suspects::{RequestTrait, SuspectReport};
use crate::targets::TargetAnnouncement;
use burdockcleat_core::clock::ClockTime;

impl NodeState {
    /// Records that a target crashed before it began to answer a request, here and at the other
    /// nodes.
    pub(crate) fn suspect(&self, traits: &[RequestTrait], announcement: &TargetAnnouncement) {
        let now = ClockTime::monotonic();
        let target = target_key(announcement);
        let reports = self.suspects.borrow_mut().record_crash(traits, target, now);
        let keys: Vec<_> = traits.iter().map(|suspect| format!("{:x}", suspect.key.0)).collect();
        log::info!(
            target: "burdockcleat",
            "event=request.suspected target={} incarnation={} suspects={}",
            announcement.id, announcement.incarnation, keys.join(",")
        );
        self.broadcast(&PeerDatagram::Suspects(reports));
        self.update_blocked(now);
    }

    /// Records that a target began to answer a request.
    pub(crate) fn clear_suspects(&self, traits: &[RequestTrait]) {
        let now = ClockTime::monotonic();
        let reports = self.suspects.borrow_mut().record_answer(traits, now);
        if !reports.is_empty() {
            self.broadcast(&PeerDatagram::Suspects(reports));
            self.update_blocked(now);
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
