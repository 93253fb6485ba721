//! A watch of the platform's store that a sidecar shares with entries.

use bilberry_core::StorePosition;
use bytes::Bytes;

/// Asks for the changes of one kind of objects after a revision.
///
/// The answer carries the call number of the question's frame.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WatchAsk {
    /// The kind.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// The revision up to which the asker knows everything.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// How long a call to the store may wait for changes.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
    /// The least time between two calls of which the first brought changes.
    #[prost(uint64, tag = "4")]
    pub spacing_ms: u64,
    /// The era of the store that the revision is of; none where the store tells none, or
    /// from a process that knows no eras.
    #[prost(uint64, optional, tag = "5")]
    pub era: Option<u64>,
}

impl WatchAsk {
    /// Returns the position up to which the asker knows everything.
    pub fn position(&self) -> StorePosition {
        StorePosition { era: self.era, revision: self.revision }
    }
}

/// What came of a question for changes.
#[derive(
    Debug, Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration,
)]
#[repr(i32)]
pub enum WatchOutcome {
    /// The store does not answer the sidecar.
    Lost = 0,
    /// The asker has to ask the store itself once, to be in step again.
    OutOfStep = 1,
    /// Nothing has changed.
    Quiet = 2,
    /// Something has changed.
    News = 3,
}

/// Answers a question for changes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WatchAnswer {
    /// What came of it.
    #[prost(enumeration = "WatchOutcome", tag = "1")]
    pub outcome: i32,
    /// The revision to ask from next.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// How long after the question's arrival the store had nothing more than this;
    /// negative if before.
    ///
    /// A time of day would be read by another host's clock.
    #[prost(sint64, tag = "3")]
    pub known_ms: i64,
    /// The changes, as the store sent them.
    #[prost(bytes = "bytes", tag = "4")]
    pub news: Bytes,
    /// The era of the store that the revision is of; none where the store tells none, or
    /// from a process that knows no eras.
    #[prost(uint64, optional, tag = "5")]
    pub era: Option<u64>,
}
