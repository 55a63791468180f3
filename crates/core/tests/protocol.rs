//! Model checking of the claim protocol: searches and random walks over the states of leader, log
//! and entries.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

#[path = "protocol/model.rs"]
mod model;
#[path = "protocol/network.rs"]
mod network;
#[path = "protocol/search.rs"]
mod search;
#[path = "protocol/step.rs"]
mod step;
#[path = "protocol/walk.rs"]
mod walk;

use burdockcleat_core::message::ControlMessage;
use model::{Model, Rules, Setup, Violation};
use search::{Action, Bounds, Budget, SearchResult, search};
use walk::random_walks;

/// Returns a setup of one target with one slot, and one request key of the highest tier.
fn setup() -> Setup {
    Setup {
        rules: Rules::default(),
        targets: 1,
        slots: 1,
        service: false,
        tiers: vec![0],
        // Two advances are longer than the deadline and the time to live of a grant.
        deadline_ms: 2_000,
        advance_ms: 1_100,
        one_message_per_delivery: false,
        commit_immediately: false,
    }
}

fn assert_no_violation(result: &SearchResult) {
    assert_eq!(result.violation, None, "path: {:#?}", result.path);
}

/// Guards against a deposed leader that answers "not run" from a recorded refusal. It does not know
/// that the refusal has expired and that its successor has run the request.
#[test]
fn a_recorded_refusal_is_confirmed_before_it_is_repeated() {
    let setup = Setup { commit_immediately: true, ..setup() };
    let steps = [
        // The only target is unreachable, so the request is refused for some time.
        Action::Send { entry: 0, key: 0 },
        Action::DeliverToControl { entry: 0, control: 0 },
        Action::DeliverToEntry { entry: 0, control: 0 },
        Action::Connect { attempt: 0, established: false },
        Action::DeliverToControl { entry: 0, control: 0 },
        Action::DeliverToEntry { entry: 0, control: 0 },
        Action::Send { entry: 1, key: 0 },
        // The refusal expires, and the successor runs the request before the old leader goes on.
        Action::ReplaceLeader { committed: 0 },
        Action::Advance,
        Action::Commit(1),
        Action::DeliverToEntry { entry: 0, control: 1 },
        Action::Send { entry: 0, key: 0 },
        Action::DeliverToControl { entry: 0, control: 1 },
        Action::DeliverToEntry { entry: 0, control: 1 },
        Action::Connect { attempt: 2, established: true },
    ];
    let remaining_steps = [
        Action::DeliverToControl { entry: 1, control: 0 },
        Action::DeliverToEntry { entry: 1, control: 0 },
    ];
    let model = Model::open(setup).after_all(&steps);
    assert!(model.dispatched[0], "{:?}", model.attempts);
    assert_eq!(model.after_all(&remaining_steps).violation, None);
}

/// Guards against a claim that stays open because its grant was lost after the attempt had ended.
#[test]
fn a_lost_grant_leaves_no_open_claim() {
    let setup = Setup { commit_immediately: true, ..setup() };
    let budget =
        Budget { sends: vec![(0, 0)], disconnects: 1, link_failures: 1, ..Budget::default() };
    let bounds = Bounds { max_states: 2_000, max_depth: 30, liveness_check_interval: 1 };
    assert_no_violation(&search("lost grant", Model::open(setup), budget, bounds));
}

/// Guards against a retry that no scheduler knows of. It happens when an entry has no link for so
/// long that the control instances count it as lost.
#[test]
fn a_retry_after_a_long_break_is_queued_or_withdrawn() {
    let setup = Setup { commit_immediately: true, ..setup() };
    let steps = [
        Action::Send { entry: 0, key: 0 },
        Action::DeliverToControl { entry: 0, control: 0 },
        Action::DeliverToEntry { entry: 0, control: 0 },
        Action::LinkDown { entry: 0, control: 0, lose_messages: true },
        Action::Advance,
        Action::Advance,
        Action::Connect { attempt: 0, established: true },
    ];
    let model = Model::open(setup).after_all(&steps);
    assert_eq!(model.check_liveness(), Ok(()));
    assert_eq!(model.after_all(&[Action::CallerDisconnect(0)]).check_liveness(), Ok(()));
}

/// Guards against violations around a cancel order: the order is lost, the leader is replaced, or
/// the request ends on its own.
#[test]
fn a_preempted_request_frees_its_slot() {
    let setup = Setup { tiers: vec![2, 0], commit_immediately: true, ..setup() };
    let steps = [
        Action::Send { entry: 0, key: 0 },
        Action::DeliverToControl { entry: 0, control: 0 },
        Action::DeliverToEntry { entry: 0, control: 0 },
        Action::Connect { attempt: 0, established: true },
        Action::Send { entry: 1, key: 1 },
        Action::DeliverToControl { entry: 1, control: 0 },
        Action::Advance,
    ];
    let model = Model::open(setup).after_all(&steps);
    let cancelled = |message: &ControlMessage| matches!(message, ControlMessage::Cancel { .. });
    let to_entry = &model.links[0][0].to_entry;
    assert!(to_entry.iter().any(|sent| cancelled(&sent.message)), "{to_entry:?}");
    let budget = Budget { link_failures: 1, leader_replacements: 1, ..Budget::default() };
    let bounds = Bounds { max_states: 4_000, max_depth: 40, liveness_check_interval: 4 };
    assert_no_violation(&search("cancel", model, budget, bounds));
}

/// A setup to search, with the budget of sends and faults.
struct Scenario {
    name: &'static str,
    setup: Setup,
    budget: Budget,
}

fn scenarios() -> Vec<Scenario> {
    let both = vec![(0, 0), (1, 0)];
    let preemption = Setup { tiers: vec![2, 0], ..setup() };
    let two_targets = Setup { targets: 2, ..setup() };
    let resend = Budget { sends: both, leader_replacements: 1, ..Budget::default() };
    let scenario = |name, budget| Scenario { name, setup: setup(), budget };
    vec![
        scenario("resend", Budget { connect_failures: 1, link_failures: 1, ..resend.clone() }),
        scenario(
            "same entry",
            Budget {
                sends: vec![(0, 0), (0, 0)],
                connect_failures: 1,
                link_failures: 1,
                ..resend.clone()
            },
        ),
        scenario("freeze", Budget { freezes: 1, advances: 3, ..resend.clone() }),
        scenario("death", Budget { kills: 1, advances: 2, ..resend.clone() }),
        scenario("withdrawal", Budget { disconnects: 1, link_failures: 1, ..resend.clone() }),
        scenario(
            "reports",
            Budget { sends: vec![(0, 0)], link_failures: 1, advances: 2, ..resend.clone() },
        ),
        Scenario {
            name: "preemption",
            setup: preemption,
            budget: Budget { sends: vec![(0, 0), (1, 1)], advances: 2, ..resend.clone() },
        },
        Scenario {
            name: "two targets",
            setup: two_targets,
            budget: Budget { connect_failures: 2, ..resend },
        },
    ]
}

/// A disabled rule, and the violation that the search then finds.
struct DisabledRule {
    violation: Violation,
    disable: fn(&mut Setup),
    /// Steps before the search.
    prefix: Vec<Action>,
    budget: Budget,
}

fn disabled_rules() -> Vec<DisabledRule> {
    let one = vec![(0, 0)];
    let both = vec![(0, 0), (1, 0)];
    let twice = vec![(0, 0), (0, 0)];
    let budget = |sends: &Vec<(usize, usize)>| Budget { sends: sends.clone(), ..Budget::default() };
    let disabled_rule = |violation, disable, budget| DisabledRule {
        violation,
        disable,
        prefix: Vec::new(),
        budget,
    };
    // The submit of a withdrawn attempt is lost, so a leader receives only the withdrawal.
    let withdrawn = vec![
        Action::Send { entry: 0, key: 0 },
        Action::LinkDown { entry: 0, control: 0, lose_messages: true },
        Action::LinkUp { entry: 0, control: 0 },
        Action::CallerDisconnect(0),
        Action::DeliverToControl { entry: 0, control: 0 },
        Action::DeliverToEntry { entry: 0, control: 0 },
    ];
    vec![
        disabled_rule(
            Violation::ExpiredGrant,
            |setup| setup.rules.entry.check_grant_age = false,
            Budget { advances: 2, ..budget(&one) },
        ),
        disabled_rule(
            Violation::DispatchWithoutLeader,
            |setup| {
                setup.rules.entry.check_ready = false;
                (setup.deadline_ms, setup.advance_ms) = (20_000, 3_100);
                (setup.one_message_per_delivery, setup.commit_immediately) = (true, false);
            },
            Budget { advances: 1, ..budget(&one) },
        ),
        disabled_rule(
            Violation::ReportLost,
            |setup| setup.rules.entry.confirm_reports = false,
            Budget { advances: 1, link_failures: 1, ..budget(&one) },
        ),
        disabled_rule(
            Violation::SecondDispatch,
            |setup| {
                setup.rules.entry.report_grants = false;
                setup.rules.entry.one_attempt_per_claim = false;
            },
            Budget { leader_replacements: 1, ..budget(&twice) },
        ),
        disabled_rule(
            Violation::OutcomeChanged,
            |setup| {
                setup.rules.claims.keep_first_outcome = false;
                setup.advance_ms = 8_000;
            },
            Budget { link_failures: 1, advances: 1, ..budget(&one) },
        ),
        DisabledRule {
            violation: Violation::NotRunAfterDispatch,
            disable: |setup| setup.rules.admission.confirm_not_run = false,
            prefix: withdrawn,
            budget: Budget { leader_replacements: 1, ..budget(&vec![(1, 0)]) },
        },
        disabled_rule(
            Violation::NotRunAfterDispatch,
            |setup| {
                setup.rules.entry.reject_closed_claims = false;
                setup.targets = 2;
            },
            Budget { connect_failures: 1, disconnects: 1, link_failures: 1, ..budget(&both) },
        ),
        disabled_rule(
            Violation::DispatchAfterAnswer,
            |setup| setup.rules.entry.check_waiting = false,
            Budget { disconnects: 1, link_failures: 1, ..budget(&one) },
        ),
        disabled_rule(
            Violation::NeverAnswered,
            |setup| setup.rules.entry.time_out_withdrawals = false,
            Budget { disconnects: 1, link_failures: 1, leader_replacements: 1, ..budget(&one) },
        ),
    ]
}

/// Guards against a search that cannot detect a violation: it must find the one that each disabled
/// rule allows.
#[test]
fn each_rule_is_needed() {
    let mut found = Vec::new();
    for DisabledRule { violation, disable, prefix, budget } in disabled_rules() {
        let mut setup = Setup { commit_immediately: true, ..setup() };
        disable(&mut setup);
        let liveness_check_interval = u64::from(violation == Violation::NeverAnswered);
        let bounds = Bounds { max_states: 30_000, max_depth: 30, liveness_check_interval };
        let model = Model::open(setup).after_all(&prefix);
        let result = search(&format!("{violation:?}"), model, budget, bounds);
        found.push((violation, result.violation));
    }
    for (expected, found) in found {
        assert_eq!(found, Some(expected));
    }
}

/// Guards against a violation by the whole protocol within a small number of steps.
#[test]
fn no_scenario_violates_an_invariant() {
    for Scenario { name, setup, budget } in scenarios() {
        let setup = Setup { commit_immediately: true, ..setup };
        let bounds = Bounds { max_states: 2_500, max_depth: 60, liveness_check_interval: 4 };
        assert_no_violation(&search(name, Model::open(setup), budget, bounds));
    }
}

/// Guards against a violation by resends and withdrawals over a link that fails. Covers every state
/// within the budget.
#[test]
fn resends_over_a_failed_link_violate_no_invariant() {
    let setup = Setup { commit_immediately: true, ..setup() };
    for sends in [vec![(0, 0), (0, 0)], vec![(0, 0), (1, 0)]] {
        let budget = Budget { sends, disconnects: 1, link_failures: 1, ..Budget::default() };
        let bounds = Bounds { max_states: 20_000, max_depth: 40, liveness_check_interval: 4 };
        let result = search("broken link", Model::open(setup.clone()), budget, bounds);
        assert_no_violation(&result);
        assert!(result.complete);
    }
}

/// Guards against a grant, a record or a claim that is lost when the leader is replaced. Covers
/// every state within the budget.
#[test]
fn a_replaced_leader_violates_no_invariant() {
    for service in [false, true] {
        let setup = Setup { service, ..setup() };
        let budget = Budget { sends: vec![(0, 0)], leader_replacements: 1, ..Budget::default() };
        let bounds = Bounds { max_states: 20_000, max_depth: 40, liveness_check_interval: 4 };
        let result = search("replaced leader", Model::open(setup), budget, bounds);
        assert_no_violation(&result);
        assert!(result.complete);
    }
}

/// Guards against violations in the same scenarios with larger bounds, for release mode.
#[test]
#[ignore = "takes minutes in release mode"]
fn no_scenario_violates_an_invariant_within_larger_bounds() {
    let bounds = |liveness_check_interval| Bounds {
        max_states: 100_000,
        max_depth: 60,
        liveness_check_interval,
    };
    let mut failed = Vec::new();
    for Scenario { name, setup, budget } in scenarios() {
        let result = search(name, Model::open(setup), budget, bounds(8));
        if result.violation.is_some() {
            println!("{:#?}", result.path);
            failed.push((name, result.violation));
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against violations that need more steps than the search can take.
#[test]
#[ignore = "takes a minute in release mode"]
fn no_random_walk_violates_an_invariant() {
    let everything = Budget {
        sends: vec![(0, 0), (1, 0), (0, 0), (1, 1)],
        connect_failures: 2,
        disconnects: 1,
        link_failures: 3,
        leader_replacements: 1,
        freezes: 1,
        kills: 1,
        advances: 5,
    };
    let mut failed = Vec::new();
    for (seed, one_message_per_delivery) in [(1, false), (2, true)] {
        for (tiers, targets, service) in [
            (vec![0, 0], 1, false),
            (vec![2, 0], 1, false),
            (vec![0, 0], 2, false),
            (vec![0, 0], 1, true),
        ] {
            let setup = Setup { tiers, targets, service, one_message_per_delivery, ..setup() };
            let result = random_walks("walk", &Model::open(setup), &everything, 20_000, seed);
            if result.violation.is_some() {
                println!("{:#?}", result.path);
                failed.push(result.violation);
            }
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}
