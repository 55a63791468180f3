//! Scheduling of one pool: the routing policy and the switches of single mechanisms.

use crate::pool::{MechanismSwitches, PoolSettings, RoutingPolicy};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// How a target is chosen among those with a free slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingChoice {
    /// Lowest estimated completion time.
    #[default]
    EstimatedCompletion,
    /// A uniformly random target.
    Random,
    /// The target that has waited longest for a request.
    RoundRobin,
    /// Lowest load in the targets' own, late reports.
    LeastReported,
    /// Lowest own in-flight count.
    LeastInFlight,
}

impl RoutingChoice {
    /// All choices by their words in the document.
    pub const NAMES: [&str; 5] =
        ["estimated-completion", "random", "round-robin", "least-reported", "least-in-flight"];
}

/// The table `[pools.scheduling]`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct SchedulingConfig {
    /// Choice of the target.
    pub routing: RoutingChoice,
    /// Whether cached prompt tokens count in the estimated completion time.
    pub prefix_term: bool,
    /// Whether running lower-tier requests give way to higher tiers.
    pub preemption: bool,
    /// Whether workspaces share a tier by weight; otherwise the tier is served in one order.
    pub fair_share: bool,
    /// Whether a workspace's requests are served by deadline; otherwise by arrival.
    pub deadline_order: bool,
    /// Whether stragglers get no new work while other targets have capacity.
    pub straggler_avoidance: bool,
    /// Whether a request waits while another one computes the same prompt blocks at its target.
    pub computing_wait: bool,
    /// Whether a request without prompt blocks at a free target lets one of its tier go first
    /// that has them.
    pub overtaking: bool,
    /// Whether the lowest tier is shed first; otherwise the arriving request is shed.
    pub tiered_shedding: bool,
    /// Factor on the time for uncached prompt tokens in the routing cost.
    pub prefill_weight_percent: u32,
    /// Longest wait for a busy target with cached blocks, as a share of the prefill time that
    /// this saves; 0 places each request at once.
    pub cache_wait_percent: u32,
    /// Share of a request's slack for which it may wait in the same way, if that is longer.
    pub slack_wait_percent: u32,
    /// Failed connections to a target since its last announcement after which it gets no new
    /// work until the next one.
    pub failure_limit: u32,
}

impl Default for SchedulingConfig {
    /// The defaults of the scheduler, so that a pool without the table runs as the core does.
    fn default() -> Self {
        let settings = PoolSettings::default();
        let switches = settings.switches;
        Self {
            routing: RoutingChoice::EstimatedCompletion,
            prefix_term: switches.prefix_term,
            preemption: switches.preemption,
            fair_share: switches.fair_share,
            deadline_order: switches.deadline_order,
            straggler_avoidance: switches.straggler_avoidance,
            computing_wait: switches.computing_wait,
            overtaking: switches.overtaking,
            tiered_shedding: switches.tiered_shedding,
            prefill_weight_percent: (settings.prefill_weight * 100.0).round() as u32,
            cache_wait_percent: (settings.cache_wait_share * 100.0).round() as u32,
            slack_wait_percent: (settings.slack_wait_share * 100.0).round() as u32,
            failure_limit: settings.failure_limit,
        }
    }
}

impl SchedulingConfig {
    /// Puts the table in force in the settings of the scheduler of a pool.
    pub fn apply_to(&self, pool: &str, settings: &mut PoolSettings) {
        settings.routing = match self.routing {
            RoutingChoice::EstimatedCompletion => RoutingPolicy::EstimatedCompletion,
            // The scheduler is a pure function of its inputs, so the seed comes from the document.
            RoutingChoice::Random => RoutingPolicy::Random { seed: xxh3_64(pool.as_bytes()) },
            RoutingChoice::RoundRobin => RoutingPolicy::RoundRobin,
            RoutingChoice::LeastReported => RoutingPolicy::LeastReported,
            RoutingChoice::LeastInFlight => RoutingPolicy::LeastInFlight,
        };
        // The other policies keep the order of the queue, so that they can serve as baselines.
        let considers_blocks = self.routing == RoutingChoice::EstimatedCompletion;
        settings.switches = MechanismSwitches {
            prefix_term: self.prefix_term,
            preemption: self.preemption,
            fair_share: self.fair_share,
            deadline_order: self.deadline_order,
            straggler_avoidance: self.straggler_avoidance,
            computing_wait: self.computing_wait && considers_blocks,
            overtaking: self.overtaking && considers_blocks,
            tiered_shedding: self.tiered_shedding,
        };
        settings.prefill_weight = f64::from(self.prefill_weight_percent) / 100.0;
        settings.cache_wait_share = f64::from(self.cache_wait_percent) / 100.0;
        settings.slack_wait_share = f64::from(self.slack_wait_percent) / 100.0;
        settings.failure_limit = self.failure_limit;
    }
}
