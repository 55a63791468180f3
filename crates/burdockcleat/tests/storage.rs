//! Tests of the storage of a replica.

use burdockcleat::storage::{LogStorage, StorageError};
use burdockcleat_core::replica::{MemberSet, StoredState};

// Guards against two processes that write the same log, and against state lost by a restart.
#[test]
fn keeps_state_and_refuses_a_second_open() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, stored) = LogStorage::open(folder.path()).unwrap();
    assert_eq!(stored, StoredState::default());
    let initial = StoredState::initial(MemberSet::default());
    storage.initialize(&initial).unwrap();
    let second = LogStorage::open(folder.path());
    assert!(matches!(second, Err(StorageError::FolderInUse { .. })));
    let node = storage.node();
    drop(storage);
    let (storage, stored) = LogStorage::open(folder.path()).unwrap();
    assert_eq!((storage.node(), stored), (node, initial));
}
