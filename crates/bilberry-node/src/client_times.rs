//! Bounds on the time that a client takes between answers.
//!
//! A client that sends its head byte by byte would hold its place for ever, and
//! one that rests between two requests may rest for longer than it may take to
//! send a head. The HTTP library knows one time for both, fixed when a connection
//! opens; operators give two, which change while connections are open.

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

use crate::CutShort;
use crate::OutBody;

/// How long a client may take.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct ClientTimes {
    /// From the first byte of a head to its last.
    pub header_ms: u64,
    /// Between an answer and the next head.
    pub idle_ms: u64,
}

/// What a client is to do next, and until when.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
enum Phase {
    /// It may rest.
    Idle { until: Instant },
    /// It has begun to send a head.
    Head { until: Instant },
    /// It waits for its answer.
    Answering,
}

/// The phase of one connection.
#[derive(Debug)]
pub(crate) struct ClientPhase {
    phase: Mutex<Phase>,
    reader: Mutex<Option<Waker>>,
}

impl ClientPhase {
    pub(crate) fn new(times: ClientTimes) -> Arc<Self> {
        Arc::new(Self { phase: Mutex::new(idle(times)), reader: Mutex::default() })
    }

    /// Notes that a request was read, so that the answer is ours to give.
    pub(crate) fn begin_answer(&self) {
        *self.phase.lock().unwrap() = Phase::Answering;
    }

    fn end_answer(&self, times: ClientTimes) {
        *self.phase.lock().unwrap() = idle(times);
        // The connection was last read while no time ran; without another look the
        // timer would not be started, and a resting client kept for ever.
        if let Some(reader) = self.reader.lock().unwrap().take() {
            reader.wake();
        }
    }

    fn note_bytes(&self, times: ClientTimes) {
        let mut phase = self.phase.lock().unwrap();
        if matches!(*phase, Phase::Idle { .. }) {
            *phase = Phase::Head { until: after(times.header_ms) };
        }
    }

    fn until(&self) -> Option<Instant> {
        match *self.phase.lock().unwrap() {
            Phase::Idle { until } | Phase::Head { until } => Some(until),
            Phase::Answering => None,
        }
    }
}

fn idle(times: ClientTimes) -> Phase {
    Phase::Idle { until: after(times.idle_ms) }
}

fn after(wait_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(wait_ms)
}

/// A client's connection, which ends when the client takes too long.
#[derive(Debug)]
pub(crate) struct BoundedIo<S, T> {
    stream: S,
    times: T,
    phase: Arc<ClientPhase>,
    timer: Pin<Box<Sleep>>,
}

impl<S, T: Fn() -> ClientTimes> BoundedIo<S, T> {
    /// Bounds a connection; `times` is asked anew for each request.
    pub(crate) fn new(stream: S, times: T, phase: Arc<ClientPhase>) -> Self {
        let timer = Box::pin(sleep_until(Instant::now()));
        Self { stream, times, phase, timer }
    }

    /// Polls the timer of the present phase; ready if the client is too late.
    fn poll_late(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        *self.phase.reader.lock().unwrap() = Some(cx.waker().clone());
        let Some(until) = self.phase.until() else { return Poll::Pending };
        if self.timer.deadline() != until {
            self.timer.as_mut().reset(until);
        }
        self.timer.as_mut().poll(cx)
    }
}

impl<S, T> AsyncRead for BoundedIo<S, T>
where
    S: AsyncRead + Unpin,
    T: Fn() -> ClientTimes + Unpin,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let bounded = self.get_mut();
        let before = buffer.filled().len();
        match Pin::new(&mut bounded.stream).poll_read(cx, buffer) {
            Poll::Ready(read) => {
                if buffer.filled().len() > before {
                    bounded.phase.note_bytes((bounded.times)());
                }
                Poll::Ready(read)
            }
            // An end of the stream, which closes the connection.
            Poll::Pending => bounded.poll_late(cx).map(Ok),
        }
    }
}

impl<S, T> AsyncWrite for BoundedIo<S, T>
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

/// An answer's body, after whose end the client may rest again.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    body: OutBody,
    times: ClientTimes,
    phase: Arc<ClientPhase>,
}

impl AnswerBody {
    pub(crate) fn new(
        body: OutBody,
        times: ClientTimes,
        phase: Arc<ClientPhase>,
    ) -> Self {
        Self { body, times, phase }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.phase.end_answer(self.times);
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutShort;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutShort>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
