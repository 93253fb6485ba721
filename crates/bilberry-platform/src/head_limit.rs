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

/// The largest read before the head is complete, and what is read then until other tasks of
/// the thread have their turn.
const MAX_HEAD_PART_BYTES: usize = 4 * 1024;

/// How much may be read from a connection until the head of a response is complete.
///
/// Interim responses are parsed one after the other as long as there are bytes. Without a
/// bound, a server that sends them without end occupies the thread that reads them.
#[derive(Debug, Clone)]
pub struct HeadLimit(Arc<AtomicUsize>);

/// A stream on which reads fail beyond the limit.
///
/// Until then, reads before the head is complete let other tasks run in between.
#[derive(Debug)]
pub struct HeadLimitedStream<S> {
    stream: S,
    limit: HeadLimit,
    /// What was read for a head since other tasks had their turn.
    turn_bytes: usize,
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

    /// Returns whether a head is expected.
    fn is_active(&self) -> bool {
        self.0.load(Ordering::Relaxed) != usize::MAX
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
        Self { stream, limit, turn_bytes: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let is_head = self.limit.is_active();
        let max_bytes = if is_head { MAX_HEAD_PART_BYTES } else { MAX_PART_BYTES };
        if is_head && self.turn_bytes >= MAX_HEAD_PART_BYTES {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        ready!(poll_read_at_most(&mut self.stream, context, buffer, max_bytes))?;
        let read_bytes = buffer.filled().len() - filled;
        self.turn_bytes = if is_head { self.turn_bytes + read_bytes } else { 0 };
        Poll::Ready(self.limit.count(read_bytes))
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
