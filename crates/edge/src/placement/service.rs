//! Targets and waiting requests of one service.

use super::queue::{WaitingQueue, WaitingTicket};
use super::sizes::SizeLedger;
use super::target::{RunningTicket, TargetInfo, TargetState, TicketOutcome};
use super::{
    ActiveTicket, PlacementOutput, PlacementTicket, ProcessKey, RefusalReason, TargetKey, TicketKey,
};
use burdockcleat_core::clock::ClockTime;
use std::collections::{BTreeMap, HashMap};

/// Part of the time left until the deadline that a request may spend waiting: a caller that is
/// refused comes back within a third of the time that it has left.
const WAIT_PART: f64 = 0.5;
/// Time to come back when no target may be used, in ms: a target announces itself every second.
const NO_TARGET_RETRY_MS: u64 = 500;
/// Longest wait of a request while no target of its service is known, in ms.
const NO_TARGET_WAIT_MS: u64 = 1_200;
/// Shortest time to come back, in ms.
const MIN_RETRY_MS: u64 = 100;
/// Longest time to come back, in ms.
const MAX_RETRY_MS: u64 = 5_000;
/// Time within which a granted request appears in its node's report, in ms: two reports.
const REPORT_GRACE_MS: u64 = 700;
/// Time for which an ended request may still stand in a report that is under way, in ms.
const ENDED_MS: u64 = 1_000;
/// Time to keep a request whose node went silent, in ms.
const SILENT_MS: u64 = 3_000;

/// Targets, requests at them and waiting requests of a service.
#[derive(Debug, Default)]
pub(super) struct ServiceBoard {
    targets: BTreeMap<TargetKey, TargetState>,
    queue: WaitingQueue,
    sizes: SizeLedger,
    /// Requests that ended lately, with the time of their end.
    ended: HashMap<TicketKey, ClockTime>,
}

impl ServiceBoard {
    pub(super) fn set_targets(&mut self, infos: &[TargetInfo]) {
        self.targets.retain(|key, _| infos.iter().any(|info| info.key == *key));
        let pace = self.mean_pace();
        for info in infos {
            self.targets
                .entry(info.key)
                .and_modify(|state| state.info = info.clone())
                .or_insert_with(|| TargetState::new(info.clone(), pace));
        }
    }

    pub(super) fn has_target(&self, target: TargetKey) -> bool {
        self.targets.contains_key(&target)
    }

    /// Takes in a request: places it, queues it or refuses it.
    pub(super) fn submit(
        &mut self,
        ticket: PlacementTicket,
        now: ClockTime,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        let size = self.sizes.count_arrival(&ticket, now);
        let mut waiting = WaitingTicket::new(ticket, size, self.mean_pace(), now);
        if self.targets.is_empty() {
            // Targets announce themselves every second or so, also to nodes that have just started.
            waiting.expires = waiting.expires.min(now.plus(NO_TARGET_WAIT_MS));
        }
        let wait_ms = self.expected_wait_ms(&waiting, now);
        if wait_ms > waiting.ticket.deadline_left_ms as f64 * WAIT_PART {
            outputs.push(refusal(&waiting.ticket, RefusalReason::WaitTooLong, wait_ms as u64));
            return;
        }
        self.queue.count_arrival(&waiting, now);
        self.queue.push(waiting);
        self.place_waiting(now, outputs);
    }

    pub(super) fn withdraw(&mut self, key: TicketKey) {
        self.queue.remove(key);
    }

    pub(super) fn is_waiting(&self, key: TicketKey) -> bool {
        self.queue.contains(key)
    }

    pub(super) fn granted_target(&self, key: TicketKey) -> Option<TargetKey> {
        self.targets.values().find(|state| state.running.contains_key(&key)).map(|s| s.info.key)
    }

    pub(super) fn started(&mut self, target: TargetKey, key: TicketKey, now: ClockTime) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.started(key, now);
        }
    }

    pub(super) fn finished(
        &mut self,
        target: TargetKey,
        key: TicketKey,
        outcome: TicketOutcome,
        now: ClockTime,
    ) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        state.finished(key, outcome, now);
        self.ended.insert(key, now);
    }

    pub(super) fn adopt(&mut self, target: TargetKey, ticket: &PlacementTicket, now: ClockTime) {
        if let Some(state) = self.targets.get_mut(&target)
            && !state.running.contains_key(&ticket.key)
            && !self.ended.contains_key(&ticket.key)
        {
            state.grant(ticket, now);
        }
    }

    /// Brings the requests of a node in line with its own report.
    pub(super) fn reconcile(
        &mut self,
        process: ProcessKey,
        active: &[ActiveTicket],
        now: ClockTime,
    ) {
        let listed: HashMap<_, _> = active.iter().map(|a| (a.key, a.target)).collect();
        for (target, state) in &mut self.targets {
            state.running.retain(|key, running| {
                running.process != process
                    || listed.get(key) == Some(target)
                    || (!running.reported && now.since(running.seen) < REPORT_GRACE_MS)
            });
        }
        for active in active {
            // A report may be older than the notice of a request's end.
            if self.ended.contains_key(&active.key) {
                continue;
            }
            let Some(state) = self.targets.get_mut(&active.target) else { continue };
            let running = state.running.entry(active.key).or_insert_with(|| RunningTicket {
                process,
                prompt_tokens: active.prompt_tokens,
                granted: now,
                expected_first_ms: 0.0,
                work_ms: 0.0,
                first: None,
                seen: now,
                reported: true,
            });
            running.seen = now;
            running.reported = true;
            if active.started && running.first.is_none() {
                running.first = Some(now);
            }
        }
    }

    /// Refuses requests that have waited too long, forgets those of silent nodes and places others.
    pub(super) fn advance(&mut self, now: ClockTime, outputs: &mut Vec<PlacementOutput>) {
        self.ended.retain(|_, end| now.since(*end) < ENDED_MS);
        for state in self.targets.values_mut() {
            state.running.retain(|_, running| now.since(running.seen) < SILENT_MS);
        }
        self.place_waiting(now, outputs);
        let slots = self.free_pace_slots(now);
        for hopeless in self.queue.take_hopeless(slots, WAIT_PART, now) {
            let (ticket, wait_ms) = (&hopeless.waiting.ticket, hopeless.wait_ms as u64);
            if self.targets.is_empty() {
                outputs.push(refusal(ticket, RefusalReason::NoTarget, NO_TARGET_RETRY_MS));
            } else {
                outputs.push(refusal(ticket, RefusalReason::WaitTooLong, wait_ms));
            }
        }
    }

    pub(super) fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Wait of the oldest waiting request, in ms; 0 if none waits.
    pub(super) fn queue_age(&self, now: ClockTime) -> u64 {
        self.queue.oldest().map_or(0, |arrived| now.since(arrived))
    }

    pub(super) fn summarize(&self, service: &str, now: ClockTime) -> String {
        let states = self.targets.values();
        let slots: u32 = states.clone().map(|state| state.info.slots).sum();
        let running: usize = states.clone().map(|state| state.running.len()).sum();
        let usable = states.clone().filter(|state| state.usable(now)).count();
        let fastest = states.clone().map(|state| state.work_pace).fold(f64::MAX, f64::min);
        let slowest = states.clone().map(|state| state.work_pace).fold(0.0, f64::max);
        format!(
            "service={service} targets={} usable={usable} slots={slots} running={running} waiting={} pace={:.2} work_pace={fastest:.2}..{slowest:.2}",
            states.len(),
            self.queue.len(),
            self.mean_pace()
        )
    }

    pub(super) fn describe(&self, now: ClockTime) -> Vec<String> {
        self.targets.values().map(|state| state.describe(now)).collect()
    }

    /// Places waiting requests while targets are free.
    pub(super) fn place_waiting(&mut self, now: ClockTime, outputs: &mut Vec<PlacementOutput>) {
        let mut skipped = Vec::new();
        while self.queue.len() > 0 && self.targets.values().any(|state| state.free(now)) {
            let Some(waiting) = self.queue.pop(now) else { break };
            let Some(target) = self.pick_target(&waiting.ticket, now) else {
                // A request that excludes the free targets does not hold up the others.
                skipped.push(waiting);
                continue;
            };
            let Some(state) = self.targets.get_mut(&target) else { continue };
            state.grant(&waiting.ticket, now);
            self.sizes.count_grant(&waiting.ticket, waiting.band);
            outputs.push(PlacementOutput::Grant {
                key: waiting.ticket.key,
                process: waiting.ticket.process,
                target,
                waited_ms: now.since(waiting.arrived),
            });
        }
        for waiting in skipped {
            self.queue.push(waiting);
        }
    }

    /// Picks the free target with the lowest cost for a request.
    fn pick_target(&self, ticket: &PlacementTicket, now: ClockTime) -> Option<TargetKey> {
        self.targets
            .values()
            .filter(|state| !ticket.excluded.contains(&state.info.key))
            .filter(|state| state.free(now))
            .map(|state| (state.cost(ticket, now), state.info.key))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, key)| key)
    }

    /// Expected wait of a request, in ms.
    fn expected_wait_ms(&self, waiting: &WaitingTicket, now: ClockTime) -> f64 {
        self.queue.expected_wait_ms(waiting, self.free_pace_slots(now), now)
    }

    /// Slots of the targets that may be used, as slots of pace 1.
    fn free_pace_slots(&self, now: ClockTime) -> f64 {
        let usable = self.targets.values().filter(|state| state.usable(now));
        usable.map(|state| f64::from(state.info.slots) / state.work_pace).sum()
    }

    fn mean_pace(&self) -> f64 {
        if self.targets.is_empty() {
            return 1.0;
        }
        let sum: f64 = self.targets.values().map(|state| state.pace).sum();
        sum / self.targets.len() as f64
    }
}

fn refusal(ticket: &PlacementTicket, reason: RefusalReason, wait_ms: u64) -> PlacementOutput {
    PlacementOutput::Refuse {
        key: ticket.key,
        process: ticket.process,
        reason,
        retry_after_ms: wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS),
    }
}
