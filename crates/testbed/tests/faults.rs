//! Tests of the faults, cancellation, orders and limits of the fake targets.
#![allow(clippy::unwrap_used, reason = "a failed helper fails the test")]

mod common;

use burdockcleat_testbed::announce::TargetAnnouncement;
use burdockcleat_testbed::engine::{EngineSettings, FakeEngine};
use burdockcleat_testbed::journal::DispatchEnd;
use burdockcleat_testbed::service::{FakeService, ServiceSettings};
use common::{ControlStub, complete, set_fault, start_completion, stream_events};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

fn engine(decode_rate: f64) -> FakeEngine {
    let mut settings = EngineSettings::named("e1", "models");
    settings.prefill_rate = 100_000.0;
    settings.decode_rate = decode_rate;
    settings.order_ms = 1;
    settings.buffer_events = 32;
    FakeEngine::spawn(settings).unwrap()
}

fn send_order(address: SocketAddr, id: &str, fencing: u64) -> u16 {
    let body = json!({ "order_id": id, "fencing": fencing, "kind": "load_model", "model": "m2" });
    let answer = ureq::post(&format!("http://{address}/v1/orders")).send_json(&body);
    match answer {
        Ok(response) => response.status().as_u16(),
        Err(ureq::Error::StatusCode(status)) => status,
        Err(error) => panic!("{error}"),
    }
}

/// Guards against a cut stream that looks like a complete one, and against one that cannot be
/// resumed.
#[test]
fn cut_stream_is_an_error_and_resumes() {
    let engine = engine(500.0);
    set_fault(engine.address(), &json!({ "cut_after": 3 }));
    let response = start_completion(engine.address(), "r1", "cut me", 8).unwrap();
    assert!(stream_events(response).is_err());
    let url = format!("http://{}/v1/streams/r1?after=3", engine.address());
    let rest = stream_events(ureq::get(&url).call().unwrap()).unwrap();
    assert_eq!(rest.len(), 7);
    assert_eq!(rest[0]["index"], 3);
    assert_eq!(rest[6], "[DONE]");
    assert_eq!(engine.journal().dispatches.len(), 1, "a resume is not a dispatch");
}

/// Guards against an event buffer that grows without a limit.
#[test]
fn evicted_events_are_reported_as_gone() {
    let engine = engine(2_000.0);
    complete(engine.address(), "r1", "long", 60);
    let url = format!("http://{}/v1/streams/r1?after=0", engine.address());
    assert!(matches!(ureq::get(&url).call(), Err(ureq::Error::StatusCode(410))));
}

/// Guards against a cancelled request that stays in the batch, and against a cancelled stream that
/// ends like a complete one.
#[test]
fn cancel_ends_the_stream_without_done() {
    let engine = engine(50.0);
    let response = start_completion(engine.address(), "r1", "cancel me", 1_000).unwrap();
    thread::sleep(Duration::from_millis(200));
    let url = format!("http://{}/v1/streams/r1", engine.address());
    let answer: Value = ureq::delete(&url).call().unwrap().body_mut().read_json().unwrap();
    assert_eq!(answer["cancelled"], true);
    let events = stream_events(response).unwrap();
    assert!(!events.is_empty() && !events.contains(&json!("[DONE]")));
    let deadline = Instant::now() + Duration::from_secs(2);
    while engine.journal().ended(DispatchEnd::Cancelled) == 0 {
        assert!(Instant::now() < deadline, "the request still runs");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a crashed engine that still answers, keeps its port open or completes other
/// streams.
#[test]
fn crash_marker_stops_the_engine() {
    let engine = engine(50.0);
    set_fault(engine.address(), &json!({ "crash_marker": "poison" }));
    let other_stream = start_completion(engine.address(), "r1", "innocent", 1_000).unwrap();
    assert!(start_completion(engine.address(), "r2", "some poison here", 4).is_err());
    assert!(stream_events(other_stream).is_err());
    assert!(engine.is_crashed());
    let deadline = Instant::now() + Duration::from_secs(2);
    while TcpStream::connect(engine.address()).is_ok() {
        assert!(Instant::now() < deadline, "the port is still open");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a crossed-frames fault without effect. The tests of P3 in `docs/design.md` depend
/// on it.
#[test]
fn crossed_frame_carries_another_request() {
    let engine = engine(200.0);
    set_fault(engine.address(), &json!({ "crossed_frames": true }));
    let other = start_completion(engine.address(), "r1", "first", 200).unwrap();
    let events = complete(engine.address(), "r2", "second", 4);
    let foreign: Vec<_> =
        events.iter().filter(|event| event["id"].is_string() && event["id"] != "r2").collect();
    assert_eq!(foreign.len(), 1);
    assert_eq!(foreign[0]["id"], "r1");
    drop(other);
}

/// Guards against `error_status` and `straggler_factor` faults without effect.
#[test]
fn error_and_straggler_faults_take_effect() {
    let engine = engine(500.0);
    set_fault(engine.address(), &json!({ "error_status": 503 }));
    let refused = start_completion(engine.address(), "r1", "no", 4);
    assert!(matches!(refused, Err(ureq::Error::StatusCode(503))));
    set_fault(engine.address(), &json!({ "straggler_factor": 20.0 }));
    let begin = Instant::now();
    complete(engine.address(), "r2", "slow", 11);
    assert!(begin.elapsed() >= Duration::from_millis(350), "{:?}", begin.elapsed());
    assert_eq!(engine.journal().ended(DispatchEnd::Error), 1);
}

/// Guards against decoding that does not slow down with the size of the batch.
#[test]
fn larger_batch_decodes_slower() {
    let mut settings = EngineSettings::named("e1", "models");
    (settings.decode_rate, settings.batch_slowdown) = (200.0, 0.5);
    let engine = FakeEngine::spawn(settings).unwrap();
    let begin = Instant::now();
    complete(engine.address(), "alone", "a", 41);
    let alone = begin.elapsed();
    let begin = Instant::now();
    thread::scope(|scope| {
        for caller in 0..8 {
            let address = engine.address();
            scope.spawn(move || complete(address, &format!("b{caller}"), "b", 41));
        }
    });
    // Eight streams take 4.5 times the step time.
    assert!(begin.elapsed() > alone * 3, "{alone:?} alone, {:?} together", begin.elapsed());
}

/// Guards against a prefix cache that exceeds its size limit, removes the wrong blocks or does not
/// report its changes.
#[test]
fn cache_is_bounded_and_reports_removals() {
    let control = ControlStub::spawn(None);
    let mut settings = EngineSettings::named("e1", "models");
    settings.prefill_rate = 100_000.0;
    settings.cache_blocks = 4;
    settings.target.control_urls = vec![control.url()];
    settings.target.heartbeat_ms = 50;
    let engine = FakeEngine::spawn(settings).unwrap();
    let prompt = |letter: &str| letter.repeat(192);
    let cached = |id: &str, letter: &str| {
        let events = complete(engine.address(), id, &prompt(letter), 1);
        events[1]["usage"]["cached_tokens"].as_u64().unwrap()
    };
    assert_eq!(cached("r1", "a"), 0);
    assert_eq!(cached("r2", "b"), 0);
    // The cache keeps 4 of the 3 + 3 blocks: the three newest and the first one of the oldest.
    assert_eq!(cached("r3", "a"), 16);
    assert_eq!(engine.journal().dispatches[2].computed_tokens, 32);
    let mut sequences = Vec::new();
    let deadline = Instant::now() + Duration::from_secs(5);
    while sequences.len() < 5 && Instant::now() < deadline {
        let body = control.wait_for_post("/v1/targets/announce", Duration::from_secs(5));
        let announcement: TargetAnnouncement = serde_json::from_value(body).unwrap();
        sequences.extend(announcement.cache_events.iter().map(|event| event.sequence));
    }
    assert_eq!(sequences, [1, 2, 3, 4, 5]);
}

/// Guards against an engine that claims to enforce fencing and applies an outdated order, and
/// against one that applies an order twice.
#[test]
fn orders_are_fenced_applied_once_and_recorded() {
    let fenced = engine(500.0);
    assert_eq!(send_order(fenced.address(), "o1", 5), 200);
    assert_eq!(send_order(fenced.address(), "o1", 5), 200);
    assert_eq!(send_order(fenced.address(), "o0", 4), 409);
    let applied: Vec<_> = fenced.journal().orders.iter().map(|order| order.applied).collect();
    assert_eq!(applied, [true, false, false]);
    let mut settings = EngineSettings::named("e2", "models");
    (settings.target.enforces_fencing, settings.order_ms) = (false, 1);
    let unfenced = FakeEngine::spawn(settings).unwrap();
    assert_eq!(send_order(unfenced.address(), "o1", 5), 200);
    assert_eq!(send_order(unfenced.address(), "o0", 4), 200);
    assert!(unfenced.journal().orders[1].applied);
}

/// Guards against a frozen engine that still answers requests or announces itself.
#[test]
fn frozen_engine_is_silent_until_the_fault_ends() {
    let control = ControlStub::spawn(None);
    let mut settings = EngineSettings::named("e1", "models");
    settings.target.control_urls = vec![control.url()];
    settings.target.heartbeat_ms = 50;
    let engine = FakeEngine::spawn(settings).unwrap();
    control.wait_for_post("/v1/targets/announce", Duration::from_secs(5));
    set_fault(engine.address(), &json!({ "freeze": true }));
    thread::sleep(Duration::from_millis(200));
    while control.try_post().is_some() {}
    let address = engine.address();
    let frozen = thread::spawn(move || complete(address, "r1", "wait", 2));
    thread::sleep(Duration::from_millis(300));
    assert!(control.try_post().is_none());
    assert!(!frozen.is_finished());
    set_fault(engine.address(), &json!({}));
    assert_eq!(frozen.join().unwrap().len(), 4);
}

/// Guards against a service that omits calls from its journal, and against faults without effect.
#[test]
fn service_records_calls_and_faults() {
    let service = FakeService::spawn(ServiceSettings::named("s1", "services")).unwrap();
    let url = format!("http://{}/kits/7?x=1", service.address());
    let call = || ureq::post(&url).header("x-request-id", "r1").send("one kit");
    let answer: Value = call().unwrap().body_mut().read_json().unwrap();
    assert_eq!(answer["request_id"], "r1");
    set_fault(service.address(), &json!({ "error_status": 500 }));
    assert!(matches!(call(), Err(ureq::Error::StatusCode(500))));
    set_fault(service.address(), &json!({ "cut_after": 10 }));
    let cut = call().and_then(|mut response| response.body_mut().read_to_string());
    assert!(cut.is_err());
    set_fault(service.address(), &json!({ "latency_ms": 150 }));
    let begin = Instant::now();
    call().unwrap();
    assert!(begin.elapsed() >= Duration::from_millis(150));
    let journal = service.journal();
    assert_eq!(journal.dispatches.len(), 4);
    let first = &journal.dispatches[0];
    assert_eq!((&*first.path, &*first.body), ("/kits/7?x=1", "one kit"));
}
