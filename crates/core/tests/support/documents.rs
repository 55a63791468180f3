//! Proptest strategies that generate valid documents.

use burdockcleat_core::document::{
    ConfigDocument, CredentialDigest, DocumentTables, LimitSettings, PoolConfig, PoolKind,
    RouteRule, RoutingChoice, SchedulingConfig, TierConfig, WorkspaceConfig,
};
use proptest::collection::{btree_set, vec};
use proptest::prelude::*;
use proptest::sample::{Index, subsequence};

/// Names of the generated items. There are few, so that two documents have some in common.
const NAMES: [&str; 6] = ["a", "b-1", "C_2", "d.x", "long-name.of_an-item", "7"];

/// Generates a valid document.
pub fn document() -> impl Strategy<Value = ConfigDocument> {
    (tiers(), pools()).prop_flat_map(|(tiers, pools)| {
        let tier_names: Vec<String> = tiers.iter().map(|tier| tier.name.clone()).collect();
        let pool_names: Vec<String> = pools.iter().map(|pool| pool.name.clone()).collect();
        let workspaces = workspaces(pool_names, tier_names);
        let rest = (workspaces, vec(rule_seed(), 0..6), "[!-~]{0,12}", limits());
        rest.prop_map(move |(workspaces, seeds, credential_salt, limits)| {
            let rules = build_rules(seeds, &tiers, &pools, &workspaces);
            let (tiers, pools) = (tiers.clone(), pools.clone());
            let tables =
                DocumentTables { credential_salt, tiers, workspaces, pools, rules, limits };
            ConfigDocument::build(tables).expect("the generator makes valid documents")
        })
    })
}

fn names(max_count: usize) -> impl Strategy<Value = Vec<String>> {
    subsequence(NAMES.to_vec(), 1..=max_count)
        .prop_shuffle()
        .prop_map(|names| names.into_iter().map(str::to_owned).collect())
}

fn tiers() -> impl Strategy<Value = Vec<TierConfig>> {
    names(5).prop_flat_map(|names| {
        let times = vec((100_u32..=3_600_000, 10_u32..=600_000), names.len());
        times.prop_map(move |times| {
            let named = names.iter().cloned().zip(times);
            named
                .enumerate()
                .map(|(rank, (name, (default_deadline_ms, max_queue_ms)))| {
                    let rank = u8::try_from(rank).expect("few tiers");
                    TierConfig { name, rank, default_deadline_ms, max_queue_ms }
                })
                .collect()
        })
    })
}

fn pools() -> impl Strategy<Value = Vec<PoolConfig>> {
    names(4).prop_flat_map(|names| {
        let settings = vec((pool_numbers(), btree_set("[a-z0-9._/:@+-]{1,9}", 0..3)), names.len());
        settings.prop_map(move |settings| {
            let named = names.iter().cloned().zip(settings);
            named
                .map(|(name, (pool, models))| {
                    let kind = if models.is_empty() { PoolKind::Service } else { PoolKind::Model };
                    PoolConfig { name, kind, models: models.into_iter().collect(), ..pool }
                })
                .collect()
        })
    })
}

fn pool_numbers() -> impl Strategy<Value = PoolConfig> {
    let sizes = (1_u32..=10_000, 1_u32..=1_000_000, 1_u32..=1_000_000, 1_u32..=3);
    let times = (0_u32..=600_000, 100_u32..=600_000, 100_u32..=600_000);
    let percents = (0_u32..=100, 0_u32..=100, 0_u32..=100);
    (sizes, times, percents, scheduling()).prop_map(|(sizes, times, percents, scheduling)| {
        PoolConfig {
            targets_max: sizes.0,
            queue_limit: sizes.1,
            default_output_tokens: sizes.2,
            attempts_max: sizes.3,
            preempt_slack_ms: times.0,
            rate_half_life_ms: times.1,
            straggler_after_ms: times.2,
            retry_budget_percent: percents.0,
            unconfirmed_cache_percent: percents.1,
            straggler_percent: percents.2,
            scheduling,
            ..PoolConfig::default()
        }
    })
}

fn scheduling() -> impl Strategy<Value = SchedulingConfig> {
    let routing = prop_oneof![
        Just(RoutingChoice::EstimatedCompletion),
        Just(RoutingChoice::Random),
        Just(RoutingChoice::RoundRobin),
        Just(RoutingChoice::LeastReported),
        Just(RoutingChoice::LeastInFlight),
    ];
    let numbers = (0_u32..=100_000, 0_u32..=100_000, 0_u32..=100, 1_u32..=1_000_000);
    (routing, any::<[bool; 8]>(), numbers).prop_map(|(routing, switches, numbers)| {
        SchedulingConfig {
            routing,
            prefix_term: switches[0],
            preemption: switches[1],
            fair_share: switches[2],
            deadline_order: switches[3],
            straggler_avoidance: switches[4],
            tiered_shedding: switches[5],
            computing_wait: switches[6],
            overtaking: switches[7],
            prefill_weight_percent: numbers.0,
            cache_wait_percent: numbers.1,
            slack_wait_percent: numbers.2,
            failure_limit: numbers.3,
        }
    })
}

fn workspaces(
    pools: Vec<String>,
    tiers: Vec<String>,
) -> impl Strategy<Value = Vec<WorkspaceConfig>> {
    let numbers = (1_u32..=1_000, 1_u32..=100_000, 1_u32..=10_000_000, 1_usize..=3);
    let (pool_count, tier_count) = (pools.len(), tiers.len());
    let allowed = (subsequence(pools, 1..=pool_count), subsequence(tiers, 1..=tier_count));
    (names(6), vec((numbers, allowed), NAMES.len())).prop_map(|(names, settings)| {
        let named = names.into_iter().zip(settings);
        named
            .map(|(name, (numbers, (pools, tiers)))| WorkspaceConfig {
                credentials: (0..numbers.3)
                    .map(|number| CredentialDigest::compute(&name, &format!("{number}")))
                    .collect(),
                name,
                weight: numbers.0,
                in_flight_limit: numbers.1,
                tokens_per_second_limit: numbers.2,
                pools,
                tiers,
            })
            .collect()
    })
}

type RuleSeed = (bool, [Index; 4], Option<String>, Option<String>, Option<bool>);

fn rule_seed() -> impl Strategy<Value = RuleSeed> {
    let prefix = proptest::option::of("/[a-z&<\"'=+%]{0,8}");
    let method = proptest::option::of("(GET|POST|PUT)");
    (any::<bool>(), any::<[Index; 4]>(), prefix, method, any::<Option<bool>>())
}

fn build_rules(
    seeds: Vec<RuleSeed>,
    tiers: &[TierConfig],
    pools: &[PoolConfig],
    workspaces: &[WorkspaceConfig],
) -> Vec<RouteRule> {
    let named = NAMES.iter().zip(seeds);
    named
        .map(|(name, (for_workspace, choices, path_prefix, method, idempotent))| {
            let workspace =
                workspaces.get(choices[0].index(workspaces.len())).filter(|_| for_workspace);
            let (pool, tier) = match workspace {
                Some(rule) => {
                    (choices[1].get(&rule.pools).clone(), choices[2].get(&rule.tiers).clone())
                }
                None => (choices[1].get(pools).name.clone(), choices[2].get(tiers).name.clone()),
            };
            let models = &pools.iter().find(|item| item.name == pool).expect("a pool").models;
            let model = models.get(choices[3].index(models.len() + 1)).cloned();
            let workspace = workspace.map(|rule| rule.name.clone());
            let name = (*name).to_owned();
            RouteRule { name, workspace, path_prefix, model, method, pool, tier, idempotent }
        })
        .collect()
}

fn limits() -> impl Strategy<Value = LimitSettings> {
    let bytes = (1_024_u32..=268_435_456, 1_024_u32..=1_048_576, 1_024_u32..=268_435_456);
    let counts = (1_u32..=65_536, 1_000_u32..=100_000_000, 1_u32..=10_000);
    (bytes, counts).prop_map(|(bytes, counts)| LimitSettings {
        body_bytes: bytes.0,
        head_bytes: bytes.1,
        response_bytes: bytes.2,
        connections_per_entry: counts.0,
        claim_limit: counts.1,
        weight_loads_per_minute: counts.2,
    })
}
