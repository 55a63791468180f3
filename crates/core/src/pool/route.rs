//! Placement: the next request and the target for it.

use super::PoolScheduler;
use super::cost::UsableTarget;
use super::event::PoolOutput;
use super::request::{ParkReason, PoolTarget, RequestPhase, RequestRecord, RequestSlot, RunState};
use super::settings::RoutingPolicy;
use crate::clock::ClockTime;
use crate::outcome::ReasonCode;
use crate::registry::TargetKey;

/// A target for a request, with the estimates that led to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub slot: RequestSlot,
    pub target: TargetKey,
    /// Routing cost in milliseconds.
    pub cost_ms: f64,
}

impl PoolScheduler {
    /// Places waiting requests while targets have free slots.
    pub(super) fn dispatch(&mut self, now: ClockTime) {
        if self.queue.len() == 0 || !self.targets.values().any(|target| self.free(target)) {
            return;
        }
        let mut blocked = vec![false; self.queue.classes()];
        while let Some(class) = self.next_class(&blocked) {
            match self.choose(now, class) {
                Some(choice) => self.place(now, choice.slot, choice.target, false),
                None => blocked[class] = true,
            }
        }
    }

    pub(super) fn free(&self, target: &PoolTarget) -> bool {
        target.has_free_slot(self.settings.failure_limit)
    }

    /// The model whose next request has the highest tier, or among equals is the oldest.
    fn next_class(&self, blocked: &[bool]) -> Option<usize> {
        (0..blocked.len())
            .filter(|class| !blocked[*class])
            .filter_map(|class| {
                let tier = self.queue.first_tier(class)?;
                let first = self.queue.candidates(class, 1).first().copied()?;
                Some((tier, self.requests[first].item.sequence, class))
            })
            .min()
            .map(|(_, _, class)| class)
    }

    /// The next request of a model that can be placed, and the target for it.
    fn choose(&mut self, now: ClockTime, class: usize) -> Option<Choice> {
        let mut entitled = self.free_slots();
        let mut waiting_tier = None;
        let candidates = self.queue.candidates(class, self.settings.lookahead.max(1));
        for slot in candidates.iter().copied() {
            let tier = self.requests[slot].item.tier;
            // A lower tier gets a slot only if each waiting request of a higher tier could have
            // one.
            if entitled == 0 && waiting_tier.is_some_and(|waiting| waiting < tier) {
                return None;
            }
            if !self.waits(now, slot) {
                let Some(choice) = self.route(now, slot) else {
                    self.park_suspect(now, slot);
                    continue;
                };
                if !self.defer(now, &choice) {
                    return Some(self.overtaker(now, &choice).unwrap_or(choice));
                }
            }
            entitled -= self.start_wait(now, slot, entitled);
            waiting_tier.get_or_insert(tier);
        }
        // Without this end of a wait, the requests behind the lookahead could not use the slots
        // that are left, and a large pool would place only a few requests per wait.
        if entitled > 0 && self.queue.exceeds(class, candidates.len()) {
            return candidates.into_iter().find_map(|slot| self.route(now, slot));
        }
        None
    }

    fn free_slots(&self) -> usize {
        let targets = self.targets.values().filter(|target| self.free(target));
        targets.map(|target| target.slots() - target.running.len()).sum()
    }

    pub(super) fn avoided(&self, key: TargetKey) -> bool {
        self.settings.switches.straggler_avoidance && self.rates.is_straggler(key)
    }

    /// The best target with a free slot for a request.
    fn route(&mut self, now: ClockTime, slot: RequestSlot) -> Option<Choice> {
        let record = &self.requests[slot];
        if self.suspects.quarantine_remaining_ms(now, record.fingerprint).is_some() {
            return None;
        }
        let usable: Vec<UsableTarget<'_>> = self
            .targets
            .iter()
            .filter(|(key, target)| self.free(target) && self.usable(now, record, **key, target))
            .map(|(key, target)| (*key, target))
            .collect();
        let fast: Vec<_> = usable.iter().copied().filter(|(key, _)| !self.avoided(*key)).collect();
        let usable = if fast.is_empty() { usable } else { fast };
        let target = match self.settings.routing {
            RoutingPolicy::EstimatedCompletion => self.least_cost(now, record, &usable)?,
            _ => {
                let keys: Vec<TargetKey> = usable.iter().map(|(key, _)| *key).collect();
                self.pick(&keys)?
            }
        };
        let cost_ms = self.routing_cost(now, &self.requests[slot], target);
        Some(Choice { slot, target, cost_ms })
    }

    /// Whether a request may run at a target, if that has a slot.
    pub(super) fn usable(
        &self,
        now: ClockTime,
        record: &RequestRecord,
        key: TargetKey,
        target: &PoolTarget,
    ) -> bool {
        let isolated = target.marked > 0 && self.suspects.is_marked(now, record.fingerprint);
        target.eligible
            && target.announcement.serves(&self.classes[record.item.class])
            && !record.tried.contains(&key)
            && !isolated
    }

    /// The target that a policy without estimates chooses.
    fn pick(&mut self, usable: &[TargetKey]) -> Option<TargetKey> {
        if usable.is_empty() {
            return None;
        }
        let in_flight = |key: &TargetKey| self.targets[key].running.len();
        match self.settings.routing {
            RoutingPolicy::Random { .. } => {
                self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
                // The remainder is below the length, so the casts are exact.
                let index = split_mix(self.random_state) % usable.len() as u64;
                usable.get(index as usize).copied()
            }
            RoutingPolicy::RoundRobin => {
                usable.iter().copied().min_by_key(|key| self.targets[key].last_placed)
            }
            RoutingPolicy::LeastReported => usable.iter().copied().min_by_key(|key| {
                let target = &self.targets[key];
                let load = target.announcement.load;
                // Equal reports are common; without rotation one target would get them all.
                (load.running + load.waiting, target.last_placed)
            }),
            RoutingPolicy::LeastInFlight | RoutingPolicy::EstimatedCompletion => {
                usable.iter().copied().min_by_key(in_flight)
            }
        }
    }

    /// Gives the slot of a target to a waiting request.
    pub(super) fn place(
        &mut self,
        now: ClockTime,
        slot: RequestSlot,
        key: TargetKey,
        above_limit: bool,
    ) {
        let record = &self.requests[slot];
        let cost = self.cost_tokens(record);
        let weight = self.workspaces.state(record.workspace).settings.weight;
        let cached = self.cached(record, &self.targets[&key]);
        let marked = self.suspects.is_marked(now, record.fingerprint);
        self.queue.charge(&record.item, cost, weight);
        self.leave_queue(slot);
        self.placements += 1;
        let record = &mut self.requests[slot];
        let uncached = f64::from(record.prompt_tokens) - cached;
        let Some(target) = self.targets.get_mut(&key) else { return };
        record.phase = RequestPhase::Running(RunState {
            target: Some(key),
            identity: None,
            claim: None,
            placed: now,
            marked,
            cancelling: None,
            owner_lost: None,
            uncached,
            ahead: target.prefill_ahead,
            first_token: false,
            tokens: 0,
            reported: now,
        });
        target.running.push(slot);
        target.prefill_ahead += uncached;
        target.marked += u32::from(marked);
        target.last_placed = self.placements;
        target.prefix.record_dispatch(&record.prefix_hashes);
        if target.running.len() == 1 {
            target.progressed = now;
        }
        self.outputs.push(PoolOutput::Place {
            key: record.key,
            attempt: record.attempt,
            entry: record.entry,
            target: key,
            above_limit,
        });
        let tier = record.item.tier;
        self.running.entry(tier).or_default().insert(slot);
        let (half_life, service_ms) =
            (self.settings.rates.half_life_ms, self.requests[slot].item.service_ms);
        self.served.entry(tier).or_default().add(now, half_life, service_ms, 0.0);
        if above_limit {
            self.above.insert((tier, self.requests[slot].item.sequence, slot));
        }
        self.unpaired.entry(tier).or_default().insert(slot);
        self.set_timer(slot, None);
        self.retries.granted(now, &self.settings);
    }

    /// Sets aside a request that no target can take because of other suspected requests, so that
    /// it does not block those behind it.
    fn park_suspect(&mut self, now: ClockTime, slot: RequestSlot) {
        let record = &self.requests[slot];
        if !self.suspects.is_marked(now, record.fingerprint) {
            return;
        }
        if self.suspects.quarantine_remaining_ms(now, record.fingerprint).is_some() {
            return self.refuse(now, slot, ReasonCode::CrashesTargets);
        }
        let model = &self.classes[record.item.class];
        let isolated = self.targets.values().any(|target| {
            self.free(target) && target.announcement.serves(model) && target.marked > 0
        });
        if isolated {
            self.park(slot, ParkReason::Suspect);
        }
    }

    pub(super) fn park(&mut self, slot: RequestSlot, reason: ParkReason) {
        let record = &mut self.requests[slot];
        let (item, urgent) = (record.item, record.urgent_key());
        let Some(state) = record.waiting_mut() else { return };
        self.urgent.remove(&urgent);
        if state.parked.replace(reason).is_none() {
            self.queue.leave_flow(&item);
        }
        match reason {
            ParkReason::Suspect => self.parked.insert(slot),
            ParkReason::Expired => {
                self.parked.remove(&slot);
                self.expired.insert((item.tier, slot))
            }
        };
    }

    /// Makes parked suspects eligible again after a target has become free of suspects.
    pub(super) fn unpark_suspects(&mut self) {
        for slot in std::mem::take(&mut self.parked) {
            let record = &mut self.requests[slot];
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

/// Output function of the SplitMix64 generator.
fn split_mix(state: u64) -> u64 {
    let mut mixed = state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
