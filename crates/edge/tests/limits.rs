//! Limits shared by all nodes: allowances and retry budget.

mod support;

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::allowance::{AllowanceRule, AllowanceTracker, AllowanceUsage, NodeView};
use burdockcleat_edge::budget::{BudgetRule, RetryBudget};
use support::connected_view;

const RULE: AllowanceRule = AllowanceRule { window_ms: 8_000, overshoot: 0.1, tolerance: 10_000.0 };
const RATE: f64 = 10_000.0;
/// Amount allowed in any window.
const AGREED: f64 = (RATE * 8.0 + RATE) * 1.1 + 10_000.0;
/// Key of the workspace in the tests.
const KEY: u32 = 1;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

/// Guards against a workspace that exceeds its allowance in some window, or gets much less than it,
/// when it sends many times its usual amount. Nodes receive each other's reports 200 ms late (12
/// nodes) or 400 ms late (76 nodes).
#[test]
fn a_hot_workspace_stays_within_its_window_over_all_nodes() {
    check_hot_workspace(12, 200);
    check_hot_workspace(76, 400);
}

fn check_hot_workspace(nodes: usize, lag_ms: u64) {
    const TICK_MS: u64 = 10;
    /// Amount requested in each tick at all nodes together, almost five times the rate.
    const ASKED: u64 = 480;
    let mut trackers: Vec<_> = (0..nodes).map(|_| AllowanceTracker::new(RULE, true)).collect();
    for tracker in &mut trackers {
        tracker.configure(KEY, RATE, RATE, at(0));
    }
    let mut admitted: Vec<(u64, f64)> = Vec::new();
    for tick in 0..3_000_u64 {
        let now = tick * TICK_MS;
        for tracker in &mut trackers {
            let amount = ASKED / nodes as u64;
            if tracker.reserve(KEY, amount, &connected_view(nodes, lag_ms), at(now)).is_ok() {
                tracker.commit(KEY, amount, at(now));
                admitted.push((now, amount as f64));
            }
        }
        if tick % (lag_ms / TICK_MS) == 0 {
            exchange_reports(&mut trackers, now);
        }
    }
    let most = most_in_a_window(&admitted);
    assert!(most <= AGREED, "{most} in a window of at most {AGREED}");
    let last: f64 = admitted.iter().filter(|(ms, _)| *ms > 21_000).map(|(_, amount)| amount).sum();
    assert!(last >= RATE * 8.0, "only {last} of {} in the last window", RATE * 8.0);
}

fn exchange_reports(trackers: &mut [AllowanceTracker], now: u64) {
    let totals: Vec<_> = trackers.iter().map(AllowanceTracker::totals).collect();
    for (to, tracker) in trackers.iter_mut().enumerate() {
        for (from, totals) in totals.iter().enumerate().filter(|(from, _)| *from != to) {
            for (key, taken) in totals {
                tracker.apply_report(from as u64, *key, *taken, true, false, at(now));
            }
        }
    }
}

/// Returns the largest sum in any window of 8 s.
fn most_in_a_window(amounts: &[(u64, f64)]) -> f64 {
    let window = |end: u64| -> f64 {
        let inside = amounts.iter().filter(|(ms, _)| *ms <= end && *ms + 8_000 > end);
        inside.map(|(_, amount)| amount).sum()
    };
    (8_000..40_000).step_by(100).map(window).fold(0.0, f64::max)
}

/// Guards against exceeding the allowance when much of the window expires at once and refused callers
/// come back at that time to all nodes, each of which sees the whole room (QUOTA, `isolated.toml`
/// varied on tbbwa-burdock, seed 868238114225: 2,087,906 of 1,996,656 tokens).
#[test]
fn callers_that_return_together_stay_within_the_window() {
    const TICK_MS: u64 = 10;
    const LAG_MS: u64 = 200;
    const AMOUNT: u64 = 300;
    /// Tries of a caller, the first one included.
    const TRIES: u64 = 3;
    for nodes in [10, 30] {
        let mut trackers: Vec<_> = (0..nodes).map(|_| AllowanceTracker::new(RULE, true)).collect();
        for tracker in &mut trackers {
            tracker.configure(KEY, RATE, RATE, at(0));
        }
        let mut admitted: Vec<(u64, f64)> = Vec::new();
        // Time, node and number of the try.
        let mut tries: Vec<(u64, usize, u64)> = Vec::new();
        let (mut owed, mut turn) = (0.0, 0);
        for now in (0..40_000_u64).step_by(TICK_MS as usize) {
            // A burst that fills the window is followed by silence and the return of its callers.
            let factor = if now < 2_500 { 6.0 } else { 1.5 };
            owed += RATE * factor * TICK_MS as f64 / 1_000.0;
            while owed >= AMOUNT as f64 {
                owed -= AMOUNT as f64;
                turn += 7;
                tries.push((now, turn % nodes, 1));
            }
            let due: Vec<_> = tries.extract_if(.., |(time, ..)| *time <= now).collect();
            for (_, node, number) in due {
                let view = connected_view(nodes, LAG_MS);
                match trackers[node].reserve(KEY, AMOUNT, &view, at(now)) {
                    Ok(()) => {
                        trackers[node].commit(KEY, AMOUNT, at(now));
                        admitted.push((now, AMOUNT as f64));
                    }
                    Err(wait_ms) if number < TRIES => {
                        tries.push((now + wait_ms, (node + 3) % nodes, number + 1));
                    }
                    Err(_) => {}
                }
            }
            if now % LAG_MS == 0 {
                exchange_reports(&mut trackers, now);
            }
        }
        let most = most_in_a_window(&admitted);
        assert!(most <= AGREED, "{nodes} nodes: {most} in a window of at most {AGREED}");
        let last = admitted.iter().filter(|(ms, _)| *ms > 31_000);
        let last: f64 = last.map(|(_, amount)| amount).sum();
        assert!(last >= RATE * 8.0, "{nodes} nodes: only {last} in the last window");
    }
}

/// Guards against nodes that hear nobody and each admit as much as all nodes together.
#[test]
fn nodes_that_hear_nobody_share_the_allowance() {
    const NODES: usize = 10;
    let alone = NodeView { reachable: 1, ..connected_view(NODES, 200) };
    let mut sum = 0.0;
    for _ in 0..NODES {
        let mut tracker = AllowanceTracker::new(RULE, true);
        tracker.configure(KEY, RATE, RATE, at(0));
        while tracker.reserve(KEY, 100, &alone, at(0)).is_ok() {
            tracker.commit(KEY, 100, at(0));
            sum += 100.0;
        }
    }
    assert!(sum <= AGREED, "{sum}");
    assert!(sum >= AGREED * 0.8, "{sum}");
}

/// Guards against a node that hears some of the others, but not the nodes with a disk that these
/// hear, and shares what they use without knowing it.
#[test]
fn a_node_is_restricted_if_others_hear_what_it_does_not() {
    let all = connected_view(10, 200);
    assert!(!all.is_restricted());
    // Four nodes with a disk are partitioned into halves; the six others hear all of them.
    let half = NodeView { reachable: 8, recent_disk_majority: false, ..all };
    assert!(half.is_restricted());
    let others = NodeView { restricted_peers: 4, ..all };
    assert!(!others.is_restricted());
    assert_eq!(others.absent(), 4);
    // All nodes with a disk are down.
    let none = NodeView { reachable: 6, peer_disk_majority: false, ..half };
    assert!(!none.is_restricted());
    assert_eq!(none.absent(), 4);
}

/// Guards against a restarted node that forgets the usage of a workspace.
#[test]
fn a_restarted_node_counts_a_fraction_as_used() {
    let mut tracker = AllowanceTracker::new(RULE, false);
    tracker.configure(KEY, RATE, RATE, at(0));
    let mut sum = 0.0;
    while tracker.reserve(KEY, 100, &connected_view(12, 200), at(0)).is_ok() {
        tracker.commit(KEY, 100, at(0));
        sum += 100.0;
    }
    assert!(sum < AGREED * 0.6, "{sum}");
    assert!(tracker.reserve(KEY, 100, &connected_view(12, 200), at(9_000)).is_ok());
}

/// Guards against usage before and after a power loss of all nodes that together exceeds the
/// allowance. A workspace is at its limit, and its callers retry immediately (search run
/// hunt-c959-3).
#[test]
fn a_loss_of_all_nodes_does_not_double_the_allowance() {
    /// Minimum time for which all nodes are down, including their start, in ms.
    const DOWN_MS: u64 = 1_700;
    const LOST_AT_MS: u64 = 20_000;
    let mut amounts = Vec::new();
    let mut use_up = |tracker: &mut AllowanceTracker, start_ms: u64, from: u64, to: u64| {
        for now in (from..to).step_by(20) {
            while tracker.reserve(KEY, 100, &connected_view(12, 200), at(now - start_ms)).is_ok() {
                tracker.commit(KEY, 100, at(now - start_ms));
                amounts.push((now, 100.0));
                // Before the loss, a steady caller uses no more than the rate of the window.
                if now < LOST_AT_MS && amounts.len() as f64 * 100.0 > now as f64 * AGREED / 8_000.0
                {
                    break;
                }
            }
        }
    };
    let mut before = AllowanceTracker::new(RULE, true);
    before.configure(KEY, RATE, RATE, at(0));
    use_up(&mut before, 0, 0, LOST_AT_MS);
    let started = LOST_AT_MS + DOWN_MS;
    let mut after = AllowanceTracker::new(RULE, false);
    after.configure(KEY, RATE, RATE, at(0));
    use_up(&mut after, started, started, 40_000);
    let most = most_in_a_window(&amounts);
    assert!(most <= AGREED, "{most} of {AGREED}");
}

/// Guards against refusals for seconds after a restart, when a workspace sends its usual amount,
/// half of its limit. The usage assumed at the start must not expire all at once at the end of the
/// window.
#[test]
fn usage_assumed_after_a_restart_expires_gradually() {
    let mut tracker = AllowanceTracker::new(RULE, false);
    tracker.configure(KEY, RATE, RATE, at(0));
    for now in (0..10_000).step_by(20) {
        let amount = (AGREED / 8.0 * 0.5 * 0.02) as u64;
        assert!(
            tracker.reserve(KEY, amount, &connected_view(12, 200), at(now)).is_ok(),
            "{now} ms"
        );
        tracker.commit(KEY, amount, at(now));
    }
}

/// Guards against a retry time at which the request would be refused again.
#[test]
fn the_retry_time_is_when_capacity_is_expected() {
    let mut tracker = AllowanceTracker::new(RULE, true);
    tracker.configure(KEY, RATE, RATE, at(0));
    while tracker.reserve(KEY, 1_000, &connected_view(12, 200), at(0)).is_ok() {
        tracker.commit(KEY, 1_000, at(0));
    }
    let wait_ms = tracker.reserve(KEY, 1_000, &connected_view(12, 200), at(2_000)).unwrap_err();
    assert!(
        tracker.reserve(KEY, 1_000, &connected_view(12, 200), at(2_000 + wait_ms + 250)).is_ok(),
        "{wait_ms}"
    );
}

/// Guards against counting requests that were admitted but refused later.
#[test]
fn reservations_of_unsent_requests_are_released() {
    let mut tracker = AllowanceTracker::new(RULE, true);
    tracker.configure(KEY, RATE, RATE, at(0));
    for _ in 0..10_000 {
        tracker.reserve(KEY, 1_000, &connected_view(12, 200), at(0)).unwrap();
        tracker.release(KEY, 1_000);
    }
    assert!(tracker.totals().is_empty());
}

/// Guards against admitting more than the allowance at the end of an overload, in which half of the
/// requests of a hot workspace were refused after a wait. If the window counted an amount when it
/// was reserved and subtracted it when it was released, the sum would be too low once the reserved
/// amount had expired. Found by a search run (Khangai, hunt-01c7-7: 1,019,913 of 990,031 tokens).
#[test]
fn late_releases_leave_no_gap_in_the_window() {
    const NODES: usize = 4;
    const WAIT_MS: u64 = 1_400;
    const OVERLOAD_MS: u64 = 3_000;
    let mut trackers: Vec<_> = (0..NODES).map(|_| AllowanceTracker::new(RULE, true)).collect();
    for tracker in &mut trackers {
        tracker.configure(KEY, RATE, RATE, at(0));
    }
    let mut waiting: Vec<(u64, usize, bool)> = Vec::new();
    let mut sent: Vec<(u64, f64)> = Vec::new();
    for now in (0..40_000_u64).step_by(10) {
        for (node, tracker) in trackers.iter_mut().enumerate() {
            if tracker.reserve(KEY, 150, &connected_view(12, 200), at(now)).is_ok() {
                let served = now > OVERLOAD_MS || (now / 10 + node as u64).is_multiple_of(2);
                waiting.push((now + WAIT_MS, node, served));
            }
        }
        for (_, node, served) in waiting.extract_if(.., |(end, _, _)| *end == now) {
            if served {
                trackers[node].commit(KEY, 150, at(now));
                sent.push((now, 150.0));
            } else {
                trackers[node].release(KEY, 150);
            }
        }
        if now % 200 == 0 {
            exchange_reports(&mut trackers, now);
        }
    }
    let most = most_in_a_window(&sent);
    assert!(most <= AGREED, "{most} in a window of at most {AGREED}");
    assert!(most >= RATE * 8.0, "only {most}");
}

/// Guards against losing the amounts that a failed node had reserved.
#[test]
fn reservations_of_a_dead_node_are_dropped() {
    let mut tracker = AllowanceTracker::new(RULE, true);
    tracker.configure(KEY, RATE, RATE, at(0));
    let taken = AllowanceUsage { used: 0, pending: 1_000_000 };
    tracker.apply_report(9, KEY, taken, true, false, at(0));
    assert!(tracker.reserve(KEY, 100, &connected_view(12, 200), at(0)).is_err());
    tracker.retain_reporters(|_| false, at(0));
    assert!(tracker.reserve(KEY, 100, &connected_view(12, 200), at(10_000)).is_ok());
}

/// Guards against all nodes together exceeding the retry budget.
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
            while budget.try_take("engines", NODES, at(now)) {
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
