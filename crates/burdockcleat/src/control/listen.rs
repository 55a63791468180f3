//! HTTP listeners of the control daemon: a connection proxy, a `tiny_http` server and worker
//! threads.
//!
//! Each class of requests has its own queue and threads. Operator requests that wait for a majority
//! therefore delay neither target announcements nor dumps.

use super::server::ControlError;
use crate::entry::proxy::{ConnectionProxy, ProxyLimits, open_backend_listener};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use tiny_http::{Header, Method, Request, Response, Server, StatusCode};

/// Maximum number of requests of one class that wait for a thread. Further ones are refused at
/// once.
const MAX_QUEUED_REQUESTS: usize = 128;
/// Maximum size of a request body. A document of 7,100 workspaces has about 1.5 MB.
pub const MAX_BODY_BYTES: u64 = 4 << 20;

/// Limits on connections from operators and targets.
pub const CONNECTION_LIMITS: ProxyLimits = ProxyLimits {
    connections: 2_048,
    request_bytes: MAX_BODY_BYTES + (64 << 10),
    head_bytes: 32 << 10,
    receive_ms: 10_000,
    write_ms: 10_000,
    idle_ms: 30_000,
};

/// An HTTP reply.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpReply {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: String,
    /// Response headers, including the content type.
    pub headers: Vec<(&'static str, String)>,
}

/// An HTTP request and the connection that it arrived on.
pub struct HttpCall {
    request: Request,
    proxy: Arc<ConnectionProxy>,
    /// Local port of the gate's connection to the inner server, which identifies it to the gate.
    port: u16,
}

impl HttpCall {
    /// Returns the request method.
    pub fn method(&self) -> &Method {
        self.request.method()
    }

    /// Returns the path without the query string.
    pub fn path(&self) -> &str {
        self.request.url().split('?').next().unwrap_or_default()
    }

    /// Returns the value of a query parameter, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.request.url().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    /// Returns the query string, or an empty string if there is none.
    pub fn query_string(&self) -> String {
        self.request.url().split_once('?').map_or_else(String::new, |(_, query)| query.to_owned())
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.request.headers().iter();
        let found =
            headers.find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
        found.map(|header| header.value.as_str())
    }

    /// Reads the body. Returns `None` if it is incomplete or too large.
    pub fn read_body(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        let read = self.request.as_reader().take(MAX_BODY_BYTES + 1).read_to_end(&mut body);
        let whole = self.proxy.mark_received(self.port);
        (read.is_ok() && whole && body.len() as u64 <= MAX_BODY_BYTES).then_some(body)
    }

    /// Sends the reply and marks the request as finished at the gate.
    pub fn respond(self, reply: HttpReply) {
        // A request whose body was not read must be marked too, since the proxy waits for it.
        self.proxy.mark_received(self.port);
        let mut response =
            Response::from_string(reply.body).with_status_code(StatusCode(reply.status));
        // This also replaces the default content type of a string response.
        for (name, value) in reply.headers {
            if let Ok(header) = Header::from_bytes(name, value) {
                response.add_header(header);
            }
        }
        // Writing fails if the client has disconnected; there is nobody left to inform.
        let _ = self.request.respond(response);
        self.proxy.mark_finished(self.port);
    }
}

/// A class of requests with its own threads.
pub struct RequestClass {
    /// Name of the worker threads.
    pub name: &'static str,
    /// Number of worker threads.
    pub threads: usize,
    /// Returns whether a request belongs to the class. The first matching class serves it.
    pub matches: fn(&HttpCall) -> bool,
    /// Serves a request.
    pub serve: Arc<dyn Fn(HttpCall) + Send + Sync>,
}

/// Binds an address and serves requests by class.
///
/// # Errors
/// Fails if the address is not available or a thread cannot be created.
pub fn spawn_listener(address: SocketAddr, classes: Vec<RequestClass>) -> Result<(), ControlError> {
    let listen_error = |source| ControlError::Listen { address, source };
    let backend = open_backend_listener().map_err(|error| listen_error(error.into()))?;
    let server = Server::from_listener(backend, None).map_err(listen_error)?;
    let backend = server.server_addr().to_ip().unwrap_or(address);
    let proxy = ConnectionProxy::bind(address, backend, CONNECTION_LIMITS)
        .map_err(|error| listen_error(error.into()))?;
    let proxy = Arc::new(proxy);
    let mut queues = Vec::new();
    for class in classes {
        queues.push((class.matches, spawn_class_workers(&class)?));
    }
    let accept = move || {
        for request in server.incoming_requests() {
            let Some(port) = request.remote_addr().map(SocketAddr::port) else { continue };
            let call = HttpCall { request, proxy: proxy.clone(), port };
            dispatch(&queues, Box::new(call));
        }
    };
    thread::Builder::new()
        .name("accept".into())
        .spawn(accept)
        .map(|_| ())
        .map_err(ControlError::Thread)
}

type ClassQueue = (fn(&HttpCall) -> bool, SyncSender<Box<HttpCall>>);

/// Queues a call for the first matching class, or answers 503 if that queue is full.
fn dispatch(queues: &[ClassQueue], call: Box<HttpCall>) {
    let Some((_, queue)) = queues.iter().find(|(matches, _)| matches(&call)) else { return };
    let Err(TrySendError::Full(refused) | TrySendError::Disconnected(refused)) =
        queue.try_send(call)
    else {
        return;
    };
    let body = r#"{"error":"unconfirmed","message":"too many requests wait; send again"}"#.into();
    refused.respond(HttpReply { status: 503, body, headers: Vec::new() });
}

/// Starts the worker threads of a class and returns their queue.
fn spawn_class_workers(class: &RequestClass) -> Result<SyncSender<Box<HttpCall>>, ControlError> {
    let (queue, calls) = sync_channel(MAX_QUEUED_REQUESTS);
    let calls = Arc::new(Mutex::new(calls));
    for _ in 0..class.threads {
        let (calls, serve) = (calls.clone(), class.serve.clone());
        thread::Builder::new()
            .name(class.name.into())
            .spawn(move || {
                while let Some(call) = next_call(&calls) {
                    serve(*call);
                }
            })
            .map_err(ControlError::Thread)?;
    }
    Ok(queue)
}

fn next_call(calls: &Mutex<Receiver<Box<HttpCall>>>) -> Option<Box<HttpCall>> {
    calls.lock().unwrap_or_else(PoisonError::into_inner).recv().ok()
}
