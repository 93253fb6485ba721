//! How a sidecar measures the pace of its engine and publishes it.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_core::BootClock;
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
use bilberry_steward::LatestWeights;
use bilberry_steward::LoadOrder;
use bilberry_steward::OrderReply;
use bilberry_steward::ReportDetail;
use tokio::time::sleep;
use tokio::time::timeout;

/// The time between two events of a run, in milliseconds.
const EVENT_MS: u64 = 20;

/// An engine that generates one answer without end.
#[derive(Debug, Clone)]
struct DecodingEngine {
    clock: BootClock,
    behaviour: Arc<Mutex<Behaviour>>,
}

#[derive(Debug, Clone, Copy)]
struct Behaviour {
    started_at: UnixMs,
    lists_runs: bool,
    responds: bool,
}

impl DecodingEngine {
    fn new() -> Self {
        let clock = BootClock::new();
        let behaviour =
            Behaviour { started_at: clock.now(), lists_runs: true, responds: true };
        Self { clock, behaviour: Arc::new(Mutex::new(behaviour)) }
    }

    fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.behaviour.lock().unwrap());
    }
}

impl Engine for DecodingEngine {
    async fn report(&self, _: ReportDetail) -> Result<EngineReport, EngineError> {
        let behaviour = *self.behaviour.lock().unwrap();
        if !behaviour.responds {
            return Err(EngineError("down".to_string()));
        }
        let run = || ObservedRun {
            attempt: "a".into(),
            memory_tokens: 1_000,
            events: 1 + self.clock.now().ms_since(behaviour.started_at) / EVENT_MS,
        };
        Ok(EngineReport {
            running: 1,
            incarnation: Some(Incarnation { started_at: behaviour.started_at }),
            runs: behaviour.lists_runs.then(|| vec![run()]),
            ..EngineReport::default()
        })
    }

    async fn load(&self, _: &LoadOrder) -> Result<OrderReply, EngineError> {
        Ok(OrderReply::AlreadyApplied)
    }

    async fn cache_events(&self, _: u64) -> Result<CacheEvents, EngineError> {
        std::future::pending().await
    }

    async fn cache_listing(&self) -> Result<CacheListing, EngineError> {
        Ok(CacheListing::default())
    }
}

fn start_steward(
    engine: &DecodingEngine,
) -> Arc<EngineController<DecodingEngine, BootClock>> {
    let steward = Arc::new(EngineController::new(
        engine.clone(),
        engine.clock,
        "sidecar-0".to_string(),
        None,
        Arc::new(LatestWeights::default()),
        Arc::new(CacheView::new()),
    ));
    tokio::spawn(steward.clone().run());
    steward
}

/// Waits until a condition on the published time per event holds, and returns that time.
async fn wait_for_event_us(
    steward: &EngineController<DecodingEngine, BootClock>,
    condition: impl Fn(Option<u64>) -> bool,
) -> Option<u64> {
    let wait = async {
        loop {
            let published = steward.state().borrow().upstream.pace;
            let event_us = published.map(|pace| pace.output_token_us);
            if condition(event_us) {
                return event_us;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(10), wait).await.expect("timed out")
}

#[tokio::test]
async fn the_pace_is_published_without_a_notification() {
    // Guards against ten messages a second to all entries that only update the pace.
    let engine = DecodingEngine::new();
    engine.change(|behaviour| behaviour.lists_runs = false);
    let steward = start_steward(&engine);
    let mut states = steward.state();
    let up = states.wait_for(|state| state.upstream.started_at_ms.is_some()).await;
    assert_eq!(up.expect("the steward was dropped").upstream.pace, None);
    states.mark_unchanged();
    engine.change(|behaviour| behaviour.lists_runs = true);
    let event_us = wait_for_event_us(&steward, |event_us| event_us.is_some()).await;
    let expected_us = EVENT_MS * 1_000;
    let event_us = event_us.unwrap_or_default();
    assert!((expected_us / 2..expected_us * 2).contains(&event_us), "{event_us}");
    assert!(!states.has_changed().expect("the steward was dropped"));
    let metrics = steward.metrics.render();
    assert!(metrics.contains("bilberry_event_us"), "{metrics}");
}

#[tokio::test]
async fn an_engine_that_is_down_or_has_restarted_has_no_pace() {
    // Guards against predictions from the pace before a crash.
    let engine = DecodingEngine::new();
    let steward = start_steward(&engine);
    wait_for_event_us(&steward, |event_us| event_us.is_some()).await;
    engine.change(|behaviour| {
        behaviour.started_at = engine.clock.now();
        behaviour.lists_runs = false;
    });
    wait_for_event_us(&steward, |event_us| event_us.is_none()).await;
    engine.change(|behaviour| behaviour.lists_runs = true);
    wait_for_event_us(&steward, |event_us| event_us.is_some()).await;
    engine.change(|behaviour| behaviour.responds = false);
    wait_for_event_us(&steward, |event_us| event_us.is_none()).await;
    assert!(!steward.state().borrow().upstream.up);
}
