//! What a leader knows of one other member, and what it sends next.

use super::entry::{LogPosition, SnapshotImage};
use super::log::{EntryLog, position_of};
use super::message::{AppendRequest, AppendResult, ReplicaMessage, SnapshotPart};
use crate::clock::ClockTime;
use std::collections::VecDeque;

/// Appends with entries that may be unacknowledged at a time, 4 MiB at most.
const MAX_IN_FLIGHT: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum PeerMode {
    /// The common position is not known; one append at a time.
    Probe { waiting: bool },
    /// Appends follow each other without waiting. Holds the last index of each one in flight.
    Pipeline { in_flight: VecDeque<u64> },
    /// The peer lacks entries that are no longer in the log.
    Snapshot {
        image: SnapshotImage,
        /// Bytes sent so far.
        offset: usize,
        waiting: bool,
        /// Send time of the last question how much has arrived.
        asked: Option<ClockTime>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PeerProgress {
    pub(super) match_index: u64,
    pub(super) next_index: u64,
    pub(super) mode: PeerMode,
    pub(super) heartbeat_due: bool,
    /// Send time of the newest acknowledged message, on the leader's clock.
    pub(super) acknowledged: Option<ClockTime>,
    /// Arrival of the newest reply.
    pub(super) last_contact: Option<ClockTime>,
}

/// Fields of the leader that each message carries.
#[derive(Clone, Copy)]
pub(super) struct LeaderMark {
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

    pub(super) fn contact(&mut self, now: ClockTime, sent: ClockTime) {
        self.last_contact = Some(now);
        self.acknowledged = self.acknowledged.max(Some(sent));
    }

    /// Restarts from the last acknowledged entry after the link was lost.
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
        let common = log.position_below(hint.index, hint.term);
        let base = log.base().index;
        if hint.index < base || (common.index == base && common.term > hint.term) {
            // Nothing in the log can match; `plan` then chooses the snapshot.
            self.next_index = base;
        } else {
            self.next_index = (common.index + 1).max(self.match_index + 1);
        }
        self.mode = PeerMode::Probe { waiting: false };
    }

    /// Takes the answer to a part. Only the answer to a question may move the offset back, as any
    /// other answer below the offset belongs to an earlier part.
    pub(super) fn received_part(
        &mut self,
        log: &EntryLog,
        sent: ClockTime,
        (index, received): (u64, u64),
    ) {
        let PeerMode::Snapshot { image, offset, waiting, asked } = &mut self.mode else { return };
        if image.index != index {
            return;
        }
        let total = image.data.len();
        let received = usize::try_from(received).unwrap_or(usize::MAX).min(total);
        if received < *offset && *asked != Some(sent) {
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
        *asked = None;
    }

    /// Appends to `messages` what can be sent now.
    pub(super) fn plan(
        &mut self,
        log: &EntryLog,
        mark: LeaderMark,
        messages: &mut Vec<ReplicaMessage>,
    ) {
        let heartbeat = std::mem::take(&mut self.heartbeat_due);
        if !matches!(self.mode, PeerMode::Snapshot { .. })
            && log.term_at(self.next_index.saturating_sub(1)).is_none()
            && let Some(image) = &log.snapshot
        {
            let image = image.clone();
            self.mode = PeerMode::Snapshot { image, offset: 0, waiting: false, asked: None };
        }
        let planned = messages.len();
        match &mut self.mode {
            PeerMode::Probe { waiting } => {
                if !std::mem::replace(waiting, true) {
                    let entries = log.batch(self.next_index, mark.batch_bytes);
                    messages.push(append_of(log, mark, self.next_index, entries));
                }
            }
            PeerMode::Pipeline { in_flight } => {
                while self.next_index <= log.last().index && in_flight.len() < MAX_IN_FLIGHT {
                    let entries = log.batch(self.next_index, mark.batch_bytes);
                    let Some(last) = entries.last().map(|entry| entry.index) else { break };
                    messages.push(append_of(log, mark, self.next_index, entries));
                    in_flight.push_back(last);
                    self.next_index = last + 1;
                }
            }
            PeerMode::Snapshot { image, offset, waiting, asked } => {
                if !std::mem::replace(waiting, true) {
                    let end = image.data.len().min(*offset + mark.batch_bytes);
                    messages.push(part_of(image, mark, *offset..end));
                    *offset = end;
                } else if heartbeat {
                    // A part without data asks how much has arrived.
                    messages.push(part_of(image, mark, *offset..*offset));
                    *asked = Some(mark.sent);
                }
            }
        }
        if heartbeat && messages.len() == planned {
            messages.push(append_of(log, mark, self.next_index, Vec::new()));
        }
    }
}

pub(super) fn append_of(
    log: &EntryLog,
    mark: LeaderMark,
    next_index: u64,
    entries: Vec<super::LogEntry>,
) -> ReplicaMessage {
    let index = next_index - 1;
    let previous = LogPosition { index, term: log.term_at(index).unwrap_or_default() };
    let LeaderMark { term, commit_index, sent, .. } = mark;
    ReplicaMessage::Append(AppendRequest { term, previous, commit_index, sent, entries })
}

fn part_of(
    image: &SnapshotImage,
    mark: LeaderMark,
    range: std::ops::Range<usize>,
) -> ReplicaMessage {
    ReplicaMessage::Install(SnapshotPart {
        term: mark.term,
        sent: mark.sent,
        last: position_of(image),
        members: image.members.clone(),
        offset: range.start as u64,
        total: image.data.len() as u64,
        data: image.data[range].to_vec(),
    })
}
