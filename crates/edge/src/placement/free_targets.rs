//! Targets of a service with a free slot.
//!
//! Hundreds of requests may wait for targets that are busy. Which targets are free is found once
//! per placement, rather than for each waiting request.

use super::queue::WaitingRequest;
use super::target::{TargetInfo, TargetState};
use super::target_memory::MemoryRoom;
use super::{TargetKey, VersionKey};
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Target that may be sent another request.
#[derive(Clone, Copy, Debug)]
struct FreeTarget {
    key: TargetKey,
    /// Whether only a request that may be repeated is sent.
    repeatable_only: bool,
    room: MemoryRoom,
}

/// Targets that may be sent another request, by software version.
#[derive(Debug, Default)]
pub(super) struct FreeTargets(BTreeMap<VersionKey, Vec<FreeTarget>>);

impl FreeTargets {
    /// Returns those of the targets that have a free slot.
    pub(super) fn collect<'a>(
        states: impl Iterator<Item = &'a TargetState>,
        room: impl Fn(&TargetState) -> MemoryRoom,
        now: ClockTime,
    ) -> Self {
        let mut free = Self::default();
        for state in states.filter(|state| state.has_free_slot(now)) {
            let repeatable_only = !state.has_slot_for(false, now);
            let target = FreeTarget { key: state.info.key, repeatable_only, room: room(state) };
            free.0.entry(state.info.version).or_default().push(target);
        }
        free
    }

    /// Removes a target that has no free slot any more.
    pub(super) fn remove(&mut self, target: &TargetInfo) {
        if let Some(targets) = self.0.get_mut(&target.version) {
            targets.retain(|free| free.key != target.key);
            if targets.is_empty() {
                self.0.remove(&target.version);
            }
        }
    }

    /// Sets the memory of a target after a grant.
    pub(super) fn set_room(&mut self, target: &TargetInfo, room: MemoryRoom) {
        let mut targets = self.0.get_mut(&target.version).into_iter().flatten();
        if let Some(free) = targets.find(|free| free.key == target.key) {
            free.room = room;
        }
    }

    /// Removes all targets of a version.
    pub(super) fn remove_version(&mut self, version: VersionKey) {
        self.0.remove(&version);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether the request may be sent to any of them.
    pub(super) fn any_allowed(&self, waiting: &WaitingRequest) -> bool {
        let request = &waiting.request;
        let mut allowed = self.0.iter().filter(|(version, _)| request.allows_version(**version));
        let accepts = |free: &FreeTarget| {
            (request.repeatable || !free.repeatable_only)
                && !request.excluded.contains(&free.key)
                && free.room.fits(waiting.need)
        };
        allowed.any(|(_, targets)| targets.iter().any(accepts))
    }
}
