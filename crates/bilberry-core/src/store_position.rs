//! Where a process stands in the history of the platform's store.
//!
//! The load pattern: the store is away for a moment and comes back from a copy some
//! seconds old. Revisions go back and are given out again, so one and the same number
//! stands for two histories: a follower that goes by revisions alone waits for one that
//! never comes, or passes over changes that took numbers it has seen.

use crate::UnixMs;

/// A position in the store's history; one of a later era is later, whatever its revision.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// How often the store has come back from an older copy, or a number that rises with
    /// it; `None` where the store tells none.
    pub era: Option<u64>,
    /// The revision within the era.
    pub revision: u64,
}

/// Up to where a follower knows everything.
///
/// A change of era has it forget the position; what was learnt before is not its matter.
#[derive(Debug, Default)]
pub struct StoreCursor {
    known: Option<StorePosition>,
    is_lost: bool,
}

/// What an answer's era says of the answer.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum EraTold {
    /// It is of the era that is known, or nobody can tell.
    Present,
    /// It is the first of a later era; all must be listed.
    Entered(EraEntered),
    /// It is of an era that is over, and came late.
    Over,
}

/// A change of era, as one follower notices it.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct EraEntered {
    /// The era that has begun.
    pub era: Option<u64>,
    /// The position that was given up; `None` if nothing had been read yet.
    pub left: Option<StorePosition>,
    /// When it was noticed.
    pub noticed_at: UnixMs,
}

impl StoreCursor {
    /// Returns from where to watch on; `None` if all must be listed.
    pub fn position(&self) -> Option<StorePosition> {
        self.known.filter(|_| !self.is_lost)
    }

    /// Takes over the era of an answer that came at `now`.
    ///
    /// An answer that names none is taken to be of the era that is known.
    pub fn hear(&mut self, era: Option<u64>, now: UnixMs) -> EraTold {
        let known_era = self.known.and_then(|known| known.era);
        if era.is_none() || era == known_era {
            return EraTold::Present;
        }
        if era < known_era {
            return EraTold::Over;
        }
        let left = self.known.replace(StorePosition { era, revision: 0 });
        self.is_lost = true;
        EraTold::Entered(EraEntered { era, left, noticed_at: now })
    }

    /// Notes that everything is known up to a revision of the present era.
    pub fn advance(&mut self, revision: u64) {
        let era = self.known.and_then(|known| known.era);
        self.known = Some(StorePosition { era, revision });
        self.is_lost = false;
    }

    /// Notes that all must be listed.
    pub fn lose(&mut self) {
        self.is_lost = true;
    }
}
