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
use tokio::time::Instant;

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
pub(crate) enum Phase {
    /// The connection is idle.
    Idle { deadline: Instant },
    /// The client has begun to send a request head.
    Head { deadline: Instant },
    /// The client waits for its response.
    Responding,
}

impl Phase {
    /// Returns the deadline for the client, if it has one.
    pub(crate) fn deadline(self) -> Option<Instant> {
        match self {
            Self::Idle { deadline } | Self::Head { deadline } => Some(deadline),
            Self::Responding => None,
        }
    }
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

    /// Records that the client has begun to send a request head.
    pub(crate) fn begin_head(&self, times: ClientTimeouts) {
        let deadline = deadline_after(times.header_ms);
        *self.phase.lock().unwrap() = Phase::Head { deadline };
    }

    /// Returns the current phase.
    pub(crate) fn get(&self) -> Phase {
        *self.phase.lock().unwrap()
    }

    /// Registers the task to wake when the phase becomes idle.
    pub(crate) fn register(&self, waker: &Waker) {
        *self.reader.lock().unwrap() = Some(waker.clone());
    }
}

fn idle(times: ClientTimeouts) -> Phase {
    Phase::Idle { deadline: deadline_after(times.idle_ms) }
}

fn deadline_after(wait_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(wait_ms)
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
