//! What a node knows of the roll-outs in progress: their age, its own counts and those of others.

use super::exposure::{ExposureLedger, OrderKey, RolloutReport};
use super::record::{RolloutHistory, RolloutRecord, VersionPolicy};
use super::verdict::{TrialAnswer, TrialTiming};
use crate::placement::{ProcessKey, VersionKey};
use burdockcleat_core::clock::ClockTime;
use std::collections::{BTreeMap, BTreeSet};

/// Reports of processes that are gone in one status. With more, some are passed on later.
const MAX_GONE_REPORTS: usize = 8;

/// When a node learned a register value.
#[derive(Clone, Copy, Debug)]
pub struct LearnedAt {
    /// Monotonic clock.
    pub now: ClockTime,
    /// Wall clock.
    pub wall: ClockTime,
    /// Whether the process knew an earlier value, so that a new order is new to all nodes.
    pub live: bool,
    /// Whether this node is the placement coordinator.
    pub coordinates: bool,
}

/// Roll-out in progress.
#[derive(Clone, Debug)]
pub struct TrackedOrder {
    /// The order.
    pub record: RolloutRecord,
    /// Key of the version on trial.
    pub version: VersionKey,
    /// Whether the version is on trial. It is not if it serves alone already.
    pub on_trial: bool,
    /// Counts of all processes.
    pub ledger: ExposureLedger,
    /// Whether this node has coordinated since it learned the order, and the order was new then.
    pub coordinated: bool,
    /// Whether this node has condemned the version. It grants nothing to it any more.
    pub condemned: bool,
    /// Time at which this node last tried to write a verdict.
    pub verdict_tried: Option<ClockTime>,
    own: RolloutReport,
    learned: ClockTime,
    /// Age when it was learned, in ms.
    learned_age_ms: u64,
    /// Whether the age is from a process that was running when the order was accepted, and not from
    /// the wall clock.
    age_known: bool,
}

/// Roll-outs of all services.
#[derive(Clone, Debug, Default)]
pub struct RolloutTracker {
    policies: BTreeMap<String, VersionPolicy>,
    orders: BTreeMap<String, TrackedOrder>,
}

impl TrackedOrder {
    fn new(
        service: &str,
        record: &RolloutRecord,
        on_trial: bool,
        own: ProcessKey,
        at: LearnedAt,
    ) -> Self {
        let wall_age_ms = at.wall.since(ClockTime::from_ms(record.started));
        let order = OrderKey::new(service, &record.to, record.started);
        Self {
            record: record.clone(),
            version: VersionKey::new(service, &record.to),
            on_trial,
            ledger: ExposureLedger::default(),
            coordinated: at.live && at.coordinates,
            condemned: false,
            verdict_tried: None,
            own: RolloutReport { order, process: own.0, ..RolloutReport::default() },
            learned: at.now,
            learned_age_ms: if at.live { 0 } else { wall_age_ms.min(record.duration_ms) },
            age_known: at.live,
        }
    }

    /// Returns the time since the order and its duration.
    pub fn timing(&self, now: ClockTime) -> TrialTiming {
        let age_ms = self.learned_age_ms + now.since(self.learned);
        TrialTiming { age_ms, duration_ms: self.record.duration_ms }
    }

    /// Takes over the age that another process reports, if that one knows more.
    fn learn_age(&mut self, reported_ms: u64, now: ClockTime) {
        if !self.age_known || reported_ms > self.timing(now).age_ms {
            (self.learned, self.learned_age_ms, self.age_known) = (now, reported_ms, true);
        }
    }

    /// Counts a request that this node got granted for the version on trial.
    pub fn count_send(&mut self, grantor: ProcessKey) {
        *self.own.trial.entry(grantor.0).or_default() += 1;
        self.ledger.apply(&self.own);
    }

    /// Counts an answer of a target to a request of this node.
    pub fn count_answer(&mut self, route: u32, answer: &TrialAnswer) {
        self.own.requests += 1;
        self.own.routes.entry(route).or_default().count(answer);
        self.ledger.apply(&self.own);
    }

    /// Returns the reports for a status: that of this process, and those of processes that are gone,
    /// for nodes that have started since.
    fn reports(&self, running: &BTreeSet<u64>, now: ClockTime) -> Vec<RolloutReport> {
        let age_ms = self.age_known.then(|| self.timing(now).age_ms);
        let own = RolloutReport { age_ms, ..self.own.clone() };
        let others = self.ledger.reports().filter(|report| {
            report.process != self.own.process && !running.contains(&report.process)
        });
        let gone = others.take(MAX_GONE_REPORTS).map(RolloutReport::counts_only);
        std::iter::once(own).chain(gone).collect()
    }
}

impl RolloutTracker {
    /// Takes over the orders of an applied register value. Returns whether the versions that serve or
    /// the orders in progress have changed.
    pub fn apply(
        &mut self,
        rollouts: &BTreeMap<String, RolloutHistory>,
        own: ProcessKey,
        at: LearnedAt,
    ) -> bool {
        let policies: BTreeMap<_, _> =
            rollouts.iter().map(|(service, history)| (service.clone(), history.policy())).collect();
        let changed = policies != self.policies;
        self.policies = policies;
        let running = |service: &str| rollouts.get(service).and_then(RolloutHistory::running);
        self.orders.retain(|service, order| running(service) == Some(&order.record));
        for service in rollouts.keys() {
            if let Some(record) = running(service) {
                let on_trial = self.policies.get(service).is_some_and(|p| p.trial.is_some());
                self.orders
                    .entry(service.clone())
                    .or_insert_with(|| TrackedOrder::new(service, record, on_trial, own, at));
            }
        }
        changed
    }

    /// Returns whether a request may be sent to a version of a service.
    pub fn allows(&self, service: &str, version: &str) -> bool {
        self.policies.get(service).is_none_or(|policy| policy.allows(version))
    }

    /// Returns the orders in progress by service.
    pub fn orders(&self) -> impl Iterator<Item = (&str, &TrackedOrder)> {
        self.orders.iter().map(|(service, order)| (service.as_str(), order))
    }

    /// Returns the orders in progress by service.
    pub fn orders_mut(&mut self) -> impl Iterator<Item = (&str, &mut TrackedOrder)> {
        self.orders.iter_mut().map(|(service, order)| (service.as_str(), order))
    }

    /// Returns the order in progress of a service.
    pub fn order_mut(&mut self, service: &str) -> Option<&mut TrackedOrder> {
        self.orders.get_mut(service)
    }

    /// Returns the reports for a status. `running` are the processes that send their own.
    pub fn reports(&self, running: &BTreeSet<u64>, now: ClockTime) -> Vec<RolloutReport> {
        self.orders.values().flat_map(|order| order.reports(running, now)).collect()
    }

    /// Takes over the reports of a status. Those of unknown orders are dropped; they are repeated.
    pub fn learn(&mut self, reports: &[RolloutReport], now: ClockTime) {
        for report in reports {
            let mut orders = self.orders.values_mut();
            let Some(order) = orders.find(|order| order.own.order == report.order) else {
                continue;
            };
            if let Some(age_ms) = report.age_ms {
                order.learn_age(age_ms, now);
            }
            if report.process != order.own.process {
                order.ledger.apply(report);
            }
        }
    }
}
