//! Checks whether the processes of silent nodes have ended, and frees what they held.
//!
//! A node that was killed, one that is frozen and one that is cut off fall silent alike, but requests of
//! the last two still run at their targets. A connection tells them apart: the host of an ended process
//! refuses it, the kernel of a frozen one accepts it, and one to a node that is cut off, or to a lost
//! host, times out. What became of the requests of the last ones is seen at the targets that state how
//! many they hold.

use super::NodeState;
use crate::placement::ProcessKey;
use crate::rpc::{self, ProcessState};
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Maximum number of checks that start in one tick of the scheduler. Spreads the connections if a whole
/// failure domain falls silent in a large deployment.
const MAX_CHECKS: usize = 8;

impl NodeState {
    /// Checks the silent nodes that hold slots while requests wait.
    pub(super) fn check_silent_nodes(self: &Rc<Self>, now: ClockTime) {
        let silent = self.silent_holders(now);
        let ended = self.scheduler.borrow_mut().remove_ended(&silent, now);
        if ended > 0 {
            log::info!(target: "burdockcleat", "event=placement.ended_unheard requests={ended}");
        }
        let due = self.process_checks.borrow_mut().take_due(&silent, MAX_CHECKS, now);
        for process in due {
            let peers = self.peers.borrow();
            let Some(record) = peers.running(process) else { continue };
            let (address, last_seen) = (record.status.address, record.last_seen);
            drop(peers);
            tokio::task::spawn_local(self.clone().check_process(process, address, last_seen));
        }
    }

    /// Returns the processes that hold slots and whose next status is overdue, or whose caller has
    /// taken its stream to another node since their last one.
    fn silent_holders(&self, now: ClockTime) -> BTreeSet<ProcessKey> {
        let peers = self.peers.borrow();
        let scheduler = self.scheduler.borrow();
        let mut silent: BTreeSet<_> =
            peers.overdue(now).map(|record| record.status.process).collect();
        if !silent.is_empty() {
            let holders = scheduler.slot_holders();
            silent.retain(|process| holders.contains(process));
        }
        let left = scheduler.left_processes().into_iter().filter(|(process, since)| {
            peers.running(*process).is_some_and(|record| record.last_seen < *since)
        });
        silent.extend(left.map(|(process, _)| process));
        silent
    }

    async fn check_process(
        self: Rc<Self>,
        process: ProcessKey,
        address: SocketAddrV4,
        last_seen: ClockTime,
    ) {
        let state = rpc::probe(address).await;
        let label = match state {
            ProcessState::Ended => "ended",
            ProcessState::Running => "running",
            ProcessState::Unknown => "unknown",
        };
        self.metrics.borrow_mut().count("process_checks", label, 1);
        let silent_ms = ClockTime::monotonic().since(last_seen);
        log::info!(
            target: "burdockcleat",
            "event=peer.checked peer={address} process={:x} state={label} silent_ms={silent_ms}",
            process.0
        );
        if state == ProcessState::Ended && self.peers.borrow_mut().mark_ended(process, last_seen) {
            self.coordinator_changed.notify_waiters();
            self.free_process(process, "refused connection");
        }
    }

    /// Removes the requests of a process that has ended, and places those that wait for their slots.
    pub(super) fn free_process(&self, process: ProcessKey, evidence: &str) {
        let now = ClockTime::monotonic();
        let freed = self.scheduler.borrow_mut().end_process(process, now);
        log::info!(
            target: "burdockcleat",
            "event=peer.ended process={:x} evidence=\"{evidence}\" running={} waiting={}",
            process.0, freed.running, freed.waiting
        );
        self.deliver_decisions();
    }
}
