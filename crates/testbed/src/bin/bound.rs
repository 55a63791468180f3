//! Prints, for each period, the value that was reached on time beside the highest that the slots
//! allowed, from the logs of nodes.
//!
//! The flags for sizes are those of the node.

use burdockcleat_testbed::bound::{BoundReader, RequestValues, render_windows};
use eyre::{Result, WrapErr, bail};
use lexopt::prelude::*;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

const USAGE: &str = "bound [--period-ms N] [--shared-clock] [--value RANK=VALUE]... [--output-token-size N] [--fixed-value PART] \
    [--max-value N] FILE...";
/// Default length of a period, in ms.
const DEFAULT_PERIOD_MS: u64 = 2_000;

fn main() -> Result<()> {
    let mut values = RequestValues::default();
    let (mut period_ms, mut shared_clock, mut paths) = (DEFAULT_PERIOD_MS, false, Vec::new());
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("period-ms") => period_ms = parser.value()?.parse()?,
            Long("shared-clock") => shared_clock = true,
            Long("value") => {
                let (rank, value) = parser.value()?.parse_with(parse_value)?;
                values.ranks.insert(rank, value);
            }
            Long("output-token-size") => {
                values.sizes.output_token_size = parser.value()?.parse()?;
            }
            Long("fixed-value") => values.sizes.fixed_value = parser.value()?.parse()?,
            Long("max-value") => values.sizes.max_value = parser.value()?.parse()?,
            Value(path) => paths.push(PathBuf::from(path)),
            other => return Err(other.unexpected().into()),
        }
    }
    if paths.is_empty() || period_ms == 0 {
        bail!("usage: {USAGE}");
    }
    let faults = values.sizes.errors();
    if !faults.is_empty() {
        bail!("faults in the flags: {}", faults.join("; "));
    }
    let mut reader =
        if shared_clock { BoundReader::with_shared_clock() } else { BoundReader::default() };
    for path in &paths {
        let file =
            File::open(path).wrap_err_with(|| format!("failed to open {}", path.display()))?;
        for line in BufReader::new(file).lines() {
            let line = line.wrap_err_with(|| format!("failed to read {}", path.display()))?;
            reader.read(&line);
        }
    }
    println!("{}", render_windows(&reader.windows(period_ms, &values)));
    Ok(())
}

/// Parses `RANK=VALUE`.
fn parse_value(text: &str) -> Result<(u64, f64), String> {
    let parsed = text.split_once('=').and_then(|(rank, value)| {
        Some((rank.parse().ok()?, value.parse().ok().filter(|value: &f64| *value >= 0.0)?))
    });
    parsed.ok_or_else(|| format!("{text:?} is not of the form RANK=VALUE"))
}
