//! State of one connection, shared between the proxy thread and the application.

use super::ProxyLimits;
use async_channel::{Receiver, Sender};
use async_io::Async;
use std::net::{Shutdown, TcpStream};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

/// Called once when a caller disconnects.
pub type GoneCallback = Box<dyn FnOnce() + Send>;

/// Delay from the first byte of a request until a dummy connection to the backend server is opened,
/// if that server has not read from the connection by then. The delay then doubles each time.
pub(super) const FIRST_DUMMY_DELAY: Duration = Duration::from_millis(10);

/// Phase of a connection within the request cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// No byte of the next request has arrived.
    Idle,
    /// A request is arriving.
    Receiving,
    /// The application has the complete request. No byte of the response was sent.
    Received,
    /// The response is being sent.
    Responding,
}

/// A request exceeds a size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SizeExceeded;

/// Mutable state of a connection.
pub(super) struct ConnectionState {
    pub(super) phase: ConnectionPhase,
    /// When the phase times out.
    pub(super) deadline: Option<Instant>,
    /// The caller has sent FIN.
    pub(super) half_closed: bool,
    /// The caller has disconnected, or was refused or reset by the proxy.
    pub(super) gone: bool,
    /// The proxy no longer holds the caller's socket.
    pub(super) closed: bool,
    /// The application has requested a reset.
    pub(super) reset_requested: bool,
    /// When to open the next dummy connection to the backend server. `None` once the backend server
    /// has read from this connection.
    pub(super) dummy_connect_at: Option<Instant>,
    /// The backend server has read from this connection.
    served: bool,
    /// Bytes were read from the backend server and not yet written to the caller.
    pub(super) writing: bool,
    /// Number of requests that are marked as received and not yet as finished.
    open_requests: usize,
    /// Bytes of the current request so far, head and body.
    request_bytes: u64,
    /// When the first byte of the latest request arrived.
    pub(super) started: Option<Instant>,
    head: HeadScanner,
    callbacks: Vec<GoneCallback>,
}

impl ConnectionState {
    fn set_served(&mut self) {
        self.served = true;
        self.dummy_connect_at = None;
    }
}

/// Finds the empty line that ends the head of a request, and counts the bytes up to it.
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

/// Connection between a caller and the backend server.
pub(super) struct ProxiedConnection {
    state: Mutex<ConnectionState>,
    changed: Condvar,
    signal: Sender<()>,
    socket: Weak<Async<TcpStream>>,
}

impl ProxiedConnection {
    /// Creates the state of a new connection and the receiver of its wake-up signal.
    pub(super) fn new(
        socket: Weak<Async<TcpStream>>,
        limits: &ProxyLimits,
    ) -> (Self, Receiver<()>) {
        let (signal, wake) = async_channel::bounded(1);
        let state = Mutex::new(ConnectionState {
            phase: ConnectionPhase::Idle,
            deadline: Some(Instant::now() + Duration::from_millis(limits.idle_ms)),
            half_closed: false,
            gone: false,
            closed: false,
            reset_requested: false,
            dummy_connect_at: None,
            served: false,
            writing: false,
            open_requests: 0,
            request_bytes: 0,
            started: None,
            head: HeadScanner::default(),
            callbacks: Vec::new(),
        });
        (Self { state, changed: Condvar::new(), signal, socket }, wake)
    }

    pub(super) fn state(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the task that supervises the connection.
    pub(super) fn wake(&self) {
        // If the channel is full, a wake-up is already pending.
        let _ = self.signal.try_send(());
    }

    /// Records bytes from the caller and starts a request if none is in progress.
    ///
    /// # Errors
    /// Fails if the request exceeds a size limit.
    pub(super) fn record_request(
        &self,
        bytes: &[u8],
        limits: &ProxyLimits,
    ) -> Result<(), SizeExceeded> {
        let mut state = self.state();
        // Bytes that arrive before the response starts belong to the request in progress.
        if matches!(state.phase, ConnectionPhase::Idle | ConnectionPhase::Responding) {
            state.phase = ConnectionPhase::Receiving;
            state.deadline = Some(Instant::now() + Duration::from_millis(limits.receive_ms));
            state.request_bytes = 0;
            state.started = Some(Instant::now());
            state.head = HeadScanner::default();
            state.dummy_connect_at = (!state.served).then(|| Instant::now() + FIRST_DUMMY_DELAY);
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

    /// Records that bytes of a response are about to be sent to the caller.
    pub(super) fn record_response(&self) {
        let mut state = self.state();
        state.writing = true;
        state.set_served();
        if state.phase == ConnectionPhase::Received {
            state.phase = ConnectionPhase::Responding;
        }
    }

    pub(super) fn mark_written(&self) {
        self.state().writing = false;
    }

    pub(super) fn mark_half_closed(&self) {
        self.state().half_closed = true;
        self.wake();
    }

    /// Marks the request as completely read. Returns false if the caller has disconnected or was
    /// refused.
    pub(super) fn mark_received(&self) -> bool {
        let mut state = self.state();
        if state.gone {
            return false;
        }
        state.open_requests += 1;
        state.phase = ConnectionPhase::Received;
        state.deadline = None;
        state.set_served();
        drop(state);
        self.wake();
        true
    }

    /// Marks the response as sent.
    pub(super) fn mark_finished(&self, idle_ms: u64) {
        let mut state = self.state();
        state.open_requests = state.open_requests.saturating_sub(1);
        let responded =
            matches!(state.phase, ConnectionPhase::Received | ConnectionPhase::Responding);
        if state.open_requests == 0 {
            state.callbacks.clear();
        }
        if state.open_requests == 0 && responded {
            state.phase = ConnectionPhase::Idle;
            state.deadline = Some(Instant::now() + Duration::from_millis(idle_ms));
        }
        drop(state);
        self.wake();
    }

    /// Marks the caller as disconnected, wakes the waiting threads and runs the callbacks.
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

    /// Marks the caller's socket as closed.
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

    /// Waits until the caller has disconnected. Returns false if `limit` passes first.
    pub(super) fn wait_gone(&self, limit: Duration) -> bool {
        let waited = self.changed.wait_timeout_while(self.state(), limit, |state| !state.gone);
        waited.is_ok_and(|(state, _)| state.gone)
    }

    /// Requests a reset and waits until the caller's socket is closed.
    ///
    /// After this call the application ends its response body, and that end must not reach the
    /// caller.
    pub(super) fn reset(&self, limit: Duration) {
        self.state().reset_requested = true;
        self.wake();
        let waited = self.changed.wait_timeout_while(self.state(), limit, |state| !state.closed);
        if waited.is_ok_and(|(state, _)| state.closed) {
            return;
        }
        // The proxy thread is late. The shutdown ensures that no later bytes reach the caller.
        if let Some(socket) = self.socket.upgrade() {
            let _ = socket.get_ref().shutdown(Shutdown::Both);
        }
    }
}
