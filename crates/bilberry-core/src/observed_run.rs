//! A run as its engine reports it.

use crate::Name;

/// A run as its engine reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedRun {
    /// The attempt that it serves.
    pub attempt: Name,
    /// The memory that it uses, in tokens; grows while its prompt is prefilled.
    pub memory_tokens: u64,
    /// The number of events that it has made.
    pub events: u64,
}
