//! Decides which suspects are blocked.
//!
//! Sound requests share targets, callers and parts of their prompts with those that crash targets,
//! so the same crashes are counted for them too. A crash that one blocked suspect explains does not
//! count for the others.

use super::SuspectKey;
use super::record::SuspectRecord;
use crate::placement::TargetKey;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// Number of crashed targets after which a suspect that was never answered is blocked. A sound
/// request that is sent again may share its target with the cause twice.
const BLOCK_CRASHES: usize = 3;
/// Number of crashed targets after which a suspect that was answered earlier is blocked.
const ANSWERED_BLOCK_CRASHES: usize = 6;
/// Time between the first and the last of these crashes, in ms. Many targets may fail at once for
/// a reason of their own, under what most requests have in common.
const ANSWERED_BLOCK_SPAN_MS: u64 = 1_000;

/// Returns the suspects that are needed to explain the crashes. Those that were never answered come
/// first, then those with the most crashes, then the most specific ones.
pub(super) fn blocked(records: &BTreeMap<SuspectKey, SuspectRecord>) -> BTreeSet<SuspectKey> {
    let mut candidates: Vec<_> =
        records.iter().filter(|(_, record)| is_blockable(record, record.crashes.len())).collect();
    let mut explained: HashSet<TargetKey> = HashSet::new();
    let mut blocked = BTreeSet::new();
    loop {
        let unexplained = |record: &SuspectRecord| {
            record.crashes.iter().filter(|target| !explained.contains(target)).count()
        };
        candidates.retain(|(_, record)| is_blockable(record, unexplained(record)));
        let best = candidates.iter().min_by_key(|(key, record)| {
            (record.answered, Reverse(unexplained(record)), Reverse(record.rank), **key)
        });
        let Some((key, record)) = best else { return blocked };
        blocked.insert(**key);
        explained.extend(&record.crashes);
    }
}

fn is_blockable(record: &SuspectRecord, crashes: usize) -> bool {
    if record.answered {
        let span_ms = record.last.since(record.first);
        crashes >= ANSWERED_BLOCK_CRASHES && span_ms >= ANSWERED_BLOCK_SPAN_MS
    } else {
        crashes >= BLOCK_CRASHES
    }
}
