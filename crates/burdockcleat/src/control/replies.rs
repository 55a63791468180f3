//! Replies and messages that are held back until a log record is committed.

use super::event::CallReply;
use crate::operator::{ErrorCode, ErrorReply, LeaderReply};
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::message::ControlMessage;
use burdockcleat_core::replica::LogPosition;
use burdockcleat_core::state::{CommandReply, ReplicatedState};
use std::collections::BTreeMap;
use std::sync::mpsc::Sender;

/// Builds the reply to an API call from the result of the committed command.
type ReplyBuilder = Box<dyn FnOnce(&CommandReply, &ReplicatedState) -> CallReply + Send>;

/// An API call whose reply waits for a commit.
pub struct PendingCall {
    /// Channel on which the HTTP thread waits for the reply.
    pub reply: Sender<CallReply>,
    /// Builds the reply after the commit.
    pub build: ReplyBuilder,
}

/// Calls and messages that wait for the same record.
#[derive(Default)]
struct PendingRecord {
    calls: Vec<PendingCall>,
    messages: Vec<(NodeId, ControlMessage)>,
}

/// Calls and messages that wait for the commit of a log record.
#[derive(Default)]
pub struct PendingReplies {
    /// Term in which a record was proposed and what waits for it, by log index.
    pending: BTreeMap<u64, (u64, PendingRecord)>,
}

impl PendingReplies {
    /// Holds the reply to a call until the record at `position` is committed.
    pub fn hold_call(&mut self, position: LogPosition, call: PendingCall) {
        self.pending_record(position).calls.push(call);
    }

    /// Holds messages until the record at `position` is committed.
    pub fn hold_messages(
        &mut self,
        position: LogPosition,
        messages: Vec<(NodeId, ControlMessage)>,
    ) {
        self.pending_record(position).messages.extend(messages);
    }

    /// Answers the calls that wait for a committed record, and returns the messages that may now be
    /// sent.
    ///
    /// If the committed record has another term than the proposed one, another leader wrote this
    /// index. The proposal of this instance is then lost, and its calls get an unconfirmed reply.
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
                // Sending fails if the HTTP thread has stopped waiting after its timeout.
                let _ = call.reply.send((call.build)(reply, state));
            }
            messages.extend(pending_record.messages);
        }
        messages
    }

    /// Answers all pending calls as unconfirmed and drops all pending messages, because this
    /// instance no longer leads.
    pub fn fail_all(&mut self) {
        for (_, pending_record) in std::mem::take(&mut self.pending).into_values() {
            fail_calls(pending_record);
        }
    }

    /// Returns the number of records that calls or messages wait for.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no call or message waits.
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

/// Returns the reply for a write whose outcome is unknown.
///
/// The write may still take effect. A retry with the same operation id returns its result.
pub fn unconfirmed_reply() -> CallReply {
    error_reply(
        503,
        ErrorCode::Unconfirmed,
        "no majority confirmed the decision in time; resend with the same id",
    )
}

/// Returns the reply of a new leader that does not know the whole state yet. Nothing was changed.
pub fn rebuilding_reply() -> CallReply {
    error_reply(503, ErrorCode::Unconfirmed, "the new leader still rebuilds its state; send again")
}

/// Returns a reply with an error code and a message.
pub fn error_reply(status: u16, error: ErrorCode, message: impl Into<String>) -> CallReply {
    CallReply::json(status, &ErrorReply { error, message: message.into() })
}

/// Returns the reply of an instance that does not lead, with the URL of the leader if known.
pub fn not_leader_reply(leader: Option<String>) -> CallReply {
    CallReply::json(421, &LeaderReply { leader })
}
