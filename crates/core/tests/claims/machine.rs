//! Distinct states of the production state machine reached by the search, and the transitions
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

/// Identifies a machine state in a [`MachineStore`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(u32);

/// A command of the specification, before it has a log index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Proposal {
    /// Claim the key for an attempt of an entry.
    Claim { attempt: u8, entry: u8 },
    /// Refuse a set of attempts with a `Refuse` record in the log.
    Refuse { attempts: u8 },
    /// Refuse a set of attempts with only a barrier in the log.
    Barrier { attempts: u8 },
    /// The owner releases a claim.
    Release { claim: u8 },
    /// The owner reports the end of a claim.
    Finish { claim: u8, completed: bool },
    /// An entry is lost.
    OwnerLost { entry: u8 },
    /// Expire claims whose deadline and margin have passed.
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

/// State of the claim of [`KEY`], as far as the specification uses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyView {
    /// No claim. The key may be claimed unless it was refused.
    Free,
    /// An open claim.
    Open { claim: u8, owner: NodeId, ownerless: bool },
    /// An ended claim.
    Ended(RequestOutcome),
}

impl KeyView {
    /// Returns the number of the open claim if this entry owns it and is not lost.
    pub fn owned_by(self, entry: u8) -> Option<u8> {
        match self {
            Self::Open { claim, owner, ownerless: false } if owner == node_of(entry) => Some(claim),
            _ => None,
        }
    }
}

/// Action that a commit allows the proposing leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    /// The claim was created and may be granted.
    Granted(u8),
    /// The refusal is confirmed.
    Confirmed,
}

/// Stores each distinct machine state once under a number. This keeps the nodes of the search
/// small, and each transition is computed only once.
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
