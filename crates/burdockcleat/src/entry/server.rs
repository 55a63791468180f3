//! Server of the entry daemon: binds its sockets and runs its threads.

use super::caller::CallerConnection;
use super::chain::FilterChain;
use super::metrics::{EntryMetrics, RequestStage};
use super::proxy::{ConnectionProxy, ProxyError, ProxyLimits, open_backend_listener};
use super::session::{ControlSession, SessionError};
use super::workers::WorkerPool;
use crate::settings::EntrySettings;
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::entry_agent::EntrySummary;
use burdockcleat_core::keys::NodeId;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;
use tiny_http::{Request, Response, Server, StatusCode};

/// Interval at which a drain checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the last reports to reach the leader before the process exits.
const REPORT_GRACE: Duration = Duration::from_millis(300);
/// Stack size of the accept threads, which only move buffers.
const ACCEPT_LOOP_STACK_BYTES: usize = 256 << 10;

/// Why an entry could not start.
#[derive(Debug)]
#[derive(Error)]
pub enum EntryError {
    /// The address could not be bound.
    #[error("listening on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error from the HTTP server.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The connection proxy could not start.
    #[error("starting the connection proxy")]
    Proxy(#[from] ProxyError),
    /// The session with the control instances could not start.
    #[error("opening the session with the control instances")]
    Session(#[from] SessionError),
    /// A thread could not start.
    #[error("starting a thread of the entry")]
    Thread(#[source] std::io::Error),
}

/// State of the entry as `/dump` returns it.
#[derive(Clone, Debug)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EntryDump {
    /// Name of the instance.
    pub name: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Random id of this process.
    pub node: String,
    /// Whether the load balancer may send requests.
    pub ready: bool,
    /// Whether a graceful shutdown is in progress.
    pub draining: bool,
    /// Number of connections from callers.
    pub connections: usize,
    /// Number of requests in flight.
    pub in_flight: usize,
    /// Links, configuration version and attempts.
    pub session: EntrySummary,
    /// Metrics since the start.
    pub metrics: serde_json::Value,
}

struct EntryShared {
    settings: EntrySettings,
    node: NodeId,
    proxy: Arc<ConnectionProxy>,
    session: ControlSession,
    metrics: EntryMetrics,
    /// Threads that serve callers.
    handlers: WorkerPool,
    /// Threads that read event streams from targets.
    readers: WorkerPool,
    draining: AtomicBool,
    closing: AtomicBool,
    in_flight: AtomicUsize,
}

/// A running entry.
#[derive(Clone)]
pub struct EntryServer {
    shared: Arc<EntryShared>,
    caller_addr: SocketAddr,
    operator_addr: SocketAddr,
}

impl EntryServer {
    /// Binds both addresses and starts serving.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or a thread cannot be created.
    pub fn bind(settings: EntrySettings) -> Result<Self, EntryError> {
        let limits =
            ProxyLimits { connections: settings.max_connections, ..ProxyLimits::default() };
        let (callers, proxy) = bind_proxied(settings.listen, limits)?;
        let proxy = Arc::new(proxy);
        let (operators, operator_proxy) =
            bind_proxied(settings.operator_listen, ProxyLimits::default())?;
        let node = NodeId(rand::random());
        let source = settings.listen.ip();
        let session = ControlSession::open(
            &settings.name,
            node,
            &settings.secret,
            source,
            &settings.control,
        )?;
        let caller_addr = proxy.address();
        let operator_addr = operator_proxy.address();
        let shared = Arc::new(EntryShared {
            settings,
            node,
            proxy,
            session,
            metrics: EntryMetrics::open(),
            handlers: WorkerPool::open("caller"),
            readers: WorkerPool::open("upstream"),
            draining: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        });
        let worker = shared.clone();
        spawn("callers", move || {
            for request in callers.incoming_requests() {
                worker.accept(request);
            }
        })?;
        let worker = shared.clone();
        spawn("operators", move || {
            for request in operators.incoming_requests() {
                let port = request.remote_addr().map_or(0, SocketAddr::port);
                operator_proxy.mark_received(port);
                worker.serve_operator(request);
                operator_proxy.mark_finished(port);
            }
        })?;
        log::info!(event = "entry_started", callers:% = caller_addr, operators:% = operator_addr; "serving");
        Ok(Self { shared, caller_addr, operator_addr })
    }

    /// Returns the address that callers connect to.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Returns the address of the probes, the dump and the metrics.
    pub fn operator_addr(&self) -> SocketAddr {
        self.operator_addr
    }

    /// Returns whether an operator requested a graceful shutdown of this entry.
    pub fn drain_requested(&self) -> bool {
        self.shared.session.drain_requested()
    }

    /// Shuts down gracefully.
    ///
    /// Reports not ready, waits until the load balancer has noticed, then finishes every request in
    /// flight and reports its outcome.
    pub fn drain(&self) {
        let shared = &self.shared;
        shared.draining.store(true, Ordering::SeqCst);
        log::info!(event = "drain_started"; "no longer ready for new requests");
        thread::sleep(Duration::from_millis(shared.settings.drain_grace_ms));
        shared.closing.store(true, Ordering::SeqCst);
        shared.proxy.stop_accepting();
        while shared.in_flight.load(Ordering::SeqCst) > 0 {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        shared.session.send_goodbye();
        thread::sleep(REPORT_GRACE);
        log::info!(event = "drain_finished"; "all requests have ended");
    }
}

/// Binds an HTTP server behind a connection proxy.
///
/// Without the proxy, `tiny_http` can leave a connection of a burst unserved for seconds.
fn bind_proxied(
    address: SocketAddr,
    limits: ProxyLimits,
) -> Result<(Server, ConnectionProxy), EntryError> {
    let server = Server::from_listener(open_backend_listener()?, None)
        .map_err(|source| EntryError::Listen { address, source })?;
    let inner = server.server_addr().to_ip().unwrap_or(address);
    Ok((server, ConnectionProxy::bind(address, inner, limits)?))
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<(), EntryError> {
    let builder = thread::Builder::new().name(name.into()).stack_size(ACCEPT_LOOP_STACK_BYTES);
    builder.spawn(work).map(|_| ()).map_err(EntryError::Thread)
}

impl EntryShared {
    fn is_ready(&self) -> bool {
        !self.draining.load(Ordering::SeqCst) && self.session.is_ready()
    }

    /// Serves one request on its own thread.
    fn accept(self: &Arc<Self>, request: Request) {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let worker = self.clone();
        let arrived = ClockTime::monotonic();
        let port = request.remote_addr().map_or(0, SocketAddr::port);
        let caller = CallerConnection::new(self.proxy.clone(), port);
        let received = Instant::now();
        if let Some(first_byte) = caller.request_started() {
            let accepting = received.saturating_duration_since(first_byte);
            self.metrics.record_stage(RequestStage::Accept, accepting);
        }
        let started = self.handlers.start(move || {
            worker.metrics.record_stage(RequestStage::Start, received.elapsed());
            let chain = FilterChain {
                session: &worker.session,
                metrics: &worker.metrics,
                readers: &worker.readers,
                caller: caller.clone(),
                closing: worker.closing.load(Ordering::SeqCst),
                arrived,
            };
            let record = chain.serve(request);
            caller.mark_finished();
            worker.metrics.record(&record);
            worker.in_flight.fetch_sub(1, Ordering::SeqCst);
        });
        if let Err(error) = started {
            // The request is dropped with the closure, and tiny_http then responds with status 500.
            log::error!(event = "thread_failed"; "{error}");
            self.in_flight.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn serve_operator(&self, request: Request) {
        let (status, body) = match request.url() {
            "/healthz" => (200, "{\"alive\":true}".to_owned()),
            "/readyz" if self.is_ready() => (200, "{\"ready\":true}".to_owned()),
            "/readyz" => (503, "{\"ready\":false}".to_owned()),
            "/dump" => (200, serde_json::to_string(&self.dump()).unwrap_or_default()),
            "/metrics" => (200, self.metrics.collect().to_string()),
            _ => (404, "{\"error\":\"not_found\"}".to_owned()),
        };
        let response = Response::from_string(body).with_status_code(StatusCode(status));
        let _ = request.respond(response);
    }

    fn dump(&self) -> EntryDump {
        EntryDump {
            name: self.settings.name.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            node: self.node.to_string(),
            ready: self.is_ready(),
            draining: self.draining.load(Ordering::SeqCst),
            connections: self.proxy.open_connections(),
            in_flight: self.in_flight.load(Ordering::SeqCst),
            session: self.session.summary(),
            metrics: self.metrics.collect(),
        }
    }
}
