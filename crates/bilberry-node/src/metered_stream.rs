//! Connections of peers, whose incomplete frames count as held for clients.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bilberry_core::ClientStage;
use bilberry_platform::poll_read_at_most;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::ClientConnection;

/// The largest read, and the part of a frame that the cost of a connection covers.
const READ_BYTES: u64 = 16 * 1024;

/// How many times its size a frame occupies in a buffer that grows by doubling.
const FRAME_COPIES: u64 = 2;

/// A connection of which incomplete frames are charged to its client.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meter: Arc<FrameMeter>,
}

/// What was read of a frame that is not complete.
#[derive(Debug)]
pub struct FrameMeter {
    client: Arc<ClientConnection>,
    unparsed_bytes: AtomicU64,
    /// The bytes of the frame that are charged.
    charged_bytes: AtomicU64,
}

impl FrameMeter {
    /// Records that a frame was read completely.
    ///
    /// The peer is known from its first frame on, and its connection no longer yields.
    pub fn record_frame(&self) {
        self.unparsed_bytes.store(0, Ordering::Relaxed);
        let charged_bytes = self.charged_bytes.swap(0, Ordering::Relaxed);
        self.client.shrink(charged_bytes * FRAME_COPIES);
        if self.client.stage() != ClientStage::Whole {
            self.client.set_stage(ClientStage::Whole);
        }
    }

    /// Waits until the connection has to be closed to make room for others.
    pub async fn close_requested(&self) {
        self.client.yield_requested().await;
    }

    /// Returns the connection that is charged.
    pub fn client(&self) -> &Arc<ClientConnection> {
        &self.client
    }

    /// Polls for room for one more read.
    fn poll_room(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let unparsed_bytes = self.unparsed_bytes.load(Ordering::Relaxed);
        let charged_bytes = self.charged_bytes.load(Ordering::Relaxed);
        if unparsed_bytes < charged_bytes + READ_BYTES {
            return Poll::Ready(Ok(()));
        }
        if ready!(self.client.poll_grow(READ_BYTES * FRAME_COPIES, cx)).is_err() {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::OutOfMemory,
                "there is no memory for the rest of a frame; the connection is closed",
            )));
        }
        self.charged_bytes.fetch_add(READ_BYTES, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl<S> MeteredStream<S> {
    /// Returns the stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Charges the frames of a stream to a client.
    pub fn new(stream: S, client: Arc<ClientConnection>) -> (Self, Arc<FrameMeter>) {
        let meter = Arc::new(FrameMeter {
            client,
            unparsed_bytes: AtomicU64::new(0),
            charged_bytes: AtomicU64::new(0),
        });
        (Self { stream, meter: meter.clone() }, meter)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.meter.poll_room(cx))?;
        let before = buffer.filled().len();
        let stream = &mut self.stream;
        ready!(poll_read_at_most(stream, cx, buffer, READ_BYTES as usize))?;
        let length = (buffer.filled().len() - before) as u64;
        self.meter.unparsed_bytes.fetch_add(length, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
