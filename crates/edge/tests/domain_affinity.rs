//! Requests that stay in the failure domain of their caller.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{
    AttemptOutcome, PlacementFeatures, PlacementKey, PlacementOutput, PlacementRequest,
    PlacementScheduler, ProcessKey, SpeedModel, TargetInfo, TargetKey, VersionKey,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
const SPEEDS: [f64; 3] = [0.6, 1.7, 1.7];
const TARGETS: u64 = 60;
const STEP_MS: f64 = 6.35;
const TOKENS_PER_MS: f64 = 42.8;
const WAVE_MS: f64 = 8_000.0;
const RUN_MS: u64 = 16_000;
/// Requests per second, prompt tokens, output tokens and objective of each rank.
const KINDS: [(f64, u32, u32, i64); 3] =
    [(119.0, 2_890, 52, 600), (160.0, 1_800, 24, 1_000), (130.0, 543, 276, 1_200)];

fn info(key: u64, domain: &str) -> TargetInfo {
    TargetInfo {
        key: TargetKey(key),
        service: "engines".into(),
        domain: domain.into(),
        version: VersionKey(1),
        slots: 7,
        memory_tokens: 0,
        cold_ms: 0,
    }
}

fn speed(factor: f64) -> SpeedModel {
    let (read_ms, token_ms) = (1.0 / (TOKENS_PER_MS * factor), STEP_MS / factor);
    SpeedModel { fixed_ms: 10.0, read_ms, token_ms }
}

fn request(key: u64, domain: &str, rank: usize) -> PlacementRequest {
    let (_, prompt_tokens, output_tokens, objective_left_ms) = KINDS[rank];
    PlacementRequest {
        key: PlacementKey(key),
        process: ProcessKey(1),
        service: "engines".into(),
        domain: domain.into(),
        version: None,
        rank: rank as u32,
        workspace: None,
        share: 1.0,
        stream: None,
        identity: key,
        prompt_tokens,
        output_tokens,
        max_output_tokens: 10_000,
        repeatable: true,
        objective_left_ms,
        deadline_left_ms: 5_000,
        answer_left_ms: 15_000,
        pause_ms: Some(300),
        excluded: Vec::new(),
    }
}

fn scheduler(targets: &[(TargetInfo, SpeedModel)], domain_affinity: bool) -> PlacementScheduler {
    let mut scheduler = PlacementScheduler::default();
    scheduler.set_features(PlacementFeatures { domain_affinity, ..PlacementFeatures::default() });
    let speeds: Vec<_> = targets.iter().map(|(info, speed)| (info.key, *speed)).collect();
    scheduler.restore_speeds(&speeds);
    let infos: Vec<_> = targets.iter().map(|(info, _)| info.clone()).collect();
    scheduler.set_targets("engines", &infos, ClockTime::from_ms(0));
    scheduler
}

/// What the callers of all domains see.
#[derive(Debug, Default)]
struct Outcome {
    placed: usize,
    /// Sum of the times at targets, in ms.
    slot_ms: f64,
    crossed: usize,
    first_ms: Vec<f64>,
    /// Requests on time and all requests, by domain.
    served: BTreeMap<usize, (f64, f64)>,
}

impl Outcome {
    fn crossing_share(&self) -> f64 {
        self.crossed as f64 / self.placed as f64
    }

    fn quantile(&mut self, quantile: f64) -> f64 {
        self.first_ms.sort_by(f64::total_cmp);
        self.first_ms[(self.first_ms.len() as f64 * quantile) as usize]
    }

    /// Returns the share on time in the worst domain relative to the best one.
    fn worst_to_best(&self) -> f64 {
        let shares = self.served.values().map(|(on_time, all)| on_time / all);
        let (worst, best) = shares.fold((1.0_f64, 0.0_f64), |(w, b), s| (w.min(s), b.max(s)));
        worst / best
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    First(TargetKey, PlacementKey),
    End(TargetKey, PlacementKey),
}

/// Runs waves of `amplitude` around `load` times the rates of [`KINDS`] that are out of phase by domain.
fn run(seed: u64, domain_affinity: bool, load: f64, amplitude: f64) -> Outcome {
    let factor = |key: u64| SPEEDS[(key / 4 % 3) as usize];
    let target = |key: u64| (info(key, DOMAINS[key as usize % 4]), speed(factor(key)));
    let targets: Vec<_> = (0..TARGETS).map(target).collect();
    let mut scheduler = scheduler(&targets, domain_affinity);
    let mut random = StdRng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let mut requests: BTreeMap<PlacementKey, (u64, usize, usize)> = BTreeMap::new();
    let mut prefill_free = vec![0.0_f64; TARGETS as usize];
    let mut events = BinaryHeap::new();
    for now_ms in 0..RUN_MS {
        let now = ClockTime::from_ms(now_ms);
        while events.peek().is_some_and(|Reverse((at, _))| *at <= now_ms) {
            let Some(Reverse((_, event))) = events.pop() else { break };
            match event {
                Event::First(target, key) => scheduler.started(target, key, now),
                Event::End(target, key) => {
                    scheduler.finished(target, key, AttemptOutcome::Answered, now);
                }
            }
        }
        for (domain, name) in DOMAINS.iter().enumerate() {
            let phase = now_ms as f64 / WAVE_MS + domain as f64 / 4.0;
            let wave = load * (1.0 + amplitude * (phase * std::f64::consts::TAU).sin());
            for (rank, (per_s, ..)) in KINDS.iter().enumerate() {
                if random.random_bool(per_s * wave / 4.0 / 1_000.0) {
                    let key = requests.len() as u64;
                    requests.insert(PlacementKey(key), (now_ms, domain, rank));
                    outcome.served.entry(domain).or_default().1 += 1.0;
                    scheduler.submit(request(key, name, rank), now);
                }
            }
        }
        if now_ms % 25 == 0 {
            scheduler.advance(now);
        }
        for output in scheduler.take_outputs() {
            let PlacementOutput::Grant { key, target, .. } = output else { continue };
            let (arrived, domain, rank) = requests[&key];
            let (_, prompt_tokens, output_tokens, objective_ms) = KINDS[rank];
            let speed = speed(factor(target.0));
            let free = &mut prefill_free[target.0 as usize];
            *free = free.max(now_ms as f64) + speed.prefill_ms(f64::from(prompt_tokens));
            let first = *free + speed.fixed_ms;
            let end =
                first + speed.token_ms * f64::from(output_tokens) * random.random_range(0.5..1.5);
            events.push(Reverse((first as u64 + 1, Event::First(target, key))));
            events.push(Reverse((end as u64 + 1, Event::End(target, key))));
            let first_ms = first - arrived as f64;
            outcome.placed += 1;
            outcome.slot_ms += end - now_ms as f64;
            outcome.crossed += usize::from(target.0 as usize % 4 != domain);
            outcome.first_ms.push(first_ms);
            if first_ms <= objective_ms as f64 {
                outcome.served.entry(domain).or_default().0 += 1.0;
            }
        }
    }
    outcome
}

/// Guards against domains that are served unequally, and against more late first events, while
/// requests stay in their domain.
#[test]
fn waves_that_are_out_of_phase_cross_domains_only_at_their_peaks() {
    for (load, seed) in [(1.0, 1), (1.25, 2), (1.5, 3), (1.75, 4), (2.0, 5)] {
        let mut before = run(seed, false, load, 0.55);
        let mut affine = run(seed, true, load, 0.55);
        for (name, outcome) in [("without", &mut before), ("with", &mut affine)] {
            let [p50, p95, p99] = [0.5, 0.95, 0.99].map(|quantile| outcome.quantile(quantile));
            let used = outcome.slot_ms / (TARGETS * 7 * RUN_MS) as f64;
            let (crossing, equality) = (outcome.crossing_share(), outcome.worst_to_best());
            println!(
                "load={load} seed={seed} {name}: placed={} used={used:.2} crossing={crossing:.3} first_ms={p50:.0}/{p95:.0}/{p99:.0} worst_to_best={equality:.3}",
                outcome.placed
            );
        }
        // At twice the rates every slot is used, and no domain has room.
        let most_crossing = match load {
            ..1.6 => 0.5,
            ..2.0 => 0.9,
            _ => 1.1,
        };
        assert!(affine.crossing_share() < before.crossing_share() * most_crossing);
        assert!(affine.worst_to_best() >= 0.95);
        let on_time = |outcome: &Outcome| outcome.served.values().map(|s| s.0).sum::<f64>();
        assert!(on_time(&affine) >= on_time(&before) * 0.995);
    }
}

/// Guards against a queue of prompts at the targets of one domain while those of another are idle.
#[test]
fn a_prompt_behind_much_work_goes_to_an_idle_target_of_another_domain() {
    let targets = [(info(0, "a"), speed(0.6)), (info(1, "b"), speed(0.6))];
    let mut scheduler = scheduler(&targets, true);
    let now = ClockTime::from_ms(0);
    let mut granted = Vec::new();
    // Each prompt takes 113 ms of its target; the objective is 600 ms.
    for key in 0..3 {
        scheduler.submit(request(key, "a", 0), now);
        granted.extend(scheduler.take_outputs().into_iter().filter_map(|output| match output {
            PlacementOutput::Grant { target, .. } => Some(target.0),
            PlacementOutput::Refuse { .. } => None,
        }));
    }
    assert_eq!(granted, [0, 0, 1]);
}
