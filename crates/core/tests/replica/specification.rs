//! Searches for violations of the invariants, with all rules and with each rule switched off.

use crate::cluster::{member, voters};
use crate::model::{Action, Setup, Violation, World};
use crate::search::{Budget, coarse_actions, fine_actions, search};
use burdockcleat_core::keys::NodeId;
use burdockcleat_core::replica::SafetyRules;

/// Expanded states per search, so that the whole run stays below a minute in debug mode.
/// `REPLICA_SEARCH_STATES` sets another limit for longer runs.
fn limit(states: usize) -> usize {
    std::env::var("REPLICA_SEARCH_STATES").ok().and_then(|text| text.parse().ok()).unwrap_or(states)
}

fn untimed(rules: SafetyRules) -> World {
    World::open(Setup::untimed(rules), false)
}

/// A world in which node 1 leads and holds its lease.
fn led(setup: Setup, spare: bool) -> World {
    let mut world = World::open(setup, spare);
    world.apply(&Action::Advance(700));
    world.with_exchange(Action::Tick(0))
}

fn whole(world: &World) -> Vec<Action> {
    coarse_actions(world, &[u8::MAX])
}

/// Exchanges that also end after the votes (4 deliveries) or after the first accepted entry (8).
fn cut(world: &World) -> Vec<Action> {
    coarse_actions(world, &[4, 8, u8::MAX])
}

fn elections() -> Budget {
    Budget { campaigns: 2, ..Budget::default() }
}

/// Two replicas have asked for pre-votes at the same time.
fn rivals(rules: SafetyRules) -> World {
    let mut world = untimed(rules);
    world.apply(&Action::Tick(0));
    world.apply(&Action::Tick(1));
    world
}

// Guards against two leaders of one term for every order of the messages of two candidates.
#[test]
fn holds_for_two_candidates() {
    let result = search(rivals(SafetyRules::default()), Budget::default(), 100_000, fine_actions);
    result.expect("two candidates", None);
    assert!(result.complete);
}

// Guards against two leaders, lost or different commits and diverging logs for every order of
// single deliveries, with a duplicate and a restart.
#[test]
fn holds_for_single_deliveries() {
    let budget = Budget { crashes: 1, duplicates: 1, proposals: 1, ..Budget::default() };
    let world = rivals(SafetyRules::default());
    search(world, budget, limit(20_000), fine_actions).expect("single deliveries", None);
}

// Guards against a log that diverges while entries are appended, retried and overwritten.
#[test]
fn holds_for_single_deliveries_after_an_election() {
    let budget = Budget { campaigns: 1, heartbeats: 1, proposals: 1, duplicates: 1, ..elections() };
    let world = untimed(SafetyRules::default()).with_exchange(Action::Tick(0));
    search(world, budget, limit(20_000), fine_actions).expect("after an election", None);
}

// Guards against the same over several elections with lost messages, a restart and a snapshot.
#[test]
fn holds_over_several_elections() {
    let budget =
        Budget { campaigns: 4, proposals: 2, crashes: 1, compactions: 1, ..Budget::default() };
    search(untimed(SafetyRules::default()), budget, limit(3_000), cut).expect("elections", None);
}

// Guards against an entry that is committed and lost when leaders of two terms alternate.
#[test]
fn holds_over_two_elections() {
    let world = with_lone_command(SafetyRules::default());
    let budget = Budget { campaigns: 3, heartbeats: 1, ..Budget::default() };
    let result = search(world, budget, 100_000, |world| coarse_actions(world, &[4, 8]));
    result.expect("two elections", None);
    assert!(result.complete);
}

/// Node 1 leads; node 4 was added as a learner and promoted.
fn with_four_voters() -> World {
    let world = World::open(Setup::untimed(SafetyRules::default()), true);
    let world = world.with_exchange(Action::Tick(0));
    let learner = voters(&[1, 2, 3]).with_learner(member(4));
    let promoted = learner.with_promoted(NodeId(4));
    world.with_exchange(Action::Change(0, learner)).with_exchange(Action::Change(0, promoted))
}

// Guards against majorities that do not overlap while a member is added and a disk is lost.
#[test]
fn holds_while_a_member_is_added() {
    let budget = Budget { campaigns: 1, changes: 2, lost_disks: 1, ..Budget::default() };
    let world = World::open(Setup::untimed(SafetyRules::default()), true);
    let world = world.with_exchange(Action::Tick(0));
    search(world, budget, limit(1_000), whole).expect("member added", None);
}

// Guards against majorities that do not overlap while a member is removed and another one
// restarts, which loses the knowledge of what is committed.
#[test]
fn holds_while_a_member_is_removed() {
    let budget = Budget { changes: 1, crashes: 1, ..elections() };
    search(with_four_voters(), budget, limit(1_000), whole).expect("member removed", None);
    let budget = Budget { campaigns: 1, changes: 1, ..Budget::default() };
    let result = search(with_four_voters(), budget, 100_000, whole);
    result.expect("member removed, one campaign", None);
    assert!(result.complete);
}

// Guards against the same faults of member changes beyond the bounds of a debug build. Covers every
// state within the budgets.
#[test]
#[ignore = "takes half a minute in release mode"]
fn member_changes_are_covered() {
    let budget = Budget { campaigns: 1, changes: 2, lost_disks: 1, ..Budget::default() };
    let world = World::open(Setup::untimed(SafetyRules::default()), true);
    let world = world.with_exchange(Action::Tick(0));
    let added = search(world, budget, 100_000, whole);
    added.expect("member added", None);
    let budget = Budget { changes: 1, crashes: 1, ..elections() };
    let removed = search(with_four_voters(), budget, 100_000, whole);
    removed.expect("member removed", None);
    assert!(added.complete && removed.complete);
}

fn lease_budget() -> Budget {
    Budget { campaigns: 1, heartbeats: 1, advances: 4, crashes: 1, ..Budget::default() }
}

// Guards against an answer from a leader that has been replaced, with clocks that differ by 19 %.
#[test]
fn lease_is_exclusive_within_the_clock_margin() {
    for rates in [[100, 119, 119], [119, 100, 119]] {
        let world = led(Setup::timed(SafetyRules::default(), &rates), false);
        search(world, lease_budget(), limit(12_000), whole).expect("lease", None);
    }
}

// Guards against a lease that overlaps with an election which a hand-over started.
#[test]
fn lease_is_exclusive_during_a_hand_over() {
    let budget = Budget { transfers: 1, heartbeats: 1, crashes: 1, duplicates: 1, ..elections() };
    let world = led(Setup::timed(SafetyRules::default(), &[]), false);
    search(world, budget, limit(15_000), fine_actions).expect("lease at hand-over", None);
}

// Guards against a lease check that does not notice clocks beyond the margin.
#[test]
fn lease_check_detects_clocks_beyond_the_margin() {
    let world = led(Setup::timed(SafetyRules::default(), &[100, 125, 125]), false);
    let result = search(world, lease_budget(), limit(12_000), whole);
    result.expect("clock margin", Some(Violation::Lease));
}

// Guards against a check that misses two votes in one term.
#[test]
fn detects_a_second_vote_in_a_term() {
    let world = rivals(SafetyRules { one_vote_per_term: false, ..SafetyRules::default() });
    let result = search(world, Budget::default(), limit(20_000), fine_actions);
    result.expect("second vote", Some(Violation::Election));
}

// Guards against a check that misses a leader with an outdated log.
#[test]
fn detects_a_leader_with_an_outdated_log() {
    let world = untimed(SafetyRules { require_up_to_date_log: false, ..SafetyRules::default() });
    let budget = Budget { proposals: 1, ..elections() };
    search(world, budget, limit(3_000), whole).expect("old log", Some(Violation::CommitLost));
}

/// Node 1 leads and holds a command that no other node has received.
fn with_lone_command(rules: SafetyRules) -> World {
    let mut world = untimed(rules).with_exchange(Action::Tick(0));
    let start = Box::new(Action::Propose(0));
    world.apply(&Action::Exchange { start, reach: 1, limit: 0 });
    world
}

// Guards against a check that misses entries appended after a different one.
#[test]
fn detects_an_append_after_a_different_entry() {
    let world =
        with_lone_command(SafetyRules { check_previous_entry: false, ..SafetyRules::default() });
    let budget = Budget { heartbeats: 1, ..elections() };
    search(world, budget, limit(6_000), whole).expect("append", Some(Violation::LogMatching));
}

// Guards against a check that misses an entry of an earlier term that is counted as committed and
// then overwritten.
#[test]
fn detects_a_commit_of_an_earlier_term() {
    let world = with_lone_command(SafetyRules {
        commit_current_term_only: false,
        ..SafetyRules::default()
    });
    let budget = Budget { campaigns: 4, heartbeats: 1, ..Budget::default() };
    let result = search(world, budget, limit(20_000), |world| coarse_actions(world, &[4, 8]));
    result.expect("earlier term", Some(Violation::CommitLost));
}

// Guards against a check that misses overlapping membership changes.
#[test]
fn detects_overlapping_changes() {
    let rules = SafetyRules { one_member_change: false, ..SafetyRules::default() };
    let world = World::open(Setup::untimed(rules), true).with_exchange(Action::Tick(0));
    let budget = Budget { changes: 2, ..Budget::default() };
    search(world, budget, limit(1_500), whole).expect("changes", Some(Violation::Changes));
}

// Guards against a check that misses a replica that lost its disk and votes again.
#[test]
fn detects_a_kept_identity_after_a_lost_disk() {
    let setup = Setup { keep_identity: true, ..Setup::untimed(SafetyRules::default()) };
    let world = World::open(setup, false).with_exchange(Action::Tick(0));
    let budget = Budget { proposals: 1, lost_disks: 1, ..elections() };
    search(world, budget, limit(3_000), whole).expect("identity", Some(Violation::CommitLost));
}

// Guards against a lease check that misses votes given too early.
#[test]
fn detects_votes_within_a_lease() {
    for rules in [
        SafetyRules { withhold_votes: false, ..SafetyRules::default() },
        SafetyRules { withhold_votes_after_restart: false, ..SafetyRules::default() },
    ] {
        let world = led(Setup::timed(rules.clone(), &[]), false);
        let result = search(world, lease_budget(), limit(12_000), whole);
        result.expect(&format!("early votes, {rules:?}"), Some(Violation::Lease));
    }
}

// Guards against a lease check that misses a leader that hands over and still answers.
#[test]
fn detects_a_lease_kept_during_the_hand_over() {
    let rules = SafetyRules { release_lease_on_transfer: false, ..SafetyRules::default() };
    let budget = Budget { transfers: 1, ..Budget::default() };
    let result = search(led(Setup::timed(rules, &[]), false), budget, limit(3_000), fine_actions);
    result.expect("hand-over", Some(Violation::Lease));
}
