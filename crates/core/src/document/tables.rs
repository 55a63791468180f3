//! The tables of the document as plain data, before validation.
//!
//! Every field has a default, so that each key of a table can be read on its own and all
//! faults of a document are found at once. A required field is one whose default is refused
//! by the validation.

use super::credential::CredentialDigest;
use super::scheduling::SchedulingConfig;
use serde::{Deserialize, Serialize};

/// All tables of a document, not validated. [`super::ConfigDocument::build`] validates them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct DocumentTables {
    /// Text that precedes each credential when its digest is computed.
    ///
    /// It is one value for the document: with a salt per workspace, a lookup would have to hash
    /// the presented credential once for each workspace.
    pub credential_salt: String,
    /// Tiers; the order in the text has no meaning, the rank has.
    pub tiers: Vec<TierConfig>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceConfig>,
    /// Pools.
    pub pools: Vec<PoolConfig>,
    /// Routing rules. The first that matches is used.
    pub rules: Vec<RouteRule>,
    /// Limits of the deployment.
    pub limits: LimitSettings,
}

/// A tier of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct TierConfig {
    /// Unique name.
    pub name: String,
    /// Rank, 0 is the highest. Ranks are unique and have no gaps.
    pub rank: u8,
    /// Deadline of requests that carry none.
    pub default_deadline_ms: u32,
    /// Waiting time after which a request of this tier may preempt a lower tier.
    pub max_queue_ms: u32,
}

impl Default for TierConfig {
    fn default() -> Self {
        Self { name: String::new(), rank: 0, default_deadline_ms: 60_000, max_queue_ms: 2_000 }
    }
}

/// A workspace: a group of callers with common credentials, weight and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct WorkspaceConfig {
    /// Unique name.
    pub name: String,
    /// Digests of the credentials. More than one is for rotation.
    pub credentials: Vec<CredentialDigest>,
    /// Share of a pool, relative to the other workspaces of the same tier.
    pub weight: u32,
    /// Largest number of requests in flight.
    pub in_flight_limit: u32,
    /// Rate of the token bucket over prompt and output tokens.
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

/// What the targets of a pool are.
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

/// A pool of targets with its queue and its scheduling thresholds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PoolConfig {
    /// Unique name.
    pub name: String,
    /// Kind of the targets.
    pub kind: PoolKind,
    /// Models that requests may name. Empty for services.
    pub models: Vec<String>,
    /// Largest number of targets that may announce themselves.
    pub targets_max: u32,
    /// Largest number of waiting requests.
    pub queue_limit: u32,
    /// Output length assumed for requests that state none.
    pub default_output_tokens: u32,
    /// Slack below which a waiting request may preempt a lower tier.
    pub preempt_slack_ms: u32,
    /// Targets tried for one request while no connection is established.
    pub attempts_max: u32,
    /// Share of the grants of the last 10 s that may be retries.
    pub retry_budget_percent: u32,
    /// Half-life of the estimated prefill and decode rates.
    pub rate_half_life_ms: u32,
    /// Weight of predicted cache entries that were not confirmed since a gap in the events.
    pub unconfirmed_cache_percent: u32,
    /// A target is a straggler below this share of the median decode rate; 0 turns it off.
    pub straggler_percent: u32,
    /// Time below that share after which a target counts as a straggler.
    pub straggler_after_ms: u32,
    /// Routing policy and switches of single mechanisms.
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

/// A routing rule: what it matches, and the pool and tier that it chooses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct RouteRule {
    /// Unique name, reported in dumps and used as the identity of the rule in changes.
    pub name: String,
    /// Matches requests of this workspace only.
    pub workspace: Option<String>,
    /// Matches paths that are equal to the prefix or continue it at a `/`.
    pub path_prefix: Option<String>,
    /// Matches requests for this model only.
    pub model: Option<String>,
    /// Matches this HTTP method only.
    pub method: Option<String>,
    /// Pool that serves the request.
    pub pool: String,
    /// Tier of the request.
    pub tier: String,
    /// `false` makes every matched request non-idempotent, whatever the caller states. `true`
    /// changes the default for callers that state nothing.
    pub idempotent: Option<bool>,
}

/// Limits of the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LimitSettings {
    /// Largest request body.
    pub body_bytes: u32,
    /// Largest request head.
    pub head_bytes: u32,
    /// Largest response of a plain service, which is read completely before it is passed on.
    pub response_bytes: u32,
    /// Callers' connections at one entry.
    pub connections_per_entry: u32,
    /// Claims in the replicated table.
    pub claim_limit: u32,
    /// Model loads that the weight store sustains.
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
