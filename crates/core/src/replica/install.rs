//! Receipt of a snapshot from the leader, in parts.

use super::entry::{LogPosition, SnapshotImage};
use super::log::snapshot_position;
use super::message::{ReplicaMessage, SnapshotPart};
use super::{LogReplica, MemberSet};
use crate::clock::ClockTime;
use crate::keys::NodeId;

/// A snapshot of which not all parts have been received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PartialSnapshot {
    last: LogPosition,
    members: MemberSet,
    data: Vec<u8>,
}

impl LogReplica {
    pub(super) fn receive_part(&mut self, from: NodeId, part: SnapshotPart) {
        let (sent, index) = (part.sent, part.last.index);
        if part.term < self.vote.term {
            let term = self.vote.term;
            self.send(from, ReplicaMessage::InstallReply { term, sent, index, received: 0 });
            return;
        }
        self.follow(from);
        let received = self.collect_part(part);
        let term = self.vote.term;
        self.send(from, ReplicaMessage::InstallReply { term, sent, index, received });
    }

    /// Adds a part and returns the number of bytes received so far without a gap. Installs the
    /// snapshot after its last part.
    fn collect_part(&mut self, part: SnapshotPart) -> u64 {
        if part.last.index <= self.commit_index {
            self.partial = None;
            return part.total;
        }
        let mut partial =
            self.partial.take().filter(|partial| partial.last == part.last).unwrap_or_else(|| {
                PartialSnapshot { last: part.last, members: part.members, data: Vec::new() }
            });
        if part.offset == partial.data.len() as u64 {
            partial.data.extend_from_slice(&part.data);
        }
        let received = partial.data.len() as u64;
        if received < part.total {
            self.partial = Some(partial);
        } else {
            self.install(partial);
        }
        received
    }

    fn install(&mut self, partial: PartialSnapshot) {
        let image = SnapshotImage {
            index: partial.last.index,
            term: partial.last.term,
            members: partial.members,
            data: partial.data.into(),
        };
        if !self.log.holds(snapshot_position(&image)) {
            // The caller writes the snapshot before it truncates the log, so no acknowledged entry
            // is lost if the process stops in between.
            self.truncate_from(1);
        }
        self.log.install(image.clone());
        self.commit_index = image.index;
        self.applied_index = image.index;
        self.persisted_index = self.persisted_index.max(image.index);
        self.output.committed.clear();
        self.output.restore = true;
        self.output.snapshot = Some(image);
    }

    pub(super) fn receive_part_reply(
        &mut self,
        from: NodeId,
        term: u64,
        sent: ClockTime,
        (index, received): (u64, u64),
    ) {
        let now = self.now;
        if term != self.vote.term {
            return;
        }
        let Some((peer, log)) = self.peer_mut(from) else { return };
        peer.record_contact(now, sent);
        peer.receive_part_reply(log, sent, (index, received));
        self.advance_commit();
    }
}
