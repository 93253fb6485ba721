//! Reads of a bounded size.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::ReadBuf;

/// Reads at most `max_bytes`, however much room the buffer has.
///
/// A reader that adapts its buffer to what was read keeps it small that way.
pub fn poll_read_at_most<S: AsyncRead + Unpin>(
    stream: &mut S,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
    max_bytes: usize,
) -> Poll<io::Result<()>> {
    if buffer.remaining() <= max_bytes {
        return Pin::new(stream).poll_read(cx, buffer);
    }
    let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
    ready!(Pin::new(stream).poll_read(cx, &mut part))?;
    let length = part.filled().len();
    buffer.advance(length);
    Poll::Ready(Ok(()))
}
