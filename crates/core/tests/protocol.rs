//! Specification search over the claim protocol: leader, log and entry together.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

#[path = "protocol/search.rs"]
mod search;
#[path = "protocol/step.rs"]
mod step;
#[path = "protocol/world.rs"]
mod world;

use search::{Bounds, Budget, SearchResult, search};
use world::{Rules, Setup, World};

/// One target with one slot, and one key of the highest tier.
fn setup() -> Setup {
    Setup {
        rules: Rules::default(),
        targets: 1,
        slots: 1,
        tiers: vec![0],
        advance_ms: 1_100,
        single_messages: false,
    }
}

fn expect_none(result: &SearchResult) {
    assert_eq!(result.violation, None, "path: {:#?}", result.path);
}

/// A scenario with its budget of sends and faults.
struct Scenario {
    name: &'static str,
    setup: Setup,
    budget: Budget,
}

fn scenarios() -> Vec<Scenario> {
    let both = vec![(0, 0), (1, 0)];
    let preemption = Setup { tiers: vec![2, 0], ..setup() };
    let two_targets = Setup { targets: 2, ..setup() };
    let resend = Budget { sends: both, replacements: 1, ..Budget::default() };
    let scenario = |name, budget| Scenario { name, setup: setup(), budget };
    vec![
        scenario("resend", Budget { failures: 1, breaks: 1, ..resend.clone() }),
        scenario(
            "same entry",
            Budget { sends: vec![(0, 0), (0, 0)], failures: 1, breaks: 1, ..resend.clone() },
        ),
        scenario("freeze", Budget { freezes: 1, advances: 3, ..resend.clone() }),
        scenario("death", Budget { kills: 1, advances: 2, ..resend.clone() }),
        scenario("withdrawal", Budget { hang_ups: 1, breaks: 1, ..resend.clone() }),
        scenario(
            "reports",
            Budget { sends: vec![(0, 0)], breaks: 1, advances: 2, ..resend.clone() },
        ),
        Scenario {
            name: "preemption",
            setup: preemption,
            budget: Budget { sends: vec![(0, 0), (1, 1)], advances: 2, ..resend.clone() },
        },
        Scenario {
            name: "two targets",
            setup: two_targets,
            budget: Budget { failures: 2, ..resend },
        },
    ]
}

/// Guards against a fault of the whole protocol within a small number of steps.
#[test]
fn no_scenario_violates_an_invariant() {
    for Scenario { name, setup, budget } in scenarios() {
        let bounds = Bounds { states: 3_000, depth: 60, settle_every: 16 };
        expect_none(&search(name, World::open(setup), budget, bounds));
    }
}

/// The same scenarios with larger bounds, for release mode.
#[test]
#[ignore = "takes minutes in release mode"]
fn no_scenario_violates_an_invariant_within_larger_bounds() {
    let bounds = |settle_every| Bounds { states: 150_000, depth: 60, settle_every };
    let mut failed = Vec::new();
    for Scenario { name, setup, budget } in scenarios() {
        let result = search(name, World::open(setup), budget, bounds(8));
        if result.violation.is_some() {
            println!("{:#?}", result.path);
            failed.push((name, result.violation));
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}
