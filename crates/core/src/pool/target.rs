//! Changes of the pool's targets: announcements, leaves and crashes.

use super::PoolScheduler;
use super::event::PoolOutput;
use super::request::{PoolTarget, RequestHandle, RequestRecord};
use crate::clock::ClockTime;
use crate::estimate::PrefixIndex;
use crate::keys::{RequestFingerprint, TargetIdentity};
use crate::registry::{SuspectChange, TargetAnnouncement, TargetChangeKind, TargetKey};
use std::collections::BTreeSet;

impl PoolScheduler {
    pub(super) fn target_changed(
        &mut self,
        now: ClockTime,
        key: TargetKey,
        change: TargetChangeKind,
    ) {
        match change {
            TargetChangeKind::Announced(announcement) => {
                self.apply_announcement(now, key, *announcement);
            }
            TargetChangeKind::Draining(announcement) => {
                self.apply_announcement(now, key, *announcement);
                if let Some(target) = self.targets.get_mut(&key) {
                    target.eligible = false;
                }
            }
            TargetChangeKind::Silent => {
                if let Some(target) = self.targets.get_mut(&key) {
                    target.eligible = false;
                }
            }
            TargetChangeKind::Left => self.target_left(key),
            TargetChangeKind::Crashed => self.target_crashed(now, key),
        }
        self.slot_count = self.targets.values().map(PoolTarget::slots).sum();
        self.unpark_suspects();
    }

    fn apply_announcement(
        &mut self,
        now: ClockTime,
        key: TargetKey,
        mut announcement: TargetAnnouncement,
    ) {
        let events = std::mem::take(&mut announcement.cache_events);
        self.rates.insert(key, &announcement.generation);
        let prefix = &self.settings.prefix;
        let target = self.targets.entry(key).or_insert_with(|| PoolTarget {
            announcement: TargetAnnouncement::default(),
            eligible: true,
            failures: 0,
            left: false,
            running: Vec::new(),
            pending_prefill_tokens: 0.0,
            prefix: PrefixIndex::new(prefix.clone()),
            suspect_count: 0,
            cut_connections: Vec::new(),
            last_placed: 0,
            last_progress: now,
        });
        if target.left {
            return;
        }
        target.prefix.apply(&events);
        target.eligible = true;
        target.failures = 0;
        let (before, load) = (target.announcement.load, announcement.load);
        let newer_load = load.sequence > before.sequence;
        let first_announcement = target.announcement.name.is_empty();
        target.announcement = announcement;
        if !newer_load && !first_announcement {
            target.announcement.load = before;
        }
        if first_announcement {
            self.bind_restored(now, key);
        }
        if newer_load && load.running == 0 && load.waiting == 0 {
            self.end_idle_requests(now, key);
        }
    }

    /// Ends the requests of lost owners at a target that reports to be idle.
    fn end_idle_requests(&mut self, now: ClockTime, key: TargetKey) {
        let Some(target) = self.targets.get(&key) else { return };
        let ended: Vec<RequestHandle> = target
            .running
            .iter()
            .copied()
            .filter(|handle| {
                let state = self.requests.get(*handle).and_then(RequestRecord::running);
                state.is_some_and(|state| {
                    state.owner_lost.is_some_and(|lost| {
                        now.since(lost.max(state.placed)) >= self.settings.idle_report_ms
                    })
                })
            })
            .collect();
        for handle in ended {
            self.end_running(now, handle);
        }
    }

    fn target_left(&mut self, key: TargetKey) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        target.eligible = false;
        target.left = true;
        if target.running.is_empty() {
            self.targets.remove(&key);
            self.rates.remove(key);
        }
    }

    /// Marks the requests that ran on a crashed incarnation as suspects. They no longer occupy a
    /// slot, but are kept until their owners report how they ended.
    fn target_crashed(&mut self, now: ClockTime, key: TargetKey) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        target.left = true;
        target.eligible = false;
        let identity = target.announcement.identity();
        let mut fingerprints: BTreeSet<RequestFingerprint> =
            target.cut_connections.drain(..).collect();
        for handle in target.running.clone() {
            if let Some(record) = self.requests.get(handle) {
                fingerprints.insert(record.fingerprint);
            }
            self.detach(now, handle);
        }
        self.targets.remove(&key);
        self.rates.remove(key);
        for fingerprint in fingerprints {
            self.mark_suspect(now, fingerprint, &identity);
        }
    }

    fn mark_suspect(
        &mut self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
        identity: &TargetIdentity,
    ) {
        let change = SuspectChange::Mark { fingerprint, target: identity.clone() };
        self.suspects.apply(now, &change);
        self.outputs.push(PoolOutput::Suspect(change));
    }

    /// Detaches a running request from its target. Removes the request if its owner is lost.
    pub(super) fn detach(&mut self, now: ClockTime, handle: RequestHandle) {
        self.leave_target(now, handle);
        let Some(record) = self.requests.get_mut(handle) else { return };
        let Some(state) = record.running_mut() else { return };
        state.target = None;
        state.identity = None;
        if state.owner_lost.is_some() {
            self.remove_request(handle);
        }
    }
}
