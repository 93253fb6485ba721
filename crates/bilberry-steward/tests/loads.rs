//! When a steward orders its engine to load new weights.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_core::Clock;
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
use bilberry_wire::EntryNotice;
use bilberry_wire::ModelVersion;
use tokio::sync::watch;
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
}

impl Engine for StubEngine {
    async fn report(&self, _: ReportDetail) -> Result<EngineReport, EngineError> {
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
    let newest = Arc::new(LatestWeights::default());
    newest.record_version(MODEL, 3, clock.now());
    start_steward_with(engine, clock, newest)
}

fn start_steward_with(
    engine: &StubEngine,
    clock: &ManualClock,
    newest: Arc<LatestWeights>,
) -> watch::Receiver<EngineState> {
    let steward = Arc::new(EngineController::new(
        engine.clone(),
        clock.clone(),
        "sidecar-0".to_string(),
        None,
        newest,
        Arc::new(CacheView::new()),
    ));
    tokio::spawn(steward.clone().run());
    steward.state()
}

fn engine(queued: u64) -> StubEngine {
    StubEngine {
        report: watch::Sender::new(report(queued, 0)),
        orders: watch::Sender::new(0),
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

fn shares_parts(state: &EngineState) -> bool {
    state.upstream.sharing.is_some_and(|sharing| sharing.is_open)
}

/// Waits until a report with this number of runs has been processed.
async fn process_report(
    engine: &StubEngine,
    states: &mut watch::Receiver<EngineState>,
    running: u64,
) {
    engine.report.send_replace(report(0, running));
    wait_for(states, |state| state.upstream.running == running).await;
}

/// Guards against an order of the sidecar's earlier process that is carried out late.
#[tokio::test]
async fn a_restarted_sidecar_shares_no_parts_of_outdated_weights() {
    let clock = ManualClock::default();
    let engine = engine(0);
    let newest = Arc::new(LatestWeights::default());
    newest.record_listing();
    newest.record_version(MODEL, 3, clock.now());
    // The engine's turn is the last of many.
    let notice = EntryNotice { position: 99, servers: 100, ..EntryNotice::default() };
    newest.record_notice(&notice, clock.now());
    let mut states = start_steward_with(&engine, &clock, newest);
    process_report(&engine, &mut states, 1).await;
    process_report(&engine, &mut states, 2).await;
    assert!(!shares_parts(&states.borrow()));
    assert_eq!(*engine.orders.borrow(), 0, "the load is not due");
    let models = vec![ModelVersion { model: MODEL.to_string(), version: 3 }];
    engine.report.send_replace(EngineReport { models, ..report(0, 3) });
    wait_for(&mut states, shares_parts).await;
}

/// Guards against an earlier order for weights that the sidecar doesn't know yet.
#[tokio::test]
async fn a_restarted_sidecar_shares_no_parts_until_announcements_are_listed() {
    let clock = ManualClock::default();
    let engine = engine(0);
    let newest = Arc::new(LatestWeights::default());
    newest.record_version(MODEL, 2, clock.now());
    let mut states = start_steward_with(&engine, &clock, newest.clone());
    process_report(&engine, &mut states, 1).await;
    process_report(&engine, &mut states, 2).await;
    assert!(!shares_parts(&states.borrow()));
    newest.record_listing();
    wait_for(&mut states, shares_parts).await;
}
