//! Tests of the fake engine over HTTP.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

mod common;

use burdockcleat_testbed::announce::TargetAnnouncement;
use burdockcleat_testbed::engine::{EngineSettings, FakeEngine};
use burdockcleat_testbed::prompt::token_text;
use common::{ControlStub, complete, stream_events};
use std::thread;
use std::time::{Duration, Instant};

fn fast_engine() -> EngineSettings {
    let mut settings = EngineSettings::named("e1", "models");
    settings.prefill_rate = 100_000.0;
    settings.decode_rate = 500.0;
    settings
}

/// Guards against a stream with missing or repeated tokens, with tokens of another request, or
/// without a final event.
#[test]
fn stream_has_exactly_its_own_tokens() {
    let engine = FakeEngine::spawn(fast_engine()).unwrap();
    let prompt = "a".repeat(640);
    let events = complete(engine.address(), "r1", &prompt, 10);
    assert_eq!(events.len(), 12);
    for (index, event) in events[..10].iter().enumerate() {
        assert_eq!(event["id"], "r1");
        assert_eq!(event["index"], index);
        assert_eq!(event["text"], token_text(&prompt, index as u32));
    }
    assert_eq!(events[10]["usage"]["prompt_tokens"], 160);
    assert_eq!(events[10]["usage"]["cached_tokens"], 0);
    assert_eq!(events[11], "[DONE]");
    assert_eq!(engine.journal().dispatches.len(), 1);
}

/// Guards against a prefix cache that is not used, and against a resumed stream that lacks events.
#[test]
fn prefix_is_cached_and_stream_resumes() {
    let engine = FakeEngine::spawn(fast_engine()).unwrap();
    let prompt = "b".repeat(640);
    complete(engine.address(), "r1", &prompt, 4);
    let events = complete(engine.address(), "r2", &prompt, 4);
    assert_eq!(events[4]["usage"]["cached_tokens"], 159);
    let url = format!("http://{}/v1/streams/r1?after=2", engine.address());
    let resumed = stream_events(ureq::get(&url).call().unwrap()).unwrap();
    assert_eq!(resumed[0]["index"], 2);
    assert_eq!(resumed.len(), 4);
    let unknown = ureq::get(&url.replace("r1", "r9")).call();
    assert!(matches!(unknown, Err(ureq::Error::StatusCode(404))));
}

/// Guards against announcements that ignore a redirect to the leader.
#[test]
fn announcement_follows_the_leader() {
    let leader = ControlStub::spawn(None);
    let follower = ControlStub::spawn(Some(leader.url()));
    let mut settings = fast_engine();
    settings.target.control_urls = vec![follower.url()];
    settings.target.heartbeat_ms = 50;
    let mut engine = FakeEngine::spawn(settings).unwrap();
    let body = leader.wait_for_post("/v1/targets/announce", Duration::from_secs(5));
    let announcement: TargetAnnouncement = serde_json::from_value(body).unwrap();
    assert_eq!(announcement.name, "e1");
    assert_eq!(announcement.address, engine.address().to_string());
    assert!(engine.leave());
    let leave = leader.wait_for_post("/v1/targets/leave", Duration::from_secs(5));
    assert_eq!(leave["incarnation"], announcement.incarnation);
}

/// Guards against a report lag without effect, and against load reports that never show the load.
#[test]
fn load_reports_are_delayed_by_the_lag() {
    let control = ControlStub::spawn(None);
    let mut settings = fast_engine();
    settings.decode_rate = 50.0;
    settings.target.control_urls = vec![control.url()];
    settings.target.heartbeat_ms = 50;
    settings.target.report_lag_ms = 600;
    let engine = FakeEngine::spawn(settings).unwrap();
    let address = engine.address();
    let busy = thread::spawn(move || complete(address, "r1", "busy", 60));
    let begin = Instant::now();
    let mut delay = None;
    while delay.is_none() && begin.elapsed() < Duration::from_secs(5) {
        let body = control.wait_for_post("/v1/targets/announce", Duration::from_secs(5));
        delay = (body["load"]["running"] == 1).then(|| begin.elapsed());
    }
    let delay = delay.unwrap();
    assert!((500..1_500).contains(&delay.as_millis()), "{delay:?}");
    busy.join().unwrap();
}

/// Guards against a target that keeps announcing itself to a control instance that is down.
#[test]
fn announcement_skips_a_dead_instance() {
    let control = ControlStub::spawn(None);
    let mut settings = fast_engine();
    settings.target.control_urls = vec!["http://127.0.0.1:9".to_owned(), control.url()];
    // The next heartbeat is later than the time limit of this test, so the first announcement must
    // try the second instance.
    settings.target.heartbeat_ms = 60_000;
    let _engine = FakeEngine::spawn(settings).unwrap();
    control.wait_for_post("/v1/targets/announce", Duration::from_secs(10));
}
