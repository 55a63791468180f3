//! Sends status datagrams to the other nodes a few times a second and handles theirs.

use super::NodeState;
use crate::datagram::{NodeStatus, PeerDatagram};
use crate::peers::PeerChange;
use crate::rollout::RolloutReport;
use crate::shutdown::ShutdownStage;
use crate::status_parts::{CompactStatus, HeardStatus};
use crate::status_timing::{BASE_INTERVAL_MAX_NODES, STATUS_INTERVAL_MS, status_interval_ms};
use burdockcleat_core::clock::ClockTime;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of status datagrams sent at once. Longer bursts delay requests on a slow link.
const STATUS_BURST: usize = 8;

impl NodeState {
    pub(super) async fn send_statuses(self: Rc<Self>) {
        loop {
            let contacts = self.peers.borrow().contacts(self.settings.peer_address);
            let pause = Duration::from_millis(self.status_interval_ms(ClockTime::monotonic()));
            let parts = contacts.len().div_ceil(STATUS_BURST).max(1);
            for part in contacts.chunks(STATUS_BURST) {
                self.send_status_to_all(&self.next_status(), part);
                tokio::time::sleep(pause / parts as u32).await;
            }
            if contacts.is_empty() {
                tokio::time::sleep(pause).await;
            }
            self.refresh_targets();
        }
    }

    /// Sends statuses between the nodes with a disk in short intervals also in a large deployment, so
    /// that a failed replica is replaced as fast as in a small one.
    pub(super) async fn send_disk_statuses(self: Rc<Self>) {
        if self.register.disk().is_none() {
            return;
        }
        loop {
            tokio::time::sleep(Duration::from_millis(STATUS_INTERVAL_MS)).await;
            if self.status_interval_ms(ClockTime::monotonic()) > STATUS_INTERVAL_MS {
                let disks = self.peers.borrow().disk_addresses();
                self.send_status_to_all(&self.next_status(), &disks);
            }
        }
    }

    /// Sends the last recorded status, to each node without what it is known to have. Only nodes that
    /// may become coordinator get the requests that run at targets, and only nodes with a disk the
    /// streams and the counts of roll-outs, since only these write verdicts. The answers of roll-outs,
    /// which are longer, go to the coordinator.
    fn send_status_to_all(&self, status: &NodeStatus, addresses: &[SocketAddrV4]) {
        let now = ClockTime::monotonic();
        let few_nodes = self.node_count(now) <= BASE_INTERVAL_MAX_NODES;
        let coordinator = self.coordinator(now);
        let without_answers = NodeStatus {
            rollouts: status.rollouts.iter().map(RolloutReport::without_answers).collect(),
            ..status.clone()
        };
        let without_streams =
            NodeStatus { streams: Vec::new(), rollouts: Vec::new(), ..status.clone() };
        let reduced = NodeStatus { active: None, ..without_streams.clone() };
        for address in addresses {
            let peers = self.peers.borrow();
            let record = peers.get(*address);
            let disk = record.map(|record| record.status.disk.is_some());
            let acknowledged = record.and_then(|record| record.acknowledged);
            let heard = record.map(|record| HeardStatus::of(&record.status));
            drop(peers);
            let may_coordinate = few_nodes || coordinator == Some(*address) || disk.is_none();
            let status = match (disk, may_coordinate) {
                (Some(true), _) if coordinator == Some(*address) => status,
                (Some(true), _) => &without_answers,
                (_, true) => &without_streams,
                (_, false) => &reduced,
            };
            let compact =
                self.status_log.borrow_mut().compact(status, *address, acknowledged, heard);
            let label = if compact.is_complete() { "sent complete" } else { "sent in part" };
            self.metrics.borrow_mut().count("statuses", label, 1);
            self.send_to(*address, &PeerDatagram::Status(Box::new(compact)));
        }
    }

    /// Returns the interval between two status datagrams of a node, in ms.
    pub(crate) fn status_interval_ms(&self, now: ClockTime) -> u64 {
        status_interval_ms(self.node_count(now))
    }

    /// Sends a status to all known nodes immediately, after a change that they wait for.
    pub(crate) fn send_status(&self) {
        let contacts = self.peers.borrow().contacts(self.settings.peer_address);
        self.send_status_to_all(&self.next_status(), &contacts);
    }

    fn next_status(&self) -> NodeStatus {
        let now = ClockTime::monotonic();
        let active = self.active_requests();
        self.reconcile(self.process, &active, now);
        let sequence = self.status_sequence.get() + 1;
        self.status_sequence.set(sequence);
        let view = self.node_view(now);
        let status = NodeStatus {
            process: self.process,
            sequence,
            address: self.settings.peer_address,
            domain: self.settings.domain.clone(),
            disk: self.register.disk(),
            first_start: self.settings.first_start,
            warm: self.is_warm(now),
            leaving: *self.stage.borrow() != ShutdownStage::Running,
            applied: self.register.applied_id(),
            accepted: self.register.accepted_id(),
            peers: self.peers.borrow().gossip_sample(sequence, now),
            active: Some(active),
            disk_majority: view.disk_majority,
            restricted: view.is_restricted(),
            facts: self.fact_digests(),
            used: self.allowances.borrow().totals(),
            streams: self.reported_streams(now),
            rollouts: self.rollout_reports(now),
        };
        self.status_log.borrow_mut().record(&status);
        status
    }

    pub(super) fn handle_status(
        self: &Rc<Self>,
        from: SocketAddrV4,
        compact: CompactStatus,
        now: ClockTime,
    ) {
        let process = compact.process();
        if process == self.process {
            return;
        }
        let acknowledged = compact.heard();
        let restored = compact.restore(self.peers.borrow().status_of(process));
        let Some(mut status) = restored else {
            // The sender does not know yet that this process has started. It answers with a complete
            // status.
            log::debug!(target: "burdockcleat", "event=peer.status_without_base peer={from} process={:x}", process.0);
            self.metrics.borrow_mut().count("statuses", "received without base", 1);
            self.send_status_to_all(&self.next_status(), &[from]);
            return;
        };
        let (address, restricted) = (status.address, status.restricted);
        let (active, used) = (status.active.clone(), status.used.clone());
        self.merge_streams(&std::mem::take(&mut status.streams));
        self.rollouts.borrow_mut().learn(&std::mem::take(&mut status.rollouts), now);
        self.learn_usage(&status, now);
        self.learn_facts(&status.facts, address);
        // An address is bound by one process at a time, so an earlier one has ended.
        let earlier = self.peers.borrow().get(address).map(|record| record.status.process);
        let replaced = earlier.filter(|earlier| *earlier != process);
        let Some(change) = self.peers.borrow_mut().record_status(status, acknowledged, now) else {
            return;
        };
        if let Some(replaced) = replaced {
            self.free_process(replaced, "replaced at its address");
        }
        if change == PeerChange::New {
            // Spares a node that has just started the wait for the next status.
            self.send_status_to_all(&self.next_status(), &[address]);
        }
        if change != PeerChange::Refreshed {
            log::info!(
                target: "burdockcleat",
                "event=peer.heard peer={address} process={:x} change={change:?}", process.0
            );
        }
        let mut tracker = self.allowances.borrow_mut();
        // Totals of processes that are older than this one include usage from before its start.
        let from_start = now.since(self.started) > STATUS_INTERVAL_MS * 5;
        for (workspace, used) in used {
            tracker.apply_report(process.0, workspace, used, from_start, restricted, now);
        }
        drop(tracker);
        if self.register.applied_id().is_none() {
            self.learn_from_peers(now);
        }
        if let Some(active) = active {
            self.reconcile(process, &active, now);
        }
    }
}
