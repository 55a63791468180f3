//! Steps of the caller and of the entries in the claim specification.

use crate::spec::Spec;
use crate::state::{
    Attempt, AttemptPhase, EntryPhase, Message, SpecState, Step, StepLabel, Violation,
};

impl Spec {
    pub fn caller_steps(&self, state: &SpecState, steps: &mut Vec<Step>) {
        let next = state.newest.map_or(0, |newest| newest + 1);
        let must_wait = self.rules.caller_waits && state.has_waiting();
        if must_wait || next == self.bounds.attempts {
            return;
        }
        // The entries are symmetric, so the first attempt is only sent to the first one.
        let choices = if next == 0 { 0..1 } else { 0..2 };
        for entry in choices {
            if state.entries[usize::from(entry)].phase != EntryPhase::Alive {
                continue;
            }
            let mut after = state.clone();
            after.newest = Some(next);
            // Without a record of the refusal, `not_run` covers earlier attempts only.
            after.reported_not_run &= self.rules.durable_refusal;
            after.attempts[usize::from(next)] = Attempt { entry, phase: AttemptPhase::Waiting };
            // A sent message may be delayed indefinitely, so sending at once covers all cases.
            after.send_submits(entry);
            steps.push((StepLabel::CallerSends(entry), after));
        }
    }

    pub fn entry_steps(&self, state: &SpecState, steps: &mut Vec<Step>) {
        for (number, attempt) in state.attempts.iter().enumerate() {
            let entry = state.entries[usize::from(attempt.entry)];
            if entry.phase != EntryPhase::Alive {
                continue;
            }
            match attempt.phase {
                AttemptPhase::Dispatched { claim } => {
                    for completed in [true, false] {
                        let finish = Message::Finish { claim, completed };
                        let mut after = state.with_message(finish);
                        after.attempts[number].phase = AttemptPhase::Done;
                        steps.push((StepLabel::Ends(finish), after));
                    }
                }
                AttemptPhase::Waiting if self.rules.caller_waits => {
                    let mut after = state.clone();
                    after.attempts[number].phase = AttemptPhase::Done;
                    steps.push((StepLabel::Withdraws(number), after));
                }
                _ => {}
            }
        }
        for number in 0..2 {
            entry_failures(state, number, steps);
        }
    }

    pub fn refusal_step(&self, state: &SpecState, attempt: u8, steps: &mut Vec<Step>) {
        let attempt_state = state.attempts[usize::from(attempt)];
        let alive = state.entries[usize::from(attempt_state.entry)].phase == EntryPhase::Alive;
        if !alive || attempt_state.phase != AttemptPhase::Waiting {
            return;
        }
        let mut after = state.clone();
        after.attempts[usize::from(attempt)].phase = AttemptPhase::Done;
        // The caller has closed the connections of its earlier attempts.
        if state.newest == Some(attempt) {
            after.reported_not_run = true;
            if state.dispatched {
                self.record_violation(&mut after, Violation::FalseNotRun);
            }
        }
        steps.push((StepLabel::Delivers(Message::Refuse { attempt }), after));
    }

    pub fn grant_steps(
        &self,
        state: &SpecState,
        attempt: u8,
        claim: u8,
        epoch: u8,
        steps: &mut Vec<Step>,
    ) {
        let number = usize::from(state.attempts[usize::from(attempt)].entry);
        let entry = state.entries[number];
        let already_used = self.rules.remember_claims && entry.used_claims & (1 << claim) != 0;
        if entry.phase != EntryPhase::Alive || already_used {
            return;
        }
        let message = Message::Grant { attempt, claim, epoch };
        let waiting = state.attempts[usize::from(attempt)].phase == AttemptPhase::Waiting;
        let mut released = state.with_message(Message::Release { claim });
        released.entries[number].used_claims |= 1 << claim;
        if waiting && epoch == entry.epoch {
            let mut after = state.clone();
            after.entries[number].used_claims |= 1 << claim;
            after.attempts[usize::from(attempt)].phase = AttemptPhase::Dispatched { claim };
            if state.dispatched {
                self.record_violation(&mut after, Violation::SecondDispatch);
            } else if state.reported_not_run {
                self.record_violation(&mut after, Violation::FalseNotRun);
            }
            after.dispatched = true;
            steps.push((StepLabel::Delivers(message), after));
            steps.push((StepLabel::ConnectFails(message), released));
        } else if released != *state {
            steps.push((StepLabel::Delivers(message), released));
        }
    }
}

fn entry_failures(state: &SpecState, number: usize, steps: &mut Vec<Step>) {
    match state.entries[number].phase {
        EntryPhase::Alive => {
            if state.crashes > 0 {
                let mut after = state.clone();
                after.crashes -= 1;
                after.entries[number].phase = EntryPhase::Crashed;
                steps.push((StepLabel::Crashes(number), after));
            }
            if state.freezes > 0 {
                let mut after = state.clone();
                after.freezes -= 1;
                after.entries[number].phase = EntryPhase::Frozen;
                steps.push((StepLabel::Freezes(number), after));
            }
        }
        EntryPhase::Frozen => {
            let mut after = state.clone();
            after.entries[number].phase = EntryPhase::Alive;
            after.entries[number].epoch += 1;
            after.send_submits(number as u8);
            steps.push((StepLabel::Unfreezes(number), after));
        }
        EntryPhase::Crashed => {}
    }
}
