//! Orders of version roll-outs as the register holds them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;

/// Number of orders that are kept for a service. A repeated order is recognised among them, and
/// the versions that they reverted get no requests.
const MAX_ORDERS: usize = 64;

/// State of an order. The final states never change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RolloutState {
    /// The version is on trial.
    InProgress,
    /// All requests go to the version.
    Completed,
    /// The version gets no requests any more.
    Reverted,
}

/// Order of an operator, as it was read from the body of the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service whose requests move.
    pub service: String,
    /// Software version that they move to.
    pub to: String,
    /// Time until the order has to end, in ms.
    pub duration_ms: u64,
}

/// Reason why an order was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum RolloutError {
    /// The body could not be read, or a field is missing, of another type or out of range.
    #[error("reading the roll-out order: {0}")]
    Unreadable(String),
}

/// Accepted order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Software version that the requests move to.
    pub to: String,
    /// Wall clock of the node that received the order, in ms since the Unix epoch. It identifies
    /// the order. The node's clock may be wrong, so its age is measured otherwise.
    pub started: u64,
    /// Time until the order has to end, in ms.
    pub duration_ms: u64,
    /// State of the order.
    pub state: RolloutState,
}

/// Orders of one service, oldest first. Only the last one may be in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RolloutHistory(Vec<RolloutRecord>);

/// Versions that the requests of a service may be sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionPolicy {
    /// Version of the last completed order. Other versions get nothing, except one on trial.
    pub only: Option<String>,
    /// Versions that were reverted.
    pub barred: BTreeSet<String>,
    /// Version on trial.
    pub trial: Option<String>,
}

impl VersionPolicy {
    /// Returns whether any request may be sent to a version.
    pub fn allows(&self, version: &str) -> bool {
        self.trial.as_deref() == Some(version)
            || (!self.barred.contains(version)
                && self.only.as_ref().is_none_or(|only| only == version))
    }
}

impl RolloutHistory {
    /// Returns the newest order.
    pub fn newest(&self) -> Option<&RolloutRecord> {
        self.0.last()
    }

    /// Returns the order in progress.
    pub fn running(&self) -> Option<&RolloutRecord> {
        self.newest().filter(|record| record.state == RolloutState::InProgress)
    }

    /// Returns whether an order with this version and duration was accepted.
    pub fn has_accepted(&self, to: &str, duration_ms: u64) -> bool {
        self.0.iter().any(|record| record.to == to && record.duration_ms == duration_ms)
    }

    /// Adds an order unless another one is in progress or the same one was accepted before.
    pub fn start(&mut self, record: &RolloutRecord) {
        if self.running().is_some() || self.has_accepted(&record.to, record.duration_ms) {
            return;
        }
        self.0.push(RolloutRecord { state: RolloutState::InProgress, ..record.clone() });
        if self.0.len() > MAX_ORDERS {
            // The last completed order decides which version serves, so it is kept.
            let completed =
                self.0.iter().rposition(|record| record.state == RolloutState::Completed);
            self.0.remove(usize::from(completed == Some(0)));
        }
    }

    /// Ends the order in progress if it has this version and start.
    pub fn finish(&mut self, to: &str, started: u64, state: RolloutState) {
        if let Some(record) = self.0.last_mut()
            && record.state == RolloutState::InProgress
            && record.to == to
            && record.started == started
        {
            record.state = state;
        }
    }

    /// Returns the versions that requests may be sent to. Of several orders to one version, the
    /// newest decides.
    pub fn policy(&self) -> VersionPolicy {
        let mut policy = VersionPolicy::default();
        for record in &self.0 {
            policy.barred.remove(&record.to);
            let serves_alone = policy.only.as_ref() == Some(&record.to);
            match record.state {
                RolloutState::Completed => {
                    policy.only = Some(record.to.clone());
                    policy.barred.clear();
                }
                // A version that serves alone is neither on trial nor taken back: nothing else
                // could serve.
                RolloutState::InProgress | RolloutState::Reverted if serves_alone => {}
                RolloutState::InProgress => policy.trial = Some(record.to.clone()),
                RolloutState::Reverted => {
                    policy.barred.insert(record.to.clone());
                }
            }
        }
        policy
    }
}
