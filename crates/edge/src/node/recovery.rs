//! What a node writes down for its next start or hands to another one, and what it takes over.

use super::NodeState;
use crate::memory::{RecoveryMemory, StoredMemory};
use crate::targets::{AgedNotice, FRESH_INTERVALS};
use burdockcleat_core::clock::ClockTime;

/// Pause between two writes of a memory whose targets did not change, in ms: speeds and deadlines
/// change slowly.
const REFRESH_MS: u64 = 5_000;

impl NodeState {
    /// Takes over what the disk remembers.
    pub(super) fn recall(&self) {
        let Some(written) = self.register.store().and_then(|store| store.take_loaded_memory())
        else {
            return;
        };
        let age_ms = written.age_ms(ClockTime::wall());
        log::info!(
            target: "burdockcleat",
            "event=memory.recalled used={} age_ms={} targets={} speeds={} routes={}",
            age_ms.is_some(), ClockTime::wall().since(written.written), written.memory.targets.len(),
            written.memory.speeds.len(), written.memory.deadlines.len()
        );
        if let Some(age_ms) = age_ms {
            self.apply_memory(&written.aged(age_ms));
        }
    }

    /// Takes over what another node or the disk knows of targets and callers.
    pub(crate) fn apply_memory(&self, memory: &RecoveryMemory) {
        let now = ClockTime::monotonic();
        self.deadlines.borrow_mut().restore(&memory.deadlines, now);
        self.board.borrow_mut().restore_speeds(&memory.speeds);
        let mut table = self.targets.borrow_mut();
        for AgedNotice { notice, age_ms } in &memory.targets {
            // The clock begins with the process: what is older than it counts as heard at its start.
            let heard = ClockTime::from_ms(now.as_ms().saturating_sub(*age_ms));
            table.apply(notice, heard);
        }
        drop(table);
        self.refresh_targets();
    }

    /// What another node takes over that has just started.
    pub(crate) fn memory(&self) -> RecoveryMemory {
        RecoveryMemory {
            targets: self.targets.borrow().snapshot(ClockTime::monotonic()),
            speeds: self.board.borrow().speeds(),
            deadlines: self.deadlines.borrow().longest_deadlines(),
        }
    }

    /// Writes down what the next start takes over: at once if the targets changed.
    pub(super) fn remember(&self) {
        let Some(store) = self.register.store() else { return };
        let written = ClockTime::wall();
        let fresh_ms = self.settings.contract.announce_interval_ms * FRESH_INTERVALS;
        let mut memory = self.memory();
        memory.targets.retain(|aged| aged.age_ms <= fresh_ms || aged.notice.is_leave());
        let mut last = self.remembered.borrow_mut();
        let current = last.as_ref().is_some_and(|last| {
            last.memory.same_targets(&memory) && last.written.plus(REFRESH_MS) > written
        });
        let memory = StoredMemory { written, memory };
        if !current && store.save_memory(memory.clone()) {
            *last = Some(memory);
        }
    }
}
