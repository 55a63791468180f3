//! Metrics of the entry daemon.

use super::chain::RequestRecord;
use crate::telemetry::metrics::{MetricSet, TIME_BOUNDS_US, label};
use burdockcleat_core::outcome::RequestOutcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use serde_json::Value;
use std::time::Duration;

/// Stage in the handling of a request, up to its first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// From the first byte at the connection proxy until the HTTP server returns the request.
    Accept,
    /// From then until a thread begins to serve the request.
    Start,
    /// Reading the body, authentication and routing.
    Admit,
    /// From the submission to the leader until its decision.
    Claim,
    /// From the grant until the connection to the target is established.
    Connect,
    /// From the connection until the head of the target's response.
    Head,
    /// From the head until the first token of the target.
    FirstToken,
    /// Writing the first token to the caller.
    Deliver,
}

impl RequestStage {
    fn name(self) -> &'static str {
        match self {
            Self::Accept => "accept",
            Self::Start => "start",
            Self::Admit => "admit",
            Self::Claim => "claim",
            Self::Connect => "connect",
            Self::Head => "head",
            Self::FirstToken => "first_token",
            Self::Deliver => "deliver",
        }
    }
}

/// Metric instruments of the entry daemon.
pub struct EntryMetrics {
    set: MetricSet,
    requests: Counter<u64>,
    goodput: Counter<u64>,
    prefill: Counter<u64>,
    cached: Counter<u64>,
    wasted: Counter<u64>,
    first_token: Histogram<u64>,
    stage: Histogram<u64>,
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
            stage: meter
                .u64_histogram("stage_time")
                .with_unit("us")
                .with_boundaries(TIME_BOUNDS_US.to_vec())
                .build(),
            set,
        }
    }

    /// Counts one request that has ended.
    pub fn record(&self, record: &RequestRecord) {
        let tier = KeyValue::new("tier", record.tier.map_or(-1, i64::from));
        let reason = record.reason.map_or_else(|| "none".to_owned(), |reason| label(&reason));
        let outcome = KeyValue::new("outcome", label(&record.outcome));
        self.requests.add(1, &[tier.clone(), outcome, KeyValue::new("reason", reason)]);
        if record.outcome == RequestOutcome::Completed && record.in_time {
            self.goodput.add(1, std::slice::from_ref(&tier));
        }
        let Some(dispatch) = record.dispatch else { return };
        let computed = dispatch.usage.prompt_tokens.saturating_sub(dispatch.usage.cached_tokens);
        self.prefill.add(u64::from(computed), std::slice::from_ref(&tier));
        self.cached.add(u64::from(dispatch.usage.cached_tokens), std::slice::from_ref(&tier));
        if dispatch.outcome != RequestOutcome::Completed {
            // The prompt was computed for a response that did not complete.
            self.wasted.add(u64::from(computed), std::slice::from_ref(&tier));
        }
        if let Some(first) = dispatch.first_token {
            self.first_token.record(first.since(dispatch.started), &[tier]);
        }
    }

    /// Records the duration of one stage of a request.
    pub fn record_stage(&self, stage: RequestStage, time: Duration) {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.stage.record(time_us, &[KeyValue::new("stage", stage.name())]);
    }

    /// Collects all metrics as JSON.
    pub fn collect(&self) -> Value {
        self.set.collect()
    }
}
