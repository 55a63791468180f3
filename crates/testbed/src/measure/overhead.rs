//! Measures the latency that an entry adds to a request, claim included, and the CPU time and
//! memory of the entry.

use super::stages::{StageTime, read_stages};
use super::{MODEL, MODEL_POOL, MeasureError, credential, document, start_deployment};
use crate::client::CompletionCall;
use crate::deployment::{Deployment, wait_until};
use crate::engine::{EngineSettings, FakeEngine};
use crate::load::LoadProfile;
use crate::usage::ProcessUsage;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Tokens of each answer. At 6 requests per second, this is 1,400 tokens per second.
const OUTPUT_TOKENS: u32 = 233;
/// Tokens per second of a stream.
const DECODE_RATE: f64 = 400.0;
/// Time for the engine to be announced, in milliseconds.
const ANNOUNCE_TIMEOUT_MS: u64 = 10_000;

/// Results of one round, with requests sent directly to the engine and through an entry.
///
/// Pairs are the median and the 99th percentile.
#[derive(Clone, Debug, Default)]
pub struct OverheadRound {
    /// Time to the first token of direct requests, in milliseconds.
    pub direct_first_ms: (f64, f64),
    /// Time to the first token through the entry, in milliseconds.
    pub entry_first_ms: (f64, f64),
    /// Time to the last token of direct requests, in milliseconds.
    pub direct_total_ms: (f64, f64),
    /// Time to the last token through the entry, in milliseconds.
    pub entry_total_ms: (f64, f64),
    /// CPU usage of the entry, in percent of a core.
    pub entry_cpu_percent: f64,
    /// CPU usage of the entry's link and session threads, in percent of a core. They handle links,
    /// claims, progress reports and configuration.
    pub control_cpu_percent: f64,
    /// CPU usage by thread name in percent of a core, of the threads still running at the end of
    /// the round.
    pub thread_cpu_percent: BTreeMap<String, f64>,
    /// Resident memory of the entry, in MiB.
    pub entry_mib: f64,
    /// Number of requests that did not complete.
    pub failed: usize,
}

/// Results of all rounds, and the stage times over all of them.
#[derive(Clone, Debug, Default)]
pub struct OverheadReport {
    /// Request rate, per second.
    pub rate: f64,
    /// Results of the rounds.
    pub rounds: Vec<OverheadRound>,
    /// Times of the request stages at the entry.
    pub stages: Vec<StageTime>,
    /// Times of log commits and syncs at the leader and the followers.
    pub log_times: Vec<StageTime>,
}

/// Threads of an entry that only handle the communication with the control instances.
const CONTROL_THREADS: [&str; 2] = ["link", "session"];

/// Sends the same load alternately to the engine directly and through an entry.
///
/// # Errors
/// Fails if the deployment does not start.
pub fn measure_overhead(
    rate: f64,
    seconds: u64,
    rounds: usize,
) -> Result<OverheadReport, MeasureError> {
    let deployment = start_deployment(&document(LoadProfile::Bureau, "", false), 1)?;
    let engine = announced_engine(&deployment, DECODE_RATE)?;
    let direct_url = format!("http://{}", engine.address());
    let mut report = OverheadReport { rate, ..OverheadReport::default() };
    for round in 0..rounds {
        let direct = send_all(&direct_url, &format!("direct-{round}"), rate, seconds);
        let process = deployment.process_id(&Deployment::entry_name(0)).unwrap_or_default();
        let before = ProcessUsage::read(process).unwrap_or_default();
        let started = ClockTime::monotonic();
        let through = send_all(&deployment.entry_url(0), &format!("entry-{round}"), rate, seconds);
        let elapsed_ms = ClockTime::monotonic().since(started);
        let after = ProcessUsage::read(process).unwrap_or_default();
        let percent = |ms: u64| ms as f64 * 100.0 / elapsed_ms as f64;
        let thread_percent = |name: &str| percent(after.thread_ms_since(&before, name));
        let names = after.thread_cpu_ms.keys();
        report.rounds.push(OverheadRound {
            direct_first_ms: percentiles(&direct.first),
            entry_first_ms: percentiles(&through.first),
            direct_total_ms: percentiles(&direct.total),
            entry_total_ms: percentiles(&through.total),
            entry_cpu_percent: percent(after.cpu_ms.saturating_sub(before.cpu_ms)),
            control_cpu_percent: CONTROL_THREADS.map(thread_percent).iter().sum(),
            thread_cpu_percent: names.map(|name| (name.clone(), thread_percent(name))).collect(),
            entry_mib: after.resident_kib as f64 / 1_024.0,
            failed: direct.failed + through.failed,
        });
    }
    let url = format!("{}/metrics", deployment.entry_operator_url(0));
    report.stages = read_stages(&url, "stage_time");
    report.log_times = log_times(&deployment);
    Ok(report)
}

/// Starts an engine and waits until it is announced at the leader.
pub(super) fn announced_engine(
    deployment: &Deployment,
    decode_rate: f64,
) -> Result<FakeEngine, MeasureError> {
    let mut settings = EngineSettings::named("engine-0", MODEL_POOL);
    settings.target.models = vec![MODEL.into()];
    settings.target.control_urls = deployment.control_urls();
    settings.target.slots = 64;
    settings.decode_rate = decode_rate;
    settings.batch_slowdown = 0.0;
    let engine = FakeEngine::spawn(settings)?;
    wait_until("the engine to be announced", ANNOUNCE_TIMEOUT_MS, || {
        let Some(leader) = deployment.leader() else { return false };
        let dump = deployment.control_dump(leader).unwrap_or_default();
        dump["status"]["targets"].as_array().is_some_and(|targets| targets.len() == 1)
    })?;
    Ok(engine)
}

/// Reads the times of log commits and syncs since the start of the control instances.
fn log_times(deployment: &Deployment) -> Vec<StageTime> {
    let leader = deployment.leader();
    let mut times = Vec::new();
    for (index, url) in deployment.control_urls().iter().enumerate() {
        let role = if Some(index) == leader { "leader" } else { "follower" };
        for metric in ["log_commit_time", "log_sync_time"] {
            for mut time in read_stages(&format!("{url}/v1/metrics"), metric) {
                time.name = format!("{metric} {role}");
                times.push(time);
            }
        }
    }
    times
}

#[derive(Default)]
struct TimeSamples {
    first: Vec<f64>,
    total: Vec<f64>,
    failed: usize,
}

fn send_all(url: &str, name: &str, rate: f64, seconds: u64) -> TimeSamples {
    let samples = Mutex::new(TimeSamples::default());
    // The casts are exact for the counts of a measurement.
    let count = (rate * seconds as f64) as u32;
    let start = Instant::now();
    thread::scope(|scope| {
        for number in 0..count {
            let due = start + Duration::from_secs_f64(f64::from(number) / rate);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let samples = &samples;
            scope.spawn(move || {
                let answer = completion_call(url, &format!("{name}-{number}")).send();
                let mut samples = samples.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                match (answer.done, answer.times.first(), answer.times.last()) {
                    (true, Some(first), Some(last)) => {
                        samples.first.push(first.as_secs_f64() * 1e3);
                        samples.total.push(last.as_secs_f64() * 1e3);
                    }
                    _ => samples.failed += 1,
                }
            });
        }
    });
    samples.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Builds a completion request of the measurements.
pub(super) fn completion_call(url: &str, id: &str) -> CompletionCall {
    CompletionCall {
        entry_url: url.into(),
        credential: credential(0),
        request_id: id.into(),
        model: MODEL.into(),
        prompt: format!("Request {id}"),
        max_tokens: OUTPUT_TOKENS,
        deadline_ms: 20_000,
        headers: Vec::new(),
    }
}

/// Returns the median and the 99th percentile.
pub(super) fn percentiles(samples: &[f64]) -> (f64, f64) {
    let mut sorted = samples.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let position = (sorted.len() as f64 * share) as usize;
        sorted.get(position.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
    };
    (at(0.5), at(0.99))
}
