//! Learns the limits that targets name in their answers, exchanges them with the other nodes and
//! applies them to the placement.

use super::{NodeState, target_key};
use crate::datagram::PeerDatagram;
use crate::placement::TargetKey;
use crate::target_limits::{LimitReport, RequestRate};
use crate::targets::TargetAnnouncement;
use burdockcleat_core::clock::ClockTime;
use hyper::header::HeaderMap;

/// Time after its start during which a node accepts limits of targets that it does not know yet, in
/// ms. Later, these are targets that it has forgotten.
const UNKNOWN_TARGETS_MS: u64 = 10_000;

impl NodeState {
    /// Records the limit that a target names, or no longer names, in an answer to a request that was
    /// sent at `sent`.
    pub(crate) fn observe_limit(
        &self,
        announcement: &TargetAnnouncement,
        headers: &HeaderMap,
        sent: ClockTime,
    ) {
        let rate = match headers.get(&self.http_api.headers.target_limit) {
            None => None,
            Some(value) => {
                let Some(rate) = value.to_str().ok().and_then(RequestRate::parse) else {
                    log::info!(target: "burdockcleat", "event=target.limit_unreadable target={} value={value:?}", announcement.id);
                    return;
                };
                Some(rate)
            }
        };
        let now = ClockTime::monotonic();
        let report = self.limits.borrow_mut().observe(target_key(announcement), rate, sent, now);
        if let Some(report) = report {
            self.log_limit(&report, "answer");
            self.apply_limits(now);
            self.broadcast(&PeerDatagram::Limits(vec![report]));
        }
    }

    /// Adds the limits that another node knows.
    pub(super) fn merge_limits(&self, reports: &[LimitReport]) {
        let now = ClockTime::monotonic();
        let accepts_unknown = now.since(self.started) < UNKNOWN_TARGETS_MS;
        let reports = reports
            .iter()
            .filter(|report| self.knows_target(report.target).unwrap_or(accepts_unknown));
        let reports: Vec<_> = reports.copied().collect();
        let changed = self.limits.borrow_mut().merge(&reports, now);
        for report in &changed {
            self.log_limit(report, "node");
        }
        if !changed.is_empty() {
            self.apply_limits(now);
        }
    }

    /// Applies the known limits to the placement.
    ///
    /// Only the placement coordinator places requests on targets with a limit, so that the sum over
    /// all nodes is known in one place. While some nodes are not heard, another coordinator may
    /// place their requests, so it uses only the part of the nodes that it hears.
    pub(super) fn apply_limits(&self, now: ClockTime) {
        let rates = self.limits.borrow().rates();
        let share = if rates.is_empty() || !self.is_coordinator(now) {
            0.0
        } else {
            self.reachable_fraction(now)
        };
        self.scheduler.borrow_mut().set_limits(rates, share, now);
        self.deliver_decisions();
    }

    /// Removes the limits of targets that have left or are forgotten.
    pub(super) fn prune_limits(&self, now: ClockTime) {
        if now.since(self.started) < UNKNOWN_TARGETS_MS {
            return;
        }
        self.limits.borrow_mut().retain(|target| self.knows_target(target) == Some(true));
    }

    /// Returns whether an incarnation of a target still counts, or `None` if it was never known.
    fn knows_target(&self, target: TargetKey) -> Option<bool> {
        let announcements = self.announcements.borrow();
        let announcement = announcements.get(&target)?;
        Some(self.targets.borrow().holds(announcement))
    }

    fn log_limit(&self, report: &LimitReport, from: &str) {
        let per_s = report.rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        let announcements = self.announcements.borrow();
        let announcement = announcements.get(&report.target);
        log::info!(
            target: "burdockcleat",
            "event=target.limit target={} incarnation={} per_s={per_s} version={} from={from}",
            announcement.map_or("unknown", |announcement| &announcement.id),
            announcement.map_or(0, |announcement| announcement.incarnation), report.version
        );
    }
}
