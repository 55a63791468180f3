//! Compact representation of a claim and the arena that stores the rows.

use super::intern::InternKey;
use crate::clock::ClockTime;
use crate::keys::{ClaimNumber, RequestFingerprint, RequestKey};
use crate::outcome::{ReasonCode, RequestOutcome};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Position of a row in the [`ClaimArena`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SlotKey(pub(super) u32);

impl SlotKey {
    pub(super) const NONE: Self = Self(u32::MAX);
}

/// State of a claim. It determines the meaning of [`ClaimRow::time`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) enum RowPhase {
    /// Open and owned by a running entry process; `time` is the deadline.
    Owned,
    /// Open, but the owner has ended; `time` is the deadline.
    Ownerless,
    /// Ended; `time` is when it ended.
    Ended(RequestOutcome),
}

/// Claim in 64 bytes, which is one cache line. The deadline is not kept after the claim has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClaimRow {
    pub(super) key: RequestKey,
    pub(super) claim: ClaimNumber,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) time: ClockTime,
    pub(super) target: InternKey,
    pub(super) entry: InternKey,
    pub(super) workspace: InternKey,
    pub(super) pool: InternKey,
    /// Next row in the retention queue or in the free list.
    pub(super) next: SlotKey,
    pub(super) tier: u8,
    pub(super) idempotent: bool,
    pub(super) phase: RowPhase,
    pub(super) reason: Option<ReasonCode>,
}

/// Size of a row in bytes.
pub(super) const ROW_BYTES: usize = size_of::<ClaimRow>();
const _: () = assert!(ROW_BYTES == 64);

/// Number of rows per chunk. Rows are allocated in chunks so that growth does not copy them.
const CHUNK_ROWS: usize = 4_096;

/// Arena of claim rows with a free list.
///
/// A clone shares the chunks, and the first change to a shared chunk copies its 256 KiB. Copying
/// all rows at once blocked the control thread for 52 ms at 1,000,000 claims.
#[derive(Clone, Debug)]
pub(super) struct ClaimArena {
    chunks: Vec<Arc<Vec<ClaimRow>>>,
    first_free: SlotKey,
    used: usize,
}

impl ClaimArena {
    pub(super) fn new() -> Self {
        Self { chunks: Vec::new(), first_free: SlotKey::NONE, used: 0 }
    }

    pub(super) fn len(&self) -> usize {
        self.used
    }

    pub(super) fn row(&self, slot: SlotKey) -> &ClaimRow {
        &self.chunks[slot.0 as usize / CHUNK_ROWS][slot.0 as usize % CHUNK_ROWS]
    }

    pub(super) fn row_mut(&mut self, slot: SlotKey) -> &mut ClaimRow {
        let chunk = Arc::make_mut(&mut self.chunks[slot.0 as usize / CHUNK_ROWS]);
        &mut chunk[slot.0 as usize % CHUNK_ROWS]
    }

    pub(super) fn insert(&mut self, row: ClaimRow) -> SlotKey {
        self.used += 1;
        if self.first_free != SlotKey::NONE {
            let slot = self.first_free;
            self.first_free = self.row(slot).next;
            *self.row_mut(slot) = row;
            return slot;
        }
        if self.chunks.last().is_none_or(|chunk| chunk.len() == CHUNK_ROWS) {
            self.chunks.push(Arc::new(Vec::with_capacity(CHUNK_ROWS)));
        }
        let position = (self.chunks.len() - 1) * CHUNK_ROWS;
        let chunk = Arc::make_mut(self.chunks.last_mut().expect("a chunk was just added"));
        // The copy that `make_mut` creates of a shared chunk has no spare capacity.
        chunk.reserve_exact(CHUNK_ROWS - chunk.len());
        chunk.push(row);
        SlotKey((position + chunk.len() - 1) as u32)
    }

    pub(super) fn remove(&mut self, slot: SlotKey) {
        let first_free = self.first_free;
        self.row_mut(slot).next = first_free;
        self.first_free = slot;
        self.used -= 1;
    }

    /// Returns the heap size of all chunks in bytes.
    pub(super) fn heap_bytes(&self) -> usize {
        self.chunks.len() * CHUNK_ROWS * ROW_BYTES
    }
}
