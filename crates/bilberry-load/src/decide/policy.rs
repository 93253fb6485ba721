//! The ways to decide that are compared.

use std::fmt;

/// A way to decide where a request goes and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// What production runs.
    Ours,
    /// The same, but nobody waits for a part that another request has read.
    Apart,
    /// Each entry sends to the engines in turn.
    InTurn,
    /// Each request goes where its first event comes first, with all known at once.
    AllKnowing,
}

impl Policy {
    /// All policies, the bound last.
    pub const ALL: [Self; 4] = [Self::InTurn, Self::Apart, Self::Ours, Self::AllKnowing];
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ours => "ours",
            Self::Apart => "ours, parts read apart",
            Self::InTurn => "first come first served, in turn",
            Self::AllKnowing => "all-knowing",
        })
    }
}
