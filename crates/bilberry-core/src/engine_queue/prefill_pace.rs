//! How long an engine needs for prompts, and how much of that may be outstanding.

use crate::UnixMs;

/// The time per prompt token until prefills have been measured, in microseconds.
///
/// Callers of an engine that has just started need a usable prediction, too.
const INITIAL_US_PER_TOKEN: f64 = 25.0;

/// The bounds of the measured time per prompt token, in microseconds.
///
/// A stalled update of an entry must not keep later callers out.
const US_PER_TOKEN_BOUNDS: (f64, f64) = (1.0, 2_000.0);

/// The weight of one measurement.
///
/// One stalled prefill must not make callers wait or leave who would be served in time.
const SAMPLE_WEIGHT: f64 = 0.2;

/// The prefilled tokens after which a busy period is measured.
///
/// Callers need a prediction that follows a slower engine within a second.
const SAMPLE_TOKENS: u64 = 4_096;

/// The prefilled tokens below which a busy period isn't measured.
///
/// The time of shorter prompts is mostly not that of their tokens, and callers with long
/// prompts would be told a wait that is too long.
const MIN_SAMPLE_TOKENS: u64 = 1_024;

/// The admitted tokens over which the part of urgent requests is measured.
///
/// Callers that yield are told a wait that includes the urgent requests of the next seconds.
const URGENT_WINDOW_TOKENS: f64 = 40_000.0;

/// The largest part of urgent requests in a prediction.
///
/// A caller that yields gets a part of the engine however many urgent requests there are.
const MAX_URGENT_PART: f64 = 0.75;

/// The measured prefill speed of an engine.
#[derive(Debug)]
pub(super) struct PrefillPace {
    us_per_token: f64,
    /// The part of the admitted tokens that belongs to urgent requests.
    urgent_part: f64,
    /// Since when prefill has been outstanding without interruption, and the tokens that
    /// were prefilled since.
    busy: Option<(UnixMs, u64)>,
}

impl PrefillPace {
    pub(super) fn new() -> Self {
        Self { us_per_token: INITIAL_US_PER_TOKEN, urgent_part: 0.0, busy: None }
    }

    pub(super) fn us_per_token(&self) -> f64 {
        self.us_per_token
    }

    /// Returns the predicted time for `tokens`.
    pub(super) fn time_ms(&self, tokens: u64) -> u64 {
        (tokens as f64 * self.us_per_token / 1_000.0).ceil() as u64
    }

    /// Returns the predicted time for `tokens` of requests that yield to urgent ones.
    pub(super) fn yielding_time_ms(&self, tokens: u64) -> u64 {
        let part = 1.0 - self.urgent_part.min(MAX_URGENT_PART);
        (tokens as f64 * self.us_per_token / 1_000.0 / part).ceil() as u64
    }

    /// Records an admission.
    pub(super) fn record_admission(&mut self, tokens: u64, is_urgent: bool) {
        let weight = tokens as f64 / (tokens as f64 + URGENT_WINDOW_TOKENS);
        let sample = if is_urgent { 1.0 } else { 0.0 };
        self.urgent_part += (sample - self.urgent_part) * weight;
    }

    /// Returns the tokens that are prefilled in `time_ms`.
    pub(super) fn tokens_in(&self, time_ms: u64) -> u64 {
        (time_ms as f64 * 1_000.0 / self.us_per_token) as u64
    }

    /// Records that prefill is outstanding.
    pub(super) fn start(&mut self, now: UnixMs) {
        self.busy.get_or_insert((now, 0));
    }

    /// Records a completed prefill; `is_idle` tells that none is outstanding any more.
    pub(super) fn complete(&mut self, tokens: u64, is_idle: bool, now: UnixMs) {
        let Some((since, done)) = self.busy else { return };
        let done = done + tokens;
        self.busy = match is_idle {
            true => None,
            false if done >= SAMPLE_TOKENS => Some((now, 0)),
            false => Some((since, done)),
        };
        let is_measured = done >= if is_idle { MIN_SAMPLE_TOKENS } else { SAMPLE_TOKENS };
        let busy_ms = now.ms_since(since);
        if is_measured && busy_ms > 0 {
            let (min, max) = US_PER_TOKEN_BOUNDS;
            let sample = (busy_ms as f64 * 1_000.0 / done as f64).clamp(min, max);
            self.us_per_token += (sample - self.us_per_token) * SAMPLE_WEIGHT;
        }
    }

    /// Discards the current measurement, as a prefill ended early.
    pub(super) fn interrupt(&mut self, is_idle: bool, now: UnixMs) {
        self.busy = (!is_idle).then_some((now, 0));
    }
}
