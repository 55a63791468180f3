//! Breadth-first search for violations over the states of the model.

use crate::model::{Model, Phase, Violation};
use pathfinding::directed::bfs::bfs;
use std::cell::{Cell, RefCell};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Instant;

/// Steps of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// A caller sends a request.
    Send {
        entry: usize,
        key: usize,
    },
    DeliverToControl {
        entry: usize,
        control: usize,
    },
    DeliverToEntry {
        entry: usize,
        control: usize,
    },
    /// A control instance reads the messages that are left of an earlier link.
    DeliverUnread {
        entry: usize,
        control: usize,
    },
    /// The messages that are left of an earlier link are lost.
    DropUnread {
        entry: usize,
        control: usize,
    },
    /// Commits all proposals of a leader.
    Commit(usize),
    /// A granted attempt connects to its target, or fails to.
    Connect {
        attempt: usize,
        established: bool,
    },
    /// A dispatched request ends.
    Finish(usize),
    CallerDisconnect(usize),
    LinkDown {
        entry: usize,
        control: usize,
        lose_messages: bool,
    },
    LinkUp {
        entry: usize,
        control: usize,
    },
    /// Instance 1 becomes the leader after `committed` more proposals of instance 0 are committed.
    ReplaceLeader {
        committed: usize,
    },
    /// Instance 0 notices that it was deposed.
    StepDown,
    /// Suspends an entry.
    Freeze(usize),
    Unfreeze(usize),
    Kill(usize),
    /// Advances the time by [`Setup::advance_ms`](crate::model::Setup::advance_ms).
    Advance,
}

impl Action {
    /// Returns whether the action is a fault, or a lapse of time.
    pub fn is_fault(&self) -> bool {
        matches!(
            self,
            Self::CallerDisconnect(_)
                | Self::LinkDown { .. }
                | Self::ReplaceLeader { .. }
                | Self::Freeze(_)
                | Self::Kill(_)
                | Self::Advance
        )
    }
}

/// Remaining number of actions of each kind.
#[derive(Clone, Debug, Default, Hash)]
pub struct Budget {
    /// Attempts still to be sent, as pairs of entry and request key, in any order.
    pub sends: Vec<(usize, usize)>,
    pub connect_failures: u8,
    pub disconnects: u8,
    pub link_failures: u8,
    pub leader_replacements: u8,
    pub freezes: u8,
    pub kills: u8,
    pub advances: u8,
}

impl Budget {
    /// Returns the budget after an action, or `None` if there is none left for it.
    pub fn after(&self, action: &Action) -> Option<Self> {
        let mut budget = self.clone();
        let counter = match action {
            Action::Send { entry, key } => {
                let sent = budget.sends.iter().position(|send| *send == (*entry, *key))?;
                budget.sends.remove(sent);
                return Some(budget);
            }
            Action::Connect { established: false, .. } => &mut budget.connect_failures,
            Action::CallerDisconnect(_) => &mut budget.disconnects,
            Action::LinkDown { .. } => &mut budget.link_failures,
            Action::ReplaceLeader { .. } => &mut budget.leader_replacements,
            Action::Freeze(_) => &mut budget.freezes,
            Action::Kill(_) => &mut budget.kills,
            Action::Advance => &mut budget.advances,
            _ => return Some(budget),
        };
        *counter = counter.checked_sub(1)?;
        Some(budget)
    }
}

impl Model {
    /// Returns the model after several actions.
    pub fn after_all(&self, actions: &[Action]) -> Self {
        actions.iter().fold(self.clone(), |model, action| model.after(action))
    }

    /// Returns the model after an action.
    pub fn after(&self, action: &Action) -> Self {
        let mut model = self.clone();
        match *action {
            Action::Send { entry, key } => model.send_request(entry, key),
            Action::DeliverToControl { entry, control } => {
                model.deliver_to_control(entry, control);
                if model.setup.commit_immediately && !model.controls[control].deposed {
                    model.commit(control, usize::MAX);
                }
            }
            Action::DeliverToEntry { entry, control } => model.deliver_to_entry(entry, control),
            Action::DeliverUnread { entry, control } => model.deliver_unread(entry, control),
            Action::DropUnread { entry, control } => model.links[entry][control].unread.clear(),
            Action::Commit(control) => model.commit(control, usize::MAX),
            Action::Connect { attempt, established } => model.connect(attempt, established),
            Action::Finish(attempt) => model.finish(attempt),
            Action::CallerDisconnect(attempt) => model.disconnect_caller(attempt),
            Action::LinkDown { entry, control, lose_messages } => {
                model.link_down(entry, control, lose_messages);
            }
            Action::LinkUp { entry, control } => model.link_up(entry, control),
            Action::ReplaceLeader { committed } => model.replace_leader(committed),
            Action::StepDown => model.step_down(),
            Action::Freeze(entry) => model.entries[entry].frozen = true,
            Action::Unfreeze(entry) => model.entries[entry].frozen = false,
            Action::Kill(entry) => model.kill(entry, true),
            Action::Advance => model.advance(model.setup.advance_ms),
        }
        model
    }

    /// Returns the actions that are possible in this state.
    pub fn actions(&self, budget: &Budget) -> Vec<Action> {
        let mut actions = Vec::new();
        for (entry, key) in &budget.sends {
            let entry = *entry;
            if self.entries[entry].alive && !self.entries[entry].frozen {
                actions.push(Action::Send { entry, key: *key });
            }
        }
        self.link_actions(&mut actions);
        self.attempt_actions(&mut actions);
        self.fault_actions(&mut actions);
        actions.push(Action::Advance);
        actions
    }

    fn link_actions(&self, actions: &mut Vec<Action>) {
        for control in 0..2 {
            let leads = self.controls[control].leader.is_some();
            for entry in 0..2 {
                let link = &self.links[entry][control];
                let entry_state = &self.entries[entry];
                if !link.to_control.is_empty() {
                    actions.push(Action::DeliverToControl { entry, control });
                }
                if !link.to_entry.is_empty() && !entry_state.frozen {
                    actions.push(Action::DeliverToEntry { entry, control });
                }
                if !link.unread.is_empty() {
                    actions.push(Action::DeliverUnread { entry, control });
                    actions.push(Action::DropUnread { entry, control });
                }
                if link.up && leads && !entry_state.frozen {
                    actions.push(Action::LinkDown { entry, control, lose_messages: true });
                    if !link.to_control.is_empty() {
                        actions.push(Action::LinkDown { entry, control, lose_messages: false });
                    }
                }
                if !link.up && entry_state.alive && !entry_state.frozen {
                    actions.push(Action::LinkUp { entry, control });
                }
            }
            let leader = self.controls[control].leader.as_ref();
            let pending = leader.is_some_and(|leader| !leader.pending.is_empty());
            if pending && !self.controls[control].deposed {
                actions.push(Action::Commit(control));
            }
        }
    }

    fn attempt_actions(&self, actions: &mut Vec<Action>) {
        for (number, attempt) in self.attempts.iter().enumerate() {
            if self.entries[attempt.entry].frozen {
                continue;
            }
            match attempt.phase {
                Phase::Waiting => actions.push(Action::CallerDisconnect(number)),
                Phase::Granted(_) => {
                    actions.push(Action::Connect { attempt: number, established: true });
                    actions.push(Action::Connect { attempt: number, established: false });
                    actions.push(Action::CallerDisconnect(number));
                }
                Phase::Dispatched { .. } => actions.push(Action::Finish(number)),
                Phase::Answered | Phase::Lost => {}
            }
        }
    }

    fn fault_actions(&self, actions: &mut Vec<Action>) {
        let first = &self.controls[0];
        if !first.deposed {
            let pending = first.leader.as_ref().map_or(0, |leader| leader.pending.len());
            for committed in [0, pending] {
                actions.push(Action::ReplaceLeader { committed });
            }
        } else if first.leader.is_some() {
            actions.push(Action::StepDown);
        }
        for entry in 0..2 {
            match (self.entries[entry].alive, self.entries[entry].frozen) {
                (true, true) => actions.push(Action::Unfreeze(entry)),
                (true, false) => actions.extend([Action::Freeze(entry), Action::Kill(entry)]),
                (false, _) => {}
            }
        }
    }

    /// Ends all faults, lets time pass and checks that every attempt gets its answer.
    pub fn check_liveness(&self) -> Result<(), Violation> {
        let mut model = self.clone();
        if model.controls[0].deposed && model.controls[0].leader.is_some() {
            model.step_down();
        }
        for _ in 0..LIVENESS_ROUNDS {
            for entry in 0..2 {
                model.entries[entry].frozen = false;
                for control in 0..2 {
                    if model.entries[entry].alive && !model.links[entry][control].up {
                        model.link_up(entry, control);
                    }
                }
            }
            model.deliver_all();
            for attempt in 0..model.attempts.len() {
                model.connect(attempt, true);
                model.finish(attempt);
            }
            model.deliver_all();
            if let Some(violation) = model.violation {
                return Err(violation);
            }
            let open = |phase: &Phase| !matches!(phase, Phase::Answered | Phase::Lost);
            if !model.attempts.iter().any(|attempt| open(&attempt.phase)) {
                return model.check_quiescence();
            }
            model.advance(LIVENESS_STEP_MS);
        }
        Err(Violation::NeverAnswered)
    }

    /// Checks that requests that have ended are no longer tracked and have no open claims. Does not
    /// check anything if an entry was killed, as its claims stay open.
    fn check_quiescence(mut self) -> Result<(), Violation> {
        if self.entries.iter().any(|entry| !entry.alive) {
            return Ok(());
        }
        for _ in 0..LIVENESS_ROUNDS {
            let leader = self.controls.iter().rev().find_map(|control| control.leader.as_ref());
            let tracked = leader.is_some_and(|leader| leader.admission.request_count() > 0);
            if !tracked && self.log.open_claims().next().is_none() {
                return Ok(());
            }
            self.advance(LIVENESS_STEP_MS);
            self.deliver_all();
        }
        Err(Violation::RequestLeaked)
    }
}

/// Number of rounds within which every attempt must get its answer. They cover the deadline, the
/// grace periods and the rebuild of a new leader.
const LIVENESS_ROUNDS: usize = 16;
/// Duration of a round.
const LIVENESS_STEP_MS: u64 = 500;

/// A visited state. The model is dropped once its successors are known; the hash stays.
#[derive(Clone)]
struct State {
    hash: u64,
    model_hash: u64,
    depth: usize,
    action: Option<Action>,
    violation: Option<Violation>,
    content: Rc<RefCell<Option<(Model, Budget)>>>,
}

impl State {
    fn open(model: Model, budget: Budget, depth: usize, action: Option<Action>) -> Self {
        let model_hash = model.state_hash();
        let mut hasher = std::collections::hash_map::DefaultHasher::new();
        (model_hash, &budget).hash(&mut hasher);
        let violation = model.violation;
        let content = Rc::new(RefCell::new(Some((model, budget))));
        Self { hash: hasher.finish(), model_hash, depth, action, violation, content }
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.hash == other.hash
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        hasher.write_u64(self.hash);
    }
}

/// Bounds of a search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub max_states: usize,
    pub max_depth: usize,
    /// One in this many states is checked for liveness; 0 checks none.
    pub liveness_check_interval: u64,
}

/// Result of a search.
#[derive(Debug)]
pub struct SearchResult {
    /// Number of expanded states, or of steps in random walks.
    pub states: usize,
    pub depth: usize,
    /// Whether all states within the budget and the depth were expanded.
    pub complete: bool,
    pub violation: Option<Violation>,
    /// Actions that lead to the violation.
    pub path: Vec<Action>,
}

/// Searches for a violation.
pub fn search(name: &str, model: Model, budget: Budget, bounds: Bounds) -> SearchResult {
    let started = Instant::now();
    let (states, depth, complete) = (Cell::new(0), Cell::new(0), Cell::new(true));
    let successors = |state: &State| {
        let taken = state.content.borrow_mut().take();
        let Some((model, budget)) = taken else { return Vec::new() };
        if states.get() >= bounds.max_states {
            complete.set(false);
            return Vec::new();
        }
        if state.depth >= bounds.max_depth {
            return Vec::new();
        }
        states.set(states.get() + 1);
        depth.set(state.depth);
        let next = |action: Action| {
            let budget = budget.after(&action)?;
            let mut next = State::open(model.after(&action), budget, state.depth + 1, Some(action));
            let sampled = bounds.liveness_check_interval > 0
                && next.hash.is_multiple_of(bounds.liveness_check_interval);
            if sampled && next.violation.is_none() {
                let content = next.content.borrow();
                next.violation =
                    content.as_ref().and_then(|(model, _)| model.check_liveness().err());
                drop(content);
            }
            (next.model_hash != state.model_hash).then_some(next)
        };
        model.actions(&budget).into_iter().filter_map(next).collect()
    };
    let start = State::open(model, budget, 0, None);
    let path = bfs(&start, successors, |state| state.violation.is_some()).unwrap_or_default();
    let result = SearchResult {
        states: states.get(),
        depth: depth.get(),
        complete: complete.get(),
        violation: path.last().and_then(|state| state.violation),
        path: path.into_iter().filter_map(|state| state.action).collect(),
    };
    println!(
        "{name}: {} states, depth {}, complete {}, {} ms, violation {:?}",
        result.states,
        result.depth,
        result.complete,
        started.elapsed().as_millis(),
        result.violation,
    );
    result
}
