//! Storage of a node after incomplete writes, lost files and full restarts.

use burdockcleat_edge::register::{BallotNumber, RegisterValue, ReplicaState};
use burdockcleat_edge::slots::SlotStore;
use std::fs;

fn state(counter: u64) -> ReplicaState {
    let mut state = ReplicaState::default();
    let ballot = BallotNumber { counter, proposer: 1 };
    state.accept(ballot, &RegisterValue { version: counter, ..RegisterValue::default() });
    state
}

/// Guards against losing a saved state in a restart.
#[test]
fn the_newest_saved_state_is_read_back() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, first) = SlotStore::open(folder.path(), 7).unwrap();
    assert_eq!(first, ReplicaState::default());
    for counter in 1..=5 {
        store.save_replica(&state(counter)).unwrap();
    }
    drop(store);
    let (store, found) = SlotStore::open(folder.path(), 8).unwrap();
    assert_eq!(found, state(5));
    assert_eq!(store.disk(), 7, "the disk keeps its number");
}

/// Guards against losing the previous state when a power loss interrupts a write.
#[test]
fn a_torn_write_leaves_the_state_before_it() {
    for cut in [0, 5, 11, 12, 20] {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, _) = SlotStore::open(folder.path(), 7).unwrap();
        store.save_replica(&state(1)).unwrap();
        store.save_replica(&state(2)).unwrap();
        drop(store);
        // The second save went to the first file.
        let path = folder.path().join("register-a");
        let bytes = fs::read(&path).unwrap();
        fs::write(&path, &bytes[..cut]).unwrap();
        let (_, found) = SlotStore::open(folder.path(), 7).unwrap();
        assert_eq!(found, state(1), "cut after {cut} bytes");
    }
}

/// Guards against reading leftover bytes of a longer state that a shorter one has overwritten.
#[test]
fn a_shorter_state_over_a_longer_one_is_intact() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = SlotStore::open(folder.path(), 7).unwrap();
    let mut long = state(1);
    long.accepted.as_mut().unwrap().value.body = std::sync::Arc::new(vec![9; 5_000]);
    store.save_replica(&long).unwrap();
    store.save_replica(&long).unwrap();
    store.save_replica(&state(3)).unwrap();
    drop(store);
    let (_, found) = SlotStore::open(folder.path(), 7).unwrap();
    assert_eq!(found, state(3));
}

/// Guards against a wiped disk that returns with the identifier of its former replica.
#[test]
fn an_empty_folder_gets_a_new_number() {
    let folder = tempfile::tempdir().unwrap();
    let (store, _) = SlotStore::open(folder.path(), 7).unwrap();
    drop(store);
    for entry in fs::read_dir(folder.path()).unwrap() {
        fs::remove_file(entry.unwrap().path()).unwrap();
    }
    let (store, found) = SlotStore::open(folder.path(), 8).unwrap();
    assert_eq!((store.disk(), found), (8, ReplicaState::default()));
}
