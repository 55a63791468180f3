//! Budget of the memory that a node holds for callers and targets: bodies of requests, buffered
//! responses and events that callers have not taken yet.
//!
//! Each use may fill the budget up to a mark of its own. The marks are ordered by what a refusal
//! costs: events can wait at their target, a new body can be refused before it has run, and a
//! response that is not read loses what a target has already done.

use bytes::Bytes;
use socket2::SockRef;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::futures::Notified;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Memory of the process beside the budget, in bytes. A node without a budget peaks at 24 MB on the
/// standard days; a third is added for what the allocator does not return.
const PROCESS_BYTES: usize = 32 << 20;
/// Memory for bytes in socket buffers, in bytes: 96 connections with full buffers of
/// [`SOCKET_BUFFER_BYTES`], which the kernel doubles.
const SOCKETS_BYTES: usize = 12 << 20;
/// Size of the receive buffer and of the send buffer of a connection, in bytes. The links have at most
/// 100 Mbit/s, so it covers a round trip of 5 ms.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;
/// Smallest budget, in bytes. Any smaller one could not hold the largest body and the largest response.
const MIN_BUDGET_BYTES: usize = 12 << 20;
/// Part for one response that others do not leave room for, in bytes: the largest response. So at
/// least one response at a time is read to its end.
const LAST_RESPONSE_BYTES: usize = 4 << 20;
/// Size up to which a body or a response is small, in bytes. A prompt of 2,890 tokens, the mean of the
/// longest kind on deployment A, has about 12 KB.
const SMALL_BYTES: usize = 64 << 10;
/// Part that large bodies leave for small ones, and large responses for small ones, in bytes. So 64
/// small ones fit while uploads fill the rest.
const SMALL_PART_BYTES: usize = 4 << 20;
/// Divisor of the budget that gives the part kept for responses. Orders have run when it is needed.
const RESPONSE_DIVISOR: usize = 3;
/// Divisor of the budget that gives the part kept free of queued events. A pause of a stream costs a
/// slot, a refused body a request.
const BODY_DIVISOR: usize = 5;

/// Use of the memory of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// Body of a request.
    Body,
    /// Response that is buffered completely.
    Response,
    /// Events of a stream that the caller has not taken yet.
    Queue,
}

const USES: [MemoryUse; 3] = [MemoryUse::Body, MemoryUse::Response, MemoryUse::Queue];

impl MemoryUse {
    /// Returns the name of the use in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Body => "bodies",
            Self::Response => "responses",
            Self::Queue => "queues",
        }
    }
}

/// Budget of a process. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<BudgetState>);

#[derive(Debug)]
struct BudgetState {
    total: usize,
    used: [AtomicUsize; 3],
    peak: AtomicUsize,
    waits: [AtomicUsize; 3],
    /// Notified when memory becomes free.
    freed: Notify,
    /// Permit of the one response that may use the last part.
    last: Arc<Semaphore>,
}

/// Reserved memory. It is free again when the guard is dropped.
#[derive(Debug)]
pub struct BudgetGuard {
    budget: MemoryBudget,
    kind: MemoryUse,
    bytes: usize,
    last: Option<OwnedSemaphorePermit>,
}

/// Bytes with the memory that is reserved for them.
struct HeldBytes<T> {
    bytes: Bytes,
    _held: T,
}

impl<T> AsRef<[u8]> for HeldBytes<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Keeps `held` until the last reference to the bytes is dropped.
pub(crate) fn hold_bytes<T>(bytes: Bytes, held: T) -> Bytes
where
    T: Send + 'static,
{
    Bytes::from_owner(HeldBytes { bytes, _held: held })
}

/// Bounds what the kernel buffers for a socket and the connections that it accepts.
pub(crate) fn bound_buffers<S>(socket: &S)
where
    S: AsFd,
{
    let socket = SockRef::from(socket);
    let bounded = socket
        .set_recv_buffer_size(SOCKET_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SOCKET_BUFFER_BYTES));
    if let Err(error) = bounded {
        log::warn!(target: "burdockcleat", "event=memory.socket_unbounded cause=\"{error}\"");
    }
}

impl MemoryBudget {
    /// Creates the budget of a process with the memory limit `limit_bytes`. It leaves the part that the
    /// process and the sockets need.
    pub fn for_process(limit_bytes: u64) -> Self {
        let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
        Self::new(limit.saturating_sub(PROCESS_BYTES + SOCKETS_BYTES))
    }

    /// Creates a budget of `total` bytes, or the smallest one.
    pub fn new(total: usize) -> Self {
        Self(Arc::new(BudgetState {
            total: total.max(MIN_BUDGET_BYTES),
            used: Default::default(),
            peak: AtomicUsize::default(),
            waits: Default::default(),
            freed: Notify::new(),
            last: Arc::new(Semaphore::new(1)),
        }))
    }

    /// Returns the size of the budget, in bytes.
    pub fn total(&self) -> usize {
        self.0.total
    }

    /// Returns the bytes that a use holds.
    pub fn used(&self, kind: MemoryUse) -> usize {
        self.0.used[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns the most bytes held at any time.
    pub fn peak(&self) -> usize {
        self.0.peak.load(Ordering::Relaxed)
    }

    /// Returns how much of the budget may be in use after a reservation that makes a body, a response or
    /// a queued chunk `bytes` long.
    fn mark(&self, kind: MemoryUse, bytes: usize) -> usize {
        let total = self.0.total;
        let responses = total / RESPONSE_DIVISOR;
        let small = if bytes > SMALL_BYTES { SMALL_PART_BYTES } else { 0 };
        match kind {
            MemoryUse::Response => total - LAST_RESPONSE_BYTES - small,
            MemoryUse::Body => total - responses - small,
            MemoryUse::Queue => total - responses - total / BODY_DIVISOR,
        }
    }

    /// Reserves memory. Returns `None` if it does not fit.
    pub fn try_reserve(&self, kind: MemoryUse, bytes: usize) -> Option<BudgetGuard> {
        let mut guard = self.reserve_nothing(kind);
        guard.try_grow(bytes).then_some(guard)
    }

    /// Reserves memory as soon as it fits. Dropping the future withdraws the wish.
    pub async fn reserve(&self, kind: MemoryUse, bytes: usize) -> BudgetGuard {
        let mut guard = self.reserve_nothing(kind);
        guard.grow(bytes).await;
        guard
    }

    /// Reserves memory that is held in any case, even if it exceeds the mark.
    pub fn count(&self, kind: MemoryUse, bytes: usize) -> BudgetGuard {
        let mut guard = self.reserve_nothing(kind);
        guard.add(bytes);
        guard
    }

    /// Returns the uses with the number of times that they waited for memory since the last call.
    pub fn take_waits(&self) -> impl Iterator<Item = (&'static str, usize)> {
        let taken = |kind: MemoryUse| self.0.waits[kind as usize].swap(0, Ordering::Relaxed);
        USES.map(|kind| (kind.name(), taken(kind))).into_iter().filter(|(_, waits)| *waits > 0)
    }

    /// Counts that a use waits for memory.
    pub(crate) fn count_wait(&self, kind: MemoryUse) {
        self.0.waits[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a future that ends when memory becomes free.
    pub(crate) fn freed(&self) -> Notified<'_> {
        self.0.freed.notified()
    }

    /// Returns the gauges of the budget with their labels.
    pub fn gauges(&self) -> impl Iterator<Item = (&'static str, usize)> {
        let whole = [("total", self.total()), ("peak", self.peak())];
        USES.map(|kind| (kind.name(), self.used(kind))).into_iter().chain(whole)
    }

    fn in_use(&self) -> usize {
        USES.into_iter().map(|kind| self.used(kind)).sum()
    }

    fn reserve_nothing(&self, kind: MemoryUse) -> BudgetGuard {
        BudgetGuard { budget: self.clone(), kind, bytes: 0, last: None }
    }
}

impl BudgetGuard {
    /// Returns the reserved bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves `bytes` more. Returns false if they do not fit.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let budget = &self.budget;
        let mark = match self.last {
            Some(_) => budget.total(),
            None => budget.mark(self.kind, self.bytes.saturating_add(bytes)),
        };
        let fits =
            budget.in_use().checked_add(bytes).is_some_and(|used| bytes == 0 || used <= mark);
        if fits {
            self.add(bytes);
        }
        fits
    }

    /// Reserves `bytes` more as soon as they fit. One response at a time may use the last part of the
    /// budget, so responses that each hold a part do not wait for each other for good.
    pub async fn grow(&mut self, bytes: usize) {
        let budget = self.budget.clone();
        let mut waited = false;
        loop {
            let mut freed = std::pin::pin!(budget.freed());
            freed.as_mut().enable();
            if self.try_grow(bytes) {
                return;
            }
            if self.kind == MemoryUse::Response
                && self.last.is_none()
                && let Ok(permit) = budget.0.last.clone().try_acquire_owned()
            {
                self.last = Some(permit);
                continue;
            }
            if !waited {
                budget.count_wait(self.kind);
                waited = true;
            }
            freed.await;
        }
    }

    /// Keeps the memory of `bytes` until the last reference to them is dropped.
    pub fn hold(mut self, bytes: Bytes) -> Bytes {
        self.release_to(bytes.len());
        self.last = None;
        self.budget.0.freed.notify_waiters();
        if bytes.is_empty() { bytes } else { hold_bytes(bytes, self) }
    }

    fn add(&mut self, bytes: usize) {
        let state = &self.budget.0;
        self.bytes += bytes;
        state.used[self.kind as usize].fetch_add(bytes, Ordering::Relaxed);
        state.peak.fetch_max(self.budget.in_use(), Ordering::Relaxed);
    }

    fn release_to(&mut self, bytes: usize) {
        let freed = self.bytes.saturating_sub(bytes);
        self.bytes -= freed;
        self.budget.0.used[self.kind as usize].fetch_sub(freed, Ordering::Relaxed);
    }
}

impl Drop for BudgetGuard {
    fn drop(&mut self) {
        self.release_to(0);
        self.last = None;
        self.budget.0.freed.notify_waiters();
    }
}
