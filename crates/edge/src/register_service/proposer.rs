//! Proposer of the register: runs rounds by calling the replicas.

use super::store::StoreCall;
use super::{AppliedValue, INITIAL_COUNTER, RegisterService};
use crate::config::ConfigError;
use crate::document;
use crate::node::NodeState;
use crate::register::{
    AcceptedValue, BallotNumber, PhaseReply, ProposerRound, RegisterChange, RegisterValue,
    ReplicaKey, RoundPhase,
};
use crate::rpc::{self, PeerCall, PeerReply};
use burdockcleat_core::clock::ClockTime;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::JoinSet;

/// Timeout of one round, in ms. Allows two phases with slow disk syncs.
const ROUND_TIMEOUT_MS: u64 = 1_200;
/// Upper bound of the random pause after a preempted round, per attempt so far, in ms.
const BACKOFF_STEP_MS: u64 = 25;
/// Pause after a round that timed out without a quorum, in ms.
const NO_QUORUM_BACKOFF_MS: u64 = 100;
/// Numerator of the fraction of a change's time limit that one forwarded call may take. The rest is
/// left for the next replica or for rounds of this node.
const FORWARD_TIME_NUMERATOR: u64 = 2;
/// Denominator of the fraction of a change's time limit that one forwarded call may take.
const FORWARD_TIME_DENOMINATOR: u64 = 3;
/// Maximum number of replicas that a change is forwarded to.
const MAX_FORWARDS: usize = 2;
/// Timeout of a quorum read, in ms.
const READ_TIMEOUT_MS: u64 = 500;

/// Reason why a change is not known to be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub(crate) enum RoundError {
    #[error("the replicas of the register are not known yet")]
    NoRegister,
    #[error("no majority of the replicas answered in time")]
    NoQuorum,
}

/// How a round ended.
enum RoundEnd {
    Chosen(RegisterValue),
    /// A round with a higher ballot preempted it.
    Preempted,
    /// No quorum answered in time.
    TimedOut,
}

impl NodeState {
    /// Changes the register and waits until the result is chosen.
    ///
    /// The change is forwarded to the lowest reachable replica, so that concurrent rounds are rare,
    /// and then to the next one. A node without a replica runs no rounds while replicas are
    /// reachable: its link may be too slow to finish a round, and each attempt would preempt the
    /// rounds of other nodes.
    pub(crate) async fn submit_change(
        self: &Rc<Self>,
        change: &RegisterChange,
        limit_ms: u64,
    ) -> Result<RegisterValue, RoundError> {
        let local = self.register.local_key();
        let replicas = self.reachable_replicas();
        let mut left_ms = limit_ms;
        for replica in replicas.iter().take(MAX_FORWARDS) {
            if Some(*replica) == local {
                break;
            }
            let time_ms =
                (limit_ms * FORWARD_TIME_NUMERATOR / FORWARD_TIME_DENOMINATOR).min(left_ms);
            left_ms -= time_ms;
            let call = PeerCall::Change(change.clone());
            let reply = rpc::call(replica.address, &call);
            match tokio::time::timeout(Duration::from_millis(time_ms), reply).await {
                Ok(Ok(PeerReply::Changed(AcceptedValue { ballot, value }))) => {
                    self.apply_value(ballot, &value);
                    return Ok(value);
                }
                other => {
                    log::info!(target: "burdockcleat", "event=register.no_change replica={} reply={other:?}", replica.address);
                }
            }
        }
        if local.is_none() && !replicas.is_empty() {
            return Err(RoundError::NoQuorum);
        }
        self.propose_change(change, left_ms).await
    }

    /// Returns the reachable replicas, including the local one, in ascending order.
    fn reachable_replicas(&self) -> Vec<ReplicaKey> {
        let Some(applied) = self.register.applied() else { return Vec::new() };
        let now = ClockTime::monotonic();
        let peers = self.peers.borrow();
        let reachable: BTreeSet<_> = peers
            .alive(now)
            .filter(|record| !record.status.leaving)
            .filter_map(|record| {
                let address = record.status.address;
                record.status.disk.map(|disk| ReplicaKey { address, disk })
            })
            .chain(self.register.local_key())
            .collect();
        applied.value.replicas.intersection(&reachable).copied().collect()
    }

    /// Changes the register in rounds of this node and waits until the result is chosen.
    pub(crate) async fn propose_change(
        self: &Rc<Self>,
        change: &RegisterChange,
        limit_ms: u64,
    ) -> Result<RegisterValue, RoundError> {
        let deadline = ClockTime::monotonic().plus(limit_ms);
        let limit = Duration::from_millis(limit_ms);
        let lock = self.register.change_lock.lock();
        let Ok(_guard) = tokio::time::timeout(limit, lock).await else {
            return Err(RoundError::NoQuorum);
        };
        // The previous holder of the lock may have stored this version or a newer one.
        if let (RegisterChange::Document { version, .. }, Some(applied)) =
            (change, self.register.applied())
            && applied.value.version >= *version
        {
            return Ok(applied.value);
        }
        let mut attempts = 0_u64;
        loop {
            let left_ms = deadline.since(ClockTime::monotonic());
            if left_ms == 0 {
                return Err(RoundError::NoQuorum);
            }
            attempts += 1;
            let pause_ms = match self.run_round(change, left_ms.min(ROUND_TIMEOUT_MS)).await? {
                RoundEnd::Chosen(value) => return Ok(value),
                RoundEnd::Preempted => rand::random_range(1..=BACKOFF_STEP_MS * attempts.min(8)),
                RoundEnd::TimedOut => NO_QUORUM_BACKOFF_MS,
            };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Runs one round for at most `limit_ms`.
    async fn run_round(
        self: &Rc<Self>,
        change: &RegisterChange,
        limit_ms: u64,
    ) -> Result<RoundEnd, RoundError> {
        let limit = tokio::time::sleep(Duration::from_millis(limit_ms));
        tokio::pin!(limit);
        let known = self.known_voters();
        if known.is_empty() {
            return Err(RoundError::NoRegister);
        }
        let ballot = self.register.next_ballot();
        let mut round = ProposerRound::new(ballot, change.clone(), known);
        let mut calls: JoinSet<(ReplicaKey, Option<PhaseReply>)> = JoinSet::new();
        let mut called = BTreeSet::new();
        let mut phase_is_accept = false;
        loop {
            match round.phase() {
                RoundPhase::Chosen(value) => {
                    let value = value.clone();
                    calls.detach_all();
                    self.apply_value(ballot, &value);
                    self.send_status();
                    return Ok(RoundEnd::Chosen(value));
                }
                RoundPhase::Preempted(higher) => {
                    self.register.observe_counter(higher.counter);
                    return Ok(RoundEnd::Preempted);
                }
                RoundPhase::Accept(_) if !phase_is_accept => {
                    phase_is_accept = true;
                    called.clear();
                    calls = JoinSet::new();
                }
                RoundPhase::Accept(_) | RoundPhase::Prepare => {}
            }
            for key in round.pending() {
                if called.insert(key) {
                    let (node, phase) = (self.clone(), round.phase().clone());
                    calls.spawn_local(
                        async move { (key, node.call_replica(key, ballot, phase).await) },
                    );
                }
            }
            let joined = tokio::select! {
                joined = calls.join_next(), if !calls.is_empty() => joined,
                () = &mut limit => {
                    self.log_timeout(&round);
                    return Ok(RoundEnd::TimedOut);
                }
            };
            if let Some(Ok((key, Some(reply)))) = joined {
                round.handle_reply(key, reply);
            }
        }
    }

    /// Logs which replicas did not answer a round, and whether their nodes are heard.
    fn log_timeout(&self, round: &ProposerRound) {
        let phase = if matches!(round.phase(), RoundPhase::Prepare) { "prepare" } else { "accept" };
        let now = ClockTime::monotonic();
        let heard = self.reachable_disks(now);
        let missing = round.pending().into_iter().map(|key| {
            let state = if heard.contains(&key) {
                "heard"
            } else if heard.iter().any(|disk| disk.address == key.address) {
                "other_disk"
            } else {
                "silent"
            };
            format!("{}/{:x}:{state}", key.address, key.disk)
        });
        log::info!(
            target: "burdockcleat",
            "event=register.round_timed_out phase={phase} ballot={}.{:x} answered={} missing={}",
            round.ballot().counter, round.ballot().proposer, round.reply_count(),
            missing.collect::<Vec<_>>().join(",")
        );
    }

    async fn call_replica(
        &self,
        key: ReplicaKey,
        ballot: BallotNumber,
        phase: RoundPhase,
    ) -> Option<PhaseReply> {
        let disk = key.disk;
        let (store_call, call) = match phase {
            RoundPhase::Prepare => {
                let applied = self.register.applied_id();
                let held = applied.max(self.register.accepted_id()).map(|id| id.ballot);
                (StoreCall::Prepare(ballot), PeerCall::Prepare { disk, ballot, held })
            }
            RoundPhase::Accept(value) => {
                (StoreCall::Accept(ballot, value.clone()), PeerCall::Accept { disk, ballot, value })
            }
            RoundPhase::Chosen(_) | RoundPhase::Preempted(_) => return None,
        };
        if self.register.local_key() == Some(key) {
            return self.register.store.as_ref()?.call(store_call).await;
        }
        match rpc::call(key.address, &call).await {
            Ok(PeerReply::Phase(reply)) => Some(reply),
            // The value may have been superseded on this node since the call was sent.
            Ok(PeerReply::PromisedHeld) => match call {
                PeerCall::Prepare { held: Some(held), .. } => {
                    self.register.find_value(held).map(|value| PhaseReply::Promised(Some(value)))
                }
                _ => None,
            },
            Ok(other) => {
                log::debug!(target: "burdockcleat", "event=register.no_vote replica={} reply={other:?}", key.address);
                None
            }
            Err(error) => {
                log::debug!(target: "burdockcleat", "event=register.call_failed replica={} cause=\"{error}\"", key.address);
                None
            }
        }
    }

    /// Returns the replicas that a round starts with: the voters of the newest value known here, or
    /// else all reachable disks that have accepted a value.
    fn known_voters(&self) -> BTreeSet<ReplicaKey> {
        let accepted = self.register.accepted().map(|accepted| (accepted.ballot, accepted.value));
        let applied = self.register.applied().map(|applied| (applied.ballot, applied.value));
        let newest = accepted.into_iter().chain(applied).max_by_key(|(ballot, _)| *ballot);
        if let Some((_, value)) = newest {
            return value.voters();
        }
        let now = ClockTime::monotonic();
        let peers = self.peers.borrow();
        let holders = peers.alive(now).filter(|record| record.status.accepted.is_some());
        holders
            .filter_map(|record| {
                let address = record.status.address;
                record.status.disk.map(|disk| ReplicaKey { address, disk })
            })
            .collect()
    }

    /// Reads the newest chosen value. No write is needed if a quorum holds the applied ballot.
    pub(crate) async fn read_register(
        self: &Rc<Self>,
        limit_ms: u64,
    ) -> Result<RegisterValue, RoundError> {
        if let Some(value) = self.read_from_quorum().await {
            return Ok(value);
        }
        self.submit_change(&RegisterChange::Confirm, limit_ms).await
    }

    /// Returns the applied value if the newest accepted ballot of a quorum of replicas is the
    /// applied one.
    pub(super) async fn read_from_quorum(self: &Rc<Self>) -> Option<RegisterValue> {
        let applied = self.register.applied()?;
        let mut calls = JoinSet::new();
        for key in applied.value.voters() {
            let node = self.clone();
            calls.spawn_local(async move { (key, node.read_ballot(key).await) });
        }
        let collect = async {
            let mut holders = BTreeSet::new();
            while let Some(joined) = calls.join_next().await {
                let Ok((key, Some(ballot))) = joined else { continue };
                if ballot == applied.ballot {
                    holders.insert(key);
                }
                if applied.value.has_quorum(&holders) {
                    return true;
                }
            }
            false
        };
        let found = tokio::time::timeout(Duration::from_millis(READ_TIMEOUT_MS), collect).await;
        (found == Ok(true)).then_some(applied.value)
    }

    async fn read_ballot(&self, key: ReplicaKey) -> Option<BallotNumber> {
        if self.register.local_key() == Some(key) {
            return self.register.accepted_id().map(|id| id.ballot);
        }
        match rpc::call(key.address, &PeerCall::ReadBallot { disk: key.disk }).await {
            Ok(PeerReply::Ballot(ballot)) => ballot,
            Ok(_) | Err(_) => None,
        }
    }

    /// Applies a chosen value unless the same or a newer one is already applied.
    pub(crate) fn apply_value(&self, ballot: BallotNumber, value: &RegisterValue) {
        let known = self.register.applied_id();
        if known.is_some_and(|id| id.ballot >= ballot) {
            return;
        }
        self.register.observe_counter(ballot.counter);
        let same_document = known.is_some_and(|id| id.version == value.version);
        let config = if same_document {
            self.register.config()
        } else if value.version == 0 {
            None
        } else {
            let decode = |document: Vec<u8>| (self.http_api.decode_config)(&document);
            let unpacked = document::decompress(&value.body)
                .map_err(|error| ConfigError::Unreadable(error.to_string()));
            match unpacked.and_then(decode) {
                Ok(config) => Some(Rc::new(config)),
                Err(error) => {
                    // The proposer has validated the document. Only another software version can
                    // reject it.
                    log::error!(target: "burdockcleat", "event=config.unreadable version={} cause=\"{error}\"", value.version);
                    return;
                }
            }
        };
        let applied = AppliedValue { ballot, value: value.clone(), config };
        *self.register.applied.borrow_mut() = Some(applied);
        log::info!(
            target: "burdockcleat",
            "event=config.applied version={} ballot={}.{:x} replicas={} settled={}",
            value.version, ballot.counter, ballot.proposer, value.replicas.len(), value.settled()
        );
        if !same_document {
            self.apply_config();
        }
        self.apply_rollouts(known.is_some());
    }

    /// Initializes the register with the given replicas at the first start of the deployment.
    /// Returns whether a majority accepted the initial value.
    pub(super) async fn initialize_register(
        self: &Rc<Self>,
        replicas: &BTreeSet<ReplicaKey>,
    ) -> bool {
        let ballot = BallotNumber { counter: INITIAL_COUNTER, proposer: self.register.process };
        let value = RegisterValue {
            replicas: replicas.clone(),
            previous: replicas.clone(),
            ..RegisterValue::default()
        };
        let mut holders = BTreeSet::new();
        for key in replicas {
            let phase = RoundPhase::Accept(value.clone());
            if self.call_replica(*key, ballot, phase).await == Some(PhaseReply::Accepted) {
                holders.insert(*key);
            }
        }
        log::info!(target: "burdockcleat", "event=register.founded replicas={} holders={}", replicas.len(), holders.len());
        value.has_quorum(&holders)
    }

    /// Returns the newest accepted ballot of each reachable replica, including the local one.
    pub(super) fn reported_ballots(&self, now: ClockTime) -> BTreeMap<ReplicaKey, BallotNumber> {
        let peers = self.peers.borrow();
        let reports = peers.alive(now).filter_map(|record| {
            let (address, disk) = (record.status.address, record.status.disk?);
            Some((ReplicaKey { address, disk }, record.status.accepted?.ballot))
        });
        let local = self.register.local_key().zip(self.register.accepted_id().map(|id| id.ballot));
        reports.chain(local).collect()
    }
}

impl RegisterService {
    pub(super) fn start_fetch(&self) -> bool {
        !self.fetching.replace(true)
    }
}
