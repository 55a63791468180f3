//! Exhaustive search of the claim specification over the real state machine.

#[path = "claims/entry.rs"]
mod entry;
#[path = "claims/machine.rs"]
mod machine;
#[path = "claims/spec.rs"]
mod spec;
#[path = "claims/world.rs"]
mod world;

use burdockcleat_core::state::ClaimRules;
use pathfinding::directed::bfs::bfs;
use spec::Spec;
use std::cell::{Cell, RefCell};
use world::{Fault, SpecBounds, SpecRules, StepLabel, Watch, World};

struct SearchReport {
    states: usize,
    /// States in which the request had run, had a recorded outcome, and in which the caller had
    /// been told `not_run`.
    reached: [usize; 3],
    machines: usize,
    fault: Option<Fault>,
    trace: Vec<StepLabel>,
}

/// Searches all worlds within the bounds, the nearest first, until an invariant is violated.
fn search(name: &str, rules: SpecRules, bounds: SpecBounds, watch: Watch) -> SearchReport {
    let (spec, start) = Spec::open(rules, bounds, watch);
    let spec = RefCell::new(spec);
    let (expanded, reached) = (Cell::new(0), Cell::new([0; 3]));
    let path = bfs(
        &start,
        |world: &World| {
            expanded.set(expanded.get() + 1);
            let facts = [world.dispatched, world.recorded.is_some(), world.told_not_run];
            reached.set(std::array::from_fn(|fact| reached.get()[fact] + usize::from(facts[fact])));
            let steps = spec.borrow_mut().steps(world);
            steps.into_iter().map(|(_, after)| after)
        },
        |world| world.fault.is_some(),
    );
    let mut spec = spec.into_inner();
    let path = path.unwrap_or_default();
    let trace = path.windows(2).map(|pair| label(&mut spec, &pair[0], &pair[1])).collect();
    let fault = path.last().and_then(|world| world.fault);
    let report = SearchReport {
        states: expanded.get(),
        reached: reached.get(),
        machines: spec.store.len(),
        fault,
        trace,
    };
    println!(
        "{name}: {} states ({:?} run, recorded, told), {} machine states, {:?}",
        report.states, report.reached, report.machines, report.fault
    );
    report.trace.iter().for_each(|step| println!("    {step:?}"));
    report
}

fn label(spec: &mut Spec, before: &World, after: &World) -> StepLabel {
    let mut steps = spec.steps(before).into_iter();
    steps.find(|(_, world)| world == after).map(|(label, _)| label).expect("a step of the path")
}

const SMALL: SpecBounds =
    SpecBounds { attempts: 2, log: 5, pending: 2, crashes: 0, freezes: 0, failover: false };
const ALL: Watch = &[Fault::SecondDispatch, Fault::FalseNotRun, Fault::OutcomeChanged];
const DISPATCH: Watch = &[Fault::SecondDispatch];
const NOT_RUN: Watch = &[Fault::FalseNotRun];
const OUTCOME: Watch = &[Fault::OutcomeChanged];

fn assert_holds(name: &str, rules: SpecRules, bounds: SpecBounds) {
    let report = search(name, rules, bounds, ALL);
    assert_eq!(report.fault, None, "{:#?}", report.trace);
    assert!(report.reached.iter().all(|&states| states > 0), "{:?}", report.reached);
}

fn assert_found(name: &str, rules: SpecRules, bounds: SpecBounds, watch: Watch) {
    assert_eq!(search(name, rules, bounds, watch).fault.as_ref(), watch.first());
}

fn without(change: impl FnOnce(&mut ClaimRules)) -> SpecRules {
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

/// Guards against the same faults when an entry crashes.
#[test]
fn invariants_hold_when_an_entry_crashes() {
    assert_holds("crash", SpecRules::default(), SpecBounds { crashes: 1, ..SMALL });
}

/// Guards against the same faults when an entry freezes and wakes.
#[test]
fn invariants_hold_when_an_entry_freezes() {
    assert_holds("freeze", SpecRules::default(), SpecBounds { freezes: 1, ..SMALL });
}

/// Guards against the same faults when failover, crash and freeze meet. Run in release mode.
#[test]
#[ignore = "too large for a debug build"]
fn invariants_hold_when_failures_meet() {
    let bounds = SpecBounds { log: 4, crashes: 1, freezes: 1, failover: true, ..SMALL };
    assert_holds("failures meet", SpecRules::default(), bounds);
}

/// Guards against the same faults in a failover with a release and a second claim. Run in
/// release mode.
#[test]
#[ignore = "too large for a debug build"]
fn invariants_hold_across_a_failover_with_a_longer_log() {
    let bounds = SpecBounds { log: 6, failover: true, crashes: 1, ..SMALL };
    assert_holds("longer log", SpecRules::default(), bounds);
}

/// Guards against the same faults when the caller sends three times. Run in release mode.
#[test]
#[ignore = "too large for a debug build"]
fn invariants_hold_with_three_attempts() {
    let bounds = SpecBounds { attempts: 3, log: 4, failover: true, ..SMALL };
    assert_holds("three attempts", SpecRules::default(), bounds);
}

/// Guards against a search that cannot see a second dispatch: a second claim of an open key must
/// be found.
#[test]
fn claiming_an_open_key_is_found() {
    let rules = without(|rules| rules.refuse_while_open = false);
    assert_found("claim while open", rules, SMALL, DISPATCH);
}

/// Guards against a search that does not reach attempts after the end of the request.
#[test]
fn claiming_after_the_end_is_found() {
    let rules = without(|rules| rules.refuse_after_end = false);
    assert_found("claim after the end", rules, SMALL, DISPATCH);
    assert_found("claim after the end", rules, SMALL, OUTCOME);
}

/// Guards against a search without late messages: a late release of an earlier claim must be
/// found when any release closes the claim of its key.
#[test]
fn a_release_without_ownership_check_is_found() {
    let rules = without(|rules| rules.check_claim_number = false);
    assert_found("release of any claim", rules, SMALL, DISPATCH);
}

/// Guards against a search without late finish reports: one after the claim ended as unknown
/// must be found when it changes the outcome.
#[test]
fn a_second_outcome_is_found() {
    let rules = without(|rules| rules.keep_first_outcome = false);
    assert_found("second outcome", rules, SpecBounds { freezes: 1, ..SMALL }, OUTCOME);
}

/// Guards against a search without crashes after a dispatch: dropping the claims of a lost entry
/// must be found.
#[test]
fn dropping_the_claims_of_a_lost_entry_is_found() {
    let rules = without(|rules| rules.keep_ownerless = false);
    assert_found("claims dropped", rules, SpecBounds { crashes: 1, ..SMALL }, DISPATCH);
}

/// Guards against an entry that forgets which claims it has used: a duplicated grant must lead
/// to a second dispatch.
#[test]
fn forgetting_used_claims_is_found() {
    let rules = SpecRules { remember_claims: false, ..Default::default() };
    assert_found("claims forgotten", rules, SMALL, DISPATCH);
}

/// Guards against the belief that a barrier is enough for a caller that sends again: an earlier
/// attempt whose submit arrives after the confirmation still runs.
#[test]
fn a_refusal_by_barrier_alone_is_found() {
    let rules = SpecRules { durable_refusal: false, ..Default::default() };
    assert_found("barrier only", rules, SMALL, NOT_RUN);
}

/// Guards against a deposed leader that tells `not_run` from what it knew: without the
/// confirmation, it must be found even if callers wait; with it, a barrier is enough for them.
#[test]
fn an_unconfirmed_refusal_is_found() {
    let barrier = SpecRules { durable_refusal: false, caller_waits: true, ..Default::default() };
    let bounds = SpecBounds { log: 4, failover: true, ..SMALL };
    assert_holds("barrier, caller waits", barrier, bounds);
    let unconfirmed = SpecRules { confirm_refusal: false, ..barrier };
    assert_found("unconfirmed refusal", unconfirmed, bounds, NOT_RUN);
}
