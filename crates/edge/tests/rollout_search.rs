//! Seeded search over nodes that grant requests to a version on trial, with lost statuses and
//! grants, divided networks, crashes, restarts and changes of the coordinator. Guards against more
//! requests to the version than its share and the tolerance. Each rule is shown to be needed.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::ProcessKey;
use burdockcleat_edge::rollout::{CoordinatorView, ExposureLedger, RolloutReport};
use burdockcleat_edge::settings::RolloutRule;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const RULE: RolloutRule = RolloutRule { share: 0.02, tolerance: 50, rollback_ms: 5_000 };
const NODES: usize = 5;
/// Nodes with a disk; they hold the register.
const DISKS: usize = 3;
const STEP_MS: u64 = 20;
const INTERVAL_MS: u64 = 200;
const DOWN_MS: u64 = 1_000;
const WARM_MS: u64 = 1_500;
const DURATION_MS: u64 = 12_000;
const SCHEDULES: u64 = 400;

/// Rule that a search leaves out.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Omitted {
    Nothing,
    /// Grants that no report shows do not count.
    UnreportedGrants,
    /// A new coordinator does not wait for the statuses of the others.
    WaitForReports,
    /// Counts of processes that are gone are not passed on to new ones.
    GoneProcesses,
    /// A node without a majority grants.
    Majority,
}

#[derive(Clone)]
struct Node {
    process: u64,
    /// End of the time for which the node is down.
    down_until: u64,
    started: u64,
    ledger: ExposureLedger,
    own: RolloutReport,
    /// Process, time and warmth of the last status of each node.
    heard: BTreeMap<usize, (u64, u64, bool)>,
    since: Option<u64>,
    since_order: bool,
    side: usize,
}

enum Message {
    Status { from: usize, process: u64, warm: bool, reports: Vec<RolloutReport> },
    Grant { grantor: u64, receiver: u64 },
}

struct Search {
    random: StdRng,
    omitted: Omitted,
    nodes: Vec<Node>,
    messages: Vec<(u64, usize, Message)>,
    next_process: u64,
    /// Steps in which 30 disturbances are expected.
    calm: u32,
    requests: u64,
    trial: u64,
}

impl Search {
    fn new(seed: u64, omitted: Omitted) -> Self {
        let node = |process| Node {
            process,
            down_until: 0,
            started: 0,
            ledger: ExposureLedger::default(),
            own: RolloutReport { process, ..RolloutReport::default() },
            heard: (0..NODES).map(|peer| (peer, (peer as u64, WARM_MS, true))).collect(),
            since: None,
            since_order: false,
            side: 0,
        };
        Self {
            random: StdRng::seed_from_u64(seed),
            omitted,
            nodes: (0..NODES as u64).map(node).collect(),
            messages: Vec::new(),
            next_process: NODES as u64,
            calm: if seed.is_multiple_of(2) { 2_000 } else { 400 },
            requests: 0,
            trial: 0,
        }
    }

    fn send(&mut self, from: usize, to: usize, loss: f64, now: u64, message: Message) {
        if self.nodes[from].side == self.nodes[to].side && !self.random.random_bool(loss) {
            let delay = self.random.random_range(1..=60);
            self.messages.push((now + delay, to, message));
        }
    }

    /// Returns the node that a node takes for the coordinator.
    fn coordinator(&self, of: usize, now: u64) -> usize {
        let node = &self.nodes[of];
        let alive =
            node.heard.iter().filter(|(peer, (_, at, _))| **peer != of && now - at <= DOWN_MS);
        let own_rank = (now - node.started < WARM_MS, of >= DISKS, of);
        let ranks = alive.map(|(peer, (_, _, warm))| (!warm, *peer >= DISKS, *peer));
        ranks.min().map_or(own_rank, |rank| rank.min(own_rank)).2
    }

    fn disturb(&mut self, now: u64) {
        match self.random.random_range(0..self.calm) {
            0..9 => {
                let node = self.random.random_range(0..NODES);
                let down_until = now + self.random.random_range(100..2_500);
                let process = self.next_process;
                self.next_process += 1;
                let side = self.nodes[node].side;
                self.nodes[node] = Node {
                    process,
                    down_until,
                    started: down_until,
                    ledger: ExposureLedger::default(),
                    own: RolloutReport { process, ..RolloutReport::default() },
                    heard: BTreeMap::new(),
                    since: None,
                    since_order: false,
                    side,
                };
            }
            9..18 => {
                for at in 0..NODES {
                    self.nodes[at].side = self.random.random_range(0..2);
                }
            }
            18..30 => self.nodes.iter_mut().for_each(|node| node.side = 0),
            _ => {}
        }
    }

    fn send_statuses(&mut self, of: usize, now: u64) {
        let node = &mut self.nodes[of];
        node.ledger.apply(&node.own);
        let (process, warm) = (node.process, now - node.started >= WARM_MS);
        let running: Vec<_> = node.heard.values().map(|(process, ..)| *process).collect();
        let gone = node.ledger.reports().filter(|report| {
            !running.contains(&report.process) && self.omitted != Omitted::GoneProcesses
        });
        let reports: Vec<_> =
            gone.map(RolloutReport::counts_only).chain([node.own.clone()]).collect();
        for to in (0..NODES).filter(|to| *to != of) {
            let status = Message::Status { from: of, process, warm, reports: reports.clone() };
            self.send(of, to, 0.2, now, status);
        }
    }

    fn deliver(&mut self, to: usize, now: u64, message: Message) {
        let node = &mut self.nodes[to];
        match message {
            Message::Status { from, process, warm, reports } => {
                reports.iter().for_each(|report| node.ledger.apply(report));
                node.heard.insert(from, (process, now, warm));
            }
            Message::Grant { grantor, receiver } if receiver == node.process => {
                *node.own.trial.entry(grantor).or_default() += 1;
                node.own.requests += 1;
                node.ledger.apply(&node.own);
                self.trial += 1;
                self.requests += 1;
            }
            Message::Grant { .. } => {}
        }
    }

    fn may_grant(&mut self, of: usize, now: u64) -> bool {
        let coordinates =
            self.coordinator(of, now) == of && now - self.nodes[of].started >= WARM_MS;
        let node = &mut self.nodes[of];
        node.since_order = coordinates && (now == WARM_MS || node.since_order);
        node.since = coordinates.then(|| node.since.unwrap_or(now));
        let peers = || node.heard.iter().filter(|(peer, _)| **peer != of);
        let fresh = |at: u64| now - at <= CoordinatorView::fresh_ms(INTERVAL_MS);
        let quorum = peers().filter(|(peer, (_, at, _))| **peer < DISKS && fresh(*at)).count()
            + usize::from(of < DISKS);
        let view = CoordinatorView {
            since: node.since.map(ClockTime::from_ms),
            since_order: node.since_order || self.omitted == Omitted::WaitForReports,
            heard_all: peers()
                .filter(|(_, (_, at, _))| now - at <= DOWN_MS)
                .all(|(_, (_, at, _))| node.since.is_some_and(|since| *at > since)),
            majority: quorum * 2 > DISKS || self.omitted == Omitted::Majority,
            interval_ms: INTERVAL_MS,
        };
        view.may_grant(ClockTime::from_ms(now))
    }

    /// Places a request of a node. All go to the version on trial while the coordinator allows it.
    fn place(&mut self, of: usize, now: u64) {
        let coordinator = self.coordinator(of, now);
        let clock = ClockTime::from_ms(now);
        let granted = self.nodes[coordinator].down_until <= now
            && self.nodes[coordinator].side == self.nodes[of].side
            && self.may_grant(coordinator, now);
        let receiver = self.nodes[of].process;
        let node = &mut self.nodes[coordinator];
        let own = ProcessKey(node.process);
        node.ledger.apply(&node.own);
        if granted && node.ledger.left(&RULE, own, INTERVAL_MS, clock) > 0 {
            let grantor = node.process;
            if self.omitted != Omitted::UnreportedGrants {
                node.ledger.record_grant(ProcessKey(receiver), clock);
            }
            let grant = Message::Grant { grantor, receiver };
            if of == coordinator {
                self.deliver(of, now, grant);
            } else {
                self.send(coordinator, of, 0.05, now, grant);
            }
        } else {
            self.nodes[of].own.requests += 1;
            self.requests += 1;
        }
    }

    fn run(&mut self) -> Option<String> {
        for now in (0..DURATION_MS).step_by(STEP_MS as usize) {
            // Times start late enough for all nodes to be warm.
            let now = now + WARM_MS;
            self.disturb(now);
            let messages = std::mem::take(&mut self.messages);
            let (due, later): (Vec<_>, _) = messages.into_iter().partition(|(at, ..)| *at <= now);
            self.messages = later;
            for (_, to, message) in due {
                if self.nodes[to].down_until <= now {
                    self.deliver(to, now, message);
                }
            }
            for of in 0..NODES {
                if self.nodes[of].down_until > now {
                    continue;
                }
                if (now / STEP_MS + of as u64).is_multiple_of(INTERVAL_MS / STEP_MS) {
                    self.send_statuses(of, now);
                }
                self.may_grant(of, now);
                if self.random.random_bool(0.5) {
                    self.place(of, now);
                }
            }
            let allowed = self.requests as f64 * RULE.share + f64::from(RULE.tolerance);
            if self.trial as f64 > allowed {
                return Some(format!("{} of {allowed} at {now}", self.trial));
            }
        }
        None
    }
}

/// Returns the first violation, and the mean number of requests to the version on trial.
fn search(omitted: Omitted) -> (Option<String>, u64) {
    let mut sent = 0;
    for seed in 0..SCHEDULES {
        let mut search = Search::new(seed, omitted);
        if let Some(violation) = search.run() {
            return (Some(format!("seed {seed}: {violation}")), 0);
        }
        sent += search.trial;
    }
    (None, sent / SCHEDULES)
}

/// Guards against a version on trial that gets more than its share and the tolerance.
#[test]
fn exposure_is_never_exceeded() {
    let (violation, sent) = search(Omitted::Nothing);
    assert_eq!(violation, None);
    assert!(sent >= 20, "{sent} requests are too few for a verdict");
}

/// Guards against rules that the search would not miss.
#[test]
fn each_rule_of_the_exposure_is_needed() {
    for omitted in [
        Omitted::UnreportedGrants,
        Omitted::WaitForReports,
        Omitted::GoneProcesses,
        Omitted::Majority,
    ] {
        let (violation, _) = search(omitted);
        assert!(violation.is_some(), "rule {}", omitted as u8);
    }
}
