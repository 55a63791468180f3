//! Scheduler, requests and decisions for tests of the placement.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{
    ActiveRequest, PlacementFeatures, PlacementKey, PlacementOutput, PlacementRequest,
    PlacementScheduler, ProcessKey, TargetInfo, TargetKey, VersionKey,
};
use std::ops::Range;

pub const SERVICE: &str = "engines";
pub const PROCESS: ProcessKey = ProcessKey(1);
pub const SLOTS: u32 = 7;

pub fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

pub fn infos(targets: Range<u64>) -> Vec<TargetInfo> {
    let info = |key| TargetInfo {
        key: TargetKey(key),
        service: SERVICE.into(),
        domain: "a".into(),
        version: VersionKey(0),
        slots: SLOTS,
        memory_tokens: 0,
        cold_ms: 0,
    };
    targets.map(info).collect()
}

pub fn scheduler(targets: u64, features: PlacementFeatures) -> PlacementScheduler {
    let mut scheduler = PlacementScheduler::default();
    scheduler.set_features(features);
    scheduler.set_targets(SERVICE, &infos(0..targets), at(0));
    scheduler
}

pub fn request(key: u64, prompt_tokens: u32, output_tokens: u32) -> PlacementRequest {
    PlacementRequest {
        key: PlacementKey(key),
        process: PROCESS,
        service: SERVICE.into(),
        domain: "a".into(),
        version: None,
        rank: 0,
        prompt_tokens,
        output_tokens,
        workspace: None,
        share: 1.0,
        stream: None,
        identity: 0,
        max_output_tokens: 10_000,
        objective_left_ms: 600,
        deadline_left_ms: 6_000,
        answer_left_ms: 6_000,
        pause_ms: Some(300),
        repeatable: true,
        excluded: Vec::new(),
    }
}

pub fn granted(scheduler: &mut PlacementScheduler) -> Vec<(u64, TargetKey)> {
    let grant = |output| match output {
        PlacementOutput::Grant { key, target, .. } => Some((key.0, target)),
        PlacementOutput::Refuse { .. } => None,
    };
    scheduler.take_outputs().into_iter().filter_map(grant).collect()
}

/// Returns the report of a node that holds requests at target 0.
pub fn listed(keys: Range<u64>) -> Vec<ActiveRequest> {
    let request = |key| ActiveRequest {
        key: PlacementKey(key),
        target: TargetKey(0),
        prompt_tokens: 500,
        started: true,
        most_tokens: 0,
        written_tokens: 0,
    };
    keys.map(request).collect()
}
