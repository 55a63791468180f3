//! What is known of one target: requests in flight, speed, failures.

use super::queue::WaitingTicket;
use super::speed::{SpeedEstimate, SpeedModel};
use super::{PlacementKey, ProcessKey, TargetKey};
use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Cost of each request that runs at the target, in tokens of its output: it slows the others down.
const SHARE_COST_TOKENS: f64 = 1.0;
/// Time for which the effort of a prompt is remembered, in ms: longer than streams may pause.
const LATELY_MS: u64 = 1_000;
/// Time by which a first event may be late before its target counts as held up, in ms.
const OVERDUE_MS: f64 = 100.0;
/// Cost of a target in another failure domain, in ms: a round trip and priced traffic.
const FAR_COST_MS: f64 = 4.0;
/// Cost of a target whose every request failed lately, in ms.
const FAILURE_COST_MS: f64 = 2_000.0;
/// Weight of an answer that broke off in the failure share.
const BROKEN_WEIGHT: f64 = 0.25;
/// Weight of an answer with a failure: some requests fail at every target.
const FAILED_WEIGHT: f64 = 0.1;
/// Failure share that costs nothing: above what the requests themselves cause.
const FAILURE_TOLERANCE: f64 = 0.2;
/// Time constant in which failures are forgotten, in ms: a target that is avoided answers nothing
/// that would show its recovery.
const FAILURE_MEMORY_MS: f64 = 3_000.0;
/// First pause after a failure to reach a target, in ms; doubled with each further one.
const FIRST_PAUSE_MS: u64 = 250;
/// Longest pause, in ms: a target is back some seconds after a crash.
const MAX_PAUSE_MS: u64 = 4_000;

/// Static facts of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Key of the incarnation.
    pub key: TargetKey,
    /// Service.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// How a request ended at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// Answered.
    Answered,
    /// Answered with a failure of the target's own.
    Failed,
    /// The target answered that it did not run the request, since it is full.
    Full,
    /// The target did not answer, broke off, or answered with something else.
    Broken,
    /// The target could not be reached.
    Unreachable,
    /// The target was silent for too long.
    Stalled,
    /// The caller left, or the node gave up for reasons of its own.
    Dropped,
}

#[derive(Clone, Debug)]
pub(super) struct RunningTicket {
    pub(super) process: ProcessKey,
    pub(super) prompt_tokens: u32,
    /// Effort of reading its prompt, in tokens of a short one.
    pub(super) effort: f64,
    /// The same for all prompts that were to be read until its first event.
    pub(super) effort_ahead: f64,
    pub(super) granted: ClockTime,
    /// What it is worth on time, in usual requests of its rank.
    pub(super) worth: f64,
    pub(super) rank: u32,
    /// Expected tokens of the output; 0 if they are not known here.
    pub(super) output_tokens: u32,
    /// Longest pause of its stream on time, in ms; none if it is no stream.
    pub(super) pause_ms: Option<u64>,
    pub(super) first: Option<ClockTime>,
    pub(super) seen: ClockTime,
    /// Whether its node has told that it runs.
    pub(super) reported: bool,
    /// Whether its grant was made or seen here, so that its times tell the target's speed.
    pub(super) measured: bool,
}

#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) info: TargetInfo,
    pub(super) running: BTreeMap<PlacementKey, RunningTicket>,
    speed: SpeedEstimate,
    /// Efforts of the prompts sent lately, with the time of each grant.
    pub(super) lately: VecDeque<(ClockTime, f64)>,
    failure_share: f64,
    failure_counted: ClockTime,
    failures_in_row: u32,
    paused_until: ClockTime,
}

impl TargetState {
    pub(super) fn new(info: TargetInfo, speed: SpeedModel) -> Self {
        Self {
            info,
            running: BTreeMap::new(),
            speed: SpeedEstimate::new(speed),
            lately: VecDeque::new(),
            failure_share: 0.0,
            failure_counted: ClockTime::from_ms(0),
            failures_in_row: 0,
            paused_until: ClockTime::from_ms(0),
        }
    }

    /// Speed as it is known now.
    pub(super) const fn speed(&self) -> &SpeedModel {
        self.speed.model()
    }

    /// Takes over a speed that is known from elsewhere, unless some requests have shown it here.
    pub(super) fn recall_speed(&mut self, speed: SpeedModel) {
        if !self.speed.observed() {
            self.speed = SpeedEstimate::new(speed);
        }
    }

    /// Whether the target is not paused after a failure.
    pub(super) fn usable(&self, now: ClockTime) -> bool {
        self.paused_until <= now
    }

    /// Whether the target may get another request. After failures, one at a time.
    pub(super) fn free(&self, now: ClockTime) -> bool {
        let limit = if self.failures_in_row > 0 { 1 } else { self.info.slots as usize };
        self.running.len() < limit.max(1) && self.usable(now)
    }

    /// Cost of sending a request here, in ms.
    pub(super) fn cost(&self, ticket: &WaitingTicket, now: ClockTime) -> f64 {
        let far = if self.info.domain == ticket.ticket.domain { 0.0 } else { FAR_COST_MS };
        self.expected_first_ms(ticket.effort, now)
            + self.running.len() as f64 * SHARE_COST_TOKENS * self.speed().token_ms
            + far
            + (self.failure_share(now) - FAILURE_TOLERANCE).max(0.0) * FAILURE_COST_MS
    }

    /// Expected time to the first event: the prompts ahead that are not read yet, and this one.
    pub(super) fn expected_first_ms(&self, effort: f64, now: ClockTime) -> f64 {
        self.speed().first_event_ms(self.unread_effort(now) + effort) + self.overdue_ms(now)
    }

    /// Effort of the prompts that are not read yet.
    pub(super) fn unread_effort(&self, now: ClockTime) -> f64 {
        let read_ms = self.speed().read_ms.max(f64::EPSILON);
        let unread = self.running.values().filter(|running| running.first.is_none());
        let efforts = unread.map(|running| {
            let read = now.since(running.granted) as f64 / read_ms;
            (running.effort_ahead - read).clamp(0.0, running.effort)
        });
        efforts.sum()
    }

    /// Time by which first events are overdue, in ms: what has been late for long stays late.
    fn overdue_ms(&self, now: ClockTime) -> f64 {
        let unread = self.running.values().filter(|running| running.first.is_none());
        let overdue = unread.map(|running| {
            let expected_ms = self.speed().first_event_ms(running.effort_ahead) + OVERDUE_MS;
            now.since(running.granted) as f64 - expected_ms
        });
        overdue.fold(0.0, f64::max)
    }

    pub(super) fn grant(&mut self, waiting: &WaitingTicket, now: ClockTime) {
        let ticket = &waiting.ticket;
        let running = RunningTicket {
            process: ticket.process,
            prompt_tokens: ticket.prompt_tokens,
            effort: waiting.effort,
            effort_ahead: self.unread_effort(now) + waiting.effort,
            granted: now,
            worth: waiting.worth,
            rank: ticket.rank,
            output_tokens: ticket.output_tokens,
            pause_ms: ticket.pause_ms,
            first: None,
            seen: now,
            reported: false,
            measured: true,
        };
        self.running.insert(ticket.key, running);
        self.lately.push_back((now, waiting.effort));
        while self.lately.front().is_some_and(|(at, _)| now.since(*at) > LATELY_MS) {
            self.lately.pop_front();
        }
    }

    /// Records the first event of a request. If its prompt was read alone, returns its length and the
    /// effort that it took, both in tokens.
    pub(super) fn started(&mut self, key: PlacementKey, now: ClockTime) -> Option<(u32, f64)> {
        let running = self.running.get_mut(&key)?;
        running.reported = true;
        if running.first.replace(now).is_some() || !running.measured {
            return None;
        }
        let took_ms = now.since(running.granted) as f64;
        let (prompt_tokens, effort, ahead) =
            (running.prompt_tokens, running.effort, running.effort_ahead);
        self.speed.learn_first_event(ahead, took_ms);
        self.failures_in_row = 0;
        let reading_ms = took_ms - self.speed().fixed_ms;
        (effort >= ahead)
            .then(|| (prompt_tokens, reading_ms / self.speed().read_ms.max(f64::EPSILON)))
    }

    pub(super) fn finished(&mut self, key: PlacementKey, outcome: AttemptOutcome, now: ClockTime) {
        let running = self.running.remove(&key);
        match outcome {
            AttemptOutcome::Answered => {
                if let Some((running, first)) =
                    running.and_then(|r| r.first.map(|first| (r, first)))
                    && running.measured
                {
                    let tokens = f64::from(running.output_tokens);
                    self.speed.learn_output(tokens, now.since(first) as f64);
                }
                self.count_outcome(0.0, FAILED_WEIGHT, now);
                self.failures_in_row = 0;
            }
            AttemptOutcome::Failed => {
                self.count_outcome(1.0, FAILED_WEIGHT, now);
                self.failures_in_row = 0;
            }
            AttemptOutcome::Broken => self.count_outcome(1.0, BROKEN_WEIGHT, now),
            AttemptOutcome::Unreachable | AttemptOutcome::Stalled => {
                let pause = FIRST_PAUSE_MS << self.failures_in_row.min(4);
                self.paused_until = now.plus(pause.min(MAX_PAUSE_MS));
                self.failures_in_row += 1;
            }
            AttemptOutcome::Full | AttemptOutcome::Dropped => {}
        }
    }

    /// Part of the requests that failed lately.
    fn failure_share(&self, now: ClockTime) -> f64 {
        let age_ms = now.since(self.failure_counted) as f64;
        self.failure_share * (-age_ms / FAILURE_MEMORY_MS).exp()
    }

    fn count_outcome(&mut self, failed: f64, weight: f64, now: ClockTime) {
        let share = self.failure_share(now);
        self.failure_share = share + (failed - share) * weight;
        self.failure_counted = now;
    }

    pub(super) fn describe(&self, now: ClockTime) -> String {
        format!(
            "target={:x} service={} running={} slots={} fixed_ms={:.1} read_us={:.2} token_ms={:.2} failures={:.2} paused_ms={}",
            self.info.key.0,
            self.info.service,
            self.running.len(),
            self.info.slots,
            self.speed().fixed_ms,
            self.speed().read_ms * 1_000.0,
            self.speed().token_ms,
            self.failure_share(now),
            self.paused_until.since(now)
        )
    }
}
