//! Form of a replica's state on disks that were written before the register held roll-outs.

use super::{AcceptedValue, BallotNumber, RegisterValue, ReplicaKey, ReplicaState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Durable state of a replica without roll-outs.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct EarlierReplicaState {
    /// See [`ReplicaState::promised`].
    pub promised: BallotNumber,
    /// See [`ReplicaState::accepted`].
    pub accepted: Option<EarlierAcceptedValue>,
}

/// Accepted value without roll-outs.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct EarlierAcceptedValue {
    ballot: BallotNumber,
    value: EarlierValue,
}

/// Content of the register without roll-outs.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct EarlierValue {
    version: u64,
    body: Arc<Vec<u8>>,
    replicas: BTreeSet<ReplicaKey>,
    previous: BTreeSet<ReplicaKey>,
}

impl From<EarlierReplicaState> for ReplicaState {
    fn from(earlier: EarlierReplicaState) -> Self {
        let accepted = earlier.accepted.map(|EarlierAcceptedValue { ballot, value }| {
            let EarlierValue { version, body, replicas, previous } = value;
            let rollouts = BTreeMap::new();
            let value = RegisterValue { version, body, replicas, previous, rollouts };
            AcceptedValue { ballot, value }
        });
        Self { promised: earlier.promised, accepted }
    }
}
