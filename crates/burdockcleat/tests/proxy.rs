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

/// Guards against a sender that holds a thread by trickling its request.
#[test]
fn slow_sender_is_refused() {
    let stand = ProxyFixture::spawn(short_limits());
    let mut socket = stand.connect();
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
    let answer = read_all(&mut socket);
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert!(answer.contains("\"reason\":\"sender_timeout\""));
    assert!((250..1_500).contains(&start.elapsed().as_millis()));
    stand.wait_empty();
    assert_eq!(stand.whole_requests(), 0, "the application took a cut body for a whole one");
}

/// Guards against connections that never send anything, at first or after a response.
#[test]
fn silent_connection_is_closed() {
    let stand = ProxyFixture::spawn(short_limits());
    let start = Instant::now();
    let mut silent = stand.connect();
    assert_eq!(read_all(&mut silent), "");
    let mut kept = stand.connect();
    kept.write_all(b"GET /echo HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    assert!(read_all(&mut kept).starts_with("HTTP/1.1 200 "));
    assert!((550..3_000).contains(&start.elapsed().as_millis()));
    stand.wait_empty();
}

/// Guards against an idle limit that cuts a response which is only slow.
#[test]
fn slow_response_is_not_idle() {
    let stand = ProxyFixture::spawn(ProxyLimits { receive_ms: 5_000, ..short_limits() });
    let mut response = ureq::get(stand.url("/events?count=3&pause=500")).call().unwrap();
    assert_eq!(response.body_mut().read_to_string().unwrap(), "event 0\nevent 1\nevent 2\n");
}

/// Guards against a head without end that fills the memory.
#[test]
fn oversized_head_is_refused() {
    let stand = ProxyFixture::spawn(short_limits());
    let mut socket = stand.connect();
    let _ = socket.write_all(b"GET /echo HTTP/1.1\r\nx-long: ");
    let _ = socket.write_all(&[b'a'; 16 * 1024]);
    let answer = read_all(&mut socket);
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    stand.wait_empty();
    assert_eq!(stand.whole_requests(), 0);
}

/// Guards against a body larger than the limit, with a length and without one.
#[test]
fn oversized_body_is_refused() {
    let stand = ProxyFixture::spawn(short_limits());
    for framing in ["content-length: 100000", "transfer-encoding: chunked"] {
        let mut socket = stand.connect();
        write!(socket, "POST /echo HTTP/1.1\r\nhost: x\r\n{framing}\r\n\r\n").unwrap();
        let chunk = format!("2710\r\n{}\r\n", "a".repeat(10_000));
        for _ in 0..8 {
            let _ = socket.write_all(chunk.as_bytes());
        }
        let answer = read_all(&mut socket);
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    }
    stand.wait_empty();
    assert_eq!(stand.whole_requests(), 0);
}

/// Guards against a size count that adds up over the requests of one connection.
#[test]
fn size_limit_applies_to_each_request() {
    let limits = ProxyLimits { receive_ms: 5_000, idle_ms: 5_000, ..short_limits() };
    let stand = ProxyFixture::spawn(limits);
    let agent = ureq::Agent::new_with_defaults();
    for _ in 0..5 {
        let mut answer = agent.post(stand.url("/echo")).send("b".repeat(40_000)).unwrap();
        assert_eq!(answer.body_mut().read_to_string().unwrap().len(), 40_000);
    }
    assert_eq!(stand.proxy.open_connections(), 1);
}

/// Guards against more connections, and so more threads, than the limit.
#[test]
fn further_connections_are_refused() {
    let limits = ProxyLimits { idle_ms: 5_000, ..short_limits() };
    let stand = ProxyFixture::spawn(limits);
    let held: Vec<_> = (0..8).map(|_| stand.connect()).collect();
    stand.wait_connections(8);
    let mut further = stand.connect();
    further.write_all(b"GET /echo HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let answer = read_all(&mut further);
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("\"reason\":\"connection_limit\""));
    drop(held);
    stand.wait_empty();
    assert_eq!(ureq::get(stand.url("/echo")).call().unwrap().status(), 200);
}

/// Guards against a truncated stream that looks whole: the application ends its chunked body
/// right after the reset, and the caller must still see an error after the sent events.
#[test]
fn reset_is_an_error_for_the_client() {
    let stand = ProxyFixture::spawn(short_limits());
    for _ in 0..50 {
        let response = ureq::get(stand.url("/reset?count=3")).call().unwrap();
        let mut text = Vec::new();
        let end = response.into_body().into_reader().read_to_end(&mut text);
        assert!(end.is_err(), "the cut stream ended well");
        assert_eq!(text, b"event 0\nevent 1\nevent 2\n");
    }
    stand.wait_empty();
}

/// Guards against work for a caller that closed its connection while it waited.
#[test]
fn hang_up_is_noticed_before_the_response() {
    let stand = ProxyFixture::spawn(short_limits());
    let mut socket = stand.connect();
    socket.write_all(b"GET /wait-gone HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    stand.wait_marked();
    let start = Instant::now();
    drop(socket);
    let noticed = stand.gone.recv_timeout(Duration::from_secs(5)).unwrap();
    assert!(noticed, "the handler was not told");
    assert!(start.elapsed() < Duration::from_secs(1));
    stand.wait_empty();
}

/// Guards against work for a caller that closed its connection in the middle of a stream.
#[test]
fn hang_up_is_noticed_within_a_stream() {
    let stand = ProxyFixture::spawn(short_limits());
    let mut socket = stand.connect();
    socket.write_all(b"GET /until-gone HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let mut start = [0; 64];
    assert!(socket.read(&mut start).unwrap() > 0);
    drop(socket);
    assert!(stand.gone.recv_timeout(Duration::from_secs(5)).unwrap());
    stand.wait_empty();
}

/// Guards against a caller that stops reading and so holds a connection and a thread.
#[test]
fn stuck_reader_is_reset() {
    let stand = ProxyFixture::spawn(short_limits());
    let mut socket = stand.connect();
    socket.write_all(b"GET /until-gone HTTP/1.1\r\nx-fill: 1\r\n\r\n").unwrap();
    assert!(stand.gone.recv_timeout(Duration::from_secs(10)).unwrap());
    stand.wait_empty();
    let mut text = Vec::new();
    assert!(socket.read_to_end(&mut text).is_err());
}

/// Guards against a fast stream that keeps other callers from being served.
#[test]
fn fast_stream_leaves_room_for_others() {
    let stand = ProxyFixture::spawn(ProxyLimits::default());
    let fast: Vec<_> = (0..4).map(|_| stand.connect()).collect();
    let read_on = |mut socket: TcpStream| {
        socket.write_all(b"GET /until-gone HTTP/1.1\r\nx-fill: 1\r\n\r\n").unwrap();
        thread::spawn(move || {
            let mut buffer = vec![0; 256 * 1024];
            while socket.read(&mut buffer).is_ok_and(|length| length > 0) {}
        })
    };
    let readers: Vec<_> = fast.iter().map(|socket| read_on(socket.try_clone().unwrap())).collect();
    for _ in 0..20 {
        let start = Instant::now();
        assert_eq!(ureq::get(stand.url("/echo")).call().unwrap().status(), 200);
        assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    }
    for (socket, reader) in fast.into_iter().zip(readers) {
        socket.shutdown(Shutdown::Both).unwrap();
        reader.join().unwrap();
        assert!(stand.gone.recv_timeout(Duration::from_secs(10)).unwrap());
    }
}

/// Guards against connections of a burst that the thread pool of `tiny_http` leaves in its
/// queue until one of the long streams before them ends.
#[test]
fn burst_of_long_streams_starts_at_once() {
    let stand = ProxyFixture::spawn(ProxyLimits::default());
    let mut sockets: Vec<_> = (0..60).map(|_| stand.connect()).collect();
    let start = Instant::now();
    for socket in &mut sockets {
        socket.write_all(b"GET /until-gone HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    }
    for socket in &mut sockets {
        assert!(socket.read(&mut [0; 64]).unwrap() > 0);
    }
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
}

/// Guards against callbacks that pile up on a kept connection or fire for a later request.
#[test]
fn finished_request_drops_its_callback() {
    let stand = ProxyFixture::spawn(ProxyLimits { idle_ms: 5_000, ..short_limits() });
    let (sender, calls) = channel();
    let mut socket = stand.connect();
    stand.watch(move |port, proxy| {
        let sender = sender.clone();
        proxy.on_gone(port, Box::new(move || sender.send(()).unwrap_or_default()));
    });
    socket.write_all(b"GET /echo HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let mut answer = [0; 256];
    assert!(socket.read(&mut answer).unwrap() > 0);
    thread::sleep(Duration::from_millis(100));
    drop(socket);
    stand.wait_empty();
    assert!(calls.try_recv().is_err());
}

/// Guards against a half-closed sender that is taken for a hang-up, and against a proxy that
/// does not notice when that sender closes completely later.
#[test]
fn half_closed_sender_gets_the_answer() {
    // The answer outlasts the time to receive the request. A busy machine may need more than the
    // 300 ms of the other tests to take a request that was sent at once.
    let stand = ProxyFixture::spawn(ProxyLimits { receive_ms: 1_500, ..short_limits() });
    let mut socket = stand.connect();
    let request = b"GET /events?count=2&pause=1900 HTTP/1.1\r\nhost: x\r\n\r\n";
    socket.write_all(request).unwrap();
    socket.shutdown(Shutdown::Write).unwrap();
    let answer = read_all(&mut socket);
    let last = answer.rsplit("HTTP/1.1 ").next().unwrap();
    assert!(last.starts_with("200 "), "{answer}");
    assert!(last.contains("event 1\n") && last.ends_with("0\r\n\r\n"), "{answer}");

    let stand = ProxyFixture::spawn(short_limits());
    let mut socket = stand.connect();
    socket.write_all(b"GET /wait-gone HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    socket.shutdown(Shutdown::Write).unwrap();
    stand.wait_marked();
    assert!(stand.gone.recv_timeout(Duration::from_millis(400)).is_err());
    drop(socket);
    assert!(stand.gone.recv_timeout(Duration::from_secs(5)).unwrap());
}

/// Guards against bytes of one stream in another and against streams that lose bytes.
#[test]
fn concurrent_streams_stay_intact() {
    let stand = ProxyFixture::spawn(ProxyLimits { connections: 256, ..ProxyLimits::default() });
    let (sender, results) = channel();
    for caller in 0..100_u32 {
        let (url, sender) =
            (stand.url(&format!("/named?name=c{caller}&count=200")), sender.clone());
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
    assert!(intact.iter().all(|whole| *whole));
}

/// Guards against a graceful stop that cuts running streams or still accepts callers.
#[test]
fn graceful_stop_finishes_streams() {
    let stand = ProxyFixture::spawn(short_limits());
    let response = ureq::get(stand.url("/events?count=3&pause=100")).call().unwrap();
    stand.proxy.stop_accepting();
    let refused = |_| TcpStream::connect(stand.proxy.address()).is_err();
    assert!((0..100).any(|round| {
        thread::sleep(Duration::from_millis(10));
        refused(round)
    }));
    let text = response.into_body().read_to_string().unwrap();
    assert_eq!(text, "event 0\nevent 1\nevent 2\n");
    assert!(closed_within(&stand, Duration::from_secs(2)));
}
