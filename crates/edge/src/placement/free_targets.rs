//! Targets of a service with a free slot.
//!
//! Hundreds of requests may wait for targets that are busy. Which targets are free is found once
//! per placement, rather than for each waiting request.

use super::target::TargetState;
use super::{PlacementRequest, TargetKey};
use burdockcleat_core::clock::ClockTime;

/// Targets that may be sent another request.
#[derive(Debug)]
pub(super) struct FreeTargets(Vec<TargetKey>);

impl FreeTargets {
    /// Returns those of the targets that have a free slot.
    pub(super) fn collect<'a>(
        states: impl Iterator<Item = &'a TargetState>,
        now: ClockTime,
    ) -> Self {
        Self(states.filter(|state| state.has_free_slot(now)).map(|state| state.info.key).collect())
    }

    /// Returns whether the request may be sent to any of them.
    pub(super) fn any_allowed(&self, request: &PlacementRequest) -> bool {
        self.0.iter().any(|target| !request.excluded.contains(target))
    }
}
