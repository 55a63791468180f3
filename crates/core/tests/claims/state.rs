//! State of the claim specification: two entries, two leaders with one failover between them, one
//! target, and one caller that sends the same request several times.
//!
//! Sent messages are never removed, so each can be delivered late, repeatedly, in any order, or
//! never. A deposed leader continues to act on its outdated state.

use crate::machine::{MachineId, Proposal};
use burdockcleat_core::outcome::RequestOutcome;
use burdockcleat_core::state::ClaimRules;

/// Rules of the protocol. All are enabled, except in tests that show that a rule is required.
/// `caller_waits` is an assumption and not a rule of the design.
#[derive(Clone, Copy, Debug)]
pub struct SpecRules {
    /// Rules of the state machine.
    pub machine: ClaimRules,
    /// A leader sends `not_run` only after a record appended after its decision is committed.
    pub confirm_refusal: bool,
    /// That record is `Refuse`, which blocks later claims of the key. Otherwise it is `Barrier`.
    pub durable_refusal: bool,
    /// The caller resends only after its earlier attempt has left the queue of its entry. The
    /// design does not make this assumption about callers, so it is disabled by default.
    pub caller_waits: bool,
    /// An entry neither dispatches nor releases a claim number twice.
    pub remember_claims: bool,
}

impl Default for SpecRules {
    fn default() -> Self {
        Self {
            machine: ClaimRules::default(),
            confirm_refusal: true,
            durable_refusal: true,
            caller_waits: false,
            remember_claims: true,
        }
    }
}

/// Bounds of the search.
#[derive(Clone, Copy, Debug)]
pub struct SpecBounds {
    /// Number of times that the caller sends the request.
    pub attempts: u8,
    /// Maximum number of records in the log, including proposed ones.
    pub log: usize,
    /// Maximum number of records proposed by a leader and not yet committed.
    pub pending: usize,
    /// Number of entries that may crash.
    pub crashes: u8,
    /// Number of times that an entry may freeze.
    pub freezes: u8,
    /// Whether the leader may change.
    pub failover: bool,
}

/// Invariants that end the search when they are violated.
pub type CheckedInvariants = &'static [Violation];

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// The request was dispatched twice.
    SecondDispatch,
    /// `not_run` was reported to the caller for a request that had run or ran later.
    FalseNotRun,
    /// A recorded outcome changed or was removed.
    OutcomeChanged,
}

/// A message between an entry and a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    Submit { attempt: u8, epoch: u8 },
    Grant { attempt: u8, claim: u8, epoch: u8 },
    Refuse { attempt: u8 },
    Release { claim: u8 },
    Finish { claim: u8, completed: bool },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptPhase {
    Unsent,
    Waiting,
    Dispatched { claim: u8 },
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    pub entry: u8,
    pub phase: AttemptPhase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EntryPhase {
    Alive,
    Frozen,
    Crashed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    pub phase: EntryPhase,
    /// Increased when the entry resumes from a freeze. Grants of an earlier epoch are too old.
    pub epoch: u8,
    /// Bit set of the claim numbers that were used or released.
    pub used_claims: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    pub active: bool,
    /// Outdated state on which a deposed leader acts. `None` for a leader that was not deposed.
    pub stale: Option<MachineId>,
    /// Bit set of the waiting attempts.
    pub queue: u8,
    pub pending: Vec<Proposal>,
}

/// A node of the search.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SpecState {
    pub machine: MachineId,
    pub leaders: [Leader; 2],
    pub entries: [Entry; 2],
    pub attempts: Vec<Attempt>,
    pub messages: Vec<Message>,
    pub crashes: u8,
    pub freezes: u8,
    /// Newest attempt, whose answer the caller waits for.
    pub newest: Option<u8>,
    pub dispatched: bool,
    pub reported_not_run: bool,
    pub recorded: Option<RequestOutcome>,
    /// First violated invariant.
    pub violation: Option<Violation>,
}

/// Description of a step, for traces.
#[derive(Clone, Copy, Debug)]
#[expect(dead_code, reason = "the fields are printed by Debug only")]
pub enum StepLabel {
    /// The caller sends its next attempt to this entry.
    CallerSends(u8),
    /// A dispatched request ends, and its entry reports it.
    Ends(Message),
    /// The entry withdraws an attempt whose caller has disconnected.
    Withdraws(usize),
    /// A message is delivered and processed.
    Delivers(Message),
    /// A grant is delivered, but the connection to the target fails.
    ConnectFails(Message),
    /// A leader appends a record.
    Proposes(usize, Proposal),
    /// A leader refuses attempts without a record in the log.
    RefusesUnconfirmed(usize),
    /// A record is committed.
    Commits(Proposal),
    /// The second leader takes over this number of uncommitted records of the first.
    Failover(usize),
    /// An entry crashes.
    Crashes(usize),
    /// An entry freezes.
    Freezes(usize),
    /// An entry resumes from a freeze.
    Unfreezes(usize),
}

/// A step with its description.
pub type Step = (StepLabel, SpecState);

impl SpecState {
    pub fn send(&mut self, message: Message) {
        if let Err(position) = self.messages.binary_search(&message) {
            self.messages.insert(position, message);
        }
    }

    pub fn with_message(&self, message: Message) -> Self {
        let mut after = self.clone();
        after.send(message);
        after
    }

    pub fn send_submits(&mut self, entry: u8) {
        let epoch = self.entries[usize::from(entry)].epoch;
        for attempt in 0..self.attempts.len() {
            let Attempt { entry: attempt_entry, phase } = self.attempts[attempt];
            if attempt_entry == entry && phase == AttemptPhase::Waiting {
                self.send(Message::Submit { attempt: attempt as u8, epoch });
            }
        }
    }

    /// Whether an attempt is waiting at an entry that has not crashed.
    pub fn has_waiting(&self) -> bool {
        self.attempts.iter().any(|attempt| {
            attempt.phase == AttemptPhase::Waiting
                && self.entries[usize::from(attempt.entry)].phase != EntryPhase::Crashed
        })
    }

    pub fn send_refusals(&mut self, attempts: u8) {
        for attempt in (0..8).filter(|attempt| attempts & (1 << attempt) != 0) {
            self.send(Message::Refuse { attempt });
        }
    }
}
