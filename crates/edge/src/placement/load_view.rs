//! View of the load that a target states in its responses.
//!
//! Work on a target may take several times as long for a few hundred ms, because other programs run
//! on its machine. A report tells how long work takes at its time. The view answers two questions:
//! how long work that starts now is expected to take, and how much undisturbed work a past interval
//! was worth. The second one keeps disturbances out of the lasting speed of the target.

use super::service::ServiceScheduler;
use super::target::TargetState;
use super::{PlacementScheduler, TargetKey};
use crate::target_load::LoadReport;
use burdockcleat_core::clock::ClockTime;
use std::collections::VecDeque;

/// Time constant of the decay of a report, in ms: half of a disturbance of about 600 ms, since a
/// report comes at any time within it.
const LOAD_TIME_CONSTANT_MS: f64 = 300.0;
/// Age from which a report has no effect, in ms; less than a hundredth of it is left.
const STALE_MS: f64 = 5.0 * LOAD_TIME_CONSTANT_MS;
/// Longest time between two reports for which they tell all about it, in ms: one disturbance. Beyond
/// it, and for half of it before the first and after the last report, the usual factor is possible too.
const COVERED_MS: f64 = 2.0 * LOAD_TIME_CONSTANT_MS;
/// Age up to which the requests of other schedulers in a report count as taken slots, in ms. Statuses
/// that list these requests arrive within about 200 ms.
const UNLISTED_AGE_MS: u64 = 300;
/// Bounds of the factor, so that one wrong report neither empties nor floods a target. 0.6 and 2.5
/// were seen.
const FACTOR_RANGE: (f64, f64) = (0.25, 10.0);
/// Number of reports that are kept: about 14 s at nine responses a second, as long as streams last.
const MAX_REPORTS: usize = 128;
/// Number of reports after which a target's own usual percentage is known; about a second of them.
const MIN_USUAL_REPORTS: usize = 8;
/// Number of reports that the usual percentage rests on.
const USUAL_REPORTS: usize = 64;
/// Rank of the usual percentage among the reports, as a divisor of their number. Other programs only
/// slow a machine down, at times for half of the time.
const USUAL_DIVISOR: usize = 4;
/// Percentage of a machine that is as usual, for targets without enough reports.
const DEFAULT_USUAL_PERCENT: u16 = 100;
/// Time for which a request that has ended may still count in a report, in ms. The notice of its end
/// and the report reach this scheduler from different nodes.
const ENDED_SKEW_MS: u64 = 100;
/// Difference in time up to which the same load is a repeated report, in ms.
const REPEAT_MS: u64 = 20;
/// Factor above which a target counts as slowed in logs and gauges.
const SLOWED_FACTOR: f64 = 1.2;

/// Bounds of the undisturbed work that an interval was worth, in ms. They differ where the reports
/// around a part of the interval differ, since the time of the change is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct WorkRange {
    least_ms: f64,
    most_ms: f64,
}

impl WorkRange {
    /// Returns the work of `ms`, of which `covered_ms` passed at one of two factors, the rest as usual.
    fn between(ms: f64, covered_ms: f64, factors: [f64; 2]) -> Self {
        let usual_ms = ms - covered_ms;
        Self {
            least_ms: covered_ms / factors[0].max(factors[1]) + usual_ms,
            most_ms: covered_ms / factors[0].min(factors[1]) + usual_ms,
        }
    }

    fn scaled(self, fraction: f64) -> Self {
        Self { least_ms: self.least_ms * fraction, most_ms: self.most_ms * fraction }
    }

    fn plus(self, other: Self) -> Self {
        Self { least_ms: self.least_ms + other.least_ms, most_ms: self.most_ms + other.most_ms }
    }

    fn minus(self, other: Self) -> Self {
        self.plus(other.scaled(-1.0))
    }

    /// Returns the work in the range that is closest to the expected one. An interval that was
    /// disturbed in part thus changes an estimate only as far as the reports contradict it.
    pub(super) fn closest(self, expected_ms: f64) -> f64 {
        expected_ms.min(self.most_ms).max(self.least_ms)
    }

    pub(super) fn mean(self) -> f64 {
        f64::midpoint(self.least_ms, self.most_ms)
    }
}

/// Report with the undisturbed work that was possible until its time.
#[derive(Clone, Copy, Debug)]
struct LoadPoint {
    at: ClockTime,
    /// Duration of work relative to the usual one.
    factor: f64,
    work: WorkRange,
}

impl LoadPoint {
    /// Returns the work between this report and the next one.
    fn work_until(&self, at: ClockTime, factor: f64) -> WorkRange {
        let gap_ms = at.since(self.at) as f64;
        if gap_ms <= COVERED_MS {
            return WorkRange::between(gap_ms, gap_ms, [self.factor, factor]);
        }
        let [slowest, fastest] =
            [self.factor.max(factor).max(1.0), self.factor.min(factor).min(1.0)];
        WorkRange::between(gap_ms, COVERED_MS, [slowest, fastest])
    }

    /// Returns the work within `ms` before or after this report without another one beyond.
    fn work_beside(&self, ms: u64) -> WorkRange {
        let covered_ms = (ms as f64).min(COVERED_MS / 2.0);
        WorkRange::between(ms as f64, covered_ms, [self.factor, 1.0])
    }
}

/// Recent load reports of one target.
#[derive(Debug, Default)]
pub(super) struct LoadView {
    points: VecDeque<LoadPoint>,
    newest: Option<(LoadReport, ClockTime)>,
    /// Percentages of the last reports.
    percents: VecDeque<u16>,
    /// Ends of requests within [`ENDED_SKEW_MS`].
    ended: VecDeque<ClockTime>,
    /// Requests in the newest report that this scheduler did not know of.
    unlisted: u32,
}

impl LoadView {
    /// Adds a report that arrives now. `known` is the number of requests at the target that this
    /// scheduler knows of. Reports older than the newest one are ignored.
    pub(super) fn record(&mut self, report: LoadReport, known: usize, now: ClockTime) {
        let Some(percent) = report.load.work_percent else { return };
        let at = ClockTime::from_ms(now.as_ms().saturating_sub(report.age_ms));
        if let Some((newest, newest_at)) = &self.newest
            && (at < *newest_at || (newest.load == report.load && at.since(*newest_at) < REPEAT_MS))
        {
            return;
        }
        self.percents.push_back(percent);
        if self.percents.len() > USUAL_REPORTS {
            self.percents.pop_front();
        }
        let factor = f64::from(percent) / f64::from(self.usual_percent());
        let factor = factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
        let work = self
            .points
            .back()
            .map_or_else(WorkRange::default, |last| last.work.plus(last.work_until(at, factor)));
        self.points.push_back(LoadPoint { at, factor, work });
        if self.points.len() > MAX_REPORTS {
            self.points.pop_front();
        }
        self.newest = Some((report, at));
        let known =
            known + self.ended.iter().filter(|end| now.since(**end) < ENDED_SKEW_MS).count();
        self.unlisted = report.load.held().saturating_sub(u32::try_from(known).unwrap_or(u32::MAX));
    }

    /// Returns the percentage that the target states while it is not disturbed. Machines of unlike
    /// speed state different ones, which the target's speed estimate contains already.
    fn usual_percent(&self) -> u16 {
        if self.percents.len() < MIN_USUAL_REPORTS {
            return DEFAULT_USUAL_PERCENT;
        }
        let mut sorted: Vec<_> = self.percents.iter().copied().collect();
        sorted.sort_unstable();
        sorted[sorted.len() / USUAL_DIVISOR].max(1)
    }

    /// Records the end of a request.
    pub(super) fn count_end(&mut self, now: ClockTime) {
        if self.newest.is_none() {
            return;
        }
        while self.ended.front().is_some_and(|end| now.since(*end) >= ENDED_SKEW_MS) {
            self.ended.pop_front();
        }
        self.ended.push_back(now);
    }

    /// Counts a request of another scheduler that has become known since the report.
    pub(super) const fn list_request(&mut self) {
        self.unlisted = self.unlisted.saturating_sub(1);
    }

    /// Returns the number of requests at the target that this scheduler does not know of.
    pub(super) fn unlisted(&self, now: ClockTime) -> usize {
        let young = self.newest.is_some_and(|(_, at)| now.since(at) < UNLISTED_AGE_MS);
        if young { self.unlisted as usize } else { 0 }
    }

    /// Returns the expected duration of work at this moment relative to the usual one. Decays from
    /// the newest report to 1.
    pub(super) fn factor(&self, now: ClockTime) -> f64 {
        self.points.back().map_or(1.0, |last| {
            let age_ms = now.since(last.at) as f64;
            // Most reports are as usual; placements ask for this many times.
            if last.factor == 1.0 || age_ms > STALE_MS {
                return 1.0;
            }
            1.0 + (last.factor - 1.0) * (-age_ms / LOAD_TIME_CONSTANT_MS).exp()
        })
    }

    /// Returns the expected duration of work that starts now, in ms, which usually takes `work_ms`.
    ///
    /// The factor decays while the work runs, so short work is multiplied by it, and long work takes
    /// a constant time longer. This is the solution of `work = integral of dt / factor(t)`.
    pub(super) fn expected_ms(&self, work_ms: f64, now: ClockTime) -> f64 {
        let excess = self.factor(now) - 1.0;
        if excess == 0.0 {
            return work_ms;
        }
        let fraction = 1.0 - (-work_ms / LOAD_TIME_CONSTANT_MS).exp();
        work_ms + LOAD_TIME_CONSTANT_MS * (excess * fraction).ln_1p()
    }

    /// Returns the undisturbed work that an interval in the past was worth.
    pub(super) fn undisturbed(&self, from: ClockTime, to: ClockTime) -> WorkRange {
        let elapsed_ms = to.since(from) as f64;
        let (Some(before), Some(after)) = (self.work_at(from), self.work_at(to)) else {
            return WorkRange { least_ms: elapsed_ms, most_ms: elapsed_ms };
        };
        after.minus(before)
    }

    /// Returns the undisturbed work that was possible until a time, relative to the first report.
    /// `None` without reports.
    fn work_at(&self, time: ClockTime) -> Option<WorkRange> {
        let index = self.points.partition_point(|point| point.at <= time);
        let next = self.points.get(index);
        let Some(last) = index.checked_sub(1).and_then(|index| self.points.get(index)) else {
            let first = next?;
            return Some(first.work.minus(first.work_beside(first.at.since(time))));
        };
        let Some(next) = next else {
            return Some(last.work.plus(last.work_beside(time.since(last.at))));
        };
        let fraction = time.since(last.at) as f64 / next.at.since(last.at) as f64;
        Some(last.work.plus(next.work.minus(last.work).scaled(fraction)))
    }

    /// Returns whether the target states that it is slowed.
    pub(super) fn slowed(&self, now: ClockTime) -> bool {
        self.factor(now) > SLOWED_FACTOR
    }

    /// Formats the newest report, for state dumps; empty without one.
    fn describe(&self, now: ClockTime) -> String {
        let Some((LoadReport { load, .. }, at)) = self.newest else { return String::new() };
        format!(
            " work_percent={} reported_running={} reported_waiting={} reported_slots={} report_age_ms={}",
            load.work_percent.unwrap_or(0),
            load.running,
            load.waiting,
            load.slots,
            now.since(at)
        )
    }
}

impl TargetState {
    /// Adds a report of the target's load.
    pub(super) fn record_load(&mut self, report: LoadReport, now: ClockTime) {
        self.load.record(report, self.running.len(), now);
        self.raise_pace(now);
    }

    /// Counts a request that another scheduler has placed.
    pub(super) fn count_listed_request(&mut self, now: ClockTime) {
        self.count_request(now);
        self.load.list_request();
        self.pace.raise(self.running.len() + 1);
    }

    /// Returns the number of requests that the target holds, as far as known.
    pub(super) fn held_requests(&self, now: ClockTime) -> usize {
        self.running.len() + self.load.unlisted(now)
    }

    /// Formats the newest load report, for state dumps.
    pub(super) fn describe_load(&self, now: ClockTime) -> String {
        self.load.describe(now)
    }
}

impl ServiceScheduler {
    /// Returns the number of targets that state that they are slowed, and of requests at the targets
    /// that this scheduler does not know of.
    fn load_counts(&self, now: ClockTime) -> (usize, usize) {
        let states = self.targets.values();
        let slowed = states.clone().filter(|state| state.load.slowed(now)).count();
        (slowed, states.map(|state| state.load.unlisted(now)).sum())
    }

    /// Formats the load counts, for logs; empty if no target states its load.
    pub(super) fn describe_loads(&self, now: ClockTime) -> String {
        if !self.load_reports {
            return String::new();
        }
        let (slowed, unlisted) = self.load_counts(now);
        format!(" slowed={slowed} unlisted={unlisted}")
    }
}

impl PlacementScheduler {
    /// Records the load that a target states. Of reports without a percentage, only the number of
    /// requests is used. Returns the service if this is the first report of its targets with one, which
    /// turns on the features that need it.
    pub fn observe_load(
        &mut self,
        target: TargetKey,
        report: LoadReport,
        now: ClockTime,
    ) -> Option<&str> {
        let mut schedulers = self.services.iter_mut();
        let (service, scheduler) =
            schedulers.find(|(_, scheduler)| scheduler.has_target(target))?;
        let state = scheduler.targets.get_mut(&target)?;
        state.record_stated(report, now);
        report.load.work_percent?;
        state.record_load(report, now);
        if std::mem::replace(&mut scheduler.load_reports, true) {
            return None;
        }
        scheduler.set_features(scheduler.features);
        Some(service)
    }

    /// Returns the features of a service.
    pub fn features_of(&self, service: &str) -> super::PlacementFeatures {
        self.services.get(service).map_or(self.features, |scheduler| scheduler.features)
    }

    /// Returns the number of targets that state that they are slowed, and of requests at targets that
    /// this scheduler does not know of. `None` if no target states its load.
    pub fn load_counts(&self, now: ClockTime) -> Option<(usize, usize)> {
        let reporting = self.services.values().filter(|scheduler| scheduler.load_reports);
        reporting
            .map(|scheduler| scheduler.load_counts(now))
            .reduce(|left, right| (left.0 + right.0, left.1 + right.1))
    }
}
