//! Metrics of the entry.

use super::chain::ChainRecord;
use crate::telemetry::metrics::{MetricSet, label};
use burdockcleat_core::outcome::RequestOutcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use serde_json::Value;

/// Instruments of the entry.
pub struct EntryMetrics {
    set: MetricSet,
    requests: Counter<u64>,
    goodput: Counter<u64>,
    prefill: Counter<u64>,
    cached: Counter<u64>,
    wasted: Counter<u64>,
    first_token: Histogram<u64>,
}

impl EntryMetrics {
    /// Creates the instruments.
    pub fn open() -> Self {
        let set = MetricSet::open();
        let meter = set.meter();
        Self {
            requests: meter.u64_counter("requests").with_unit("1").build(),
            goodput: meter.u64_counter("goodput").with_unit("1").build(),
            prefill: meter.u64_counter("prefill_tokens").with_unit("token").build(),
            cached: meter.u64_counter("prefill_tokens_cached").with_unit("token").build(),
            wasted: meter.u64_counter("prefill_tokens_wasted").with_unit("token").build(),
            first_token: meter.u64_histogram("first_token_time").with_unit("ms").build(),
            set,
        }
    }

    /// Counts one request that has ended.
    pub fn record(&self, record: &ChainRecord) {
        let tier = KeyValue::new("tier", record.tier.map_or(-1, i64::from));
        let reason = record.reason.map_or_else(|| "none".to_owned(), |reason| label(&reason));
        let outcome = KeyValue::new("outcome", label(&record.outcome));
        self.requests.add(1, &[tier.clone(), outcome, KeyValue::new("reason", reason)]);
        if record.outcome == RequestOutcome::Completed && record.in_time {
            self.goodput.add(1, std::slice::from_ref(&tier));
        }
        let Some(run) = record.run else { return };
        let computed = run.usage.prompt_tokens.saturating_sub(run.usage.cached_tokens);
        self.prefill.add(u64::from(computed), std::slice::from_ref(&tier));
        self.cached.add(u64::from(run.usage.cached_tokens), std::slice::from_ref(&tier));
        if run.outcome != RequestOutcome::Completed {
            // Prompt work of an answer that was thrown away.
            self.wasted.add(u64::from(computed), std::slice::from_ref(&tier));
        }
        if let Some(first) = run.first_token {
            self.first_token.record(first.since(run.started), &[tier]);
        }
    }

    /// All instruments as JSON.
    pub fn collect(&self) -> Value {
        self.set.collect()
    }
}
