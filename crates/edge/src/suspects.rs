//! Finds out what crashes targets, and blocks requests that have it.
//!
//! Requests may have something in common: path, credential and body, if they are repeated, or parts
//! of their prompts. All of it is suspected when a target crashes before it has answered a request
//! completely, as is that of the requests beside it. A complete answer clears what its request has.
//! What targets crash under again and again, without a complete answer in between, is blocked, unless
//! something else explains the same crashes ([`verdict`]).
//!
//! Every node sees a share of the crashes and answers. Nodes exchange [`SuspectReport`]s, which can
//! be merged in any order and more than once.

mod record;
mod verdict;

use record::SuspectRecord;
pub use record::{AnswerProgress, SuspectReport};

use crate::placement::TargetKey;
use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time for which crashes are remembered after the last one, in ms.
const CRASH_RETENTION_MS: u64 = 120_000;
/// Time for which something stays blocked after the last crash, in ms.
const BLOCK_RETENTION_MS: u64 = 600_000;
/// Maximum number of suspects that are remembered.
const MAX_RECORDS: usize = 4_096;
/// Number of suspects that are kept when there are more than [`MAX_RECORDS`].
const KEPT_RECORDS: usize = MAX_RECORDS / 8 * 7;
/// Maximum number of suspects in the reports for another node.
const MAX_REPORTS: usize = 256;
/// Number of crashes from which a suspect is reported again to nodes that may have missed them, and
/// from which answers are reported. It bounds the traffic when many targets fail at once.
const REPORTED_CRASHES: usize = 2;
/// Number of recently answered suspects after which the older half is forgotten.
const MAX_ANSWERED: usize = 16_384;

/// Hash of something that requests have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SuspectKey(pub u64);

/// Something that a request may have in common with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTrait {
    /// Hash of it.
    pub key: SuspectKey,
    /// How specific it is to the request. Of several suspects that explain the same crashes, the
    /// most specific one is blocked.
    pub rank: u8,
}

/// Change of what is blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockChange {
    /// What is blocked or no longer blocked.
    pub key: SuspectKey,
    /// Whether it is blocked now.
    pub blocked: bool,
}

/// Tracks the crashes under everything that requests have in common.
#[derive(Debug, Default)]
pub struct SuspectTracker {
    records: BTreeMap<SuspectKey, SuspectRecord>,
    blocked: BTreeSet<SuspectKey>,
    digest: u64,
    /// How far answers got here recently, in two halves of increasing age.
    answered: [HashMap<SuspectKey, AnswerProgress>; 2],
}

impl SuspectTracker {
    /// Records that a target crashed before it had answered a request completely. Returns the
    /// reports for the other nodes.
    pub fn record_crash(
        &mut self,
        traits: &[RequestTrait],
        target: TargetKey,
        now: ClockTime,
    ) -> Vec<SuspectReport> {
        let reports: Vec<_> = traits
            .iter()
            .map(|suspect| {
                let record = self.records.get(&suspect.key);
                let progress = record.map_or(AnswerProgress::None, |record| record.progress);
                SuspectReport {
                    key: suspect.key,
                    rank: suspect.rank,
                    generation: record.map_or(0, |record| record.generation),
                    progress: progress.max(self.progress(suspect.key)),
                    crashes: vec![target],
                    first_age_ms: 0,
                    last_age_ms: 0,
                }
            })
            .collect();
        self.merge(&reports, now);
        reports
    }

    /// Records that a target began to answer a request. It may still crash under it, so this voids
    /// no crashes.
    pub fn record_begin(&mut self, traits: &[RequestTrait]) {
        for suspect in traits {
            self.note_progress(suspect.key, AnswerProgress::Begun);
        }
    }

    /// Records that a target answered a request completely. Returns the reports for the other nodes.
    pub fn record_answer(&mut self, traits: &[RequestTrait], now: ClockTime) -> Vec<SuspectReport> {
        let mut reports = Vec::new();
        for suspect in traits {
            self.note_progress(suspect.key, AnswerProgress::Complete);
            let Some(record) = self.records.get_mut(&suspect.key) else { continue };
            if record.crashes.len() >= REPORTED_CRASHES {
                record.clear();
                reports.push(record.report(suspect.key, now));
            }
        }
        reports
    }

    /// Adds what other nodes have seen, or what was known before a restart.
    pub fn merge(&mut self, reports: &[SuspectReport], now: ClockTime) {
        for report in reports {
            let progress = self.progress(report.key);
            let record = self.records.entry(report.key).or_insert_with(|| SuspectRecord::new(now));
            record.merge(report, now);
            record.progress = record.progress.max(progress);
        }
        if self.records.len() > MAX_RECORDS {
            self.forget_unlikely();
        }
    }

    /// Removes the suspects with the fewest crashes, the oldest first. One crash makes thousands of
    /// parts suspect if the prompts are long, and the cause is among those with the most crashes.
    fn forget_unlikely(&mut self) {
        let unblocked = self.records.iter().filter(|(key, _)| !self.blocked.contains(key));
        let mut unlikely: Vec<_> = unblocked
            .map(|(key, record)| (record.crashes.len(), record.last.as_ms(), *key))
            .collect();
        unlikely.sort_unstable();
        for (_, _, key) in unlikely.iter().take(self.records.len() - KEPT_RECORDS) {
            self.records.remove(key);
        }
    }

    /// Decides anew what is blocked. Returns the changes.
    pub fn update_blocked(&mut self, now: ClockTime) -> Vec<BlockChange> {
        let before = std::mem::take(&mut self.blocked);
        self.records.retain(|key, record| {
            let blocked = before.contains(key);
            let kept_ms = if blocked { BLOCK_RETENTION_MS } else { CRASH_RETENTION_MS };
            now.since(record.last) <= kept_ms
        });
        self.blocked = verdict::blocked(&self.records);
        self.digest = self.compute_digest();
        let changed = before.symmetric_difference(&self.blocked);
        changed.map(|key| BlockChange { key: *key, blocked: !before.contains(key) }).collect()
    }

    /// Returns what a request has that is blocked. `None` if the request may be sent.
    pub fn find_blocked(&self, traits: &[RequestTrait]) -> Option<SuspectKey> {
        traits.iter().map(|suspect| suspect.key).find(|key| self.blocked.contains(key))
    }

    /// Returns the number of suspects and the number of those that are blocked.
    pub fn counts(&self) -> (usize, usize) {
        (self.records.len(), self.blocked.len())
    }

    /// Returns a hash of what other nodes should know, as of the last decision. Nodes that know the
    /// same have the same hash; it is 0 if there is nothing to know.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    fn compute_digest(&self) -> u64 {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        let mut any = false;
        for (key, record) in self.reported_records() {
            any = true;
            for part in [key.0, record.generation.into(), record.crashes.len() as u64] {
                hash.update(&part.to_le_bytes());
            }
        }
        if any { hash.digest() } else { 0 }
    }

    /// Returns what other nodes should know.
    pub fn reports(&self, now: ClockTime) -> Vec<SuspectReport> {
        let mut records: Vec<_> = self.reported_records().collect();
        records.sort_by_key(|(key, record)| {
            let crashes = Reverse(record.crashes.len());
            (!self.blocked.contains(key), crashes, now.since(record.last))
        });
        let newest = records.iter().take(MAX_REPORTS);
        newest.map(|(key, record)| record.report(**key, now)).collect()
    }

    /// Returns what has to be known after a restart: the suspects that are blocked.
    pub fn blocked_reports(&self, now: ClockTime) -> Vec<SuspectReport> {
        let blocked = self.blocked.iter().filter_map(|key| self.records.get_key_value(key));
        blocked.map(|(key, record)| record.report(*key, now)).collect()
    }

    /// Returns one line per suspect that other nodes should know, for state dumps.
    pub fn describe(&self, now: ClockTime) -> Vec<String> {
        let lines = self.reported_records().map(|(key, record)| {
            format!(
                "suspect={:x} blocked={} rank={} generation={} answered={:?} crashes={} last_ms={}",
                key.0,
                self.blocked.contains(key),
                record.rank,
                record.generation,
                record.progress,
                record.crashes.len(),
                now.since(record.last)
            )
        });
        lines.collect()
    }

    fn reported_records(&self) -> impl Iterator<Item = (&SuspectKey, &SuspectRecord)> {
        self.records.iter().filter(|(_, record)| record.crashes.len() >= REPORTED_CRASHES)
    }

    fn note_progress(&mut self, key: SuspectKey, progress: AnswerProgress) {
        let progress = progress.max(self.progress(key));
        if self.answered[0].len() >= MAX_ANSWERED {
            self.answered.swap(0, 1);
            self.answered[0].clear();
        }
        self.answered[0].insert(key, progress);
        if let Some(record) = self.records.get_mut(&key) {
            record.progress = record.progress.max(progress);
        }
    }

    /// Returns how far answers to requests that have a suspect got here recently.
    fn progress(&self, key: SuspectKey) -> AnswerProgress {
        let known = self.answered.iter().filter_map(|half| half.get(&key));
        known.max().copied().unwrap_or_default()
    }
}
