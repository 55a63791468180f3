//! Requests of one process: those of a process that has ended are removed.

use super::service::ServiceScheduler;
use super::{PlacementScheduler, ProcessKey};
use burdockcleat_core::clock::ClockTime;
use std::collections::{BTreeMap, HashSet};

/// Number of requests that were removed with their process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreedRequests {
    /// Requests that ran at targets.
    pub running: usize,
    /// Requests that waited for a target.
    pub waiting: usize,
}

impl ServiceScheduler {
    fn processes(&self) -> impl Iterator<Item = ProcessKey> {
        let running = self.targets.values().flat_map(|state| state.running.values());
        running.map(|running| running.process)
    }

    fn end_process(&mut self, process: ProcessKey, now: ClockTime) -> FreedRequests {
        let waiting = self.withdraw_process(process);
        let mut running = 0;
        for state in self.targets.values_mut() {
            for key in state.remove_requests_of(process, now) {
                self.recently_ended.insert(key, now);
                running += 1;
            }
        }
        FreedRequests { running, waiting }
    }

    /// Adds the processes that run a stream which waits here again for another process, with the
    /// time at which it began to wait.
    fn add_left_processes(&self, left: &mut BTreeMap<ProcessKey, ClockTime>) {
        let returned: BTreeMap<_, _> = self.returned_streams().collect();
        if returned.is_empty() {
            return;
        }
        for running in self.targets.values().flat_map(|state| state.running.values()) {
            let Some((process, since)) = running.stream.and_then(|stream| returned.get(&stream))
            else {
                continue;
            };
            if running.process != *process {
                let newest = left.entry(running.process).or_insert(*since);
                *newest = (*newest).max(*since);
            }
        }
    }
}

impl PlacementScheduler {
    /// Returns the processes whose requests hold slots of services for which others wait.
    pub fn slot_holders(&self) -> HashSet<ProcessKey> {
        let schedulers = self.services.values().filter(|scheduler| scheduler.waiting_count() > 0);
        schedulers.flat_map(ServiceScheduler::processes).collect()
    }

    /// Returns the processes that run a stream whose caller has come back with it through another
    /// process and waits, with the latest time of such a return.
    pub fn left_processes(&self) -> BTreeMap<ProcessKey, ClockTime> {
        let mut left = BTreeMap::new();
        for scheduler in self.services.values() {
            scheduler.add_left_processes(&mut left);
        }
        left
    }

    /// Removes the waiting requests of a process that cannot be told the decisions about them.
    pub fn withdraw_process(&mut self, process: ProcessKey) {
        for scheduler in self.services.values_mut() {
            scheduler.withdraw_process(process);
        }
    }

    /// Removes all requests of a process that has ended, and places others that wait for their slots.
    pub fn end_process(&mut self, process: ProcessKey, now: ClockTime) -> FreedRequests {
        self.memory_view.forget(process);
        let mut freed = FreedRequests::default();
        for scheduler in self.services.values_mut() {
            let FreedRequests { running, waiting } = scheduler.end_process(process, now);
            freed.running += running;
            freed.waiting += waiting;
            scheduler.place_waiting(now, &mut self.outputs);
        }
        freed
    }
}
