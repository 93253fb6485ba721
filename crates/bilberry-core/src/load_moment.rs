//! The moment at which an engine whose turn has come starts to load new weights.
//!
//! Answers streams of one or two seconds under new weights every few seconds: a load
//! halts every run of its engine, and a stream that is halted midway is late.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::Name;
use crate::ObservedRun;
use crate::UnixMs;

/// The longest time that runs are waited for after the turn.
///
/// An answer on older weights loses a fifth of its worth from 1.5 s on, and the engine
/// gets no new requests meanwhile.
const MAX_WINDOW_MS: u64 = 1_000;

/// The divisor of the bound on older weights that limits the start of a load.
///
/// The other half is reserved for loads that are slow or ordered twice.
const BOUND_DIVISOR: u64 = 2;

/// How long before the bound on older weights a load must have been started.
///
/// Entries exclude older weights some time before the bound, and an engine that is
/// excluded before its load ends serves nobody.
const BOUND_MARGIN_MS: u64 = 3_000;

/// The divisor of an engine's memory from whose mean use on it does not wait.
///
/// The other engines must have room for the requests that it does not get. While its
/// turn, the wait and the load of one wave last, up to three of five waves get none.
const SCARCE_MEMORY_DIVISOR: u64 = 2;

/// How long the use of memory must have been observed for its mean.
///
/// A mean over less shows the start of a process or the end of the previous load, and
/// not how much room callers need.
const MIN_OBSERVED_MS: u64 = 2_000;

/// The number of runs in decode that must exist for each run in prefill to wait.
///
/// With fewer, requests wait for prefill, and a closed engine lets them wait longer.
const MIN_DECODING_PER_PREFILLING: usize = 2;

/// The divisor of the runs in decode that gives how many must be about to end to wait.
///
/// The wait costs room for all callers; it is worth it if it saves a part of the runs.
const ENDING_DIVISOR: usize = 4;

/// The divisor of the runs in decode at the announcement that gives the number at which
/// the load starts.
///
/// The last and longest runs must not close the engine for everybody else.
const FEW_RUNS_DIVISOR: usize = 4;

/// The number of ended runs from which the length of runs is estimated.
///
/// The mix of routes changes within a minute, in which an engine ends hundreds of runs.
const KEPT_LENGTHS: usize = 64;

/// The weight of a new sample in the duration of an event, as a divisor.
///
/// The duration follows the number of runs, which changes within some hundred ms.
const PACE_DIVISOR: f64 = 8.0;

/// The moment at which one engine starts to load.
#[derive(Debug)]
pub struct LoadMoment {
    bound_ms: Option<u64>,
    runs: HashMap<Name, u64>,
    observed_at: UnixMs,
    /// The numbers of events of runs that ended.
    lengths: VecDeque<u64>,
    /// The duration of an event, once runs have progressed.
    event_ms: Option<f64>,
    /// Since when the use of memory is summed up.
    memory_since: Option<UnixMs>,
    /// The memory of all reports since then.
    memory: MemoryUse,
    turn: Option<AnnouncedTurn>,
}

/// The turn of an engine to load.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct LoadTurn {
    /// When the first version that the engine lacks was announced.
    pub outdated_since: UnixMs,
    /// When the rollout schedules the load.
    pub planned_at: UnixMs,
}

/// The use of an engine's memory.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq)]
pub struct MemoryUse {
    /// Memory that cannot be freed at present, in tokens.
    pub used_tokens: u64,
    /// Total memory, in tokens.
    pub total_tokens: u64,
}

/// The runs that a load would halt.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq)]
pub struct HaltedRuns {
    /// Runs that have made events.
    pub decoding: usize,
    /// Runs without an event.
    pub prefilling: usize,
}

/// A turn whose engine gets no new requests any more.
#[derive(Debug)]
struct AnnouncedTurn {
    outdated_since: UnixMs,
    window_end: UnixMs,
    decoding: usize,
}

impl HaltedRuns {
    /// Counts runs.
    pub fn count(runs: &[ObservedRun]) -> Self {
        let decoding = runs.iter().filter(|run| run.events > 0).count();
        Self { decoding, prefilling: runs.len() - decoding }
    }
}

impl LoadMoment {
    /// Creates the state of an engine without observed runs; no request may start on
    /// older weights after `bound_ms`.
    pub fn new(bound_ms: Option<u64>) -> Self {
        Self {
            bound_ms,
            runs: HashMap::new(),
            observed_at: UnixMs(0),
            lengths: VecDeque::new(),
            event_ms: None,
            memory_since: None,
            memory: MemoryUse::default(),
            turn: None,
        }
    }

    /// Records the runs and the memory of the engine.
    pub fn observe(&mut self, runs: &[ObservedRun], memory: MemoryUse, now: UnixMs) {
        self.memory_since.get_or_insert(now);
        self.memory.used_tokens += memory.used_tokens;
        self.memory.total_tokens += memory.total_tokens;
        let runs: HashMap<Name, u64> =
            runs.iter().map(|run| (run.attempt.clone(), run.events)).collect();
        let ended = self.runs.iter().filter(|(attempt, _)| !runs.contains_key(*attempt));
        self.lengths
            .extend(ended.map(|(_, &events)| events).filter(|&events| events > 0));
        let excess = self.lengths.len().saturating_sub(KEPT_LENGTHS);
        self.lengths.drain(..excess);
        self.record_pace(&runs, now);
        self.runs = runs;
        self.observed_at = now;
    }

    fn record_pace(&mut self, runs: &HashMap<Name, u64>, now: UnixMs) {
        let continued = runs.iter().filter_map(|(attempt, &events)| {
            let before = *self.runs.get(attempt)?;
            (before > 0 && events > before).then(|| events - before)
        });
        let (count, events) =
            continued.fold((0, 0), |(count, sum), events| (count + 1, sum + events));
        // No run progresses during a load.
        if events == 0 {
            return;
        }
        let elapsed_ms = now.ms_since(self.observed_at) as f64;
        let sample_ms = elapsed_ms * f64::from(count) / events as f64;
        let event_ms = self.event_ms.unwrap_or(sample_ms);
        self.event_ms = Some(event_ms + (sample_ms - event_ms) / PACE_DIVISOR);
    }

    /// Records the turn of the engine when it is announced and the engine gets no new
    /// requests; later calls for the same turn change nothing.
    pub fn announce(&mut self, turn: LoadTurn) {
        let is_known =
            |known: &AnnouncedTurn| known.outdated_since == turn.outdated_since;
        if self.turn.as_ref().is_some_and(is_known) {
            return;
        }
        let decoding = self.decoding().count();
        let prefilling = self.runs.len() - decoding;
        let window_ms = match prefilling * MIN_DECODING_PER_PREFILLING <= decoding {
            true => self.window_ms(),
            false => 0,
        };
        self.memory_since = None;
        self.memory = MemoryUse::default();
        self.turn = Some(AnnouncedTurn {
            outdated_since: turn.outdated_since,
            window_end: self.window_end(turn, window_ms),
            decoding,
        });
    }

    /// Returns the longest wait for which the other engines have room: all of it up to
    /// half of the use from which on there is none, and less with each token from there.
    fn window_ms(&self) -> u64 {
        let observed_ms =
            self.memory_since.map_or(0, |since| self.observed_at.ms_since(since));
        if observed_ms < MIN_OBSERVED_MS {
            return 0;
        }
        let MemoryUse { used_tokens, total_tokens } = self.memory;
        let scarce_tokens = total_tokens / SCARCE_MEMORY_DIVISOR;
        let free_tokens = scarce_tokens.saturating_sub(used_tokens);
        let full_window_tokens = (scarce_tokens / 2).max(1);
        MAX_WINDOW_MS * free_tokens.min(full_window_tokens) / full_window_tokens
    }

    fn window_end(&self, turn: LoadTurn, window_ms: u64) -> UnixMs {
        let end = turn.planned_at.plus_ms(window_ms);
        let latest = self.bound_ms.map(|bound_ms| {
            let latest_ms =
                (bound_ms / BOUND_DIVISOR).min(bound_ms.saturating_sub(BOUND_MARGIN_MS));
            turn.outdated_since.plus_ms(latest_ms)
        });
        latest.map_or(end, |latest| end.min(latest)).max(turn.planned_at)
    }

    /// Reports whether an engine whose turn has come may start to load.
    ///
    /// The load waits within the window while a part of the runs in decode is expected to
    /// end there. Without an estimate it does not wait.
    pub fn may_start(&self, turn: LoadTurn, now: UnixMs) -> bool {
        let Some(announced) = self
            .turn
            .as_ref()
            .filter(|known| known.outdated_since == turn.outdated_since)
        else {
            return true;
        };
        if announced.window_end <= now {
            return true;
        }
        let decoding = self.decoding().count();
        let rest_ms = announced.window_end.ms_since(now);
        let ending =
            self.decoding().filter(|&events| self.ends_within(events, rest_ms)).count();
        decoding <= announced.decoding / FEW_RUNS_DIVISOR
            || ending * ENDING_DIVISOR < decoding
    }

    fn decoding(&self) -> impl Iterator<Item = u64> {
        self.runs.values().copied().filter(|&events| events > 0)
    }

    /// Reports whether a run that has made `events` is expected to end within a time.
    ///
    /// A run that is longer than all that ended is about to end.
    fn ends_within(&self, events: u64, rest_ms: u64) -> bool {
        let Some(event_ms) = self.event_ms.filter(|_| !self.lengths.is_empty()) else {
            return false;
        };
        let longer = self.lengths.iter().filter(|&&length| length > events);
        let (count, sum) = longer
            .fold((0, 0), |(count, sum), length| (count + 1, sum + length - events));
        let remaining = sum as f64 / f64::from(count.max(1));
        remaining * event_ms <= rest_ms as f64
    }
}
