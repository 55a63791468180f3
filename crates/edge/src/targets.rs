//! Table of announced targets and their incarnations.

use crate::placement::VersionKey;
use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use thiserror::Error;

/// Announcement of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetAnnouncement {
    /// Id of the target. Some targets keep it across restarts.
    pub id: String,
    /// Service that the target belongs to.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddrV4,
    /// Failure domain.
    pub domain: String,
    /// Software version; empty if the target states none.
    pub version: String,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is leaving.
    pub draining: bool,
    /// Incarnation number: start time of the target's process, in ms since the Unix epoch.
    pub incarnation: u64,
    /// Sequence number of the announcement within the incarnation.
    pub sequence: u64,
}

impl TargetAnnouncement {
    /// Returns the key of the target's software version.
    pub fn version_key(&self) -> VersionKey {
        VersionKey::new(&self.service, &self.version)
    }
}

/// Announcement or final leave of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TargetNotice {
    /// The target is alive.
    Announced(TargetAnnouncement),
    /// The incarnation said in an answer that it is leaving.
    Draining {
        /// Id of the target.
        id: String,
        /// Incarnation that is leaving.
        incarnation: u64,
    },
    /// The incarnation has left permanently.
    Left {
        /// Id of the target.
        id: String,
        /// Incarnation that left.
        incarnation: u64,
    },
}

impl TargetNotice {
    /// Returns whether the notice is a leave.
    pub const fn is_leave(&self) -> bool {
        matches!(self, Self::Left { .. })
    }

    /// Returns the notice with the sequence number reset to 0.
    #[must_use]
    pub fn without_sequence(&self) -> Self {
        match self {
            Self::Announced(announcement) => {
                Self::Announced(TargetAnnouncement { sequence: 0, ..announcement.clone() })
            }
            Self::Draining { .. } | Self::Left { .. } => self.clone(),
        }
    }
}

/// Notice with the time since it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AgedNotice {
    /// The notice.
    pub notice: TargetNotice,
    /// Time since the notice was received, in ms.
    pub age_ms: u64,
}

/// Reason why an announcement was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum AnnouncementError {
    /// The body could not be read, or a field is missing or of another type.
    #[error("reading the announcement: {0}")]
    Unreadable(String),
    /// The start of the target, in ms since the Unix epoch, lies in the far future.
    #[error("the target started at {0} ms, which is in the far future")]
    FarFuture(u64),
}

/// Last known state of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// The newest announcement.
    pub announcement: TargetAnnouncement,
    /// Time of the last announcement or leave.
    pub last_seen: ClockTime,
    /// Whether the incarnation has left.
    pub left: bool,
}

/// Effect of a notice on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// The incarnation is new.
    Joined,
    /// The incarnation started to drain or has left.
    Leaving,
    /// Only the announcement and its time were updated.
    Refreshed,
    /// The notice is outdated and was ignored.
    Stale,
}

/// Time without an announcement after which a target is no longer used, in announcement intervals.
/// Announcements can be delayed by a few seconds.
pub(crate) const FRESH_INTERVALS: u64 = 5;
/// Time after the last notice for which a record is kept, in ms. It exceeds the possible delay of
/// an announcement, so that a late announcement does not revive a target that left.
const RECORD_RETENTION_MS: u64 = 120_000;
/// Tolerated step of the wall clock for the leave of an unknown target, in ms.
const CLOCK_STEP_MS: u64 = 5_000;

/// Table of all known targets.
#[derive(Debug, Default)]
pub struct TargetTable {
    records: BTreeMap<String, TargetRecord>,
    /// Leaves of unknown targets: the highest incarnation that has left and the time of the leave.
    unknown_leaves: BTreeMap<String, (u64, ClockTime)>,
}

impl TargetTable {
    /// Applies a notice that arrived at `now`.
    pub fn apply(&mut self, notice: &TargetNotice, now: ClockTime) -> TargetChange {
        match notice {
            TargetNotice::Announced(announcement) => self.announce(announcement, now),
            TargetNotice::Draining { id, incarnation } => self.drain(id, *incarnation),
            TargetNotice::Left { id, incarnation } => self.leave(id, *incarnation, now),
        }
    }

    fn drain(&mut self, id: &str, incarnation: u64) -> TargetChange {
        let Some(record) = self.records.get_mut(id) else { return TargetChange::Stale };
        let known = &mut record.announcement;
        if known.incarnation != incarnation || known.draining || record.left {
            return TargetChange::Stale;
        }
        known.draining = true;
        TargetChange::Leaving
    }

    fn announce(&mut self, announcement: &TargetAnnouncement, now: ClockTime) -> TargetChange {
        let order = (announcement.incarnation, announcement.sequence);
        if self
            .unknown_leaves
            .get(&announcement.id)
            .is_some_and(|(incarnation, _)| announcement.incarnation <= *incarnation)
        {
            return TargetChange::Stale;
        }
        let Some(record) = self.records.get_mut(&announcement.id) else {
            let record =
                TargetRecord { announcement: announcement.clone(), last_seen: now, left: false };
            self.records.insert(announcement.id.clone(), record);
            return TargetChange::Joined;
        };
        let known = &record.announcement;
        let same = known.incarnation == announcement.incarnation;
        if order <= (known.incarnation, known.sequence) || (same && record.left) {
            return TargetChange::Stale;
        }
        let change = match (same, known.draining, announcement.draining) {
            (false, _, _) => TargetChange::Joined,
            (true, false, true) => TargetChange::Leaving,
            (true, _, _) => TargetChange::Refreshed,
        };
        // A draining incarnation never becomes usable again.
        let draining = announcement.draining || (same && known.draining);
        record.announcement = TargetAnnouncement { draining, ..announcement.clone() };
        record.last_seen = now;
        record.left = false;
        change
    }

    fn leave(&mut self, id: &str, incarnation: u64, now: ClockTime) -> TargetChange {
        let Some(record) = self.records.get_mut(id) else {
            self.unknown_leaves.insert(id.to_owned(), (incarnation, now));
            return TargetChange::Leaving;
        };
        if record.left || record.announcement.incarnation > incarnation {
            return TargetChange::Stale;
        }
        record.left = true;
        record.last_seen = now;
        TargetChange::Leaving
    }

    /// Returns the incarnation that a leave of this target refers to: the known one or, for an
    /// unknown target, the latest that may have started before the wall-clock time `wall`.
    pub fn leaving_incarnation(&self, id: &str, wall: ClockTime) -> u64 {
        self.records.get(id).map_or(wall.as_ms().saturating_sub(CLOCK_STEP_MS), |record| {
            record.announcement.incarnation
        })
    }

    /// Marks an incarnation as left after it was found to be gone.
    pub fn mark_left(&mut self, id: &str, incarnation: u64) {
        if let Some(record) = self.records.get_mut(id)
            && record.announcement.incarnation == incarnation
        {
            record.left = true;
        }
    }

    /// Returns whether an incarnation is known and has not left.
    pub fn holds(&self, announcement: &TargetAnnouncement) -> bool {
        self.records.get(&announcement.id).is_some_and(|record| {
            record.announcement.incarnation == announcement.incarnation && !record.left
        })
    }

    /// Returns the record of a target.
    pub fn get(&self, id: &str) -> Option<&TargetRecord> {
        self.records.get(id)
    }

    /// Returns the targets of a service that may receive requests: announced recently, not
    /// draining, not left, and not replaced by a later incarnation at the same address.
    pub fn usable(
        &self,
        service: &str,
        announce_interval_ms: u64,
        now: ClockTime,
    ) -> Vec<&TargetAnnouncement> {
        let fresh = |record: &&TargetRecord| {
            !record.left
                && !record.announcement.draining
                && now.since(record.last_seen) <= announce_interval_ms * FRESH_INTERVALS
        };
        self.records
            .values()
            .filter(|record| record.announcement.service == service)
            .filter(fresh)
            .map(|record| &record.announcement)
            .filter(|announcement| !self.replaced(announcement))
            .collect()
    }

    fn replaced(&self, announcement: &TargetAnnouncement) -> bool {
        self.records.values().any(|other| {
            other.announcement.address == announcement.address
                && other.announcement.incarnation > announcement.incarnation
        })
    }

    /// Returns the state of all targets as notices, for a node that has just started.
    pub fn snapshot(&self, now: ClockTime) -> Vec<AgedNotice> {
        self.records
            .values()
            .map(|record| {
                let announcement = record.announcement.clone();
                let (id, incarnation) = (announcement.id.clone(), announcement.incarnation);
                let notice = if record.left {
                    TargetNotice::Left { id, incarnation }
                } else {
                    TargetNotice::Announced(announcement)
                };
                AgedNotice { notice, age_ms: now.since(record.last_seen) }
            })
            .collect()
    }

    /// Removes records that no delayed announcement can refer to any longer.
    pub fn prune(&mut self, now: ClockTime) {
        self.records.retain(|_, record| now.since(record.last_seen) <= RECORD_RETENTION_MS);
        self.unknown_leaves.retain(|_, (_, left_at)| now.since(*left_at) <= RECORD_RETENTION_MS);
    }

    /// Returns the number of records, for metrics.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
