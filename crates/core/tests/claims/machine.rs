//! Distinct states of the real state machine that the search has reached, and the transitions
//! between them.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::{
    ClaimNumber, NodeId, RequestFingerprint, RequestKey, TargetIdentity,
};
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use burdockcleat_core::state::{
    ClaimPhase, ClaimReply, ClaimRequest, ClaimRules, CommandReply, OWNERLESS_MARGIN_MS,
    RefuseReply, ReplicatedState, StampedCommand, StateCommand,
};
use std::collections::HashMap;

/// The only request key of the specification.
const KEY: RequestKey = RequestKey(1);
const DEADLINE: ClockTime = ClockTime::from_ms(1_000);
const AFTER_DEADLINE: ClockTime = DEADLINE.plus(OWNERLESS_MARGIN_MS + 1);

/// Number of a machine state in a [`MachineStore`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(u32);

/// A command of the specification, before it has a log index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Proposal {
    /// Claim the key for an attempt of an entry.
    Claim { attempt: u8, entry: u8 },
    /// Refuse a set of attempts with a record in the log.
    Refuse { attempts: u8 },
    /// Refuse a set of attempts with a barrier only.
    Barrier { attempts: u8 },
    /// The owner gives a claim back.
    Release { claim: u8 },
    /// The owner reports the end of a claim.
    Finish { claim: u8, completed: bool },
    /// The run of an entry is over.
    OwnerLost { entry: u8 },
    /// Expire claims after the deadline and its margin.
    Expire,
}

impl Proposal {
    fn command(self) -> StampedCommand {
        let claim_number = |claim: u8| ClaimNumber(u64::from(claim));
        let command = match self {
            Self::Claim { entry, .. } => StateCommand::Claim(claim_request(entry)),
            Self::Refuse { .. } => {
                let until = ClockTime::from_ms(u64::MAX);
                StateCommand::Refuse { key: KEY, until, reason: ReasonCode::Overloaded }
            }
            Self::Barrier { .. } => StateCommand::Barrier,
            Self::Release { claim } => {
                StateCommand::Release { key: KEY, claim: claim_number(claim) }
            }
            Self::Finish { claim, completed } => {
                let outcome =
                    if completed { RequestOutcome::Completed } else { RequestOutcome::Failed };
                let claim = claim_number(claim);
                StateCommand::Finish { key: KEY, claim, outcome, reason: None }
            }
            Self::OwnerLost { entry } => StateCommand::OwnerLost { entry: node_of(entry) },
            Self::Expire => StateCommand::ExpireClaims,
        };
        let at = if self == Self::Expire { AFTER_DEADLINE } else { ClockTime::default() };
        StampedCommand { at, command }
    }
}

fn node_of(entry: u8) -> NodeId {
    NodeId(u64::from(entry) + 1)
}

fn claim_request(entry: u8) -> ClaimRequest {
    ClaimRequest {
        key: KEY,
        fingerprint: RequestFingerprint(1),
        target: TargetIdentity { name: "engine".to_owned(), incarnation: 1 },
        address: "127.0.0.1:9001".to_owned(),
        entry: node_of(entry),
        workspace: "depot".to_owned(),
        pool: "orders".to_owned(),
        tier: 0,
        idempotent: false,
        deadline: DEADLINE,
    }
}

/// What the specification sees of the claim of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyView {
    /// No claim; the key may be claimed unless it was refused.
    Free,
    /// An open claim.
    Open { claim: u8, owner: NodeId, ownerless: bool },
    /// An ended claim.
    Ended(RequestOutcome),
}

impl KeyView {
    /// Whether the claim is open, has its owner, and the owner is this entry.
    pub fn owned_by(self, entry: u8) -> Option<u8> {
        match self {
            Self::Open { claim, owner, ownerless: false } if owner == node_of(entry) => Some(claim),
            _ => None,
        }
    }
}

/// What a commit lets the proposing leader do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    /// The claim was created and may be granted.
    Granted(u8),
    /// The refusal is confirmed.
    Confirmed,
}

/// Every machine state is kept once and named by a number, so that a node of the search is small
/// and a transition is computed once.
pub struct MachineStore {
    states: Vec<ReplicatedState>,
    ids: HashMap<Vec<u8>, MachineId>,
    transitions: HashMap<(MachineId, Proposal), (MachineId, Effect)>,
}

impl MachineStore {
    pub fn open(rules: ClaimRules) -> (Self, MachineId) {
        let mut store =
            Self { states: Vec::new(), ids: HashMap::new(), transitions: HashMap::new() };
        let first = store.intern(ReplicatedState::with_rules(rules));
        (store, first)
    }

    fn intern(&mut self, state: ReplicatedState) -> MachineId {
        let next = MachineId(self.states.len() as u32);
        let id = *self.ids.entry(state.snapshot()).or_insert(next);
        if id == next {
            self.states.push(state);
        }
        id
    }

    /// Applies a proposal at the next log index.
    pub fn apply(&mut self, machine: MachineId, proposal: Proposal) -> (MachineId, Effect) {
        if let Some(&known) = self.transitions.get(&(machine, proposal)) {
            return known;
        }
        let mut state = self.states[machine.0 as usize].clone();
        let index = state.applied() + 1;
        let effect = match state.apply(index, &proposal.command()) {
            CommandReply::Claim(ClaimReply::Created(claim)) => Effect::Granted(claim.0 as u8),
            CommandReply::Refuse(RefuseReply::Recorded) => Effect::Confirmed,
            CommandReply::Done => Effect::Confirmed,
            _ => Effect::Nothing,
        };
        let next = (self.intern(state), effect);
        self.transitions.insert((machine, proposal), next);
        next
    }

    /// Log index of the last command.
    pub fn applied(&self, machine: MachineId) -> usize {
        self.states[machine.0 as usize].applied() as usize
    }

    pub fn view(&self, machine: MachineId) -> KeyView {
        let Some(record) = self.states[machine.0 as usize].claim(KEY) else {
            return KeyView::Free;
        };
        match record.phase {
            ClaimPhase::Open { ownerless, .. } => {
                KeyView::Open { claim: record.claim.0 as u8, owner: record.entry, ownerless }
            }
            ClaimPhase::Ended { outcome, .. } => KeyView::Ended(outcome),
        }
    }

    /// Number of distinct machine states.
    pub fn len(&self) -> usize {
        self.states.len()
    }
}
