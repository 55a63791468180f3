//! Relays bytes between a caller and the backend server, and supervises the connection.

use super::ProxyLimits;
use super::connection::{ConnectionPhase, FIRST_DUMMY_DELAY, ProxiedConnection};
use super::refusal::ProxyRefusal;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures::future::{self, Either};
use futures::io::{AsyncReadExt, AsyncWriteExt};
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::pin::pin;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Buffer size for copying in one direction.
const COPY_BYTES: usize = 8 * 1024;
/// Number of reads after which a copy loop yields to other connections.
const ROUNDS_BEFORE_YIELD: usize = 16;
/// Interval at which the socket of a half-closed caller is checked.
const HALF_CLOSED_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of probes to a half-closed caller that waits for its response.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Interim response that a client must ignore (RFC 9110, section 15.2). A socket that the caller
/// has closed responds with a reset, a half-closed one accepts it.
const PROBE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Maximum time for relaying what the application sent before a reset.
const RESET_DRAIN: Duration = Duration::from_millis(100);
/// Maximum time for a refusal to reach the caller before the socket is closed.
pub(super) const REFUSAL_LINGER: Duration = Duration::from_millis(500);

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// The backend server closed its side after its last response.
    BackendClosed,
    /// The caller disconnected.
    Gone,
    /// The application requested a reset, the backend connection broke, or a write timed out.
    Reset,
    /// The idle timeout expired.
    Idle,
    /// The request exceeded a size limit or the receive timeout.
    Refused(ProxyRefusal),
}

/// Relay of one connection, which runs on the proxy thread.
pub(super) struct ConnectionRelay<'a> {
    pub(super) caller: &'a Async<TcpStream>,
    pub(super) backend: &'a Async<TcpStream>,
    pub(super) connection: &'a ProxiedConnection,
    pub(super) limits: &'a ProxyLimits,
}

/// State of the backend socket when the caller's side has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BackendState {
    /// The backend server has closed it.
    Closed,
    /// The application may still hold the request. The socket must be drained, so that its port
    /// stays in use.
    Open,
    /// The request is incomplete. The application must see an error instead of the end of the body.
    Broken,
}

impl ConnectionRelay<'_> {
    /// Relays until the caller's side of the connection has ended.
    pub(super) async fn run(&self, wake: &Receiver<()>) -> BackendState {
        let (request, response) = (pin!(self.copy_request()), pin!(self.copy_response()));
        let copies = future::select(request, response);
        let end = match future::select(copies, pin!(self.supervise(wake))).await {
            Either::Left((Either::Left((end, _)) | Either::Right((end, _)), _)) => end,
            Either::Right((end, _)) => end,
        };
        self.finish(end).await
    }

    async fn copy_request(&self) -> ConnectionEnd {
        let (mut caller, mut backend) = (self.caller, self.backend);
        let mut buffer = vec![0; COPY_BYTES];
        for round in 1_usize.. {
            yield_after(round).await;
            let length = match caller.read(&mut buffer).await {
                Ok(0) => {
                    let _ = backend.get_ref().shutdown(Shutdown::Write);
                    self.connection.mark_half_closed();
                    return future::pending().await;
                }
                Ok(length) => length,
                Err(_) => return ConnectionEnd::Gone,
            };
            if self.connection.record_request(&buffer[..length], self.limits).is_err() {
                return ConnectionEnd::Refused(ProxyRefusal::TooLarge);
            }
            if backend.write_all(&buffer[..length]).await.is_err() {
                // The backend server has stopped reading; its response may still be on the way.
                return future::pending().await;
            }
        }
        future::pending().await
    }

    async fn copy_response(&self) -> ConnectionEnd {
        let mut backend = self.backend;
        let mut buffer = vec![0; COPY_BYTES];
        for round in 1_usize.. {
            yield_after(round).await;
            let length = match backend.read(&mut buffer).await {
                Ok(0) => return ConnectionEnd::BackendClosed,
                Ok(length) => length,
                Err(_) => return ConnectionEnd::Reset,
            };
            self.connection.record_response();
            if let Err(end) = self.write_caller(&buffer[..length]).await {
                return end;
            }
            self.connection.mark_written();
        }
        future::pending().await
    }

    /// Writes to the caller. The timeout applies only if the send buffer is full.
    async fn write_caller(&self, bytes: &[u8]) -> Result<(), ConnectionEnd> {
        let sent = match self.caller.get_ref().write(bytes) {
            Ok(sent) => sent,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => 0,
            Err(_) => return Err(ConnectionEnd::Gone),
        };
        if sent == bytes.len() {
            return Ok(());
        }
        let mut caller = self.caller;
        let limit = Timer::after(Duration::from_millis(self.limits.write_ms));
        match future::select(caller.write_all(&bytes[sent..]), limit).await {
            Either::Left((Ok(()), _)) => Ok(()),
            Either::Left((Err(_), _)) => Err(ConnectionEnd::Gone),
            Either::Right(_) => Err(ConnectionEnd::Reset),
        }
    }

    /// Enforces timeouts, carries out resets, and checks half-closed callers.
    async fn supervise(&self, wake: &Receiver<()>) -> ConnectionEnd {
        let mut next_probe = Instant::now();
        let mut dummy_delay = FIRST_DUMMY_DELAY;
        loop {
            let now = Instant::now();
            let (phase, deadline, half_closed, dummy_connect_at) = {
                let mut state = self.connection.state();
                if state.reset_requested {
                    return ConnectionEnd::Reset;
                }
                let dummy_connect_at = state.dummy_connect_at;
                if dummy_connect_at.is_some_and(|at| at <= now) {
                    dummy_delay *= 2;
                    state.dummy_connect_at = Some(now + dummy_delay);
                }
                (state.phase, state.deadline, state.half_closed, dummy_connect_at)
            };
            if dummy_connect_at.is_some_and(|at| at <= now) {
                self.open_dummy_connection().await;
                continue;
            }
            if deadline.is_some_and(|deadline| deadline <= now) {
                return match phase {
                    ConnectionPhase::Idle => ConnectionEnd::Idle,
                    _ => ConnectionEnd::Refused(ProxyRefusal::SenderTimeout),
                };
            }
            let mut wait_until = deadline.into_iter().chain(dummy_connect_at).min();
            if half_closed {
                let send_probe = phase == ConnectionPhase::Received && next_probe <= now;
                if send_probe {
                    next_probe = now + PROBE_INTERVAL;
                }
                if self.is_closed_by_caller(send_probe) {
                    return ConnectionEnd::Gone;
                }
                let next_check = now + HALF_CLOSED_CHECK_INTERVAL;
                wait_until = Some(wait_until.map_or(next_check, |until| until.min(next_check)));
            }
            let timer = wait_until.map_or_else(Timer::never, Timer::at);
            future::select(pin!(wake.recv()), timer).await;
        }
    }

    /// Opens and closes a connection to the backend server, so that it starts another thread.
    ///
    /// The thread pool of `tiny_http` counts a notified thread as idle until it has woken up. In a
    /// burst it queues more connections than it has idle threads, and the rest would wait until
    /// another connection ends. A further connection makes it start a thread, which then takes one
    /// from the queue.
    async fn open_dummy_connection(&self) {
        let Ok(address) = self.backend.get_ref().peer_addr() else { return };
        if let Err(error) = Async::<TcpStream>::connect(address).await {
            log::warn!(error:% = error; "backend server is unreachable");
        }
    }

    /// Returns whether a caller that sent FIN has closed its socket. Sends a probe on request.
    ///
    /// After FIN, reads return only the end of the stream. A reset shows as a pending socket error
    /// or as a failed write.
    fn is_closed_by_caller(&self, send_probe: bool) -> bool {
        if !matches!(self.caller.get_ref().take_error(), Ok(None)) {
            return true;
        }
        // Nothing was sent since the last response ended, so the probe fits into the send buffer.
        send_probe
            && !matches!(self.caller.get_ref().write(PROBE), Ok(length) if length == PROBE.len())
    }

    async fn finish(&self, end: ConnectionEnd) -> BackendState {
        let (incomplete, responding) = {
            let state = self.connection.state();
            (state.phase == ConnectionPhase::Receiving, state.phase == ConnectionPhase::Responding)
        };
        match end {
            ConnectionEnd::BackendClosed => {
                close_gracefully(self.caller, REFUSAL_LINGER).await;
                self.connection.set_gone();
                return BackendState::Closed;
            }
            ConnectionEnd::Gone | ConnectionEnd::Idle => self.connection.set_gone(),
            ConnectionEnd::Reset => {
                self.drain_before_reset().await;
                self.set_zero_linger();
                self.connection.set_gone();
            }
            ConnectionEnd::Refused(refusal) => {
                self.connection.set_gone();
                if responding {
                    self.set_zero_linger();
                } else {
                    send_refusal(self.caller, refusal).await;
                }
            }
        }
        if incomplete { BackendState::Broken } else { BackendState::Open }
    }

    /// Relays what the application sent before it requested the reset.
    async fn drain_before_reset(&self) {
        if self.connection.state().writing {
            return;
        }
        let mut caller = self.caller;
        let mut buffer = vec![0; COPY_BYTES];
        let copy = async {
            while let Ok(length) = self.backend.get_ref().read(&mut buffer) {
                if length == 0 || caller.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
        };
        future::select(pin!(copy), Timer::after(RESET_DRAIN)).await;
    }

    fn set_zero_linger(&self) {
        let socket = SockRef::from(self.caller.get_ref());
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            log::warn!(error:% = error; "failed to set the linger time of a socket");
        }
    }
}

/// Yields to other connections every [`ROUNDS_BEFORE_YIELD`] rounds. A copy loop whose sockets are
/// always ready never suspends, so one fast stream could occupy the thread.
async fn yield_after(round: usize) {
    if !round.is_multiple_of(ROUNDS_BEFORE_YIELD) {
        return;
    }
    let mut yielded = false;
    future::poll_fn(|context| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Sends a refusal and closes the connection gracefully.
pub(super) async fn send_refusal(caller: &Async<TcpStream>, refusal: ProxyRefusal) {
    let response = refusal.response();
    let mut writer = caller;
    let sent = writer.write_all(response.as_bytes());
    if let Either::Left((Ok(()), _)) =
        future::select(pin!(sent), Timer::after(REFUSAL_LINGER)).await
    {
        close_gracefully(caller, REFUSAL_LINGER).await;
    }
}

/// Shuts down the sending side, then discards input until the caller closes or `limit` passes.
///
/// Closing a socket with unread input resets the connection, and the reset can overtake the
/// response.
async fn close_gracefully(caller: &Async<TcpStream>, limit: Duration) {
    if caller.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    future::select(pin!(discard(caller)), Timer::after(limit)).await;
}

/// Reads and discards input until the end of the stream or an error.
pub(super) async fn discard(mut socket: &Async<TcpStream>) {
    let mut buffer = vec![0; 1024];
    while let Ok(length) = socket.read(&mut buffer).await {
        if length == 0 {
            return;
        }
    }
}

/// Sets the linger time to zero, so that the peer sees a reset when the socket is closed.
pub(super) fn reset_on_close(socket: &Async<TcpStream>) -> io::Result<()> {
    SockRef::from(socket.get_ref()).set_linger(Some(Duration::ZERO))
}
