//! TCP connection with a limit on the bytes read.
//!
//! Guards against faulty targets that send bytes without end, in a response head, in a body or
//! between responses. Limits on single parts of a message leave gaps, so the connection itself is
//! limited.

use crate::traffic::LinkBytes;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes that may still be read. Shared by the connection and its user.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadLimit(Rc<Cell<u64>>);

impl ReadLimit {
    /// Sets the number of bytes that may be read from now on.
    pub(crate) fn set(&self, bytes: u64) {
        self.0.set(bytes);
    }

    fn take(&self, bytes: u64) -> bool {
        let left = self.0.get().checked_sub(bytes);
        self.0.set(left.unwrap_or(0));
        left.is_some()
    }
}

/// Connection that fails once its read limit is exceeded.
pub(crate) struct MeteredStream {
    inner: TcpStream,
    limit: ReadLimit,
    link: Rc<LinkBytes>,
}

impl MeteredStream {
    pub(crate) const fn new(inner: TcpStream, limit: ReadLimit, link: Rc<LinkBytes>) -> Self {
        Self { inner, limit, link }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        self.link.count_received(read);
        if self.limit.take(read as u64) {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(Err(io::Error::other("the target sent more bytes than an answer may have")))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(context, bytes))?;
        self.link.count_sent(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write_vectored(context, parts))?;
        self.link.count_sent(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
