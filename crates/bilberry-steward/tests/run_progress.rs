//! When a sidecar reports that its engine is stalled.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::ObservedRun;
use bilberry_core::SystemClock;
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
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

/// The timeout of waits in tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Longer than the time without progress after which an engine is stalled.
const LONG: Duration = Duration::from_millis(1_600);

/// An engine with a settable report.
#[derive(Debug, Clone)]
struct StubEngine {
    report: watch::Sender<EngineReport>,
}

impl Engine for StubEngine {
    async fn report(&self, _: ReportDetail) -> Result<EngineReport, EngineError> {
        Ok(self.report.borrow().clone())
    }

    async fn load(&self, _: &LoadOrder) -> Result<OrderReply, EngineError> {
        Ok(OrderReply::Accepted)
    }

    async fn cache_events(&self, _: u64) -> Result<CacheEvents, EngineError> {
        std::future::pending().await
    }

    async fn cache_listing(&self) -> Result<CacheListing, EngineError> {
        Ok(CacheListing::default())
    }
}

/// Returns a report of a run that has made this many events, with two queued requests.
fn report(events: u64) -> EngineReport {
    let run = ObservedRun { attempt: "a-1".into(), memory_tokens: 10, events };
    EngineReport { running: 1, queued: 2, runs: Some(vec![run]), ..Default::default() }
}

fn start_steward(engine: &StubEngine) -> watch::Receiver<EngineState> {
    let steward = Arc::new(EngineController::new(
        engine.clone(),
        SystemClock,
        "sidecar-0".to_string(),
        None,
        Arc::new(LatestWeights::default()),
        Arc::new(CacheView::new()),
    ));
    tokio::spawn(steward.clone().run());
    steward.state()
}

async fn wait_for_stalled(states: &mut watch::Receiver<EngineState>, stalled: bool) {
    let reported = |state: &EngineState| state.upstream.stalled == stalled;
    let found = timeout(WAIT_TIMEOUT, states.wait_for(reported)).await;
    found.expect("timed out").expect("the sender was dropped");
}

#[tokio::test]
async fn a_stall_is_reported_until_runs_progress() {
    let engine = StubEngine { report: watch::Sender::new(report(1)) };
    let mut states = start_steward(&engine);
    wait_for_stalled(&mut states, true).await;
    engine.report.send_replace(report(2));
    wait_for_stalled(&mut states, false).await;
}

#[tokio::test]
async fn an_engine_that_lists_no_runs_is_not_stalled() {
    // An older engine reports its queue without its runs.
    for runs in [None, Some(Vec::new())] {
        let unlisted = EngineReport { runs, ..report(1) };
        let engine = StubEngine { report: watch::Sender::new(unlisted) };
        let states = start_steward(&engine);
        sleep(LONG).await;
        assert!(!states.borrow().upstream.stalled);
    }
}

#[tokio::test]
async fn an_engine_that_loads_weights_is_not_stalled() {
    let loading = EngineReport { busy: true, ..report(1) };
    let engine = StubEngine { report: watch::Sender::new(loading) };
    let states = start_steward(&engine);
    sleep(LONG).await;
    assert!(!states.borrow().upstream.stalled);
}
