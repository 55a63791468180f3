//! Changes of the pool's targets.

use super::PoolScheduler;
use super::event::PoolOutput;
use super::request::{PoolTarget, RequestRecord, RequestSlot};
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
                self.announced_target(now, key, *announcement);
            }
            TargetChangeKind::Draining(announcement) => {
                self.announced_target(now, key, *announcement);
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

    fn announced_target(
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
            prefill_ahead: 0.0,
            prefix: PrefixIndex::new(prefix.clone()),
            marked: 0,
            cut: Vec::new(),
            last_placed: 0,
            progressed: now,
        });
        if target.left {
            return;
        }
        target.prefix.apply(&events);
        target.eligible = true;
        target.failures = 0;
        let (before, load) = (target.announcement.load, announcement.load);
        let fresh = load.sequence > before.sequence;
        let first = target.announcement.name.is_empty();
        target.announcement = announcement;
        if !fresh && !first {
            target.announcement.load = before;
        }
        if first {
            self.bind_reentered(now, key);
        }
        if fresh && load.running == 0 && load.waiting == 0 {
            self.idle_reported(now, key);
        }
    }

    /// Frees the slots of requests whose owner is lost, at a target that reports to be idle.
    fn idle_reported(&mut self, now: ClockTime, key: TargetKey) {
        let Some(target) = self.targets.get(&key) else { return };
        let ended: Vec<RequestSlot> = target
            .running
            .iter()
            .copied()
            .filter(|slot| {
                let state = self.requests.get(*slot).and_then(RequestRecord::running);
                state.is_some_and(|state| {
                    state.owner_lost.is_some_and(|lost| {
                        now.since(lost.max(state.placed)) >= self.settings.idle_report_ms
                    })
                })
            })
            .collect();
        for slot in ended {
            self.end_running(now, slot);
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

    /// Marks the requests that ran on a crashed incarnation. They occupy no slot any more, but are
    /// kept until their owners report how they ended.
    fn target_crashed(&mut self, now: ClockTime, key: TargetKey) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        target.left = true;
        target.eligible = false;
        let identity = target.announcement.identity();
        let mut fingerprints: BTreeSet<RequestFingerprint> = target.cut.drain(..).collect();
        for slot in target.running.clone() {
            if let Some(record) = self.requests.get(slot) {
                fingerprints.insert(record.fingerprint);
            }
            self.detach(now, slot);
        }
        self.targets.remove(&key);
        self.rates.remove(key);
        for fingerprint in fingerprints {
            self.mark(now, fingerprint, &identity);
        }
    }

    fn mark(&mut self, now: ClockTime, fingerprint: RequestFingerprint, identity: &TargetIdentity) {
        let change = SuspectChange::Mark { fingerprint, target: identity.clone() };
        self.suspects.apply(now, &change);
        self.outputs.push(PoolOutput::Suspect(change));
    }

    /// Takes a running request off its target. Without an owner it is dropped.
    pub(super) fn detach(&mut self, now: ClockTime, slot: RequestSlot) {
        self.leave_target(now, slot);
        let Some(record) = self.requests.get_mut(slot) else { return };
        let Some(state) = record.running_mut() else { return };
        state.target = None;
        state.identity = None;
        if state.owner_lost.is_some() {
            self.forget(slot);
        }
    }
}
