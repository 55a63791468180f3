//! Allowances while some nodes do not hear the others, although callers still reach all of them.
//!
//! Load: a workspace that begins to send many times its usual amount, beside a steady one.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::allowance::{
    AllowanceRule, AllowanceTracker, WorkspaceKey, admitted_fraction,
};
use burdockcleat_edge::status_timing::{failure_timeout_ms, status_interval_ms};
use std::collections::BTreeMap;

const RULE: AllowanceRule = AllowanceRule { window_ms: 8_000, overshoot: 0.1, tolerance: 10_000.0 };
const RATE: f64 = 10_000.0;
/// Amount allowed in any window.
const AGREED: f64 = (RATE * 8.0 + RATE) * 1.1 + 10_000.0;
const HOT: WorkspaceKey = 1;
const STEADY: WorkspaceKey = 2;
/// Amount of one request.
const AMOUNT: u64 = 100;
const TICK_MS: u64 = 10;
const END_MS: u64 = 34_000;
const CUT_AT_MS: u64 = 14_000;
/// Usual amount of a workspace as a fraction of its rate.
const USUAL_FRACTION: f64 = 0.55;

/// Which nodes do not hear each other during the cut.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    /// The last nodes hear no other node.
    Isolated(usize),
    /// The first nodes, which have a disk, hear no other node.
    IsolatedDisks(usize),
    /// The last nodes do not hear the nodes with a disk.
    FromDisks(usize),
    /// Nodes with a disk hear half of each other. All other nodes hear all.
    SplitDisks,
    /// The last nodes are down, and their callers send to the others.
    Down(usize),
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    nodes: usize,
    disks: usize,
    cut: Cut,
    cut_for_ms: u64,
    /// Start of the overload, in ms after the start of the cut.
    hot_after_ms: i64,
}

impl Scenario {
    fn is_cut(&self, now: u64) -> bool {
        (CUT_AT_MS..CUT_AT_MS + self.cut_for_ms).contains(&now)
    }

    fn hears(&self, to: usize, from: usize, now: u64) -> bool {
        let last = |node: usize, count: usize| node + count >= self.nodes;
        let half = |node: usize| node < self.disks / 2;
        !self.is_cut(now)
            || match self.cut {
                Cut::Isolated(count) | Cut::Down(count) => !last(to, count) && !last(from, count),
                Cut::IsolatedDisks(count) => to >= count && from >= count,
                Cut::FromDisks(count) => {
                    let between = |a: usize, b: usize| last(a, count) && b < self.disks;
                    !between(to, from) && !between(from, to)
                }
                Cut::SplitDisks => {
                    to >= self.disks || from >= self.disks || half(to) == half(from)
                }
            }
    }

    fn is_down(&self, node: usize, now: u64) -> bool {
        matches!(self.cut, Cut::Down(count) if self.is_cut(now) && node + count >= self.nodes)
    }

    /// Returns whether a node hears all others that are not cut off.
    fn is_connected(&self, node: usize) -> bool {
        match self.cut {
            Cut::Isolated(count) | Cut::FromDisks(count) | Cut::Down(count) => {
                node + count < self.nodes
            }
            Cut::IsolatedDisks(count) => node >= count,
            Cut::SplitDisks => node >= self.disks,
        }
    }
}

struct Node {
    tracker: AllowanceTracker,
    /// Time of the last report of each other node.
    heard: BTreeMap<usize, u64>,
}

impl Node {
    fn reserve(&mut self, key: WorkspaceKey, scenario: &Scenario, now: u64) -> Result<(), u64> {
        let timeout_ms = failure_timeout_ms(scenario.nodes);
        let silent = self.heard.iter().filter(|(_, heard)| now - **heard > timeout_ms);
        let down_disks = silent.clone().filter(|(node, _)| **node < scenario.disks).count();
        let fraction =
            admitted_fraction(scenario.nodes - silent.count(), scenario.nodes, down_disks);
        let lag_ms = status_interval_ms(scenario.nodes);
        self.tracker.reserve(key, AMOUNT, fraction, lag_ms, ClockTime::from_ms(now))
    }
}

/// What became of the requests.
#[derive(Default)]
struct Tally {
    sent: BTreeMap<WorkspaceKey, Vec<(u64, f64)>>,
    /// Refusals of the steady workspace at connected nodes, and its requests there during the cut.
    steady_refused: usize,
    steady_asked: usize,
}

impl Tally {
    fn most_in_a_window(&self, key: WorkspaceKey) -> f64 {
        let Some(sent) = self.sent.get(&key) else { return 0.0 };
        let (mut from, mut sum, mut most) = (0, 0.0, 0.0_f64);
        for (ms, amount) in sent {
            sum += amount;
            while sent[from].0 + 8_000 <= *ms {
                sum -= sent[from].1;
                from += 1;
            }
            most = most.max(sum);
        }
        most
    }
}

fn play(scenario: &Scenario) -> Tally {
    let mut nodes: Vec<_> = (0..scenario.nodes)
        .map(|own| {
            let mut tracker = AllowanceTracker::new(RULE, true);
            tracker.configure(HOT, RATE, RATE, ClockTime::from_ms(0));
            tracker.configure(STEADY, RATE, RATE, ClockTime::from_ms(0));
            let others = (0..scenario.nodes).filter(|other| *other != own);
            Node { tracker, heard: others.map(|other| (other, 0)).collect() }
        })
        .collect();
    let mut tally = Tally::default();
    let hot_at = CUT_AT_MS.saturating_add_signed(scenario.hot_after_ms);
    let interval_ms = status_interval_ms(scenario.nodes);
    let (mut hot_owed, mut steady_owed, mut turn) = (0.0, 0.0, 0);
    for now in (0..END_MS).step_by(TICK_MS as usize) {
        let factor = if now >= hot_at { 5.0 } else { USUAL_FRACTION };
        hot_owed += RATE * factor * TICK_MS as f64 / 1_000.0;
        steady_owed += RATE * USUAL_FRACTION * TICK_MS as f64 / 1_000.0;
        for (key, owed) in [(HOT, &mut hot_owed), (STEADY, &mut steady_owed)] {
            while *owed >= AMOUNT as f64 {
                *owed -= AMOUNT as f64;
                turn += 1;
                // Visits all nodes in an order that differs between the two workspaces.
                let mut at = turn * 7 % scenario.nodes;
                while scenario.is_down(at, now) {
                    at = (at + 3) % scenario.nodes;
                }
                let node = &mut nodes[at];
                let admitted = node.reserve(key, scenario, now).is_ok();
                if admitted {
                    node.tracker.commit(key, AMOUNT, ClockTime::from_ms(now));
                    tally.sent.entry(key).or_default().push((now, AMOUNT as f64));
                }
                if key == STEADY && scenario.is_cut(now) && scenario.is_connected(at) {
                    tally.steady_asked += 1;
                    tally.steady_refused += usize::from(!admitted);
                }
            }
        }
        for from in 0..scenario.nodes {
            // Nodes report at different times of the interval.
            if (now + from as u64 * 70) % interval_ms >= TICK_MS {
                continue;
            }
            let totals = nodes[from].tracker.totals();
            for to in (0..scenario.nodes).filter(|to| *to != from) {
                if scenario.hears(to, from, now) {
                    nodes[to].heard.insert(from, now);
                    for (key, used) in &totals {
                        let at = ClockTime::from_ms(now);
                        nodes[to].tracker.apply_report(from as u64, *key, *used, true, at);
                    }
                }
            }
        }
    }
    tally
}

fn check(nodes: usize, disks: usize, cuts: &[Cut]) {
    for cut in cuts {
        for cut_for_ms in [3_000, 7_000] {
            for hot_after_ms in [-9_000, -1_500, -500, 0, 500, 2_000] {
                let scenario = Scenario { nodes, disks, cut: *cut, cut_for_ms, hot_after_ms };
                let tally = play(&scenario);
                for key in [HOT, STEADY] {
                    let most = tally.most_in_a_window(key);
                    assert!(most <= AGREED, "{most} in a window of at most {AGREED}: {scenario:?}");
                }
                let (refused, asked) = (tally.steady_refused, tally.steady_asked);
                assert!(refused == 0, "steady: {refused} of {asked} refused: {scenario:?}");
            }
        }
    }
}

/// Guards against nodes that are cut off from all others and together exceed a workspace's
/// allowance, and against refusals of what is within it at the nodes that hear each other.
#[test]
fn isolated_nodes_stay_within_the_allowance() {
    use Cut::{Isolated, IsolatedDisks};
    check(10, 4, &[Isolated(1), Isolated(4), Isolated(6), IsolatedDisks(1), IsolatedDisks(2)]);
    check(62, 5, &[Isolated(12), Isolated(30), IsolatedDisks(2)]);
}

/// Guards against nodes that hear only some of the others and together exceed an allowance.
#[test]
fn partly_connected_nodes_stay_within_the_allowance() {
    check(10, 4, &[Cut::FromDisks(3), Cut::SplitDisks]);
    check(62, 5, &[Cut::FromDisks(20), Cut::SplitDisks]);
}

/// Guards against refusals of what is within the allowance while most nodes are down and their
/// callers send to the others.
#[test]
fn the_nodes_that_are_left_serve_the_usual_amount() {
    check(10, 4, &[Cut::Down(3), Cut::Down(6)]);
    check(12, 3, &[Cut::Down(8)]);
    check(62, 5, &[Cut::Down(34)]);
}
