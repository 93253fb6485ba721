//! The predicted waits of the waiting requests, and who can't be admitted in time.

use std::collections::BTreeMap;

use super::EngineQueue;
use super::order::Ordered;
use super::order::TOKENS_PER_PASSED_OVER_TOKEN;
use super::waiting::Class;
use super::waiting::Waiting;
use crate::AdmissionTerms;
use crate::CallId;
use crate::UnixMs;

/// By how much a prediction must exceed the time of a request that already waits for it to
/// be rejected: one in this many.
///
/// Predictions vary a little; a caller that has waited is not sent away for that.
const RECHECK_TOLERANCE_PART: u64 = 4;

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

    /// Rejects the requests that can't be admitted in time.
    pub(super) fn reject_unreachable(
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
