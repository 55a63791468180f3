//! Thread that owns the node's files, so that a slow or stalled disk blocks no other task.

use crate::datagram::ValueId;
use crate::memory::{StoredMemory, StoredUsage};
use crate::register::{AcceptedValue, BallotNumber, PhaseReply, RegisterValue, ReplicaState};
use crate::slots::{SlotError, SlotStore};
use crate::stream_log::StreamLog;
use crate::streams::StreamRecord;
use burdockcleat_core::clock::ClockTime;
use std::cell::RefCell;
use std::error::Error;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::oneshot;

/// Call to the local replica.
pub(crate) enum StoreCall {
    Prepare(BallotNumber),
    Accept(BallotNumber, RegisterValue),
}

enum StoreJob {
    Replica { call: StoreCall, reply: oneshot::Sender<Result<PhaseReply, SlotError>> },
    SaveMemory(StoredMemory),
    SaveUsage(StoredUsage),
    SaveStreams(StreamBatch),
}

/// Records to be appended to the log.
struct StreamBatch {
    records: Vec<StreamRecord>,
    retention_ms: u64,
    now: ClockTime,
}

/// Handle of the store thread.
pub(crate) struct StoreHandle {
    jobs: Sender<StoreJob>,
    accepted: Arc<Mutex<Option<AcceptedValue>>>,
    /// Whether a write of the recovery memory is queued or in progress.
    memory_write_pending: Arc<AtomicBool>,
    /// Whether a write of the usage of allowances is queued or in progress.
    usage_write_pending: Arc<AtomicBool>,
    /// Whether a write of stream records is queued or in progress.
    streams_write_pending: Arc<AtomicBool>,
    loaded_memory: RefCell<Option<StoredMemory>>,
    loaded_usage: RefCell<Option<StoredUsage>>,
    loaded_streams: RefCell<Vec<StreamRecord>>,
    disk: u64,
}

impl StoreHandle {
    /// Opens the files in a folder and starts the store thread.
    pub(crate) fn spawn(folder: &Path, new_disk: u64) -> Result<Self, SlotError> {
        let (mut store, state) = SlotStore::open(folder, new_disk)?;
        let (log, loaded_streams) = StreamLog::open(folder, ClockTime::monotonic())?;
        let disk = store.disk();
        let loaded_memory = RefCell::new(store.take_memory());
        let loaded_usage = RefCell::new(store.take_usage());
        let memory_write_pending = Arc::new(AtomicBool::new(false));
        let usage_write_pending = Arc::new(AtomicBool::new(false));
        let streams_write_pending = Arc::new(AtomicBool::new(false));
        let pending =
            [&memory_write_pending, &usage_write_pending, &streams_write_pending].map(Arc::clone);
        let accepted = Arc::new(Mutex::new(state.accepted.clone()));
        let (jobs, receiver) = channel();
        let shared = accepted.clone();
        std::thread::Builder::new()
            .name("store".into())
            .spawn(move || run_store(store, log, state, &receiver, &shared, &pending))
            .map_err(|source| SlotError::File {
                action: "starting the thread for",
                path: folder.to_owned(),
                source,
            })?;
        Ok(Self {
            jobs,
            accepted,
            memory_write_pending,
            usage_write_pending,
            streams_write_pending,
            loaded_memory,
            loaded_usage,
            loaded_streams: RefCell::new(loaded_streams),
            disk,
        })
    }

    pub(crate) const fn disk(&self) -> u64 {
        self.disk
    }

    /// Takes the recovery memory that was on the disk at the start. Returns it only once.
    pub(crate) fn take_loaded_memory(&self) -> Option<StoredMemory> {
        self.loaded_memory.take()
    }

    /// Queues a write of the recovery memory. Returns false if the previous write has not finished.
    pub(crate) fn save_memory(&self, memory: StoredMemory) -> bool {
        if self.memory_write_pending.swap(true, Ordering::AcqRel) {
            return false;
        }
        self.jobs.send(StoreJob::SaveMemory(memory)).is_ok()
    }

    /// Takes the usage of allowances that was on the disk at the start. Returns it only once.
    pub(crate) fn take_loaded_usage(&self) -> Option<StoredUsage> {
        self.loaded_usage.take()
    }

    /// Returns whether the previous write of the usage has not finished.
    pub(crate) fn usage_write_pending(&self) -> bool {
        self.usage_write_pending.load(Ordering::Acquire)
    }

    /// Queues a write of the usage of allowances. Returns false if the store thread has ended.
    pub(crate) fn save_usage(&self, usage: StoredUsage) -> bool {
        self.usage_write_pending.store(true, Ordering::Release);
        self.jobs.send(StoreJob::SaveUsage(usage)).is_ok()
    }

    /// Takes the stream records that were on the disk at the start. Returns them only once.
    pub(crate) fn take_loaded_streams(&self) -> Vec<StreamRecord> {
        self.loaded_streams.take()
    }

    /// Returns whether the previous write of stream records has not finished.
    pub(crate) fn streams_write_pending(&self) -> bool {
        self.streams_write_pending.load(Ordering::Acquire)
    }

    /// Queues a write of stream records. Returns false if the store thread has ended.
    pub(crate) fn save_streams(
        &self,
        records: Vec<StreamRecord>,
        retention_ms: u64,
        now: ClockTime,
    ) -> bool {
        self.streams_write_pending.store(true, Ordering::Release);
        self.jobs.send(StoreJob::SaveStreams(StreamBatch { records, retention_ms, now })).is_ok()
    }

    pub(crate) fn accepted(&self) -> Option<AcceptedValue> {
        self.accepted.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn accepted_id(&self) -> Option<ValueId> {
        let accepted = self.accepted.lock().unwrap_or_else(PoisonError::into_inner);
        accepted.as_ref().map(|a| ValueId { ballot: a.ballot, version: a.value.version })
    }

    /// Calls the replica and returns its reply once the new state is durable. `None` if the state
    /// could not be written.
    pub(crate) async fn call(&self, call: StoreCall) -> Option<PhaseReply> {
        let (reply, receiver) = oneshot::channel();
        self.jobs.send(StoreJob::Replica { call, reply }).ok()?;
        match receiver.await.ok()? {
            Ok(reply) => Some(reply),
            Err(error) => {
                log_failure("replica.save_failed", &error);
                None
            }
        }
    }
}

fn log_failure(event: &str, error: &SlotError) {
    let cause = error.source().map(ToString::to_string).unwrap_or_default();
    log::warn!(target: "burdockcleat", "event={event} cause=\"{error}: {cause}\"");
}

/// Appends a batch to the log. `failing` tells whether the batch before failed; only changes are
/// logged, since a full disk fails several batches a second. Returns whether this batch failed.
fn append_streams(log: &mut StreamLog, batch: &StreamBatch, failing: bool) -> bool {
    match log.append(&batch.records, batch.retention_ms, batch.now) {
        Ok(()) => {
            if failing {
                log::info!(target: "burdockcleat", "event=streams.save_resumed");
            }
            false
        }
        Err(error) => {
            if !failing {
                log_failure("streams.save_failed", &error);
            }
            true
        }
    }
}

fn run_store(
    mut store: SlotStore,
    mut log: StreamLog,
    mut state: ReplicaState,
    jobs: &Receiver<StoreJob>,
    accepted: &Mutex<Option<AcceptedValue>>,
    write_pending: &[Arc<AtomicBool>; 3],
) {
    let [memory_write_pending, usage_write_pending, streams_write_pending] = write_pending;
    let mut log_failing = false;
    while let Ok(job) = jobs.recv() {
        let (call, reply_to) = match job {
            StoreJob::Replica { call, reply } => (call, reply),
            StoreJob::SaveMemory(memory) => {
                if let Err(error) = store.save_memory(&memory) {
                    log_failure("memory.save_failed", &error);
                }
                memory_write_pending.store(false, Ordering::Release);
                continue;
            }
            StoreJob::SaveUsage(usage) => {
                if let Err(error) = store.save_usage(&usage) {
                    log_failure("allowance.save_failed", &error);
                }
                usage_write_pending.store(false, Ordering::Release);
                continue;
            }
            StoreJob::SaveStreams(batch) => {
                log_failing = append_streams(&mut log, &batch, log_failing);
                streams_write_pending.store(false, Ordering::Release);
                continue;
            }
        };
        let mut next = state.clone();
        let reply = match call {
            StoreCall::Prepare(ballot) => next.prepare(ballot),
            StoreCall::Accept(ballot, value) => next.accept(ballot, &value),
        };
        let saved = if next == state { Ok(()) } else { store.save_replica(&next) };
        let reply = saved.map(|()| {
            state = next;
            accepted.lock().unwrap_or_else(PoisonError::into_inner).clone_from(&state.accepted);
            reply
        });
        // The caller may have timed out.
        let _ = reply_to.send(reply);
    }
}
