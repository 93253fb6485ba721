//! Bodies of requests, read within the bound on what clients make a process hold.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bilberry_core::ClientStage;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use thiserror::Error;
use tokio::time::timeout;

use crate::ClientCharge;
use crate::ClientConnection;
use crate::NoRoom;

/// The size of a segment, of which all but the last one are full.
const SEGMENT_BYTES: usize = 16 * 1024;

/// The size of the first segment of a body without a declared length.
const FIRST_SEGMENT_BYTES: usize = 1024;

/// The body of a request as it arrives, with the connection that it is charged to.
#[derive(Debug)]
pub struct ClientBody {
    incoming: Incoming,
    client: Arc<ClientConnection>,
    has_ended: bool,
    unread: Arc<UnreadBody>,
}

/// Whether the last request of a connection has bytes that nobody read.
#[derive(Debug, Default)]
pub(crate) struct UnreadBody(AtomicBool);

impl UnreadBody {
    pub(crate) fn set(&self, is_unread: bool) {
        self.0.store(is_unread, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl ClientBody {
    pub(crate) fn new(
        incoming: Incoming,
        client: Arc<ClientConnection>,
        unread: Arc<UnreadBody>,
    ) -> Self {
        let has_ended = incoming.is_end_stream();
        Self { incoming, client, has_ended, unread }
    }

    /// Returns the connection of the request.
    pub fn client(&self) -> &Arc<ClientConnection> {
        &self.client
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.incoming).poll_frame(cx);
        if let Poll::Ready(None) = frame {
            self.has_ended = true;
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.has_ended || self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for ClientBody {
    fn drop(&mut self) {
        if !self.is_end_stream() {
            self.unread.set(true);
        }
    }
}

/// The limits on a request body.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct BodyLimits {
    /// The largest body.
    pub max_bytes: usize,
    /// The time within which it must arrive.
    pub timeout_ms: u64,
    /// How many times its size the request will hold while it is served.
    pub copies: u64,
}

/// An error on reading a request body.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReadBodyError {
    /// The body exceeds the size limit.
    #[error("the body is over {0} bytes; shorten it")]
    TooLarge(usize),
    /// The body was not received in time.
    #[error("the body did not come within {0} ms; send it faster")]
    Timeout(u64),
    /// The connection broke.
    #[error("the body ended early; send it whole")]
    Incomplete,
    /// The process has no memory for the rest of the body.
    #[error(transparent)]
    NoRoom(#[from] NoRoom),
}

/// Reads a complete body within its limits and the memory for clients.
pub async fn read_body(
    mut body: ClientBody,
    limits: BodyLimits,
) -> Result<RequestBody, ReadBodyError> {
    if body.size_hint().lower() > limits.max_bytes as u64 {
        return Err(ReadBodyError::TooLarge(limits.max_bytes));
    }
    if body.is_end_stream() {
        return Ok(RequestBody::default());
    }
    let client = body.client.clone();
    if body.size_hint().lower().saturating_mul(limits.copies) > client.max_request_bytes()
    {
        return Err(ReadBodyError::NoRoom(NoRoom));
    }
    client.set_stage(ClientStage::Body);
    let reading = timeout(
        Duration::from_millis(limits.timeout_ms),
        collect(&mut body, limits, client.charge()),
    );
    let read = tokio::select! {
        biased;
        read = reading => read.unwrap_or(Err(ReadBodyError::Timeout(limits.timeout_ms))),
        _ = client.yield_requested() => Err(ReadBodyError::NoRoom(NoRoom)),
    };
    match &read {
        Err(ReadBodyError::NoRoom(_)) => client.settle(),
        _ => client.set_stage(ClientStage::Whole),
    }
    read
}

async fn collect(
    body: &mut ClientBody,
    limits: BodyLimits,
    charge: ClientCharge,
) -> Result<RequestBody, ReadBodyError> {
    let declared_bytes = body.size_hint().exact();
    let mut segments = Segments::new(declared_bytes.map(|bytes| bytes as usize), charge);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadBodyError::Incomplete)?;
        let Ok(data) = frame.into_data() else { continue };
        if segments.length + data.len() > limits.max_bytes {
            return Err(ReadBodyError::TooLarge(limits.max_bytes));
        }
        segments.append(&data, limits.copies).await?;
    }
    Ok(segments.finish())
}

/// A body that is being read.
///
/// Data is copied out of the read buffer of the connection: a reference to a few bytes
/// would keep the whole buffer allocated.
struct Segments {
    full: Vec<Bytes>,
    last: BytesMut,
    length: usize,
    declared_bytes: Option<usize>,
    charge: ClientCharge,
}

impl Segments {
    fn new(declared_bytes: Option<usize>, charge: ClientCharge) -> Self {
        let last = BytesMut::new();
        Self { full: Vec::new(), last, length: 0, declared_bytes, charge }
    }

    async fn append(&mut self, mut data: &[u8], copies: u64) -> Result<(), NoRoom> {
        while !data.is_empty() {
            let mut room_bytes = self.last.capacity() - self.last.len();
            if room_bytes == 0 {
                room_bytes = self.next_segment_bytes();
                self.charge.add(room_bytes as u64 * copies).await?;
                let next = BytesMut::with_capacity(room_bytes);
                let full = std::mem::replace(&mut self.last, next);
                if !full.is_empty() {
                    self.full.push(full.freeze());
                }
            }
            let (now, later) = data.split_at(data.len().min(room_bytes));
            self.last.extend_from_slice(now);
            self.length += now.len();
            data = later;
        }
        Ok(())
    }

    fn next_segment_bytes(&self) -> usize {
        match self.declared_bytes {
            Some(bytes) => bytes.saturating_sub(self.length).clamp(1, SEGMENT_BYTES),
            None => self.length.clamp(FIRST_SEGMENT_BYTES, SEGMENT_BYTES),
        }
    }

    fn finish(mut self) -> RequestBody {
        if !self.last.is_empty() {
            self.full.push(self.last.freeze());
        }
        RequestBody {
            segments: self.full.into(),
            unsent: 0,
            length: self.length,
            own: None,
            charge: Some(Arc::new(self.charge)),
        }
    }
}

/// A request body that was read whole; clones share its memory.
#[derive(Debug, Clone, Default)]
pub struct RequestBody {
    segments: Arc<[Bytes]>,
    /// The index of the first segment that this clone has not sent.
    unsent: usize,
    length: usize,
    /// The body of a call that the process makes itself, in place of segments.
    own: Option<Full<Bytes>>,
    charge: Option<Arc<ClientCharge>>,
}

impl RequestBody {
    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the segments in order.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.segments.iter().map(|segment| &segment[..])
    }

    /// Returns the body in one piece, which the charge of the body has to cover.
    pub fn to_bytes(&self) -> Bytes {
        match &self.segments[..] {
            [] => Bytes::new(),
            [only] => only.clone(),
            segments => {
                let mut whole = BytesMut::with_capacity(self.length);
                segments.iter().for_each(|segment| whole.extend_from_slice(segment));
                whole.freeze()
            }
        }
    }

    /// Returns the guard of the memory that is charged for the body.
    pub fn charge(&self) -> Option<Arc<ClientCharge>> {
        self.charge.clone()
    }
}

impl From<Full<Bytes>> for RequestBody {
    fn from(body: Full<Bytes>) -> Self {
        Self { own: Some(body), ..Self::default() }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(body) = &mut self.own {
            return Pin::new(body).poll_frame(cx);
        }
        let next = self.segments.get(self.unsent).cloned();
        self.unsent += 1;
        Poll::Ready(next.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        match &self.own {
            Some(body) => body.is_end_stream(),
            None => self.unsent >= self.segments.len(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.own {
            Some(body) => body.size_hint(),
            None => {
                let unsent = self.segments.iter().skip(self.unsent);
                SizeHint::with_exact(unsent.map(|segment| segment.len() as u64).sum())
            }
        }
    }
}
