//! The tickets of rejected callers.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::RequestKey;
use crate::UnixMs;

/// How long a ticket stays valid after the time at which its caller should return.
///
/// Callers that round their wait up to whole seconds return in time.
const GRACE_MS: u64 = 1_000;

/// The largest number of tickets.
///
/// A surge of callers that never return must not take the sidecar's memory, which callers
/// of all entries need.
const MAX_TICKETS: usize = 1_024;

/// The weight of one caller in the estimate of how many return.
///
/// Newcomers are not kept out for callers that don't return.
const RETURN_WEIGHT: f64 = 0.1;

/// The part of the time that callers are told to return in: one in this many.
///
/// Callers that ask for the first time, of customers that were not rejected, need the rest.
const BOOKED_PART: f64 = 2.0;

/// When rejected callers should return, and with which prefill.
#[derive(Debug)]
pub(super) struct Tickets {
    by_key: HashMap<RequestKey, Ticket>,
    issued: VecDeque<(RequestKey, UnixMs)>,
    /// The end of the prefill of those that were told to return.
    booked_until: UnixMs,
    /// The estimated part of callers that return when told.
    return_ratio: f64,
}

#[derive(Debug, Copy, Clone)]
struct Ticket {
    return_at: UnixMs,
    prefill_tokens: u64,
}

impl Tickets {
    pub(super) fn new() -> Self {
        Self {
            by_key: HashMap::new(),
            issued: VecDeque::new(),
            booked_until: UnixMs::default(),
            return_ratio: 1.0,
        }
    }

    /// Returns when a caller should return: at the time at which room is predicted, or later
    /// if others were told to return then.
    ///
    /// Callers that return one after the other don't compete again.
    pub(super) fn book(
        &mut self,
        prefill_ms: u64,
        earliest: UnixMs,
        latest: UnixMs,
    ) -> UnixMs {
        let return_at = self.booked_until.clamp(earliest, latest);
        let booked_ms = (prefill_ms as f64 * self.return_ratio * BOOKED_PART) as u64;
        self.booked_until = return_at.plus_ms(booked_ms);
        return_at
    }

    /// Issues a ticket in place of an earlier one of the same request, and returns its time.
    pub(super) fn issue(
        &mut self,
        key: RequestKey,
        prefill_tokens: u64,
        return_at: UnixMs,
    ) -> UnixMs {
        self.by_key.insert(key, Ticket { return_at, prefill_tokens });
        self.issued.push_back((key, return_at));
        while self.issued.len() > MAX_TICKETS {
            self.drop_oldest();
        }
        return_at
    }

    /// Removes the tickets of callers that haven't returned.
    pub(super) fn expire(&mut self, now: UnixMs) {
        while let Some((key, return_at)) = self.issued.front().copied() {
            if !return_at.plus_ms(GRACE_MS).has_passed_at(now) {
                break;
            }
            if self.holds(key, return_at) {
                self.return_ratio -= self.return_ratio * RETURN_WEIGHT;
            }
            self.drop_oldest();
        }
    }

    /// Uses up the ticket of a request and returns whether it was valid.
    ///
    /// A caller that returns early loses its ticket, so that calling more often brings no
    /// advantage.
    pub(super) fn redeem(&mut self, key: RequestKey, now: UnixMs) -> bool {
        let Some(Ticket { return_at, .. }) = self.by_key.remove(&key) else {
            return false;
        };
        let is_expired = return_at.plus_ms(GRACE_MS).has_passed_at(now);
        let is_valid = return_at.has_passed_at(now) && !is_expired;
        if is_valid {
            self.return_ratio += (1.0 - self.return_ratio) * RETURN_WEIGHT;
        }
        is_valid
    }

    /// Returns the callers that are expected to return.
    pub(super) fn expected(&self, now: UnixMs) -> ExpectedReturns {
        let is_valid = |at: UnixMs| !at.plus_ms(GRACE_MS).has_passed_at(now);
        let valid = self.by_key.values().filter(|ticket| is_valid(ticket.return_at));
        let mut tokens_until: Vec<(UnixMs, u64)> =
            valid.map(|ticket| (ticket.return_at, ticket.prefill_tokens)).collect();
        tokens_until.sort_unstable();
        let mut sum_tokens = 0;
        for (_, tokens) in &mut tokens_until {
            sum_tokens += *tokens;
            *tokens = sum_tokens;
        }
        ExpectedReturns { tokens_until, return_ratio: self.return_ratio }
    }

    fn drop_oldest(&mut self) {
        let Some((key, return_at)) = self.issued.pop_front() else { return };
        if self.holds(key, return_at) {
            self.by_key.remove(&key);
        }
    }

    fn holds(&self, key: RequestKey, return_at: UnixMs) -> bool {
        self.by_key.get(&key).is_some_and(|ticket| ticket.return_at == return_at)
    }

    /// Returns the number of tickets.
    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }
}

/// The prompt tokens of the callers that are expected to return, by time.
#[derive(Debug)]
pub(super) struct ExpectedReturns {
    /// The sums of the tokens up to each return.
    tokens_until: Vec<(UnixMs, u64)>,
    return_ratio: f64,
}

impl ExpectedReturns {
    /// Returns the prompt tokens of those that are expected to return until then.
    pub(super) fn tokens_until(&self, until: UnixMs) -> u64 {
        let count = self.tokens_until.partition_point(|(at, _)| *at <= until);
        let last = count.checked_sub(1).and_then(|index| self.tokens_until.get(index));
        last.map_or(0, |(_, tokens)| (*tokens as f64 * self.return_ratio) as u64)
    }
}
