//! Answers that wait for the commit of a record.

use super::event::CallReply;
use crate::operator::{ErrorCode, ErrorReply, LeaderReply};
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::message::ControlMessage;
use burdockcleat_core::replica::LogPosition;
use burdockcleat_core::state::{CommandReply, ReplicatedState};
use std::collections::BTreeMap;
use std::sync::mpsc::Sender;

/// Builds the answer to a call from the reply of the state machine.
type ReplyBuilder = Box<dyn FnOnce(&CommandReply, &ReplicatedState) -> CallReply + Send>;

/// A call that waits.
pub struct PendingCall {
    /// Where the answer goes.
    pub reply: Sender<CallReply>,
    /// How the answer is built.
    pub build: ReplyBuilder,
}

#[derive(Default)]
struct PendingRecord {
    calls: Vec<PendingCall>,
    messages: Vec<(NodeId, ControlMessage)>,
}

/// Answers that wait, by the log position that must be committed first.
#[derive(Default)]
pub struct PendingReplies {
    pending: BTreeMap<u64, (u64, PendingRecord)>,
}

impl PendingReplies {
    /// Holds a call until the record is committed.
    pub fn hold_call(&mut self, position: LogPosition, call: PendingCall) {
        self.pending_record(position).calls.push(call);
    }

    /// Holds messages until the record is committed.
    pub fn hold_messages(
        &mut self,
        position: LogPosition,
        messages: Vec<(NodeId, ControlMessage)>,
    ) {
        self.pending_record(position).messages.extend(messages);
    }

    /// Answers what waits for a record, and returns the messages that may now be sent.
    ///
    /// If the record has another term than the one that was proposed, another leader wrote this
    /// index and the proposals of this instance are lost.
    pub fn committed(
        &mut self,
        position: LogPosition,
        reply: &CommandReply,
        state: &ReplicatedState,
    ) -> Vec<(NodeId, ControlMessage)> {
        let mut messages = Vec::new();
        while let Some(entry) = self.pending.first_entry() {
            if *entry.key() > position.index {
                break;
            }
            let (index, (term, pending_record)) = entry.remove_entry();
            if (LogPosition { index, term }) != position {
                fail_calls(pending_record);
                continue;
            }
            for call in pending_record.calls {
                // A receiver that has given up is gone; its caller asks again.
                let _ = call.reply.send((call.build)(reply, state));
            }
            messages.extend(pending_record.messages);
        }
        messages
    }

    /// Fails everything that waits, because this instance no longer leads.
    pub fn fail_all(&mut self) {
        for (_, pending_record) in std::mem::take(&mut self.pending).into_values() {
            fail_calls(pending_record);
        }
    }

    /// Number of records that answers wait for.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no answer waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    fn pending_record(&mut self, position: LogPosition) -> &mut PendingRecord {
        let new_record = || (position.term, PendingRecord::default());
        &mut self.pending.entry(position.index).or_insert_with(new_record).1
    }
}

fn fail_calls(pending_record: PendingRecord) {
    for call in pending_record.calls {
        let _ = call.reply.send(unconfirmed_reply());
    }
}

/// The decision may still take effect; a resend with the same operation id finds out.
pub fn unconfirmed_reply() -> CallReply {
    error_reply(
        503,
        ErrorCode::Unconfirmed,
        "no majority confirmed the decision in time; resend with the same id",
    )
}

/// This instance leads, but does not know the whole state yet. Nothing was changed.
pub fn rebuilding_reply() -> CallReply {
    error_reply(503, ErrorCode::Unconfirmed, "the new leader still rebuilds its state; send again")
}

/// A reply that carries an error code.
pub fn error_reply(status: u16, error: ErrorCode, message: impl Into<String>) -> CallReply {
    CallReply::json(status, &ErrorReply { error, message: message.into() })
}

/// This instance does not lead.
pub fn not_leader_reply(leader: Option<String>) -> CallReply {
    CallReply::json(421, &LeaderReply { leader })
}
