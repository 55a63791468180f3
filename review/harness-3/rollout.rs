//! A roll-out that was reverted because of a passing trouble is ordered again with the same words.

use crate::deployment::{Deployment, ROLLOUT_CONTRACTS, wait_for};
use crate::engine::{Behaviour, Engine, Identity};
use crate::http::{self, Answer, Head};
use crate::record::Record;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const MACHINES: [(&str, bool); 4] = [("a", true), ("b", true), ("c", true), ("a", false)];
/// Engines of v1 and of v2. The two of v2 are 14 in 100; `srv_grey` may affect 15 in 100.
const OLDER: usize = 12;
const NEWER: usize = 2;
/// Part of their answers that are failures while the trouble lasts, in 100: the sheets have 45.
const FAILURES: u64 = 45;
const CALLERS: usize = 16;
const PAUSE_BETWEEN_REQUESTS: Duration = Duration::from_millis(60);
const WORK: Duration = Duration::from_millis(15);
const ORDER: &str = r#"{"service":"ledger","to":"v2","duration_s":12}"#;
const DURATION: Duration = Duration::from_secs(12);
/// Pause between the end of the first order and the second one. `ack_timeout_ms`, for which an order may be
/// sent again, is 5 s.
const PAUSE: Duration = Duration::from_secs(10);

const DOCUMENT: &str = r#"{"version":1,"routes":[{"name":"status","hostname":"agency.example","path_prefix":"/status/",
"route_kind":"idempotent","timeout_ms":1000,"target_latency_ms":120,"priority":2,"service":"ledger","max_attempts":2,
"auth_exempt":true}],"services":[{"name":"ledger","health_path":"/health","connection_limit":440}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t","api_keys":["k"]}]}"#;

/// Requests that engines of version v2 have run, and whether a part of them fails.
#[derive(Default)]
struct Newer {
    runs: AtomicU64,
    failing: AtomicBool,
}

fn behaviour(newer: Option<Arc<Newer>>) -> Box<Behaviour> {
    Box::new(move |_: &Engine, _, head: &Head, stream| {
        thread::sleep(WORK);
        let id = head.get("x-attempt-id").unwrap_or_default();
        let number = newer.as_ref().map_or(0, |newer| newer.runs.fetch_add(1, Ordering::SeqCst));
        let fails = newer.as_ref().is_some_and(|newer| newer.failing.load(Ordering::SeqCst))
            && number * FAILURES % 100 < FAILURES;
        let status = if fails { "500 Internal Server Error" } else { "200 OK" };
        let answer = format!(
            "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: 3e1b.07\r\nContent-Length: 4\r\n\r\ndone"
        );
        stream.write_all(answer.as_bytes()).is_ok()
    })
}

/// Starts engines of a version with the given numbers.
fn start_engines(
    deployment: &Deployment,
    numbers: std::ops::Range<usize>,
    version: &'static str,
    newer: Option<&Arc<Newer>>,
) -> Vec<Arc<Engine>> {
    let start = |number| {
        let identity = Identity {
            name: format!("engine-{number}"),
            address: deployment.engine(number),
            service: "ledger",
            version,
            zone: ["a", "b", "c"][number % 3],
            slots: 6,
            first_delay: Duration::ZERO,
        };
        Engine::start(identity, deployment.controls(), behaviour(newer.cloned()))
    };
    numbers.map(start).collect()
}

fn order(deployment: &Deployment, record: &Record, number: u32) {
    let post = |control| http::call(control, "POST", "/api/rollouts", &[], ORDER.as_bytes());
    wait_for("an acknowledged order", || {
        deployment.controls().into_iter().any(|control| {
            let answer = post(control);
            let status = answer.as_ref().map(|answer| answer.status);
            record.line(&format!("order {number}: {ORDER} answered {status:?}"));
            status == Some(200)
        })
    });
}

/// Reads the state of the service's roll-out.
fn state(deployment: &Deployment) -> Option<String> {
    let read = |control| http::call(control, "GET", "/api/rollouts/ledger", &[], b"");
    let answers = deployment.controls().into_iter().filter_map(read);
    let good: Option<Answer> = answers.into_iter().find(|answer| answer.status == 200);
    good.map(|answer| String::from_utf8_lossy(&answer.body).into_owned())
}

/// Waits until the order has ended or its deadline is over. Returns the last state.
fn await_end(deployment: &Deployment, record: &Record, number: u32) -> String {
    let end = Instant::now() + DURATION;
    loop {
        let now = state(deployment).unwrap_or_default();
        if !now.contains("in_progress") || Instant::now() >= end {
            record.line(&format!("order {number}: state {now}"));
            return now;
        }
        thread::sleep(Duration::from_millis(250));
    }
}

pub fn run(record: &Record, trouble: bool) -> bool {
    let deployment = Deployment::start(&MACHINES, ROLLOUT_CONTRACTS);
    let older = start_engines(&deployment, 0..OLDER, "v1", None);
    deployment.configure(DOCUMENT);
    deployment.wait_until_ready();
    let ended = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let node = deployment.callers(caller % MACHINES.len());
            let (ended, served) = (ended.clone(), served.clone());
            thread::spawn(move || {
                for turn in 0_u64.. {
                    if ended.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("r{caller}-{turn}");
                    let headers = [
                        ("Host", "agency.example"),
                        ("X-Attempt-Id", id.as_str()),
                        ("X-Deadline-Ms", "1000"),
                    ];
                    let answer = http::call(node, "GET", "/status/x", &headers, b"");
                    served.fetch_add(
                        u64::from(answer.is_some_and(|a| a.status == 200)),
                        Ordering::SeqCst,
                    );
                    thread::sleep(PAUSE_BETWEEN_REQUESTS);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));

    // First order. The new engines start with it; with trouble, a part of their answers are failures.
    let newer = Arc::new(Newer::default());
    newer.failing.store(trouble, Ordering::SeqCst);
    record.line(&format!("{FAILURES} in 100 answers of the engines of v2 are failures: {trouble}"));
    let mut engines = start_engines(&deployment, 20..20 + NEWER, "v2", Some(&newer));
    order(&deployment, record, 1);
    let first = await_end(&deployment, record, 1);
    if first.contains("reverted") {
        thread::sleep(Duration::from_secs(3));
        for engine in engines.drain(..) {
            thread::spawn(move || {
                engine.say_leave();
                thread::sleep(Duration::from_secs(2));
                engine.end();
            });
        }
    } else {
        // At the end of a roll-out the old engines stop without draining.
        for engine in older {
            thread::spawn(move || {
                engine.say_leave();
                engine.end();
            });
        }
    }
    thread::sleep(PAUSE);

    // The trouble is over. The same order again, with new engines where the others have left.
    newer.failing.store(false, Ordering::SeqCst);
    record.line("no failures from now on");
    if engines.is_empty() {
        start_engines(&deployment, 30..30 + NEWER, "v2", Some(&newer));
    }
    let before = newer.runs.load(Ordering::SeqCst);
    order(&deployment, record, 2);
    let ordered = Instant::now();
    let second = await_end(&deployment, record, 2);
    // An order has until its deadline, whatever its state is said to be before.
    thread::sleep((ordered + DURATION).saturating_duration_since(Instant::now()));
    let last = state(&deployment).unwrap_or_default();
    let runs = newer.runs.load(Ordering::SeqCst) - before;
    record.line(&format!("order 2: first state {second}, state at its deadline {last}"));
    record.line(&format!("engines of v2 ran {runs} requests in its time"));
    ended.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("a caller");
    }
    record.line(&format!("{} requests served in all", served.load(Ordering::SeqCst)));
    assert!(!first.contains("in_progress") && !first.is_empty(), "the first order did not end");
    !(last.contains("completed") && last.contains("\"v2\"") && runs > 0)
}
