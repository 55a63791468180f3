//! Counters, gauges and latency histograms of a node with a text exposition.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Upper bound of the latency histograms, in ms. Longer latencies are recorded as this value.
const MAX_LATENCY_MS: u64 = 60_000;

/// Counters, gauges and histograms by name and label.
#[derive(Debug, Default)]
pub struct MetricSet {
    counters: BTreeMap<(&'static str, String), u64>,
    gauges: BTreeMap<(&'static str, String), f64>,
    latencies: BTreeMap<(&'static str, String), Histogram<u64>>,
}

impl MetricSet {
    /// Adds `amount` to a counter. `label` is the value of the label `kind`.
    pub fn count(&mut self, name: &'static str, label: &str, amount: u64) {
        *self.counters.entry((name, label.to_owned())).or_default() += amount;
    }

    /// Sets a gauge.
    pub fn set(&mut self, name: &'static str, label: &str, value: f64) {
        self.gauges.insert((name, label.to_owned()), value);
    }

    /// Records a latency in ms.
    pub fn record(&mut self, name: &'static str, label: &str, ms: u64) {
        let key = (name, label.to_owned());
        if let Some(histogram) = self.latencies.get_mut(&key) {
            histogram.saturating_record(ms);
        } else if let Ok(mut histogram) = Histogram::new_with_bounds(1, MAX_LATENCY_MS, 2) {
            histogram.saturating_record(ms);
            self.latencies.insert(key, histogram);
        }
    }

    /// Renders all metrics as text, one per line.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        for ((name, label), value) in &self.counters {
            let _ = writeln!(text, "burdockcleat_{name}_total{{kind=\"{label}\"}} {value}");
        }
        for ((name, label), value) in &self.gauges {
            let _ = writeln!(text, "burdockcleat_{name}{{kind=\"{label}\"}} {value}");
        }
        for ((name, label), histogram) in &self.latencies {
            for quantile in [0.5, 0.9, 0.99] {
                let value = histogram.value_at_quantile(quantile);
                let labels = format!("kind=\"{label}\",quantile=\"{quantile}\"");
                let _ = writeln!(text, "burdockcleat_{name}_ms{{{labels}}} {value}");
            }
            let count = histogram.len();
            let _ = writeln!(text, "burdockcleat_{name}_ms_count{{kind=\"{label}\"}} {count}");
        }
        text
    }
}
