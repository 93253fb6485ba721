//! Tests of the measurement of an engine's pace and of the load of a host.

use bilberry_core::HostLoadMean;
use bilberry_core::Incarnation;
use bilberry_core::ObservedRun;
use bilberry_core::PaceMeter;
use bilberry_core::UnixMs;
use bilberry_core::WorkPace;

const REPORT_EVERY_MS: u64 = 40;

/// An engine that prefills one prompt after the other beside its decoding runs.
struct SimulatedEngine {
    meter: PaceMeter,
    started_at: UnixMs,
    now: UnixMs,
    runs: Vec<SimulatedRun>,
    next_attempt: usize,
}

struct SimulatedRun {
    attempt: String,
    prompt_tokens: f64,
    cached_tokens: f64,
    prefilled_tokens: f64,
    events: f64,
    max_events: f64,
}

impl SimulatedEngine {
    fn new() -> Self {
        Self {
            meter: PaceMeter::default(),
            started_at: UnixMs(1),
            now: UnixMs(1_000_000),
            runs: Vec::new(),
            next_attempt: 0,
        }
    }

    fn start(&mut self, prompt_tokens: f64, cached_tokens: f64, max_events: f64) {
        self.next_attempt += 1;
        self.runs.push(SimulatedRun {
            attempt: format!("attempt {}", self.next_attempt),
            prompt_tokens,
            cached_tokens,
            prefilled_tokens: 0.0,
            events: 0.0,
            max_events,
        });
    }

    /// Works for one millisecond at `token_us` a prefilled token and `event_ms` an event.
    fn work(&mut self, token_us: f64, event_ms: f64) {
        let mut left = 1_000.0 / token_us;
        for run in &mut self.runs {
            let missing = run.prompt_tokens - run.cached_tokens - run.prefilled_tokens;
            if missing <= 0.0 {
                run.events += 1.0 / event_ms;
            }
            let done = missing.clamp(0.0, left);
            run.prefilled_tokens += done;
            left -= done;
        }
        self.runs.retain(|run| run.events < run.max_events);
        self.now = self.now.plus_ms(1);
    }

    fn report(&mut self, is_loading: bool) {
        let observed = |run: &SimulatedRun| ObservedRun {
            attempt: run.attempt.as_str().into(),
            memory_tokens: (run.cached_tokens + run.prefilled_tokens + run.events) as u64,
            events: run.events as u64,
        };
        let runs: Vec<ObservedRun> = self.runs.iter().map(observed).collect();
        let incarnation = Some(Incarnation { started_at: self.started_at });
        self.meter.record(incarnation, &runs, is_loading, self.now);
    }

    /// Serves a long prompt and a short question every half second for `seconds`.
    fn serve(&mut self, seconds: u64, slowdown: impl Fn(u64) -> f64) {
        for ms in 0..seconds * 1_000 {
            match ms % 500 {
                0 => self.start(9_000.0, 2_000.0, 30.0),
                250 => self.start(300.0, 0.0, 20.0),
                _ => {}
            }
            let factor = slowdown(ms);
            self.work(25.0 * factor, 20.0 * factor);
            if ms % REPORT_EVERY_MS == 0 {
                self.report(false);
            }
        }
    }

    fn pace(&self) -> WorkPace {
        self.meter.pace(self.now).unwrap_or_default()
    }

    /// Asserts that both times are within `tolerance` of the usual ones times `factor`.
    fn assert_pace(&self, factor: f64, tolerance: f64) {
        let pace = self.pace();
        let near = |value: Option<u64>, usual: f64| {
            let ratio = value.unwrap_or_default() as f64 / (usual * factor);
            (ratio - 1.0).abs() < tolerance
        };
        assert!(near(pace.prefill_token_ns, 25_000.0), "{pace:?}");
        assert!(near(pace.event_us, 20_000.0), "{pace:?}");
    }
}

#[test]
fn a_steady_engine_is_measured_despite_runs_that_begin_and_end_between_reports() {
    for factor in [0.7, 1.0, 1.7] {
        let mut engine = SimulatedEngine::new();
        engine.serve(8, |_| factor);
        engine.assert_pace(factor, 0.1);
    }
}

#[test]
fn short_slowdowns_by_other_work_count_by_their_share_of_the_time() {
    let mut engine = SimulatedEngine::new();
    // 2.5 times slower for a fifth of the time takes 1.14 times as long for the work.
    engine.serve(10, |ms| if ms % 700 < 140 { 2.5 } else { 1.0 });
    engine.assert_pace(1.14, 0.2);
}

#[test]
fn a_change_of_pace_is_followed_within_seconds() {
    let mut engine = SimulatedEngine::new();
    engine.serve(5, |_| 1.0);
    engine.serve(5, |_| 1.7);
    engine.assert_pace(1.7, 0.15);
}

#[test]
fn a_restart_ends_what_was_measured() {
    let mut engine = SimulatedEngine::new();
    engine.serve(5, |_| 1.7);
    engine.started_at = UnixMs(2);
    engine.runs.clear();
    engine.report(false);
    assert_eq!(engine.meter.pace(engine.now), None);
    engine.serve(5, |_| 0.7);
    engine.assert_pace(0.7, 0.1);
}

#[test]
fn a_load_of_weights_is_not_measured() {
    let mut engine = SimulatedEngine::new();
    engine.serve(5, |_| 1.0);
    engine.start(9_000.0, 0.0, 30.0);
    engine.report(false);
    let before = engine.pace();
    for _ in 0..50 {
        engine.now = engine.now.plus_ms(REPORT_EVERY_MS);
        engine.report(true);
    }
    engine.now = engine.now.plus_ms(REPORT_EVERY_MS);
    engine.report(false);
    assert_eq!(engine.pace(), before);
    engine.serve(5, |_| 1.0);
    engine.assert_pace(1.0, 0.1);
}

#[test]
fn an_old_measurement_expires() {
    let mut engine = SimulatedEngine::new();
    engine.serve(5, |_| 1.0);
    assert!(engine.meter.pace(engine.now.plus_ms(5_000)).is_some());
    assert_eq!(engine.meter.pace(engine.now.plus_ms(20_000)), None);
}

#[test]
fn counters_that_go_back_and_missed_reports_are_not_measured() {
    let run = |memory_tokens, events| {
        [ObservedRun { attempt: "a".into(), memory_tokens, events }]
    };
    let mut meter = PaceMeter::default();
    let at = |ms: u64| UnixMs(1_000 + ms);
    meter.record(None, &run(9_000, 900), false, at(0));
    meter.record(None, &run(100, 0), false, at(40));
    meter.record(None, &run(8_000, 0), false, at(5_000));
    assert_eq!(meter.pace(at(5_000)), None);
    // Two reports of the same time and a clock that was set back.
    meter.record(None, &run(9_000, 0), false, at(5_000));
    meter.record(None, &run(9_500, 0), false, at(4_000));
    assert_eq!(meter.pace(at(5_000)), None);
}

#[test]
fn a_run_that_decodes_before_its_first_event_is_no_slow_prefill() {
    let run = |attempt: &str, memory_tokens| ObservedRun {
        attempt: attempt.into(),
        memory_tokens,
        events: 0,
    };
    let mut meter = PaceMeter::default();
    for report in 0..100 {
        let at = UnixMs(1_000 + report * REPORT_EVERY_MS);
        meter.record(None, &[run("a", 9_000 + report * 4)], false, at);
    }
    assert_eq!(meter.pace(UnixMs(5_000)), None);
    for report in 0..5 {
        let at = UnixMs(5_000 + report * REPORT_EVERY_MS);
        meter.record(None, &[run("b", report * 1_600)], false, at);
    }
    let pace = meter.pace(UnixMs(5_200)).unwrap_or_default();
    assert_eq!(pace, WorkPace { prefill_token_ns: Some(25_000), event_us: None });
}

#[test]
fn a_prefill_step_longer_than_a_report_interval_counts_in_full() {
    let run =
        |memory_tokens| [ObservedRun { attempt: "a".into(), memory_tokens, events: 0 }];
    let mut meter = PaceMeter::default();
    for report in 0..20 {
        let at = UnixMs(1_000 + report * REPORT_EVERY_MS);
        // Steps of 2048 tokens end at every second report.
        meter.record(None, &run(report / 2 * 2_048), false, at);
    }
    let pace = meter.pace(UnixMs(1_800)).unwrap_or_default();
    let prefill_token_ns = pace.prefill_token_ns.unwrap_or_default();
    assert!((39_062..=39_063).contains(&prefill_token_ns), "{prefill_token_ns}");
}

#[test]
fn the_load_of_a_host_is_a_mean_that_is_forgotten() {
    let mut load = HostLoadMean::default();
    let at = |ms: u64| UnixMs(1_000_000 + ms);
    assert_eq!(load.percent(at(0)), None);
    (0..40).for_each(|report| load.record([90, 250][report % 2], at(report as u64 * 50)));
    let percent = load.percent(at(2_000)).unwrap_or_default();
    assert!((160..180).contains(&percent), "{percent}");
    assert_eq!(load.percent(at(10_000)), None);
    load.record(100_000, at(10_000));
    assert!(load.percent(at(10_000)).is_some_and(|percent| percent <= 400));
    load.record(0, at(100_000));
    assert!(load.percent(at(100_000)).is_some_and(|percent| percent >= 40));
}
