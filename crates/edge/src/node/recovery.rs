//! Saves and restores the state that a node needs after a restart, and applies that of other nodes.

use super::NodeState;
use crate::allowance::{UsageSource, WorkspaceUsage};
use crate::datagram::NodeStatus;
use crate::memory::{RecoveryMemory, StoredMemory, StoredUsage};
use crate::rpc::{self, PeerCall, PeerReply};
use crate::targets::FRESH_INTERVALS;
use burdockcleat_core::clock::ClockTime;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Interval between two writes while the targets do not change, in ms. Speeds and deadlines change
/// slowly.
const UNCHANGED_SAVE_INTERVAL_MS: u64 = 5_000;

impl NodeState {
    /// Restores the memory from disk, unless it is too old.
    pub(super) fn restore_memory(self: &Rc<Self>) {
        let Some(written) = self.register.store().and_then(|store| store.take_loaded_memory())
        else {
            return;
        };
        // The seeds in the settings may all be gone. Nodes keep their addresses for longer than the
        // rest of the memory is of use.
        let now = ClockTime::monotonic();
        self.peers.borrow_mut().add_contacts(written.memory.nodes.iter().copied(), now);
        let age_ms = written.age_ms(ClockTime::wall());
        log::info!(
            target: "burdockcleat",
            "event=memory.recalled used={} age_ms={} targets={} speeds={} routes={}",
            age_ms.is_some(), ClockTime::wall().since(written.written), written.memory.targets.len(),
            written.memory.speeds.len(), written.memory.deadlines.len()
        );
        if let Some(age_ms) = age_ms {
            self.apply_memory(&written.aged(age_ms), "disk");
        }
    }

    /// Restores the usage of allowances from disk.
    pub(super) fn restore_usage(&self) {
        let stored = self.register.store().and_then(|store| store.take_loaded_usage());
        if let Some(stored) = stored.filter(|_| !self.settings.first_start) {
            self.apply_usage(&stored.aged(ClockTime::wall()), UsageSource::Stored, "disk");
        }
    }

    /// Saves the usage of allowances for the next start, once enough has been used since the last
    /// time.
    pub(super) fn save_usage(&self) {
        let Some(store) = self.register.store().filter(|store| !store.usage_write_pending()) else {
            return;
        };
        let usage = self.allowances.borrow_mut().usage_to_store(ClockTime::monotonic());
        if let Some(usage) = usage
            && !store.save_usage(StoredUsage { written: ClockTime::wall(), usage })
        {
            log::warn!(target: "burdockcleat", "event=allowance.save_failed cause=\"the store thread has ended\"");
        }
    }

    /// Returns where this node has the usage of the current windows from. A node that has been up
    /// for a while has counted it, but for a part that expires soon.
    pub(crate) fn usage_source(&self, now: ClockTime) -> UsageSource {
        if self.is_warm(now) { UsageSource::Counted } else { self.allowances.borrow().source() }
    }

    /// Fetches the usage of allowances from the sender of a status, if that node knows it better
    /// than this one.
    pub(super) fn learn_usage(self: &Rc<Self>, status: &NodeStatus, now: ClockTime) {
        let own = self.usage_source(now);
        let offered = match (status.warm, status.disk) {
            (true, _) => UsageSource::Counted,
            (false, Some(_)) => UsageSource::Stored,
            (false, None) => UsageSource::Assumed,
        };
        if offered > own && !self.fetching_usage.replace(true) {
            tokio::task::spawn_local(self.clone().fetch_usage(status.address));
        }
    }

    async fn fetch_usage(self: Rc<Self>, from: SocketAddrV4) {
        match rpc::call(from, &PeerCall::ReadUsage).await {
            Ok(PeerReply::Usage { source, usage }) => {
                if source > self.allowances.borrow().source() {
                    self.apply_usage(&usage, source, &from.to_string());
                }
            }
            Ok(other) => {
                log::debug!(target: "burdockcleat", "event=allowance.fetch_failed peer={from} reply={other:?}");
            }
            Err(error) => {
                log::info!(target: "burdockcleat", "event=allowance.fetch_failed peer={from} cause=\"{error}\"");
            }
        }
        self.fetching_usage.set(false);
    }

    fn apply_usage(&self, usage: &[WorkspaceUsage], source: UsageSource, from: &str) {
        log::info!(
            target: "burdockcleat",
            "event=allowance.restored from={from} source={source:?} workspaces={}", usage.len()
        );
        self.allowances.borrow_mut().restore(usage, source, ClockTime::monotonic());
    }

    /// Applies targets, speeds and deadlines known to another node or stored on disk.
    pub(crate) fn apply_memory(self: &Rc<Self>, memory: &RecoveryMemory, from: &str) {
        let now = ClockTime::monotonic();
        self.deadlines.borrow_mut().restore(&memory.deadlines, now);
        self.scheduler.borrow_mut().restore_speeds(&memory.speeds);
        self.peers.borrow_mut().add_contacts(memory.nodes.iter().copied(), now);
        self.merge_suspects(&memory.suspects);
        self.merge_notices(&memory.targets, from);
    }

    /// Returns the memory for another node that has just started.
    pub(crate) fn memory(&self) -> RecoveryMemory {
        RecoveryMemory {
            targets: self.targets.borrow().snapshot(ClockTime::monotonic()),
            speeds: self.scheduler.borrow().speeds(),
            deadlines: self.deadlines.borrow().longest_deadlines(),
            suspects: self.suspects.borrow().blocked_reports(ClockTime::monotonic()),
            nodes: self.peers.borrow().addresses(),
        }
    }

    /// Saves the memory for the next start, immediately if the targets have changed.
    pub(super) fn save_memory(&self) {
        let Some(store) = self.register.store() else { return };
        let written = ClockTime::wall();
        let fresh_ms = self.settings.limits.announce_interval_ms * FRESH_INTERVALS;
        let mut memory = self.memory();
        memory.targets.retain(|aged| aged.age_ms <= fresh_ms || aged.notice.is_departure());
        let mut last = self.last_saved_memory.borrow_mut();
        let current = last.as_ref().is_some_and(|last| {
            last.memory.is_current(&memory)
                && last.written.plus(UNCHANGED_SAVE_INTERVAL_MS) > written
        });
        let memory = StoredMemory { written, memory };
        if !current && store.save_memory(memory.clone()) {
            *last = Some(memory);
        }
    }
}
