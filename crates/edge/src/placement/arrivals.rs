//! Load of the requests that arrived at a service recently.

use super::VersionKey;
use super::queue::WaitingRequest;
use super::shares::{AccountKey, WorkspaceShares};
use super::version_slots::VersionLoads;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Time constant of the arrival statistics, in ms; short enough to follow bursts of a few seconds.
const ARRIVAL_TIME_CONSTANT_MS: f64 = 1_000.0;
/// Number of weight classes in the arrival statistics; each class covers twice the weight of the
/// one before.
const WEIGHT_CLASSES: usize = 64;
/// Slot time below which the arrivals of a version are forgotten, in ms; versions come and go.
const MIN_LOAD_MS: f64 = 0.001;

/// Exponentially decayed sums over the arrivals of one service.
#[derive(Debug, Default)]
pub(super) struct ArrivalStatistics {
    /// Slot time of the requests that arrived during the last second or so, in ms, by the version
    /// that they are bound to, by the account of their workspace and by weight class.
    loads: BTreeMap<(Option<VersionKey>, Option<AccountKey>), [f64; WEIGHT_CLASSES]>,
    /// Time to which the sums are decayed.
    decayed_at: ClockTime,
    count: f64,
    prefill_work: f64,
    /// Expected output tokens.
    output_tokens: f64,
}

impl ArrivalStatistics {
    /// Adds a request.
    pub(super) fn count(&mut self, waiting: &WaitingRequest, now: ClockTime) {
        let decay = (-(now.since(self.decayed_at) as f64) / ARRIVAL_TIME_CONSTANT_MS).exp();
        self.decayed_at = now;
        for load in self.loads.values_mut().flatten() {
            *load *= decay;
        }
        self.loads.retain(|_, loads| loads.iter().any(|load| *load > MIN_LOAD_MS));
        let key = (waiting.request.version, waiting.turn.map(|turn| turn.account));
        let loads = self.loads.entry(key).or_insert([0.0; WEIGHT_CLASSES]);
        loads[weight_class(waiting.weight)] += waiting.load_ms;
        self.count = self.count * decay + 1.0;
        self.prefill_work = self.prefill_work * decay + waiting.prefill_work;
        self.output_tokens = self.output_tokens * decay + f64::from(waiting.request.output_tokens);
    }

    /// Returns the mean prefill work and the mean expected output tokens.
    pub(super) fn mean_request(&self) -> (f64, f64) {
        let count = self.count.max(1.0);
        (self.prefill_work / count, self.output_tokens / count)
    }

    /// Returns the slots of mean speed that arrivals take ahead of a request, given its cost in the
    /// order of the queue. Arrivals of a workspace count as if they joined the end of its requests.
    pub(super) fn slots_ahead(&self, cost: f64, shares: &WorkspaceShares) -> VersionLoads {
        let mut slots = VersionLoads::new();
        for ((version, account), loads) in &self.loads {
            let classes = ..weight_class(cost / shares.next_factor(*account));
            let ahead = loads[classes].iter().sum::<f64>() / ARRIVAL_TIME_CONSTANT_MS;
            *slots.entry(*version).or_default() += ahead;
        }
        slots
    }
}

fn weight_class(weight: f64) -> usize {
    (weight.max(1.0).log2() as usize).min(WEIGHT_CLASSES - 1)
}
