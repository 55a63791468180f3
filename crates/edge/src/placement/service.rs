//! Scheduler of one service: its targets, their running requests and the waiting requests.

mod outputs;

use super::features::PlacementFeatures;
use super::free_targets::FreeTargets;
use super::lengths::OutputLengths;
use super::pacer::RateLimits;
use super::queue::{RequestEstimate, WaitingQueue, WaitingRequest};
use super::returns::ReturnCounts;
use super::shares::ShareExcess;
use super::size_rule::SizeRule;
use super::sizes::SizeStatistics;
use super::speed::SpeedModel;
use super::summary::TargetSummary;
use super::target::{AttemptOutcome, RunningRequest, TargetInfo, TargetState};
use super::version_trial::TrialLimit;
use super::{
    ActiveRequest, PlacementKey, PlacementOutput, PlacementRequest, ProcessKey, RefusalReason,
    TargetKey, VersionKey,
};
use crate::streams::StreamKey;
use burdockcleat_core::clock::ClockTime;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Largest fraction of the time left until the deadline that a request may spend waiting. A refused
/// caller retries within a third of the time that it has left.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Retry delay while no target is usable, in ms. Targets announce themselves every second.
const NO_TARGET_RETRY_MS: u64 = 500;
/// Shortest retry delay, in ms.
pub(super) const MIN_RETRY_MS: u64 = 100;
/// Longest retry delay, in ms.
pub(super) const MAX_RETRY_MS: u64 = 5_000;
/// Time within which a granted request must appear in the report of its node, in ms; covers two
/// reports.
const REPORT_GRACE_MS: u64 = 700;
/// Time for which the key of a finished request is kept, in ms. A report that is still in transit
/// may list the request.
const ENDED_RETENTION_MS: u64 = 1_000;
/// Largest loss at which a request is placed without waiting for a better target, as a fraction of
/// its own value.
const TOLERATED_LOSS_FRACTION: f64 = 0.25;
/// Maximum number of waiting requests with a free target that are examined per placement; bounds
/// its time.
const MAX_EXAMINED: usize = 16;
/// Time after which the requests of a node that sends no reports are removed, in ms. It applies to nodes
/// that are frozen, cut off or on a lost host; those of a process that is known to have ended are
/// removed at once.
const NODE_TIMEOUT_MS: u64 = 3_000;

/// Targets, running requests and waiting requests of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceScheduler {
    pub(super) features: PlacementFeatures,
    /// Whether targets state how long work takes on them.
    pub(super) load_reports: bool,
    pub(super) targets: BTreeMap<TargetKey, TargetState>,
    /// Version on trial.
    pub(super) trial: Option<TrialLimit>,
    /// Software versions of the targets.
    versions: BTreeSet<VersionKey>,
    queue: WaitingQueue,
    sizes: SizeStatistics,
    pub(super) summary: TargetSummary,
    lengths: OutputLengths,
    /// Time within which all requests of a new target are known, in ms; `None` while those of the
    /// other targets are not.
    memory_known: Option<u64>,
    /// Requests that finished recently, with the time of their end.
    pub(super) recently_ended: HashMap<PlacementKey, ClockTime>,
}

impl ServiceScheduler {
    pub(super) fn new(size_rule: SizeRule, features: PlacementFeatures) -> Self {
        Self { features, sizes: SizeStatistics::new(size_rule), ..Self::default() }
    }

    pub(super) fn set_targets(
        &mut self,
        infos: &[TargetInfo],
        restored_speeds: &BTreeMap<TargetKey, SpeedModel>,
        limits: &RateLimits,
        now: ClockTime,
    ) {
        let before = self.targets.len();
        self.targets.retain(|key, _| infos.iter().any(|info| info.key == *key));
        let speed = SpeedModel::mean(self.targets.values().map(|state| *state.speed()));
        if self.targets.len() != before || infos.len() != before {
            self.summary.invalidate();
        }
        for info in infos {
            self.targets
                .entry(info.key)
                .and_modify(|state| state.info = info.clone())
                .or_insert_with(|| {
                    let speed = restored_speeds.get(&info.key).copied().unwrap_or(speed);
                    let mut state = TargetState::new(info.clone(), speed, now);
                    state.added = Some(now);
                    state.paced = self.features.target_pace;
                    state.pacer = limits.pacer(info.key, now);
                    state
                });
        }
        self.hold_trial_targets();
        self.versions = infos.iter().map(|info| info.version).collect();
        let versions = &self.versions;
        self.queue.mark_targetless(|request| request.allows_any(versions), now);
    }

    /// Applies the limits of the request rates.
    pub(super) fn apply_limits(&mut self, limits: &RateLimits, now: ClockTime) {
        for (key, state) in &mut self.targets {
            match (&mut state.pacer, limits.rates.get(key)) {
                (Some(pacer), Some(rate)) => pacer.set_rate(*rate, limits.share, now),
                (None, Some(_)) => state.pacer = limits.pacer(*key, now),
                (_, None) => state.pacer = None,
            }
        }
        self.summary.invalidate();
    }

    pub(super) fn restore_speed(&mut self, target: TargetKey, speed: SpeedModel) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.restore_speed(speed);
            self.summary.invalidate();
        }
    }

    pub(super) fn speeds(&self) -> impl Iterator<Item = (TargetKey, SpeedModel)> {
        self.targets.iter().map(|(key, state)| (*key, *state.speed()))
    }

    pub(super) fn has_target(&self, target: TargetKey) -> bool {
        self.targets.contains_key(&target)
    }

    /// Places, queues or refuses a new request.
    pub(super) fn submit(
        &mut self,
        request: PlacementRequest,
        now: ClockTime,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        if let Some(reason) = self.final_refusal(&request, now) {
            outputs.push(refusal(&request, reason, 0));
            return;
        }
        self.refresh_summary(now);
        let size = self.sizes.count_arrival(&request, now);
        let estimate = self.estimate(&request);
        let mut waiting = WaitingRequest::new(request, size, estimate, now);
        let has_target = waiting.request.allows_any(&self.versions);
        waiting.turn = self.queue.shares.count_arrival(&waiting, self.features);
        waiting.lengths = self.known_lengths(&waiting.request);
        waiting.booked = self.queue.returns.take(&waiting.request, now);
        waiting.targetless_since = (!has_target).then_some(now);
        if waiting.send_by.is_none() && has_target {
            let wait_ms = self.queue.expected_wait_ms(&waiting, &self.summary.capacity, now);
            if wait_ms > waiting.request.deadline_left_ms as f64 * MAX_WAIT_FRACTION {
                let retry_ms = self.retry_after_ms(&waiting, wait_ms, now);
                outputs.push(refusal(&waiting.request, RefusalReason::WaitTooLong, retry_ms));
                return;
            }
        }
        self.queue.arrivals.count(&waiting, now);
        self.queue.push(waiting);
        self.place_waiting(now, outputs);
    }

    pub(super) fn withdraw(&mut self, key: PlacementKey) {
        self.queue.remove(key);
    }

    /// Removes the waiting requests of a process. Returns their number.
    pub(super) fn withdraw_process(&mut self, process: ProcessKey) -> usize {
        self.queue.remove_process(process)
    }

    /// Returns the streams that were begun before and wait, with the process and the time since
    /// which they do.
    pub(super) fn returned_streams(
        &self,
    ) -> impl Iterator<Item = (StreamKey, (ProcessKey, ClockTime))> {
        self.queue.returned_streams()
    }

    pub(super) fn is_waiting(&self, key: PlacementKey) -> bool {
        self.queue.contains(key)
    }

    pub(super) fn granted_target(&self, key: PlacementKey) -> Option<TargetKey> {
        self.targets.values().find(|state| state.running.contains_key(&key)).map(|s| s.info.key)
    }

    pub(super) fn started(&mut self, target: TargetKey, key: PlacementKey, now: ClockTime) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.started(key, now);
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
        if !state.running.contains_key(&key) && !self.recently_ended.contains_key(&key) {
            // Another scheduler granted the request, and no report has listed it.
            state.count_listed_request(now);
        }
        state.finished(key, outcome, now);
        self.recently_ended.insert(key, now);
    }

    pub(super) fn adopt(&mut self, target: TargetKey, request: &PlacementRequest, now: ClockTime) {
        self.refresh_summary(now);
        let (size, estimate) = (self.sizes.size(request), self.estimate(request));
        if let Some(state) = self.targets.get_mut(&target)
            && !state.running.contains_key(&request.key)
            && !self.recently_ended.contains_key(&request.key)
        {
            let mut waiting = WaitingRequest::new(request.clone(), size, estimate, now);
            state.grant(&waiting, now);
            state.raise_pace(now);
            waiting.turn = self.queue.shares.count_arrival(&waiting, self.features);
            self.queue.shares.count_grant(&waiting);
        }
    }

    /// Updates the running requests of a node to match its report.
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
                    || (!running.reported && now.since(running.last_seen) < REPORT_GRACE_MS)
            });
        }
        for active in active {
            // The report may be older than the notice that the request finished.
            if self.recently_ended.contains_key(&active.key) {
                continue;
            }
            let Some(state) = self.targets.get_mut(&active.target) else { continue };
            if !state.running.contains_key(&active.key) {
                state.count_listed_request(now);
            }
            let reported = || RunningRequest::reported(process, active, now);
            let running = state.running.entry(active.key).or_insert_with(reported);
            running.last_seen = now;
            running.reported = true;
            running.need.grow(running.prompt_tokens, active.written_tokens);
            if active.started && running.first_event.is_none() {
                running.first_event = Some(now);
            }
        }
    }

    /// Refuses requests that have waited too long, removes requests of silent nodes and places
    /// waiting ones.
    pub(super) fn advance(&mut self, now: ClockTime, outputs: &mut Vec<PlacementOutput>) {
        self.recently_ended.retain(|_, end| now.since(*end) < ENDED_RETENTION_MS);
        for state in self.targets.values_mut() {
            state.running.retain(|_, running| now.since(running.last_seen) < NODE_TIMEOUT_MS);
        }
        self.place_waiting(now, outputs);
        self.refresh_summary(now);
        for refused in self.queue.take_refused(&self.summary.capacity, MAX_WAIT_FRACTION, now) {
            let request = &refused.waiting.request;
            if refused.waiting.targetless_since.is_some() {
                outputs.push(refusal(request, RefusalReason::NoTarget, NO_TARGET_RETRY_MS));
            } else {
                let retry_ms = self.retry_after_ms(&refused.waiting, refused.wait_ms, now);
                outputs.push(refusal(request, RefusalReason::WaitTooLong, retry_ms));
            }
        }
    }

    /// Returns the time after which a refused request may return, in ms, and books it if it may be.
    fn retry_after_ms(&mut self, waiting: &WaitingRequest, wait_ms: f64, now: ClockTime) -> u64 {
        if !self.features.return_bookings {
            return wait_ms as u64;
        }
        let (slots, return_ms) = (&self.summary.capacity, waiting.return_ms(now));
        let wait_ms = self.queue.returning_wait_ms(waiting, slots, return_ms, now);
        self.queue.returns.retry_after_ms(waiting, wait_ms, MAX_WAIT_FRACTION, now)
    }

    pub(super) fn take_return_counts(&mut self) -> ReturnCounts {
        self.queue.returns.take_counts()
    }

    pub(super) fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the age of the oldest waiting request, in ms; 0 if none waits.
    pub(super) fn queue_age(&self, now: ClockTime) -> u64 {
        self.queue.oldest().map_or(0, |arrived| now.since(arrived))
    }

    pub(super) fn summarize(&self, service: &str, now: ClockTime) -> String {
        let states = self.targets.values();
        let slots: u64 = states.clone().map(|state| u64::from(state.info.slots)).sum();
        let running: usize = states.clone().map(|state| state.running.len()).sum();
        let usable = states.clone().filter(|state| state.usable(now)).count();
        let speed = SpeedModel::mean(states.clone().map(|state| *state.speed()));
        let fastest = states.clone().map(|s| s.speed().token_ms).fold(f64::MAX, f64::min);
        let slowest = states.clone().map(|s| s.speed().token_ms).fold(0.0, f64::max);
        format!(
            "service={service} targets={} usable={usable} slots={slots} running={running} waiting={} fixed_ms={:.1} read_us={:.2} token_ms={:.2} token_ms_range={fastest:.2}..{slowest:.2}{}{}",
            states.len(),
            self.queue.len(),
            speed.fixed_ms,
            speed.read_ms * 1_000.0,
            speed.token_ms,
            self.describe_loads(now),
            self.describe_paces()
        ) + &self.describe_outputs()
    }

    pub(super) fn share_excesses(&self, service: &str) -> Vec<ShareExcess> {
        self.queue.shares.excesses(service)
    }

    pub(super) fn describe(&self, now: ClockTime) -> Vec<String> {
        self.targets.values().map(|state| state.describe(now)).collect()
    }

    /// Places waiting requests while any target has a free slot.
    pub(super) fn place_waiting(&mut self, now: ClockTime, outputs: &mut Vec<PlacementOutput>) {
        if self.queue.len() == 0 {
            return;
        }
        let mut free = {
            let room = |state: &TargetState| self.room(state, now);
            FreeTargets::collect(self.targets.values(), room, now)
        };
        while !free.is_empty() {
            let Some((key, target)) = self.pick_request(&free, now) else { break };
            let Some(waiting) = self.queue.take(key) else { break };
            let Some(state) = self.targets.get_mut(&target) else { break };
            state.grant(&waiting, now);
            let version = state.info.version;
            if !state.has_free_slot(now) {
                free.remove(&state.info);
            } else if let Some(state) = self.targets.get(&target) {
                free.set_room(&state.info, self.room(state, now));
            }
            self.count_trial(version, &mut free);
            self.sizes.count_grant(&waiting.request, waiting.band);
            self.queue.shares.count_grant(&waiting);
            outputs.push(PlacementOutput::Grant {
                key: waiting.request.key,
                process: waiting.request.process,
                target,
                waited_ms: now.since(waiting.arrived),
            });
        }
    }

    /// Returns the first request in queue order that should be placed now, with its target.
    fn pick_request(
        &self,
        free: &FreeTargets,
        now: ClockTime,
    ) -> Option<(PlacementKey, TargetKey)> {
        let placeable = self.queue.in_order(now, |waiting| free.any_allowed(waiting));
        placeable.take(MAX_EXAMINED).find_map(|waiting| {
            self.pick_target(waiting, now).map(|target| (waiting.request.key, target))
        })
    }

    /// Returns whether a target has a slot and memory for a request.
    pub(super) fn is_free(
        &self,
        state: &TargetState,
        waiting: &WaitingRequest,
        now: ClockTime,
    ) -> bool {
        state.accepts(&waiting.request, now) && self.room(state, now).fits(waiting.need)
    }

    /// Returns the free target with the lowest loss, and among these the one with the lowest cost.
    /// Returns `None` if no target is free, or if the request should wait because a busy target
    /// would have a tolerable loss once it has a free slot.
    fn pick_target(&self, waiting: &WaitingRequest, now: ClockTime) -> Option<TargetKey> {
        let tolerated_loss = waiting.value * TOLERATED_LOSS_FRACTION;
        if let Some(target) = self.pick_trial_target(waiting, tolerated_loss, now) {
            return Some(target);
        }
        let allowed = || self.targets.values().filter(|s| waiting.request.allows(&s.info));
        let affinity = self.features.domain_affinity;
        let (placement_loss, _, target) = allowed()
            .filter(|state| self.is_free(state, waiting, now))
            .map(|state| {
                (
                    state.placement_loss(waiting, now),
                    state.cost(waiting, affinity, now),
                    state.info.key,
                )
            })
            .min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.total_cmp(&right.1)))?;
        if placement_loss <= tolerated_loss
            || !self.summary.fastest(&waiting.request).prefills_within_pause(waiting)
        {
            return Some(target);
        }
        // With known lengths, a part of the loss that is saved is worth the wait, too.
        let saved_loss = waiting.lengths.as_ref().map_or(0.0, |_| placement_loss - tolerated_loss);
        let waits_for_loss = tolerated_loss.max(saved_loss);
        let mut busy = allowed().filter(|state| {
            state.usable(now) && state.within_rate(now) && !self.is_free(state, waiting, now)
        });
        let better_target_expected =
            busy.any(|state| state.min_placement_loss(waiting, now) <= waits_for_loss);
        (!better_target_expected).then_some(target)
    }

    fn estimate(&self, request: &PlacementRequest) -> RequestEstimate {
        let prefill_work = f64::from(request.prompt_tokens);
        let TargetSummary { mean, slots, .. } = self.summary;
        RequestEstimate {
            prefill_work,
            first_ms: self.summary.fastest(request).first_event_ms(prefill_work),
            load_ms: mean.load_ms(prefill_work, self.mean_output_tokens(request), slots),
            need: self.token_need(request),
        }
    }

    fn refresh_summary(&mut self, now: ClockTime) {
        if !self.summary.is_current(now) {
            let mean_request = self.queue.arrivals.mean_request();
            self.summary = TargetSummary::compute(self.targets.values(), mean_request, now);
            self.queue.shares.update(self.summary.capacity.total(), now);
        }
    }
}

fn refusal(request: &PlacementRequest, reason: RefusalReason, wait_ms: u64) -> PlacementOutput {
    PlacementOutput::Refuse {
        key: request.key,
        process: request.process,
        reason,
        retry_after_ms: wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS),
    }
}
