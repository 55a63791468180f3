//! Converts the configuration document and the replicated state for the pool schedulers.

use super::StepTime;
use crate::document::{ConfigDocument, PoolConfig};
use crate::keys::TargetIdentity;
use crate::pool::{PoolSettings, TierSettings, WorkspaceSettings};
use crate::prompt::TOKENS_PER_BLOCK;
use crate::registry::SuspectChange;
use crate::state::{ReplicatedState, StateCommand};

/// Size of a workspace's token burst, in seconds at its rate limit.
const BURST_SECONDS: f64 = 10.0;

/// Derives the settings of a pool's scheduler from the document.
pub fn pool_settings(document: &ConfigDocument, rule: &PoolConfig) -> PoolSettings {
    let mut tiers: Vec<_> = document.tiers().iter().collect();
    tiers.sort_by_key(|tier| tier.rank);
    let workspaces = document.workspaces().iter().map(|workspace| {
        let tokens_per_second = f64::from(workspace.tokens_per_second_limit);
        let settings = WorkspaceSettings {
            weight: f64::from(workspace.weight),
            max_in_flight: workspace.in_flight_limit,
            tokens_per_second: Some(tokens_per_second),
            burst_tokens: tokens_per_second * BURST_SECONDS,
        };
        (workspace.name.clone(), settings)
    });
    let mut settings = PoolSettings {
        tiers: tiers
            .iter()
            .map(|tier| TierSettings {
                // A request whose estimated wait exceeds the default deadline would end too late.
                max_queue_ms: u64::from(tier.default_deadline_ms),
                preempt_after_ms: u64::from(tier.max_queue_ms),
            })
            .collect(),
        workspaces: workspaces.collect(),
        queue_limit: rule.queue_limit as usize,
        preempt_slack_ms: u64::from(rule.preempt_slack_ms),
        max_attempts: rule.attempts_max,
        retry_share: f64::from(rule.retry_budget_percent) / 100.0,
        ..PoolSettings::default()
    };
    settings.rates.half_life_ms = f64::from(rule.rate_half_life_ms);
    settings.rates.straggler_fraction = f64::from(rule.straggler_percent) / 100.0;
    settings.rates.straggler_after_ms = u64::from(rule.straggler_after_ms);
    rule.scheduling.apply_to(&rule.name, &mut settings);
    settings.switches.straggler_avoidance &= rule.straggler_percent > 0;
    settings.prefix.block_tokens = TOKENS_PER_BLOCK;
    settings.prefix.unconfirmed_weight = f64::from(rule.unconfirmed_cache_percent) / 100.0;
    settings
}

/// Reads the suspect marks from the replicated state, for the schedulers of a new leader.
pub(super) fn suspect_changes(state: &ReplicatedState) -> Vec<SuspectChange> {
    let marks = state.suspects().filter_map(|record| {
        let target = decode_incarnation(&record.target)?;
        Some(SuspectChange::Mark { fingerprint: record.fingerprint, target })
    });
    marks.collect()
}

/// Builds the command that records a change of the suspect marks.
pub(super) fn suspect_command(time: StepTime, change: &SuspectChange) -> StateCommand {
    match change {
        SuspectChange::Mark { fingerprint, target } => StateCommand::SuspectMark {
            fingerprint: *fingerprint,
            target: encode_incarnation(target),
            at: time.wall,
        },
        SuspectChange::Clear { fingerprint } => {
            StateCommand::SuspectClear { fingerprint: *fingerprint }
        }
    }
}

/// Encodes a crashed incarnation as `name#incarnation`, so that two crashes of one target are
/// two marks.
fn encode_incarnation(target: &TargetIdentity) -> String {
    format!("{}#{}", target.name, target.incarnation)
}

fn decode_incarnation(text: &str) -> Option<TargetIdentity> {
    let (name, incarnation) = text.rsplit_once('#')?;
    Some(TargetIdentity { name: name.to_owned(), incarnation: incarnation.parse().ok()? })
}
