//! Whether a silent run is slow or lost.
//!
//! Designed for engines with queues of several seconds in a surge, beside engines that
//! hang while their sidecars still report them as up.

use std::collections::HashMap;

use crate::Name;
use crate::ObservedRun;
use crate::UnixMs;

/// The longest time without progress after which an engine counts as stalled, and a
/// run of an engine that makes progress as idle.
///
/// Callers give up a silent stream after two seconds at the earliest. The other second
/// is left for the report of the stall and the first event from another engine.
pub const STALL_MS: u64 = 1_000;

/// How shortly before its last report a run must have made progress for its end to count
/// as progress.
///
/// The last event of a run comes right before its end. A run that ended without one was
/// most likely given up by its caller, which says nothing of its engine.
const RECENT_PROGRESS_MS: u64 = 250;

/// The longest time between two reports that counts as time without progress.
///
/// A host that was suspended for seconds reports the same runs afterwards. Its callers'
/// streams continue, so they must not be moved to other engines.
const MAX_REPORT_GAP_MS: u64 = 500;

/// The shortest silence after which callers give up a stream.
const MIN_CALLER_LIMIT_MS: u64 = 2_000;

/// The silence after which callers give up a stream, in target latencies.
const CALLER_LIMIT_TARGETS: u64 = 4;

/// The silence after which callers give up a stream, in target gaps between events.
const CALLER_LIMIT_GAPS: u64 = 8;

/// The progress of an engine's runs, as its sidecar observes it in successive reports.
#[derive(Debug, Clone, Default)]
pub struct RunProgress {
    /// When the last report was recorded, if any.
    reported_at: Option<UnixMs>,
    /// The time covered by reports so far; times of progress are positions in it.
    observed_ms: u64,
    runs: HashMap<Name, TrackedRun>,
    queued: u64,
    /// When the engine last made progress or had no work.
    progress_at_ms: u64,
    /// Since when the engine has had no work, if it has none.
    empty_since_ms: Option<u64>,
    is_stalled: bool,
}

#[derive(Debug, Clone, Copy)]
struct TrackedRun {
    memory_tokens: u64,
    events: u64,
    progress_at_ms: u64,
}

/// The progress of a run and of its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunStatus {
    /// How long ago the run made progress, if its engine lists it.
    pub run_idle_ms: Option<u64>,
    /// How long ago any run of the engine made progress.
    pub engine_idle_ms: u64,
    /// The number of requests queued at the engine.
    pub queued: u64,
}

/// The latencies that a route promises to its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamTargets {
    /// The target latency of the first event.
    pub target_ms: u64,
    /// The target for the time between two events, if the route states one.
    pub gap_ms: Option<u64>,
}

/// The decision on a silent run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceVerdict {
    /// The run is slow; its events are still expected.
    KeepWaiting,
    /// The run will make no more events in time.
    Lost(LossReason),
}

/// Why a run counts as lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossReason {
    /// No run of its engine makes progress.
    EngineStalled,
    /// Its engine makes progress, but not on this run.
    RunIdle,
    /// Its engine neither runs nor queues it.
    NotListed,
}

impl RunProgress {
    /// Records a report of the engine.
    ///
    /// While the engine loads weights, its runs are suspended and do not count as idle.
    pub fn record(
        &mut self,
        runs: &[ObservedRun],
        queued: u64,
        is_loading: bool,
        now: UnixMs,
    ) {
        let last_report_ms = self.observed_ms;
        self.observed_ms = self.observed_at(now);
        self.reported_at = Some(now);
        self.queued = queued;
        let has_progressed = self.record_runs(runs, last_report_ms);
        let is_empty = self.runs.is_empty() && queued == 0;
        if has_progressed || is_loading {
            self.is_stalled = false;
        }
        if is_loading {
            let now_ms = self.observed_ms;
            self.runs.values_mut().for_each(|run| run.progress_at_ms = now_ms);
        }
        if has_progressed || is_loading || is_empty {
            self.progress_at_ms = self.observed_ms;
        }
        self.empty_since_ms =
            is_empty.then_some(self.empty_since_ms.unwrap_or(self.observed_ms));
        self.update_stall();
    }

    /// Discards what is known of an incarnation that has ended.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the progress of a run; `None` if no report is recent.
    pub fn status(&self, attempt: &str, now: UnixMs) -> Option<RunStatus> {
        let reported_at = self.reported_at?;
        if now.ms_since(reported_at) > MAX_REPORT_GAP_MS {
            return None;
        }
        let observed_ms = self.observed_at(now);
        let idle_ms = |progress_at_ms: u64| observed_ms - progress_at_ms;
        Some(RunStatus {
            run_idle_ms: self.runs.get(attempt).map(|run| idle_ms(run.progress_at_ms)),
            engine_idle_ms: idle_ms(self.progress_at_ms),
            queued: self.queued,
        })
    }

    /// Reports whether the engine had work and made no progress for [`STALL_MS`].
    ///
    /// It counts as stalled until it makes progress or has had no work for as long. The
    /// start of a run does not end the stall: an engine that hangs still accepts requests.
    pub fn is_stalled(&self, now: UnixMs) -> bool {
        let has_work = self.empty_since_ms.is_none() && self.reported_at.is_some();
        self.is_stalled
            || (has_work && self.observed_at(now) - self.progress_at_ms > STALL_MS)
    }

    /// Updates the runs; reports whether the engine has made progress.
    fn record_runs(&mut self, runs: &[ObservedRun], last_report_ms: u64) -> bool {
        let now_ms = self.observed_ms;
        let mut has_progressed = false;
        let mut listed: HashMap<Name, TrackedRun> = HashMap::with_capacity(runs.len());
        for run in runs {
            let before = self.runs.get(&run.attempt);
            let has_grown = before.is_some_and(|before| {
                run.events > before.events || run.memory_tokens > before.memory_tokens
            });
            has_progressed |= has_grown;
            let progress_at_ms = match before {
                Some(before) if !has_grown => before.progress_at_ms,
                _ => now_ms,
            };
            let tracked = listed.entry(run.attempt.clone()).or_insert(TrackedRun {
                memory_tokens: run.memory_tokens,
                events: run.events,
                progress_at_ms,
            });
            // An attempt that is listed twice counts with its larger figures.
            tracked.memory_tokens = tracked.memory_tokens.max(run.memory_tokens);
            tracked.events = tracked.events.max(run.events);
            tracked.progress_at_ms = tracked.progress_at_ms.max(progress_at_ms);
        }
        let has_completed = |(attempt, run): (&Name, &TrackedRun)| {
            !listed.contains_key(attempt)
                && last_report_ms - run.progress_at_ms <= RECENT_PROGRESS_MS
        };
        has_progressed |= self.runs.iter().any(has_completed);
        self.runs = listed;
        has_progressed
    }

    fn update_stall(&mut self) {
        let idle_ms = self.observed_ms - self.progress_at_ms;
        match self.empty_since_ms {
            Some(since_ms) if self.observed_ms - since_ms > STALL_MS => {
                self.is_stalled = false;
            }
            Some(_) => {}
            None => self.is_stalled |= idle_ms > STALL_MS,
        }
    }

    /// Returns the time covered by reports until `now`.
    fn observed_at(&self, now: UnixMs) -> u64 {
        let since_report = self.reported_at.map_or(0, |at| now.ms_since(at));
        self.observed_ms + since_report.min(MAX_REPORT_GAP_MS)
    }
}

impl StreamTargets {
    /// The silence after which callers give up a stream.
    pub fn caller_limit_ms(self) -> u64 {
        let gaps_ms = self.gap_ms.unwrap_or_default() * CALLER_LIMIT_GAPS;
        MIN_CALLER_LIMIT_MS.max(self.target_ms * CALLER_LIMIT_TARGETS).max(gaps_ms)
    }

    /// The longest silence of an idle run at an engine that makes progress.
    ///
    /// The remaining quarter of the caller's limit is at least one target latency, in
    /// which another engine can send the next event.
    pub fn max_idle_silence_ms(self) -> u64 {
        self.caller_limit_ms() / 4 * 3
    }
}

impl LossReason {
    /// The name in the request log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::EngineStalled => "lost: engine stalled",
            Self::RunIdle => "lost: run idle at its engine",
            Self::NotListed => "lost: not listed by its engine",
        }
    }

    /// The name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::EngineStalled => "engine_stalled",
            Self::RunIdle => "run_idle",
            Self::NotListed => "not_listed",
        }
    }
}

/// Decides whether a run that has been silent towards its caller is lost.
///
/// Returns `None` if its progress is unknown; the entry's timeouts decide then.
pub fn judge_silence(
    status: Option<RunStatus>,
    silent_ms: u64,
    targets: StreamTargets,
) -> Option<SilenceVerdict> {
    let status = status?;
    let may_resume_later = silent_ms < targets.max_idle_silence_ms();
    Some(match status.run_idle_ms {
        _ if status.engine_idle_ms > STALL_MS => {
            SilenceVerdict::Lost(LossReason::EngineStalled)
        }
        Some(idle_ms) if idle_ms <= STALL_MS || may_resume_later => {
            SilenceVerdict::KeepWaiting
        }
        Some(_) => SilenceVerdict::Lost(LossReason::RunIdle),
        None if status.queued > 0 => SilenceVerdict::KeepWaiting,
        None => SilenceVerdict::Lost(LossReason::NotListed),
    })
}
