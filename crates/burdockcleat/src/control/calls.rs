//! Handles HTTP API calls from operators and targets on the control thread.
//!
//! Calls about the shared state are answered only by a leader that holds a valid lease and has
//! rebuilt its state. Each answer waits until a log record is committed, so a leader that has been
//! replaced without noticing cannot answer. Every instance answers health checks, dumps, metrics
//! and announcements.

use super::event::{ApiCall, CallReply};
use super::node::ControlNode;
use super::replies::{
    PendingCall, error_reply, not_leader_reply, rebuilding_reply, unconfirmed_reply,
};
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

/// Time in milliseconds after the first committed record of a new leader during which calls that
/// need reports from entries and targets are rejected. Entries that were linked to another instance
/// reconnect within this time.
const REBUILD_MS: u64 = 1_000;

impl ControlNode {
    /// Answers an API call, or rejects it if this instance cannot answer.
    pub(super) fn handle_call(&mut self, call: ApiCall, reply: Sender<CallReply>) {
        let answer = match &call {
            ApiCall::Dump => Some(self.dump_reply()),
            ApiCall::Metrics => Some(self.metrics_reply()),
            ApiCall::Ready => Some(self.ready_reply()),
            ApiCall::Announce(announcement) => Some(self.announce(announcement)),
            ApiCall::Leave(identity) => Some(self.leave(identity)),
            _ => self.reject_unless_leading(&call),
        };
        if let Some(answer) = answer {
            // Sending fails if the HTTP thread has stopped waiting after its timeout.
            let _ = reply.send(answer);
            return;
        }
        match call {
            ApiCall::Apply { request, document } => self.handle_apply(request, document, reply),
            ApiCall::Order(request) => self.handle_order(&request, reply),
            ApiCall::Drain(request) => self.handle_drain(request, reply),
            ApiCall::ReadConfig => {
                self.reply_after_barrier(reply, |state| report::config_reply(&state.config()));
            }
            ApiCall::ReadVersion(version) => {
                self.reply_after_barrier(reply, move |state| report::version_reply(state, version));
            }
            ApiCall::History => self.reply_after_barrier(reply, report::history_reply),
            ApiCall::Status => {
                let answer = CallReply::json(200, &self.status());
                self.reply_after_barrier(reply, move |_| answer);
            }
            ApiCall::Dump
            | ApiCall::Metrics
            | ApiCall::Ready
            | ApiCall::Announce(_)
            | ApiCall::Leave(_) => {}
        }
    }

    /// Returns the rejection if only a leader with complete state can answer the call and this
    /// instance is not one.
    fn reject_unless_leading(&self, call: &ApiCall) -> Option<CallReply> {
        let now = ClockTime::monotonic();
        if !self.replica.is_leader() {
            return Some(not_leader_reply(self.leader_url()));
        }
        if self.admission.is_none() {
            return Some(rebuilding_reply());
        }
        if !self.replica.lease_valid(now) {
            return Some(unconfirmed_reply());
        }
        // The configuration is in the log, but these calls also need state that entries and targets
        // report after a change of leader.
        let needs_reports = matches!(call, ApiCall::Status | ApiCall::Drain(_) | ApiCall::Order(_));
        let newly_leading = now.since(self.leading_since) < REBUILD_MS;
        (needs_reports && newly_leading).then(rebuilding_reply)
    }

    fn handle_apply(
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
        let validated = match document {
            Ok(_) => Ok(command.clone()),
            Err(faults) => Err(CallReply::json(422, &FaultsReply { faults })),
        };
        self.handle_write(&command, validated, reply);
    }

    fn handle_order(&mut self, request: &OrderRequest, reply: Sender<CallReply>) {
        let action =
            OrderAction::LoadModel { model: request.model.clone(), version: String::new() };
        let order = EngineOrder { target: request.target.clone(), action };
        let (operation_id, author) = (request.operation_id.clone(), request.author.clone());
        let command = StateCommand::IssueOrder { order, operation_id, author };
        let validated = self.validate_order(request).map(|()| command.clone());
        self.handle_write(&command, validated, reply);
    }

    fn validate_order(&self, request: &OrderRequest) -> Result<(), CallReply> {
        let target = self.find_target(&request.target).ok_or_else(|| not_found_reply("target"))?;
        let issuer = &self.settings.order_issuer;
        if target.order_issuer != *issuer {
            let message = format!(
                "target {} takes orders from {:?}, not from {issuer:?}",
                target.name, target.order_issuer
            );
            return Err(error_reply(400, ErrorCode::BadRequest, message));
        }
        let mut pools = self.document.pools().iter();
        if !pools.any(|pool| pool.models.contains(&request.model)) {
            let message = format!("no pool lists the model {:?}", request.model);
            return Err(error_reply(400, ErrorCode::BadRequest, message));
        }
        Ok(())
    }

    fn handle_drain(&mut self, request: DrainRequest, reply: Sender<CallReply>) {
        let subject = match request.kind {
            DrainKind::Target => self
                .find_target(&request.name)
                .map(|target| DrainSubject::Target(target.identity())),
            DrainKind::Entry => {
                let found = self.config.entries().find(|(_, entry)| entry.name == request.name);
                found.map(|(node, _)| DrainSubject::Entry {
                    name: request.name.clone(),
                    node: *node,
                })
            }
        };
        let kind = if request.kind == DrainKind::Target { "target" } else { "entry" };
        // Operations are compared by name only, so the placeholder needs no real incarnation or
        // node id.
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
        let validated = subject.map(&build).ok_or_else(|| not_found_reply(kind));
        self.handle_write(&build(placeholder), validated, reply);
    }

    /// Returns the last announcement of the target with this name.
    fn find_target(&self, name: &str) -> Option<&TargetAnnouncement> {
        let registry = self.admission.as_ref()?.registry();
        registry.iter().map(|(_, record)| &record.announcement).find(|known| known.name == name)
    }

    /// Proposes an operator's write, or answers with its earlier result.
    ///
    /// The operation id is looked up first, so that a retry gets the original result even if the
    /// request would be refused now. A refusal waits for a commit and looks the id up again, since
    /// an earlier attempt may have been in flight.
    fn handle_write(
        &mut self,
        requested: &StateCommand,
        validated: Result<StateCommand, CallReply>,
        reply: Sender<CallReply>,
    ) {
        let known = recorded_reply(&self.state, requested);
        match (known, validated) {
            (Some(known), _) => {
                self.reply_after_barrier(reply, move |state| report::command_reply(&known, state));
            }
            (None, Ok(command)) => self.reply_after_commit(command, reply, report::command_reply),
            (None, Err(refused)) => {
                let requested = requested.clone();
                self.reply_after_barrier(reply, move |state| {
                    match recorded_reply(state, &requested) {
                        Some(known) => report::command_reply(&known, state),
                        None => refused,
                    }
                });
            }
        }
    }

    /// Commits a barrier record, which changes no state, and then answers the call.
    fn reply_after_barrier(
        &mut self,
        reply: Sender<CallReply>,
        build: impl FnOnce(&ReplicatedState) -> CallReply + Send + 'static,
    ) {
        self.reply_after_commit(StateCommand::Barrier, reply, move |_, state| build(state));
    }

    /// Proposes a command and answers the call with its result once it is committed.
    fn reply_after_commit(
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
                let _ = reply.send(unconfirmed_reply());
            }
        }
    }
}

/// Returns the reply to an earlier request with the same operation id.
fn recorded_reply(state: &ReplicatedState, requested: &StateCommand) -> Option<CommandReply> {
    let (id, body) = requested.operation()?;
    Some(match state.operation(id, &body)? {
        KnownOperation::Repeated(result) => CommandReply::from_operation(result),
        KnownOperation::Reused => CommandReply::OperationReused,
    })
}

/// Returns a 404 reply for an unknown target or entry.
fn not_found_reply(kind: &str) -> CallReply {
    error_reply(404, ErrorCode::NotFound, format!("no {kind} of this name is known"))
}
