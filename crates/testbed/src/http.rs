//! HTTP server and response writers of the fake targets.

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

/// Maximum number of body bytes that a fake target reads.
const BODY_LIMIT: u64 = 16 * 1024 * 1024;
/// Limits of the connection gate, wide enough that only the entries under test limit requests.
const TARGET_LIMITS: ProxyLimits = ProxyLimits {
    connections: 4_096,
    request_bytes: BODY_LIMIT,
    head_bytes: 64 * 1024,
    receive_ms: 60_000,
    write_ms: 600_000,
    idle_ms: 600_000,
};

/// Handler of one request, called on a thread per request.
pub(crate) type RequestHandler = Arc<dyn Fn(Request, &CallerHandle) + Send + Sync>;

/// Handle of the connection on which a request arrived.
pub(crate) struct CallerHandle {
    proxy: Arc<ConnectionProxy>,
    port: u16,
}

impl CallerHandle {
    /// Reads the body of a request, up to `BODY_LIMIT`.
    pub(crate) fn read_body(&self, request: &mut Request) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        request.as_reader().take(BODY_LIMIT).read_to_end(&mut body)?;
        if self.proxy.mark_received(self.port) {
            Ok(body)
        } else {
            Err(io::Error::from(io::ErrorKind::ConnectionAborted))
        }
    }

    /// Resets the connection after the bytes that were sent so far.
    pub(crate) fn reset(&self) {
        self.proxy.reset(self.port);
    }

    /// Closes the listener and all connections of the target, as the end of its process would.
    pub(crate) fn close_all(&self) {
        self.proxy.close();
    }
}

/// HTTP server with a thread per request, behind a connection proxy that can reset connections.
pub(crate) struct HttpServer {
    server: Arc<Server>,
    proxy: Arc<ConnectionProxy>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl HttpServer {
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
        let accept_loop = AcceptLoop {
            server: Arc::clone(&server),
            proxy: Arc::clone(&proxy),
            stopped: Arc::clone(&stopped),
            handler,
        };
        let thread = thread::Builder::new()
            .name("fake-http".to_owned())
            .spawn(move || accept_loop.run())
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

struct AcceptLoop {
    server: Arc<Server>,
    proxy: Arc<ConnectionProxy>,
    stopped: Arc<AtomicBool>,
    handler: RequestHandler,
}

impl AcceptLoop {
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
                log::warn!(error:% = error; "failed to start a thread for a request");
            }
        }
    }
}

/// Returns the value of a header. The name is case-insensitive.
pub(crate) fn header_value(request: &Request, name: &str) -> Option<String> {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.as_str().to_owned())
}

/// Responds with a JSON document.
pub(crate) fn respond_json<T: Serialize>(request: Request, status: u16, value: &T) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::from_data(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes("content-type", "application/json") {
        response.add_header(header);
    }
    if let Err(error) = request.respond(response) {
        log::debug!(error:% = error; "failed to send a response");
    }
}

/// Writer that flushes after each write.
///
/// The writer of `tiny_http` is buffered and is not flushed when it is dropped. Without the flush,
/// the last chunk, which the encoder writes in its `drop`, would stay in the buffer.
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

/// Writer of server-sent events that sends each event immediately.
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
