//! The order in which connections with incomplete requests yield.

use crate::ClientStage;

/// What a connection with an incomplete request holds.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct HolderView {
    /// How far its request is.
    pub stage: ClientStage,
    /// What it holds, in bytes.
    pub bytes: u64,
    /// The time since its request last grew or advanced by a stage.
    pub stalled_ms: u64,
    /// The time since its request or its idle time began.
    pub age_ms: u64,
}

/// Ranks connections with incomplete requests; the one with the highest rank yields first.
pub trait YieldOrder {
    /// Returns the rank of a connection, or `None` if it doesn't yield.
    fn rank(&self, holder: &HolderView) -> Option<u64>;
}

/// The pause between two parts of a request that counts as progress.
const PAUSE_MS: u64 = 100;

/// Those yield first that hold the most bytes times the time without progress.
///
/// A client that sends a byte now and then makes no progress, as only the bytes that are
/// charged for its request count. Among those that do make progress, the largest yields.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq)]
pub struct StalledBytes;

impl YieldOrder for StalledBytes {
    fn rank(&self, holder: &HolderView) -> Option<u64> {
        Some(holder.bytes.saturating_mul(holder.stalled_ms + PAUSE_MS))
    }
}
