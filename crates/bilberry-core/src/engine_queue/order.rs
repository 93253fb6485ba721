//! The order of the waiting requests, and which of them are admitted or rejected.

use super::EngineQueue;
use super::urgent_demand::Headroom;
use super::waiting::Class;
use super::waiting::Waiting;
use crate::CallId;
use crate::UnixMs;
use crate::yields;

/// The part of the shortest target for which prefill may be outstanding: one in this many.
///
/// A caller with the shortest target has the rest of it for its own prefill.
const ALLOWANCE_PART: u64 = 2;

/// The part of the allowance that counts as nearly nothing: one in this many.
///
/// A caller with a prompt longer than the allowance follows the last one without a pause
/// of the engine.
const NEARLY_NOTHING_PART: u64 = 8;

/// The same part for a request that has waited long.
///
/// A caller with a long prompt is served although short ones never pause.
const PRESSING_PART: u64 = 4;

/// How many tokens go to the first in the order for each that goes to those passed over.
///
/// Callers of low priority, and those whose target has passed, are still served.
pub(super) const TOKENS_PER_PASSED_OVER_TOKEN: u64 = 3;

/// A waiting request in its order.
#[derive(Debug, Copy, Clone)]
pub(super) struct Ordered {
    pub(super) id: CallId,
    pub(super) class: Class,
}

impl EngineQueue {
    /// Admits what fits, and rejects what can't be admitted in time.
    ///
    /// `newcomer` is a request that has arrived just now.
    pub(super) fn schedule(&mut self, newcomer: Option<CallId>, now: UnixMs) {
        if self.waiting.is_empty() {
            return;
        }
        self.reject_overdue(now);
        let mut order = self.order(now);
        self.update_reservation(&order, now);
        while let Some(ordered) = self.next_to_admit(&order, now) {
            self.settle_passed_over(ordered, &order);
            order.retain(|other| other.id != ordered.id);
            self.admit(ordered.id, now);
            self.update_reservation(&order, now);
        }
        self.reject_unreachable(&order, newcomer, now);
    }

    pub(super) fn order(&self, now: UnixMs) -> Vec<Ordered> {
        let outstanding = self.room.outstanding_tokens().min(self.allowance_tokens());
        let place = |waiting: &Waiting| {
            let tokens = outstanding + waiting.terms.prefill_tokens;
            let first_event_at = now.plus_ms(self.pace.time_ms(tokens));
            let class = waiting.class(first_event_at, !self.is_urgent(waiting));
            (waiting.place(class), Ordered { id: waiting.id, class })
        };
        let mut order: Vec<_> = self.waiting.values().map(place).collect();
        order.sort_unstable_by_key(|(place, _)| *place);
        order.into_iter().map(|(_, ordered)| ordered).collect()
    }

    /// Returns the prompt tokens that may be outstanding.
    pub(super) fn allowance_tokens(&self) -> u64 {
        self.pace.tokens_in(self.shortest_target_ms() / ALLOWANCE_PART)
    }

    fn shortest_target_ms(&self) -> u64 {
        self.shortest_target_ms.unwrap_or(u64::MAX)
    }

    pub(super) fn is_urgent(&self, waiting: &Waiting) -> bool {
        self.has_urgent_target(waiting.terms.target_ms)
    }

    /// Returns whether a request with this target goes ahead of those that yield.
    pub(super) fn has_urgent_target(&self, target_ms: u64) -> bool {
        !yields(target_ms, self.shortest_target_ms())
    }

    /// Returns whether a request can be admitted now.
    fn fits(&self, waiting: &Waiting, now: UnixMs) -> bool {
        self.has_room(waiting, now) && self.fits_prefill(waiting, now)
    }

    /// Returns whether a request has memory and a slot now.
    ///
    /// One that yields leaves what urgent requests need while outstanding prefill makes them
    /// wait, until it has waited long.
    fn has_room(&self, waiting: &Waiting, now: UnixMs) -> bool {
        let is_exempt =
            self.is_urgent(waiting) || waiting.presses_at().has_passed_at(now);
        let headroom = match is_exempt {
            true => Headroom::default(),
            false => {
                let time_ms = self.shortest_target_ms() / ALLOWANCE_PART;
                self.urgent_demand.headroom(self.room.capacity, time_ms, now)
            }
        };
        self.room.has_room(waiting.id, waiting.terms.memory_tokens, headroom)
    }

    /// Returns whether a request whose part is exceeded can be admitted now.
    ///
    /// Urgent requests that never pause keep the outstanding prefill close to the allowance.
    fn fits_exceeded(&self, id: CallId, now: UnixMs) -> bool {
        let Some(waiting) = self.waiting.get(&id) else { return false };
        self.has_room(waiting, now)
            && self.room.outstanding_tokens() <= self.allowance_tokens()
    }

    fn fits_prefill(&self, waiting: &Waiting, now: UnixMs) -> bool {
        let outstanding = self.room.outstanding_tokens();
        let allowance = self.allowance_tokens();
        let nearly_nothing = match waiting.presses_at().has_passed_at(now) {
            true => allowance / PRESSING_PART,
            false => allowance / NEARLY_NOTHING_PART,
        };
        outstanding <= nearly_nothing
            || outstanding + waiting.terms.prefill_tokens <= allowance
            || (outstanding <= allowance && self.is_urgent(waiting))
    }

    /// Keeps room for the next request if it lacks room and has waited a part of its time.
    ///
    /// The first in the order and those passed over take turns.
    fn update_reservation(&mut self, order: &[Ordered], now: UnixMs) {
        let Some(first) = order.first().filter(|_| self.room.reserved().is_none()) else {
            return;
        };
        let passed_over = self.due_passed_over(first.class, order);
        let mut next = [(passed_over, true), (Some(*first), false)];
        if self.last_reserved_passed_over {
            next.reverse();
        }
        let next = next.into_iter().filter_map(|(ordered, is_passed_over)| {
            Some((self.waiting.get(&ordered?.id)?, is_passed_over))
        });
        let is_due = |waiting: &Waiting| {
            waiting.reserves_at().has_passed_at(now) && !self.has_room(waiting, now)
        };
        let mut due = next.filter(|(waiting, _)| is_due(waiting));
        let wanted = due.next().map(|(waiting, is_passed_over)| {
            ((waiting.id, waiting.terms.memory_tokens), is_passed_over)
        });
        if let Some((wanted, is_passed_over)) = wanted {
            self.room.reserve(Some(wanted));
            self.last_reserved_passed_over = is_passed_over;
        }
    }

    /// Returns the next request that fits.
    ///
    /// Those that yield don't pass one that has waited a part of its time and lacks nothing
    /// but prefill, as the outstanding prefill would never be little enough for it.
    fn next_to_admit(&self, order: &[Ordered], now: UnixMs) -> Option<Ordered> {
        let passed_over = self.due_passed_over(order.first()?.class, order);
        // Short prompts delay it little, so they go first until its part is exceeded.
        let is_exceeded = passed_over.is_some_and(|oldest| {
            self.passed_over_tokens >= self.passed_over_limit(oldest.id)
        });
        let urgent = order.iter().take_while(|o| !o.class.yields && !is_exceeded);
        if let Some(oldest) = passed_over.filter(|_| is_exceeded)
            && self.fits_exceeded(oldest.id, now)
        {
            return Some(oldest);
        }
        let candidates = urgent.chain(&passed_over).chain(order);
        let mut may_pass = true;
        for ordered in candidates {
            let Some(waiting) = self.waiting.get(&ordered.id) else { continue };
            if (may_pass || !ordered.class.yields) && self.fits(waiting, now) {
                return Some(*ordered);
            }
            may_pass &=
                !waiting.reserves_at().has_passed_at(now) || !self.has_room(waiting, now);
        }
        None
    }

    /// Returns the most tokens that are saved for a request that was passed over.
    fn passed_over_limit(&self, id: CallId) -> u64 {
        2 * self.waiting.get(&id).map_or(0, Waiting::cost)
    }

    /// Returns the oldest request of a lower class if it may go ahead of the order.
    fn due_passed_over(&self, class: Class, order: &[Ordered]) -> Option<Ordered> {
        let (ordered, cost) = self.oldest_passed_over(class, order)?;
        (cost <= self.passed_over_tokens).then_some(ordered)
    }

    /// Returns the oldest request of a lower class, and its cost.
    fn oldest_passed_over(
        &self,
        class: Class,
        order: &[Ordered],
    ) -> Option<(Ordered, u64)> {
        let lower = order.iter().filter(|ordered| ordered.class > class);
        let lower = lower.filter_map(|o| Some((*o, self.waiting.get(&o.id)?)));
        let (ordered, waiting) = lower.min_by_key(|(_, waiting)| waiting.arrival)?;
        Some((ordered, waiting.cost()))
    }

    /// Accounts for an admission in the part that goes to those passed over.
    fn settle_passed_over(&mut self, admitted: Ordered, order: &[Ordered]) {
        let cost = self.waiting.get(&admitted.id).map_or(0, Waiting::cost);
        let oldest = order.first().and_then(|o| self.oldest_passed_over(o.class, order));
        self.passed_over_tokens = match oldest {
            None => 0,
            Some((oldest, _)) if admitted.class >= oldest.class => {
                self.passed_over_tokens.saturating_sub(cost)
            }
            Some((oldest, _)) => {
                let added = cost / TOKENS_PER_PASSED_OVER_TOKEN;
                let limit = self.passed_over_limit(oldest.id);
                (self.passed_over_tokens + added).min(limit)
            }
        };
    }

    fn reject_overdue(&mut self, now: UnixMs) {
        let overdue = self.waiting.values().filter(|w| w.terms.start_by < now);
        let ids: Vec<CallId> = overdue.map(|waiting| waiting.id).collect();
        for id in ids {
            self.reject(id, self.predicted_drain_ms(), now);
        }
    }
}
