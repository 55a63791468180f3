//! Resident memory of an entry with a large document and many open streams.

use super::overhead::{announced_engine, call};
use super::{MeasureError, apply, document, start};
use crate::deployment::{Deployment, wait_until};
use crate::load::LoadProfile;
use crate::usage::ProcessUsage;
use std::fmt::Write;
use std::thread;
use std::time::Duration;

/// Decode rate at which a token takes 31 ms, the goal at the target size.
const DECODE_RATE: f64 = 32.0;
/// Tokens of each stream: 12 s, longer than the streams take to open.
const OUTPUT_TOKENS: u32 = 400;
const OPEN_LIMIT_MS: u64 = 8_000;
const VERSION_LIMIT_MS: u64 = 10_000;
/// Time for memory to settle after a step.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Memory of an entry, in MiB.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryReport {
    /// With the small document, without load.
    pub idle_mib: f64,
    /// With the large document, without load.
    pub document_mib: f64,
    /// With the large document and the open streams.
    pub streams_mib: f64,
    /// After a change of the large document while the streams are open.
    pub changed_mib: f64,
    /// Largest value since the start of the process.
    pub peak_mib: f64,
    /// Threads with the streams open.
    pub threads: u64,
    /// Streams that did not complete.
    pub failed: usize,
}

/// Measures an entry with a document of this many workspaces and this many open streams.
///
/// # Errors
/// Fails if the deployment does not start, or if streams or versions do not arrive in time.
pub fn measure_memory(workspaces: usize, streams: usize) -> Result<MemoryReport, MeasureError> {
    let deployment = start(&document(LoadProfile::Bureau, "", false), 1)?;
    let _engine = announced_engine(&deployment, DECODE_RATE)?;
    let leader = deployment.wait_leader()?;
    let usage = || {
        let process = deployment.process(&Deployment::entry_name(0)).unwrap_or_default();
        ProcessUsage::read(process).unwrap_or_default()
    };
    let mut report = MemoryReport { idle_mib: mib(usage().resident_kib), ..Default::default() };
    install(&deployment, leader, 1, &large_document(workspaces, 1))?;
    report.document_mib = mib(usage().resident_kib);
    let url = deployment.entry_url(0);
    let answers: Vec<_> = (0..streams)
        .map(|number| {
            let mut call = call(&url, &format!("stream-{number}"));
            call.max_tokens = OUTPUT_TOKENS;
            call.deadline_ms = 60_000;
            thread::spawn(move || call.send().done)
        })
        .collect();
    wait_until("all streams to be open", OPEN_LIMIT_MS, || {
        let dump = deployment.entry_dump(0).unwrap_or_default();
        dump["session"]["running"] == streams
    })?;
    thread::sleep(SETTLE);
    let open = usage();
    report.streams_mib = mib(open.resident_kib);
    report.threads = open.threads;
    install(&deployment, leader, 2, &large_document(workspaces, 2))?;
    report.changed_mib = mib(usage().resident_kib);
    let done = answers.into_iter().filter_map(|answer| answer.join().ok()).filter(|done| *done);
    report.failed = streams - done.count();
    report.peak_mib = mib(usage().peak_kib);
    Ok(report)
}

fn mib(kib: u64) -> f64 {
    kib as f64 / 1_024.0
}

/// Applies a document on top of a version and waits until the entry holds it.
fn install(
    deployment: &Deployment,
    leader: usize,
    base: u64,
    document: &str,
) -> Result<(), MeasureError> {
    apply(deployment, leader, base, document)?;
    wait_until("the entry to hold the document", VERSION_LIMIT_MS, || {
        let dump = deployment.entry_dump(0).unwrap_or_default();
        dump["session"]["config-version"] == base + 1
    })?;
    thread::sleep(SETTLE);
    Ok(())
}

/// The document of the measurements with further workspaces; `weight` makes two versions differ.
fn large_document(workspaces: usize, weight: u32) -> String {
    let mut text = document(LoadProfile::Bureau, "", false);
    for number in 0..workspaces {
        let weight = if number == 0 { weight } else { 1 };
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "[[workspaces]]\nname = \"large-{number}\"\ncredentials = [\"sha256:{number:064x}\"]\n\
             weight = {weight}\nin-flight-limit = 10000\ntokens-per-second-limit = 1000000\n\
             pools = [\"models\"]\ntiers = [\"tier-0\"]\n",
        );
    }
    text
}
