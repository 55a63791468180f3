//! Dumps, metrics, readiness and bounds while the instance is under load.

use super::{commands, stage};
use burdockcleat_testbed::deployment::{Deployment, OPERATOR_TOKEN, ProcessSignal, wait_until};
use burdockcleat_testbed::probe::get;
use burdockcleat_testbed::stage::{DOCUMENT, StagePlan, TestStage};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

fn connect(url: &str) -> TcpStream {
    let socket = TcpStream::connect(url.trim_start_matches("http://")).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    socket
}

fn status_line(mut socket: TcpStream) -> String {
    let mut text = [0; 12];
    // A closed connection leaves the text empty.
    let _ = socket.read_exact(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

fn point(metrics: &Value, name: &str, labels: &[(&str, &str)]) -> u64 {
    let points = metrics[name]["points"].as_array().cloned().unwrap_or_default();
    let matches = |point: &&Value| labels.iter().all(|(key, value)| point["labels"][key] == *value);
    points.iter().filter(matches).map(|point| point["value"].as_u64().unwrap_or(0)).sum()
}

/// Guards against a dump that cannot be read when it is needed: while nobody confirms anything and
/// operators fill all threads.
#[test]
fn the_dump_answers_while_all_operators_wait() {
    let mut stage = stage(1, 1);
    let leader = stage.deployment.wait_leader().unwrap();
    let url = stage.deployment.control_url(leader);
    assert_eq!(get(&format!("{url}/readyz")).unwrap().status, 200);
    for index in (0..3).filter(|index| *index != leader) {
        stage.deployment.signal(&Deployment::control_name(index), ProcessSignal::Stop).unwrap();
    }
    let request = format!(
        "GET /v1/status HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {OPERATOR_TOKEN}\r\n\r\n"
    );
    let waiting: Vec<TcpStream> = (0..300)
        .map(|_| {
            let mut socket = connect(&url);
            socket.write_all(request.as_bytes()).unwrap();
            socket
        })
        .collect();
    for path in ["/v1/dump", "/v1/metrics"] {
        let asked = Instant::now();
        let answer = get(&format!("{url}{path}")).unwrap();
        println!("{path} answered after {} ms", asked.elapsed().as_millis());
        assert_eq!(answer.status, 200);
        assert!(asked.elapsed() < Duration::from_secs(2), "{path}: {:?}", asked.elapsed());
    }
    wait_until("the leader to be not ready", 5_000, || {
        get(&format!("{url}/readyz")).is_ok_and(|answer| answer.status == 503)
    })
    .unwrap();
    // Whether the leader refuses at once or after its timeout, it confirms nothing.
    for socket in waiting {
        let line = status_line(socket);
        assert!(line.ends_with("503") || line.ends_with("421"), "{line:?}");
    }
}

/// Guards against metrics that miss requests, and against a dump without its parts.
#[test]
fn metrics_count_requests_by_pool_and_tier() {
    let stage = stage(1, 1);
    for number in 0..5 {
        assert!(stage.completion(0, &format!("r-{number}"), 5).send().done);
    }
    let leader = stage.deployment.wait_leader().unwrap();
    let url = stage.deployment.control_url(leader);
    let labels = [("pool", "hinge-model"), ("tier", "1")];
    let mut metrics = Value::Null;
    wait_until("the finish reports", 5_000, || {
        metrics = get(&format!("{url}/v1/metrics")).unwrap().body;
        point(&metrics, "goodput", &labels) == 5
    })
    .unwrap();
    let completed = [labels[0], labels[1], ("outcome", "completed")];
    assert_eq!(point(&metrics, "requests", &completed), 5);
    for (name, least) in [
        ("config_version", 1),
        ("claims_total", 5),
        ("claims_limit", 2_000_000),
        ("leading", 1),
        ("lease_valid", 1),
        ("log_syncs", 1),
        ("entries", 1),
        ("targets", 2),
    ] {
        assert!(point(&metrics, name, &[]) >= least, "{name}: {metrics}");
    }
    assert_eq!((point(&metrics, "claims_open", &[]), point(&metrics, "orders_open", &[])), (0, 0));
    let dump = commands(&stage).run(&["dump", &url]).unwrap().json();
    for key in ["name", "replica", "state", "status", "log-bytes", "log-syncs", "orders-in-flight"]
    {
        assert!(!dump[key].is_null(), "{key}");
    }
}

/// Guards against shed requests that the metrics miss, or count in another pool or tier.
#[test]
fn metrics_count_what_is_shed() {
    let plan = StagePlan { entries: 1, engines: 1, slots: 1, ..StagePlan::default() };
    let stage = TestStage::open(plan).unwrap();
    let leader = stage.deployment.wait_leader().unwrap();
    let text = DOCUMENT.replacen("queue-limit = 600", "queue-limit = 2", 1);
    assert_eq!(stage.deployment.apply(leader, 1, "short", &text).unwrap().status, 200);
    let answers = thread::scope(|scope| {
        let callers: Vec<_> = (0..10)
            .map(|number| {
                let call = stage.completion(0, &format!("r-{number}"), 60);
                scope.spawn(move || call.send())
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().unwrap()).collect::<Vec<_>>()
    });
    let refused = answers.iter().filter(|answer| answer.error["reason"] == "overloaded").count();
    let completed = answers.iter().filter(|answer| answer.done).count();
    let url = stage.deployment.control_url(leader);
    let metrics = get(&format!("{url}/v1/metrics")).unwrap().body;
    let labels = [("pool", "hinge-model"), ("tier", "1"), ("reason", "overloaded")];
    println!("{completed} completed, {refused} shed");
    assert!(refused > 0 && completed + refused == 10, "{answers:?}");
    assert_eq!(point(&metrics, "shed", &labels), refused as u64);
    assert_eq!(point(&metrics, "shed", &[]), refused as u64);
}

/// Guards against a sender that holds a connection, sends too much, or a form of another site.
#[test]
fn requests_are_bounded() {
    let stage = stage(1, 1);
    let url = stage.deployment.control_url(0);
    let send = |text: &str| {
        let mut socket = connect(&url);
        // The proxy may close the connection before everything is written.
        let _ = socket.write_all(text.as_bytes());
        status_line(socket)
    };
    let slow = thread::spawn({
        let mut socket = connect(&url);
        move || {
            let started = Instant::now();
            let _ = socket.write_all(b"POST /v1/config HTTP/1.1\r\ncontent-length: 50\r\n\r\nx");
            (status_line(socket), started.elapsed())
        }
    });
    let bearer = format!("authorization: Bearer {OPERATOR_TOKEN}\r\n");
    assert_eq!(
        send(&format!("GET /v1/dump HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(40_000))),
        "HTTP/1.1 413"
    );
    let json = format!("host: x\r\n{bearer}content-type: application/json\r\n");
    let head = format!("POST /v1/config HTTP/1.1\r\n{json}content-length: 9000000\r\n\r\n");
    assert_eq!(send(&(head + &" ".repeat(9_000_000))), "HTTP/1.1 413");
    let form = format!(
        "POST /v1/drain HTTP/1.1\r\nhost: x\r\n{bearer}content-type: text/plain\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    assert_eq!(send(&form), "HTTP/1.1 400");
    assert_eq!(send("GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n"), "HTTP/1.1 200");
    let (line, elapsed) = slow.join().unwrap();
    assert_eq!(line, "HTTP/1.1 408");
    assert!(elapsed < Duration::from_secs(15), "{elapsed:?}");
}
