//! Measures the control instances at several deployment sizes and prints a Markdown table.
//!
//! Usage: `capacity ENTRIES:TARGETS:RATE:WORKSPACES...`. RATE is in requests per second and entry.

use burdockcleat_testbed::capacity::{CapacityPlan, CapacityReport, measure};
use eyre::{Result, eyre};

/// Time that a granted request runs, in ms.
const SERVICE_MS: u64 = 1_000;
/// Length of each measurement, in seconds.
const SECONDS: u64 = 10;

fn main() -> Result<()> {
    println!("{}", CapacityReport::HEADER);
    for argument in std::env::args().skip(1) {
        let plan = parse(&argument).ok_or_else(|| {
            eyre!("`{argument}` does not have the form ENTRIES:TARGETS:RATE:WORKSPACES")
        })?;
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
