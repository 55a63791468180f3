//! Waits of requests for a busy target that has their prompt cached.
//!
//! Using a free slot elsewhere would repeat a prefill. The wait is limited by the prefill time that
//! it saves and by the slack of the request, and ends early enough not to cause a preemption.

use super::PoolScheduler;
use super::request::{CacheWait, PoolTarget, RequestHandle, RequestRecord};
use super::route::Placement;
use super::settings::RoutingPolicy;
use crate::clock::ClockTime;
use crate::registry::TargetKey;

impl PoolScheduler {
    /// Returns whether a request still waits for a busy target that has its prompt cached.
    pub(super) fn waits_for_cache(&self, now: ClockTime, handle: RequestHandle) -> bool {
        let Some(wait) = self.requests[handle].waiting().and_then(|state| state.cache_wait) else {
            return false;
        };
        let busy = self.targets.get(&wait.target).is_some_and(|target| {
            !self.has_free_slot(target)
                || self.computing_tokens(&self.requests[handle], target) > 0.0
        });
        busy && wait.until.is_none_or(|until| now < until) && !self.slack_is_short(now, handle)
    }

    /// Starts the time limit of a wait if one of the free slots is available to the request.
    /// Requests without such a slot would have to wait anyway. Returns the number of slots that the
    /// request accounts for.
    pub(super) fn start_cache_wait(
        &mut self,
        now: ClockTime,
        handle: RequestHandle,
        unassigned_slots: usize,
    ) -> usize {
        if unassigned_slots == 0 {
            return 0;
        }
        if let Some(state) = self.requests[handle].waiting_mut()
            && let Some(wait) = &mut state.cache_wait
        {
            wait.until.get_or_insert(now.plus(wait.limit_ms));
        }
        1
    }

    /// Returns whether a request has too little slack to wait for a better target. The margin of
    /// `preempt_slack_ms` prevents such waits from ending in a preemption.
    pub(super) fn slack_is_short(&self, now: ClockTime, handle: RequestHandle) -> bool {
        let record = &self.requests[handle];
        let urgent = record.waiting().is_some_and(|state| state.urgent);
        let lowest = self.running.last_key_value().map(|(tier, _)| *tier);
        now.plus(self.settings.preempt_slack_ms) >= self.slack_end(record)
            || (urgent && lowest.is_some_and(|lowest| lowest > record.item.tier))
    }

    /// Returns the prompt tokens of a request that another request is computing at a target. They
    /// are predicted to be cached there, but the engine computes them again for a request that
    /// arrives now.
    pub(super) fn computing_tokens(&self, record: &RequestRecord, target: &PoolTarget) -> f64 {
        // Skip the scan for targets that hold no block of the prompt, which are most of them.
        // Blocks that are being computed are part of the prediction.
        if !self.settings.switches.computing_wait
            || !record.prefix_hashes.first().is_some_and(|first| target.prefix.contains(*first))
        {
            return 0.0;
        }
        let block_tokens = f64::from(self.settings.prefix.block_tokens);
        let running = target.running.iter().filter_map(|handle| self.requests.get(*handle));
        running
            .filter_map(|other| {
                let state = other.running().filter(|state| !state.first_token_received)?;
                let pairs = other.prefix_hashes.iter().zip(&record.prefix_hashes);
                let shared = pairs.take_while(|(left, right)| left == right).count() as f64;
                let cached = f64::from(other.prompt_tokens) - state.uncached_tokens;
                Some(shared * block_tokens - cached)
            })
            .fold(0.0, f64::max)
    }

    /// Returns the prompt tokens that a target can take from its cache now, without those that are
    /// still being computed.
    pub(super) fn reusable_tokens(&self, record: &RequestRecord, key: TargetKey) -> f64 {
        self.targets.get(&key).map_or(0.0, |target| {
            self.cached_tokens(record, target) - self.computing_tokens(record, target)
        })
    }

    /// Makes a request wait for a busy target that has its prompt cached, if the wait is expected
    /// to cost less than the prefill at a free target. Returns whether the request waits.
    pub(super) fn defer_for_cache(&mut self, now: ClockTime, placement: &Placement) -> bool {
        let record = &self.requests[placement.handle];
        let not_deferred = record.waiting().is_some_and(|state| state.cache_wait.is_none());
        if !not_deferred || !self.cache_wait_enabled() || record.prefix_hashes.is_empty() {
            return false;
        }
        let half_life = self.settings.rates.half_life_ms;
        let service_time_ms =
            self.service_time.with_prior(now, half_life, 1.0, self.settings.service_time_ms);
        let cached_target = self
            .targets
            .iter()
            .filter(|(key, target)| {
                (!target.has_free_slot(u32::MAX) || self.computing_tokens(record, target) > 0.0)
                    && self.is_usable(now, record, **key, target)
                    && !self.is_avoided(**key)
            })
            .map(|(key, target)| {
                let wait = if target.has_free_slot(u32::MAX) {
                    target.pending_prefill_tokens / self.rates.prefill_rate(now, *key).max(1e-6)
                } else {
                    service_time_ms / target.running.len().max(1) as f64
                };
                (self.routing_cost(now, record, *key) + wait, *key)
            })
            .min_by(|left, right| left.0.total_cmp(&right.0));
        let Some((cost_ms, cached_target)) = cached_target else { return false };
        let recompute_ms = self.computing_tokens(record, &self.targets[&placement.target])
            / self.rates.prefill_rate(now, placement.target).max(1e-6);
        if cost_ms >= placement.cost_ms + recompute_ms * self.settings.prefill_weight
            || self.slack_is_short(now, placement.handle)
        {
            return false;
        }
        let saved_ms = recompute_ms + self.prefill_ms(now, record, placement.target)
            - self.prefill_ms(now, record, cached_target);
        let limit_ms = self.cache_wait_limit_ms(now, record, saved_ms);
        if limit_ms == 0 {
            return false;
        }
        if let Some(state) = self.requests[placement.handle].waiting_mut() {
            state.cache_wait = Some(CacheWait { target: cached_target, limit_ms, until: None });
        }
        true
    }

    /// Returns the maximum wait, in milliseconds, for a target that saves `saved_ms` of prefill
    /// time. A request with much slack may wait longer: other requests use the slots in the
    /// meantime, and the blocks are cached by fewer targets.
    fn cache_wait_limit_ms(&self, now: ClockTime, record: &RequestRecord, saved_ms: f64) -> u64 {
        let prefill_wait_ms = saved_ms * self.settings.cache_wait_share;
        let slack_wait_ms =
            self.slack_end(record).since(now) as f64 * self.settings.slack_wait_share;
        // The casts saturate. Slack does not extend a wait that saves less than a millisecond.
        if saved_ms < 1.0 {
            prefill_wait_ms as u64
        } else {
            prefill_wait_ms.max(slack_wait_ms) as u64
        }
    }

    fn cache_wait_enabled(&self) -> bool {
        self.settings.switches.prefix_term
            && self.settings.routing == RoutingPolicy::EstimatedCompletion
            && self.settings.cache_wait_share > 0.0
    }
}
