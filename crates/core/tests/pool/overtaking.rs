//! Overtaking among waiting requests by the cached blocks at the free target.

use crate::support::{PoolHarness, placed, request, target};
use burdockcleat_core::message::SubmitRequest;
use burdockcleat_core::pool::PoolSettings;

/// Returns a request whose prompt consists of 16 blocks of the given prefix.
fn with_prefix(number: u32, tier: u8, prefix: u64) -> SubmitRequest {
    SubmitRequest {
        prompt_tokens: 1_024,
        prefix_hashes: (0..16).map(|block| prefix * 100 + block).collect(),
        ..request(number, tier)
    }
}

/// Returns a harness with one target of one slot, which runs a request with prefix 1.
fn busy_harness(settings: PoolSettings) -> PoolHarness {
    let mut harness = PoolHarness::new(settings, &[target(1, 1)]);
    assert_eq!(placed(&harness.submit(with_prefix(1, 1, 1))), [1]);
    harness
}

/// Guards against the eviction of a cached prefix that a waiting request of the same tier could
/// use.
#[test]
fn request_with_cached_blocks_goes_first() {
    let mut harness = busy_harness(PoolSettings::default());
    harness.submit(with_prefix(2, 1, 2));
    harness.submit(with_prefix(3, 1, 1));
    assert_eq!(placed(&harness.finish(1)), [3]);
    assert_eq!(placed(&harness.finish(3)), [2]);
}

/// Guards against a request that overtakes a higher tier because of its cached blocks.
#[test]
fn lower_tier_does_not_overtake() {
    let mut harness = busy_harness(PoolSettings::default());
    harness.submit(with_prefix(2, 1, 2));
    harness.submit(with_prefix(3, 2, 1));
    assert_eq!(placed(&harness.finish(1)), [2]);
}

/// Guards against a request that is overtaken until it is likely to miss its deadline.
#[test]
fn request_is_not_overtaken_after_its_share_of_the_wait() {
    let mut harness = busy_harness(PoolSettings::default());
    harness.submit(SubmitRequest { deadline_in_ms: 20_000, ..with_prefix(2, 1, 2) });
    harness.advance(9_500);
    harness.submit(with_prefix(3, 1, 1));
    assert_eq!(placed(&harness.finish(1)), [2]);
}

/// Guards against overtaking past a request that has no slack left.
#[test]
fn overtaking_stops_at_a_request_without_slack() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    let from_other_workspace = |request| SubmitRequest { workspace: "w1".into(), ..request };
    harness.submit(from_other_workspace(with_prefix(1, 1, 1)));
    // The first workspace has not been served yet, so its request is first.
    harness.submit(with_prefix(2, 1, 2));
    harness.submit(from_other_workspace(SubmitRequest {
        deadline_in_ms: 8_000,
        ..with_prefix(3, 1, 3)
    }));
    harness.submit(from_other_workspace(with_prefix(4, 1, 1)));
    harness.advance(6_000);
    assert_eq!(placed(&harness.finish(1)), [2]);
}

/// Guards against a workspace that monopolizes a target by its cached blocks.
#[test]
fn overtaking_is_limited_by_the_fair_share() {
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
