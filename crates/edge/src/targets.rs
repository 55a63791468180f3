//! Targets that announced themselves, by incarnation.

use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use thiserror::Error;

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetAnnouncement {
    /// Name of the target, kept by some of them over a restart.
    pub id: String,
    /// Service that the target belongs to.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddrV4,
    /// Failure domain.
    pub domain: String,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Whether the target is leaving.
    pub draining: bool,
    /// Start of the target's process, in ms since the Unix epoch: the number of its incarnation.
    pub incarnation: u64,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
}

/// An announcement or a final leave.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TargetNotice {
    /// The target is alive.
    Announced(TargetAnnouncement),
    /// The incarnation has left for good.
    Left {
        /// Name of the target.
        id: String,
        /// Incarnation that left.
        incarnation: u64,
    },
}

impl TargetNotice {
    /// Whether the incarnation has left for good.
    pub const fn is_leave(&self) -> bool {
        matches!(self, Self::Left { .. })
    }

    /// The notice without what changes with each announcement.
    #[must_use]
    pub fn without_sequence(&self) -> Self {
        match self {
            Self::Announced(announcement) => {
                Self::Announced(TargetAnnouncement { sequence: 0, ..announcement.clone() })
            }
            Self::Left { .. } => self.clone(),
        }
    }
}

/// A notice that another node heard some time ago.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AgedNotice {
    /// The notice.
    pub notice: TargetNotice,
    /// Time since it was heard, in ms.
    pub age_ms: u64,
}

/// Why an announcement was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum AnnouncementError {
    /// The body could not be read, or a field is missing or of another type.
    #[error("reading the announcement: {0}")]
    Unreadable(String),
}

/// One known target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// The newest announcement.
    pub announcement: TargetAnnouncement,
    /// When it arrived.
    pub last_seen: ClockTime,
    /// Whether the incarnation has left.
    pub left: bool,
}

/// What a notice changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// A new incarnation.
    Joined,
    /// The incarnation began to leave or has left.
    Leaving,
    /// Only the time of the last announcement.
    Refreshed,
    /// Nothing: the notice is older than what is known.
    Stale,
}

/// Longest time without an announcement after which a target is not used, in announcement
/// intervals: announcements arrive up to a few seconds late.
pub(crate) const FRESH_INTERVALS: u64 = 5;
/// Time that the memory of a leave outlives the last announcement, in ms: longer than an
/// announcement can be delayed.
const RECORD_RETENTION_MS: u64 = 120_000;
/// Largest step of the time of day, in ms, that a leave without a known incarnation allows for.
const CLOCK_STEP_MS: u64 = 5_000;

/// All known targets.
#[derive(Debug, Default)]
pub struct TargetTable {
    records: BTreeMap<String, TargetRecord>,
    /// Leaves of targets that are not known: any incarnation up to the given one is gone.
    unknown_leaves: BTreeMap<String, (u64, ClockTime)>,
}

impl TargetTable {
    /// Takes in a notice that arrived at `now`.
    pub fn apply(&mut self, notice: &TargetNotice, now: ClockTime) -> TargetChange {
        match notice {
            TargetNotice::Announced(announcement) => self.announce(announcement, now),
            TargetNotice::Left { id, incarnation } => self.leave(id, *incarnation, now),
        }
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
        // An incarnation that began to leave does not come back.
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

    /// Incarnation that a leave of this target ends: the known one, or, if none is known, all that
    /// started before `wall`, the time of day in ms since the Unix epoch.
    pub fn leaving_incarnation(&self, id: &str, wall: ClockTime) -> u64 {
        self.records.get(id).map_or(wall.as_ms().saturating_sub(CLOCK_STEP_MS), |record| {
            record.announcement.incarnation
        })
    }

    /// Ends an incarnation that was found to be gone.
    pub fn mark_left(&mut self, id: &str, incarnation: u64) {
        if let Some(record) = self.records.get_mut(id)
            && record.announcement.incarnation == incarnation
        {
            record.left = true;
        }
    }

    /// The record of a target.
    pub fn get(&self, id: &str) -> Option<&TargetRecord> {
        self.records.get(id)
    }

    /// Targets of a service that may receive requests: announced lately, not leaving, and not
    /// replaced by a later incarnation at the same address.
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

    /// All that is known of targets, for a node that has just started.
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

    /// Drops records that no delayed announcement can refer to any more.
    pub fn prune(&mut self, now: ClockTime) {
        self.records.retain(|_, record| now.since(record.last_seen) <= RECORD_RETENTION_MS);
        self.unknown_leaves.retain(|_, (_, heard)| now.since(*heard) <= RECORD_RETENTION_MS);
    }

    /// Number of records, for metrics.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
