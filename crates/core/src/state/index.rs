//! Hash index from request key to arena slot, four bytes per place.

use super::row::{ClaimArena, SlotKey};
use crate::keys::RequestKey;
use std::sync::Arc;

const EMPTY: u32 = u32::MAX;
/// Growth rehashes one shard. With one shard, growth at a million claims would stall the leader
/// for a considerable part of its 500 ms lease.
const SHARDS: usize = 256;
const FIRST_PLACES: usize = 8;

/// Open addressing with linear probing. Keys live in the arena only, which keeps a place at four
/// bytes; a standard hash map would store the 16-byte key again.
#[derive(Clone, Debug)]
pub(super) struct KeyIndex {
    shards: Vec<IndexShard>,
}

/// A clone shares the places; the first change of a shard copies them.
#[derive(Clone, Debug, Default)]
struct IndexShard {
    places: Arc<Vec<u32>>,
    used: usize,
}

fn hash_key(key: RequestKey) -> u64 {
    // Request keys are XXH3 hashes; one multiplication spreads the small keys of tests as well.
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
        shard.locate(arena, key, hash).map(|place| SlotKey(shard.places[place]))
    }

    /// Adds a slot whose key is not present.
    pub(super) fn insert(&mut self, arena: &ClaimArena, slot: SlotKey) {
        let hash = hash_key(arena.row(slot).key);
        let shard = &mut self.shards[shard_of(hash)];
        shard.reserve_one(arena);
        shard.place(hash, slot.0);
        shard.used += 1;
    }

    pub(super) fn remove(&mut self, arena: &ClaimArena, key: RequestKey) {
        let hash = hash_key(key);
        let shard = &mut self.shards[shard_of(hash)];
        let Some(place) = shard.locate(arena, key, hash) else { return };
        shard.close_gap(arena, place);
        shard.used -= 1;
    }

    /// Heap bytes of all shards.
    pub(super) fn heap_bytes(&self) -> usize {
        let places: usize = self.shards.iter().map(|shard| shard.places.capacity() * 4).sum();
        places + self.shards.capacity() * size_of::<IndexShard>()
    }
}

impl IndexShard {
    fn mask(&self) -> usize {
        self.places.len() - 1
    }

    fn locate(&self, arena: &ClaimArena, key: RequestKey, hash: u64) -> Option<usize> {
        if self.places.is_empty() {
            return None;
        }
        let mut place = hash as usize & self.mask();
        while self.places[place] != EMPTY {
            if arena.row(SlotKey(self.places[place])).key == key {
                return Some(place);
            }
            place = (place + 1) & self.mask();
        }
        None
    }

    fn place(&mut self, hash: u64, slot: u32) {
        let mut place = hash as usize & self.mask();
        while self.places[place] != EMPTY {
            place = (place + 1) & self.mask();
        }
        Arc::make_mut(&mut self.places)[place] = slot;
    }

    /// Doubles the places when three quarters are used; longer probe runs cost cache misses.
    fn reserve_one(&mut self, arena: &ClaimArena) {
        if (self.used + 1) * 4 <= self.places.len() * 3 {
            return;
        }
        let larger = vec![EMPTY; (self.places.len() * 2).max(FIRST_PLACES)];
        let old = std::mem::replace(&mut self.places, Arc::new(larger));
        for slot in old.iter().copied().filter(|&slot| slot != EMPTY) {
            self.place(hash_key(arena.row(SlotKey(slot)).key), slot);
        }
    }

    /// Empties a place and moves later members of the probe run back, so that no lookup stops
    /// at the gap.
    fn close_gap(&mut self, arena: &ClaimArena, place: usize) {
        let mut gap = place;
        let mut next = (gap + 1) & self.mask();
        while self.places[next] != EMPTY {
            let home = hash_key(arena.row(SlotKey(self.places[next])).key) as usize & self.mask();
            let distance_home = next.wrapping_sub(home) & self.mask();
            let distance_gap = next.wrapping_sub(gap) & self.mask();
            if distance_home >= distance_gap {
                let moved = self.places[next];
                Arc::make_mut(&mut self.places)[gap] = moved;
                gap = next;
            }
            next = (next + 1) & self.mask();
        }
        Arc::make_mut(&mut self.places)[gap] = EMPTY;
    }
}
