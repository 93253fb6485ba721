//! Measurement of an engine's pace from successive reports of its runs.
//!
//! Designed for engines of one service that differ steadily in pace and share their hosts
//! with other work, each with a handful of requests per second.

use crate::Incarnation;
use crate::Name;
use crate::ObservedRun;
use crate::UnixMs;

/// The time over which the pace is averaged.
///
/// An answer takes about this long, so its caller experiences the mean and not the short
/// slowdowns within it.
const WINDOW_MS: f64 = 2_000.0;

/// How long a measured pace is used.
///
/// Each trial of a slow engine whose pace has expired costs a caller its target, so the
/// time is several times that of an answer.
const FRESH_MS: u64 = 10_000;

/// The longest interval between two reports that is measured.
///
/// Runs that begin and end within a longer one would go unnoticed, and their callers
/// would wait for work that was not counted.
const MAX_INTERVAL_MS: u64 = 500;

/// The memory growth of an interval from which it counts as prefill, in tokens.
///
/// A run that generates its first event may already hold its whole prompt and grows by a
/// few tokens; its time would make the first event of others appear late.
const MIN_PREFILL_TOKENS: u64 = 64;

/// The number of tokens from which the prefill time is reported.
///
/// The target of long prompts is for their first event, and they have more tokens than this.
const MIN_MEASURED_TOKENS: f64 = 500.0;

/// The number of events from which the time per event is reported.
///
/// A pause of a single event does not tell which pauses later callers will see.
const MIN_MEASURED_EVENTS: f64 = 8.0;

/// Measures the pace of one engine.
#[derive(Debug, Clone, Default)]
pub struct PaceMeter {
    incarnation: Option<Incarnation>,
    earlier: Option<EarlierReport>,
    /// The time without growth since prefilled tokens were last reported.
    unassigned_ms: u64,
    prefill: TimeMean,
    output: TimeMean,
}

/// How fast an engine works; `None` stands for a part that is not measured.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq)]
pub struct WorkPace {
    /// The time to prefill a prompt token, in nanoseconds.
    pub prefill_token_ns: Option<u64>,
    /// The time between two events of a run, in microseconds.
    pub event_us: Option<u64>,
}

impl PaceMeter {
    /// Records a report of an engine's runs.
    ///
    /// While the engine loads weights its runs make no progress, which does not change
    /// its pace between loads, so nothing is measured.
    pub fn record(
        &mut self,
        incarnation: Option<Incarnation>,
        runs: &[ObservedRun],
        is_loading: bool,
        now: UnixMs,
    ) {
        if self.incarnation != incarnation {
            *self = Self { incarnation, ..Self::default() };
        }
        if is_loading {
            self.interrupt();
            return;
        }
        let report = EarlierReport::new(runs, now);
        let Some(earlier) = self.earlier.replace(report) else { return };
        match now.ms_since(earlier.at) {
            0 => {}
            took_ms if took_ms > MAX_INTERVAL_MS => self.unassigned_ms = 0,
            took_ms => {
                self.record_prefill(&earlier, runs, took_ms, now);
                self.record_output(&earlier, runs, took_ms, now);
            }
        }
    }

    /// Records that the engine's runs were not reported.
    pub fn interrupt(&mut self) {
        self.earlier = None;
        self.unassigned_ms = 0;
    }

    /// Returns the pace measured lately, if any part of it was.
    pub fn pace(&self, now: UnixMs) -> Option<WorkPace> {
        let prefill_ms = self.prefill.fresh(now);
        let event_ms = self.output.fresh(now);
        let pace = WorkPace {
            prefill_token_ns: prefill_ms.map(|ms| (ms * 1e6).round().max(1.0) as u64),
            event_us: event_ms.map(|ms| (ms * 1e3).round().max(1.0) as u64),
        };
        (pace != WorkPace::default()).then_some(pace)
    }

    /// Records the growth of prompts in an interval in which one was prefilled all along.
    fn record_prefill(
        &mut self,
        earlier: &EarlierReport,
        runs: &[ObservedRun],
        took_ms: u64,
        now: UnixMs,
    ) {
        let known = runs.iter().filter_map(|run| Some((run, earlier.run(run)?)));
        let known = known.filter(|(_, before)| before.events == 0);
        let mut grown_tokens = 0;
        let mut is_continued = false;
        for (run, before) in known {
            grown_tokens += run.memory_tokens.saturating_sub(before.memory_tokens);
            is_continued |= run.events == 0;
        }
        // How much of a new run's memory was prefilled in the interval is unknown.
        let has_new =
            runs.iter().any(|run| run.events == 0 && earlier.run(run).is_none());
        match grown_tokens {
            _ if !is_continued || has_new => self.unassigned_ms = 0,
            // A step with much work may take longer than the interval.
            0 => self.unassigned_ms = (self.unassigned_ms + took_ms).min(MAX_INTERVAL_MS),
            tokens if tokens < MIN_PREFILL_TOKENS => self.unassigned_ms = 0,
            tokens => {
                let work_ms = std::mem::take(&mut self.unassigned_ms) + took_ms;
                self.prefill.add(work_ms, tokens, MIN_MEASURED_TOKENS, now);
            }
        }
    }

    /// Records the events of the runs that generated throughout an interval.
    fn record_output(
        &mut self,
        earlier: &EarlierReport,
        runs: &[ObservedRun],
        took_ms: u64,
        now: UnixMs,
    ) {
        let mut events = 0;
        let mut run_ms = 0;
        for run in runs {
            match earlier.run(run) {
                Some(before) if before.events > 0 && run.events >= before.events => {
                    events += run.events - before.events;
                    run_ms += took_ms;
                }
                _ => {}
            }
        }
        if run_ms > 0 {
            self.output.add(run_ms, events, MIN_MEASURED_EVENTS, now);
        }
    }
}

/// The runs of an earlier report, by attempt.
#[derive(Debug, Clone)]
struct EarlierReport {
    at: UnixMs,
    runs: Vec<(Name, RunCounters)>,
}

#[derive(Debug, Copy, Clone)]
struct RunCounters {
    memory_tokens: u64,
    events: u64,
}

impl EarlierReport {
    fn new(runs: &[ObservedRun], at: UnixMs) -> Self {
        let progress = |run: &ObservedRun| RunCounters {
            memory_tokens: run.memory_tokens,
            events: run.events,
        };
        let mut runs: Vec<_> =
            runs.iter().map(|run| (run.attempt.clone(), progress(run))).collect();
        runs.sort_by(|(one, _), (other, _)| one.cmp(other));
        Self { at, runs }
    }

    /// Returns the earlier progress of a run, unless its counters went back since.
    fn run(&self, run: &ObservedRun) -> Option<RunCounters> {
        let at = self.runs.binary_search_by(|(name, _)| name.cmp(&run.attempt)).ok()?;
        let before = self.runs[at].1;
        let went_back =
            run.events < before.events || run.memory_tokens < before.memory_tokens;
        (!went_back).then_some(before)
    }
}

/// The mean time of a unit of work, in which earlier work counts exponentially less.
#[derive(Debug, Clone, Default)]
struct TimeMean {
    work_ms: f64,
    units: f64,
    added_at: UnixMs,
    /// The latest mean of enough units, and when it was measured.
    mean: Option<(f64, UnixMs)>,
}

impl TimeMean {
    fn add(&mut self, work_ms: u64, units: u64, min_units: f64, now: UnixMs) {
        let kept = (-(now.ms_since(self.added_at) as f64) / WINDOW_MS).exp();
        self.work_ms = self.work_ms * kept + work_ms as f64;
        self.units = self.units * kept + units as f64;
        self.added_at = now;
        if self.units >= min_units {
            self.mean = Some((self.work_ms / self.units, now));
        }
    }

    fn fresh(&self, now: UnixMs) -> Option<f64> {
        let (mean, at) = self.mean?;
        (now.ms_since(at) < FRESH_MS).then_some(mean)
    }
}
