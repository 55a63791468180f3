//! HTTP server loop and answer writers of the fake targets.

use crate::error::TestbedError;
use burdockcleat::entry::proxy::{ConnectionProxy, ProxyLimits, open_backend_listener};
use chunked_transfer::Encoder;
use serde::Serialize;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use tiny_http::{Header, Request, Response, Server};

/// Largest body that a fake reads.
const BODY_LIMIT: u64 = 16 * 1024 * 1024;
/// Bounds wide enough to leave all limiting to the entries under test.
const TARGET_LIMITS: ProxyLimits = ProxyLimits {
    connections: 4_096,
    request_bytes: BODY_LIMIT,
    head_bytes: 64 * 1024,
    receive_ms: 60_000,
    write_ms: 600_000,
    idle_ms: 600_000,
};

/// Handles one request on a thread of its own.
pub(crate) type RequestHandler = Arc<dyn Fn(Request, &CallerHandle) + Send + Sync>;

/// The connection that a request came over.
pub(crate) struct CallerHandle {
    proxy: Arc<ConnectionProxy>,
    port: u16,
}

impl CallerHandle {
    /// Reads the body up to the limit.
    pub(crate) fn read_body(&self, request: &mut Request) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        request.as_reader().take(BODY_LIMIT).read_to_end(&mut body)?;
        if self.proxy.mark_received(self.port) {
            Ok(body)
        } else {
            Err(io::Error::from(io::ErrorKind::ConnectionAborted))
        }
    }

    /// Resets the connection after what was sent so far.
    pub(crate) fn reset(&self) {
        self.proxy.reset(self.port);
    }

    /// Closes the target's listener and all its connections, like the end of a process.
    pub(crate) fn close_all(&self) {
        self.proxy.close();
    }
}

/// Accept loop with a thread per request, behind a connection proxy that can reset callers.
pub(crate) struct HttpLoop {
    server: Arc<Server>,
    proxy: Arc<ConnectionProxy>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl HttpLoop {
    pub(crate) fn bind(listen: SocketAddr, handler: RequestHandler) -> Result<Self, TestbedError> {
        if !listen.ip().is_loopback() {
            return Err(TestbedError::NotLoopback(listen));
        }
        let server = Server::from_listener(open_backend_listener()?, None)
            .map_err(|source| TestbedError::Bind { address: listen, source })?;
        let server = Arc::new(server);
        let backend = server.server_addr().to_ip().unwrap_or(listen);
        let proxy = Arc::new(ConnectionProxy::bind(listen, backend, TARGET_LIMITS)?);
        let stopped = Arc::new(AtomicBool::new(false));
        let accepting = RequestLoop {
            server: Arc::clone(&server),
            proxy: Arc::clone(&proxy),
            stopped: Arc::clone(&stopped),
            handler,
        };
        let thread = thread::Builder::new()
            .name("fake-http".to_owned())
            .spawn(move || accepting.run())
            .map_err(TestbedError::Thread)?;
        Ok(Self { server, proxy, stopped, thread: Some(thread) })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.proxy.address()
    }

    pub(crate) fn stop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        self.proxy.close();
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct RequestLoop {
    server: Arc<Server>,
    proxy: Arc<ConnectionProxy>,
    stopped: Arc<AtomicBool>,
    handler: RequestHandler,
}

impl RequestLoop {
    fn run(self) {
        while !self.stopped.load(Ordering::Acquire) {
            let Ok(request) = self.server.recv() else { continue };
            let Some(port) = request.remote_addr().map(SocketAddr::port) else { continue };
            let handle = CallerHandle { proxy: Arc::clone(&self.proxy), port };
            let handler = Arc::clone(&self.handler);
            let serve = move || {
                handler(request, &handle);
                handle.proxy.mark_finished(handle.port);
            };
            if let Err(error) = thread::Builder::new().name("fake-request".to_owned()).spawn(serve)
            {
                log::warn!(error:% = error; "no thread for a request");
            }
        }
    }
}

/// Value of a header, compared without regard to case.
pub(crate) fn header_value(request: &Request, name: &str) -> Option<String> {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.as_str().to_owned())
}

/// Answers with a JSON document.
pub(crate) fn respond_json<T: Serialize>(request: Request, status: u16, value: &T) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::from_data(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes("content-type", "application/json") {
        response.add_header(header);
    }
    if let Err(error) = request.respond(response) {
        log::debug!(error:% = error; "the client went away");
    }
}

/// Writer that flushes after each write.
///
/// The writer of `tiny_http` is buffered and is not flushed when it is dropped, so the last
/// chunk, which the encoder writes in its `drop`, would otherwise stay in the buffer.
struct FlushingWriter(Box<dyn Write + Send>);

impl Write for FlushingWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write_all(bytes)?;
        self.0.flush()?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// Writer of server-sent events that puts each event onto the socket at once.
pub(crate) struct EventWriter {
    encoder: Encoder<FlushingWriter>,
}

impl EventWriter {
    pub(crate) fn start(request: Request) -> io::Result<Self> {
        let mut writer = FlushingWriter(request.into_writer());
        writer.write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
              cache-control: no-store\r\ntransfer-encoding: chunked\r\n\r\n",
        )?;
        Ok(Self { encoder: Encoder::new(writer) })
    }

    /// Sends `data: <text>` as one event.
    pub(crate) fn send(&mut self, text: &str) -> io::Result<()> {
        write!(self.encoder, "data: {text}\n\n")?;
        self.encoder.flush()
    }
}
