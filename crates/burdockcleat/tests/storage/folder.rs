//! Data folders, entries and outputs for the storage tests.

use burdockcleat::storage::{LogStorage, StorageError};
use burdockcleat_core::replica::{
    EntryPayload, LogEntry, MemberSet, ReplicaOutput, SnapshotImage, StoredState, VoteRecord,
};
use std::fs;
use std::ops::RangeInclusive;
use std::path::Path;
use tempfile::TempDir;

/// File name of the first log segment.
pub const FIRST_SEGMENT: &str = "log-0000000001";

pub fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry { index, term, payload: EntryPayload::Command(b"command".to_vec()) }
}

pub fn entries(indexes: RangeInclusive<u64>, term: u64) -> Vec<LogEntry> {
    indexes.map(|index| entry(index, term)).collect()
}

pub fn image(index: u64, term: u64) -> SnapshotImage {
    SnapshotImage { index, term, members: MemberSet::default(), data: vec![7; 100].into() }
}

/// Builds an output with a vote in `term` and the given entries.
pub fn output_with_vote(term: u64, append: &[LogEntry]) -> ReplicaOutput {
    let vote = Some(VoteRecord { term, voted_for: None });
    ReplicaOutput { vote, append: append.to_vec(), ..ReplicaOutput::default() }
}

/// Creates a data folder with entries of term 1, each in its own record.
pub fn folder_with_entries(count: u64) -> TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (mut storage, _) = LogStorage::open(folder.path()).expect("the folder opens");
    for index in 1..=count {
        storage.persist(&output_with_vote(1, &[entry(index, 1)])).expect("the entry is written");
    }
    folder
}

pub fn copy_folder(folder: &Path) -> TempDir {
    let copy = tempfile::tempdir().expect("a temporary folder");
    for item in fs::read_dir(folder).expect("the folder can be listed") {
        let item = item.expect("the folder can be listed");
        fs::copy(item.path(), copy.path().join(item.file_name())).expect("the file can be copied");
    }
    copy
}

pub fn first_segment(folder: &Path) -> Vec<u8> {
    fs::read(folder.join(FIRST_SEGMENT)).expect("the segment exists")
}

pub fn open(folder: &Path) -> (LogStorage, StoredState) {
    LogStorage::open(folder).expect("the folder opens")
}

pub fn open_error(folder: &Path) -> StorageError {
    LogStorage::open(folder).map(|(_, stored)| stored).expect_err("the open must fail")
}
