//! Watching the platform's store through a sidecar.

use bilberry_core::StorePosition;
use bytes::Bytes;

/// Requests the changes of one kind of object after a revision.
///
/// The response carries the call number of the request's frame.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WatchRequest {
    /// The kind of object.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// The revision up to which the requester has all changes.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The maximum time that a call to the store waits for changes.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
    /// The minimum interval between two calls if the first returned changes.
    #[prost(uint64, tag = "4")]
    pub spacing_ms: u64,
    /// The era of the store that the revision belongs to; none if the store reports no
    /// era or the sender does not support eras.
    #[prost(uint64, optional, tag = "5")]
    pub era: Option<u64>,
}

impl WatchRequest {
    /// Returns the position up to which the requester has all changes.
    pub fn position(&self) -> StorePosition {
        StorePosition { era: self.era, revision: self.revision }
    }
}

/// The outcome of a request for changes.
#[derive(
    Debug, Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration,
)]
#[repr(i32)]
pub enum WatchOutcome {
    /// The sidecar cannot get a response from the store.
    StoreUnavailable = 0,
    /// The requester has to query the store directly once to catch up.
    OutOfSync = 1,
    /// Nothing has changed.
    Unchanged = 2,
    /// Something has changed.
    Changed = 3,
}

/// Answers a request for changes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WatchResponse {
    /// The outcome.
    #[prost(enumeration = "WatchOutcome", tag = "1")]
    pub outcome: i32,
    /// The revision to continue from.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The time at which the store had no changes beyond this response, in milliseconds
    /// after the arrival of the request; negative if before it.
    ///
    /// Relative, because the receiving host's clock may differ.
    #[prost(sint64, tag = "3")]
    pub confirmed_ms: i64,
    /// The changes in the encoding of the store.
    #[prost(bytes = "bytes", tag = "4")]
    pub changes: Bytes,
    /// The era of the store that the revision belongs to; none if the store reports no
    /// era or the sender does not support eras.
    #[prost(uint64, optional, tag = "5")]
    pub era: Option<u64>,
}
