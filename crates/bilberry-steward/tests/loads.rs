//! When an engine is ordered to load new weights.

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
use bilberry_steward::EngineReport;
use bilberry_steward::EngineSilent;
use bilberry_steward::EngineState;
use bilberry_steward::LoadOrder;
use bilberry_steward::Newest;
use bilberry_steward::OrderReply;
use bilberry_steward::Steward;
use bilberry_wire::ModelVersion;
use tokio::sync::watch;
use tokio::time::timeout;

const MODEL: &str = "model-a";

/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(10);

/// A clock that a test moves.
#[derive(Debug, Clone, Default)]
struct MovedClock(Arc<AtomicU64>);

impl Clock for MovedClock {
    fn now(&self) -> UnixMs {
        UnixMs(self.0.load(Ordering::Relaxed))
    }
}

/// An engine whose report a test chooses.
#[derive(Debug, Clone)]
struct BusyEngine {
    report: watch::Sender<EngineReport>,
    orders: watch::Sender<usize>,
}

impl Engine for BusyEngine {
    async fn report(&self) -> Result<EngineReport, EngineSilent> {
        Ok(self.report.borrow().clone())
    }

    async fn load(&self, _: &LoadOrder) -> Result<OrderReply, EngineSilent> {
        self.orders.send_modify(|orders| *orders += 1);
        Ok(OrderReply::Accepted)
    }

    async fn cache_events(&self, _: u64) -> Result<CacheEvents, EngineSilent> {
        std::future::pending().await
    }

    async fn cache_listing(&self) -> Result<CacheListing, EngineSilent> {
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

/// Follows an engine that lacks weights named at the clock's time.
fn follow(engine: &BusyEngine, clock: &MovedClock) -> watch::Receiver<EngineState> {
    let newest = Newest::default();
    newest.hear(MODEL, 3, clock.now());
    let steward = Arc::new(Steward::new(
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

fn engine(queued: u64) -> BusyEngine {
    BusyEngine {
        report: watch::Sender::new(report(queued, 0)),
        orders: watch::Sender::new(0),
    }
}

async fn wait_for<T>(values: &mut watch::Receiver<T>, suits: impl FnMut(&T) -> bool) {
    let found = timeout(PATIENCE, values.wait_for(suits)).await;
    found.expect("it comes").expect("its sender lives");
}

#[tokio::test]
async fn what_waits_at_an_engine_is_worked_off_before_it_loads() {
    // New weights are named under full load. The engine's turn comes while requests wait
    // there to be read; the load would throw them back. Entries hear that it takes
    // nothing new, and the order follows when the last of them has begun.
    let clock = MovedClock::default();
    let engine = engine(3);
    let mut states = follow(&engine, &clock);
    wait_for(&mut states, |state| state.upstream.loading).await;
    // A later report shows that the first one led to no order.
    engine.report.send_replace(report(3, 7));
    wait_for(&mut states, |state| state.upstream.running == 7).await;
    assert_eq!(*engine.orders.borrow(), 0);
    engine.report.send_replace(report(0, 7));
    wait_for(&mut engine.orders.subscribe(), |&orders| orders > 0).await;
}

#[tokio::test]
async fn an_engine_that_never_gets_done_loads_all_the_same() {
    // The engine's queue never empties. Its weights would be barred in the end, and it
    // would serve nobody.
    let clock = MovedClock::default();
    let engine = engine(3);
    let mut states = follow(&engine, &clock);
    wait_for(&mut states, |state| state.upstream.loading).await;
    assert_eq!(*engine.orders.borrow(), 0);
    clock.0.fetch_add(2_000, Ordering::Relaxed);
    wait_for(&mut engine.orders.subscribe(), |&orders| orders > 0).await;
}
