//! Steps of the caller and of the entries.

use crate::spec::Spec;
use crate::world::{Attempt, AttemptPhase, EntryPhase, Fault, Message, Step, StepLabel, World};

impl Spec {
    pub fn caller_steps(&self, world: &World, steps: &mut Vec<Step>) {
        let next = world.newest.map_or(0, |newest| newest + 1);
        let early = self.rules.caller_waits && world.has_waiting();
        if early || next == self.bounds.attempts {
            return;
        }
        // The entries are alike, so the first attempt is sent to the first one only.
        let choices = if next == 0 { 0..1 } else { 0..2 };
        for entry in choices {
            if world.entries[usize::from(entry)].phase != EntryPhase::Alive {
                continue;
            }
            let mut after = world.clone();
            after.newest = Some(next);
            // Without a record of the refusal, `not_run` covers earlier attempts only.
            after.told_not_run &= self.rules.durable_refusal;
            after.attempts[usize::from(next)] = Attempt { entry, phase: AttemptPhase::Waiting };
            // A submit may be delayed for ever, so it is enough to send it at once.
            after.send_submits(entry);
            steps.push((StepLabel::CallerSends(entry), after));
        }
    }

    pub fn entry_steps(&self, world: &World, steps: &mut Vec<Step>) {
        for (number, attempt) in world.attempts.iter().enumerate() {
            let entry = world.entries[usize::from(attempt.entry)];
            if entry.phase != EntryPhase::Alive {
                continue;
            }
            match attempt.phase {
                AttemptPhase::Dispatched { claim } => {
                    for completed in [true, false] {
                        let finish = Message::Finish { claim, completed };
                        let mut after = world.sending(finish);
                        after.attempts[number].phase = AttemptPhase::Done;
                        steps.push((StepLabel::Ends(finish), after));
                    }
                }
                AttemptPhase::Waiting if self.rules.caller_waits => {
                    let mut after = world.clone();
                    after.attempts[number].phase = AttemptPhase::Done;
                    steps.push((StepLabel::Withdraws(number), after));
                }
                _ => {}
            }
        }
        for number in 0..2 {
            entry_failures(world, number, steps);
        }
    }

    pub fn refusal_step(&self, world: &World, attempt: u8, steps: &mut Vec<Step>) {
        let place = world.attempts[usize::from(attempt)];
        let alive = world.entries[usize::from(place.entry)].phase == EntryPhase::Alive;
        if !alive || place.phase != AttemptPhase::Waiting {
            return;
        }
        let mut after = world.clone();
        after.attempts[usize::from(attempt)].phase = AttemptPhase::Done;
        // The caller has closed the connections of its earlier attempts.
        if world.newest == Some(attempt) {
            after.told_not_run = true;
            if world.dispatched {
                self.violate(&mut after, Fault::FalseNotRun);
            }
        }
        steps.push((StepLabel::Delivers(Message::Refuse { attempt }), after));
    }

    pub fn grant_steps(
        &self,
        world: &World,
        attempt: u8,
        claim: u8,
        epoch: u8,
        steps: &mut Vec<Step>,
    ) {
        let number = usize::from(world.attempts[usize::from(attempt)].entry);
        let entry = world.entries[number];
        let seen = self.rules.remember_claims && entry.seen & (1 << claim) != 0;
        if entry.phase != EntryPhase::Alive || seen {
            return;
        }
        let message = Message::Grant { attempt, claim, epoch };
        let waiting = world.attempts[usize::from(attempt)].phase == AttemptPhase::Waiting;
        let mut released = world.sending(Message::Release { claim });
        released.entries[number].seen |= 1 << claim;
        if waiting && epoch == entry.epoch {
            let mut after = world.clone();
            after.entries[number].seen |= 1 << claim;
            after.attempts[usize::from(attempt)].phase = AttemptPhase::Dispatched { claim };
            if world.dispatched {
                self.violate(&mut after, Fault::SecondDispatch);
            } else if world.told_not_run {
                self.violate(&mut after, Fault::FalseNotRun);
            }
            after.dispatched = true;
            steps.push((StepLabel::Delivers(message), after));
            steps.push((StepLabel::ConnectFails(message), released));
        } else if released != *world {
            steps.push((StepLabel::Delivers(message), released));
        }
    }
}

fn entry_failures(world: &World, number: usize, steps: &mut Vec<Step>) {
    match world.entries[number].phase {
        EntryPhase::Alive => {
            if world.crashes > 0 {
                let mut after = world.clone();
                after.crashes -= 1;
                after.entries[number].phase = EntryPhase::Crashed;
                steps.push((StepLabel::Crashes(number), after));
            }
            if world.freezes > 0 {
                let mut after = world.clone();
                after.freezes -= 1;
                after.entries[number].phase = EntryPhase::Frozen;
                steps.push((StepLabel::Freezes(number), after));
            }
        }
        EntryPhase::Frozen => {
            let mut after = world.clone();
            after.entries[number].phase = EntryPhase::Alive;
            after.entries[number].epoch += 1;
            after.send_submits(number as u8);
            steps.push((StepLabel::Wakes(number), after));
        }
        EntryPhase::Crashed => {}
    }
}
