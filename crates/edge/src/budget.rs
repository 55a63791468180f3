//! Retry budget of each service, shared by all nodes.

use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Fraction of the budget that is handed out. Each node divides the budget by its own count of the
/// nodes; the rest covers the differences between these counts.
const USABLE_FRACTION: f64 = 0.6;

/// Parameters of the retry budget, for all nodes together.
#[derive(Clone, Copy, Debug)]
pub struct BudgetRule {
    /// Retries allowed per hundred requests.
    pub percent: u32,
    /// Additional retries allowed in each window.
    pub extra: u32,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

#[derive(Debug, Default)]
struct ServiceBudget {
    level: f64,
    refilled: ClockTime,
}

/// Token buckets of one node, by service. Each node gets an equal share of the additional retries
/// and the percentage of its own requests.
#[derive(Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    services: BTreeMap<String, ServiceBudget>,
}

impl RetryBudget {
    /// Creates the retry budgets of a node.
    pub const fn new(rule: BudgetRule) -> Self {
        Self { rule, services: BTreeMap::new() }
    }

    /// Credits the budget of a service for a request.
    pub fn count_request(&mut self, service: &str, nodes: usize, now: ClockTime) {
        let rule = self.rule;
        let budget = self.refilled(service, nodes, now);
        budget.level += f64::from(rule.percent) / 100.0 * USABLE_FRACTION;
    }

    /// Returns whether a retry is left.
    pub fn has_retry(&mut self, service: &str, nodes: usize, now: ClockTime) -> bool {
        self.refilled(service, nodes, now).level >= 1.0
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub fn try_take(&mut self, service: &str, nodes: usize, now: ClockTime) -> bool {
        let budget = self.refilled(service, nodes, now);
        if budget.level < 1.0 {
            return false;
        }
        budget.level -= 1.0;
        true
    }

    /// Returns the remaining retries of a service, for metrics.
    pub fn remaining(&self, service: &str) -> f64 {
        self.services.get(service).map_or(0.0, |budget| budget.level)
    }

    fn refilled(&mut self, service: &str, nodes: usize, now: ClockTime) -> &mut ServiceBudget {
        let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
        let extra = f64::from(self.rule.extra) * USABLE_FRACTION / f64::from(nodes);
        let rate_per_ms = extra / self.rule.window_ms as f64;
        let cap = extra.max(1.0) * 2.0;
        let start = ServiceBudget { level: extra.max(1.0), refilled: now };
        let budget = self.services.entry(service.to_owned()).or_insert(start);
        let elapsed = now.since(budget.refilled) as f64;
        budget.refilled = now;
        budget.level = (budget.level + elapsed * rate_per_ms).min(cap);
        budget
    }
}
