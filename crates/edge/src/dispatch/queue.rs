//! Queue of events between a target and its caller.
//!
//! Without a memory budget it holds a few chunks. With one, it holds what the budget allows, so a
//! target can finish while a slow caller still reads.

use crate::memory_budget::{MemoryBudget, MemoryUse, hold_bytes};
use crate::reply::StreamBroken;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{Receiver, Sender, channel};

/// Number of chunks that are queued without a budget before reading from the target pauses.
const CHANNEL_CAPACITY: usize = 8;
/// Maximum number of chunks that are queued with a budget. The longest outputs have 690 events.
const BUDGET_CAPACITY: usize = 4_096;
/// Maximum size of one queue, in bytes, so that a faulty target does not fill the budget. It is 1.5 KB
/// for each event of the longest outputs.
const MAX_QUEUE_BYTES: usize = 1 << 20;
/// Memory of a queued chunk beside its bytes, in bytes: its place in the queue, the guard and the
/// counters of its references.
const CHUNK_OVERHEAD_BYTES: usize = 192;
/// Longest wait for a slow caller to take the events of a stream that broke off, in ms.
const MAX_DRAIN_MS: u64 = 1_000;

/// Error for a caller that has closed its connection.
pub(super) struct CallerGone;

/// Sending side of the queue.
pub(super) struct CallerQueue {
    sender: Sender<Result<Bytes, StreamBroken>>,
    budget: Option<QueueBudget>,
}

struct QueueBudget {
    memory: MemoryBudget,
    /// Bytes that the queue may still hold.
    room: Arc<Semaphore>,
}

impl CallerQueue {
    /// Opens a queue within a budget, if there is one.
    pub(super) fn open(
        memory: Option<&MemoryBudget>,
    ) -> (Self, Receiver<Result<Bytes, StreamBroken>>) {
        let budget = memory.map(|memory| QueueBudget {
            memory: memory.clone(),
            room: Arc::new(Semaphore::new(MAX_QUEUE_BYTES)),
        });
        let capacity = if budget.is_some() { BUDGET_CAPACITY } else { CHANNEL_CAPACITY };
        let (sender, receiver) = channel(capacity);
        (Self { sender, budget }, receiver)
    }

    /// Queues events, as soon as there is room for them.
    pub(super) async fn push(&self, events: Bytes) -> Result<(), CallerGone> {
        let events = match &self.budget {
            None => events,
            Some(budget) => tokio::select! {
                biased;
                events = self.reserve(budget, events) => events,
                () = self.sender.closed() => return Err(CallerGone),
            },
        };
        self.sender.send(Ok(events)).await.map_err(|_| CallerGone)
    }

    /// Waits until the caller has closed its connection.
    pub(super) async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Ends the stream as broken. `left_ms` is the time left until the caller's deadline.
    pub(super) async fn fail(&self, left_ms: u64) {
        // The error ends the connection, also for events that are not written yet. All capacity is free
        // once the connection has taken them.
        let drain_ms = if self.budget.is_some() { left_ms.max(MAX_DRAIN_MS) } else { MAX_DRAIN_MS };
        let all = self.sender.max_capacity();
        let drained = Duration::from_millis(drain_ms);
        let _ = tokio::time::timeout(drained, self.sender.reserve_many(all)).await;
        // A failure means that the caller has disconnected, so there is nobody to notify.
        let _ = self.sender.send(Err(StreamBroken)).await;
    }

    /// Reserves memory for events. While the budget is full, one chunk is queued at a time, so the
    /// stream of a caller that keeps up does not stop.
    async fn reserve(&self, budget: &QueueBudget, events: Bytes) -> Bytes {
        let bytes = (events.len() + CHUNK_OVERHEAD_BYTES).min(MAX_QUEUE_BYTES);
        let permits = u32::try_from(bytes).unwrap_or(u32::MAX);
        let room = budget.room.clone().acquire_many_owned(permits).await.ok();
        let memory = &budget.memory;
        let mut waited = false;
        let guard = loop {
            let mut freed = std::pin::pin!(memory.freed());
            freed.as_mut().enable();
            if let Some(guard) = memory.try_reserve(MemoryUse::Queue, bytes) {
                break guard;
            }
            if self.sender.capacity() == self.sender.max_capacity() {
                break memory.count(MemoryUse::Queue, bytes);
            }
            if !waited {
                memory.count_wait(MemoryUse::Queue);
                waited = true;
            }
            freed.await;
        };
        hold_bytes(events, (guard, room))
    }
}
