//! Bound on the tokens that a target holds.
//!
//! A target crashes if its requests together exceed its memory. Each request reserves its prompt and
//! an upper estimate of its output; a stream that exceeds the estimate reserves its maximum. A part
//! of the memory stays free for streams that have exceeded theirs since the last report.

use super::lengths::LengthCurve;
use super::target::TargetState;
use super::{ActiveRequest, PlacementRequest, PlacementScheduler, ProcessKey};
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Probability with which an output exceeds its upper estimate.
const EXCEEDED_PROBABILITY: f64 = 0.01;
/// Number of requests of a target that may grow to their maximum without a report. That three of
/// seven exceed a probability of 0.01 at once is one case in 30,000.
const GROWING_REQUESTS: usize = 2;
/// Time in which a target is granted at most half of its memory, in ms; at least two status
/// intervals. Targets read about 70,000 tokens a second at most, less than half of their memory.
const RECENT_GRANT_MS: u64 = 1_000;
/// Time without a report after which a node is not waited for, in ms: it is down for the others.
const SILENT_PROCESS_MS: u64 = 3_000;

/// Tokens that a request takes of the memory of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TokenNeed {
    /// Prompt and upper estimate of the output.
    pub(super) reserved: u32,
    /// Prompt and maximum output.
    pub(super) most: u32,
}

impl TokenNeed {
    /// Returns the need of a request, given the observed lengths of its rank. A stream that is taken
    /// up again reserves its maximum, since part of its output is in its prompt.
    pub(super) fn of(request: &PlacementRequest, curve: Option<&LengthCurve>) -> Self {
        let (prompt, expected) = (request.prompt_tokens, request.output_tokens);
        let most_output = request.max_output_tokens.max(expected);
        let upper = curve
            .filter(|_| request.version.is_none())
            .and_then(|curve| curve.upper_tokens(expected, EXCEEDED_PROBABILITY))
            .map_or(most_output, |tokens| (tokens as u32).clamp(expected, most_output));
        let most = prompt.saturating_add(most_output);
        Self { reserved: prompt.saturating_add(upper), most }
    }

    /// Returns the need of a request that another scheduler placed.
    pub(super) const fn reported(active: &ActiveRequest) -> Self {
        Self { reserved: active.most_tokens, most: active.most_tokens }
    }

    /// Updates the need from what the request has written so far.
    pub(super) const fn grow(&mut self, prompt_tokens: u32, written_tokens: u32) {
        if prompt_tokens.saturating_add(written_tokens) > self.reserved {
            self.reserved = self.most;
        }
    }

    const fn gap(self) -> u32 {
        self.most.saturating_sub(self.reserved)
    }
}

/// Memory of a target that further requests may use.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemoryRoom {
    /// Tokens that may be held; `None` without a bound.
    limit: Option<u64>,
    /// Half of the memory.
    half: u64,
    /// Whether all requests of the target are known.
    complete: bool,
    reserved: u64,
    /// Tokens that were reserved lately.
    recent: u64,
    /// Largest differences between the maximum and the reservation of a request.
    gaps: [u32; GROWING_REQUESTS],
}

impl MemoryRoom {
    pub(super) const UNBOUNDED: Self = Self {
        limit: None,
        half: 0,
        complete: true,
        reserved: 0,
        recent: 0,
        gaps: [0; GROWING_REQUESTS],
    };

    /// Returns the room of a target. While not all of its requests are known, half of its memory is
    /// left free for the others.
    pub(super) fn of(state: &TargetState, complete: bool, now: ClockTime) -> Self {
        let memory = u64::from(state.info.memory_tokens);
        if memory == 0 {
            return Self::UNBOUNDED;
        }
        let half = memory / 2;
        let limit = Some(if complete { memory } else { half });
        let mut room = Self { limit, half, complete, ..Self::UNBOUNDED };
        for running in state.running.values() {
            room.reserved += u64::from(running.need.reserved);
            if now.since(running.granted) < RECENT_GRANT_MS {
                room.recent += u64::from(running.need.reserved);
            }
            insert_gap(&mut room.gaps, running.need.gap());
        }
        room
    }

    /// Returns whether a request fits. A target without requests takes any that is not refused as
    /// too large.
    pub(super) fn fits(&self, need: TokenNeed) -> bool {
        let Some(limit) = self.limit else { return true };
        if self.reserved == 0 && self.complete {
            return true;
        }
        let reserved = u64::from(need.reserved);
        let mut gaps = self.gaps;
        insert_gap(&mut gaps, need.gap());
        let growth: u64 = gaps.iter().map(|gap| u64::from(*gap)).sum();
        self.reserved + reserved + growth <= limit
            && (self.recent == 0 || self.recent + reserved <= self.half)
    }
}

/// Keeps the largest gaps, in descending order.
fn insert_gap(gaps: &mut [u32; GROWING_REQUESTS], mut gap: u32) {
    for largest in gaps {
        if gap > *largest {
            std::mem::swap(largest, &mut gap);
        }
    }
}

/// Returns whether a request is larger than the memory of every target that may run it. Memories
/// that are not known have no bound.
pub(super) fn too_large<'a>(
    request: &PlacementRequest,
    targets: impl Iterator<Item = &'a TargetState>,
) -> bool {
    let tokens = request.prompt_tokens.saturating_add(request.output_tokens);
    let mut memories = targets
        .filter(|state| request.allows_version(state.info.version))
        .map(|state| state.info.memory_tokens)
        .peekable();
    memories.peek().is_some() && memories.all(|memory| memory > 0 && tokens > memory)
}

/// Whether a scheduler knows the requests that all nodes have at targets.
#[derive(Debug, Default)]
pub(super) struct MemoryView {
    /// Time since which this scheduler places for all nodes.
    coordinating_since: Option<ClockTime>,
    /// Time of the last report of each node.
    reports: BTreeMap<ProcessKey, ClockTime>,
    /// Time for the statuses of all nodes, in ms.
    settle_ms: u64,
}

impl MemoryView {
    pub(super) fn count_report(&mut self, process: ProcessKey, now: ClockTime) {
        self.reports.insert(process, now);
        self.reports.retain(|_, at| now.since(*at) < SILENT_PROCESS_MS);
    }

    /// Stops waiting for the reports of a process that has ended.
    pub(super) fn forget(&mut self, process: ProcessKey) {
        self.reports.remove(&process);
    }

    /// Returns whether each node has reported since this scheduler began to place for all.
    pub(super) fn is_complete(&self, now: ClockTime) -> bool {
        self.coordinating_since.is_some_and(|since| {
            let heard = |at: &ClockTime| *at >= since || now.since(*at) >= SILENT_PROCESS_MS;
            now.since(since) >= self.settle_ms && self.reports.values().all(heard)
        })
    }
}

impl PlacementScheduler {
    /// Tells whether this scheduler places for all nodes, and within which time all of them report
    /// their requests. To be called a few times per status interval.
    pub fn set_coordinating(&mut self, coordinating: bool, settle_ms: u64, now: ClockTime) {
        let since = self.memory_view.coordinating_since;
        self.memory_view.coordinating_since = coordinating.then(|| since.unwrap_or(now));
        self.memory_view.settle_ms = settle_ms;
        let complete = self.memory_view.is_complete(now);
        for scheduler in self.services.values_mut() {
            scheduler.set_memory_known(complete.then_some(settle_ms));
        }
    }

    /// Updates the reservations of streams from what this node's requests have written.
    pub fn grow_reservations(&mut self, active: &[ActiveRequest]) {
        for request in active.iter().filter(|request| request.written_tokens > 0) {
            if let Some(scheduler) = self.scheduler_of(request.target) {
                scheduler.grow_reservation(request);
            }
        }
    }

    /// Returns whether the placements of a service depend on the real lengths of outputs.
    pub fn uses_outputs(&self, service: &str) -> bool {
        let scheduler = self.services.get(service);
        scheduler.is_some_and(|s| s.features.target_memory || s.features.feasibility)
    }

    /// Returns the largest part of a target's memory that is reserved, by service.
    pub fn memory_use(&self) -> Vec<(&str, f64)> {
        let used = |(service, scheduler): (_, &super::service::ServiceScheduler)| {
            scheduler.memory_use().map(|used| (service, used))
        };
        self.services
            .iter()
            .map(|(service, scheduler)| (&**service, scheduler))
            .filter_map(used)
            .collect()
    }
}
