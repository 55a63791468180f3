//! Calculates the wasted prefill from the journals of the engines.

use crate::journal::{DispatchEnd, TargetJournal};
use crate::prompt::TOKENS_PER_BLOCK;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Prompt tokens of a run by their use.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PrefillReport {
    /// Number of dispatches that the engines received.
    pub dispatches: u64,
    /// Number of requests that were dispatched more than once.
    pub repeated_dispatches: u64,
    /// Prompt tokens of all dispatches.
    pub prompt_tokens: u64,
    /// Prompt tokens read from a prefix cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Computed tokens of requests that did not complete.
    pub discarded_tokens: u64,
    /// Computed tokens of completed requests whose block an engine had already computed.
    pub recomputed_tokens: u64,
    /// Discarded and recomputed tokens, as a share of the computed tokens.
    pub wasted_share: f64,
}

/// Adds up the prefill in the journals of the engines of one pool.
///
/// ```
/// use burdockcleat_testbed::journal::{DispatchEnd, DispatchRecord, TargetJournal};
/// use burdockcleat_testbed::load::measure_prefill;
/// let record = |id: &str, at_ms, end| DispatchRecord {
///     request_id: id.to_owned(),
///     at_ms,
///     prompt_tokens: 20,
///     computed_tokens: 20,
///     computed_blocks: vec![7],
///     end,
///     ..DispatchRecord::default()
/// };
/// let mut one = TargetJournal::default();
/// one.dispatches = vec![record("a", 1, DispatchEnd::Completed)];
/// let mut two = TargetJournal::default();
/// two.dispatches =
///     vec![record("b", 2, DispatchEnd::Completed), record("c", 3, DispatchEnd::Cancelled)];
/// let report = measure_prefill(&[one, two]);
/// assert_eq!((report.discarded_tokens, report.recomputed_tokens), (20, 16));
/// ```
pub fn measure_prefill(journals: &[TargetJournal]) -> PrefillReport {
    let mut report = PrefillReport::default();
    let mut records: Vec<_> = journals.iter().flat_map(|journal| &journal.dispatches).collect();
    records.sort_by_key(|record| record.at_ms);
    let mut computed = HashSet::new();
    let mut counts: HashMap<&str, u64> = HashMap::new();
    for record in records {
        *counts.entry(&record.request_id).or_default() += 1;
        report.dispatches += 1;
        report.prompt_tokens += u64::from(record.prompt_tokens);
        report.cached_tokens += u64::from(record.cached_tokens);
        report.computed_tokens += u64::from(record.computed_tokens);
        let recomputed_blocks =
            record.computed_blocks.iter().filter(|block| !computed.insert(**block)).count();
        if record.end == DispatchEnd::Completed {
            report.recomputed_tokens += recomputed_blocks as u64 * u64::from(TOKENS_PER_BLOCK);
        } else {
            report.discarded_tokens += u64::from(record.computed_tokens);
        }
    }
    report.repeated_dispatches = counts.values().filter(|count| **count > 1).count() as u64;
    let wasted = report.discarded_tokens + report.recomputed_tokens;
    report.wasted_share = wasted as f64 / (report.computed_tokens as f64).max(1.0);
    report
}
