//! Hash index from request keys to arena slots, with four bytes per bucket.

use super::row::{ClaimArena, SlotKey};
use crate::keys::RequestKey;
use std::sync::Arc;

/// Marks a bucket without a slot.
const EMPTY: u32 = u32::MAX;
/// Number of shards, which are resized independently.
///
/// With a single shard, a resize at a million claims would block the leader for a considerable
/// part of its 500 ms lease.
const SHARDS: usize = 256;
/// Number of buckets of a shard after its first insertion.
const INITIAL_BUCKETS: usize = 8;

/// Sharded hash table with open addressing and linear probing.
///
/// A bucket contains only the slot, and the key is read from the arena. A standard hash map would
/// store a second copy of the 16-byte key.
#[derive(Clone, Debug)]
pub(super) struct KeyIndex {
    shards: Vec<IndexShard>,
}

/// Shard of the index. A clone shares the buckets until one of the two is changed.
#[derive(Clone, Debug, Default)]
struct IndexShard {
    buckets: Arc<Vec<u32>>,
    used: usize,
}

fn hash_key(key: RequestKey) -> u64 {
    // Request keys are XXH3 hashes already. The multiplication also distributes the small integer
    // keys used in tests.
    let folded = (key.0 as u64) ^ ((key.0 >> 64) as u64);
    let mixed = folded.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 32)
}

fn shard_of(hash: u64) -> usize {
    (hash >> 56) as usize % SHARDS
}

impl KeyIndex {
    pub(super) fn new() -> Self {
        Self { shards: vec![IndexShard::default(); SHARDS] }
    }

    pub(super) fn find(&self, arena: &ClaimArena, key: RequestKey) -> Option<SlotKey> {
        let hash = hash_key(key);
        let shard = &self.shards[shard_of(hash)];
        shard.find_bucket(arena, key, hash).map(|bucket| SlotKey(shard.buckets[bucket]))
    }

    /// Inserts a slot whose key is not in the index.
    pub(super) fn insert(&mut self, arena: &ClaimArena, slot: SlotKey) {
        let hash = hash_key(arena.row(slot).key);
        let shard = &mut self.shards[shard_of(hash)];
        shard.reserve_one(arena);
        shard.store(hash, slot.0);
        shard.used += 1;
    }

    pub(super) fn remove(&mut self, arena: &ClaimArena, key: RequestKey) {
        let hash = hash_key(key);
        let shard = &mut self.shards[shard_of(hash)];
        let Some(bucket) = shard.find_bucket(arena, key, hash) else { return };
        shard.clear_bucket(arena, bucket);
        shard.used -= 1;
    }

    /// Returns the heap size of all shards in bytes.
    pub(super) fn heap_bytes(&self) -> usize {
        let buckets: usize = self.shards.iter().map(|shard| shard.buckets.capacity() * 4).sum();
        buckets + self.shards.capacity() * size_of::<IndexShard>()
    }
}

impl IndexShard {
    fn mask(&self) -> usize {
        self.buckets.len() - 1
    }

    fn find_bucket(&self, arena: &ClaimArena, key: RequestKey, hash: u64) -> Option<usize> {
        if self.buckets.is_empty() {
            return None;
        }
        let mut bucket = hash as usize & self.mask();
        while self.buckets[bucket] != EMPTY {
            if arena.row(SlotKey(self.buckets[bucket])).key == key {
                return Some(bucket);
            }
            bucket = (bucket + 1) & self.mask();
        }
        None
    }

    fn store(&mut self, hash: u64, slot: u32) {
        let mut bucket = hash as usize & self.mask();
        while self.buckets[bucket] != EMPTY {
            bucket = (bucket + 1) & self.mask();
        }
        Arc::make_mut(&mut self.buckets)[bucket] = slot;
    }

    /// Doubles the buckets if an insertion would raise the load factor above 3/4, since longer
    /// probe sequences cause more cache misses.
    fn reserve_one(&mut self, arena: &ClaimArena) {
        if (self.used + 1) * 4 <= self.buckets.len() * 3 {
            return;
        }
        let larger = vec![EMPTY; (self.buckets.len() * 2).max(INITIAL_BUCKETS)];
        let old = std::mem::replace(&mut self.buckets, Arc::new(larger));
        for slot in old.iter().copied().filter(|&slot| slot != EMPTY) {
            self.store(hash_key(arena.row(SlotKey(slot)).key), slot);
        }
    }

    /// Empties a bucket and shifts later entries of the probe sequence back, so that lookups do not
    /// stop at the gap.
    fn clear_bucket(&mut self, arena: &ClaimArena, bucket: usize) {
        let mut gap = bucket;
        let mut next = (gap + 1) & self.mask();
        while self.buckets[next] != EMPTY {
            let home = hash_key(arena.row(SlotKey(self.buckets[next])).key) as usize & self.mask();
            let distance_from_home = next.wrapping_sub(home) & self.mask();
            let distance_from_gap = next.wrapping_sub(gap) & self.mask();
            if distance_from_home >= distance_from_gap {
                let moved = self.buckets[next];
                Arc::make_mut(&mut self.buckets)[gap] = moved;
                gap = next;
            }
            next = (next + 1) & self.mask();
        }
        Arc::make_mut(&mut self.buckets)[gap] = EMPTY;
    }
}
