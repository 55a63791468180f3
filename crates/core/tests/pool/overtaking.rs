//! Choice among waiting requests by the blocks at the free target.

use crate::support::{PoolHarness, placed, request, target};
use burdockcleat_core::message::SubmitRequest;
use burdockcleat_core::pool::PoolSettings;

/// A request whose prompt consists of 16 blocks of the given prefix.
fn with_prefix(number: u32, tier: u8, prefix: u64) -> SubmitRequest {
    SubmitRequest {
        prompt_tokens: 1_024,
        prefix_hashes: (0..16).map(|block| prefix * 100 + block).collect(),
        ..request(number, tier)
    }
}

/// One target with one slot that computes prefix 1.
fn busy_harness(settings: PoolSettings) -> PoolHarness {
    let mut harness = PoolHarness::new(settings, &[target(1, 1)]);
    assert_eq!(placed(&harness.submit(with_prefix(1, 1, 1))), [1]);
    harness
}

/// Guards against a prefix that is pushed out of a cache although a waiting request of the same
/// tier could use it.
#[test]
fn request_with_cached_blocks_goes_first() {
    let mut harness = busy_harness(PoolSettings::default());
    harness.submit(with_prefix(2, 1, 2));
    harness.submit(with_prefix(3, 1, 1));
    assert_eq!(placed(&harness.finish(1)), [3]);
    assert_eq!(placed(&harness.finish(3)), [2]);
}

/// Guards against a lower tier that goes before a higher one because of its blocks.
#[test]
fn lower_tier_does_not_overtake() {
    let mut harness = busy_harness(PoolSettings::default());
    harness.submit(with_prefix(2, 1, 2));
    harness.submit(with_prefix(3, 2, 1));
    assert_eq!(placed(&harness.finish(1)), [2]);
}

/// Guards against a request that is overtaken until its deadline is in danger.
#[test]
fn request_is_not_overtaken_after_its_share_of_the_wait() {
    let mut harness = busy_harness(PoolSettings::default());
    harness.submit(SubmitRequest { deadline_in_ms: 20_000, ..with_prefix(2, 1, 2) });
    harness.advance(9_500);
    harness.submit(with_prefix(3, 1, 1));
    assert_eq!(placed(&harness.finish(1)), [2]);
}

/// Guards against a request that is overtaken although one between both has no time left.
#[test]
fn request_without_time_is_not_overtaken() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    let from_other_workspace = |request| SubmitRequest { workspace: "w1".into(), ..request };
    harness.submit(from_other_workspace(with_prefix(1, 1, 1)));
    // The first workspace has had nothing yet, so its request is the first.
    harness.submit(with_prefix(2, 1, 2));
    harness.submit(from_other_workspace(SubmitRequest {
        deadline_in_ms: 8_000,
        ..with_prefix(3, 1, 3)
    }));
    harness.submit(from_other_workspace(with_prefix(4, 1, 1)));
    harness.advance(6_000);
    assert_eq!(placed(&harness.finish(1)), [2]);
}

/// Guards against a workspace that keeps a target for itself by the blocks that it has there.
#[test]
fn overtaking_ends_at_a_distance_from_the_fair_share() {
    let settings = PoolSettings { overtake_tokens: 3_000.0, ..PoolSettings::default() };
    let mut harness = busy_harness(settings);
    for number in 2..6 {
        harness.submit(with_prefix(number, 1, 1));
    }
    harness.submit(SubmitRequest { workspace: "w1".into(), ..with_prefix(6, 1, 2) });
    let mut running = 1;
    for turn in 0..5 {
        running = placed(&harness.finish(running))[0];
        if running == 6 {
            assert!(turn > 0, "the bound should allow some overtaking");
            return;
        }
    }
    panic!("the other workspace got no slot in five turns");
}
