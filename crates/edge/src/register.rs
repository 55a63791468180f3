//! Replicated register that holds the configuration document and its own replicas.
//!
//! The register is written in rounds of two phases (prepare, accept) by any node; there is no
//! leader. A round reads the newest value that may be chosen, applies a change and has the result
//! accepted by a majority. The replicas are part of the value: a change of replicas needs majorities
//! of the old and of the new set until it is settled.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Orders rounds; unique for each round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct BallotNumber {
    /// Higher than all counters that the proposer has seen.
    pub counter: u64,
    /// Random number of the proposer's process.
    pub proposer: u64,
}

/// A replica: an address together with the disk that it answers from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaKey {
    /// Peer address of the node.
    pub address: SocketAddrV4,
    /// Random number written when the disk was empty: a wiped disk is another replica.
    pub disk: u64,
}

/// Content of the register.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RegisterValue {
    /// Version of the document; 0 before the first one.
    pub version: u64,
    /// The document as the operator sent it, compressed.
    pub body: Arc<Vec<u8>>,
    /// Replicas of the register.
    pub replicas: BTreeSet<ReplicaKey>,
    /// Replicas before the last change; equal to `replicas` once the change is settled.
    pub previous: BTreeSet<ReplicaKey>,
}

/// A change of the register.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RegisterChange {
    /// Confirms the value that is held.
    Confirm,
    /// Stores a document if its version is higher than the one held.
    Document {
        /// Version of the document.
        version: u64,
        /// The document, compressed.
        body: Arc<Vec<u8>>,
    },
    /// Replaces the replicas, if `from` is the settled set.
    Replicas {
        /// Settled set that the change starts from.
        from: BTreeSet<ReplicaKey>,
        /// New set.
        to: BTreeSet<ReplicaKey>,
    },
    /// Settles the set, which must be known to be chosen.
    Settle(BTreeSet<ReplicaKey>),
}

impl RegisterValue {
    /// Whether the set holds a majority of the replicas and of the ones before the last change.
    pub fn has_quorum(&self, set: &BTreeSet<ReplicaKey>) -> bool {
        majority(&self.replicas, set) && majority(&self.previous, set)
    }

    /// All replicas that count for a quorum.
    pub fn voters(&self) -> BTreeSet<ReplicaKey> {
        self.replicas.union(&self.previous).copied().collect()
    }

    /// Whether the last change of replicas is settled.
    pub fn settled(&self) -> bool {
        self.replicas == self.previous
    }

    /// The value after a change.
    #[must_use]
    pub fn change(&self, change: &RegisterChange) -> Self {
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
        }
        next
    }
}

fn majority(replicas: &BTreeSet<ReplicaKey>, set: &BTreeSet<ReplicaKey>) -> bool {
    replicas.intersection(set).count() * 2 > replicas.len()
}

/// Durable part of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaState {
    /// Rounds below this ballot are refused.
    pub promised: BallotNumber,
    /// Newest value accepted.
    pub accepted: Option<AcceptedValue>,
}

/// A value with the ballot under which it was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AcceptedValue {
    /// Ballot of the round.
    pub ballot: BallotNumber,
    /// The value.
    pub value: RegisterValue,
}

/// A replica's answer to either phase.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PhaseReply {
    /// Promised; the newest value accepted before.
    Promised(Option<AcceptedValue>),
    /// Accepted.
    Accepted,
    /// A higher ballot was promised.
    Refused(BallotNumber),
}

impl ReplicaState {
    /// First phase. The new state must be durable before the reply is sent.
    pub fn prepare(&mut self, ballot: BallotNumber) -> PhaseReply {
        if ballot <= self.promised {
            return PhaseReply::Refused(self.promised);
        }
        self.promised = ballot;
        PhaseReply::Promised(self.accepted.clone())
    }

    /// Second phase. The new state must be durable before the reply is sent.
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
    /// Collects promises.
    Prepare,
    /// Collects acceptances of the value.
    Accept(RegisterValue),
    /// The value is chosen.
    Chosen(RegisterValue),
    /// Another round with a higher ballot is in progress.
    Lost(BallotNumber),
}

/// A proposer's round, as a step function of replies.
#[derive(Clone, Debug)]
pub struct ProposerRound {
    ballot: BallotNumber,
    change: RegisterChange,
    phase: RoundPhase,
    newest: Option<AcceptedValue>,
    replies: BTreeSet<ReplicaKey>,
    known: BTreeSet<ReplicaKey>,
}

impl ProposerRound {
    /// Starts a round with the replicas that the proposer knows of.
    pub fn new(ballot: BallotNumber, change: RegisterChange, known: BTreeSet<ReplicaKey>) -> Self {
        let (phase, replies) = (RoundPhase::Prepare, BTreeSet::new());
        Self { ballot, change, phase, newest: None, replies, known }
    }

    /// Where the round stands.
    pub const fn phase(&self) -> &RoundPhase {
        &self.phase
    }

    /// Ballot of the round.
    pub const fn ballot(&self) -> BallotNumber {
        self.ballot
    }

    /// Replicas that the current phase still waits for.
    pub fn pending(&self) -> Vec<ReplicaKey> {
        let voters = match (&self.phase, &self.newest) {
            (RoundPhase::Prepare, Some(newest)) => newest.value.voters(),
            (RoundPhase::Prepare, None) => BTreeSet::new(),
            (RoundPhase::Accept(value), _) => value.voters(),
            (RoundPhase::Chosen(_) | RoundPhase::Lost(_), _) => return Vec::new(),
        };
        let known = match self.phase {
            RoundPhase::Prepare => self.known.clone(),
            _ => BTreeSet::new(),
        };
        voters.union(&known).filter(|key| !self.replies.contains(*key)).copied().collect()
    }

    /// Takes in a reply of a replica.
    pub fn step(&mut self, from: ReplicaKey, reply: PhaseReply) {
        match (&self.phase, reply) {
            (RoundPhase::Prepare | RoundPhase::Accept(_), PhaseReply::Refused(ballot)) => {
                self.phase = RoundPhase::Lost(ballot);
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

    /// Moves on to the second phase once the voters of the newest value have promised. Without any
    /// value there is no register yet, and the round waits.
    fn finish_prepare(&mut self) {
        let Some(newest) = &self.newest else { return };
        if newest.value.has_quorum(&self.replies) {
            let value = newest.value.change(&self.change);
            self.replies.clear();
            self.phase = RoundPhase::Accept(value);
        }
    }
}

/// Finds a chosen value from what replicas report to have accepted: one ballot at a quorum.
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
