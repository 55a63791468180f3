//! Connections to targets: kept while idle, one request at a time, closed when a request is dropped.

use crate::metered::{MeteredStream, ReadLimit};
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
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Longest time to connect, in ms: a target in the same region accepts within a few.
const CONNECT_MS: u64 = 400;
/// Time that an idle connection is kept where the target states none, in ms.
const DEFAULT_IDLE_MS: u64 = 2_000;
/// Longest time that an idle connection is kept, in ms.
const MAX_IDLE_MS: u64 = 10_000;
/// Margin before the stated end of an idle connection, in ms: the target may close it while a
/// request is on its way.
const IDLE_MARGIN_MS: u64 = 1_000;
/// Idle connections kept for a target at most.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Largest head of an answer with all interim ones before it, in bytes.
const MAX_HEAD_BYTES: u64 = 64 << 10;
/// Part of the connections that a target accepts which the nodes together may keep idle.
const IDLE_LIMIT_DIVISOR: usize = 3;

/// A request that got no answer from its target.
#[derive(Debug)]
#[derive(Error)]
pub(crate) enum SendError {
    /// No byte of the request reached the target.
    #[error("connecting to the target: {0}")]
    NotSent(String),
    /// The request was sent, and may have run.
    #[error("the connection to the target broke: {0}")]
    Lost(String),
}

/// Connections to targets by address.
#[derive(Clone, Default)]
pub(crate) struct UpstreamPool {
    idle: Rc<RefCell<HashMap<SocketAddrV4, Vec<IdleConnection>>>>,
    max_idle: Rc<Cell<usize>>,
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

/// The connection of an answer. Dropping it closes the connection, which ends the target's work.
pub(crate) struct ConnectionGuard {
    connection: UpstreamConnection,
    pool: UpstreamPool,
    address: SocketAddrV4,
    idle_ms: u64,
}

impl ConnectionGuard {
    /// Sets how many bytes of the answer the connection may still bring.
    pub(crate) fn set_read_limit(&self, bytes: u64) {
        self.connection.read_limit.set(bytes);
    }

    /// Keeps the connection for another request, after the answer was read to its end.
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
    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        address: SocketAddrV4,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, ConnectionGuard, bool), SendError> {
        while let Some(mut connection) = self.take_idle(address) {
            if connection.sender.ready().await.is_err() {
                continue;
            }
            connection.read_limit.set(MAX_HEAD_BYTES);
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
        let mut connection = connect(address).await?;
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

    /// Sets the number of idle connections kept for a target, from the number that targets accept
    /// (0: no limit) and the number of nodes.
    pub(crate) fn set_limit(&self, connection_limit: u32, nodes: usize) {
        let share = connection_limit as usize / IDLE_LIMIT_DIVISOR / nodes.max(1);
        let limit = if connection_limit == 0 { MAX_IDLE_CONNECTIONS } else { share };
        self.max_idle.set(limit.clamp(1, MAX_IDLE_CONNECTIONS));
    }

    /// Closes the idle connections to an address.
    pub(crate) fn close_idle(&self, address: SocketAddrV4) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for their time.
    pub(crate) fn prune(&self, now: ClockTime) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
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

async fn connect(address: SocketAddrV4) -> Result<UpstreamConnection, SendError> {
    let connect = TcpStream::connect(address);
    let stream = tokio::time::timeout(Duration::from_millis(CONNECT_MS), connect)
        .await
        .map_err(|_| SendError::NotSent(format!("no connection within {CONNECT_MS} ms")))?
        .map_err(|error| SendError::NotSent(error.to_string()))?;
    stream.set_nodelay(true).map_err(|error| SendError::NotSent(error.to_string()))?;
    let read_limit = ReadLimit::default();
    read_limit.set(MAX_HEAD_BYTES);
    let stream = MeteredStream::new(stream, read_limit.clone());
    let (sender, connection) = Builder::new()
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

/// Text of an error with its cause, which hyper keeps apart.
fn error_with_cause(error: &hyper::Error) -> String {
    use std::error::Error;
    error.source().map_or_else(|| error.to_string(), |cause| format!("{error}: {cause}"))
}

/// How long the connection of an answer may be idle: 0 if it ends with the answer.
fn idle_ms(headers: &HeaderMap) -> u64 {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    if text(CONNECTION.as_str()).is_some_and(|value| value.to_lowercase().contains("close")) {
        return 0;
    }
    let stated = text("keep-alive")
        .and_then(|value| value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.trim().parse::<u64>().ok());
    stated.map_or(DEFAULT_IDLE_MS, |seconds| {
        (seconds * 1_000).saturating_sub(IDLE_MARGIN_MS).min(MAX_IDLE_MS)
    })
}
