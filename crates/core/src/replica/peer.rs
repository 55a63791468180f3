//! Replication progress of another member, as tracked by the leader.

use super::entry::{LogPosition, SnapshotImage};
use super::log::{EntryLog, snapshot_position};
use super::message::{AppendRequest, AppendResult, ReplicaMessage, SnapshotPart};
use crate::clock::ClockTime;
use std::collections::VecDeque;

/// Maximum number of unacknowledged appends to a peer: with appends of
/// [`MAX_BATCH_BYTES`](super::MAX_BATCH_BYTES), 4 MiB at most.
const MAX_IN_FLIGHT: usize = 16;

/// How entries are sent to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum PeerMode {
    /// Sends one append at a time, as it is not known up to which entry the logs are equal.
    Probe { waiting: bool },
    /// Sends appends without waiting for replies. `in_flight` has the last index of each
    /// unacknowledged one.
    Pipeline { in_flight: VecDeque<u64> },
    /// Sends a snapshot, as the peer lacks entries that are no longer in the log.
    Snapshot {
        image: SnapshotImage,
        /// Bytes sent so far.
        offset: usize,
        waiting: bool,
        /// Send time of the last query for the number of received bytes.
        query_sent: Option<ClockTime>,
    },
}

/// Replication progress of one peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PeerProgress {
    /// Last entry that the peer is known to have synced.
    pub(super) match_index: u64,
    /// Next entry to send.
    pub(super) next_index: u64,
    pub(super) mode: PeerMode,
    pub(super) heartbeat_due: bool,
    /// Send time of the latest acknowledged message, on the leader's clock.
    pub(super) acknowledged: Option<ClockTime>,
    /// Arrival time of the latest reply.
    pub(super) last_contact: Option<ClockTime>,
}

/// State of the leader that is needed to build a message.
#[derive(Clone, Copy)]
pub(super) struct SendContext {
    pub(super) term: u64,
    pub(super) commit_index: u64,
    pub(super) sent: ClockTime,
    pub(super) batch_bytes: usize,
}

impl PeerProgress {
    pub(super) fn probe(next_index: u64) -> Self {
        Self {
            match_index: 0,
            next_index,
            mode: PeerMode::Probe { waiting: false },
            heartbeat_due: false,
            acknowledged: None,
            last_contact: None,
        }
    }

    /// Records a reply to a message that was sent at `sent`.
    pub(super) fn record_contact(&mut self, now: ClockTime, sent: ClockTime) {
        self.last_contact = Some(now);
        self.acknowledged = self.acknowledged.max(Some(sent));
    }

    /// Resumes after the last acknowledged entry, as messages in flight may be lost with the link.
    pub(super) fn link_lost(&mut self) {
        if let PeerMode::Pipeline { .. } = self.mode {
            self.next_index = self.match_index + 1;
            self.mode = PeerMode::Probe { waiting: true };
        }
    }

    pub(super) fn receive(&mut self, log: &EntryLog, result: AppendResult) {
        match result {
            AppendResult::Matched(index) => self.matched(log, index.min(log.last().index)),
            AppendResult::Conflict { previous, hint } => self.conflict(log, previous, hint),
        }
    }

    fn matched(&mut self, log: &EntryLog, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match &mut self.mode {
            PeerMode::Probe { .. } => {
                self.mode = PeerMode::Pipeline { in_flight: VecDeque::new() };
            }
            PeerMode::Pipeline { in_flight } => {
                while in_flight.pop_front_if(|last| *last <= self.match_index).is_some() {}
            }
            PeerMode::Snapshot { .. } => {
                if self.match_index >= log.base().index {
                    self.mode = PeerMode::Pipeline { in_flight: VecDeque::new() };
                }
            }
        }
    }

    fn conflict(&mut self, log: &EntryLog, previous: u64, hint: LogPosition) {
        let outdated = match &self.mode {
            PeerMode::Probe { .. } => previous + 1 != self.next_index,
            PeerMode::Pipeline { .. } => previous <= self.match_index,
            PeerMode::Snapshot { .. } => true,
        };
        if outdated {
            return;
        }
        let common = log.last_position_within(hint.index, hint.term);
        let base = log.base().index;
        if hint.index < base || (common.index == base && common.term > hint.term) {
            // No entry in the log can match, so `collect_messages` switches to the snapshot.
            self.next_index = base;
        } else {
            self.next_index = (common.index + 1).max(self.match_index + 1);
        }
        self.mode = PeerMode::Probe { waiting: false };
    }

    /// Handles the reply to a snapshot part. Only the reply to a query may move the offset back, as
    /// any other reply below the offset belongs to an earlier part.
    pub(super) fn receive_part_reply(
        &mut self,
        log: &EntryLog,
        sent: ClockTime,
        (index, received): (u64, u64),
    ) {
        let PeerMode::Snapshot { image, offset, waiting, query_sent } = &mut self.mode else {
            return;
        };
        if image.index != index {
            return;
        }
        let total = image.data.len();
        let received = usize::try_from(received).unwrap_or(usize::MAX).min(total);
        if received < *offset && *query_sent != Some(sent) {
            return;
        }
        if received == total && *offset == total {
            self.mode = PeerMode::Probe { waiting: false };
            self.next_index = index + 1;
            self.matched(log, index);
            return;
        }
        *offset = received;
        *waiting = false;
        *query_sent = None;
    }

    /// Adds the messages that can be sent to the peer now to `messages`.
    pub(super) fn collect_messages(
        &mut self,
        log: &EntryLog,
        context: SendContext,
        messages: &mut Vec<ReplicaMessage>,
    ) {
        let heartbeat = std::mem::take(&mut self.heartbeat_due);
        if !matches!(self.mode, PeerMode::Snapshot { .. })
            && log.term_at(self.next_index.saturating_sub(1)).is_none()
            && let Some(image) = &log.snapshot
        {
            let image = image.clone();
            self.mode = PeerMode::Snapshot { image, offset: 0, waiting: false, query_sent: None };
        }
        let collected_before = messages.len();
        match &mut self.mode {
            PeerMode::Probe { waiting } => {
                if !std::mem::replace(waiting, true) {
                    let entries = log.batch(self.next_index, context.batch_bytes);
                    messages.push(append_request(log, context, self.next_index, entries));
                }
            }
            PeerMode::Pipeline { in_flight } => {
                while self.next_index <= log.last().index && in_flight.len() < MAX_IN_FLIGHT {
                    let entries = log.batch(self.next_index, context.batch_bytes);
                    let Some(last) = entries.last().map(|entry| entry.index) else { break };
                    messages.push(append_request(log, context, self.next_index, entries));
                    in_flight.push_back(last);
                    self.next_index = last + 1;
                }
            }
            PeerMode::Snapshot { image, offset, waiting, query_sent } => {
                if !std::mem::replace(waiting, true) {
                    let end = image.data.len().min(*offset + context.batch_bytes);
                    messages.push(snapshot_part(image, context, *offset..end));
                    *offset = end;
                } else if heartbeat {
                    // A part without data asks how much the peer has received.
                    messages.push(snapshot_part(image, context, *offset..*offset));
                    *query_sent = Some(context.sent);
                }
            }
        }
        if heartbeat && messages.len() == collected_before {
            messages.push(append_request(log, context, self.next_index, Vec::new()));
        }
    }
}

pub(super) fn append_request(
    log: &EntryLog,
    context: SendContext,
    next_index: u64,
    entries: Vec<super::LogEntry>,
) -> ReplicaMessage {
    let index = next_index - 1;
    let previous = LogPosition { index, term: log.term_at(index).unwrap_or_default() };
    let SendContext { term, commit_index, sent, .. } = context;
    ReplicaMessage::Append(AppendRequest { term, previous, commit_index, sent, entries })
}

fn snapshot_part(
    image: &SnapshotImage,
    context: SendContext,
    range: std::ops::Range<usize>,
) -> ReplicaMessage {
    ReplicaMessage::Install(SnapshotPart {
        term: context.term,
        sent: context.sent,
        last: snapshot_position(image),
        members: image.members.clone(),
        offset: range.start as u64,
        total: image.data.len() as u64,
        data: image.data[range].to_vec(),
    })
}
