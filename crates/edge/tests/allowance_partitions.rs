//! Allowances while some nodes do not hear the others, although callers still reach all of them.
//!
//! Load: a workspace that begins to send many times its usual amount, beside a steady one.

mod support;

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::allowance::{AllowanceRule, AllowanceTracker, NodeView, WorkspaceKey};
use burdockcleat_edge::status_timing::{silence_ms, status_interval_ms};
use std::collections::BTreeMap;
use support::connected_view;

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
    /// Each of the last nodes hears no other node.
    Isolated(usize),
    /// The last nodes hear only each other.
    Group(usize),
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
                Cut::Group(count) => last(to, count) == last(from, count),
                Cut::IsolatedDisks(count) => to >= count && from >= count,
                Cut::FromDisks(count) => {
                    let between = |a: usize, b: usize| last(a, count) && b < self.disks;
                    !between(to, from) && !between(from, to)
                }
                Cut::SplitDisks => to >= self.disks || from >= self.disks || half(to) == half(from),
            }
    }

    fn is_down(&self, node: usize, now: u64) -> bool {
        matches!(self.cut, Cut::Down(count) if self.is_cut(now) && node + count >= self.nodes)
    }

    /// Returns whether a node hears all others that are not cut off.
    fn is_connected(&self, node: usize) -> bool {
        match self.cut {
            Cut::Isolated(count) | Cut::Group(count) | Cut::FromDisks(count) | Cut::Down(count) => {
                node + count < self.nodes
            }
            Cut::IsolatedDisks(count) => node >= count,
            Cut::SplitDisks => node >= self.disks,
        }
    }
}

struct Node {
    tracker: AllowanceTracker,
    /// Time of the last report of each other node, and its view then.
    heard: BTreeMap<usize, (u64, NodeView)>,
}

impl Node {
    fn view(&self, own: usize, scenario: &Scenario, now: u64) -> NodeView {
        let silence_ms = silence_ms(scenario.nodes);
        let report_interval_ms = status_interval_ms(scenario.nodes);
        let within = |ms: u64| self.heard.iter().filter(move |(_, (heard, _))| now - heard <= ms);
        let alive = || within(silence_ms);
        let disk_majority = |ms: u64| {
            let disks = within(ms).map(|(node, _)| *node).chain([own]);
            disks.filter(|node| *node < scenario.disks).count() * 2 > scenario.disks
        };
        let lost_ms = NodeView::lost_majority_ms(silence_ms, report_interval_ms);
        NodeView {
            expected: scenario.nodes,
            reachable: alive().count() + 1,
            restricted_peers: alive().filter(|(_, (_, view))| view.is_restricted()).count(),
            disk_majority: disk_majority(silence_ms),
            recent_disk_majority: disk_majority(lost_ms),
            peer_disk_majority: alive().any(|(_, (_, view))| view.disk_majority),
            report_interval_ms,
            silence_ms,
        }
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
            Node {
                tracker,
                heard: others
                    .map(|other| {
                        (
                            other,
                            (0, connected_view(scenario.nodes, status_interval_ms(scenario.nodes))),
                        )
                    })
                    .collect(),
            }
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
                let view = node.view(at, scenario, now);
                let clock = ClockTime::from_ms(now);
                let admitted = node.tracker.reserve(key, AMOUNT, &view, clock).is_ok();
                if admitted {
                    node.tracker.commit(key, AMOUNT, clock);
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
            let view = nodes[from].view(from, scenario, now);
            for to in (0..scenario.nodes).filter(|to| *to != from) {
                if scenario.hears(to, from, now) {
                    nodes[to].heard.insert(from, (now, view));
                    for (key, used) in &totals {
                        let at = ClockTime::from_ms(now);
                        let restricted = view.is_restricted();
                        let tracker = &mut nodes[to].tracker;
                        tracker.apply_report(from as u64, *key, *used, true, restricted, at);
                    }
                }
            }
        }
    }
    tally
}

/// Plays all scenarios. `most_refused` is the largest accepted fraction of refusals of the steady
/// workspace at connected nodes.
fn check(nodes: usize, disks: usize, cuts: &[Cut], cut_for_ms: u64, most_refused: f64) {
    for cut in cuts {
        for hot_after_ms in [-9_000, -7_500, -4_000, -1_500, -500, 0, 500, 2_000] {
            let scenario = Scenario { nodes, disks, cut: *cut, cut_for_ms, hot_after_ms };
            let tally = play(&scenario);
            for key in [HOT, STEADY] {
                let most = tally.most_in_a_window(key);
                assert!(most <= AGREED, "{most} in a window of at most {AGREED}: {scenario:?}");
            }
            let (refused, asked) = (tally.steady_refused, tally.steady_asked);
            let accepted = asked as f64 * most_refused;
            assert!(refused as f64 <= accepted, "{refused} of {asked} refused: {scenario:?}");
        }
    }
}

/// Guards against nodes that are cut off from all others and together exceed a workspace's
/// allowance, and against refusals of what is within it at the nodes that hear each other.
#[test]
fn isolated_nodes_stay_within_the_allowance() {
    use Cut::{Isolated, IsolatedDisks};
    for cut_for_ms in [3_000, 7_000] {
        let cuts = [Isolated(1), Isolated(4), IsolatedDisks(1), IsolatedDisks(2)];
        check(10, 4, &cuts, cut_for_ms, 0.0);
        check(24, 3, &[Isolated(8), IsolatedDisks(1)], cut_for_ms, 0.0);
        check(62, 5, &[Isolated(12), IsolatedDisks(2)], cut_for_ms, 0.0);
        // The few nodes that are left keep only their own parts.
        check(10, 4, &[Isolated(6), Isolated(9)], cut_for_ms, 1.0);
        check(62, 5, &[Isolated(30)], cut_for_ms, 1.0);
    }
}

/// Guards against two groups of nodes that do not hear each other and each use the whole allowance.
#[test]
fn partitioned_groups_share_the_allowance() {
    for cut_for_ms in [3_000, 7_000] {
        check(10, 4, &[Cut::Group(4)], cut_for_ms, 0.0);
        check(62, 5, &[Cut::Group(20)], cut_for_ms, 0.0);
        check(10, 4, &[Cut::Group(5), Cut::Group(7)], cut_for_ms, 1.0);
        check(62, 5, &[Cut::Group(31), Cut::Group(50)], cut_for_ms, 1.0);
    }
}

/// Guards against nodes that hear only some of the others and together exceed an allowance.
#[test]
fn partly_connected_nodes_stay_within_the_allowance() {
    for cut_for_ms in [3_000, 7_000] {
        check(10, 4, &[Cut::FromDisks(3), Cut::SplitDisks], cut_for_ms, 0.0);
        check(62, 5, &[Cut::FromDisks(20), Cut::SplitDisks], cut_for_ms, 0.0);
    }
}

/// Guards against refusals of what is within the allowance while most nodes are down and their
/// callers send to the others.
#[test]
fn the_nodes_that_are_left_serve_the_usual_amount() {
    check(10, 4, &[Cut::Down(3), Cut::Down(6)], 3_000, 0.0);
    check(12, 3, &[Cut::Down(8)], 3_000, 0.0);
    check(62, 5, &[Cut::Down(34)], 3_000, 0.0);
    check(10, 4, &[Cut::Down(3)], 7_000, 0.0);
}
