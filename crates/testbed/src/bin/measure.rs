//! Measures whole deployments and prints Markdown tables.
//!
//! - `measure overhead RATE SECONDS`
//! - `measure capacity PROFILE SEED...`
//! - `measure path PROFILE RATE SECONDS FAULTS SEED...`, where FAULTS is `calm` or `faults`
//! - `measure path PROFILE RATE,... SECONDS FAULTS VARIANT,... SEED...` compares variants of the
//!   scheduling; `all` stands for every variant.

use burdockcleat_testbed::load::LoadProfile;
use burdockcleat_testbed::measure::{
    PathPlan, PathReport, Variant, compare_row, measure_capacity, measure_overhead, measure_path,
    variants,
};
use eyre::{Result, bail, eyre};

fn main() -> Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["overhead", rate, seconds] => overhead(rate.parse()?, seconds.parse()?),
        ["capacity", profile, seeds @ ..] => capacity(read_profile(profile)?, &read_seeds(seeds)?),
        ["path", profile, rates, seconds, faults, rest @ ..] => {
            let plan = PathPlan {
                profile: read_profile(profile)?,
                rate: 0.0,
                seconds: seconds.parse()?,
                seed: 0,
                faults: *faults == "faults",
                scheduling: "",
            };
            let rates: Vec<f64> = rates.split(',').map(str::parse).collect::<Result<_, _>>()?;
            match rest {
                [names, seeds @ ..] if names.parse::<u64>().is_err() => {
                    compare(plan, &rates, &variants(names)?, &read_seeds(seeds)?)
                }
                seeds => single_runs(plan, &rates, &read_seeds(seeds)?),
            }
        }
        _ => bail!(
            "usage: measure overhead RATE SECONDS | measure capacity PROFILE SEED... | \
             measure path PROFILE RATE,... SECONDS calm|faults [VARIANT,...] SEED..."
        ),
    }
}

fn read_profile(name: &str) -> Result<LoadProfile> {
    name.parse().map_err(|error| eyre!("{error}"))
}

fn read_seeds(words: &[&str]) -> Result<Vec<u64>> {
    Ok(words.iter().map(|word| word.parse()).collect::<Result<_, _>>()?)
}

fn capacity(profile: LoadProfile, seeds: &[u64]) -> Result<()> {
    for seed in seeds {
        println!("seed {seed}: {:.1} requests/s", measure_capacity(profile, *seed)?);
    }
    Ok(())
}

fn single_runs(plan: PathPlan, rates: &[f64], seeds: &[u64]) -> Result<()> {
    println!(
        "| seed | tier | sent | in time | late | refused | cut | goodput/s | first token \
         p50/p95 ms | between tokens p95 ms | wasted prefill | most dispatches |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|"
    );
    for rate in rates {
        for seed in seeds {
            print_path(&measure_path(PathPlan { rate: *rate, seed: *seed, ..plan })?);
        }
    }
    Ok(())
}

/// Runs all variants of one seed after each other, so that a change of the machine's load meets
/// all of them.
fn compare(plan: PathPlan, rates: &[f64], variants: &[Variant], seeds: &[u64]) -> Result<()> {
    for rate in rates {
        let mut reports: Vec<Vec<PathReport>> = vec![Vec::new(); variants.len()];
        for seed in seeds {
            for (variant, reports) in variants.iter().zip(&mut reports) {
                let scheduling = variant.scheduling;
                let plan = PathPlan { rate: *rate, seed: *seed, scheduling, ..plan };
                let report = measure_path(plan)?;
                eprintln!("{} at {rate}, seed {seed}", variant.name);
                for trace in &report.ended {
                    let (id, tier) = (&trace.request.id, trace.request.tier);
                    eprintln!("  {id}, tier {tier}: {}", trace.cause());
                }
                reports.push(report);
            }
        }
        println!(
            "\n{rate} requests/s, seeds {seeds:?}; medians (range) in percent\n\n\
             | variant | tier 0 | tier 1 | tier 2 | wasted prefill | already ended | most \
             dispatches | unsent |\n|---|---|---|---|---|---|---|---|"
        );
        for (variant, reports) in variants.iter().zip(&reports) {
            println!("{}", compare_row(*variant, reports));
        }
    }
    Ok(())
}

fn overhead(rate: f64, seconds: u64) -> Result<()> {
    let report = measure_overhead(rate, seconds)?;
    println!("| way | first token p50/p99 ms | whole answer p50/p99 ms |\n|---|---|---|");
    let row = |name: &str, first: (f64, f64), total: (f64, f64)| {
        println!("| {name} | {:.2} / {:.2} | {:.1} / {:.1} |", first.0, first.1, total.0, total.1);
    };
    row("direct", report.direct_first_ms, report.direct_total_ms);
    row("entry", report.entry_first_ms, report.entry_total_ms);
    println!(
        "\nentry at {} requests/s: {:.1} % of a core, {:.1} MiB resident, {} requests failed",
        report.rate, report.entry_cpu_percent, report.entry_mib, report.failed
    );
    Ok(())
}

fn print_path(report: &PathReport) {
    let wasted = report.load.prefill.as_ref().map_or(0.0, |prefill| prefill.wasted_share);
    for tier in &report.load.tiers {
        let refused: u64 = tier.refused.values().sum();
        println!(
            "| {} | {} | {} | {} | {} | {refused} {:?} | {} | {:.2} | {:.0} / {:.0} | {:.0} | {:.3} | {} |",
            report.load.seed,
            tier.tier,
            tier.sent,
            tier.in_time,
            tier.late,
            tier.refused,
            tier.cut,
            tier.goodput_per_second,
            tier.first_token.p50_ms,
            tier.first_token.p95_ms,
            tier.between_tokens.p95_ms,
            wasted,
            report.most_dispatches,
        );
    }
}
