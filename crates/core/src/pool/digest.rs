//! Digest of the scheduler state, used by the model checker to distinguish states.

use super::PoolScheduler;
use super::request::RequestPhase;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

impl PoolScheduler {
    /// Hashes the phase of each request and the state of each target. Leaves out estimates, fair
    /// shares and the retry budget.
    pub fn digest<H: Hasher>(&self, hasher: &mut H) {
        self.rebuild.hash(hasher);
        for (key, handle) in self.by_key.iter().collect::<BTreeMap<_, _>>() {
            let Some(record) = self.requests.get(*handle) else { continue };
            (key, record.attempt, record.entry, record.timer, &record.tried).hash(hasher);
            let partner = record.partner.and_then(|handle| self.requests.get(handle));
            partner.map(|partner| partner.key).hash(hasher);
            match &record.phase {
                RequestPhase::Waiting(state) => {
                    (0, state.urgent, state.parked.map(|reason| reason as u8)).hash(hasher);
                }
                RequestPhase::Running(state) => {
                    (1, state.target, state.claim, state.cancelling).hash(hasher);
                    (state.owner_lost, state.suspect).hash(hasher);
                }
            }
        }
        for (key, target) in &self.targets {
            (key, target.eligible, target.left, target.running.len()).hash(hasher);
        }
    }
}
