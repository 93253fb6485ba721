//! Response bodies, either complete or streamed through a channel.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use thiserror::Error;
use tokio::sync::mpsc;

/// A message of a streamed body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyChunk {
    /// The next bytes.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// The error of a streamed body that was dropped before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the response body was aborted before its end; the connection is closed")]
pub struct BodyAborted;

/// The body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// A complete body; `None` once it has been sent.
    Full(Option<Bytes>),
    /// A stream of chunks that ends with [`BodyChunk::End`].
    ///
    /// If the sender is dropped before the end, the connection is closed. If that
    /// were treated as the end, a truncated stream would look complete.
    Stream(mpsc::Receiver<BodyChunk>),
}

impl ResponseBody {
    /// Creates a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let pieces = match self.get_mut() {
            Self::Full(bytes) => {
                return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b))));
            }
            Self::Stream(pieces) => pieces,
        };
        pieces.poll_recv(cx).map(|piece| match piece {
            Some(BodyChunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(BodyChunk::End) => None,
            None => Some(Err(BodyAborted)),
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
