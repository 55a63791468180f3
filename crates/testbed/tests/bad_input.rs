//! Tests of an entry that receives malformed, oversized, slow and forged requests.

#![allow(clippy::unwrap_used, reason = "a failed step of a test should panic")]

use burdockcleat_testbed::client::{TimedCall, call_service, send_bytes};
use burdockcleat_testbed::cluster::{
    CREDENTIAL, ClusterPlan, MODEL, TestCluster, URGENT_CREDENTIAL,
};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Time limit for an answer to a raw request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

fn stage() -> TestCluster {
    TestCluster::open(ClusterPlan { entries: 2, ..ClusterPlan::default() }).unwrap()
}

/// Builds an HTTP request from the lines of its head and its body.
fn http_request(lines: &[&str], body: &str) -> Vec<u8> {
    let lines = lines.join("\r\n");
    let length = body.len();
    format!("{lines}\r\nhost: entry\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
}

/// Returns the status and the reason of the last answer. The reason is empty unless the body is a
/// JSON error.
fn status_and_reason(answer: &str) -> (u16, String) {
    let last = answer.rfind("HTTP/1.1 ").map_or("", |start| &answer[start..]);
    let status = last.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    let body: Value = last
        .find('{')
        .and_then(|start| serde_json::from_str(last[start..].trim_end()).ok())
        .unwrap_or_default();
    (status, body["error"]["reason"].as_str().unwrap_or_default().to_owned())
}

/// Sends a completion with these extra header lines and this body. Returns the status and the
/// reason of the answer.
fn send_completion(stage: &TestCluster, lines: &[&str], body: &str) -> (u16, String) {
    let mut head = vec!["POST /v1/completions HTTP/1.1", "connection: close"];
    head.extend(lines);
    let url = stage.deployment.entry_url(0);
    status_and_reason(&send_bytes(&url, &http_request(&head, body), false, ANSWER_TIMEOUT).unwrap())
}

fn assert_still_serves(stage: &TestCluster, id: &str) -> TimedCall {
    let sent = stage.completion(0, id, 5).send_timed();
    assert!(sent.answer.done, "the entry stopped serving: {sent:?}");
    sent
}

/// Guards against a malformed request that stops the process, reaches a target or is answered
/// without an error reason.
#[test]
fn malformed_requests_are_refused_with_a_reason() {
    let stage = stage();
    let valid_body = json!({ "model": MODEL, "prompt": "a", "max_tokens": 3 }).to_string();
    let auth = format!("authorization: Bearer {CREDENTIAL}");
    let expect_refusal = |lines: &[&str], body: &str, status: u16, reason: &str| {
        assert_eq!(
            send_completion(&stage, lines, body),
            (status, reason.to_owned()),
            "{lines:?} {body:.60}"
        );
    };
    expect_refusal(&[&auth], "{ not json", 400, "bad_request");
    expect_refusal(&[&auth], r#"{"model": 5, "prompt": []}"#, 400, "bad_request");
    expect_refusal(
        &[&auth],
        r#"{"model": "m", "prompt": "a", "max_tokens": -1}"#,
        400,
        "bad_request",
    );
    expect_refusal(&[], &valid_body, 401, "unauthorized");
    expect_refusal(&["authorization: Bearer test-nobody"], &valid_body, 401, "unauthorized");
    expect_refusal(&["authorization: Basic dGVzdA=="], &valid_body, 401, "unauthorized");
    for deadline in ["0", "-5", "soon", "99999999999999999999", "1e3", ""] {
        expect_refusal(
            &[&auth, &format!("x-deadline-ms: {deadline}")],
            &valid_body,
            400,
            "bad_request",
        );
    }
    expect_refusal(&[&auth, "x-idempotent: perhaps"], &valid_body, 400, "bad_request");
    expect_refusal(
        &[&auth, &format!("x-request-id: {}", "i".repeat(129))],
        &valid_body,
        400,
        "bad_request",
    );
    expect_refusal(&[&auth, "x-request-id: two words"], &valid_body, 400, "bad_request");
    expect_refusal(&[&auth], &"x".repeat(2 << 20), 413, "too_large");
    assert_eq!(stage.dispatch_count(), 0, "a malformed request was dispatched");
    let unknown = json!({ "model": MODEL, "prompt": "a", "max_tokens": 3, "colour": [1] });
    assert_eq!(send_completion(&stage, &[&auth, "x-shade: oak"], &unknown.to_string()).0, 200);
    assert_still_serves(&stage, "after");
}

/// Guards against unknown paths that reach a target, and against paths that use `..` to leave the
/// path of a route.
#[test]
fn unknown_paths_are_refused_with_a_reason() {
    let stage = stage();
    let url = stage.deployment.entry_url(0);
    for path in ["/", "/v1/other", "/svc/nowhere/a", "/dump", "/readyz"] {
        let answer = call_service(&url, CREDENTIAL, "r-1", path, &json!({})).unwrap();
        assert_eq!((answer.status, &answer.body["error"]["reason"]), (404, &"no_route".into()));
    }
    let head =
        format!("POST /svc/depot-orders/../x HTTP/1.1\r\nauthorization: Bearer {CREDENTIAL}");
    let answer =
        send_bytes(&url, &http_request(&[&head, "connection: close"], "{}"), false, ANSWER_TIMEOUT);
    assert_eq!(status_and_reason(&answer.unwrap()), (400, "bad_request".to_owned()));
    assert_eq!(stage.service.journal().dispatch_count(), 0);
    assert_still_serves(&stage, "after");
}

/// Guards against input that occupies a thread forever or stops the process: bytes that are not
/// HTTP, a head that is too long, a body that ends early, and a connection that is half closed.
#[test]
fn invalid_and_truncated_requests_are_answered_or_closed() {
    let stage = stage();
    let url = stage.deployment.entry_url(0);
    let send =
        |bytes: &[u8], half_close| send_bytes(&url, bytes, half_close, ANSWER_TIMEOUT).unwrap();
    for bytes in [&b"\x00\x01\x02\xff\r\n\r\n"[..], b"GET\r\n\r\n", b"\r\n\r\n\r\n"] {
        let answer = send(bytes, true);
        assert!(!answer.contains("200 OK"), "{answer}");
    }
    let long = format!("GET / HTTP/1.1\r\nx-long: {}\r\n\r\n", "a".repeat(64 << 10));
    assert_eq!(status_and_reason(&send(long.as_bytes(), false)), (413, "too_large".to_owned()));
    let cut = b"POST /v1/completions HTTP/1.1\r\nhost: entry\r\ncontent-length: 100\r\n\r\n{\"a\"";
    let answer = send(cut, true);
    assert!(!answer.contains("200 OK"), "{answer}");
    let body = json!({ "model": MODEL, "prompt": "half", "max_tokens": 5, "stream": true });
    let auth = format!("authorization: Bearer {CREDENTIAL}");
    let lines = ["POST /v1/completions HTTP/1.1", "connection: close", &auth];
    let answer = send(&http_request(&lines, &body.to_string()), true);
    assert!(answer.contains("[DONE]"), "a caller that closed its sending half got {answer}");
    assert_eq!(stage.dispatch_count(), 1);
    assert_still_serves(&stage, "after");
}

/// Sends an incomplete head, one byte every 100 ms, and returns the answer.
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
    // The connection proxy may reset the connection after its answer.
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// Guards against slow senders and idle connections that block other requests.
#[test]
fn slow_senders_and_idle_connections_block_no_requests() {
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
    // The connection proxy allows 10 s for sending a request.
    assert_eq!(status_and_reason(&slow.join().unwrap()), (408, "sender_timeout".to_owned()));
    drop(idle);
    calls.push(assert_still_serves(&stage, "after"));
    assert_eq!(stage.inconsistencies(&calls), Vec::<String>::new());
}

/// Sends a readiness probe, leaves the connection open and returns the first bytes of the answer.
fn probe_readiness(mut stream: &TcpStream, timeout: Duration) -> String {
    stream.set_read_timeout(Some(timeout)).unwrap();
    stream.write_all(&http_request(&["GET /readyz HTTP/1.1"], "")).unwrap();
    let mut buffer = [0; 1_024];
    let count = stream.read(&mut buffer).unwrap_or_default();
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

/// Guards against a burst of operator connections of which some are not served while others stay
/// open. The probe of the load balancer would fail and take a healthy entry out of service.
#[test]
fn bursts_at_the_operator_port_are_all_served() {
    // Usual time limit of a load balancer's probe.
    const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
    let stage = stage();
    let url = stage.deployment.entry_operator_url(0);
    let address = url.trim_start_matches("http://");
    let mut kept = Vec::new();
    for _ in 0..10 {
        let burst: Vec<_> = (0..40).map(|_| TcpStream::connect(address).unwrap()).collect();
        let answers: Vec<String> = thread::scope(|scope| {
            let start = |stream| scope.spawn(move || probe_readiness(stream, PROBE_TIMEOUT));
            let probes: Vec<_> = burst.iter().map(start).collect();
            probes.into_iter().map(|probe| probe.join().unwrap()).collect()
        });
        let unserved = answers.iter().filter(|answer| !answer.starts_with("HTTP/1.1 200")).count();
        assert_eq!(unserved, 0, "of {} connections with {} open", burst.len(), kept.len());
        kept.extend(burst);
    }
}

/// Guards against a workspace that can resume, cancel or inspect a request of another workspace by
/// using its id.
#[test]
fn a_forged_request_id_gives_no_access_to_another_workspace() {
    let stage = stage();
    let running = stage.completion(0, "secret", 180).spawn();
    thread::sleep(Duration::from_millis(800));
    let mut forged = stage.completion(1, "secret", 8);
    forged.credential = URGENT_CREDENTIAL.into();
    forged.prompt = "Forged".into();
    // Closing the forging connection must not cancel the stream of the other workspace either.
    let url = stage.deployment.entry_url(1);
    let auth = format!("authorization: Bearer {URGENT_CREDENTIAL}");
    let body = json!({ "model": MODEL, "prompt": "Forged", "max_tokens": 8, "stream": true });
    let lines = ["POST /v1/completions HTTP/1.1", "x-request-id: secret", &auth];
    let mut stream = TcpStream::connect(url.trim_start_matches("http://")).unwrap();
    stream.write_all(&http_request(&lines, &body.to_string())).unwrap();
    drop(stream);
    thread::sleep(Duration::from_millis(300));
    let mut other = forged.clone();
    other.request_id = "other".into();
    let (forged, other) = (forged.send_timed(), other.send_timed());
    assert!(other.answer.done, "{other:?}");
    // The answer may report the earlier attempt of the forging workspace, but no other request.
    let text = format!("{:?}", forged.answer);
    assert!(!text.contains("clinic"), "{text}");
    assert!(["completed", "failed", "unknown"].contains(&forged.answer.outcome()), "{text}");
    let running = running.join().unwrap();
    assert!(running.answer.done, "{running:?}");
    assert_eq!(stage.inconsistencies(&[running, forged, other]), Vec::<String>::new());
    // The forging connection may close before its request is dispatched. Then only its claim exists,
    // which refuses another request with the same id.
    let claimed = text.contains("\"id_reused\"");
    let fewest = if claimed { 2 } else { 3 };
    assert!((fewest..=3).contains(&stage.dispatch_count()), "{} {text}", stage.dispatch_count());
}
