//! Bytes between a node and the other nodes and the targets, by failure domain. Operators may be
//! charged for what crosses domains.

use crate::metrics::MetricSet;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Failure domain of the other end, as seen by this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DomainScope {
    Own,
    Other,
    /// No status has told the domain of the node yet.
    Unknown,
}

impl DomainScope {
    /// Returns the scope of another end, whose domain may be unknown.
    pub(crate) fn of(own: &str, other: Option<&str>) -> Self {
        match other {
            Some(other) if other == own => Self::Own,
            Some(_) => Self::Other,
            None => Self::Unknown,
        }
    }

    const fn label(self) -> &'static str {
        match self {
            Self::Own => "own domain",
            Self::Other => "other domain",
            Self::Unknown => "unknown domain",
        }
    }
}

/// Requests to targets of one scope, and bytes on their connections.
#[derive(Debug, Default)]
pub(crate) struct LinkBytes {
    pub(crate) requests: Cell<u64>,
    pub(crate) sent: Cell<u64>,
    pub(crate) received: Cell<u64>,
}

impl LinkBytes {
    pub(crate) fn count_request(&self) {
        self.requests.set(self.requests.get() + 1);
    }

    pub(crate) fn count_sent(&self, bytes: usize) {
        self.sent.set(self.sent.get() + bytes as u64);
    }

    pub(crate) fn count_received(&self, bytes: usize) {
        self.received.set(self.received.get() + bytes as u64);
    }
}

/// Number and total size of datagrams.
#[derive(Clone, Copy, Debug, Default)]
struct DatagramCount {
    datagrams: u64,
    bytes: u64,
}

/// Traffic since it was last added to the metrics.
#[derive(Debug, Default)]
pub(crate) struct TrafficTotals {
    datagrams: RefCell<BTreeMap<(&'static str, DomainScope), DatagramCount>>,
    own: Rc<LinkBytes>,
    other: Rc<LinkBytes>,
}

impl TrafficTotals {
    /// Counts a datagram of `bytes` bytes that was sent.
    pub(crate) fn count_datagram(&self, kind: &'static str, scope: DomainScope, bytes: usize) {
        let mut datagrams = self.datagrams.borrow_mut();
        let count = datagrams.entry((kind, scope)).or_default();
        count.datagrams += 1;
        count.bytes += bytes as u64;
    }

    /// Returns the counter of the connections to targets of a scope.
    pub(crate) fn link(&self, scope: DomainScope) -> Rc<LinkBytes> {
        if scope == DomainScope::Own { self.own.clone() } else { self.other.clone() }
    }

    /// Adds the traffic since the last call to the metrics.
    pub(crate) fn add_to(&self, metrics: &mut MetricSet) {
        for ((kind, scope), count) in std::mem::take(&mut *self.datagrams.borrow_mut()) {
            let label = format!("{kind}, {}", scope.label());
            metrics.count("datagrams", &label, count.datagrams);
            metrics.count("datagram_bytes", &label, count.bytes);
        }
        for (scope, link) in [(DomainScope::Own, &self.own), (DomainScope::Other, &self.other)] {
            metrics.count("target_requests", scope.label(), link.requests.take());
            for (kind, bytes) in [("request", &link.sent), ("response", &link.received)] {
                let label = format!("{kind}, {}", scope.label());
                metrics.count("target_bytes", &label, bytes.take());
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against traffic that is counted twice or under the wrong domain.
    #[test]
    fn traffic_is_added_once_by_kind_and_domain() {
        let (totals, mut metrics) = (TrafficTotals::default(), MetricSet::default());
        totals.count_datagram("status", DomainScope::of("a", Some("b")), 100);
        totals.count_datagram("status", DomainScope::of("a", Some("b")), 50);
        totals.count_datagram("submit", DomainScope::of("a", Some("a")), 7);
        totals.link(DomainScope::of("a", Some("b"))).count_received(900);
        totals.add_to(&mut metrics);
        totals.add_to(&mut metrics);
        let text = metrics.render();
        let line = |name: &str, kind: &str, value: u64| {
            format!("burdockcleat_{name}_total{{kind=\"{kind}\"}} {value}\n")
        };
        assert!(text.contains(&line("datagram_bytes", "status, other domain", 150)), "{text}");
        assert!(text.contains(&line("datagrams", "status, other domain", 2)), "{text}");
        assert!(text.contains(&line("datagram_bytes", "submit, own domain", 7)), "{text}");
        assert!(text.contains(&line("target_bytes", "response, other domain", 900)), "{text}");
    }
}
