//! Compares the routing policies, and the scheduler with each of its mechanisms disabled, in a
//! simulation.
//!
//! The engines are simple fakes at the scheduler's interface. The results compare policies with
//! each other; they do not predict the performance of a deployment.
//!
//! `cargo run --release -p burdockcleat-core --example policy_experiment -- [SEEDS] [FIRST_SEED]`

mod engine;
mod simulation;
mod waste_bounds;
mod waste_causes;
mod workload;

use burdockcleat_core::pool::{PoolSettings, RoutingPolicy};
use simulation::{RunMetrics, Simulation};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use waste_bounds::WasteBounds;
use workload::{ARRIVALS_MS, Deployment};

/// Request rates as shares of the capacity.
const LOAD_FACTORS: [f64; 3] = [0.5, 1.0, 1.5];
/// Number of threads, limited as the machine is shared.
const WORKER_THREADS: usize = 4;

/// Variants for which the causes of wasted prefill are printed.
const CAUSE_VARIANTS: [&str; 4] =
    ["estimated completion", "least reported", "- computing wait", "- overtaking"];

/// A variant's name and its changes to the default settings.
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

/// Selects the target by the policy alone, and the requests in the order of the queue.
fn baseline(settings: &mut PoolSettings, routing: RoutingPolicy) {
    settings.routing = routing;
    settings.switches.computing_wait = false;
    settings.switches.overtaking = false;
}

/// Returns the requests per second that the engines complete with a queue that is never empty,
/// least-in-flight routing and no faults.
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
        // After the end of the run, so that no work is lost to deadlines.
        request.deadline_ms = ARRIVALS_MS as u32 * 10;
        request.tier = 0;
    }
    let metrics = Simulation::new(deployment, settings, plan).run(false);
    f64::from(metrics.tiers[0].1) * 1_000.0 / (ARRIVALS_MS * 2) as f64
}

fn run_variant(deployment: Deployment, variant: Variant, rate: f64, seed: u64) -> RunMetrics {
    let mut settings = deployment.settings();
    variant.1(&mut settings);
    Simulation::new(deployment, settings, deployment.requests(rate, seed)).run(true)
}

/// Runs all variants with all seeds on [`WORKER_THREADS`] threads. Returns the results by variant
/// and seed.
fn run_all_variants(deployment: Deployment, rate: f64, seeds: &[u64]) -> Vec<Vec<RunMetrics>> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![vec![RunMetrics::default(); seeds.len()]; VARIANTS.len()]);
    std::thread::scope(|scope| {
        for _ in 0..WORKER_THREADS {
            scope.spawn(|| {
                loop {
                    let job = next.fetch_add(1, Ordering::Relaxed);
                    let (variant, seed) = (job / seeds.len(), job % seeds.len());
                    if variant >= VARIANTS.len() {
                        return;
                    }
                    let metrics = run_variant(deployment, VARIANTS[variant], rate, seeds[seed]);
                    if let Ok(mut results) = results.lock() {
                        results[variant][seed] = metrics;
                    }
                }
            });
        }
    });
    results.into_inner().unwrap_or_default()
}

/// Formats the median and the range of a metric, in percent.
fn median_and_range(runs: &[RunMetrics], metric: impl Fn(&RunMetrics) -> f64) -> String {
    let mut values: Vec<f64> = runs.iter().map(|run| metric(run) * 100.0).collect();
    values.sort_by(f64::total_cmp);
    let Some((low, high)) = values.first().zip(values.last()) else { return String::new() };
    format!("{:5.1} ({:5.1}-{:5.1})", values[values.len() / 2], low, high)
}

/// Prints the share of each cause of waste in the computed tokens of all seeds, in percent.
fn print_causes(name: &str, runs: &[RunMetrics]) {
    let computed: f64 = runs.iter().map(|run| run.computed).sum();
    print!("causes, {name:<22}");
    for cause in 0..runs[0].causes.rows().len() {
        let tokens: f64 = runs.iter().map(|run| run.causes.rows()[cause].1).sum();
        print!("  {} {:.1}", runs[0].causes.rows()[cause].0, tokens / computed.max(1.0) * 100.0);
    }
    println!();
}

/// Prints the lower bounds of waste for all seeds, in percent of the sum of the useful tokens and
/// the bound.
fn print_bounds(deployment: Deployment, rate: f64, seeds: &[u64]) {
    let engines = deployment.engines();
    let mut total = WasteBounds::default();
    for seed in seeds {
        let bounds = WasteBounds::compute(&deployment.requests(rate, *seed), &engines);
        total.shared_cache += bounds.shared_cache;
        total.prefix_copies += bounds.prefix_copies;
        total.useful += bounds.useful;
    }
    let share = |wasted: f64| wasted / (total.useful + wasted).max(1.0) * 100.0;
    println!(
        "bounds: one joint cache {:.1}, copies for peaks of single prefixes {:.1}",
        share(total.shared_cache),
        share(total.prefix_copies)
    );
}

fn main() {
    let mut arguments = std::env::args().skip(1).filter_map(|text| text.parse().ok());
    let (count, first): (u64, u64) = (arguments.next().unwrap_or(5), arguments.next().unwrap_or(1));
    let seeds: Vec<u64> = (first..first + count).collect();
    println!("seeds {seeds:?}; medians (range) in percent");
    for deployment in [Deployment::Bureau, Deployment::Kerlouan] {
        let capacity = capacity(deployment);
        for load in LOAD_FACTORS {
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
            let results = run_all_variants(deployment, capacity * load, &seeds);
            for ((name, _), runs) in VARIANTS.iter().zip(&results) {
                println!(
                    "{:<22} {:>19} {:>19} {:>19} {:>19} {:>19} {:>8} {:>8}",
                    name,
                    median_and_range(runs, |run| run.goodput(0)),
                    median_and_range(runs, |run| run.goodput(1)),
                    median_and_range(runs, |run| run.goodput(2)),
                    median_and_range(runs, RunMetrics::worst_light_workspace),
                    median_and_range(runs, RunMetrics::wasted_share),
                    runs.iter().map(|run| run.cancels).sum::<u32>(),
                    runs.iter().map(|run| run.tier_violations).sum::<u32>(),
                );
            }
            print_bounds(deployment, capacity * load, &seeds);
            for ((name, _), runs) in VARIANTS.iter().zip(&results) {
                if CAUSE_VARIANTS.contains(name) {
                    print_causes(name, runs);
                }
            }
        }
    }
}
