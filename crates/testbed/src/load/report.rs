//! Report of a load run.

use super::caller::{CallOutcome, CallResult, reason_text};
use super::prefill::PrefillReport;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Percentiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TimingReport {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Results of one tier.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TierReport {
    /// Rank of the tier.
    pub tier: u8,
    /// Number of requests that were sent.
    pub sent: u64,
    /// Goodput: number of requests whose correct and complete answer arrived within the deadline.
    pub in_time: u64,
    /// Goodput per second of the plan's duration.
    pub goodput_per_second: f64,
    /// Correct and complete answers that arrived after the deadline.
    pub late: u64,
    /// Requests whose last attempt was refused or failed, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests whose connection broke in the last attempt.
    pub cut: u64,
    /// Requests whose last attempt reached no entry.
    pub unreachable: u64,
    /// Answers that ended normally but were incomplete. Must be zero (P3).
    pub incomplete: u64,
    /// Answers with a token of another request. Must be zero (P3).
    pub foreign: u64,
    /// Attempts that failed and were followed by a resend, by reason.
    pub resent: BTreeMap<String, u64>,
    /// Time from the planned arrival to the first token of completed requests.
    pub first_token: TimingReport,
    /// Time between the tokens of completed requests.
    pub between_tokens: TimingReport,
}

/// Request whose last attempt was refused because an earlier one had already ended it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AlreadyEndedRequest {
    /// Value of `x-request-id`.
    pub id: String,
    /// Rank of the tier.
    pub tier: u8,
    /// Reasons for which the earlier attempts did not complete, in order.
    pub earlier: Vec<String>,
}

/// Results of one run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests of the plan.
    pub planned: u64,
    /// Requests that were not sent because the load generator had too many open requests.
    pub unsent: u64,
    /// Duration of the plan, in seconds.
    pub seconds: f64,
    /// Seed of the plan.
    pub seed: u64,
    /// Results by tier.
    pub tiers: Vec<TierReport>,
    /// Requests whose last attempt was refused because the request had already ended.
    #[serde(default)]
    pub already_ended: Vec<AlreadyEndedRequest>,
    /// Prefill of the run, if the journals of the engines were read.
    pub prefill: Option<PrefillReport>,
}

/// Accumulates the results of one tier.
pub(super) struct TierTally {
    report: TierReport,
    first: Histogram<u32>,
    between: Histogram<u32>,
}

impl TierTally {
    pub(super) fn new(tier: u8) -> Self {
        // Three significant digits up to one hour in microseconds. These bounds are always valid.
        let histogram = || {
            Histogram::new_with_bounds(1, 3_600_000_000, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are constant"))
        };
        let report = TierReport { tier, ..TierReport::default() };
        Self { report, first: histogram(), between: histogram() }
    }

    pub(super) fn add(&mut self, result: &CallResult) {
        let report = &mut self.report;
        report.sent += 1;
        for earlier in &result.earlier {
            *report.resent.entry(reason_text(earlier)).or_default() += 1;
        }
        match &result.end {
            CallOutcome::Completed if result.in_time => report.in_time += 1,
            CallOutcome::Completed => report.late += 1,
            CallOutcome::Foreign => report.foreign += 1,
            CallOutcome::Incomplete => report.incomplete += 1,
            CallOutcome::Refused(reason) => *report.refused.entry(reason.clone()).or_default() += 1,
            CallOutcome::Cut => report.cut += 1,
            CallOutcome::Unreachable => report.unreachable += 1,
        }
        if result.end == CallOutcome::Completed {
            let micros = |time: &Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            if let Some(first) = &result.first_token {
                self.first.saturating_record(micros(first));
            }
            for gap in &result.gaps {
                self.between.saturating_record(micros(gap));
            }
        }
    }

    pub(super) fn finish(mut self, seconds: f64) -> TierReport {
        self.report.goodput_per_second = self.report.in_time as f64 / seconds;
        self.report.first_token = timing(&self.first);
        self.report.between_tokens = timing(&self.between);
        self.report
    }
}

fn timing(histogram: &Histogram<u32>) -> TimingReport {
    let at = |share| histogram.value_at_quantile(share) as f64 / 1_000.0;
    TimingReport { count: histogram.len(), p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99) }
}

impl fmt::Display for TimingReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { count, p50_ms, p95_ms, p99_ms } = self;
        write!(formatter, "p50 {p50_ms:.1} ms, p95 {p95_ms:.1} ms, p99 {p99_ms:.1} ms of {count}")
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { planned, unsent, seconds, seed, .. } = self;
        writeln!(formatter, "{planned} planned in {seconds} s with seed {seed}, {unsent} unsent")?;
        for tier in &self.tiers {
            writeln!(
                formatter,
                "tier {}: {} sent, {} in time ({:.2}/s), {} late, {} cut, {} unreachable, \
                 {} incomplete, {} foreign",
                tier.tier,
                tier.sent,
                tier.in_time,
                tier.goodput_per_second,
                tier.late,
                tier.cut,
                tier.unreachable,
                tier.incomplete,
                tier.foreign,
            )?;
            writeln!(formatter, "  refused {:?}, resent {:?}", tier.refused, tier.resent)?;
            writeln!(formatter, "  first token {}", tier.first_token)?;
            writeln!(formatter, "  between tokens {}", tier.between_tokens)?;
        }
        if let Some(prefill) = &self.prefill {
            writeln!(
                formatter,
                "prefill: {} of {} prompt tokens computed, {} discarded, {} recomputed, \
                 {:.3} wasted, {} dispatches, {} requests dispatched again",
                prefill.computed_tokens,
                prefill.prompt_tokens,
                prefill.discarded_tokens,
                prefill.recomputed_tokens,
                prefill.wasted_share,
                prefill.dispatches,
                prefill.repeated_dispatches,
            )?;
        }
        Ok(())
    }
}
