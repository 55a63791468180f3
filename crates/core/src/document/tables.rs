//! Document tables before validation.
//!
//! Every field has a default, so that each key of a table can be deserialised separately and all
//! faults are found at once. The default of a required field does not pass validation.

use super::credential::CredentialDigest;
use super::scheduling::SchedulingConfig;
use serde::{Deserialize, Serialize};

/// All tables of a document. [`super::ConfigDocument::build`] validates them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct DocumentTables {
    /// Salt that is prepended to each credential before hashing.
    ///
    /// All workspaces share one salt. With a salt per workspace, a lookup would have to hash the
    /// credential once for each workspace.
    pub credential_salt: String,
    /// Tiers. Their order in the text has no effect; they are sorted by rank.
    pub tiers: Vec<TierConfig>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceConfig>,
    /// Pools.
    pub pools: Vec<PoolConfig>,
    /// Routing rules. The first one that matches is used.
    pub rules: Vec<RouteRule>,
    /// Limits of the deployment.
    pub limits: LimitSettings,
}

/// Priority tier of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct TierConfig {
    /// Unique name.
    pub name: String,
    /// Rank; 0 is the highest. Ranks are unique and have no gaps.
    pub rank: u8,
    /// Deadline of requests that specify none, in milliseconds.
    pub default_deadline_ms: u32,
    /// Waiting time in milliseconds after which a request of this tier may preempt a lower tier.
    pub max_queue_ms: u32,
}

impl Default for TierConfig {
    fn default() -> Self {
        Self { name: String::new(), rank: 0, default_deadline_ms: 60_000, max_queue_ms: 2_000 }
    }
}

/// Group of callers that share credentials, a scheduling weight and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct WorkspaceConfig {
    /// Unique name.
    pub name: String,
    /// Digests of the valid credentials. Several can be valid at once to allow rotation.
    pub credentials: Vec<CredentialDigest>,
    /// Scheduling weight relative to the other workspaces of the same tier.
    pub weight: u32,
    /// Maximum number of requests in flight.
    pub in_flight_limit: u32,
    /// Rate limit for prompt and output tokens, enforced by a token bucket.
    pub tokens_per_second_limit: u32,
    /// Pools that the workspace may use.
    pub pools: Vec<String>,
    /// Tiers that the workspace may use.
    pub tiers: Vec<String>,
}

impl Default for WorkspaceConfig {
    fn default() -> Self {
        Self {
            name: String::new(),
            credentials: Vec::new(),
            weight: 1,
            in_flight_limit: 64,
            tokens_per_second_limit: 10_000,
            pools: Vec::new(),
            tiers: Vec::new(),
        }
    }
}

/// Kind of the targets of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Engines that serve models and stream tokens.
    #[default]
    Model,
    /// Plain HTTP services.
    Service,
}

/// Pool of targets with its queue and its scheduling thresholds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PoolConfig {
    /// Unique name.
    pub name: String,
    /// Kind of the targets.
    pub kind: PoolKind,
    /// Models that the pool serves; empty for services.
    pub models: Vec<String>,
    /// Maximum number of announced targets.
    pub targets_max: u32,
    /// Maximum number of queued requests.
    pub queue_limit: u32,
    /// Output length in tokens assumed for requests that specify none.
    pub default_output_tokens: u32,
    /// Slack in milliseconds below which a queued request may preempt a lower tier.
    pub preempt_slack_ms: u32,
    /// Maximum number of targets tried for a request if no connection can be established.
    pub attempts_max: u32,
    /// Maximum share of retries among the grants of the last 10 s, in percent.
    pub retry_budget_percent: u32,
    /// Half-life of the estimated prefill and decode rates, in milliseconds.
    pub rate_half_life_ms: u32,
    /// Weight in percent of predicted cache entries that have not been confirmed since events were
    /// lost.
    pub unconfirmed_cache_percent: u32,
    /// Decode rate in percent of the median below which a target is a straggler; 0 turns the
    /// detection off.
    pub straggler_percent: u32,
    /// Time in milliseconds below that rate after which a target counts as a straggler.
    pub straggler_after_ms: u32,
    /// Routing policy and switches of the scheduling mechanisms.
    pub scheduling: SchedulingConfig,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            name: String::new(),
            kind: PoolKind::Model,
            models: Vec::new(),
            targets_max: 1_000,
            queue_limit: 1_024,
            default_output_tokens: 512,
            preempt_slack_ms: 500,
            attempts_max: 3,
            retry_budget_percent: 10,
            rate_half_life_ms: 10_000,
            unconfirmed_cache_percent: 50,
            straggler_percent: 50,
            straggler_after_ms: 2_000,
            scheduling: SchedulingConfig::default(),
        }
    }
}

/// Routing rule with its conditions and the pool and tier that it selects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct RouteRule {
    /// Unique name, shown in dumps and used to identify the rule in changes.
    pub name: String,
    /// Matches only requests of this workspace.
    pub workspace: Option<String>,
    /// Matches only paths that equal the prefix or continue it after a `/`.
    pub path_prefix: Option<String>,
    /// Matches only requests for this model.
    pub model: Option<String>,
    /// Matches only requests with this HTTP method.
    pub method: Option<String>,
    /// Pool that serves the request.
    pub pool: String,
    /// Tier of the request.
    pub tier: String,
    /// `false` makes every matching request non-idempotent, even if the caller declares otherwise.
    /// `true` is the default for requests whose caller declares nothing.
    pub idempotent: Option<bool>,
}

/// Limits of the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LimitSettings {
    /// Maximum size of a request body.
    pub body_bytes: u32,
    /// Maximum size of a request head.
    pub head_bytes: u32,
    /// Maximum size of a response of a plain service, which is buffered before it is forwarded.
    pub response_bytes: u32,
    /// Maximum number of caller connections at an entry.
    pub connections_per_entry: u32,
    /// Maximum number of claims in the replicated table.
    pub claim_limit: u32,
    /// Maximum rate of model loads that the weight store sustains.
    pub weight_loads_per_minute: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 1_048_576,
            head_bytes: 16_384,
            response_bytes: 8_388_608,
            connections_per_entry: 1_024,
            claim_limit: 2_000_000,
            weight_loads_per_minute: 6,
        }
    }
}
