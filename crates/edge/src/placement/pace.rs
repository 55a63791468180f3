//! Number of concurrent requests that a target may get, found from how it responds.
//!
//! A target that has just started or failed gets few requests at first. Each timely first event adds
//! one, which doubles the window with every round of requests. Failures and first events much later
//! than expected halve it. After a failure to respond, a single request probes the target.

use super::features::PlacementFeatures;
use super::service::ServiceScheduler;
use super::target::{AttemptOutcome, TargetState};
use super::{PlacementRequest, PlacementScheduler};
use burdockcleat_core::clock::ClockTime;

/// Window of a target that has just joined. A few answers open it, since nothing speaks against it.
const FIRST_WINDOW: f64 = 2.0;
/// Factor of the window at a failure or a late first event.
const DECREASE: f64 = 0.5;
/// A first event is late if it takes this many times the expected time; as for outliers of the speed.
const LATE_FACTOR: f64 = 3.0;
/// Minimum delay of a late first event beyond the expected time, in ms: the shortest objective of a
/// stream. A shorter delay rarely costs a caller anything.
const LATE_MS: f64 = 300.0;
/// Time after an unreachable target's failure until it is probed, in ms. Each probe costs one more
/// placement; 20 targets that are gone cost 80 of these a second.
const PROBE_MS: u64 = 250;
/// Longest time after a silent target's failure until it is probed, in ms. A probe costs its caller the
/// 0.7 s that pass before another target is sought.
const SILENT_PROBE_MS: u64 = 1_000;
/// Time after the end of the backoff during which only a request that may be repeated is sent, in ms.
/// Such requests arrive many times a second under load; without any, others probe the target.
const PROBE_WAIT_MS: u64 = 250;

/// Times at which a target that has failed may get its next request.
#[derive(Clone, Copy, Debug)]
struct ProbeTimes {
    /// For a request that may be repeated.
    repeatable: ClockTime,
    /// For any request.
    any: ClockTime,
}

/// Window of one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct PaceWindow {
    window: f64,
    /// End of the time for which the target remains slow after its start.
    cold_until: ClockTime,
    /// Set from a failure until the target responds.
    probe: Option<ProbeTimes>,
    /// Time of the last decrease; `None` before the first.
    decreased: Option<ClockTime>,
}

impl PaceWindow {
    /// Creates the window of a target that remains slow for `cold_ms`.
    pub(super) const fn new(cold_ms: u32, now: ClockTime) -> Self {
        let window = if cold_ms > 0 { 1.0 } else { FIRST_WINDOW };
        Self { window, cold_until: now.plus(cold_ms as u64), probe: None, decreased: None }
    }

    /// Returns the number of requests that a target with `slots` may hold for another one to be sent.
    pub(super) fn allowed(&self, slots: u32, repeatable: bool, now: ClockTime) -> usize {
        let Some(probe) = self.probe else { return self.open_slots(slots) };
        let from = if repeatable { probe.repeatable } else { probe.any };
        usize::from(from <= now)
    }

    /// Returns the number of slots that the window opens.
    pub(super) fn open_slots(&self, slots: u32) -> usize {
        (self.window as usize).clamp(1, slots.max(1) as usize)
    }

    /// Records that a target responds that holds `held` requests. What it holds after a failure is no
    /// reason to send it nothing until most of these have ended.
    fn respond(&mut self, held: usize) {
        if self.probe.take().is_some() {
            self.window = self.window.max(held as f64);
        }
    }

    /// Records a first event of a request that was granted at `granted`, in ms of undisturbed work.
    pub(super) fn answered(
        &mut self,
        (slots, held): (u32, usize),
        granted: ClockTime,
        (took_ms, expected_ms): (f64, f64),
        now: ClockTime,
    ) {
        self.respond(held);
        if took_ms > (expected_ms * LATE_FACTOR).max(expected_ms + LATE_MS) {
            self.decrease(granted, now);
        } else if now < self.cold_until {
            // One more for each round: the target is known to be slow.
            self.window += 1.0 / self.window;
        } else {
            self.window += 1.0;
        }
        self.window = self.window.min(f64::from(slots.max(1)));
    }

    /// Halves the window for a request granted at `granted`. Requests that were granted before the last
    /// decrease show the same trouble again.
    fn decrease(&mut self, granted: ClockTime, now: ClockTime) {
        if self.decreased.is_none_or(|decreased| granted >= decreased) {
            self.window = (self.window * DECREASE).max(1.0);
            self.decreased = Some(now);
        }
    }

    /// Records the end of a request. `held` is the number of requests left at the target, and `backoff_until` the
    /// end of its backoff.
    pub(super) fn ended(
        &mut self,
        outcome: AttemptOutcome,
        held: usize,
        backoff_until: ClockTime,
        now: ClockTime,
    ) {
        let probe_ms = match outcome {
            AttemptOutcome::Broken => {
                self.window = (self.window * DECREASE).max(1.0);
                self.decreased = Some(now);
                // Requests that go on show that the target is there.
                if held > 0 && self.window > 1.0 {
                    return;
                }
                0
            }
            AttemptOutcome::Unreachable => PROBE_MS,
            AttemptOutcome::Stalled => backoff_until.since(now).min(SILENT_PROBE_MS),
            AttemptOutcome::Answered | AttemptOutcome::Failed | AttemptOutcome::DeadlinePassed => {
                // The freed slot may be used again.
                self.respond(held + 1);
                return;
            }
            AttemptOutcome::Full | AttemptOutcome::Dropped => return,
        };
        self.window = 1.0;
        self.decreased = Some(now);
        let any = backoff_until.max(now).plus(PROBE_WAIT_MS);
        self.probe = Some(ProbeTimes { repeatable: now.plus(probe_ms), any });
    }

    /// Records that a target is full, for a request granted at `granted`.
    pub(super) fn full(&mut self, granted: ClockTime, now: ClockTime) {
        self.decrease(granted, now);
    }

    /// Raises the window of a target without trouble to the number of requests that it runs already,
    /// by other schedulers.
    pub(super) fn raise(&mut self, held: usize) {
        if self.decreased.is_none() {
            self.window = self.window.max(held as f64);
        }
    }

    /// Returns whether the target has failed and has not responded since.
    pub(super) const fn is_probed(&self) -> bool {
        self.probe.is_some()
    }
}

impl TargetState {
    /// Returns whether a request may be sent to the target.
    pub(super) fn accepts(&self, request: &PlacementRequest, now: ClockTime) -> bool {
        self.has_slot_for(request.repeatable, now)
    }

    /// Returns whether the target has a free slot for a request, given whether that may be repeated.
    pub(super) fn has_slot_for(&self, repeatable: bool, now: ClockTime) -> bool {
        let held = self.held_requests(now);
        if !self.paced {
            return held < self.slots_in_use() && self.usable(now) && self.within_rate(now);
        }
        !self.on_hold
            && held < self.pace.allowed(self.info.slots, repeatable, now)
            && self.within_rate(now)
    }

    /// Counts a request of another scheduler that the target runs.
    pub(super) fn raise_pace(&mut self, now: ClockTime) {
        self.pace.raise(self.held_requests(now));
    }

    /// Formats the window, for state dumps.
    pub(super) fn describe_pace(&self) -> String {
        if !self.paced {
            return String::new();
        }
        let window = self.pace.open_slots(self.info.slots);
        format!(" window={window} probed={}", self.pace.is_probed())
    }
}

impl ServiceScheduler {
    /// Sets the features that the settings call for; those of load reports are kept.
    pub(super) fn set_features(&mut self, features: PlacementFeatures) {
        self.features = if self.load_reports { features.with_load_reports() } else { features };
        for state in self.targets.values_mut() {
            state.paced = self.features.target_pace;
        }
    }

    /// Returns the number of slots that the windows open, and of targets that have failed and have not
    /// responded since.
    fn pace_counts(&self) -> (usize, usize) {
        let states = self.targets.values();
        let open = states.clone().map(|state| state.pace.open_slots(state.info.slots));
        (open.sum(), states.filter(|state| state.pace.is_probed()).count())
    }

    /// Formats the counts of the windows, for logs; empty without the feature.
    pub(super) fn describe_paces(&self) -> String {
        if !self.features.target_pace {
            return String::new();
        }
        let (open, probed) = self.pace_counts();
        format!(" open_slots={open} probed={probed}")
    }
}

impl PlacementScheduler {
    /// Returns the number of slots that the windows of targets open, and of targets that have failed
    /// and have not responded since. `None` if no service paces its targets.
    pub fn pace_counts(&self) -> Option<(usize, usize)> {
        let paced = self.services.values().filter(|scheduler| scheduler.features.target_pace);
        paced
            .map(ServiceScheduler::pace_counts)
            .reduce(|left, right| (left.0 + right.0, left.1 + right.1))
    }
}
