//! Lower bounds of wasted prefill, computed from a workload alone.

use crate::engine::{BLOCK_TOKENS, EngineSpec};
use crate::workload::PlannedRequest;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Wasted prompt tokens that no routing policy can avoid, under the assumption of each field.
#[derive(Clone, Copy, Debug, Default)]
pub struct WasteBounds {
    /// All engines share one cache, and every request is served on arrival.
    pub shared_cache: f64,
    /// Prefixes whose concurrent streams fill more than one engine are computed on each of them.
    /// Every request is served on arrival by an engine of mean speed.
    pub prefix_copies: f64,
    /// Prompt tokens that are computed for the first time. They are not wasted.
    pub useful: f64,
}

impl WasteBounds {
    /// Computes the bounds for a workload.
    pub fn compute(plan: &[PlannedRequest], engines: &[EngineSpec]) -> Self {
        let block = f64::from(BLOCK_TOKENS);
        let limit: usize = engines.iter().map(|engine| engine.cache_blocks).sum();
        let (mut last_use, mut by_last_use) = (HashMap::new(), BTreeMap::new());
        let (mut seen, mut next) = (HashSet::new(), 0_u64);
        let mut bounds = Self::default();
        for request in plan {
            for hash in request.hashes.iter().rev() {
                next += 1;
                if let Some(old) = last_use.insert(*hash, next) {
                    by_last_use.remove(&old);
                } else if seen.insert(*hash) {
                    bounds.useful += block;
                } else {
                    bounds.shared_cache += block;
                }
                by_last_use.insert(next, *hash);
            }
            while last_use.len() > limit
                && let Some((_, hash)) = by_last_use.pop_first()
            {
                last_use.remove(&hash);
            }
        }
        bounds.prefix_copies = prefix_copies(plan, engines);
        bounds
    }
}

/// Returns the prompt tokens of the additional copies of prefixes that peaks in the number of
/// concurrent streams need.
fn prefix_copies(plan: &[PlannedRequest], engines: &[EngineSpec]) -> f64 {
    let count = engines.len().max(1) as f64;
    let rate = engines.iter().map(|engine| engine.decode_rate).sum::<f64>() / count;
    let slots = engines.iter().map(|engine| engine.slots).max().unwrap_or(1).max(1);
    let mut uses: HashMap<u64, u32> = HashMap::new();
    for hash in plan.iter().flat_map(|request| &request.hashes) {
        *uses.entry(*hash).or_default() += 1;
    }
    // The number of shared blocks and the starts and ends of the streams, by first block.
    let mut prefixes: HashMap<u64, (usize, Vec<(u64, i32)>)> = HashMap::new();
    for request in plan {
        let shared = request.hashes.iter().take_while(|hash| uses[*hash] > 1).count();
        let Some(first) = request.hashes.first().filter(|_| shared > 0) else { continue };
        let end = request.arrival_ms + (f64::from(request.output) / rate) as u64;
        let (blocks, edges) = prefixes.entry(*first).or_default();
        *blocks = (*blocks).max(shared);
        edges.extend([(request.arrival_ms, 1), (end, -1)]);
    }
    let copies = prefixes.into_values().map(|(blocks, mut edges)| {
        edges.sort_unstable();
        let (mut running, mut peak) = (0_i32, 0_i32);
        for (_, change) in edges {
            running += change;
            peak = peak.max(running);
        }
        let needed = peak.unsigned_abs().div_ceil(slots).min(engines.len() as u32);
        f64::from(needed.saturating_sub(1) * BLOCK_TOKENS) * blocks as f64
    });
    copies.sum()
}
