//! Case of streams that are taken up after a restart of all nodes.

use crate::engine::{Engine, EngineProfile};
use crate::support::{Deployment, Operator, Record, header, read_head, trouble};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Engines, with the slots of the deployment.
const ENGINES: usize = 18;
const SLOTS: u32 = 5;
/// Engines that crash and start again with the next version: a share of 0.17.
const CHANGED: usize = 3;
/// Streams of callers.
const STREAMS: usize = 60;
/// ORDER allows two streams with events of two versions.
const ALLOWED: usize = 2;
/// Time that a caller waits for its whole stream.
const DEADLINE: Duration = Duration::from_millis(15_000);

pub const DOCUMENT: &str = r#"{"version":4,"routes":[{"name":"r-s","hostname":"shop.example","path_prefix":"/s/","route_kind":"streaming","timeout_ms":15000,"target_latency_ms":400,"priority":0,"service":"llm","max_attempts":2,"auth_exempt":true,"session_affinity":true,"stream_resumption":true,"gap_target_ms":300}],"services":[{"name":"llm","health_path":"/health","connection_limit":390,"protocol":"h1","tls_enabled":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Events of one stream as its caller has them.
#[derive(Default)]
pub struct CallerStream {
    pub last: u64,
    versions: BTreeSet<String>,
    /// Attempt that brought the first event.
    first: Option<String>,
    pub complete: bool,
}

/// Pause of a caller before its retry, in ms; the sheet says "requester's retries: 1".
const RETRY_PAUSES_MS: [u64; 1] = [1_500];

/// Serves one stream for a caller: its first attempt and a retry at another node.
fn take_stream(number: usize, nodes: &[SocketAddrV4], record: &Record) -> CallerStream {
    let started = Instant::now();
    let mut stream = CallerStream::default();
    for attempt in 0..=RETRY_PAUSES_MS.len() {
        let left = DEADLINE.saturating_sub(started.elapsed());
        let node = nodes[(number + attempt) % nodes.len()];
        let id = format!("stream-{number}-{attempt}");
        let after = attempt_stream(&mut stream, &id, node, left, record);
        if stream.complete {
            break;
        }
        if let Some(pause_ms) = RETRY_PAUSES_MS.get(attempt) {
            thread::sleep(after.unwrap_or(Duration::from_millis(*pause_ms)));
        }
    }
    stream
}

/// Makes one attempt. Returns the time after which the node wants the caller to come back.
pub fn attempt_stream(
    stream: &mut CallerStream,
    id: &str,
    node: SocketAddrV4,
    left: Duration,
    record: &Record,
) -> Option<Duration> {
    let second = Duration::from_secs(1);
    let mut connection = TcpStream::connect_timeout(&SocketAddr::V4(node), second).ok()?;
    let gap = Duration::from_millis(2_400);
    let _ = connection.set_read_timeout(Some(gap));
    let mut request = format!(
        "POST /s/stream HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\nContent-Length: 2\r\n",
        left.as_millis()
    );
    if let Some(first) = &stream.first {
        request.push_str(&format!("Resumes: {first}\r\nLast-Event-Id: {}\r\n", stream.last));
    }
    request.push_str("\r\nhi");
    connection.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(connection);
    let head = read_head(&mut reader)?;
    let status = head.split(' ').nth(1).unwrap_or("-").to_owned();
    record.line(&format!("caller: {id} at {node} after event {}: {status}", stream.last));
    if status != "200" {
        // Callers honour times up to a third of what they have left.
        let after = header(&head, "retry-after").and_then(|text| text.parse::<f64>().ok());
        return after.map(|seconds| Duration::from_secs_f64(seconds).min(left / 3));
    }
    // Chunks and events end in lines; only the lines with ids and data matter here.
    let mut next = 0;
    for line in (&mut reader).lines() {
        let Ok(line) = line else { break };
        if let Some(text) = line.strip_prefix("id: ") {
            next = text.trim().parse().unwrap_or(0);
        } else if let Some(data) = line.strip_prefix("data: ") {
            if next != stream.last + 1 {
                record.line(&format!("caller: {id} got event {next} after {}", stream.last));
            }
            stream.last = next;
            stream.first.get_or_insert_with(|| id.to_owned());
            let version = data.split('/').nth(1).unwrap_or("-").to_owned();
            if stream.versions.insert(version.clone()) {
                record.line(&format!("caller: {id} holds events of {version} from event {next}"));
            }
        } else if line.trim() == "0" {
            stream.complete = true;
            break;
        }
    }
    None
}

/// All nodes are killed at once. While they are down, engines that crashed before start again under their
/// ids with another software version. Callers take up their streams.
pub fn version_from_memory(record: &Record) -> Option<bool> {
    let mut nodes = Deployment::prepare(3, 2, record);
    let operator = Operator { record };
    let count = nodes.nodes.len();
    let controls: Vec<_> = (0..count).map(|node| nodes.control(node)).collect();
    let frontends: Vec<_> = (0..count).map(|node| nodes.frontend(node)).collect();
    nodes.start_all();
    operator.put(&controls, 4, DOCUMENT, Duration::from_secs(15))?;
    let profile = |number: usize| EngineProfile {
        id: format!("i-{number}"),
        service: "llm".into(),
        zone: format!("zone-{}", number % 3),
        address: nodes.engine_address(number),
        slots: SLOTS,
        controls: controls.clone(),
        events: 90,
        event_pause: Duration::from_millis(100),
        work: Duration::ZERO,
    };
    let profiles: Vec<_> = (0..ENGINES).map(profile).collect();
    let engines: Vec<_> =
        profiles.iter().map(|profile| Engine::start(profile, "v1", record)).collect();
    thread::sleep(Duration::from_secs(5));
    // The nodes have written what they know of the engines to their disks.
    let streams: Arc<Mutex<Vec<CallerStream>>> = Arc::default();
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (frontends, record) = (frontends.clone(), record.clone());
            let streams = streams.clone();
            thread::spawn(move || {
                let stream = take_stream(number, &frontends, &record);
                streams.lock().expect("streams").push(stream);
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    let mut later = Vec::new();
    if trouble() {
        engines[..CHANGED].iter().for_each(Engine::crash);
        record.line("engines i-0, i-1 and i-2 have crashed");
        thread::sleep(Duration::from_millis(1_500));
        for node in 0..count {
            nodes.kill(node);
        }
        thread::sleep(Duration::from_millis(700));
        let changed = profiles[..CHANGED].iter();
        later.extend(changed.map(|profile| Engine::start(profile, "v2", record)));
        thread::sleep(Duration::from_millis(300));
        for node in 0..count {
            nodes.start(node, false);
        }
    }
    for caller in callers {
        caller.join().expect("a caller");
    }
    let streams = streams.lock().expect("streams");
    let mixed = streams.iter().filter(|stream| stream.versions.len() > 1).count();
    let complete = streams.iter().filter(|stream| stream.complete).count();
    record.line(&format!(
        "{} streams, {complete} complete, {mixed} with events of two versions, {ALLOWED} allowed",
        streams.len()
    ));
    for engine in engines.iter().chain(&later) {
        engine.crash();
    }
    Some(mixed > ALLOWED)
}
