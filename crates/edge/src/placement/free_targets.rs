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

/// Targets that may be sent another request, with their memory, by software version.
#[derive(Debug, Default)]
pub(super) struct FreeTargets(BTreeMap<VersionKey, Vec<(TargetKey, MemoryRoom)>>);

impl FreeTargets {
    /// Returns those of the targets that have a free slot.
    pub(super) fn collect<'a>(
        states: impl Iterator<Item = &'a TargetState>,
        room: impl Fn(&TargetState) -> MemoryRoom,
        now: ClockTime,
    ) -> Self {
        let mut free = Self::default();
        for state in states.filter(|state| state.has_free_slot(now)) {
            free.0.entry(state.info.version).or_default().push((state.info.key, room(state)));
        }
        free
    }

    /// Removes a target that has no free slot any more.
    pub(super) fn remove(&mut self, target: &TargetInfo) {
        if let Some(keys) = self.0.get_mut(&target.version) {
            keys.retain(|(key, _)| *key != target.key);
            if keys.is_empty() {
                self.0.remove(&target.version);
            }
        }
    }

    /// Sets the memory of a target after a grant.
    pub(super) fn set_room(&mut self, target: &TargetInfo, room: MemoryRoom) {
        let keys = self.0.get_mut(&target.version);
        if let Some((_, known)) =
            keys.and_then(|k| k.iter_mut().find(|(key, _)| *key == target.key))
        {
            *known = room;
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
        allowed.any(|(_, targets)| {
            targets
                .iter()
                .any(|(key, room)| !request.excluded.contains(key) && room.fits(waiting.need))
        })
    }
}
