//! Exhaustive search of the claim specification, using the production state machine.

#[path = "claims/entry.rs"]
mod entry;
#[path = "claims/machine.rs"]
mod machine;
#[path = "claims/spec.rs"]
mod spec;
#[path = "claims/state.rs"]
mod state;

use burdockcleat_core::state::ClaimRules;
use pathfinding::directed::bfs::bfs;
use spec::Spec;
use state::{CheckedInvariants, SpecBounds, SpecRules, SpecState, StepLabel, Violation};
use std::cell::{Cell, RefCell};

struct SearchReport {
    states: usize,
    /// Numbers of states in which the request had been dispatched, had a recorded outcome, and had
    /// been reported to the caller as `not_run`.
    reached: [usize; 3],
    machines: usize,
    violation: Option<Violation>,
    trace: Vec<StepLabel>,
}

/// Searches all states within the bounds breadth-first until an invariant is violated.
fn search(
    name: &str,
    rules: SpecRules,
    bounds: SpecBounds,
    checked: CheckedInvariants,
) -> SearchReport {
    let (spec, start) = Spec::open(rules, bounds, checked);
    let spec = RefCell::new(spec);
    let (expanded, reached) = (Cell::new(0), Cell::new([0; 3]));
    let path = bfs(
        &start,
        |state: &SpecState| {
            expanded.set(expanded.get() + 1);
            let conditions = [state.dispatched, state.recorded.is_some(), state.reported_not_run];
            reached.set(std::array::from_fn(|condition| {
                reached.get()[condition] + usize::from(conditions[condition])
            }));
            let steps = spec.borrow_mut().steps(state);
            steps.into_iter().map(|(_, after)| after)
        },
        |state| state.violation.is_some(),
    );
    let mut spec = spec.into_inner();
    let path = path.unwrap_or_default();
    let trace = path.windows(2).map(|pair| label(&mut spec, &pair[0], &pair[1])).collect();
    let violation = path.last().and_then(|state| state.violation);
    let report = SearchReport {
        states: expanded.get(),
        reached: reached.get(),
        machines: spec.store.len(),
        violation,
        trace,
    };
    println!(
        "{name}: {} states ({:?} dispatched, recorded, reported as not run), {} machine states, {:?}",
        report.states, report.reached, report.machines, report.violation
    );
    report.trace.iter().for_each(|step| println!("    {step:?}"));
    report
}

fn label(spec: &mut Spec, before: &SpecState, after: &SpecState) -> StepLabel {
    let mut steps = spec.steps(before).into_iter();
    steps.find(|(_, state)| state == after).map(|(label, _)| label).expect("a step of the path")
}

const SMALL: SpecBounds =
    SpecBounds { attempts: 2, log: 5, pending: 2, crashes: 0, freezes: 0, failover: false };
const ALL: CheckedInvariants =
    &[Violation::SecondDispatch, Violation::FalseNotRun, Violation::OutcomeChanged];
const DISPATCH: CheckedInvariants = &[Violation::SecondDispatch];
const NOT_RUN: CheckedInvariants = &[Violation::FalseNotRun];
const OUTCOME: CheckedInvariants = &[Violation::OutcomeChanged];

fn assert_holds(name: &str, rules: SpecRules, bounds: SpecBounds) {
    let report = search(name, rules, bounds, ALL);
    assert_eq!(report.violation, None, "{:#?}", report.trace);
    assert!(report.reached.iter().all(|&states| states > 0), "{:?}", report.reached);
}

fn assert_violates(name: &str, rules: SpecRules, bounds: SpecBounds, checked: CheckedInvariants) {
    assert_eq!(search(name, rules, bounds, checked).violation.as_ref(), checked.first());
}

fn without_rule(change: impl FnOnce(&mut ClaimRules)) -> SpecRules {
    let mut rules = SpecRules::default();
    change(&mut rules.machine);
    rules
}

/// Guards against a double dispatch, a false `not_run` or a changed outcome when the leader
/// changes.
#[test]
fn invariants_hold_across_a_failover() {
    assert_holds("failover", SpecRules::default(), SpecBounds { log: 4, failover: true, ..SMALL });
}

/// Guards against the same violations when an entry crashes.
#[test]
fn invariants_hold_when_an_entry_crashes() {
    assert_holds("crash", SpecRules::default(), SpecBounds { crashes: 1, ..SMALL });
}

/// Guards against the same violations when an entry freezes and resumes.
#[test]
fn invariants_hold_when_an_entry_freezes() {
    assert_holds("freeze", SpecRules::default(), SpecBounds { freezes: 1, ..SMALL });
}

/// Guards against the same violations when a failover, a crash and a freeze are combined. Run in
/// release mode.
#[test]
#[ignore = "too large for a debug build"]
fn invariants_hold_when_failures_coincide() {
    let bounds = SpecBounds { log: 4, crashes: 1, freezes: 1, failover: true, ..SMALL };
    assert_holds("failures meet", SpecRules::default(), bounds);
}

/// Guards against the same violations in a failover with a release and a second claim. Run in
/// release mode.
#[test]
#[ignore = "too large for a debug build"]
fn invariants_hold_across_a_failover_with_a_longer_log() {
    let bounds = SpecBounds { log: 6, failover: true, crashes: 1, ..SMALL };
    assert_holds("longer log", SpecRules::default(), bounds);
}

/// Guards against the same violations when the caller sends three times. Run in release mode.
#[test]
#[ignore = "too large for a debug build"]
fn invariants_hold_with_three_attempts() {
    let bounds = SpecBounds { attempts: 3, log: 4, failover: true, ..SMALL };
    assert_holds("three attempts", SpecRules::default(), bounds);
}

/// Guards against a search that misses a second dispatch: it must detect a second claim of an open
/// key.
#[test]
fn claiming_an_open_key_is_detected() {
    let rules = without_rule(|rules| rules.refuse_while_open = false);
    assert_violates("claim while open", rules, SMALL, DISPATCH);
}

/// Guards against a search that does not reach attempts made after the request has ended.
#[test]
fn claiming_after_the_end_is_detected() {
    let rules = without_rule(|rules| rules.refuse_after_end = false);
    assert_violates("claim after the end", rules, SMALL, DISPATCH);
    assert_violates("claim after the end", rules, SMALL, OUTCOME);
}

/// Guards against a search without delayed messages: if any release closes the claim of its key,
/// it must detect a delayed release of an earlier claim.
#[test]
fn a_release_without_ownership_check_is_detected() {
    let rules = without_rule(|rules| rules.check_claim_number = false);
    assert_violates("release of any claim", rules, SMALL, DISPATCH);
}

/// Guards against a search without delayed finish reports: it must detect one that arrives after
/// the claim ended as unknown and changes the outcome.
#[test]
fn a_second_outcome_is_detected() {
    let rules = without_rule(|rules| rules.keep_first_outcome = false);
    assert_violates("second outcome", rules, SpecBounds { freezes: 1, ..SMALL }, OUTCOME);
}

/// Guards against a search without crashes after a dispatch: it must detect that the claims of a
/// lost entry are dropped.
#[test]
fn dropping_the_claims_of_a_lost_entry_is_detected() {
    let rules = without_rule(|rules| rules.keep_ownerless = false);
    assert_violates("claims dropped", rules, SpecBounds { crashes: 1, ..SMALL }, DISPATCH);
}

/// Guards against a search without duplicated grants: if an entry does not remember the claims it
/// has used, a duplicated grant must lead to a second dispatch.
#[test]
fn forgetting_used_claims_is_detected() {
    let rules = SpecRules { remember_claims: false, ..Default::default() };
    assert_violates("claims forgotten", rules, SMALL, DISPATCH);
}

/// Guards against refusals that are confirmed by a barrier only. If the caller resends, an earlier
/// attempt whose submit arrives after the confirmation still runs.
#[test]
fn a_refusal_by_barrier_alone_is_detected() {
    let rules = SpecRules { durable_refusal: false, ..Default::default() };
    assert_violates("barrier only", rules, SMALL, NOT_RUN);
}

/// Guards against a deposed leader that reports `not_run` from outdated state. Without a
/// confirmation the search must detect it, even if callers wait for the earlier attempt to end
/// before they resend. For such callers, a barrier is a sufficient confirmation.
#[test]
fn an_unconfirmed_refusal_is_detected() {
    let barrier = SpecRules { durable_refusal: false, caller_waits: true, ..Default::default() };
    let bounds = SpecBounds { log: 4, failover: true, ..SMALL };
    assert_holds("barrier, caller waits", barrier, bounds);
    let unconfirmed = SpecRules { confirm_refusal: false, ..barrier };
    assert_violates("unconfirmed refusal", unconfirmed, bounds, NOT_RUN);
}
