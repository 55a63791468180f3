//! What is known of one target: requests in flight, speed, failures.

use super::{PlacementTicket, ProcessKey, TargetKey, TicketKey};
use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Prompt tokens that a target of pace 1 reads in a ms; the pace of each target corrects it.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;
/// Time to the first event beside the prompt, in ms, at pace 1.
const FIRST_EVENT_MS: f64 = 30.0;
/// Time for a token of output, in ms, at pace 1.
const TOKEN_MS: f64 = 6.0;
/// Expected time of a request without tokens, in ms, at pace 1.
const PLAIN_MS: f64 = 20.0;
/// Weight of a new observation in the pace.
const PACE_WEIGHT: f64 = 0.2;
/// Slot time that the assumption counts for in the first estimate of a target's slot time, in ms.
const WORK_PRIOR_MS: f64 = 2_000.0;
/// Part of the slot times that the next answer leaves in the estimate.
const WORK_DECAY: f64 = 0.98;
/// Bounds of the pace.
const PACE_RANGE: (f64, f64) = (0.1, 20.0);
/// Cost of each request that runs at the target, in ms at pace 1: it slows the others down.
const SHARE_COST_MS: f64 = 4.0;
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
pub enum TicketOutcome {
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
    pub(super) granted: ClockTime,
    pub(super) expected_first_ms: f64,
    /// Expected slot time at pace 1, in ms; 0 if it is not known here.
    pub(super) work_ms: f64,
    pub(super) first: Option<ClockTime>,
    pub(super) seen: ClockTime,
    /// Whether its node has told that it runs.
    pub(super) reported: bool,
}

#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) info: TargetInfo,
    pub(super) running: BTreeMap<TicketKey, RunningTicket>,
    /// Time to the first event, as a multiple of the assumed one.
    pub(super) pace: f64,
    /// Slot time, as a multiple of the assumed one.
    pub(super) work_pace: f64,
    /// Slot times that were needed and expected lately, in ms.
    worked_ms: f64,
    expected_ms: f64,
    failure_share: f64,
    failure_counted: ClockTime,
    failures_in_row: u32,
    paused_until: ClockTime,
}

/// Time from the send of a request to its first event at an idle target of pace 1, in ms.
pub(super) fn first_event_ms(ticket: &PlacementTicket) -> f64 {
    if ticket.prompt_tokens == 0 {
        return PLAIN_MS;
    }
    f64::from(ticket.prompt_tokens) / PREFILL_TOKENS_PER_MS + FIRST_EVENT_MS
}

/// Time that a request takes at one slot of pace 1, in ms.
pub(super) fn work_ms(ticket: &PlacementTicket) -> f64 {
    if ticket.prompt_tokens == 0 {
        return PLAIN_MS;
    }
    first_event_ms(ticket) + f64::from(ticket.output_tokens) * TOKEN_MS
}

impl TargetState {
    pub(super) const fn new(info: TargetInfo, pace: f64) -> Self {
        Self {
            info,
            running: BTreeMap::new(),
            pace,
            work_pace: 1.0,
            worked_ms: WORK_PRIOR_MS,
            expected_ms: WORK_PRIOR_MS,
            failure_share: 0.0,
            failure_counted: ClockTime::from_ms(0),
            failures_in_row: 0,
            paused_until: ClockTime::from_ms(0),
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
    pub(super) fn cost(&self, ticket: &PlacementTicket, now: ClockTime) -> f64 {
        let far = if self.info.domain == ticket.domain { 0.0 } else { FAR_COST_MS };
        self.expected_first_ms(ticket.prompt_tokens, now)
            + self.running.len() as f64 * SHARE_COST_MS * self.pace
            + far
            + (self.failure_share(now) - FAILURE_TOLERANCE).max(0.0) * FAILURE_COST_MS
    }

    /// Expected time to the first event: the prompts ahead that are not read yet, and this one.
    fn expected_first_ms(&self, prompt_tokens: u32, now: ClockTime) -> f64 {
        if prompt_tokens == 0 {
            return PLAIN_MS * self.pace;
        }
        let ahead = self.running.values().filter(|running| running.first.is_none());
        let ahead: f64 = ahead.map(|running| running.prompt_left_ms(self.pace, now)).sum();
        ahead + (f64::from(prompt_tokens) / PREFILL_TOKENS_PER_MS + FIRST_EVENT_MS) * self.pace
    }

    pub(super) fn grant(&mut self, ticket: &PlacementTicket, now: ClockTime) {
        let expected_first_ms = self.expected_first_ms(ticket.prompt_tokens, now);
        let running = RunningTicket {
            process: ticket.process,
            prompt_tokens: ticket.prompt_tokens,
            granted: now,
            expected_first_ms,
            work_ms: work_ms(ticket),
            first: None,
            seen: now,
            reported: false,
        };
        self.running.insert(ticket.key, running);
    }

    pub(super) fn started(&mut self, key: TicketKey, now: ClockTime) {
        let Some(running) = self.running.get_mut(&key) else { return };
        running.reported = true;
        if running.first.replace(now).is_some() || running.expected_first_ms <= 0.0 {
            return;
        }
        let ratio = (now.since(running.granted) as f64 + 1.0) / running.expected_first_ms;
        let (low, high) = PACE_RANGE;
        self.pace = (self.pace * ratio.clamp(low, high).powf(PACE_WEIGHT)).clamp(low, high);
        self.failures_in_row = 0;
    }

    pub(super) fn finished(&mut self, key: TicketKey, outcome: TicketOutcome, now: ClockTime) {
        let running = self.running.remove(&key);
        match outcome {
            TicketOutcome::Answered => {
                if let Some(running) = running.filter(|running| running.work_ms > 0.0) {
                    self.learn_work(now.since(running.granted) as f64, running.work_ms);
                }
                self.count_outcome(0.0, FAILED_WEIGHT, now);
                self.failures_in_row = 0;
            }
            TicketOutcome::Failed => {
                self.count_outcome(1.0, FAILED_WEIGHT, now);
                self.failures_in_row = 0;
            }
            TicketOutcome::Broken => self.count_outcome(1.0, BROKEN_WEIGHT, now),
            TicketOutcome::Unreachable | TicketOutcome::Stalled => {
                let pause = FIRST_PAUSE_MS << self.failures_in_row.min(4);
                self.paused_until = now.plus(pause.min(MAX_PAUSE_MS));
                self.failures_in_row += 1;
            }
            TicketOutcome::Full | TicketOutcome::Dropped => {}
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

    fn learn_work(&mut self, worked_ms: f64, expected_ms: f64) {
        self.worked_ms = self.worked_ms * WORK_DECAY + worked_ms;
        self.expected_ms = self.expected_ms * WORK_DECAY + expected_ms;
        let (low, high) = PACE_RANGE;
        self.work_pace = (self.worked_ms / self.expected_ms).clamp(low, high);
    }

    pub(super) fn describe(&self, now: ClockTime) -> String {
        format!(
            "target={:x} service={} running={} slots={} pace={:.2} work_pace={:.2} failures={:.2} paused_ms={}",
            self.info.key.0,
            self.info.service,
            self.running.len(),
            self.info.slots,
            self.pace,
            self.work_pace,
            self.failure_share(now),
            self.paused_until.since(now)
        )
    }
}

impl RunningTicket {
    fn prompt_left_ms(&self, pace: f64, now: ClockTime) -> f64 {
        let full = f64::from(self.prompt_tokens) / PREFILL_TOKENS_PER_MS * pace;
        (full - now.since(self.granted) as f64).max(0.0)
    }
}
