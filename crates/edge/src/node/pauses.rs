//! Targets that want no requests from this node for a while.

use super::{NodeState, target_key};
use crate::placement::{TargetKey, VersionKey};
use crate::targets::TargetAnnouncement;
use burdockcleat_core::clock::ClockTime;
use hyper::header::{HeaderMap, RETRY_AFTER};

/// Longest pause that is kept, in seconds. A longer one is a fault of the target.
const MAX_PAUSE_S: f64 = 600.0;

impl NodeState {
    /// Records how long a target that turned a request away wants no other one from this node.
    pub(crate) fn observe_pause(&self, announcement: &TargetAnnouncement, headers: &HeaderMap) {
        let text = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok());
        let Some(pause_s) = text.and_then(|text| text.trim().parse::<f64>().ok()) else { return };
        if pause_s.is_nan() || pause_s <= 0.0 {
            return;
        }
        let pause_ms = (pause_s.min(MAX_PAUSE_S) * 1_000.0).ceil() as u64;
        let until = ClockTime::monotonic().plus(pause_ms);
        let mut pauses = self.pauses.borrow_mut();
        let end = pauses.entry(target_key(announcement)).or_insert(until);
        *end = until.max(*end);
        log::info!(
            target: "burdockcleat",
            "event=target.paused target={} incarnation={} pause_ms={pause_ms}",
            announcement.id, announcement.incarnation
        );
    }

    /// Returns whether a target wants no requests from this node now.
    pub(crate) fn is_paused(&self, target: TargetKey, now: ClockTime) -> bool {
        self.pauses.borrow().get(&target).is_some_and(|until| *until > now)
    }

    /// Returns the targets of a service that want no requests from this node now.
    pub(crate) fn paused_targets(&self, service: &str, now: ClockTime) -> Vec<TargetKey> {
        let pauses = self.pauses.borrow();
        let paused = pauses.iter().filter(|(_, until)| **until > now).map(|(target, _)| *target);
        paused.filter(|target| self.serves(*target, service, None)).collect()
    }

    pub(super) fn serves(
        &self,
        target: TargetKey,
        service: &str,
        version: Option<VersionKey>,
    ) -> bool {
        let announcements = self.announcements.borrow();
        announcements.get(&target).is_some_and(|target| {
            target.service == service
                && version.is_none_or(|version| version == target.version_key())
        })
    }

    /// Returns the end of the first pause if a request can be sent to no usable target of its service
    /// and version before. `excluded` are the targets that it was sent to.
    pub(crate) fn pause_end(
        &self,
        service: &str,
        version: Option<VersionKey>,
        excluded: &[TargetKey],
        now: ClockTime,
    ) -> Option<ClockTime> {
        let pauses = self.pauses.borrow();
        if pauses.is_empty() {
            return None;
        }
        let usable = self.usable_targets.borrow();
        let targets = usable.iter().filter(|target| self.serves(**target, service, version));
        let mut first = None;
        for target in targets.filter(|target| !excluded.contains(target)) {
            let until = *pauses.get(target).filter(|until| **until > now)?;
            first = Some(first.map_or(until, |first: ClockTime| first.min(until)));
        }
        first
    }

    /// Forgets the pauses that are over.
    pub(super) fn prune_pauses(&self, now: ClockTime) {
        self.pauses.borrow_mut().retain(|_, until| *until > now);
    }
}
