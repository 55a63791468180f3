//! Prefix cache of bounded size with least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Cached block of one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct CacheBlock {
    model: u64,
    hash: u64,
}

/// Evicted blocks as pairs of model name and block hash.
pub(crate) type RemovedBlocks = Vec<(String, u64)>;

/// Prefix cache whose capacity is a number of blocks.
pub(crate) struct PrefixCache {
    capacity: usize,
    use_counter: u64,
    blocks: HashMap<CacheBlock, u64>,
    by_last_use: BTreeMap<u64, CacheBlock>,
    models: HashMap<u64, String>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        let (blocks, by_last_use) = (HashMap::new(), BTreeMap::new());
        Self { capacity, use_counter: 0, blocks, by_last_use, models: HashMap::new() }
    }

    /// Returns the length of the longest cached prefix in blocks, and marks its blocks as used.
    pub(crate) fn lookup(&mut self, model: &str, hashes: &[u64]) -> usize {
        let model = model_key(model);
        let cached = |hash: &&u64| self.blocks.contains_key(&CacheBlock { model, hash: **hash });
        let length = hashes.iter().take_while(cached).count();
        // Marks the last block first, so that a prefix is evicted after its extensions.
        for hash in hashes[..length].iter().rev() {
            self.touch(CacheBlock { model, hash: *hash });
        }
        length
    }

    /// Adds the blocks of a prompt. Returns the added and the evicted blocks.
    pub(crate) fn insert(&mut self, model: &str, hashes: &[u64]) -> (Vec<u64>, RemovedBlocks) {
        let key = model_key(model);
        self.models.entry(key).or_insert_with(|| model.to_owned());
        let kept = &hashes[..hashes.len().min(self.capacity)];
        let mut added = Vec::new();
        for hash in kept.iter().rev() {
            if self.touch(CacheBlock { model: key, hash: *hash }) {
                added.push(*hash);
            }
        }
        added.reverse();
        let mut removed = Vec::new();
        while self.blocks.len() > self.capacity {
            let Some((_, block)) = self.by_last_use.pop_first() else { break };
            self.blocks.remove(&block);
            let model = self.models.get(&block.model).cloned().unwrap_or_default();
            removed.push((model, block.hash));
        }
        (added, removed)
    }

    /// Removes all blocks of a model and returns their hashes.
    pub(crate) fn unload(&mut self, model: &str) -> Vec<u64> {
        let key = model_key(model);
        let removed: Vec<_> =
            self.blocks.keys().filter(|block| block.model == key).copied().collect();
        for block in &removed {
            if let Some(last_use) = self.blocks.remove(block) {
                self.by_last_use.remove(&last_use);
            }
        }
        removed.into_iter().map(|block| block.hash).collect()
    }

    /// Marks a block as used. Returns whether it is new.
    fn touch(&mut self, block: CacheBlock) -> bool {
        self.use_counter += 1;
        self.by_last_use.insert(self.use_counter, block);
        let previous = self.blocks.insert(block, self.use_counter);
        if let Some(last_use) = previous {
            self.by_last_use.remove(&last_use);
        }
        previous.is_none()
    }
}

fn model_key(model: &str) -> u64 {
    xxh3_64_with_seed(model.as_bytes(), 1)
}
