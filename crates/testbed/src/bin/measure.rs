//! Measures whole deployments and prints Markdown tables.
//!
//! `measure overhead RATE SECONDS` or `measure path PROFILE RATE SECONDS FAULTS SEED...`, where
//! FAULTS is `calm` or `faults`.

use burdockcleat_testbed::measure::{PathPlan, PathReport, measure_overhead, measure_path};
use eyre::{Result, bail, eyre};

fn main() -> Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["overhead", rate, seconds] => overhead(rate.parse()?, seconds.parse()?),
        ["path", profile, rate, seconds, faults, seeds @ ..] => {
            println!(
                "| seed | tier | sent | in time | late | refused | cut | goodput/s | first token \
                 p50/p95 ms | between tokens p95 ms | wasted prefill | most dispatches |\n\
                 |---|---|---|---|---|---|---|---|---|---|---|---|"
            );
            for seed in seeds {
                let plan = PathPlan {
                    profile: profile.parse().map_err(|error| eyre!("{error}"))?,
                    rate: rate.parse()?,
                    seconds: seconds.parse()?,
                    seed: seed.parse()?,
                    faults: *faults == "faults",
                };
                print_path(&measure_path(plan)?);
            }
            Ok(())
        }
        _ => bail!(
            "usage: measure overhead RATE SECONDS | measure path PROFILE RATE SECONDS calm|faults SEED..."
        ),
    }
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
