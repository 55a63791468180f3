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

/// What is remembered.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RecoveryMemory {
    /// Time of day at which it was written.
    pub written: ClockTime,
    /// Targets, as a node that has just started learns them.
    pub targets: Vec<AgedNotice>,
    /// Speeds of targets.
    pub speeds: Vec<(TargetKey, SpeedModel)>,
    /// Longest deadlines of the routes.
    pub deadlines: Vec<RouteDeadline>,
}

impl RecoveryMemory {
    /// Age at a time of day, in ms; none if it is too old to be used.
    pub fn age_ms(&self, wall: ClockTime) -> Option<u64> {
        // A clock that was set back makes it seem new, which costs a few sends in vain.
        Some(wall.since(self.written)).filter(|age_ms| *age_ms <= MAX_AGE_MS)
    }

    /// Whether the other one names the same targets in the same state.
    pub fn same_targets(&self, other: &Self) -> bool {
        let notices = |memory: &Self| {
            memory.targets.iter().map(|aged| aged.notice.timeless()).collect::<Vec<_>>()
        };
        notices(self) == notices(other)
    }
}
