//! Connection proxy: an accept loop that guards a `tiny_http` server in the same process.
//!
//! `tiny_http` starts a thread per connection, reads without a timeout, ends a dropped
//! chunked body as if it were whole and does not tell when a caller hangs up. The proxy
//! accepts the callers' connections, bounds them, and relays each one over loopback to the
//! inner server. The application names a connection by the remote port that `tiny_http`
//! shows, which is the proxy's own port on the loopback connection.
//!
//! The application calls [`ConnectionProxy::mark_received`] once it has read a whole request,
//! and goes no further if that returns false. It calls [`ConnectionProxy::mark_finished`] when
//! the response is sent, which starts the idle time of the kept-alive connection. The port
//! stays taken as long as the application holds the request or its writer, so it can't name
//! another caller meanwhile.
//!
//! A caller that sends FIN after a whole request either hung up or closed only its sending
//! half. TCP shows the difference only when data is sent: a closed socket answers with a
//! reset. While the response has not started, the proxy therefore sends the interim response
//! `100 Continue` when the FIN arrives and then every 2 s; afterwards the response itself
//! serves as the probe. Writes after a hang-up succeed and are discarded.

mod connection;
mod refusal;
mod relay;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use connection::CallerLink;
pub use connection::GoneCallback;
use futures::future::{self, Either};
use refusal::ProxyRefusal;
use relay::{InnerEnd, LinkRelay, discard, reset_on_close, send_refusal};
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

/// Pause after a failed accept, such as one without a free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections beyond the limit that are refused with a response at a time; further ones are
/// closed at once.
const REFUSALS_AT_A_TIME: usize = 64;
/// Time for which a port is not used again after its request was broken off, since the
/// application may still name it.
const RETIRED_TIME: Duration = Duration::from_secs(60);
/// Attempts to get a port that is not retired.
const PORT_ATTEMPTS: usize = 16;
/// Longest wait for the proxy thread to carry out a reset.
const RESET_WAIT: Duration = Duration::from_secs(1);

/// Bounds of the proxy.
#[derive(Clone, Debug)]
pub struct ProxyLimits {
    /// Connections at a time.
    pub connections: usize,
    /// Bytes of one request, head and body.
    pub request_bytes: u64,
    /// Bytes of the head of one request.
    pub head_bytes: u64,
    /// Time from the first byte of a request until it is marked as received.
    pub receive_ms: u64,
    /// Time that a caller may leave a full send buffer unread; the connection is then reset.
    pub write_ms: u64,
    /// Time that a connection may wait for a request.
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

/// Why the proxy could not start.
#[derive(Debug)]
#[derive(Error)]
pub enum ProxyError {
    /// The address could not be bound.
    #[error("binding {address}")]
    Bind {
        /// Address that was asked for.
        address: SocketAddr,
        /// What the system reported.
        #[source]
        source: io::Error,
    },
    /// The inner listener could not be opened.
    #[error("opening the inner listener")]
    Inner(#[source] io::Error),
    /// The proxy's thread could not be started.
    #[error("starting the proxy thread")]
    Thread(#[source] io::Error),
}

/// Opens the listener for the inner server, on loopback with a port of the system's choice.
///
/// Accepted sockets inherit `TCP_NODELAY`. `tiny_http` does not set it, and without it each
/// small event waits for the acknowledgement of the one before, up to 40 ms.
///
/// # Errors
/// Fails if the system refuses the socket.
pub fn open_backend_listener() -> Result<TcpListener, ProxyError> {
    let open = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_tcp_nodelay(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        socket.listen(1_024)?;
        Ok(TcpListener::from(socket))
    };
    open().map_err(ProxyError::Inner)
}

/// State that the proxy's thread and the application share.
struct ConnectionTable {
    limits: ProxyLimits,
    links: Mutex<HashMap<u16, Arc<CallerLink>>>,
    retired: Mutex<HashMap<u16, Instant>>,
}

impl ConnectionTable {
    fn links(&self) -> MutexGuard<'_, HashMap<u16, Arc<CallerLink>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn find(&self, port: u16) -> Option<Arc<CallerLink>> {
        self.links().get(&port).cloned()
    }

    /// Tells everyone who waits for a connection that the proxy has closed it.
    fn release_all(&self) {
        let links: Vec<_> = self.links().drain().collect();
        for (_, link) in links {
            link.set_gone();
            link.set_closed();
        }
    }

    fn retired(&self) -> MutexGuard<'_, HashMap<u16, Instant>> {
        let mut retired = self.retired.lock().unwrap_or_else(PoisonError::into_inner);
        retired.retain(|_, since| since.elapsed() < RETIRED_TIME);
        retired
    }
}

/// Running proxy. Dropping it closes all connections.
pub struct ConnectionProxy {
    table: Arc<ConnectionTable>,
    address: SocketAddr,
    stop_accepting: Sender<()>,
    shutdown: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl ConnectionProxy {
    /// Accepts connections on `address` and relays them to the server at `inner`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound or the thread cannot be started.
    pub fn bind(
        address: SocketAddr,
        inner: SocketAddr,
        limits: ProxyLimits,
    ) -> Result<Self, ProxyError> {
        let bind_error = |source| ProxyError::Bind { address, source };
        let listener = Async::<TcpListener>::bind(address).map_err(bind_error)?;
        let address = listener.get_ref().local_addr().map_err(bind_error)?;
        let table = Arc::new(ConnectionTable {
            limits,
            links: Mutex::default(),
            retired: Mutex::default(),
        });
        let (stop_accepting, stopped) = async_channel::bounded(1);
        let (shutdown, ended) = async_channel::bounded::<()>(1);
        let (shared, ending) = (Arc::clone(&table), Arc::clone(&table));
        let thread = thread::Builder::new()
            .name("gate".to_owned())
            .spawn(move || {
                let executor = LocalExecutor::new();
                let accepting = AcceptLoop { table: shared, inner, executor: &executor };
                let serve = async {
                    accepting.run(listener, stopped).await;
                    future::pending::<()>().await;
                };
                // Ends when the handle is dropped.
                async_io::block_on(executor.run(async {
                    future::select(pin!(serve), pin!(ended.recv())).await;
                }));
                drop(executor);
                ending.release_all();
            })
            .map_err(ProxyError::Thread)?;
        Ok(Self { table, address, stop_accepting, shutdown, thread: Some(thread) })
    }

    /// Address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends the time limit of the request that is arriving on a connection.
    ///
    /// False means that the caller is gone or that the request was refused; the body may
    /// then be cut short and must not be used.
    pub fn mark_received(&self, port: u16) -> bool {
        self.table.find(port).is_some_and(|link| link.mark_received())
    }

    /// When the first byte of the last request on a connection arrived.
    pub fn request_started(&self, port: u16) -> Option<Instant> {
        self.table.find(port).and_then(|link| link.state().started)
    }

    /// Starts the idle time of a connection after its response was sent.
    pub fn mark_finished(&self, port: u16) {
        if let Some(link) = self.table.find(port) {
            link.mark_finished(self.table.limits.idle_ms);
        }
    }

    /// Resets the caller's connection, so that no client sees a well-formed end.
    ///
    /// Bytes that were flushed before are passed on first. The call returns when the
    /// caller's socket is closed, after at most 1 s; only then may the application end the
    /// response body.
    pub fn reset(&self, port: u16) {
        if let Some(link) = self.table.find(port) {
            link.reset(RESET_WAIT);
        }
    }

    /// Whether the caller of a connection hung up. True for a port without a connection.
    pub fn caller_gone(&self, port: u16) -> bool {
        self.table.find(port).is_none_or(|link| link.state().gone)
    }

    /// Calls back once when the caller hangs up, at once if it already has.
    ///
    /// The callback runs on the proxy's thread and must not block. It is dropped without a call
    /// when the request is marked as finished.
    pub fn on_gone(&self, port: u16, callback: GoneCallback) {
        match self.table.find(port) {
            Some(link) => link.on_gone(callback),
            None => callback(),
        }
    }

    /// Waits until the caller hangs up; false if the time passed first.
    pub fn wait_gone(&self, port: u16, limit: Duration) -> bool {
        self.table.find(port).is_none_or(|link| link.wait_gone(limit))
    }

    /// Closes the listener. Open connections continue.
    pub fn stop_accepting(&self) {
        let _ = self.stop_accepting.try_send(());
    }

    /// Closes the listener and all connections at once.
    pub fn close(&self) {
        self.shutdown.close();
    }

    /// Number of connections, including those whose request the application still holds.
    pub fn open_connections(&self) -> usize {
        self.table.links().len()
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

/// Accept loop in the proxy's thread.
struct AcceptLoop<'a> {
    table: Arc<ConnectionTable>,
    inner: SocketAddr,
    executor: &'a LocalExecutor<'static>,
}

impl AcceptLoop<'_> {
    async fn run(self, listener: Async<TcpListener>, stopped: Receiver<()>) {
        let refusing = Rc::new(Cell::new(0));
        let opening = Rc::new(Cell::new(0));
        loop {
            let accepted = match future::select(pin!(stopped.recv()), pin!(listener.accept())).await
            {
                Either::Left(_) => return,
                Either::Right((accepted, _)) => accepted,
            };
            let caller = match accepted {
                Ok((caller, _)) => caller,
                Err(error) => {
                    log::warn!(error:% = error; "a connection could not be accepted");
                    Timer::after(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if self.table.links().len() + opening.get() >= self.table.limits.connections {
                self.refuse(caller, &refusing);
                continue;
            }
            opening.set(opening.get() + 1);
            let (table, inner, opening) =
                (Arc::clone(&self.table), self.inner, Rc::clone(&opening));
            let relay = async move {
                let opened = open_inner(&table, inner).await;
                opening.set(opening.get() - 1);
                match opened {
                    Ok(server) => relay_connection(&table, caller, server).await,
                    Err(error) => log::error!(error:% = error; "the inner server is unreachable"),
                }
            };
            self.executor.spawn(relay).detach();
        }
    }

    fn refuse(&self, caller: Async<TcpStream>, refusing: &Rc<Cell<usize>>) {
        if refusing.get() >= REFUSALS_AT_A_TIME {
            return;
        }
        refusing.set(refusing.get() + 1);
        let refusing = Rc::clone(refusing);
        let refuse = async move {
            send_refusal(&caller, ProxyRefusal::ConnectionLimit).await;
            refusing.set(refusing.get() - 1);
        };
        self.executor.spawn(refuse).detach();
    }
}

/// Connects to the inner server from a port that is not retired.
async fn open_inner(table: &ConnectionTable, inner: SocketAddr) -> io::Result<Async<TcpStream>> {
    let mut passed_over = Vec::new();
    for _ in 0..PORT_ATTEMPTS {
        let socket = Async::<TcpStream>::connect(inner).await?;
        if !table.retired().contains_key(&socket.get_ref().local_addr()?.port()) {
            return Ok(socket);
        }
        passed_over.push(socket);
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse))
}

async fn relay_connection(
    table: &ConnectionTable,
    caller: Async<TcpStream>,
    inner: Async<TcpStream>,
) {
    let prepared = caller.get_ref().set_nodelay(true).and(inner.get_ref().set_nodelay(true));
    let Ok(address) = prepared.and_then(|()| inner.get_ref().local_addr()) else { return };
    let port = address.port();
    let caller = Arc::new(caller);
    let (link, wake) = CallerLink::new(Arc::downgrade(&caller), &table.limits);
    let link = Arc::new(link);
    table.links().insert(port, Arc::clone(&link));
    let relay = LinkRelay { caller: &caller, inner: &inner, link: &link, limits: &table.limits };
    let end = relay.run(&wake).await;
    drop(caller);
    link.set_closed();
    match end {
        InnerEnd::Closed => {}
        InnerEnd::Open => {
            let _ = inner.get_ref().shutdown(Shutdown::Write);
            // Holds the port until the application has dropped the request.
            discard(&inner).await;
        }
        InnerEnd::Broken => {
            table.retired().insert(port, Instant::now());
            let _ = reset_on_close(&inner);
        }
    }
    table.links().remove(&port);
}
