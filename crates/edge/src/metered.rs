//! TCP connection with a limit on the bytes read.
//!
//! Guards against faulty targets that send bytes without end, in a response head, in a body or
//! between responses. Limits on single parts of a message leave gaps, so the connection itself is
//! limited.
//!
//! A single read returns at most the bytes that are left, so it never exceeds the limit. The head of
//! a response and the start of its body may arrive together: the connection is not read again until
//! the user of a complete head asks for the body, and has set the limit of the body by then. The
//! limit is exceeded only if more bytes are needed than are left.

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

    fn left(&self) -> usize {
        usize::try_from(self.0.get()).unwrap_or(usize::MAX)
    }

    fn take(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes as u64));
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
        let left = self.limit.left();
        if left >= buffer.remaining() {
            let before = buffer.filled().len();
            ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
            let read = buffer.filled().len() - before;
            self.link.count_received(read);
            self.limit.take(read);
            return Poll::Ready(Ok(()));
        }
        // Without room for one byte, the end of the connection and further bytes look alike.
        let mut probe = [0];
        let mut part = ReadBuf::new(match left {
            0 => &mut probe,
            _ => buffer.initialize_unfilled_to(left),
        });
        ready!(Pin::new(&mut self.inner).poll_read(context, &mut part))?;
        let read = part.filled().len();
        self.link.count_received(read);
        if read > left {
            let cause = "the target sent more bytes than an answer may have";
            return Poll::Ready(Err(io::Error::other(cause)));
        }
        buffer.advance(read);
        self.limit.take(read);
        Poll::Ready(Ok(()))
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
