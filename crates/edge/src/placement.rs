//! Places requests on the targets of a service and keeps those that must wait in order of urgency.
//!
//! Answers load that exceeds the targets for seconds (bursts, a workspace that sends many times its
//! usual, targets that died): requests wait here instead of in the targets' queues, which are in
//! order of arrival, so that urgent ones pass. The same board runs on the node that places for all
//! others and, with an older view of the others' requests, on every node as its fallback.

mod queue;
mod target;

pub use queue::WaitingTicket;
pub use target::{TargetInfo, TicketOutcome};

use burdockcleat_core::clock::ClockTime;
use queue::WaitingQueue;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use target::{RunningTicket, TargetState};

/// Key of a request that is placed; unique over nodes and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TicketKey(pub u64);

/// Key of one incarnation of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TargetKey(pub u64);

/// Key of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ProcessKey(pub u64);

/// A request that needs a target.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlacementTicket {
    /// Key of the request.
    pub key: TicketKey,
    /// Node that holds the request.
    pub process: ProcessKey,
    /// Service that it goes to.
    pub service: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Rank; lower ones go first.
    pub rank: u32,
    /// Tokens of the prompt; 0 for plain services.
    pub prompt_tokens: u32,
    /// Expected tokens of the output.
    pub output_tokens: u32,
    /// Time left until the latency objective, in ms; negative once it has passed.
    pub objective_left_ms: i64,
    /// Time left until the deadline, in ms.
    pub deadline_left_ms: u64,
    /// Targets that the request may not go to again.
    pub excluded: Vec<TargetKey>,
}

impl PlacementTicket {
    /// The request after a further wait of `ms`.
    #[must_use]
    pub fn aged(&self, ms: u64) -> Self {
        let mut aged = self.clone();
        aged.objective_left_ms -= ms.cast_signed();
        aged.deadline_left_ms = aged.deadline_left_ms.saturating_sub(ms);
        aged
    }
}

/// A request that runs at a target, as its node reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ActiveTicket {
    /// Key of the request.
    pub key: TicketKey,
    /// Target that runs it.
    pub target: TargetKey,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Whether the first event has arrived.
    pub started: bool,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RefusalReason {
    /// The wait would take too much of the time that is left.
    WaitTooLong,
    /// No target of the service may be used.
    NoTarget,
}

/// A decision of the board.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOutput {
    /// Send the request to the target.
    Grant {
        /// Key of the request.
        key: TicketKey,
        /// Node that holds it.
        process: ProcessKey,
        /// Target to send it to.
        target: TargetKey,
        /// How long it waited, in ms.
        waited_ms: u64,
    },
    /// Answer that the request did not run.
    Refuse {
        /// Key of the request.
        key: TicketKey,
        /// Node that holds it.
        process: ProcessKey,
        /// Why.
        reason: RefusalReason,
        /// Time after which to come back, in ms.
        retry_after_ms: u64,
    },
}

/// Part of the time left until the deadline that a request may spend waiting.
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
/// Time to keep a request whose node went silent, in ms.
const SILENT_MS: u64 = 3_000;

/// Targets and waiting requests of all services.
#[derive(Debug, Default)]
pub struct PlacementBoard {
    targets: BTreeMap<TargetKey, TargetState>,
    queues: BTreeMap<String, WaitingQueue>,
    outputs: Vec<PlacementOutput>,
}

impl PlacementBoard {
    /// Replaces the usable targets of a service. Requests at targets that are no longer usable are
    /// forgotten with them.
    pub fn set_targets(&mut self, service: &str, infos: &[TargetInfo], now: ClockTime) {
        let keep = |state: &TargetState| {
            state.info.service != service || infos.iter().any(|info| info.key == state.info.key)
        };
        self.targets.retain(|_, state| keep(state));
        let pace = self.mean_pace(service);
        for info in infos {
            self.targets
                .entry(info.key)
                .and_modify(|state| state.info = info.clone())
                .or_insert_with(|| TargetState::new(info.clone(), pace));
        }
        self.place_waiting(service, now);
    }

    /// Takes in a request: places it, queues it or refuses it.
    pub fn submit(&mut self, ticket: PlacementTicket, now: ClockTime) {
        let pace = self.mean_pace(&ticket.service);
        let mut waiting = WaitingTicket::new(ticket, pace, now);
        if !self.has_targets(&waiting.ticket.service) {
            // Targets announce themselves every second or so, also to nodes that have just started.
            waiting.expires = waiting.expires.min(now.plus(NO_TARGET_WAIT_MS));
        }
        let wait_ms = self.expected_wait_ms(&waiting, now);
        if wait_ms > waiting.ticket.deadline_left_ms as f64 * WAIT_PART {
            self.refuse(&waiting.ticket, RefusalReason::WaitTooLong, wait_ms as u64);
            return;
        }
        let service = waiting.ticket.service.clone();
        let queue = self.queues.entry(service.clone()).or_default();
        queue.count_arrival(&waiting, now);
        queue.push(waiting);
        self.place_waiting(&service, now);
    }

    fn has_targets(&self, service: &str) -> bool {
        self.targets.values().any(|state| state.info.service == service)
    }

    /// Removes a request whose caller left, or that its node has placed by itself.
    pub fn withdraw(&mut self, key: TicketKey) {
        for queue in self.queues.values_mut() {
            queue.remove(key);
        }
    }

    /// Whether a request is waiting.
    pub fn is_waiting(&self, key: TicketKey) -> bool {
        self.queues.values().any(|queue| queue.contains(key))
    }

    /// The target that a request was granted, if it has not finished.
    pub fn granted_target(&self, key: TicketKey) -> Option<TargetKey> {
        self.targets.values().find(|state| state.running.contains_key(&key)).map(|s| s.info.key)
    }

    /// Records the first event or the answer of a request.
    pub fn started(&mut self, target: TargetKey, key: TicketKey, now: ClockTime) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.started(key, now);
        }
    }

    /// Records the end of a request and places others.
    pub fn finished(
        &mut self,
        target: TargetKey,
        key: TicketKey,
        outcome: TicketOutcome,
        now: ClockTime,
    ) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        state.finished(key, outcome, now);
        let service = state.info.service.clone();
        self.place_waiting(&service, now);
    }

    /// Takes over a request that was granted elsewhere, or confirms one that was granted here.
    pub fn adopt(&mut self, target: TargetKey, ticket: &PlacementTicket, now: ClockTime) {
        if let Some(state) = self.targets.get_mut(&target)
            && !state.running.contains_key(&ticket.key)
        {
            state.grant(ticket, now);
        }
    }

    /// Brings the requests of a node in line with its own report.
    pub fn reconcile(&mut self, process: ProcessKey, active: &[ActiveTicket], now: ClockTime) {
        let listed: BTreeMap<_, _> = active.iter().map(|a| (a.key, a)).collect();
        for state in self.targets.values_mut() {
            state.running.retain(|key, running| {
                running.process != process
                    || listed.get(key).is_some_and(|active| active.target == state.info.key)
                    || now.since(running.seen) < REPORT_GRACE_MS
            });
        }
        for active in active {
            let Some(state) = self.targets.get_mut(&active.target) else { continue };
            let running = state.running.entry(active.key).or_insert_with(|| RunningTicket {
                process,
                prompt_tokens: active.prompt_tokens,
                granted: now,
                expected_first_ms: 0.0,
                work_ms: 0.0,
                first: None,
                seen: now,
            });
            running.seen = now;
            if active.started && running.first.is_none() {
                running.first = Some(now);
            }
        }
        self.place_all(now);
    }

    /// Refuses requests that have waited too long, forgets those of silent nodes and places others.
    pub fn advance(&mut self, now: ClockTime) {
        for state in self.targets.values_mut() {
            state.running.retain(|_, running| now.since(running.seen) < SILENT_MS);
        }
        self.place_all(now);
        for queue in self.queues.values_mut() {
            for expired in queue.take_expired(now) {
                let (reason, retry_after_ms) =
                    if self.targets.values().any(|s| s.info.service == expired.ticket.service) {
                        (RefusalReason::WaitTooLong, MIN_RETRY_MS)
                    } else {
                        (RefusalReason::NoTarget, NO_TARGET_RETRY_MS)
                    };
                self.outputs.push(PlacementOutput::Refuse {
                    key: expired.ticket.key,
                    process: expired.ticket.process,
                    reason,
                    retry_after_ms,
                });
            }
        }
    }

    /// Hands out the decisions since the last call.
    pub fn take_outputs(&mut self) -> Vec<PlacementOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Requests that wait, over all services.
    pub fn waiting_count(&self) -> usize {
        self.queues.values().map(WaitingQueue::len).sum()
    }

    /// One line per service, for logs.
    pub fn summarize(&self, now: ClockTime) -> Vec<String> {
        let services: std::collections::BTreeSet<_> =
            self.targets.values().map(|state| state.info.service.as_str()).collect();
        let line = |service: &str| {
            let states: Vec<_> =
                self.targets.values().filter(|state| state.info.service == service).collect();
            let slots: u32 = states.iter().map(|state| state.info.slots).sum();
            let running: usize = states.iter().map(|state| state.running.len()).sum();
            let usable = states.iter().filter(|state| state.usable(now)).count();
            let waiting = self.queues.get(service).map_or(0, WaitingQueue::len);
            let pace = self.mean_pace(service);
            let fastest = states.iter().map(|state| state.work_pace).fold(f64::MAX, f64::min);
            let slowest = states.iter().map(|state| state.work_pace).fold(0.0, f64::max);
            format!(
                "service={service} targets={} usable={usable} slots={slots} running={running} waiting={waiting} pace={pace:.2} work_pace={fastest:.2}..{slowest:.2}",
                states.len()
            )
        };
        services.into_iter().map(line).collect()
    }

    /// One line per target, for state dumps.
    pub fn describe(&self, now: ClockTime) -> Vec<String> {
        self.targets.values().map(|state| state.describe(now)).collect()
    }

    fn place_all(&mut self, now: ClockTime) {
        let services: Vec<_> = self.queues.keys().cloned().collect();
        for service in services {
            self.place_waiting(&service, now);
        }
    }

    fn place_waiting(&mut self, service: &str, now: ClockTime) {
        let Some(queue) = self.queues.get_mut(service) else { return };
        let mut skipped = Vec::new();
        while let Some(waiting) = queue.pop(now) {
            let Some(target) = pick_target(&self.targets, &waiting.ticket, now) else {
                // A request that excludes targets does not hold up the others.
                let excludes = !waiting.ticket.excluded.is_empty();
                skipped.push(waiting);
                if excludes {
                    continue;
                }
                break;
            };
            let Some(state) = self.targets.get_mut(&target) else { continue };
            state.grant(&waiting.ticket, now);
            self.outputs.push(PlacementOutput::Grant {
                key: waiting.ticket.key,
                process: waiting.ticket.process,
                target,
                waited_ms: now.since(waiting.arrived),
            });
        }
        for waiting in skipped {
            queue.push(waiting);
        }
    }

    fn refuse(&mut self, ticket: &PlacementTicket, reason: RefusalReason, wait_ms: u64) {
        self.outputs.push(PlacementOutput::Refuse {
            key: ticket.key,
            process: ticket.process,
            reason,
            retry_after_ms: wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS),
        });
    }

    /// Expected wait of a request, in ms.
    fn expected_wait_ms(&self, waiting: &WaitingTicket, now: ClockTime) -> f64 {
        let service = &waiting.ticket.service;
        let states = self.targets.values().filter(|state| state.info.service == *service);
        let usable = states.filter(|state| state.usable(now));
        let slots: f64 = usable.map(|state| f64::from(state.info.slots) / state.work_pace).sum();
        let queue = self.queues.get(service).filter(|queue| queue.len() > 0);
        queue.map_or(0.0, |queue| queue.expected_wait_ms(waiting, slots, now))
    }

    fn mean_pace(&self, service: &str) -> f64 {
        let paces = self.targets.values().filter(|s| s.info.service == service).map(|s| s.pace);
        let (sum, count) = paces.fold((0.0, 0), |(sum, count), pace| (sum + pace, count + 1));
        if count == 0 { 1.0 } else { sum / f64::from(count) }
    }
}

/// Picks the free target with the lowest cost for a request.
fn pick_target(
    targets: &BTreeMap<TargetKey, TargetState>,
    ticket: &PlacementTicket,
    now: ClockTime,
) -> Option<TargetKey> {
    targets
        .values()
        .filter(|state| state.info.service == ticket.service)
        .filter(|state| !ticket.excluded.contains(&state.info.key))
        .filter(|state| state.free(now))
        .map(|state| (state.cost(ticket, now), state.info.key))
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, key)| key)
}
