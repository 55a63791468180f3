//! Runs a plan with a thread per open request.

use super::caller::{CallResult, LoadCaller};
use super::plan::{LoadPlan, PlanSettings, PlannedRequest};
use super::prefill::measure_prefill;
use super::report::{LoadReport, TierTally};
use crate::error::TestbedError;
use crate::flags::flag_error;
use crate::journal::TargetJournal;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};
use ureq::Agent;

/// Maximum number of open requests. Each takes a thread.
const OPEN_LIMIT: usize = 1_024;
/// Stack size of a caller's thread, in bytes.
const CALLER_STACK: usize = 256 * 1024;

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Settings of the plan.
    pub plan: PlanSettings,
    /// Base URLs of the entries, used in rotation.
    pub entries: Vec<String>,
    /// Credential of all tiers without a credential in `tier_credentials`.
    pub default_credential: String,
    /// Credentials by tier.
    pub tier_credentials: BTreeMap<u8, String>,
    /// Base URLs of the engines whose journals are read after the run.
    pub targets: Vec<String>,
    /// Maximum number of requests open at a time. Further ones are counted as unsent.
    pub max_open: usize,
    /// Deadline of every request in milliseconds, if it differs from the profile's.
    pub deadline_ms: Option<u32>,
}

impl LoadSettings {
    /// Returns the credential of a tier.
    pub fn credential(&self, tier: u8) -> &str {
        self.tier_credentials.get(&tier).unwrap_or(&self.default_credential)
    }

    fn validate(&self) -> Result<(), TestbedError> {
        if self.entries.is_empty() {
            return Err(flag_error("entry", &"at least one is required"));
        }
        if !(1..=OPEN_LIMIT).contains(&self.max_open) {
            return Err(flag_error("max-open", &format!("must be between 1 and {OPEN_LIMIT}")));
        }
        for (flag, urls) in [("entry", &self.entries), ("target", &self.targets)] {
            for url in urls {
                require_loopback(flag, url)?;
            }
        }
        Ok(())
    }
}

fn require_loopback(flag: &str, url: &str) -> Result<(), TestbedError> {
    let host = url.strip_prefix("http://").unwrap_or_default().trim_end_matches('/');
    match host.parse::<SocketAddr>() {
        Ok(address) if address.ip().is_loopback() => Ok(()),
        Ok(address) => Err(TestbedError::NotLoopback(address)),
        Err(_) => Err(flag_error(flag, &"must have the form http://IP:PORT")),
    }
}

/// Sends all requests of a plan and reports the results.
///
/// # Errors
/// Fails if a setting is missing or out of range.
pub fn run_load(settings: &LoadSettings) -> Result<LoadReport, TestbedError> {
    settings.validate()?;
    let mut plan = LoadPlan::generate(&settings.plan)?;
    for request in &mut plan.requests {
        request.deadline_ms = settings.deadline_ms.unwrap_or(request.deadline_ms);
    }
    let started = ClockTime::wall().as_ms();
    let (results, unsent) = send_plan(settings, &plan);
    let mut tallies: BTreeMap<u8, TierTally> = BTreeMap::new();
    for result in &results {
        tallies.entry(result.tier).or_insert_with(|| TierTally::new(result.tier)).add(result);
    }
    let seconds = settings.plan.seconds;
    let mut journals = read_journals(&settings.targets);
    for journal in &mut journals {
        journal.dispatches.retain(|record| record.at_ms >= started);
    }
    Ok(LoadReport {
        planned: plan.requests.len() as u64,
        unsent,
        seconds,
        seed: settings.plan.seed,
        tiers: tallies.into_values().map(|tally| tally.finish(seconds)).collect(),
        already_ended: results.iter().filter_map(CallResult::already_ended).collect(),
        prefill: (!settings.targets.is_empty()).then(|| measure_prefill(&journals)),
    })
}

/// Sends each request at its planned time, whether or not earlier ones are answered. Returns the
/// results and the number of unsent requests.
fn send_plan(settings: &LoadSettings, plan: &LoadPlan) -> (Vec<CallResult>, u64) {
    let agent = load_agent(settings.max_open);
    let open = AtomicUsize::new(0);
    let (sender, results) = channel();
    let mut unsent = 0;
    let start = Instant::now();
    thread::scope(|scope| {
        for (number, request) in plan.requests.iter().enumerate() {
            let arrival = start + Duration::from_micros(request.at_us);
            thread::sleep(arrival.saturating_duration_since(Instant::now()));
            if open.load(Ordering::Acquire) >= settings.max_open {
                unsent += 1;
                continue;
            }
            open.fetch_add(1, Ordering::AcqRel);
            let (agent, open, sender) = (&agent, &open, sender.clone());
            let call = move || {
                let caller = LoadCaller { settings, agent, request, arrival };
                run_caller(&caller, number, request, &sender);
                open.fetch_sub(1, Ordering::AcqRel);
            };
            let builder = thread::Builder::new().stack_size(CALLER_STACK);
            if let Err(error) = builder.spawn_scoped(scope, call) {
                log::warn!(error:% = error; "failed to start a thread for a caller");
                open.fetch_sub(1, Ordering::AcqRel);
                unsent += 1;
            }
        }
    });
    drop(sender);
    (results.iter().collect(), unsent)
}

fn run_caller(
    caller: &LoadCaller<'_>,
    number: usize,
    request: &PlannedRequest,
    sender: &Sender<CallResult>,
) {
    let result = caller.run(number);
    log::debug!(id = request.id.as_str(), end:? = result.end; "request ended");
    let _ = sender.send(result);
}

fn load_agent(connections: usize) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(connections)
        .max_idle_connections_per_host(connections)
        .build();
    Agent::new_with_config(config)
}

/// Reads the journals of the targets. Skips a target that does not respond.
fn read_journals(targets: &[String]) -> Vec<TargetJournal> {
    let read = |base: &String| {
        let url = format!("{}/testbed/journal", base.trim_end_matches('/'));
        let body = ureq::get(&url).call().and_then(|response| {
            response.into_body().into_with_config().limit(1 << 30).read_json::<TargetJournal>()
        });
        if let Err(error) = &body {
            log::warn!(target = base.as_str(), error:% = error; "failed to read a journal");
        }
        body.ok()
    };
    targets.iter().filter_map(read).collect()
}
