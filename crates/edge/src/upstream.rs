//! Pool of connections to targets. A connection carries one request at a time, is kept while idle
//! and is closed when its request is dropped.

use crate::memory_budget::bound_buffers;
use crate::metered::{MeteredStream, ReadLimit};
use crate::traffic::LinkBytes;
use burdockcleat_core::clock::ClockTime;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{CONNECTION, HeaderMap};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpSocket;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// Connect timeout, in ms. A target in the same region accepts within a few ms.
const CONNECT_MS: u64 = 400;
/// Time for a kept connection to become ready, in ms. It is ready as soon as its task has run, unless it
/// still uploads an earlier request.
const READY_MS: u64 = 10;
/// Idle timeout if the target states none, in ms.
const DEFAULT_IDLE_MS: u64 = 2_000;
/// Longest time for which an idle connection is kept, in ms.
const MAX_IDLE_MS: u64 = 10_000;
/// Margin before the stated idle timeout, in ms, because the target may close the connection while
/// a request is in transit.
const IDLE_MARGIN_MS: u64 = 1_000;
/// Maximum number of idle connections to one target.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Size limit of a response head including all interim responses before it, in bytes.
const MAX_HEAD_BYTES: u64 = 64 << 10;
/// Size limit of the read buffer of a connection whose buffers are bounded, in bytes. It also limits a
/// single head, and is larger than that limit.
const MAX_READ_BUFFER_BYTES: usize = 2 * MAX_HEAD_BYTES as usize;
/// Divisor of a target's connection limit that gives the number of connections that all nodes
/// together may keep idle.
const IDLE_LIMIT_DIVISOR: usize = 3;

/// Error for a request that got no response from its target.
#[derive(Debug)]
#[derive(Error)]
pub(crate) enum SendError {
    /// No byte of the request reached the target.
    #[error("failed to connect to the target: {0}")]
    NotSent(String),
    /// The request was sent and may have run.
    #[error("the connection to the target broke: {0}")]
    Lost(String),
}

/// Idle connections to targets, by address.
#[derive(Clone, Default)]
pub(crate) struct UpstreamPool {
    idle: Rc<RefCell<HashMap<SocketAddrV4, Vec<IdleConnection>>>>,
    max_idle: Rc<Cell<usize>>,
    /// Whether the buffers of connections are bounded.
    bounded: bool,
}

struct IdleConnection {
    connection: UpstreamConnection,
    until: ClockTime,
}

struct UpstreamConnection {
    sender: SendRequest<Full<Bytes>>,
    read_limit: ReadLimit,
    task: AbortHandle,
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connection of a response. Dropping it closes the connection, which makes the target stop its
/// work.
pub(crate) struct ConnectionGuard {
    connection: UpstreamConnection,
    pool: UpstreamPool,
    address: SocketAddrV4,
    idle_ms: u64,
}

impl ConnectionGuard {
    /// Sets how many more bytes may be read from the connection.
    pub(crate) fn set_read_limit(&self, bytes: u64) {
        self.connection.read_limit.set(bytes);
    }

    /// Returns the connection to the pool after the response was read to its end.
    pub(crate) fn release(self) {
        if self.idle_ms == 0 || self.connection.sender.is_closed() {
            return;
        }
        let until = ClockTime::monotonic().plus(self.idle_ms);
        let mut idle = self.pool.idle.borrow_mut();
        let connections = idle.entry(self.address).or_default();
        if connections.len() < self.pool.max_idle.get() {
            connections.push(IdleConnection { connection: self.connection, until });
        }
    }
}

impl UpstreamPool {
    /// Creates an empty pool. `bounded` tells whether the buffers of its connections are bounded.
    pub(crate) fn new(bounded: bool) -> Self {
        Self { bounded, ..Self::default() }
    }

    /// Sends a request and waits for the head of the response. Also returns whether the connection
    /// is new. `connected` is notified when a connection is open. `link` counts the bytes of new
    /// connections.
    pub(crate) async fn send(
        &self,
        address: SocketAddrV4,
        link: Rc<LinkBytes>,
        mut request: Request<Full<Bytes>>,
        connected: &Notify,
    ) -> Result<(Response<Incoming>, ConnectionGuard, bool), SendError> {
        while let Some(mut connection) = self.take_idle(address) {
            if !self.is_usable(&mut connection).await {
                continue;
            }
            connection.read_limit.set(MAX_HEAD_BYTES);
            connected.notify_one();
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    return Ok(self.guard_response(address, connection, response, false));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Lost(error_with_cause(error.error()))),
                },
            }
        }
        let mut connection = connect(address, link, self.bounded).await?;
        connected.notify_one();
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(self.guard_response(address, connection, response, true)),
            Err(error) => {
                let text = error_with_cause(error.error());
                Err(match error.message() {
                    Some(_) => SendError::NotSent(text),
                    None => SendError::Lost(text),
                })
            }
        }
    }

    /// Returns whether an idle connection takes a request. With bounded buffers, a connection that still
    /// uploads an earlier request, whose target has answered before, is not waited for.
    async fn is_usable(&self, connection: &mut UpstreamConnection) -> bool {
        let ready = connection.sender.ready();
        if !self.bounded {
            return ready.await.is_ok();
        }
        let limit = Duration::from_millis(READY_MS);
        tokio::time::timeout(limit, ready).await.is_ok_and(|ready| ready.is_ok())
    }

    /// Sets the number of idle connections kept for each target. It depends on the number of
    /// connections that targets accept (0: no limit) and the number of nodes.
    pub(crate) fn set_limit(&self, connection_limit: u32, nodes: usize) {
        let share = connection_limit as usize / IDLE_LIMIT_DIVISOR / nodes.max(1);
        let limit = if connection_limit == 0 { MAX_IDLE_CONNECTIONS } else { share };
        self.max_idle.set(limit.clamp(1, MAX_IDLE_CONNECTIONS));
    }

    /// Closes the idle connections to an address.
    pub(crate) fn close_idle(&self, address: SocketAddrV4) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections whose idle timeout has passed, and with bounded buffers those that still hold
    /// the upload of an earlier request.
    pub(crate) fn prune(&self, now: ClockTime) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| {
                let sender = &idle.connection.sender;
                idle.until > now && !sender.is_closed() && (!self.bounded || sender.is_ready())
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take_idle(&self, address: SocketAddrV4) -> Option<UpstreamConnection> {
        let now = ClockTime::monotonic();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(idle) = connections.pop() {
            if idle.until > now && !idle.connection.sender.is_closed() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn guard_response(
        &self,
        address: SocketAddrV4,
        connection: UpstreamConnection,
        response: Response<Incoming>,
        fresh: bool,
    ) -> (Response<Incoming>, ConnectionGuard, bool) {
        let idle_ms = idle_ms(response.headers());
        (response, ConnectionGuard { connection, pool: self.clone(), address, idle_ms }, fresh)
    }
}

async fn connect(
    address: SocketAddrV4,
    link: Rc<LinkBytes>,
    bounded: bool,
) -> Result<UpstreamConnection, SendError> {
    let socket = TcpSocket::new_v4().map_err(|error| SendError::NotSent(error.to_string()))?;
    let mut builder = Builder::new();
    if bounded {
        bound_buffers(&socket);
        builder.max_buf_size(MAX_READ_BUFFER_BYTES);
    }
    let connect = socket.connect(SocketAddr::V4(address));
    let stream = tokio::time::timeout(Duration::from_millis(CONNECT_MS), connect)
        .await
        .map_err(|_| SendError::NotSent(format!("no connection within {CONNECT_MS} ms")))?
        .map_err(|error| SendError::NotSent(error.to_string()))?;
    stream.set_nodelay(true).map_err(|error| SendError::NotSent(error.to_string()))?;
    let read_limit = ReadLimit::default();
    read_limit.set(MAX_HEAD_BYTES);
    let stream = MeteredStream::new(stream, read_limit.clone(), link);
    let (sender, connection) = builder
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| SendError::NotSent(error_with_cause(&error)))?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "burdockcleat", "event=target.connection_ended cause=\"{error}\"");
        }
    });
    Ok(UpstreamConnection { sender, read_limit, task: task.abort_handle() })
}

/// Formats an error with its cause, which hyper's own text leaves out.
fn error_with_cause(error: &hyper::Error) -> String {
    use std::error::Error;
    error.source().map_or_else(|| error.to_string(), |cause| format!("{error}: {cause}"))
}

/// Returns how long the connection of a response may stay idle, in ms, or 0 if it ends with the
/// response.
fn idle_ms(headers: &HeaderMap) -> u64 {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    if text(CONNECTION.as_str()).is_some_and(|value| value.to_lowercase().contains("close")) {
        return 0;
    }
    let stated = text("keep-alive")
        .and_then(|value| value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.trim().parse::<u64>().ok());
    stated.map_or(DEFAULT_IDLE_MS, |seconds| {
        seconds.saturating_mul(1_000).saturating_sub(IDLE_MARGIN_MS).min(MAX_IDLE_MS)
    })
}
