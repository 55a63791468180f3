//! Status datagrams: what a node tells the others a few times a second, and what it learns.

use super::NodeState;
use crate::datagram::{NodeStatus, PeerDatagram};
use crate::peers::PeerChange;
use crate::shutdown::ShutdownStage;
use burdockcleat_core::clock::ClockTime;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

/// Pause between two statuses, in ms.
const STATUS_MS: u64 = 200;
/// Nodes up to which the pause holds; with more of them it grows, so that a node receives a bounded
/// number of statuses a second.
const STATUS_NODES: usize = 40;

impl NodeState {
    pub(super) async fn send_statuses(self: Rc<Self>) {
        loop {
            self.send_status();
            self.refresh_targets();
            let pause_ms = self.status_pause_ms(ClockTime::monotonic());
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Pause between two statuses of a node, in ms.
    pub(crate) fn status_pause_ms(&self, now: ClockTime) -> u64 {
        STATUS_MS * self.node_count(now).div_ceil(STATUS_NODES) as u64
    }

    /// Sends a status to all known nodes.
    pub(crate) fn send_status(&self) {
        let datagram = PeerDatagram::Status(self.next_status());
        let contacts = self.peers.borrow().contacts(self.settings.peer_address);
        for address in contacts {
            self.send_to(address, &datagram);
        }
    }

    /// Sends a status to one node.
    fn send_status_to(&self, address: SocketAddrV4) {
        self.send_to(address, &PeerDatagram::Status(self.next_status()));
    }

    fn next_status(&self) -> NodeStatus {
        let now = ClockTime::monotonic();
        let active = self.active_tickets();
        self.reconcile(self.process, &active, now);
        let sequence = self.status_sequence.get() + 1;
        self.status_sequence.set(sequence);
        NodeStatus {
            process: self.process,
            sequence,
            address: self.settings.peer_address,
            disk: self.register.disk(),
            first_start: self.settings.first_start,
            warm: self.is_warm(now),
            leaving: *self.stage.borrow() != ShutdownStage::Running,
            applied: self.register.applied_mark(),
            accepted: self.register.accepted_mark(),
            peers: self.peers.borrow().shared(sequence, now),
            active,
            used: self.ledger.borrow().totals(),
        }
    }

    pub(super) fn hear_status(self: &Rc<Self>, status: NodeStatus, now: ClockTime) {
        let (process, address) = (status.process, status.address);
        if process == self.process {
            return;
        }
        let (active, used) = (status.active.clone(), status.used.clone());
        let Some(change) = self.peers.borrow_mut().hear(status, now) else { return };
        if change == PeerChange::New {
            // A node that has just started need not wait for the next status.
            self.send_status_to(address);
        }
        if change != PeerChange::Refreshed {
            log::info!(
                target: "burdockcleat",
                "event=peer.heard peer={address} process={:x} change={change:?}", process.0
            );
        }
        let mut ledger = self.ledger.borrow_mut();
        // Processes that were there before this node have used their totals before it, too.
        let from_start = now.since(self.started) > STATUS_MS * 5;
        for (workspace, used) in used {
            ledger.report(process.0, workspace, used, from_start, now);
        }
        drop(ledger);
        if self.register.applied_mark().is_none() {
            self.learn_from_peers(now);
        }
        self.reconcile(process, &active, now);
    }
}
