//! Settings of the scheduler of one pool.

use crate::estimate::{PrefixSettings, RateSettings};
use std::collections::HashMap;

/// How a target is chosen among those with a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Lowest estimated completion time, ties broken by own in-flight count.
    EstimatedCompletion,
    /// A uniformly random target.
    Random {
        /// Seed of the choice.
        seed: u64,
    },
    /// The target that has waited longest for a request.
    RoundRobin,
    /// Lowest load in the targets' own, late reports.
    LeastReported,
    /// Lowest own in-flight count.
    LeastInFlight,
}

/// Switches of single mechanisms, for comparisons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MechanismSwitches {
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
    /// Whether a request that has no prompt blocks at a free target lets one of its tier go first
    /// that has them.
    pub overtaking: bool,
    /// Whether the lowest tier is shed first; otherwise the arriving request is shed.
    pub tiered_shedding: bool,
}

impl Default for MechanismSwitches {
    fn default() -> Self {
        Self {
            prefix_term: true,
            preemption: true,
            fair_share: true,
            deadline_order: true,
            straggler_avoidance: true,
            computing_wait: true,
            overtaking: true,
            tiered_shedding: true,
        }
    }
}

/// Settings of one tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TierSettings {
    /// Longest estimated wait in the queue before the tier is shed, in milliseconds.
    pub max_queue_ms: u64,
    /// Waiting time after which a request of the tier preempts a lower tier, in milliseconds.
    pub preempt_after_ms: u64,
}

impl Default for TierSettings {
    fn default() -> Self {
        Self { max_queue_ms: 10_000, preempt_after_ms: 10_000 }
    }
}

/// Weight and limits of one workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceSettings {
    /// Share within a tier, relative to the other workspaces.
    pub weight: f64,
    /// Requests waiting and running at once.
    pub max_in_flight: u32,
    /// Prompt and output tokens per second; no limit if absent.
    pub tokens_per_second: Option<f64>,
    /// Tokens that may be used at once after a pause.
    pub burst_tokens: f64,
}

impl Default for WorkspaceSettings {
    fn default() -> Self {
        Self {
            weight: 1.0,
            max_in_flight: 10_000,
            tokens_per_second: None,
            burst_tokens: 100_000.0,
        }
    }
}

/// Settings of one pool.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Choice of the target.
    pub routing: RoutingPolicy,
    /// Switches of single mechanisms.
    pub switches: MechanismSwitches,
    /// Tiers by rank; a rank above the last one has the last one's settings.
    pub tiers: Vec<TierSettings>,
    /// Workspaces by name.
    pub workspaces: HashMap<String, WorkspaceSettings>,
    /// Settings of a workspace that is not in `workspaces`.
    pub default_workspace: WorkspaceSettings,
    /// Requests that may wait in the pool.
    pub queue_limit: usize,
    /// Slack below which a waiting request preempts a lower tier, in milliseconds.
    pub preempt_slack_ms: u64,
    /// Time after which an unconfirmed cancel counts as impossible, in milliseconds.
    pub cancel_timeout_ms: u64,
    /// Longest time without grants after a change of leader, in milliseconds.
    pub rebuild_timeout_ms: u64,
    /// Targets that one request may be tried at.
    pub max_attempts: u32,
    /// Share of the grants in the retry window that may be retries.
    pub retry_share: f64,
    /// Retries that are always allowed per window, so that a pool with few grants can retry.
    pub retry_floor: u32,
    /// Length of the retry window, in milliseconds.
    pub retry_window_ms: u64,
    /// Time from the loss of an owner until a report of an idle target frees the slot, in
    /// milliseconds. Covers the lag of load reports.
    pub idle_report_ms: u64,
    /// Tokens that a request of a plain service is counted as in fair sharing.
    pub service_cost_tokens: f64,
    /// Service time assumed for a plain service before the first report, in milliseconds.
    pub service_time_ms: f64,
    /// Factor on the time for uncached prompt tokens in the routing cost. Above 1, it also stands
    /// for the delay of the other streams of the target and for the cached blocks that are pushed
    /// out.
    pub prefill_weight: f64,
    /// Failed connections to a target since its last announcement after which it gets no new work
    /// until the next one. One failure may be due to the request.
    pub failure_limit: u32,
    /// Age of a grant from which its release tells nothing of the target, in milliseconds.
    pub grant_ttl_ms: u64,
    /// Time for which a request may wait for a busy target with cached blocks although another
    /// target has a free slot, as a share of the prefill time that this saves. Zero places each
    /// request at once.
    pub cache_wait_share: f64,
    /// Share of a request's slack for which it may wait in the same way, if that is longer.
    pub slack_wait_share: f64,
    /// Waiting requests that are looked at for a free slot when those before them wait for
    /// another target.
    pub lookahead: usize,
    /// Share of the time that a request can wait without missing its deadline, after which no
    /// request with cached blocks goes before it any more.
    pub overtake_share: f64,
    /// Cost by which the workspace of an overtaking request may be ahead of its fair share, in
    /// tokens at weight 1.
    pub overtake_tokens: f64,
    /// Lower bound of a retry-after time, in milliseconds.
    pub retry_after_min_ms: u32,
    /// Upper bound of a retry-after time, in milliseconds.
    pub retry_after_max_ms: u32,
    /// Rate estimates.
    pub rates: RateSettings,
    /// Prefix prediction.
    pub prefix: PrefixSettings,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            routing: RoutingPolicy::EstimatedCompletion,
            switches: MechanismSwitches::default(),
            tiers: vec![TierSettings::default()],
            workspaces: HashMap::new(),
            default_workspace: WorkspaceSettings::default(),
            queue_limit: 2_000,
            preempt_slack_ms: 500,
            cancel_timeout_ms: 500,
            rebuild_timeout_ms: 1_000,
            max_attempts: 3,
            retry_share: 0.1,
            retry_floor: 3,
            retry_window_ms: 10_000,
            idle_report_ms: 2_000,
            service_cost_tokens: 1_000.0,
            service_time_ms: 100.0,
            prefill_weight: 16.0,
            failure_limit: 2,
            grant_ttl_ms: 2_000,
            cache_wait_share: 4.0,
            slack_wait_share: 0.04,
            lookahead: 32,
            overtake_share: 0.5,
            overtake_tokens: 16_000.0,
            retry_after_min_ms: 100,
            retry_after_max_ms: 60_000,
            rates: RateSettings::default(),
            prefix: PrefixSettings::default(),
        }
    }
}

impl PoolSettings {
    /// Settings of the tier with this rank.
    pub fn tier(&self, rank: u8) -> TierSettings {
        let last = self.tiers.last().copied().unwrap_or_default();
        self.tiers.get(usize::from(rank)).copied().unwrap_or(last)
    }

    /// Settings of a workspace.
    pub fn workspace(&self, name: &str) -> WorkspaceSettings {
        self.workspaces.get(name).copied().unwrap_or(self.default_workspace)
    }
}
