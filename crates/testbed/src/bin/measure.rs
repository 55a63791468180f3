//! Measures deployments of real processes and prints Markdown tables.
//!
//! - `measure overhead RATE SECONDS ROUNDS`: latency that an entry adds to a request, and its CPU
//!   time and memory.
//! - `measure memory WORKSPACES STREAMS`: resident memory of an entry.
//! - `measure sync COUNT`: duration of a synced write to the disk of the temporary folder.
//! - `measure capacity PROFILE SEED...`: requests per second that the engines complete.
//! - `measure path PROFILE RATE SECONDS FAULTS SEED...`: goodput by tier and wasted prefill. FAULTS
//!   is `calm` or `faults`.
//! - `measure path PROFILE RATE,... SECONDS FAULTS VARIANT,... SEED...`: the same for several
//!   scheduling variants; `all` stands for every variant.

use burdockcleat_testbed::load::LoadProfile;
use burdockcleat_testbed::measure::{
    GoodputPlan, GoodputReport, OverheadRound, SchedulingVariant, StageTime, compare_row,
    measure_capacity, measure_goodput, measure_memory, measure_overhead, measure_sync,
    parse_variants,
};
use eyre::{Result, bail, eyre};
use std::collections::BTreeSet;

fn main() -> Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["overhead", rate, seconds, rounds] => {
            overhead(rate.parse()?, seconds.parse()?, rounds.parse()?)
        }
        ["memory", workspaces, streams] => memory(workspaces.parse()?, streams.parse()?),
        ["sync", count] => {
            println!("synced write, ms: {}", summarize(&measure_sync(count.parse()?)?));
            Ok(())
        }
        ["capacity", profile, seeds @ ..] => capacity(read_profile(profile)?, &read_seeds(seeds)?),
        ["path", profile, rates, seconds, faults, rest @ ..] => {
            let plan = GoodputPlan {
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
                    compare(plan, &rates, &parse_variants(names)?, &read_seeds(seeds)?)
                }
                seeds => single_runs(plan, &rates, &read_seeds(seeds)?),
            }
        }
        _ => bail!(
            "usage: measure overhead RATE SECONDS ROUNDS | measure memory WORKSPACES STREAMS | \
             measure sync COUNT | measure capacity PROFILE SEED... | \
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

fn single_runs(plan: GoodputPlan, rates: &[f64], seeds: &[u64]) -> Result<()> {
    println!(
        "| seed | tier | sent | in time | late | refused | cut | goodput/s | first token \
         p50/p95 ms | between tokens p95 ms | wasted prefill | most dispatches |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|"
    );
    for rate in rates {
        for seed in seeds {
            print_goodput(&measure_goodput(GoodputPlan { rate: *rate, seed: *seed, ..plan })?);
        }
    }
    Ok(())
}

/// Compares scheduling variants. Runs all variants of one seed in a row, so that a change of the
/// machine's load affects all of them.
fn compare(
    plan: GoodputPlan,
    rates: &[f64],
    variants: &[SchedulingVariant],
    seeds: &[u64],
) -> Result<()> {
    for rate in rates {
        let mut reports: Vec<Vec<GoodputReport>> = vec![Vec::new(); variants.len()];
        for seed in seeds {
            for (variant, reports) in variants.iter().zip(&mut reports) {
                let scheduling = variant.scheduling;
                let plan = GoodputPlan { rate: *rate, seed: *seed, scheduling, ..plan };
                let report = measure_goodput(plan)?;
                eprintln!("{} at {rate}, seed {seed}", variant.name);
                for trace in &report.already_ended {
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

fn overhead(rate: f64, seconds: u64, rounds: usize) -> Result<()> {
    let report = measure_overhead(rate, seconds, rounds)?;
    println!(
        "| round | direct first token p50/p99 ms | through the entry | added | direct whole answer \
         p50/p99 ms | through the entry | entry CPU % | control CPU % | MiB | failed |\n\
         |---|---|---|---|---|---|---|---|---|---|"
    );
    for (number, round) in (1..).zip(&report.rounds) {
        let (direct, entry) = (round.direct_first_ms, round.entry_first_ms);
        println!(
            "| {number} | {:.2} / {:.2} | {:.2} / {:.2} | {:.2} / {:.2} | {:.1} / {:.1} | {:.1} / {:.1} | {:.1} | {:.1} | {:.1} | {} |",
            direct.0,
            direct.1,
            entry.0,
            entry.1,
            entry.0 - direct.0,
            entry.1 - direct.1,
            round.direct_total_ms.0,
            round.direct_total_ms.1,
            round.entry_total_ms.0,
            round.entry_total_ms.1,
            round.entry_cpu_percent,
            round.control_cpu_percent,
            round.entry_mib,
            round.failed,
        );
    }
    let all = |value: fn(&OverheadRound) -> f64| {
        summarize(&report.rounds.iter().map(value).collect::<Vec<_>>())
    };
    println!("\nat {} requests/s, median (range) of the rounds", report.rate);
    println!("added at p50, ms: {}", all(|round| round.entry_first_ms.0 - round.direct_first_ms.0));
    println!("added at p99, ms: {}", all(|round| round.entry_first_ms.1 - round.direct_first_ms.1));
    println!("entry, % of a core: {}", all(|round| round.entry_cpu_percent));
    println!("control in it, % of a core: {}", all(|round| round.control_cpu_percent));
    let names: BTreeSet<&String> =
        report.rounds.iter().flat_map(|round| round.thread_cpu_percent.keys()).collect();
    for name in names {
        let share = |round: &OverheadRound| round.thread_cpu_percent.get(name).copied();
        let shares: Vec<f64> = report.rounds.iter().filter_map(share).collect();
        println!("thread {name}, % of a core: {}", summarize(&shares));
    }
    println!("\n| stage | count | mean ms | p50 ms below | p99 ms below |\n|---|---|---|---|---|");
    for StageTime { name, count, mean_ms, p50_ms, p99_ms } in
        report.stages.iter().chain(&report.log_times)
    {
        println!("| {name} | {count} | {mean_ms:.2} | {p50_ms:.1} | {p99_ms:.1} |");
    }
    Ok(())
}

fn memory(workspaces: usize, streams: usize) -> Result<()> {
    let report = measure_memory(workspaces, streams)?;
    println!(
        "| workspaces | streams | small document MiB | large document | with streams | after a \
         change | peak | threads | failed |\n|---|---|---|---|---|---|---|---|---|\n\
         | {workspaces} | {streams} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {} | {} |",
        report.idle_mib,
        report.document_mib,
        report.streams_mib,
        report.changed_mib,
        report.peak_mib,
        report.threads,
        report.failed,
    );
    Ok(())
}

/// Formats the median, the range and the 99th percentile of the values.
fn summarize(values: &[f64]) -> String {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (Some(first), Some(last)) = (sorted.first(), sorted.last()) else { return "-".into() };
    let position = |share: f64| sorted[(sorted.len() as f64 * share) as usize];
    let (median, high) = (position(0.5), position(0.99));
    format!("{median:.2} ({first:.2} to {last:.2}, p99 {high:.2})")
}

fn print_goodput(report: &GoodputReport) {
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
            report.max_dispatches,
        );
    }
}
