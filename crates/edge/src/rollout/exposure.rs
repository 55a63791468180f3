//! Limits how many requests a version on trial gets, over all nodes.
//!
//! Each process counts what it sent and reports the sums. The coordinator adds what it granted and
//! no report has shown yet. Grants of an earlier coordinator that crashed or was cut off may be
//! unknown to it. Their number is bounded by a pace, and a part of the tolerance is kept for them.

use super::verdict::RouteEvidence;
use crate::placement::ProcessKey;
use crate::settings::RolloutRule;
use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Part of the tolerance that is kept for sends which the coordinator does not know of.
const RESERVED_DIVISOR: u32 = 2;
/// Part of the kept sends that is granted within a window of [`PACE_INTERVALS`]: what two earlier
/// coordinators granted within a window is then covered.
const PACE_DIVISOR: u32 = 2;
/// Length of the pace window, in status intervals: a node is out of date by one interval, and a
/// coordinator that is cut off grants for [`FRESH_HALF_INTERVALS`].
const PACE_INTERVALS: u64 = 4;
/// Age of the statuses of a majority up to which a coordinator grants, in half status intervals.
const FRESH_HALF_INTERVALS: u64 = 5;

/// Key of an order: hash of service, version and start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct OrderKey(pub u64);

impl OrderKey {
    /// Returns the key of an order.
    pub fn new(service: &str, to: &str, started: u64) -> Self {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(service.as_bytes());
        hash.update(&[0]);
        hash.update(to.as_bytes());
        hash.update(&[0]);
        hash.update(&started.to_le_bytes());
        Self(hash.digest())
    }
}

/// What one process counted since an order. The counts only grow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RolloutReport {
    /// Order that the counts belong to.
    pub order: OrderKey,
    /// Process that counted.
    pub process: u64,
    /// Time since the order, in ms, if the process was running when the order was accepted or
    /// heard it from one that was.
    pub age_ms: Option<u64>,
    /// Requests of the service that targets answered.
    pub requests: u32,
    /// Requests sent to the version on trial, by the process of the coordinator that granted them.
    pub trial: BTreeMap<u64, u32>,
    /// Answers by route.
    pub routes: BTreeMap<u32, RouteEvidence>,
}

impl RolloutReport {
    /// Returns the number of requests sent to the version on trial.
    pub fn trial_sends(&self) -> u32 {
        self.trial.values().sum()
    }

    /// Takes over higher counts of a report of the same process.
    pub fn merge(&mut self, newer: &Self) {
        self.requests = self.requests.max(newer.requests);
        for (grantor, sends) in &newer.trial {
            let known = self.trial.entry(*grantor).or_default();
            *known = (*known).max(*sends);
        }
        for (route, evidence) in &newer.routes {
            let known = self.routes.entry(*route).or_default();
            let answers =
                |evidence: &RouteEvidence| evidence.trial.answers + evidence.others.answers;
            if answers(evidence) > answers(known) {
                known.clone_from(evidence);
            }
        }
    }

    /// Returns the report without the answers by route.
    #[must_use]
    pub fn without_answers(&self) -> Self {
        Self { routes: BTreeMap::new(), ..self.clone() }
    }

    /// Returns the report as it is passed on for a process that is gone. Its age is no longer right.
    #[must_use]
    pub fn counts_only(&self) -> Self {
        Self { age_ms: None, ..self.without_answers() }
    }
}

/// What a node knows of the others, to decide whether it may grant requests to a version on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoordinatorView {
    /// Time since which the node coordinates without leaving out another one; `None` if it does not.
    pub since: Option<ClockTime>,
    /// Whether the node has coordinated since before the order.
    pub since_order: bool,
    /// Whether all nodes that are not down have sent a status since the node coordinates.
    pub heard_all: bool,
    /// Whether the node has fresh statuses of a quorum of the register and of most of the nodes. Two
    /// parts of a divided deployment cannot both have a quorum, whatever their nodes know of others.
    pub majority: bool,
    /// Interval between two statuses of a node, in ms.
    pub interval_ms: u64,
}

impl CoordinatorView {
    /// Returns the age up to which a status counts as fresh, in ms.
    pub const fn fresh_ms(interval_ms: u64) -> u64 {
        interval_ms * FRESH_HALF_INTERVALS / 2
    }

    /// Returns whether the node knows enough to grant requests to a version on trial. A new
    /// coordinator waits until the grants of the one before are reported or stopped.
    pub fn may_grant(&self, now: ClockTime) -> bool {
        let Some(since) = self.since else { return false };
        let settled = self.since_order
            || (self.heard_all && now.since(since) >= self.interval_ms * PACE_INTERVALS);
        settled && self.majority
    }
}

/// Counts of all processes since one order, and the grants of this one.
#[derive(Clone, Debug, Default)]
pub struct ExposureLedger {
    reports: BTreeMap<u64, RolloutReport>,
    /// Grants of this process to the version on trial, by the process that they were given to.
    granted: BTreeMap<u64, u32>,
    /// Times of the grants within the pace window.
    recent: VecDeque<ClockTime>,
}

impl ExposureLedger {
    /// Takes over a report.
    pub fn apply(&mut self, report: &RolloutReport) {
        self.reports
            .entry(report.process)
            .and_modify(|known| known.merge(report))
            .or_insert_with(|| report.clone());
    }

    /// Records a grant of this process to the version on trial.
    pub fn record_grant(&mut self, receiver: ProcessKey, now: ClockTime) {
        *self.granted.entry(receiver.0).or_default() += 1;
        self.recent.push_back(now);
    }

    /// Returns the reports of all processes.
    pub fn reports(&self) -> impl Iterator<Item = &RolloutReport> + Clone {
        self.reports.values()
    }

    /// Returns the answers of all processes by route.
    pub fn evidence(&self) -> BTreeMap<u32, RouteEvidence> {
        let mut sum: BTreeMap<u32, RouteEvidence> = BTreeMap::new();
        for (route, evidence) in self.reports.values().flat_map(|report| &report.routes) {
            sum.entry(*route).or_default().add(evidence);
        }
        sum
    }

    /// Returns the requests that targets answered, and an upper bound of those that were sent to the
    /// version on trial. `own` is this process.
    pub fn counts(&self, own: ProcessKey) -> (u32, u32) {
        let requests = self.reports.values().map(|report| report.requests).sum();
        let sent: u32 = self.reports.values().map(RolloutReport::trial_sends).sum();
        let unreported: u32 = self
            .granted
            .iter()
            .map(|(receiver, granted)| {
                let report = self.reports.get(receiver);
                let shown =
                    report.and_then(|report| report.trial.get(&own.0)).copied().unwrap_or(0);
                granted.saturating_sub(shown)
            })
            .sum();
        (requests, sent + unreported)
    }

    /// Returns how many requests this process may grant to the version on trial now.
    pub fn left(
        &mut self,
        rule: &RolloutRule,
        own: ProcessKey,
        interval_ms: u64,
        now: ClockTime,
    ) -> u32 {
        let window_ms = interval_ms * PACE_INTERVALS;
        while self.recent.front().is_some_and(|granted| now.since(*granted) >= window_ms) {
            self.recent.pop_front();
        }
        let reserved = rule.tolerance / RESERVED_DIVISOR;
        let paced = (reserved / PACE_DIVISOR).max(1).saturating_sub(self.recent.len() as u32);
        let (requests, sent) = self.counts(own);
        let share = (f64::from(requests) * rule.share) as u32;
        (share + rule.tolerance - reserved).saturating_sub(sent).min(paced)
    }
}
