//! State of one caller's connection, shared between the proxy thread and the application.

use super::ProxyLimits;
use async_channel::{Receiver, Sender};
use async_io::Async;
use std::net::{Shutdown, TcpStream};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

/// Called once when a caller hangs up.
pub type GoneCallback = Box<dyn FnOnce() + Send>;

/// Time after the first byte at which an untouched connection gets a nudge.
pub(super) const FIRST_NUDGE: Duration = Duration::from_millis(10);

/// Where a connection is between two requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkPhase {
    /// No byte of a further request has arrived.
    Idle,
    /// A request is arriving.
    Receiving,
    /// The application has the whole request; no byte of the response was sent.
    Received,
    /// The response is being sent.
    Answering,
}

/// Bounds that a request can exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SizeExceeded;

pub(super) struct LinkState {
    pub(super) phase: LinkPhase,
    /// Instant by which the phase must end.
    pub(super) deadline: Option<Instant>,
    /// The caller sent FIN.
    pub(super) half_closed: bool,
    /// The caller is gone, or was refused or reset by the proxy.
    pub(super) gone: bool,
    /// The proxy no longer holds the caller's socket.
    pub(super) closed: bool,
    pub(super) reset_requested: bool,
    /// When the inner server is given a nudge, until it has taken up the connection.
    pub(super) nudge_at: Option<Instant>,
    /// The inner server has read from the connection.
    taken_up: bool,
    /// Bytes were read from the inner server and not yet written to the caller.
    pub(super) writing: bool,
    /// Requests that were marked as received and not as finished.
    open_requests: usize,
    request_bytes: u64,
    /// When the first byte of the last request arrived.
    pub(super) started: Option<Instant>,
    head: HeadScanner,
    callbacks: Vec<GoneCallback>,
}

impl LinkState {
    fn set_taken_up(&mut self) {
        self.taken_up = true;
        self.nudge_at = None;
    }
}

/// Finds the empty line that ends a head.
#[derive(Default)]
struct HeadScanner {
    bytes: u64,
    matched: usize,
    ended: bool,
}

impl HeadScanner {
    fn feed(&mut self, bytes: &[u8]) {
        const END: &[u8] = b"\r\n\r\n";
        for byte in bytes {
            if self.ended {
                return;
            }
            self.bytes += 1;
            self.matched = match *byte {
                found if found == END[self.matched] => self.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            self.ended = self.matched == END.len();
        }
    }
}

/// One caller's connection.
pub(super) struct CallerLink {
    state: Mutex<LinkState>,
    changed: Condvar,
    signal: Sender<()>,
    socket: Weak<Async<TcpStream>>,
}

impl CallerLink {
    /// Creates the state of a new connection and the receiver of its wake-up signal.
    pub(super) fn new(
        socket: Weak<Async<TcpStream>>,
        limits: &ProxyLimits,
    ) -> (Self, Receiver<()>) {
        let (signal, wake) = async_channel::bounded(1);
        let state = Mutex::new(LinkState {
            phase: LinkPhase::Idle,
            deadline: Some(Instant::now() + Duration::from_millis(limits.idle_ms)),
            half_closed: false,
            gone: false,
            closed: false,
            reset_requested: false,
            nudge_at: None,
            taken_up: false,
            writing: false,
            open_requests: 0,
            request_bytes: 0,
            started: None,
            head: HeadScanner::default(),
            callbacks: Vec::new(),
        });
        (Self { state, changed: Condvar::new(), signal, socket }, wake)
    }

    pub(super) fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the supervisor of the connection.
    pub(super) fn wake(&self) {
        // A full channel means that a wake-up is pending already.
        let _ = self.signal.try_send(());
    }

    /// Counts bytes from the caller.
    pub(super) fn note_request(
        &self,
        bytes: &[u8],
        limits: &ProxyLimits,
    ) -> Result<(), SizeExceeded> {
        let mut state = self.state();
        // Bytes that arrive before the response starts belong to the request in progress.
        if matches!(state.phase, LinkPhase::Idle | LinkPhase::Answering) {
            state.phase = LinkPhase::Receiving;
            state.deadline = Some(Instant::now() + Duration::from_millis(limits.receive_ms));
            state.request_bytes = 0;
            state.started = Some(Instant::now());
            state.head = HeadScanner::default();
            state.nudge_at = (!state.taken_up).then(|| Instant::now() + FIRST_NUDGE);
            drop(state);
            self.wake();
            state = self.state();
        }
        state.head.feed(bytes);
        state.request_bytes += bytes.len() as u64;
        let too_large =
            state.request_bytes > limits.request_bytes || state.head.bytes > limits.head_bytes;
        if too_large { Err(SizeExceeded) } else { Ok(()) }
    }

    /// Notes that bytes of a response are about to be sent.
    pub(super) fn note_response(&self) {
        let mut state = self.state();
        state.writing = true;
        state.set_taken_up();
        if state.phase == LinkPhase::Received {
            state.phase = LinkPhase::Answering;
        }
    }

    pub(super) fn note_written(&self) {
        self.state().writing = false;
    }

    pub(super) fn note_half_closed(&self) {
        self.state().half_closed = true;
        self.wake();
    }

    /// The application has read the whole request. False if the caller is gone or refused.
    pub(super) fn mark_received(&self) -> bool {
        let mut state = self.state();
        if state.gone {
            return false;
        }
        state.open_requests += 1;
        state.phase = LinkPhase::Received;
        state.deadline = None;
        state.set_taken_up();
        drop(state);
        self.wake();
        true
    }

    /// The application has sent the whole response.
    pub(super) fn mark_finished(&self, idle_ms: u64) {
        let mut state = self.state();
        state.open_requests = state.open_requests.saturating_sub(1);
        let answered = matches!(state.phase, LinkPhase::Received | LinkPhase::Answering);
        if state.open_requests == 0 {
            state.callbacks.clear();
        }
        if state.open_requests == 0 && answered {
            state.phase = LinkPhase::Idle;
            state.deadline = Some(Instant::now() + Duration::from_millis(idle_ms));
        }
        drop(state);
        self.wake();
    }

    /// Records that the caller is gone and tells everyone who waits for it.
    pub(super) fn set_gone(&self) {
        let mut state = self.state();
        state.gone = true;
        let callbacks = std::mem::take(&mut state.callbacks);
        drop(state);
        self.changed.notify_all();
        for callback in callbacks {
            callback();
        }
    }

    /// Records that the proxy has closed the caller's socket.
    pub(super) fn set_closed(&self) {
        self.state().closed = true;
        self.changed.notify_all();
    }

    pub(super) fn on_gone(&self, callback: GoneCallback) {
        let mut state = self.state();
        if state.gone {
            drop(state);
            return callback();
        }
        state.callbacks.push(callback);
    }

    /// Waits until the caller is gone; false if the time passed first.
    pub(super) fn wait_gone(&self, limit: Duration) -> bool {
        let waited = self.changed.wait_timeout_while(self.state(), limit, |state| !state.gone);
        waited.is_ok_and(|(state, _)| state.gone)
    }

    /// Asks for a reset and waits until the caller's socket is closed.
    ///
    /// The wait matters: the application ends its response body after the reset, and that
    /// end must not reach the caller.
    pub(super) fn reset(&self, limit: Duration) {
        self.state().reset_requested = true;
        self.wake();
        let waited = self.changed.wait_timeout_while(self.state(), limit, |state| !state.closed);
        if waited.is_ok_and(|(state, _)| state.closed) {
            return;
        }
        // The proxy thread is late. A shutdown keeps later bytes from the caller in any case.
        if let Some(socket) = self.socket.upgrade() {
            let _ = socket.get_ref().shutdown(Shutdown::Both);
        }
    }
}
