//! Estimates how long requests take, from those that were answered recently.

use crate::recent_maximum::RecentMaximum;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Divisor of the longest duration of a route that gives the margin for longer ones.
const MARGIN_DIVISOR: u64 = 4;

/// Tracks the longest recent duration of the requests of each route.
#[derive(Debug, Default)]
pub struct DurationTracker {
    routes: BTreeMap<String, RecentMaximum>,
}

impl DurationTracker {
    /// Records the time from sending a request to the end of its answer, in ms.
    pub fn record(&mut self, route: &str, took_ms: u64, now: ClockTime) {
        self.routes.entry(route.to_owned()).or_default().record(took_ms, now);
    }

    /// Returns the time in which a request ends after it is sent, in ms. A route without answers is
    /// taken for as slow as the slowest other one. Returns `None` if no route has answers.
    pub fn expected_ms(&self, route: &str) -> Option<u64> {
        let slowest = || self.routes.values().map(RecentMaximum::get).max();
        let longest_ms = self.routes.get(route).map(RecentMaximum::get).or_else(slowest)?;
        Some(longest_ms + longest_ms / MARGIN_DIVISOR)
    }
}
