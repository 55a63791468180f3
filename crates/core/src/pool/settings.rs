//! Settings of the scheduler of one pool.

use crate::estimate::{PrefixSettings, RateSettings};
use std::collections::HashMap;

/// Policy that selects a target among those with a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Lowest estimated completion time. Ties are broken by the scheduler's own in-flight count.
    EstimatedCompletion,
    /// A uniformly random target.
    Random {
        /// Seed of the random number generator.
        seed: u64,
    },
    /// The target whose last placement is the oldest.
    RoundRobin,
    /// Lowest load in the targets' load reports, which lag behind.
    LeastReported,
    /// Lowest in-flight count of the scheduler.
    LeastInFlight,
}

/// Switches for individual mechanisms, used for ablation experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MechanismSwitches {
    /// Whether cached prompt tokens count in the estimated completion time.
    pub prefix_term: bool,
    /// Whether waiting requests preempt running requests of lower tiers.
    pub preemption: bool,
    /// Whether workspaces share a tier by weight. Otherwise all requests of the tier are in one
    /// queue.
    pub fair_share: bool,
    /// Whether the requests of a workspace are served by deadline. Otherwise they are served by
    /// arrival.
    pub deadline_order: bool,
    /// Whether stragglers receive no new requests while other targets have free slots.
    pub straggler_avoidance: bool,
    /// Whether a request waits while another one computes the same prompt blocks at a target.
    pub computing_wait: bool,
    /// Whether a request with cached prompt blocks at a free target may overtake a request of its
    /// tier without them.
    pub overtaking: bool,
    /// Whether the lowest tier is shed first. Otherwise the newest request is shed.
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
    /// Estimated queue wait above which requests of the tier are shed, in milliseconds.
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
    /// Weight in the fair sharing of a tier, relative to the other workspaces.
    pub weight: f64,
    /// Maximum number of requests waiting or running at once.
    pub max_in_flight: u32,
    /// Limit of prompt and output tokens per second. No limit if absent.
    pub tokens_per_second: Option<f64>,
    /// Capacity of the token bucket: the tokens that may be used at once after a pause.
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
    /// Policy that selects the target.
    pub routing: RoutingPolicy,
    /// Switches for individual mechanisms.
    pub switches: MechanismSwitches,
    /// Settings of the tiers by rank. Ranks beyond the last one use its settings.
    pub tiers: Vec<TierSettings>,
    /// Settings of the workspaces by name.
    pub workspaces: HashMap<String, WorkspaceSettings>,
    /// Settings of a workspace that is not in `workspaces`.
    pub default_workspace: WorkspaceSettings,
    /// Maximum number of waiting requests in the pool.
    pub queue_limit: usize,
    /// Slack below which a waiting request preempts a lower tier, in milliseconds.
    pub preempt_slack_ms: u64,
    /// Time after which an unconfirmed cancel counts as failed, in milliseconds.
    pub cancel_timeout_ms: u64,
    /// Maximum time after a change of leader in which no request is placed or shed, in
    /// milliseconds.
    pub rebuild_timeout_ms: u64,
    /// Maximum number of targets at which one request is tried.
    pub max_attempts: u32,
    /// Maximum retries per retry window, as a share of the grants in the window.
    pub retry_share: f64,
    /// Retries that are always allowed per window, so that a pool with few grants can retry.
    pub retry_floor: u32,
    /// Length of the retry window, in milliseconds.
    pub retry_window_ms: u64,
    /// Minimum time after the loss of an owner before an idle report of the target frees the
    /// request's slot, in milliseconds. Covers the lag of load reports.
    pub idle_report_ms: u64,
    /// Cost of a request to a plain service in fair sharing, in tokens.
    pub service_cost_tokens: f64,
    /// Service time assumed before the first report, in milliseconds. Used for plain services and
    /// for the estimated wait for a busy target.
    pub service_time_ms: f64,
    /// Weight of the time for uncached prompt tokens in the routing cost. A weight above 1 accounts
    /// for the delay of other streams at the target and for the eviction of cached blocks.
    pub prefill_weight: f64,
    /// Number of failed connections since a target's last announcement after which it receives no
    /// new requests until the next announcement. A single failure may be caused by the request.
    pub failure_limit: u32,
    /// Age of a grant, in milliseconds, from which its release does not count as a failed
    /// connection to the target.
    pub grant_ttl_ms: u64,
    /// Maximum wait for a busy target with cached blocks while another target has a free slot, as a
    /// multiple of the prefill time that the wait saves. Zero places each request at once.
    pub cache_wait_share: f64,
    /// Maximum wait of the same kind as a share of the request's slack. The longer of the two
    /// limits applies.
    pub slack_wait_share: f64,
    /// Number of waiting requests that are considered for a free slot, so that requests waiting for
    /// another target do not block those behind them.
    pub lookahead: usize,
    /// Share of the time that a request can wait without missing its deadline, after which it can
    /// no longer be overtaken by a request with cached blocks.
    pub overtake_share: f64,
    /// Maximum cost by which the workspace of an overtaking request may be ahead of its fair share,
    /// in tokens at weight 1.
    pub overtake_tokens: f64,
    /// Lower bound of a retry-after time, in milliseconds.
    pub retry_after_min_ms: u32,
    /// Upper bound of a retry-after time, in milliseconds.
    pub retry_after_max_ms: u32,
    /// Settings of the rate estimates.
    pub rates: RateSettings,
    /// Settings of the prefix prediction.
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
    /// Returns the settings of the tier with this rank.
    pub fn tier(&self, rank: u8) -> TierSettings {
        let last = self.tiers.last().copied().unwrap_or_default();
        self.tiers.get(usize::from(rank)).copied().unwrap_or(last)
    }

    /// Returns the settings of a workspace.
    pub fn workspace(&self, name: &str) -> WorkspaceSettings {
        self.workspaces.get(name).copied().unwrap_or(self.default_workspace)
    }
}
