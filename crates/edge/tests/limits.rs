//! Allowances, retry budget and suspects: what all nodes share.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::allowance::{AllowanceLedger, AllowanceRule};
use burdockcleat_edge::budget::{BudgetRule, RetryBudget};
use burdockcleat_edge::suspects::SuspectLedger;

const RULE: AllowanceRule = AllowanceRule { window_ms: 8_000, overshoot: 0.1, tolerance: 10_000.0 };
const RATE: f64 = 10_000.0;
/// What the agreement allows in any window.
const AGREED: f64 = (RATE * 8.0 + RATE) * 1.1 + 10_000.0;
/// Workspace in the tests.
const KEY: u32 = 1;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

/// A workspace that sends many times its usual, at nodes that hear of each other 200 ms (12 nodes) or
/// 400 ms late (76 nodes), exceeds its allowance in some window; or it gets much less than the
/// allowance.
#[test]
fn a_hot_workspace_stays_within_its_window_over_all_nodes() {
    check_hot_workspace(12, 200);
    check_hot_workspace(76, 400);
}

fn check_hot_workspace(nodes: usize, lag_ms: u64) {
    const TICK_MS: u64 = 10;
    /// Asked for in each tick, at all nodes together: almost five times the rate.
    const ASKED: u64 = 480;
    let mut ledgers: Vec<_> = (0..nodes).map(|_| AllowanceLedger::new(RULE, true)).collect();
    for ledger in &mut ledgers {
        ledger.configure(KEY, RATE, RATE, at(0));
    }
    let mut admitted: Vec<(u64, f64)> = Vec::new();
    for tick in 0..3_000_u64 {
        let now = tick * TICK_MS;
        for ledger in &mut ledgers {
            let amount = ASKED / nodes as u64;
            if ledger.take(KEY, amount, 1.0, lag_ms, at(now)).is_ok() {
                admitted.push((now, amount as f64));
            }
        }
        if tick % (lag_ms / TICK_MS) == 0 {
            let totals: Vec<_> = ledgers.iter().map(AllowanceLedger::totals).collect();
            for (to, ledger) in ledgers.iter_mut().enumerate() {
                for (from, totals) in totals.iter().enumerate().filter(|(from, _)| *from != to) {
                    for (key, used) in totals {
                        ledger.report(from as u64, *key, *used, true, at(now));
                    }
                }
            }
        }
    }
    let window = |end: u64| -> f64 {
        let inside = admitted.iter().filter(|(ms, _)| *ms <= end && *ms + 8_000 > end);
        inside.map(|(_, amount)| amount).sum()
    };
    let most = (8_000..30_000).step_by(50).map(window).fold(0.0, f64::max);
    assert!(most <= AGREED, "{most} in a window of at most {AGREED}");
    let steady = window(29_000);
    assert!(steady >= RATE * 8.0, "only {steady} of {} in the last window", RATE * 8.0);
}

/// Two halves that do not hear each other use the allowance twice.
#[test]
fn halves_that_are_cut_off_share_the_allowance() {
    let mut halves = [AllowanceLedger::new(RULE, true), AllowanceLedger::new(RULE, true)];
    let mut sum = 0.0;
    for ledger in &mut halves {
        ledger.configure(KEY, RATE, RATE, at(0));
        while ledger.take(KEY, 100, 0.5, 200, at(0)).is_ok() {
            sum += 100.0;
        }
    }
    assert!(sum <= AGREED, "{sum}");
}

/// A node that restarts forgets what its workspace has used.
#[test]
fn a_restarted_node_takes_a_part_as_used() {
    let mut ledger = AllowanceLedger::new(RULE, false);
    ledger.configure(KEY, RATE, RATE, at(0));
    let mut sum = 0.0;
    while ledger.take(KEY, 100, 1.0, 200, at(0)).is_ok() {
        sum += 100.0;
    }
    assert!(sum < AGREED * 0.6, "{sum}");
    assert!(ledger.take(KEY, 100, 1.0, 200, at(9_000)).is_ok());
}

/// A refusal names a time at which the request is refused again.
#[test]
fn the_time_to_come_back_is_when_room_is_expected() {
    let mut ledger = AllowanceLedger::new(RULE, true);
    ledger.configure(KEY, RATE, RATE, at(0));
    while ledger.take(KEY, 1_000, 1.0, 200, at(0)).is_ok() {}
    let wait_ms = ledger.take(KEY, 1_000, 1.0, 200, at(2_000)).unwrap_err();
    assert!(ledger.take(KEY, 1_000, 1.0, 200, at(2_000 + wait_ms + 250)).is_ok(), "{wait_ms}");
}

/// What was refused later counts against the workspace.
#[test]
fn what_did_not_run_is_given_back() {
    let mut ledger = AllowanceLedger::new(RULE, true);
    ledger.configure(KEY, RATE, RATE, at(0));
    for _ in 0..10_000 {
        ledger.take(KEY, 1_000, 1.0, 200, at(0)).unwrap();
        ledger.give_back(KEY, 1_000, at(0));
    }
    assert!(ledger.totals().is_empty());
}

/// All nodes together retry more often than agreed.
#[test]
fn retries_of_all_nodes_stay_within_the_budget() {
    const NODES: usize = 10;
    let rule = BudgetRule { percent: 20, extra: 60, window_ms: 10_000 };
    let mut budgets: Vec<_> = (0..NODES).map(|_| RetryBudget::new(rule)).collect();
    let (mut retries, mut requests) = (Vec::new(), Vec::new());
    for now in (0..40_000).step_by(10) {
        for budget in &mut budgets {
            budget.count_request("engines", NODES, at(now));
            requests.push(now);
            while budget.take("engines", NODES, at(now)) {
                retries.push(now);
            }
        }
    }
    for end in (10_000..40_000).step_by(500) {
        let inside = |ms: &&u64| **ms <= end && **ms + 10_000 > end;
        let (retried, asked) =
            (retries.iter().filter(inside).count(), requests.iter().filter(inside).count());
        assert!(retried as f64 <= asked as f64 * 0.2 + 60.0, "{retried} retries of {asked}");
    }
}

/// A request that shared a target with the culprit is refused, or the culprit never is.
#[test]
fn a_request_is_refused_after_three_different_targets() {
    let mut ledger = SuspectLedger::default();
    for _ in 0..5 {
        ledger.record(7, "i-1/1", at(0));
    }
    assert!(!ledger.refused(7, at(0)), "one target that breaks again says nothing");
    ledger.record(7, "i-2/1", at(10));
    assert!(!ledger.refused(7, at(10)));
    ledger.record(7, "i-3/1", at(20));
    assert!(ledger.refused(7, at(20)));
    assert!(!ledger.refused(8, at(20)));
    assert!(!ledger.refused(7, at(200_000)), "a suspicion ends");
}
