//! Searches for violations of the invariants, with all safety rules and with each one disabled.

use crate::cluster::{member, voters};
use crate::model::{Action, Model, Setup, Violation};
use crate::search::{Budget, exchange_actions, search, single_message_actions};
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::replica::SafetyRules;

/// Returns the limit on the expanded states of a search. The defaults keep the whole run below a
/// minute in debug mode; `REPLICA_SEARCH_STATES` overrides them for longer runs.
fn state_limit(states: usize) -> usize {
    std::env::var("REPLICA_SEARCH_STATES").ok().and_then(|text| text.parse().ok()).unwrap_or(states)
}

fn untimed(rules: SafetyRules) -> Model {
    Model::open(Setup::untimed(rules), false)
}

/// Returns a model in which node 1 is the leader with a valid lease.
fn with_leader(setup: Setup, spare_node: bool) -> Model {
    let mut model = Model::open(setup, spare_node);
    model.apply(&Action::Advance(700));
    model.with_exchange(Action::Tick(0))
}

fn complete_exchanges(model: &Model) -> Vec<Action> {
    exchange_actions(model, &[u8::MAX])
}

/// Returns exchanges that also end after the votes (4 deliveries) or after the first accepted entry
/// (8 deliveries).
fn truncated_exchanges(model: &Model) -> Vec<Action> {
    exchange_actions(model, &[4, 8, u8::MAX])
}

fn election_budget() -> Budget {
    Budget { campaigns: 2, ..Budget::default() }
}

/// Returns a model in which two replicas have requested pre-votes at the same time.
fn two_candidates(rules: SafetyRules) -> Model {
    let mut model = untimed(rules);
    model.apply(&Action::Tick(0));
    model.apply(&Action::Tick(1));
    model
}

// Guards against two leaders in one term, for every order of the messages of two candidates.
#[test]
fn invariants_hold_for_two_candidates() {
    let result = search(
        two_candidates(SafetyRules::default()),
        Budget::default(),
        100_000,
        single_message_actions,
    );
    result.assert_violation("two candidates", None);
    assert!(result.complete);
}

// Guards against two leaders, lost or conflicting commits and diverging logs, for every order of
// single deliveries with one duplicate and one restart.
#[test]
fn invariants_hold_for_single_deliveries() {
    let budget = Budget { crashes: 1, duplicates: 1, proposals: 1, ..Budget::default() };
    let model = two_candidates(SafetyRules::default());
    search(model, budget, state_limit(20_000), single_message_actions)
        .assert_violation("single deliveries", None);
}

// Guards against a log that diverges while entries are appended, retried and overwritten.
#[test]
fn invariants_hold_for_single_deliveries_after_an_election() {
    let budget =
        Budget { campaigns: 1, heartbeats: 1, proposals: 1, duplicates: 1, ..election_budget() };
    let model = untimed(SafetyRules::default()).with_exchange(Action::Tick(0));
    search(model, budget, state_limit(20_000), single_message_actions)
        .assert_violation("after an election", None);
}

// Guards against the same violations over several elections with lost messages, a restart and a
// snapshot.
#[test]
fn invariants_hold_over_several_elections() {
    let budget =
        Budget { campaigns: 4, proposals: 2, crashes: 1, compactions: 1, ..Budget::default() };
    search(untimed(SafetyRules::default()), budget, state_limit(3_000), truncated_exchanges)
        .assert_violation("elections", None);
}

// Guards against an entry that is committed and lost when leaders of two terms alternate.
#[test]
fn invariants_hold_over_two_elections() {
    let model = with_unreplicated_command(SafetyRules::default());
    let budget = Budget { campaigns: 3, heartbeats: 1, ..Budget::default() };
    let result = search(model, budget, 100_000, |model| exchange_actions(model, &[4, 8]));
    result.assert_violation("two elections", None);
    assert!(result.complete);
}

/// Returns a model in which node 1 is the leader, and node 4 was added as a learner and promoted.
fn with_four_voters() -> Model {
    let model = Model::open(Setup::untimed(SafetyRules::default()), true);
    let model = model.with_exchange(Action::Tick(0));
    let learner = voters(&[1, 2, 3]).with_learner(member(4));
    let promoted = learner.with_promoted(NodeId(4));
    model.with_exchange(Action::Change(0, learner)).with_exchange(Action::Change(0, promoted))
}

// Guards against majorities that do not overlap while a member is added and a disk is lost.
#[test]
fn invariants_hold_while_a_member_is_added() {
    let budget = Budget { campaigns: 1, changes: 2, lost_disks: 1, ..Budget::default() };
    let model = Model::open(Setup::untimed(SafetyRules::default()), true);
    let model = model.with_exchange(Action::Tick(0));
    search(model, budget, state_limit(1_000), complete_exchanges)
        .assert_violation("member added", None);
}

// Guards against majorities that do not overlap while a member is removed and another one restarts
// and so forgets which entries are committed.
#[test]
fn invariants_hold_while_a_member_is_removed() {
    let budget = Budget { changes: 1, crashes: 1, ..election_budget() };
    search(with_four_voters(), budget, state_limit(1_000), complete_exchanges)
        .assert_violation("member removed", None);
    let budget = Budget { campaigns: 1, changes: 1, ..Budget::default() };
    let result = search(with_four_voters(), budget, 100_000, complete_exchanges);
    result.assert_violation("member removed, one campaign", None);
    assert!(result.complete);
}

// Guards against the same violations beyond the bounds of a debug build. Covers every state within
// the budgets.
#[test]
#[ignore = "takes half a minute in release mode"]
fn member_changes_are_covered() {
    let budget = Budget { campaigns: 1, changes: 2, lost_disks: 1, ..Budget::default() };
    let model = Model::open(Setup::untimed(SafetyRules::default()), true);
    let model = model.with_exchange(Action::Tick(0));
    let added = search(model, budget, 100_000, complete_exchanges);
    added.assert_violation("member added", None);
    let budget = Budget { changes: 1, crashes: 1, ..election_budget() };
    let removed = search(with_four_voters(), budget, 100_000, complete_exchanges);
    removed.assert_violation("member removed", None);
    assert!(added.complete && removed.complete);
}

fn lease_budget() -> Budget {
    Budget { campaigns: 1, heartbeats: 1, advances: 4, crashes: 1, ..Budget::default() }
}

// Guards against a lease that is still valid after another leader was elected, with clock rates
// that differ by 19 %.
#[test]
fn lease_is_exclusive_within_the_clock_margin() {
    for clock_rates in [[100, 119, 119], [119, 100, 119]] {
        let model = with_leader(Setup::timed(SafetyRules::default(), &clock_rates), false);
        search(model, lease_budget(), state_limit(12_000), complete_exchanges)
            .assert_violation("lease", None);
    }
}

// Guards against a lease that overlaps with an election that a leadership transfer started.
#[test]
fn lease_is_exclusive_during_a_leadership_transfer() {
    let budget =
        Budget { transfers: 1, heartbeats: 1, crashes: 1, duplicates: 1, ..election_budget() };
    let model = with_leader(Setup::timed(SafetyRules::default(), &[]), false);
    search(model, budget, state_limit(15_000), single_message_actions)
        .assert_violation("lease at hand-over", None);
}

// Guards against a lease check that does not detect clock rates beyond the margin.
#[test]
fn lease_check_detects_clocks_beyond_the_margin() {
    let model = with_leader(Setup::timed(SafetyRules::default(), &[100, 125, 125]), false);
    let result = search(model, lease_budget(), state_limit(12_000), complete_exchanges);
    result.assert_violation("clock margin", Some(Violation::OverlappingLease));
}

// Guards against a check that misses two votes in one term.
#[test]
fn detects_a_second_vote_in_a_term() {
    let model = two_candidates(SafetyRules { one_vote_per_term: false, ..SafetyRules::default() });
    let result = search(model, Budget::default(), state_limit(20_000), single_message_actions);
    result.assert_violation("second vote", Some(Violation::TwoLeaders));
}

// Guards against a check that misses a leader with an outdated log.
#[test]
fn detects_a_leader_with_an_outdated_log() {
    let model = untimed(SafetyRules { require_up_to_date_log: false, ..SafetyRules::default() });
    let budget = Budget { proposals: 1, ..election_budget() };
    search(model, budget, state_limit(3_000), complete_exchanges)
        .assert_violation("old log", Some(Violation::LostCommit));
}

/// Returns a model in which node 1 is the leader and has a command that no other node has received.
fn with_unreplicated_command(rules: SafetyRules) -> Model {
    let mut model = untimed(rules).with_exchange(Action::Tick(0));
    let start = Box::new(Action::Propose(0));
    model.apply(&Action::Exchange { start, reachable: 1, limit: 0 });
    model
}

// Guards against a check that misses entries that a follower appended after a different entry.
#[test]
fn detects_an_append_after_a_different_entry() {
    let model = with_unreplicated_command(SafetyRules {
        check_previous_entry: false,
        ..SafetyRules::default()
    });
    let budget = Budget { heartbeats: 1, ..election_budget() };
    search(model, budget, state_limit(6_000), complete_exchanges)
        .assert_violation("append", Some(Violation::LogMatching));
}

// Guards against a check that misses an entry of an earlier term that was committed by counting
// replicas and then overwritten.
#[test]
fn detects_a_commit_of_an_earlier_term() {
    let model = with_unreplicated_command(SafetyRules {
        commit_current_term_only: false,
        ..SafetyRules::default()
    });
    let budget = Budget { campaigns: 4, heartbeats: 1, ..Budget::default() };
    let result =
        search(model, budget, state_limit(20_000), |model| exchange_actions(model, &[4, 8]));
    result.assert_violation("earlier term", Some(Violation::LostCommit));
}

// Guards against a check that misses overlapping membership changes.
#[test]
fn detects_overlapping_changes() {
    let rules = SafetyRules { one_member_change: false, ..SafetyRules::default() };
    let model = Model::open(Setup::untimed(rules), true).with_exchange(Action::Tick(0));
    let budget = Budget { changes: 2, ..Budget::default() };
    search(model, budget, state_limit(1_500), complete_exchanges)
        .assert_violation("changes", Some(Violation::OverlappingChanges));
}

// Guards against a check that misses a replica that lost its disk and then votes a second time.
#[test]
fn detects_a_kept_identity_after_a_lost_disk() {
    let setup = Setup { keep_identity: true, ..Setup::untimed(SafetyRules::default()) };
    let model = Model::open(setup, false).with_exchange(Action::Tick(0));
    let budget = Budget { proposals: 1, lost_disks: 1, ..election_budget() };
    search(model, budget, state_limit(3_000), complete_exchanges)
        .assert_violation("identity", Some(Violation::LostCommit));
}

// Guards against a lease check that misses votes granted while a lease may still be valid.
#[test]
fn detects_votes_within_a_lease() {
    for rules in [
        SafetyRules { withhold_votes: false, ..SafetyRules::default() },
        SafetyRules { withhold_votes_after_restart: false, ..SafetyRules::default() },
    ] {
        let model = with_leader(Setup::timed(rules.clone(), &[]), false);
        let result = search(model, lease_budget(), state_limit(12_000), complete_exchanges);
        result.assert_violation(
            &format!("early votes, {rules:?}"),
            Some(Violation::OverlappingLease),
        );
    }
}

// Guards against a lease check that misses a leader whose lease stays valid during a leadership
// transfer.
#[test]
fn detects_a_lease_kept_during_a_leadership_transfer() {
    let rules = SafetyRules { release_lease_on_transfer: false, ..SafetyRules::default() };
    let budget = Budget { transfers: 1, ..Budget::default() };
    let result = search(
        with_leader(Setup::timed(rules, &[]), false),
        budget,
        state_limit(3_000),
        single_message_actions,
    );
    result.assert_violation("hand-over", Some(Violation::OverlappingLease));
}
