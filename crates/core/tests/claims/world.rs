//! Specification of claims: two entries, two leaders with one failover between them, one target
//! and one caller that sends the same request several times.
//!
//! A message stays in the set of sent messages for ever, so each can be delivered late, several
//! times, in any order, or never. A deposed leader goes on to act on what it knew.

use crate::machine::{MachineId, Proposal};
use burdockcleat_core::outcome::RequestOutcome;
use burdockcleat_core::state::ClaimRules;

/// Rules of the protocol. All are on, except where a test shows that a rule is needed.
#[derive(Clone, Copy, Debug)]
pub struct SpecRules {
    /// Rules inside of the state machine.
    pub machine: ClaimRules,
    /// A leader sends `not_run` only after a record appended after its decision was committed.
    pub confirm_refusal: bool,
    /// That record is `Refuse`, which blocks later claims of the key; otherwise it is `Barrier`.
    pub durable_refusal: bool,
    /// The caller sends again only after its earlier attempt has left the queue of its entry.
    /// This is an assumption about callers that the design does not make, so it is off.
    pub caller_waits: bool,
    /// An entry neither dispatches nor releases a claim number a second time.
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
    /// Times that the caller sends the request.
    pub attempts: u8,
    /// Records in the log, proposed ones included.
    pub log: usize,
    /// Records that a leader may have proposed and not yet seen committed.
    pub pending: usize,
    /// Entries that may crash.
    pub crashes: u8,
    /// Times that an entry may freeze.
    pub freezes: u8,
    /// Whether the leader may change.
    pub failover: bool,
}

/// Invariants that end the search when they are violated.
pub type Watch = &'static [Fault];

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The request was dispatched twice.
    SecondDispatch,
    /// The caller was told `not_run` for a request that had run or ran later.
    FalseNotRun,
    /// A recorded outcome changed or vanished.
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
    /// Raised by each freeze; grants of an earlier epoch are too old.
    pub epoch: u8,
    /// Set of claim numbers that were used or released.
    pub seen: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    pub active: bool,
    /// State that a deposed leader still believes to be current.
    pub stale: Option<MachineId>,
    /// Set of waiting attempts.
    pub queue: u8,
    pub pending: Vec<Proposal>,
}

/// A node of the search.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub machine: MachineId,
    pub leaders: [Leader; 2],
    pub entries: [Entry; 2],
    pub attempts: Vec<Attempt>,
    pub messages: Vec<Message>,
    pub crashes: u8,
    pub freezes: u8,
    /// Attempt that the caller listens to.
    pub newest: Option<u8>,
    pub dispatched: bool,
    pub told_not_run: bool,
    pub recorded: Option<RequestOutcome>,
    /// First violated invariant.
    pub fault: Option<Fault>,
}

/// Description of a step, for traces.
#[derive(Clone, Copy, Debug)]
#[expect(dead_code, reason = "the fields are printed by Debug only")]
pub enum StepLabel {
    /// The caller sends its next attempt to this entry.
    CallerSends(u8),
    /// A dispatched request ends, and its entry reports it.
    Ends(Message),
    /// The entry notices that the caller of an attempt has gone.
    Withdraws(usize),
    /// A message arrives and is acted on.
    Delivers(Message),
    /// A grant arrives, and no connection to the target is established.
    ConnectFails(Message),
    /// A leader appends a record.
    Proposes(usize, Proposal),
    /// A leader refuses without a record.
    RefusesAtOnce(usize),
    /// A record is committed.
    Commits(Proposal),
    /// The second leader starts with this number of uncommitted records of the first.
    Failover(usize),
    /// An entry crashes.
    Crashes(usize),
    /// An entry freezes.
    Freezes(usize),
    /// An entry wakes.
    Wakes(usize),
}

/// A step with its description.
pub type Step = (StepLabel, World);

impl World {
    pub fn send(&mut self, message: Message) {
        if let Err(position) = self.messages.binary_search(&message) {
            self.messages.insert(position, message);
        }
    }

    pub fn sending(&self, message: Message) -> Self {
        let mut after = self.clone();
        after.send(message);
        after
    }

    pub fn send_submits(&mut self, entry: u8) {
        let epoch = self.entries[usize::from(entry)].epoch;
        for attempt in 0..self.attempts.len() {
            let Attempt { entry: place, phase } = self.attempts[attempt];
            if place == entry && phase == AttemptPhase::Waiting {
                self.send(Message::Submit { attempt: attempt as u8, epoch });
            }
        }
    }

    /// Whether an attempt waits at an entry that has not crashed.
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
