//! Prediction of the prompt blocks that a target holds in its prefix cache.

use crate::registry::{CacheChange, CacheEvent};
use std::collections::{BTreeMap, HashMap};

/// Settings of the prefix prediction.
#[derive(Clone, Debug)]
pub struct PrefixSettings {
    /// Prompt tokens per block.
    pub block_tokens: u32,
    /// Blocks remembered per target. Should be near the size of a target's cache.
    pub block_limit: usize,
    /// Weight of a block that was not confirmed since a gap in the target's events.
    pub unconfirmed_weight: f64,
}

impl Default for PrefixSettings {
    fn default() -> Self {
        Self { block_tokens: 64, block_limit: 8_192, unconfirmed_weight: 0.5 }
    }
}

#[derive(Clone, Copy, Debug)]
struct BlockRecord {
    stamp: u64,
    epoch: u32,
}

/// Predicted blocks of one target's cache, removed in least-recently-used order.
///
/// Block hashes are cumulative, so the blocks of a prompt are looked up from its start until the
/// first one that is missing. A lookup costs O(1) per block, a change O(log n) per block.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    settings: PrefixSettings,
    blocks: HashMap<u64, BlockRecord>,
    by_use: BTreeMap<u64, u64>,
    next_stamp: u64,
    /// Raised at each gap; blocks of an older epoch are unconfirmed.
    epoch: u32,
    next_event: Option<u64>,
}

impl PrefixIndex {
    /// An empty index.
    pub fn new(settings: PrefixSettings) -> Self {
        Self {
            settings,
            blocks: HashMap::new(),
            by_use: BTreeMap::new(),
            next_stamp: 0,
            epoch: 0,
            next_event: None,
        }
    }

    /// Blocks remembered now.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is remembered.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Whether a block is expected in the target's cache.
    pub fn contains(&self, hash: u64) -> bool {
        self.blocks.contains_key(&hash)
    }

    /// Prompt tokens that the target is expected to find in its cache.
    pub fn cached_tokens(&self, hashes: &[u64], prompt_tokens: u32) -> f64 {
        let mut blocks = 0.0;
        for hash in hashes {
            let Some(record) = self.blocks.get(hash) else { break };
            let confirmed = record.epoch == self.epoch;
            blocks += if confirmed { 1.0 } else { self.settings.unconfirmed_weight };
        }
        (blocks * f64::from(self.settings.block_tokens)).min(f64::from(prompt_tokens))
    }

    /// Enters the blocks of a prompt that was dispatched to the target.
    pub fn record_dispatch(&mut self, hashes: &[u64]) {
        // From the end, so that the first blocks of a prompt are the most recently used ones:
        // without them the later blocks are of no use.
        for hash in hashes.iter().rev() {
            self.store(*hash);
        }
    }

    /// Applies the cache events of an announcement. Events that were applied before are skipped.
    pub fn apply(&mut self, events: &[CacheEvent]) {
        for event in events {
            match self.next_event {
                Some(next) if event.sequence < next => continue,
                Some(next) if event.sequence > next => self.epoch += 1,
                // The events before the first one seen are missing, but nothing was confirmed yet.
                _ => {}
            }
            self.next_event = Some(event.sequence + 1);
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
        let stamp = self.next_stamp;
        self.next_stamp += 1;
        let record = BlockRecord { stamp, epoch: self.epoch };
        if let Some(old) = self.blocks.insert(hash, record) {
            self.by_use.remove(&old.stamp);
        }
        self.by_use.insert(stamp, hash);
        if self.blocks.len() > self.settings.block_limit
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.blocks.remove(&oldest);
        }
    }

    fn remove(&mut self, hash: u64) {
        if let Some(record) = self.blocks.remove(&hash) {
            self.by_use.remove(&record.stamp);
        }
    }
}
