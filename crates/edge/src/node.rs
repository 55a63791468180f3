//! The node: its state, its tasks and their start and end.

mod placing;
mod status;

pub(crate) use placing::{Placement, TicketGuard};

use crate::allowance::AllowanceLedger;
use crate::budget::{BudgetRule, RetryBudget};
use crate::config::{RequestLimits, RouteConfig};
use crate::control;
use crate::datagram::{MAX_DATAGRAM_BYTES, PeerDatagram};
use crate::dialect::WireDialect;
use crate::frontend;
use crate::logs;
use crate::membership::{RegisterService, StoreHandle};
use crate::metrics::MetricSet;
use crate::peers::PeerTable;
use crate::placement::{ActiveTicket, PlacementBoard, ProcessKey, TargetKey, TicketKey};
use crate::settings::NodeSettings;
use crate::shutdown::{ShutdownPlan, ShutdownStage};
use crate::slots::SlotError;
use crate::suspects::SuspectLedger;
use crate::targets::{AgedNotice, TargetAnnouncement, TargetNotice, TargetTable};
use crate::upstream::UpstreamPool;
use burdockcleat_core::clock::ClockTime;
use placing::Waiter;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Pause between two looks at waiting requests, in ms.
const BOARD_TICK_MS: u64 = 25;
/// Pause between two rounds of housekeeping, in ms.
const HOUSE_TICK_MS: u64 = 1_000;
/// Time for which a notice about a leaving target is repeated, in ms after the first.
const NOTICE_REPEATS_MS: [u64; 3] = [60, 250, 700];
/// Pause between two looks at the shutdown, in ms.
const SHUTDOWN_TICK_MS: u64 = 50;

/// A node that could not start or go on.
#[derive(Debug)]
#[derive(Error)]
pub enum NodeError {
    /// An address could not be bound.
    #[error("listening on {address}")]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// Cause.
        source: std::io::Error,
    },
    /// The replica's storage could not be opened.
    #[error("opening the storage of the register")]
    Storage(#[from] SlotError),
    /// The runtime or a signal handler could not be set up.
    #[error("setting up {what}")]
    Runtime {
        /// What was set up.
        what: &'static str,
        /// Cause.
        source: std::io::Error,
    },
}

/// State that the tasks of a node share. All of them run on one thread.
pub(crate) struct NodeState {
    pub(crate) settings: NodeSettings,
    pub(crate) dialect: WireDialect,
    pub(crate) process: ProcessKey,
    pub(crate) targets: RefCell<TargetTable>,
    pub(crate) board: RefCell<PlacementBoard>,
    pub(crate) peers: RefCell<PeerTable>,
    pub(crate) ledger: RefCell<AllowanceLedger>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) suspects: RefCell<SuspectLedger>,
    pub(crate) metrics: RefCell<MetricSet>,
    pub(crate) upstreams: UpstreamPool,
    pub(crate) register: RegisterService,
    pub(crate) stage: watch::Sender<ShutdownStage>,
    pub(crate) started: ClockTime,
    socket: UdpSocket,
    waiters: RefCell<HashMap<TicketKey, Waiter>>,
    active: RefCell<BTreeMap<TicketKey, ActiveTicket>>,
    target_keys: RefCell<HashMap<TargetKey, TargetAnnouncement>>,
    usable: RefCell<BTreeSet<TargetKey>>,
    next_ticket: Cell<u64>,
    status_sequence: Cell<u64>,
    running: Cell<usize>,
}

/// Counts a request as running until it is dropped.
pub(crate) struct RunningGuard(Rc<NodeState>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// A node with its listeners bound.
pub struct NodeServer {
    state: Rc<NodeState>,
    callers: TcpListener,
    ready: TcpListener,
    control: TcpListener,
    peers: TcpListener,
    metrics: TcpListener,
}

/// Key of an incarnation of a target.
pub(crate) fn target_key(announcement: &TargetAnnouncement) -> TargetKey {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    hash.update(announcement.id.as_bytes());
    hash.update(&announcement.incarnation.to_le_bytes());
    TargetKey(hash.digest())
}

impl NodeState {
    /// The document in force.
    pub(crate) fn config(&self) -> Option<Rc<RouteConfig>> {
        self.register.config()
    }

    /// Limits of callers' requests in force.
    pub(crate) fn limits(&self) -> RequestLimits {
        self.config().map_or_else(RequestLimits::default, |config| config.limits)
    }

    /// Part of the nodes that this one hears, itself included.
    pub(crate) fn heard_part(&self, now: ClockTime) -> f64 {
        let (alive, expected) = self.peers.borrow().census(now);
        alive as f64 / expected.max(1) as f64
    }

    /// Number of nodes.
    pub(crate) fn node_count(&self, now: ClockTime) -> usize {
        self.peers.borrow().census(now).1
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn count_running(self: &Rc<Self>) -> RunningGuard {
        self.running.set(self.running.get() + 1);
        RunningGuard(self.clone())
    }

    /// A new key for a request.
    pub(crate) fn next_ticket(&self) -> TicketKey {
        let next = self.next_ticket.get();
        self.next_ticket.set(next.wrapping_add(1));
        TicketKey(next)
    }

    /// Sends a datagram to a node. A failure is as good as a loss.
    pub(crate) fn send_to(&self, address: SocketAddrV4, datagram: &PeerDatagram) {
        let bytes = match postcard::to_stdvec(datagram) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::warn!(target: "burdockcleat", "event=peer.encode_failed cause=\"{error}\"");
                return;
            }
        };
        if let Err(error) = self.socket.try_send_to(&bytes, address.into()) {
            log::debug!(target: "burdockcleat", "event=peer.send_failed peer={address} cause=\"{error}\"");
        }
    }

    /// Sends a datagram to all nodes that are heard.
    pub(crate) fn broadcast(&self, datagram: &PeerDatagram) {
        let now = ClockTime::monotonic();
        let peers = self.peers.borrow();
        let addresses: Vec<_> = peers.alive(now).map(|record| record.status.address).collect();
        drop(peers);
        for address in addresses {
            self.send_to(address, datagram);
        }
    }

    /// Takes in a notice of a target. `direct` tells that it came from the target itself.
    pub(crate) fn apply_notice(self: &Rc<Self>, notice: &TargetNotice, direct: bool) {
        use crate::targets::TargetChange::{Joined, Leaving, Refreshed, Stale};
        let now = ClockTime::monotonic();
        let change = self.targets.borrow_mut().apply(notice, now);
        if change == Stale {
            return;
        }
        if change != Refreshed {
            log::info!(target: "burdockcleat", "event=target.{change:?} notice={notice:?} direct={direct}");
            self.refresh_targets();
        }
        if direct {
            let datagram = PeerDatagram::Notice(notice.clone());
            self.broadcast(&datagram);
            if matches!(change, Joined | Leaving) {
                let node = self.clone();
                tokio::task::spawn_local(async move {
                    for pause_ms in NOTICE_REPEATS_MS {
                        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                        node.broadcast(&datagram);
                    }
                });
            }
        }
    }

    /// Ends an incarnation whose address answered as another one.
    pub(crate) fn end_target(&self, announcement: &TargetAnnouncement) {
        log::info!(
            target: "burdockcleat",
            "event=target.misdirected target={} incarnation={}", announcement.id, announcement.incarnation
        );
        self.targets.borrow_mut().end(&announcement.id, announcement.incarnation);
        self.refresh_targets();
    }

    /// Records that a target broke while it ran a request, here and at the other nodes.
    pub(crate) fn suspect(&self, fingerprint: u64, announcement: &TargetAnnouncement) {
        let incarnation = format!("{}/{}", announcement.id, announcement.incarnation);
        let now = ClockTime::monotonic();
        let count = self.suspects.borrow_mut().record(fingerprint, &incarnation, now);
        log::info!(
            target: "burdockcleat",
            "event=request.suspected fingerprint={fingerprint:x} target={incarnation} targets={count}"
        );
        self.broadcast(&PeerDatagram::Suspect { fingerprint, incarnation });
    }

    /// Takes over a new document: allowances and targets of its services.
    pub(crate) fn config_changed(&self) {
        let Some(config) = self.config() else { return };
        let now = ClockTime::monotonic();
        let mut ledger = self.ledger.borrow_mut();
        for workspace in config.workspaces.iter().flatten() {
            let key = crate::dispatch::workspace_key(&workspace.name);
            if ledger.configure(key, workspace.rate_per_s, workspace.burst, now) {
                log::info!(
                    target: "burdockcleat",
                    "event=allowance.configured workspace={} rate_per_s={} burst={} tokens={} config={}",
                    workspace.name, workspace.rate_per_s, workspace.burst, workspace.counts_tokens, config.version
                );
            }
        }
        drop(ledger);
        self.refresh_targets();
        self.register.config_known.notify_waiters();
    }

    /// Takes over what another node knows of targets.
    pub(crate) fn take_over_targets(&self, targets: &[AgedNotice]) {
        let now = ClockTime::monotonic();
        let mut table = self.targets.borrow_mut();
        for AgedNotice { notice, age_ms } in targets {
            // The clock begins with the process: what is older than it counts as heard at its start.
            let heard = ClockTime::from_ms(now.as_ms().saturating_sub(*age_ms));
            table.apply(notice, heard);
        }
        drop(table);
        self.refresh_targets();
    }

    async fn receive_datagrams(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, std::net::SocketAddr::V4(from))) => {
                    match postcard::from_bytes(&buffer[..length]) {
                        Ok(datagram) => self.handle_datagram(from, datagram),
                        Err(error) => {
                            log::warn!(target: "burdockcleat", "event=peer.decode_failed peer={from} cause=\"{error}\"");
                        }
                    }
                }
                Ok(_) => {}
                Err(error) => {
                    log::debug!(target: "burdockcleat", "event=peer.receive_failed cause=\"{error}\"");
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
        }
    }

    fn handle_datagram(self: &Rc<Self>, from: SocketAddrV4, datagram: PeerDatagram) {
        let now = ClockTime::monotonic();
        match datagram {
            PeerDatagram::Status(status) => self.hear_status(status, now),
            PeerDatagram::Notice(notice) => self.apply_notice(&notice, false),
            PeerDatagram::Suspect { fingerprint, incarnation } => {
                self.suspects.borrow_mut().record(fingerprint, &incarnation, now);
            }
            PeerDatagram::Submit(ticket) => self.hear_submit(from, ticket, now),
            PeerDatagram::Decision { key, decision } => self.hear_decision(from, key, decision),
            PeerDatagram::Withdraw(key) => self.board.borrow_mut().withdraw(key),
            PeerDatagram::Started { key, target } => {
                self.board.borrow_mut().started(target, key, now);
            }
            PeerDatagram::Finished { key, target, outcome } => {
                self.board.borrow_mut().finished(target, key, outcome, now);
                self.flush_board();
            }
        }
    }

    async fn tick_board(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(BOARD_TICK_MS)).await;
            if self.board.borrow().waiting_count() > 0 {
                self.board.borrow_mut().advance(ClockTime::monotonic());
                self.flush_board();
            }
        }
    }

    async fn keep_house(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(HOUSE_TICK_MS)).await;
            let now = ClockTime::monotonic();
            for peer in self.peers.borrow_mut().take_lost(now) {
                log::info!(target: "burdockcleat", "event=peer.lost peer={peer}");
            }
            let peers = self.peers.borrow();
            let kept = |process| peers.address_of(ProcessKey(process), now).is_some();
            self.ledger.borrow_mut().retain_reporters(kept);
            drop(peers);
            self.targets.borrow_mut().prune(now);
            self.peers.borrow_mut().prune(now);
            self.upstreams.prune(now);
            self.board.borrow_mut().advance(now);
            self.flush_board();
            self.set_gauges(now);
            if self.places_for_all(now) {
                for line in self.board.borrow().summarize(now) {
                    log::info!(target: "burdockcleat", "event=placement.state {line}");
                }
            }
        }
    }

    fn set_gauges(&self, now: ClockTime) {
        let (alive, expected) = self.peers.borrow().census(now);
        let mut metrics = self.metrics.borrow_mut();
        metrics.set("nodes", "alive", alive as f64);
        metrics.set("nodes", "expected", expected as f64);
        metrics.set("targets", "known", self.targets.borrow().len() as f64);
        metrics.set("requests", "running", self.running.get() as f64);
        metrics.set("requests", "waiting", self.board.borrow().waiting_count() as f64);
        metrics.set("log_lines", "dropped", logs::dropped_lines() as f64);
        if let Some(config) = self.config() {
            metrics.set("config", "version", config.version as f64);
            for service in config.services.keys() {
                metrics.set("retries_left", service, self.budget.borrow().left(service));
            }
        }
    }
}

impl NodeServer {
    /// Binds all addresses of a node.
    ///
    /// # Errors
    /// Fails if an address is taken or the storage cannot be opened.
    pub async fn bind(settings: NodeSettings, dialect: WireDialect) -> Result<Self, NodeError> {
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
        let rule = BudgetRule {
            percent: settings.bounds.retry_percent,
            extra: settings.bounds.retry_extra,
            window_ms: settings.bounds.retry_window_ms,
        };
        let register = RegisterService::new(process, address, store);
        let state = NodeState {
            process: ProcessKey(process),
            targets: RefCell::default(),
            board: RefCell::default(),
            peers: RefCell::default(),
            ledger: RefCell::new(AllowanceLedger::new(
                settings.bounds.allowance,
                settings.first_start,
            )),
            budget: RefCell::new(RetryBudget::new(rule)),
            suspects: RefCell::default(),
            metrics: RefCell::default(),
            upstreams: UpstreamPool::default(),
            register,
            stage: watch::Sender::new(ShutdownStage::Running),
            started: ClockTime::monotonic(),
            socket,
            waiters: RefCell::default(),
            active: RefCell::default(),
            target_keys: RefCell::default(),
            usable: RefCell::default(),
            next_ticket: Cell::new(rand::random()),
            status_sequence: Cell::new(0),
            running: Cell::new(0),
            settings,
            dialect,
        };
        state.set_seeds(&state.settings.seeds);
        Ok(Self { state: Rc::new(state), callers, ready, control, peers, metrics })
    }

    /// Serves until SIGTERM and the end of the requests that run. `reload_seeds` reads the seeds
    /// anew; none if they cannot be read.
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
            "event=node.started process={:x} domain={} callers={} peers={} disk={:?} first_start={} seeds={:?}",
            node.process.0, settings.domain, settings.caller_address, settings.peer_address,
            node.register.disk(), settings.first_start, settings.seeds
        );
        let handler = |kind, what| signal(kind).map_err(|s| NodeError::Runtime { what, source: s });
        let mut terminate = handler(SignalKind::terminate(), "the SIGTERM handler")?;
        let mut reload = handler(SignalKind::hangup(), "the SIGHUP handler")?;
        let spawn = tokio::task::spawn_local::<std::pin::Pin<Box<dyn Future<Output = ()>>>>;
        spawn(Box::pin(frontend::accept_callers(node.clone(), self.callers)));
        spawn(Box::pin(control::accept_readiness(node.clone(), self.ready)));
        spawn(Box::pin(control::accept_control(node.clone(), self.control)));
        spawn(Box::pin(control::accept_metrics(node.clone(), self.metrics)));
        spawn(Box::pin(node.clone().accept_peers(self.peers)));
        spawn(Box::pin(node.clone().receive_datagrams()));
        spawn(Box::pin(node.clone().send_statuses()));
        spawn(Box::pin(node.clone().tick_board()));
        spawn(Box::pin(node.clone().keep_house()));
        spawn(Box::pin(node.clone().keep_register()));
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

/// Pause between two looks at the settings, which may change without a signal, in s.
const SETTINGS_POLL_S: u64 = 3;

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

    async fn shut_down(self: Rc<Self>) {
        let now = ClockTime::monotonic();
        let plan = ShutdownPlan::new(now, self.settings.bounds.grace_ms);
        log::info!(target: "burdockcleat", "event=node.stopping running={}", self.running.get());
        self.stage.send_replace(ShutdownStage::Withdrawn);
        self.send_status();
        loop {
            tokio::time::sleep(Duration::from_millis(SHUTDOWN_TICK_MS)).await;
            let now = ClockTime::monotonic();
            if now >= plan.close_at && *self.stage.borrow() != ShutdownStage::Closing {
                self.stage.send_replace(ShutdownStage::Closing);
                continue;
            }
            let idle = self.running.get() == 0 && *self.stage.borrow() == ShutdownStage::Closing;
            if idle || now >= plan.exit_at {
                break;
            }
        }
        log::info!(target: "burdockcleat", "event=node.stopped running={}", self.running.get());
    }
}
