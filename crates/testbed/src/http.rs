//! HTTP server loop and answer writers of the fake targets.

use crate::error::TestbedError;
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

/// Handles one request on a thread of its own.
pub(crate) type RequestHandler = Arc<dyn Fn(Request) + Send + Sync>;

/// Accept loop with a thread per request.
pub(crate) struct HttpLoop {
    server: Arc<Server>,
    stopped: Arc<AtomicBool>,
    address: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

impl HttpLoop {
    pub(crate) fn bind(listen: SocketAddr, handler: RequestHandler) -> Result<Self, TestbedError> {
        if !listen.ip().is_loopback() {
            return Err(TestbedError::NotLoopback(listen));
        }
        let server = Server::http(listen)
            .map_err(|source| TestbedError::Bind { address: listen, source })?;
        let server = Arc::new(server);
        let address = server.server_addr().to_ip().unwrap_or(listen);
        let stopped = Arc::new(AtomicBool::new(false));
        let (accepting, flag) = (Arc::clone(&server), Arc::clone(&stopped));
        let thread = thread::Builder::new()
            .name("fake-http".to_owned())
            .spawn(move || accept_requests(&accepting, &flag, &handler))
            .map_err(TestbedError::Thread)?;
        Ok(Self { server, stopped, address, thread: Some(thread) })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn stop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn accept_requests(server: &Server, stopped: &AtomicBool, handler: &RequestHandler) {
    while !stopped.load(Ordering::Acquire) {
        let Ok(request) = server.recv() else { continue };
        let handler = Arc::clone(handler);
        let spawned =
            thread::Builder::new().name("fake-request".to_owned()).spawn(move || handler(request));
        if let Err(error) = spawned {
            log::warn!(error:% = error; "no thread for a request");
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

/// Reads the body up to the limit.
pub(crate) fn read_body(request: &mut Request) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    request.as_reader().take(BODY_LIMIT).read_to_end(&mut body)?;
    Ok(body)
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

    /// Sends bytes that no client takes for a chunk, so the stream counts as broken.
    pub(crate) fn break_off(mut self) {
        let _ = self.encoder.get_mut().write_all(b"broken\r\n");
    }
}
