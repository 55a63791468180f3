//! Prints the time that a scheduler takes in one tick to look for requests of silent nodes, at 360 nodes
//! before 760 targets, while a failure domain of 60 nodes is silent. A tick comes every 25 ms.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{
    PlacementKey, PlacementRequest, PlacementScheduler, ProcessKey, TargetInfo, TargetKey,
    VersionKey,
};
use burdockcleat_edge::streams::StreamKey;
use burdockcleat_edge::target_load::{LoadReport, TargetLoad};
use std::collections::BTreeSet;
use std::time::Instant;

const NODES: u64 = 360;
const SILENT_NODES: u64 = 60;
const TARGETS: u64 = 760;
const SLOTS: u32 = 4;
/// Waiting requests, of which every second one goes on with a stream.
const WAITING: u64 = 1_000;
const TICKS: usize = 200;
const TICK_MS: u64 = 25;

fn request(key: u64) -> PlacementRequest {
    let running = TARGETS * u64::from(SLOTS);
    let returns = key >= running && key.is_multiple_of(2);
    PlacementRequest {
        key: PlacementKey(key),
        process: ProcessKey(key % NODES),
        service: "engines".into(),
        domain: "a".into(),
        version: returns.then_some(VersionKey(1)),
        rank: 0,
        workspace: None,
        share: 1.0,
        stream: Some(StreamKey(if returns { key - running } else { key })),
        identity: key,
        prompt_tokens: 1_000,
        output_tokens: 100,
        max_output_tokens: 1_000,
        objective_left_ms: 60_000_000,
        deadline_left_ms: 60_000_000,
        answer_left_ms: 60_000_000,
        pause_ms: Some(300),
        repeatable: true,
        excluded: Vec::new(),
    }
}

fn main() {
    let mut scheduler = PlacementScheduler::default();
    let info = |key| TargetInfo {
        key: TargetKey(key),
        service: "engines".into(),
        domain: "a".into(),
        version: VersionKey(1),
        slots: SLOTS,
        memory_tokens: 0,
        cold_ms: 0,
    };
    let infos: Vec<_> = (0..TARGETS).map(info).collect();
    let at = ClockTime::from_ms;
    scheduler.set_targets("engines", &infos, at(0));
    for key in 0..TARGETS * u64::from(SLOTS) + WAITING {
        scheduler.submit(request(key), at(0));
    }
    assert_eq!(scheduler.waiting_count() as u64, WAITING);
    let load = TargetLoad { running: SLOTS, waiting: 0, slots: SLOTS, work_percent: None };
    for target in 0..TARGETS {
        let report = LoadReport::new(load, 0).expect("a new report");
        scheduler.observe_load(TargetKey(target), report, at(1_000));
    }
    let silent: BTreeSet<_> = (0..SILENT_NODES).map(ProcessKey).collect();
    let mut ticks_us: Vec<_> = (0..TICKS)
        .map(|_| {
            let begun = Instant::now();
            let holders = scheduler.slot_holders();
            let left = scheduler.left_processes();
            assert_eq!(scheduler.remove_ended(&silent, at(1_500)), 0);
            assert!(holders.len() as u64 == NODES && !left.is_empty());
            begun.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    ticks_us.sort_by(f64::total_cmp);
    let median_us = ticks_us[TICKS / 2];
    let percent = median_us / (TICK_MS as f64 * 1e3) * 100.0;
    println!("tick_us={median_us:.0} core_percent={percent:.2}");
}
