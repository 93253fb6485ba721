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
    let newest = LatestWeights::default();
    newest.record_version(MODEL, 3, clock.now());
    let steward = Arc::new(EngineController::new(
        engine.clone(),
        clock.clone(),
        "sidecar-0".to_string(),
        None,
        Arc::new(newest),
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
