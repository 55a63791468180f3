//! Tests of staged snapshots, which are written on another thread.

use super::folder::{
    copy_folder, entries, entry, folder_with_entries, image, open, output_with_vote,
};
use burdockcleat::storage::LogStorage;
use burdockcleat_core::replica::{EntryPayload, ReplicaOutput, SnapshotImage};
use std::collections::BTreeSet;
use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use tempfile::TempDir;

const STAGED_FILE: &str = "snapshot.staged";
/// Index of the last entry in each folder.
const LAST_INDEX: u64 = 10;
/// Index of the staged snapshots, which lies in the last of three segments.
const SNAPSHOT_INDEX: u64 = 9;

/// Creates a data folder with entries of 2 MiB each, in several segments.
fn folder_with_segments() -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = LogStorage::open(folder.path()).unwrap();
    for index in 1..=LAST_INDEX {
        let mut large = entry(index, 1);
        large.payload = EntryPayload::Command(vec![1; 2 << 20]);
        storage.persist(&output_with_vote(1, &[large])).unwrap();
    }
    folder
}

fn with_snapshot(image: SnapshotImage) -> ReplicaOutput {
    ReplicaOutput { snapshot: Some(image), ..ReplicaOutput::default() }
}

fn segment_names(folder: &Path) -> BTreeSet<String> {
    let names = fs::read_dir(folder).unwrap();
    let names = names.map(|item| item.unwrap().file_name().into_string().unwrap());
    names.filter(|name| name.starts_with("log-")).collect()
}

/// Opens a folder after a crash. It must contain all entries up to the last one, or the snapshot
/// and all entries after it, and must accept new entries.
fn assert_recovers(folder: &Path, snapshot: Option<&SnapshotImage>) {
    let (mut storage, stored) = open(folder);
    assert_eq!(stored.snapshot.as_ref(), snapshot);
    assert!(!folder.join(STAGED_FILE).exists());
    let indexes: Vec<u64> = stored.entries.iter().map(|entry| entry.index).collect();
    let first = indexes[0];
    assert!(first <= snapshot.map_or(0, |image| image.index) + 1);
    assert_eq!(indexes, (first..=LAST_INDEX).collect::<Vec<_>>());
    storage.persist(&output_with_vote(1, &entries(LAST_INDEX + 1..=LAST_INDEX + 1, 1))).unwrap();
    drop(storage);
    assert_eq!(open(folder).1.entries.last(), Some(&entry(LAST_INDEX + 1, 1)));
}

// Guards against a crash between any two steps of a staged snapshot after which entries are lost, a
// partly written snapshot is used, or the folder cannot be opened.
#[test]
fn crash_between_any_two_steps_keeps_a_valid_state() {
    let before = folder_with_segments();
    let image = image(SNAPSHOT_INDEX, 1);
    let after = copy_folder(before.path());
    let (mut storage, _) = open(after.path());
    let staged = storage.stager().write(&image).unwrap();
    let intact = fs::read(after.path().join(STAGED_FILE)).unwrap();
    // Crash while the file is written, and when it is complete but not active.
    for length in [0, intact.len() / 2, intact.len()] {
        let crashed = copy_folder(before.path());
        fs::write(crashed.path().join(STAGED_FILE), &intact[..length]).unwrap();
        assert_recovers(crashed.path(), None);
    }
    storage.keep_staged(staged);
    storage.persist(&with_snapshot(image.clone())).unwrap();
    drop(storage);
    // Crash after the rename, and after the removal of each segment, oldest first.
    let kept = segment_names(after.path());
    let removed: Vec<String> = segment_names(before.path()).difference(&kept).cloned().collect();
    assert!(removed.len() >= 2, "the snapshot replaces too few segments: {removed:?}");
    for count in 0..=removed.len() {
        let crashed = copy_folder(before.path());
        fs::write(crashed.path().join("snapshot"), &intact).unwrap();
        for name in &removed[..count] {
            fs::remove_file(crashed.path().join(name)).unwrap();
        }
        assert_recovers(crashed.path(), Some(&image));
    }
    assert_recovers(after.path(), Some(&image));
}

// Guards against writing the whole snapshot again, on the thread that owns the storage, when it is
// activated.
#[test]
fn activation_renames_the_staged_file() {
    let folder = folder_with_entries(LAST_INDEX);
    let (mut storage, _) = open(folder.path());
    let staged = storage.stager().write(&image(SNAPSHOT_INDEX, 1)).unwrap();
    let inode = fs::metadata(folder.path().join(STAGED_FILE)).unwrap().ino();
    storage.keep_staged(staged);
    storage.persist(&with_snapshot(image(SNAPSHOT_INDEX, 1))).unwrap();
    assert_eq!(fs::metadata(folder.path().join("snapshot")).unwrap().ino(), inode);
}

// Guards against a staged snapshot that replaces a newer one received from the leader.
#[test]
fn installed_snapshot_wins_over_a_staged_one() {
    let folder = folder_with_entries(LAST_INDEX);
    let (mut storage, _) = open(folder.path());
    let staged = storage.stager().write(&image(SNAPSHOT_INDEX, 1)).unwrap();
    storage.keep_staged(staged);
    let installed =
        ReplicaOutput { restore: true, truncate_from: Some(1), ..with_snapshot(image(30, 2)) };
    storage.persist(&installed).unwrap();
    drop(storage);
    let (storage, stored) = open(folder.path());
    assert_eq!((stored.snapshot, stored.entries), (Some(image(30, 2)), Vec::new()));
    drop(storage);
}

// Guards against a second process that opens the folder while a snapshot is still being written.
#[test]
fn folder_stays_locked_while_a_snapshot_is_written() {
    let folder = folder_with_entries(LAST_INDEX);
    let (storage, _) = open(folder.path());
    let stager = storage.stager();
    drop(storage);
    assert!(LogStorage::open(folder.path()).is_err());
    stager.write(&image(SNAPSHOT_INDEX, 1)).unwrap();
    drop(stager);
    assert_recovers(folder.path(), None);
}
