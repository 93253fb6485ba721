//! Whether a silent run is slow or lost.

use bilberry_core::LossReason;
use bilberry_core::ObservedRun;
use bilberry_core::RunProgress;
use bilberry_core::RunStatus;
use bilberry_core::STALL_MS;
use bilberry_core::SilenceVerdict;
use bilberry_core::StreamTargets;
use bilberry_core::UnixMs;
use bilberry_core::judge_silence;
use proptest::prelude::*;

/// The interval between two reports.
const REPORT_MS: u64 = 40;

const TARGETS: StreamTargets = StreamTargets { target_ms: 300, gap_ms: Some(250) };

/// The silence after which an entry first asks about a run of [`TARGETS`].
const SILENCE_MS: u64 = 1_000;

/// The longest time from the last progress of an engine until its stall is known.
const STALL_BOUND_MS: u64 = 2_000;

fn run(attempt: &str, memory_tokens: u64, events: u64) -> ObservedRun {
    ObservedRun { attempt: attempt.into(), memory_tokens, events }
}

/// Reports with a running time.
struct Reports {
    progress: RunProgress,
    now: UnixMs,
}

impl Reports {
    fn new() -> Self {
        Self { progress: RunProgress::default(), now: UnixMs(1_000_000) }
    }

    /// Records the same report for `ms`.
    fn repeat(&mut self, runs: &[ObservedRun], queued: u64, ms: u64) {
        for _ in 0..ms / REPORT_MS {
            self.now = self.now.plus_ms(REPORT_MS);
            self.progress.record(runs, queued, false, self.now);
        }
    }

    fn status(&self, attempt: &str) -> RunStatus {
        self.progress.status(attempt, self.now).expect("a report is recent")
    }

    fn judge(&self, attempt: &str, silent_ms: u64) -> Option<SilenceVerdict> {
        judge_silence(self.progress.status(attempt, self.now), silent_ms, TARGETS)
    }

    fn is_stalled(&self) -> bool {
        self.progress.is_stalled(self.now)
    }
}

#[test]
fn events_and_memory_that_grow_are_progress() {
    let mut reports = Reports::new();
    reports.repeat(&[run("a", 10, 0), run("b", 50, 3)], 0, 400);
    reports.repeat(&[run("a", 20, 0), run("b", 50, 3)], 0, 200);
    assert_eq!(reports.status("a").run_idle_ms, Some(160));
    assert_eq!(reports.status("b").run_idle_ms, Some(560));
    assert_eq!(reports.status("a").engine_idle_ms, 160);
    reports.repeat(&[run("a", 20, 0), run("b", 50, 4)], 0, REPORT_MS);
    assert_eq!(reports.status("b").run_idle_ms, Some(0));
    assert_eq!(reports.status("b").engine_idle_ms, 0);
}

#[test]
fn an_engine_without_work_is_not_stalled_when_work_arrives() {
    let mut reports = Reports::new();
    reports.repeat(&[], 0, 10_000);
    reports.repeat(&[run("a", 10, 0)], 2, 400);
    assert!(!reports.is_stalled());
    assert_eq!(reports.judge("a", SILENCE_MS), Some(SilenceVerdict::KeepWaiting));
}

#[test]
fn a_stall_is_known_within_the_bound() {
    let mut reports = Reports::new();
    reports.repeat(&[run("a", 10, 0)], 0, 200);
    reports.repeat(&[run("a", 10, 1)], 3, REPORT_MS);
    reports.repeat(&[run("a", 10, 1)], 3, STALL_MS);
    assert!(!reports.is_stalled());
    reports.repeat(&[run("a", 10, 1)], 3, STALL_BOUND_MS - STALL_MS - REPORT_MS);
    assert!(reports.is_stalled());
    let lost = Some(SilenceVerdict::Lost(LossReason::EngineStalled));
    assert_eq!(reports.judge("a", SILENCE_MS), lost);
    assert_eq!(reports.judge("queued", SILENCE_MS), lost);
}

#[test]
fn an_engine_that_only_queues_requests_is_stalled() {
    let mut reports = Reports::new();
    reports.repeat(&[], 4, STALL_BOUND_MS);
    assert!(reports.is_stalled());
}

#[test]
fn requests_that_an_engine_accepts_and_callers_give_up_do_not_hide_a_stall() {
    // A hung engine lists a new run every 200 ms, and drops each after 1.2 s, when its
    // caller has left.
    let mut reports = Reports::new();
    reports.repeat(&[run("old", 10, 1)], 0, REPORT_MS);
    reports.repeat(&[run("old", 10, 2)], 0, REPORT_MS);
    let mut stalled_after_ms = None;
    for step in 0..20_u64 {
        let first = step.saturating_sub(6);
        let mut listed: Vec<_> =
            (first..=step).map(|at| run(&format!("run-{at}"), 1, 0)).collect();
        if step < 6 {
            listed.push(run("old", 10, 2));
        }
        reports.repeat(&listed, 0, 200);
        if reports.is_stalled() {
            stalled_after_ms.get_or_insert((step + 1) * 200);
        }
    }
    assert!(stalled_after_ms.is_some_and(|ms| ms <= STALL_BOUND_MS));
    assert!(reports.is_stalled(), "the stall ended without progress");
}

#[test]
fn a_stall_ends_with_progress() {
    let mut reports = Reports::new();
    reports.repeat(&[run("a", 10, 1)], 0, STALL_BOUND_MS);
    reports.repeat(&[run("a", 10, 1), run("probe", 0, 0)], 0, REPORT_MS);
    assert!(reports.is_stalled());
    reports.repeat(&[run("a", 10, 1), run("probe", 5, 0)], 0, REPORT_MS);
    assert!(!reports.is_stalled());
}

#[test]
fn a_stall_ends_once_the_engine_has_long_had_no_work() {
    // Runs that last less than the interval between reports are never seen to progress.
    let mut reports = Reports::new();
    reports.repeat(&[run("a", 10, 1)], 0, STALL_BOUND_MS);
    reports.repeat(&[], 0, STALL_MS);
    assert!(reports.is_stalled());
    reports.repeat(&[], 0, 4 * REPORT_MS);
    assert!(!reports.is_stalled());
}

#[test]
fn short_runs_that_complete_are_progress() {
    let mut reports = Reports::new();
    for number in 0..100 {
        reports.repeat(&[run(&format!("run-{number}"), 8, 1)], 5, REPORT_MS);
        assert!(!reports.is_stalled());
        assert_eq!(
            reports.judge("queued", SILENCE_MS),
            Some(SilenceVerdict::KeepWaiting)
        );
    }
}

#[test]
fn runs_during_a_load_of_weights_are_not_stalled() {
    let mut reports = Reports::new();
    reports.repeat(&[run("a", 10, 1)], 2, 400);
    for _ in 0..100 {
        reports.now = reports.now.plus_ms(REPORT_MS);
        reports.progress.record(&[run("a", 10, 1)], 2, true, reports.now);
        assert!(!reports.is_stalled());
        assert_eq!(reports.judge("a", 3_000), Some(SilenceVerdict::KeepWaiting));
    }
    reports.repeat(&[run("a", 10, 1)], 2, 800);
    assert!(!reports.is_stalled());
}

#[test]
fn a_host_that_was_suspended_is_not_stalled_when_it_continues() {
    let mut reports = Reports::new();
    reports.repeat(&[run("a", 10, 1)], 0, 200);
    reports.repeat(&[run("a", 10, 2)], 0, 200);
    reports.now = reports.now.plus_ms(6_000);
    assert_eq!(reports.progress.status("a", reports.now), None);
    reports.repeat(&[run("a", 10, 2)], 0, REPORT_MS);
    assert!(!reports.is_stalled());
    assert_eq!(reports.judge("a", 6_000), Some(SilenceVerdict::KeepWaiting));
}

#[test]
fn a_stall_is_found_when_reports_are_rare() {
    let mut reports = Reports::new();
    for _ in 0..5 {
        reports.now = reports.now.plus_ms(600);
        reports.progress.record(&[run("a", 10, 1)], 0, false, reports.now);
    }
    assert!(reports.is_stalled());
}

#[test]
fn another_incarnation_starts_without_a_stall() {
    let mut reports = Reports::new();
    reports.repeat(&[run("a", 10, 1)], 0, STALL_BOUND_MS);
    reports.progress.reset();
    assert!(!reports.is_stalled());
    assert_eq!(reports.judge("a", SILENCE_MS), None);
    reports.repeat(&[run("a", 10, 1)], 0, 400);
    assert!(!reports.is_stalled());
}

#[test]
fn an_idle_run_of_an_engine_that_progresses_is_waited_for_up_to_a_bound() {
    let idle = |run_idle_ms| RunStatus {
        run_idle_ms: Some(run_idle_ms),
        engine_idle_ms: 40,
        queued: 0,
    };
    let waits = Some(SilenceVerdict::KeepWaiting);
    let lost = Some(SilenceVerdict::Lost(LossReason::RunIdle));
    let bound_ms = TARGETS.max_idle_silence_ms();
    assert_eq!(judge_silence(Some(idle(1_400)), bound_ms - 1, TARGETS), waits);
    assert_eq!(judge_silence(Some(idle(1_400)), bound_ms, TARGETS), lost);
    assert_eq!(judge_silence(Some(idle(STALL_MS)), 60_000, TARGETS), waits);
}

#[test]
fn callers_have_time_for_the_first_event_of_another_engine_after_the_bound() {
    for (target_ms, gap_ms) in [(300, None), (1_500, Some(250)), (400, Some(800))] {
        let targets = StreamTargets { target_ms, gap_ms };
        let left_ms = targets.caller_limit_ms() - targets.max_idle_silence_ms();
        assert!(left_ms >= target_ms, "{targets:?}: {left_ms} ms left");
    }
}

#[test]
fn a_run_that_its_engine_does_not_list_is_lost_unless_requests_are_queued() {
    let unlisted = |queued| RunStatus { run_idle_ms: None, engine_idle_ms: 40, queued };
    let judge = |queued| judge_silence(Some(unlisted(queued)), SILENCE_MS, TARGETS);
    assert_eq!(judge(0), Some(SilenceVerdict::Lost(LossReason::NotListed)));
    assert_eq!(judge(7), Some(SilenceVerdict::KeepWaiting));
}

#[test]
fn timeouts_decide_if_the_progress_is_unknown() {
    assert_eq!(judge_silence(None, 60_000, TARGETS), None);
    assert_eq!(Reports::new().judge("a", SILENCE_MS), None);
}

/// An engine that serves requests in their order with a number of slots.
struct SimulatedEngine {
    /// Attempt, time until the first event, events left, memory and events made.
    running: Vec<(String, u64, u64, u64, u64)>,
    queue: Vec<String>,
    slots: usize,
    prefill_ms: u64,
    output_events: u64,
    hangs: bool,
}

impl SimulatedEngine {
    fn step(&mut self, ms: u64) {
        while self.running.len() < self.slots && !self.queue.is_empty() {
            let attempt = self.queue.remove(0);
            self.running.push((attempt, self.prefill_ms, self.output_events, 0, 0));
        }
        if self.hangs {
            return;
        }
        for (_, prefill_ms, left, memory_tokens, events) in &mut self.running {
            match *prefill_ms {
                0 => {
                    *left = left.saturating_sub(1);
                    *events += 1;
                }
                _ => *prefill_ms = prefill_ms.saturating_sub(ms),
            }
            *memory_tokens += 8;
        }
        self.running.retain(|(_, _, left, _, _)| *left > 0);
    }

    fn report(&self) -> Vec<ObservedRun> {
        let listed = self.running.iter();
        listed
            .map(|(attempt, _, _, memory, events)| run(attempt, *memory, *events))
            .collect()
    }

    fn has_first_event(&self, attempt: &str) -> bool {
        let found = self.running.iter().find(|(running, ..)| running == attempt);
        let is_queued = self.queue.iter().any(|queued| queued == attempt);
        found.map_or(!is_queued, |(_, _, _, _, events)| *events > 0)
    }
}

#[test]
fn requests_in_a_queue_of_several_seconds_are_sent_once() {
    // 48 requests arrive at once at an engine with four slots, whose runs take 0.8 s.
    let mut engine = SimulatedEngine {
        running: Vec::new(),
        queue: (0..48).map(|number| format!("a-{number}")).collect(),
        slots: 4,
        prefill_ms: 400,
        output_events: 10,
        hangs: false,
    };
    let mut reports = Reports::new();
    let mut longest_wait_ms = 0;
    for step in 0..500 {
        engine.step(REPORT_MS);
        let waited_ms = step * REPORT_MS;
        reports.repeat(&engine.report(), engine.queue.len() as u64, REPORT_MS);
        for number in 0..48 {
            let attempt = format!("a-{number}");
            if engine.has_first_event(&attempt) {
                continue;
            }
            longest_wait_ms = waited_ms;
            let verdict = reports.judge(&attempt, waited_ms);
            assert_eq!(verdict, Some(SilenceVerdict::KeepWaiting), "{attempt}");
        }
        assert!(!reports.is_stalled());
    }
    assert!(longest_wait_ms >= 5_000, "the queue was only {longest_wait_ms} ms long");
}

#[test]
fn an_engine_that_hangs_in_a_surge_is_found_within_the_bound() {
    let mut engine = SimulatedEngine {
        running: Vec::new(),
        queue: (0..20).map(|number| format!("a-{number}")).collect(),
        slots: 4,
        prefill_ms: 400,
        output_events: 10,
        hangs: false,
    };
    let mut reports = Reports::new();
    for _ in 0..50 {
        engine.step(REPORT_MS);
        reports.repeat(&engine.report(), engine.queue.len() as u64, REPORT_MS);
    }
    engine.hangs = true;
    let hangs_at = reports.now;
    let mut number = 20;
    while !reports.is_stalled() {
        // A request arrives and another's caller leaves, so the list of runs changes.
        engine.queue.push(format!("a-{number}"));
        if number % 5 == 0 {
            engine.running.remove(0);
        }
        number += 1;
        engine.step(REPORT_MS);
        reports.repeat(&engine.report(), engine.queue.len() as u64, REPORT_MS);
        assert!(reports.now.ms_since(hangs_at) <= STALL_BOUND_MS, "not found in time");
    }
}

/// What a run does between two reports.
#[derive(Debug, Clone, Copy)]
enum Step {
    Idle,
    Grow,
    End,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![4 => Just(Step::Idle), 3 => Just(Step::Grow), 1 => Just(Step::End)]
}

proptest! {
    #[test]
    fn a_run_that_progresses_is_not_lost(
        others in prop::collection::vec(prop::collection::vec(step(), 4), 1..120),
        gaps in prop::collection::vec((1_u64..400, any::<bool>(), 0_u64..5), 1..120),
        silent_ms in 0_u64..60_000,
        grows_every_ms in 1_u64..=STALL_MS,
    ) {
        let mut progress = RunProgress::default();
        let mut now = UnixMs(1_000_000);
        let mut grown_at = now;
        let mut figures = [(0_u64, 0_u64); 4];
        let mut own = (0, 0);
        for (number, (steps, (gap_ms, grows_memory, queued))) in
            others.iter().zip(&gaps).enumerate()
        {
            now = now.plus_ms(*gap_ms);
            if now.ms_since(grown_at) + 400 > grows_every_ms {
                match grows_memory {
                    true => own.0 += 1,
                    false => own.1 += 1,
                }
                grown_at = now;
            }
            let mut listed = vec![run("own", own.0, own.1)];
            for (other, step) in steps.iter().enumerate() {
                let attempt = format!("other-{other}-{}", figures[other].1);
                match step {
                    Step::Idle => listed.push(run(&attempt, figures[other].0, 0)),
                    Step::Grow => {
                        figures[other].0 += 1;
                        listed.push(run(&attempt, figures[other].0, 0));
                    }
                    Step::End => figures[other] = (0, number as u64),
                }
            }
            progress.record(&listed, *queued, false, now);
            let verdict = judge_silence(progress.status("own", now), silent_ms, TARGETS);
            prop_assert_eq!(verdict, Some(SilenceVerdict::KeepWaiting));
            prop_assert!(!progress.is_stalled(now));
        }
    }

    #[test]
    fn an_engine_without_progress_is_found_whatever_it_lists(
        starts in prop::collection::vec((any::<bool>(), 0_u64..5), 50),
    ) {
        let mut reports = Reports::new();
        let mut listed = vec![run("first", 1, 0)];
        reports.repeat(&listed, 0, REPORT_MS);
        for (number, (starts_run, queued)) in starts.iter().enumerate() {
            if *starts_run {
                listed.push(run(&format!("run-{number}"), 1, 0));
            }
            reports.repeat(&listed, *queued, REPORT_MS);
        }
        prop_assert!(reports.is_stalled());
    }
}
