//! Queue of ended claims, implemented as a linked list through the arena rows.

use super::row::{ClaimArena, SlotKey};
use crate::clock::ClockTime;

/// Ended claims with the same retention, in the order in which they ended.
///
/// State machine time does not go back, so claims expire in the same order.
#[derive(Clone, Debug)]
pub(super) struct RetentionQueue {
    retention_ms: u64,
    first: SlotKey,
    last: SlotKey,
}

impl RetentionQueue {
    pub(super) fn new(retention_ms: u64) -> Self {
        Self { retention_ms, first: SlotKey::NONE, last: SlotKey::NONE }
    }

    pub(super) fn push(&mut self, arena: &mut ClaimArena, slot: SlotKey) {
        arena.row_mut(slot).next = SlotKey::NONE;
        if self.last == SlotKey::NONE {
            self.first = slot;
        } else {
            arena.row_mut(self.last).next = slot;
        }
        self.last = slot;
    }

    /// Returns whether the oldest claim is past its retention.
    pub(super) fn has_expired(&self, arena: &ClaimArena, now: ClockTime) -> bool {
        self.first != SlotKey::NONE && now.since(arena.row(self.first).time) > self.retention_ms
    }

    pub(super) fn pop_expired(&mut self, arena: &ClaimArena, now: ClockTime) -> Option<SlotKey> {
        if !self.has_expired(arena, now) {
            return None;
        }
        let slot = self.first;
        self.first = arena.row(slot).next;
        if self.first == SlotKey::NONE {
            self.last = SlotKey::NONE;
        }
        Some(slot)
    }

    pub(super) fn slots<'a>(
        &self,
        arena: &'a ClaimArena,
    ) -> impl Iterator<Item = SlotKey> + use<'a> {
        let first = (self.first != SlotKey::NONE).then_some(self.first);
        std::iter::successors(first, |&slot| {
            let next = arena.row(slot).next;
            (next != SlotKey::NONE).then_some(next)
        })
    }
}
