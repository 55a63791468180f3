//! Suspect requests: fingerprints of requests that may have caused crashes of targets.

use crate::clock::ClockTime;
use crate::keys::RequestFingerprint;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time after which a mark is removed, in milliseconds.
///
/// Equals the longest retention of a claim, after which a resend counts as a new request.
pub const MARK_RETENTION_MS: u64 = super::claim::NON_IDEMPOTENT_RETENTION_MS;

/// Suspect mark: a target crashed while it ran a request with this fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Name of the target that crashed.
    pub target: String,
    /// Wall time of the latest such crash.
    pub at: ClockTime,
}

/// Suspect marks by fingerprint and target, and the end of each quarantine.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub(super) struct SuspectTable {
    marks: BTreeMap<RequestFingerprint, BTreeMap<String, ClockTime>>,
    quarantines: BTreeMap<RequestFingerprint, ClockTime>,
}

impl SuspectTable {
    pub(super) fn mark(&mut self, fingerprint: RequestFingerprint, target: &str, at: ClockTime) {
        let targets = self.marks.entry(fingerprint).or_default();
        let last = targets.entry(target.to_owned()).or_default();
        *last = at.max(*last);
    }

    pub(super) fn clear(&mut self, fingerprint: RequestFingerprint) {
        self.marks.remove(&fingerprint);
    }

    pub(super) fn quarantine(&mut self, fingerprint: RequestFingerprint, until: ClockTime) {
        let end = self.quarantines.entry(fingerprint).or_default();
        *end = until.max(*end);
    }

    pub(super) fn expire(&mut self, now: ClockTime) {
        self.quarantines.retain(|_, end| *end > now);
        self.marks.retain(|_, targets| {
            targets.retain(|_, at| now.since(*at) <= MARK_RETENTION_MS);
            !targets.is_empty()
        });
    }

    /// Returns the end of the quarantine of a fingerprint if it is later than `now`.
    pub(super) fn quarantine_end(
        &self,
        fingerprint: RequestFingerprint,
        now: ClockTime,
    ) -> Option<ClockTime> {
        self.quarantines.get(&fingerprint).copied().filter(|&end| end > now)
    }

    pub(super) fn marks(&self) -> impl Iterator<Item = SuspectRecord> + '_ {
        self.marks.iter().flat_map(|(&fingerprint, targets)| {
            targets.iter().map(move |(target, &at)| SuspectRecord {
                fingerprint,
                target: target.clone(),
                at,
            })
        })
    }

    pub(super) fn quarantines_len(&self) -> usize {
        self.quarantines.len()
    }
}
