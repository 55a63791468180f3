//! Streams of targets that never end.
#![allow(clippy::unwrap_used, reason = "a failed helper fails the test")]

use burdockcleat::entry::stream::{StreamItem, spawn_reader};
use burdockcleat::entry::upstream::TargetCall;
use burdockcleat::entry::workers::WorkerPool;
use burdockcleat_core::outcome::ReasonCode;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;
use ureq::http::Method;

const STREAM: &str = "stream-1";
const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Length of the text of each event, in bytes.
const TEXT_BYTES: usize = 16 << 10;
/// Bytes that may be under way to a handler that takes none: the queued events and the buffers of both
/// sockets.
const MAX_PENDING_BYTES: u64 = 32 << 20;
/// Time that a target has to send.
const SEND_TIME: Duration = Duration::from_secs(2);

/// Starts a target that sends events of one stream until the connection is closed, and calls it.
/// Returns the items of the stream and the number of bytes that the target has sent.
fn call_endless_target(limit: Option<u64>) -> (Receiver<StreamItem>, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let sent = Arc::new(AtomicU64::new(0));
    let counted = sent.clone();
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let _ = socket.read(&mut [0; 4096]).unwrap();
        socket.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n").unwrap();
        let text = "a".repeat(TEXT_BYTES);
        for index in 0.. {
            let event =
                format!("data: {{\"id\":\"{STREAM}\",\"index\":{index},\"text\":\"{text}\"}}\n\n");
            if socket.write_all(event.as_bytes()).is_err() {
                return;
            }
            counted.fetch_add(event.len() as u64, Ordering::Relaxed);
        }
    });
    let call = TargetCall {
        address,
        method: Method::POST,
        path: "/v1/completions".to_owned(),
        headers: Vec::new(),
        body: Arc::from(*b"{}"),
        timeout: WAIT_LIMIT,
    };
    let pool = WorkerPool::open("test");
    (spawn_reader(&pool, call, STREAM.to_owned(), limit, || true).unwrap(), sent)
}

/// Guards against a stream without end that is kept in memory while its caller is slow.
#[test]
fn a_stream_waits_for_a_slow_handler() {
    let (items, sent) = call_endless_target(None);
    thread::sleep(SEND_TIME);
    let pending = sent.load(Ordering::Relaxed);
    assert!(pending <= MAX_PENDING_BYTES, "{pending} bytes were taken from the target");
    drop(items);
}

/// Guards against a stream without end that is collected into one body.
#[test]
fn a_stream_that_is_collected_has_a_limit() {
    const LIMIT_BYTES: u64 = 1 << 20;
    let (items, _) = call_endless_target(Some(LIMIT_BYTES));
    let mut taken = 0;
    let reason = loop {
        match items.recv_timeout(WAIT_LIMIT).expect("an item") {
            StreamItem::Token(event) => taken += event["text"].as_str().unwrap().len() as u64,
            StreamItem::Broken(reason) => break reason,
            _ => {}
        }
        assert!(taken <= LIMIT_BYTES, "{taken} bytes");
    };
    assert_eq!(reason, ReasonCode::TooLarge);
    assert!(taken > LIMIT_BYTES / 2, "{taken} bytes");
}
