//! Requests that were refused as `not_run` and must not be claimed until a given time.

use crate::clock::ClockTime;
use crate::keys::RequestKey;
use crate::outcome::ReasonCode;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Refusal of a request whose caller may be told `not_run`.
///
/// Without this record, a delayed submit of an earlier attempt, for example from an entry that was
/// paused, could run the request after its caller was told that it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusalRecord {
    /// Key of the request.
    pub key: RequestKey,
    /// State machine time from which the key may be claimed again.
    pub until: ClockTime,
    /// Why the request was refused.
    pub reason: ReasonCode,
}

/// Refusals by key and by expiry time.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusalTable {
    records: BTreeMap<RequestKey, RefusalRecord>,
    by_expiry: BTreeSet<(ClockTime, RequestKey)>,
}

impl RefusalTable {
    /// Returns the refusal of a key if it is in force.
    pub(super) fn find(&self, key: RequestKey, now: ClockTime) -> Option<RefusalRecord> {
        self.records.get(&key).copied().filter(|record| record.until > now)
    }

    /// Records a refusal and replaces an earlier one of the same key.
    pub(super) fn insert(&mut self, record: RefusalRecord) {
        if let Some(replaced) = self.records.insert(record.key, record) {
            self.by_expiry.remove(&(replaced.until, record.key));
        }
        self.by_expiry.insert((record.until, record.key));
    }

    /// Removes at most `budget` expired refusals and returns how many were removed.
    pub(super) fn expire(&mut self, now: ClockTime, budget: usize) -> usize {
        let mut removed = 0;
        while removed < budget
            && let Some(&(until, key)) = self.by_expiry.first()
            && until <= now
        {
            self.by_expiry.pop_first();
            self.records.remove(&key);
            removed += 1;
        }
        removed
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns all records in ascending order of their keys.
    pub(super) fn to_records(&self) -> Vec<RefusalRecord> {
        self.records.values().copied().collect()
    }

    pub(super) fn from_records(records: Vec<RefusalRecord>) -> Self {
        let mut table = Self::default();
        records.into_iter().for_each(|record| table.insert(record));
        table
    }
}
