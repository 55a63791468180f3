//! Breadth-first search over the worlds.

use crate::model::{Action, Violation, World, key_of};
use pathfinding::directed::bfs::bfs;
use std::cell::{Cell, RefCell};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Remaining number of actions of each kind.
#[derive(Clone, Debug, Default, Hash)]
pub struct Budget {
    /// Ticks of replicas that do not lead; each may start an election.
    pub campaigns: u8,
    /// Ticks of leaders; each sends heartbeats.
    pub heartbeats: u8,
    pub proposals: u8,
    pub changes: u8,
    pub transfers: u8,
    pub compactions: u8,
    pub crashes: u8,
    pub lost_disks: u8,
    pub duplicates: u8,
    pub losses: u8,
    pub advances: u8,
}

impl Budget {
    fn of(&mut self, world: &World, action: &Action) -> Option<&mut u8> {
        Some(match action {
            Action::Tick(at) if world.nodes[*at].replica.is_leader() => &mut self.heartbeats,
            Action::Tick(_) => &mut self.campaigns,
            Action::Propose(_) => &mut self.proposals,
            Action::Change(..) => &mut self.changes,
            Action::Transfer(_) => &mut self.transfers,
            Action::Compact(_) => &mut self.compactions,
            Action::Crash(_) | Action::CrashInSync(_) => &mut self.crashes,
            Action::LoseDisk(_) => &mut self.lost_disks,
            Action::Deliver { keep: true, .. } => &mut self.duplicates,
            Action::Lose(_) => &mut self.losses,
            Action::Advance(_) => &mut self.advances,
            Action::Exchange { start, .. } => return self.of(world, start),
            Action::Deliver { keep: false, .. } => return None,
        })
    }

    /// The budget after an action, or `None` if it is used up.
    pub fn after(&self, world: &World, action: &Action) -> Option<Self> {
        let mut budget = self.clone();
        if let Some(left) = budget.of(world, action) {
            *left = left.checked_sub(1)?;
        }
        Some(budget)
    }
}

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
        let key = key_of(&(world_key, &budget));
        let violation = world.violation;
        let content = Rc::new(RefCell::new(Some((world, budget))));
        Self { key, world_key, depth, action, violation, content }
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

/// Result of a search.
pub struct SearchResult {
    /// Expanded states.
    pub states: usize,
    pub depth: usize,
    /// Whether all states within the budget were expanded.
    pub complete: bool,
    pub elapsed: Duration,
    pub violation: Option<Violation>,
    pub path: Vec<Action>,
}

/// Searches for a violation and expands at most `limit` states.
pub fn search(
    world: World,
    budget: Budget,
    limit: usize,
    actions: impl Fn(&World) -> Vec<Action>,
) -> SearchResult {
    let started = Instant::now();
    let (states, depth) = (Cell::new(0), Cell::new(0));
    let complete = Cell::new(true);
    let successors = |state: &State| {
        let taken = state.content.borrow_mut().take();
        let Some((world, budget)) = taken else { return Vec::new() };
        if states.get() >= limit {
            complete.set(false);
            return Vec::new();
        }
        states.set(states.get() + 1);
        depth.set(state.depth);
        let next = |action: Action| {
            let budget = budget.after(&world, &action)?;
            let world = world.after(&action)?;
            let next = State::open(world, budget, state.depth + 1, Some(action));
            (next.world_key != state.world_key).then_some(next)
        };
        actions(&world).into_iter().filter_map(next).collect()
    };
    let start = State::open(world, budget, 0, None);
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
    /// Prints the figures and checks the expected violation.
    pub fn expect(&self, name: &str, violation: Option<Violation>) {
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

fn starts(world: &World, at: usize) -> Vec<Action> {
    let mut actions = vec![Action::Tick(at)];
    if world.nodes[at].replica.is_leader() {
        actions.extend([Action::Propose(at), Action::Transfer(at), Action::CrashInSync(at)]);
        actions.extend(changes(world, at));
    }
    actions
}

fn faults(at: usize) -> [Action; 3] {
    [Action::Compact(at), Action::Crash(at), Action::LoseDisk(at)]
}

/// All actions with messages delivered one at a time in any order. A message that is never
/// delivered is lost.
pub fn fine_actions(world: &World) -> Vec<Action> {
    let nodes = 0..world.nodes.len();
    let mut actions: Vec<Action> = nodes.flat_map(|at| starts(world, at)).collect();
    actions.extend((0..world.nodes.len()).flat_map(faults));
    for (at, packet) in world.network.iter().enumerate() {
        let is_repeated = world.network[..at].iter().any(|other| other.is_same(packet));
        if !is_repeated {
            actions.push(Action::Deliver { at, keep: false });
            actions.push(Action::Deliver { at, keep: true });
        }
    }
    actions
}

/// Whole exchanges with each set of reachable nodes, cut off after some deliveries.
pub fn coarse_actions(world: &World, limits: &[u8]) -> Vec<Action> {
    let count = world.nodes.len();
    let mut actions = Vec::new();
    for at in 0..count {
        for start in starts(world, at) {
            let alone =
                matches!(start, Action::Propose(_) | Action::Change(..) | Action::CrashInSync(_));
            for reach in (0..1_u8 << count).filter(|reach| reach >> at & 1 == 1) {
                if reach.count_ones() > 1 {
                    let exchange = |limit: &u8| Action::Exchange {
                        start: Box::new(start.clone()),
                        reach,
                        limit: *limit,
                    };
                    actions.extend(limits.iter().map(exchange));
                } else if alone {
                    let start = Box::new(start.clone());
                    actions.push(Action::Exchange { start, reach, limit: 0 });
                }
            }
        }
        actions.extend(faults(at));
    }
    actions.push(Action::Advance(166));
    actions
}

/// Membership changes that the node may propose: each removal, promotion and addition.
fn changes(world: &World, at: usize) -> Vec<Action> {
    let replica = &world.nodes[at].replica;
    if !replica.is_leader() {
        return Vec::new();
    }
    let members = replica.members();
    let removed = members.voters.iter().chain(&members.learners).map(|m| members.without(m.node));
    let promoted = members.learners.iter().map(|m| members.with_promoted(m.node));
    let absent = world.nodes.iter().map(|node| crate::cluster::member(node.id));
    let added = absent.filter(|m| !members.contains(m.node)).map(|m| members.with_learner(m));
    removed.chain(promoted).chain(added).map(|next| Action::Change(at, next)).collect()
}
