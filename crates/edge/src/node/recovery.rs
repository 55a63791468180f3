//! What a node writes down for its next start, and what it takes over then.

use super::NodeState;
use crate::memory::{RecoveryMemory, RouteDeadline};
use crate::targets::{AgedNotice, FRESH_INTERVALS};
use burdockcleat_core::clock::ClockTime;

/// Pause between two writes of a memory whose targets did not change, in ms: speeds and deadlines
/// change slowly.
const REFRESH_MS: u64 = 5_000;

impl NodeState {
    /// Takes over what the disk remembers.
    pub(super) fn recall(&self) {
        let Some(memory) = self.register.store().and_then(|store| store.recall()) else { return };
        let age_ms = memory.age_ms(ClockTime::wall());
        log::info!(
            target: "burdockcleat",
            "event=memory.recalled used={} targets={} speeds={} routes={}",
            age_ms.is_some(), memory.targets.len(), memory.speeds.len(), memory.deadlines.len()
        );
        let Some(age_ms) = age_ms else { return };
        let aged = memory.targets.iter().map(|aged| AgedNotice {
            notice: aged.notice.timeless(),
            age_ms: aged.age_ms + age_ms,
        });
        self.board.borrow_mut().recall_speeds(&memory.speeds);
        self.take_over(&aged.collect::<Vec<_>>(), &memory.deadlines);
    }

    /// Takes over what another node, or the disk, knows of targets and callers.
    pub(crate) fn take_over(&self, targets: &[AgedNotice], deadlines: &[RouteDeadline]) {
        let now = ClockTime::monotonic();
        self.deadlines.borrow_mut().recall(deadlines, now);
        let mut table = self.targets.borrow_mut();
        for AgedNotice { notice, age_ms } in targets {
            // The clock begins with the process: what is older than it counts as heard at its start.
            let heard = ClockTime::from_ms(now.as_ms().saturating_sub(*age_ms));
            table.apply(notice, heard);
        }
        drop(table);
        self.refresh_targets();
    }

    /// Writes down what the next start takes over: at once if the targets changed.
    pub(super) fn remember(&self) {
        let Some(store) = self.register.store() else { return };
        let written = ClockTime::wall();
        let fresh_ms = self.settings.bounds.announce_interval_ms * FRESH_INTERVALS;
        let mut targets = self.targets.borrow().snapshot(ClockTime::monotonic());
        targets.retain(|aged| aged.age_ms <= fresh_ms || aged.notice.left());
        let memory = RecoveryMemory {
            written,
            targets,
            speeds: self.board.borrow().speeds(),
            deadlines: self.deadlines.borrow().longest(),
        };
        let mut last = self.remembered.borrow_mut();
        let current = last.as_ref().is_some_and(|last| {
            last.same_targets(&memory) && last.written.plus(REFRESH_MS) > written
        });
        if !current && store.remember(memory.clone()) {
            *last = Some(memory);
        }
    }
}
