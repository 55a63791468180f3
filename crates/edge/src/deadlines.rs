//! Estimates how long a caller has been waiting when its request arrives.
//!
//! Under overload, refused callers retry. Their latency counts from the first attempt, but each
//! attempt arrives as a new request. A deadline shorter than that of first attempts shows that part
//! of the time is already spent.

use crate::memory::RouteDeadline;
use crate::recent_maximum::RecentMaximum;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Fraction by which the deadlines of first attempts on one route vary.
const DEADLINE_SPREAD: f64 = 0.15;

/// Tracks the longest recent deadline of each route.
#[derive(Debug, Default)]
pub struct DeadlineTracker {
    routes: BTreeMap<String, RecentMaximum>,
}

impl DeadlineTracker {
    /// Records the deadline of a request. Returns the minimum time for which its caller has already
    /// waited, in ms.
    pub fn spent_ms(&mut self, route: &str, deadline_ms: u64, now: ClockTime) -> u64 {
        let longest = self.routes.entry(route.to_owned()).or_default();
        longest.record(deadline_ms, now);
        let first_ms = longest.get() as f64 * (1.0 - DEADLINE_SPREAD);
        (first_ms as u64).saturating_sub(deadline_ms)
    }

    /// Returns the longest deadline of each route, for nodes that have just started.
    pub fn longest_deadlines(&self) -> Vec<RouteDeadline> {
        self.routes.iter().map(|(name, longest)| (name.clone(), longest.get())).collect()
    }

    /// Restores deadlines that were known before this node started.
    pub fn restore(&mut self, deadlines: &[RouteDeadline], now: ClockTime) {
        for (route, longest_ms) in deadlines {
            self.routes.entry(route.clone()).or_default().restore(*longest_ms, now);
        }
    }
}
