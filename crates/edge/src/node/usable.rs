//! Targets that may be used, as the board and the sends see them.

use super::{NodeState, target_key};
use crate::placement::{TargetInfo, TargetKey};
use crate::targets::TargetAnnouncement;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeSet;

impl NodeState {
    /// Brings the board in line with the targets that may be used.
    pub(crate) fn refresh_targets(&self) {
        let Some(config) = self.config() else { return };
        let now = ClockTime::monotonic();
        let interval_ms = self.settings.contract.announce_interval_ms;
        let targets = self.targets.borrow();
        let mut keys = self.target_keys.borrow_mut();
        let mut board = self.board.borrow_mut();
        let mut all = BTreeSet::new();
        for service in config.services.keys() {
            let usable = targets.usable(service, interval_ms, now);
            let infos: Vec<_> =
                usable.iter().map(|announcement| target_info(announcement)).collect();
            for (info, announcement) in infos.iter().zip(usable) {
                keys.insert(info.key, announcement.clone());
            }
            board.set_targets(service, &infos, now);
            all.extend(infos.iter().map(|info| info.key));
        }
        drop(board);
        let before = self.usable.replace(all.clone());
        for key in before.symmetric_difference(&all) {
            let Some(announcement) = keys.get(key) else { continue };
            let heard = targets.get(&announcement.id).map(|record| now.since(record.last_seen));
            log::info!(
                target: "burdockcleat",
                "event=target.usable usable={} target={} incarnation={} service={} heard_ms={}",
                all.contains(key), announcement.id, announcement.incarnation,
                announcement.service, heard.unwrap_or(0)
            );
        }
        drop((targets, keys));
        self.flush_board();
    }

    /// What a target announced, if it may still be used.
    pub(crate) fn announcement(&self, target: TargetKey) -> Option<TargetAnnouncement> {
        let announcement = self.target_keys.borrow().get(&target).cloned()?;
        let targets = self.targets.borrow();
        let record = targets.get(&announcement.id)?;
        let same = record.announcement.incarnation == announcement.incarnation;
        (same && !record.left && !record.announcement.draining).then_some(announcement)
    }
}

fn target_info(announcement: &TargetAnnouncement) -> TargetInfo {
    TargetInfo {
        key: target_key(announcement),
        service: announcement.service.clone(),
        domain: announcement.domain.clone(),
        slots: announcement.slots,
    }
}
