//! Compares the routing policies and the scheduler with single mechanisms switched off.
//!
//! The engines are small fakes at the scheduler's interface, so the figures compare policies with
//! each other and predict no deployment.
//!
//! `cargo run --release -p burdockcleat-core --example policy_experiment -- [SEEDS] [FIRST_SEED]`

mod bound;
mod engine;
mod waste;
mod workload;
mod world;

use bound::WasteBounds;
use burdockcleat_core::pool::{PoolSettings, RoutingPolicy};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use workload::{ARRIVALS_MS, Deployment};
use world::{ExperimentWorld, RunFigures};

const LOADS: [f64; 3] = [0.5, 1.0, 1.5];
/// Threads of a run of the experiment; the machine is shared.
const THREADS: usize = 4;

/// Variants for which the causes of wasted prefill are printed.
const CAUSES_OF: [&str; 4] =
    ["estimated completion", "least reported", "- computing wait", "- overtaking"];

type Variant = (&'static str, fn(&mut PoolSettings));

const VARIANTS: [Variant; 18] = [
    ("estimated completion", |_| {}),
    ("random", |s| baseline(s, RoutingPolicy::Random { seed: 7 })),
    ("round robin", |s| baseline(s, RoutingPolicy::RoundRobin)),
    ("least reported", |s| baseline(s, RoutingPolicy::LeastReported)),
    ("least in flight", |s| baseline(s, RoutingPolicy::LeastInFlight)),
    ("- prefix term", |s| s.switches.prefix_term = false),
    ("- prefill weight", |s| s.prefill_weight = 1.0),
    ("- cache wait", |s| s.cache_wait_share = 0.0),
    ("- slack wait", |s| s.slack_wait_share = 0.0),
    ("- computing wait", |s| s.switches.computing_wait = false),
    ("- overtaking", |s| s.switches.overtaking = false),
    ("- preemption", |s| s.switches.preemption = false),
    ("- fair share", |s| s.switches.fair_share = false),
    ("- deadline order", |s| s.switches.deadline_order = false),
    ("- straggler avoidance", |s| s.switches.straggler_avoidance = false),
    ("- failure limit", |s| s.failure_limit = u32::MAX),
    ("- tiered shedding", |s| s.switches.tiered_shedding = false),
    ("plain", |s| {
        baseline(s, RoutingPolicy::LeastReported);
        s.switches.preemption = false;
        s.switches.fair_share = false;
        s.switches.deadline_order = false;
        s.switches.straggler_avoidance = false;
        s.switches.tiered_shedding = false;
    }),
];

/// Chooses the target by the policy alone and the request by the order of the queue.
fn baseline(settings: &mut PoolSettings, routing: RoutingPolicy) {
    settings.routing = routing;
    settings.switches.computing_wait = false;
    settings.switches.overtaking = false;
}

/// Requests per second that the engines complete when the queue is never empty, routed by own
/// in-flight count and without faults.
fn capacity(deployment: Deployment) -> f64 {
    let mut settings = deployment.settings();
    baseline(&mut settings, RoutingPolicy::LeastInFlight);
    settings.switches.preemption = false;
    settings.queue_limit = 1_000_000;
    for tier in &mut settings.tiers {
        tier.max_queue_ms = 1_000_000;
    }
    let mut plan = deployment.requests(400.0, 99);
    for request in &mut plan {
        // Beyond the end of the run, so that no work is lost to deadlines.
        request.deadline_ms = ARRIVALS_MS as u32 * 10;
        request.tier = 0;
    }
    let figures = ExperimentWorld::new(deployment, settings, plan).run(false);
    f64::from(figures.tiers[0].1) * 1_000.0 / (ARRIVALS_MS * 2) as f64
}

fn single_run(deployment: Deployment, variant: Variant, rate: f64, seed: u64) -> RunFigures {
    let mut settings = deployment.settings();
    variant.1(&mut settings);
    ExperimentWorld::new(deployment, settings, deployment.requests(rate, seed)).run(true)
}

/// Runs all seeds of all variants on a few threads.
fn all_runs(deployment: Deployment, rate: f64, seeds: &[u64]) -> Vec<Vec<RunFigures>> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![vec![RunFigures::default(); seeds.len()]; VARIANTS.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let job = next.fetch_add(1, Ordering::Relaxed);
                    let (variant, seed) = (job / seeds.len(), job % seeds.len());
                    if variant >= VARIANTS.len() {
                        return;
                    }
                    let figures = single_run(deployment, VARIANTS[variant], rate, seeds[seed]);
                    if let Ok(mut results) = results.lock() {
                        results[variant][seed] = figures;
                    }
                }
            });
        }
    });
    results.into_inner().unwrap_or_default()
}

/// Median and range in percent.
fn spread(runs: &[RunFigures], figure: impl Fn(&RunFigures) -> f64) -> String {
    let mut values: Vec<f64> = runs.iter().map(|run| figure(run) * 100.0).collect();
    values.sort_by(f64::total_cmp);
    let Some((low, high)) = values.first().zip(values.last()) else { return String::new() };
    format!("{:5.1} ({:5.1}-{:5.1})", values[values.len() / 2], low, high)
}

/// Shares of the causes in the computed tokens, summed over the seeds, in percent.
fn print_causes(name: &str, runs: &[RunFigures]) {
    let computed: f64 = runs.iter().map(|run| run.computed).sum();
    print!("causes, {name:<22}");
    for cause in 0..runs[0].causes.rows().len() {
        let tokens: f64 = runs.iter().map(|run| run.causes.rows()[cause].1).sum();
        print!("  {} {:.1}", runs[0].causes.rows()[cause].0, tokens / computed.max(1.0) * 100.0);
    }
    println!();
}

/// Lower bounds as shares of the useful tokens and the bound itself, summed over the seeds.
fn print_bounds(deployment: Deployment, rate: f64, seeds: &[u64]) {
    let engines = deployment.engines();
    let mut total = WasteBounds::default();
    for seed in seeds {
        let bounds = WasteBounds::of(&deployment.requests(rate, *seed), &engines);
        total.joint_cache += bounds.joint_cache;
        total.copies += bounds.copies;
        total.useful += bounds.useful;
    }
    let share = |wasted: f64| wasted / (total.useful + wasted).max(1.0) * 100.0;
    println!(
        "bounds: one joint cache {:.1}, copies for peaks of single prefixes {:.1}",
        share(total.joint_cache),
        share(total.copies)
    );
}

fn main() {
    let mut arguments = std::env::args().skip(1).filter_map(|text| text.parse().ok());
    let (count, first): (u64, u64) = (arguments.next().unwrap_or(5), arguments.next().unwrap_or(1));
    let seeds: Vec<u64> = (first..first + count).collect();
    println!("seeds {seeds:?}; medians (range) in percent");
    for deployment in [Deployment::Bureau, Deployment::Kerlouan] {
        let capacity = capacity(deployment);
        for load in LOADS {
            println!("\n{} at {load} of {capacity:.1} requests/s", deployment.name());
            println!(
                "{:<22} {:>19} {:>19} {:>19} {:>19} {:>19} {:>8} {:>8}",
                "variant",
                "tier 0",
                "tier 1",
                "tier 2",
                "light workspaces",
                "wasted prefill",
                "cancels",
                "tier rule"
            );
            let results = all_runs(deployment, capacity * load, &seeds);
            for ((name, _), runs) in VARIANTS.iter().zip(&results) {
                println!(
                    "{:<22} {:>19} {:>19} {:>19} {:>19} {:>19} {:>8} {:>8}",
                    name,
                    spread(runs, |run| run.goodput(0)),
                    spread(runs, |run| run.goodput(1)),
                    spread(runs, |run| run.goodput(2)),
                    spread(runs, RunFigures::light_workspaces),
                    spread(runs, RunFigures::waste),
                    runs.iter().map(|run| run.cancels).sum::<u32>(),
                    runs.iter().map(|run| run.violations).sum::<u32>(),
                );
            }
            print_bounds(deployment, capacity * load, &seeds);
            for ((name, _), runs) in VARIANTS.iter().zip(&results) {
                if CAUSES_OF.contains(name) {
                    print_causes(name, runs);
                }
            }
        }
    }
}
