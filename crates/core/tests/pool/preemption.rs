//! Preemption, dispatch above the concurrency limit, and load shedding.

use crate::support::{ENTRY, PoolHarness, cancelled, key, placed, refused, request, target};
use burdockcleat_core::message::SubmitRequest;
use burdockcleat_core::outcome::ReasonCode;
use burdockcleat_core::pool::{PoolInput, PoolOutput, PoolSettings, TierSettings};

fn urgent(number: u32, tier: u8) -> SubmitRequest {
    SubmitRequest { deadline_in_ms: 1_000, ..request(number, tier) }
}

fn non_idempotent(number: u32, tier: u8) -> SubmitRequest {
    SubmitRequest { idempotent: false, ..request(number, tier) }
}

fn above_limit(outputs: &[PoolOutput]) -> usize {
    outputs.iter().filter(|o| matches!(o, PoolOutput::Place { above_limit: true, .. })).count()
}

/// Guards against a request of a high tier that waits for a running request of a lower tier until
/// its deadline, and against a slot that is assigned before the cancel is confirmed.
#[test]
fn urgent_request_takes_the_slot_of_a_lower_tier_after_confirmation() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    harness.submit(request(1, 1));
    let outputs = harness.submit(urgent(2, 0));
    assert_eq!((cancelled(&outputs), placed(&outputs)), (vec![1], vec![]));
    let claim = harness.claims[&key(1)];
    let outputs = harness.step(PoolInput::CancelDone { key: key(1), claim });
    assert_eq!(placed(&outputs), [2]);
}

/// Guards against preemption within a tier, which would only discard work.
#[test]
fn equal_tier_is_not_preempted() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    harness.submit(request(1, 0));
    let outputs = harness.submit(urgent(2, 0));
    assert!(cancelled(&outputs).is_empty());
    // The estimated wait exceeds its deadline, so it is refused at once.
    assert_eq!(refused(&outputs), [(2, ReasonCode::Overloaded)]);
    let outputs = harness.advance(1_000);
    assert!(cancelled(&outputs).is_empty() && refused(&outputs).is_empty());
    assert_eq!(harness.violations, 0);
}

/// Guards against cancelling a non-idempotent request, and against more than one dispatch above the
/// limit per such request.
#[test]
fn non_idempotent_request_allows_one_dispatch_above_the_limit() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    harness.submit(non_idempotent(1, 1));
    let outputs = harness.submit(urgent(2, 0));
    assert_eq!((cancelled(&outputs), above_limit(&outputs)), (vec![], 1));
    assert!(placed(&harness.submit(urgent(3, 0))).is_empty());
    let outputs = harness.finish(2);
    assert_eq!((placed(&outputs), above_limit(&outputs)), (vec![3], 1));
}

/// Guards against a request that waits forever because its victim's entry does not confirm the
/// cancel.
#[test]
fn unconfirmed_cancel_leads_to_a_dispatch_above_the_limit() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    harness.submit(request(1, 1));
    assert_eq!(cancelled(&harness.submit(urgent(2, 0))), [1]);
    let outputs = harness.advance(PoolSettings::default().cancel_timeout_ms);
    assert_eq!((placed(&outputs), above_limit(&outputs)), (vec![2], 1));
}

/// Guards against cancelling a request of a lost entry, which could not confirm the cancel.
#[test]
fn request_of_a_lost_entry_is_not_cancelled() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    harness.submit(request(1, 1));
    harness.step(PoolInput::EntryLost { entry: ENTRY });
    let outputs = harness.submit(urgent(2, 0));
    assert_eq!((cancelled(&outputs), above_limit(&outputs)), (vec![], 1));
}

/// Guards against a tier 0 request that gets no slot because a tier 1 request is already paired
/// with the only running tier 2 request and runs above the limit.
#[test]
fn request_above_the_limit_is_replaced_by_a_higher_tier() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    harness.submit(non_idempotent(1, 2));
    assert_eq!(above_limit(&harness.submit(urgent(2, 1))), 1);
    let outputs = harness.submit(urgent(3, 0));
    assert_eq!((cancelled(&outputs), placed(&outputs)), (vec![2], vec![3]));
}

/// Guards against shedding by arrival instead of by tier.
#[test]
fn full_queue_sheds_the_newest_of_the_lowest_tier() {
    let settings = PoolSettings { queue_limit: 2, ..PoolSettings::default() };
    let mut harness = PoolHarness::new(settings, &[target(1, 1)]);
    harness.submit(request(1, 0));
    harness.submit(request(2, 1));
    harness.submit(request(3, 1));
    assert_eq!(refused(&harness.submit(request(4, 0))), [(3, ReasonCode::Overloaded)]);
    assert_eq!(refused(&harness.submit(request(5, 1))), [(5, ReasonCode::Overloaded)]);
    assert_eq!(harness.violations, 0);
}

/// Guards against refusing a high tier while a lower one runs, when only the queue limit is
/// exceeded.
#[test]
fn queue_limit_is_exceeded_while_a_lower_tier_is_preempted() {
    let settings = PoolSettings { queue_limit: 1, ..PoolSettings::default() };
    let mut harness = PoolHarness::new(settings, &[target(1, 1)]);
    harness.submit(request(1, 1));
    harness.submit(request(2, 0));
    let outputs = harness.submit(request(3, 0));
    assert_eq!((refused(&outputs), cancelled(&outputs)), (vec![], vec![1]));
}

/// Guards against requests that wait longer than their tier allows although a lower tier runs.
#[test]
fn request_that_waited_too_long_preempts() {
    let tiers = vec![TierSettings { max_queue_ms: 2_000, preempt_after_ms: 2_000 }];
    let mut harness =
        PoolHarness::new(PoolSettings { tiers, ..PoolSettings::default() }, &[target(1, 1)]);
    harness.submit(request(1, 1));
    assert!(cancelled(&harness.submit(request(2, 0))).is_empty());
    assert_eq!(cancelled(&harness.advance(2_000)), [1]);
}

/// Guards against refusals that ignore the tier order when the claim table is full.
#[test]
fn full_claim_table_sheds_in_tier_order() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    harness.submit(request(1, 0));
    harness.submit(request(2, 1));
    harness.step(PoolInput::ClaimTable { full: true });
    assert_eq!(refused(&harness.submit(request(3, 0))), [(2, ReasonCode::ClaimsFull)]);
    assert_eq!(refused(&harness.submit(request(4, 0))), [(4, ReasonCode::ClaimsFull)]);
}
