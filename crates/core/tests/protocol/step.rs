//! Steps of the model: messages, commits, time and faults.

use crate::world::{
    Attempt, CommandKey, Downward, Leader, Phase, Proposal, Violation, World, at, document,
    entry_of, node, request_key,
};
use burdockcleat_core::admission::AdmissionController;
use burdockcleat_core::entry_agent::{
    AttemptAnswer, AttemptId, EntryInput, EntryOutput, GRANT_TTL_MS, LEADER_TIMEOUT_MS,
};
use burdockcleat_core::keys::{ClaimNumber, LinkKey, NodeId, RequestKey};
use burdockcleat_core::message::{ControlMessage, EntryMessage, FinishReport};
use burdockcleat_core::outcome::{ReasonCode, RequestOutcome};
use burdockcleat_core::registry::TargetRegistry;
use burdockcleat_core::state::{ClaimPhase, StampedCommand, StateCommand};
use std::rc::Rc;

impl World {
    // Control instances.

    pub fn start_leading(&mut self, control: usize) {
        let state = self.log.clone();
        let rules = self.setup.rules.admission;
        let admission = AdmissionController::with_rules(
            self.time(),
            document(),
            &state,
            TargetRegistry::default(),
            rules,
        );
        let leader = Leader { admission: Rc::new(admission), state, pending: Vec::new() };
        self.controls[control].leader = Some(leader);
        self.announce(control);
        for (entry, reading) in self.controls[control].heard.clone() {
            self.welcome(control, entry, reading);
        }
    }

    pub fn announce(&mut self, control: usize) {
        let time = self.time();
        let targets = self.announcements();
        let Some(leader) = &mut self.controls[control].leader else { return };
        let admission = Rc::make_mut(&mut leader.admission);
        for target in targets {
            admission.announce(time, target).expect("an incarnation that never left");
        }
        self.collect(control);
    }

    /// Moves what the admission decided to the log and to the links.
    pub fn collect(&mut self, control: usize) {
        let Some(leader) = &mut self.controls[control].leader else { return };
        let output = Rc::make_mut(&mut leader.admission).take_output();
        let proposal = |command| Proposal { command: CommandKey(command), held: Vec::new() };
        leader.pending.extend(output.commands.into_iter().map(proposal));
        if !output.after_commit.is_empty() {
            let command = CommandKey(StateCommand::Barrier);
            leader.pending.push(Proposal { command, held: output.after_commit });
        }
        for (entry, message) in output.messages {
            self.send_entry(control, entry, message);
        }
    }

    fn send_entry(&mut self, control: usize, to: NodeId, message: ControlMessage) {
        let key = match &message {
            ControlMessage::Refuse { key, .. } => Some(*key),
            _ => None,
        };
        let dispatched = key.is_some_and(|key| self.dispatched[index_of(key)]);
        let link = &mut self.links[entry_of(to)][control];
        if link.up {
            link.downward.push_back(Downward { message, dispatched });
        }
    }

    fn welcome(
        &mut self,
        control: usize,
        entry: NodeId,
        reading: burdockcleat_core::clock::ClockTime,
    ) {
        let message = ControlMessage::Welcome {
            leading: true,
            term: control as u64 + 1,
            leader: None,
            config_version: 1,
            entry_time: reading,
        };
        self.collect(control);
        let Some(leader) = &mut self.controls[control].leader else { return };
        let command = CommandKey(StateCommand::Barrier);
        leader.pending.push(Proposal { command, held: vec![(entry, message)] });
    }

    pub fn receive_control(&mut self, control: usize, entry: usize, message: EntryMessage) {
        let from = node(entry);
        let question = match &message {
            EntryMessage::Hello { entry_time, .. } | EntryMessage::Heartbeat { entry_time, .. } => {
                Some(*entry_time)
            }
            _ => None,
        };
        if let Some(reading) = question {
            self.controls[control].heard.insert(from, reading);
            self.welcome(control, from, reading);
        }
        let time = self.time_of(control);
        let Some(leader) = &mut self.controls[control].leader else { return };
        let admission = Rc::make_mut(&mut leader.admission);
        admission.receive(time, from, message, &leader.state);
        self.collect(control);
    }

    /// Commits the oldest proposals of a leader, at most `count`.
    pub fn commit(&mut self, control: usize, count: usize) {
        for _ in 0..count {
            let Some(leader) = &mut self.controls[control].leader else { return };
            if leader.pending.is_empty() {
                return;
            }
            let proposal = leader.pending.remove(0);
            self.apply(control, proposal);
        }
    }

    fn apply(&mut self, control: usize, proposal: Proposal) {
        let CommandKey(command) = proposal.command;
        if command != StateCommand::Barrier {
            self.index += 1;
            let stamped = StampedCommand { at: self.time().wall, command: command.clone() };
            let reply = Rc::make_mut(&mut self.log).apply(self.index, &stamped);
            self.check_outcomes();
            let (time, deposed) = (self.time(), self.controls[control].deposed);
            if let Some(leader) = self.controls[control].leader.as_mut().filter(|_| !deposed) {
                leader.state = self.log.clone();
                let admission = Rc::make_mut(&mut leader.admission);
                admission.committed(time, &command, &reply, &leader.state);
            }
        }
        if !self.controls[control].deposed {
            for (entry, message) in proposal.held {
                self.send_entry(control, entry, message);
            }
            self.collect(control);
        }
    }

    fn check_outcomes(&mut self) {
        for key in 0..self.recorded.len() {
            let phase = self.log.claim(request_key(key)).map(|record| record.phase);
            let Some(ClaimPhase::Ended { outcome, .. }) = phase else { continue };
            let recorded = *self.recorded[key].get_or_insert(outcome);
            if recorded != outcome {
                self.violate(Violation::OutcomeChanged);
            }
        }
    }

    /// Instance 1 takes over after `count` more proposals of instance 0 were committed. Instance
    /// 0 does not notice.
    pub fn replace_leader(&mut self, count: usize) {
        self.controls[0].deposed = true;
        self.controls[0].stopped = Some(self.now);
        self.commit(0, count);
        if let Some(leader) = &mut self.controls[0].leader {
            leader.pending.clear();
        }
        self.start_leading(1);
    }

    /// Instance 0 notices that it does not lead.
    pub fn step_down(&mut self) {
        self.controls[0].leader = None;
        for entry in 0..2 {
            let message = ControlMessage::Welcome {
                leading: false,
                term: 2,
                leader: None,
                config_version: 1,
                entry_time: at(0),
            };
            self.send_entry(0, node(entry), message);
        }
    }

    // Entries.

    pub fn install(&mut self, entry: usize) {
        self.step_entry(entry, EntryInput::ConfigInstalled { version: 1 }, false);
    }

    /// Steps an agent and carries out what it decided. `dispatched` belongs to a refusal.
    pub fn step_entry(&mut self, entry: usize, input: EntryInput, dispatched: bool) {
        let agent = Rc::make_mut(&mut self.entries[entry].agent);
        for output in agent.step(at(self.now), input) {
            match output {
                EntryOutput::Send { link, message } => self.send_control(entry, link, message),
                EntryOutput::Answer { id, answer } => self.answer(entry, id, answer, dispatched),
                EntryOutput::Cancel { key, claim, .. } => self.cancel(entry, key, claim),
                EntryOutput::Install { .. } | EntryOutput::Patch { .. } | EntryOutput::Drain => {}
            }
        }
        self.check_reports(entry);
    }

    fn send_control(&mut self, entry: usize, link: LinkKey, message: EntryMessage) {
        if let EntryMessage::Finish(FinishReport { key, claim, .. })
        | EntryMessage::Release { key, claim, .. } = &message
        {
            self.close(entry, *key, *claim);
        }
        let links = &mut self.links[entry];
        let known = links.iter().position(|known| known.key == link && known.up);
        let Some(control) = known else { return };
        if self.controls[control].leader.is_some() {
            self.links[entry][control].upward.push_back(message);
        } else {
            // An instance that does not lead only notes the clock reading, so the order of its
            // messages does not matter.
            self.receive_control(control, entry, message);
        }
    }

    fn close(&mut self, entry: usize, key: RequestKey, claim: ClaimNumber) {
        let closed = (entry, index_of(key), claim);
        if !self.closed.contains(&closed) {
            self.closed.push(closed);
        }
    }

    /// A report that the entry no longer repeats must be in the log.
    fn check_reports(&mut self, entry: usize) {
        for (owner, key, claim) in self.closed.clone() {
            if owner != entry
                || self.entries[entry].agent.has_unconfirmed_report(request_key(key), claim)
            {
                continue;
            }
            let record = self.log.claim(request_key(key)).filter(|record| record.claim == claim);
            if record.is_some_and(|record| matches!(record.phase, ClaimPhase::Open { .. })) {
                self.violate(Violation::ReportLost);
            }
        }
    }

    fn answer(&mut self, entry: usize, id: AttemptId, answer: AttemptAnswer, dispatched: bool) {
        let found = self.attempts.iter().position(|known| known.entry == entry && known.id == id);
        let Some(position) = found else { return };
        let dispatched = match &answer {
            AttemptAnswer::Withdrawn { .. } => self.dispatched[self.attempts[position].key],
            _ => dispatched,
        };
        let not_run = matches!(
            &answer,
            AttemptAnswer::Refuse { outcome: RequestOutcome::NotRun, .. }
                | AttemptAnswer::Withdrawn { outcome: RequestOutcome::NotRun }
        );
        if not_run && dispatched {
            self.violate(Violation::NotRunAfterDispatch);
        }
        if matches!(self.attempts[position].phase, Phase::Answered) {
            self.violate(Violation::DispatchAfterAnswer);
        }
        self.attempts[position].phase = match answer {
            AttemptAnswer::Grant(ticket) => Phase::Holding(ticket),
            _ => Phase::Answered,
        };
    }

    fn cancel(&mut self, entry: usize, key: RequestKey, claim: ClaimNumber) {
        for attempt in &mut self.attempts {
            if let Phase::Dispatched { claim: held, cancelled } = &mut attempt.phase
                && (attempt.entry, attempt.id.key, *held) == (entry, key, claim)
            {
                *cancelled = true;
            }
        }
    }

    /// A caller sends a request.
    pub fn send_request(&mut self, entry: usize, key: usize) {
        let number = Rc::make_mut(&mut self.entries[entry].agent).next_attempt();
        let id = AttemptId { key: request_key(key), attempt: number };
        self.attempts.push(Attempt { entry, key, id, phase: Phase::Waiting });
        let request = self.request(key, number);
        self.step_entry(entry, EntryInput::Submit(request), false);
    }

    /// The thread of a granted attempt connects to the target.
    pub fn connect(&mut self, position: usize, established: bool) {
        let Attempt { entry, key, id, phase } = self.attempts[position].clone();
        let Phase::Holding(ticket) = phase else { return };
        self.step_entry(entry, EntryInput::Running { key: id.key, claim: ticket.claim }, false);
        let now = at(self.now);
        let agent = &self.entries[entry].agent;
        if !established || !agent.may_dispatch(now, id.key, ticket.claim) {
            self.attempts[position].phase = Phase::Waiting;
            let request = self.request(key, id.attempt);
            let retry = EntryInput::Retry { request, claim: ticket.claim };
            return self.step_entry(entry, retry, false);
        }
        let silent = agent.summary(now).leader_silent_ms;
        if silent.is_none_or(|silent| silent >= LEADER_TIMEOUT_MS) {
            self.violate(Violation::NotReady);
        }
        if now.since(ticket.entry_time) > GRANT_TTL_MS {
            self.violate(Violation::OldGrant);
        }
        if std::mem::replace(&mut self.dispatched[key], true) {
            self.violate(Violation::SecondDispatch);
        }
        self.attempts[position].phase = Phase::Dispatched { claim: ticket.claim, cancelled: false };
    }

    /// A dispatched request ends.
    pub fn finish(&mut self, position: usize) {
        let Attempt { entry, id, phase, .. } = self.attempts[position].clone();
        let Phase::Dispatched { claim, cancelled } = phase else { return };
        let (outcome, reason) = match cancelled {
            true => (RequestOutcome::Failed, Some(ReasonCode::Preempted)),
            false => (RequestOutcome::Completed, None),
        };
        self.attempts[position].phase = Phase::Answered;
        let report = FinishReport {
            key: id.key,
            claim,
            outcome,
            reason,
            cached_tokens: 0,
            output_tokens: 1,
            first_token_ms: 1,
            total_ms: 1,
        };
        self.step_entry(entry, EntryInput::Finish(report), false);
    }

    /// The caller of an attempt hangs up.
    pub fn hang_up(&mut self, position: usize) {
        let Attempt { entry, id, phase, .. } = self.attempts[position].clone();
        match phase {
            Phase::Holding(ticket) => {
                self.attempts[position].phase = Phase::Answered;
                let release = EntryInput::Release { key: id.key, claim: ticket.claim };
                self.step_entry(entry, release, false);
            }
            _ => self.step_entry(entry, EntryInput::Withdraw { id }, false),
        }
    }

    pub fn kill(&mut self, entry: usize, lose: bool) {
        self.entries[entry].alive = false;
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.entry == entry) {
            attempt.phase = Phase::Lost;
        }
        self.closed.retain(|(owner, ..)| *owner != entry);
        for control in 0..2 {
            self.link_down(entry, control, lose);
        }
    }
}

fn index_of(key: RequestKey) -> usize {
    usize::try_from(key.0).expect("a key of the model") - 1
}
