//! Tracks requests that are suspected of crashing the targets that run them.

use burdockcleat_core::clock::ClockTime;
use std::collections::{BTreeMap, BTreeSet};

/// Hash that identifies equal requests by path, credential and body.
pub type FingerprintKey = u64;

/// Number of different target incarnations that must fail while running a request before it is
/// blocked. A harmless request that runs on the same target as a crashing one fails with it once,
/// or twice if the crashing request is then also sent to the harmless one's second target.
const BLOCK_THRESHOLD: usize = 3;
/// Time for which a fingerprint is kept after its last failure, in ms.
const RETENTION_MS: u64 = 120_000;
/// Maximum number of fingerprints that are kept.
const MAX_FINGERPRINTS: usize = 4_096;

/// Records the target incarnations that failed while running a request, by fingerprint.
#[derive(Debug, Default)]
pub struct SuspectTracker {
    crashes: BTreeMap<FingerprintKey, (BTreeSet<String>, ClockTime)>,
}

impl SuspectTracker {
    /// Records that a target failed while it ran the request. Returns the number of different
    /// incarnations that failed so far.
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

    /// Returns whether the request must not be sent to any target.
    pub fn is_blocked(&self, key: FingerprintKey, now: ClockTime) -> bool {
        self.crashes.get(&key).is_some_and(|(incarnations, last)| {
            incarnations.len() >= BLOCK_THRESHOLD && now.since(*last) <= RETENTION_MS
        })
    }
}
