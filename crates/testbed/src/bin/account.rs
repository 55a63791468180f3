//! Prints tables of request outcomes from the logs of nodes, by route rank and by period.
//!
//! Usage: `account [--period-ms N] FILE...`

use burdockcleat_testbed::account::{CategoryTable, LogReader};
use eyre::{Result, WrapErr, bail};
use lexopt::prelude::*;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

/// Default length of a period, in ms.
const DEFAULT_PERIOD_MS: u64 = 1_000;
/// Row of the requests whose log line contains no rank.
const NO_RANK: u64 = 99;

fn main() -> Result<()> {
    let mut period_ms = DEFAULT_PERIOD_MS;
    let mut paths = Vec::new();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("period-ms") => period_ms = parser.value()?.parse()?,
            Value(path) => paths.push(PathBuf::from(path)),
            other => return Err(other.unexpected().into()),
        }
    }
    if paths.is_empty() || period_ms == 0 {
        bail!("usage: account [--period-ms N] FILE...");
    }
    let mut reader = LogReader::default();
    let mut requests = Vec::new();
    for path in &paths {
        let file =
            File::open(path).wrap_err_with(|| format!("failed to open {}", path.display()))?;
        for line in BufReader::new(file).lines() {
            let line = line.wrap_err_with(|| format!("failed to read {}", path.display()))?;
            requests.extend(reader.read(&line));
        }
    }
    let first_ms = requests.iter().map(|request| request.arrived_ms).min().unwrap_or(0);
    let (mut ranks, mut periods) = (CategoryTable::default(), CategoryTable::default());
    for request in requests {
        ranks.count(request.rank.unwrap_or(NO_RANK), request.category);
        let period = (request.arrived_ms - first_ms) / period_ms;
        periods.count(period * period_ms / 1_000, request.category);
    }
    println!("{}\n{}", ranks.render("rank"), periods.render("from second"));
    Ok(())
}
