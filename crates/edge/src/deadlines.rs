//! How long a caller has been waiting when its request arrives.
//!
//! Answers an overload in which refused callers come back: their latency counts from their first
//! attempt, but each attempt is a new request. A deadline below those of first attempts tells that a
//! part of the time is spent.

use crate::memory::RouteDeadline;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Part by which the deadlines of first attempts on a route differ, as callers state them.
const DEADLINE_SPREAD: f64 = 0.15;
/// Time for which the longest deadline of a route is remembered, in ms.
const MEMORY_MS: u64 = 20_000;

#[derive(Clone, Copy, Debug, Default)]
struct LongestDeadline {
    current_ms: u64,
    previous_ms: u64,
    since: ClockTime,
}

/// Longest deadlines of each route, lately.
#[derive(Debug, Default)]
pub struct DeadlineTracker {
    routes: BTreeMap<String, LongestDeadline>,
}

impl DeadlineTracker {
    /// Counts a request with a deadline, and tells how long its caller has been waiting at least,
    /// in ms.
    pub fn spent_ms(&mut self, route: &str, deadline_ms: u64, now: ClockTime) -> u64 {
        let longest = self.routes.entry(route.to_owned()).or_default();
        if now.since(longest.since) >= MEMORY_MS {
            longest.previous_ms = longest.current_ms;
            longest.current_ms = 0;
            longest.since = now;
        }
        longest.current_ms = longest.current_ms.max(deadline_ms);
        let first_ms = longest.current_ms.max(longest.previous_ms) as f64 * (1.0 - DEADLINE_SPREAD);
        (first_ms as u64).saturating_sub(deadline_ms)
    }

    /// Longest deadlines by route, for nodes that have just started.
    pub fn longest_deadlines(&self) -> Vec<RouteDeadline> {
        let longest = |route: &LongestDeadline| route.current_ms.max(route.previous_ms);
        self.routes.iter().map(|(name, route)| (name.clone(), longest(route))).collect()
    }

    /// Takes over longest deadlines that were known before the start.
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
