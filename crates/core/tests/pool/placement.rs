//! Submits, placements and limits.

use crate::support::{PoolHarness, placed, refused, request, target};
use burdockcleat_core::outcome::ReasonCode;
use burdockcleat_core::pool::{PoolInput, PoolSettings, WorkspaceSettings};

/// Guards against a slot that is given to two requests before the first claim is committed.
#[test]
fn placed_request_occupies_its_slot_before_the_claim() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    let input =
        |number| PoolInput::Submit { entry: crate::support::ENTRY, request: request(number, 0) };
    assert_eq!(placed(&harness.step_uncommitted(input(1))), [1]);
    assert!(placed(&harness.step_uncommitted(input(2))).is_empty());
}

/// Guards against slots that are lost when a request ends.
#[test]
fn finish_frees_the_slot_for_the_next_request() {
    let mut harness = PoolHarness::new(PoolSettings::default(), &[target(1, 1)]);
    assert_eq!(placed(&harness.submit(request(1, 0))), [1]);
    assert!(placed(&harness.submit(request(2, 0))).is_empty());
    assert_eq!(placed(&harness.finish(1)), [2]);
}

/// Guards against model requests at targets that have not loaded the model.
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
