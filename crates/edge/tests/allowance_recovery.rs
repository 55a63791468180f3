//! Usage of allowances over the loss of all nodes and over the restart of one.
//!
//! Load: a workspace that begins to send many times its usual amount seconds before all nodes lose
//! power, beside one that sends steadily.

mod support;

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::allowance::{
    AllowanceRule, AllowanceTracker, UsageSource, WorkspaceKey, WorkspaceUsage,
};
use burdockcleat_edge::memory::StoredUsage;
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
const NODES: usize = 12;
/// Number of nodes with a disk; they come first.
const DISKS: usize = 3;
const LOST_AT_MS: u64 = 20_000;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

/// What became of the requests of one workspace.
#[derive(Default)]
struct Tally {
    sent: Vec<(u64, f64)>,
    refused: Vec<u64>,
}

impl Tally {
    fn most_in_a_window(&self) -> f64 {
        let window = |end: u64| self.sum_between(end.saturating_sub(8_000), end);
        (8_000..40_000).step_by(50).map(window).fold(0.0, f64::max)
    }

    fn sum_between(&self, after: u64, end: u64) -> f64 {
        let inside = self.sent.iter().filter(|(ms, _)| *ms > after && *ms <= end);
        inside.map(|(_, amount)| amount).sum()
    }
}

/// Nodes that admit requests, exchange reports and store their usage.
struct Deployment {
    nodes: Vec<AllowanceTracker>,
    /// Time of the start of the nodes, where their clocks begin.
    started: u64,
    stored: Vec<Option<StoredUsage>>,
    lag_ms: u64,
}

impl Deployment {
    fn first_start(lag_ms: u64) -> Self {
        let nodes = (0..NODES).map(|_| AllowanceTracker::new(RULE, true)).collect();
        let mut deployment = Self { nodes, started: 0, stored: vec![None; DISKS], lag_ms };
        deployment.configure();
        deployment
    }

    fn configure(&mut self) {
        for node in &mut self.nodes {
            node.configure(HOT, RATE, RATE, at(0));
            node.configure(STEADY, RATE, RATE, at(0));
        }
    }

    /// Starts all nodes again. Nodes without a disk get the usage from a node with one.
    fn restart(&mut self, now: u64) {
        self.nodes = (0..NODES).map(|_| AllowanceTracker::new(RULE, false)).collect();
        self.started = now;
        for (node, stored) in self.nodes.iter_mut().zip(&self.stored) {
            let usage = stored.as_ref().expect("usage on each disk").aged(at(now));
            node.restore(&usage, UsageSource::Stored, at(0));
        }
        self.configure();
        for node in DISKS..NODES {
            let usage = self.nodes[node % DISKS].usage(at(0));
            self.nodes[node].restore(&usage, UsageSource::Stored, at(0));
        }
    }

    /// Lets callers ask for `amount` in one tick, each time at the next node.
    fn ask(&mut self, key: WorkspaceKey, amount: f64, now: u64, tally: &mut Tally) {
        let local = at(now - self.started);
        for number in 0..(amount / AMOUNT as f64).round() as usize {
            let node = &mut self.nodes[(now as usize / 10 + number) % NODES];
            if node.reserve(key, AMOUNT, &connected_view(NODES, self.lag_ms), local).is_ok() {
                node.commit(key, AMOUNT, local);
                tally.sent.push((now, AMOUNT as f64));
            } else {
                tally.refused.push(now);
            }
        }
    }

    fn advance(&mut self, now: u64) {
        let local = at(now - self.started);
        if now.is_multiple_of(self.lag_ms) {
            let totals: Vec<_> = self.nodes.iter().map(AllowanceTracker::totals).collect();
            for (to, node) in self.nodes.iter_mut().enumerate() {
                for (from, totals) in totals.iter().enumerate().filter(|(from, _)| *from != to) {
                    for (key, taken) in totals {
                        node.apply_report(from as u64, *key, *taken, true, false, local);
                    }
                }
            }
        }
        for (node, stored) in self.nodes.iter_mut().zip(&mut self.stored) {
            if let Some(usage) = node.usage_to_store(local) {
                *stored = Some(StoredUsage { written: at(now), usage });
            }
        }
    }
}

/// Guards against a window of a workspace that is exceeded because the restarted nodes do not know
/// what was used before the loss (search run hunt-c959-3: 3,386,027 of 3,089,831 tokens in 8 s), and
/// against refusals of a workspace that is far from its limit, for usage that is only assumed.
#[test]
fn usage_before_the_loss_of_all_nodes_counts_after_it() {
    for hot_for_ms in [1_500, 3_000, 5_400, 7_000] {
        for down_ms in [700, 1_700, 3_000] {
            check_loss(hot_for_ms, down_ms, 200);
        }
    }
    check_loss(5_400, 1_700, 400);
}

fn check_loss(hot_for_ms: u64, down_ms: u64, lag_ms: u64) {
    let mut deployment = Deployment::first_start(lag_ms);
    let (mut hot, mut steady) = (Tally::default(), Tally::default());
    let case = format!("hot for {hot_for_ms} ms, down for {down_ms} ms, reports every {lag_ms} ms");
    for now in (0..40_000).step_by(TICK_MS as usize) {
        if now == LOST_AT_MS + down_ms {
            deployment.restart(now);
        }
        if (LOST_AT_MS..LOST_AT_MS + down_ms).contains(&now) {
            continue;
        }
        // Its usual amount is a fifth of the limit, its burst five times the limit.
        let factor = if now + hot_for_ms < LOST_AT_MS { 0.2 } else { 5.0 };
        deployment.ask(HOT, RATE * factor * TICK_MS as f64 / 1_000.0, now, &mut hot);
        // Requests of a fixed amount, one every 20 ms: half of the rate.
        if now.is_multiple_of(20) {
            deployment.ask(STEADY, AMOUNT as f64, now, &mut steady);
        }
        deployment.advance(now);
    }
    for (name, tally) in [("hot", &hot), ("steady", &steady)] {
        let most = tally.most_in_a_window();
        assert!(most <= AGREED, "{name}: {most} in a window of at most {AGREED}; {case}");
    }
    assert!(steady.refused.is_empty(), "steady: refused at {:?}; {case}", steady.refused);
    // Over the whole overload, the workspace gets what its rate allows.
    let (begin, end) = (LOST_AT_MS - hot_for_ms, 39_000);
    let (sum, owed) =
        (hot.sum_between(begin, end), RATE * (end - begin - down_ms) as f64 / 1_000.0);
    assert!(sum >= owed, "hot: {sum} of {owed}; {case}");
}

/// Guards against a single restarted node that counts only what its own disk knows, while the other
/// nodes went on serving. The usage of a running node replaces it.
#[test]
fn usage_counted_by_a_running_node_replaces_stored_usage() {
    let mut running = AllowanceTracker::new(RULE, true);
    running.configure(HOT, RATE, RATE, at(0));
    while running.reserve(HOT, AMOUNT, &connected_view(NODES, 200), at(9_000)).is_ok() {
        running.commit(HOT, AMOUNT, at(9_000));
    }
    let mut restarted = AllowanceTracker::new(RULE, false);
    restarted.restore(&[], UsageSource::Stored, at(0));
    restarted.configure(HOT, RATE, RATE, at(0));
    assert_eq!(restarted.source(), UsageSource::Stored);
    assert!(restarted.reserve(HOT, AMOUNT, &connected_view(NODES, 200), at(10)).is_ok());
    restarted.commit(HOT, AMOUNT, at(10));
    restarted.restore(&running.usage(at(9_500)), UsageSource::Counted, at(50));
    assert!(restarted.reserve(HOT, AMOUNT, &connected_view(NODES, 200), at(60)).is_err());
    assert_eq!(restarted.source(), UsageSource::Counted);
    // The usage leaves the window 8 s after it was counted, and not when the process started.
    assert!(restarted.reserve(HOT, AMOUNT, &connected_view(NODES, 200), at(7_000)).is_err());
    assert!(restarted.reserve(HOT, AMOUNT, &connected_view(NODES, 200), at(7_900)).is_ok());
}

/// Guards against usage that is lost on its way to a node without a disk, because the node that has
/// it from its disk does not know the configuration yet.
#[test]
fn usage_is_passed_on_before_the_configuration_is_known() {
    let stored = [WorkspaceUsage { key: HOT, amounts: vec![(500, 7.0), (0, 60_000.0)] }];
    let mut with_disk = AllowanceTracker::new(RULE, false);
    with_disk.restore(&stored, UsageSource::Stored, at(0));
    let passed = with_disk.usage(at(1_000));
    assert_eq!(
        passed,
        [WorkspaceUsage { key: HOT, amounts: vec![(1_500, 7.0), (1_000, 60_000.0)] }]
    );
    let mut other = AllowanceTracker::new(RULE, false);
    other.restore(&passed, UsageSource::Stored, at(0));
    other.configure(HOT, RATE, RATE, at(0));
    assert!(other.reserve(HOT, 40_000, &connected_view(NODES, 200), at(10)).is_err());
}

/// Guards against usage that expires early because the wall clock was set forward between the loss
/// and the restart.
#[test]
fn a_clock_that_was_set_forward_does_not_expire_usage() {
    let usage = vec![WorkspaceUsage { key: HOT, amounts: vec![(500, 7.0)] }];
    let stored = StoredUsage { written: at(100_000), usage };
    let age_ms = |wall: u64| stored.aged(at(wall))[0].amounts[0].0;
    assert_eq!(age_ms(101_700), 2_200);
    assert_eq!(age_ms(99_000), 500, "set back");
    assert!(u64::from(age_ms(160_000)) <= RULE.window_ms / 2 + 500, "set forward by a minute");
}

/// Guards against a disk that is written with each request, and against usage that is never stored.
#[test]
fn usage_is_stored_each_time_that_a_part_of_the_limit_was_used() {
    let mut tracker = AllowanceTracker::new(RULE, true);
    tracker.configure(HOT, RATE, RATE, at(0));
    let mut writes = 0;
    for now in (0..10_000).step_by(20) {
        if tracker.reserve(HOT, 2 * AMOUNT, &connected_view(NODES, 200), at(now)).is_ok() {
            tracker.commit(HOT, 2 * AMOUNT, at(now));
        }
        writes += usize::from(tracker.usage_to_store(at(now)).is_some());
    }
    assert!((8..=40).contains(&writes), "{writes} writes in 10 s at the rate of the limit");
}
