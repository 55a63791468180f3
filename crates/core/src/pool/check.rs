//! Request counts for metrics, dumps and tests, and the check of the tier rule.

use super::PoolScheduler;
use super::event::PoolOutput;
use crate::clock::ClockTime;
use crate::keys::RequestKey;
use crate::outcome::ReasonCode;
use crate::registry::TargetKey;
use std::collections::BTreeMap;
use thiserror::Error;

/// Violation of the tier rule: a request was shed, or its deadline passed in the queue, while a
/// lower tier was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error(
    "tier {refused} was refused with {reason:?} while {waiting} requests of lower tiers waited and {running} ran"
)]
pub struct TierViolation {
    /// Rank of the refused request's tier.
    pub refused: u8,
    /// Reason of the refusal.
    pub reason: ReasonCode,
    /// Number of waiting requests of lower tiers.
    pub waiting: usize,
    /// Number of running requests of lower tiers.
    pub running: usize,
}

/// Number of requests and slots in a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// Requests that wait.
    pub waiting: usize,
    /// Waiting requests that are held after their deadline because a lower tier runs.
    pub expired: usize,
    /// Waiting requests that are held because every usable target runs another request suspected of
    /// crashing targets.
    pub parked: usize,
    /// Requests that occupy a slot.
    pub running: usize,
    /// Slots of all eligible targets.
    pub slots: usize,
}

/// Number of requests of one tier in a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TierCounts {
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that occupy a slot.
    pub running: usize,
    /// Waiting time of the oldest request, in milliseconds.
    pub oldest_wait_ms: u64,
}

impl PoolScheduler {
    /// Returns the request counts by tier, without tiers that have no requests.
    ///
    /// Costs O(tiers), so metrics are cheap to read while the queue is long.
    pub fn tier_counts(&self, now: ClockTime) -> BTreeMap<u8, TierCounts> {
        let mut tiers: BTreeMap<u8, TierCounts> = BTreeMap::new();
        for (tier, waiting, oldest) in self.queue.tier_lengths() {
            let submitted = self.requests.get(oldest).map(|record| record.submitted);
            let counts = tiers.entry(tier).or_default();
            counts.waiting = waiting;
            counts.oldest_wait_ms = submitted.map_or(0, |at| now.since(at));
        }
        for (tier, handles) in self.running.iter().filter(|(_, handles)| !handles.is_empty()) {
            tiers.entry(*tier).or_default().running = handles.len();
        }
        tiers
    }

    /// Returns the violation of the tier rule by an output of the last step, if there is one.
    ///
    /// The check is exact if all targets of the pool serve the same models. Otherwise it also
    /// reports lower-tier requests at targets that the refused request could not use.
    pub fn tier_violation(&self, output: &PoolOutput) -> Option<TierViolation> {
        let PoolOutput::Refuse { tier, reason, .. } = output else { return None };
        let by_load = matches!(
            reason,
            ReasonCode::Overloaded | ReasonCode::ClaimsFull | ReasonCode::DeadlinePassed
        );
        if !by_load {
            return None;
        }
        let waiting = self.queue.lower_tiers(*tier).count();
        let lower = self.running.range(*tier..).filter(|(rank, _)| *rank > tier);
        let running = lower.map(|(_, handles)| handles.len()).sum();
        (waiting + running > 0).then_some(TierViolation {
            refused: *tier,
            reason: *reason,
            waiting,
            running,
        })
    }

    /// Returns the number of requests and slots.
    pub fn counts(&self) -> PoolCounts {
        PoolCounts {
            waiting: self.queue.len(),
            expired: self.expired.len(),
            parked: self.parked.len(),
            running: self.running.values().map(|handles| handles.len()).sum(),
            slots: self.slot_count,
        }
    }

    /// Returns the requests that occupy slots of a target, oldest first.
    pub fn running_on(&self, target: TargetKey) -> Vec<RequestKey> {
        let handles = self.targets.get(&target).map(|target| target.running.as_slice());
        handles.unwrap_or_default().iter().map(|handle| self.requests[*handle].key).collect()
    }

    /// Returns whether a target is a straggler.
    pub fn is_straggler(&self, target: TargetKey) -> bool {
        self.rates.is_straggler(target)
    }

    /// Returns the targets that have a free slot.
    pub fn free_targets(&self) -> impl Iterator<Item = TargetKey> {
        self.targets
            .iter()
            .filter(|(_, target)| target.has_free_slot(self.settings.failure_limit))
            .map(|(key, _)| *key)
    }
}
