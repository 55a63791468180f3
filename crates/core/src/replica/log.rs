//! The in-memory log: the entries after a base position, the latest snapshot and the memberships.

use super::entry::{EntryPayload, LogEntry, LogPosition, SnapshotImage};
use super::members::MemberSet;
use std::collections::VecDeque;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct EntryLog {
    /// Position of the entry directly before the first one in `entries`.
    base: LogPosition,
    entries: VecDeque<LogEntry>,
    pub(super) snapshot: Option<SnapshotImage>,
    /// Memberships with the index of their entry: the one in effect at the snapshot, then those of
    /// the entries.
    membership_history: Vec<(u64, MemberSet)>,
}

impl EntryLog {
    pub(super) fn open(snapshot: Option<SnapshotImage>, entries: Vec<LogEntry>) -> Self {
        let snapshot_last = snapshot.as_ref().map_or_else(LogPosition::default, snapshot_position);
        let mut base = snapshot_last;
        if entries.first().is_some_and(|entry| entry.index <= snapshot_last.index) {
            // The term of the entry before the first one is unknown, so the first one becomes the
            // base.
            base = LogPosition { index: entries[0].index, term: entries[0].term };
        }
        let mut log =
            Self { base, entries: VecDeque::new(), snapshot, membership_history: Vec::new() };
        if let Some(image) = &log.snapshot {
            log.membership_history.push((image.index, image.members.clone()));
        }
        for entry in entries {
            if entry.index > base.index {
                log.push(entry);
            }
        }
        log
    }

    pub(super) fn last(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.base, |entry| LogPosition { index: entry.index, term: entry.term })
    }

    pub(super) fn base(&self) -> LogPosition {
        self.base
    }

    pub(super) fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |image| image.index)
    }

    /// Returns the place of an index in `entries`, which may be past their end.
    fn offset(&self, index: u64) -> Option<usize> {
        usize::try_from(index.checked_sub(self.base.index + 1)?).ok()
    }

    pub(super) fn get(&self, index: u64) -> Option<&LogEntry> {
        self.entries.get(self.offset(index)?)
    }

    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(super) fn holds(&self, position: LogPosition) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    pub(super) fn push(&mut self, entry: LogEntry) {
        if let EntryPayload::Members(members) = &entry.payload
            && self.membership_history.last().is_none_or(|(index, _)| *index < entry.index)
        {
            self.membership_history.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    pub(super) fn truncate_from(&mut self, index: u64) {
        let Some(keep) = self.offset(index) else { return };
        self.entries.truncate(keep);
        self.membership_history.retain(|(at, _)| *at < index);
    }

    /// Returns the entries from `index` on, up to `limit` bytes. The first one is included even if
    /// it is larger.
    pub(super) fn batch(&self, index: u64, limit: usize) -> Vec<LogEntry> {
        let Some(start) = self.offset(index) else { return Vec::new() };
        let mut size = 0;
        let mut batch = Vec::new();
        for entry in self.entries.iter().skip(start) {
            size += entry.payload.size();
            if !batch.is_empty() && size > limit {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Returns the last position at or before `index` whose term is at most `term`, or the base.
    pub(super) fn last_position_within(&self, index: u64, term: u64) -> LogPosition {
        let mut at = index.min(self.last().index);
        while at > self.base.index && self.term_at(at).is_some_and(|held| held > term) {
            at -= 1;
        }
        let at = at.max(self.base.index);
        LogPosition { index: at, term: self.term_at(at).unwrap_or_default() }
    }

    /// Returns the membership in effect when everything up to `commit_index` is known to be
    /// committed.
    ///
    /// A membership entry is appended only after the previous one is committed. So every membership
    /// in the log except the last one is committed, even if `commit_index` is lower after a
    /// restart.
    pub(super) fn members(&self, commit_index: u64) -> Option<&MemberSet> {
        let committed =
            self.membership_history.iter().rposition(|(index, _)| *index <= commit_index);
        let before_last = self.membership_history.len().saturating_sub(2);
        self.membership_history
            .get(committed.unwrap_or(0).max(before_last))
            .map(|(_, members)| members)
    }

    /// Returns the last membership at or before an index, for a snapshot.
    pub(super) fn members_at(&self, index: u64) -> Option<&MemberSet> {
        self.membership_history
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map(|(_, members)| members)
    }

    /// Returns the last membership if a replica could not tell after a restart that it is
    /// committed.
    pub(super) fn unsettled_members(&self) -> Option<&MemberSet> {
        let [.., (_, before), (_, last)] = &self.membership_history[..] else { return None };
        (before != last).then_some(last)
    }

    /// Returns the index of the last membership entry.
    pub(super) fn last_membership_index(&self) -> u64 {
        self.membership_history.last().map_or(0, |(index, _)| *index)
    }

    /// Replaces the snapshot and removes the entries that it contains, except for the last `keep`.
    pub(super) fn compact(&mut self, image: SnapshotImage, keep: u64) {
        let base = image.index.saturating_sub(keep).max(self.base.index);
        while let Some(entry) = self.entries.pop_front_if(|entry| entry.index <= base) {
            self.base = LogPosition { index: entry.index, term: entry.term };
        }
        self.compact_membership_history(&image);
        self.snapshot = Some(image);
    }

    /// Replaces the log by a snapshot from the leader. Keeps the entries after the snapshot if the
    /// log contains the snapshot's last entry.
    pub(super) fn install(&mut self, image: SnapshotImage) {
        let last = snapshot_position(&image);
        if self.holds(last) {
            self.compact(image, 0);
            return;
        }
        self.entries.clear();
        self.base = last;
        self.membership_history = vec![(image.index, image.members.clone())];
        self.snapshot = Some(image);
    }

    /// Replaces the memberships up to the snapshot by the one in the snapshot.
    fn compact_membership_history(&mut self, image: &SnapshotImage) {
        self.membership_history.retain(|(index, _)| *index > image.index);
        self.membership_history.insert(0, (image.index, image.members.clone()));
    }
}

pub(super) fn snapshot_position(image: &SnapshotImage) -> LogPosition {
    LogPosition { index: image.index, term: image.term }
}
