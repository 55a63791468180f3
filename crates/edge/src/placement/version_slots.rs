//! Slots of a service by software version, and the waits for them.
//!
//! Load bound to a version can use its slots only. All other load goes where slots are free first, so
//! that it makes up for the differences between the versions.

use super::VersionKey;
use std::collections::BTreeMap;

/// Minimum fraction of the slots that is assumed free for a request, however much load goes ahead
/// of it.
const MIN_FREE_FRACTION: f64 = 0.05;

/// Slot time in ms, or a number of slots, by the version that it is bound to; `None` if to none.
pub(super) type VersionLoads = BTreeMap<Option<VersionKey>, f64>;

/// Number of slots of each version, converted to slots of mean speed.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionSlots(BTreeMap<VersionKey, f64>);

impl VersionSlots {
    /// Adds slots of a version; 0 for a target that is known but not usable.
    pub(super) fn add(&mut self, version: VersionKey, slots: f64) {
        *self.0.entry(version).or_default() += slots;
    }

    /// Returns the number of slots of all versions.
    pub(super) fn total(&self) -> f64 {
        self.0.values().sum()
    }

    /// Returns the slots that are left by arrivals that take `taken` slots.
    pub(super) fn left_by(&self, taken: &VersionLoads) -> Self {
        let taken_of = |version| taken.get(&version).copied().unwrap_or(0.0);
        let left = |version, slots: f64| (slots - taken_of(Some(version))).max(0.0);
        let all_left: f64 = self.0.iter().map(|(version, slots)| left(*version, *slots)).sum();
        let unbound_fraction = taken_of(None) / all_left.max(f64::EPSILON);
        let free = self.0.iter().map(|(version, slots)| {
            let free_slots = left(*version, *slots) * (1.0 - unbound_fraction);
            (*version, free_slots.max(slots * MIN_FREE_FRACTION))
        });
        Self(free.collect())
    }

    /// Returns the wait for a slot of a version, or of any, behind `loads` in ms of slot time.
    pub(super) fn wait_ms(&self, version: Option<VersionKey>, loads: &VersionLoads) -> f64 {
        let load_of = |version| loads.get(&version).copied().unwrap_or(0.0);
        let slots_of = |version| self.0.get(&version).copied().unwrap_or(0.0);
        let wait = |load_ms: f64, slots: f64| load_ms / slots.max(f64::EPSILON);
        let own_wait = |version| wait(load_of(Some(version)), slots_of(version));
        let mut versions: Vec<_> = self.0.keys().copied().collect();
        versions.sort_by(|left, right| own_wait(*left).total_cmp(&own_wait(*right)));
        // The load that is bound to no version fills those with the shortest waits up to the same
        // wait.
        let (mut load_ms, mut slots, mut common_wait) = (load_of(None), 0.0, f64::INFINITY);
        for version in versions {
            load_ms += load_of(Some(version));
            slots += slots_of(version);
            common_wait = common_wait.min(wait(load_ms, slots));
        }
        version.map_or(common_wait, |version| common_wait.max(own_wait(version)))
    }
}
