//! Compares the number of requests that a target states with those that are known to run there.
//!
//! A node that is cut off or on a lost host neither reports that a request has ended nor refuses a
//! connection. The target then states fewer requests than are known.

use super::service::ServiceScheduler;
use super::target::{AttemptOutcome, TargetState};
use super::{PlacementKey, PlacementScheduler, ProcessKey};
use crate::target_load::LoadReport;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeSet;

/// Time within which a granted request reaches its target, in ms. Before, the target does not count it.
const ARRIVAL_MS: u64 = 150;
/// Time within which a node reports that a request has ended, in ms. Before, the target may no longer
/// count a request that is still known.
const NOTICE_MS: u64 = 100;

/// Number of requests that a target held at some time.
#[derive(Clone, Copy, Debug)]
pub(super) struct StatedRequests {
    held: usize,
    at: ClockTime,
}

impl TargetState {
    /// Records how many requests the target states, unless a newer statement is known.
    pub(super) fn record_stated(&mut self, report: LoadReport, now: ClockTime) {
        let at = ClockTime::from_ms(now.as_ms().saturating_sub(report.age_ms));
        if self.stated.is_none_or(|stated| stated.at <= at) {
            self.stated = Some(StatedRequests { held: report.load.held() as usize, at });
        }
    }

    /// Removes as many requests of silent processes as the target no longer counts. Returns their keys.
    fn remove_ended(&mut self, silent: &BTreeSet<ProcessKey>, now: ClockTime) -> Vec<PlacementKey> {
        let Some(stated) = self.stated.filter(|stated| now.since(stated.at) >= NOTICE_MS) else {
            return Vec::new();
        };
        let counted = || {
            let requests = self.running.iter();
            requests.filter(|(_, running)| running.granted.plus(ARRIVAL_MS) <= stated.at)
        };
        let ended = counted().count().saturating_sub(stated.held);
        let mut removed: Vec<_> = counted()
            .filter(|(_, running)| {
                silent.contains(&running.process) && running.last_seen < stated.at
            })
            .map(|(key, running)| (running.last_seen, *key))
            .collect();
        removed.sort_unstable();
        let removed: Vec<_> = removed.into_iter().take(ended).map(|(_, key)| key).collect();
        for key in &removed {
            self.finished(*key, AttemptOutcome::Dropped, now);
        }
        removed
    }
}

impl ServiceScheduler {
    fn remove_ended(&mut self, silent: &BTreeSet<ProcessKey>, now: ClockTime) -> usize {
        let states = self.targets.values_mut();
        let removed: Vec<_> = states.flat_map(|state| state.remove_ended(silent, now)).collect();
        self.recently_ended.extend(removed.iter().map(|key| (*key, now)));
        removed.len()
    }
}

impl PlacementScheduler {
    /// Removes the requests of silent processes that have ended at their targets, as far as these
    /// state how many they hold, and places others that wait for their slots. Returns their number.
    pub fn remove_ended(&mut self, silent: &BTreeSet<ProcessKey>, now: ClockTime) -> usize {
        let mut removed = 0;
        for scheduler in self.services.values_mut() {
            let ended = scheduler.remove_ended(silent, now);
            if ended > 0 {
                scheduler.place_waiting(now, &mut self.outputs);
            }
            removed += ended;
        }
        removed
    }
}
