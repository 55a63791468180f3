//! What a node with a disk remembers of the deployment over its restart.
//!
//! Answers a loss of power of all nodes: the targets still run, but would be known again only once
//! each has announced itself, and their speeds only after some requests, while all callers that were
//! cut off come back at once. What is remembered is a hint: each send names the expected incarnation,
//! and announcements replace it.

use crate::placement::{SpeedModel, TargetKey};
use crate::targets::AgedNotice;
use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};

/// Age beyond which nothing of a memory is used, in ms: within it most targets are still there.
const MAX_AGE_MS: u64 = 60_000;

/// Longest deadline of a route, by its name, in ms.
pub type RouteDeadline = (String, u64);

/// What a node that has just started takes over, from its disk or from another node.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RecoveryMemory {
    /// Targets, and leaves of targets.
    pub targets: Vec<AgedNotice>,
    /// Speeds of targets.
    pub speeds: Vec<(TargetKey, SpeedModel)>,
    /// Longest deadlines of the routes.
    pub deadlines: Vec<RouteDeadline>,
}

/// A memory as it is on a disk.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoredMemory {
    /// Time of day at which it was written.
    pub written: ClockTime,
    /// What is remembered.
    pub memory: RecoveryMemory,
}

impl RecoveryMemory {
    /// Whether the other one names the same targets in the same state.
    pub fn same_targets(&self, other: &Self) -> bool {
        let notices = |memory: &Self| {
            memory.targets.iter().map(|aged| aged.notice.without_sequence()).collect::<Vec<_>>()
        };
        notices(self) == notices(other)
    }
}

impl StoredMemory {
    /// Age at a time of day, in ms; none if it is too old to be used.
    pub fn age_ms(&self, wall: ClockTime) -> Option<u64> {
        // A clock that was set back makes it seem new, which costs a few sends in vain.
        Some(wall.since(self.written)).filter(|age_ms| *age_ms <= MAX_AGE_MS)
    }

    /// The memory with the time since it was written added to the ages of its notices. Sequence
    /// numbers are left out, so that any announcement of the same incarnation replaces a notice.
    #[must_use]
    pub fn aged(self, age_ms: u64) -> RecoveryMemory {
        let mut memory = self.memory;
        for aged in &mut memory.targets {
            aged.notice = aged.notice.without_sequence();
            aged.age_ms += age_ms;
        }
        memory
    }
}
