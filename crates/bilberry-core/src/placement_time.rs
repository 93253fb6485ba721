//! Placement by predicted times, for engines whose pace is measured.
//!
//! Designed for engines of one service that differ in pace: a request is late at a slow
//! one although the same work is in time at a fast one.

use crate::WorkPace;
use crate::placement::CROSS_DATA_CENTRE_COST_TOKENS_PER_KB;
use crate::placement::FETCH_COST_DIVISOR;
use crate::placement::OLD_WEIGHTS_COST_TOKENS;
use crate::placement::PlacementCandidate;
use crate::placement::PlacementRequest;
use crate::placement::QUEUED_COST_TOKENS;
use crate::placement::RUNNING_COST_TOKENS;
use crate::placement::WeightsStatus;
use crate::placement::load_overlap_cost;
use crate::routing::rank;

/// The prefill time per token if no engine's is measured, in nanoseconds.
///
/// A caller's first event is predicted from it until some engine has prefilled a long
/// prompt.
const DEFAULT_PREFILL_TOKEN_NS: u64 = 25_000;

/// The number of prompt tokens that an engine prefills between two events of its runs.
///
/// Engines divide long prompts so that the streams of other callers continue; each
/// portion delays their next event.
const PREFILL_PORTION_TOKENS: u64 = 512;

/// How many times its mean time a piece of work may take on a shared host.
///
/// A caller counts the longest pause of its answer, and its first event whenever it comes.
/// Other work on the host doubles the time of some of them, and other entries send work
/// that this one does not know of yet.
const HOST_DELAY_FACTOR: u64 = 2;

/// The times predicted for a request at an engine.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct PredictedTimes {
    /// The time from the arrival of the request to its first event, in milliseconds.
    pub first_ms: u64,
    /// The longest pause between its events, in milliseconds; zero while unknown.
    pub gap_ms: u64,
    /// Whether either of them misses the request's target.
    pub is_late: bool,
}

/// Predicts the times of a request at the candidate `at`; `None` if no candidate has a
/// pace.
pub fn predict_times(
    request: &PlacementRequest,
    candidates: &[PlacementCandidate],
    at: usize,
) -> Option<PredictedTimes> {
    let mean = MeanPace::of(candidates)?;
    let times = EngineTimes::new(request, &candidates[at], mean);
    let first_ms = times.first_us / 1_000;
    let gap_ms = times.gap_us / 1_000;
    let is_late = exceeds(first_ms, request.target_ms) || exceeds(gap_ms, request.gap_ms);
    Some(PredictedTimes { first_ms, gap_ms, is_late })
}

/// The mean pace of a service's engines.
#[derive(Debug, Copy, Clone)]
pub(crate) struct MeanPace {
    prefill_token_ns: u64,
    event_us: Option<u64>,
}

impl MeanPace {
    /// Returns the mean over the candidates with a pace; `None` if none has one.
    pub(crate) fn of(candidates: &[PlacementCandidate]) -> Option<Self> {
        let paces = || candidates.iter().filter_map(|candidate| candidate.pace);
        paces().next()?;
        let prefill = mean(paces().filter_map(|pace| pace.prefill_token_ns));
        Some(Self {
            prefill_token_ns: prefill.unwrap_or(DEFAULT_PREFILL_TOKEN_NS),
            event_us: mean(paces().filter_map(|pace| pace.event_us)),
        })
    }
}

/// Returns the order of a candidate in the choice for a request, the lowest first: whether
/// a target is at risk there, then the time that the work takes.
///
/// A request that is at risk everywhere goes where the least work is ahead of it, without
/// regard to its own time there. If it went where it is late by the least, the fast
/// engines would get all work until no request is in time there either.
pub(crate) fn time_cost(
    request: &PlacementRequest,
    candidate: &PlacementCandidate,
    mean: MeanPace,
) -> (bool, u64) {
    let times = EngineTimes::new(request, candidate, mean);
    let is_at_risk =
        times.is_at_risk(request) || is_mostly_after_load(request, candidate);
    let own_us = match is_at_risk {
        true => 0,
        false => times.own_us,
    };
    let cross_data_centre_tokens = match candidate.same_data_centre {
        true => 0,
        false => (1 + request.body_bytes / 1_024) * CROSS_DATA_CENTRE_COST_TOKENS_PER_KB,
    };
    let older_weights_tokens = match candidate.weights {
        WeightsStatus::Acceptable => 0,
        WeightsStatus::Penalized | WeightsStatus::Excluded => OLD_WEIGHTS_COST_TOKENS,
    };
    let load_overlap_tokens = load_overlap_cost(request, candidate);
    let mean_us = |tokens: u64| tokens * mean.prefill_token_ns / 1_000;
    let cost_us = own_us
        + times.ahead_us
        + times.missing_us
        + times.prefill_us(candidate.running * RUNNING_COST_TOKENS)
        + mean_us(cross_data_centre_tokens + older_weights_tokens + load_overlap_tokens)
        + times.unknown_work_us(request, candidate);
    (is_at_risk, cost_us)
}

/// The predicted times of a request at one engine.
struct EngineTimes {
    prefill_token_ns: u64,
    /// The time of the prefill work ahead of the request.
    ahead_us: u64,
    /// The time to supply its shared tokens that are not cached.
    missing_us: u64,
    /// The time of its own tokens and its first event.
    own_us: u64,
    /// The time from its arrival to its first event.
    first_us: u64,
    /// The longest pause between its events.
    gap_us: u64,
}

impl EngineTimes {
    fn new(
        request: &PlacementRequest,
        candidate: &PlacementCandidate,
        mean: MeanPace,
    ) -> Self {
        let WorkPace { prefill_token_ns, event_us } = candidate.pace.unwrap_or_default();
        let prefill_token_ns = prefill_token_ns.unwrap_or(mean.prefill_token_ns);
        let prefill_us = |tokens: u64| tokens * prefill_token_ns / 1_000;
        let event_us = event_us.or(mean.event_us).unwrap_or_default();
        let missing = request.shared_tokens.saturating_sub(candidate.cached_tokens);
        let missing = match request.can_fetch {
            true => missing / FETCH_COST_DIVISOR,
            false => missing,
        };
        let ahead = tokens_ahead(candidate);
        let (ahead_us, missing_us) = (prefill_us(ahead), prefill_us(missing));
        let own_us = prefill_us(request.own_tokens) + event_us;
        let first_us = request.waited_ms * 1_000 + ahead_us + missing_us + own_us;
        let portion_us = prefill_us(ahead.min(PREFILL_PORTION_TOKENS));
        let gap_us = match event_us {
            0 => 0,
            _ => HOST_DELAY_FACTOR * event_us + portion_us,
        };
        Self { prefill_token_ns, ahead_us, missing_us, own_us, first_us, gap_us }
    }

    fn prefill_us(&self, tokens: u64) -> u64 {
        tokens * self.prefill_token_ns / 1_000
    }

    /// Returns whether the request misses one of its targets if the host delays the work.
    fn is_at_risk(&self, request: &PlacementRequest) -> bool {
        let first_ms = self.first_us * HOST_DELAY_FACTOR / 1_000;
        exceeds(first_ms, request.target_ms)
            || exceeds(self.gap_us / 1_000, request.gap_ms)
    }

    /// Returns a share, by rank, of the time that one more request takes.
    ///
    /// Another entry may have sent one since the last state. If entries disregarded it,
    /// all of them would choose the same engine until the next state.
    fn unknown_work_us(
        &self,
        request: &PlacementRequest,
        candidate: &PlacementCandidate,
    ) -> u64 {
        let request_us = self.prefill_us(RUNNING_COST_TOKENS + request.own_tokens);
        share_by_rank(request_us, request.affinity, candidate.seed)
    }
}

/// Returns the prompt tokens that an engine prefills before those of a request.
fn tokens_ahead(candidate: &PlacementCandidate) -> u64 {
    if let Some(tokens) = candidate.reported_pending_tokens {
        return tokens;
    }
    // Running requests include queued ones.
    let others = candidate.running.saturating_sub(candidate.own_running);
    let others = others.saturating_sub(candidate.queued);
    candidate.pending_tokens
        + others * candidate.mean_pending_tokens
        + candidate.queued * QUEUED_COST_TOKENS
}

/// Returns whether most of an answer would be worthless because its engine loads weights.
fn is_mostly_after_load(
    request: &PlacementRequest,
    candidate: &PlacementCandidate,
) -> bool {
    candidate.load_overlap_ms(request.answer_ms) * 2 > request.answer_ms
}

fn exceeds(time_ms: u64, target_ms: Option<u64>) -> bool {
    target_ms.is_some_and(|target_ms| time_ms > target_ms)
}

/// Returns a share of `amount`, the smaller the higher the candidate ranks.
pub(crate) fn share_by_rank(amount: u64, affinity: u64, seed: u64) -> u64 {
    let draw = u128::from(!rank(affinity, seed));
    ((u128::from(amount) * draw) >> 64) as u64
}

fn mean(values: impl Iterator<Item = u64>) -> Option<u64> {
    let (sum, count) =
        values.fold((0, 0), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / count)
}
