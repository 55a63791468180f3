//! Decides which suspects are blocked.
//!
//! Sound requests share targets, callers and parts of their prompts with those that crash targets,
//! so the same crashes are counted for them too. A crash that one blocked suspect explains does not
//! count for the others.

use super::SuspectKey;
use super::record::{AnswerProgress, SuspectRecord};
use crate::placement::TargetKey;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// Crashes after which a suspect is blocked.
struct BlockThreshold {
    /// Number of crashed targets.
    crashes: usize,
    /// Time between the first and the last crash, in ms.
    span_ms: u64,
}

/// Threshold for a suspect that no target began to answer. A sound request that is sent again may
/// share its target with the cause twice.
const UNANSWERED: BlockThreshold = BlockThreshold { crashes: 3, span_ms: 0 };
/// Threshold for a suspect that targets began to answer, but never completely. Streams of a new
/// prompt may run at several targets that fail at once for a reason of their own.
const BEGUN: BlockThreshold = BlockThreshold { crashes: 5, span_ms: 500 };
/// Threshold for a suspect that was answered completely before. Many targets may fail at once under
/// what most requests have in common.
const ANSWERED: BlockThreshold = BlockThreshold { crashes: 6, span_ms: 1_000 };

/// Returns the suspects that are needed to explain the crashes. Those that were never answered
/// completely come first, then those with the most crashes, then the most specific ones.
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
            let answered = record.progress == AnswerProgress::Complete;
            (answered, Reverse(unexplained(record)), Reverse(record.rank), **key)
        });
        let Some((key, record)) = best else { return blocked };
        blocked.insert(**key);
        explained.extend(&record.crashes);
    }
}

fn is_blockable(record: &SuspectRecord, crashes: usize) -> bool {
    let threshold = match record.progress {
        AnswerProgress::None => UNANSWERED,
        AnswerProgress::Begun => BEGUN,
        AnswerProgress::Complete => ANSWERED,
    };
    crashes >= threshold.crashes && record.last.since(record.first) >= threshold.span_ms
}
