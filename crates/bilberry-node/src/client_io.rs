//! The socket of a client connection, with its timeouts and the bound on request heads.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bilberry_core::ClientStage;
use bilberry_platform::poll_read_at_most;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;

use crate::ClientConnection;
use crate::ClientTimeouts;
use crate::client_timeouts::ClientPhase;
use crate::client_timeouts::Phase;
use crate::request_body::UnreadBody;

/// The largest read, for which the HTTP library keeps a buffer of at most twice the size.
const MAX_READ_BYTES: usize = 8 * 1024;

/// The empty lines before a head that are skipped, in bytes.
const MAX_EMPTY_BYTES: usize = 16 * 1024;

/// The part of a head that the cost of a connection covers, in bytes and in lines.
const FREE_HEAD_BYTES: usize = 4 * 1024;
const FREE_HEAD_LINES: usize = 64;

/// How many times its size a head occupies in a buffer that grows by doubling.
const HEAD_COPIES: usize = 2;

/// What a line of a head costs once it is parsed, in bytes.
const HEAD_LINE_BYTES: usize = 256;

/// The granularity of charges for heads, in bytes.
const HEAD_CHARGE_BYTES: u64 = 4 * 1024;

/// How long the rest of a refused request is read and discarded.
///
/// A connection that is closed with unread data is reset, and the client may lose the
/// response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// How much of it is read and discarded, in bytes.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;

/// The socket of a client connection.
#[derive(Debug)]
pub(crate) struct ClientIo<S, T> {
    stream: S,
    times: T,
    phase: Arc<ClientPhase>,
    client: Arc<ClientConnection>,
    unread: Arc<UnreadBody>,
    timer: Pin<Box<Sleep>>,
    head: HeadMeter,
    /// Bytes of a head that were read and wait for room.
    stash: Vec<u8>,
    closing: Option<Closing>,
}

/// What was read of a request head.
#[derive(Debug, Default)]
struct HeadMeter {
    bytes: usize,
    lines: usize,
    /// Whether the line that is being read is empty so far.
    is_line_empty: bool,
    has_ended: bool,
    /// The bytes of empty lines before the head.
    empty_bytes: usize,
    charged_bytes: u64,
}

/// A connection whose last response was sent.
#[derive(Debug)]
struct Closing {
    deadline: Instant,
    discarded_bytes: usize,
}

impl HeadMeter {
    /// Records what was read up to the empty line that ends the head.
    fn record(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.has_ended {
                return;
            }
            self.bytes += 1;
            match byte {
                b'\n' if self.is_line_empty => self.has_ended = true,
                b'\n' => {
                    self.lines += 1;
                    self.is_line_empty = true;
                }
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
    }

    /// Returns what has to be charged for the head besides what was charged before.
    ///
    /// A buffer that has grown stays until its connection closes, and so does its charge.
    fn due_bytes(&self) -> u64 {
        let bytes = match self.bytes > FREE_HEAD_BYTES {
            true => self.bytes * HEAD_COPIES,
            false => 0,
        };
        let lines = self.lines.saturating_sub(FREE_HEAD_LINES) * HEAD_LINE_BYTES;
        let cost = (bytes + lines) as u64;
        cost.next_multiple_of(HEAD_CHARGE_BYTES).saturating_sub(self.charged_bytes)
    }

    fn begin(&mut self) {
        *self = Self { charged_bytes: self.charged_bytes, ..Self::default() };
    }
}

impl<S, T: Fn() -> ClientTimeouts> ClientIo<S, T> {
    /// Wraps a socket; `times` is called for each request.
    pub(crate) fn new(
        stream: S,
        times: T,
        phase: Arc<ClientPhase>,
        client: Arc<ClientConnection>,
        unread: Arc<UnreadBody>,
    ) -> Self {
        let timer = Box::pin(sleep_until(Instant::now()));
        let (head, stash) = (HeadMeter::default(), Vec::new());
        Self { stream, times, phase, client, unread, timer, head, stash, closing: None }
    }

    /// Polls the timer of the current phase; ready if the deadline has passed.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.phase.register(cx.waker());
        let Some(deadline) = self.phase.get().deadline() else { return Poll::Pending };
        self.poll_timer(deadline, cx)
    }

    fn poll_timer(&mut self, deadline: Instant, cx: &mut Context<'_>) -> Poll<()> {
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        self.timer.as_mut().poll(cx)
    }

    /// Polls for room for the head; ready with false if there is none.
    fn poll_charge(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        let bytes = self.head.due_bytes();
        if bytes == 0 {
            return Poll::Ready(true);
        }
        let charged = ready!(self.client.poll_grow(bytes, cx));
        self.head.charged_bytes += bytes;
        Poll::Ready(charged.is_ok())
    }

    /// Drops the empty lines before a head; returns how many bytes of it are left.
    fn skip_empty_lines(&mut self, bytes: &mut [u8]) -> usize {
        let is_empty = |byte: &u8| matches!(byte, b'\r' | b'\n');
        let empty = match self.head.bytes {
            0 => bytes.iter().take_while(|byte| is_empty(byte)).count(),
            _ => 0,
        };
        self.head.empty_bytes += empty;
        bytes.copy_within(empty.., 0);
        bytes.len() - empty
    }
}

impl<S, T> AsyncRead for ClientIo<S, T>
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
        loop {
            if !io.stash.is_empty() {
                let Poll::Ready(has_room) = io.poll_charge(cx) else {
                    return io.poll_deadline(cx).map(Ok);
                };
                if has_room {
                    let length = io.stash.len().min(buffer.remaining());
                    buffer.put_slice(&io.stash[..length]);
                    io.stash.drain(..length);
                }
                return Poll::Ready(Ok(()));
            }
            // A client that always has bytes waiting would never be seen by the timer.
            if let Phase::Head { deadline } = io.phase.get()
                && Instant::now() >= deadline
            {
                return Poll::Ready(Ok(()));
            }
            let before = buffer.filled().len();
            let read = poll_read_at_most(&mut io.stream, cx, buffer, MAX_READ_BYTES);
            let Poll::Ready(read) = read else {
                // On a timeout, report the end of the stream, which closes the connection.
                return io.poll_deadline(cx).map(Ok);
            };
            read?;
            let phase = io.phase.get();
            if buffer.filled().len() == before || phase == Phase::Responding {
                return Poll::Ready(Ok(()));
            }
            if matches!(phase, Phase::Idle { .. }) {
                io.phase.begin_head((io.times)());
                io.client.set_stage(ClientStage::Head);
                io.head.begin();
            }
            let left = io.skip_empty_lines(&mut buffer.filled_mut()[before..]);
            buffer.set_filled(before + left);
            io.head.record(&buffer.filled()[before..]);
            if io.head.empty_bytes > MAX_EMPTY_BYTES {
                buffer.set_filled(before);
                return Poll::Ready(Ok(()));
            }
            if left == 0 {
                continue;
            }
            let charged = io.poll_charge(cx);
            if charged == Poll::Ready(true) {
                return Poll::Ready(Ok(()));
            }
            let read = buffer.filled()[before..].to_vec();
            buffer.set_filled(before);
            match charged {
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending => {
                    io.stash = read;
                    return io.poll_deadline(cx).map(Ok);
                }
            }
        }
    }
}

impl<S, T> AsyncWrite for ClientIo<S, T>
where
    S: AsyncRead + AsyncWrite + Unpin,
    T: Fn() -> ClientTimeouts + Unpin,
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
        let io = self.get_mut();
        ready!(Pin::new(&mut io.stream).poll_flush(cx))?;
        // Until now, a part of the response may not have been written.
        if matches!(io.phase.get(), Phase::Idle { .. })
            && io.client.stage() == ClientStage::Whole
        {
            io.client.set_stage(ClientStage::Idle);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        let io = self.get_mut();
        if io.closing.is_none() {
            ready!(Pin::new(&mut io.stream).poll_shutdown(cx))?;
            let has_unread =
                io.unread.get() || matches!(io.phase.get(), Phase::Head { .. });
            if !has_unread {
                return Poll::Ready(Ok(()));
            }
            io.client.set_stage(ClientStage::Closing);
            let deadline = Instant::now() + DISCARD_TIMEOUT;
            io.closing = Some(Closing { deadline, discarded_bytes: 0 });
        }
        let mut scratch = [0; MAX_READ_BYTES];
        while let Some(closing) = &mut io.closing {
            let deadline = closing.deadline;
            if closing.discarded_bytes >= MAX_DISCARDED_BYTES
                || Instant::now() >= deadline
            {
                break;
            }
            let mut part = ReadBuf::new(&mut scratch);
            match Pin::new(&mut io.stream).poll_read(cx, &mut part) {
                Poll::Ready(Ok(())) if !part.filled().is_empty() => {
                    closing.discarded_bytes += part.filled().len();
                }
                Poll::Ready(_) => break,
                Poll::Pending => {
                    ready!(io.poll_timer(deadline, cx));
                    break;
                }
            }
        }
        Poll::Ready(Ok(()))
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
