//! Submission, placement and limits.

use crate::support::{PoolHarness, key, placed, refused, request, target};
use burdockcleat_core::message::{StreamProgress, SubmitRequest};
use burdockcleat_core::outcome::ReasonCode;
use burdockcleat_core::pool::{
    PoolInput, PoolOutput, PoolSettings, TierSettings, WorkspaceSettings,
};
use burdockcleat_core::registry::{TargetAnnouncement, TargetKind};
use std::collections::BTreeSet;

/// Guards against a slot that is assigned to two requests before the first claim is committed.
#[test]
fn placed_request_occupies_its_slot_before_the_claim() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    let input =
        |number| PoolInput::Submit { entry: crate::support::ENTRY, request: request(number, 0) };
    assert_eq!(placed(&harness.step_uncommitted(input(1))), [1]);
    assert!(placed(&harness.step_uncommitted(input(2))).is_empty());
}

/// Guards against slots that stay occupied after the end of a request.
#[test]
fn finish_frees_the_slot_for_the_next_request() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    assert_eq!(placed(&harness.submit(request(1, 0))), [1]);
    assert!(placed(&harness.submit(request(2, 0))).is_empty());
    assert_eq!(placed(&harness.finish(1)), [2]);
}

/// Guards against placing a request at a target that has not loaded its model.
#[test]
fn model_that_no_target_has_loaded_is_refused() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    let mut other = request(1, 0);
    other.model = "other".into();
    assert_eq!(refused(&harness.submit(other)), [(1, ReasonCode::NoTarget)]);
}

/// Guards against a workspace that exceeds its number of requests in flight.
#[test]
fn workspace_over_its_limit_is_refused() {
    let mut settings = PoolSettings::default();
    let limit = WorkspaceSettings { max_in_flight: 2, ..WorkspaceSettings::default() };
    settings.workspaces.insert("w0".into(), limit);
    let mut harness = PoolHarness::new(settings, &[target(1, 1)]);
    harness.submit(request(1, 0));
    harness.submit(request(2, 0));
    assert_eq!(refused(&harness.submit(request(3, 0))), [(3, ReasonCode::WorkspaceLimit)]);
    harness.finish(1);
    assert!(refused(&harness.submit(request(4, 0))).is_empty());
}

/// Guards against herding: a burst that arrives between two load reports must not be placed on one
/// target.
#[test]
fn burst_is_spread_although_reports_are_stale() {
    let targets: Vec<_> = (0..5).map(|number| target(number, 8)).collect();
    let mut harness = PoolHarness::new(PoolSettings::default(), &targets);
    for number in 0..20 {
        harness.submit(request(number, 0));
    }
    for target in &targets {
        let key = harness.registry.find(&target.identity()).unwrap();
        assert_eq!(harness.scheduler.running_on(key).len(), 4);
    }
}

/// Guards against a request that is placed on another target than the one that has its prompt
/// cached.
#[test]
fn requests_with_a_shared_prefix_are_placed_on_one_target() {
    let targets: Vec<_> = (0..5).map(|number| target(number, 8)).collect();
    let mut harness = PoolHarness::new(PoolSettings::default(), &targets);
    let hashes: Vec<u64> = (0..16).collect();
    for number in 0..4 {
        let request = SubmitRequest {
            prompt_tokens: 1_024,
            prefix_hashes: hashes.clone(),
            ..request(number, 0)
        };
        harness.submit(request);
        // Until the first token, later requests wait for the blocks instead of computing them
        // again.
        harness.step(PoolInput::Progress(vec![StreamProgress {
            key: key(number),
            tokens: 1,
            first_token_ms: Some(100),
        }]));
    }
    assert_eq!(harness.placements.len(), 4);
    let placements: BTreeSet<_> = harness.placements.values().collect();
    assert_eq!(placements.len(), 1);
}

/// Guards against a workspace that receives more than its weighted share of the slots in its tier.
#[test]
fn workspaces_share_by_weight() {
    let tiers = vec![TierSettings { max_queue_ms: 100_000, preempt_after_ms: 100_000 }];
    let mut settings = PoolSettings { tiers, ..PoolSettings::default() };
    let heavy = WorkspaceSettings { weight: 3.0, ..WorkspaceSettings::default() };
    settings.workspaces.insert("w1".into(), heavy);
    let mut harness = PoolHarness::new(settings, &[target(1, 1)]);
    harness.submit(request(0, 0));
    for number in 1..=40 {
        let workspace = format!("w{}", u32::from(number > 20));
        harness.submit(SubmitRequest { workspace, ..request(number, 0) });
    }
    let mut served = Vec::new();
    let mut last = 0;
    for _ in 0..16 {
        last = placed(&harness.finish(last))[0];
        served.push(last);
    }
    assert_eq!(served.iter().filter(|number| **number > 20).count(), 12);
}

/// Guards against serving a late deadline before an earlier one within a workspace.
#[test]
fn earliest_deadline_is_served_first_within_a_workspace() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    harness.submit(request(0, 0));
    for (number, deadline_in_ms) in [(1, 50_000), (2, 30_000), (3, 40_000)] {
        harness.submit(SubmitRequest { deadline_in_ms, ..request(number, 0) });
    }
    assert_eq!(placed(&harness.finish(0)), [2]);
    assert_eq!(placed(&harness.finish(2)), [3]);
}

/// Guards against a workspace that exceeds its tokens per second, and against a wrong retry-after
/// time.
#[test]
fn token_bucket_limits_a_workspace() {
    let mut settings = PoolSettings::default();
    let limit = WorkspaceSettings {
        tokens_per_second: Some(440.0),
        burst_tokens: 440.0,
        ..WorkspaceSettings::default()
    };
    settings.workspaces.insert("w0".into(), limit);
    let mut harness = PoolHarness::new(settings, &[target(1, 4)]);
    assert_eq!(placed(&harness.submit(request(1, 0))), [1]);
    let outputs = harness.submit(request(2, 0));
    assert_eq!(refused(&outputs), [(2, ReasonCode::WorkspaceLimit)]);
    assert!(matches!(outputs[0], PoolOutput::Refuse { retry_after_ms: 1_000, .. }));
    harness.advance(1_000);
    assert_eq!(placed(&harness.submit(request(3, 0))), [3]);
}

/// Guards against placing requests on a straggler while another target has free slots.
#[test]
fn straggler_gets_no_work_while_others_have_capacity() {
    let targets: Vec<_> = (0..4).map(|number| target(number, 4)).collect();
    let mut harness = PoolHarness::new(PoolSettings::default(), &targets);
    for number in 0..8 {
        harness.submit(request(number, 0));
    }
    let slow = harness.placements[&key(0)];
    for step in 1..=40 {
        let placements = harness.placements.clone();
        let reports = placements.iter().map(|(key, target)| StreamProgress {
            key: *key,
            tokens: step * if *target == slow { 2 } else { 10 },
            first_token_ms: Some(50),
        });
        harness.step(PoolInput::Progress(reports.collect()));
        harness.advance(250);
    }
    assert!(harness.scheduler.is_straggler(slow));
    for number in 8..14 {
        harness.submit(request(number, 0));
        assert_ne!(harness.placements[&key(number)], slow);
    }
    for number in 14..16 {
        harness.submit(request(number, 0));
        assert_eq!(harness.placements[&key(number)], slow);
    }
}

/// Guards against scheduling a plain service by token estimates, which it does not have.
#[test]
fn plain_services_share_by_in_flight_count() {
    let service = |number| TargetAnnouncement {
        kind: TargetKind::Service,
        models: Vec::new(),
        ..target(number, 4)
    };
    let mut harness = PoolHarness::new(PoolSettings::default(), &[service(1), service(2)]);
    for number in 0..4 {
        let request = SubmitRequest { model: String::new(), ..request(number, 0) };
        assert_eq!(placed(&harness.submit(request)), [number]);
    }
    let key = harness.registry.find(&service(1).identity()).unwrap();
    assert_eq!(harness.scheduler.running_on(key).len(), 2);
}
