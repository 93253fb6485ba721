//! Header and idle timeouts of client connections.
//!
//! Without a timeout, a client that sends its head byte by byte would occupy a
//! connection indefinitely; an idle client may take longer between requests than
//! to send a head. The HTTP library has a single timeout for both, which is fixed
//! when a connection opens; operators configure two, which can change while
//! connections are open.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;

use crate::BodyAborted;
use crate::ResponseBody;

/// The timeouts of a client connection.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct ClientTimeouts {
    /// The time from the first byte of a request head to its last.
    pub header_ms: u64,
    /// The time between a response and the next request head.
    pub idle_ms: u64,
}

/// The state of a client connection, with the deadline for the client.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
enum Phase {
    /// The connection is idle.
    Idle { deadline: Instant },
    /// The client has begun to send a request head.
    Head { deadline: Instant },
    /// The client waits for its response.
    Responding,
}

/// The phase of one connection, shared by its I/O and its responses.
#[derive(Debug)]
pub(crate) struct ClientPhase {
    phase: Mutex<Phase>,
    reader: Mutex<Option<Waker>>,
}

impl ClientPhase {
    pub(crate) fn new(times: ClientTimeouts) -> Arc<Self> {
        Arc::new(Self { phase: Mutex::new(idle(times)), reader: Mutex::default() })
    }

    /// Records that a request head was read, which stops the timer.
    pub(crate) fn begin_response(&self) {
        *self.phase.lock().unwrap() = Phase::Responding;
    }

    fn end_response(&self, times: ClientTimeouts) {
        *self.phase.lock().unwrap() = idle(times);
        // The connection was last polled while no deadline was set. Unless it is
        // polled again, the timer does not start and an idle client is never
        // disconnected.
        if let Some(reader) = self.reader.lock().unwrap().take() {
            reader.wake();
        }
    }

    fn record_bytes(&self, times: ClientTimeouts) {
        let mut phase = self.phase.lock().unwrap();
        if matches!(*phase, Phase::Idle { .. }) {
            *phase = Phase::Head { deadline: deadline_after(times.header_ms) };
        }
    }

    fn deadline(&self) -> Option<Instant> {
        match *self.phase.lock().unwrap() {
            Phase::Idle { deadline } | Phase::Head { deadline } => Some(deadline),
            Phase::Responding => None,
        }
    }
}

fn idle(times: ClientTimeouts) -> Phase {
    Phase::Idle { deadline: deadline_after(times.idle_ms) }
}

fn deadline_after(wait_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(wait_ms)
}

/// A client connection that is closed when the client exceeds a timeout.
#[derive(Debug)]
pub(crate) struct TimeoutIo<S, T> {
    stream: S,
    times: T,
    phase: Arc<ClientPhase>,
    timer: Pin<Box<Sleep>>,
}

impl<S, T: Fn() -> ClientTimeouts> TimeoutIo<S, T> {
    /// Wraps a connection; `times` is called for each request.
    pub(crate) fn new(stream: S, times: T, phase: Arc<ClientPhase>) -> Self {
        let timer = Box::pin(sleep_until(Instant::now()));
        Self { stream, times, phase, timer }
    }

    /// Polls the timer of the current phase; ready if the deadline has passed.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        *self.phase.reader.lock().unwrap() = Some(cx.waker().clone());
        let Some(deadline) = self.phase.deadline() else { return Poll::Pending };
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        self.timer.as_mut().poll(cx)
    }
}

impl<S, T> AsyncRead for TimeoutIo<S, T>
where
    S: AsyncRead + Unpin,
    T: Fn() -> ClientTimeouts + Unpin,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let io = self.get_mut();
        let before = buffer.filled().len();
        match Pin::new(&mut io.stream).poll_read(cx, buffer) {
            Poll::Ready(read) => {
                if buffer.filled().len() > before {
                    io.phase.record_bytes((io.times)());
                }
                Poll::Ready(read)
            }
            // On a timeout, report the end of the stream, which closes the connection.
            Poll::Pending => io.poll_deadline(cx).map(Ok),
        }
    }
}

impl<S, T> AsyncWrite for TimeoutIo<S, T>
where
    S: AsyncWrite + Unpin,
    T: Unpin,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_flush(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// A response body that returns the connection to the idle phase when dropped.
#[derive(Debug)]
pub(crate) struct TimedBody {
    body: ResponseBody,
    times: ClientTimeouts,
    phase: Arc<ClientPhase>,
}

impl TimedBody {
    pub(crate) fn new(
        body: ResponseBody,
        times: ClientTimeouts,
        phase: Arc<ClientPhase>,
    ) -> Self {
        Self { body, times, phase }
    }
}

impl Drop for TimedBody {
    fn drop(&mut self) {
        self.phase.end_response(self.times);
    }
}

impl Body for TimedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
