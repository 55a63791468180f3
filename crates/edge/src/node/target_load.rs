//! Reads the load that targets state in their responses and applies it to the placement.

use super::NodeState;
use crate::placement::TargetKey;
use crate::target_load::{LoadReport, TargetLoad};
use crate::targets::TargetAnnouncement;
use burdockcleat_core::clock::ClockTime;
use hyper::header::HeaderMap;

/// Percentage of the usual duration of work above which a report is counted as slowed.
const SLOWED_PERCENT: u16 = 120;

impl NodeState {
    /// Returns the load that a target states in a response, if it is used: it states how long work
    /// takes on it, or some node is silent whose requests may have ended there.
    pub(crate) fn read_load(
        &self,
        announcement: &TargetAnnouncement,
        headers: &HeaderMap,
    ) -> Option<TargetLoad> {
        let value = headers.get(&self.http_api.headers.target_load)?;
        let Some(load) = value.to_str().ok().and_then(TargetLoad::parse) else {
            log::debug!(target: "burdockcleat", "event=target.load_unreadable target={} value={value:?}", announcement.id);
            self.metrics.borrow_mut().count("target_loads", "unreadable", 1);
            return None;
        };
        let Some(percent) = load.work_percent else {
            let now = ClockTime::monotonic();
            let any_silent = self.peers.borrow().overdue(now).next().is_some();
            return any_silent.then_some(load);
        };
        let label = if percent > SLOWED_PERCENT { "slowed" } else { "as usual" };
        self.metrics.borrow_mut().count("target_loads", label, 1);
        Some(load)
    }

    /// Applies a load report to the placement.
    pub(super) fn apply_load(&self, target: TargetKey, report: Option<LoadReport>, now: ClockTime) {
        let Some(report) = report else { return };
        let mut scheduler = self.scheduler.borrow_mut();
        let Some(service) = scheduler.observe_load(target, report, now).map(str::to_owned) else {
            return;
        };
        log::info!(
            target: "burdockcleat",
            "event=placement.load_reports service={service} target={:x} load={:?} features={:?}",
            target.0, report.load, scheduler.features_of(&service)
        );
    }
}
