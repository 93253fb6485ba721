//! One watch of the platform's store that several processes share.
//!
//! The load pattern: every process that follows the store keeps a watch of its own for
//! each kind, and each watch is a call that ends and is made anew; so calls grow with
//! the fleet before anything happens. Where one process watches and tells the others,
//! what it tells has to be worth as much as the store's own answer: nothing is missed,
//! nothing comes twice, and what is said to be the newest was the newest then.

use crate::UnixMs;

/// What one call to the store brought to the process that made it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Brought<T> {
    /// The revision after which changes were asked for.
    pub from: u64,
    /// The revision up to which all changes were told.
    pub to: u64,
    /// The changes; `None` if there were none.
    pub news: Option<T>,
    /// A moment at which the store had nothing more than this, by the caller's clock.
    pub known_at: UnixMs,
}

/// A question for what follows a revision, as it arrived at who shares a watch.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct WatchQuestion {
    /// The revision up to which the asker knows everything.
    pub revision: u64,
    /// When the question arrived.
    pub arrived_at: UnixMs,
}

/// What is told to one who asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchReply<T> {
    /// Something changed.
    News {
        /// The revision to ask from next.
        revision: u64,
        /// The changes.
        news: T,
        /// How long after the question's arrival the store had nothing more than this;
        /// negative if before.
        known_ms: i64,
    },
    /// Nothing changed.
    Quiet {
        /// The revision to ask from next.
        revision: u64,
        /// How long after the question's arrival nothing had changed.
        known_ms: i64,
    },
    /// The asker has to ask the store itself once.
    OutOfStep,
}

impl WatchQuestion {
    /// Reports whether the asker lacks changes that were told before it asked.
    ///
    /// `quiet_from` is the revision of the last change told. They are not kept for
    /// later askers: one call to the store tells such an asker all of them.
    pub fn is_behind(&self, quiet_from: u64) -> bool {
        self.revision < quiet_from
    }

    /// Returns what a call's outcome says to this question; `None` if the next one will.
    ///
    /// An asker whose revision lies inside a batch of changes has seen some of them.
    /// Told all, it would go back to an older state; told none, it would miss some.
    pub fn hear<T: Clone>(&self, brought: &Brought<T>) -> Option<WatchReply<T>> {
        let known_ms = signed_ms(brought.known_at, self.arrived_at);
        let revision = brought.to;
        match &brought.news {
            _ if self.revision > brought.to => None,
            Some(_) if self.revision == brought.to => None,
            Some(news) if self.revision <= brought.from => {
                Some(WatchReply::News { revision, news: news.clone(), known_ms })
            }
            Some(_) => Some(WatchReply::OutOfStep),
            // Of a moment before the question it would confirm less than the asker has
            // a right to expect of its question.
            None if known_ms < 0 => None,
            None => Some(WatchReply::Quiet { revision, known_ms }),
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
