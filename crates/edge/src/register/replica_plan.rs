//! Chooses the replicas of the register among the disks of the deployment.
//!
//! The number of replicas is odd: an even set needs one more answer than the set without one of its
//! members, and bears no more losses. Disks that are left over stand by and take the place of the next
//! replica that fails.

use super::ReplicaKey;
use std::collections::BTreeSet;

/// Time that a disk must be reachable before it becomes a replica, in ms.
const MIN_STANDBY_UPTIME_MS: u64 = 400;
/// Time without a status after which a replica is replaced by a disk that stands by, in ms.
const REPLACE_AFTER_SILENCE_MS: u64 = 2_000;
/// Time without a status after which replicas are removed without a replacement, in ms.
const REMOVE_AFTER_SILENCE_MS: u64 = 15_000;
/// Number of replicas that are never removed without a replacement.
const MIN_REPLICAS: usize = 3;

/// What is known of the node with a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskPresence {
    /// The node is heard.
    Heard {
        /// Time since the first status of its process, in ms.
        uptime_ms: u64,
        /// Whether the node is shutting down.
        leaving: bool,
    },
    /// The node is not heard.
    Silent {
        /// Time since its last status, in ms.
        silence_ms: u64,
    },
    /// The node is heard with another disk, so this one no longer exists.
    Gone,
}

/// Disk that is a replica or may become one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskReport {
    /// Identity of the replica on the disk.
    pub key: ReplicaKey,
    /// Failure domain of the node.
    pub domain: String,
    /// Whether the node is heard.
    pub presence: DiskPresence,
}

impl DiskReport {
    /// Returns whether the disk may become a replica.
    const fn stands_by(&self) -> bool {
        matches!(
            self.presence,
            DiskPresence::Heard { uptime_ms, leaving: false } if uptime_ms >= MIN_STANDBY_UPTIME_MS
        )
    }

    /// Returns how urgently a replica on the disk is replaced, or `None` if it is not.
    const fn urgency(&self) -> Option<u64> {
        match self.presence {
            DiskPresence::Heard { leaving: false, .. } => None,
            DiskPresence::Heard { leaving: true, .. } => Some(0),
            DiskPresence::Silent { silence_ms } if silence_ms < REPLACE_AFTER_SILENCE_MS => None,
            DiskPresence::Silent { silence_ms } => Some(silence_ms),
            DiskPresence::Gone => Some(u64::MAX),
        }
    }

    /// Returns whether a replica on the disk is not expected to come back.
    const fn is_lost(&self) -> bool {
        match self.presence {
            DiskPresence::Heard { .. } => false,
            DiskPresence::Silent { silence_ms } => silence_ms >= REMOVE_AFTER_SILENCE_MS,
            DiskPresence::Gone => true,
        }
    }
}

/// Set of replicas that is being planned.
struct ReplicaPlan<'a> {
    replicas: Vec<&'a DiskReport>,
    standbys: Vec<&'a DiskReport>,
}

impl ReplicaPlan<'_> {
    fn count_in_domain(&self, domain: &str) -> usize {
        self.replicas.iter().filter(|report| report.domain == domain).count()
    }

    /// Adds the standby from the failure domain with the fewest replicas. Returns false if there is
    /// none.
    fn add_standby(&mut self) -> bool {
        let positions = 0..self.standbys.len();
        let best = positions.min_by_key(|at| {
            let report = self.standbys[*at];
            (self.count_in_domain(&report.domain), report.key)
        });
        let Some(best) = best else { return false };
        let report = self.standbys.swap_remove(best);
        self.replicas.push(report);
        true
    }

    /// Returns the position of the most urgent replica to replace.
    fn most_urgent(&self) -> Option<usize> {
        let urgencies = self.replicas.iter().enumerate();
        let urgent = urgencies.filter_map(|(at, report)| Some((report.urgency()?, at)));
        urgent.max().map(|(_, at)| at)
    }

    /// Returns the position of a replica of the failure domain that has the most.
    fn most_dispensable(&self) -> Option<usize> {
        let positions = 0..self.replicas.len();
        positions.max_by_key(|at| {
            let report = self.replicas[*at];
            (self.count_in_domain(&report.domain), report.key)
        })
    }

    fn replace_failed(&mut self) {
        while let Some(failed) = self.most_urgent().filter(|_| !self.standbys.is_empty()) {
            self.replicas.swap_remove(failed);
            self.add_standby();
        }
    }

    /// Adds the disks that stand by, two at a time, so that the number of replicas stays odd.
    fn grow(&mut self) {
        while self.replicas.len() < MIN_REPLICAS && self.add_standby() {}
        while self.replicas.len() % 2 == 1 && self.standbys.len() >= 2 {
            self.add_standby();
            self.add_standby();
        }
    }

    fn make_odd(&mut self) {
        if self.replicas.len() % 2 == 1 || self.replicas.len() <= MIN_REPLICAS {
            return;
        }
        if !self.add_standby()
            && let Some(surplus) = self.most_urgent().or_else(|| self.most_dispensable())
        {
            self.replicas.swap_remove(surplus);
        }
    }

    /// Removes replicas that are not expected to come back, two at a time.
    fn shrink(&mut self) {
        loop {
            let lost = self.replicas.iter().filter(|report| report.is_lost());
            let lost: Vec<_> = lost.take(2).map(|report| report.key).collect();
            if lost.len() < 2 || self.replicas.len() - 2 < MIN_REPLICAS {
                return;
            }
            self.replicas.retain(|report| !lost.contains(&report.key));
        }
    }
}

/// Returns the replicas that the register should have. `disks` contains all current replicas and all
/// disks that are heard.
pub fn plan_replicas(current: &BTreeSet<ReplicaKey>, disks: &[DiskReport]) -> BTreeSet<ReplicaKey> {
    let (replicas, others): (Vec<_>, Vec<_>) =
        disks.iter().partition(|report| current.contains(&report.key));
    let standbys = others.into_iter().filter(|report| report.stands_by()).collect();
    let mut plan = ReplicaPlan { replicas, standbys };
    plan.replace_failed();
    plan.make_odd();
    plan.grow();
    plan.shrink();
    plan.replicas.iter().map(|report| report.key).collect()
}
