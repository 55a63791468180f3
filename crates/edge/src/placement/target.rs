//! State of one target: running requests, speed estimate and failures.

use super::affinity::remote_cost_ms;
use super::load_view::LoadView;
use super::pace::PaceWindow;
use super::pacer::RatePacer;
use super::queue::WaitingRequest;
use super::speed::{SpeedEstimate, SpeedModel};
use super::stated_requests::StatedRequests;
use super::target_memory::TokenNeed;
use super::{ActiveRequest, PlacementKey, ProcessKey, TargetKey, VersionKey};
use crate::streams::StreamKey;
use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Cost of each running request, in output tokens; each one slows down the others.
const CONCURRENCY_COST_TOKENS: f64 = 1.0;
/// Time for which sent prompts are remembered, in ms; longer than the permitted pauses of streams.
const RECENT_PREFILL_MS: u64 = 1_000;
/// Tolerated delay of a first event beyond its expected time, in ms. A longer delay adds to the
/// expected time to the next first event.
const OVERDUE_TOLERANCE_MS: f64 = 100.0;
/// Cost at a failure rate of 1, in ms.
const FAILURE_COST_MS: f64 = 2_000.0;
/// Weight of a broken response in the failure rate.
const BROKEN_WEIGHT: f64 = 0.25;
/// Weight of a response with a failure or a success in the failure rate. Low, since some requests
/// fail on every target.
const FAILED_WEIGHT: f64 = 0.1;
/// Failure rate without cost; above the rate that the requests themselves cause.
const FAILURE_TOLERANCE: f64 = 0.2;
/// Time constant of the decay of the failure rate, in ms. An avoided target serves no requests that
/// would show its recovery.
const FAILURE_TIME_CONSTANT_MS: f64 = 3_000.0;
/// First backoff after the target was unreachable or stalled, in ms; doubles with each consecutive
/// failure.
const FIRST_BACKOFF_MS: u64 = 250;
/// Longest backoff, in ms. A crashed target is back within seconds.
const MAX_BACKOFF_MS: u64 = 4_000;

/// Static properties of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Key of the incarnation.
    pub key: TargetKey,
    /// Service that the target belongs to.
    pub service: String,
    /// Failure domain of the target.
    pub domain: String,
    /// Software version of the target.
    pub version: VersionKey,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Memory of the target, in tokens of the requests that it holds; 0 if it is not bounded.
    pub memory_tokens: u32,
    /// Time for which the target remained slow after its start when it announced itself, in ms.
    pub cold_ms: u32,
}

/// Outcome of a request on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The target answered.
    Answered,
    /// The target answered with a failure of its own.
    Failed,
    /// The target answered that it is full and did not run the request.
    Full,
    /// The target did not answer, closed the response early or sent an invalid one.
    Broken,
    /// The target could not be reached.
    Unreachable,
    /// The target sent nothing for too long.
    Stalled,
    /// The caller left, or the node cancelled the request for reasons unrelated to the target.
    Dropped,
    /// The deadline passed while the target was responding.
    DeadlinePassed,
}

#[derive(Clone, Debug)]
pub(super) struct RunningRequest {
    pub(super) process: ProcessKey,
    /// Stream that it begins or goes on with; `None` if that is not known.
    pub(super) stream: Option<StreamKey>,
    pub(super) prompt_tokens: u32,
    /// Prefill work of this prompt and of all prompts ahead of it at the time of the grant.
    pub(super) queued_prefill_work: f64,
    pub(super) granted: ClockTime,
    /// Value of serving the request on time, relative to the mean request of its rank.
    pub(super) value: f64,
    pub(super) rank: u32,
    /// Expected output tokens; 0 if unknown to this node.
    pub(super) output_tokens: u32,
    /// Tokens that it takes of the target's memory.
    pub(super) need: TokenNeed,
    /// Real output tokens after the first event; `None` if they were not counted.
    pub(super) measured_tokens: Option<u32>,
    /// Longest pause within the stream that still counts as on time, in ms; `None` if the response
    /// is not streamed.
    pub(super) pause_ms: Option<u64>,
    /// Time of the first event; `None` before it.
    pub(super) first_event: Option<ClockTime>,
    /// Time of the grant or of the last report that lists the request.
    pub(super) last_seen: ClockTime,
    /// Whether the node that holds the request has reported it as running.
    pub(super) reported: bool,
    /// Whether the time of the grant is known here, so that the request may update the speed
    /// estimate.
    pub(super) grant_observed: bool,
}

impl RunningRequest {
    /// Returns a request that another scheduler granted, as its node reports it.
    pub(super) fn reported(process: ProcessKey, active: &ActiveRequest, now: ClockTime) -> Self {
        Self {
            process,
            stream: None,
            prompt_tokens: active.prompt_tokens,
            granted: now,
            queued_prefill_work: f64::from(active.prompt_tokens),
            value: 1.0,
            rank: 0,
            output_tokens: 0,
            need: TokenNeed::reported(active),
            measured_tokens: None,
            pause_ms: None,
            first_event: None,
            last_seen: now,
            reported: true,
            grant_observed: false,
        }
    }
}

#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) info: TargetInfo,
    pub(super) running: BTreeMap<PlacementKey, RunningRequest>,
    speed: SpeedEstimate,
    /// Grant time and prefill work of the prompts that were sent recently.
    pub(super) recent_prefills: VecDeque<(ClockTime, f64)>,
    failure_rate: f64,
    /// Time to which `failure_rate` is decayed.
    failure_rate_at: ClockTime,
    consecutive_failures: u32,
    backoff_until: ClockTime,
    /// Time at which the target became usable; `None` if it is not known.
    pub(super) added: Option<ClockTime>,
    /// Requests that the target stated last.
    pub(super) stated: Option<StatedRequests>,
    /// Load that the target states; empty if the service does not use it.
    pub(super) load: LoadView,
    /// Window of concurrent requests, used if `paced`.
    pub(super) pace: PaceWindow,
    pub(super) paced: bool,
    /// Spaces out the requests if the target limits their rate.
    pub(super) pacer: Option<RatePacer>,
    /// Whether the target's version is on trial and may get no requests now.
    pub(super) on_hold: bool,
}

impl TargetState {
    pub(super) fn new(info: TargetInfo, speed: SpeedModel, now: ClockTime) -> Self {
        let pace = PaceWindow::new(info.cold_ms, now);
        Self {
            info,
            running: BTreeMap::new(),
            speed: SpeedEstimate::new(speed),
            recent_prefills: VecDeque::new(),
            failure_rate: 0.0,
            failure_rate_at: ClockTime::from_ms(0),
            consecutive_failures: 0,
            backoff_until: ClockTime::from_ms(0),
            added: None,
            stated: None,
            load: LoadView::default(),
            pace,
            paced: false,
            pacer: None,
            on_hold: false,
        }
    }

    /// Returns the current speed estimate.
    pub(super) const fn speed(&self) -> &SpeedModel {
        self.speed.model()
    }

    /// Returns whether the speed was observed by this scheduler.
    pub(super) const fn speed_observed(&self) -> bool {
        self.speed.observed()
    }

    /// Sets a speed that was measured elsewhere, unless a first event has been observed here.
    pub(super) fn restore_speed(&mut self, speed: SpeedModel) {
        if !self.speed.observed() {
            self.speed = SpeedEstimate::new(speed);
        }
    }

    /// Returns whether the target is neither in backoff nor on hold.
    pub(super) fn usable(&self, now: ClockTime) -> bool {
        !self.on_hold && self.backoff_until <= now
    }

    /// Returns whether the target may be sent some request.
    pub(super) fn has_free_slot(&self, now: ClockTime) -> bool {
        self.has_slot_for(true, now)
    }

    /// Returns the number of slots that are used without a window. After a failure, only one request
    /// runs at a time.
    pub(super) fn slots_in_use(&self) -> usize {
        if self.consecutive_failures > 0 { 1 } else { self.info.slots.max(1) as usize }
    }

    /// Returns whether the target's limit of the request rate admits another request.
    pub(super) fn within_rate(&self, now: ClockTime) -> bool {
        self.pacer.is_none_or(|pacer| pacer.is_ready(now))
    }

    /// Counts a request towards the limit of the request rate.
    pub(super) fn count_request(&mut self, now: ClockTime) {
        if let Some(pacer) = &mut self.pacer {
            pacer.count_request(now);
        }
    }

    /// Returns the cost of sending the request to this target, in ms. `affinity` tells whether
    /// requests stay in their failure domain while it has room.
    pub(super) fn cost(&self, waiting: &WaitingRequest, affinity: bool, now: ClockTime) -> f64 {
        let remote = self.info.domain != waiting.request.domain;
        let remote_cost = if remote { remote_cost_ms(waiting, affinity) } else { 0.0 };
        self.expected_first_ms(waiting.prefill_work, now)
            + self.held_requests(now) as f64 * self.concurrency_cost(now)
            + remote_cost
            + (self.failure_rate(now) - FAILURE_TOLERANCE).max(0.0) * FAILURE_COST_MS
    }

    /// Returns the expected time to the first event, in ms, for the pending prompts and this one.
    pub(super) fn expected_first_ms(&self, prefill_work: f64, now: ClockTime) -> f64 {
        let work_ms = self.speed().first_event_ms(self.pending_prefill_work(now) + prefill_work);
        self.load.expected_ms(work_ms, now) + self.overdue_ms(now)
    }

    /// Returns the cost of each request that the target holds, in ms.
    fn concurrency_cost(&self, now: ClockTime) -> f64 {
        CONCURRENCY_COST_TOKENS * self.speed().token_ms * self.load.factor(now)
    }

    /// Returns the work of the prompts whose prefill is not complete.
    pub(super) fn pending_prefill_work(&self, now: ClockTime) -> f64 {
        let read_ms = self.speed().read_ms.max(f64::EPSILON);
        let unstarted = self.running.values().filter(|running| running.first_event.is_none());
        let pending = unstarted.map(|running| {
            let processed = self.load.undisturbed(running.granted, now).mean() / read_ms;
            (running.queued_prefill_work - processed).clamp(0.0, f64::from(running.prompt_tokens))
        });
        pending.sum()
    }

    /// Returns the longest delay of an expected first event, in ms. A target that has been late for
    /// long is expected to stay late for as long.
    fn overdue_ms(&self, now: ClockTime) -> f64 {
        let unstarted = self.running.values().filter(|running| running.first_event.is_none());
        let overdue = unstarted.map(|running| {
            let expected_ms =
                self.speed().first_event_ms(running.queued_prefill_work) + OVERDUE_TOLERANCE_MS;
            self.load.undisturbed(running.granted, now).mean() - expected_ms
        });
        overdue.fold(0.0, f64::max)
    }

    pub(super) fn grant(&mut self, waiting: &WaitingRequest, now: ClockTime) {
        self.count_request(now);
        let request = &waiting.request;
        let running = RunningRequest {
            process: request.process,
            stream: request.stream,
            prompt_tokens: request.prompt_tokens,
            queued_prefill_work: self.pending_prefill_work(now) + waiting.prefill_work,
            granted: now,
            value: waiting.value,
            rank: request.rank,
            output_tokens: request.output_tokens,
            need: waiting.need,
            measured_tokens: None,
            pause_ms: request.pause_ms,
            first_event: None,
            last_seen: now,
            reported: false,
            grant_observed: true,
        };
        self.running.insert(request.key, running);
        self.recent_prefills.push_back((now, waiting.prefill_work));
        while self.recent_prefills.front().is_some_and(|(at, _)| now.since(*at) > RECENT_PREFILL_MS)
        {
            self.recent_prefills.pop_front();
        }
    }

    /// Records the first event of a request.
    pub(super) fn started(&mut self, key: PlacementKey, now: ClockTime) {
        let Some(running) = self.running.get_mut(&key) else { return };
        running.reported = true;
        if running.first_event.replace(now).is_some() || !running.grant_observed {
            return;
        }
        let expected_ms = self.speed.model().first_event_ms(running.queued_prefill_work);
        let took_ms = self.load.undisturbed(running.granted, now).closest(expected_ms);
        self.speed.learn_first_event(running.queued_prefill_work, took_ms);
        let (slots, granted) = (self.info.slots, running.granted);
        let held = self.held_requests(now);
        self.pace.answered((slots, held), granted, (took_ms, expected_ms), now);
        self.consecutive_failures = 0;
    }

    pub(super) fn finished(&mut self, key: PlacementKey, outcome: AttemptOutcome, now: ClockTime) {
        let running = self.running.remove(&key);
        if running.is_some() {
            self.load.count_end(now);
        }
        let granted = running.as_ref().map(|running| running.granted);
        match outcome {
            AttemptOutcome::Answered => {
                if let Some((running, first_event)) =
                    running.and_then(|r| r.first_event.map(|first_event| (r, first_event)))
                    && running.grant_observed
                {
                    let tokens =
                        f64::from(running.measured_tokens.unwrap_or(running.output_tokens));
                    let expected_ms = self.speed().token_ms * tokens;
                    let took_ms = self.load.undisturbed(first_event, now).closest(expected_ms);
                    self.speed.learn_output(tokens, took_ms);
                }
                self.count_outcome(0.0, FAILED_WEIGHT, now);
                self.consecutive_failures = 0;
            }
            AttemptOutcome::Failed => {
                self.count_outcome(1.0, FAILED_WEIGHT, now);
                self.consecutive_failures = 0;
            }
            AttemptOutcome::Broken => self.count_outcome(1.0, BROKEN_WEIGHT, now),
            // The window takes a target that responds for sound.
            AttemptOutcome::DeadlinePassed if self.paced => {}
            AttemptOutcome::Unreachable
            | AttemptOutcome::Stalled
            | AttemptOutcome::DeadlinePassed => {
                let backoff = FIRST_BACKOFF_MS << self.consecutive_failures.min(4);
                self.backoff_until = now.plus(backoff.min(MAX_BACKOFF_MS));
                self.consecutive_failures += 1;
            }
            AttemptOutcome::Full | AttemptOutcome::Dropped => {}
        }
        match (outcome, granted) {
            (AttemptOutcome::Full, Some(granted)) => self.pace.full(granted, now),
            _ => self.pace.ended(outcome, self.running.len(), self.backoff_until, now),
        }
    }

    /// Removes the requests of a process that has ended. Returns their keys.
    pub(super) fn remove_requests_of(
        &mut self,
        process: ProcessKey,
        now: ClockTime,
    ) -> Vec<PlacementKey> {
        let held = self.running.iter().filter(|(_, running)| running.process == process);
        let keys: Vec<_> = held.map(|(key, _)| *key).collect();
        for key in &keys {
            self.finished(*key, AttemptOutcome::Dropped, now);
        }
        keys
    }

    /// Returns the failure rate of recent requests, decayed to `now`.
    fn failure_rate(&self, now: ClockTime) -> f64 {
        let age_ms = now.since(self.failure_rate_at) as f64;
        self.failure_rate * (-age_ms / FAILURE_TIME_CONSTANT_MS).exp()
    }

    fn count_outcome(&mut self, failed: f64, weight: f64, now: ClockTime) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (failed - rate) * weight;
        self.failure_rate_at = now;
    }

    pub(super) fn describe(&self, now: ClockTime) -> String {
        format!(
            "target={:x} service={} running={} slots={} limit_per_s={} fixed_ms={:.1} read_us={:.2} token_ms={:.2} failures={:.2} paused_ms={}{}{}",
            self.info.key.0,
            self.info.service,
            self.running.len(),
            self.info.slots,
            self.pacer.map_or_else(
                || "none".to_owned(),
                |pacer| { format!("{:.3}", pacer.rate_per_ms() * 1_000.0) }
            ),
            self.speed().fixed_ms,
            self.speed().read_ms * 1_000.0,
            self.speed().token_ms,
            self.failure_rate(now),
            self.backoff_until.since(now),
            self.describe_load(now),
            self.describe_pace()
        )
    }
}
