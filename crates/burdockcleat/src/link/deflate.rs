//! DEFLATE compression of the byte streams of a link.
//!
//! The messages of one RPC call take about 230 bytes besides the frames, most of them zeros or the
//! same as in the previous call. Each direction of a link is a single compressed stream, so that
//! such repetitions take only a few bytes.

use flate2::{Compress, Compression, Decompress, FlushCompress, FlushDecompress, Status};
use futures::io::{AsyncRead, AsyncWrite};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Window size of the compression, as a power of two: 2^12 bytes. A larger window costs memory for
/// each link of a leader.
const WINDOW_BITS: u8 = 12;
/// Size of a read, and of the compressed output that makes a write wait for the socket.
const CHUNK_BYTES: usize = 8 << 10;
/// Maximum number of uncompressed bytes that one write accepts.
const MAX_WRITE_BYTES: usize = 64 << 10;

/// Decompressing half of a socket.
pub(super) struct InflateHalf<S> {
    inner: S,
    codec: Decompress,
    input: Vec<u8>,
    position: usize,
}

impl<S> InflateHalf<S> {
    pub(super) fn new(inner: S) -> Self {
        let codec = Decompress::new_with_window_bits(false, WINDOW_BITS);
        Self { inner, codec, input: Vec::new(), position: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for InflateHalf<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let half = &mut *self;
        loop {
            let (read, written) = (half.codec.total_in(), half.codec.total_out());
            let pending = &half.input[half.position..];
            let status = half
                .codec
                .decompress(pending, buffer, FlushDecompress::None)
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
            half.position += to_length(half.codec.total_in() - read);
            let produced = to_length(half.codec.total_out() - written);
            if produced > 0 {
                return Poll::Ready(Ok(produced));
            }
            if status == Status::StreamEnd {
                return Poll::Ready(Ok(0));
            }
            half.input.resize(CHUNK_BYTES, 0);
            half.position = 0;
            let result = Pin::new(&mut half.inner).poll_read(context, &mut half.input);
            let Poll::Ready(result) = result else {
                half.input.clear();
                return Poll::Pending;
            };
            let received = result?;
            half.input.truncate(received);
            if received == 0 {
                return Poll::Ready(Ok(0));
            }
        }
    }
}

/// Compressing half of a socket.
pub(super) struct DeflateHalf<S> {
    inner: S,
    codec: Compress,
    output: Vec<u8>,
    position: usize,
    /// Whether the codec holds bytes that a flush must write out.
    needs_flush: bool,
}

impl<S> DeflateHalf<S> {
    pub(super) fn new(inner: S) -> Self {
        let codec = Compress::new_with_window_bits(Compression::fast(), false, WINDOW_BITS);
        Self { inner, codec, output: Vec::new(), position: 0, needs_flush: false }
    }

    /// Compresses all of the input into `output`. With a flush, `output` then also has everything
    /// that the codec held.
    fn compress(&mut self, mut input: &[u8], flush: FlushCompress) -> io::Result<()> {
        loop {
            self.output.reserve(CHUNK_BYTES);
            let read = self.codec.total_in();
            self.codec
                .compress_vec(input, &mut self.output, flush)
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
            input = &input[to_length(self.codec.total_in() - read)..];
            // If the output has room left, the codec has no further output.
            if input.is_empty() && self.output.len() < self.output.capacity() {
                return Ok(());
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> DeflateHalf<S> {
    /// Writes all pending output to the socket.
    fn poll_drain(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.position < self.output.len() {
            let pending = &self.output[self.position..];
            let written = ready!(Pin::new(&mut self.inner).poll_write(context, pending))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.position += written;
        }
        self.output.clear();
        self.output.shrink_to(2 * CHUNK_BYTES);
        self.position = 0;
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for DeflateHalf<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.output.len() - self.position >= CHUNK_BYTES {
            ready!(self.poll_drain(context))?;
        }
        let part = &buffer[..buffer.len().min(MAX_WRITE_BYTES)];
        self.compress(part, FlushCompress::None)?;
        self.needs_flush = true;
        Poll::Ready(Ok(part.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.needs_flush {
            self.compress(&[], FlushCompress::Sync)?;
            self.needs_flush = false;
        }
        ready!(self.poll_drain(context))?;
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.as_mut().poll_flush(context))?;
        Pin::new(&mut self.inner).poll_close(context)
    }
}

/// Converts a byte count of one codec step. It is bounded by a buffer in memory, so it fits.
fn to_length(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
