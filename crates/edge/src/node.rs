//! State and background tasks of a node.

mod absence;
mod datagrams;
mod exchange;
mod lost_nodes;
mod pauses;
mod placing;
mod recovery;
mod returns;
mod rollouts;
mod server;
mod shares;
mod status;
mod stopping;
mod streams;
mod suspects;
mod target_checks;
mod target_limits;
mod target_load;
mod targets;

pub(crate) use placing::{ActiveRequestGuard, Placement};
pub use server::NodeServer;

use crate::absence::AbsenceTracker;
use crate::allowance::{AllowanceTracker, NodeView};
use crate::budget::RetryBudget;
use crate::config::{RequestLimits, RouteConfig};
use crate::datagram::PeerDatagram;
use crate::deadlines::DeadlineTracker;
use crate::durations::DurationTracker;
use crate::facts::FactKind;
use crate::http_api::HttpApi;
use crate::idle::IdleLimits;
use crate::logs;
use crate::memory::StoredMemory;
use crate::memory_budget::MemoryBudget;
use crate::metrics::MetricSet;
use crate::peers::PeerTable;
use crate::placement::{ActiveRequest, PlacementKey, PlacementScheduler, ProcessKey, TargetKey};
use crate::process_checks::ProcessChecks;
use crate::register_service::RegisterService;
use crate::rollout::RolloutTracker;
use crate::settings::NodeSettings;
use crate::shutdown::{ShutdownPlan, ShutdownStage};
use crate::slots::SlotError;
use crate::status_parts::StatusLog;
use crate::streams::{PendingLookups, StreamTable};
use crate::suspects::SuspectTracker;
use crate::target_limits::LimitTable;
use crate::targets::{TargetAnnouncement, TargetNotice, TargetTable};
use crate::traffic::TrafficTotals;
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

/// Interval at which waiting requests are reconsidered, in ms.
const SCHEDULER_TICK_MS: u64 = 25;
/// Interval of the housekeeping task, in ms.
const HOUSEKEEPING_INTERVAL_MS: u64 = 1_000;
/// Fraction of an allowance from which its usage is logged by the housekeeping task.
const LOGGED_USAGE_FRACTION: f64 = 0.05;
/// Pauses before the repetitions of a notice about a target that joins or leaves, in ms.
const NOTICE_REPEATS_MS: [u64; 3] = [60, 250, 700];

/// Time after which a silent placement coordinator is tried again, in ms, if it sends no status
/// earlier.
const COORDINATOR_RETRY_MS: u64 = 10_000;

/// Error that prevents a node from starting or running.
#[derive(Debug)]
#[derive(Error)]
pub enum NodeError {
    /// An address could not be bound.
    #[error("failed to listen on {address}")]
    Listen {
        /// Address that could not be bound.
        address: SocketAddrV4,
        /// Cause.
        source: std::io::Error,
    },
    /// The storage of the replica could not be opened.
    #[error("failed to open the storage of the register")]
    Storage(#[from] SlotError),
    /// The runtime or a signal handler could not be set up.
    #[error("failed to set up {what}")]
    Runtime {
        /// Component that failed.
        what: &'static str,
        /// Cause.
        source: std::io::Error,
    },
}

/// State shared by the tasks of a node, which all run on one thread.
pub(crate) struct NodeState {
    pub(crate) settings: NodeSettings,
    pub(crate) http_api: HttpApi,
    pub(crate) process: ProcessKey,
    pub(crate) targets: RefCell<TargetTable>,
    absences: RefCell<AbsenceTracker>,
    pub(crate) limits: RefCell<LimitTable>,
    rollouts: RefCell<RolloutTracker>,
    /// Time of the last judgement of versions on trial.
    rollouts_judged: Cell<ClockTime>,
    /// Time since which this node coordinates without leaving out another one.
    coordinating_since: Cell<Option<ClockTime>>,
    pub(crate) scheduler: RefCell<PlacementScheduler>,
    pub(crate) peers: RefCell<PeerTable>,
    pub(crate) allowances: RefCell<AllowanceTracker>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) suspects: RefCell<SuspectTracker>,
    pub(crate) deadlines: RefCell<DeadlineTracker>,
    pub(crate) durations: RefCell<DurationTracker>,
    pub(crate) metrics: RefCell<MetricSet>,
    pub(crate) upstreams: UpstreamPool,
    traffic: TrafficTotals,
    pub(crate) register: RegisterService,
    pub(crate) stage: watch::Sender<ShutdownStage>,
    pub(crate) idle_limits: watch::Sender<IdleLimits>,
    /// Set before the stage changes for the first time.
    shutdown_plan: Cell<Option<ShutdownPlan>>,
    pub(crate) started: ClockTime,
    socket: UdpSocket,
    waiters: RefCell<HashMap<PlacementKey, Waiter>>,
    /// Placement coordinators that did not respond, with the time at which each was marked.
    silent_coordinators: RefCell<BTreeMap<SocketAddrV4, ClockTime>>,
    /// Notified when the placement coordinator may have changed.
    coordinator_changed: Notify,
    process_checks: RefCell<ProcessChecks>,
    active: RefCell<BTreeMap<PlacementKey, ActiveRequest>>,
    announcements: RefCell<HashMap<TargetKey, TargetAnnouncement>>,
    usable_targets: RefCell<BTreeSet<TargetKey>>,
    /// Targets that want no requests from this node, with the end of that time.
    pauses: RefCell<BTreeMap<TargetKey, ClockTime>>,
    next_placement_key: Cell<u64>,
    status_sequence: Cell<u64>,
    status_log: RefCell<StatusLog>,
    running: Rc<Cell<usize>>,
    /// Number of open connections of callers.
    connections: Rc<Cell<usize>>,
    /// Memory for bodies, responses and queued events, if it is budgeted.
    pub(crate) memory_budget: Option<MemoryBudget>,
    /// Total size of the responses that are being buffered without a budget.
    pub(crate) buffered_bytes: Cell<usize>,
    /// Memory that was last saved for the next start.
    last_saved_memory: RefCell<Option<StoredMemory>>,
    /// Whether the usage of allowances is being fetched from another node.
    fetching_usage: Cell<bool>,
    /// Facts that are being fetched from another node.
    fetching_facts: RefCell<BTreeSet<FactKind>>,
    /// Targets that are being asked whether they are leaving.
    checked_targets: RefCell<BTreeSet<TargetKey>>,
    /// Notified when the blocked suspects have changed.
    suspects_changed: Notify,
    streams: RefCell<StreamTable>,
    /// Streams that requests wait for.
    stream_lookups: RefCell<PendingLookups>,
    /// Notified when other nodes have sent records while requests wait for some.
    streams_learned: Notify,
}

/// Counts a request or connection until it is dropped.
pub(crate) struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns the key of one incarnation of a target.
pub(crate) fn target_key(announcement: &TargetAnnouncement) -> TargetKey {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    hash.update(announcement.id.as_bytes());
    hash.update(&announcement.incarnation.to_le_bytes());
    TargetKey(hash.digest())
}

impl NodeState {
    /// Returns the active configuration.
    pub(crate) fn config(&self) -> Option<Rc<RouteConfig>> {
        self.register.config()
    }

    /// Returns the active limits of callers' requests.
    pub(crate) fn limits(&self) -> RequestLimits {
        self.config().map_or_else(RequestLimits::default, |config| config.limits)
    }

    /// Returns the fraction of all nodes that this node can reach, including itself.
    pub(crate) fn reachable_fraction(&self, now: ClockTime) -> f64 {
        let (alive, expected) = self.peers.borrow().node_counts(now);
        alive as f64 / expected.max(1) as f64
    }

    /// Returns what this node knows about the others, to admit requests within the allowances.
    pub(crate) fn node_view(&self, now: ClockTime) -> NodeView {
        self.peers.borrow().node_view(self.register.disk().is_some(), now)
    }

    /// Returns the expected number of nodes.
    pub(crate) fn node_count(&self, now: ClockTime) -> usize {
        self.peers.borrow().node_counts(now).1
    }

    /// Counts a request as running until the guard is dropped.
    pub(crate) fn track_running(&self) -> CountGuard {
        CountGuard::new(&self.running)
    }

    /// Counts a connection of a caller as open until the guard is dropped.
    pub(crate) fn track_connection(&self) -> CountGuard {
        CountGuard::new(&self.connections)
    }

    /// Returns a new key for a placement request.
    pub(crate) fn next_placement_key(&self) -> PlacementKey {
        let next = self.next_placement_key.get();
        self.next_placement_key.set(next.wrapping_add(1));
        PlacementKey(next)
    }

    /// Applies a notice about a target. `direct` means that it came from the target itself, so it
    /// is forwarded to the other nodes.
    pub(crate) fn apply_notice(self: &Rc<Self>, notice: &TargetNotice, direct: bool) {
        use crate::targets::TargetChange::{Doubtful, Joined, Leaving, Refreshed, Stale};
        if let TargetNotice::Announced(announcement) = notice
            && !direct
            && self.must_check(announcement)
        {
            return self.check_in_background(announcement.clone());
        }
        let now = ClockTime::monotonic();
        let change = self.targets.borrow_mut().apply(notice, now);
        if change == Stale {
            return;
        }
        if change == Doubtful
            && let TargetNotice::Left { id, .. } = notice
        {
            self.check_doubtful(id);
        }
        if change != Refreshed {
            log::info!(target: "burdockcleat", "event=target.{change:?} notice={notice:?} direct={direct}");
            self.refresh_targets();
            self.save_memory();
        }
        if direct {
            let datagram = PeerDatagram::Notice(notice.clone());
            self.broadcast(&datagram);
            if matches!(change, Joined | Leaving | Doubtful) {
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

    /// Marks an incarnation as ended because its address responded as another one.
    pub(crate) fn end_target(&self, announcement: &TargetAnnouncement) {
        log::info!(
            target: "burdockcleat",
            "event=target.misdirected target={} incarnation={}", announcement.id, announcement.incarnation
        );
        self.targets.borrow_mut().mark_misdirected(&announcement.id, announcement.incarnation);
        self.refresh_targets();
    }

    /// Applies a new configuration: the idle timeout, the allowances and the targets of its services.
    pub(crate) fn apply_config(&self) {
        let Some(config) = self.config() else { return };
        let now = ClockTime::monotonic();
        self.idle_limits.send_modify(|limits| limits.set(config.limits.idle_ms, now));
        let mut tracker = self.allowances.borrow_mut();
        for workspace in config.workspaces.iter().flatten() {
            let key = crate::dispatch::workspace_key(&workspace.name);
            if tracker.configure(key, workspace.rate_per_s, workspace.burst, now) {
                log::info!(
                    target: "burdockcleat",
                    "event=allowance.configured workspace={} rate_per_s={} burst={} tokens={} config={}",
                    workspace.name, workspace.rate_per_s, workspace.burst, workspace.counts_tokens, config.version
                );
            }
        }
        drop(tracker);
        self.apply_stream_retention(config.routes.iter().map(|route| route.timeout_ms));
        self.refresh_targets();
        self.register.config_known.notify_waiters();
    }

    async fn tick_scheduler(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(SCHEDULER_TICK_MS)).await;
            self.save_usage();
            self.mark_presence(ClockTime::monotonic());
            self.apply_limits(ClockTime::monotonic());
            self.update_memory(ClockTime::monotonic());
            self.tick_rollouts(ClockTime::monotonic());
            if self.scheduler.borrow().waiting_count() > 0 {
                self.check_silent_nodes(ClockTime::monotonic());
                self.scheduler.borrow_mut().advance(ClockTime::monotonic());
                self.deliver_decisions();
            }
        }
    }

    async fn run_housekeeping(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(HOUSEKEEPING_INTERVAL_MS)).await;
            let now = ClockTime::monotonic();
            let lost = self.peers.borrow_mut().take_newly_down(now);
            for (peer, process) in &lost {
                log::info!(target: "burdockcleat", "event=peer.lost peer={peer}");
                // A decision would not reach the node, and a granted slot would stay unused. A node
                // that is cut off has its requests placed elsewhere.
                self.scheduler.borrow_mut().withdraw_process(*process);
            }
            if !lost.is_empty() {
                self.coordinator_changed.notify_waiters();
            }
            let processes = self.peers.borrow().admitting_processes(now);
            let kept = |process| processes.contains(&ProcessKey(process));
            self.allowances.borrow_mut().retain_reporters(kept, now);
            self.targets.borrow_mut().prune(now);
            self.prune_limits(now);
            self.prune_pauses(now);
            self.streams.borrow_mut().prune(now);
            self.peers.borrow_mut().prune(now);
            self.silent_coordinators
                .borrow_mut()
                .retain(|_, since| now.since(*since) < COORDINATOR_RETRY_MS);
            self.upstreams.prune(now);
            if let Some(config) = self.config() {
                let limits = config.services.values().map(|service| service.connection_limit);
                let lowest = limits.filter(|limit| *limit > 0).min().unwrap_or(0);
                self.upstreams.set_limit(lowest, self.node_count(now));
            }
            self.scheduler.borrow_mut().advance(now);
            self.deliver_decisions();
            self.update_blocked(now);
            self.save_memory();
            self.set_gauges(now);
            self.log_allowances(now);
            self.report_rollouts(now);
            self.report_returns();
            if self.is_coordinator(now) {
                self.report_shares();
                for line in self.scheduler.borrow().summarize(now) {
                    log::info!(target: "burdockcleat", "event=placement.state {line}");
                }
            }
        }
    }

    /// Logs the usage of the workspaces that have used a large part of their allowance. The amounts
    /// of all nodes together are the usage of the deployment.
    fn log_allowances(&self, now: ClockTime) {
        let Some(config) = self.config() else { return };
        let mut tracker = self.allowances.borrow_mut();
        for workspace in config.workspaces.iter().flatten() {
            let key = crate::dispatch::workspace_key(&workspace.name);
            let usage = tracker.known_usage(key, now);
            if let Some(usage) =
                usage.filter(|usage| usage.window > usage.limit * LOGGED_USAGE_FRACTION)
            {
                log::info!(
                    target: "burdockcleat",
                    "event=allowance.state workspace={} own={} window={:.0} pending={} limit={:.0}",
                    workspace.name, usage.own, usage.window, usage.pending, usage.limit
                );
            }
        }
    }

    fn set_gauges(&self, now: ClockTime) {
        let (alive, expected) = self.peers.borrow().node_counts(now);
        let heard = self.reachable_disks(now);
        let mut metrics = self.metrics.borrow_mut();
        self.traffic.add_to(&mut metrics);
        if let Some(applied) = self.register.applied() {
            let voters = applied.value.voters();
            metrics.set("replicas", "voters", voters.len() as f64);
            metrics.set("replicas", "reachable", voters.intersection(&heard).count() as f64);
            metrics.set("replicas", "standby", heard.difference(&voters).count() as f64);
        }
        metrics.set("nodes", "alive", alive as f64);
        metrics.set("nodes", "expected", expected as f64);
        metrics.set("targets", "known", self.targets.borrow().len() as f64);
        metrics.set("requests", "running", self.running.get() as f64);
        metrics.set("requests", "waiting", self.scheduler.borrow().waiting_count() as f64);
        for (label, waits) in self.memory_budget.iter().flat_map(MemoryBudget::take_waits) {
            metrics.count("memory_waits", label, waits as u64);
        }
        for (label, bytes) in self.memory_budget.iter().flat_map(MemoryBudget::gauges) {
            metrics.set("memory_budget_bytes", label, bytes as f64);
        }
        for (service, age_ms) in self.scheduler.borrow().queue_ages(now) {
            metrics.set("queue_age_ms", service, age_ms as f64);
        }
        for (service, used) in self.scheduler.borrow().memory_use() {
            metrics.set("target_memory_used", service, used);
        }
        let (suspects, blocked) = self.suspects.borrow().counts();
        metrics.set("targets", "limited", self.limits.borrow().rates().len() as f64);
        if let Some((slowed, unlisted)) = self.scheduler.borrow().load_counts(now) {
            metrics.set("targets", "slowed", slowed as f64);
            metrics.set("requests", "unlisted", unlisted as f64);
        }
        if let Some((open, probed)) = self.scheduler.borrow().pace_counts() {
            metrics.set("open_slots", "all", open as f64);
            metrics.set("targets", "probed", probed as f64);
        }
        metrics.set("suspects", "known", suspects as f64);
        metrics.set("suspects", "blocked", blocked as f64);
        metrics.set("streams", "recorded", self.streams.borrow().len() as f64);
        metrics.set("log_lines", "dropped", logs::dropped_lines() as f64);
        if let Some(config) = self.config() {
            metrics.set("config", "version", config.version as f64);
            for service in config.services.keys() {
                metrics.set("retries_left", service, self.budget.borrow().remaining(service));
            }
        }
    }
}
