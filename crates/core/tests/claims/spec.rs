//! Steps of the leaders, of the log and of the messages to them.

use crate::machine::{Effect, KeyView, MachineStore, Proposal};
use crate::world::{
    Attempt, AttemptPhase, Entry, EntryPhase, Fault, Leader, Message, SpecBounds, SpecRules, Step,
    StepLabel, Watch, World,
};

/// The specification with its rules and bounds.
pub struct Spec {
    pub rules: SpecRules,
    pub bounds: SpecBounds,
    pub store: MachineStore,
    watch: Watch,
}

impl Spec {
    pub fn open(rules: SpecRules, bounds: SpecBounds, watch: Watch) -> (Self, World) {
        let (store, machine) = MachineStore::open(rules.machine);
        let leader = Leader { active: true, stale: None, queue: 0, pending: Vec::new() };
        let successor = Leader { active: false, ..leader.clone() };
        let entry = Entry { phase: EntryPhase::Alive, epoch: 0, seen: 0 };
        let attempt = Attempt { entry: 0, phase: AttemptPhase::Unsent };
        let world = World {
            machine,
            leaders: [leader, successor],
            entries: [entry; 2],
            attempts: vec![attempt; usize::from(bounds.attempts)],
            messages: Vec::new(),
            crashes: bounds.crashes,
            freezes: bounds.freezes,
            newest: None,
            dispatched: false,
            told_not_run: false,
            recorded: None,
            fault: None,
        };
        (Self { rules, bounds, store, watch }, world)
    }

    /// All steps from a world.
    pub fn steps(&mut self, world: &World) -> Vec<Step> {
        let mut steps = Vec::new();
        if world.fault.is_some() {
            return steps;
        }
        self.caller_steps(world, &mut steps);
        self.entry_steps(world, &mut steps);
        for leader in 0..2 {
            if world.leaders[leader].active {
                self.leader_steps(world, leader, &mut steps);
            }
        }
        self.commit_step(world, &mut steps);
        self.failover_steps(world, &mut steps);
        for &message in &world.messages {
            self.delivery_steps(world, message, &mut steps);
        }
        steps
    }

    pub fn violate(&self, world: &mut World, fault: Fault) {
        if self.watch.contains(&fault) {
            world.fault = Some(fault);
        }
    }

    fn room(&self, world: &World, leader: usize) -> bool {
        let pending = world.leaders[leader].pending.len();
        pending < self.bounds.pending
            && self.store.applied(world.machine) + pending < self.bounds.log
    }

    fn view(&self, world: &World, leader: usize) -> KeyView {
        self.store.view(world.leaders[leader].stale.unwrap_or(world.machine))
    }

    /// Adds a step in which a leader appends a record. Records of a deposed leader are never
    /// committed, so they are left out.
    fn propose(&self, world: &World, leader: usize, proposal: Proposal, steps: &mut Vec<Step>) {
        if world.leaders[leader].stale.is_some() || !self.room(world, leader) {
            return;
        }
        let mut after = world.clone();
        let state = &mut after.leaders[leader];
        match proposal {
            Proposal::Claim { attempt, .. } => state.queue &= !(1 << attempt),
            Proposal::Refuse { .. } | Proposal::Barrier { .. } => state.queue = 0,
            _ => {}
        }
        state.pending.push(proposal);
        steps.push((StepLabel::Proposes(leader, proposal), after));
    }

    fn leader_steps(&self, world: &World, leader: usize, steps: &mut Vec<Step>) {
        let view = self.view(world, leader);
        let queue = world.leaders[leader].queue;
        for (number, attempt) in world.attempts.iter().enumerate() {
            if queue & (1 << number) != 0 {
                let claim = Proposal::Claim { attempt: number as u8, entry: attempt.entry };
                self.propose(world, leader, claim, steps);
            }
        }
        if queue != 0 {
            self.refusal_steps(world, leader, view, steps);
        }
        if let KeyView::Open { ownerless, .. } = view {
            if ownerless {
                self.propose(world, leader, Proposal::Expire, steps);
            }
            for entry in 0..2 {
                let gone = world.entries[usize::from(entry)].phase != EntryPhase::Alive;
                if gone && view.owned_by(entry).is_some() {
                    self.propose(world, leader, Proposal::OwnerLost { entry }, steps);
                }
            }
        }
    }

    fn refusal_steps(&self, world: &World, leader: usize, view: KeyView, steps: &mut Vec<Step>) {
        let state = &world.leaders[leader];
        let attempts = state.queue;
        if self.rules.confirm_refusal && self.rules.durable_refusal {
            return self.propose(world, leader, Proposal::Refuse { attempts }, steps);
        }
        let claiming = state.pending.iter().any(|known| matches!(known, Proposal::Claim { .. }));
        if claiming || view != KeyView::Free {
            return;
        }
        if self.rules.confirm_refusal {
            return self.propose(world, leader, Proposal::Barrier { attempts }, steps);
        }
        let mut after = world.clone();
        after.leaders[leader].queue = 0;
        after.send_refusals(attempts);
        steps.push((StepLabel::RefusesAtOnce(leader), after));
    }

    fn commit(&mut self, world: &mut World, proposal: Proposal) -> Effect {
        let (machine, effect) = self.store.apply(world.machine, proposal);
        world.machine = machine;
        let ended = match self.store.view(machine) {
            KeyView::Ended(outcome) => Some(outcome),
            KeyView::Free | KeyView::Open { .. } => None,
        };
        if world.recorded.is_some() && world.recorded != ended {
            self.violate(world, Fault::OutcomeChanged);
        }
        world.recorded = ended;
        effect
    }

    fn commit_step(&mut self, world: &World, steps: &mut Vec<Step>) {
        let leader = usize::from(world.leaders[1].active);
        let Some(&proposal) = world.leaders[leader].pending.first() else { return };
        let mut after = world.clone();
        after.leaders[leader].pending.remove(0);
        match (self.commit(&mut after, proposal), proposal) {
            (Effect::Granted(claim), Proposal::Claim { attempt, entry }) => {
                let epoch = world.entries[usize::from(entry)].epoch;
                after.send(Message::Grant { attempt, claim, epoch });
            }
            (Effect::Confirmed, Proposal::Refuse { attempts } | Proposal::Barrier { attempts }) => {
                after.send_refusals(attempts);
            }
            _ => {}
        }
        steps.push((StepLabel::Commits(proposal), after));
    }

    /// The second leader starts with a prefix of the records that the first had not yet seen
    /// committed; nobody sends the messages that they would have led to.
    fn failover_steps(&mut self, world: &World, steps: &mut Vec<Step>) {
        if !self.bounds.failover || world.leaders[1].active {
            return;
        }
        for kept in 0..=world.leaders[0].pending.len() {
            let mut after = world.clone();
            after.leaders[0].stale = Some(world.machine);
            let pending = std::mem::take(&mut after.leaders[0].pending);
            for &proposal in &pending[..kept] {
                self.commit(&mut after, proposal);
            }
            after.leaders[1].active = true;
            steps.push((StepLabel::Failover(kept), after));
        }
    }

    fn delivery_steps(&self, world: &World, message: Message, steps: &mut Vec<Step>) {
        match message {
            Message::Grant { attempt, claim, epoch } => {
                self.grant_steps(world, attempt, claim, epoch, steps);
            }
            Message::Refuse { attempt } => self.refusal_step(world, attempt, steps),
            Message::Submit { attempt, epoch } => {
                for leader in 0..2 {
                    self.submit_step(world, leader, attempt, epoch, steps);
                }
            }
            Message::Release { claim } => {
                let leader = usize::from(world.leaders[1].active);
                self.propose(world, leader, Proposal::Release { claim }, steps);
            }
            Message::Finish { claim, completed } => {
                let leader = usize::from(world.leaders[1].active);
                self.propose(world, leader, Proposal::Finish { claim, completed }, steps);
            }
        }
    }

    fn submit_step(
        &self,
        world: &World,
        leader: usize,
        attempt: u8,
        epoch: u8,
        steps: &mut Vec<Step>,
    ) {
        let state = &world.leaders[leader];
        if !state.active || state.queue & (1 << attempt) != 0 {
            return;
        }
        let message = Message::Submit { attempt, epoch };
        let entry = world.attempts[usize::from(attempt)].entry;
        let view = self.view(world, leader);
        let mut after = world.clone();
        if let Some(claim) = view.owned_by(entry) {
            after.send(Message::Grant { attempt, claim, epoch });
        } else if view == KeyView::Free || !self.rules.machine.refuse_after_end {
            after.leaders[leader].queue |= 1 << attempt;
        }
        if after != *world {
            steps.push((StepLabel::Delivers(message), after));
        }
    }
}
