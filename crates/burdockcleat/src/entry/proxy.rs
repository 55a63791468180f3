//! TCP proxy in front of a `tiny_http` server in the same process.
//!
//! `tiny_http` starts a thread per connection, reads without a timeout, ends a dropped chunked body
//! as if it were complete, and does not report that a caller disconnected. The proxy accepts the
//! callers' connections, enforces limits, and relays each one over loopback to the backend server.
//! The application identifies a connection by the remote port that `tiny_http` reports, which is
//! the proxy's own port on the loopback connection.
//!
//! The application calls [`ConnectionProxy::mark_received`] once it has read a complete request,
//! and drops the request if that returns false. It calls [`ConnectionProxy::mark_finished`] when
//! the response is sent, which starts the idle timeout of the keep-alive connection. The port stays
//! in use as long as the application holds the request or its writer, so that it cannot identify
//! another caller meanwhile.
//!
//! A caller that sends FIN after a complete request has either closed the connection or only its
//! sending half. TCP shows the difference only when data is sent: a closed socket responds with a
//! reset. Until the response starts, the proxy therefore sends the interim response `100 Continue`
//! when the FIN arrives and then every 2 s. After that, the response itself serves as the probe.
//! The application's writes after a disconnect succeed and are discarded.

mod connection;
mod refusal;
mod relay;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
pub use connection::GoneCallback;
use connection::ProxiedConnection;
use futures::future::{self, Either};
use refusal::ProxyRefusal;
use relay::{BackendState, ConnectionRelay, discard, reset_on_close, send_refusal};
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Pause after a failed accept, for example if no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of excess connections that are being refused with a response at the same time.
/// Further ones are closed immediately.
const MAX_CONCURRENT_REFUSALS: usize = 64;
/// Time for which a port is not reused after its request was cut off, since the application may
/// still refer to it.
const RETIRED_TIME: Duration = Duration::from_secs(60);
/// Maximum number of attempts to get a port that is not retired.
const PORT_ATTEMPTS: usize = 16;
/// Maximum wait for the proxy thread to carry out a reset.
const RESET_WAIT: Duration = Duration::from_secs(1);

/// Limits that the proxy enforces.
#[derive(Clone, Debug)]
pub struct ProxyLimits {
    /// Maximum number of open connections. Further ones are refused.
    pub connections: usize,
    /// Maximum size of a request with its head, in bytes.
    pub request_bytes: u64,
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: u64,
    /// Maximum time from the first byte of a request until it is marked as received.
    pub receive_ms: u64,
    /// Maximum time for which the send buffer to a caller may stay full. The connection is then
    /// reset.
    pub write_ms: u64,
    /// Maximum time that a connection waits for a request.
    pub idle_ms: u64,
}

impl Default for ProxyLimits {
    fn default() -> Self {
        Self {
            connections: 1_024,
            request_bytes: 8 * 1024 * 1024,
            head_bytes: 32 * 1024,
            receive_ms: 10_000,
            write_ms: 30_000,
            idle_ms: 60_000,
        }
    }
}

/// Why a proxy could not start.
#[derive(Debug)]
#[derive(Error)]
pub enum ProxyError {
    /// The address could not be bound.
    #[error("binding {address}")]
    Bind {
        /// Address to bind.
        address: SocketAddr,
        /// Error from the operating system.
        #[source]
        source: io::Error,
    },
    /// The listener for the backend server could not be opened.
    #[error("opening the backend listener")]
    BackendListener(#[source] io::Error),
    /// The proxy thread could not be started.
    #[error("starting the proxy thread")]
    Thread(#[source] io::Error),
}

/// Opens a listener for the backend server on an ephemeral loopback port.
///
/// Accepted sockets inherit `TCP_NODELAY`, which `tiny_http` does not set. Without it, each small
/// event waits up to 40 ms for the acknowledgement of the previous one.
///
/// # Errors
/// Fails if the operating system cannot open the socket.
pub fn open_backend_listener() -> Result<TcpListener, ProxyError> {
    let open = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_tcp_nodelay(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        socket.listen(1_024)?;
        Ok(TcpListener::from(socket))
    };
    open().map_err(ProxyError::BackendListener)
}

/// State that the proxy thread and the application share.
struct ConnectionTable {
    limits: ProxyLimits,
    /// Open connections by their port on loopback.
    connections: Mutex<HashMap<u16, Arc<ProxiedConnection>>>,
    /// Ports that are not reused yet, with the time at which their requests were cut off.
    retired: Mutex<HashMap<u16, Instant>>,
}

impl ConnectionTable {
    fn connections(&self) -> MutexGuard<'_, HashMap<u16, Arc<ProxiedConnection>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn find(&self, port: u16) -> Option<Arc<ProxiedConnection>> {
        self.connections().get(&port).cloned()
    }

    /// Marks all connections as closed and wakes the threads that wait for them.
    fn mark_all_closed(&self) {
        let connections: Vec<_> = self.connections().drain().collect();
        for (_, connection) in connections {
            connection.set_gone();
            connection.set_closed();
        }
    }

    fn retired(&self) -> MutexGuard<'_, HashMap<u16, Instant>> {
        let mut retired = self.retired.lock().unwrap_or_else(PoisonError::into_inner);
        retired.retain(|_, since| since.elapsed() < RETIRED_TIME);
        retired
    }
}

/// Handle to a running proxy. Dropping it closes all connections.
pub struct ConnectionProxy {
    table: Arc<ConnectionTable>,
    address: SocketAddr,
    stop_accepting: Sender<()>,
    shutdown: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl ConnectionProxy {
    /// Starts a proxy that accepts connections on `address` and relays them to the server at
    /// `backend`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound or the thread cannot be started.
    pub fn bind(
        address: SocketAddr,
        backend: SocketAddr,
        limits: ProxyLimits,
    ) -> Result<Self, ProxyError> {
        let bind_error = |source| ProxyError::Bind { address, source };
        let listener = Async::<TcpListener>::bind(address).map_err(bind_error)?;
        let address = listener.get_ref().local_addr().map_err(bind_error)?;
        let table = Arc::new(ConnectionTable {
            limits,
            connections: Mutex::default(),
            retired: Mutex::default(),
        });
        let (stop_accepting, stopped) = async_channel::bounded(1);
        let (shutdown, ended) = async_channel::bounded::<()>(1);
        let (shared, ending) = (Arc::clone(&table), Arc::clone(&table));
        let thread = thread::Builder::new()
            .name("gate".to_owned())
            .spawn(move || {
                let executor = LocalExecutor::new();
                let accepting = AcceptLoop { table: shared, backend, executor: &executor };
                let serve = async {
                    accepting.run(listener, stopped).await;
                    future::pending::<()>().await;
                };
                // Ends when the handle is closed or dropped.
                async_io::block_on(executor.run(async {
                    future::select(pin!(serve), pin!(ended.recv())).await;
                }));
                drop(executor);
                ending.mark_all_closed();
            })
            .map_err(ProxyError::Thread)?;
        Ok(Self { table, address, stop_accepting, shutdown, thread: Some(thread) })
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Marks the request on a connection as completely read, which ends its receive timeout.
    ///
    /// Returns false if the caller has disconnected or the request was refused. The body may then
    /// be truncated and must not be used.
    pub fn mark_received(&self, port: u16) -> bool {
        self.table.find(port).is_some_and(|connection| connection.mark_received())
    }

    /// Returns when the first byte of the latest request on a connection arrived.
    pub fn request_started(&self, port: u16) -> Option<Instant> {
        self.table.find(port).and_then(|connection| connection.state().started)
    }

    /// Marks the response on a connection as sent, which starts its idle timeout.
    pub fn mark_finished(&self, port: u16) {
        if let Some(connection) = self.table.find(port) {
            connection.mark_finished(self.table.limits.idle_ms);
        }
    }

    /// Resets the caller's connection, so that an incomplete response does not look complete.
    ///
    /// Bytes that the application has flushed are relayed first. The call returns when the caller's
    /// socket is closed, or after 1 s. The application must not end the response body before that.
    pub fn reset(&self, port: u16) {
        if let Some(connection) = self.table.find(port) {
            connection.reset(RESET_WAIT);
        }
    }

    /// Returns whether the caller of a connection has disconnected. Returns true for a port without
    /// a connection.
    pub fn caller_gone(&self, port: u16) -> bool {
        self.table.find(port).is_none_or(|connection| connection.state().gone)
    }

    /// Calls `callback` once when the caller disconnects, or immediately if it already has.
    ///
    /// The callback runs on the proxy thread and must not block. It is dropped without a call when
    /// the request is marked as finished.
    pub fn on_gone(&self, port: u16, callback: GoneCallback) {
        match self.table.find(port) {
            Some(connection) => connection.on_gone(callback),
            None => callback(),
        }
    }

    /// Waits until the caller disconnects. Returns false if `limit` passes first.
    pub fn wait_gone(&self, port: u16, limit: Duration) -> bool {
        self.table.find(port).is_none_or(|connection| connection.wait_gone(limit))
    }

    /// Closes the listener. Open connections stay open.
    pub fn stop_accepting(&self) {
        let _ = self.stop_accepting.try_send(());
    }

    /// Closes the listener and all connections immediately.
    pub fn close(&self) {
        self.shutdown.close();
    }

    /// Returns the number of connections, including those whose request the application still
    /// holds.
    pub fn open_connections(&self) -> usize {
        self.table.connections().len()
    }
}

impl Drop for ConnectionProxy {
    fn drop(&mut self) {
        self.shutdown.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Accept loop on the proxy thread.
struct AcceptLoop<'a> {
    table: Arc<ConnectionTable>,
    backend: SocketAddr,
    executor: &'a LocalExecutor<'static>,
}

impl AcceptLoop<'_> {
    async fn run(self, listener: Async<TcpListener>, stopped: Receiver<()>) {
        let open_refusals = Rc::new(Cell::new(0));
        let pending_connects = Rc::new(Cell::new(0));
        loop {
            let accepted = match future::select(pin!(stopped.recv()), pin!(listener.accept())).await
            {
                Either::Left(_) => return,
                Either::Right((accepted, _)) => accepted,
            };
            let caller = match accepted {
                Ok((caller, _)) => caller,
                Err(error) => {
                    log::warn!(error:% = error; "failed to accept a connection");
                    Timer::after(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if self.table.connections().len() + pending_connects.get()
                >= self.table.limits.connections
            {
                self.refuse(caller, &open_refusals);
                continue;
            }
            pending_connects.set(pending_connects.get() + 1);
            let (table, backend, pending_connects) =
                (Arc::clone(&self.table), self.backend, Rc::clone(&pending_connects));
            let relay = async move {
                let opened = open_backend(&table, backend).await;
                pending_connects.set(pending_connects.get() - 1);
                match opened {
                    Ok(server) => relay_connection(&table, caller, server).await,
                    Err(error) => log::error!(error:% = error; "backend server is unreachable"),
                }
            };
            self.executor.spawn(relay).detach();
        }
    }

    fn refuse(&self, caller: Async<TcpStream>, open_refusals: &Rc<Cell<usize>>) {
        if open_refusals.get() >= MAX_CONCURRENT_REFUSALS {
            return;
        }
        open_refusals.set(open_refusals.get() + 1);
        let open_refusals = Rc::clone(open_refusals);
        let refuse = async move {
            send_refusal(&caller, ProxyRefusal::ConnectionLimit).await;
            open_refusals.set(open_refusals.get() - 1);
        };
        self.executor.spawn(refuse).detach();
    }
}

/// Connects to the backend server from a port that is not retired.
async fn open_backend(
    table: &ConnectionTable,
    backend: SocketAddr,
) -> io::Result<Async<TcpStream>> {
    let mut rejected = Vec::new();
    for _ in 0..PORT_ATTEMPTS {
        let socket = Async::<TcpStream>::connect(backend).await?;
        if !table.retired().contains_key(&socket.get_ref().local_addr()?.port()) {
            return Ok(socket);
        }
        rejected.push(socket);
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse))
}

async fn relay_connection(
    table: &ConnectionTable,
    caller: Async<TcpStream>,
    backend: Async<TcpStream>,
) {
    let prepared = caller.get_ref().set_nodelay(true).and(backend.get_ref().set_nodelay(true));
    let Ok(address) = prepared.and_then(|()| backend.get_ref().local_addr()) else { return };
    let port = address.port();
    let caller = Arc::new(caller);
    let (connection, wake) = ProxiedConnection::new(Arc::downgrade(&caller), &table.limits);
    let connection = Arc::new(connection);
    table.connections().insert(port, Arc::clone(&connection));
    let relay = ConnectionRelay {
        caller: &caller,
        backend: &backend,
        connection: &connection,
        limits: &table.limits,
    };
    let end = relay.run(&wake).await;
    drop(caller);
    connection.set_closed();
    match end {
        BackendState::Closed => {}
        BackendState::Open => {
            let _ = backend.get_ref().shutdown(Shutdown::Write);
            // The port stays in use until the application has dropped the request.
            discard(&backend).await;
        }
        BackendState::Broken => {
            table.retired().insert(port, Instant::now());
            let _ = reset_on_close(&backend);
        }
    }
    table.connections().remove(&port);
}
