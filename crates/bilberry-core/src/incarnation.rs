//! Incarnations, which distinguish the successive starts of an upstream.

use std::fmt;

use crate::UnixMs;

/// One start of an upstream; a later start compares greater.
///
/// An upstream keeps its identity across a restart but loses all its state, so
/// information about one incarnation does not apply to the next.
#[derive(Debug, Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// The start time by the upstream's own clock.
    pub started_at: UnixMs,
}

/// How a reported incarnation compares with the known one.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum IncarnationOrder {
    /// Both are the same, or at least one of them is unknown.
    Same,
    /// The reported incarnation is newer, so the known one has ended.
    Newer,
    /// The reported incarnation has ended; the report is stale.
    Older,
}

impl Incarnation {
    /// Compares a reported incarnation with the known one; `None` if it is unknown.
    pub fn compare(known: Option<Self>, reported: Option<Self>) -> IncarnationOrder {
        match (known, reported) {
            (Some(known), Some(reported)) if reported > known => IncarnationOrder::Newer,
            (Some(known), Some(reported)) if reported < known => IncarnationOrder::Older,
            _ => IncarnationOrder::Same,
        }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.started_at.fmt(f)
    }
}
