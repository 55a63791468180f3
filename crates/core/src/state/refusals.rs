//! Requests that were refused as `not_run` and must not be claimed for a while.

use crate::clock::ClockTime;
use crate::keys::RequestKey;
use crate::outcome::ReasonCode;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A request whose caller may be told `not_run`.
///
/// Without the record, a submit of an earlier attempt that arrives late, for example from an
/// entry that was frozen, could run the request after its caller was told that it did not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusalRecord {
    /// Key of the request.
    pub key: RequestKey,
    /// Time of the machine from which the key may be claimed again.
    pub until: ClockTime,
    /// Why the request was refused.
    pub reason: ReasonCode,
}

#[derive(Clone, Debug, Default)]
pub(super) struct RefusalTable {
    records: BTreeMap<RequestKey, RefusalRecord>,
    ends: BTreeSet<(ClockTime, RequestKey)>,
}

impl RefusalTable {
    /// The refusal of a key that is in force.
    pub(super) fn find(&self, key: RequestKey, now: ClockTime) -> Option<RefusalRecord> {
        self.records.get(&key).copied().filter(|record| record.until > now)
    }

    /// Records a refusal; an earlier one of the same key is replaced.
    pub(super) fn insert(&mut self, record: RefusalRecord) {
        if let Some(replaced) = self.records.insert(record.key, record) {
            self.ends.remove(&(replaced.until, record.key));
        }
        self.ends.insert((record.until, record.key));
    }

    /// Removes at most `budget` refusals that have ended and returns their number.
    pub(super) fn expire(&mut self, now: ClockTime, budget: usize) -> usize {
        let mut removed = 0;
        while removed < budget
            && let Some(&(until, key)) = self.ends.first()
            && until <= now
        {
            self.ends.pop_first();
            self.records.remove(&key);
            removed += 1;
        }
        removed
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// All records, in ascending order of their keys.
    pub(super) fn image(&self) -> Vec<RefusalRecord> {
        self.records.values().copied().collect()
    }

    pub(super) fn from_image(image: Vec<RefusalRecord>) -> Self {
        let mut table = Self::default();
        image.into_iter().for_each(|record| table.insert(record));
        table
    }
}
