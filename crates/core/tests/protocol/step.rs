//! Steps of the model: control instances, entries and their attempts, and faults.

use crate::model::{
    Attempt, HashableCommand, Leader, MessageToEntry, Model, Phase, Proposal, Violation, document,
    entry_of, node, request_key, time_at,
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

impl Model {
    // Control instances.

    /// Makes a control instance the leader with the committed state.
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
        for (entry, reading) in self.controls[control].entry_clocks.clone() {
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
        self.process_output(control);
    }

    /// Proposes the commands of the admission controller, and sends its messages to the entries.
    pub fn process_output(&mut self, control: usize) {
        let Some(leader) = &mut self.controls[control].leader else { return };
        let output = Rc::make_mut(&mut leader.admission).take_output();
        let proposal = |command| Proposal {
            command: HashableCommand(command),
            messages_after_commit: Vec::new(),
        };
        leader.pending.extend(output.commands.into_iter().map(proposal));
        if !output.after_commit.is_empty() {
            let command = HashableCommand(StateCommand::Barrier);
            leader.pending.push(Proposal { command, messages_after_commit: output.after_commit });
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
            link.to_entry.push_back(MessageToEntry { message, dispatched });
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
        self.process_output(control);
        let Some(leader) = &mut self.controls[control].leader else { return };
        let command = HashableCommand(StateCommand::Barrier);
        leader.pending.push(Proposal { command, messages_after_commit: vec![(entry, message)] });
    }

    pub fn receive_control(&mut self, control: usize, entry: usize, message: EntryMessage) {
        let from = node(entry);
        let clock_reading = match &message {
            EntryMessage::Hello { entry_time, .. } | EntryMessage::Heartbeat { entry_time, .. } => {
                Some(*entry_time)
            }
            _ => None,
        };
        if let Some(reading) = clock_reading {
            self.controls[control].entry_clocks.insert(from, reading);
            self.welcome(control, from, reading);
        }
        let time = self.time_of(control);
        let Some(leader) = &mut self.controls[control].leader else { return };
        let admission = Rc::make_mut(&mut leader.admission);
        admission.receive(time, from, message, &leader.state);
        self.process_output(control);
    }

    /// Commits at most `count` of the oldest proposals of a leader.
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
        let HashableCommand(command) = proposal.command;
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
            for (entry, message) in proposal.messages_after_commit {
                self.send_entry(control, entry, message);
            }
            self.process_output(control);
        }
    }

    /// Checks that no recorded outcome has changed.
    fn check_outcomes(&mut self) {
        for key in 0..self.recorded_outcomes.len() {
            let phase = self.log.claim(request_key(key)).map(|record| record.phase);
            let Some(ClaimPhase::Ended { outcome, .. }) = phase else { continue };
            let recorded = *self.recorded_outcomes[key].get_or_insert(outcome);
            if recorded != outcome {
                self.record_violation(Violation::OutcomeChanged);
            }
        }
    }

    /// Commits `count` more proposals of instance 0 and makes instance 1 the leader. Instance 0
    /// does not notice that it was deposed.
    pub fn replace_leader(&mut self, count: usize) {
        self.controls[0].deposed = true;
        self.controls[0].frozen_clock = Some(self.now);
        self.commit(0, count);
        if let Some(leader) = &mut self.controls[0].leader {
            leader.pending.clear();
        }
        self.start_leading(1);
    }

    /// Lets instance 0 notice that it is no longer the leader.
    pub fn step_down(&mut self) {
        self.controls[0].leader = None;
        for entry in 0..2 {
            let message = ControlMessage::Welcome {
                leading: false,
                term: 2,
                leader: None,
                config_version: 1,
                entry_time: time_at(0),
            };
            self.send_entry(0, node(entry), message);
        }
    }

    // Entries.

    /// Installs the version in force of the configuration at an entry, so that it counts as ready.
    pub fn install_config(&mut self, entry: usize) {
        self.step_entry(entry, EntryInput::ConfigInstalled { version: 1 }, false);
    }

    /// Gives an input to an entry agent and carries out its outputs. `dispatched` is whether the
    /// key of a received refusal had been dispatched when the refusal was sent.
    pub fn step_entry(&mut self, entry: usize, input: EntryInput, dispatched: bool) {
        let agent = Rc::make_mut(&mut self.entries[entry].agent);
        for output in agent.step(time_at(self.now), input) {
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
            self.links[entry][control].to_control.push_back(message);
        } else {
            // An instance that is not the leader only stores the clock reading, so the order of its
            // messages does not matter.
            self.receive_control(control, entry, message);
        }
    }

    fn close(&mut self, entry: usize, key: RequestKey, claim: ClaimNumber) {
        let closed = (entry, index_of(key), claim);
        if !self.closed_claims.contains(&closed) {
            self.closed_claims.push(closed);
        }
    }

    /// Checks that every report that the entry no longer repeats is in the log.
    fn check_reports(&mut self, entry: usize) {
        for (owner, key, claim) in self.closed_claims.clone() {
            if owner != entry
                || self.entries[entry].agent.has_unconfirmed_report(request_key(key), claim)
            {
                continue;
            }
            let record = self.log.claim(request_key(key)).filter(|record| record.claim == claim);
            if record.is_some_and(|record| matches!(record.phase, ClaimPhase::Open { .. })) {
                self.record_violation(Violation::ReportLost);
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
            self.record_violation(Violation::NotRunAfterDispatch);
        }
        if matches!(self.attempts[position].phase, Phase::Answered) {
            self.record_violation(Violation::DispatchAfterAnswer);
        }
        self.attempts[position].phase = match answer {
            AttemptAnswer::Grant(ticket) => Phase::Granted(ticket),
            _ => Phase::Answered,
        };
    }

    fn cancel(&mut self, entry: usize, key: RequestKey, claim: ClaimNumber) {
        for attempt in &mut self.attempts {
            if let Phase::Dispatched { claim: dispatched_claim, cancelled } = &mut attempt.phase
                && (attempt.entry, attempt.id.key, *dispatched_claim) == (entry, key, claim)
            {
                *cancelled = true;
            }
        }
    }

    /// Lets a caller send a request.
    pub fn send_request(&mut self, entry: usize, key: usize) {
        let number = Rc::make_mut(&mut self.entries[entry].agent).next_attempt();
        let id = AttemptId { key: request_key(key), attempt: number };
        self.attempts.push(Attempt { entry, key, id, phase: Phase::Waiting });
        let request = self.request(key, number);
        self.step_entry(entry, EntryInput::Submit(request), false);
    }

    /// Lets a granted attempt connect to its target, and dispatch the request or retry.
    pub fn connect(&mut self, position: usize, established: bool) {
        let Attempt { entry, key, id, phase } = self.attempts[position].clone();
        let Phase::Granted(ticket) = phase else { return };
        self.step_entry(entry, EntryInput::Running { key: id.key, claim: ticket.claim }, false);
        let now = time_at(self.now);
        let agent = &self.entries[entry].agent;
        if !established || !agent.may_dispatch(now, id.key, ticket.claim) {
            self.attempts[position].phase = Phase::Waiting;
            let request = self.request(key, id.attempt);
            let retry = EntryInput::Retry { request, claim: ticket.claim };
            return self.step_entry(entry, retry, false);
        }
        let silent = agent.summary(now).leader_silent_ms;
        if silent.is_none_or(|silent| silent >= LEADER_TIMEOUT_MS) {
            self.record_violation(Violation::DispatchWithoutLeader);
        }
        if now.since(ticket.entry_time) > GRANT_TTL_MS {
            self.record_violation(Violation::ExpiredGrant);
        }
        if std::mem::replace(&mut self.dispatched[key], true) {
            self.record_violation(Violation::SecondDispatch);
        }
        self.attempts[position].phase = Phase::Dispatched { claim: ticket.claim, cancelled: false };
    }

    /// Ends a dispatched request.
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

    /// Disconnects the caller of an attempt.
    pub fn disconnect_caller(&mut self, position: usize) {
        let Attempt { entry, id, phase, .. } = self.attempts[position].clone();
        match phase {
            Phase::Granted(ticket) => {
                self.attempts[position].phase = Phase::Answered;
                let release = EntryInput::Release { key: id.key, claim: ticket.claim };
                self.step_entry(entry, release, false);
            }
            _ => self.step_entry(entry, EntryInput::Withdraw { id }, false),
        }
    }

    /// Kills an entry.
    pub fn kill(&mut self, entry: usize, lose_messages: bool) {
        self.entries[entry].alive = false;
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.entry == entry) {
            attempt.phase = Phase::Lost;
        }
        self.closed_claims.retain(|(owner, ..)| *owner != entry);
        for control in 0..2 {
            self.link_down(entry, control, lose_messages);
        }
    }
}

fn index_of(key: RequestKey) -> usize {
    usize::try_from(key.0).expect("a key of the model") - 1
}
