//! Startup and reload of a node.

use super::{NodeError, NodeState};
use crate::allowance::AllowanceTracker;
use crate::budget::{BudgetRule, RetryBudget};
use crate::control;
use crate::frontend;
use crate::http_api::HttpApi;
use crate::memory_budget::MemoryBudget;
use crate::placement::{PlacementScheduler, ProcessKey};
use crate::register_service::{RegisterService, StoreHandle};
use crate::settings::{DeploymentLimits, NodeSettings};
use crate::shutdown::ShutdownStage;
use crate::streams::StreamTable;
use crate::traffic::TrafficTotals;
use crate::upstream::UpstreamPool;
use burdockcleat_core::clock::ClockTime;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};

/// Interval at which the seeds are read again from the settings, in seconds. They may change
/// without a signal.
const SETTINGS_POLL_S: u64 = 3;

/// Node whose listeners are bound.
pub struct NodeServer {
    state: Rc<NodeState>,
    callers: TcpListener,
    ready: TcpListener,
    control: TcpListener,
    peers: TcpListener,
    metrics: TcpListener,
}

fn budget_rule(limits: &DeploymentLimits) -> BudgetRule {
    BudgetRule {
        percent: limits.retry_percent,
        extra: limits.retry_extra,
        window_ms: limits.retry_window_ms,
    }
}

impl NodeServer {
    /// Binds all addresses of a node and opens its storage.
    ///
    /// # Errors
    /// Fails if an address is taken or the storage cannot be opened.
    pub async fn bind(settings: NodeSettings, http_api: HttpApi) -> Result<Self, NodeError> {
        let listen = async |address: SocketAddrV4| {
            TcpListener::bind(address).await.map_err(|source| NodeError::Listen { address, source })
        };
        let callers = listen(settings.caller_address).await?;
        let ready = listen(settings.ready_address).await?;
        let control = listen(settings.control_address).await?;
        let peers = listen(settings.peer_address).await?;
        let metrics = listen(settings.metrics_address).await?;
        let address = settings.peer_address;
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| NodeError::Listen { address, source })?;
        let process: u64 = rand::random();
        let store = match &settings.data_folder {
            Some(folder) => Some(StoreHandle::spawn(folder, rand::random())?),
            None => None,
        };
        let mut scheduler = PlacementScheduler::new(settings.size_rule);
        scheduler.set_features(settings.features.placement);
        let streams = RefCell::new(StreamTable::new(store.is_some()));
        let register = RegisterService::new(process, address, store);
        let state = NodeState {
            process: ProcessKey(process),
            targets: RefCell::default(),
            absences: RefCell::default(),
            limits: RefCell::default(),
            rollouts: RefCell::default(),
            rollouts_judged: Cell::default(),
            coordinating_since: Cell::default(),
            scheduler: RefCell::new(scheduler),
            peers: RefCell::default(),
            allowances: RefCell::new(AllowanceTracker::new(
                settings.limits.allowance,
                settings.first_start,
            )),
            budget: RefCell::new(RetryBudget::new(budget_rule(&settings.limits))),
            suspects: RefCell::default(),
            fetching_facts: RefCell::default(),
            checked_targets: RefCell::default(),
            suspects_changed: Notify::new(),
            streams,
            stream_lookups: RefCell::default(),
            streams_learned: Notify::new(),
            deadlines: RefCell::default(),
            durations: RefCell::default(),
            metrics: RefCell::default(),
            upstreams: UpstreamPool::new(settings.features.memory_bytes.is_some()),
            traffic: TrafficTotals::default(),
            register,
            stage: watch::Sender::new(ShutdownStage::Running),
            idle_limits: watch::Sender::default(),
            shutdown_plan: Cell::default(),
            started: ClockTime::monotonic(),
            socket,
            waiters: RefCell::default(),
            silent_coordinators: RefCell::default(),
            coordinator_changed: Notify::new(),
            process_checks: RefCell::default(),
            active: RefCell::default(),
            announcements: RefCell::default(),
            usable_targets: RefCell::default(),
            pauses: RefCell::default(),
            next_placement_key: Cell::new(rand::random()),
            status_sequence: Cell::new(0),
            status_log: RefCell::default(),
            running: Rc::default(),
            connections: Rc::default(),
            buffered_bytes: Cell::new(0),
            memory_budget: settings.features.memory_bytes.map(MemoryBudget::for_process),
            last_saved_memory: RefCell::default(),
            fetching_usage: Cell::default(),
            settings,
            http_api,
        };
        state.set_seeds(&state.settings.seeds);
        Ok(Self { state: Rc::new(state), callers, ready, control, peers, metrics })
    }

    /// Serves until SIGTERM, then shuts down once the callers' connections end or the grace period is
    /// over. `reload_seeds` reads the seeds again and returns `None` if they cannot be read.
    ///
    /// # Errors
    /// Fails if the signal handlers cannot be installed.
    pub async fn run<F>(self, reload_seeds: F) -> Result<(), NodeError>
    where
        F: Fn() -> Option<Vec<SocketAddrV4>> + 'static,
    {
        let node = self.state;
        let settings = &node.settings;
        log::info!(
            target: "burdockcleat",
            "event=node.started wall_ms={} process={:x} domain={} callers={} peers={} disk={:?} first_start={} seeds={:?}",
            ClockTime::wall().as_ms(),
            node.process.0, settings.domain, settings.caller_address, settings.peer_address,
            node.register.disk(), settings.first_start, settings.seeds
        );
        if let (Some(budget), Some(limit)) = (&node.memory_budget, settings.features.memory_bytes) {
            let total = budget.total();
            log::info!(target: "burdockcleat", "event=memory.budgeted limit={limit} total={total}");
        }
        let handler = |kind, what| signal(kind).map_err(|s| NodeError::Runtime { what, source: s });
        let mut terminate = handler(SignalKind::terminate(), "the SIGTERM handler")?;
        let mut reload = handler(SignalKind::hangup(), "the SIGHUP handler")?;
        node.restore_memory();
        node.restore_usage();
        node.restore_streams();
        let spawn = tokio::task::spawn_local::<std::pin::Pin<Box<dyn Future<Output = ()>>>>;
        spawn(Box::pin(frontend::accept_callers(node.clone(), self.callers)));
        spawn(Box::pin(control::accept_readiness(node.clone(), self.ready)));
        spawn(Box::pin(control::accept_control(node.clone(), self.control)));
        spawn(Box::pin(control::accept_metrics(node.clone(), self.metrics)));
        spawn(Box::pin(node.clone().accept_peers(self.peers)));
        spawn(Box::pin(node.clone().receive_datagrams()));
        spawn(Box::pin(node.clone().send_statuses()));
        spawn(Box::pin(node.clone().send_disk_statuses()));
        spawn(Box::pin(node.clone().exchange_streams()));
        spawn(Box::pin(node.clone().tick_scheduler()));
        spawn(Box::pin(node.clone().run_housekeeping()));
        spawn(Box::pin(node.clone().maintain_register()));
        let mut poll = tokio::time::interval(Duration::from_secs(SETTINGS_POLL_S));
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = reload.recv() => node.reload(&reload_seeds, "SIGHUP"),
                _ = poll.tick() => node.reload(&reload_seeds, "poll"),
            }
        }
        node.shut_down().await;
        Ok(())
    }
}

impl NodeState {
    fn set_seeds(&self, seeds: &[SocketAddrV4]) {
        let port = self.settings.peer_address.port();
        let seeds = seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), port));
        self.peers.borrow_mut().set_seeds(seeds);
    }

    fn reload<F>(&self, reload_seeds: &F, cause: &str)
    where
        F: Fn() -> Option<Vec<SocketAddrV4>>,
    {
        let Some(seeds) = reload_seeds() else {
            log::warn!(target: "burdockcleat", "event=node.reload_failed cause={cause}");
            return;
        };
        self.set_seeds(&seeds);
        if cause != "poll" {
            log::info!(target: "burdockcleat", "event=node.reloaded cause={cause} seeds={seeds:?}");
        }
    }
}
