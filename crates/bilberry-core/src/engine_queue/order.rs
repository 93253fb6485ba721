//! The order of the waiting requests, and which of them are admitted or rejected.

use std::collections::BTreeMap;

use super::EngineQueue;
use super::urgent_demand::Headroom;
use super::waiting::Class;
use super::waiting::Waiting;
use crate::AdmissionTerms;
use crate::CallId;
use crate::UnixMs;

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

/// How many times the shortest target a target must be for its requests to yield.
///
/// A caller that yields has at least half of its target left for its own prefill.
const YIELDING_FACTOR: u64 = 2;

/// How many tokens go to the first in the order for each that goes to those passed over.
///
/// Callers of low priority, and those whose target has passed, are still served.
const TOKENS_PER_PASSED_OVER_TOKEN: u64 = 3;

/// By how much a prediction must exceed the time of a request that already waits for it to
/// be rejected: one in this many.
///
/// Predictions vary a little; a caller that has waited is not sent away for that.
const RECHECK_TOLERANCE_PART: u64 = 4;

/// A waiting request in its order.
#[derive(Debug, Copy, Clone)]
struct Ordered {
    id: CallId,
    class: Class,
}

/// What goes ahead of a waiting request.
#[derive(Debug, Copy, Clone, Default)]
struct Ahead {
    requests: u64,
    prefill_tokens: u64,
    memory_tokens: u64,
}

impl Ahead {
    fn add(&mut self, waiting: &Waiting) {
        self.requests += 1;
        self.prefill_tokens += waiting.terms.prefill_tokens;
        self.memory_tokens += waiting.terms.memory_tokens;
    }
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

    /// Returns the predicted wait of a waiting request.
    pub(super) fn wait_ms(&self, id: CallId, now: UnixMs) -> u64 {
        let mut found_ms = 0;
        self.predict_waits(&self.order(now), now, |waiting, wait_ms| {
            if waiting.id == id {
                found_ms = wait_ms;
            }
            true
        });
        found_ms
    }

    fn order(&self, now: UnixMs) -> Vec<Ordered> {
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
    fn allowance_tokens(&self) -> u64 {
        self.pace.tokens_in(self.shortest_target_ms() / ALLOWANCE_PART)
    }

    fn shortest_target_ms(&self) -> u64 {
        let waiting_ms = || self.waiting.values().map(Waiting::target_ms).min();
        self.shortest_target.get_ms().or_else(waiting_ms).unwrap_or(u64::MAX)
    }

    pub(super) fn is_urgent(&self, waiting: &Waiting) -> bool {
        self.has_urgent_target(waiting.target_ms())
    }

    /// Returns whether a request with this target goes ahead of those that yield.
    pub(super) fn has_urgent_target(&self, target_ms: u64) -> bool {
        target_ms < self.shortest_target_ms().saturating_mul(YIELDING_FACTOR)
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

    /// Rejects the requests that can't be admitted in time.
    fn reject_unreachable(
        &mut self,
        order: &[Ordered],
        newcomer: Option<CallId>,
        now: UnixMs,
    ) {
        let mut unreachable = Vec::new();
        self.predict_waits(order, now, |waiting, wait_ms| {
            let left_ms = waiting.terms.start_by.ms_since(now);
            let tolerance_ms = match newcomer == Some(waiting.id) {
                true => 0,
                false => wait_ms / RECHECK_TOLERANCE_PART,
            };
            let is_reachable = left_ms > 0 && wait_ms - tolerance_ms <= left_ms;
            if !is_reachable {
                unreachable.push((waiting.id, wait_ms));
            }
            is_reachable
        });
        for (id, wait_ms) in unreachable {
            self.reject(id, wait_ms, now);
        }
    }

    /// Predicts the wait of each request, in order.
    ///
    /// `stays` gets each prediction and returns whether the request stays ahead of those
    /// behind it.
    fn predict_waits(
        &self,
        order: &[Ordered],
        now: UnixMs,
        mut stays: impl FnMut(&Waiting, u64) -> bool,
    ) {
        let Some(first) = order.first() else { return };
        let passed_over_waits = self.passed_over_waits(first.class, order);
        let returning = self.tickets.expected(now);
        let mut ahead = Ahead::default();
        let mut urgent_ahead = Ahead::default();
        for ordered in order {
            let Some(waiting) = self.waiting.get(&ordered.id) else { continue };
            let is_urgent = self.is_urgent(waiting);
            let mut wait_ms = match is_urgent {
                true => self.predicted_wait_ms(waiting, urgent_ahead, |tokens| {
                    self.pace.time_ms(tokens)
                }),
                false => self.predicted_wait_ms(waiting, ahead, |tokens| {
                    self.pace.yielding_time_ms(tokens)
                }),
            };
            if !is_urgent && !waiting.has_ticket {
                let tokens = returning.tokens_until(now.plus_ms(wait_ms));
                wait_ms += self.pace.yielding_time_ms(tokens);
            }
            let passed_over_ms = passed_over_waits.get(&ordered.id).copied();
            let wait_ms = wait_ms.min(passed_over_ms.unwrap_or(u64::MAX));
            if !stays(waiting, wait_ms) {
                continue;
            }
            ahead.add(waiting);
            if is_urgent {
                urgent_ahead.add(waiting);
            }
        }
    }

    /// Predicts the wait behind `ahead`; `time_ms` is the time for a number of prompt tokens.
    fn predicted_wait_ms(
        &self,
        waiting: &Waiting,
        ahead: Ahead,
        time_ms: impl Fn(u64) -> u64,
    ) -> u64 {
        let AdmissionTerms { prefill_tokens, memory_tokens, .. } = waiting.terms;
        let allowance = self.allowance_tokens();
        let may_remain = match self.is_urgent(waiting) {
            true => allowance,
            false => allowance.saturating_sub(prefill_tokens),
        };
        let tokens = self.room.outstanding_tokens() + ahead.prefill_tokens;
        let prefill_ms = time_ms(tokens.saturating_sub(may_remain));
        let memory_tokens = ahead.memory_tokens + memory_tokens;
        let room_ms = self.room.predicted_wait_ms(ahead.requests + 1, memory_tokens);
        prefill_ms.max(room_ms)
    }

    /// Returns the predicted waits of the requests of lower classes, given the part of the
    /// admissions that goes to them.
    fn passed_over_waits(
        &self,
        first: Class,
        order: &[Ordered],
    ) -> BTreeMap<CallId, u64> {
        let lower = order.iter().filter(|ordered| ordered.class > first);
        let mut lower: Vec<&Waiting> =
            lower.filter_map(|ordered| self.waiting.get(&ordered.id)).collect();
        lower.sort_unstable_by_key(|waiting| waiting.arrival);
        let mut ahead = Ahead::default();
        let mut waits = BTreeMap::new();
        for waiting in lower {
            let share = TOKENS_PER_PASSED_OVER_TOKEN + 1;
            let wait_ms = self.predicted_wait_ms(waiting, ahead, |tokens| {
                self.pace.time_ms(tokens).saturating_mul(share)
            });
            waits.insert(waiting.id, wait_ms);
            ahead.add(waiting);
        }
        waits
    }
}
