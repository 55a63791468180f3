//! Steps of the leaders, the log and message delivery in the claim specification.

use crate::machine::{Effect, KeyView, MachineStore, Proposal};
use crate::state::{
    Attempt, AttemptPhase, CheckedInvariants, Entry, EntryPhase, Leader, Message, SpecBounds,
    SpecRules, SpecState, Step, StepLabel, Violation,
};

/// The claim specification with its rules and bounds.
pub struct Spec {
    pub rules: SpecRules,
    pub bounds: SpecBounds,
    pub store: MachineStore,
    checked: CheckedInvariants,
}

impl Spec {
    pub fn open(
        rules: SpecRules,
        bounds: SpecBounds,
        checked: CheckedInvariants,
    ) -> (Self, SpecState) {
        let (store, machine) = MachineStore::open(rules.machine);
        let leader = Leader { active: true, stale: None, queue: 0, pending: Vec::new() };
        let successor = Leader { active: false, ..leader.clone() };
        let entry = Entry { phase: EntryPhase::Alive, epoch: 0, used_claims: 0 };
        let attempt = Attempt { entry: 0, phase: AttemptPhase::Unsent };
        let state = SpecState {
            machine,
            leaders: [leader, successor],
            entries: [entry; 2],
            attempts: vec![attempt; usize::from(bounds.attempts)],
            messages: Vec::new(),
            crashes: bounds.crashes,
            freezes: bounds.freezes,
            newest: None,
            dispatched: false,
            reported_not_run: false,
            recorded: None,
            violation: None,
        };
        (Self { rules, bounds, store, checked }, state)
    }

    /// Returns all steps from a state.
    pub fn steps(&mut self, state: &SpecState) -> Vec<Step> {
        let mut steps = Vec::new();
        if state.violation.is_some() {
            return steps;
        }
        self.caller_steps(state, &mut steps);
        self.entry_steps(state, &mut steps);
        for leader in 0..2 {
            if state.leaders[leader].active {
                self.leader_steps(state, leader, &mut steps);
            }
        }
        self.commit_step(state, &mut steps);
        self.failover_steps(state, &mut steps);
        for &message in &state.messages {
            self.delivery_steps(state, message, &mut steps);
        }
        steps
    }

    pub fn record_violation(&self, state: &mut SpecState, violation: Violation) {
        if self.checked.contains(&violation) {
            state.violation = Some(violation);
        }
    }

    fn can_append(&self, state: &SpecState, leader: usize) -> bool {
        let pending = state.leaders[leader].pending.len();
        pending < self.bounds.pending
            && self.store.applied(state.machine) + pending < self.bounds.log
    }

    fn view(&self, state: &SpecState, leader: usize) -> KeyView {
        self.store.view(state.leaders[leader].stale.unwrap_or(state.machine))
    }

    /// Adds a step in which a leader appends a record. A deposed leader appends nothing here, since
    /// its records are never committed.
    fn propose(&self, state: &SpecState, leader: usize, proposal: Proposal, steps: &mut Vec<Step>) {
        if state.leaders[leader].stale.is_some() || !self.can_append(state, leader) {
            return;
        }
        let mut after = state.clone();
        let leader_state = &mut after.leaders[leader];
        match proposal {
            Proposal::Claim { attempt, .. } => leader_state.queue &= !(1 << attempt),
            Proposal::Refuse { .. } | Proposal::Barrier { .. } => leader_state.queue = 0,
            _ => {}
        }
        leader_state.pending.push(proposal);
        steps.push((StepLabel::Proposes(leader, proposal), after));
    }

    fn leader_steps(&self, state: &SpecState, leader: usize, steps: &mut Vec<Step>) {
        let view = self.view(state, leader);
        let queue = state.leaders[leader].queue;
        for (number, attempt) in state.attempts.iter().enumerate() {
            if queue & (1 << number) != 0 {
                let claim = Proposal::Claim { attempt: number as u8, entry: attempt.entry };
                self.propose(state, leader, claim, steps);
            }
        }
        if queue != 0 {
            self.refusal_steps(state, leader, view, steps);
        }
        if let KeyView::Open { ownerless, .. } = view {
            if ownerless {
                self.propose(state, leader, Proposal::Expire, steps);
            }
            for entry in 0..2 {
                let gone = state.entries[usize::from(entry)].phase != EntryPhase::Alive;
                if gone && view.owned_by(entry).is_some() {
                    self.propose(state, leader, Proposal::OwnerLost { entry }, steps);
                }
            }
        }
    }

    fn refusal_steps(
        &self,
        state: &SpecState,
        leader: usize,
        view: KeyView,
        steps: &mut Vec<Step>,
    ) {
        let leader_state = &state.leaders[leader];
        let attempts = leader_state.queue;
        if self.rules.confirm_refusal && self.rules.durable_refusal {
            return self.propose(state, leader, Proposal::Refuse { attempts }, steps);
        }
        let claiming =
            leader_state.pending.iter().any(|known| matches!(known, Proposal::Claim { .. }));
        if claiming || view != KeyView::Free {
            return;
        }
        if self.rules.confirm_refusal {
            return self.propose(state, leader, Proposal::Barrier { attempts }, steps);
        }
        let mut after = state.clone();
        after.leaders[leader].queue = 0;
        after.send_refusals(attempts);
        steps.push((StepLabel::RefusesUnconfirmed(leader), after));
    }

    fn commit(&mut self, state: &mut SpecState, proposal: Proposal) -> Effect {
        let (machine, effect) = self.store.apply(state.machine, proposal);
        state.machine = machine;
        let ended = match self.store.view(machine) {
            KeyView::Ended(outcome) => Some(outcome),
            KeyView::Free | KeyView::Open { .. } => None,
        };
        if state.recorded.is_some() && state.recorded != ended {
            self.record_violation(state, Violation::OutcomeChanged);
        }
        state.recorded = ended;
        effect
    }

    fn commit_step(&mut self, state: &SpecState, steps: &mut Vec<Step>) {
        let leader = usize::from(state.leaders[1].active);
        let Some(&proposal) = state.leaders[leader].pending.first() else { return };
        let mut after = state.clone();
        after.leaders[leader].pending.remove(0);
        match (self.commit(&mut after, proposal), proposal) {
            (Effect::Granted(claim), Proposal::Claim { attempt, entry }) => {
                let epoch = state.entries[usize::from(entry)].epoch;
                after.send(Message::Grant { attempt, claim, epoch });
            }
            (Effect::Confirmed, Proposal::Refuse { attempts } | Proposal::Barrier { attempts }) => {
                after.send_refusals(attempts);
            }
            _ => {}
        }
        steps.push((StepLabel::Commits(proposal), after));
    }

    /// Adds the steps in which the second leader takes over. It starts with a prefix of the records
    /// that the first leader had not yet seen committed. The messages that would follow from their
    /// commit are never sent.
    fn failover_steps(&mut self, state: &SpecState, steps: &mut Vec<Step>) {
        if !self.bounds.failover || state.leaders[1].active {
            return;
        }
        for kept in 0..=state.leaders[0].pending.len() {
            let mut after = state.clone();
            after.leaders[0].stale = Some(state.machine);
            let pending = std::mem::take(&mut after.leaders[0].pending);
            for &proposal in &pending[..kept] {
                self.commit(&mut after, proposal);
            }
            after.leaders[1].active = true;
            steps.push((StepLabel::Failover(kept), after));
        }
    }

    fn delivery_steps(&self, state: &SpecState, message: Message, steps: &mut Vec<Step>) {
        match message {
            Message::Grant { attempt, claim, epoch } => {
                self.grant_steps(state, attempt, claim, epoch, steps);
            }
            Message::Refuse { attempt } => self.refusal_step(state, attempt, steps),
            Message::Submit { attempt, epoch } => {
                for leader in 0..2 {
                    self.submit_step(state, leader, attempt, epoch, steps);
                }
            }
            Message::Release { claim } => {
                let leader = usize::from(state.leaders[1].active);
                self.propose(state, leader, Proposal::Release { claim }, steps);
            }
            Message::Finish { claim, completed } => {
                let leader = usize::from(state.leaders[1].active);
                self.propose(state, leader, Proposal::Finish { claim, completed }, steps);
            }
        }
    }

    fn submit_step(
        &self,
        state: &SpecState,
        leader: usize,
        attempt: u8,
        epoch: u8,
        steps: &mut Vec<Step>,
    ) {
        let leader_state = &state.leaders[leader];
        if !leader_state.active || leader_state.queue & (1 << attempt) != 0 {
            return;
        }
        let message = Message::Submit { attempt, epoch };
        let entry = state.attempts[usize::from(attempt)].entry;
        let view = self.view(state, leader);
        let mut after = state.clone();
        if let Some(claim) = view.owned_by(entry) {
            after.send(Message::Grant { attempt, claim, epoch });
        } else if view == KeyView::Free || !self.rules.machine.refuse_after_end {
            after.leaders[leader].queue |= 1 << attempt;
        }
        if after != *state {
            steps.push((StepLabel::Delivers(message), after));
        }
    }
}
