//! The node: its state, its tasks and their start and end.

mod datagrams;
mod placing;
mod recovery;
mod server;
mod status;
mod usable;

pub(crate) use placing::{Placement, TicketGuard};
pub use server::NodeServer;

use crate::allowance::{AllowanceLedger, admitted_part};
use crate::budget::RetryBudget;
use crate::config::{RequestLimits, RouteConfig};
use crate::datagram::PeerDatagram;
use crate::deadlines::DeadlineTracker;
use crate::http_api::HttpApi;
use crate::logs;
use crate::memory::StoredMemory;
use crate::metrics::MetricSet;
use crate::peers::PeerTable;
use crate::placement::{ActiveRequest, PlacementKey, PlacementScheduler, ProcessKey, TargetKey};
use crate::register_service::RegisterService;
use crate::settings::NodeSettings;
use crate::shutdown::ShutdownStage;
use crate::slots::SlotError;
use crate::suspects::SuspectLedger;
use crate::targets::{TargetAnnouncement, TargetNotice, TargetTable};
use crate::upstream::UpstreamPool;
use burdockcleat_core::clock::ClockTime;
use placing::Waiter;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

/// Pause between two looks at waiting requests, in ms.
const BOARD_TICK_MS: u64 = 25;
/// Pause between two rounds of housekeeping, in ms.
const HOUSE_TICK_MS: u64 = 1_000;
/// Time for which a notice about a leaving target is repeated, in ms after the first.
const NOTICE_REPEATS_MS: [u64; 3] = [60, 250, 700];

/// Time after which a placing node that did not answer is asked again, in ms, unless it is heard.
const SILENT_HOLDER_MS: u64 = 10_000;

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
    pub(crate) http_api: HttpApi,
    pub(crate) process: ProcessKey,
    pub(crate) targets: RefCell<TargetTable>,
    pub(crate) board: RefCell<PlacementScheduler>,
    pub(crate) peers: RefCell<PeerTable>,
    pub(crate) ledger: RefCell<AllowanceLedger>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) suspects: RefCell<SuspectLedger>,
    pub(crate) deadlines: RefCell<DeadlineTracker>,
    pub(crate) metrics: RefCell<MetricSet>,
    pub(crate) upstreams: UpstreamPool,
    pub(crate) register: RegisterService,
    pub(crate) stage: watch::Sender<ShutdownStage>,
    pub(crate) started: ClockTime,
    socket: UdpSocket,
    waiters: RefCell<HashMap<PlacementKey, Waiter>>,
    /// Placing nodes that did not answer, and since when.
    silent_holders: RefCell<BTreeMap<SocketAddrV4, ClockTime>>,
    /// Told when requests may have to be placed by another node.
    holder_changed: Notify,
    active: RefCell<BTreeMap<PlacementKey, ActiveRequest>>,
    target_keys: RefCell<HashMap<TargetKey, TargetAnnouncement>>,
    usable: RefCell<BTreeSet<TargetKey>>,
    next_ticket: Cell<u64>,
    status_sequence: Cell<u64>,
    running: Cell<usize>,
    /// Bytes of answers that are being read whole.
    pub(crate) buffered: Cell<usize>,
    /// What was written down last for the next start.
    remembered: RefCell<Option<StoredMemory>>,
}

/// Counts a request as running until it is dropped.
pub(crate) struct RunningGuard(Rc<NodeState>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
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
    pub(crate) fn reachable_fraction(&self, now: ClockTime) -> f64 {
        let (alive, expected) = self.peers.borrow().node_counts(now);
        alive as f64 / expected.max(1) as f64
    }

    /// Part of the allowances that this node may admit.
    pub(crate) fn admitted_part(&self, now: ClockTime) -> f64 {
        let peers = self.peers.borrow();
        let (heard, expected) = peers.node_counts(now);
        admitted_part(heard, expected, peers.down_disk_count(now))
    }

    /// Number of nodes.
    pub(crate) fn node_count(&self, now: ClockTime) -> usize {
        self.peers.borrow().node_counts(now).1
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn count_running(self: &Rc<Self>) -> RunningGuard {
        self.running.set(self.running.get() + 1);
        RunningGuard(self.clone())
    }

    /// A new key for a request.
    pub(crate) fn next_ticket(&self) -> PlacementKey {
        let next = self.next_ticket.get();
        self.next_ticket.set(next.wrapping_add(1));
        PlacementKey(next)
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
            self.remember();
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
        self.targets.borrow_mut().mark_left(&announcement.id, announcement.incarnation);
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
    pub(crate) fn apply_config(&self) {
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
            let lost = self.peers.borrow_mut().take_newly_down(now);
            for peer in &lost {
                log::info!(target: "burdockcleat", "event=peer.lost peer={peer}");
            }
            if !lost.is_empty() {
                self.holder_changed.notify_waiters();
            }
            let peers = self.peers.borrow();
            let kept = |process| peers.address_of(ProcessKey(process), now).is_some();
            self.ledger.borrow_mut().retain_reporters(kept);
            drop(peers);
            self.targets.borrow_mut().prune(now);
            self.peers.borrow_mut().prune(now);
            self.silent_holders
                .borrow_mut()
                .retain(|_, since| now.since(*since) < SILENT_HOLDER_MS);
            self.upstreams.prune(now);
            if let Some(config) = self.config() {
                let limits = config.services.values().map(|service| service.connection_limit);
                let lowest = limits.filter(|limit| *limit > 0).min().unwrap_or(0);
                self.upstreams.set_limit(lowest, self.node_count(now));
            }
            self.board.borrow_mut().advance(now);
            self.flush_board();
            self.remember();
            self.set_gauges(now);
            if self.places_for_all(now) {
                for line in self.board.borrow().summarize(now) {
                    log::info!(target: "burdockcleat", "event=placement.state {line}");
                }
            }
        }
    }

    fn set_gauges(&self, now: ClockTime) {
        let (alive, expected) = self.peers.borrow().node_counts(now);
        let mut metrics = self.metrics.borrow_mut();
        metrics.set("nodes", "alive", alive as f64);
        metrics.set("nodes", "expected", expected as f64);
        metrics.set("targets", "known", self.targets.borrow().len() as f64);
        metrics.set("requests", "running", self.running.get() as f64);
        metrics.set("requests", "waiting", self.board.borrow().waiting_count() as f64);
        for (service, age_ms) in self.board.borrow().queue_ages(now) {
            metrics.set("queue_age_ms", service, age_ms as f64);
        }
        metrics.set("log_lines", "dropped", logs::dropped_lines() as f64);
        if let Some(config) = self.config() {
            metrics.set("config", "version", config.version as f64);
            for service in config.services.keys() {
                metrics.set("retries_left", service, self.budget.borrow().left(service));
            }
        }
    }
}
