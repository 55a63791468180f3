//! Table of announced targets and their incarnations.

use crate::placement::VersionKey;
use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::cell::OnceCell;
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
    /// Time for which the target remains slow after its start, in ms.
    pub cold_ms: u32,
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
    /// The target is alive, and the sender has asked it since an earlier incarnation left.
    Confirmed(TargetAnnouncement),
}

impl TargetNotice {
    /// Returns whether the notice ends the use of an incarnation.
    pub const fn is_departure(&self) -> bool {
        matches!(self, Self::Draining { .. } | Self::Left { .. })
    }

    /// Returns the notice with the sequence number reset to 0.
    #[must_use]
    pub fn without_sequence(&self) -> Self {
        match self {
            Self::Announced(announcement) | Self::Confirmed(announcement) => {
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
    /// Time of the last announcement.
    pub last_seen: ClockTime,
    /// Whether the address answered as another target. Nodes do not tell each other.
    pub misdirected: bool,
}

/// End of the use of a target, up to an incarnation. It is final: of several, the highest incarnation
/// counts, and of the same incarnation its leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TargetDeparture {
    incarnation: u64,
    /// Whether the incarnation has left. It drains otherwise.
    left: bool,
}

/// Departure with the time of its last notice.
#[derive(Clone, Copy, Debug)]
struct DepartureRecord {
    departure: TargetDeparture,
    last_seen: ClockTime,
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
    /// An incarnation has left. A later one is known, to which the leave may refer.
    Doubtful,
    /// The notice is outdated and was ignored.
    Stale,
}

/// Time without an announcement after which a target is no longer used, in announcement intervals.
/// Announcements can be delayed by a few seconds.
pub(crate) const FRESH_INTERVALS: u64 = 5;
/// Time after the last notice for which a record is kept, in ms. It exceeds the possible delay of
/// an announcement, so that a late announcement does not revive a target that left.
const RECORD_RETENTION_MS: u64 = 120_000;
/// Age up to which departures are passed on, in ms. Nodes forget them at slightly different times, and
/// must not learn from each other again what they have just forgotten.
const SHARED_AGE_MS: u64 = 110_000;
/// Tolerated step of the wall clock between the start of a target and a leave, in ms.
const CLOCK_STEP_MS: u64 = 5_000;

/// Table of all known targets.
#[derive(Debug, Default)]
pub struct TargetTable {
    records: BTreeMap<String, TargetRecord>,
    /// Departures by target, of unknown targets too.
    departures: BTreeMap<String, DepartureRecord>,
    /// Digest of the departures, until they change.
    digest: OnceCell<u64>,
}

impl TargetTable {
    /// Applies a notice that arrived at `now`.
    pub fn apply(&mut self, notice: &TargetNotice, now: ClockTime) -> TargetChange {
        match notice {
            TargetNotice::Announced(announcement) | TargetNotice::Confirmed(announcement) => {
                self.announce(announcement, now)
            }
            TargetNotice::Draining { id, incarnation } => {
                let departure = TargetDeparture { incarnation: *incarnation, left: false };
                self.depart(id, departure, now)
            }
            TargetNotice::Left { id, incarnation } => {
                let departure = TargetDeparture { incarnation: *incarnation, left: true };
                self.depart(id, departure, now)
            }
        }
    }

    fn announce(&mut self, announcement: &TargetAnnouncement, now: ClockTime) -> TargetChange {
        let (id, incarnation) = (&announcement.id, announcement.incarnation);
        if self.has_left(id, incarnation) {
            return TargetChange::Stale;
        }
        // A drain counts also if a later announcement has overtaken it.
        let drained = if announcement.draining {
            self.depart(id, TargetDeparture { incarnation, left: false }, now)
        } else {
            TargetChange::Stale
        };
        let Some(record) = self.records.get_mut(id) else {
            let record = TargetRecord {
                announcement: announcement.clone(),
                last_seen: now,
                misdirected: false,
            };
            self.records.insert(id.clone(), record);
            return TargetChange::Joined;
        };
        let known = &record.announcement;
        let same = known.incarnation == incarnation;
        let order = (incarnation, announcement.sequence);
        if order <= (known.incarnation, known.sequence) || (same && record.misdirected) {
            return drained;
        }
        record.announcement = announcement.clone();
        record.last_seen = now;
        record.misdirected = false;
        // A target that drains is remembered for as long as it announces itself.
        if let Some(known) = self.departures.get_mut(id)
            && known.departure.incarnation == incarnation
        {
            known.last_seen = now;
        }
        match (same, drained) {
            (false, _) => TargetChange::Joined,
            (true, TargetChange::Leaving) => TargetChange::Leaving,
            (true, _) => TargetChange::Refreshed,
        }
    }

    fn depart(&mut self, id: &str, departure: TargetDeparture, now: ClockTime) -> TargetChange {
        if self.departures.get(id).is_some_and(|known| known.departure >= departure) {
            return TargetChange::Stale;
        }
        self.departures.insert(id.to_owned(), DepartureRecord { departure, last_seen: now });
        self.digest.take();
        let known = self.records.get(id).map(|record| record.announcement.incarnation);
        match known {
            Some(known) if known <= departure.incarnation => TargetChange::Leaving,
            Some(_) if departure.left => TargetChange::Doubtful,
            Some(_) => TargetChange::Stale,
            None => TargetChange::Leaving,
        }
    }

    /// Returns whether an incarnation of a target drains or has left.
    pub fn has_departed(&self, id: &str, incarnation: u64) -> bool {
        let known = self.departures.get(id).map(|known| known.departure);
        known.is_some_and(|departure| departure.incarnation >= incarnation)
    }

    /// Returns whether an incarnation of a target has left. A later one that drains has replaced it.
    fn has_left(&self, id: &str, incarnation: u64) -> bool {
        let known = self.departures.get(id).map(|known| known.departure);
        known.is_some_and(|known| known >= TargetDeparture { incarnation, left: true })
    }

    /// Returns whether a target left under an earlier incarnation and may have started this one before
    /// its leave. Leaves name no incarnation, and announcements may arrive after a later leave. `wall` is
    /// the wall-clock time at `now`.
    pub fn may_have_left(
        &self,
        announcement: &TargetAnnouncement,
        now: ClockTime,
        wall: ClockTime,
    ) -> bool {
        let (id, incarnation) = (&announcement.id, announcement.incarnation);
        let Some(left_at) = self.left_at(id, now, wall) else { return false };
        !self.has_left(id, incarnation) && incarnation <= left_at.plus(CLOCK_STEP_MS).as_ms()
    }

    /// Returns the wall-clock time at which the last leave of a target was received. `wall` is the
    /// wall-clock time at `now`.
    pub fn left_at(&self, id: &str, now: ClockTime, wall: ClockTime) -> Option<ClockTime> {
        let record = self.departures.get(id).filter(|record| record.departure.left)?;
        let age_ms = now.since(record.last_seen);
        Some(ClockTime::from_ms(wall.as_ms().saturating_sub(age_ms)))
    }

    /// Returns whether this or a later incarnation of a target has announced itself.
    pub fn is_known(&self, announcement: &TargetAnnouncement) -> bool {
        let known = self.records.get(&announcement.id);
        known.is_some_and(|known| known.announcement.incarnation >= announcement.incarnation)
    }

    /// Returns the incarnation that a leave of this target refers to: the known one or, for an
    /// unknown target, the latest that must have started before the wall-clock time `wall`.
    pub fn leaving_incarnation(&self, id: &str, wall: ClockTime) -> u64 {
        self.records.get(id).map_or(wall.as_ms().saturating_sub(CLOCK_STEP_MS), |record| {
            record.announcement.incarnation
        })
    }

    /// Marks an incarnation whose address answered as another target.
    pub fn mark_misdirected(&mut self, id: &str, incarnation: u64) {
        if let Some(record) = self.records.get_mut(id)
            && record.announcement.incarnation == incarnation
        {
            record.misdirected = true;
        }
    }

    /// Returns whether an incarnation is known and has not left.
    pub fn holds(&self, announcement: &TargetAnnouncement) -> bool {
        let (id, incarnation) = (&announcement.id, announcement.incarnation);
        self.records.get(id).is_some_and(|record| {
            record.announcement.incarnation == incarnation && !record.misdirected
        }) && !self.has_left(id, incarnation)
    }

    /// Returns whether an incarnation is known and neither drains nor has left.
    pub fn accepts_requests(&self, announcement: &TargetAnnouncement) -> bool {
        self.holds(announcement) && !self.has_departed(&announcement.id, announcement.incarnation)
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
            now.since(record.last_seen) <= announce_interval_ms * FRESH_INTERVALS
        };
        self.records
            .values()
            .filter(|record| record.announcement.service == service)
            .filter(fresh)
            .map(|record| &record.announcement)
            .filter(|announcement| self.accepts_requests(announcement))
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
        let records = self.records.values().filter(|record| self.holds(&record.announcement));
        let announced = records.map(|record| AgedNotice {
            notice: TargetNotice::Announced(record.announcement.clone()),
            age_ms: now.since(record.last_seen),
        });
        announced.chain(self.departures(now)).collect()
    }

    /// Returns the departures as notices, for a node that may have missed some.
    pub fn departures(&self, now: ClockTime) -> Vec<AgedNotice> {
        let departures =
            self.departures.iter().map(|(id, DepartureRecord { departure, last_seen })| {
                let (id, incarnation) = (id.clone(), departure.incarnation);
                let notice = if departure.left {
                    TargetNotice::Left { id, incarnation }
                } else {
                    TargetNotice::Draining { id, incarnation }
                };
                AgedNotice { notice, age_ms: now.since(*last_seen) }
            });
        departures.filter(|aged| aged.age_ms <= SHARED_AGE_MS).collect()
    }

    /// Returns a digest of the departures; 0 if there are none.
    pub fn departure_digest(&self) -> u64 {
        if self.departures.is_empty() {
            return 0;
        }
        *self.digest.get_or_init(|| {
            let mut hash = xxhash_rust::xxh3::Xxh3::new();
            for (id, DepartureRecord { departure, .. }) in &self.departures {
                hash.update(id.as_bytes());
                hash.update(&departure.incarnation.to_le_bytes());
                hash.update(&[departure.left.into()]);
            }
            hash.digest().max(1)
        })
    }

    /// Removes records that no delayed announcement can refer to any longer.
    pub fn prune(&mut self, now: ClockTime) {
        let kept = |last_seen: ClockTime| now.since(last_seen) <= RECORD_RETENTION_MS;
        self.records.retain(|_, record| kept(record.last_seen));
        let known = self.departures.len();
        self.departures.retain(|_, record| kept(record.last_seen));
        if self.departures.len() < known {
            self.digest.take();
        }
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
