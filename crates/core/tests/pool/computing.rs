//! Waits for prompt blocks that another request is computing.

use crate::support::{PoolHarness, key, placed, request, target};
use burdockcleat_core::message::{StreamProgress, SubmitRequest};
use burdockcleat_core::pool::{PoolInput, PoolOutput, PoolSettings};

fn with_shared_prefix(number: u32) -> SubmitRequest {
    SubmitRequest { prompt_tokens: 1_024, prefix_hashes: (0..16).collect(), ..request(number, 0) }
}

fn first_token(harness: &mut PoolHarness, number: u32) -> Vec<PoolOutput> {
    let report = StreamProgress { key: key(number), tokens: 1, first_token_ms: Some(100) };
    harness.step(PoolInput::Progress(vec![report]))
}

fn harness() -> PoolHarness {
    PoolHarness::new(PoolSettings::default(), &[target(1, 4), target(2, 4)])
}

/// Guards against a burst of requests that each compute the same prompt blocks.
#[test]
fn second_request_waits_for_the_blocks_of_the_first() {
    let mut harness = harness();
    assert_eq!(placed(&harness.submit(with_shared_prefix(1))), [1]);
    assert!(placed(&harness.submit(with_shared_prefix(2))).is_empty());
    assert_eq!(placed(&first_token(&mut harness, 1)), [2]);
    assert_eq!(harness.placements[&key(1)], harness.placements[&key(2)]);
}

/// Guards against an endless wait for a prefill whose end is never reported.
#[test]
fn wait_for_blocks_is_limited() {
    let settings = PoolSettings { slack_wait_share: 0.0, ..PoolSettings::default() };
    let mut harness = PoolHarness::new(settings, &[target(1, 4), target(2, 4)]);
    harness.submit(with_shared_prefix(1));
    harness.submit(with_shared_prefix(2));
    // The prefill takes 256 ms at the assumed rate, and the wait at most four times as long.
    assert!(placed(&harness.advance(900)).is_empty());
    assert_eq!(placed(&harness.advance(200)), [2]);
}

/// Guards against a wait for blocks that is longer than the slack of the request allows.
#[test]
fn wait_for_blocks_grows_with_the_slack() {
    let settings = PoolSettings { slack_wait_share: 0.04, ..PoolSettings::default() };
    let mut harness = PoolHarness::new(settings, &[target(1, 4), target(2, 4)]);
    harness.submit(with_shared_prefix(1));
    // The slack is 60 s minus the margin of 500 ms and the service time of 1,256 ms. 4 % of it are
    // 2,329 ms.
    harness.submit(with_shared_prefix(2));
    assert!(placed(&harness.advance(2_300)).is_empty());
    assert_eq!(placed(&harness.advance(100)), [2]);
}

/// Guards against a request that waits for blocks until it is likely to miss its deadline.
#[test]
fn request_without_slack_does_not_wait_for_blocks() {
    let mut harness = harness();
    harness.submit(with_shared_prefix(1));
    let short_deadline = SubmitRequest { deadline_in_ms: 2_200, ..with_shared_prefix(2) };
    assert_eq!(placed(&harness.submit(short_deadline)), [2]);
}

/// Guards against a request that waits although the target already has the blocks.
#[test]
fn cached_blocks_need_no_wait() {
    let mut harness = harness();
    harness.submit(with_shared_prefix(1));
    first_token(&mut harness, 1);
    assert_eq!(placed(&harness.submit(with_shared_prefix(2))), [2]);
    assert_eq!(placed(&harness.submit(with_shared_prefix(3))), [3]);
}

/// Guards against free slots that stay unused because all requests in the lookahead wait for
/// blocks.
#[test]
fn full_lookahead_ends_the_first_wait() {
    let settings = PoolSettings { lookahead: 2, ..PoolSettings::default() };
    let mut harness = PoolHarness::new(settings, &[target(1, 4), target(2, 4)]);
    assert_eq!(placed(&harness.submit(with_shared_prefix(1))), [1]);
    assert!(placed(&harness.submit(with_shared_prefix(2))).is_empty());
    assert!(placed(&harness.submit(with_shared_prefix(3))).is_empty());
    assert_eq!(placed(&harness.submit(with_shared_prefix(4))), [2]);
}
