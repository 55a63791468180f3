//! Requests suspected of crashing the targets that run them.

use burdockcleat_core::clock::ClockTime;
use std::collections::{BTreeMap, BTreeSet};

/// Hash of what makes two requests the same: path, credential and body.
pub type FingerprintKey = u64;

/// Different targets that a request must have seen break before it is refused. Requests that only
/// shared a target with the culprit break with it once, or twice when the culprit follows them.
const BLOCK_THRESHOLD: usize = 3;
/// Time that a suspicion is kept, in ms.
const RETENTION_MS: u64 = 120_000;
/// Largest number of fingerprints kept.
const MAX_FINGERPRINTS: usize = 4_096;

/// Targets that broke while they ran a request, by fingerprint.
#[derive(Debug, Default)]
pub struct SuspectTracker {
    crashes: BTreeMap<FingerprintKey, (BTreeSet<String>, ClockTime)>,
}

impl SuspectTracker {
    /// Records that a target broke while it ran the request. Returns the number of different
    /// incarnations seen.
    pub fn record(&mut self, key: FingerprintKey, incarnation: &str, now: ClockTime) -> usize {
        if self.crashes.len() >= MAX_FINGERPRINTS {
            self.crashes.retain(|_, (_, last)| now.since(*last) <= RETENTION_MS);
        }
        if self.crashes.len() >= MAX_FINGERPRINTS {
            let oldest =
                self.crashes.iter().min_by_key(|(_, (_, last))| *last).map(|(key, _)| *key);
            oldest.and_then(|key| self.crashes.remove(&key));
        }
        let (incarnations, last) = self.crashes.entry(key).or_default();
        incarnations.insert(incarnation.to_owned());
        *last = now;
        incarnations.len()
    }

    /// Whether the request may not be sent to any target.
    pub fn is_blocked(&self, key: FingerprintKey, now: ClockTime) -> bool {
        self.crashes.get(&key).is_some_and(|(incarnations, last)| {
            incarnations.len() >= BLOCK_THRESHOLD && now.since(*last) <= RETENTION_MS
        })
    }
}
