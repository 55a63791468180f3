//! Copies bytes between a caller and the inner server and supervises the connection.

use super::ProxyLimits;
use super::connection::{CallerLink, FIRST_NUDGE, LinkPhase};
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

/// Bytes copied at a time in one direction.
const COPY_BYTES: usize = 8 * 1024;
/// Copies of one connection in a row while its sockets stay ready.
const ROUNDS_AT_A_TIME: usize = 16;
/// Interval at which the socket of a half-closed caller is looked at.
const HALF_CLOSED_LOOK: Duration = Duration::from_millis(50);
/// Interval of the probes to a half-closed caller that waits for its response.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Interim response that a caller must skip (RFC 9110, section 15.2). A socket that the
/// caller has closed answers it with a reset, a half-closed one accepts it.
const PROBE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Time for the bytes that the application sent before a reset.
const RESET_DRAIN: Duration = Duration::from_millis(100);
/// Time for a refusal to reach the caller before the socket is closed.
pub(super) const REFUSAL_LINGER: Duration = Duration::from_millis(500);

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkEnd {
    /// The inner server closed its side after its last response.
    Answered,
    /// The caller hung up.
    Gone,
    /// The application asked for a reset, or the inner connection broke.
    Reset,
    /// No further request came in time.
    Idle,
    /// The request broke a bound.
    Refused(ProxyRefusal),
}

/// One connection in the proxy thread.
pub(super) struct LinkRelay<'a> {
    pub(super) caller: &'a Async<TcpStream>,
    pub(super) inner: &'a Async<TcpStream>,
    pub(super) link: &'a CallerLink,
    pub(super) limits: &'a ProxyLimits,
}

/// Whether the inner socket must still be drained, so that its port stays taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InnerEnd {
    /// The inner server has closed.
    Closed,
    /// The application may still hold the request.
    Open,
    /// The request never became whole: the application must see an error, not an end.
    Broken,
}

impl LinkRelay<'_> {
    /// Runs the connection until the caller's side is finished.
    pub(super) async fn run(&self, wake: &Receiver<()>) -> InnerEnd {
        let (request, response) = (pin!(self.copy_request()), pin!(self.copy_response()));
        let copies = future::select(request, response);
        let end = match future::select(copies, pin!(self.supervise(wake))).await {
            Either::Left((Either::Left((end, _)) | Either::Right((end, _)), _)) => end,
            Either::Right((end, _)) => end,
        };
        self.finish(end).await
    }

    async fn copy_request(&self) -> LinkEnd {
        let (mut caller, mut inner) = (self.caller, self.inner);
        let mut buffer = vec![0; COPY_BYTES];
        for round in 1_usize.. {
            yield_after(round).await;
            let length = match caller.read(&mut buffer).await {
                Ok(0) => {
                    let _ = inner.get_ref().shutdown(Shutdown::Write);
                    self.link.note_half_closed();
                    return future::pending().await;
                }
                Ok(length) => length,
                Err(_) => return LinkEnd::Gone,
            };
            if self.link.note_request(&buffer[..length], self.limits).is_err() {
                return LinkEnd::Refused(ProxyRefusal::TooLarge);
            }
            if inner.write_all(&buffer[..length]).await.is_err() {
                // The inner server has stopped reading; its response may still be on the way.
                return future::pending().await;
            }
        }
        future::pending().await
    }

    async fn copy_response(&self) -> LinkEnd {
        let mut inner = self.inner;
        let mut buffer = vec![0; COPY_BYTES];
        for round in 1_usize.. {
            yield_after(round).await;
            let length = match inner.read(&mut buffer).await {
                Ok(0) => return LinkEnd::Answered,
                Ok(length) => length,
                Err(_) => return LinkEnd::Reset,
            };
            self.link.note_response();
            if let Err(end) = self.write_caller(&buffer[..length]).await {
                return end;
            }
            self.link.note_written();
        }
        future::pending().await
    }

    /// Writes to the caller; the timer is only needed when the send buffer is full.
    async fn write_caller(&self, bytes: &[u8]) -> Result<(), LinkEnd> {
        let sent = match self.caller.get_ref().write(bytes) {
            Ok(sent) => sent,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => 0,
            Err(_) => return Err(LinkEnd::Gone),
        };
        if sent == bytes.len() {
            return Ok(());
        }
        let mut caller = self.caller;
        let limit = Timer::after(Duration::from_millis(self.limits.write_ms));
        match future::select(caller.write_all(&bytes[sent..]), limit).await {
            Either::Left((Ok(()), _)) => Ok(()),
            Either::Left((Err(_), _)) => Err(LinkEnd::Gone),
            Either::Right(_) => Err(LinkEnd::Reset),
        }
    }

    /// Watches deadlines, resets and half-closed callers.
    async fn supervise(&self, wake: &Receiver<()>) -> LinkEnd {
        let mut next_probe = Instant::now();
        let mut nudge_pause = FIRST_NUDGE;
        loop {
            let now = Instant::now();
            let (phase, deadline, half_closed, nudge_at) = {
                let mut state = self.link.state();
                if state.reset_requested {
                    return LinkEnd::Reset;
                }
                let nudge_at = state.nudge_at;
                if nudge_at.is_some_and(|at| at <= now) {
                    nudge_pause *= 2;
                    state.nudge_at = Some(now + nudge_pause);
                }
                (state.phase, state.deadline, state.half_closed, nudge_at)
            };
            if nudge_at.is_some_and(|at| at <= now) {
                self.nudge_inner().await;
                continue;
            }
            if deadline.is_some_and(|deadline| deadline <= now) {
                return match phase {
                    LinkPhase::Idle => LinkEnd::Idle,
                    _ => LinkEnd::Refused(ProxyRefusal::SenderTimeout),
                };
            }
            let mut wait_until = deadline.into_iter().chain(nudge_at).min();
            if half_closed {
                let probes = phase == LinkPhase::Received && next_probe <= now;
                if probes {
                    next_probe = now + PROBE_INTERVAL;
                }
                if self.is_closed_by_caller(probes) {
                    return LinkEnd::Gone;
                }
                let look = now + HALF_CLOSED_LOOK;
                wait_until = Some(wait_until.map_or(look, |until| until.min(look)));
            }
            let timer = wait_until.map_or_else(Timer::never, Timer::at);
            future::select(pin!(wake.recv()), timer).await;
        }
    }

    /// Opens and closes a connection to the inner server.
    ///
    /// The thread pool of `tiny_http` counts a notified thread as free until it has woken up.
    /// In a burst it queues more connections than it has free threads, and the rest would
    /// wait until another connection ends. A further connection makes it start a thread,
    /// which then takes one from the queue.
    async fn nudge_inner(&self) {
        let Ok(address) = self.inner.get_ref().peer_addr() else { return };
        if let Err(error) = Async::<TcpStream>::connect(address).await {
            log::warn!(error:% = error; "the inner server is unreachable");
        }
    }

    /// Looks at a caller that sent FIN. After FIN, reads only return the end, so a reset
    /// shows as a pending socket error or as a failed write.
    fn is_closed_by_caller(&self, probes: bool) -> bool {
        if !matches!(self.caller.get_ref().take_error(), Ok(None)) {
            return true;
        }
        // Nothing was sent since the last response ended, so the buffer has room for all.
        probes && !matches!(self.caller.get_ref().write(PROBE), Ok(length) if length == PROBE.len())
    }

    async fn finish(&self, end: LinkEnd) -> InnerEnd {
        let (unread, answering) = {
            let state = self.link.state();
            (state.phase == LinkPhase::Receiving, state.phase == LinkPhase::Answering)
        };
        match end {
            LinkEnd::Answered => {
                close_gently(self.caller, REFUSAL_LINGER).await;
                self.link.set_gone();
                return InnerEnd::Closed;
            }
            LinkEnd::Gone | LinkEnd::Idle => self.link.set_gone(),
            LinkEnd::Reset => {
                self.drain_before_reset().await;
                self.set_reset();
                self.link.set_gone();
            }
            LinkEnd::Refused(refusal) => {
                self.link.set_gone();
                if answering {
                    self.set_reset();
                } else {
                    send_refusal(self.caller, refusal).await;
                }
            }
        }
        if unread { InnerEnd::Broken } else { InnerEnd::Open }
    }

    /// Passes on what the application sent before it asked for the reset.
    async fn drain_before_reset(&self) {
        if self.link.state().writing {
            return;
        }
        let mut caller = self.caller;
        let mut buffer = vec![0; COPY_BYTES];
        let copy = async {
            while let Ok(length) = self.inner.get_ref().read(&mut buffer) {
                if length == 0 || caller.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
        };
        future::select(pin!(copy), Timer::after(RESET_DRAIN)).await;
    }

    fn set_reset(&self) {
        let socket = SockRef::from(self.caller.get_ref());
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            log::warn!(error:% = error; "the linger time of a socket could not be set");
        }
    }
}

/// Lets other connections run after some rounds. Sockets that are always ready never suspend
/// a copy loop, so one fast stream could hold the thread.
async fn yield_after(round: usize) {
    if !round.is_multiple_of(ROUNDS_AT_A_TIME) {
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

/// Sends a refusal and closes the sending side.
pub(super) async fn send_refusal(caller: &Async<TcpStream>, refusal: ProxyRefusal) {
    let response = refusal.response();
    let mut writer = caller;
    let sent = writer.write_all(response.as_bytes());
    if let Either::Left((Ok(()), _)) =
        future::select(pin!(sent), Timer::after(REFUSAL_LINGER)).await
    {
        close_gently(caller, REFUSAL_LINGER).await;
    }
}

/// Closes the sending side and discards input until the caller closes or the time is up.
///
/// Closing a socket with unread input resets it, and the reset can overtake the response.
async fn close_gently(caller: &Async<TcpStream>, limit: Duration) {
    if caller.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    future::select(pin!(discard(caller)), Timer::after(limit)).await;
}

/// Reads and discards until the end or an error.
pub(super) async fn discard(mut socket: &Async<TcpStream>) {
    let mut buffer = vec![0; 1024];
    while let Ok(length) = socket.read(&mut buffer).await {
        if length == 0 {
            return;
        }
    }
}

/// Makes the peer see a reset when the socket is closed.
pub(super) fn reset_on_close(socket: &Async<TcpStream>) -> io::Result<()> {
    SockRef::from(socket.get_ref()).set_linger(Some(Duration::ZERO))
}
