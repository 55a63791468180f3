//! Lower bounds of wasted prefill, worked out from a workload alone.

use crate::engine::{BLOCK_TOKENS, EngineSpec};
use crate::workload::PlannedRequest;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Wasted prompt tokens that no routing avoids, under the named assumption.
#[derive(Clone, Copy, Debug, Default)]
pub struct WasteBounds {
    /// All caches are one, and every request is served on arrival.
    pub joint_cache: f64,
    /// Additional copies of prefixes whose streams fill more than one engine at a time, served on
    /// arrival by engines of mean speed.
    pub copies: f64,
    /// Prompt tokens that are computed once.
    pub useful: f64,
}

impl WasteBounds {
    /// Bounds for a workload.
    pub fn of(plan: &[PlannedRequest], engines: &[EngineSpec]) -> Self {
        let block = f64::from(BLOCK_TOKENS);
        let limit: usize = engines.iter().map(|engine| engine.cache_blocks).sum();
        let (mut stamps, mut order) = (HashMap::new(), BTreeMap::new());
        let (mut seen, mut next) = (HashSet::new(), 0_u64);
        let mut bounds = Self::default();
        for request in plan {
            for hash in request.hashes.iter().rev() {
                next += 1;
                if let Some(old) = stamps.insert(*hash, next) {
                    order.remove(&old);
                } else if seen.insert(*hash) {
                    bounds.useful += block;
                } else {
                    bounds.joint_cache += block;
                }
                order.insert(next, *hash);
            }
            while stamps.len() > limit
                && let Some((_, hash)) = order.pop_first()
            {
                stamps.remove(&hash);
            }
        }
        bounds.copies = copies(plan, engines);
        bounds
    }
}

/// Tokens of the copies that peaks of single prefixes need beyond one engine.
fn copies(plan: &[PlannedRequest], engines: &[EngineSpec]) -> f64 {
    let count = engines.len().max(1) as f64;
    let rate = engines.iter().map(|engine| engine.decode_rate).sum::<f64>() / count;
    let slots = engines.iter().map(|engine| engine.slots).max().unwrap_or(1).max(1);
    let mut uses: HashMap<u64, u32> = HashMap::new();
    for hash in plan.iter().flat_map(|request| &request.hashes) {
        *uses.entry(*hash).or_default() += 1;
    }
    // Start and end of the streams by the first block, with the number of shared blocks.
    let mut prefixes: HashMap<u64, (usize, Vec<(u64, i32)>)> = HashMap::new();
    for request in plan {
        let shared = request.hashes.iter().take_while(|hash| uses[*hash] > 1).count();
        let Some(first) = request.hashes.first().filter(|_| shared > 0) else { continue };
        let end = request.at + (f64::from(request.output) / rate) as u64;
        let (blocks, edges) = prefixes.entry(*first).or_default();
        *blocks = (*blocks).max(shared);
        edges.extend([(request.at, 1), (end, -1)]);
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
