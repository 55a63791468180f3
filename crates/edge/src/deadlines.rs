//! Estimates how long a caller has been waiting when its request arrives.
//!
//! Under overload, refused callers retry. Their latency counts from the first attempt, but each
//! attempt arrives as a new request. A deadline shorter than that of first attempts shows that part
//! of the time is already spent.

use crate::memory::RouteDeadline;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Fraction by which the deadlines of first attempts on one route vary.
const DEADLINE_SPREAD: f64 = 0.15;
/// Length of a recording period, in ms. A deadline counts until the end of the following period.
const PERIOD_MS: u64 = 20_000;

#[derive(Clone, Copy, Debug, Default)]
struct LongestDeadline {
    current_ms: u64,
    previous_ms: u64,
    since: ClockTime,
}

/// Tracks the longest recent deadline of each route.
#[derive(Debug, Default)]
pub struct DeadlineTracker {
    routes: BTreeMap<String, LongestDeadline>,
}

impl DeadlineTracker {
    /// Records the deadline of a request. Returns the minimum time for which its caller has already
    /// waited, in ms.
    pub fn spent_ms(&mut self, route: &str, deadline_ms: u64, now: ClockTime) -> u64 {
        let longest = self.routes.entry(route.to_owned()).or_default();
        if now.since(longest.since) >= PERIOD_MS {
            longest.previous_ms = longest.current_ms;
            longest.current_ms = 0;
            longest.since = now;
        }
        longest.current_ms = longest.current_ms.max(deadline_ms);
        let first_ms = longest.current_ms.max(longest.previous_ms) as f64 * (1.0 - DEADLINE_SPREAD);
        (first_ms as u64).saturating_sub(deadline_ms)
    }

    /// Returns the longest deadline of each route, for nodes that have just started.
    pub fn longest_deadlines(&self) -> Vec<RouteDeadline> {
        let longest = |route: &LongestDeadline| route.current_ms.max(route.previous_ms);
        self.routes.iter().map(|(name, route)| (name.clone(), longest(route))).collect()
    }

    /// Restores deadlines that were known before this node started.
    pub fn restore(&mut self, deadlines: &[RouteDeadline], now: ClockTime) {
        for (route, longest_ms) in deadlines {
            let known = self.routes.entry(route.clone()).or_default();
            if known.current_ms == 0 {
                known.since = now;
            }
            known.current_ms = known.current_ms.max(*longest_ms);
        }
    }
}
