//! The log in memory: entries after a base position, the newest snapshot and the history of
//! memberships.

use super::entry::{EntryPayload, LogEntry, LogPosition, SnapshotImage};
use super::members::MemberSet;
use std::collections::VecDeque;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct EntryLog {
    /// Position before the first held entry.
    base: LogPosition,
    entries: VecDeque<LogEntry>,
    pub(super) snapshot: Option<SnapshotImage>,
    /// Memberships by index: the one in effect at the base, then those of the held entries.
    history: Vec<(u64, MemberSet)>,
}

impl EntryLog {
    pub(super) fn open(snapshot: Option<SnapshotImage>, entries: Vec<LogEntry>) -> Self {
        let snapshot_last = snapshot.as_ref().map_or_else(LogPosition::default, position_of);
        let mut base = snapshot_last;
        if entries.first().is_some_and(|entry| entry.index <= snapshot_last.index) {
            // Entries before the snapshot start at an unknown term; the first one becomes the base.
            base = LogPosition { index: entries[0].index, term: entries[0].term };
        }
        let mut log = Self { base, entries: VecDeque::new(), snapshot, history: Vec::new() };
        if let Some(image) = &log.snapshot {
            log.history.push((image.index, image.members.clone()));
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
            && self.history.last().is_none_or(|(index, _)| *index < entry.index)
        {
            self.history.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    pub(super) fn truncate_from(&mut self, index: u64) {
        let Some(keep) = self.offset(index) else { return };
        self.entries.truncate(keep);
        self.history.retain(|(at, _)| *at < index);
    }

    /// Entries from `index` up to `limit` bytes; the first one is included whatever its size.
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

    /// Newest position at or before `index` whose term is at most `term`.
    pub(super) fn position_below(&self, index: u64, term: u64) -> LogPosition {
        let mut at = index.min(self.last().index);
        while at > self.base.index && self.term_at(at).is_some_and(|held| held > term) {
            at -= 1;
        }
        let at = at.max(self.base.index);
        LogPosition { index: at, term: self.term_at(at).unwrap_or_default() }
    }

    /// Membership in effect when everything up to `commit_index` is known to be committed.
    ///
    /// A membership entry is only appended after the one before is committed. So each membership
    /// but the last one in the log is committed, even if `commit_index` is lower after a restart.
    pub(super) fn members(&self, commit_index: u64) -> Option<&MemberSet> {
        let committed = self.history.iter().rposition(|(index, _)| *index <= commit_index);
        let before_last = self.history.len().saturating_sub(2);
        self.history.get(committed.unwrap_or(0).max(before_last)).map(|(_, members)| members)
    }

    /// Membership at an index, for a snapshot.
    pub(super) fn members_at(&self, index: u64) -> Option<&MemberSet> {
        self.history.iter().rev().find(|(at, _)| *at <= index).map(|(_, members)| members)
    }

    /// The last membership, if a replica that restarts could not tell that it is committed.
    pub(super) fn unsealed_members(&self) -> Option<&MemberSet> {
        let [.., (_, before), (_, last)] = &self.history[..] else { return None };
        (before != last).then_some(last)
    }

    /// Index of the last membership entry.
    pub(super) fn last_change(&self) -> u64 {
        self.history.last().map_or(0, |(index, _)| *index)
    }

    /// Replaces the snapshot and drops all but `keep` of the entries that it contains.
    pub(super) fn compact(&mut self, image: SnapshotImage, keep: u64) {
        let base = image.index.saturating_sub(keep).max(self.base.index);
        while let Some(entry) = self.entries.pop_front_if(|entry| entry.index <= base) {
            self.base = LogPosition { index: entry.index, term: entry.term };
        }
        self.keep_history(&image);
        self.snapshot = Some(image);
    }

    /// Replaces the log by an installed snapshot. Entries that continue it are kept.
    pub(super) fn install(&mut self, image: SnapshotImage) {
        let last = position_of(&image);
        if self.holds(last) {
            self.compact(image, 0);
            return;
        }
        self.entries.clear();
        self.base = last;
        self.history = vec![(image.index, image.members.clone())];
        self.snapshot = Some(image);
    }

    fn keep_history(&mut self, image: &SnapshotImage) {
        self.history.retain(|(index, _)| *index > image.index);
        self.history.insert(0, (image.index, image.members.clone()));
    }
}

pub(super) fn position_of(image: &SnapshotImage) -> LogPosition {
    LogPosition { index: image.index, term: image.term }
}
