//! Tests of the load program against fake engines and stubs of entries.
#![allow(clippy::unwrap_used, reason = "a failed helper fails the test")]

mod common;

use burdockcleat_testbed::engine::{EngineSettings, FakeEngine};
use burdockcleat_testbed::fault::FaultSet;
use burdockcleat_testbed::load::{
    LoadPlan, LoadProfile, LoadSettings, PlanSettings, PlannedCall, run_load,
};
use burdockcleat_testbed::service::{FakeService, ServiceSettings};
use common::GatedServer;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tiny_http::{Request, Response};

fn plan_settings(profile: LoadProfile, rate: f64, seconds: f64) -> PlanSettings {
    PlanSettings {
        profile,
        rate,
        seconds,
        seed: 7,
        model: "m1".to_owned(),
        services: false,
        tier_in_path: false,
    }
}

fn load_settings(entry: String, plan: PlanSettings) -> LoadSettings {
    LoadSettings {
        plan,
        targets: Vec::new(),
        entries: vec![entry],
        default_credential: "c".to_owned(),
        tier_credentials: BTreeMap::new(),
        max_open: 256,
        deadline_ms: None,
    }
}

fn engine(fault: FaultSet) -> FakeEngine {
    let mut settings = EngineSettings::named("e1", "models");
    settings.prefill_rate = 200_000.0;
    settings.decode_rate = 400.0;
    settings.batch_slowdown = 0.0;
    let engine = FakeEngine::spawn(settings).unwrap();
    engine.set_fault(fault);
    engine
}

/// Guards against plans that differ between runs, have no bursts or no mix of prompt lengths, or
/// exceed the limits.
#[test]
fn plan_is_repeatable_and_bounded() {
    let mut settings = plan_settings(LoadProfile::Bureau, 100.0, 60.0);
    settings.services = true;
    let drawn = LoadPlan::generate(&settings).unwrap();
    assert_eq!(drawn, LoadPlan::generate(&settings).unwrap());
    let count = drawn.requests.len() as f64;
    assert!((5_400.0..6_600.0).contains(&count), "{count}");
    let burst = drawn.requests.iter().filter(|request| request.at_us % 10_000_000 < 2_000_000);
    let share = burst.count() as f64 / count;
    assert!((0.38..0.48).contains(&share), "{share} of the arrivals are in the bursts");
    let lengths = drawn.requests.iter().filter_map(|request| match &request.call {
        PlannedCall::Completion { prompt, .. } => Some(prompt.len()),
        PlannedCall::Service { .. } => None,
    });
    let (short, long) = lengths
        .fold((usize::MAX, 0), |(short, long), length| (short.min(length), long.max(length)));
    assert!(long / short >= 100, "{short} to {long} characters");
    assert!(LoadPlan::generate(&plan_settings(LoadProfile::Bureau, 1e6, 60.0)).is_err());
    assert!(run_load(&load_settings("http://10.0.0.1:80".to_owned(), settings)).is_err());
}

/// Guards against complete answers that are not counted, and against journals that are not read.
#[test]
fn complete_answers_count_as_goodput() {
    let engine = engine(FaultSet::default());
    let url = format!("http://{}", engine.address());
    let mut settings = load_settings(url.clone(), plan_settings(LoadProfile::Kerlouan, 20.0, 2.0));
    settings.targets = vec![url];
    let report = run_load(&settings).unwrap();
    let in_time: u64 = report.tiers.iter().map(|tier| tier.in_time).sum();
    assert_eq!(in_time, report.planned, "{report}");
    let prefill = report.prefill.unwrap();
    assert_eq!(prefill.dispatches, report.planned);
    assert_eq!((prefill.repeated_dispatches, prefill.discarded_tokens), (0, 0));
    assert!(prefill.cached_tokens > 0);
    assert!(report.tiers.iter().all(|tier| tier.first_token.count == tier.sent));
}

/// Guards against a check that does not detect tokens of another request.
#[test]
fn foreign_tokens_are_detected() {
    let engine = engine(FaultSet { crossed_frames: true, ..FaultSet::default() });
    let url = format!("http://{}", engine.address());
    let report =
        run_load(&load_settings(url, plan_settings(LoadProfile::Bureau, 10.0, 1.0))).unwrap();
    let foreign: u64 = report.tiers.iter().map(|tier| tier.foreign).sum();
    assert_eq!(foreign, report.planned, "{report}");
}

/// Guards against a cut stream that counts as complete or is not sent again.
#[test]
fn cut_streams_are_resent_and_reported() {
    let engine = engine(FaultSet { cut_after: Some(2), ..FaultSet::default() });
    let url = format!("http://{}", engine.address());
    let report =
        run_load(&load_settings(url, plan_settings(LoadProfile::Bureau, 10.0, 1.0))).unwrap();
    let sum = |count: fn(&_) -> u64| report.tiers.iter().map(count).sum::<u64>();
    assert_eq!(sum(|tier| tier.cut), report.planned, "{report}");
    let resent = sum(|tier| tier.resent.get("cut").copied().unwrap_or(0));
    assert_eq!(resent, 5 * report.planned);
    assert_eq!(engine.journal().dispatches.len() as u64, 6 * report.planned);
}

fn request_id(request: &Request) -> String {
    let id = request.headers().iter().find(|header| header.field.equiv("x-request-id"));
    id.unwrap().value.to_string()
}

/// Runs a stub of an entry that forwards completions to an engine and other calls to a service.
fn forward_requests(server: &Arc<GatedServer>, engine: String, service: String) {
    server.serve(move |request| {
        let base = if request.url().starts_with("/svc/") { &service } else { &engine };
        let url = format!("{base}{}", request.url());
        let id = request_id(request);
        let mut body = Vec::new();
        request.as_reader().read_to_end(&mut body).unwrap();
        let sent = ureq::post(&url).header("x-request-id", id).send(&body[..]);
        Response::from_data(sent.unwrap().into_body().read_to_vec().unwrap())
    });
}

/// Guards against calls of services that are not sent, checked or recorded.
#[test]
fn service_calls_are_part_of_the_load() {
    let engine = engine(FaultSet::default());
    let service = FakeService::spawn(ServiceSettings::named("s1", "depot")).unwrap();
    let server = Arc::new(GatedServer::bind());
    let base = |address| format!("http://{address}");
    forward_requests(&server, base(engine.address()), base(service.address()));
    let mut settings = plan_settings(LoadProfile::Bureau, 60.0, 1.0);
    settings.services = true;
    let report = run_load(&load_settings(server.url(), settings)).unwrap();
    let in_time: u64 = report.tiers.iter().map(|tier| tier.in_time).sum();
    assert_eq!(in_time, report.planned, "{report}");
    let calls = service.journal().dispatches;
    assert!(!calls.is_empty());
    for call in &calls {
        assert_eq!(call.path, "/svc/depot/orders");
        assert!(call.body.contains(&call.request_id));
    }
    assert_eq!(calls.len() + engine.journal().dispatches.len(), report.planned as usize);
}

/// Guards against a refused request that is not sent again, or is sent again before its retry-after
/// time.
#[test]
fn refusals_are_resent_after_their_retry_time() {
    const RETRY_AFTER_MS: u64 = 1_400;
    let server = Arc::new(GatedServer::bind());
    let refusals: Arc<Mutex<HashMap<String, Vec<Instant>>>> = Arc::default();
    let recorded = Arc::clone(&refusals);
    let early = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&early);
    server.serve(move |request| {
        let mut recorded = recorded.lock().unwrap();
        let times = recorded.entry(request_id(request)).or_default();
        let pause = Duration::from_millis(RETRY_AFTER_MS);
        if times.last().is_some_and(|last| last.elapsed() < pause) {
            counted.fetch_add(1, Ordering::AcqRel);
        }
        let error = json!({ "error": { "outcome": "not_run", "reason": "overloaded",
            "message": "", "request_id": "x", "retry_after_ms": RETRY_AFTER_MS } });
        times.push(Instant::now());
        Response::from_string(error.to_string()).with_status_code(503)
    });
    let mut settings = plan_settings(LoadProfile::Bureau, 4.0, 1.0);
    settings.seed = 3;
    let report = run_load(&load_settings(server.url(), settings)).unwrap();
    let refused: u64 = report.tiers.iter().map(|tier| tier.refused["overloaded"]).sum();
    assert_eq!(refused, report.planned, "{report}");
    let highest_tier = report.tiers.iter().find(|tier| tier.tier == 0).unwrap();
    // Three resends, each 1.4 s after a refusal, fit into 5 s. A fourth does not.
    assert_eq!(highest_tier.resent["overloaded"], 3 * highest_tier.sent);
    assert_eq!(early.load(Ordering::Acquire), 0);
    let refusals = refusals.lock().unwrap();
    assert_eq!(refusals.len() as u64, report.planned);
    assert!(refusals.values().all(|times| times.len() >= 4));
}
