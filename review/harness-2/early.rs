//! Case of an answer without a length whose engine crashes while the request is still on its way.

use crate::engine::{EngineProfile, send_heartbeats};
use crate::support::{Deployment, Operator, Record, header, read_answer, read_head, trouble};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DOCUMENT: &str = r#"{"version":4,"routes":[{"name":"r-o","hostname":"shop.example","path_prefix":"/o/","route_kind":"non_idempotent","timeout_ms":6000,"target_latency_ms":400,"priority":0,"service":"app","max_attempts":1,"auth_exempt":true,"session_affinity":false,"stream_resumption":false}],"services":[{"name":"app","health_path":"/health","connection_limit":130,"protocol":"h1","tls_enabled":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Orders that are sent at the same time.
const ORDERS: usize = 12;
/// Engines of the service. One of them crashes: a share of 0.25.
const ENGINES: usize = 4;
/// Size of the body of an order, in bytes.
const BODY_BYTES: usize = 400_000;
/// Bandwidth of the link to the engine, in bytes a second: 10 Mbit/s, that of one machine.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;
/// Bytes that the link passes on at a time.
const PACKET_BYTES: usize = 4_096;
/// Time after the orders were sent at which the engine crashes. Their bodies take 3.8 s.
const CRASH_AFTER: Duration = Duration::from_millis(900);
const FIRST_PART: &str = "order accepted; ";
const SECOND_PART: &str = "order refused after all";

/// The engine as a process of its own: `review-2 engine ADDRESS ANNOUNCED ID FOLDER START_MS CONTROL...`. It begins to
/// answer when it has the head of a request and ends its answer when it has the body.
pub fn run_engine(arguments: &[String]) -> Option<()> {
    let [address, announced, id, folder, start_ms, controls @ ..] = arguments else { return None };
    let record = Record::append(&Path::new(folder).join("record.txt"), start_ms.parse().ok()?);
    let listener = TcpListener::bind(address).ok()?;
    let controls: Vec<SocketAddrV4> =
        controls.iter().filter_map(|text| text.parse().ok()).collect();
    let profile = EngineProfile {
        id: id.clone(),
        service: "app".into(),
        zone: "zone-0".into(),
        address: announced.parse().ok()?,
        slots: 8,
        controls,
        events: 0,
        event_pause: Duration::ZERO,
        work: Duration::ZERO,
    };
    let beat_record = record.clone();
    thread::spawn(move || send_heartbeats(&profile, "v1", &AtomicBool::new(true), &beat_record));
    loop {
        let (stream, _) = listener.accept().ok()?;
        let (id, record) = (id.clone(), record.clone());
        thread::spawn(move || serve(&id, stream, &record));
    }
}

fn serve(id: &str, mut writer: TcpStream, record: &Record) -> Option<()> {
    let mut reader = BufReader::new(writer.try_clone().ok()?);
    let head = read_head(&mut reader)?;
    let attempt = header(&head, "x-attempt-id")?.to_owned();
    let length: usize = header(&head, "content-length")?.parse().ok()?;
    record.line(&format!("engine {id}: runs {attempt} and begins to answer"));
    let answer = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: {id}\r\n\r\n{FIRST_PART}"
    );
    writer.write_all(answer.as_bytes()).ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    writer.write_all(SECOND_PART.as_bytes()).ok()?;
    record.line(&format!("engine {id}: has answered {attempt}"));
    // The answer has no length and ends with its channel.
    writer.shutdown(Shutdown::Both).ok()
}

/// Link with a bandwidth between the nodes and the engine. It passes ends and resets on.
fn start_link(
    from: SocketAddrV4,
    to: SocketAddrV4,
    free_at: &Arc<Mutex<Instant>>,
    record: &Record,
) {
    let listener = TcpListener::bind(from).expect("the link's listener");
    let (free_at, record) = (free_at.clone(), record.clone());
    thread::spawn(move || {
        for node in listener.incoming().flatten() {
            let (free_at, record) = (free_at.clone(), record.clone());
            thread::spawn(move || pass_on(node, to, &free_at, &record));
        }
    });
}

fn pass_on(
    mut node: TcpStream,
    to: SocketAddrV4,
    free_at: &Mutex<Instant>,
    record: &Record,
) -> Option<()> {
    let mut engine =
        TcpStream::connect_timeout(&SocketAddr::V4(to), Duration::from_secs(1)).ok()?;
    let (mut from_engine, mut to_node) = (engine.try_clone().ok()?, node.try_clone().ok()?);
    let seen = record.clone();
    thread::spawn(move || {
        let mut bytes = [0; PACKET_BYTES];
        loop {
            match from_engine.read(&mut bytes) {
                Ok(0) => {
                    seen.line("link: an engine ended its channel in order");
                    let _ = to_node.shutdown(Shutdown::Write);
                    return;
                }
                Ok(count) if to_node.write_all(&bytes[..count]).is_ok() => {}
                // Closing both with unread bytes resets the node's connection.
                Ok(_) | Err(_) => {
                    seen.line("link: a channel was reset");
                    let _ = from_engine.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    });
    let mut bytes = [0; PACKET_BYTES];
    loop {
        let count = node.read(&mut bytes).ok().filter(|count| *count > 0)?;
        let time = Duration::from_secs_f64(count as f64 / LINK_BYTES_PER_S);
        let passed = {
            let mut free_at = free_at.lock().expect("the link");
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(passed.saturating_duration_since(Instant::now()));
        if engine.write_all(&bytes[..count]).is_err() {
            record.line("link: the engine's side resets what the node still sends");
            return None;
        }
    }
}

fn send_order(number: usize, node: SocketAddrV4, record: &Record) -> Option<bool> {
    let id = format!("order-{number}");
    let mut stream =
        TcpStream::connect_timeout(&SocketAddr::V4(node), Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let head = format!(
        "POST /o/early HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 6000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(&vec![b'o'; BODY_BYTES]).ok()?;
    record.line(&format!("caller: {id} was sent to {node}"));
    let answer = read_answer(&mut BufReader::new(stream));
    let Some(answer) = answer else {
        record.line(&format!("caller: {id} got no answer"));
        return Some(false);
    };
    let whole = answer.text() == format!("{FIRST_PART}{SECOND_PART}");
    record.line(&format!(
        "caller: {id} got {}, complete as framed: {}, \"{}\"",
        answer.status,
        answer.complete,
        answer.text()
    ));
    Some(answer.status == 200 && answer.complete && !whole)
}

/// Ends the engine's process also if a step fails.
struct EngineProcess(Child);

impl Drop for EngineProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An engine crashes while it answers orders whose bodies are still on their way. Its answers have no
/// length, so the callers get parts that look complete.
pub fn part_as_whole(record: &Record, folder: &str) -> Option<bool> {
    let mut nodes = Deployment::prepare(3, 1, record).of_quito();
    let operator = Operator { record };
    let controls: Vec<_> = (0..4).map(|node| nodes.control(node)).collect();
    nodes.start_all();
    operator.put(&controls, 4, DOCUMENT, Duration::from_secs(15))?;
    let program = std::env::current_exe().ok()?;
    let free_at = Arc::new(Mutex::new(Instant::now()));
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let (announced, real) = (nodes.engine_address(number), nodes.engine_address(50 + number));
        start_link(announced, real, &free_at, record);
        let mut arguments = vec!["engine".to_owned(), real.to_string(), announced.to_string()];
        arguments.extend([format!("i-{number}"), folder.to_owned(), record.start_ms().to_string()]);
        arguments.extend(controls.iter().map(ToString::to_string));
        let engine = Command::new(&program).args(arguments).stdin(Stdio::null()).spawn().ok()?;
        engines.push(EngineProcess(engine));
    }
    thread::sleep(Duration::from_secs(3));
    let callers: Vec<_> = (0..ORDERS)
        .map(|number| {
            let (node, record) = (nodes.frontend(number % 4), record.clone());
            thread::spawn(move || send_order(number, node, &record))
        })
        .collect();
    if trouble() {
        thread::sleep(CRASH_AFTER);
        engines[0].0.kill().ok()?;
        record.line("engine i-0 has crashed (SIGKILL)");
    }
    let results: Vec<_> = callers.into_iter().map(|caller| caller.join().ok().flatten()).collect();
    let parts = results.iter().filter(|result| **result == Some(true)).count();
    record.line(&format!("{parts} of {ORDERS} orders got a part of an answer as a whole one"));
    Some(parts > 0)
}
