//! Benchmark of the latency that the connection proxy adds to a request and to an event.
//!
//! Run with `cargo run --release -p burdockcleat --example proxy_latency`. Direct and proxied
//! rounds alternate, so that both see the same load on the machine.
#![allow(clippy::unwrap_used, reason = "a failed measurement ends the program")]

use burdockcleat::entry::proxy::{ConnectionProxy, ProxyLimits, open_backend_listener};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, LazyLock};
use std::thread;
use std::time::{Duration, Instant};
use tiny_http::{Request, Response, Server};

const ROUNDS: usize = 5;
const REQUESTS: usize = 2_000;
/// Number of concurrent streams. With 35 events a second each, they carry the 1,400 tokens a second
/// of one deployment.
const STREAMS: usize = 40;
const EVENTS: usize = 70;
const EVENT_PAUSE: Duration = Duration::from_micros(28_571);

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

fn main() {
    let server = Server::from_listener(open_backend_listener().unwrap(), None).unwrap();
    let server = Arc::new(server);
    let direct = server.server_addr().to_ip().unwrap();
    let limits = ProxyLimits::default();
    let proxy = ConnectionProxy::bind("127.0.0.1:0".parse().unwrap(), direct, limits).unwrap();
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            thread::spawn(move || serve(request));
        }
    });
    let mut results = [const { Vec::new() }; 6];
    for _ in 0..ROUNDS {
        for (position, address) in [direct, proxy.address()].into_iter().enumerate() {
            results[position].extend(request_times(address, true));
            results[2 + position].extend(request_times(address, false));
            results[4 + position].extend(event_times(address));
        }
    }
    let names = ["request, reused connection", "request, new connection", "event, 40 streams"];
    for (name, pair) in names.into_iter().zip(results.chunks_mut(2)) {
        let [direct, proxied] = pair else { continue };
        let ((direct_mid, direct_high), (proxied_mid, proxied_high)) =
            (percentiles(direct), percentiles(proxied));
        println!(
            "{name}: direct median {direct_mid:.1} us p99 {direct_high:.1} us, proxied median \
             {proxied_mid:.1} us p99 {proxied_high:.1} us, added median {:.1} us p99 {:.1} us",
            proxied_mid - direct_mid,
            proxied_high - direct_high,
        );
    }
}

fn serve(mut request: Request) {
    let mut body = Vec::new();
    let _ = request.as_reader().read_to_end(&mut body);
    if request.url() == "/echo" {
        let _ = request.respond(Response::from_data(body));
        return;
    }
    let mut writer = request.into_writer();
    let _ = writer.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n");
    for _ in 0..EVENTS {
        thread::sleep(EVENT_PAUSE);
        let now = START.elapsed().as_nanos();
        if writeln!(writer, "{now}").and_then(|()| writer.flush()).is_err() {
            return;
        }
    }
}

fn request_times(address: SocketAddr, reuse: bool) -> Vec<f64> {
    let mut reused = reuse.then(|| connect(address));
    let exchange = |_| {
        let start = Instant::now();
        match &mut reused {
            Some(socket) => echo(socket),
            None => echo(&mut connect(address)),
        }
        start.elapsed().as_secs_f64() * 1e6
    };
    (0..REQUESTS).map(exchange).collect()
}

fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(address).unwrap();
    socket.set_nodelay(true).unwrap();
    socket
}

fn echo(socket: &mut TcpStream) {
    let body = [b'x'; 200];
    let head = b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 200\r\n\r\n";
    socket.write_all(&[&head[..], &body].concat()).unwrap();
    let mut response = Vec::new();
    let mut buffer = [0; 4096];
    while !response.ends_with(&body) {
        let length = socket.read(&mut buffer).unwrap();
        assert!(length > 0, "the server closed the connection");
        response.extend_from_slice(&buffer[..length]);
    }
}

fn event_times(address: SocketAddr) -> Vec<f64> {
    let readers: Vec<_> = (0..STREAMS)
        .map(|_| {
            thread::spawn(move || {
                let mut socket = connect(address);
                socket.write_all(b"GET /events HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
                let lines = BufReader::new(socket).lines().map_while(Result::ok);
                let sent = lines.filter_map(|line| line.parse::<u128>().ok()).take(EVENTS);
                sent.map(|sent| (START.elapsed().as_nanos() - sent) as f64 / 1e3)
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    readers.into_iter().flat_map(|reader| reader.join().unwrap()).collect()
}

fn percentiles(values: &mut [f64]) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    let at = |share: f64| values[((values.len() - 1) as f64 * share) as usize];
    (at(0.5), at(0.99))
}
