//! What a service knows of the lengths of outputs, and of the memory that they take.

use super::super::feasibility::{MIN_OUTPUTS, cannot_finish};
use super::super::lengths::{LengthCurve, OutputReport};
use super::super::target::TargetState;
use super::super::target_memory::{MemoryRoom, TokenNeed, too_large};
use super::super::{ActiveRequest, PlacementKey, PlacementRequest, RefusalReason, TargetKey};
use super::ServiceScheduler;
use burdockcleat_core::clock::ClockTime;
use std::sync::Arc;

impl ServiceScheduler {
    /// Returns the tokens that a request is to reserve.
    pub(super) fn token_need(&self, request: &PlacementRequest) -> TokenNeed {
        TokenNeed::of(request, self.lengths.curve(request.rank).map(|curve| &**curve))
    }

    /// Returns why no target can serve the request at any time.
    pub(super) fn final_refusal(
        &self,
        request: &PlacementRequest,
        now: ClockTime,
    ) -> Option<RefusalReason> {
        if self.features.target_memory && too_large(request, self.targets.values()) {
            return Some(RefusalReason::TooLarge);
        }
        let curve = self.known_lengths(request)?;
        let allowed = self.targets.values().filter(|state| request.allows(&state.info));
        cannot_finish(request, &curve, allowed, now).then_some(RefusalReason::CannotFinish)
    }

    /// Returns the observed lengths of the request's rank if its placement may rest on them. Streams
    /// that are taken up again are shorter than expected by an unknown part.
    pub(super) fn known_lengths(&self, request: &PlacementRequest) -> Option<Arc<LengthCurve>> {
        let usable = self.features.feasibility && request.version.is_none();
        let curve = self.lengths.curve(request.rank).filter(|_| usable)?;
        (curve.count() >= MIN_OUTPUTS).then(|| curve.clone())
    }

    /// Returns the output tokens that a request writes on average, as far as is known.
    pub(super) fn mean_output_tokens(&self, request: &PlacementRequest) -> f64 {
        let (expected, most) = (request.output_tokens, request.max_output_tokens);
        let curve = self.known_lengths(request);
        curve.map_or(f64::from(expected), |curve| curve.mean_tokens(expected, most))
    }

    /// Returns the memory of a target that is left. The requests of a target that was not usable
    /// before are known only after the next reports.
    pub(super) fn room(&self, state: &TargetState, now: ClockTime) -> MemoryRoom {
        if !self.features.target_memory {
            return MemoryRoom::UNBOUNDED;
        }
        let known = self
            .memory_known
            .is_some_and(|settle_ms| state.added.is_none_or(|added| now.since(added) >= settle_ms));
        MemoryRoom::of(state, known, now)
    }

    /// Tells within which time all requests of a new target are known; `None` while those of the
    /// other targets are not.
    pub(in super::super) const fn set_memory_known(&mut self, settle_ms: Option<u64>) {
        self.memory_known = settle_ms;
    }

    pub(in super::super) fn grow_reservation(&mut self, active: &ActiveRequest) {
        let state = self.targets.get_mut(&active.target);
        if let Some(running) = state.and_then(|state| state.running.get_mut(&active.key)) {
            running.need.grow(running.prompt_tokens, active.written_tokens);
        }
    }

    /// Learns from the output of a request that is about to finish.
    pub(in super::super) fn observe_output(
        &mut self,
        target: TargetKey,
        key: PlacementKey,
        output: OutputReport,
        now: ClockTime,
    ) {
        let state = self.targets.get_mut(&target);
        let Some(running) = state.and_then(|state| state.running.get_mut(&key)) else { return };
        // An output that ends at its maximum might have been longer.
        let at_limit = running.prompt_tokens.saturating_add(output.tokens) >= running.need.most;
        let complete = output.complete && !at_limit;
        let kind = (running.rank, running.output_tokens);
        self.lengths.observe(kind, output.tokens, complete, now);
        if output.complete && self.features.feasibility {
            running.measured_tokens = Some(output.tokens.saturating_sub(output.first_tokens));
        }
    }

    /// Returns the largest reserved part of a target's memory, or `None` without bounds.
    pub(in super::super) fn memory_use(&self) -> Option<f64> {
        let bounded =
            |state: &&TargetState| self.features.target_memory && state.info.memory_tokens > 0;
        let used = self.targets.values().filter(bounded).map(|state| {
            let reserved: f64 =
                state.running.values().map(|running| f64::from(running.need.reserved)).sum();
            reserved / f64::from(state.info.memory_tokens)
        });
        used.reduce(f64::max)
    }

    /// Formats the state of lengths and memory, for log lines. Empty without these features.
    pub(super) fn describe_outputs(&self) -> String {
        let lengths = if self.features.target_memory || self.features.feasibility {
            format!(" output_lengths={:.0}", self.lengths.count())
        } else {
            String::new()
        };
        self.memory_use().map_or(lengths.clone(), |used| {
            let complete = self.memory_known.is_some();
            format!("{lengths} memory_used={used:.2} memory_known={complete}")
        })
    }
}
