//! Metrics of the control daemon.

use super::event::CallReply;
use super::node::ControlNode;
use crate::telemetry::metrics::MetricSet;

/// Instruments of the control daemon.
pub struct ControlMetrics {
    set: MetricSet,
}

impl ControlMetrics {
    /// Creates the instruments.
    pub fn open() -> Self {
        Self { set: MetricSet::open() }
    }
}

impl ControlNode {
    /// All instruments as JSON.
    pub(super) fn metrics_reply(&self) -> CallReply {
        CallReply { status: 200, body: self.metrics.set.collect().to_string() }
    }
}
