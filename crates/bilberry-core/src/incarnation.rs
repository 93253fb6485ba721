//! Which start of an upstream something is said of.

use std::fmt;

use crate::UnixMs;

/// One start of an upstream; a later one is greater.
///
/// An upstream keeps its identity when it starts again, and holds and knows nothing
/// of before. What was learnt of one incarnation says nothing of the next.
#[derive(Debug, Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// When it started, by its own clock.
    pub born_at: UnixMs,
}

/// How what somebody speaks of stands to the incarnation that is known.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum Told {
    /// It is the same one, or nobody can tell.
    Same,
    /// The known one is over.
    Newer,
    /// It is over, and this came late.
    Older,
}

impl Incarnation {
    /// Compares what is told with what is known; either may name no incarnation.
    pub fn compare(known: Option<Self>, told: Option<Self>) -> Told {
        match (known, told) {
            (Some(known), Some(told)) if told > known => Told::Newer,
            (Some(known), Some(told)) if told < known => Told::Older,
            _ => Told::Same,
        }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.born_at.fmt(f)
    }
}
