//! Requests suspected of crashing targets.

use crate::clock::ClockTime;
use crate::keys::{RequestFingerprint, TargetIdentity};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a mark and the quarantine that follows from it hold, in milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;

/// Fingerprints kept at most. The one with the oldest mark is dropped first.
const TABLE_LIMIT: usize = 4_096;

/// A change of the table, to be written to the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SuspectChange {
    /// The request was running on a target that crashed.
    Mark {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Incarnation that crashed.
        target: TargetIdentity,
    },
    /// The request completed, so its marks are void.
    Clear {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
    },
}

#[derive(Clone, Debug, Default)]
struct SuspectRecord {
    crashes: BTreeSet<TargetIdentity>,
    newest: ClockTime,
}

impl SuspectRecord {
    fn targets(&self) -> usize {
        let names: BTreeSet<&str> = self.crashes.iter().map(|crash| crash.name.as_str()).collect();
        names.len()
    }
}

/// Marks per fingerprint.
///
/// A fingerprint is quarantined if it was running in crashes of two different targets, and no
/// other fingerprint was running in all of the same crashes. Two fingerprints with the same
/// crashes cannot be told apart; both run isolated until one of them completes or crashes alone.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    records: BTreeMap<RequestFingerprint, SuspectRecord>,
    by_crash: BTreeMap<TargetIdentity, BTreeSet<RequestFingerprint>>,
    by_age: BTreeSet<(ClockTime, RequestFingerprint)>,
}

impl SuspectTable {
    /// Applies a change, of this leader or from the replicated log.
    pub fn apply(&mut self, now: ClockTime, change: &SuspectChange) {
        match change {
            SuspectChange::Mark { fingerprint, target } => self.mark(now, *fingerprint, target),
            SuspectChange::Clear { fingerprint } => self.remove(*fingerprint),
        }
    }

    /// Whether the fingerprint has a mark that still holds.
    pub fn is_marked(&self, now: ClockTime, fingerprint: RequestFingerprint) -> bool {
        self.records
            .get(&fingerprint)
            .is_some_and(|record| now.since(record.newest) < QUARANTINE_MS)
    }

    /// Time until the quarantine of the fingerprint ends, if it is quarantined.
    pub fn quarantine_remaining_ms(
        &self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
    ) -> Option<u64> {
        let record = self.records.get(&fingerprint)?;
        let age = now.since(record.newest);
        if age >= QUARANTINE_MS || record.targets() < 2 {
            return None;
        }
        let crash = record.crashes.first()?;
        let explained = self.by_crash.get(crash).into_iter().flatten().any(|other| {
            *other != fingerprint
                && self
                    .records
                    .get(other)
                    .is_some_and(|rival| rival.crashes.is_superset(&record.crashes))
        });
        if explained { None } else { Some(QUARANTINE_MS - age) }
    }

    /// Drops marks that no longer hold. Costs O(log n) per dropped fingerprint.
    pub fn expire(&mut self, now: ClockTime) {
        while let Some((at, fingerprint)) = self.by_age.first().copied() {
            if now.since(at) < QUARANTINE_MS {
                return;
            }
            self.remove(fingerprint);
        }
    }

    fn mark(&mut self, now: ClockTime, fingerprint: RequestFingerprint, target: &TargetIdentity) {
        let record = self.records.entry(fingerprint).or_default();
        self.by_age.remove(&(record.newest, fingerprint));
        record.newest = now;
        record.crashes.insert(target.clone());
        self.by_age.insert((now, fingerprint));
        self.by_crash.entry(target.clone()).or_default().insert(fingerprint);
        if self.records.len() > TABLE_LIMIT
            && let Some((_, oldest)) = self.by_age.first().copied()
        {
            self.remove(oldest);
        }
    }

    fn remove(&mut self, fingerprint: RequestFingerprint) {
        let Some(record) = self.records.remove(&fingerprint) else { return };
        self.by_age.remove(&(record.newest, fingerprint));
        for crash in &record.crashes {
            if let Some(members) = self.by_crash.get_mut(crash) {
                members.remove(&fingerprint);
                if members.is_empty() {
                    self.by_crash.remove(crash);
                }
            }
        }
    }
}
