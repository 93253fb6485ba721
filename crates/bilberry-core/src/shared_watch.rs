//! One watch of the platform's store that several processes share.
//!
//! The load pattern: every process that follows the store keeps a watch of its own for
//! each kind, and each watch is a call that ends and is made anew; so calls grow with
//! the fleet before anything happens. Where one process watches and tells the others,
//! what it tells has to be worth as much as the store's own answer: nothing is missed,
//! nothing comes twice, and what is said to be the newest was the newest then.

use crate::StorePosition;
use crate::UnixMs;

/// What one call to the store brought to the process that made it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Brought<T> {
    /// The position after which changes were asked for.
    pub from: StorePosition,
    /// The position up to which all changes were told.
    pub to: StorePosition,
    /// The changes; `None` if there were none.
    pub news: Option<T>,
    /// A moment at which the store had nothing more than this, by the caller's clock.
    pub known_at: UnixMs,
}

/// A question for what follows a revision, as it arrived at who shares a watch.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct WatchQuestion {
    /// The position up to which the asker knows everything.
    pub position: StorePosition,
    /// When the question arrived.
    pub arrived_at: UnixMs,
}

/// What is told to one who asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchReply<T> {
    /// Something changed.
    News {
        /// The position to ask from next.
        position: StorePosition,
        /// The changes.
        news: T,
        /// How long after the question's arrival the store had nothing more than this;
        /// negative if before.
        known_ms: i64,
    },
    /// Nothing changed.
    Quiet {
        /// The position to ask from next.
        position: StorePosition,
        /// How long after the question's arrival nothing had changed.
        known_ms: i64,
    },
    /// The asker has to ask the store itself once.
    OutOfStep,
}

impl<T> Brought<T> {
    /// Reports whether the store's era is the one that the call began in.
    ///
    /// If not, nothing follows from the answer but that another era has begun.
    pub fn is_of_one_era(&self) -> bool {
        self.from.era == self.to.era
    }
}

impl WatchQuestion {
    /// Reports whether the asker lacks changes that were told before it asked.
    ///
    /// `quiet_from` is the position of the last change told. All but the last are not kept
    /// for later askers: one call to the store tells such an asker all of them, or that
    /// another era has begun.
    pub fn is_behind(&self, quiet_from: StorePosition) -> bool {
        self.position < quiet_from
    }

    /// Reports whether the asker knows no eras, where the store that is watched at
    /// `watched` tells them.
    pub fn knows_no_era_of(&self, watched: StorePosition) -> bool {
        self.position.era.is_none() && watched.era.is_some()
    }

    /// Returns what a call's outcome says to this question; `None` if the next one will.
    ///
    /// An asker whose revision lies inside a batch of changes has seen some of them.
    /// Told all, it would go back to an older state; told none, it would miss some.
    ///
    /// Across eras nothing is told: what followed a revision of one era says nothing of
    /// the other, where the same number stands for another change. An asker of a later
    /// era waits for a later call, one of an earlier era learns of it from the store.
    pub fn hear<T: Clone>(&self, brought: &Brought<T>) -> Option<WatchReply<T>> {
        let known_ms = signed_ms(brought.known_at, self.arrived_at);
        let position = brought.to;
        match &brought.news {
            _ if self.position > position => None,
            _ if !brought.is_of_one_era() => Some(WatchReply::OutOfStep),
            _ if self.position.era != position.era => Some(WatchReply::OutOfStep),
            Some(_) if self.position == position => None,
            Some(news) if self.position <= brought.from => {
                Some(WatchReply::News { position, news: news.clone(), known_ms })
            }
            Some(_) => Some(WatchReply::OutOfStep),
            // Of a moment before the question it would confirm less than the asker has
            // a right to expect of its question.
            None if known_ms < 0 => None,
            None => Some(WatchReply::Quiet { position, known_ms }),
        }
    }
}

/// Returns for which moment a reply counts, by the clock of the process that asked.
///
/// The question arrived no sooner than it was asked, so `known_ms` after `asked_at` is
/// no later than the moment that is meant, however long question and reply travelled
/// and whatever the other clock shows. Only that both clocks run equally fast is used.
pub fn known_at(asked_at: UnixMs, known_ms: i64, now: UnixMs) -> UnixMs {
    UnixMs(asked_at.0.saturating_add_signed(known_ms)).min(now)
}

fn signed_ms(at: UnixMs, since: UnixMs) -> i64 {
    at.0 as i64 - since.0 as i64
}
