//! Splits a byte stream into complete server-sent events.

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// The largest incomplete event that is buffered.
///
/// Many streams of a faulty server may each hold one.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// An event exceeds the limit, so the stream has to be closed.
#[derive(Debug, Copy, Clone, PartialEq, Eq, Error)]
#[error("an event exceeds {MAX_EVENT_BYTES} bytes; the stream is continued elsewhere")]
pub struct OversizedEvent;

/// Splits a server's event stream at the blank lines between events.
///
/// A server that fails may stop in the middle of an event. If the partial event were
/// forwarded, the events of a replacement server could not follow it.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter before the first event.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends bytes and returns the events that they complete.
    ///
    /// Fails if an event is too large, as with bytes that are no events.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, OversizedEvent> {
        self.buffer.extend_from_slice(bytes);
        let end = match end_of_events(&self.buffer) {
            Some(end) => end,
            None if self.buffer.len() > MAX_EVENT_BYTES => return Err(OversizedEvent),
            None => return Ok(None),
        };
        let events = self.buffer.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Ok(Some(events))
    }

    /// Reports whether all bytes so far belong to complete events.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Discards a partial event before another server continues the stream.
    pub fn drop_partial(&mut self) {
        self.buffer.clear();
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Returns the position after the last blank line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let ends_blank_line = |at: usize| match bytes[at] {
        b'\n' if bytes[..at].ends_with(b"\n") => true,
        b'\n' => bytes[..at].ends_with(b"\n\r"),
        _ => false,
    };
    (1..bytes.len()).rev().find(|&at| ends_blank_line(at)).map(|at| at + 1)
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|&byte| byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let texts = ids.filter_map(|id| std::str::from_utf8(id).ok());
    texts.filter_map(|text| text.trim().parse().ok()).next()
}
