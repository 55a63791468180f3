//! Connection of a client (a caller, a target or an operator) that may be closed before the body of a
//! request was read.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Longest time for which the rest of a refused body is read and discarded, in ms. The largest body
/// takes 3.4 s on the slowest link and 0.4 s on the others; callers stop sending at the answer.
const DISCARD_MS: u64 = 4_000;
/// Maximum number of bytes of a refused body that are discarded: twice the default limit of a body.
/// A client that sends without end does not hold its connection for longer.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Maximum number of connections of a listener whose rest is discarded at a time. Others are closed
/// at once.
const MAX_DISCARDING: usize = 64;
/// Size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 8 << 10;

/// Tells the connection of a client that the body of a request was left unread.
#[derive(Clone, Default)]
pub(crate) struct UnreadMark(Rc<Cell<bool>>);

impl UnreadMark {
    pub(crate) fn set(&self) {
        self.0.set(true);
    }
}

/// Number of connections whose rest is being discarded.
pub(crate) type DiscardCount = Rc<Cell<usize>>;

/// Connection of a client. After a response to a request whose body was left unread, it ends its sending
/// side and discards what the client still sends before it closes. Otherwise the kernel would reset the
/// connection: the client's write fails, and it may lose the response.
pub(crate) struct ClientStream {
    inner: TcpStream,
    unread: UnreadMark,
    discarding: DiscardCount,
    limit: Option<DiscardGuard>,
}

/// Counts a connection while its rest is discarded, with the end of that time.
struct DiscardGuard {
    count: DiscardCount,
    end: Pin<Box<Sleep>>,
    left_bytes: usize,
}

impl DiscardGuard {
    /// Returns `None` if too many connections are discarding.
    fn start(count: &DiscardCount) -> Option<Self> {
        if count.get() >= MAX_DISCARDING {
            return None;
        }
        count.set(count.get() + 1);
        let end = Box::pin(tokio::time::sleep(Duration::from_millis(DISCARD_MS)));
        Some(Self { count: count.clone(), end, left_bytes: MAX_DISCARDED_BYTES })
    }
}

impl Drop for DiscardGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

impl ClientStream {
    pub(crate) const fn new(
        inner: TcpStream,
        unread: UnreadMark,
        discarding: DiscardCount,
    ) -> Self {
        Self { inner, unread, discarding, limit: None }
    }

    /// Discards bytes until the client closes the connection, the time is over or too many came.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.limit.is_none() {
            self.limit = DiscardGuard::start(&self.discarding);
        }
        let Some(limit) = &mut self.limit else { return Poll::Ready(()) };
        let mut bytes = [0; DISCARD_BUFFER_BYTES];
        loop {
            if limit.end.as_mut().poll(context).is_ready() {
                return Poll::Ready(());
            }
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.inner).poll_read(context, &mut buffer));
            let length = buffer.filled().len();
            if read.is_err() || length == 0 || length > limit.left_bytes {
                return Poll::Ready(());
            }
            limit.left_bytes -= length;
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.limit.is_none() {
            ready!(Pin::new(&mut self.inner).poll_shutdown(context))?;
        }
        if self.unread.0.get() {
            ready!(self.poll_discard(context));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
