//! Counters of the bytes that all links of a process transfer over their sockets.

use futures::io::{AsyncRead, AsyncWrite};
use serde::Serialize;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

/// Bytes transferred on all links of a process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LinkTotals {
    /// Bytes written to links.
    pub sent_bytes: u64,
    /// Bytes read from links.
    pub received_bytes: u64,
}

/// Byte counters that all sockets share.
#[derive(Clone, Debug, Default)]
pub(super) struct LinkCounter {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl LinkCounter {
    pub(super) fn totals(&self) -> LinkTotals {
        LinkTotals {
            sent_bytes: self.sent.load(Ordering::Relaxed),
            received_bytes: self.received.load(Ordering::Relaxed),
        }
    }
}

/// Wrapper of one half of a socket that counts its bytes.
pub(super) struct CountedHalf<S> {
    inner: S,
    counter: LinkCounter,
}

impl<S> CountedHalf<S> {
    pub(super) fn new(inner: S, counter: LinkCounter) -> Self {
        Self { inner, counter }
    }
}

/// Adds the size of a completed read or write to a counter.
fn count(counter: &AtomicU64, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
    if let Poll::Ready(Ok(size)) = poll {
        counter.fetch_add(size as u64, Ordering::Relaxed);
    }
    poll
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedHalf<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_read(context, buffer);
        count(&self.counter.received, poll)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedHalf<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write(context, buffer);
        count(&self.counter.sent, poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
