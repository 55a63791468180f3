//! Requests that only some targets may run: those of one software version, or all but the excluded
//! ones.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{
    PlacementKey, PlacementOutput, PlacementRequest, PlacementScheduler, ProcessKey, TargetInfo,
    TargetKey, VersionKey,
};

const OLD: VersionKey = VersionKey(1);
const NEW: VersionKey = VersionKey(2);

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn info((key, version, slots): (u64, VersionKey, u32)) -> TargetInfo {
    let (service, domain) = ("engines".into(), "a".into());
    TargetInfo { key: TargetKey(key), service, domain, version, slots }
}

fn set_targets(scheduler: &mut PlacementScheduler, targets: &[(u64, VersionKey, u32)], ms: u64) {
    let infos: Vec<_> = targets.iter().copied().map(info).collect();
    scheduler.set_targets("engines", &infos, at(ms));
}

fn scheduler(targets: &[(u64, VersionKey, u32)]) -> PlacementScheduler {
    let mut scheduler = PlacementScheduler::default();
    set_targets(&mut scheduler, targets, 0);
    scheduler
}

fn request(key: u64, version: Option<VersionKey>) -> PlacementRequest {
    PlacementRequest {
        key: PlacementKey(key),
        process: ProcessKey(1),
        service: "engines".into(),
        domain: "a".into(),
        version,
        rank: 0,
        prompt_tokens: 1_000,
        output_tokens: 20,
        objective_left_ms: 500,
        deadline_left_ms: 4_000,
        answer_left_ms: 10_000,
        pause_ms: None,
        excluded: Vec::new(),
    }
}

fn granted(scheduler: &mut PlacementScheduler) -> Vec<(u64, u64)> {
    let grant = |output| match output {
        PlacementOutput::Grant { key, target, .. } => Some((key.0, target.0)),
        PlacementOutput::Refuse { .. } => None,
    };
    scheduler.take_outputs().into_iter().filter_map(grant).collect()
}

/// Guards against requests that exclude the free targets and hold up others for which these are
/// free.
#[test]
fn requests_without_a_free_target_hold_up_no_others() {
    let mut scheduler = scheduler(&[(1, OLD, 1), (2, NEW, 1)]);
    scheduler.submit(PlacementRequest { excluded: vec![TargetKey(2)], ..request(0, None) }, at(0));
    assert_eq!(granted(&mut scheduler), [(0, 1)]);
    for key in 1..=40 {
        let excluded = vec![TargetKey(2)];
        scheduler.submit(PlacementRequest { excluded, ..request(key, None) }, at(0));
    }
    scheduler.submit(PlacementRequest { rank: 1, ..request(41, None) }, at(0));
    assert_eq!(granted(&mut scheduler), [(41, 2)]);
}
