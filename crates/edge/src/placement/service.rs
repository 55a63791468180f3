//! Targets and waiting requests of one service.

use super::queue::{RequestNeeds, WaitingQueue, WaitingTicket};
use super::sizes::SizeLedger;
use super::speed::{ReadingCurve, SpeedModel};
use super::summary::TargetSummary;
use super::target::{AttemptOutcome, RunningTicket, TargetInfo, TargetState};
use super::{
    ActiveRequest, PlacementKey, PlacementOutput, PlacementRequest, ProcessKey, RefusalReason,
    TargetKey,
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
/// Part of a request's own worth that must be lost for it to wait for a better target.
const HOLD_PART: f64 = 0.25;
/// Waiting requests that are passed over for others in one placement at most, which bounds its time.
const MAX_PASSED_OVER: usize = 16;
/// Time to keep a request whose node went silent, in ms.
const SILENT_MS: u64 = 3_000;

/// Targets, requests at them and waiting requests of a service.
#[derive(Debug, Default)]
pub(super) struct ServiceBoard {
    targets: BTreeMap<TargetKey, TargetState>,
    queue: WaitingQueue,
    sizes: SizeLedger,
    curve: ReadingCurve,
    summary: TargetSummary,
    /// Requests that ended lately, with the time of their end.
    ended: HashMap<PlacementKey, ClockTime>,
}

impl ServiceBoard {
    pub(super) fn set_targets(
        &mut self,
        infos: &[TargetInfo],
        recalled: &BTreeMap<TargetKey, SpeedModel>,
    ) {
        let before = self.targets.len();
        self.targets.retain(|key, _| infos.iter().any(|info| info.key == *key));
        let speed = SpeedModel::mean(self.targets.values().map(|state| *state.speed()));
        if self.targets.len() != before || infos.len() != before {
            self.summary.expire();
        }
        for info in infos {
            self.targets
                .entry(info.key)
                .and_modify(|state| state.info = info.clone())
                .or_insert_with(|| {
                    let speed = recalled.get(&info.key).copied().unwrap_or(speed);
                    TargetState::new(info.clone(), speed)
                });
        }
    }

    pub(super) fn recall_speed(&mut self, target: TargetKey, speed: SpeedModel) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.recall_speed(speed);
            self.summary.expire();
        }
    }

    pub(super) fn speeds(&self) -> impl Iterator<Item = (TargetKey, SpeedModel)> {
        self.targets.iter().map(|(key, state)| (*key, *state.speed()))
    }

    pub(super) fn has_target(&self, target: TargetKey) -> bool {
        self.targets.contains_key(&target)
    }

    /// Takes in a request: places it, queues it or refuses it.
    pub(super) fn submit(
        &mut self,
        ticket: PlacementRequest,
        now: ClockTime,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        self.refresh_summary(now);
        let size = self.sizes.count_arrival(&ticket, now);
        let needs = self.needs(&ticket);
        let mut waiting = WaitingTicket::new(ticket, size, needs, now);
        if self.targets.is_empty() {
            // Targets announce themselves every second or so, also to nodes that have just started.
            waiting.expires = waiting.expires.min(now.plus(NO_TARGET_WAIT_MS));
        }
        if waiting.due.is_none() {
            let wait_ms = self.queue.expected_wait_ms(&waiting, self.summary.capacity, now);
            if wait_ms > waiting.ticket.deadline_left_ms as f64 * WAIT_PART {
                outputs.push(refusal(&waiting.ticket, RefusalReason::WaitTooLong, wait_ms as u64));
                return;
            }
        }
        self.queue.count_arrival(&waiting, now);
        self.queue.push(waiting);
        self.place_waiting(now, outputs);
    }

    pub(super) fn withdraw(&mut self, key: PlacementKey) {
        self.queue.remove(key);
    }

    pub(super) fn is_waiting(&self, key: PlacementKey) -> bool {
        self.queue.contains(key)
    }

    pub(super) fn granted_target(&self, key: PlacementKey) -> Option<TargetKey> {
        self.targets.values().find(|state| state.running.contains_key(&key)).map(|s| s.info.key)
    }

    pub(super) fn started(&mut self, target: TargetKey, key: PlacementKey, now: ClockTime) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        if let Some((prompt_tokens, effort)) = state.started(key, now) {
            self.curve.learn(prompt_tokens, effort);
        }
    }

    pub(super) fn finished(
        &mut self,
        target: TargetKey,
        key: PlacementKey,
        outcome: AttemptOutcome,
        now: ClockTime,
    ) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        state.finished(key, outcome, now);
        self.ended.insert(key, now);
    }

    pub(super) fn adopt(&mut self, target: TargetKey, ticket: &PlacementRequest, now: ClockTime) {
        self.refresh_summary(now);
        let (size, needs) = (self.sizes.size(ticket), self.needs(ticket));
        if let Some(state) = self.targets.get_mut(&target)
            && !state.running.contains_key(&ticket.key)
            && !self.ended.contains_key(&ticket.key)
        {
            state.grant(&WaitingTicket::new(ticket.clone(), size, needs, now), now);
        }
    }

    /// Brings the requests of a node in line with its own report.
    pub(super) fn reconcile(
        &mut self,
        process: ProcessKey,
        active: &[ActiveRequest],
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
                effort: self.curve.effort(active.prompt_tokens),
                effort_ahead: self.curve.effort(active.prompt_tokens),
                worth: 1.0,
                rank: 0,
                output_tokens: 0,
                pause_ms: None,
                first: None,
                seen: now,
                reported: true,
                measured: false,
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
        self.refresh_summary(now);
        for hopeless in self.queue.take_hopeless(self.summary.capacity, WAIT_PART, now) {
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
        let speed = SpeedModel::mean(states.clone().map(|state| *state.speed()));
        let fastest = states.clone().map(|s| s.speed().token_ms).fold(f64::MAX, f64::min);
        let slowest = states.clone().map(|s| s.speed().token_ms).fold(0.0, f64::max);
        format!(
            "service={service} targets={} usable={usable} slots={slots} running={running} waiting={} fixed_ms={:.1} read_us={:.2} growth={:.3} token_ms={:.2} token_ms_range={fastest:.2}..{slowest:.2}",
            states.len(),
            self.queue.len(),
            speed.fixed_ms,
            speed.read_ms * 1_000.0,
            self.curve.growth(),
            speed.token_ms
        )
    }

    pub(super) fn describe(&self, now: ClockTime) -> Vec<String> {
        self.targets.values().map(|state| state.describe(now)).collect()
    }

    /// Places waiting requests while targets are free.
    pub(super) fn place_waiting(&mut self, now: ClockTime, outputs: &mut Vec<PlacementOutput>) {
        while self.queue.len() > 0 && self.targets.values().any(|state| state.free(now)) {
            let Some((key, target)) = self.pick_request(now) else { break };
            let Some(waiting) = self.queue.take(key) else { break };
            let Some(state) = self.targets.get_mut(&target) else { break };
            state.grant(&waiting, now);
            self.sizes.count_grant(&waiting.ticket, waiting.band);
            outputs.push(PlacementOutput::Grant {
                key: waiting.ticket.key,
                process: waiting.ticket.process,
                target,
                waited_ms: now.since(waiting.arrived),
            });
        }
    }

    /// Picks the most worthwhile request that does not wait for a better target, with its target.
    fn pick_request(&self, now: ClockTime) -> Option<(PlacementKey, TargetKey)> {
        self.queue.in_order(now).take(MAX_PASSED_OVER).find_map(|waiting| {
            self.pick_target(waiting, now).map(|target| (waiting.ticket.key, target))
        })
    }

    /// Picks the free target at which least is lost, and among these the one with the lowest cost. None
    /// if none is free, or if another one would lose less once it has a free slot.
    fn pick_target(&self, waiting: &WaitingTicket, now: ClockTime) -> Option<TargetKey> {
        let excluded = &waiting.ticket.excluded;
        let allowed = || self.targets.values().filter(|s| !excluded.contains(&s.info.key));
        let (strain, _, target) = allowed()
            .filter(|state| state.free(now))
            .map(|state| (state.strain(waiting, now), state.cost(waiting, now), state.info.key))
            .min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.total_cmp(&right.1)))?;
        let tolerated = waiting.worth * HOLD_PART;
        if strain <= tolerated || !self.summary.fastest.reads_within_pause(waiting) {
            return Some(target);
        }
        let mut busy = allowed().filter(|state| state.usable(now) && !state.free(now));
        let held = busy.any(|state| state.least_strain(waiting, now) <= tolerated);
        (!held).then_some(target)
    }

    fn needs(&self, ticket: &PlacementRequest) -> RequestNeeds {
        let effort = self.curve.effort(ticket.prompt_tokens);
        let TargetSummary { mean, fastest, slots, .. } = self.summary;
        RequestNeeds {
            effort,
            first_ms: fastest.first_event_ms(effort),
            load_ms: mean.load_ms(effort, f64::from(ticket.output_tokens), slots),
        }
    }

    fn refresh_summary(&mut self, now: ClockTime) {
        if !self.summary.holds(now) {
            let usual = self.queue.usual_request();
            self.summary = TargetSummary::collect(self.targets.values(), usual, now);
        }
    }
}

fn refusal(ticket: &PlacementRequest, reason: RefusalReason, wait_ms: u64) -> PlacementOutput {
    PlacementOutput::Refuse {
        key: ticket.key,
        process: ticket.process,
        reason,
        retry_after_ms: wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS),
    }
}
