//! When an engine with runs in progress starts to load new weights.
//!
//! The replay sends streams of 0.5 to 2.5 s to ten engines that load new weights every
//! four seconds, places them by the rules of an entry, and compares the rule that waits
//! for runs with the rule that does not, on the same arrivals.

use bilberry_core::AnnouncedWeights;
use bilberry_core::HaltedRuns;
use bilberry_core::LoadMoment;
use bilberry_core::LoadTurn;
use bilberry_core::MemoryUse;
use bilberry_core::Name;
use bilberry_core::ObservedRun;
use bilberry_core::PlacementCandidate;
use bilberry_core::PlacementRequest;
use bilberry_core::Rollout;
use bilberry_core::RolloutPlace;
use bilberry_core::UnixMs;
use bilberry_core::WeightsStatus;
use bilberry_core::choose_upstream;
use bilberry_core::may_start_load;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const BOUND_MS: u64 = 10_000;
const ENGINES: usize = 10;
const SLOTS: u64 = 40;
const RUN_TOKENS: u64 = 1_000;
const PREFILL_MS: u64 = 100;
const EVENT_MS: u64 = 25;
const MEAN_STREAM_MS: u64 = 1_500;
const NAMING_MS: u64 = 4_000;
const FIRST_NAMING_MS: u64 = 5_000;
const NAMINGS: u64 = 13;
/// The last rollout is over by then.
const DURATION_MS: u64 = 60_000;
const STEP_MS: u64 = 5;
const ARRIVAL_CHANCES: u32 = 4;
const POLL_MS: u64 = 40;
const NOTICE_MS: u64 = 250;
/// The age of newer weights from which an answer on older ones loses worth.
const OLD_ANSWER_MS: u64 = 1_500;

#[derive(Debug, Copy, Clone, PartialEq, Eq)]
enum Rule {
    WithoutRuns,
    WithRuns,
}

#[derive(Debug)]
struct Run {
    attempt: Name,
    progress_ms: u64,
    length_ms: u64,
    version: u64,
    is_halted: bool,
}

impl Run {
    fn events(&self) -> u64 {
        self.progress_ms.saturating_sub(PREFILL_MS) / EVENT_MS
    }
}

#[derive(Debug)]
struct EngineReplay {
    version: u64,
    runs: Vec<Run>,
    busy_until: Option<(UnixMs, u64)>,
    loads_at: Option<UnixMs>,
    is_closed: bool,
    rollout: Rollout,
    moment: LoadMoment,
    loads: u64,
    max_load_delay_ms: u64,
}

#[derive(Debug, Default, Clone, PartialEq)]
struct Outcome {
    served: u64,
    rejected: u64,
    halted_midway: u64,
    on_older_weights: u64,
    max_start_age_ms: u64,
    max_load_delay_ms: u64,
    min_loads: u64,
    all_newest: bool,
}

impl Outcome {
    /// The worth in fifths: nothing for a halted stream, four for older weights.
    fn worth(&self) -> u64 {
        (self.served - self.halted_midway) * 5 - self.on_older_weights
    }
}

fn replay(rule: Rule, load_share: f64, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let mut weights = AnnouncedWeights::default();
    let (mut version, mut next_naming, mut sent) = (0, FIRST_NAMING_MS, 0);
    let mut engines: Vec<_> = (0..ENGINES)
        .map(|_| EngineReplay {
            version: 0,
            runs: Vec::new(),
            busy_until: None,
            loads_at: None,
            is_closed: false,
            rollout: Rollout::new(Some(BOUND_MS)),
            moment: LoadMoment::new(Some(BOUND_MS)),
            loads: 0,
            max_load_delay_ms: 0,
        })
        .collect();
    let full_per_ms =
        ENGINES as f64 * SLOTS as f64 / (PREFILL_MS + MEAN_STREAM_MS) as f64;
    for now_ms in (0..DURATION_MS).step_by(STEP_MS as usize) {
        let now = UnixMs(now_ms);
        if now_ms >= next_naming && version < NAMINGS {
            version += 1;
            next_naming += NAMING_MS;
            weights.record(version, now);
        }
        for _ in 0..ARRIVAL_CHANCES {
            let chance = load_share * full_per_ms * STEP_MS as f64;
            let arrives = random.random_bool(chance / f64::from(ARRIVAL_CHANCES));
            let length_ms = PREFILL_MS + random.random_range(500..=2_500);
            if !arrives {
                continue;
            }
            sent += 1;
            match place(&engines, &weights, now) {
                Some(index) => {
                    let engine = &mut engines[index];
                    let since = weights.outdated_since(engine.version);
                    let age_ms = since.map_or(0, |since| now.ms_since(since));
                    outcome.max_start_age_ms = outcome.max_start_age_ms.max(age_ms);
                    engine.runs.push(Run {
                        attempt: format!("a{sent}").into(),
                        progress_ms: 0,
                        length_ms,
                        version: engine.version,
                        is_halted: false,
                    });
                }
                None => outcome.rejected += 1,
            }
        }
        let loading = engines.iter().filter(|e| e.busy_until.is_some()).count() as u64;
        for (index, engine) in engines.iter_mut().enumerate() {
            advance(engine, &weights, now, &mut outcome);
            if now_ms % POLL_MS == (index as u64 * STEP_MS) % POLL_MS {
                poll(engine, index, &weights, rule, loading, now);
            }
        }
    }
    let delays_ms = engines.iter().map(|engine| engine.max_load_delay_ms);
    outcome.max_load_delay_ms = delays_ms.max().unwrap();
    outcome.all_newest = engines.iter().all(|engine| engine.version == NAMINGS);
    outcome.min_loads = engines.iter().map(|engine| engine.loads).min().unwrap();
    outcome
}

fn place(
    engines: &[EngineReplay],
    weights: &AnnouncedWeights,
    now: UnixMs,
) -> Option<usize> {
    let request = PlacementRequest {
        own_tokens: RUN_TOKENS / 2,
        output_tokens: RUN_TOKENS / 2,
        answer_ms: MEAN_STREAM_MS,
        ..PlacementRequest::default()
    };
    let candidate = |(index, engine): (usize, &EngineReplay)| {
        let running = engine.runs.len() as u64;
        let since = weights.outdated_since(engine.version);
        let lacking_ms = since.map(|since| now.ms_since(since));
        PlacementCandidate {
            seed: index as u64,
            usable: !engine.is_closed,
            same_data_centre: true,
            free_slots: SLOTS - running,
            free_tokens: (SLOTS - running) * RUN_TOKENS,
            running,
            weights: WeightsStatus::classify(lacking_ms, Some(BOUND_MS)),
            loads_in_ms: engine.loads_at.map(|at| at.ms_since(now)),
            ..PlacementCandidate::default()
        }
    };
    let candidates: Vec<_> = engines.iter().enumerate().map(candidate).collect();
    choose_upstream(&request, &candidates)
}

/// Advances the runs of an engine that does not load, or ends its load.
fn advance(
    engine: &mut EngineReplay,
    weights: &AnnouncedWeights,
    now: UnixMs,
    outcome: &mut Outcome,
) {
    match engine.busy_until {
        Some((until, _)) if now < until => return,
        Some((_, version)) => {
            engine.busy_until = None;
            engine.version = version;
        }
        None => {}
    }
    for run in &mut engine.runs {
        run.progress_ms += STEP_MS;
    }
    for run in engine.runs.extract_if(.., |run| run.progress_ms >= run.length_ms) {
        let since = weights.outdated_since(run.version);
        let age_ms = since.map_or(0, |since| now.ms_since(since));
        outcome.served += 1;
        match run.is_halted {
            true => outcome.halted_midway += 1,
            false => outcome.on_older_weights += u64::from(age_ms >= OLD_ANSWER_MS),
        }
    }
}

/// Queries an engine as its sidecar does and lets it load if its moment has come.
fn poll(
    engine: &mut EngineReplay,
    index: usize,
    weights: &AnnouncedWeights,
    rule: Rule,
    loading: u64,
    now: UnixMs,
) {
    let report: Vec<_> = engine
        .runs
        .iter()
        .map(|run| ObservedRun {
            attempt: run.attempt.clone(),
            memory_tokens: RUN_TOKENS,
            events: run.events(),
        })
        .collect();
    let used_tokens = report.len() as u64 * RUN_TOKENS;
    let total_tokens = SLOTS * RUN_TOKENS;
    engine.moment.observe(&report, MemoryUse { used_tokens, total_tokens }, now);
    engine.is_closed = engine.busy_until.is_some();
    engine.loads_at = None;
    let Some(outdated_since) = weights.outdated_since(engine.version) else { return };
    let place = RolloutPlace { position: index, servers: ENGINES, down: 0 };
    let planned_at = engine.rollout.starts_at(outdated_since, place);
    let turn = LoadTurn { outdated_since, planned_at };
    engine.loads_at = Some(planned_at);
    if planned_at <= now.plus_ms(NOTICE_MS) {
        engine.is_closed = true;
        engine.moment.announce(turn);
    }
    let may_start = planned_at <= now
        && may_start_load(planned_at, 0, now)
        && (rule == Rule::WithoutRuns || engine.moment.may_start(turn, now));
    if engine.busy_until.is_none() && may_start {
        // Concurrent loads slow each other down.
        let load_ms = 600 + 50 * loading;
        engine.rollout.record_load(load_ms);
        let (newest, _) = weights.newest().unwrap();
        engine.busy_until = Some((now.plus_ms(load_ms), newest));
        engine.loads += 1;
        engine.max_load_delay_ms =
            engine.max_load_delay_ms.max(now.ms_since(outdated_since));
        for run in &mut engine.runs {
            run.is_halted |= run.events() > 0;
        }
    }
}

/// Replays the same arrivals by both rules: without runs, then with runs.
fn replay_both(load_share: f64, seed: u64) -> (Outcome, Outcome) {
    let [before, after] = [Rule::WithoutRuns, Rule::WithRuns].map(|rule| {
        let outcome = replay(rule, load_share, seed);
        let worth = outcome.worth();
        println!("load {load_share} seed {seed} {rule:?}: worth {worth} {outcome:?}");
        outcome
    });
    assert!(after.max_start_age_ms < BOUND_MS, "a request began beyond the bound");
    assert!(after.max_load_delay_ms <= BOUND_MS / 2, "a rollout took too long");
    assert!(after.all_newest, "an engine did not load the newest weights");
    assert_eq!(after.min_loads, before.min_loads, "an engine left out a load");
    (before, after)
}

#[test]
fn at_calm_fewer_streams_are_halted_and_nobody_is_rejected_for_it() {
    for (load_share, seed) in [(0.2, 1), (0.2, 2), (0.3, 3), (0.4, 4)] {
        let (before, after) = replay_both(load_share, seed);
        assert!(after.halted_midway < before.halted_midway);
        assert!(after.rejected <= before.rejected);
        assert!(after.worth() > before.worth());
    }
}

#[test]
fn at_full_load_no_room_is_lost_to_the_wait_for_runs() {
    for (load_share, seed) in [(0.7, 5), (0.9, 6), (1.2, 7)] {
        let (before, after) = replay_both(load_share, seed);
        assert!(after.halted_midway <= before.halted_midway);
        assert!(after.served >= before.served);
        assert!(after.rejected <= before.rejected);
    }
}

const TURN: LoadTurn =
    LoadTurn { outdated_since: UnixMs(9_500), planned_at: UnixMs(10_000) };
const CALM: MemoryUse = MemoryUse { used_tokens: 10, total_tokens: 100 };

fn run(attempt: &str, events: u64) -> ObservedRun {
    ObservedRun { attempt: attempt.into(), memory_tokens: 1, events }
}

/// An engine that has ended streams of 40 events of 20 ms, whose turn is announced 250 ms
/// ahead while `runs` are in progress.
fn moment_at_notice(
    bound_ms: Option<u64>,
    memory: MemoryUse,
    runs: &[ObservedRun],
) -> LoadMoment {
    let mut moment = LoadMoment::new(bound_ms);
    for step in 0..=50 {
        let ended = run("ended", 1 + 39 * step / 50);
        moment.observe(&[ended], memory, UnixMs(7_000 + step * 16));
    }
    moment.observe(&[], memory, UnixMs(8_000));
    moment.observe(runs, memory, UnixMs(9_750));
    moment.announce(TURN);
    moment
}

#[test]
fn a_load_waits_for_runs_that_are_about_to_end() {
    let mut moment = moment_at_notice(None, CALM, &[run("a", 10), run("b", 10)]);
    moment.observe(&[run("a", 20), run("b", 20)], CALM, UnixMs(10_000));
    assert!(!moment.may_start(TURN, UnixMs(10_000)));
    moment.observe(&[], CALM, UnixMs(10_400));
    assert!(moment.may_start(TURN, UnixMs(10_400)));
}

#[test]
fn a_load_starts_at_the_end_of_the_window_though_runs_go_on() {
    // Runs that outlast all earlier ones would keep the engine closed without a limit.
    let mut moment = moment_at_notice(None, CALM, &[run("a", 30), run("b", 30)]);
    moment.observe(&[run("a", 45), run("b", 45)], CALM, UnixMs(10_900));
    assert!(!moment.may_start(TURN, UnixMs(10_900)));
    assert!(moment.may_start(TURN, UnixMs(11_000)));
}

#[test]
fn a_load_does_not_wait_for_runs_that_outlast_the_window() {
    // The engine would be closed for a second and halt the same runs afterwards.
    let mut moment = moment_at_notice(None, CALM, &[run("a", 1), run("b", 1)]);
    moment.observe(&[run("a", 2), run("b", 2)], CALM, UnixMs(10_700));
    assert!(moment.may_start(TURN, UnixMs(10_700)));
}

#[test]
fn a_load_does_not_wait_where_room_is_scarce() {
    let full = MemoryUse { used_tokens: 60, ..CALM };
    let moment = moment_at_notice(None, full, &[run("a", 20), run("b", 20)]);
    assert!(moment.may_start(TURN, TURN.planned_at));
}

#[test]
fn a_load_does_not_wait_while_prompts_wait_for_prefill() {
    let runs = [run("a", 20), run("b", 0), run("c", 0)];
    let moment = moment_at_notice(None, CALM, &runs);
    assert!(moment.may_start(TURN, TURN.planned_at));
}

#[test]
fn the_window_ends_early_enough_for_the_bound_on_older_weights() {
    // A load that starts at the bound leaves its engine without requests until it ends.
    let runs = [run("a", 38), run("b", 38)];
    let moment = moment_at_notice(Some(4_000), CALM, &runs);
    assert!(!moment.may_start(TURN, UnixMs(10_400)));
    assert!(moment.may_start(TURN, UnixMs(10_500)));
}

#[test]
fn a_load_does_not_wait_without_an_estimate_of_the_runs() {
    // A sidecar that restarts within the window has seen no run end.
    let mut moment = LoadMoment::new(None);
    moment.observe(&[run("a", 20)], CALM, UnixMs(10_100));
    moment.announce(TURN);
    assert!(moment.may_start(TURN, UnixMs(10_100)));
}

#[test]
fn runs_that_a_load_halts_are_counted_by_phase() {
    let runs = [run("a", 20), run("b", 0), run("c", 1)];
    assert_eq!(HaltedRuns::count(&runs), HaltedRuns { decoding: 2, prefilling: 1 });
}
