//! Placement: selection of the next request and of its target.

use super::PoolScheduler;
use super::cost::UsableTarget;
use super::event::PoolOutput;
use super::request::{
    ParkReason, PoolTarget, RequestHandle, RequestPhase, RequestRecord, RunState,
};
use super::settings::RoutingPolicy;
use crate::clock::ClockTime;
use crate::outcome::ReasonCode;
use crate::registry::TargetKey;

/// Target selected for a request, with its estimated cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placement {
    pub handle: RequestHandle,
    pub target: TargetKey,
    /// Routing cost in milliseconds.
    pub cost_ms: f64,
}

impl PoolScheduler {
    /// Places waiting requests while targets have free slots.
    pub(super) fn dispatch(&mut self, now: ClockTime) {
        if self.queue.len() == 0 || !self.targets.values().any(|target| self.has_free_slot(target))
        {
            return;
        }
        let mut blocked = vec![false; self.queue.model_count()];
        while let Some(model_index) = self.next_model(&blocked) {
            match self.next_placement(now, model_index) {
                Some(placement) => self.place(now, placement.handle, placement.target, false),
                None => blocked[model_index] = true,
            }
        }
    }

    pub(super) fn has_free_slot(&self, target: &PoolTarget) -> bool {
        target.has_free_slot(self.settings.failure_limit)
    }

    /// Returns the model whose next request has the highest tier. Ties go to the oldest request.
    fn next_model(&self, blocked: &[bool]) -> Option<usize> {
        (0..blocked.len())
            .filter(|model_index| !blocked[*model_index])
            .filter_map(|model_index| {
                let tier = self.queue.first_tier(model_index)?;
                let first = self.queue.candidates(model_index, 1).first().copied()?;
                Some((tier, self.requests[first].item.sequence, model_index))
            })
            .min()
            .map(|(_, _, model_index)| model_index)
    }

    /// Returns the next request of a model that can be placed, with its target.
    fn next_placement(&mut self, now: ClockTime, model_index: usize) -> Option<Placement> {
        let mut unassigned_slots = self.free_slots();
        let mut waiting_tier = None;
        let candidates = self.queue.candidates(model_index, self.settings.lookahead.max(1));
        for handle in candidates.iter().copied() {
            let tier = self.requests[handle].item.tier;
            // A lower tier gets a slot only if a slot is available for each waiting request of a
            // higher tier.
            if unassigned_slots == 0 && waiting_tier.is_some_and(|waiting| waiting < tier) {
                return None;
            }
            if !self.waits_for_cache(now, handle) {
                let Some(placement) = self.route(now, handle) else {
                    self.park_suspect(now, handle);
                    continue;
                };
                if !self.defer_for_cache(now, &placement) {
                    return Some(self.overtaking_request(now, &placement).unwrap_or(placement));
                }
            }
            unassigned_slots -= self.start_cache_wait(now, handle, unassigned_slots);
            waiting_tier.get_or_insert(tier);
        }
        // End the wait of a candidate. Otherwise requests beyond the lookahead could not use the
        // remaining slots, and a large pool would place only a few requests per wait.
        if unassigned_slots > 0 && self.queue.has_more_than(model_index, candidates.len()) {
            return candidates.into_iter().find_map(|handle| self.route(now, handle));
        }
        None
    }

    fn free_slots(&self) -> usize {
        let targets = self.targets.values().filter(|target| self.has_free_slot(target));
        targets.map(|target| target.slots() - target.running.len()).sum()
    }

    pub(super) fn is_avoided(&self, key: TargetKey) -> bool {
        self.settings.switches.straggler_avoidance && self.rates.is_straggler(key)
    }

    /// Returns the best target with a free slot for a request.
    fn route(&mut self, now: ClockTime, handle: RequestHandle) -> Option<Placement> {
        let record = &self.requests[handle];
        if self.suspects.quarantine_remaining_ms(now, record.fingerprint).is_some() {
            return None;
        }
        let usable: Vec<UsableTarget<'_>> = self
            .targets
            .iter()
            .filter(|(key, target)| {
                self.has_free_slot(target) && self.is_usable(now, record, **key, target)
            })
            .map(|(key, target)| (*key, target))
            .collect();
        let not_avoided: Vec<_> =
            usable.iter().copied().filter(|(key, _)| !self.is_avoided(*key)).collect();
        let usable = if not_avoided.is_empty() { usable } else { not_avoided };
        let target = match self.settings.routing {
            RoutingPolicy::EstimatedCompletion => self.lowest_cost_target(now, record, &usable)?,
            _ => {
                let keys: Vec<TargetKey> = usable.iter().map(|(key, _)| *key).collect();
                self.pick(&keys)?
            }
        };
        let cost_ms = self.routing_cost(now, &self.requests[handle], target);
        Some(Placement { handle, target, cost_ms })
    }

    /// Returns whether a request may run at a target, apart from the target's free slots.
    pub(super) fn is_usable(
        &self,
        now: ClockTime,
        record: &RequestRecord,
        key: TargetKey,
        target: &PoolTarget,
    ) -> bool {
        let suspect_conflict =
            target.suspect_count > 0 && self.suspects.is_marked(now, record.fingerprint);
        target.eligible
            && target.announcement.serves(&self.models[record.item.model_index])
            && !record.tried.contains(&key)
            && !suspect_conflict
    }

    /// Returns the target selected by a policy that uses no estimates.
    fn pick(&mut self, usable: &[TargetKey]) -> Option<TargetKey> {
        if usable.is_empty() {
            return None;
        }
        let in_flight = |key: &TargetKey| self.targets[key].running.len();
        match self.settings.routing {
            RoutingPolicy::Random { .. } => {
                self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
                // The remainder is less than the length, so the casts are exact.
                let index = splitmix64(self.random_state) % usable.len() as u64;
                usable.get(index as usize).copied()
            }
            RoutingPolicy::RoundRobin => {
                usable.iter().copied().min_by_key(|key| self.targets[key].last_placed)
            }
            RoutingPolicy::LeastReported => usable.iter().copied().min_by_key(|key| {
                let target = &self.targets[key];
                let load = target.announcement.load;
                // Equal reports are common. Without the tie-break by last placement, one target
                // would get all requests.
                (load.running + load.waiting, target.last_placed)
            }),
            RoutingPolicy::LeastInFlight | RoutingPolicy::EstimatedCompletion => {
                usable.iter().copied().min_by_key(in_flight)
            }
        }
    }

    /// Assigns a slot of a target to a waiting request.
    pub(super) fn place(
        &mut self,
        now: ClockTime,
        handle: RequestHandle,
        key: TargetKey,
        above_limit: bool,
    ) {
        let record = &self.requests[handle];
        let cost = self.cost_tokens(record);
        let weight = self.workspaces.state(record.workspace).settings.weight;
        let cached = self.cached_tokens(record, &self.targets[&key]);
        let suspect = self.suspects.is_marked(now, record.fingerprint);
        self.queue.charge(&record.item, cost, weight);
        self.remove_from_queue(handle);
        self.placements += 1;
        let record = &mut self.requests[handle];
        let uncached = f64::from(record.prompt_tokens) - cached;
        let Some(target) = self.targets.get_mut(&key) else { return };
        record.phase = RequestPhase::Running(RunState {
            target: Some(key),
            identity: None,
            claim: None,
            placed: now,
            suspect,
            cancelling: None,
            owner_lost: None,
            uncached_tokens: uncached,
            prefill_ahead_tokens: target.pending_prefill_tokens,
            first_token_received: false,
            tokens: 0,
            last_report: now,
        });
        target.running.push(handle);
        target.pending_prefill_tokens += uncached;
        target.suspect_count += u32::from(suspect);
        target.last_placed = self.placements;
        target.prefix.record_dispatch(&record.prefix_hashes);
        if target.running.len() == 1 {
            target.last_progress = now;
        }
        self.outputs.push(PoolOutput::Place {
            key: record.key,
            attempt: record.attempt,
            entry: record.entry,
            target: key,
            above_limit,
        });
        let tier = record.item.tier;
        self.running.entry(tier).or_default().insert(handle);
        let (half_life, service_ms) =
            (self.settings.rates.half_life_ms, self.requests[handle].item.service_ms);
        self.placed_service_time.entry(tier).or_default().add(now, half_life, service_ms, 0.0);
        if above_limit {
            self.running_above_limit.insert((tier, self.requests[handle].item.sequence, handle));
        }
        self.unpaired.entry(tier).or_default().insert(handle);
        self.set_timer(handle, None);
        self.retries.record_grant(now, &self.settings);
    }

    /// Parks a suspected request if free targets already run other suspected requests, so that it
    /// does not block the requests behind it. Refuses it if it is quarantined.
    fn park_suspect(&mut self, now: ClockTime, handle: RequestHandle) {
        let record = &self.requests[handle];
        if !self.suspects.is_marked(now, record.fingerprint) {
            return;
        }
        if self.suspects.quarantine_remaining_ms(now, record.fingerprint).is_some() {
            return self.refuse(now, handle, ReasonCode::CrashesTargets);
        }
        let model = &self.models[record.item.model_index];
        let suspect_conflict = self.targets.values().any(|target| {
            self.has_free_slot(target)
                && target.announcement.serves(model)
                && target.suspect_count > 0
        });
        if suspect_conflict {
            self.park(handle, ParkReason::Suspect);
        }
    }

    pub(super) fn park(&mut self, handle: RequestHandle, reason: ParkReason) {
        let record = &mut self.requests[handle];
        let (item, urgent) = (record.item, record.urgent_key());
        let Some(state) = record.waiting_mut() else { return };
        self.urgent.remove(&urgent);
        if state.parked.replace(reason).is_none() {
            self.queue.leave_flow(&item);
        }
        match reason {
            ParkReason::Suspect => self.parked.insert(handle),
            ParkReason::Expired => {
                self.parked.remove(&handle);
                self.expired.insert((item.tier, handle))
            }
        };
    }

    /// Makes parked suspected requests eligible for placement again.
    pub(super) fn unpark_suspects(&mut self) {
        for handle in std::mem::take(&mut self.parked) {
            let record = &mut self.requests[handle];
            let (item, urgent) = (record.item, record.urgent_key());
            let paired = record.partner.is_some();
            if let Some(state) = record.waiting_mut()
                && state.parked.take().is_some()
            {
                self.queue.enter_flow(&item);
                if state.urgent && !paired {
                    self.urgent.insert(urgent);
                }
            }
        }
    }
}

/// Output function of the SplitMix64 random number generator.
fn splitmix64(state: u64) -> u64 {
    let mut mixed = state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
