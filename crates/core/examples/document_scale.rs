//! Measures the time to parse configuration documents and to compute and apply deltas, and the size
//! of both, by number of workspaces.
//!
//! Run with `cargo run --release -p burdockcleat-core --example document_scale`. Times are
//! medians, with the range of the runs.

use burdockcleat_core::document::{ConfigDocument, CredentialDigest, DocumentDelta};
use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

const RUNS_PER_TIME: usize = 15;
/// Number of credential lookups in a run.
const LOOKUPS: usize = 1_000;
const TIERS: usize = 5;
const POOLS: usize = 12;

fn main() {
    println!(
        "| workspaces | text | parse | parse, one fault | items | delta of 1 change | apply | delta size | lookup |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for count in [100, 1_000, 3_500, 7_100] {
        measure(count);
    }
}

fn measure(count: usize) {
    let text = document_text(count, 1);
    let old = ConfigDocument::parse(&text).expect("a valid document");
    let new = ConfigDocument::parse(&document_text(count, 2)).expect("a valid document");
    let invalid = text.replace("weight = 1\n", "weight = 0\ncolour = 3\n");
    let delta = DocumentDelta::between(&old, &new);
    assert_eq!(delta.apply(&old).as_ref(), Ok(&new));
    let size = serde_json::to_string(&delta).expect("a delta serialises").len();
    let credentials: Vec<String> = (0..LOOKUPS).map(|index| credential(index % count)).collect();
    let lookup =
        measure_runs(|| credentials.iter().filter_map(|c| old.workspace_by_credential(c)).count());
    println!(
        "| {count} | {} KB | {} | {} | {} | {} | {} | {size} B | {} |",
        old.to_toml().len() / 1_000,
        format_times(measure_runs(|| ConfigDocument::parse(&text).is_ok())),
        format_times(measure_runs(|| ConfigDocument::parse(&invalid).is_ok())),
        format_times(measure_runs(|| old.item_hashes())),
        format_times(measure_runs(|| DocumentDelta::between(&old, &new))),
        format_times(measure_runs(|| delta.apply(&old).is_ok())),
        format_times(lookup.map(|ms| ms / LOOKUPS as f64)),
    );
}

/// Returns the smallest, median and largest time of the runs, in milliseconds.
fn measure_runs<T>(mut run: impl FnMut() -> T) -> [f64; 3] {
    let mut times: Vec<f64> = (0..RUNS_PER_TIME)
        .map(|_| {
            let start = Instant::now();
            black_box(run());
            start.elapsed().as_secs_f64() * 1_000.0
        })
        .collect();
    times.sort_by(f64::total_cmp);
    [times[0], times[RUNS_PER_TIME / 2], times[RUNS_PER_TIME - 1]]
}

fn format_times([least, median, most]: [f64; 3]) -> String {
    if median < 0.05 {
        let [least, median, most] = [least, median, most].map(|ms| ms * 1_000.0);
        return format!("{median:.2} µs ({least:.2} to {most:.2})");
    }
    format!("{median:.2} ms ({least:.2} to {most:.2})")
}

fn credential(index: usize) -> String {
    format!("credential of workspace {index}")
}

/// Returns the text of a document. `weight` is that of the workspace in the middle; the others have
/// 3.
fn document_text(count: usize, weight: usize) -> String {
    let mut text = "credential-salt = \"scale\"\n".to_owned();
    for rank in 0..TIERS {
        let _ = writeln!(text, "[[tiers]]\nname = \"tier-{rank}\"\nrank = {rank}");
    }
    for pool in 0..POOLS {
        let _ = writeln!(text, "[[pools]]\nname = \"pool-{pool}\"\nmodels = [\"model-{pool}\"]");
        let _ = writeln!(text, "[[rules]]\nname = \"rule-{pool}\"\nmodel = \"model-{pool}\"");
        let _ = writeln!(text, "pool = \"pool-{pool}\"\ntier = \"tier-{}\"", pool % TIERS);
    }
    for index in 0..count {
        let weight = if index == count / 2 { weight } else { 3 };
        let digest = CredentialDigest::compute("scale", &credential(index));
        let _ = writeln!(text, "[[workspaces]]\nname = \"workspace-{index}\"");
        let _ = writeln!(text, "credentials = [\"{digest}\"]\nweight = {weight}");
        let _ = writeln!(text, "in-flight-limit = {}", 8 + index % 50);
        let _ = writeln!(text, "pools = [\"pool-{}\"]", index % POOLS);
        let _ = writeln!(text, "tiers = [\"tier-{}\", \"tier-4\"]", index % (TIERS - 1));
    }
    text
}
