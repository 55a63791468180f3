//! Detects absences of a node: times in which it stood still or heard no other node. What it knew of
//! targets before may be outdated afterwards.

use burdockcleat_core::clock::ClockTime;

/// Pause between two marks from which it counts as an absence, in ms. The other nodes tell a silent
/// node of all changes for this long at least, so its socket holds those of a shorter pause.
const MIN_ABSENCE_MS: u64 = 1_000;
/// Time after an absence in which the node may still read what arrived during it, in ms.
const BACKLOG_MS: u64 = 100;

/// Times of a running node.
#[derive(Debug, Default)]
pub struct AbsenceTracker {
    /// Monotonic and wall-clock time of the last mark.
    marked: Option<(ClockTime, ClockTime)>,
    returned: ClockTime,
}

impl AbsenceTracker {
    /// Records that the node runs, and whether it hears no other node. Returns the time since the last
    /// mark, in ms, if the node stood still.
    pub fn mark(&mut self, now: ClockTime, wall: ClockTime, alone: bool) -> Option<u64> {
        // The monotonic clock does not count the time for which an instance was suspended.
        let paused = self
            .marked
            .replace((now, wall))
            .map(|(marked, marked_wall)| now.since(marked).max(wall.since(marked_wall)));
        let paused_ms = paused.filter(|paused_ms| *paused_ms > MIN_ABSENCE_MS);
        if alone || paused_ms.is_some() {
            self.returned = now.plus(BACKLOG_MS);
        }
        paused_ms
    }

    /// Returns the time from which on announcements of targets are newer than the last absence.
    pub const fn returned(&self) -> ClockTime {
        self.returned
    }
}
