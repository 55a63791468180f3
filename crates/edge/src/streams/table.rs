//! Table of the streams that a node knows, with the queues of those to be passed on and stored.

use super::{ServiceKey, StreamGroup, StreamKey, StreamRecord};
use crate::placement::VersionKey;
use burdockcleat_core::clock::ClockTime;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Shortest retention of a record, in ms.
const MIN_RETENTION_MS: u64 = 30_000;
/// Retention of a record as a multiple of the longest timeout of a route. A stream may break off at
/// the end of its time and be taken up again later.
const RETENTION_TIMEOUTS: u64 = 2;

/// Records of streams. Each is kept for one to two retention times.
#[derive(Debug)]
pub struct StreamTable {
    /// Records since the last turn.
    current: HashMap<StreamKey, VersionKey>,
    /// Records of the retention time before the last turn.
    previous: HashMap<StreamKey, VersionKey>,
    /// Service of each version in the table.
    services: BTreeMap<VersionKey, ServiceKey>,
    turned: ClockTime,
    retention_ms: u64,
    /// Records of streams of this node's own callers, in the order of time.
    reported: VecDeque<(ClockTime, StreamRecord)>,
    /// Records that were not passed on yet.
    unrelayed: Vec<StreamRecord>,
    /// Records that were passed on once.
    relayed: Vec<StreamRecord>,
    /// Records that are not on the disk yet, in the order of time. `None` without a disk.
    unwritten: Option<VecDeque<(ClockTime, StreamRecord)>>,
}

impl StreamTable {
    /// Creates an empty table. `stored` tells whether the node stores its records.
    pub fn new(stored: bool) -> Self {
        Self {
            current: HashMap::new(),
            previous: HashMap::new(),
            services: BTreeMap::new(),
            turned: ClockTime::from_ms(0),
            retention_ms: MIN_RETENTION_MS,
            reported: VecDeque::new(),
            unrelayed: Vec::new(),
            relayed: Vec::new(),
            unwritten: stored.then(VecDeque::new),
        }
    }

    /// Sets the retention for the longest timeout of a route, in ms.
    pub fn set_longest_timeout(&mut self, timeout_ms: u64) {
        self.retention_ms = timeout_ms.saturating_mul(RETENTION_TIMEOUTS).max(MIN_RETENTION_MS);
    }

    /// Returns the time for which a record is kept at least, in ms.
    pub const fn retention_ms(&self) -> u64 {
        self.retention_ms
    }

    /// Inserts a record, unless the stream is known. Returns whether it was unknown.
    pub fn insert(&mut self, record: StreamRecord, now: ClockTime) -> bool {
        let inserted = self.restore(record);
        if inserted && let Some(unwritten) = &mut self.unwritten {
            unwritten.push_back((now, record));
        }
        inserted
    }

    /// Inserts a record that was read from the disk, unless the stream is known. Returns whether it
    /// was unknown.
    pub fn restore(&mut self, record: StreamRecord) -> bool {
        if self.find(record.stream).is_some() {
            return false;
        }
        self.services.insert(record.version, record.service);
        self.current.insert(record.stream, record.version);
        true
    }

    /// Returns the record of a stream.
    pub fn find(&self, stream: StreamKey) -> Option<StreamRecord> {
        let version = self.current.get(&stream).or_else(|| self.previous.get(&stream))?;
        let service = self.services.get(version)?;
        Some(StreamRecord { stream, service: *service, version: *version })
    }

    /// Queues a record of a stream of an own caller for [`Self::recent_reports`].
    pub fn report(&mut self, record: StreamRecord, now: ClockTime) {
        self.reported.push_back((now, record));
    }

    /// Returns the newest queued records that are not older than `window_ms`, at most `limit`, and
    /// removes the older ones.
    pub fn recent_reports(
        &mut self,
        window_ms: u64,
        limit: usize,
        now: ClockTime,
    ) -> Vec<StreamGroup> {
        drop_older(&mut self.reported, window_ms, now);
        let newest = self.reported.iter().rev().take(limit);
        StreamGroup::collect(&newest.map(|(_, record)| *record).collect::<Vec<_>>())
    }

    /// Queues a record for [`Self::take_relays`].
    pub fn relay(&mut self, record: StreamRecord) {
        self.unrelayed.push(record);
    }

    /// Returns the records that are to be passed on now. Each is returned by two successive calls, so
    /// that a lost datagram loses none.
    pub fn take_relays(&mut self) -> Vec<StreamRecord> {
        let mut records = std::mem::take(&mut self.relayed);
        records.extend(&self.unrelayed);
        self.relayed = std::mem::take(&mut self.unrelayed);
        records
    }

    /// Takes the oldest records that are not on the disk yet, at most `limit`.
    pub fn take_unwritten(&mut self, limit: usize) -> Vec<StreamRecord> {
        let Some(unwritten) = &mut self.unwritten else { return Vec::new() };
        let taken = unwritten.drain(..unwritten.len().min(limit));
        taken.map(|(_, record)| record).collect()
    }

    /// Removes what is older than the retention. While nothing can be written, records that wait for
    /// the disk are removed as well.
    pub fn prune(&mut self, now: ClockTime) {
        if let Some(unwritten) = &mut self.unwritten {
            drop_older(unwritten, self.retention_ms, now);
        }
        drop_older(&mut self.reported, self.retention_ms, now);
        if now.since(self.turned) < self.retention_ms {
            return;
        }
        self.turned = now;
        self.previous = std::mem::take(&mut self.current);
        let versions: BTreeSet<_> = self.previous.values().copied().collect();
        self.services.retain(|version, _| versions.contains(version));
    }

    /// Returns the number of records, for metrics.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn drop_older(records: &mut VecDeque<(ClockTime, StreamRecord)>, age_ms: u64, now: ClockTime) {
    let older = records.partition_point(|(since, _)| now.since(*since) > age_ms);
    records.drain(..older);
}
