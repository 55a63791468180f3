//! Measures the goodput by tier and the wasted prefill of a deployment under load.

use super::{
    BACKLOG_DEADLINE_MS, MODEL, MODEL_POOL, MeasureError, credential, document, service_pool,
    start_deployment, workspace,
};
use crate::deployment::wait_until;
use crate::engine::{EngineSettings, FakeEngine};
use crate::fault::FaultSet;
use crate::journal::{DispatchEnd, DispatchRecord, TargetJournal};
use crate::load::{
    AlreadyEndedRequest, LoadProfile, LoadReport, LoadSettings, PlanSettings, measure_prefill,
    run_load,
};
use crate::service::{FakeService, ServiceSettings};
use burdockcleat_core::keys::RequestKey;
use std::thread;
use std::time::Duration;

/// Number of entries.
const ENTRIES: usize = 10;
/// Slots of an engine, few enough that one machine can run twenty engines.
const SLOTS: u32 = 2;
/// Lag of the engines' load reports, in milliseconds.
const REPORT_LAG_MS: u64 = 1_000;
/// Time for all targets to be announced, in milliseconds.
const ANNOUNCE_TIMEOUT_MS: u64 = 15_000;
/// Maximum number of requests open at a time.
const MAX_OPEN_REQUESTS: usize = 600;
/// Factor by which the straggler is slower.
const STRAGGLER_FACTOR: f64 = 4.0;

impl AlreadyEndedTrace {
    /// Describes the cause: the last reason that the caller received before `already_ended`, and
    /// how the dispatch ended at the engine.
    pub fn cause(&self) -> String {
        let reason = self.request.earlier.last().map_or("no earlier answer", String::as_str);
        match &self.dispatch {
            Some((_, DispatchEnd::Cancelled)) => format!("{reason}: cancelled at the engine"),
            Some((_, DispatchEnd::Completed)) => format!("{reason}: completed at the engine"),
            Some((engine, DispatchEnd::Open | DispatchEnd::Error)) => {
                format!("{reason}: broken off at {engine}")
            }
            None => format!("{reason}: not dispatched to an engine"),
        }
    }
}

/// Settings of a goodput measurement.
#[derive(Clone, Copy, Debug)]
pub struct GoodputPlan {
    /// Mix of requests.
    pub profile: LoadProfile,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Duration of the arrivals, in seconds.
    pub seconds: f64,
    /// Seed of the plan.
    pub seed: u64,
    /// Whether faults are injected: one engine becomes a straggler after a third of the time, and
    /// another crashes after two thirds.
    pub faults: bool,
    /// Lines of the `[pools.scheduling]` table of the engines' pool.
    pub scheduling: &'static str,
}

/// Results of a goodput measurement.
#[derive(Clone, Debug)]
pub struct GoodputReport {
    /// Report of the load generator.
    pub load: LoadReport,
    /// Largest number of dispatches of one request.
    pub max_dispatches: usize,
    /// Requests that ended as `already_ended`, with their dispatches.
    pub already_ended: Vec<AlreadyEndedTrace>,
}

/// Request that ended before its last attempt, with its dispatch.
#[derive(Clone, Debug)]
pub struct AlreadyEndedTrace {
    /// The request as its caller saw it.
    pub request: AlreadyEndedRequest,
    /// Name of the engine that received the request and state of the dispatch there, if any did.
    pub dispatch: Option<(String, DispatchEnd)>,
}

/// Runs a load against three control instances, ten entries and the targets of the profile.
///
/// # Errors
/// Fails if the deployment does not start.
pub fn measure_goodput(plan: GoodputPlan) -> Result<GoodputReport, MeasureError> {
    let document = document(plan.profile, plan.scheduling, false);
    let (load, engines, services) = run(plan, &document, None)?;
    let already_ended =
        load.already_ended.iter().map(|request| trace_dispatch(request, &engines)).collect();
    let max_dispatches = max_dispatches(engines.iter().chain(&services));
    Ok(GoodputReport { load, max_dispatches, already_ended })
}

/// Measures how many requests per second the engines complete while the queue is never empty, with
/// least-in-flight routing in order of arrival and without faults.
///
/// All requests arrive within the first second. While requests wait, each completion is followed by
/// a dispatch. The completion rate is therefore the rate of the dispatches after the first fifth
/// and before the last tenth.
///
/// # Errors
/// Fails if the deployment does not start.
pub fn measure_capacity(profile: LoadProfile, seed: u64) -> Result<f64, MeasureError> {
    let rate = match profile {
        LoadProfile::Bureau => 200.0,
        LoadProfile::Kerlouan => 90.0,
    };
    let scheduling = "routing = \"least-in-flight\"\npreemption = false\nfair-share = false\n\
                      deadline-order = false";
    let plan = GoodputPlan { profile, rate, seconds: 1.0, seed, faults: false, scheduling };
    let document = document(profile, scheduling, true);
    let (load, engines, _) = run(plan, &document, Some(BACKLOG_DEADLINE_MS))?;
    let mut times: Vec<u64> = dispatches(&engines).map(|record| record.at_ms).collect();
    times.sort_unstable();
    let (first, last) = (times.len() / 5, times.len() * 9 / 10);
    let milliseconds = times[last].saturating_sub(times[first]).max(1);
    let per_second = (last - first) as f64 * 1_000.0 / milliseconds as f64;
    // Scales the rate up to include the service calls, which the engines' journals do not contain.
    Ok(per_second * load.planned as f64 / times.len() as f64)
}

/// Report of a load, and the journals of the engines and of the services.
type RunResult = (LoadReport, Vec<TargetJournal>, Vec<TargetJournal>);

/// Runs a load and returns the journals of the engines and of the services.
fn run(
    plan: GoodputPlan,
    document: &str,
    deadline_ms: Option<u32>,
) -> Result<RunResult, MeasureError> {
    let deployment = start_deployment(document, ENTRIES)?;
    let (engine_count, service_count) = match plan.profile {
        LoadProfile::Bureau => (20, 3),
        LoadProfile::Kerlouan => (10, 4),
    };
    let urls = deployment.control_urls();
    let engines = (0..engine_count)
        .map(|number| FakeEngine::spawn(engine(number, &urls)))
        .collect::<Result<Vec<_>, _>>()?;
    let services = (0..service_count)
        .map(|number| {
            let pool = service_pool(plan.profile);
            let mut settings = ServiceSettings::named(&format!("service-{number}"), pool);
            settings.target.control_urls.clone_from(&urls);
            FakeService::spawn(settings)
        })
        .collect::<Result<Vec<_>, _>>()?;
    let expected = engine_count + service_count;
    wait_until("all targets to be announced", ANNOUNCE_TIMEOUT_MS, || {
        let Some(leader) = deployment.leader() else { return false };
        let dump = deployment.control_dump(leader).unwrap_or_default();
        dump["status"]["targets"].as_array().is_some_and(|targets| targets.len() == expected)
    })?;
    let settings = LoadSettings {
        plan: PlanSettings {
            profile: plan.profile,
            rate: plan.rate,
            seconds: plan.seconds,
            seed: plan.seed,
            model: MODEL.into(),
            services: true,
            tier_in_path: false,
        },
        entries: (0..ENTRIES).map(|index| deployment.entry_url(index)).collect(),
        default_credential: credential(0),
        tier_credentials: (0..3).map(|tier| (tier, credential(tier))).collect(),
        // The crashed engine no longer serves its journal, so the journals are read from the
        // engines below and not by the load generator.
        targets: Vec::new(),
        max_open: MAX_OPEN_REQUESTS,
        deadline_ms,
    };
    let mut load = thread::scope(|scope| {
        if plan.faults {
            scope.spawn(|| inject_faults(&engines, plan.seconds));
        }
        run_load(&settings)
    })?;
    let engines: Vec<_> = engines.iter().map(FakeEngine::journal).collect();
    load.prefill = Some(measure_prefill(&engines));
    Ok((load, engines, services.iter().map(FakeService::journal).collect()))
}

fn engine(number: usize, control_urls: &[String]) -> EngineSettings {
    let mut settings = EngineSettings::named(&format!("engine-{number}"), MODEL_POOL);
    settings.target.models = vec![MODEL.into()];
    settings.target.control_urls = control_urls.to_vec();
    settings.target.slots = SLOTS;
    settings.target.report_lag_ms = REPORT_LAG_MS;
    if number % 2 == 1 {
        // The older of two hardware generations.
        settings.target.generation = "g0".into();
        settings.prefill_rate /= 2.0;
        settings.decode_rate /= 2.0;
    }
    settings
}

/// Slows one engine down after a third of the time, and crashes another after two thirds.
fn inject_faults(engines: &[FakeEngine], seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds / 3.0));
    let slow = FaultSet { straggler_factor: STRAGGLER_FACTOR, ..FaultSet::default() };
    engines[0].set_fault(slow);
    thread::sleep(Duration::from_secs_f64(seconds / 3.0));
    // Every prompt contains its request id, which starts with this text.
    let crash = FaultSet { crash_marker: Some("load-".into()), ..FaultSet::default() };
    engines[1].set_fault(crash);
}

fn max_dispatches<'a>(journals: impl Iterator<Item = &'a TargetJournal>) -> usize {
    let mut counts = std::collections::HashMap::new();
    for record in dispatches(journals) {
        *counts.entry(&record.request_id).or_insert(0) += 1;
    }
    counts.into_values().max().unwrap_or(0)
}

fn dispatches<'a>(
    journals: impl IntoIterator<Item = &'a TargetJournal>,
) -> impl Iterator<Item = &'a DispatchRecord> {
    journals.into_iter().flat_map(|journal| &journal.dispatches)
}

/// Finds the dispatch of a request that ended before its last attempt.
fn trace_dispatch(request: &AlreadyEndedRequest, engines: &[TargetJournal]) -> AlreadyEndedTrace {
    let key = RequestKey::derive(&workspace(request.tier), &request.id).to_string();
    let dispatch = engines.iter().find_map(|journal| {
        let record = journal.dispatches.iter().find(|record| record.request_id == key)?;
        Some((journal.name.clone(), record.end))
    });
    AlreadyEndedTrace { request: request.clone(), dispatch }
}
