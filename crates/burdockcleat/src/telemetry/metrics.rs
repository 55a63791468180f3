//! Metrics of a process, collected on request and written as JSON.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::data::{
    AggregatedMetrics, HistogramDataPoint, Metric, MetricData, ResourceMetrics,
};
use opentelemetry_sdk::metrics::reader::MetricReader;
use opentelemetry_sdk::metrics::{
    InstrumentKind, ManualReader, Pipeline, SdkMeterProvider, Temporality,
};
use serde::Serialize;
use serde_json::{Map, Value, json};
use std::fmt::Display;
use std::sync::{Arc, Weak};
use std::time::Duration;

/// Metric instruments of a process, with the reader that collects them.
pub struct MetricSet {
    provider: SdkMeterProvider,
    reader: SharedReader,
}

impl MetricSet {
    /// Creates a set without instruments.
    pub fn open() -> Self {
        let reader = SharedReader(Arc::new(ManualReader::builder().build()));
        let provider = SdkMeterProvider::builder().with_reader(reader.clone()).build();
        Self { provider, reader }
    }

    /// Returns the meter that creates instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("burdockcleat")
    }

    /// Collects all metrics as JSON, each with its unit and a list of data points.
    pub fn collect(&self) -> Value {
        let mut resource = ResourceMetrics::default();
        // Collecting fails only after the provider has shut down, which never happens.
        let _ = self.reader.collect(&mut resource);
        let mut metrics = Map::new();
        for metric in resource.scope_metrics().flat_map(|scope| scope.metrics()) {
            let value = json!({ "unit": metric.unit(), "points": points(metric) });
            metrics.insert(metric.name().to_owned(), value);
        }
        Value::Object(metrics)
    }
}

fn points(metric: &Metric) -> Vec<Value> {
    match metric.data() {
        AggregatedMetrics::F64(data) => points_of(data, |value| json!(value)),
        AggregatedMetrics::U64(data) => points_of(data, |value| json!(value)),
        AggregatedMetrics::I64(data) => points_of(data, |value| json!(value)),
    }
}

fn points_of<T: Copy + Display>(data: &MetricData<T>, number: fn(T) -> Value) -> Vec<Value> {
    match data {
        MetricData::Gauge(gauge) => gauge
            .data_points()
            .map(|point| json!({ "labels": labels(point.attributes()), "value": number(point.value()) }))
            .collect(),
        MetricData::Sum(sum) => sum
            .data_points()
            .map(|point| json!({ "labels": labels(point.attributes()), "value": number(point.value()) }))
            .collect(),
        MetricData::Histogram(histogram) => {
            histogram.data_points().map(|point| histogram_point(point, number)).collect()
        }
        MetricData::ExponentialHistogram(_) => Vec::new(),
    }
}

fn histogram_point<T: Copy>(point: &HistogramDataPoint<T>, number: fn(T) -> Value) -> Value {
    json!({
        "labels": labels(point.attributes()),
        "count": point.count(),
        "sum": number(point.sum()),
        "bounds": point.bounds().collect::<Vec<_>>(),
        "buckets": point.bucket_counts().collect::<Vec<_>>(),
    })
}

fn labels<'a>(attributes: impl Iterator<Item = &'a KeyValue>) -> Map<String, Value> {
    attributes.map(|label| (label.key.to_string(), label.value.as_str().into())).collect()
}

/// Upper bounds of the histogram buckets for short durations, in microseconds.
///
/// The buckets are narrow around 5 ms, the target for the latency that an entry adds to a request.
pub const TIME_BOUNDS_US: [f64; 22] = [
    50.0,
    100.0,
    200.0,
    300.0,
    400.0,
    500.0,
    700.0,
    1_000.0,
    1_500.0,
    2_000.0,
    2_500.0,
    3_000.0,
    4_000.0,
    5_000.0,
    7_000.0,
    10_000.0,
    15_000.0,
    20_000.0,
    30_000.0,
    50_000.0,
    100_000.0,
    1_000_000.0,
];

/// Returns the serialised name of an outcome or a reason, as in responses to callers.
pub fn label<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(Value::String(text)) => text,
        _ => "unknown".to_owned(),
    }
}

/// Metric reader that the provider and the dump share.
#[derive(Clone, Debug)]
struct SharedReader(Arc<ManualReader>);

impl MetricReader for SharedReader {
    fn register_pipeline(&self, pipeline: Weak<Pipeline>) {
        self.0.register_pipeline(pipeline);
    }

    fn collect(&self, metrics: &mut ResourceMetrics) -> OTelSdkResult {
        self.0.collect(metrics)
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.0.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.0.shutdown_with_timeout(timeout)
    }

    fn temporality(&self, kind: InstrumentKind) -> Temporality {
        self.0.temporality(kind)
    }
}
