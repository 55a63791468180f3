//! Tests of the connection proxy in front of a `tiny_http` server.

mod proxy_fixture;

use burdockcleat::entry::proxy::ProxyLimits;
use proxy_fixture::{ProxyFixture, closed_within, read_all};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

fn short_limits() -> ProxyLimits {
    ProxyLimits {
        connections: 8,
        request_bytes: 64 * 1024,
        head_bytes: 8 * 1024,
        receive_ms: 300,
        write_ms: 300,
        idle_ms: 300,
    }
}

/// Guards against a sender that occupies a thread by sending its request very slowly.
#[test]
fn slow_sender_is_refused() {
    let fixture = ProxyFixture::spawn(short_limits());
    let mut socket = fixture.connect();
    let start = Instant::now();
    let head = b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n";
    socket.write_all(head).unwrap();
    let mut trickle = socket.try_clone().unwrap();
    thread::spawn(move || {
        for _ in 0..100 {
            if trickle.write_all(b"a").is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
    let response = read_all(&mut socket);
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    assert!(response.contains("\"reason\":\"sender_timeout\""));
    assert!((250..1_500).contains(&start.elapsed().as_millis()));
    fixture.wait_empty();
    assert_eq!(
        fixture.complete_requests(),
        0,
        "the application accepted a truncated body as complete"
    );
}

/// Guards against connections that stay open without sending anything, either at all or after a
/// response.
#[test]
fn silent_connection_is_closed() {
    let fixture = ProxyFixture::spawn(short_limits());
    let start = Instant::now();
    let mut silent = fixture.connect();
    assert_eq!(read_all(&mut silent), "");
    let mut keep_alive = fixture.connect();
    keep_alive.write_all(b"GET /echo HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    assert!(read_all(&mut keep_alive).starts_with("HTTP/1.1 200 "));
    assert!((550..3_000).contains(&start.elapsed().as_millis()));
    fixture.wait_empty();
}

/// Guards against an idle timeout that cuts off a slow response.
#[test]
fn slow_response_is_not_idle() {
    let fixture = ProxyFixture::spawn(ProxyLimits { receive_ms: 5_000, ..short_limits() });
    let mut response = ureq::get(fixture.url("/events?count=3&pause=500")).call().unwrap();
    assert_eq!(response.body_mut().read_to_string().unwrap(), "event 0\nevent 1\nevent 2\n");
}

/// Guards against a head without end that exhausts memory.
#[test]
fn oversized_head_is_refused() {
    let fixture = ProxyFixture::spawn(short_limits());
    let mut socket = fixture.connect();
    let _ = socket.write_all(b"GET /echo HTTP/1.1\r\nx-long: ");
    let _ = socket.write_all(&[b'a'; 16 * 1024]);
    let response = read_all(&mut socket);
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
    fixture.wait_empty();
    assert_eq!(fixture.complete_requests(), 0);
}

/// Guards against a body above the limit, with and without a `content-length`.
#[test]
fn oversized_body_is_refused() {
    let fixture = ProxyFixture::spawn(short_limits());
    for framing in ["content-length: 100000", "transfer-encoding: chunked"] {
        let mut socket = fixture.connect();
        write!(socket, "POST /echo HTTP/1.1\r\nhost: x\r\n{framing}\r\n\r\n").unwrap();
        let chunk = format!("2710\r\n{}\r\n", "a".repeat(10_000));
        for _ in 0..8 {
            let _ = socket.write_all(chunk.as_bytes());
        }
        let response = read_all(&mut socket);
        assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
    }
    fixture.wait_empty();
    assert_eq!(fixture.complete_requests(), 0);
}

/// Guards against a size limit that counts the bytes of all requests of a connection together.
#[test]
fn size_limit_applies_to_each_request() {
    let limits = ProxyLimits { receive_ms: 5_000, idle_ms: 5_000, ..short_limits() };
    let fixture = ProxyFixture::spawn(limits);
    let agent = ureq::Agent::new_with_defaults();
    for _ in 0..5 {
        let mut response = agent.post(fixture.url("/echo")).send("b".repeat(40_000)).unwrap();
        assert_eq!(response.body_mut().read_to_string().unwrap().len(), 40_000);
    }
    assert_eq!(fixture.proxy.open_connections(), 1);
}

/// Guards against more connections, and thus more threads, than the limit.
#[test]
fn further_connections_are_refused() {
    let limits = ProxyLimits { idle_ms: 5_000, ..short_limits() };
    let fixture = ProxyFixture::spawn(limits);
    let held: Vec<_> = (0..8).map(|_| fixture.connect()).collect();
    fixture.wait_connections(8);
    let mut further = fixture.connect();
    further.write_all(b"GET /echo HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let response = read_all(&mut further);
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(response.contains("\"reason\":\"connection_limit\""));
    drop(held);
    fixture.wait_empty();
    assert_eq!(ureq::get(fixture.url("/echo")).call().unwrap().status(), 200);
}

/// Guards against a truncated stream that looks complete. The application ends its chunked body
/// right after the reset, and the caller must still see an error after the events that were sent.
#[test]
fn reset_is_an_error_for_the_client() {
    // On a busy machine, receiving a request may take longer than the short timeout.
    let fixture = ProxyFixture::spawn(ProxyLimits { receive_ms: 5_000, ..short_limits() });
    for _ in 0..50 {
        let response = ureq::get(fixture.url("/reset?count=3")).call().unwrap();
        let mut text = Vec::new();
        let end = response.into_body().into_reader().read_to_end(&mut text);
        assert!(end.is_err(), "the truncated stream ended without an error");
        assert_eq!(text, b"event 0\nevent 1\nevent 2\n");
    }
    fixture.wait_empty();
}

/// Guards against work for a caller that disconnected before the response started.
#[test]
fn disconnect_is_detected_before_the_response() {
    let fixture = ProxyFixture::spawn(short_limits());
    let mut socket = fixture.connect();
    socket.write_all(b"GET /wait-gone HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    fixture.wait_received();
    let start = Instant::now();
    drop(socket);
    let notified = fixture.disconnects.recv_timeout(Duration::from_secs(5)).unwrap();
    assert!(notified, "the handler was not notified");
    assert!(start.elapsed() < Duration::from_secs(1));
    fixture.wait_empty();
}

/// Guards against work for a caller that disconnected in the middle of a stream.
#[test]
fn disconnect_is_detected_during_a_stream() {
    let fixture = ProxyFixture::spawn(short_limits());
    let mut socket = fixture.connect();
    socket.write_all(b"GET /until-gone HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let mut start = [0; 64];
    assert!(socket.read(&mut start).unwrap() > 0);
    drop(socket);
    assert!(fixture.disconnects.recv_timeout(Duration::from_secs(5)).unwrap());
    fixture.wait_empty();
}

/// Guards against a caller that stops reading and thus occupies a connection and a thread.
#[test]
fn stalled_reader_is_reset() {
    let fixture = ProxyFixture::spawn(short_limits());
    let mut socket = fixture.connect();
    socket.write_all(b"GET /until-gone HTTP/1.1\r\nx-fill: 1\r\n\r\n").unwrap();
    assert!(fixture.disconnects.recv_timeout(Duration::from_secs(10)).unwrap());
    fixture.wait_empty();
    let mut text = Vec::new();
    assert!(socket.read_to_end(&mut text).is_err());
}

/// Guards against fast streams that starve other callers.
#[test]
fn fast_stream_leaves_room_for_others() {
    let fixture = ProxyFixture::spawn(ProxyLimits::default());
    let fast: Vec<_> = (0..4).map(|_| fixture.connect()).collect();
    let read_continuously = |mut socket: TcpStream| {
        socket.write_all(b"GET /until-gone HTTP/1.1\r\nx-fill: 1\r\n\r\n").unwrap();
        thread::spawn(move || {
            let mut buffer = vec![0; 256 * 1024];
            while socket.read(&mut buffer).is_ok_and(|length| length > 0) {}
        })
    };
    let readers: Vec<_> =
        fast.iter().map(|socket| read_continuously(socket.try_clone().unwrap())).collect();
    for _ in 0..20 {
        let start = Instant::now();
        assert_eq!(ureq::get(fixture.url("/echo")).call().unwrap().status(), 200);
        assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    }
    for (socket, reader) in fast.into_iter().zip(readers) {
        socket.shutdown(Shutdown::Both).unwrap();
        reader.join().unwrap();
        assert!(fixture.disconnects.recv_timeout(Duration::from_secs(10)).unwrap());
    }
}

/// Guards against connections of a burst that stay in the queue of the `tiny_http` thread pool
/// until one of the long streams before them ends.
#[test]
fn burst_of_long_streams_starts_at_once() {
    let fixture = ProxyFixture::spawn(ProxyLimits::default());
    let mut sockets: Vec<_> = (0..60).map(|_| fixture.connect()).collect();
    let start = Instant::now();
    for socket in &mut sockets {
        socket.write_all(b"GET /until-gone HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    }
    for socket in &mut sockets {
        assert!(socket.read(&mut [0; 64]).unwrap() > 0);
    }
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
}

/// Guards against callbacks that accumulate on a keep-alive connection or run for a later request.
#[test]
fn finished_request_drops_its_callback() {
    let fixture = ProxyFixture::spawn(ProxyLimits { idle_ms: 5_000, ..short_limits() });
    let (sender, calls) = channel();
    let mut socket = fixture.connect();
    fixture.set_hook(move |port, proxy| {
        let sender = sender.clone();
        proxy.on_gone(port, Box::new(move || sender.send(()).unwrap_or_default()));
    });
    socket.write_all(b"GET /echo HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let mut response = [0; 256];
    assert!(socket.read(&mut response).unwrap() > 0);
    thread::sleep(Duration::from_millis(100));
    drop(socket);
    fixture.wait_empty();
    assert!(calls.try_recv().is_err());
}

/// Guards against treating a half-closed sender as disconnected, and against missing that it closes
/// the connection completely later.
#[test]
fn half_closed_sender_gets_the_response() {
    // The response takes longer than the receive timeout. On a busy machine, receiving a request
    // that was sent in one write can take more than the 300 ms of the other tests.
    let fixture = ProxyFixture::spawn(ProxyLimits { receive_ms: 1_500, ..short_limits() });
    let mut socket = fixture.connect();
    let request = b"GET /events?count=2&pause=1900 HTTP/1.1\r\nhost: x\r\n\r\n";
    socket.write_all(request).unwrap();
    socket.shutdown(Shutdown::Write).unwrap();
    let response = read_all(&mut socket);
    let last = response.rsplit("HTTP/1.1 ").next().unwrap();
    assert!(last.starts_with("200 "), "{response}");
    assert!(last.contains("event 1\n") && last.ends_with("0\r\n\r\n"), "{response}");

    let fixture = ProxyFixture::spawn(short_limits());
    let mut socket = fixture.connect();
    socket.write_all(b"GET /wait-gone HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    socket.shutdown(Shutdown::Write).unwrap();
    fixture.wait_received();
    assert!(fixture.disconnects.recv_timeout(Duration::from_millis(400)).is_err());
    drop(socket);
    assert!(fixture.disconnects.recv_timeout(Duration::from_secs(5)).unwrap());
}

/// Guards against bytes of one stream that appear in another, and against lost bytes.
#[test]
fn concurrent_streams_stay_intact() {
    let fixture = ProxyFixture::spawn(ProxyLimits { connections: 256, ..ProxyLimits::default() });
    let (sender, results) = channel();
    for caller in 0..100_u32 {
        let (url, sender) =
            (fixture.url(&format!("/named?name=c{caller}&count=200")), sender.clone());
        thread::spawn(move || {
            let text = ureq::get(url).call().unwrap().body_mut().read_to_string().unwrap();
            let expected: String =
                (0..200).map(|index| format!("c{caller} event {index}\n")).collect();
            let _ = sender.send(text == expected);
        });
    }
    drop(sender);
    let intact: Vec<bool> = results.iter().collect();
    assert_eq!(intact.len(), 100);
    assert!(intact.iter().all(|intact| *intact));
}

/// Guards against a graceful stop that cuts off running streams or still accepts connections.
#[test]
fn graceful_stop_finishes_streams() {
    let fixture = ProxyFixture::spawn(short_limits());
    let response = ureq::get(fixture.url("/events?count=3&pause=100")).call().unwrap();
    fixture.proxy.stop_accepting();
    let refused = |_| TcpStream::connect(fixture.proxy.address()).is_err();
    assert!((0..100).any(|round| {
        thread::sleep(Duration::from_millis(10));
        refused(round)
    }));
    let text = response.into_body().read_to_string().unwrap();
    assert_eq!(text, "event 0\nevent 1\nevent 2\n");
    assert!(closed_within(&fixture, Duration::from_secs(2)));
}
