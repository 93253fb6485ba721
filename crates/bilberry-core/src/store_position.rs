//! Positions in the history of the platform's store.
//!
//! After a short outage the store may be restored from a backup some seconds old.
//! Revision numbers then go back and are reused, so the same number can belong to two
//! histories. A follower that compared only revisions would wait for one that never
//! comes, or skip changes whose revision numbers it has already seen.

use crate::UnixMs;

/// A position in the store's history, ordered by era and then by revision.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// The number of restores of the store from an older backup, or another number that
    /// increases with each restore; `None` if the store reports no era.
    pub era: Option<u64>,
    /// The revision within the era.
    pub revision: u64,
}

/// The position up to which a follower knows all changes.
///
/// A change of era discards the position. Data read before the change is not managed
/// here.
#[derive(Debug, Default)]
pub struct StoreCursor {
    known: Option<StorePosition>,
    needs_list: bool,
}

/// How the era of a response compares with the known era.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum EraOrder {
    /// The response belongs to the known era, or its era is unknown.
    Current,
    /// The response is the first of a later era, so a full list is required.
    Entered(EraChange),
    /// The response is stale and belongs to an earlier era.
    Past,
}

/// A change of era, as detected by one follower.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct EraChange {
    /// The era that has begun.
    pub era: Option<u64>,
    /// The discarded position; `None` if nothing had been read yet.
    pub previous: Option<StorePosition>,
    /// When the change was detected.
    pub detected_at: UnixMs,
}

impl StoreCursor {
    /// Returns the position to watch from, or `None` if a full list is required.
    pub fn position(&self) -> Option<StorePosition> {
        self.known.filter(|_| !self.needs_list)
    }

    /// Updates the era from a response received at `now`.
    ///
    /// A response without an era is assumed to belong to the known era.
    pub fn update_era(&mut self, era: Option<u64>, now: UnixMs) -> EraOrder {
        let known_era = self.known.and_then(|known| known.era);
        if era.is_none() || era == known_era {
            return EraOrder::Current;
        }
        if era < known_era {
            return EraOrder::Past;
        }
        let left = self.known.replace(StorePosition { era, revision: 0 });
        self.needs_list = true;
        EraOrder::Entered(EraChange { era, previous: left, detected_at: now })
    }

    /// Records that all changes up to a revision of the current era are known.
    pub fn advance(&mut self, revision: u64) {
        let era = self.known.and_then(|known| known.era);
        self.known = Some(StorePosition { era, revision });
        self.needs_list = false;
    }

    /// Records that a full list is required.
    pub fn require_list(&mut self) {
        self.needs_list = true;
    }
}
