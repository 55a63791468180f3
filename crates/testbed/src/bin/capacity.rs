//! Measures the control instances at several sizes and prints a Markdown table.
//!
//! `capacity ENTRIES:TARGETS:RATE:WORKSPACES...`; the rate is in requests per second and entry.

use burdockcleat_testbed::capacity::{CapacityPlan, CapacityReport, measure};
use eyre::{Result, eyre};

const SERVICE_MS: u64 = 1_000;
const SECONDS: u64 = 10;

fn main() -> Result<()> {
    println!("{}", CapacityReport::HEADER);
    for argument in std::env::args().skip(1) {
        let plan = parse(&argument).ok_or_else(|| eyre!("`{argument}` is not a size"))?;
        println!("{}", measure(plan)?.row());
    }
    Ok(())
}

fn parse(text: &str) -> Option<CapacityPlan> {
    let mut parts = text.split(':');
    let plan = CapacityPlan {
        entries: parts.next()?.parse().ok()?,
        targets: parts.next()?.parse().ok()?,
        rate_per_entry: parts.next()?.parse().ok()?,
        service_ms: SERVICE_MS,
        workspaces: parts.next()?.parse().ok()?,
        seconds: SECONDS,
    };
    parts.next().is_none().then_some(plan)
}
