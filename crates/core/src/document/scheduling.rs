//! Scheduling settings of a pool: the routing policy and the switches of the mechanisms.

use crate::pool::{MechanismSwitches, PoolSettings, RoutingPolicy};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Policy that selects a target among those with a free slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingChoice {
    /// The target with the lowest estimated completion time.
    #[default]
    EstimatedCompletion,
    /// A target chosen uniformly at random.
    Random,
    /// The target that has gone longest without receiving a request.
    RoundRobin,
    /// The target that reports the lowest load. Reports arrive with a delay.
    LeastReported,
    /// The target with the fewest requests in flight as counted by the scheduler.
    LeastInFlight,
}

impl RoutingChoice {
    /// Names of all policies in the document.
    pub const NAMES: [&str; 5] =
        ["estimated-completion", "random", "round-robin", "least-reported", "least-in-flight"];
}

/// Table `[pools.scheduling]` of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct SchedulingConfig {
    /// Policy that selects the target.
    pub routing: RoutingChoice,
    /// Whether the estimated completion time takes cached prompt tokens into account.
    pub prefix_term: bool,
    /// Whether requests of higher tiers may preempt running requests of lower tiers.
    pub preemption: bool,
    /// Whether the workspaces of a tier share it by weight; otherwise the tier has a single queue.
    pub fair_share: bool,
    /// Whether the requests of a workspace are ordered by deadline; otherwise by arrival.
    pub deadline_order: bool,
    /// Whether stragglers receive no new requests while other targets have capacity.
    pub straggler_avoidance: bool,
    /// Whether a request waits while another request computes the same prompt blocks at its target.
    pub computing_wait: bool,
    /// Whether a request whose prompt blocks are cached at a free target may overtake a request of
    /// the same tier whose blocks are not.
    pub overtaking: bool,
    /// Whether requests of the lowest tier are shed first; otherwise the arriving request is shed.
    pub tiered_shedding: bool,
    /// Factor in percent on the time for uncached prompt tokens in the routing cost.
    pub prefill_weight_percent: u32,
    /// Maximum wait for a busy target with cached blocks, in percent of the prefill time that
    /// this saves; 0 places each request at once.
    pub cache_wait_percent: u32,
    /// Maximum wait for the same reason in percent of the slack of the request; the longer of the
    /// two waits applies.
    pub slack_wait_percent: u32,
    /// Number of failed connections to a target since its last announcement after which it
    /// receives no new requests until it announces itself again.
    pub failure_limit: u32,
}

impl Default for SchedulingConfig {
    /// Takes the defaults of the scheduler, so that a pool without this table behaves like
    /// [`PoolSettings::default`].
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
    /// Copies the table to the scheduler settings of a pool.
    pub fn apply_to(&self, pool: &str, settings: &mut PoolSettings) {
        settings.routing = match self.routing {
            RoutingChoice::EstimatedCompletion => RoutingPolicy::EstimatedCompletion,
            // The scheduler must be deterministic, so the seed is derived from the pool name.
            RoutingChoice::Random => RoutingPolicy::Random { seed: xxh3_64(pool.as_bytes()) },
            RoutingChoice::RoundRobin => RoutingPolicy::RoundRobin,
            RoutingChoice::LeastReported => RoutingPolicy::LeastReported,
            RoutingChoice::LeastInFlight => RoutingPolicy::LeastInFlight,
        };
        // The other policies serve as baselines and therefore keep the order of the queue.
        let uses_prompt_blocks = self.routing == RoutingChoice::EstimatedCompletion;
        settings.switches = MechanismSwitches {
            prefix_term: self.prefix_term,
            preemption: self.preemption,
            fair_share: self.fair_share,
            deadline_order: self.deadline_order,
            straggler_avoidance: self.straggler_avoidance,
            computing_wait: self.computing_wait && uses_prompt_blocks,
            overtaking: self.overtaking && uses_prompt_blocks,
            tiered_shedding: self.tiered_shedding,
        };
        settings.prefill_weight = f64::from(self.prefill_weight_percent) / 100.0;
        settings.cache_wait_share = f64::from(self.cache_wait_percent) / 100.0;
        settings.slack_wait_share = f64::from(self.slack_wait_percent) / 100.0;
        settings.failure_limit = self.failure_limit;
    }
}
