//! Prediction of the prompt blocks that a target holds in its prefix cache.

use crate::registry::{CacheChange, CacheEvent};
use std::collections::{BTreeMap, HashMap};

/// Settings of the prefix cache prediction.
#[derive(Clone, Debug)]
pub struct PrefixSettings {
    /// Prompt tokens per block.
    pub block_tokens: u32,
    /// Maximum number of predicted blocks per target. Should be close to the size of a target's
    /// cache.
    pub block_limit: usize,
    /// Weight, between 0 and 1, of a block that has not been confirmed since a gap in the target's
    /// cache events.
    pub unconfirmed_weight: f64,
}

impl Default for PrefixSettings {
    fn default() -> Self {
        Self { block_tokens: 64, block_limit: 8_192, unconfirmed_weight: 0.5 }
    }
}

#[derive(Clone, Copy, Debug)]
struct BlockRecord {
    last_use: u64,
    epoch: u32,
}

/// Predicted blocks of one target's prefix cache, evicted in least-recently-used order.
///
/// Block hashes are cumulative, so a lookup walks the blocks of a prompt from the start and stops
/// at the first missing one. A lookup costs O(1) per block, and an update costs O(log n) per block.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    settings: PrefixSettings,
    blocks: HashMap<u64, BlockRecord>,
    by_use: BTreeMap<u64, u64>,
    next_use: u64,
    /// Incremented at each gap in the cache events. Blocks of an older epoch are unconfirmed.
    epoch: u32,
    next_sequence: Option<u64>,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new(settings: PrefixSettings) -> Self {
        Self {
            settings,
            blocks: HashMap::new(),
            by_use: BTreeMap::new(),
            next_use: 0,
            epoch: 0,
            next_sequence: None,
        }
    }

    /// Returns the number of predicted blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the index contains no blocks.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns whether a block is predicted to be in the target's cache.
    pub fn contains(&self, hash: u64) -> bool {
        self.blocks.contains_key(&hash)
    }

    /// Returns the expected number of prompt tokens that the target finds in its cache.
    pub fn cached_tokens(&self, hashes: &[u64], prompt_tokens: u32) -> f64 {
        let mut blocks = 0.0;
        for hash in hashes {
            let Some(record) = self.blocks.get(hash) else { break };
            let confirmed = record.epoch == self.epoch;
            blocks += if confirmed { 1.0 } else { self.settings.unconfirmed_weight };
        }
        (blocks * f64::from(self.settings.block_tokens)).min(f64::from(prompt_tokens))
    }

    /// Records the blocks of a prompt that was dispatched to the target.
    pub fn record_dispatch(&mut self, hashes: &[u64]) {
        // Store the blocks in reverse order, so that the first blocks of the prompt become the most
        // recently used. Later blocks are useless without them.
        for hash in hashes.iter().rev() {
            self.store(*hash);
        }
    }

    /// Applies the cache events of an announcement and skips events that were already applied.
    pub fn apply(&mut self, events: &[CacheEvent]) {
        for event in events {
            match self.next_sequence {
                Some(next) if event.sequence < next => continue,
                Some(next) if event.sequence > next => self.epoch += 1,
                // Events before the first received one are missing, but no block was confirmed yet.
                _ => {}
            }
            self.next_sequence = Some(event.sequence + 1);
            self.apply_change(&event.change);
        }
    }

    fn apply_change(&mut self, change: &CacheChange) {
        match change {
            CacheChange::Stored(hashes) => {
                for hash in hashes {
                    self.store(*hash);
                }
            }
            CacheChange::Removed(hashes) => {
                for hash in hashes {
                    self.remove(*hash);
                }
            }
            CacheChange::Cleared => {
                self.blocks.clear();
                self.by_use.clear();
            }
        }
    }

    fn store(&mut self, hash: u64) {
        let last_use = self.next_use;
        self.next_use += 1;
        let record = BlockRecord { last_use, epoch: self.epoch };
        if let Some(old) = self.blocks.insert(hash, record) {
            self.by_use.remove(&old.last_use);
        }
        self.by_use.insert(last_use, hash);
        if self.blocks.len() > self.settings.block_limit
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.blocks.remove(&oldest);
        }
    }

    fn remove(&mut self, hash: u64) {
        if let Some(record) = self.blocks.remove(&hash) {
            self.by_use.remove(&record.last_use);
        }
    }
}
