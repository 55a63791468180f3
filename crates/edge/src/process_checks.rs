//! Times at which the processes of silent nodes are checked.

use crate::placement::ProcessKey;
use burdockcleat_core::clock::ClockTime;
use std::collections::{BTreeMap, BTreeSet};

/// Pause before a process is checked again, in ms; doubles with each check. A connection to a node
/// that is cut off times out a little later.
const FIRST_PAUSE_MS: u64 = 350;

/// Next check of a process.
#[derive(Clone, Copy, Debug)]
struct NextCheck {
    due: ClockTime,
    pause_ms: u64,
}

/// Processes that were checked since they became silent.
#[derive(Debug, Default)]
pub struct ProcessChecks {
    next: BTreeMap<ProcessKey, NextCheck>,
}

impl ProcessChecks {
    /// Returns which of the silent processes are to be checked at `now`, at most `limit`, and counts
    /// them as checked. A process that is not among them any more starts anew.
    pub fn take_due(
        &mut self,
        silent: &BTreeSet<ProcessKey>,
        limit: usize,
        now: ClockTime,
    ) -> Vec<ProcessKey> {
        self.next.retain(|process, _| silent.contains(process));
        let is_due =
            |process: &&ProcessKey| self.next.get(process).is_none_or(|check| check.due <= now);
        let due: Vec<_> = silent.iter().filter(is_due).take(limit).copied().collect();
        for process in &due {
            let last_pause_ms = self.next.get(process).map(|check| check.pause_ms);
            let pause_ms = last_pause_ms.map_or(FIRST_PAUSE_MS, |pause_ms| pause_ms * 2);
            self.next.insert(*process, NextCheck { due: now.plus(pause_ms), pause_ms });
        }
        due
    }
}
