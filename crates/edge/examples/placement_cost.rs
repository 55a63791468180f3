//! Prints the time of one placement: a submission, its grant and the end of a request, at
//! 60 targets with 7 slots and 500 waiting requests. The bound is 40 µs (docs/demands.md).

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{
    AttemptOutcome, PlacementFeatures, PlacementKey, PlacementOutput, PlacementRequest,
    PlacementScheduler, ProcessKey, SpeedModel, TargetInfo, TargetKey, VersionKey,
};
use std::collections::VecDeque;
use std::time::Instant;

const TARGETS: u64 = 60;
const SLOTS: u32 = 7;
const WAITING: usize = 500;
/// Placements of a batch. It fits between two preemptions beside other load.
const BATCH_ROUNDS: u32 = 100;
const BATCHES: usize = 200;
const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
const STEP_MS: u64 = 2;

fn request(key: u64) -> PlacementRequest {
    PlacementRequest {
        key: PlacementKey(key),
        process: ProcessKey(key % 40),
        service: "engines".into(),
        domain: DOMAINS[key as usize % 4].into(),
        version: None,
        rank: (key % 3) as u32,
        workspace: Some((key % 16) as u32),
        share: 1.0,
        stream: None,
        identity: key,
        prompt_tokens: 500 + (key * 37 % 2_000) as u32,
        output_tokens: 20 + (key * 13 % 200) as u32,
        max_output_tokens: 1_000,
        repeatable: true,
        objective_left_ms: 60_000_000,
        deadline_left_ms: 60_000_000,
        answer_left_ms: 60_000_000,
        pause_ms: Some(300),
        excluded: Vec::new(),
    }
}

/// Returns the mean time of a placement in the median batch, in µs.
fn measure(features: PlacementFeatures) -> f64 {
    let mut scheduler = PlacementScheduler::default();
    scheduler.set_features(features);
    let info = |key: u64| TargetInfo {
        key: TargetKey(key),
        service: "engines".into(),
        domain: DOMAINS[key as usize % 4].into(),
        version: VersionKey(1),
        slots: SLOTS,
        memory_tokens: 0,
        cold_ms: 0,
    };
    let infos: Vec<_> = (0..TARGETS).map(info).collect();
    let speed = SpeedModel { fixed_ms: 10.0, read_ms: 0.024, token_ms: 4.0 };
    let speeds: Vec<_> = infos.iter().map(|info| (info.key, speed)).collect();
    scheduler.restore_speeds(&speeds);
    scheduler.set_targets("engines", &infos, ClockTime::from_ms(0));
    let (mut key, mut now_ms) = (0, 1_000);
    let mut running = VecDeque::new();
    let collect = |scheduler: &mut PlacementScheduler, running: &mut VecDeque<_>, now| {
        for output in scheduler.take_outputs() {
            if let PlacementOutput::Grant { key, target, .. } = output {
                scheduler.started(target, key, now);
                running.push_back((key, target));
            }
        }
    };
    while scheduler.waiting_count() < WAITING {
        key += 1;
        let now = ClockTime::from_ms(now_ms);
        scheduler.submit(request(key), now);
        collect(&mut scheduler, &mut running, now);
    }
    let mut batches_us = Vec::new();
    for _ in 0..BATCHES {
        let begun = Instant::now();
        for _ in 0..BATCH_ROUNDS {
            (key, now_ms) = (key + 1, now_ms + STEP_MS);
            let now = ClockTime::from_ms(now_ms);
            scheduler.submit(request(key), now);
            collect(&mut scheduler, &mut running, now);
            let Some((ended, target)) = running.pop_front() else { break };
            scheduler.finished(target, ended, AttemptOutcome::Answered, now);
            collect(&mut scheduler, &mut running, now);
        }
        batches_us.push(begun.elapsed().as_secs_f64() * 1e6 / f64::from(BATCH_ROUNDS));
    }
    batches_us.sort_by(f64::total_cmp);
    assert!(scheduler.waiting_count() >= WAITING - 1, "{} wait", scheduler.waiting_count());
    batches_us[BATCHES / 2]
}

fn main() {
    let none = PlacementFeatures::default();
    let affinity = PlacementFeatures { domain_affinity: true, ..none };
    for _ in 0..3 {
        println!("none_us={:.1} domain_affinity_us={:.1}", measure(none), measure(affinity));
    }
}
