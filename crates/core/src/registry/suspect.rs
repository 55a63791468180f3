//! Tracks requests suspected of crashing targets.

use crate::clock::ClockTime;
use crate::keys::{RequestFingerprint, TargetIdentity};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Lifetime of a suspect mark and of the quarantine that it causes, in milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;

/// Maximum number of fingerprints. The one with the oldest mark is evicted first.
const MAX_FINGERPRINTS: usize = 4_096;

/// A change of the suspect table that is written to the replicated log.
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
    /// The request completed, so its marks are removed.
    Clear {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
    },
}

#[derive(Clone, Debug, Default)]
struct SuspectRecord {
    crashes: BTreeSet<TargetIdentity>,
    last_marked_at: ClockTime,
}

impl SuspectRecord {
    fn target_count(&self) -> usize {
        let names: BTreeSet<&str> = self.crashes.iter().map(|crash| crash.name.as_str()).collect();
        names.len()
    }
}

/// Crashes in which each request fingerprint was running.
///
/// A fingerprint is quarantined if it was running during crashes of two different targets and no
/// other fingerprint was running during all of the same crashes. Fingerprints with the same crashes
/// are indistinguishable, so they run isolated until one of them completes or crashes a target
/// alone.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    records: BTreeMap<RequestFingerprint, SuspectRecord>,
    by_crash: BTreeMap<TargetIdentity, BTreeSet<RequestFingerprint>>,
    by_age: BTreeSet<(ClockTime, RequestFingerprint)>,
}

impl SuspectTable {
    /// Applies a change made by this leader or read from the replicated log.
    pub fn apply(&mut self, now: ClockTime, change: &SuspectChange) {
        match change {
            SuspectChange::Mark { fingerprint, target } => self.mark(now, *fingerprint, target),
            SuspectChange::Clear { fingerprint } => self.remove(*fingerprint),
        }
    }

    /// Whether the fingerprint has a mark that has not expired.
    pub fn is_marked(&self, now: ClockTime, fingerprint: RequestFingerprint) -> bool {
        self.records
            .get(&fingerprint)
            .is_some_and(|record| now.since(record.last_marked_at) < QUARANTINE_MS)
    }

    /// Returns the time until the quarantine of the fingerprint ends, in milliseconds. `None` if it
    /// is not quarantined.
    pub fn quarantine_remaining_ms(
        &self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
    ) -> Option<u64> {
        let record = self.records.get(&fingerprint)?;
        let age = now.since(record.last_marked_at);
        if age >= QUARANTINE_MS || record.target_count() < 2 {
            return None;
        }
        let crash = record.crashes.first()?;
        let has_alternative_suspect = self.by_crash.get(crash).into_iter().flatten().any(|other| {
            *other != fingerprint
                && self
                    .records
                    .get(other)
                    .is_some_and(|other_record| other_record.crashes.is_superset(&record.crashes))
        });
        if has_alternative_suspect { None } else { Some(QUARANTINE_MS - age) }
    }

    /// Removes expired marks. Costs O(log n) per removed fingerprint.
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
        self.by_age.remove(&(record.last_marked_at, fingerprint));
        record.last_marked_at = now;
        record.crashes.insert(target.clone());
        self.by_age.insert((now, fingerprint));
        self.by_crash.entry(target.clone()).or_default().insert(fingerprint);
        if self.records.len() > MAX_FINGERPRINTS
            && let Some((_, oldest)) = self.by_age.first().copied()
        {
            self.remove(oldest);
        }
    }

    fn remove(&mut self, fingerprint: RequestFingerprint) {
        let Some(record) = self.records.remove(&fingerprint) else { return };
        self.by_age.remove(&(record.last_marked_at, fingerprint));
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
