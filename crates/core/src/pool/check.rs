//! Figures for dumps and tests, and the check of the tier rule.

use super::PoolScheduler;
use super::event::PoolOutput;
use crate::clock::ClockTime;
use crate::keys::RequestKey;
use crate::outcome::ReasonCode;
use crate::registry::TargetKey;
use std::collections::BTreeMap;
use thiserror::Error;

/// A request was shed, or its deadline passed in the queue, while a lower tier was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error(
    "tier {refused} was refused with {reason:?} while {waiting} requests of lower tiers waited and {running} ran"
)]
pub struct TierViolation {
    /// Rank of the refused request.
    pub refused: u8,
    /// Reason of the refusal.
    pub reason: ReasonCode,
    /// Waiting requests of lower tiers.
    pub waiting: usize,
    /// Running requests of lower tiers.
    pub running: usize,
}

/// Numbers of requests and slots in a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// Requests that wait.
    pub waiting: usize,
    /// Waiting requests held after their deadline because a lower tier runs.
    pub expired: usize,
    /// Waiting requests held because every target runs another suspected request.
    pub parked: usize,
    /// Requests that occupy a slot.
    pub running: usize,
    /// Slots of all eligible targets.
    pub slots: usize,
}

/// Numbers of requests of one tier in a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TierCounts {
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that occupy a slot.
    pub running: usize,
    /// Time for which the oldest request has waited, in milliseconds.
    pub oldest_wait_ms: u64,
}

impl PoolScheduler {
    /// Numbers of requests by tier. Tiers without requests are left out.
    ///
    /// Costs O(tiers), so that metrics can be read while the queue is long.
    pub fn tier_counts(&self, now: ClockTime) -> BTreeMap<u8, TierCounts> {
        let mut tiers: BTreeMap<u8, TierCounts> = BTreeMap::new();
        for (tier, waiting, oldest) in self.queue.lengths() {
            let submitted = self.requests.get(oldest).map(|record| record.submitted);
            let counts = tiers.entry(tier).or_default();
            counts.waiting = waiting;
            counts.oldest_wait_ms = submitted.map_or(0, |at| now.since(at));
        }
        for (tier, slots) in self.running.iter().filter(|(_, slots)| !slots.is_empty()) {
            tiers.entry(*tier).or_default().running = slots.len();
        }
        tiers
    }

    /// Checks an output of the last step against the tier rule.
    ///
    /// The check is exact for pools whose targets all serve the same models. With several models,
    /// a lower tier at targets that the refused request could not use is reported as well.
    pub fn tier_violation(&self, output: &PoolOutput) -> Option<TierViolation> {
        let PoolOutput::Refuse { tier, reason, .. } = output else { return None };
        let by_load = matches!(
            reason,
            ReasonCode::Overloaded | ReasonCode::ClaimsFull | ReasonCode::DeadlinePassed
        );
        if !by_load {
            return None;
        }
        let waiting = self.queue.below(*tier).count();
        let lower = self.running.range(*tier..).filter(|(rank, _)| *rank > tier);
        let running = lower.map(|(_, slots)| slots.len()).sum();
        (waiting + running > 0).then_some(TierViolation {
            refused: *tier,
            reason: *reason,
            waiting,
            running,
        })
    }

    /// Numbers of requests and slots.
    pub fn counts(&self) -> PoolCounts {
        PoolCounts {
            waiting: self.queue.len(),
            expired: self.expired.len(),
            parked: self.parked.len(),
            running: self.running.values().map(|slots| slots.len()).sum(),
            slots: self.slot_count,
        }
    }

    /// Requests that occupy slots of a target, oldest first.
    pub fn running_on(&self, target: TargetKey) -> Vec<RequestKey> {
        let slots = self.targets.get(&target).map(|target| target.running.as_slice());
        slots.unwrap_or_default().iter().map(|slot| self.requests[*slot].key).collect()
    }

    /// Whether a target is avoided as a straggler.
    pub fn is_straggler(&self, target: TargetKey) -> bool {
        self.rates.is_straggler(target)
    }

    /// Targets with a free slot.
    pub fn free_targets(&self) -> impl Iterator<Item = TargetKey> {
        self.targets
            .iter()
            .filter(|(_, target)| target.has_free_slot(self.settings.failure_limit))
            .map(|(key, _)| *key)
    }
}
