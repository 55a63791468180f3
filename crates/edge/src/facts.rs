//! Facts about targets and requests that all nodes are to know. Each node learns some of them and tells
//! the others. Facts can be merged in any order and more than once.

use crate::suspects::SuspectReport;
use crate::target_limits::LimitReport;
use crate::targets::AgedNotice;
use serde::{Deserialize, Serialize};

/// Kind of facts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub(crate) enum FactKind {
    /// Targets that drain or have left.
    Departures,
    /// Crashes of targets under requests.
    Suspects,
    /// Limits that targets name.
    Limits,
}

impl FactKind {
    pub(crate) const ALL: [Self; 3] = [Self::Departures, Self::Suspects, Self::Limits];
}

/// Digests of what a node knows. A digest is 0 if the node knows no fact of that kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct FactDigests {
    pub(crate) departures: u64,
    pub(crate) suspects: u64,
    pub(crate) limits: u64,
}

impl FactDigests {
    /// Returns the digest of one kind.
    pub(crate) const fn of(&self, kind: FactKind) -> u64 {
        match kind {
            FactKind::Departures => self.departures,
            FactKind::Suspects => self.suspects,
            FactKind::Limits => self.limits,
        }
    }
}

/// All facts of one kind that a node knows.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum KnownFacts {
    Departures(Vec<AgedNotice>),
    Suspects(Vec<SuspectReport>),
    Limits(Vec<LimitReport>),
}
