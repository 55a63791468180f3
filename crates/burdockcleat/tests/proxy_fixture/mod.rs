//! Test fixture: a connection proxy in front of a small `tiny_http` application.
#![allow(clippy::unwrap_used, reason = "a failed helper fails the test")]

use burdockcleat::entry::proxy::{ConnectionProxy, ProxyLimits, open_backend_listener};
use chunked_transfer::Encoder;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tiny_http::{Request, Response, Server};

/// Maximum time that a test waits for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Proxy, backend server and the reports of its handlers.
pub struct ProxyFixture {
    pub proxy: Arc<ConnectionProxy>,
    /// One message for each handler that waited for a disconnect: whether it was notified.
    pub disconnects: Receiver<bool>,
    server: Arc<Server>,
    hook: Arc<Mutex<Option<RequestHook>>>,
    complete: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
}

/// Called with the port of each complete request.
type RequestHook = Box<dyn Fn(u16, &ConnectionProxy) + Send>;

struct FixtureHandler {
    hook: Arc<Mutex<Option<RequestHook>>>,
    proxy: Arc<ConnectionProxy>,
    disconnects: Sender<bool>,
    complete: Arc<AtomicUsize>,
}

impl ProxyFixture {
    pub fn spawn(limits: ProxyLimits) -> Self {
        let server = Server::from_listener(open_backend_listener().unwrap(), None).unwrap();
        let server = Arc::new(server);
        let backend = server.server_addr().to_ip().unwrap();
        let proxy = ConnectionProxy::bind("127.0.0.1:0".parse().unwrap(), backend, limits).unwrap();
        let proxy = Arc::new(proxy);
        let (sender, disconnects) = channel();
        let (complete, stopped) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
        let hook = Arc::default();
        let handler = FixtureHandler {
            hook: Arc::clone(&hook),
            proxy: Arc::clone(&proxy),
            disconnects: sender,
            complete: Arc::clone(&complete),
        };
        let (handler, accepting, flag) =
            (Arc::new(handler), Arc::clone(&server), Arc::clone(&stopped));
        thread::spawn(move || {
            while !flag.load(Ordering::Acquire) {
                let Ok(request) = accepting.recv() else { continue };
                let handler = Arc::clone(&handler);
                thread::spawn(move || handler.serve(request));
            }
        });
        Self { proxy, disconnects, server, hook, complete, stopped }
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.proxy.address())
    }

    /// Sets a function that the handlers call for each complete request.
    pub fn set_hook(&self, hook: impl Fn(u16, &ConnectionProxy) + Send + 'static) {
        *self.hook.lock().unwrap() = Some(Box::new(hook));
    }

    pub fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(self.proxy.address()).unwrap();
        socket.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        socket
    }

    /// Returns the number of requests that the application accepted as complete.
    pub fn complete_requests(&self) -> usize {
        self.complete.load(Ordering::Acquire)
    }

    /// Waits until the application has accepted a request as complete.
    pub fn wait_received(&self) {
        let before = Instant::now();
        while self.complete_requests() == 0 && before.elapsed() < WAIT_LIMIT {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(20));
    }

    /// Waits until all connections are closed.
    pub fn wait_empty(&self) {
        self.wait_connections(0);
    }

    pub fn wait_connections(&self, count: usize) {
        let before = Instant::now();
        while self.proxy.open_connections() != count {
            assert!(before.elapsed() < WAIT_LIMIT, "{} connections", self.proxy.open_connections());
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for ProxyFixture {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        self.server.unblock();
    }
}

/// Returns whether all connections close within `limit`.
pub fn closed_within(fixture: &ProxyFixture, limit: Duration) -> bool {
    let before = Instant::now();
    while fixture.proxy.open_connections() > 0 {
        if before.elapsed() > limit {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
    true
}

/// Reads until the end of the stream or a reset.
pub fn read_all(socket: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    if let Err(error) = socket.read_to_end(&mut bytes) {
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset, "no end in time");
    }
    String::from_utf8(bytes).unwrap()
}

/// Writer that flushes after each write, so that the final chunk is sent too.
struct Flushing(Box<dyn Write + Send>);

impl Write for Flushing {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write_all(bytes)?;
        self.0.flush()?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl FixtureHandler {
    fn serve(&self, mut request: Request) {
        let port = request.remote_addr().unwrap().port();
        let mut body = Vec::new();
        let complete = request.as_reader().read_to_end(&mut body).is_ok();
        if !complete || !self.proxy.mark_received(port) {
            return;
        }
        self.complete.fetch_add(1, Ordering::AcqRel);
        if let Some(hook) = &*self.hook.lock().unwrap() {
            hook(port, &self.proxy);
        }
        let url = request.url().to_owned();
        let value = |name: &str| {
            let query = url.split_once('?').map_or("", |(_, query)| query);
            let found = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")));
            found.unwrap_or_default().to_owned()
        };
        let number = |name: &str| value(name).parse::<u64>().unwrap_or(0);
        match url.split('?').next().unwrap() {
            "/echo" => drop(request.respond(Response::from_data(body))),
            "/events" => {
                thread::sleep(Duration::from_millis(number("pause")));
                drop(self.events(request, "", number("count"), number("pause")));
            }
            "/named" => {
                drop(self.events(request, &format!("{} ", value("name")), number("count"), 1));
            }
            "/reset" => {
                let encoder = self.events(request, "", number("count"), 0);
                self.proxy.reset(port);
                drop(encoder);
            }
            "/wait-gone" => {
                let (sender, receiver) = channel();
                self.proxy.on_gone(
                    port,
                    Box::new(move || {
                        let _ = sender.send(());
                    }),
                );
                let notified = receiver.recv_timeout(WAIT_LIMIT).is_ok();
                let _ = self.disconnects.send(notified && self.proxy.caller_gone(port));
                drop(request);
            }
            "/until-gone" => {
                let fills = request.headers().iter().any(|header| header.field.equiv("x-fill"));
                let filler = vec![b'x'; 1 << 20];
                let mut encoder = self.events(request, "", 1, 0);
                let start = Instant::now();
                while !self.proxy.caller_gone(port) && start.elapsed() < WAIT_LIMIT {
                    let sent = if fills {
                        // Large writes keep the proxy's sockets ready. They bypass the chunk
                        // encoder, since the reader ignores the framing.
                        encoder.get_mut().write_all(&filler)
                    } else {
                        encoder.write_all(b"more\n").and_then(|()| encoder.flush())
                    };
                    drop(sent);
                    thread::sleep(Duration::from_millis(if fills { 0 } else { 10 }));
                }
                let _ = self.disconnects.send(self.proxy.caller_gone(port));
            }
            _ => drop(request.respond(Response::empty(404))),
        }
        self.proxy.mark_finished(port);
    }

    fn events(&self, request: Request, prefix: &str, count: u64, pause: u64) -> Encoder<Flushing> {
        let mut writer = Flushing(request.into_writer());
        let _ = writer.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        let mut encoder = Encoder::new(writer);
        for index in 0..count {
            let _ = writeln!(encoder, "{prefix}event {index}").and_then(|()| encoder.flush());
            thread::sleep(Duration::from_millis(pause));
        }
        encoder
    }
}
