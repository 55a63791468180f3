//! Calls of operators and targets at the control thread.
//!
//! Only a leader that has a lease and knows its state answers; every answer waits for the commit
//! of a record, so that a leader that was replaced unnoticed answers nothing.

use super::event::{CallReply, OperatorCall};
use super::node::ControlNode;
use super::replies::{PendingCall, not_leading, rebuilding, refusal, unconfirmed};
use super::report;
use crate::operator::{
    ApplyRequest, DrainKind, DrainRequest, ErrorCode, FaultText, FaultsReply, OrderRequest,
};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::document::ConfigDocument;
use burdockcleat_core::keys::{NodeId, TargetIdentity};
use burdockcleat_core::registry::TargetAnnouncement;
use burdockcleat_core::state::{
    CommandReply, DrainSubject, EngineOrder, KnownOperation, OrderAction, ReplicatedState,
    StateCommand,
};
use std::sync::mpsc::Sender;

/// Time from the first committed record of a leader until entries and targets are known again, in
/// milliseconds. Entries that were linked to another instance dial again within this time.
const REBUILD_MS: u64 = 1_000;

impl ControlNode {
    pub(super) fn handle_call(&mut self, call: OperatorCall, reply: Sender<CallReply>) {
        let answer = match &call {
            OperatorCall::Dump => Some(self.dump_reply()),
            OperatorCall::Metrics => Some(self.metrics_reply()),
            OperatorCall::Ready => Some(self.ready_reply()),
            OperatorCall::Announce(announcement) => Some(self.announce(announcement)),
            OperatorCall::Leave(identity) => Some(self.leave(identity)),
            _ => self.refuse_call(&call),
        };
        if let Some(answer) = answer {
            // The receiver gives up after its timeout; then nobody waits for the answer.
            let _ = reply.send(answer);
            return;
        }
        match call {
            OperatorCall::Apply { request, document } => self.apply_call(request, document, reply),
            OperatorCall::Order(request) => self.order_call(&request, reply),
            OperatorCall::Drain(request) => self.drain_call(request, reply),
            OperatorCall::ReadConfig => {
                self.read_call(reply, |state| report::config_reply(&state.config()));
            }
            OperatorCall::ReadVersion(version) => {
                self.read_call(reply, move |state| report::version_reply(state, version));
            }
            OperatorCall::History => self.read_call(reply, report::history_reply),
            OperatorCall::Status => {
                let answer = CallReply::json(200, &self.status());
                self.read_call(reply, move |_| answer);
            }
            OperatorCall::Dump
            | OperatorCall::Metrics
            | OperatorCall::Ready
            | OperatorCall::Announce(_)
            | OperatorCall::Leave(_) => {}
        }
    }

    /// Refuses a call that only a leader with a complete state may answer.
    fn refuse_call(&self, call: &OperatorCall) -> Option<CallReply> {
        let now = ClockTime::monotonic();
        if !self.replica.is_leader() {
            return Some(not_leading(self.leader_url()));
        }
        if self.admission.is_none() {
            return Some(rebuilding());
        }
        if !self.replica.lease_valid(now) {
            return Some(unconfirmed());
        }
        // The configuration is in the log; the rest is reported by entries and targets.
        let reported =
            matches!(call, OperatorCall::Status | OperatorCall::Drain(_) | OperatorCall::Order(_));
        let fresh = now.since(self.leading_since) < REBUILD_MS;
        (reported && fresh).then(rebuilding)
    }

    fn apply_call(
        &mut self,
        request: ApplyRequest,
        document: Result<Box<ConfigDocument>, Vec<FaultText>>,
        reply: Sender<CallReply>,
    ) {
        let changes = document.as_ref().map_or(0, |next| self.document.changes_to(next).len());
        let command = StateCommand::ApplyDocument {
            base_version: request.base_version,
            operation_id: request.operation_id,
            author: request.author,
            document: request.document.into(),
            changes: u32::try_from(changes).unwrap_or(u32::MAX),
        };
        let checked = match document {
            Ok(_) => Ok(command.clone()),
            Err(faults) => Err(CallReply::json(422, &FaultsReply { faults })),
        };
        self.operate(&command, checked, reply);
    }

    fn order_call(&mut self, request: &OrderRequest, reply: Sender<CallReply>) {
        let action =
            OrderAction::LoadModel { model: request.model.clone(), version: String::new() };
        let order = EngineOrder { target: request.target.clone(), action };
        let (operation_id, author) = (request.operation_id.clone(), request.author.clone());
        let command = StateCommand::IssueOrder { order, operation_id, author };
        let checked = self.check_order(request).map(|()| command.clone());
        self.operate(&command, checked, reply);
    }

    fn check_order(&self, request: &OrderRequest) -> Result<(), CallReply> {
        let target = self.announced(&request.target).ok_or_else(|| unknown("target"))?;
        let issuer = &self.settings.order_issuer;
        if target.order_issuer != *issuer {
            let message = format!(
                "target {} takes orders from {:?}, not from {issuer:?}",
                target.name, target.order_issuer
            );
            return Err(refusal(400, ErrorCode::BadRequest, message));
        }
        let mut pools = self.document.pools().iter();
        if !pools.any(|pool| pool.models.contains(&request.model)) {
            let message = format!("no pool lists the model {:?}", request.model);
            return Err(refusal(400, ErrorCode::BadRequest, message));
        }
        Ok(())
    }

    fn drain_call(&mut self, request: DrainRequest, reply: Sender<CallReply>) {
        let subject = match request.kind {
            DrainKind::Target => {
                self.announced(&request.name).map(|target| DrainSubject::Target(target.identity()))
            }
            DrainKind::Entry => {
                let found = self.config.entries().find(|(_, entry)| entry.name == request.name);
                found.map(|(node, _)| DrainSubject::Entry {
                    name: request.name.clone(),
                    node: *node,
                })
            }
        };
        let kind = if request.kind == DrainKind::Target { "target" } else { "entry" };
        // A request is compared by the name alone, so any run stands for it here.
        let placeholder = match request.kind {
            DrainKind::Target => {
                DrainSubject::Target(TargetIdentity { name: request.name, incarnation: 0 })
            }
            DrainKind::Entry => DrainSubject::Entry { name: request.name, node: NodeId(0) },
        };
        let (operation_id, author) = (request.operation_id, request.author);
        let build = |subject| StateCommand::Drain {
            subject,
            operation_id: operation_id.clone(),
            author: author.clone(),
        };
        let checked = subject.map(&build).ok_or_else(|| unknown(kind));
        self.operate(&build(placeholder), checked, reply);
    }

    fn announced(&self, name: &str) -> Option<&TargetAnnouncement> {
        let registry = self.admission.as_ref()?.registry();
        registry.iter().map(|(_, record)| &record.announcement).find(|known| known.name == name)
    }

    /// Answers an operator's write.
    ///
    /// The operation id is looked up first: a resend gets the first result even if the request
    /// would now be refused. A refusal waits for a commit and looks again, since an earlier
    /// attempt may have been in flight.
    fn operate(
        &mut self,
        asked: &StateCommand,
        checked: Result<StateCommand, CallReply>,
        reply: Sender<CallReply>,
    ) {
        let known = known_reply(&self.state, asked);
        match (known, checked) {
            (Some(known), _) => {
                self.read_call(reply, move |state| report::command_reply(&known, state));
            }
            (None, Ok(command)) => self.propose_call(command, reply, report::command_reply),
            (None, Err(refused)) => {
                let asked = asked.clone();
                self.read_call(reply, move |state| match known_reply(state, &asked) {
                    Some(known) => report::command_reply(&known, state),
                    None => refused,
                });
            }
        }
    }

    /// Answers after a commit that changes nothing.
    fn read_call(
        &mut self,
        reply: Sender<CallReply>,
        build: impl FnOnce(&ReplicatedState) -> CallReply + Send + 'static,
    ) {
        self.propose_call(StateCommand::Barrier, reply, move |_, state| build(state));
    }

    /// Proposes a command whose reply answers a call.
    fn propose_call(
        &mut self,
        command: StateCommand,
        reply: Sender<CallReply>,
        build: impl FnOnce(&CommandReply, &ReplicatedState) -> CallReply + Send + 'static,
    ) {
        match self.propose(command) {
            Some(position) => {
                self.replies.hold_call(position, PendingCall { reply, build: Box::new(build) });
            }
            None => {
                let _ = reply.send(unconfirmed());
            }
        }
    }
}

/// The reply that an earlier request with the same operation id got.
fn known_reply(state: &ReplicatedState, asked: &StateCommand) -> Option<CommandReply> {
    let (id, body) = asked.operation()?;
    Some(match state.operation(id, &body)? {
        KnownOperation::Repeated(result) => CommandReply::from_operation(result),
        KnownOperation::Reused => CommandReply::OperationReused,
    })
}

fn unknown(kind: &str) -> CallReply {
    refusal(404, ErrorCode::NotFound, format!("no {kind} of this name is known"))
}
