//! Connection of a caller that may be closed before the body of a request was read.

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
/// Maximum number of connections whose rest is discarded at a time. Others are closed at once.
const MAX_DISCARDING: usize = 64;
/// Size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 8 << 10;

/// Tells the connection of a caller that the body of a request was left unread.
#[derive(Clone, Default)]
pub(crate) struct UnreadMark(Rc<Cell<bool>>);

impl UnreadMark {
    pub(crate) fn set(&self) {
        self.0.set(true);
    }
}

/// Number of connections whose rest is being discarded.
pub(crate) type DiscardCount = Rc<Cell<usize>>;

/// Connection of a caller. After a response to a request whose body was left unread, it discards what
/// the caller still sends before it closes. Otherwise the kernel would reset the connection, and the
/// caller could lose the response.
pub(crate) struct CallerStream {
    inner: TcpStream,
    unread: UnreadMark,
    discarding: DiscardCount,
    limit: Option<DiscardGuard>,
}

/// Counts a connection while its rest is discarded, with the end of that time.
struct DiscardGuard {
    count: DiscardCount,
    end: Pin<Box<Sleep>>,
}

impl DiscardGuard {
    /// Returns `None` if too many connections are discarding.
    fn start(count: &DiscardCount) -> Option<Self> {
        if count.get() >= MAX_DISCARDING {
            return None;
        }
        count.set(count.get() + 1);
        let end = Box::pin(tokio::time::sleep(Duration::from_millis(DISCARD_MS)));
        Some(Self { count: count.clone(), end })
    }
}

impl Drop for DiscardGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

impl CallerStream {
    pub(crate) const fn new(
        inner: TcpStream,
        unread: UnreadMark,
        discarding: DiscardCount,
    ) -> Self {
        Self { inner, unread, discarding, limit: None }
    }

    /// Discards bytes until the caller closes the connection or the time is over.
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
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
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
