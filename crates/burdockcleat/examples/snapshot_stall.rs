//! Benchmark of the time for which a snapshot blocks the thread that owns the storage.
//!
//! Compares a snapshot that the owner writes with one that another thread has staged. Run with
//! `cargo run --release -p burdockcleat --example snapshot_stall`. The image has the size of
//! 1,000,000 claims. The storage is in a temporary folder within the current one.

use burdockcleat::storage::LogStorage;
use burdockcleat_core::replica::{
    EntryPayload, LogEntry, MemberSet, ReplicaOutput, SnapshotImage, VoteRecord,
};
use std::time::Instant;

const IMAGE_BYTES: usize = 36 << 20;
const ROUNDS: u64 = 5;

fn main() {
    let folder = tempfile::tempdir_in(".").expect("a temporary folder");
    let (mut storage, _) = LogStorage::open(folder.path()).expect("the folder opens");
    let data: Vec<u8> = (0..IMAGE_BYTES).map(|at| (at * 31 % 251) as u8).collect();
    let image = |index| SnapshotImage {
        index,
        term: 1,
        members: MemberSet::default(),
        data: data.as_slice().into(),
    };
    for round in 1..=ROUNDS {
        append(&mut storage, 2 * round - 1);
        append(&mut storage, 2 * round);
        let direct = image(2 * round - 1);
        let direct_ms = persist(&mut storage, direct);
        let next = image(2 * round);
        let started = Instant::now();
        let staged = storage.stager().write(&next).expect("the snapshot is staged");
        let stage_ms = started.elapsed().as_secs_f64() * 1e3;
        storage.keep_staged(staged);
        let switch_ms = persist(&mut storage, next);
        println!(
            "written by the owner {direct_ms:.1} ms; staged: {stage_ms:.1} ms elsewhere, \
             {switch_ms:.1} ms by the owner"
        );
    }
}

fn append(storage: &mut LogStorage, index: u64) {
    let vote = Some(VoteRecord { term: 1, voted_for: None });
    let append = vec![LogEntry { index, term: 1, payload: EntryPayload::Noop }];
    let output = ReplicaOutput { vote, append, ..ReplicaOutput::default() };
    storage.persist(&output).expect("the entry is written");
}

fn persist(storage: &mut LogStorage, image: SnapshotImage) -> f64 {
    let output = ReplicaOutput { snapshot: Some(image), ..ReplicaOutput::default() };
    let started = Instant::now();
    storage.persist(&output).expect("the snapshot is written");
    started.elapsed().as_secs_f64() * 1e3
}
