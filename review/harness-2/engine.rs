//! Stand-in of an engine: registers, serves streams and plain requests, can crash and start again.

use crate::support::{Record, call, header, read_body, read_head, wall_ms};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// `heartbeat_interval_ms` of the deployments.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What an engine serves and how it answers.
#[derive(Clone)]
pub struct EngineProfile {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub slots: u32,
    /// Addresses that heartbeats go to, in turn.
    pub controls: Vec<SocketAddrV4>,
    /// Events of a stream and the pause between two.
    pub events: u64,
    pub event_pause: Duration,
    /// Time of a plain request.
    pub work: Duration,
}

/// Running lifetime of an engine.
pub struct Engine {
    alive: Arc<AtomicBool>,
    connections: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Engine {
    /// Starts a lifetime with a software version. The first heartbeat is sent at once.
    pub fn start(profile: &EngineProfile, version: &str, record: &Record) -> Self {
        let listener = loop {
            // The address may still be in use by connections of an earlier lifetime.
            match TcpListener::bind(profile.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        listener.set_nonblocking(true).expect("an engine's listener");
        let alive = Arc::new(AtomicBool::new(true));
        let connections: Arc<Mutex<HashMap<u64, TcpStream>>> = Arc::default();
        record.line(&format!("engine {} starts with version {version}", profile.id));
        let engine = Self { alive: alive.clone(), connections: connections.clone() };
        let (beats, beating) = (profile.clone(), alive.clone());
        let (beat_version, beat_record) = (version.to_owned(), record.clone());
        thread::spawn(move || {
            send_heartbeats(&beats, &beat_version, &beating, &beat_record);
        });
        let (profile, version, record) = (profile.clone(), version.to_owned(), record.clone());
        thread::spawn(move || {
            let mut next = 0;
            while alive.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).expect("a connection");
                stream.set_nodelay(true).expect("a connection");
                let key = next;
                next += 1;
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().expect("connections").insert(key, copy);
                }
                let (profile, version) = (profile.clone(), version.clone());
                let (record, alive) = (record.clone(), alive.clone());
                let connections = connections.clone();
                thread::spawn(move || {
                    serve(&profile, &version, stream, &alive, &record);
                    connections.lock().expect("connections").remove(&key);
                });
            }
        });
        engine
    }

    /// Ends the lifetime like a crash: nothing more is sent and all connections end.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().expect("connections").values() {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // The listener closes at its next look.
        thread::sleep(Duration::from_millis(10));
    }
}

/// Returns the body of a heartbeat.
pub fn heartbeat_body(profile: &EngineProfile, version: &str, born: u64, sequence: u64) -> String {
    format!(
        r#"{{"service":"{}","address":"{}","zone":"{}","version":"{version}","slot_count":{},"state":"ready","cold_remaining_ms":0,"sequence_number":{sequence},"born":{born}}}"#,
        profile.service, profile.address, profile.zone, profile.slots
    )
}

/// Sends heartbeats until the lifetime ends.
pub fn send_heartbeats(
    profile: &EngineProfile,
    version: &str,
    alive: &AtomicBool,
    record: &Record,
) {
    let born = wall_ms();
    let (mut preferred, mut acknowledged) = (0, false);
    for sequence in 1.. {
        if !alive.load(Ordering::SeqCst) {
            return;
        }
        let body = heartbeat_body(profile, version, born, sequence);
        let path = format!("/api/instances/{}", profile.id);
        let count = profile.controls.len();
        for step in 0..count {
            let node = (preferred + step) % count;
            let control = profile.controls[node];
            let second = Duration::from_secs(1);
            let answer = call(control, "PUT", &path, &[], body.as_bytes(), second);
            if answer.is_some_and(|answer| answer.status == 200) {
                preferred = node;
                if !std::mem::replace(&mut acknowledged, true) {
                    record.line(&format!(
                        "engine {} version {version}: first heartbeat acknowledged by {control}",
                        profile.id
                    ));
                }
                break;
            }
        }
        thread::sleep(HEARTBEAT);
    }
}

fn serve(
    profile: &EngineProfile,
    version: &str,
    stream: TcpStream,
    alive: &AtomicBool,
    record: &Record,
) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    let mut writer = stream;
    while alive.load(Ordering::SeqCst) {
        let Some(head) = read_head(&mut reader) else { return };
        let (_, complete) = read_body(&mut reader, &head);
        if !complete {
            return;
        }
        if answer(profile, version, &head, &mut writer, alive, record).is_none() {
            return;
        }
    }
}

/// Answers one request. Returns `None` if the connection has ended.
fn answer(
    profile: &EngineProfile,
    version: &str,
    head: &str,
    writer: &mut TcpStream,
    alive: &AtomicBool,
    record: &Record,
) -> Option<()> {
    let attempt = header(head, "x-attempt-id").unwrap_or("-").to_owned();
    let common =
        format!("X-Attempt-Id: {attempt}\r\nX-Server-Signature: {}.{version}\r\n", profile.id);
    let expected = header(head, "x-expected-instance");
    if expected.is_some_and(|expected| expected != profile.id) {
        record.line(&format!("engine {}: rejects {attempt}, which expects another", profile.id));
        let text = format!(
            "HTTP/1.1 421 Misdirected\r\n{common}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        return writer.write_all(text.as_bytes()).ok();
    }
    let path = head.split(' ').nth(1).unwrap_or("/");
    if !path.contains("/stream") {
        record.line(&format!("engine {}: runs {attempt}", profile.id));
        thread::sleep(profile.work);
        let text = format!("HTTP/1.1 200 OK\r\n{common}Content-Length: 2\r\n\r\nok");
        return writer.write_all(text.as_bytes()).ok();
    }
    let from = header(head, "last-event-id").and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
    record.line(&format!(
        "engine {} version {version}: runs stream {attempt} after event {from}",
        profile.id
    ));
    let text = format!(
        "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(text.as_bytes()).ok()?;
    for id in from + 1..=profile.events {
        if !alive.load(Ordering::SeqCst) {
            return None;
        }
        let event = format!("id: {id}\ndata: {}/{version}/{id}\n\n", profile.id);
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).ok()?;
        thread::sleep(profile.event_pause);
    }
    writer.write_all(b"0\r\n\r\n").ok()
}
