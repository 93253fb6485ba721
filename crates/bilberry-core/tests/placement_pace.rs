//! Tests of placement at engines that differ in pace, and that placement without known
//! paces is unchanged.

use bilberry_core::ObservedRun;
use bilberry_core::PaceMeter;
use bilberry_core::PlacementCandidate;
use bilberry_core::PlacementRequest;
use bilberry_core::PrefillBacklog;
use bilberry_core::ServiceBacklog;
use bilberry_core::UnixMs;
use bilberry_core::WeightsStatus;
use bilberry_core::WorkPace;
use bilberry_core::choose_upstream;
use bilberry_core::predict_times;
use proptest::prelude::*;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const ENTRIES: usize = 6;
const PACE_FACTORS: [f64; 9] = [0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7];
const SLOTS: u64 = 24;
const REPLAY_MS: u64 = 40_000;
const STATE_EVERY_MS: u64 = 100;
const REPORT_EVERY_MS: u64 = 40;
const CHUNK_TOKENS: u64 = 512;

#[derive(Debug, Copy, Clone, PartialEq)]
enum Kind {
    ShortQuestion,
    LongPrompt,
}

impl Kind {
    fn request(self, affinity: u64) -> PlacementRequest {
        let request = PlacementRequest { affinity, ..PlacementRequest::default() };
        match self {
            Self::ShortQuestion => PlacementRequest {
                own_tokens: 300,
                output_tokens: 30,
                answer_ms: 500,
                target_ms: Some(300),
                gap_ms: Some(50),
                ..request
            },
            Self::LongPrompt => PlacementRequest {
                own_tokens: 9_000,
                output_tokens: 30,
                answer_ms: 500,
                target_ms: Some(700),
                ..request
            },
        }
    }
}

/// What the entries of a replay know besides the running requests.
#[derive(Debug, Copy, Clone, PartialEq)]
enum Mode {
    /// Nothing, so they choose by costs in tokens.
    Tokens,
    /// The pace of the engines.
    Time,
    /// The pace and the prompt tokens that are not prefilled yet.
    TimeAndWork,
}

/// A request in the replay.
#[derive(Debug, Clone)]
struct Run {
    kind: Kind,
    entry: usize,
    engine: usize,
    placed_ms: u64,
    prefilled_tokens: u64,
    events: u64,
    first_ms: Option<u64>,
    last_ms: u64,
    longest_gap_ms: u64,
    /// Whether another engine had been idle for two states when it was placed.
    passed_idle_engine: bool,
}

impl Run {
    fn request(&self) -> PlacementRequest {
        self.kind.request(0)
    }

    fn missing_tokens(&self) -> u64 {
        self.request().own_tokens - self.prefilled_tokens
    }

    fn is_in_time(&self) -> bool {
        let PlacementRequest { target_ms, gap_ms, .. } = self.request();
        let first_ms = self.first_ms.map(|at| at - self.placed_ms);
        first_ms.is_some_and(|ms| target_ms.is_none_or(|target| ms <= target))
            && gap_ms.is_none_or(|gap_ms| self.longest_gap_ms <= gap_ms)
    }
}

/// An engine that prefills in chunks between the events of its runs.
#[derive(Debug, Default)]
struct Engine {
    runs: Vec<(u64, Run)>,
    step_ends_ms: f64,
    chunk: Vec<(u64, u64)>,
    idle_since_ms: u64,
    meter: PaceMeter,
    backlogs: [PrefillBacklog; ENTRIES],
    /// What was last sent to the entries.
    state: State,
}

#[derive(Debug, Copy, Clone, Default)]
struct State {
    running: u64,
    pending_tokens: u64,
    pace: Option<WorkPace>,
}

/// What became of the requests of a replay.
#[derive(Debug, Default)]
struct Outcome {
    ended: Vec<Run>,
    rejected: Vec<Kind>,
}

impl Outcome {
    fn in_time(&self, kind: Kind) -> usize {
        self.ended.iter().filter(|run| run.kind == kind && run.is_in_time()).count()
    }

    /// Returns the share of the requests that slow engines served.
    fn slow_share(&self) -> f64 {
        let slow = self.ended.iter().filter(|run| PACE_FACTORS[run.engine] > 1.0);
        slow.count() as f64 / self.ended.len() as f64
    }
}

/// Replays the arrivals of a seed with the given rates.
fn replay(mode: Mode, seed: u64, short_per_s: u64, long_per_s: u64) -> Outcome {
    let mut engines: Vec<Engine> =
        PACE_FACTORS.iter().map(|_| Engine::default()).collect();
    let mut outcome = Outcome::default();
    for now_ms in 1..REPLAY_MS {
        for (at, engine) in engines.iter_mut().enumerate() {
            let factor = PACE_FACTORS[at] * other_work_factor(seed, at, now_ms);
            engine.work(now_ms, factor, &mut outcome);
            engine.publish(now_ms);
        }
        let rates = [(Kind::ShortQuestion, short_per_s), (Kind::LongPrompt, long_per_s)];
        for (stream, (kind, per_s)) in rates.into_iter().enumerate() {
            let draw = random(seed, &[stream as u64, now_ms]);
            if draw % 1_000 < per_s {
                let entry = (draw / 1_000) as usize % ENTRIES;
                let arrival = Arrival { kind, entry, attempt: draw, now_ms, mode };
                place(&mut engines, arrival, &mut outcome);
            }
        }
    }
    outcome
}

/// A request that arrives at an entry.
struct Arrival {
    kind: Kind,
    entry: usize,
    attempt: u64,
    now_ms: u64,
    mode: Mode,
}

fn place(engines: &mut [Engine], arrival: Arrival, outcome: &mut Outcome) {
    let Arrival { kind, entry, attempt, now_ms, .. } = arrival;
    let now = UnixMs(now_ms);
    for engine in engines.iter_mut() {
        let (running, pending) =
            (engine.own(entry).count(), engine.pending_tokens(entry));
        engine.backlogs[entry].change(pending, running as u64, now);
    }
    let backlogs = engines.iter().map(|engine| engine.backlogs[entry]);
    let service = ServiceBacklog::sum(backlogs, now);
    let candidates: Vec<PlacementCandidate> = engines
        .iter()
        .enumerate()
        .map(|(at, engine)| engine.offer(at, &arrival, &service))
        .collect();
    let request = kind.request(attempt);
    let Some(at) = choose_upstream(&request, &candidates) else {
        outcome.rejected.push(kind);
        return;
    };
    let is_idle = |engine: &Engine| {
        engine.runs.is_empty() && now_ms - engine.idle_since_ms >= 2 * STATE_EVERY_MS
    };
    let passed_idle_engine = !engines[at].runs.is_empty() && engines.iter().any(is_idle);
    let run = Run {
        kind,
        entry,
        engine: at,
        placed_ms: now_ms,
        prefilled_tokens: 0,
        events: 0,
        first_ms: None,
        last_ms: 0,
        longest_gap_ms: 0,
        passed_idle_engine,
    };
    engines[at].runs.push((attempt, run));
}

impl Engine {
    /// Ends the step that ends by now, and begins the next one.
    fn work(&mut self, now_ms: u64, factor: f64, outcome: &mut Outcome) {
        if now_ms as f64 + 0.5 < self.step_ends_ms {
            return;
        }
        for (attempt, run) in &mut self.runs {
            let prefilled = self.chunk.iter().find(|(of, _)| of == attempt);
            match prefilled {
                Some((_, tokens)) => run.prefilled_tokens += tokens,
                None if run.missing_tokens() > 0 => continue,
                None => {}
            }
            if run.missing_tokens() == 0 {
                run.events += 1;
                if run.first_ms.is_some() {
                    run.longest_gap_ms = run.longest_gap_ms.max(now_ms - run.last_ms);
                }
                run.first_ms = run.first_ms.or(Some(now_ms));
                run.last_ms = now_ms;
            }
        }
        let is_over = |run: &Run| run.events >= run.request().output_tokens;
        outcome.ended.extend(
            self.runs.iter().filter(|(_, run)| is_over(run)).map(|(_, run)| run.clone()),
        );
        self.runs.retain(|(_, run)| !is_over(run));
        self.chunk.clear();
        if self.runs.is_empty() {
            return;
        }
        self.idle_since_ms = now_ms;
        let mut left = CHUNK_TOKENS;
        for (attempt, run) in &self.runs {
            let tokens = run.missing_tokens().min(left);
            if tokens > 0 {
                self.chunk.push((*attempt, tokens));
                left -= tokens;
            }
        }
        let prefill_ms = (CHUNK_TOKENS - left) as f64 * 0.02;
        let step_ms = 10.0 + 0.1 * self.runs.len() as f64 + prefill_ms;
        self.step_ends_ms = now_ms as f64 + step_ms * factor;
    }

    fn publish(&mut self, now_ms: u64) {
        if now_ms.is_multiple_of(REPORT_EVERY_MS) {
            let observed = |(attempt, run): &(u64, Run)| ObservedRun {
                attempt: attempt.to_string().into(),
                memory_tokens: run.prefilled_tokens + run.events,
                events: run.events,
            };
            let runs: Vec<ObservedRun> = self.runs.iter().map(observed).collect();
            self.meter.record(None, &runs, false, UnixMs(now_ms));
        }
        if now_ms.is_multiple_of(STATE_EVERY_MS) {
            let unread = self.runs.iter().filter(|(_, run)| run.first_ms.is_none());
            self.state = State {
                running: self.runs.len() as u64,
                pending_tokens: unread.map(|(_, run)| run.request().own_tokens).sum(),
                pace: self.meter.pace(UnixMs(now_ms)),
            };
        }
    }

    fn own(&self, entry: usize) -> impl Iterator<Item = &Run> {
        self.runs.iter().map(|(_, run)| run).filter(move |run| run.entry == entry)
    }

    /// Returns the prompt tokens of an entry's requests without an event.
    fn pending_tokens(&self, entry: usize) -> u64 {
        let unread = self.own(entry).filter(|run| run.first_ms.is_none());
        unread.map(|run| run.request().own_tokens).sum()
    }

    /// Returns what an entry knows of the engine.
    fn offer(
        &self,
        at: usize,
        arrival: &Arrival,
        service: &ServiceBacklog,
    ) -> PlacementCandidate {
        let &Arrival { entry, now_ms, mode, .. } = arrival;
        let state_ms = now_ms / STATE_EVERY_MS * STATE_EVERY_MS;
        let own = || self.own(entry);
        let unseen = || own().filter(|run| run.placed_ms > state_ms);
        let unseen_tokens: u64 = unseen().map(|run| run.request().own_tokens).sum();
        let reported_tokens = self.state.pending_tokens + unseen_tokens;
        let unseen = unseen().count() as u64;
        let running = (self.state.running + unseen).max(own().count() as u64);
        PlacementCandidate {
            seed: xxh3_64(&at.to_le_bytes()),
            usable: true,
            same_data_centre: true,
            free_slots: SLOTS.saturating_sub(running),
            free_tokens: u64::MAX,
            pending_tokens: self.pending_tokens(entry),
            reported_pending_tokens: (mode == Mode::TimeAndWork)
                .then_some(reported_tokens),
            mean_pending_tokens: self.backlogs[entry]
                .mean_pending_tokens(service, UnixMs(now_ms)),
            running,
            own_running: own().count() as u64,
            pace: self.state.pace.filter(|_| mode != Mode::Tokens),
            ..PlacementCandidate::default()
        }
    }
}

/// Neighbours on a host slow its engine 2.5 times for a tenth of the time.
fn other_work_factor(seed: u64, engine: usize, now_ms: u64) -> f64 {
    match random(seed, &[99, engine as u64, now_ms / 200]) % 10 {
        0 => 2.5,
        _ => 1.0,
    }
}

fn random(seed: u64, of: &[u64]) -> u64 {
    let bytes: Vec<u8> = of.iter().flat_map(|part| part.to_le_bytes()).collect();
    xxh3_64_with_seed(&bytes, seed)
}

const SEEDS: [u64; 3] = [1, 2, 3];

/// Short questions and long prompts a second.
const CALM_PER_S: (u64, u64) = (25, 12);
const HIGH_PER_S: (u64, u64) = (40, 20);
const FULL_PER_S: (u64, u64) = (40, 22);
const OVERLOAD_PER_S: (u64, u64) = (40, 34);

/// Replays the same arrivals in a mode and by tokens.
fn compare(mode: Mode, seed: u64, per_s: (u64, u64)) -> (Outcome, Outcome) {
    let modes = [mode, Mode::Tokens];
    let outcomes = modes.map(|mode| replay(mode, seed, per_s.0, per_s.1));
    for (mode, outcome) in modes.iter().zip(&outcomes) {
        println!(
            "{per_s:?}, seed {seed}, {mode:?}: {} short and {} long in time of {}, {} rejected, slow share {:.2}",
            outcome.in_time(Kind::ShortQuestion),
            outcome.in_time(Kind::LongPrompt),
            outcome.ended.len(),
            outcome.rejected.len(),
            outcome.slow_share(),
        );
    }
    outcomes.into()
}

fn assert_more_in_time(mode: Mode, rates: &[(u64, u64)]) {
    for seed in SEEDS {
        for &per_s in rates {
            let (by_time, by_tokens) = compare(mode, seed, per_s);
            for kind in [Kind::ShortQuestion, Kind::LongPrompt] {
                let (time, tokens) = (by_time.in_time(kind), by_tokens.in_time(kind));
                assert!(time > tokens, "{kind:?}: {time} by time, {tokens} by tokens");
            }
        }
    }
}

fn late_past_idle(outcome: &Outcome) -> impl Iterator<Item = &Run> {
    let ended = outcome.ended.iter();
    ended.filter(|run| {
        run.kind == Kind::LongPrompt && run.passed_idle_engine && !run.is_in_time()
    })
}

#[test]
fn more_requests_of_both_kinds_are_in_time_below_capacity() {
    assert_more_in_time(Mode::Time, &[CALM_PER_S, HIGH_PER_S]);
}

#[test]
fn more_are_in_time_near_capacity_if_the_work_ahead_is_reported() {
    assert_more_in_time(Mode::TimeAndWork, &[CALM_PER_S, HIGH_PER_S, FULL_PER_S]);
}

#[test]
fn hardly_a_long_prompt_is_late_while_another_engine_is_idle() {
    for seed in SEEDS {
        for (short_per_s, long_per_s) in [CALM_PER_S, HIGH_PER_S] {
            let outcome = replay(Mode::Time, seed, short_per_s, long_per_s);
            let late = late_past_idle(&outcome).count();
            let long = outcome.ended.iter().filter(|run| run.kind == Kind::LongPrompt);
            assert!(late * 100 <= long.count(), "{late} at seed {seed}");
        }
    }
}

#[test]
fn slow_engines_get_their_share_in_overload() {
    // The slow third has a sixth of the capacity.
    for seed in SEEDS {
        let (by_time, _) = compare(Mode::Time, seed, OVERLOAD_PER_S);
        let slow_share = by_time.slow_share();
        assert!((0.1..0.3).contains(&slow_share), "{slow_share} at seed {seed}");
    }
}

#[test]
fn entries_with_the_same_state_do_not_all_choose_the_same_engine() {
    let pace = WorkPace { prefill_token_ns: Some(25_000), event_us: Some(8_000) };
    let candidates: Vec<PlacementCandidate> =
        (0..9).map(|seed| idle(seed, pace)).collect();
    let mut chosen = [0; 9];
    for attempt in 0..900 {
        let request = Kind::ShortQuestion.request(attempt);
        let at = choose_upstream(&request, &candidates).expect("all have capacity");
        chosen[at] += 1;
    }
    assert!(chosen.iter().all(|&count| (50..200).contains(&count)), "{chosen:?}");
}

#[test]
fn a_request_avoids_an_engine_that_misses_its_gap_until_the_others_are_late() {
    let fast = WorkPace { prefill_token_ns: Some(20_000), event_us: Some(10_000) };
    let slow = WorkPace { prefill_token_ns: Some(60_000), event_us: Some(30_000) };
    let mut candidates = [idle(1, fast), idle(2, slow)];
    let question = Kind::ShortQuestion.request(7);
    candidates[0].running = 3;
    assert_eq!(choose_upstream(&question, &candidates), Some(0));
    let predicted = predict_times(&question, &candidates, 1).expect("its pace is known");
    assert_eq!((predicted.first_ms, predicted.gap_ms, predicted.is_late), (48, 60, true));
    // Without a gap target, the idle engine is in time as well.
    let without_gap = PlacementRequest { gap_ms: None, ..question.clone() };
    assert!(!predict_times(&without_gap, &candidates, 1).is_some_and(|p| p.is_late));
    candidates[0].pending_tokens = 20_000;
    assert_eq!(choose_upstream(&question, &candidates), Some(1));
}

#[test]
fn an_engine_without_a_pace_counts_at_the_mean_of_its_service() {
    let pace = |prefill_token_ns| WorkPace {
        prefill_token_ns: Some(prefill_token_ns),
        event_us: None,
    };
    let unknown = PlacementCandidate { pace: None, ..idle(3, WorkPace::default()) };
    let candidates = [idle(1, pace(20_000)), unknown, idle(2, pace(60_000))];
    let prompt = Kind::LongPrompt.request(7);
    let first_ms =
        |at| predict_times(&prompt, &candidates, at).map(|times| times.first_ms);
    assert_eq!(
        [first_ms(0), first_ms(1), first_ms(2)],
        [Some(180), Some(360), Some(540)]
    );
    assert_eq!(predict_times(&prompt, &candidates[1..2], 0), None);
}

#[test]
fn servers_on_slower_hosts_get_fewer_requests() {
    let server = |seed, host_percent| PlacementCandidate {
        pace: None,
        host_percent,
        ..idle(seed, WorkPace::default())
    };
    let servers = [server(1, Some(80)), server(2, Some(240)), server(3, None)];
    let mut chosen = [0; 3];
    for attempt in 0..1_000 {
        let request = PlacementRequest { affinity: attempt, ..Default::default() };
        chosen[choose_upstream(&request, &servers).expect("all have capacity")] += 1;
    }
    assert!(chosen[0] > 2 * chosen[1] && chosen[1] > 100, "{chosen:?}");
    assert!(chosen[0] > chosen[2] && chosen[2] > chosen[1], "{chosen:?}");
}

fn idle(seed: u64, pace: WorkPace) -> PlacementCandidate {
    PlacementCandidate {
        seed,
        usable: true,
        same_data_centre: true,
        free_slots: SLOTS,
        free_tokens: 100_000,
        pace: Some(pace),
        ..PlacementCandidate::default()
    }
}

/// The choice by costs in tokens, as it was before paces were known.
fn choose_by_tokens(
    request: &PlacementRequest,
    candidates: &[PlacementCandidate],
) -> Option<usize> {
    let cost = |candidate: &PlacementCandidate| {
        let missing = request.shared_tokens.saturating_sub(candidate.cached_tokens);
        let overlap_ms =
            candidate.loads_in_ms.map_or(0, |ms| request.answer_ms.saturating_sub(ms));
        let costs = [
            if request.can_fetch { missing / 2 } else { missing },
            if candidate.same_data_centre {
                0
            } else {
                (1 + request.body_bytes / 1_024) * 200
            },
            if candidate.weights == WeightsStatus::Acceptable { 0 } else { 8_000 },
            candidate.pending_tokens + candidate.running * 250 + candidate.queued * 3_000,
            16_000 * overlap_ms / request.answer_ms.max(1),
        ];
        costs.iter().sum::<u64>()
    };
    let has_capacity = |candidate: &PlacementCandidate| {
        candidate.weights != WeightsStatus::Excluded
            && candidate.usable
            && candidate.free_slots > 0
            && candidate.free_tokens >= request.memory_tokens()
    };
    let rank = |seed: u64| xxh3_64_with_seed(&request.affinity.to_le_bytes(), seed);
    let usable = candidates.iter().enumerate().filter(|(_, found)| has_capacity(found));
    usable.min_by_key(|(_, found)| (cost(found), !rank(found.seed))).map(|(at, _)| at)
}

fn any_candidate() -> impl Strategy<Value = PlacementCandidate> {
    let place = (any::<u64>(), prop::bool::weighted(0.9), any::<bool>(), 0..3_u64);
    let work = (0..200_000_u64, 0..20_000_u64, 0..30_u64, 0..30_u64, 0..4_u64);
    let rest = (0..3_usize, 0..4_u64, prop::option::of(0..2_000_u64), 0..9_000_u64);
    (place, work, rest).prop_map(|(place, work, rest)| PlacementCandidate {
        seed: place.0,
        usable: place.1,
        same_data_centre: place.2,
        free_slots: place.3,
        free_tokens: work.0,
        pending_tokens: work.1,
        running: work.2,
        own_running: work.3,
        queued: work.4,
        mean_pending_tokens: rest.3,
        reported_pending_tokens: rest.2,
        weights: [
            WeightsStatus::Acceptable,
            WeightsStatus::Penalized,
            WeightsStatus::Excluded,
        ][rest.0],
        cached_tokens: rest.1 * 2_100,
        loads_in_ms: rest.2,
        pace: None,
        host_percent: None,
    })
}

fn any_request() -> impl Strategy<Value = PlacementRequest> {
    let size = (0..9_000_u64, 0..9_000_u64, 0..500_u64, 0..4_000_u64, 0..90_000_u64);
    let target = (prop::option::of(0..900_u64), prop::option::of(0..90_u64), 0..900_u64);
    (any::<u64>(), size, any::<bool>(), target).prop_map(
        |(affinity, size, can_fetch, target)| PlacementRequest {
            affinity,
            shared_tokens: size.0,
            own_tokens: size.1,
            output_tokens: size.2,
            answer_ms: size.3,
            body_bytes: size.4,
            can_fetch,
            target_ms: target.0,
            gap_ms: target.1,
            waited_ms: target.2,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn without_paces_the_choice_is_that_by_tokens(
        request in any_request(),
        candidates in prop::collection::vec(any_candidate(), 0..12),
    ) {
        let chosen = choose_upstream(&request, &candidates);
        prop_assert_eq!(chosen, choose_by_tokens(&request, &candidates));
        prop_assert_eq!(predict_times(&request, &candidates, 0), None);
    }
}
