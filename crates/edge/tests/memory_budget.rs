//! Marks of the memory budget and release of what was reserved.

use burdockcleat_edge::memory_budget::{MemoryBudget, MemoryUse};
use bytes::Bytes;
use std::time::Duration;

const MIB: usize = 1 << 20;

/// Guards against new bodies or queued events that leave no memory for responses, and against uploads
/// that leave none for small requests.
#[test]
fn bodies_and_queues_leave_the_part_for_responses() {
    let budget = MemoryBudget::new(45 * MIB);
    let fill = |kind, bytes| {
        std::iter::from_fn(|| budget.try_reserve(kind, bytes)).take(100).collect::<Vec<_>>()
    };
    let queued = fill(MemoryUse::Queue, MIB);
    let uploads = fill(MemoryUse::Body, MIB);
    let bodies = fill(MemoryUse::Body, MIB / 16);
    let answers = fill(MemoryUse::Response, MIB);
    let responses = fill(MemoryUse::Response, MIB / 16);
    assert_eq!([queued.len(), uploads.len(), bodies.len()], [21, 5, 64]);
    assert_eq!([answers.len(), responses.len()], [7, 64]);
    assert!(budget.try_reserve(MemoryUse::Body, 1).is_none());
    assert!(budget.try_reserve(MemoryUse::Body, 0).is_some(), "a request without a body");
    drop((queued, uploads, bodies, answers, responses));
    assert_eq!((budget.used(MemoryUse::Body), budget.peak()), (0, 41 * MIB));
}

/// Guards against memory that stays reserved or becomes free while a copy of its bytes is in use.
#[test]
fn held_bytes_are_counted_until_the_last_copy_is_dropped() {
    let budget = MemoryBudget::new(45 * MIB);
    let guard = budget.try_reserve(MemoryUse::Body, MIB).unwrap();
    let bytes = guard.hold(Bytes::from(vec![0; 1_000]));
    let copy = bytes.slice(10..20);
    drop(bytes);
    assert_eq!(budget.used(MemoryUse::Body), 1_000);
    drop(copy);
    assert_eq!(budget.used(MemoryUse::Body), 0);
}

/// Guards against responses of unknown length that wait for each other for good when together they
/// fill the budget: one of them uses the last part, and the others go on after it.
#[test]
fn responses_do_not_wait_for_each_other_for_good() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let budget = MemoryBudget::new(12 * MIB);
    let read = async |number: usize| {
        let mut guard = budget.reserve(MemoryUse::Response, 0).await;
        for _ in 0..8 {
            guard.grow(MIB / 2).await;
            tokio::task::yield_now().await;
        }
        drop(guard.hold(Bytes::from(vec![0; 4 * MIB])));
        number
    };
    let all = async { tokio::join!(read(0), read(1), read(2), read(3), read(4), read(5)) };
    let ended = runtime.block_on(async { tokio::time::timeout(Duration::from_secs(5), all).await });
    assert_eq!(ended.expect("all responses"), (0, 1, 2, 3, 4, 5));
    assert!(budget.peak() <= 12 * MIB, "{} bytes", budget.peak());
}
