//! Request rates to which targets limit all nodes together, as they name them in their answers.

use crate::placement::TargetKey;
use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Rate of requests, in requests per 1,000 seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Parses a decimal number of requests per second. Returns `None` if it is not a number, or
    /// negative or infinite.
    pub fn parse(text: &str) -> Option<Self> {
        let per_s: f64 = text.trim().parse().ok()?;
        // The conversion saturates.
        (per_s.is_finite() && per_s >= 0.0).then_some(Self((per_s * 1_000.0) as u32))
    }

    /// Returns the rate in requests per millisecond.
    pub fn per_ms(self) -> f64 {
        f64::from(self.0) / 1e6
    }
}

impl std::fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

/// Limit of one incarnation of a target, as nodes exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LimitReport {
    /// Incarnation of the target.
    pub target: TargetKey,
    /// Number of changes of the limit. The report with the highest number holds; of several with the
    /// same number, the lowest limit.
    pub version: u32,
    /// Current limit; `None` after the target has lifted it.
    pub rate: Option<RequestRate>,
}

impl LimitReport {
    /// Returns whether this report replaces another one of the same target.
    fn supersedes(&self, other: &Self) -> bool {
        let lowest_first = |report: &Self| report.rate.map_or(u32::MAX, |rate| rate.0);
        self.version > other.version
            || (self.version == other.version && lowest_first(self) < lowest_first(other))
    }
}

/// Limit with the time at which this node learned of it.
#[derive(Clone, Copy, Debug)]
struct TargetLimit {
    report: LimitReport,
    learned: ClockTime,
}

/// Limits of all targets that named one. Every node sees a share of the answers; nodes exchange
/// [`LimitReport`]s, which can be merged in any order and more than once.
#[derive(Debug, Default)]
pub struct LimitTable {
    limits: BTreeMap<TargetKey, TargetLimit>,
}

impl LimitTable {
    /// Records the limit in an answer, `None` if it named none, to a request that was sent at
    /// `sent`. Returns a report for the other nodes if the limit has changed.
    ///
    /// An answer without a limit lifts the limit only if its request was sent after the limit was
    /// learned, since answers to earlier requests may arrive later.
    pub fn observe(
        &mut self,
        target: TargetKey,
        rate: Option<RequestRate>,
        sent: ClockTime,
        now: ClockTime,
    ) -> Option<LimitReport> {
        let known = self.limits.get(&target);
        let unchanged = known.map_or(rate.is_none(), |known| {
            known.report.rate == rate || (rate.is_none() && sent <= known.learned)
        });
        if unchanged {
            return None;
        }
        let version = known.map_or(0, |known| known.report.version) + 1;
        let report = LimitReport { target, version, rate };
        self.limits.insert(target, TargetLimit { report, learned: now });
        Some(report)
    }

    /// Adds what another node knows. Returns the reports that changed a limit.
    pub fn merge(&mut self, reports: &[LimitReport], now: ClockTime) -> Vec<LimitReport> {
        let mut changed = Vec::new();
        for report in reports {
            let known = self.limits.get(&report.target);
            if known.is_none_or(|known| report.supersedes(&known.report)) {
                self.limits.insert(report.target, TargetLimit { report: *report, learned: now });
                changed.push(*report);
            }
        }
        changed
    }

    /// Returns what this node knows, for another one.
    pub fn reports(&self) -> Vec<LimitReport> {
        self.limits.values().map(|limit| limit.report).collect()
    }

    /// Returns a digest of the reports; 0 if there are none.
    pub fn digest(&self) -> u64 {
        if self.limits.is_empty() {
            return 0;
        }
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        for LimitReport { target, version, rate } in self.reports() {
            let rate = rate.map_or(u64::MAX, |rate| rate.0.into());
            for number in [target.0, version.into(), rate] {
                hash.update(&number.to_le_bytes());
            }
        }
        hash.digest().max(1)
    }

    /// Returns the limits that hold.
    pub fn rates(&self) -> BTreeMap<TargetKey, RequestRate> {
        let rates = self.limits.iter();
        rates.filter_map(|(target, limit)| Some((*target, limit.report.rate?))).collect()
    }

    /// Removes the limits of targets for which `kept` is false.
    pub fn retain(&mut self, kept: impl Fn(TargetKey) -> bool) {
        self.limits.retain(|target, _| kept(*target));
    }
}
