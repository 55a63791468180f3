//! Measures the resident memory of an entry with a large document and many open streams.

use super::overhead::{announced_engine, completion_call};
use super::{MeasureError, apply, document, start_deployment};
use crate::deployment::{Deployment, wait_until};
use crate::load::LoadProfile;
use crate::usage::ProcessUsage;
use std::fmt::Write;
use std::thread;
use std::time::Duration;

/// Tokens per second of a stream. A token takes 31 ms, the goal at the target size.
const DECODE_RATE: f64 = 32.0;
/// Tokens of each stream. A stream takes 12 s, longer than all streams take to open.
const OUTPUT_TOKENS: u32 = 400;
/// Time for all streams to open, in milliseconds.
const STREAMS_OPEN_TIMEOUT_MS: u64 = 8_000;
/// Time for the entry to have a new document, in milliseconds.
const VERSION_TIMEOUT_MS: u64 = 10_000;
/// Pause after each step, in which the memory settles.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Resident memory of an entry at several points, in MiB.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryReport {
    /// Memory with the small document, without load.
    pub idle_mib: f64,
    /// Memory with the large document, without load.
    pub document_mib: f64,
    /// Memory with the large document and the open streams.
    pub streams_mib: f64,
    /// Memory after a change of the large document while the streams are open.
    pub changed_mib: f64,
    /// Peak memory since the start of the process.
    pub peak_mib: f64,
    /// Number of threads while the streams are open.
    pub threads: u64,
    /// Number of streams that did not complete.
    pub failed: usize,
}

/// Measures an entry with this number of additional workspaces in its document and this number of
/// open streams.
///
/// # Errors
/// Fails if the deployment does not start, if the streams do not open in time, or if the entry does
/// not get a new document in time.
pub fn measure_memory(workspaces: usize, streams: usize) -> Result<MemoryReport, MeasureError> {
    let deployment = start_deployment(&document(LoadProfile::Bureau, "", false), 1)?;
    let _engine = announced_engine(&deployment, DECODE_RATE)?;
    let leader = deployment.wait_leader()?;
    let usage = || {
        let process = deployment.process_id(&Deployment::entry_name(0)).unwrap_or_default();
        ProcessUsage::read(process).unwrap_or_default()
    };
    let mut report =
        MemoryReport { idle_mib: mib_from_kib(usage().resident_kib), ..Default::default() };
    apply_and_wait(&deployment, leader, 1, &large_document(workspaces, 1))?;
    report.document_mib = mib_from_kib(usage().resident_kib);
    let url = deployment.entry_url(0);
    let answers: Vec<_> = (0..streams)
        .map(|number| {
            let mut call = completion_call(&url, &format!("stream-{number}"));
            call.max_tokens = OUTPUT_TOKENS;
            call.deadline_ms = 60_000;
            thread::spawn(move || call.send().done)
        })
        .collect();
    wait_until("all streams to be open", STREAMS_OPEN_TIMEOUT_MS, || {
        let dump = deployment.entry_dump(0).unwrap_or_default();
        dump["session"]["running"] == streams
    })?;
    thread::sleep(SETTLE_TIME);
    let open = usage();
    report.streams_mib = mib_from_kib(open.resident_kib);
    report.threads = open.threads;
    apply_and_wait(&deployment, leader, 2, &large_document(workspaces, 2))?;
    report.changed_mib = mib_from_kib(usage().resident_kib);
    let done = answers.into_iter().filter_map(|answer| answer.join().ok()).filter(|done| *done);
    report.failed = streams - done.count();
    report.peak_mib = mib_from_kib(usage().peak_kib);
    Ok(report)
}

fn mib_from_kib(kib: u64) -> f64 {
    kib as f64 / 1_024.0
}

/// Applies a document based on version `base` and waits until the entry has it.
fn apply_and_wait(
    deployment: &Deployment,
    leader: usize,
    base: u64,
    document: &str,
) -> Result<(), MeasureError> {
    apply(deployment, leader, base, document)?;
    wait_until("the entry to hold the document", VERSION_TIMEOUT_MS, || {
        let dump = deployment.entry_dump(0).unwrap_or_default();
        dump["session"]["config-version"] == base + 1
    })?;
    thread::sleep(SETTLE_TIME);
    Ok(())
}

/// Builds the document of the measurements with additional workspaces. Documents that differ in
/// `weight` are different versions.
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
