//! When a steward orders its engine to load new weights.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Incarnation;
use bilberry_core::ObservedRun;
use bilberry_core::UnixMs;
use bilberry_steward::CacheEvents;
use bilberry_steward::CacheListing;
use bilberry_steward::CacheView;
use bilberry_steward::Engine;
use bilberry_steward::EngineController;
use bilberry_steward::EngineError;
use bilberry_steward::EngineReport;
use bilberry_steward::EngineState;
use bilberry_steward::LatestWeights;
use bilberry_steward::LoadOrder;
use bilberry_steward::OrderReply;
use bilberry_steward::ReportDetail;
use bilberry_wire::ModelVersion;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

const MODEL: &str = "model-a";

/// The timeout of waits in tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A clock that tests advance.
#[derive(Debug, Clone, Default)]
struct ManualClock(Arc<AtomicU64>);

impl Clock for ManualClock {
    fn now(&self) -> UnixMs {
        UnixMs(self.0.load(Ordering::Relaxed))
    }
}

/// An engine with a settable report that counts its orders.
#[derive(Debug, Clone)]
struct StubEngine {
    report: watch::Sender<EngineReport>,
    orders: watch::Sender<usize>,
    /// Advances a clock and replaces the report at the next poll.
    next: Arc<Mutex<Option<(ManualClock, u64, EngineReport)>>>,
    is_silent: Arc<AtomicBool>,
}

impl Engine for StubEngine {
    async fn report(&self, _: ReportDetail) -> Result<EngineReport, EngineError> {
        if self.is_silent.load(Ordering::Relaxed) {
            return Err(EngineError("silent".to_string()));
        }
        if let Some((clock, ms, report)) = self.next.lock().unwrap().take() {
            clock.0.fetch_add(ms, Ordering::Relaxed);
            self.report.send_replace(report);
        }
        Ok(self.report.borrow().clone())
    }

    async fn load(&self, _: &LoadOrder) -> Result<OrderReply, EngineError> {
        self.orders.send_modify(|orders| *orders += 1);
        Ok(OrderReply::Accepted)
    }

    async fn cache_events(&self, _: u64) -> Result<CacheEvents, EngineError> {
        std::future::pending().await
    }

    async fn cache_listing(&self) -> Result<CacheListing, EngineError> {
        Ok(CacheListing::default())
    }
}

fn report(queued: u64, running: u64) -> EngineReport {
    EngineReport {
        models: vec![ModelVersion { model: MODEL.to_string(), version: 2 }],
        queued,
        running,
        ..EngineReport::default()
    }
}

/// Starts a steward for an engine that lacks weights announced at the clock's time.
fn start_steward(
    engine: &StubEngine,
    clock: &ManualClock,
) -> watch::Receiver<EngineState> {
    let newest = LatestWeights::default();
    newest.record_version(MODEL, 3, clock.now());
    let steward = new_steward(engine, clock, Arc::new(newest));
    tokio::spawn(steward.clone().run());
    steward.state()
}

fn new_steward(
    engine: &StubEngine,
    clock: &ManualClock,
    newest: Arc<LatestWeights>,
) -> Arc<EngineController<StubEngine, ManualClock>> {
    Arc::new(EngineController::new(
        engine.clone(),
        clock.clone(),
        "sidecar-0".to_string(),
        None,
        newest,
        Arc::new(CacheView::new()),
    ))
}

fn engine(queued: u64) -> StubEngine {
    StubEngine {
        report: watch::Sender::new(report(queued, 0)),
        orders: watch::Sender::new(0),
        next: Arc::default(),
        is_silent: Arc::default(),
    }
}

async fn wait_for<T>(values: &mut watch::Receiver<T>, condition: impl FnMut(&T) -> bool) {
    let found = timeout(WAIT_TIMEOUT, values.wait_for(condition)).await;
    found.expect("timed out").expect("the sender was dropped");
}

#[tokio::test]
async fn a_load_waits_until_the_engine_queue_is_empty() {
    // New weights are announced under full load, and the load becomes due while requests
    // are queued for prefill. Loading then would reject them. Entries see the engine as
    // loading, and the order is sent once the last queued request has started.
    let clock = ManualClock::default();
    let engine = engine(3);
    let mut states = start_steward(&engine, &clock);
    wait_for(&mut states, |state| state.upstream.loading).await;
    // When a later report is visible, the first one has been processed without an order.
    engine.report.send_replace(report(3, 7));
    wait_for(&mut states, |state| state.upstream.running == 7).await;
    assert_eq!(*engine.orders.borrow(), 0);
    engine.report.send_replace(report(0, 7));
    wait_for(&mut engine.orders.subscribe(), |&orders| orders > 0).await;
}

#[tokio::test]
async fn a_load_starts_eventually_if_the_engine_queue_never_empties() {
    // Without a limit on the wait, the engine's weights would become too old to serve, and
    // it would receive no requests at all.
    let clock = ManualClock::default();
    let engine = engine(3);
    let mut states = start_steward(&engine, &clock);
    wait_for(&mut states, |state| state.upstream.loading).await;
    assert_eq!(*engine.orders.borrow(), 0);
    clock.0.fetch_add(2_000, Ordering::Relaxed);
    wait_for(&mut engine.orders.subscribe(), |&orders| orders > 0).await;
}

/// A report of an engine with much free memory and these runs, by attempt and events.
fn report_with_runs(runs: &[(&str, u64)]) -> EngineReport {
    let run = |&(attempt, events): &(&str, u64)| ObservedRun {
        attempt: attempt.into(),
        memory_tokens: 10,
        events,
    };
    EngineReport {
        used_tokens: 20,
        total_tokens: 1_000,
        incarnation: Some(Incarnation { started_at: UnixMs(1) }),
        runs: Some(runs.iter().map(run).collect()),
        ..report(0, 0)
    }
}

/// A sidecar whose engine runs streams of some 40 events of 20 ms.
struct Window {
    engine: StubEngine,
    clock: ManualClock,
    newest: Arc<LatestWeights>,
    steward: Arc<EngineController<StubEngine, ManualClock>>,
    states: watch::Receiver<EngineState>,
    task: JoinHandle<()>,
    reports: u64,
}

impl Window {
    /// Lets a stream end, and announces weights while two others are in progress.
    async fn open() -> Self {
        let (engine, clock) = (engine(0), ManualClock::default());
        let newest = Arc::new(LatestWeights::default());
        let steward = new_steward(&engine, &clock, newest.clone());
        let states = steward.state();
        let task = tokio::spawn(steward.clone().run());
        let mut window =
            Self { engine, clock, newest, steward, states, task, reports: 0 };
        window.report_after(100, report_with_runs(&[("ended", 1)])).await;
        window.report_after(400, report_with_runs(&[("ended", 21)])).await;
        window.report_after(400, report_with_runs(&[("ended", 40)])).await;
        window.report_after(2_000, report_with_runs(&[])).await;
        window.report_after(200, report_with_runs(&[("a", 10), ("b", 10)])).await;
        window.newest.record_version(MODEL, 3, window.clock.now());
        window.report_after(100, report_with_runs(&[("a", 15), ("b", 15)])).await;
        window.report_after(100, report_with_runs(&[("a", 20), ("b", 20)])).await;
        assert_eq!(window.orders(), 0, "the load did not wait");
        assert!(window.states.borrow().upstream.loading);
        window
    }

    /// Advances the clock and waits until a report is published, after which any order of
    /// the report before has been sent.
    async fn report_after(&mut self, ms: u64, report: EngineReport) {
        self.reports += 1;
        let used_tokens = report.used_tokens + self.reports;
        let report = EngineReport { used_tokens, ..report };
        *self.engine.next.lock().unwrap() = Some((self.clock.clone(), ms, report));
        let is_published =
            |state: &EngineState| state.upstream.used_tokens == used_tokens;
        wait_for(&mut self.states, is_published).await;
    }

    async fn wait_for_order(&self) {
        wait_for(&mut self.engine.orders.subscribe(), |&orders| orders > 0).await;
    }

    fn orders(&self) -> usize {
        *self.engine.orders.borrow()
    }
}

#[tokio::test]
async fn a_load_starts_at_the_end_of_its_window_though_runs_go_on() {
    // Without a limit, long streams would keep the engine closed and its weights old.
    let mut window = Window::open().await;
    window.report_after(500, report_with_runs(&[("a", 39), ("b", 39)])).await;
    window.report_after(1, report_with_runs(&[("a", 39), ("b", 39)])).await;
    assert_eq!(window.orders(), 0);
    window.report_after(500, report_with_runs(&[("a", 64), ("b", 64)])).await;
    window.wait_for_order().await;
    let metrics = window.steward.metrics.render();
    let halted = "bilberry_halted_runs_total{phase=\"decode\"} 2";
    assert!(metrics.contains(halted), "{metrics}");
}

#[tokio::test]
async fn a_load_starts_when_its_runs_have_ended() {
    let mut window = Window::open().await;
    window.report_after(300, report_with_runs(&[])).await;
    window.wait_for_order().await;
}

#[tokio::test]
async fn a_load_does_not_wait_if_the_report_has_no_runs_any_more() {
    // Entries stop observing runs within the window.
    let mut window = Window::open().await;
    let report = report_with_runs(&[]);
    window.report_after(100, EngineReport { runs: None, ..report }).await;
    window.wait_for_order().await;
}

#[tokio::test]
async fn a_load_starts_after_its_window_if_reports_were_lost_meanwhile() {
    let mut window = Window::open().await;
    window.engine.is_silent.store(true, Ordering::Relaxed);
    wait_for(&mut window.states, |state| !state.upstream.up).await;
    window.clock.0.fetch_add(1_000, Ordering::Relaxed);
    assert_eq!(window.orders(), 0);
    window.engine.is_silent.store(false, Ordering::Relaxed);
    window.report_after(0, report_with_runs(&[("a", 30), ("b", 30)])).await;
    window.wait_for_order().await;
}

#[tokio::test]
async fn a_load_does_not_wait_for_runs_of_an_engine_that_restarts_in_its_window() {
    // The window and the lengths of runs are those of the previous incarnation.
    let mut window = Window::open().await;
    let incarnation = Some(Incarnation { started_at: window.clock.now() });
    let report = report_with_runs(&[("c", 5)]);
    window.report_after(100, EngineReport { incarnation, ..report }).await;
    window.wait_for_order().await;
}

#[tokio::test]
async fn a_load_does_not_wait_for_longer_after_the_sidecar_restarts_in_its_window() {
    let window = Window::open().await;
    window.task.abort();
    let steward = new_steward(&window.engine, &window.clock, window.newest.clone());
    tokio::spawn(steward.run());
    window.wait_for_order().await;
}
