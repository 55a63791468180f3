//! Keeps the usable targets of the placement scheduler up to date.

use super::{NodeState, target_key};
use crate::config::ServiceRule;
use crate::placement::{TargetInfo, TargetKey};
use crate::targets::{AgedNotice, TargetAnnouncement, TargetChange, TargetNotice};
use burdockcleat_core::clock::ClockTime;
use hyper::header::HeaderMap;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Value of the header that marks answers of a target that is leaving.
pub(super) const LEAVING_VALUE: &str = "1";

impl NodeState {
    /// Updates the placement scheduler with the targets that may be used now.
    pub(crate) fn refresh_targets(&self) {
        let Some(config) = self.config() else { return };
        let now = ClockTime::monotonic();
        let interval_ms = self.settings.limits.announce_interval_ms;
        let targets = self.targets.borrow();
        let mut announcements = self.announcements.borrow_mut();
        let mut scheduler = self.scheduler.borrow_mut();
        let mut usable_keys = BTreeSet::new();
        for (service, rule) in &config.services {
            let mut usable = targets.usable(service, interval_ms, now);
            usable.retain(|announcement| self.accepts_version(announcement));
            let infos: Vec<_> =
                usable.iter().map(|announcement| target_info(announcement, rule)).collect();
            for (info, announcement) in infos.iter().zip(usable) {
                announcements.insert(info.key, announcement.clone());
            }
            scheduler.set_targets(service, &infos, now);
            usable_keys.extend(infos.iter().map(|info| info.key));
        }
        drop(scheduler);
        let before = self.usable_targets.replace(usable_keys.clone());
        for key in before.symmetric_difference(&usable_keys) {
            let Some(announcement) = announcements.get(key) else { continue };
            let heard_ms = targets.get(&announcement.id).map(|record| now.since(record.last_seen));
            log::info!(
                target: "burdockcleat",
                "event=target.usable usable={} target={} incarnation={} service={} version={:?} version_key={:x} heard_ms={}",
                usable_keys.contains(key), announcement.id, announcement.incarnation,
                announcement.service, announcement.version, announcement.version_key().0,
                heard_ms.unwrap_or(0)
            );
        }
        drop((targets, announcements));
        self.deliver_decisions();
    }

    /// Applies notices that another node received, or this one before its restart.
    pub(super) fn merge_notices(self: &Rc<Self>, notices: &[AgedNotice], from: &str) {
        let now = ClockTime::monotonic();
        let mut changed = false;
        for AgedNotice { notice, age_ms } in notices {
            // The clock starts with the process, so an older notice counts as received then.
            let received_at = ClockTime::from_ms(now.as_ms().saturating_sub(*age_ms));
            let change = self.targets.borrow_mut().apply(notice, received_at);
            if change == TargetChange::Doubtful
                && let TargetNotice::Left { id, .. } = notice
            {
                self.check_doubtful(id);
            }
            if matches!(change, TargetChange::Joined | TargetChange::Leaving) {
                changed = true;
                log::info!(
                    target: "burdockcleat",
                    "event=target.{change:?} notice={notice:?} from={from} age_ms={age_ms}"
                );
            }
        }
        if changed {
            self.refresh_targets();
        }
    }

    /// Records that a target says in an answer that it is leaving.
    pub(crate) fn observe_leaving(
        self: &Rc<Self>,
        announcement: &TargetAnnouncement,
        headers: &HeaderMap,
    ) {
        let value = headers.get(&self.http_api.headers.target_leaving);
        if value.is_some_and(|value| value == LEAVING_VALUE) {
            let (id, incarnation) = (announcement.id.clone(), announcement.incarnation);
            self.apply_notice(&TargetNotice::Draining { id, incarnation }, true);
        }
    }

    /// Returns the last announcement of a target that was usable at some time.
    pub(crate) fn known_announcement(&self, target: TargetKey) -> Option<TargetAnnouncement> {
        self.announcements.borrow().get(&target).cloned()
    }

    /// Returns whether a later incarnation of a target is known.
    pub(crate) fn has_restarted(&self, announcement: &TargetAnnouncement) -> bool {
        let targets = self.targets.borrow();
        let newest = targets.get(&announcement.id).map(|record| record.announcement.incarnation);
        newest.is_some_and(|newest| newest > announcement.incarnation)
    }

    /// Returns the announcement of a target if the target may still be used.
    pub(crate) fn announcement(&self, target: TargetKey) -> Option<TargetAnnouncement> {
        let announcement = self.known_announcement(target)?;
        let accepted = self.accepts_version(&announcement)
            && self.targets.borrow().accepts_requests(&announcement);
        accepted.then_some(announcement)
    }
}

fn target_info(announcement: &TargetAnnouncement, rule: &ServiceRule) -> TargetInfo {
    TargetInfo {
        key: target_key(announcement),
        service: announcement.service.clone(),
        domain: announcement.domain.clone(),
        version: announcement.version_key(),
        slots: announcement.slots,
        memory_tokens: rule.memory_tokens,
        cold_ms: announcement.cold_ms,
    }
}
