//! Placement of requests: by the placing node where it answers, else by this one.

use super::NodeState;
use crate::datagram::{PeerDatagram, PlacementDecision};
use crate::peers::PeerRecord;
use crate::placement::{
    ActiveRequest, AttemptOutcome, PlacementKey, PlacementOutput, PlacementRequest, ProcessKey,
    RefusalReason, TargetKey,
};
use crate::shutdown::ShutdownStage;
use crate::submission::{RESEND_MS, SILENCE_MS, SubmissionPace, SubmissionStep};
use burdockcleat_core::clock::ClockTime;
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Silent placing nodes after which a request is placed here.
const MAX_SILENT: u32 = 2;
/// Time after its start for which a node does not place for others, in ms: it has not heard all of
/// them yet.
const WARM_MS: u64 = 1_500;

/// Outcome of a request whose placement was lost.
const UNPLACED: PlacementDecision =
    PlacementDecision::Refuse { reason: RefusalReason::NoTarget, retry_after_ms: RESEND_MS };

/// How a request was placed.
pub(crate) enum Placement {
    Granted(TicketGuard),
    Refused { reason: RefusalReason, retry_after_ms: u64 },
}

/// What came of a submission.
enum HolderReply {
    Decided(PlacementDecision),
    /// Another node places now.
    Changed,
    Silent,
}

/// A request of this node that waits for a placement.
pub(super) struct Waiter {
    sender: oneshot::Sender<PlacementDecision>,
    /// When the placing node told last that the request waits there.
    queued: Rc<Cell<Option<ClockTime>>>,
}

/// A request at a target. Dropping it reports that the request was dropped.
pub(crate) struct TicketGuard {
    node: Rc<NodeState>,
    key: PlacementKey,
    target: TargetKey,
    outcome: Option<AttemptOutcome>,
}

impl TicketGuard {
    /// The target that the request was granted.
    pub(crate) const fn target(&self) -> TargetKey {
        self.target
    }

    /// Reports that the target began to answer.
    pub(crate) fn started(&self) {
        if let Some(active) = self.node.active.borrow_mut().get_mut(&self.key) {
            active.started = true;
        }
        let now = ClockTime::monotonic();
        let (key, target) = (self.key, self.target);
        self.node.board.borrow_mut().started(target, key, now);
        self.node.tell_holder(&PeerDatagram::Started { key, target });
    }

    /// Reports how the request ended at the target.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or(AttemptOutcome::Dropped);
        let (key, target) = (self.key, self.target);
        self.node.active.borrow_mut().remove(&key);
        let now = ClockTime::monotonic();
        self.node.board.borrow_mut().finished(target, key, outcome, now);
        self.node.tell_holder(&PeerDatagram::Finished { key, target, outcome });
        self.node.flush_board();
    }
}

/// Withdraws a request that is no longer waited for.
struct WaitGuard {
    node: Rc<NodeState>,
    key: PlacementKey,
    placed: bool,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.node.waiters.borrow_mut().remove(&self.key);
        if !self.placed {
            self.node.board.borrow_mut().withdraw(self.key);
            self.node.tell_holder(&PeerDatagram::Withdraw(self.key));
        }
    }
}

impl NodeState {
    /// Has a request placed. Dropping the future withdraws the request.
    pub(crate) async fn place(self: &Rc<Self>, ticket: PlacementRequest) -> Placement {
        let key = ticket.key;
        let (sender, mut receiver) = oneshot::channel();
        let submitted = ClockTime::monotonic();
        let queued = Rc::new(Cell::new(None));
        self.waiters.borrow_mut().insert(key, Waiter { sender, queued: queued.clone() });
        let mut guard = WaitGuard { node: self.clone(), key, placed: false };
        let mut silent = 0;
        let decision = loop {
            let now = ClockTime::monotonic();
            let aged = ticket.aged(now.since(submitted));
            let Some(holder) = self.holder(now).filter(|_| silent < MAX_SILENT) else {
                break self.place_here(aged, receiver).await;
            };
            match self.place_at(holder, &ticket, submitted, &queued, &mut receiver).await {
                HolderReply::Decided(decision) => break decision,
                HolderReply::Changed => {}
                HolderReply::Silent => {
                    silent += 1;
                    self.avoid_holder(holder);
                }
            }
            self.send_to(holder, &PeerDatagram::Withdraw(key));
        };
        guard.placed = true;
        self.open_placement(&ticket, decision)
    }

    /// Submits a request to a placing node until it decides, or does not answer.
    async fn place_at(
        &self,
        holder: SocketAddrV4,
        ticket: &PlacementRequest,
        submitted: ClockTime,
        queued: &Cell<Option<ClockTime>>,
        receiver: &mut oneshot::Receiver<PlacementDecision>,
    ) -> HolderReply {
        queued.set(None);
        let mut pace = SubmissionPace::new(ClockTime::monotonic());
        loop {
            let now = ClockTime::monotonic();
            let pause_ms = match pace.step(queued.get(), now) {
                SubmissionStep::Silent => return HolderReply::Silent,
                SubmissionStep::Wait(pause_ms) => pause_ms,
                SubmissionStep::Submit => {
                    let aged = ticket.aged(now.since(submitted));
                    self.send_to(holder, &PeerDatagram::Submit(aged));
                    continue;
                }
            };
            tokio::select! {
                decision = &mut *receiver => {
                    // The sender is kept by the waiter as long as its guard lives.
                    return HolderReply::Decided(decision.unwrap_or(UNPLACED));
                }
                () = self.holder_changed.notified() => {}
                () = tokio::time::sleep(Duration::from_millis(pause_ms)) => {}
            }
            if self.holder(ClockTime::monotonic()) != Some(holder) {
                return HolderReply::Changed;
            }
        }
    }

    /// Leaves a silent placing node out until it is heard again.
    fn avoid_holder(&self, holder: SocketAddrV4) {
        let now = ClockTime::monotonic();
        self.silent_holders.borrow_mut().insert(holder, now);
        self.holder_changed.notify_waiters();
        log::info!(
            target: "burdockcleat",
            "event=placement.fell_back holder={holder} silent_ms={SILENCE_MS}"
        );
        self.metrics.borrow_mut().count("placements", "holder silent", 1);
    }

    async fn place_here(
        self: &Rc<Self>,
        ticket: PlacementRequest,
        receiver: oneshot::Receiver<PlacementDecision>,
    ) -> PlacementDecision {
        self.board.borrow_mut().submit(ticket, ClockTime::monotonic());
        self.flush_board();
        receiver.await.unwrap_or(UNPLACED)
    }

    fn open_placement(
        self: &Rc<Self>,
        ticket: &PlacementRequest,
        decision: PlacementDecision,
    ) -> Placement {
        match decision {
            PlacementDecision::Grant { target, .. } => {
                let key = ticket.key;
                let prompt_tokens = ticket.prompt_tokens;
                let active = ActiveRequest { key, target, prompt_tokens, started: false };
                self.active.borrow_mut().insert(key, active);
                self.board.borrow_mut().adopt(target, ticket, ClockTime::monotonic());
                let node = self.clone();
                Placement::Granted(TicketGuard { node, key, target, outcome: None })
            }
            PlacementDecision::Refuse { reason, retry_after_ms } => {
                Placement::Refused { reason, retry_after_ms }
            }
            PlacementDecision::Queued => {
                Placement::Refused { reason: RefusalReason::NoTarget, retry_after_ms: RESEND_MS }
            }
        }
    }

    /// Address of the node that places for all: the lowest one with a disk, since these have more
    /// processor time, that is heard and knows the others. None if it is this node.
    pub(super) fn holder(&self, now: ClockTime) -> Option<SocketAddrV4> {
        let own = self.settings.peer_address;
        let leaving = *self.stage.borrow() != ShutdownStage::Running;
        let own_rank = (!self.is_warm(now) || leaving, self.register.disk().is_none(), own);
        let silent = self.silent_holders.borrow();
        let answers = |record: &&PeerRecord| {
            silent.get(&record.status.address).is_none_or(|since| record.last_seen > *since)
        };
        let peers = self.peers.borrow();
        let ranks =
            peers.alive(now).filter(answers).map(|record| &record.status).map(|status| {
                (!status.warm || status.leaving, status.disk.is_none(), status.address)
            });
        let (_, _, first) = ranks.min().map_or(own_rank, |rank| rank.min(own_rank));
        (first != own).then_some(first)
    }

    /// Whether this node places for all others.
    pub(super) fn places_for_all(&self, now: ClockTime) -> bool {
        self.holder(now).is_none()
    }

    pub(crate) fn is_warm(&self, now: ClockTime) -> bool {
        now.since(self.started) >= WARM_MS
    }

    fn tell_holder(&self, datagram: &PeerDatagram) {
        if let Some(holder) = self.holder(ClockTime::monotonic()) {
            self.send_to(holder, datagram);
        }
    }

    /// Acts on the decisions of the board.
    pub(super) fn flush_board(&self) {
        let outputs = self.board.borrow_mut().take_outputs();
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
            if process == self.process {
                self.settle(key, decision);
            } else {
                let address = self.peers.borrow().address_of(process, ClockTime::monotonic());
                if let Some(address) = address {
                    self.send_to(address, &PeerDatagram::Decision { key, decision });
                }
            }
        }
    }

    /// Hands a decision to the request that waits for it.
    fn settle(&self, key: PlacementKey, decision: PlacementDecision) -> bool {
        let waiter = self.waiters.borrow_mut().remove(&key);
        waiter.is_some_and(|waiter| waiter.sender.send(decision).is_ok())
    }

    /// Places a request of another node.
    pub(super) fn hear_submit(&self, from: SocketAddrV4, ticket: PlacementRequest, now: ClockTime) {
        let key = ticket.key;
        let mut board = self.board.borrow_mut();
        let decision = if let Some(target) = board.granted_target(key) {
            Some(PlacementDecision::Grant { target, waited_ms: 0 })
        } else if board.is_waiting(key) {
            Some(PlacementDecision::Queued)
        } else {
            board.submit(ticket, now);
            board.is_waiting(key).then_some(PlacementDecision::Queued)
        };
        drop(board);
        if let Some(decision) = decision {
            self.send_to(from, &PeerDatagram::Decision { key, decision });
        }
        self.flush_board();
    }

    /// Takes in a decision of the placing node.
    pub(super) fn hear_decision(
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
        let settled = self.settle(key, decision);
        if let PlacementDecision::Grant { target, .. } = decision
            && !settled
            && !self.active.borrow().contains_key(&key)
        {
            let outcome = AttemptOutcome::Dropped;
            self.send_to(from, &PeerDatagram::Finished { key, target, outcome });
        }
    }

    /// Requests of this node at targets.
    pub(super) fn active_tickets(&self) -> Vec<ActiveRequest> {
        self.active.borrow().values().copied().collect()
    }

    /// Brings the requests of another node in line with its report.
    pub(super) fn reconcile(&self, process: ProcessKey, active: &[ActiveRequest], now: ClockTime) {
        self.board.borrow_mut().reconcile(process, active, now);
        self.flush_board();
    }
}

const fn decision_label(decision: PlacementDecision) -> &'static str {
    match decision {
        PlacementDecision::Grant { .. } => "granted",
        PlacementDecision::Refuse { reason: RefusalReason::WaitTooLong, .. } => "wait too long",
        PlacementDecision::Refuse { reason: RefusalReason::NoTarget, .. } => "no target",
        PlacementDecision::Queued => "queued",
    }
}
