//! Limits what the targets of a version on trial get.

use super::free_targets::FreeTargets;
use super::queue::WaitingRequest;
use super::service::ServiceScheduler;
use super::{TargetKey, VersionKey};
use burdockcleat_core::clock::ClockTime;

/// Version on trial, and how many requests this scheduler may still grant to its targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialLimit {
    /// The version.
    pub version: VersionKey,
    /// Number of grants left.
    pub left: u32,
}

impl ServiceScheduler {
    /// Sets the version on trial. Its targets count as unusable while no grant is left.
    pub(super) fn set_trial(&mut self, trial: Option<TrialLimit>) {
        if self.trial != trial {
            self.trial = trial;
            self.hold_trial_targets();
            self.summary.invalidate();
        }
    }

    pub(super) fn hold_trial_targets(&mut self) {
        let held = self.trial.filter(|trial| trial.left == 0).map(|trial| trial.version);
        for state in self.targets.values_mut() {
            state.on_hold = held == Some(state.info.version);
        }
    }

    /// Counts a grant to a version.
    pub(super) fn count_trial(&mut self, version: VersionKey, free: &mut FreeTargets) {
        let Some(trial) = self.trial.as_mut().filter(|trial| trial.version == version) else {
            return;
        };
        trial.left = trial.left.saturating_sub(1);
        if trial.left == 0 {
            self.hold_trial_targets();
            free.remove_version(version);
        }
    }

    /// Returns the best free target of the version on trial, if a grant is left and little value is
    /// lost there. The version is judged from its answers, so it gets all that it may get.
    pub(super) fn pick_trial_target(
        &self,
        waiting: &WaitingRequest,
        tolerated_loss: f64,
        now: ClockTime,
    ) -> Option<TargetKey> {
        let version = self.trial.filter(|trial| trial.left > 0)?.version;
        let states = self.targets.values().filter(|state| state.info.version == version);
        let free = states
            .filter(|state| {
                waiting.request.allows(&state.info) && self.is_free(state, waiting, now)
            })
            .filter(|state| state.placement_loss(waiting, now) <= tolerated_loss)
            .map(|state| (state.cost(waiting, self.features.domain_affinity, now), state.info.key));
        free.min_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, key)| key)
    }
}
