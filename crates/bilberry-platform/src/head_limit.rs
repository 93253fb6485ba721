//! Bounds what is read from a server before the head of its response is complete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::poll_read_at_most;

/// The bytes of interim responses and a head that are read, and of the body with them.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// The largest head of a response.
///
/// Many connections to a faulty server may each hold as much.
pub const MAX_READ_BYTES: usize = 128 * 1024;

/// The largest read, which keeps the buffer of a connection small once the head is read.
///
/// A part of a response that waits for a caller keeps the buffer into which it was read.
const MAX_PART_BYTES: usize = 16 * 1024;

/// How much may be read from a connection until the head of a response is complete.
///
/// Interim responses are parsed one after the other as long as there are bytes. Without a
/// bound, a server that sends them without end occupies the thread that reads them.
#[derive(Debug, Clone)]
pub struct HeadLimit(Arc<AtomicUsize>);

/// A stream on which reads fail beyond the limit.
#[derive(Debug)]
pub struct HeadLimitedStream<S> {
    stream: S,
    limit: HeadLimit,
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self::new()
    }
}

impl HeadLimit {
    /// Creates a limit for the first response.
    pub fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)))
    }

    /// Expects the head of the next response.
    pub fn start(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit, as the head is complete.
    pub fn end(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts bytes; fails if they exceed the limit.
    fn count(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return Ok(());
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        match bytes <= left {
            true => Ok(()),
            false => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head of a response is too large; the connection is closed",
            )),
        }
    }
}

impl<S> HeadLimitedStream<S> {
    /// Applies a limit to a stream.
    pub fn new(stream: S, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let stream = &mut self.stream;
        ready!(poll_read_at_most(stream, context, buffer, MAX_PART_BYTES))?;
        Poll::Ready(self.limit.count(buffer.filled().len() - filled))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
