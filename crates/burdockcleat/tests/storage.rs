//! Tests of the persistent storage of a replica.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

#[path = "storage/folder.rs"]
mod folder;
#[path = "storage/stage.rs"]
mod stage;

use burdockcleat::storage::{LogStorage, StorageError};
use burdockcleat_core::replica::{MemberRecord, MemberSet, ReplicaOutput, StoredState, VoteRecord};
use folder::{
    FIRST_SEGMENT, copy_folder, entries, entry, first_segment, folder_with_entries, image, open,
    open_error, output_with_vote,
};
use std::fs;
use std::net::SocketAddr;

// Guards against state that is lost by a restart, and against two processes that write the same
// log.
#[test]
fn keeps_state_and_refuses_a_second_open() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, stored) = LogStorage::open(folder.path()).unwrap();
    assert_eq!(stored, StoredState::default());
    let address = SocketAddr::from(([127, 0, 0, 1], 7_001));
    let member = MemberRecord { node: storage.node(), address, domain: "Brest".to_owned() };
    let initial = StoredState::initial(MemberSet::of_voters(vec![member]));
    storage.initialize(&initial).unwrap();
    assert!(matches!(storage.initialize(&initial), Err(StorageError::NotEmpty { .. })));
    assert!(matches!(open_error(folder.path()), StorageError::FolderInUse { .. }));
    let node = storage.node();
    drop(storage);
    let (storage, stored) = open(folder.path());
    assert_eq!((storage.node(), stored), (node, initial));
}

// Guards against a replica that lost its data folder and votes again under its old identity.
#[test]
fn lost_folder_gives_a_new_identity() {
    let parent = tempfile::tempdir().unwrap();
    let folder = parent.path().join("data");
    let node = LogStorage::open(&folder).unwrap().0.node();
    fs::remove_dir_all(&folder).unwrap();
    let (storage, stored) = LogStorage::open(&folder).unwrap();
    assert_ne!(storage.node(), node);
    assert_eq!(stored, StoredState::default());
}

// Guards against starting with a new identity or an empty vote next to an existing log.
#[test]
fn missing_files_next_to_a_log_are_errors() {
    let folder = folder_with_entries(3);
    fs::remove_file(folder.path().join("vote")).unwrap();
    assert!(matches!(open_error(folder.path()), StorageError::VoteMissing { .. }));
    fs::remove_file(folder.path().join("identity")).unwrap();
    assert!(matches!(open_error(folder.path()), StorageError::IdentityMissing { .. }));
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = LogStorage::open(folder.path()).unwrap();
    storage.persist(&output_with_vote(1, &entries(5..=6, 1))).unwrap();
    drop(storage);
    let error = open_error(folder.path());
    assert!(matches!(error, StorageError::EntriesMissing { expected: 1, found: 5, .. }));
}

// Guards against one sync per entry, which would limit the claims per second to the disk's syncs.
#[test]
fn a_batch_is_synced_once() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = LogStorage::open(folder.path()).unwrap();
    storage.persist(&output_with_vote(1, &entries(1..=500, 1))).unwrap();
    storage.persist(&ReplicaOutput::default()).unwrap();
    assert_eq!(storage.sync_count(), 1);
}

// Guards against a crash during a write, after which the start fails or loses acknowledged entries.
#[test]
fn torn_last_record_is_removed_at_every_length() {
    let folder = folder_with_entries(2);
    let intact = first_segment(folder.path());
    let (mut storage, _) = open(folder.path());
    storage.persist(&output_with_vote(2, &entries(3..=4, 2))).unwrap();
    drop(storage);
    let longer = first_segment(folder.path());
    for length in intact.len()..longer.len() {
        fs::write(folder.path().join(FIRST_SEGMENT), &longer[..length]).unwrap();
        let (mut storage, stored) = open(folder.path());
        assert_eq!(stored.entries, entries(1..=2, 1), "cut at {length}");
        assert_eq!(first_segment(folder.path()), intact);
        storage.persist(&output_with_vote(2, &entries(3..=3, 2))).unwrap();
        drop(storage);
        assert_eq!(open(folder.path()).1.entries.len(), 3);
    }
    // After a crash, file systems may leave zeros in place of the data.
    let mut zeros = intact.clone();
    zeros.resize(longer.len(), 0);
    fs::write(folder.path().join(FIRST_SEGMENT), &zeros).unwrap();
    assert_eq!(open(folder.path()).1.entries.len(), 2);
}

// Guards against silently dropping acknowledged entries when any byte of an earlier record is
// damaged.
#[test]
fn corrupt_record_in_the_middle_names_file_and_offset() {
    let folder = folder_with_entries(3);
    let intact = first_segment(folder.path());
    let record = intact.len() / 3;
    for at in record..2 * record {
        let mut damaged = intact.clone();
        damaged[at] ^= 0x40;
        fs::write(folder.path().join(FIRST_SEGMENT), &damaged).unwrap();
        let StorageError::Corrupt { file, offset } = open_error(folder.path()) else {
            panic!("damage at {at} is not reported as corrupt");
        };
        assert_eq!((file, offset), (folder.path().join(FIRST_SEGMENT), record as u64));
    }
    fs::write(folder.path().join(FIRST_SEGMENT), &intact).unwrap();
    assert_eq!(open(folder.path()).1.entries.len(), 3);
}

// Guards against treating a damaged vote, snapshot or identity as missing or as valid.
#[test]
fn corrupt_vote_and_snapshot_are_errors() {
    for name in ["vote", "snapshot", "identity"] {
        let folder = folder_with_entries(3);
        let (mut storage, _) = open(folder.path());
        let snapshot = Some(image(2, 1));
        storage.persist(&ReplicaOutput { snapshot, ..ReplicaOutput::default() }).unwrap();
        drop(storage);
        let path = folder.path().join(name);
        let mut bytes = fs::read(&path).unwrap();
        let last = bytes.len() - 1;
        bytes[last] ^= 1;
        fs::write(&path, &bytes).unwrap();
        let error = open_error(folder.path());
        assert!(matches!(&error, StorageError::Corrupt { file, offset: 0 } if *file == path));
    }
}

// Guards against a crash during the replacement of a file that loses the old file or activates a
// partly written new one.
#[test]
fn crash_before_the_rename_keeps_the_old_file() {
    let folder = folder_with_entries(2);
    let (mut storage, _) = open(folder.path());
    let old = fs::read(folder.path().join("vote")).unwrap();
    storage.persist(&output_with_vote(9, &[])).unwrap();
    drop(storage);
    let new = fs::read(folder.path().join("vote")).unwrap();
    for length in 0..=new.len() {
        fs::write(folder.path().join("vote"), &old).unwrap();
        fs::write(folder.path().join("vote.new"), &new[..length]).unwrap();
        let (storage, stored) = open(folder.path());
        assert_eq!(stored.vote, VoteRecord { term: 1, voted_for: None });
        assert!(!folder.path().join("vote.new").exists());
        drop(storage);
    }
}

// Guards against an invalid state if a crash comes after a received snapshot is renamed and before
// the log is truncated.
#[test]
fn crash_between_snapshot_and_log_keeps_a_valid_state() {
    let before = folder_with_entries(4);
    let after = copy_folder(before.path());
    let (mut storage, _) = open(after.path());
    // A snapshot from the leader that is ahead of the log replaces all entries.
    let installed = ReplicaOutput {
        snapshot: Some(image(9, 3)),
        restore: true,
        truncate_from: Some(1),
        append: vec![entry(10, 3)],
        ..ReplicaOutput::default()
    };
    storage.persist(&installed).unwrap();
    drop(storage);
    let (storage, stored) = open(after.path());
    assert_eq!((stored.snapshot, stored.entries), (Some(image(9, 3)), vec![entry(10, 3)]));
    drop(storage);
    fs::copy(after.path().join("snapshot"), before.path().join("snapshot")).unwrap();
    for _ in 0..2 {
        let (storage, stored) = open(before.path());
        assert_eq!((stored.snapshot, stored.entries), (Some(image(9, 3)), Vec::new()));
        drop(storage);
    }
}

// Guards against truncated entries that reappear after a restart.
#[test]
fn truncated_entries_stay_removed() {
    let folder = folder_with_entries(5);
    let (mut storage, _) = open(folder.path());
    let truncate_from = Some(3);
    let output =
        ReplicaOutput { truncate_from, append: vec![entry(3, 2)], ..output_with_vote(2, &[]) };
    storage.persist(&output).unwrap();
    drop(storage);
    let mut expected = entries(1..=2, 1);
    expected.push(entry(3, 2));
    assert_eq!(open(folder.path()).1.entries, expected);
}

// Guards against a log that grows without bound, and against losing entries when segments are
// removed.
#[test]
fn old_segments_are_removed_and_a_restart_continues() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = LogStorage::open(folder.path()).unwrap();
    for index in 1..=12 {
        let mut large = entry(index, 1);
        large.payload = burdockcleat_core::replica::EntryPayload::Command(vec![1; 2 << 20]);
        storage.persist(&output_with_vote(1, &[large])).unwrap();
    }
    let full = storage.log_bytes();
    let snapshot = Some(image(10, 1));
    storage.persist(&ReplicaOutput { snapshot, ..ReplicaOutput::default() }).unwrap();
    assert!(storage.log_bytes() < full / 2);
    drop(storage);
    let (mut storage, stored) = open(folder.path());
    assert_eq!(stored.snapshot, Some(image(10, 1)));
    let indexes: Vec<u64> = stored.entries.iter().map(|entry| entry.index).collect();
    assert_eq!(indexes, [9, 10, 11, 12]);
    storage.persist(&output_with_vote(1, &entries(13..=13, 1))).unwrap();
    drop(storage);
    assert_eq!(open(folder.path()).1.entries.len(), 5);
}

// Guards against accepting writes after a failed one, which would append a record behind a partly
// written one or let messages be sent for state that is not stored.
#[test]
fn nothing_is_written_after_a_failed_write() {
    let folder = folder_with_entries(2);
    let (mut storage, _) = open(folder.path());
    fs::create_dir(folder.path().join("vote.new")).unwrap();
    let failed = storage.persist(&output_with_vote(5, &[])).unwrap_err();
    assert!(matches!(&failed, StorageError::Io { .. }));
    assert!(failed.to_string().starts_with("creating "), "{failed}");
    fs::remove_dir(folder.path().join("vote.new")).unwrap();
    let refused = storage.persist(&output_with_vote(5, &entries(3..=3, 5)));
    assert!(matches!(refused, Err(StorageError::EarlierWriteFailed { .. })));
}
