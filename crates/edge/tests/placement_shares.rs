//! Shares of workspaces in the slots of a service, with one workspace that sends many times its
//! usual load and with coordinators that replace each other.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{
    ActiveRequest, AttemptOutcome, PlacementFeatures, PlacementKey, PlacementOutput,
    PlacementRequest, PlacementScheduler, ProcessKey, TargetInfo, TargetKey, VersionKey,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const PROCESS: ProcessKey = ProcessKey(1);
const WORK_MS: u64 = 200;
const SLOTS: u64 = 16;
/// Workspace that sends more than its share.
const LARGE: u32 = 0;
const WORKSPACES: u32 = 16;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn scheduler(workspace_shares: bool) -> PlacementScheduler {
    let mut scheduler = PlacementScheduler::default();
    scheduler.set_features(PlacementFeatures { workspace_shares, ..PlacementFeatures::default() });
    let info = |target| TargetInfo {
        key: TargetKey(target),
        service: "engines".into(),
        domain: "a".into(),
        version: VersionKey(0),
        slots: 4,
        memory_tokens: 0,
        cold_ms: 0,
    };
    let infos: Vec<_> = (0..SLOTS / 4).map(info).collect();
    scheduler.set_targets("engines", &infos, at(0));
    scheduler
}

fn request(key: u64, workspace: u32, rank: u32) -> PlacementRequest {
    PlacementRequest {
        key: PlacementKey(key),
        process: PROCESS,
        service: "engines".into(),
        domain: "a".into(),
        version: None,
        rank,
        workspace: Some(workspace),
        share: 1.0,
        identity: key,
        prompt_tokens: 1_000,
        output_tokens: 20,
        max_output_tokens: 10_000,
        objective_left_ms: 600,
        deadline_left_ms: 3_000,
        answer_left_ms: 10_000,
        pause_ms: None,
        excluded: Vec::new(),
    }
}

/// Grants and refusals by workspace.
#[derive(Debug, Default)]
struct ShareResult {
    granted: Vec<u32>,
    refused: Vec<u32>,
    /// Refusals in the highest tier of a workspace that sent no more than its share for 3 s.
    unfair: u32,
    /// Grants of a lower tier while a request of a higher tier waited.
    inversions: u32,
}

/// A scheduler, and another one in its place at each time in `handovers`, which gets what the nodes
/// hold: running requests without their workspaces, and the waiting requests again.
fn simulate(shares: bool, arrivals: &[(u64, PlacementRequest)], handovers: &[u64]) -> ShareResult {
    let mut current = scheduler(shares);
    let counts = || vec![0; WORKSPACES as usize];
    let mut result = ShareResult { granted: counts(), refused: counts(), ..ShareResult::default() };
    let mut running: Vec<(u64, TargetKey, PlacementKey)> = Vec::new();
    let mut waiting: Vec<&(u64, PlacementRequest)> = Vec::new();
    let mut next = 0;
    let end_ms = arrivals.last().expect("an arrival").0 + 4_000;
    for now in 0..end_ms {
        let replaced = handovers.contains(&now);
        let active: Vec<_> = running
            .iter()
            .map(|(_, target, key)| ActiveRequest {
                key: *key,
                target: *target,
                prompt_tokens: 1_000,
                started: true,
                most_tokens: 0,
                written_tokens: 0,
            })
            .collect();
        if replaced {
            let speeds = current.speeds();
            current = scheduler(shares);
            current.restore_speeds(&speeds);
        }
        if replaced || now % 50 == 0 {
            current.reconcile(PROCESS, &active, at(now));
            current.advance(at(now));
        }
        if replaced {
            waiting.iter().for_each(|(ms, held)| current.submit(held.aged(now - ms), at(now)));
        }
        while let Some(arrival) = arrivals.get(next).filter(|(ms, _)| *ms == now) {
            waiting.push(arrival);
            current.submit(arrival.1.clone(), at(now));
            next += 1;
        }
        let ended: Vec<_> = running.extract_if(.., |run| run.0 <= now).collect();
        for (_, target, key) in ended {
            current.started(target, key, at(now));
            current.finished(target, key, AttemptOutcome::Answered, at(now));
        }
        for output in current.take_outputs() {
            let (key, target) = match output {
                PlacementOutput::Grant { key, target, .. } => (key, Some(target)),
                PlacementOutput::Refuse { key, .. } => (key, None),
            };
            let index = waiting.iter().position(|(_, held)| held.key == key).expect("waiting");
            let decided = &waiting.remove(index).1;
            let counts = if target.is_some() { &mut result.granted } else { &mut result.refused };
            counts[decided.workspace.expect("a workspace") as usize] += 1;
            if target.is_none() && decided.rank == 0 {
                let recent = arrivals.iter().filter(|(ms, other)| {
                    (now.saturating_sub(3_000)..=now).contains(ms)
                        && other.workspace == decided.workspace
                });
                let fair = 3 * SLOTS * 1_000 / WORK_MS / u64::from(WORKSPACES);
                result.unfair += u32::from(recent.count() as u64 <= fair);
            }
            if let Some(target) = target {
                running.push((now + WORK_MS, target, key));
                // A late request of the higher tier may come after one that is on time. Speeds are
                // learned in the first second, and a new coordinator hears of requests one by one.
                let higher = |(ms, held): &(u64, PlacementRequest)| {
                    held.rank < decided.rank && (1..300).contains(&(now - ms))
                };
                let inverted = now > 1_000 && !replaced && waiting.iter().any(|held| higher(held));
                result.inversions += u32::from(inverted);
            }
        }
    }
    result
}

/// Returns arrivals for `end_ms` in which each workspace sends `usual` requests a second, and the
/// large one `factor` times as many from 3 s on.
fn arrivals(
    seed: u64,
    usual: f64,
    factor: f64,
    ranks: u32,
    end_ms: u64,
) -> Vec<(u64, PlacementRequest)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for ms in 0..end_ms {
        for workspace in 0..WORKSPACES {
            let excess = if workspace == LARGE && ms >= 3_000 { factor } else { 1.0 };
            if random.random_bool(usual * excess / 1_000.0) {
                let rank = random.random_range(0..ranks);
                arrivals.push((ms, request(arrivals.len() as u64, workspace, rank)));
            }
        }
    }
    arrivals
}

fn small(counts: &[u32]) -> u32 {
    counts.iter().sum::<u32>() - counts[LARGE as usize]
}

/// Guards against small workspaces that are refused for the load of a large one, and against
/// capacity that is left unused for it.
#[test]
fn a_large_workspace_gets_what_the_others_leave() {
    for seed in 0..4 {
        // Sixteen slots serve 80 requests a second: 60 arrive from the small workspaces, 32 from
        // the large one.
        let arrivals = arrivals(seed, 4.0, 8.0, 1, 11_000);
        let (with, without) = (simulate(true, &arrivals, &[]), simulate(false, &arrivals, &[]));
        assert_eq!(small(&with.refused), 0, "seed {seed}: {with:?}");
        assert!(small(&without.refused) > 20, "seed {seed}: {without:?}");
        let granted = |result: &ShareResult| result.granted.iter().sum::<u32>();
        assert!(granted(&with) >= granted(&without), "seed {seed}: {with:?} {without:?}");
        // Its share alone would be 5 requests a second.
        assert!(with.granted[LARGE as usize] > 12 + 8 * 10, "seed {seed}: {with:?}");
    }
}

/// Guards against shares that depend on who coordinates, and against a workspace below its share
/// that displaces a higher tier. Searches random loads and handovers; without shares it finds
/// refusals of small workspaces.
#[test]
fn shares_hold_over_coordinators_that_replace_each_other() {
    let mut refused = [0, 0];
    let mut unfair = [0, 0];
    for seed in 100..112 {
        let mut random = StdRng::seed_from_u64(seed);
        let (usual, factor) = (random.random_range(3.0..4.2), random.random_range(6.0..12.0));
        let ranks = random.random_range(1..=3);
        let arrivals = arrivals(seed, usual, factor, ranks, 10_000);
        let handovers = [random.random_range(2_000..6_000), random.random_range(6_000..10_000)];
        for shares in [false, true] {
            let result = simulate(shares, &arrivals, &handovers);
            let kind = format!("seed {seed} usual {usual:.2} factor {factor:.1} ranks {ranks}");
            assert_eq!(result.inversions, 0, "{kind} shares {shares}");
            refused[usize::from(shares)] += small(&result.refused);
            unfair[usize::from(shares)] += result.unfair;
            assert!(!shares || result.unfair == 0, "{kind}: {result:?}");
        }
    }
    assert!(unfair[0] > 50, "the search finds nothing without shares: {unfair:?}");
    assert!(refused[1] * 3 < refused[0], "{refused:?}");
}
