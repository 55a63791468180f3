//! Routing cost of a request at a target, and the search for the target with the lowest cost.

use super::PoolScheduler;
use super::request::{PoolTarget, RequestRecord};
use crate::clock::ClockTime;
use crate::registry::TargetKey;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Target that may run a request.
pub(super) type UsableTarget<'a> = (TargetKey, &'a PoolTarget);

/// Target ordered by preference: cost, then requests in flight, then key.
#[derive(Clone, Copy, Debug)]
struct RankedTarget<'a> {
    cost_ms: f64,
    in_flight: usize,
    key: TargetKey,
    target: &'a PoolTarget,
}

impl Ord for RankedTarget<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let cost = self.cost_ms.total_cmp(&other.cost_ms);
        cost.then(self.in_flight.cmp(&other.in_flight)).then(self.key.cmp(&other.key))
    }
}

impl PartialOrd for RankedTarget<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RankedTarget<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for RankedTarget<'_> {}

impl PoolScheduler {
    /// Returns the target with the lowest routing cost. Ties go to the target with the fewest
    /// requests in flight, then to the lowest key.
    ///
    /// Prefix lookups dominate the running time. The search therefore visits the targets in the
    /// order of a lower bound, the cost with the whole prompt cached, and stops at the first target
    /// whose bound cannot win.
    pub(super) fn lowest_cost_target(
        &self,
        now: ClockTime,
        record: &RequestRecord,
        usable: &[UsableTarget<'_>],
    ) -> Option<TargetKey> {
        let mut bounds: BinaryHeap<Reverse<RankedTarget<'_>>> = usable
            .iter()
            .map(|(key, target)| {
                let cost_ms = self.cost_lower_bound(now, record, *key, target);
                let in_flight = target.running.len();
                Reverse(RankedTarget { cost_ms, in_flight, key: *key, target })
            })
            .collect();
        let mut best: Option<RankedTarget<'_>> = None;
        while let Some(Reverse(bound)) = bounds.pop() {
            if best.is_some_and(|best| best <= bound) {
                break;
            }
            let cost_ms = self.target_cost(now, record, bound.key, bound.target);
            let ranked = RankedTarget { cost_ms, ..bound };
            best = Some(best.map_or(ranked, |best| best.min(ranked)));
        }
        best.map(|best| best.key)
    }

    /// Returns a lower bound of the routing cost: the cost with the whole prompt cached.
    fn cost_lower_bound(
        &self,
        now: ClockTime,
        record: &RequestRecord,
        key: TargetKey,
        target: &PoolTarget,
    ) -> f64 {
        if self.is_service(record.item.model_index) {
            return 0.0;
        }
        // With a weight below 1, rounding could put the cost of an uncached prompt below this
        // bound.
        if self.settings.prefill_weight < 1.0 {
            return f64::NEG_INFINITY;
        }
        self.cost_for_uncached(now, record, (key, target), 0.0)
    }

    /// Returns the routing cost at a target: the estimated completion time in milliseconds, with
    /// the time for uncached prompt tokens weighted by `prefill_weight`.
    pub(super) fn routing_cost(
        &self,
        now: ClockTime,
        record: &RequestRecord,
        key: TargetKey,
    ) -> f64 {
        self.target_cost(now, record, key, &self.targets[&key])
    }

    fn target_cost(
        &self,
        now: ClockTime,
        record: &RequestRecord,
        key: TargetKey,
        target: &PoolTarget,
    ) -> f64 {
        if self.is_service(record.item.model_index) {
            return 0.0;
        }
        let uncached = f64::from(record.prompt_tokens) - self.cached_tokens(record, target);
        self.cost_for_uncached(now, record, (key, target), uncached)
    }

    /// Returns the routing cost at a target that has to compute `uncached` tokens of the prompt.
    fn cost_for_uncached(
        &self,
        now: ClockTime,
        record: &RequestRecord,
        (key, target): UsableTarget<'_>,
        uncached: f64,
    ) -> f64 {
        let prefill_rate = self.rates.prefill_rate(now, key).max(1e-6);
        let prefill_ms = uncached / prefill_rate;
        let ahead_ms = target.pending_prefill_tokens / prefill_rate;
        let decode_ms = record.output_expected / self.rates.decode_rate(now, key).max(1e-6);
        ahead_ms + prefill_ms + decode_ms + (self.settings.prefill_weight - 1.0) * prefill_ms
    }

    /// Returns the estimated time, in milliseconds, that a target needs to compute the uncached
    /// prompt tokens.
    pub(super) fn prefill_ms(&self, now: ClockTime, record: &RequestRecord, key: TargetKey) -> f64 {
        let uncached =
            f64::from(record.prompt_tokens) - self.cached_tokens(record, &self.targets[&key]);
        uncached / self.rates.prefill_rate(now, key).max(1e-6)
    }

    pub(super) fn cached_tokens(&self, record: &RequestRecord, target: &PoolTarget) -> f64 {
        if !self.settings.switches.prefix_term {
            return 0.0;
        }
        target.prefix.cached_tokens(&record.prefix_hashes, record.prompt_tokens)
    }
}
