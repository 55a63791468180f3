//! Recovery memory: state of the deployment that a node with a disk keeps across restarts.
//!
//! It shortens the recovery after a power loss of all nodes. The targets still run, but without it
//! each would be unknown until its next announcement and its speed until some requests have
//! finished, while all disconnected callers return at once. The memory is only a hint: each send
//! names the expected target, and announcements replace remembered targets.

use crate::allowance::WorkspaceUsage;
use crate::placement::{SpeedModel, TargetKey};
use crate::suspects::SuspectReport;
use crate::targets::AgedNotice;
use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Maximum age of a usable memory, in ms. Most targets still run within this time.
const MAX_AGE_MS: u64 = 60_000;

/// Maximum age that stored usage of allowances is taken to have, in ms. A clock that was set forward
/// must not expire usage that is still within the window.
const MAX_USAGE_AGE_MS: u64 = 4_000;

/// Name of a route and its longest deadline in ms.
pub type RouteDeadline = (String, u64);

/// State that a node loads after its start, from its disk or from another node.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RecoveryMemory {
    /// Announcements and leaves of targets.
    pub targets: Vec<AgedNotice>,
    /// Speed models of targets.
    pub speeds: Vec<(TargetKey, SpeedModel)>,
    /// Longest deadline of each route.
    pub deadlines: Vec<RouteDeadline>,
    /// Suspects that are blocked.
    pub suspects: Vec<SuspectReport>,
    /// Peer addresses of the other nodes, in ascending order.
    pub nodes: Vec<SocketAddrV4>,
}

/// Recovery memory with the time of its write, as stored on disk.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoredMemory {
    /// Wall-clock time of the write.
    pub written: ClockTime,
    /// Stored state.
    pub memory: RecoveryMemory,
}

impl RecoveryMemory {
    /// Returns whether both memories contain the same targets in the same state, the same suspects and
    /// the same nodes. Ages, sequence numbers, speeds and deadlines are ignored.
    pub fn is_current(&self, other: &Self) -> bool {
        let suspects =
            |memory: &Self| memory.suspects.iter().map(|report| report.key).collect::<Vec<_>>();
        let notices = |memory: &Self| {
            memory.targets.iter().map(|aged| aged.notice.without_sequence()).collect::<Vec<_>>()
        };
        notices(self) == notices(other)
            && suspects(self) == suspects(other)
            && self.nodes == other.nodes
    }
}

impl StoredMemory {
    /// Returns the age at the wall-clock time `wall`, in ms. `None` if the memory is too old to
    /// use.
    pub fn age_ms(&self, wall: ClockTime) -> Option<u64> {
        // After the clock was set back the age is 0, which costs a few failed sends at most.
        Some(wall.since(self.written)).filter(|age_ms| *age_ms <= MAX_AGE_MS)
    }

    /// Adds the time since the write to the ages of the notices. Sequence numbers are reset, so
    /// that any announcement of the same incarnation replaces a notice.
    #[must_use]
    pub fn aged(self, age_ms: u64) -> RecoveryMemory {
        let mut memory = self.memory;
        for aged in &mut memory.targets {
            aged.notice = aged.notice.without_sequence();
            aged.age_ms += age_ms;
        }
        for suspect in &mut memory.suspects {
            suspect.first_age_ms += age_ms;
            suspect.last_age_ms += age_ms;
        }
        memory
    }
}

/// Usage of allowances with the time of its write, as stored on disk.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoredUsage {
    /// Wall-clock time of the write.
    pub written: ClockTime,
    /// Usage at that time, by workspace.
    pub usage: Vec<WorkspaceUsage>,
}

impl StoredUsage {
    /// Returns the usage with its age at the wall-clock time `wall`.
    pub fn aged(&self, wall: ClockTime) -> Vec<WorkspaceUsage> {
        let age_ms = wall.since(self.written).min(MAX_USAGE_AGE_MS) as u32;
        let mut usage = self.usage.clone();
        for (age, _) in usage.iter_mut().flat_map(|usage| &mut usage.amounts) {
            *age = age.saturating_add(age_ms);
        }
        usage
    }
}
