//! Fake engine: continuous batching, prefix cache, resumable streams and orders over HTTP.

mod batch;
mod cache;
mod order;
mod serve;
mod stream;

use crate::announce::{
    EventQueue, StatusProbe, TargetAnnouncer, TargetKind, TargetSettings, TargetStatus,
};
use crate::error::TestbedError;
use crate::fault::FaultSet;
use crate::http::HttpServer;
use crate::journal::TargetJournal;
use crate::sync::locked;
use batch::{BatchItem, BatchLoop};
use cache::PrefixCache;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use stream::StreamRegistry;

/// Settings of a fake engine: speed, limits and announcement.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Settings of the target and of its announcements.
    pub target: TargetSettings,
    /// Number of prompt tokens computed per second.
    pub prefill_rate: f64,
    /// Output tokens per second of a stream that runs alone.
    pub decode_rate: f64,
    /// Relative increase of the step time for each additional decoding stream.
    pub batch_slowdown: f64,
    /// Maximum number of requests computed at a time. Further ones wait inside the engine.
    pub batch_limit: usize,
    /// Maximum number of prompt tokens computed within one step.
    pub prefill_chunk: u32,
    /// Capacity of the prefix cache, in blocks of 16 tokens.
    pub cache_blocks: usize,
    /// Maximum number of events of a stream that are kept for resumption.
    pub buffer_events: usize,
    /// Time for which an ended stream can be resumed, in milliseconds.
    pub retention_ms: u64,
    /// Time that the execution of an order takes, in milliseconds.
    pub order_ms: u64,
    /// Whether a crash ends the process. Otherwise only this engine stops.
    pub crash_exits: bool,
}

impl EngineSettings {
    /// Returns settings with this name and pool, and defaults for the rest.
    pub fn named(name: &str, pool: &str) -> Self {
        Self {
            target: TargetSettings::named(name, pool),
            prefill_rate: 8_000.0,
            decode_rate: 60.0,
            batch_slowdown: 0.05,
            batch_limit: 64,
            prefill_chunk: 512,
            cache_blocks: 4_096,
            buffer_events: 8_192,
            retention_ms: 60_000,
            order_ms: 200,
            crash_exits: false,
        }
    }
}

/// State that the threads of an engine share.
pub(crate) struct EngineCore {
    settings: EngineSettings,
    fault: Mutex<FaultSet>,
    cache: Mutex<PrefixCache>,
    events: Arc<Mutex<EventQueue>>,
    streams: Mutex<StreamRegistry>,
    waiting: Mutex<VecDeque<BatchItem>>,
    work: Condvar,
    running: AtomicUsize,
    /// Number of requests whose handler has not returned.
    open_requests: AtomicUsize,
    models: Mutex<Vec<String>>,
    journal: Mutex<TargetJournal>,
    stopped: AtomicBool,
    crashed: AtomicBool,
}

impl EngineCore {
    fn new(settings: EngineSettings) -> Self {
        let journal = TargetJournal {
            name: settings.target.name.clone(),
            incarnation: settings.target.incarnation,
            ..TargetJournal::default()
        };
        Self {
            fault: Mutex::default(),
            cache: Mutex::new(PrefixCache::new(settings.cache_blocks)),
            events: Arc::default(),
            streams: Mutex::new(StreamRegistry::new(settings.retention_ms)),
            waiting: Mutex::default(),
            work: Condvar::new(),
            running: AtomicUsize::new(0),
            open_requests: AtomicUsize::new(0),
            models: Mutex::new(settings.target.models.clone()),
            journal: Mutex::new(journal),
            stopped: AtomicBool::new(false),
            crashed: AtomicBool::new(false),
            settings,
        }
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    fn set_running(&self, count: usize) {
        self.running.store(count, Ordering::Release);
    }

    fn submit(&self, item: BatchItem) {
        locked(&self.waiting).push_back(item);
        self.work.notify_all();
    }

    /// Waits for new work for up to `wait`. Returns at once if the batch is empty and a request is
    /// already waiting.
    fn wait_for_work(&self, empty: bool, wait: Duration) {
        let waiting = locked(&self.waiting);
        if !empty || waiting.is_empty() {
            drop(self.work.wait_timeout(waiting, wait));
        }
    }

    fn status(&self) -> TargetStatus {
        let waiting = locked(&self.waiting).len();
        TargetStatus {
            running: u32::try_from(self.running.load(Ordering::Acquire)).unwrap_or(u32::MAX),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            models: locked(&self.models).clone(),
            silent: locked(&self.fault).freeze || self.crashed.load(Ordering::Acquire),
        }
    }
}

/// Running fake engine. Dropping it stops it without deregistering it.
pub struct FakeEngine {
    core: Arc<EngineCore>,
    http: HttpServer,
    announcer: TargetAnnouncer,
    batch: Option<JoinHandle<()>>,
}

impl FakeEngine {
    /// Starts the engine and its announcements.
    ///
    /// # Errors
    /// Fails if the address cannot be bound or a thread cannot be started.
    pub fn spawn(settings: EngineSettings) -> Result<Self, TestbedError> {
        let target = settings.target.clone();
        let core = Arc::new(EngineCore::new(settings));
        let handler = Arc::clone(&core);
        let http = HttpServer::bind(
            target.listen,
            Arc::new(move |request, caller| handler.handle(request, caller)),
        )?;
        let batch_loop = BatchLoop::new(Arc::clone(&core));
        let batch = thread::Builder::new()
            .name("fake-batch".to_owned())
            .spawn(move || batch_loop.run())
            .map_err(TestbedError::Thread)?;
        let probed = Arc::clone(&core);
        let probe: StatusProbe = Arc::new(move || probed.status());
        let events = Arc::clone(&core.events);
        let announcer =
            TargetAnnouncer::spawn(&target, TargetKind::Model, http.address(), events, probe)?;
        Ok(Self { core, http, announcer, batch: Some(batch) })
    }

    /// Returns the address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns a copy of the journal.
    pub fn journal(&self) -> TargetJournal {
        locked(&self.core.journal).clone()
    }

    /// Replaces the active faults.
    pub fn set_fault(&self, fault: FaultSet) {
        *locked(&self.core.fault) = fault;
    }

    /// Whether a crash marker stopped this engine.
    pub fn is_crashed(&self) -> bool {
        self.core.crashed.load(Ordering::Acquire)
    }

    /// Deregisters the engine at the control instances. Running streams continue. Returns whether a
    /// control instance accepted it.
    pub fn leave(&mut self) -> bool {
        self.announcer.leave()
    }

    /// Waits until no request is waiting or running and no response is being written.
    pub fn wait_idle(&self) {
        let core = &self.core;
        while !core.is_stopped() && core.open_requests.load(Ordering::Acquire) > 0 {
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Stops the engine at once, without deregistering it.
    pub fn stop(&mut self) {
        self.core.stopped.store(true, Ordering::Release);
        self.core.work.notify_all();
        self.announcer.stop();
        self.http.stop();
        if let Some(batch) = self.batch.take() {
            let _ = batch.join();
        }
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.stop();
    }
}
