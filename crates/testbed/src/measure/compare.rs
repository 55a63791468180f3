//! Compares scheduling variants over several seeds.

use super::GoodputReport;
use thiserror::Error;

/// Variant of the scheduling settings of the engines' pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulingVariant {
    /// Name on the command line and in the tables.
    pub name: &'static str,
    /// Lines of the `[pools.scheduling]` table.
    pub scheduling: &'static str,
}

const fn variant(name: &'static str, scheduling: &'static str) -> SchedulingVariant {
    SchedulingVariant { name, scheduling }
}

/// All variants: the default policy, the baselines, the default policy without one mechanism each,
/// and `plain`, which combines least-reported routing with most mechanisms disabled.
const VARIANTS: [SchedulingVariant; 17] = [
    variant("estimated-completion", ""),
    variant("random", "routing = \"random\""),
    variant("round-robin", "routing = \"round-robin\""),
    variant("least-reported", "routing = \"least-reported\""),
    variant("least-in-flight", "routing = \"least-in-flight\""),
    variant("no-prefix-term", "prefix-term = false"),
    variant("no-prefill-weight", "prefill-weight-percent = 100"),
    variant("no-cache-wait", "cache-wait-percent = 0\nslack-wait-percent = 0"),
    variant("no-computing-wait", "computing-wait = false"),
    variant("no-overtaking", "overtaking = false"),
    variant("no-preemption", "preemption = false"),
    variant("no-fair-share", "fair-share = false"),
    variant("no-deadline-order", "deadline-order = false"),
    variant("no-straggler-avoidance", "straggler-avoidance = false"),
    variant("no-failure-limit", "failure-limit = 1000000"),
    variant("no-tiered-shedding", "tiered-shedding = false"),
    variant(
        "plain",
        "routing = \"least-reported\"\npreemption = false\nfair-share = false\n\
         deadline-order = false\nstraggler-avoidance = false\ncomputing-wait = false\n\
         overtaking = false\ntiered-shedding = false",
    ),
];

/// Error for a name that is not a variant.
#[derive(Debug)]
#[derive(Error)]
#[error("unknown variant {name:?}, expected one of {}", VARIANTS.map(|variant| variant.name).join(", "))]
pub struct UnknownVariantError {
    name: String,
}

/// Parses a comma-separated list of variant names. `all` stands for every variant.
///
/// # Errors
/// Fails on an unknown name.
pub fn parse_variants(names: &str) -> Result<Vec<SchedulingVariant>, UnknownVariantError> {
    if names == "all" {
        return Ok(VARIANTS.to_vec());
    }
    let find = |name: &str| {
        let found = VARIANTS.iter().find(|variant| variant.name == name).copied();
        found.ok_or_else(|| UnknownVariantError { name: name.to_owned() })
    };
    names.split(',').map(find).collect()
}

/// Formats a row of a Markdown table: goodput of each tier as a share of its requests, wasted
/// prefill, `already_ended` by cause, the largest number of dispatches of one request and the
/// number of unsent requests.
pub fn compare_row(variant: SchedulingVariant, reports: &[GoodputReport]) -> String {
    let mut row = format!("| {} |", variant.name);
    for rank in 0..3 {
        let shares = reports.iter().filter_map(|report| {
            let tier = report.load.tiers.iter().find(|tier| tier.tier == rank)?;
            Some(100.0 * tier.in_time as f64 / tier.sent.max(1) as f64)
        });
        row += &format!(" {} |", median_and_range(shares.collect()));
    }
    let wasted = reports.iter().filter_map(|report| report.load.prefill.as_ref());
    let wasted = wasted.map(|prefill| 100.0 * prefill.wasted_share).collect();
    let mut causes = std::collections::BTreeMap::<_, usize>::new();
    for trace in reports.iter().flat_map(|report| &report.already_ended) {
        *causes.entry(trace.cause()).or_default() += 1;
    }
    let causes: Vec<_> = causes.iter().map(|(cause, count)| format!("{count} {cause}")).collect();
    let max_dispatches = reports.iter().map(|report| report.max_dispatches).max().unwrap_or(0);
    let unsent: u64 = reports.iter().map(|report| report.load.unsent).sum();
    row + &format!(
        " {} | {} | {max_dispatches} | {unsent} |",
        median_and_range(wasted),
        causes.join(", ")
    )
}

fn median_and_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (Some(first), Some(last)) = (values.first(), values.last()) else { return "-".to_owned() };
    let middle = values.len() / 2;
    let median = match values.len() % 2 {
        0 => f64::midpoint(values[middle - 1], values[middle]),
        _ => values[middle],
    };
    format!("{median:.1} ({first:.1}-{last:.1})")
}
