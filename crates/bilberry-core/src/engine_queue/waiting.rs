//! A request that waits for its admission, and its place in the order.

use crate::AdmissionTerms;
use crate::CallId;
use crate::UnixMs;

/// The part of its time after which a request that lacks room is no longer passed by
/// others: one in this many.
///
/// A caller with a large request has most of its time left when room is kept for it.
const RESERVE_AFTER_PART: u64 = 4;

/// The part of its time after which a request goes ahead although some prefill is
/// outstanding: one in this many.
///
/// A caller with a long prompt is served although short ones never pause.
const PRESS_AFTER_PART: u64 = 2;

/// A waiting request.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) id: CallId,
    pub(super) terms: AdmissionTerms,
    pub(super) arrived_at: UnixMs,
    /// The number of requests that arrived before.
    pub(super) arrival: u64,
    pub(super) start_tag: u64,
    pub(super) has_ticket: bool,
}

/// The class of a waiting request; the lowest goes first.
#[derive(Debug, Copy, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Class {
    priority: u32,
    is_late: bool,
    pub(super) yields: bool,
}

/// The place of a waiting request; the lowest goes first.
#[derive(Debug, Copy, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    class: Class,
    is_without_ticket: bool,
    start_tag: u64,
    arrival: u64,
}

impl Waiting {
    /// Returns the class, given when the first event comes if it is admitted now, and
    /// whether its target is long enough to let others go first.
    ///
    /// A caller that has returned when told was late before; it doesn't yield to newcomers
    /// for being late again.
    pub(super) fn class(&self, first_event_at: UnixMs, yields: bool) -> Class {
        let is_late = first_event_at > self.terms.target_at && !self.has_ticket;
        Class { priority: self.terms.priority, is_late, yields }
    }

    /// Returns the place in the order.
    pub(super) fn place(&self, class: Class) -> Place {
        Place {
            class,
            is_without_ticket: !self.has_ticket,
            start_tag: self.start_tag,
            arrival: self.arrival,
        }
    }

    /// Returns the time that it had left when it arrived.
    pub(super) fn target_ms(&self) -> u64 {
        self.terms.target_at.ms_since(self.arrived_at)
    }

    /// Returns when others no longer pass it.
    ///
    /// A caller that has returned when told has waited before.
    pub(super) fn reserves_at(&self) -> UnixMs {
        match self.has_ticket {
            true => self.arrived_at,
            false => self.after_part(RESERVE_AFTER_PART),
        }
    }

    /// Returns when it goes ahead although some prefill is outstanding.
    pub(super) fn presses_at(&self) -> UnixMs {
        self.after_part(PRESS_AFTER_PART)
    }

    fn after_part(&self, part: u64) -> UnixMs {
        let time_ms = self.terms.start_by.ms_since(self.arrived_at);
        self.arrived_at.plus_ms(time_ms / part)
    }
}
