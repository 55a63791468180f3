//! Malformed, oversized, slow and forged requests at an entry.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_testbed::probe::{SentCall, call_service, send_bytes};
use burdockcleat_testbed::stage::{CREDENTIAL, MODEL, StagePlan, TestStage, URGENT_CREDENTIAL};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(8);

fn stage() -> TestStage {
    TestStage::open(StagePlan { entries: 2, ..StagePlan::default() }).unwrap()
}

/// A request with a head of these lines and a body.
fn message(lines: &[&str], body: &str) -> Vec<u8> {
    let lines = lines.join("\r\n");
    let length = body.len();
    format!("{lines}\r\nhost: entry\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
}

/// Status and reason of an answer; the reason is empty unless the body is a typed error.
fn typed(answer: &str) -> (u16, String) {
    let last = answer.rfind("HTTP/1.1 ").map_or("", |start| &answer[start..]);
    let status = last.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    let body: Value = last
        .find('{')
        .and_then(|start| serde_json::from_str(last[start..].trim_end()).ok())
        .unwrap_or_default();
    (status, body["error"]["reason"].as_str().unwrap_or_default().to_owned())
}

/// Sends a completion with changed headers and body, and closes the sending half.
fn send(stage: &TestStage, lines: &[&str], body: &str) -> (u16, String) {
    let mut head = vec!["POST /v1/completions HTTP/1.1", "connection: close"];
    head.extend(lines);
    let url = stage.deployment.entry_url(0);
    typed(&send_bytes(&url, &message(&head, body), false, LIMIT).unwrap())
}

fn still_serves(stage: &TestStage, id: &str) -> SentCall {
    let sent = stage.completion(0, id, 5).send_timed();
    assert!(sent.answer.done, "the entry no longer serves: {sent:?}");
    sent
}

/// Guards against a malformed request that ends the process, goes to a target or gets no typed
/// error.
#[test]
fn malformed_requests_get_a_typed_error() {
    let stage = stage();
    let good = json!({ "model": MODEL, "prompt": "a", "max_tokens": 3 }).to_string();
    let auth = format!("authorization: Bearer {CREDENTIAL}");
    let expect = |lines: &[&str], body: &str, status: u16, reason: &str| {
        assert_eq!(send(&stage, lines, body), (status, reason.to_owned()), "{lines:?} {body:.60}");
    };
    expect(&[&auth], "{ not json", 400, "bad_request");
    expect(&[&auth], r#"{"model": 5, "prompt": []}"#, 400, "bad_request");
    expect(&[&auth], r#"{"model": "m", "prompt": "a", "max_tokens": -1}"#, 400, "bad_request");
    expect(&[], &good, 401, "unauthorized");
    expect(&["authorization: Bearer test-nobody"], &good, 401, "unauthorized");
    expect(&["authorization: Basic dGVzdA=="], &good, 401, "unauthorized");
    for deadline in ["0", "-5", "soon", "99999999999999999999", "1e3", ""] {
        expect(&[&auth, &format!("x-deadline-ms: {deadline}")], &good, 400, "bad_request");
    }
    expect(&[&auth, "x-idempotent: perhaps"], &good, 400, "bad_request");
    expect(&[&auth, &format!("x-request-id: {}", "i".repeat(129))], &good, 400, "bad_request");
    expect(&[&auth, "x-request-id: two words"], &good, 400, "bad_request");
    expect(&[&auth], &"x".repeat(2 << 20), 413, "too_large");
    assert_eq!(stage.dispatch_count(), 0, "a malformed request was dispatched");
    let unknown = json!({ "model": MODEL, "prompt": "a", "max_tokens": 3, "colour": [1] });
    assert_eq!(send(&stage, &[&auth, "x-shade: oak"], &unknown.to_string()).0, 200);
    still_serves(&stage, "after");
}

/// Guards against unknown paths that reach a target, and against paths that escape a rule.
#[test]
fn unknown_paths_and_methods_get_a_typed_error() {
    let stage = stage();
    let url = stage.deployment.entry_url(0);
    for path in ["/", "/v1/other", "/svc/nowhere/a", "/dump", "/readyz"] {
        let answer = call_service(&url, CREDENTIAL, "r-1", path, &json!({})).unwrap();
        assert_eq!((answer.status, &answer.body["error"]["reason"]), (404, &"no_route".into()));
    }
    let head =
        format!("POST /svc/depot-orders/../x HTTP/1.1\r\nauthorization: Bearer {CREDENTIAL}");
    let answer = send_bytes(&url, &message(&[&head, "connection: close"], "{}"), false, LIMIT);
    assert_eq!(typed(&answer.unwrap()), (400, "bad_request".to_owned()));
    assert_eq!(stage.service.journal().dispatch_count(), 0);
    still_serves(&stage, "after");
}

/// Guards against bytes that are not HTTP, heads without end, senders that stop half-way and
/// half-closed senders, each of which could hold a thread or end the process.
#[test]
fn broken_transports_are_answered_or_closed() {
    let stage = stage();
    let url = stage.deployment.entry_url(0);
    let send = |bytes: &[u8], half_close| send_bytes(&url, bytes, half_close, LIMIT).unwrap();
    for bytes in [&b"\x00\x01\x02\xff\r\n\r\n"[..], b"GET\r\n\r\n", b"\r\n\r\n\r\n"] {
        let answer = send(bytes, true);
        assert!(!answer.contains("200 OK"), "{answer}");
    }
    let long = format!("GET / HTTP/1.1\r\nx-long: {}\r\n\r\n", "a".repeat(64 << 10));
    assert_eq!(typed(&send(long.as_bytes(), false)), (413, "too_large".to_owned()));
    let cut = b"POST /v1/completions HTTP/1.1\r\nhost: entry\r\ncontent-length: 100\r\n\r\n{\"a\"";
    let answer = send(cut, true);
    assert!(!answer.contains("200 OK"), "{answer}");
    let body = json!({ "model": MODEL, "prompt": "half", "max_tokens": 5, "stream": true });
    let auth = format!("authorization: Bearer {CREDENTIAL}");
    let lines = ["POST /v1/completions HTTP/1.1", "connection: close", &auth];
    let answer = send(&message(&lines, &body.to_string()), true);
    assert!(answer.contains("[DONE]"), "a caller that closed its sending half got {answer}");
    assert_eq!(stage.dispatch_count(), 1);
    still_serves(&stage, "after");
}

/// Sends a head byte by byte without end and returns the answer.
fn send_slowly(address: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(15))).unwrap();
    let mut sender = stream.try_clone().unwrap();
    thread::spawn(move || {
        let head = b"POST /v1/completions HTTP/1.1\r\nx-slow: ";
        for byte in head.iter().chain([b'a'; 200].iter()) {
            if sender.write_all(&[*byte]).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
    });
    let mut answer = String::new();
    // The proxy may reset the connection behind its answer.
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// Guards against slow senders and idle connections that keep others from being served.
#[test]
fn slow_senders_and_idle_connections_hold_up_nobody() {
    let stage = stage();
    let address = stage.deployment.entry_url(0).trim_start_matches("http://").to_owned();
    let idle: Vec<_> = (0..200).map(|_| TcpStream::connect(&address).unwrap()).collect();
    let slow = thread::spawn(move || send_slowly(&address));
    let workers: Vec<_> =
        (0..16).map(|number| stage.completion(0, &format!("r-{number}"), 20).spawn()).collect();
    let mut calls: Vec<_> = workers.into_iter().map(|worker| worker.join().unwrap()).collect();
    assert!(calls.iter().all(|sent| sent.answer.done), "{calls:?}");
    let dump = stage.deployment.entry_dump(0).unwrap();
    assert!(dump["connections"].as_u64() >= Some(200), "{dump}");
    // The proxy gives a sender 10 s for one request.
    assert_eq!(typed(&slow.join().unwrap()), (408, "sender_timeout".to_owned()));
    drop(idle);
    calls.push(still_serves(&stage, "after"));
    assert_eq!(stage.contradictions(&calls), Vec::<String>::new());
}

/// Sends a probe over a connection that stays open, and reads the first bytes of the answer.
fn probe_on(mut stream: &TcpStream, limit: Duration) -> String {
    stream.set_read_timeout(Some(limit)).unwrap();
    stream.write_all(&message(&["GET /readyz HTTP/1.1"], "")).unwrap();
    let mut buffer = [0; 1_024];
    let count = stream.read(&mut buffer).unwrap_or_default();
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

/// Guards against operator connections that are left unserved in a burst while others stay open,
/// so that the balancer's probe fails and takes a healthy entry out of service.
#[test]
fn bursts_at_the_operator_port_are_all_served() {
    // Usual time limit of a balancer's probe.
    const PROBE_LIMIT: Duration = Duration::from_secs(2);
    let stage = stage();
    let url = stage.deployment.entry_operator_url(0);
    let address = url.trim_start_matches("http://");
    let mut kept = Vec::new();
    for _ in 0..10 {
        let burst: Vec<_> = (0..40).map(|_| TcpStream::connect(address).unwrap()).collect();
        let answers: Vec<String> = thread::scope(|scope| {
            let start = |stream| scope.spawn(move || probe_on(stream, PROBE_LIMIT));
            let probes: Vec<_> = burst.iter().map(start).collect();
            probes.into_iter().map(|probe| probe.join().unwrap()).collect()
        });
        let unserved = answers.iter().filter(|answer| !answer.starts_with("HTTP/1.1 200")).count();
        assert_eq!(unserved, 0, "of {} connections with {} open", burst.len(), kept.len());
        kept.extend(burst);
    }
}

/// Guards against a workspace that resumes, cancels or learns of another one's request by its id.
#[test]
fn a_forged_request_id_reaches_nothing_of_another_workspace() {
    let stage = stage();
    let running = stage.completion(0, "secret", 180).spawn();
    thread::sleep(Duration::from_millis(800));
    let mut forged = stage.completion(1, "secret", 8);
    forged.credential = URGENT_CREDENTIAL.into();
    forged.prompt = "Forged".into();
    // A hang-up of the forger must not cancel the other one's stream either.
    let url = stage.deployment.entry_url(1);
    let auth = format!("authorization: Bearer {URGENT_CREDENTIAL}");
    let body = json!({ "model": MODEL, "prompt": "Forged", "max_tokens": 8, "stream": true });
    let lines = ["POST /v1/completions HTTP/1.1", "x-request-id: secret", &auth];
    let mut stream = TcpStream::connect(url.trim_start_matches("http://")).unwrap();
    stream.write_all(&message(&lines, &body.to_string())).unwrap();
    drop(stream);
    thread::sleep(Duration::from_millis(300));
    let mut other = forged.clone();
    other.request_id = "other".into();
    let (forged, other) = (forged.send_timed(), other.send_timed());
    assert!(other.answer.done, "{other:?}");
    // The forger's own earlier attempt with this id may be recorded, but only that one.
    let text = format!("{:?}", forged.answer);
    assert!(!text.contains("clinic"), "{text}");
    assert!(["completed", "failed", "unknown"].contains(&forged.answer.outcome()), "{text}");
    let running = running.join().unwrap();
    assert!(running.answer.done, "{running:?}");
    assert_eq!(stage.contradictions(&[running, forged, other]), Vec::<String>::new());
    assert_eq!(stage.dispatch_count(), 3);
}
