//! Breadth-first search for violations over the states of a model.

use crate::model::{Action, Model, Violation, hash_of};
use pathfinding::directed::bfs::bfs;
use std::cell::{Cell, RefCell};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Remaining number of actions of each kind.
#[derive(Clone, Debug, Default, Hash)]
pub struct Budget {
    /// Ticks of replicas that are not the leader. Each may start an election.
    pub campaigns: u8,
    /// Ticks of leaders. Each sends heartbeats.
    pub heartbeats: u8,
    pub proposals: u8,
    pub changes: u8,
    pub transfers: u8,
    pub compactions: u8,
    pub crashes: u8,
    pub lost_disks: u8,
    pub duplicates: u8,
    pub dropped_messages: u8,
    pub advances: u8,
}

impl Budget {
    fn counter_mut(&mut self, model: &Model, action: &Action) -> Option<&mut u8> {
        Some(match action {
            Action::Tick(at) if model.nodes[*at].replica.is_leader() => &mut self.heartbeats,
            Action::Tick(_) => &mut self.campaigns,
            Action::Propose(_) => &mut self.proposals,
            Action::Change(..) => &mut self.changes,
            Action::Transfer(_) => &mut self.transfers,
            Action::Compact(_) => &mut self.compactions,
            Action::Crash(_) | Action::CrashInSync(_) => &mut self.crashes,
            Action::LoseDisk(_) => &mut self.lost_disks,
            Action::Deliver { duplicate: true, .. } => &mut self.duplicates,
            Action::DropMessage(_) => &mut self.dropped_messages,
            Action::Advance(_) => &mut self.advances,
            Action::Exchange { start, .. } => return self.counter_mut(model, start),
            Action::Deliver { duplicate: false, .. } => return None,
        })
    }

    /// Returns the budget after an action, or `None` if there is none left for it.
    pub fn after(&self, model: &Model, action: &Action) -> Option<Self> {
        let mut budget = self.clone();
        if let Some(left) = budget.counter_mut(model, action) {
            *left = left.checked_sub(1)?;
        }
        Some(budget)
    }
}

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
        let hash = hash_of(&(model_hash, &budget));
        let violation = model.violation;
        let content = Rc::new(RefCell::new(Some((model, budget))));
        Self { hash, model_hash, depth, action, violation, content }
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

/// Result of a search.
pub struct SearchResult {
    /// Number of expanded states.
    pub states: usize,
    /// Number of actions to the last expanded state.
    pub depth: usize,
    /// Whether all states within the budget were expanded.
    pub complete: bool,
    pub elapsed: Duration,
    pub violation: Option<Violation>,
    /// Shortest sequence of actions to the violation.
    pub path: Vec<Action>,
}

/// Searches for a violation, with at most `limit` expanded states.
pub fn search(
    model: Model,
    budget: Budget,
    limit: usize,
    actions: impl Fn(&Model) -> Vec<Action>,
) -> SearchResult {
    let started = Instant::now();
    let (states, depth) = (Cell::new(0), Cell::new(0));
    let complete = Cell::new(true);
    let successors = |state: &State| {
        let taken = state.content.borrow_mut().take();
        let Some((model, budget)) = taken else { return Vec::new() };
        if states.get() >= limit {
            complete.set(false);
            return Vec::new();
        }
        states.set(states.get() + 1);
        depth.set(state.depth);
        let next = |action: Action| {
            let budget = budget.after(&model, &action)?;
            let model = model.after(&action)?;
            let next = State::open(model, budget, state.depth + 1, Some(action));
            (next.model_hash != state.model_hash).then_some(next)
        };
        actions(&model).into_iter().filter_map(next).collect()
    };
    let start = State::open(model, budget, 0, None);
    let path = bfs(&start, successors, |state| state.violation.is_some()).unwrap_or_default();
    SearchResult {
        states: states.get(),
        depth: depth.get(),
        complete: complete.get(),
        elapsed: started.elapsed(),
        violation: path.last().and_then(|state| state.violation),
        path: path.into_iter().filter_map(|state| state.action).collect(),
    }
}

impl SearchResult {
    /// Prints the size of the search and checks that it found the expected violation or none.
    pub fn assert_violation(&self, name: &str, violation: Option<Violation>) {
        println!(
            "{name}: {} states, depth {}, complete {}, {} ms, violation {:?} after {} steps",
            self.states,
            self.depth,
            self.complete,
            self.elapsed.as_millis(),
            self.violation,
            self.path.len(),
        );
        assert_eq!(self.violation, violation, "path: {:#?}", self.path);
    }
}

fn node_actions(model: &Model, at: usize) -> Vec<Action> {
    let mut actions = vec![Action::Tick(at)];
    if model.nodes[at].replica.is_leader() {
        actions.extend([Action::Propose(at), Action::Transfer(at), Action::CrashInSync(at)]);
        actions.extend(changes(model, at));
    }
    actions
}

fn faults(at: usize) -> [Action; 3] {
    [Action::Compact(at), Action::Crash(at), Action::LoseDisk(at)]
}

/// Returns all actions, with messages delivered one at a time and in any order. A message that is
/// never delivered counts as lost.
pub fn single_message_actions(model: &Model) -> Vec<Action> {
    let nodes = 0..model.nodes.len();
    let mut actions: Vec<Action> = nodes.flat_map(|at| node_actions(model, at)).collect();
    actions.extend((0..model.nodes.len()).flat_map(faults));
    for (at, packet) in model.network.iter().enumerate() {
        let is_duplicate = model.network[..at].iter().any(|other| other.is_same(packet));
        if !is_duplicate {
            actions.push(Action::Deliver { at, duplicate: false });
            actions.push(Action::Deliver { at, duplicate: true });
        }
    }
    actions
}

/// Returns all exchanges with each set of reachable nodes, ended after each number of deliveries in
/// `limits`, and all faults.
pub fn exchange_actions(model: &Model, limits: &[u8]) -> Vec<Action> {
    let count = model.nodes.len();
    let mut actions = Vec::new();
    for at in 0..count {
        for start in node_actions(model, at) {
            let without_deliveries =
                matches!(start, Action::Propose(_) | Action::Change(..) | Action::CrashInSync(_));
            for reachable in (0..1_u8 << count).filter(|reachable| reachable >> at & 1 == 1) {
                if reachable.count_ones() > 1 {
                    let exchange = |limit: &u8| Action::Exchange {
                        start: Box::new(start.clone()),
                        reachable,
                        limit: *limit,
                    };
                    actions.extend(limits.iter().map(exchange));
                } else if without_deliveries {
                    let start = Box::new(start.clone());
                    actions.push(Action::Exchange { start, reachable, limit: 0 });
                }
            }
        }
        actions.extend(faults(at));
    }
    actions.push(Action::Advance(166));
    actions
}

/// Returns the membership changes that a node may propose: each removal, promotion and addition.
fn changes(model: &Model, at: usize) -> Vec<Action> {
    let replica = &model.nodes[at].replica;
    if !replica.is_leader() {
        return Vec::new();
    }
    let members = replica.members();
    let removed = members.voters.iter().chain(&members.learners).map(|m| members.without(m.node));
    let promoted = members.learners.iter().map(|m| members.with_promoted(m.node));
    let absent = model.nodes.iter().map(|node| crate::cluster::member(node.id));
    let added = absent.filter(|m| !members.contains(m.node)).map(|m| members.with_learner(m));
    removed.chain(promoted).chain(added).map(|next| Action::Change(at, next)).collect()
}
