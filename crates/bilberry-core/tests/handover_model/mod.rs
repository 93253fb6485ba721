//! Streams on engines that pause, hang or are full, and three ways to leave a suspected run.

use bilberry_core::Handover;
use bilberry_core::HandoverEvent;
use bilberry_core::HandoverStep;
use bilberry_core::RunOverlap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The duration of a step of the replay.
const STEP_MS: u64 = 25;

/// The silence after which a run is suspected.
const SUSPECT_MS: u64 = 1_000;

/// The time until a successor begins to answer, or its engine rejects it or crashes.
const BEGIN_MS: u64 = 300;

/// The time until a failed successor is followed by another.
const RETRY_MS: u64 = 250;

/// The range of the durations of pauses.
const PAUSE_MS: (u64, u64) = (800, 3_000);

/// The deadline of all streams, later than each pause and one more run.
const DEADLINE_MS: u64 = 8_000;

/// When a suspected run is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Before its successor has a retry and a place.
    LeaveFirst,
    /// Once its successor has a retry and a place, and before its engine accepts it.
    ReserveFirst,
    /// Once its successor has begun to answer.
    KeepUntilBegun,
}

/// The streams and faults of a replay.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub streams: usize,
    pub engines: usize,
    /// Engines that make no progress for a while.
    pub pausing_engines: usize,
    /// Engines that make no progress any more.
    pub hanging_engines: usize,
    /// The share of successors whose engine is full, in percent.
    pub full_percent: u32,
    /// The share of successors whose engine crashes before it answers, in percent.
    pub crash_percent: u32,
    /// The retries that all streams together may use.
    pub retries: u32,
    pub seed: u64,
}

/// What became of the streams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Answers that ended although their run would have gone on before the deadline.
    pub needless_ends: u32,
    /// Answers that ended as nothing could complete them.
    pub other_ends: u32,
    /// The longest time from the last progress of a run that hangs until a successor began,
    /// among those that got one at their first try.
    pub latest_move_ms: u64,
    /// The time for which two runs of a stream were in progress.
    pub overlap_ms: u64,
}

impl Outcome {
    pub fn add(self, other: Self) -> Self {
        Self {
            needless_ends: self.needless_ends + other.needless_ends,
            other_ends: self.other_ends + other.other_ends,
            latest_move_ms: self.latest_move_ms.max(other.latest_move_ms),
            overlap_ms: self.overlap_ms + other.overlap_ms,
        }
    }
}

struct Stream {
    /// When its run goes on, if its engine does not hang.
    goes_on_at_ms: Option<u64>,
    handover: Handover,
    is_left: bool,
    is_over: bool,
    tries: u32,
    begun_at_ms: Option<u64>,
    retry_at_ms: u64,
}

/// Replays a load; the runs make their last progress at time 0.
pub fn replay(way: Way, load: Load) -> Outcome {
    let mut random = StdRng::seed_from_u64(load.seed);
    let mut retries = load.retries;
    let mut outcome = Outcome::default();
    let pauses: Vec<Option<u64>> = (0..load.engines)
        .map(|engine| match engine {
            _ if engine < load.pausing_engines => {
                Some(random.random_range(PAUSE_MS.0..PAUSE_MS.1))
            }
            _ if engine < load.pausing_engines + load.hanging_engines => None,
            _ => Some(0),
        })
        .collect();
    let mut streams: Vec<Stream> = (0..load.streams)
        .map(|number| Stream {
            goes_on_at_ms: pauses[number % load.engines],
            handover: Handover::new(RunOverlap::Allowed),
            is_left: false,
            is_over: false,
            tries: 0,
            begun_at_ms: None,
            retry_at_ms: SUSPECT_MS,
        })
        .collect();
    for now_ms in (0..DEADLINE_MS).step_by(STEP_MS as usize) {
        for stream in streams.iter_mut().filter(|stream| !stream.is_over) {
            stream.step(way, load, now_ms, &mut retries, &mut random, &mut outcome);
        }
    }
    outcome.other_ends += streams.iter().filter(|stream| !stream.is_over).count() as u32;
    outcome
}

impl Stream {
    fn step(
        &mut self,
        way: Way,
        load: Load,
        now_ms: u64,
        retries: &mut u32,
        random: &mut StdRng,
        outcome: &mut Outcome,
    ) {
        let goes_on = self.goes_on_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        if goes_on && !self.is_left {
            self.handover.record(HandoverEvent::Progressed);
            self.is_over = true;
            return;
        }
        if let Some(begun_at_ms) = self.begun_at_ms {
            outcome.overlap_ms += STEP_MS * u64::from(!self.is_left);
            if now_ms < begun_at_ms {
                return;
            }
            self.begun_at_ms = None;
            let fails = random.random_ratio(load.full_percent, 100)
                || random.random_ratio(load.crash_percent, 100);
            if fails {
                self.handover.record(HandoverEvent::Failed);
                return self.fail(now_ms, outcome);
            }
            let step = self.handover.record(HandoverEvent::Began);
            assert!(way != Way::KeepUntilBegun || step == HandoverStep::Adopt);
            if self.goes_on_at_ms.is_none() && self.tries == 1 {
                outcome.latest_move_ms = outcome.latest_move_ms.max(now_ms);
            }
            self.is_over = true;
            return;
        }
        if now_ms < self.retry_at_ms {
            return;
        }
        self.is_left |= way == Way::LeaveFirst;
        let Some(left) = retries.checked_sub(1) else {
            return match way {
                Way::LeaveFirst => self.fail(now_ms, outcome),
                Way::ReserveFirst | Way::KeepUntilBegun => {}
            };
        };
        *retries = left;
        self.is_left |= way == Way::ReserveFirst;
        self.handover.record(HandoverEvent::Suspected);
        self.tries += 1;
        self.begun_at_ms = Some(now_ms + BEGIN_MS);
    }

    /// A successor failed: an answer whose run was left ends.
    fn fail(&mut self, now_ms: u64, outcome: &mut Outcome) {
        self.retry_at_ms = now_ms + RETRY_MS;
        if !self.is_left {
            return;
        }
        self.is_over = true;
        match self.goes_on_at_ms {
            Some(_) => outcome.needless_ends += 1,
            None => outcome.other_ends += 1,
        }
    }
}
