//! Goodput by tier and wasted prefill of a whole deployment under load.

use super::{MODEL, MODEL_POOL, MeasureError, credential, service_pool, start};
use crate::deployment::wait_until;
use crate::engine::{EngineSettings, FakeEngine};
use crate::fault::FaultSet;
use crate::load::{LoadProfile, LoadReport, LoadSettings, PlanSettings, run_load};
use crate::service::{FakeService, ServiceSettings};
use std::thread;
use std::time::Duration;

const ENTRIES: usize = 10;
/// Slots of an engine, few enough for one machine to run twenty of them.
const SLOTS: u32 = 2;
/// Lag of the engines' load reports.
const REPORT_LAG_MS: u64 = 1_000;
const TARGETS_LIMIT_MS: u64 = 15_000;
const MAX_OPEN: usize = 600;
/// Slowdown of the straggler.
const STRAGGLER_FACTOR: f64 = 4.0;

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct PathPlan {
    /// Mix of requests.
    pub profile: LoadProfile,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Duration of the arrivals.
    pub seconds: f64,
    /// Seed of the plan.
    pub seed: u64,
    /// Whether one engine becomes a straggler and another is killed after a third of the time.
    pub faults: bool,
}

/// What came out.
#[derive(Clone, Debug)]
pub struct PathReport {
    /// Report of the load program.
    pub load: LoadReport,
    /// Largest number of dispatches of one request.
    pub most_dispatches: usize,
}

/// Runs a load against three control instances, ten entries and the targets of the profile.
///
/// # Errors
/// Fails if the deployment does not start.
pub fn measure_path(plan: PathPlan) -> Result<PathReport, MeasureError> {
    let deployment = start(plan.profile, ENTRIES)?;
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
    wait_until("all targets to be announced", TARGETS_LIMIT_MS, || {
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
        targets: engines.iter().map(|engine| format!("http://{}", engine.address())).collect(),
        max_open: MAX_OPEN,
    };
    let load = thread::scope(|scope| {
        if plan.faults {
            scope.spawn(|| disturb(&engines, plan.seconds));
        }
        run_load(&settings)
    })?;
    let most_dispatches = most_dispatches(&engines, &services);
    Ok(PathReport { load, most_dispatches })
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

/// Slows one engine down, and later ends the streams of another by a crash.
fn disturb(engines: &[FakeEngine], seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds / 3.0));
    let slow = FaultSet { straggler_factor: STRAGGLER_FACTOR, ..FaultSet::default() };
    engines[0].set_fault(slow);
    thread::sleep(Duration::from_secs_f64(seconds / 3.0));
    // Every request contains its id, which starts like this.
    let crash = FaultSet { crash_marker: Some("load-".into()), ..FaultSet::default() };
    engines[1].set_fault(crash);
}

fn most_dispatches(engines: &[FakeEngine], services: &[FakeService]) -> usize {
    let mut counts = std::collections::HashMap::new();
    let journals = engines.iter().map(FakeEngine::journal);
    for journal in journals.chain(services.iter().map(FakeService::journal)) {
        for record in journal.dispatches {
            *counts.entry(record.request_id).or_insert(0) += 1;
        }
    }
    counts.into_values().max().unwrap_or(0)
}
