//! Allowed ranges of the numeric fields, used by validation, fault messages and the console.

use super::scheduling::SchedulingConfig;
use super::tables::{LimitSettings, PoolConfig, TierConfig, WorkspaceConfig};

/// Numeric field of a table with its allowed range.
#[derive(Clone, Copy, Debug)]
pub struct NumberField<T> {
    /// Key of the field in the document.
    pub key: &'static str,
    /// Smallest allowed value.
    pub min: u32,
    /// Largest allowed value.
    pub max: u32,
    /// Returns the value of the field.
    pub get: fn(&T) -> u32,
}

const fn field<T>(key: &'static str, min: u32, max: u32, get: fn(&T) -> u32) -> NumberField<T> {
    NumberField { key, min, max, get }
}

/// Maximum number of tiers.
pub const TIERS_MAX: usize = 16;

/// Numeric fields of a tier.
pub const TIER_NUMBERS: &[NumberField<TierConfig>] = &[
    field("rank", 0, TIERS_MAX as u32 - 1, |tier| u32::from(tier.rank)),
    field("default-deadline-ms", 100, 3_600_000, |tier| tier.default_deadline_ms),
    field("max-queue-ms", 10, 600_000, |tier| tier.max_queue_ms),
];

/// Numeric fields of a workspace.
pub const WORKSPACE_NUMBERS: &[NumberField<WorkspaceConfig>] = &[
    field("weight", 1, 1_000, |workspace| workspace.weight),
    field("in-flight-limit", 1, 100_000, |workspace| workspace.in_flight_limit),
    field("tokens-per-second-limit", 1, 10_000_000, |workspace| workspace.tokens_per_second_limit),
];

/// Numeric fields of a pool.
pub const POOL_NUMBERS: &[NumberField<PoolConfig>] = &[
    field("targets-max", 1, 10_000, |pool| pool.targets_max),
    field("queue-limit", 1, 1_000_000, |pool| pool.queue_limit),
    field("default-output-tokens", 1, 1_000_000, |pool| pool.default_output_tokens),
    field("preempt-slack-ms", 0, 600_000, |pool| pool.preempt_slack_ms),
    field("attempts-max", 1, 3, |pool| pool.attempts_max),
    field("retry-budget-percent", 0, 100, |pool| pool.retry_budget_percent),
    field("rate-half-life-ms", 100, 600_000, |pool| pool.rate_half_life_ms),
    field("unconfirmed-cache-percent", 0, 100, |pool| pool.unconfirmed_cache_percent),
    field("straggler-percent", 0, 100, |pool| pool.straggler_percent),
    field("straggler-after-ms", 100, 600_000, |pool| pool.straggler_after_ms),
];

/// Numeric fields of the scheduling table of a pool.
pub const SCHEDULING_NUMBERS: &[NumberField<SchedulingConfig>] = &[
    field("prefill-weight-percent", 0, 100_000, |rule| rule.prefill_weight_percent),
    field("cache-wait-percent", 0, 100_000, |rule| rule.cache_wait_percent),
    field("slack-wait-percent", 0, 100, |rule| rule.slack_wait_percent),
    field("failure-limit", 1, 1_000_000, |rule| rule.failure_limit),
];

/// Numeric fields of the limits.
pub const LIMIT_NUMBERS: &[NumberField<LimitSettings>] = &[
    field("body-bytes", 1_024, 268_435_456, |limits| limits.body_bytes),
    field("head-bytes", 1_024, 1_048_576, |limits| limits.head_bytes),
    field("response-bytes", 1_024, 268_435_456, |limits| limits.response_bytes),
    field("connections-per-entry", 1, 65_536, |limits| limits.connections_per_entry),
    field("claim-limit", 1_000, 100_000_000, |limits| limits.claim_limit),
    field("weight-loads-per-minute", 1, 10_000, |limits| limits.weight_loads_per_minute),
];
