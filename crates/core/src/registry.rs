//! Tracks the targets: their announcements, heartbeat timeouts, departures and crashes.
//!
//! [`TargetRegistry::announce`] and [`TargetRegistry::leave`] cost O(1) in the number of targets.
//! [`TargetRegistry::tick`] visits each target once.

mod announcement;
mod suspect;

pub use announcement::{CacheChange, CacheEvent, LoadReport, TargetAnnouncement, TargetKind};
pub use suspect::{SuspectChange, SuspectTable};

use crate::clock::ClockTime;
use crate::keys::TargetIdentity;
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use thiserror::Error;

/// Time without an announcement after which a target receives no new requests, in milliseconds.
pub const TARGET_HEARTBEAT_TIMEOUT_MS: u64 = 2_000;

new_key_type! {
    /// Key of one incarnation of a target in the registry.
    pub struct TargetKey;
}

/// State of one incarnation of a target.
#[derive(Clone, Debug)]
pub struct TargetRecord {
    /// Newest announcement, without its cache events.
    pub announcement: TargetAnnouncement,
    /// When the newest announcement arrived.
    pub last_announced_at: ClockTime,
    /// Whether no announcement arrived within the heartbeat timeout.
    pub silent: bool,
    /// Whether an operator is draining this incarnation.
    pub draining: bool,
}

/// A change of a target, for the pool that the target belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetChange {
    /// Pool that the target belongs to.
    pub pool: String,
    /// Incarnation that changed.
    pub target: TargetKey,
    /// Kind of the change.
    pub kind: TargetChangeKind,
}

/// Kind of a [`TargetChange`].
#[derive(Clone, Debug, PartialEq)]
pub enum TargetChangeKind {
    /// A new incarnation announced itself, or a known one repeated its announcement.
    Announced(Box<TargetAnnouncement>),
    /// An operator started to drain the incarnation, or a draining incarnation announced itself.
    /// Running requests may finish.
    Draining(Box<TargetAnnouncement>),
    /// No announcement arrived within the heartbeat timeout.
    Silent,
    /// The incarnation left. Running requests may finish.
    Left,
    /// The incarnation crashed: a newer one announced itself or left before this one had left.
    Crashed,
}

/// Reason why an announcement is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum AnnounceError {
    /// A newer incarnation is known, or this one has left.
    #[error("incarnation {incarnation} of target {name} has ended; the newest known is {newest}")]
    IncarnationEnded {
        /// Name of the target.
        name: String,
        /// Incarnation of the rejected announcement.
        incarnation: u64,
        /// Newest incarnation that was announced or left.
        newest: u64,
    },
    /// The incarnation was previously announced with another pool or kind.
    #[error("target {name} changed its pool or kind within one incarnation")]
    PlacementChanged {
        /// Name of the target.
        name: String,
    },
    /// A required field is empty.
    #[error("the announcement has no {field}")]
    FieldEmpty {
        /// Name of the field.
        field: &'static str,
    },
}

#[derive(Clone, Copy, Debug)]
struct NameRecord {
    newest: u64,
    current: Option<TargetKey>,
}

/// Registry of all announced targets of the deployment.
///
/// ```
/// use burdockcleat_core::clock::ClockTime;
/// use burdockcleat_core::registry::{TargetAnnouncement, TargetRegistry};
/// let mut registry = TargetRegistry::default();
/// let target = TargetAnnouncement {
///     name: "engine-1".into(),
///     incarnation: 1,
///     address: "127.0.0.1:9000".into(),
///     pool: "notes".into(),
///     slots: 8,
///     ..TargetAnnouncement::default()
/// };
/// let (key, _) = registry.announce(ClockTime::from_ms(0), target.clone()).unwrap();
/// assert!(registry.is_eligible(key));
/// registry.leave(&target.identity());
/// assert!(registry.announce(ClockTime::from_ms(10), target).is_err());
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    records: SlotMap<TargetKey, TargetRecord>,
    names: HashMap<String, NameRecord>,
    /// Incarnation that an operator is draining, by target name.
    draining: HashMap<String, u64>,
}

impl TargetRegistry {
    /// Registers an announcement and returns the key of its incarnation and the resulting changes.
    ///
    /// # Errors
    /// Fails if the incarnation has ended, or the announcement is inconsistent.
    pub fn announce(
        &mut self,
        now: ClockTime,
        announcement: TargetAnnouncement,
    ) -> Result<(TargetKey, Vec<TargetChange>), AnnounceError> {
        check_fields(&announcement)?;
        let mut changes = Vec::new();
        let key = match self.names.get(&announcement.name).copied() {
            None => self.insert(now, &announcement),
            Some(name) if announcement.incarnation > name.newest => {
                changes.extend(name.current.and_then(|old| self.remove(old)));
                self.insert(now, &announcement)
            }
            Some(NameRecord { newest, current: Some(key) })
                if newest == announcement.incarnation =>
            {
                self.refresh(now, key, &announcement)?;
                key
            }
            Some(NameRecord { newest, .. }) => {
                return Err(AnnounceError::IncarnationEnded {
                    name: announcement.name,
                    incarnation: announcement.incarnation,
                    newest,
                });
            }
        };
        changes.push(TargetChange {
            pool: announcement.pool.clone(),
            target: key,
            kind: match self.records.get(key).is_some_and(|record| record.draining) {
                true => TargetChangeKind::Draining(Box::new(announcement)),
                false => TargetChangeKind::Announced(Box::new(announcement)),
            },
        });
        Ok((key, changes))
    }

    /// Ends an incarnation permanently. An unknown incarnation is recorded as ended too, since the
    /// leave may arrive before the announcement.
    pub fn leave(&mut self, identity: &TargetIdentity) -> Option<TargetChange> {
        let name = self
            .names
            .entry(identity.name.clone())
            .or_insert(NameRecord { newest: identity.incarnation, current: None });
        if identity.incarnation < name.newest {
            return None;
        }
        name.newest = identity.incarnation;
        let key = name.current.take()?;
        let ended = self.records.remove(key)?;
        // If a newer incarnation leaves, the current one ended without leaving.
        let crashed = ended.announcement.incarnation < identity.incarnation;
        let kind = if crashed { TargetChangeKind::Crashed } else { TargetChangeKind::Left };
        Some(TargetChange { pool: ended.announcement.pool, target: key, kind })
    }

    /// Drains an incarnation, whether or not it has announced itself. The drain does not apply to
    /// newer incarnations.
    pub fn drain(&mut self, identity: &TargetIdentity) -> Option<TargetChange> {
        self.draining.insert(identity.name.clone(), identity.incarnation);
        let target = self.find(identity)?;
        let record = self.records.get_mut(target)?;
        record.draining = true;
        let pool = record.announcement.pool.clone();
        let kind = TargetChangeKind::Draining(Box::new(record.announcement.clone()));
        Some(TargetChange { pool, target, kind })
    }

    /// Returns the targets whose heartbeat has timed out since the last call.
    pub fn tick(&mut self, now: ClockTime) -> Vec<TargetChange> {
        let mut changes = Vec::new();
        for (target, record) in &mut self.records {
            if !record.silent && now.since(record.last_announced_at) >= TARGET_HEARTBEAT_TIMEOUT_MS
            {
                record.silent = true;
                let pool = record.announcement.pool.clone();
                changes.push(TargetChange { pool, target, kind: TargetChangeKind::Silent });
            }
        }
        changes
    }

    /// Whether the target may receive new requests.
    pub fn is_eligible(&self, key: TargetKey) -> bool {
        self.records.get(key).is_some_and(|record| !record.silent && !record.draining)
    }

    /// Returns the record of an incarnation that has not ended.
    pub fn get(&self, key: TargetKey) -> Option<&TargetRecord> {
        self.records.get(key)
    }

    /// Returns the key of an incarnation that has not ended.
    pub fn find(&self, identity: &TargetIdentity) -> Option<TargetKey> {
        let name = self.names.get(&identity.name)?;
        if name.newest == identity.incarnation { name.current } else { None }
    }

    /// Iterates over all incarnations that have not ended.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &TargetRecord)> {
        self.records.iter()
    }

    fn insert(&mut self, now: ClockTime, announcement: &TargetAnnouncement) -> TargetKey {
        let stored = without_events(announcement);
        let draining = self.draining.get(&announcement.name) == Some(&announcement.incarnation);
        let record =
            TargetRecord { announcement: stored, last_announced_at: now, silent: false, draining };
        let key = self.records.insert(record);
        let record = NameRecord { newest: announcement.incarnation, current: Some(key) };
        self.names.insert(announcement.name.clone(), record);
        key
    }

    fn refresh(
        &mut self,
        now: ClockTime,
        key: TargetKey,
        announcement: &TargetAnnouncement,
    ) -> Result<(), AnnounceError> {
        let Some(record) = self.records.get_mut(key) else { return Ok(()) };
        let before = &record.announcement;
        if before.pool != announcement.pool || before.kind != announcement.kind {
            return Err(AnnounceError::PlacementChanged { name: announcement.name.clone() });
        }
        let load = before.load;
        record.announcement = without_events(announcement);
        if load.sequence > announcement.load.sequence {
            record.announcement.load = load;
        }
        record.last_announced_at = now;
        record.silent = false;
        Ok(())
    }

    fn remove(&mut self, key: TargetKey) -> Option<TargetChange> {
        let record = self.records.remove(key)?;
        let pool = record.announcement.pool;
        Some(TargetChange { pool, target: key, kind: TargetChangeKind::Crashed })
    }
}

fn check_fields(announcement: &TargetAnnouncement) -> Result<(), AnnounceError> {
    let required = [
        ("name", &announcement.name),
        ("address", &announcement.address),
        ("pool", &announcement.pool),
    ];
    for (field, value) in required {
        if value.is_empty() {
            return Err(AnnounceError::FieldEmpty { field });
        }
    }
    Ok(())
}

fn without_events(announcement: &TargetAnnouncement) -> TargetAnnouncement {
    TargetAnnouncement { cache_events: Vec::new(), ..announcement.clone() }
}
