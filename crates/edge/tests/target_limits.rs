//! Limits of the request rate that targets name: what nodes know of them, and how the placement keeps
//! them.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{
    ActiveRequest, AttemptOutcome, PlacementKey, PlacementOutput, PlacementRequest,
    PlacementScheduler, ProcessKey, TargetInfo, TargetKey, VersionKey,
};
use burdockcleat_edge::target_limits::{LimitTable, RequestRate};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const LIMITED: TargetKey = TargetKey(1);
const FREE: TargetKey = TargetKey(2);
/// Window in which the requests to a target are counted, in ms.
const WINDOW_MS: u64 = 4_000;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::parse(&per_s.to_string()).expect("a rate")
}

/// Guards against a limit that cannot be read but changes what is known.
#[test]
fn only_finite_numbers_are_limits() {
    for text in ["", "-1", "inf", "NaN", "1e999", "two", "1,5"] {
        assert_eq!(RequestRate::parse(text), None, "{text}");
    }
    assert_eq!(RequestRate::parse(" 8.7 ").map(|rate| rate.to_string()), Some("8.700".into()));
    assert_eq!(RequestRate::parse("0").map(RequestRate::per_ms), Some(0.0));
    assert!(RequestRate::parse("1e12").is_some());
}

/// Guards against lifting a limit by an answer to a request from before the limit, and against
/// keeping it when the target no longer names it.
#[test]
fn only_a_later_request_lifts_a_limit() {
    let mut table = LimitTable::default();
    assert!(table.observe(LIMITED, None, at(0), at(10)).is_none());
    assert!(table.observe(LIMITED, Some(rate(2.0)), at(20), at(100)).is_some());
    assert!(table.observe(LIMITED, Some(rate(2.0)), at(30), at(110)).is_none());
    assert!(table.observe(LIMITED, None, at(90), at(120)).is_none());
    assert_eq!(table.rates().get(&LIMITED), Some(&rate(2.0)));
    assert!(table.observe(LIMITED, None, at(101), at(130)).is_some());
    assert!(table.rates().is_empty());
}

/// Guards against nodes that know different limits after the same reports in another order.
#[test]
fn reports_merge_in_any_order() {
    let mut reports = Vec::new();
    let mut observer = LimitTable::default();
    for (step, limit) in [Some(3.0), None, Some(5.0), Some(0.5)].into_iter().enumerate() {
        let now = at(step as u64 * 10 + 1);
        reports.extend(observer.observe(LIMITED, limit.map(rate), now, now));
    }
    // Another node saw the target at the same time and read a higher limit.
    let mut other = LimitTable::default();
    for limit in [Some(7.0), None, Some(9.0), Some(4.0)] {
        reports.extend(other.observe(LIMITED, limit.map(rate), at(50), at(49)));
    }
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..50 {
        reports.shuffle(&mut random);
        let mut table = LimitTable::default();
        for report in &reports {
            table.merge(&[*report], at(60));
        }
        table.merge(&reports, at(60));
        assert_eq!(table.rates().get(&LIMITED), Some(&rate(0.5)));
        assert_eq!(table.digest(), {
            let mut sorted = LimitTable::default();
            sorted.merge(&reports, at(60));
            sorted.digest()
        });
    }
}

fn request(key: u64, process: u64) -> PlacementRequest {
    PlacementRequest {
        key: PlacementKey(key),
        process: ProcessKey(process),
        service: "s".into(),
        domain: "a".into(),
        version: None,
        rank: 0,
        prompt_tokens: 100,
        output_tokens: 10,
        workspace: None,
        share: 1.0,
        stream: None,
        identity: 0,
        max_output_tokens: 10_000,
        objective_left_ms: 500,
        deadline_left_ms: 3_000,
        answer_left_ms: 3_000,
        pause_ms: None,
        repeatable: true,
        excluded: Vec::new(),
    }
}

fn scheduler(targets: &[TargetKey]) -> PlacementScheduler {
    let mut scheduler = PlacementScheduler::default();
    scheduler.set_targets("s", &infos(targets), at(0));
    scheduler
}

fn infos(targets: &[TargetKey]) -> Vec<TargetInfo> {
    let info = |key: &TargetKey| TargetInfo {
        key: *key,
        service: "s".into(),
        domain: "a".into(),
        version: VersionKey(0),
        slots: 8,
        memory_tokens: 0,
        cold_ms: 0,
    };
    targets.iter().map(info).collect()
}

fn limits(per_s: f64) -> BTreeMap<TargetKey, RequestRate> {
    BTreeMap::from([(LIMITED, rate(per_s))])
}

/// Returns how many of the next requests, one each 10 ms, go to the limited target.
fn place(scheduler: &mut PlacementScheduler, from_ms: u64, count: u64) -> usize {
    let mut placed = 0;
    for step in 0..count {
        let now = at(from_ms + step * 10);
        scheduler.submit(request(from_ms * 1_000 + step, 1), now);
        scheduler.advance(now);
        for output in scheduler.take_outputs() {
            if let PlacementOutput::Grant { key, target, .. } = output {
                placed += usize::from(target == LIMITED);
                scheduler.finished(target, key, AttemptOutcome::Answered, now);
            }
        }
    }
    placed
}

/// Guards against requests beyond the limit after a time without any, and against a limit that a
/// target loses when it is unusable for a while.
#[test]
fn an_unused_limit_does_not_accumulate() {
    let mut scheduler = scheduler(&[LIMITED]);
    scheduler.set_limits(limits(2.0), 1.0, at(0));
    assert_eq!(place(&mut scheduler, 0, 10), 0, "what it got before is not known");
    assert_eq!(place(&mut scheduler, 60_000, 10), 1);
    scheduler.set_targets("s", &[], at(61_000));
    scheduler.set_targets("s", &infos(&[LIMITED]), at(62_000));
    assert_eq!(place(&mut scheduler, 62_000, 10), 0);
    scheduler.set_limits(BTreeMap::new(), 1.0, at(63_000));
    assert!(place(&mut scheduler, 63_000, 10) >= 9);
}

/// Guards against not counting requests that other nodes placed by themselves, whether a report
/// lists them or they are known only from their end.
#[test]
fn requests_of_other_schedulers_count() {
    for reported in [true, false] {
        let mut scheduler = scheduler(&[LIMITED]);
        scheduler.set_limits(limits(2.0), 1.0, at(0));
        for key in 0..5 {
            let key = PlacementKey(1_000 + key);
            if reported {
                let active = ActiveRequest {
                    key,
                    target: LIMITED,
                    prompt_tokens: 10,
                    started: false,
                    most_tokens: 0,
                    written_tokens: 0,
                };
                scheduler.reconcile(ProcessKey(2), &[active], at(10));
            }
            scheduler.finished(LIMITED, key, AttemptOutcome::Answered, at(20));
        }
        assert_eq!(place(&mut scheduler, 2_600, 10), 0, "five requests take 2.5 s");
        assert_eq!(place(&mut scheduler, 3_100, 10), 1);
    }
}

/// Guards against a free target that is not used, or a request that waits for a limited one.
#[test]
fn a_free_target_serves_what_the_limited_one_may_not() {
    let mut scheduler = scheduler(&[LIMITED, FREE]);
    scheduler.set_limits(limits(0.0), 1.0, at(0));
    for step in 0..200 {
        scheduler.submit(request(step, 1), at(step * 10));
        let outputs = scheduler.take_outputs();
        let Some(PlacementOutput::Grant { key, target, .. }) = outputs.first() else {
            panic!("request {step} waits: {outputs:?}");
        };
        assert_eq!(*target, FREE);
        scheduler.finished(*target, *key, AttemptOutcome::Answered, at(step * 10 + 5));
    }
}

/// Nodes that change the placement coordinator at random, under more load than a target may get.
fn busiest_window(seed: u64, per_s: f64, nodes: usize) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut schedulers: Vec<_> = (0..nodes).map(|_| scheduler(&[LIMITED, FREE])).collect();
    let mut coordinator = 0;
    let mut running: Vec<(u64, TargetKey, PlacementKey, usize)> = Vec::new();
    let mut sent = Vec::new();
    let mut key = 0;
    for now_ms in (0..30_000_u64).step_by(5) {
        let now = at(now_ms);
        if random.random_bool(0.003) {
            coordinator = random.random_range(0..nodes);
        }
        for (node, scheduler) in schedulers.iter_mut().enumerate() {
            let share = if node == coordinator { 1.0 } else { 0.0 };
            scheduler.set_limits(limits(per_s), share, now);
            scheduler.advance(now);
        }
        if random.random_bool(0.5) {
            key += 1;
            let node = random.random_range(0..nodes);
            // A node that does not reach the coordinator places by itself.
            let placed_by = if random.random_bool(0.05) { node } else { coordinator };
            schedulers[placed_by].submit(request(key, node as u64), now);
        }
        for scheduler in &mut schedulers {
            for output in scheduler.take_outputs() {
                if let PlacementOutput::Grant { key, target, process, .. } = output {
                    let end_ms = now_ms + random.random_range(10..300);
                    running.push((end_ms, target, key, process.0 as usize));
                    if target == LIMITED {
                        sent.push(now_ms);
                    }
                }
            }
        }
        let ended: Vec<_> = running.extract_if(.., |(end_ms, ..)| *end_ms <= now_ms).collect();
        for (_, target, key, node) in ended {
            for told in [node, coordinator] {
                schedulers[told].finished(target, key, AttemptOutcome::Answered, now);
            }
        }
        if now_ms.is_multiple_of(200) {
            for node in 0..nodes {
                let own = running.iter().filter(|(.., holder)| *holder == node);
                let active: Vec<_> = own
                    .map(|(_, target, key, _)| ActiveRequest {
                        key: *key,
                        target: *target,
                        prompt_tokens: 100,
                        started: false,
                        most_tokens: 0,
                        written_tokens: 0,
                    })
                    .collect();
                for scheduler in &mut schedulers {
                    scheduler.reconcile(ProcessKey(node as u64), &active, now);
                }
            }
        }
    }
    let windows = sent
        .iter()
        .map(|start| sent.iter().filter(|at| **at >= *start && **at < *start + WINDOW_MS).count());
    (windows.max().unwrap_or(0), sent.len())
}

/// Guards against exceeding a limit while coordinators change and some nodes place by themselves, and
/// against using little of it.
#[test]
fn the_limit_holds_while_coordinators_change() {
    for (per_s, nodes) in [(0.3, 4), (1.3, 12), (8.7, 12), (20.0, 20)] {
        for seed in 0..2 {
            let (busiest, total) = busiest_window(seed, per_s, nodes);
            let allowed = (1.5 * per_s * WINDOW_MS as f64 / 1_000.0) as usize + 5;
            assert!(busiest <= allowed, "{per_s} a second, seed {seed}: {busiest} of {allowed}");
            let half = (per_s * 30.0 / 2.0) as usize;
            assert!(total >= half, "{per_s} a second, seed {seed}: {total} in all");
        }
    }
}
