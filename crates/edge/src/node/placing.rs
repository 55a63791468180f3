//! Places requests through the placement coordinator, or locally if it does not respond.

use super::NodeState;
use super::rollouts::SentRequest;
use crate::datagram::{PeerDatagram, PlacementDecision};
use crate::peers::PeerRecord;
use crate::placement::{
    ActiveRequest, AttemptOutcome, OutputReport, PlacementKey, PlacementOutput, PlacementRequest,
    ProcessKey, RefusalReason, TargetKey,
};
use crate::shutdown::ShutdownStage;
use crate::status_timing::status_interval_ms;
use crate::submission::{RESEND_MS, SILENCE_MS, SubmissionStep, SubmissionTimer};
use crate::target_load::{LoadReport, TargetLoad};
use crate::targets::TargetAnnouncement;
use burdockcleat_core::clock::ClockTime;
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Number of silent coordinators after which a request is placed locally.
const MAX_SILENT_COORDINATORS: u32 = 2;
/// Time after its start during which a node does not act as coordinator, in ms. Until then it may
/// not have received a status from every other node.
const WARM_UP_MS: u64 = 1_500;

/// Status intervals after which a new coordinator has a status of each node, unless one is lost.
const SETTLE_INTERVALS: u64 = 2;

/// Decision for a request whose channel closed without a decision.
const PLACEMENT_LOST: PlacementDecision =
    PlacementDecision::Refuse { reason: RefusalReason::NoTarget, retry_after_ms: RESEND_MS };

/// Outcome of placing a request.
pub(crate) enum Placement {
    Granted(ActiveRequestGuard),
    Refused { reason: RefusalReason, retry_after_ms: u64 },
}

/// Result of submitting a request to a coordinator.
enum CoordinatorReply {
    Decided(PlacementDecision),
    /// Another node is the coordinator now.
    Changed,
    Silent,
}

/// Request of this node that waits for a placement decision.
pub(super) struct Waiter {
    sender: oneshot::Sender<PlacementDecision>,
    /// Time at which the coordinator last reported that the request is queued.
    queued: Rc<Cell<Option<ClockTime>>>,
}

/// Request that runs at a target. Dropping the guard without an outcome reports the request as
/// dropped.
pub(crate) struct ActiveRequestGuard {
    node: Rc<NodeState>,
    key: PlacementKey,
    target: TargetKey,
    outcome: Option<AttemptOutcome>,
    output: Cell<Option<OutputReport>>,
    /// Load that the target stated in its response, with the time of its arrival.
    load: Cell<Option<(TargetLoad, ClockTime)>>,
    sent: Cell<Option<SentRequest>>,
}

impl ActiveRequestGuard {
    /// Returns the target that was granted.
    pub(crate) const fn target(&self) -> TargetKey {
        self.target
    }

    /// Reports that the request is sent to its target on a route.
    pub(crate) fn sent(&self, announcement: &TargetAnnouncement, route: &str) {
        self.sent.set(self.node.describe_send(self.key, announcement, route));
    }

    /// Reports that the target has started to respond, with the load that it states.
    pub(crate) fn started(&self, load: Option<TargetLoad>) {
        if let Some(active) = self.node.active.borrow_mut().get_mut(&self.key) {
            active.started = true;
        }
        let now = ClockTime::monotonic();
        self.sent.set(self.sent.get().map(|sent| sent.started(now)));
        let (key, target) = (self.key, self.target);
        self.load.set(load.map(|load| (load, now)));
        let load = self.load_report(now);
        self.node.apply_load(target, load, now);
        self.node.scheduler.borrow_mut().started(target, key, now);
        self.node.notify_coordinator(&PeerDatagram::Started { key, target, load });
    }

    /// Returns the load that the target stated, unless it is too old.
    fn load_report(&self, now: ClockTime) -> Option<LoadReport> {
        let (load, at) = self.load.get()?;
        LoadReport::new(load, now.since(at))
    }

    /// Records the output that has arrived so far.
    pub(crate) fn record_output(&self, output: OutputReport) {
        self.output.set(Some(output));
        if let Some(active) = self.node.active.borrow_mut().get_mut(&self.key) {
            active.written_tokens = output.tokens;
        }
    }

    /// Reports the outcome of the request at the target.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or(AttemptOutcome::Dropped);
        let (key, target, output) = (self.key, self.target, self.output.get());
        self.node.active.borrow_mut().remove(&key);
        if let Some(sent) = self.sent.get() {
            self.node.count_rollout_answer(&sent, target, outcome);
        }
        let now = ClockTime::monotonic();
        self.node.scheduler.borrow_mut().finished_with((target, key), outcome, output, now);
        let load = self.load_report(now);
        self.node.notify_coordinator(&PeerDatagram::Finished {
            key,
            target,
            outcome,
            output,
            load,
        });
        self.node.deliver_decisions();
    }
}

/// Withdraws the request if it is dropped before a decision.
struct WaitGuard {
    node: Rc<NodeState>,
    key: PlacementKey,
    placed: bool,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.node.waiters.borrow_mut().remove(&self.key);
        if !self.placed {
            self.node.scheduler.borrow_mut().withdraw(self.key);
            self.node.notify_coordinator(&PeerDatagram::Withdraw(self.key));
        }
    }
}

impl NodeState {
    /// Waits until a request is placed. Dropping the future withdraws the request.
    pub(crate) async fn place(self: &Rc<Self>, request: PlacementRequest) -> Placement {
        let key = request.key;
        let (sender, mut receiver) = oneshot::channel();
        let submitted = ClockTime::monotonic();
        let queued = Rc::new(Cell::new(None));
        self.waiters.borrow_mut().insert(key, Waiter { sender, queued: queued.clone() });
        let mut guard = WaitGuard { node: self.clone(), key, placed: false };
        let mut silent = 0;
        let decision = loop {
            let now = ClockTime::monotonic();
            let aged = request.aged(now.since(submitted));
            let Some(coordinator) =
                self.coordinator(now).filter(|_| silent < MAX_SILENT_COORDINATORS)
            else {
                break self.place_locally(aged, receiver).await;
            };
            match self
                .place_remotely(coordinator, &request, submitted, &queued, &mut receiver)
                .await
            {
                CoordinatorReply::Decided(decision) => break decision,
                CoordinatorReply::Changed => {}
                CoordinatorReply::Silent => {
                    silent += 1;
                    self.mark_coordinator_silent(coordinator);
                }
            }
            self.send_to(coordinator, &PeerDatagram::Withdraw(key));
        };
        guard.placed = true;
        self.record_placement(&request, decision)
    }

    /// Submits a request to a coordinator until it decides or counts as silent.
    async fn place_remotely(
        &self,
        coordinator: SocketAddrV4,
        request: &PlacementRequest,
        submitted: ClockTime,
        queued: &Cell<Option<ClockTime>>,
        receiver: &mut oneshot::Receiver<PlacementDecision>,
    ) -> CoordinatorReply {
        queued.set(None);
        let mut timer = SubmissionTimer::new(ClockTime::monotonic());
        loop {
            let now = ClockTime::monotonic();
            let pause_ms = match timer.step(queued.get(), now) {
                SubmissionStep::Silent => return CoordinatorReply::Silent,
                SubmissionStep::Wait(pause_ms) => pause_ms,
                SubmissionStep::Submit => {
                    let aged = request.aged(now.since(submitted));
                    self.send_to(coordinator, &PeerDatagram::Submit(aged));
                    continue;
                }
            };
            tokio::select! {
                decision = &mut *receiver => {
                    // The waiter holds the sender until a decision is delivered or the guard is
                    // dropped, so the channel should not close without a decision.
                    return CoordinatorReply::Decided(decision.unwrap_or(PLACEMENT_LOST));
                }
                () = self.coordinator_changed.notified() => {}
                () = tokio::time::sleep(Duration::from_millis(pause_ms)) => {}
            }
            if self.coordinator(ClockTime::monotonic()) != Some(coordinator) {
                return CoordinatorReply::Changed;
            }
        }
    }

    /// Excludes a silent coordinator until it sends a status or its retry time has passed.
    fn mark_coordinator_silent(&self, coordinator: SocketAddrV4) {
        let now = ClockTime::monotonic();
        self.silent_coordinators.borrow_mut().insert(coordinator, now);
        self.coordinator_changed.notify_waiters();
        log::info!(
            target: "burdockcleat",
            "event=placement.fell_back holder={coordinator} silent_ms={SILENCE_MS}"
        );
        self.metrics.borrow_mut().count("placements", "holder silent", 1);
    }

    async fn place_locally(
        self: &Rc<Self>,
        request: PlacementRequest,
        receiver: oneshot::Receiver<PlacementDecision>,
    ) -> PlacementDecision {
        self.scheduler.borrow_mut().submit(request, ClockTime::monotonic());
        self.deliver_decisions();
        receiver.await.unwrap_or(PLACEMENT_LOST)
    }

    fn record_placement(
        self: &Rc<Self>,
        request: &PlacementRequest,
        decision: PlacementDecision,
    ) -> Placement {
        match decision {
            PlacementDecision::Grant { target, .. } => {
                let key = request.key;
                let prompt_tokens = request.prompt_tokens;
                let bounded = self.settings.features.placement.target_memory;
                let output_tokens = if bounded { request.max_output_tokens } else { 0 };
                let active = ActiveRequest {
                    key,
                    target,
                    prompt_tokens,
                    started: false,
                    most_tokens: prompt_tokens.saturating_add(output_tokens),
                    written_tokens: 0,
                };
                self.active.borrow_mut().insert(key, active);
                self.scheduler.borrow_mut().adopt(target, request, ClockTime::monotonic());
                let node = self.clone();
                Placement::Granted(ActiveRequestGuard {
                    node,
                    key,
                    target,
                    outcome: None,
                    output: Cell::new(None),
                    load: Cell::default(),
                    sent: Cell::default(),
                })
            }
            PlacementDecision::Refuse { reason, retry_after_ms } => {
                Placement::Refused { reason, retry_after_ms }
            }
            PlacementDecision::Queued => {
                Placement::Refused { reason: RefusalReason::NoTarget, retry_after_ms: RESEND_MS }
            }
        }
    }

    /// Returns the address of the placement coordinator, or `None` if it is this node.
    ///
    /// Candidates are the nodes that are alive and not marked silent. Nodes that are warmed up and
    /// not leaving come first, then nodes with a disk, which have more processor time, then the
    /// lowest address.
    pub(super) fn coordinator(&self, now: ClockTime) -> Option<SocketAddrV4> {
        let own = self.settings.peer_address;
        let leaving = *self.stage.borrow() != ShutdownStage::Running;
        let own_rank = (!self.is_warm(now) || leaving, self.register.disk().is_none(), own);
        let silent = self.silent_coordinators.borrow();
        let not_silent = |record: &&PeerRecord| {
            silent.get(&record.status.address).is_none_or(|since| record.last_seen > *since)
        };
        let peers = self.peers.borrow();
        let ranks =
            peers.alive(now).filter(not_silent).map(|record| &record.status).map(|status| {
                (!status.warm || status.leaving, status.disk.is_none(), status.address)
            });
        let (_, _, first) = ranks.min().map_or(own_rank, |rank| rank.min(own_rank));
        (first != own).then_some(first)
    }

    /// Returns whether this node is the placement coordinator.
    pub(super) fn is_coordinator(&self, now: ClockTime) -> bool {
        self.coordinator(now).is_none()
    }

    pub(crate) fn is_warm(&self, now: ClockTime) -> bool {
        now.since(self.started) >= WARM_UP_MS
    }

    pub(super) fn notify_coordinator(&self, datagram: &PeerDatagram) {
        if let Some(coordinator) = self.coordinator(ClockTime::monotonic()) {
            self.send_to(coordinator, datagram);
        }
    }

    /// Delivers the pending decisions of the placement scheduler.
    pub(super) fn deliver_decisions(&self) {
        let outputs = self.scheduler.borrow_mut().take_outputs();
        for output in outputs {
            let (key, process, decision) = match output {
                PlacementOutput::Grant { key, process, target, waited_ms } => {
                    (key, process, PlacementDecision::Grant { target, waited_ms })
                }
                PlacementOutput::Refuse { key, process, reason, retry_after_ms } => {
                    (key, process, PlacementDecision::Refuse { reason, retry_after_ms })
                }
            };
            self.metrics.borrow_mut().count("placements", decision_label(decision), 1);
            if let PlacementDecision::Grant { target, .. } = decision {
                self.count_trial_grant(process, target);
                if process == self.process {
                    self.count_trial_send(process, target);
                }
            }
            if process == self.process {
                self.deliver_decision(key, decision);
            } else {
                let address = self.peers.borrow().address_of(process, ClockTime::monotonic());
                if let Some(address) = address {
                    self.send_to(address, &PeerDatagram::Decision { key, decision });
                }
            }
        }
    }

    /// Delivers a decision to the waiting request. Returns false if nothing waits for it.
    fn deliver_decision(&self, key: PlacementKey, decision: PlacementDecision) -> bool {
        let waiter = self.waiters.borrow_mut().remove(&key);
        waiter.is_some_and(|waiter| waiter.sender.send(decision).is_ok())
    }

    /// Handles a request that another node submits for placement.
    pub(super) fn handle_submit(
        &self,
        from: SocketAddrV4,
        request: PlacementRequest,
        now: ClockTime,
    ) {
        let key = request.key;
        let mut scheduler = self.scheduler.borrow_mut();
        let decision = if let Some(target) = scheduler.granted_target(key) {
            Some(PlacementDecision::Grant { target, waited_ms: 0 })
        } else if scheduler.is_waiting(key) {
            Some(PlacementDecision::Queued)
        } else {
            scheduler.submit(request, now);
            scheduler.is_waiting(key).then_some(PlacementDecision::Queued)
        };
        drop(scheduler);
        if let Some(decision) = decision {
            self.send_to(from, &PeerDatagram::Decision { key, decision });
        }
        self.deliver_decisions();
    }

    /// Handles a decision of the coordinator.
    pub(super) fn handle_decision(
        &self,
        from: SocketAddrV4,
        key: PlacementKey,
        decision: PlacementDecision,
    ) {
        if decision == PlacementDecision::Queued {
            if let Some(waiter) = self.waiters.borrow().get(&key) {
                waiter.queued.set(Some(ClockTime::monotonic()));
            }
            return;
        }
        if let PlacementDecision::Grant { target, .. } = decision
            && self.waiters.borrow().contains_key(&key)
        {
            let grantor = self.peers.borrow().get(from).map(|record| record.status.process);
            self.count_trial_send(grantor.unwrap_or(ProcessKey(0)), target);
        }
        let delivered = self.deliver_decision(key, decision);
        if let PlacementDecision::Grant { target, .. } = decision
            && !delivered
            && !self.active.borrow().contains_key(&key)
        {
            let outcome = AttemptOutcome::Dropped;
            let (output, load) = (None, None);
            self.send_to(from, &PeerDatagram::Finished { key, target, outcome, output, load });
        }
    }

    /// Updates what the scheduler knows of the memory of targets.
    pub(super) fn update_memory(&self, now: ClockTime) {
        if !self.settings.features.placement.target_memory {
            return;
        }
        let settle_ms = SETTLE_INTERVALS * status_interval_ms(self.node_count(now));
        let coordinating = self.is_coordinator(now);
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.set_coordinating(coordinating, settle_ms, now);
        scheduler.grow_reservations(&self.active_requests());
    }

    /// Returns the requests of this node that run at targets.
    pub(super) fn active_requests(&self) -> Vec<ActiveRequest> {
        self.active.borrow().values().copied().collect()
    }

    /// Reconciles the recorded requests of a node with its report.
    pub(super) fn reconcile(&self, process: ProcessKey, active: &[ActiveRequest], now: ClockTime) {
        self.scheduler.borrow_mut().reconcile(process, active, now);
        self.deliver_decisions();
    }
}

const fn decision_label(decision: PlacementDecision) -> &'static str {
    match decision {
        PlacementDecision::Grant { .. } => "granted",
        PlacementDecision::Refuse { reason: RefusalReason::WaitTooLong, .. } => "wait too long",
        PlacementDecision::Refuse { reason: RefusalReason::NoTarget, .. } => "no target",
        PlacementDecision::Refuse { reason: RefusalReason::TooLarge, .. } => "too large",
        PlacementDecision::Refuse { reason: RefusalReason::CannotFinish, .. } => "cannot finish",
        PlacementDecision::Queued => "queued",
    }
}
