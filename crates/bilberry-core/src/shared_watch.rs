//! A watch of the platform's store that is shared by several processes.
//!
//! If every process kept its own watch for each kind, the number of calls would grow with
//! the fleet even without any changes, because each watch is a long poll that ends and is
//! repeated. When one process, the hub, watches for the others, its replies must be as
//! reliable as the store's own responses: no change is missed or repeated, and a state
//! reported as current was current at the stated time.

use crate::StorePosition;
use crate::UnixMs;

/// The result of one watch call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchResult<T> {
    /// The position after which changes were requested.
    pub from: StorePosition,
    /// The position up to which all changes were reported.
    pub to: StorePosition,
    /// The changes, or `None` if there were none.
    pub changes: Option<T>,
    /// A time, by the caller's clock, at which the store had no further changes.
    pub confirmed_at: UnixMs,
}

/// A request to the hub for the changes after a position.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct PendingWatch {
    /// The position up to which the requester knows all changes.
    pub position: StorePosition,
    /// When the request arrived at the hub.
    pub arrived_at: UnixMs,
}

/// The hub's reply to a [`PendingWatch`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchReply<T> {
    /// There were changes.
    Changes {
        /// The position for the next request.
        position: StorePosition,
        /// The changes.
        news: T,
        /// The time at which the store had no further changes, relative to the request's
        /// arrival; negative if earlier.
        confirmed_ms: i64,
    },
    /// There were no changes.
    Unchanged {
        /// The position for the next request.
        position: StorePosition,
        /// The time at which the store had no changes, relative to the request's arrival.
        confirmed_ms: i64,
    },
    /// The requester must call the store itself once.
    OutOfSync,
}

impl<T> WatchResult<T> {
    /// Returns whether the call began and ended in the same era.
    ///
    /// Otherwise the response only shows that another era has begun.
    pub fn is_single_era(&self) -> bool {
        self.from.era == self.to.era
    }
}

impl PendingWatch {
    /// Returns whether the requester lacks changes that were reported before its request.
    ///
    /// `quiet_from` is the position of the last reported change. The hub keeps only the
    /// last result; a requester that is further behind makes one call to the store, which
    /// returns all changes or shows that another era has begun.
    pub fn is_behind(&self, quiet_from: StorePosition) -> bool {
        self.position < quiet_from
    }

    /// Returns whether the requester's position has no era although that of the watched
    /// store has one.
    pub fn lacks_era_of(&self, watched: StorePosition) -> bool {
        self.position.era.is_none() && watched.era.is_some()
    }

    /// Returns the reply that follows from a call's result, or `None` if the request must
    /// wait for the next call.
    ///
    /// A requester whose revision lies within a batch of changes has seen some of them.
    /// Sending it the whole batch would take it back to an older state, and sending none
    /// would miss some changes.
    ///
    /// Changes are not reported across eras, because the same revision number denotes
    /// different changes in different eras. A requester in a later era waits for a later
    /// call; one in an earlier era learns of the new era from the store.
    pub fn reply_from<T: Clone>(
        &self,
        brought: &WatchResult<T>,
    ) -> Option<WatchReply<T>> {
        let confirmed_ms = signed_ms(brought.confirmed_at, self.arrived_at);
        let position = brought.to;
        match &brought.changes {
            _ if self.position > position => None,
            _ if !brought.is_single_era() => Some(WatchReply::OutOfSync),
            _ if self.position.era != position.era => Some(WatchReply::OutOfSync),
            Some(_) if self.position == position => None,
            Some(news) if self.position <= brought.from => {
                Some(WatchReply::Changes { position, news: news.clone(), confirmed_ms })
            }
            Some(_) => Some(WatchReply::OutOfSync),
            // A time before the request's arrival would confirm less than a call by the
            // requester itself.
            None if confirmed_ms < 0 => None,
            None => Some(WatchReply::Unchanged { position, confirmed_ms }),
        }
    }
}

/// Returns the time for which a reply is valid, by the clock of the requester.
///
/// A request arrives no earlier than it is sent at `requested_at`, so `confirmed_ms`
/// after `requested_at` is never later than the actual time, regardless of network delays
/// and clock offset. The only assumption is that both clocks run at the same rate.
pub fn confirmed_at(requested_at: UnixMs, confirmed_ms: i64, now: UnixMs) -> UnixMs {
    UnixMs(requested_at.0.saturating_add_signed(confirmed_ms)).min(now)
}

fn signed_ms(at: UnixMs, since: UnixMs) -> i64 {
    at.0 as i64 - since.0 as i64
}
