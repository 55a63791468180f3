//! Breadth-first search over the worlds.

use crate::world::{Phase, Violation, World};
use pathfinding::directed::bfs::bfs;
use std::cell::{Cell, RefCell};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Instant;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Send { entry: usize, key: usize },
    DeliverUp { entry: usize, control: usize },
    DeliverDown { entry: usize, control: usize },
    DeliverLate { entry: usize, control: usize },
    DropLate { entry: usize, control: usize },
    Commit(usize),
    Connect { attempt: usize, established: bool },
    Finish(usize),
    HangUp(usize),
    Break { entry: usize, control: usize, lose: bool },
    Relink { entry: usize, control: usize },
    Replace { committed: usize },
    StepDown,
    Freeze(usize),
    Wake(usize),
    Kill(usize),
    Advance,
}

impl Action {
    pub fn is_fault(&self) -> bool {
        matches!(
            self,
            Self::HangUp(_)
                | Self::Break { .. }
                | Self::Replace { .. }
                | Self::Freeze(_)
                | Self::Kill(_)
                | Self::Advance
        )
    }
}

/// Remaining number of actions of each kind.
#[derive(Clone, Debug, Default, Hash)]
pub struct Budget {
    /// Attempts still to be sent, as entry and key, in any order.
    pub sends: Vec<(usize, usize)>,
    pub failures: u8,
    pub hang_ups: u8,
    pub breaks: u8,
    pub replacements: u8,
    pub freezes: u8,
    pub kills: u8,
    pub advances: u8,
}

impl Budget {
    pub fn after(&self, action: &Action) -> Option<Self> {
        let mut budget = self.clone();
        let counter = match action {
            Action::Send { entry, key } => {
                let sent = budget.sends.iter().position(|send| *send == (*entry, *key))?;
                budget.sends.remove(sent);
                return Some(budget);
            }
            Action::Connect { established: false, .. } => &mut budget.failures,
            Action::HangUp(_) => &mut budget.hang_ups,
            Action::Break { .. } => &mut budget.breaks,
            Action::Replace { .. } => &mut budget.replacements,
            Action::Freeze(_) => &mut budget.freezes,
            Action::Kill(_) => &mut budget.kills,
            Action::Advance => &mut budget.advances,
            _ => return Some(budget),
        };
        *counter = counter.checked_sub(1)?;
        Some(budget)
    }
}

impl World {
    /// The world after some steps that lead to the situation of a test.
    pub fn play(&self, actions: &[Action]) -> Self {
        actions.iter().fold(self.clone(), |world, action| world.after(action))
    }

    pub fn after(&self, action: &Action) -> Self {
        let mut world = self.clone();
        match *action {
            Action::Send { entry, key } => world.send_request(entry, key),
            Action::DeliverUp { entry, control } => {
                world.deliver_up(entry, control);
                if world.setup.commit_at_once && !world.controls[control].deposed {
                    world.commit(control, usize::MAX);
                }
            }
            Action::DeliverDown { entry, control } => world.deliver_down(entry, control),
            Action::DeliverLate { entry, control } => world.deliver_late(entry, control),
            Action::DropLate { entry, control } => world.links[entry][control].late.clear(),
            Action::Commit(control) => world.commit(control, usize::MAX),
            Action::Connect { attempt, established } => world.connect(attempt, established),
            Action::Finish(attempt) => world.finish(attempt),
            Action::HangUp(attempt) => world.hang_up(attempt),
            Action::Break { entry, control, lose } => world.link_down(entry, control, lose),
            Action::Relink { entry, control } => world.link_up(entry, control),
            Action::Replace { committed } => world.replace_leader(committed),
            Action::StepDown => world.step_down(),
            Action::Freeze(entry) => world.entries[entry].frozen = true,
            Action::Wake(entry) => world.entries[entry].frozen = false,
            Action::Kill(entry) => world.kill(entry, true),
            Action::Advance => world.advance(world.setup.advance_ms),
        }
        world
    }

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
                if !link.upward.is_empty() {
                    actions.push(Action::DeliverUp { entry, control });
                }
                if !link.downward.is_empty() && !entry_state.frozen {
                    actions.push(Action::DeliverDown { entry, control });
                }
                if !link.late.is_empty() {
                    actions.push(Action::DeliverLate { entry, control });
                    actions.push(Action::DropLate { entry, control });
                }
                if link.up && leads && !entry_state.frozen {
                    actions.push(Action::Break { entry, control, lose: true });
                    if !link.upward.is_empty() {
                        actions.push(Action::Break { entry, control, lose: false });
                    }
                }
                if !link.up && entry_state.alive && !entry_state.frozen {
                    actions.push(Action::Relink { entry, control });
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
                Phase::Waiting => actions.push(Action::HangUp(number)),
                Phase::Holding(_) => {
                    actions.push(Action::Connect { attempt: number, established: true });
                    actions.push(Action::Connect { attempt: number, established: false });
                    actions.push(Action::HangUp(number));
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
                actions.push(Action::Replace { committed });
            }
        } else if first.leader.is_some() {
            actions.push(Action::StepDown);
        }
        for entry in 0..2 {
            match (self.entries[entry].alive, self.entries[entry].frozen) {
                (true, true) => actions.push(Action::Wake(entry)),
                (true, false) => actions.extend([Action::Freeze(entry), Action::Kill(entry)]),
                (false, _) => {}
            }
        }
    }

    /// Lets everything recover and time pass. Returns whether every attempt has an answer.
    pub fn settles(&self) -> Result<(), Violation> {
        let mut world = self.clone();
        if world.controls[0].deposed && world.controls[0].leader.is_some() {
            world.step_down();
        }
        for _ in 0..SETTLE_ROUNDS {
            for entry in 0..2 {
                world.entries[entry].frozen = false;
                for control in 0..2 {
                    if world.entries[entry].alive && !world.links[entry][control].up {
                        world.link_up(entry, control);
                    }
                }
            }
            world.deliver_all();
            for attempt in 0..world.attempts.len() {
                world.connect(attempt, true);
                world.finish(attempt);
            }
            world.deliver_all();
            if let Some(violation) = world.violation {
                return Err(violation);
            }
            let open = |phase: &Phase| !matches!(phase, Phase::Answered | Phase::Lost);
            if !world.attempts.iter().any(|attempt| open(&attempt.phase)) {
                return world.comes_to_rest();
            }
            world.advance(SETTLE_STEP_MS);
        }
        Err(Violation::WaitsForEver)
    }

    /// Whether nothing is left of requests that have ended. The claims of a dead entry stay.
    fn comes_to_rest(mut self) -> Result<(), Violation> {
        if self.entries.iter().any(|entry| !entry.alive) {
            return Ok(());
        }
        for _ in 0..SETTLE_ROUNDS {
            let leader = self.controls.iter().rev().find_map(|control| control.leader.as_ref());
            let tracked = leader.is_some_and(|leader| leader.admission.request_count() > 0);
            if !tracked && self.log.open_claims().next().is_none() {
                return Ok(());
            }
            self.advance(SETTLE_STEP_MS);
            self.deliver_all();
        }
        Err(Violation::RequestLeft)
    }
}

/// Rounds in which every attempt must get its answer: deadline, grace periods and rebuild.
const SETTLE_ROUNDS: usize = 16;
const SETTLE_STEP_MS: u64 = 500;

/// A visited state. The world is dropped after its successors are known; the key stays.
#[derive(Clone)]
struct State {
    key: u64,
    world_key: u64,
    depth: usize,
    action: Option<Action>,
    violation: Option<Violation>,
    content: Rc<RefCell<Option<(World, Budget)>>>,
}

impl State {
    fn open(world: World, budget: Budget, depth: usize, action: Option<Action>) -> Self {
        let world_key = world.key();
        let mut hasher = std::collections::hash_map::DefaultHasher::new();
        (world_key, &budget).hash(&mut hasher);
        let violation = world.violation;
        let content = Rc::new(RefCell::new(Some((world, budget))));
        Self { key: hasher.finish(), world_key, depth, action, violation, content }
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        hasher.write_u64(self.key);
    }
}

/// Bounds of a search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub states: usize,
    pub depth: usize,
    /// One in this many states is checked for attempts that wait for ever; 0 checks none.
    pub settle_every: u64,
}

/// Result of a search.
#[derive(Debug)]
pub struct SearchResult {
    pub states: usize,
    pub depth: usize,
    /// Whether all states within the budget and the depth were expanded.
    pub complete: bool,
    pub violation: Option<Violation>,
    pub path: Vec<Action>,
}

/// Searches for a violation.
pub fn search(name: &str, world: World, budget: Budget, bounds: Bounds) -> SearchResult {
    let started = Instant::now();
    let (states, depth, complete) = (Cell::new(0), Cell::new(0), Cell::new(true));
    let successors = |state: &State| {
        let taken = state.content.borrow_mut().take();
        let Some((world, budget)) = taken else { return Vec::new() };
        if states.get() >= bounds.states {
            complete.set(false);
            return Vec::new();
        }
        if state.depth >= bounds.depth {
            return Vec::new();
        }
        states.set(states.get() + 1);
        depth.set(state.depth);
        let next = |action: Action| {
            let budget = budget.after(&action)?;
            let mut next = State::open(world.after(&action), budget, state.depth + 1, Some(action));
            let sampled = bounds.settle_every > 0 && next.key.is_multiple_of(bounds.settle_every);
            if sampled && next.violation.is_none() {
                let content = next.content.borrow();
                next.violation = content.as_ref().and_then(|(world, _)| world.settles().err());
                drop(content);
            }
            (next.world_key != state.world_key).then_some(next)
        };
        world.actions(&budget).into_iter().filter_map(next).collect()
    };
    let start = State::open(world, budget, 0, None);
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
