//! Metrics of the control daemon.
//!
//! Counters and histograms are updated as events happen. Gauges are set when metrics are collected.

use super::event::CallReply;
use super::node::ControlNode;
use crate::telemetry::metrics::{MetricSet, TIME_BOUNDS_US, label};
use burdockcleat_core::admission::{AdmissionEvent, AdmissionEventKind};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use burdockcleat_core::pool::TierCounts;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

/// Instruments of the control daemon.
pub struct ControlMetrics {
    set: MetricSet,
    shed: Counter<u64>,
    preempted: Counter<u64>,
    ended: Counter<u64>,
    goodput: Counter<u64>,
    wasted: Counter<u64>,
    waiting: Gauge<u64>,
    running: Gauge<u64>,
    oldest_wait: Gauge<u64>,
    sync_time: Histogram<u64>,
    commit_time: Histogram<u64>,
    /// Log index and time of proposals that are not committed yet, oldest first.
    pending_proposals: VecDeque<(u64, Instant)>,
    gauges: ValueGauges,
    /// Pools and tiers that have been reported. Their gauges are set to zero once they have no
    /// requests.
    tiers: BTreeSet<(String, u8)>,
}

/// Gauges without labels.
struct ValueGauges {
    claims_open: Gauge<u64>,
    claims_total: Gauge<u64>,
    claims_limit: Gauge<u64>,
    config_version: Gauge<u64>,
    leading: Gauge<u64>,
    lease_valid: Gauge<u64>,
    term: Gauge<u64>,
    log_entries: Gauge<u64>,
    log_bytes: Gauge<u64>,
    log_syncs: Gauge<u64>,
    orders_open: Gauge<u64>,
    entries: Gauge<u64>,
    targets: Gauge<u64>,
}

impl ControlMetrics {
    /// Creates the instruments.
    pub fn open() -> Self {
        let set = MetricSet::open();
        let meter = set.meter();
        let counter = |name| meter.u64_counter(name).with_unit("1").build();
        let time_histogram = |name| {
            let histogram = meter.u64_histogram(name).with_unit("us");
            histogram.with_boundaries(TIME_BOUNDS_US.to_vec()).build()
        };
        let gauge = |name, unit| meter.u64_gauge(name).with_unit(unit).build();
        let gauges = ValueGauges {
            claims_open: gauge("claims_open", "1"),
            claims_total: gauge("claims_total", "1"),
            claims_limit: gauge("claims_limit", "1"),
            config_version: gauge("config_version", "1"),
            leading: gauge("leading", "1"),
            lease_valid: gauge("lease_valid", "1"),
            term: gauge("term", "1"),
            log_entries: gauge("log_entries", "1"),
            log_bytes: gauge("log_bytes", "By"),
            log_syncs: gauge("log_syncs", "1"),
            orders_open: gauge("orders_open", "1"),
            entries: gauge("entries", "1"),
            targets: gauge("targets", "1"),
        };
        Self {
            shed: counter("shed"),
            preempted: counter("preempted"),
            ended: counter("requests"),
            goodput: counter("goodput"),
            wasted: meter.u64_counter("prefill_tokens_wasted").with_unit("token").build(),
            waiting: gauge("waiting", "1"),
            running: gauge("running", "1"),
            oldest_wait: gauge("oldest_wait", "ms"),
            sync_time: time_histogram("log_sync_time"),
            commit_time: time_histogram("log_commit_time"),
            pending_proposals: VecDeque::new(),
            gauges,
            tiers: BTreeSet::new(),
            set,
        }
    }

    /// Counts an admission event.
    pub fn count_event(&self, event: &AdmissionEvent) {
        let labels = tier_labels(&event.pool, event.tier);
        match event.kind {
            AdmissionEventKind::Refused(reason) => {
                self.shed.add(1, &with_label(labels, "reason", label(&reason)));
            }
            AdmissionEventKind::Cancelled(ReasonCode::Preempted) => self.preempted.add(1, &labels),
            AdmissionEventKind::Cancelled(_) => {}
            AdmissionEventKind::Ended { outcome, in_time, wasted_tokens } => {
                if outcome == RequestOutcome::Completed && in_time {
                    self.goodput.add(1, &labels);
                }
                self.wasted.add(u64::from(wasted_tokens), &labels);
                self.ended.add(1, &with_label(labels, "outcome", label(&outcome)));
            }
        }
    }

    /// Records how long it took to write and sync the storage.
    pub fn record_sync(&self, time: Duration) {
        self.sync_time.record(as_us(time), &[]);
    }

    /// Records that this instance appended a record as the leader.
    pub fn record_proposal(&mut self, index: u64) {
        // An instance that lost leadership may propose the same indexes again in a later term.
        while self.pending_proposals.pop_back_if(|(known, _)| *known >= index).is_some() {}
        self.pending_proposals.push_back((index, Instant::now()));
    }

    /// Records the time from proposal to commit for all proposals up to an index.
    pub fn record_commits(&mut self, index: u64) {
        while let Some((_, at)) = self.pending_proposals.pop_front_if(|(known, _)| *known <= index)
        {
            self.commit_time.record(as_us(at.elapsed()), &[]);
        }
    }

    fn record_tier(&self, pool: &str, tier: u8, counts: TierCounts) {
        let labels = tier_labels(pool, tier);
        self.waiting.record(counts.waiting as u64, &labels);
        self.running.record(counts.running as u64, &labels);
        self.oldest_wait.record(counts.oldest_wait_ms, &labels);
    }
}

fn as_us(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn tier_labels(pool: &str, tier: u8) -> Vec<KeyValue> {
    vec![KeyValue::new("pool", pool.to_owned()), KeyValue::new("tier", i64::from(tier))]
}

fn with_label(mut labels: Vec<KeyValue>, name: &'static str, value: String) -> Vec<KeyValue> {
    labels.push(KeyValue::new(name, value));
    labels
}

impl ControlNode {
    /// Returns all metrics as JSON.
    pub(super) fn metrics_reply(&mut self) -> CallReply {
        let now = ClockTime::monotonic();
        self.record_tiers(now);
        self.record_values(now);
        CallReply { status: 200, body: self.metrics.set.collect().to_string() }
    }

    fn record_tiers(&mut self, now: ClockTime) {
        for (pool, tier) in &self.metrics.tiers {
            self.metrics.record_tier(pool, *tier, TierCounts::default());
        }
        let Some(admission) = &self.admission else { return };
        for (pool, scheduler) in admission.pools() {
            for (tier, counts) in scheduler.tier_counts(now) {
                self.metrics.record_tier(pool, tier, counts);
                self.metrics.tiers.insert((pool.clone(), tier));
            }
        }
    }

    fn record_values(&self, now: ClockTime) {
        let state = self.state.summary();
        let replica = self.replica.status(now);
        let registry =
            self.admission.as_ref().map_or(&self.follower_registry, |known| known.registry());
        let gauges = &self.metrics.gauges;
        let pairs = [
            (&gauges.claims_open, state.claims_open as u64),
            (&gauges.claims_total, state.claims as u64),
            (&gauges.claims_limit, state.claim_limit as u64),
            (&gauges.config_version, state.config_version),
            (&gauges.leading, u64::from(self.admission.is_some())),
            (&gauges.lease_valid, u64::from(replica.lease_valid)),
            (&gauges.term, replica.term),
            (&gauges.log_entries, self.replica.log_length()),
            (&gauges.log_bytes, self.storage.log_bytes()),
            (&gauges.log_syncs, self.storage.sync_count()),
            (&gauges.orders_open, state.orders_open as u64),
            (&gauges.entries, self.config.entries().count() as u64),
            (&gauges.targets, registry.iter().count() as u64),
        ];
        for (gauge, value) in pairs {
            gauge.record(value, &[]);
        }
    }
}
