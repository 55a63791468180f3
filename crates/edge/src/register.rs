//! Replicated register that holds the configuration document and the set of its replicas.
//!
//! Any node can write the register in rounds of two phases, prepare and accept; there is no leader.
//! A round reads the newest value that may have been chosen, applies a change and asks the replicas
//! to accept the result. The set of replicas is part of the value: until a change of the set is
//! settled, a quorum needs majorities of the old and of the new set.

mod earlier_form;
mod replica_plan;

pub use earlier_form::EarlierReplicaState;
pub use replica_plan::{DiskPresence, DiskReport, plan_replicas};

use crate::rollout::{RolloutHistory, RolloutRecord, RolloutState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Ballot number of a round. Unique for each round and totally ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct BallotNumber {
    /// Higher than all counters that the proposer has seen.
    pub counter: u64,
    /// Random number of the proposer's process.
    pub proposer: u64,
}

/// Identity of a replica: the address of a node and the identifier of its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaKey {
    /// Peer address of the node.
    pub address: SocketAddrV4,
    /// Random identifier written to the empty disk. A wiped disk gets a new identifier and so
    /// becomes a different replica.
    pub disk: u64,
}

/// Content of the register.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RegisterValue {
    /// Version of the document; 0 before the first one.
    pub version: u64,
    /// Document as the operator sent it, compressed.
    pub body: Arc<Vec<u8>>,
    /// Replicas of the register.
    pub replicas: BTreeSet<ReplicaKey>,
    /// Replicas before the last change; equal to `replicas` once the change is settled.
    pub previous: BTreeSet<ReplicaKey>,
    /// Orders of version roll-outs by service. The last field, so that a disk that was written
    /// before it existed is recognised by its end; see [`EarlierReplicaState`].
    pub rollouts: BTreeMap<String, RolloutHistory>,
}

/// Change that a round applies to the register.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RegisterChange {
    /// Keeps the value; the round only makes sure that it is chosen.
    Confirm,
    /// Stores a document if its version is higher than the stored one.
    Document {
        /// Version of the document.
        version: u64,
        /// Compressed document.
        body: Arc<Vec<u8>>,
    },
    /// Replaces the replicas, if `from` is the settled set.
    Replicas {
        /// Settled set that the change replaces.
        from: BTreeSet<ReplicaKey>,
        /// New set.
        to: BTreeSet<ReplicaKey>,
    },
    /// Settles the given set of replicas. The value with this set must be known to be chosen.
    Settle(BTreeSet<ReplicaKey>),
    /// Adds an order, unless another one of the service is in progress or it was accepted before.
    StartRollout {
        /// Service whose requests move.
        service: String,
        /// The order.
        record: RolloutRecord,
    },
    /// Ends the order in progress, if it is this one.
    FinishRollout {
        /// Service of the order.
        service: String,
        /// Version that the requests were to move to.
        to: String,
        /// Start of the order.
        started: u64,
        /// Final state.
        state: RolloutState,
    },
}

impl RegisterValue {
    /// Returns whether `set` contains a majority of the replicas and of the previous replicas.
    pub fn has_quorum(&self, set: &BTreeSet<ReplicaKey>) -> bool {
        has_majority(&self.replicas, set) && has_majority(&self.previous, set)
    }

    /// Returns all replicas that count towards a quorum.
    pub fn voters(&self) -> BTreeSet<ReplicaKey> {
        self.replicas.union(&self.previous).copied().collect()
    }

    /// Returns whether the last change of replicas is settled.
    pub fn settled(&self) -> bool {
        self.replicas == self.previous
    }

    /// Returns the value after a change.
    #[must_use]
    pub fn apply(&self, change: &RegisterChange) -> Self {
        let mut next = self.clone();
        match change {
            RegisterChange::Confirm => {}
            RegisterChange::Document { version, body } => {
                if *version > self.version {
                    next.version = *version;
                    next.body = body.clone();
                }
            }
            RegisterChange::Replicas { from, to } => {
                if self.settled() && self.replicas == *from {
                    next.replicas.clone_from(to);
                }
            }
            RegisterChange::Settle(set) => {
                if self.replicas == *set {
                    next.previous.clone_from(set);
                }
            }
            RegisterChange::StartRollout { service, record } => {
                next.rollouts.entry(service.clone()).or_default().start(record);
            }
            RegisterChange::FinishRollout { service, to, started, state } => {
                if let Some(history) = next.rollouts.get_mut(service) {
                    history.finish(to, *started, *state);
                }
            }
        }
        next
    }
}

fn has_majority(replicas: &BTreeSet<ReplicaKey>, set: &BTreeSet<ReplicaKey>) -> bool {
    replicas.intersection(set).count() * 2 > replicas.len()
}

/// Durable state of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaState {
    /// Highest ballot promised or accepted. Lower ballots are refused.
    pub promised: BallotNumber,
    /// Newest value accepted.
    pub accepted: Option<AcceptedValue>,
}

/// Accepted value with the ballot of its round.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AcceptedValue {
    /// Ballot of the round.
    pub ballot: BallotNumber,
    /// Accepted value.
    pub value: RegisterValue,
}

/// Reply of a replica in either phase.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PhaseReply {
    /// The ballot is promised. Contains the newest value accepted before.
    Promised(Option<AcceptedValue>),
    /// The value is accepted.
    Accepted,
    /// The contained ballot, which is not lower, was promised before.
    Refused(BallotNumber),
}

impl ReplicaState {
    /// Handles the prepare phase. The new state must be durable before the reply is sent.
    pub fn prepare(&mut self, ballot: BallotNumber) -> PhaseReply {
        if ballot <= self.promised {
            return PhaseReply::Refused(self.promised);
        }
        self.promised = ballot;
        PhaseReply::Promised(self.accepted.clone())
    }

    /// Handles the accept phase. The new state must be durable before the reply is sent.
    pub fn accept(&mut self, ballot: BallotNumber, value: &RegisterValue) -> PhaseReply {
        if ballot < self.promised {
            return PhaseReply::Refused(self.promised);
        }
        self.promised = ballot;
        self.accepted = Some(AcceptedValue { ballot, value: value.clone() });
        PhaseReply::Accepted
    }
}

/// Phase of a proposer's round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundPhase {
    /// The round collects promises.
    Prepare,
    /// The round collects acceptances of the value.
    Accept(RegisterValue),
    /// The value is chosen.
    Chosen(RegisterValue),
    /// A replica refused the round because of the contained ballot of another round.
    Preempted(BallotNumber),
}

/// State machine of a proposer's round, driven by the replies of the replicas.
#[derive(Clone, Debug)]
pub struct ProposerRound {
    ballot: BallotNumber,
    change: RegisterChange,
    phase: RoundPhase,
    newest: Option<AcceptedValue>,
    replies: BTreeSet<ReplicaKey>,
    initial_voters: BTreeSet<ReplicaKey>,
}

impl ProposerRound {
    /// Starts a round. `initial_voters` are the replicas that the proposer knows.
    pub fn new(
        ballot: BallotNumber,
        change: RegisterChange,
        initial_voters: BTreeSet<ReplicaKey>,
    ) -> Self {
        let (phase, replies) = (RoundPhase::Prepare, BTreeSet::new());
        Self { ballot, change, phase, newest: None, replies, initial_voters }
    }

    /// Returns the current phase.
    pub const fn phase(&self) -> &RoundPhase {
        &self.phase
    }

    /// Returns the ballot of the round.
    pub const fn ballot(&self) -> BallotNumber {
        self.ballot
    }

    /// Returns the number of replicas that have replied in the current phase.
    pub fn reply_count(&self) -> usize {
        self.replies.len()
    }

    /// Returns the replicas that have not replied in the current phase.
    pub fn pending(&self) -> Vec<ReplicaKey> {
        let voters = match (&self.phase, &self.newest) {
            (RoundPhase::Prepare, Some(newest)) => newest.value.voters(),
            (RoundPhase::Prepare, None) => BTreeSet::new(),
            (RoundPhase::Accept(value), _) => value.voters(),
            (RoundPhase::Chosen(_) | RoundPhase::Preempted(_), _) => return Vec::new(),
        };
        let initial = match self.phase {
            RoundPhase::Prepare => self.initial_voters.clone(),
            _ => BTreeSet::new(),
        };
        voters.union(&initial).filter(|key| !self.replies.contains(*key)).copied().collect()
    }

    /// Handles a reply of a replica.
    pub fn handle_reply(&mut self, from: ReplicaKey, reply: PhaseReply) {
        match (&self.phase, reply) {
            (RoundPhase::Prepare | RoundPhase::Accept(_), PhaseReply::Refused(ballot)) => {
                self.phase = RoundPhase::Preempted(ballot);
            }
            (RoundPhase::Prepare, PhaseReply::Promised(accepted)) => {
                self.replies.insert(from);
                if let Some(accepted) = accepted
                    && self.newest.as_ref().is_none_or(|newest| accepted.ballot > newest.ballot)
                {
                    self.newest = Some(accepted);
                }
                self.finish_prepare();
            }
            (RoundPhase::Accept(value), PhaseReply::Accepted) => {
                self.replies.insert(from);
                if value.has_quorum(&self.replies) {
                    self.phase = RoundPhase::Chosen(value.clone());
                }
            }
            _ => {}
        }
    }

    /// Starts the accept phase once a quorum of the newest value has promised. If no replica holds
    /// a value, the register is not initialized and the round keeps waiting.
    fn finish_prepare(&mut self) {
        let Some(newest) = &self.newest else { return };
        if newest.value.has_quorum(&self.replies) {
            let value = newest.value.apply(&self.change);
            self.replies.clear();
            self.phase = RoundPhase::Accept(value);
        }
    }
}

/// Returns the highest ballot that a quorum of replicas reports as accepted. Its value is chosen.
pub fn find_chosen<V>(
    reports: &BTreeMap<ReplicaKey, BallotNumber>,
    value_of: V,
) -> Option<BallotNumber>
where
    V: Fn(BallotNumber) -> Option<RegisterValue>,
{
    let ballots: BTreeSet<_> = reports.values().copied().collect();
    ballots.into_iter().rev().find(|ballot| {
        let holders = reports.iter().filter(|(_, held)| *held == ballot).map(|(key, _)| *key);
        let holders: BTreeSet<_> = holders.collect();
        value_of(*ballot).is_some_and(|value| value.has_quorum(&holders))
    })
}
