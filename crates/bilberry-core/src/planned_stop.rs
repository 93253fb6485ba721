//! The course of a planned stop of an entry, and the requests that it still takes.

use crate::UnixMs;

/// The longest time for which a stopping entry accepts connections, in milliseconds.
///
/// The load balancer checks readiness once per second and stops sending callers after two
/// failed checks.
const MAX_ACCEPT_MS: u64 = 2_500;

/// The longest time before the end of the grace period at which the process ends, in
/// milliseconds.
const MAX_MARGIN_MS: u64 = 700;

/// The divisor of the grace period that gives the margin of a short one.
const MARGIN_DIVISOR: u64 = 6;

/// The longest time in which final answers reach their callers, in milliseconds.
const MAX_ANSWER_MS: u64 = 200;

/// The divisor of the grace period that gives the time for final answers of a short one.
const ANSWER_DIVISOR: u64 = 20;

/// The course of a planned stop.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct PlannedStop {
    /// Until when connections are accepted.
    pub accepts_until: UnixMs,
    /// When requests that are not answered get a final answer.
    pub answers_at: UnixMs,
    /// When the process ends.
    pub ends_at: UnixMs,
}

impl PlannedStop {
    /// Creates the course of a stop that begins now and has a grace period.
    pub fn begin(now: UnixMs, grace_ms: u64) -> Self {
        let left_ms = grace_ms - MAX_MARGIN_MS.min(grace_ms / MARGIN_DIVISOR);
        let answer_ms = MAX_ANSWER_MS.min(grace_ms / ANSWER_DIVISOR);
        Self {
            accepts_until: now.plus_ms(MAX_ACCEPT_MS.min(left_ms / 2)),
            answers_at: now.plus_ms(left_ms - answer_ms),
            ends_at: now.plus_ms(left_ms),
        }
    }

    /// Decides whether a request can still be answered.
    ///
    /// `usual_ms` is the time within which answers to such requests end as a rule. Where it is
    /// not known, a request may take until its deadline.
    pub fn can_answer(
        &self,
        deadline: UnixMs,
        usual_ms: Option<u64>,
        now: UnixMs,
    ) -> bool {
        let expected_end = usual_ms.map_or(deadline, |ms| deadline.min(now.plus_ms(ms)));
        expected_end <= self.answers_at
    }
}
