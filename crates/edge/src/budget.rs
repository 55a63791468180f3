//! Budget of second sends to the targets of a service, over all nodes.

use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Part of the budget that is used, so that nodes whose counts differ stay below it together.
const USABLE_FRACTION: f64 = 0.6;

/// Rules of the budget, over all nodes.
#[derive(Clone, Copy, Debug)]
pub struct BudgetRule {
    /// Retries for each hundred requests.
    pub percent: u32,
    /// Retries beyond these in each window.
    pub extra: u32,
    /// Length of the window, in ms.
    pub window_ms: u64,
}

#[derive(Debug, Default)]
struct ServiceBudget {
    level: f64,
    refilled: ClockTime,
}

/// Budgets of a node by service. Each node has an equal part of the extra retries and the ratio
/// of its own requests.
#[derive(Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    services: BTreeMap<String, ServiceBudget>,
}

impl RetryBudget {
    /// Creates the budgets of a node.
    pub const fn new(rule: BudgetRule) -> Self {
        Self { rule, services: BTreeMap::new() }
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, service: &str, nodes: usize, now: ClockTime) {
        let rule = self.rule;
        let budget = self.refilled(service, nodes, now);
        budget.level += f64::from(rule.percent) / 100.0 * USABLE_FRACTION;
    }

    /// Takes one retry, if there is one left.
    pub fn try_take(&mut self, service: &str, nodes: usize, now: ClockTime) -> bool {
        let budget = self.refilled(service, nodes, now);
        if budget.level < 1.0 {
            return false;
        }
        budget.level -= 1.0;
        true
    }

    /// Retries left for a service, for metrics.
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
