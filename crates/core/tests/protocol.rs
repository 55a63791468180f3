//! Specification search over the claim protocol: leader, log and entry together.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

#[path = "protocol/network.rs"]
mod network;
#[path = "protocol/search.rs"]
mod search;
#[path = "protocol/step.rs"]
mod step;
#[path = "protocol/walk.rs"]
mod walk;
#[path = "protocol/world.rs"]
mod world;

use burdockcleat_core::message::ControlMessage;
use search::{Action, Bounds, Budget, SearchResult, search};
use walk::walk;
use world::{Rules, Setup, Violation, World};

/// One target with one slot, and one key of the highest tier.
fn setup() -> Setup {
    Setup {
        rules: Rules::default(),
        targets: 1,
        slots: 1,
        service: false,
        tiers: vec![0],
        // Two advances pass the deadline and the time to live of a grant.
        deadline_ms: 2_000,
        advance_ms: 1_100,
        single_messages: false,
        commit_at_once: false,
    }
}

fn expect_none(result: &SearchResult) {
    assert_eq!(result.violation, None, "path: {:#?}", result.path);
}

/// Guards against "not run" from a leader that was replaced without knowing it and finds a
/// recorded refusal that has ended by now.
#[test]
fn a_recorded_refusal_is_confirmed_before_it_is_repeated() {
    let setup = Setup { commit_at_once: true, ..setup() };
    let steps = [
        // The only target is not reachable, so the request is refused for a time.
        Action::Send { entry: 0, key: 0 },
        Action::DeliverUp { entry: 0, control: 0 },
        Action::DeliverDown { entry: 0, control: 0 },
        Action::Connect { attempt: 0, established: false },
        Action::DeliverUp { entry: 0, control: 0 },
        Action::DeliverDown { entry: 0, control: 0 },
        Action::Send { entry: 1, key: 0 },
        // The refusal ends, and the successor runs the request before the old leader wakes.
        Action::Replace { committed: 0 },
        Action::Advance,
        Action::Commit(1),
        Action::DeliverDown { entry: 0, control: 1 },
        Action::Send { entry: 0, key: 0 },
        Action::DeliverUp { entry: 0, control: 1 },
        Action::DeliverDown { entry: 0, control: 1 },
        Action::Connect { attempt: 2, established: true },
    ];
    let late =
        [Action::DeliverUp { entry: 1, control: 0 }, Action::DeliverDown { entry: 1, control: 0 }];
    let world = World::open(setup).play(&steps);
    assert!(world.dispatched[0], "{:?}", world.attempts);
    assert_eq!(world.play(&late).violation, None);
}

/// Guards against a claim that stays open because its grant was lost after its attempt ended.
#[test]
fn a_lost_grant_leaves_no_claim() {
    let setup = Setup { commit_at_once: true, ..setup() };
    let budget = Budget { sends: vec![(0, 0)], hang_ups: 1, breaks: 1, ..Budget::default() };
    let bounds = Bounds { states: 2_000, depth: 30, settle_every: 1 };
    expect_none(&search("lost grant", World::open(setup), budget, bounds));
}

/// Guards against a retry that no scheduler knows of, because the entry was without a link for so
/// long that it counted as lost.
#[test]
fn a_retry_after_a_long_break_is_queued_or_withdrawn() {
    let setup = Setup { commit_at_once: true, ..setup() };
    let steps = [
        Action::Send { entry: 0, key: 0 },
        Action::DeliverUp { entry: 0, control: 0 },
        Action::DeliverDown { entry: 0, control: 0 },
        Action::Break { entry: 0, control: 0, lose: true },
        Action::Advance,
        Action::Advance,
        Action::Connect { attempt: 0, established: true },
    ];
    let world = World::open(setup).play(&steps);
    assert_eq!(world.settles(), Ok(()));
    assert_eq!(world.play(&[Action::HangUp(0)]).settles(), Ok(()));
}

/// Guards against a fault around a cancel order: the order is lost, the leader is replaced, or the
/// request ends on its own.
#[test]
fn a_preempted_request_makes_room() {
    let setup = Setup { tiers: vec![2, 0], commit_at_once: true, ..setup() };
    let steps = [
        Action::Send { entry: 0, key: 0 },
        Action::DeliverUp { entry: 0, control: 0 },
        Action::DeliverDown { entry: 0, control: 0 },
        Action::Connect { attempt: 0, established: true },
        Action::Send { entry: 1, key: 1 },
        Action::DeliverUp { entry: 1, control: 0 },
        Action::Advance,
    ];
    let world = World::open(setup).play(&steps);
    let cancelled = |message: &ControlMessage| matches!(message, ControlMessage::Cancel { .. });
    let downward = &world.links[0][0].downward;
    assert!(downward.iter().any(|sent| cancelled(&sent.message)), "{downward:?}");
    let budget = Budget { breaks: 1, replacements: 1, ..Budget::default() };
    let bounds = Bounds { states: 4_000, depth: 40, settle_every: 4 };
    expect_none(&search("cancel", world, budget, bounds));
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

/// A rule that is turned off, and the violation that the search then finds.
struct Fault {
    violation: Violation,
    change: fn(&mut Setup),
    /// Steps before the search.
    prefix: Vec<Action>,
    budget: Budget,
}

fn faults() -> Vec<Fault> {
    let one = vec![(0, 0)];
    let both = vec![(0, 0), (1, 0)];
    let twice = vec![(0, 0), (0, 0)];
    let budget = |sends: &Vec<(usize, usize)>| Budget { sends: sends.clone(), ..Budget::default() };
    let fault = |violation, change, budget| Fault { violation, change, prefix: Vec::new(), budget };
    // The submit of a withdrawn attempt is lost, so a leader sees the withdrawal alone.
    let withdrawn = vec![
        Action::Send { entry: 0, key: 0 },
        Action::Break { entry: 0, control: 0, lose: true },
        Action::Relink { entry: 0, control: 0 },
        Action::HangUp(0),
        Action::DeliverUp { entry: 0, control: 0 },
        Action::DeliverDown { entry: 0, control: 0 },
    ];
    vec![
        fault(
            Violation::OldGrant,
            |setup| setup.rules.entry.check_grant_age = false,
            Budget { advances: 2, ..budget(&one) },
        ),
        fault(
            Violation::NotReady,
            |setup| {
                setup.rules.entry.check_ready = false;
                (setup.deadline_ms, setup.advance_ms) = (20_000, 3_100);
                (setup.single_messages, setup.commit_at_once) = (true, false);
            },
            Budget { advances: 1, ..budget(&one) },
        ),
        fault(
            Violation::ReportLost,
            |setup| setup.rules.entry.confirm_reports = false,
            Budget { advances: 1, breaks: 1, ..budget(&one) },
        ),
        fault(
            Violation::SecondDispatch,
            |setup| {
                setup.rules.entry.report_grants = false;
                setup.rules.entry.one_attempt_per_claim = false;
            },
            Budget { replacements: 1, ..budget(&twice) },
        ),
        fault(
            Violation::OutcomeChanged,
            |setup| {
                setup.rules.claims.first_outcome_stays = false;
                setup.advance_ms = 8_000;
            },
            Budget { breaks: 1, advances: 1, ..budget(&one) },
        ),
        Fault {
            violation: Violation::NotRunAfterDispatch,
            change: |setup| setup.rules.admission.confirm_not_run = false,
            prefix: withdrawn,
            budget: Budget { replacements: 1, ..budget(&vec![(1, 0)]) },
        },
        fault(
            Violation::NotRunAfterDispatch,
            |setup| {
                setup.rules.entry.reject_closed_claims = false;
                setup.targets = 2;
            },
            Budget { failures: 1, hang_ups: 1, breaks: 1, ..budget(&both) },
        ),
        fault(
            Violation::DispatchAfterAnswer,
            |setup| setup.rules.entry.check_waiting = false,
            Budget { hang_ups: 1, breaks: 1, ..budget(&one) },
        ),
        fault(
            Violation::WaitsForEver,
            |setup| setup.rules.entry.time_out_withdrawals = false,
            Budget { hang_ups: 1, breaks: 1, replacements: 1, ..budget(&one) },
        ),
    ]
}

/// Guards against an invariant that the search could not see violated: with the rule that
/// protects it turned off, the search finds the violation.
#[test]
fn each_rule_is_needed() {
    let mut found = Vec::new();
    for Fault { violation, change, prefix, budget } in faults() {
        let mut setup = Setup { commit_at_once: true, ..setup() };
        change(&mut setup);
        let settle_every = u64::from(violation == Violation::WaitsForEver);
        let bounds = Bounds { states: 30_000, depth: 30, settle_every };
        let world = World::open(setup).play(&prefix);
        let result = search(&format!("{violation:?}"), world, budget, bounds);
        found.push((violation, result.violation));
    }
    for (expected, found) in found {
        assert_eq!(found, Some(expected));
    }
}

/// Guards against a fault of the whole protocol within a small number of steps.
#[test]
fn no_scenario_violates_an_invariant() {
    for Scenario { name, setup, budget } in scenarios() {
        let setup = Setup { commit_at_once: true, ..setup };
        let bounds = Bounds { states: 2_500, depth: 60, settle_every: 4 };
        expect_none(&search(name, World::open(setup), budget, bounds));
    }
}

/// Guards against a fault of resends and withdrawals over a link that breaks. Covers every state
/// within the budget.
#[test]
fn resends_over_a_broken_link_are_covered() {
    let setup = Setup { commit_at_once: true, ..setup() };
    for sends in [vec![(0, 0), (0, 0)], vec![(0, 0), (1, 0)]] {
        let budget = Budget { sends, hang_ups: 1, breaks: 1, ..Budget::default() };
        let bounds = Bounds { states: 20_000, depth: 40, settle_every: 4 };
        let result = search("broken link", World::open(setup.clone()), budget, bounds);
        expect_none(&result);
        assert!(result.complete);
    }
}

/// Guards against a grant, a record or a claim that is lost when the leader is replaced. Covers
/// every state within the budget.
#[test]
fn a_replaced_leader_is_covered() {
    for service in [false, true] {
        let setup = Setup { service, ..setup() };
        let budget = Budget { sends: vec![(0, 0)], replacements: 1, ..Budget::default() };
        let bounds = Bounds { states: 20_000, depth: 40, settle_every: 4 };
        let result = search("replaced leader", World::open(setup), budget, bounds);
        expect_none(&result);
        assert!(result.complete);
    }
}

/// The same scenarios with larger bounds, for release mode.
#[test]
#[ignore = "takes minutes in release mode"]
fn no_scenario_violates_an_invariant_within_larger_bounds() {
    let bounds = |settle_every| Bounds { states: 100_000, depth: 60, settle_every };
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

/// Guards against faults that need more steps than the search can take.
#[test]
#[ignore = "takes a minute in release mode"]
fn no_random_walk_violates_an_invariant() {
    let everything = Budget {
        sends: vec![(0, 0), (1, 0), (0, 0), (1, 1)],
        failures: 2,
        hang_ups: 1,
        breaks: 3,
        replacements: 1,
        freezes: 1,
        kills: 1,
        advances: 5,
    };
    let mut failed = Vec::new();
    for (seed, single_messages) in [(1, false), (2, true)] {
        for (tiers, targets, service) in [
            (vec![0, 0], 1, false),
            (vec![2, 0], 1, false),
            (vec![0, 0], 2, false),
            (vec![0, 0], 1, true),
        ] {
            let setup = Setup { tiers, targets, service, single_messages, ..setup() };
            let result = walk("walk", &World::open(setup), &everything, 20_000, seed);
            if result.violation.is_some() {
                println!("{:#?}", result.path);
                failed.push(result.violation);
            }
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}
