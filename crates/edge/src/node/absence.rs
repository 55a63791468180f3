//! Keeps streams away from targets whose software version may have changed while this node was absent.

use super::{NodeState, target_key};
use crate::placement::{TargetKey, VersionKey};
use crate::targets::TargetAnnouncement;
use burdockcleat_core::clock::ClockTime;
use std::time::Duration;

/// Interval at which it is checked whether a target was heard, in ms.
const HEARD_CHECK_MS: u64 = 25;

impl NodeState {
    /// Records that this node runs.
    pub(super) fn mark_presence(&self, now: ClockTime) {
        let (alive, expected) = self.peers.borrow().node_counts(now);
        let alone = alive == 1 && expected > 1;
        let paused_ms = self.absences.borrow_mut().mark(now, ClockTime::wall(), alone);
        if let Some(paused_ms) = paused_ms {
            log::info!(target: "burdockcleat", "event=node.stood_still paused_ms={paused_ms}");
        }
    }

    /// Returns whether a target may have started again at another version since it was last heard,
    /// because this node was absent.
    pub(crate) fn is_outdated(&self, target: TargetKey) -> bool {
        // This node may have stood still until now.
        self.mark_presence(ClockTime::monotonic());
        !self.heard_since_absence(target)
    }

    fn heard_since_absence(&self, target: TargetKey) -> bool {
        let Some(announcement) = self.known_announcement(target) else { return true };
        let targets = self.targets.borrow();
        let heard = targets.get(&announcement.id).map(|record| record.last_seen);
        heard.is_none_or(|heard| heard >= self.absences.borrow().returned())
    }

    /// Returns the version of a target that was outdated when it sent the first event of a stream, once
    /// the target is heard. Returns `None` if it is not heard within an announcement interval, or has
    /// started again.
    pub(crate) async fn confirm_version(
        &self,
        announcement: &TargetAnnouncement,
    ) -> Option<VersionKey> {
        let target = target_key(announcement);
        let heard = async {
            while self.is_outdated(target) {
                tokio::time::sleep(Duration::from_millis(HEARD_CHECK_MS)).await;
            }
        };
        let limit = Duration::from_millis(self.settings.limits.announce_interval_ms);
        tokio::time::timeout(limit, heard).await.ok()?;
        (!self.has_restarted(announcement)).then(|| announcement.version_key())
    }

    /// Waits until this node has heard a target of a service and version, if it was absent, but not
    /// longer than `limit_ms` and an announcement interval.
    pub(crate) async fn await_heard_target(
        &self,
        service: &str,
        version: VersionKey,
        limit_ms: u64,
    ) {
        let heard = async {
            loop {
                let (outdated, others) = self.outdated_targets(service, version);
                if outdated.is_empty() || others {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(HEARD_CHECK_MS)).await;
            }
        };
        let limit_ms = limit_ms.min(self.settings.limits.announce_interval_ms);
        // If none is heard in time, the placement finds no target.
        let _ = tokio::time::timeout(Duration::from_millis(limit_ms), heard).await;
    }

    /// Returns the usable targets of a service and version that may have started again at another
    /// version, and whether there are others.
    pub(crate) fn outdated_targets(
        &self,
        service: &str,
        version: VersionKey,
    ) -> (Vec<TargetKey>, bool) {
        self.mark_presence(ClockTime::monotonic());
        let usable = self.usable_targets.borrow();
        let serving = usable.iter().filter(|target| self.serves(**target, service, Some(version)));
        let (heard, outdated): (Vec<_>, Vec<_>) =
            serving.copied().partition(|target| self.heard_since_absence(*target));
        (outdated, !heard.is_empty())
    }
}
