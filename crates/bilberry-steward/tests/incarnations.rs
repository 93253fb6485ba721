//! How a sidecar follows an engine that restarts under the same identity.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_core::BootClock;
use bilberry_core::Clock;
use bilberry_core::Incarnation;
use bilberry_core::UnixMs;
use bilberry_core::part_key;
use bilberry_steward::CacheEvents;
use bilberry_steward::CacheListing;
use bilberry_steward::CacheView;
use bilberry_steward::CachedPart;
use bilberry_steward::Engine;
use bilberry_steward::EngineController;
use bilberry_steward::EngineError;
use bilberry_steward::EngineReport;
use bilberry_steward::EngineState;
use bilberry_steward::LatestWeights;
use bilberry_steward::LoadOrder;
use bilberry_steward::OrderReply;
use bilberry_steward::ReportDetail;
use bilberry_wire::CacheChange;
use bilberry_wire::ModelVersion;
use bilberry_wire::ReadingNotice;
use tokio::sync::broadcast::Receiver;
use tokio::sync::watch;
use tokio::time::timeout;

const MODEL: &str = "model-a";

/// The timeout of waits in tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// An engine that gives the answers of a test and records its orders.
#[derive(Debug, Clone)]
struct ScriptedEngine {
    answers: watch::Sender<Answers>,
    orders: Arc<Mutex<Vec<LoadOrder>>>,
}

#[derive(Debug, Clone, Default)]
struct Answers {
    report: EngineReport,
    /// The report after the engine has accepted an order.
    after_order: Option<EngineReport>,
    listing: CacheListing,
    /// The answer to a request for events, which waits until there is one.
    events: Option<CacheEvents>,
}

impl ScriptedEngine {
    fn new(answers: Answers) -> Self {
        Self { answers: watch::Sender::new(answers), orders: Arc::default() }
    }

    fn change(&self, change: impl FnOnce(&mut Answers)) {
        self.answers.send_modify(change);
    }
}

impl Engine for ScriptedEngine {
    async fn report(&self, _: ReportDetail) -> Result<EngineReport, EngineError> {
        Ok(self.answers.borrow().report.clone())
    }

    async fn load(&self, order: &LoadOrder) -> Result<OrderReply, EngineError> {
        self.orders.lock().unwrap().push(order.clone());
        self.change(|answers| {
            answers.report = answers.after_order.take().unwrap_or(answers.report.clone());
        });
        Ok(OrderReply::Accepted)
    }

    async fn cache_events(&self, _: u64) -> Result<CacheEvents, EngineError> {
        let mut answers = self.answers.subscribe();
        let answered = answers.wait_for(|answers| answers.events.is_some()).await;
        answered.map_err(|error| EngineError(error.to_string()))?;
        let mut taken = None;
        self.change(|answers| taken = answers.events.take());
        taken.ok_or_else(|| EngineError("taken by another request".to_string()))
    }

    async fn cache_listing(&self) -> Result<CacheListing, EngineError> {
        Ok(self.answers.borrow().listing.clone())
    }
}

fn incarnation(started_at_ms: u64) -> Incarnation {
    Incarnation { started_at: UnixMs(started_at_ms) }
}

fn report(started_at_ms: u64, version: u64, orders: u64) -> EngineReport {
    EngineReport {
        models: vec![ModelVersion { model: MODEL.to_string(), version }],
        orders,
        incarnation: Some(incarnation(started_at_ms)),
        ..EngineReport::default()
    }
}

fn part(part: u64) -> CachedPart {
    CachedPart { salt: String::new(), part, is_cached: true }
}

fn listing(started_at_ms: Option<u64>, epoch: u64, parts: &[u64]) -> CacheListing {
    CacheListing {
        epoch,
        next: 0,
        parts: parts.iter().copied().map(part).collect(),
        incarnation: started_at_ms.map(incarnation),
    }
}

/// Starts a steward for an engine.
fn start_steward(
    engine: &ScriptedEngine,
    newest: LatestWeights,
) -> Arc<EngineController<ScriptedEngine, BootClock>> {
    let cache = Arc::new(CacheView::new());
    let holder = "sidecar-0".to_string();
    let clock = BootClock::new();
    let newest = Arc::new(newest);
    let steward = Arc::new(EngineController::new(
        engine.clone(),
        clock,
        holder,
        None,
        newest,
        cache,
    ));
    tokio::spawn(steward.clone().run());
    steward
}

async fn wait_for_state(
    states: &mut watch::Receiver<EngineState>,
    condition: impl FnMut(&EngineState) -> bool,
) -> EngineState {
    let found = timeout(WAIT_TIMEOUT, states.wait_for(condition)).await;
    found.expect("timed out").expect("the steward was dropped").clone()
}

#[tokio::test]
async fn a_late_report_of_an_earlier_incarnation_is_ignored() {
    // The earlier incarnation responds over a connection that predates the restart. Entries
    // must keep the weights of the current one, which has not responded and counts as down
    // if that persists.
    let engine =
        ScriptedEngine::new(Answers { report: report(2, 1, 0), ..Answers::default() });
    let steward = start_steward(&engine, LatestWeights::default());
    let mut states = steward.state();
    wait_for_state(&mut states, |state| state.upstream.started_at_ms == Some(2)).await;
    engine.change(|answers| answers.report = report(1, 7, 3));
    let state = wait_for_state(&mut states, |state| !state.upstream.up).await;
    assert_eq!(state.upstream.started_at_ms, Some(2));
    assert_eq!(state.upstream.models[0].version, 1);
    engine.change(|answers| answers.report = report(2, 1, 0));
    wait_for_state(&mut states, |state| state.upstream.up).await;
}

#[tokio::test]
async fn an_order_lost_in_a_restart_is_not_measured_and_is_sent_again() {
    // The engine restarts after it accepted an order, with the newest weights and a count
    // of zero. These weights were not loaded by the order, so they must not count as a
    // measured load. After another restart with old weights, a second order must carry the
    // new incarnation and its order count.
    let newest = LatestWeights::default();
    newest.record_version(MODEL, 3, BootClock::new().now());
    let engine = ScriptedEngine::new(Answers {
        report: report(1, 2, 5),
        after_order: Some(report(2, 3, 0)),
        ..Answers::default()
    });
    let steward = start_steward(&engine, newest);
    let mut states = steward.state();
    let restarted = |state: &EngineState| state.upstream.started_at_ms == Some(2);
    wait_for_state(&mut states, restarted).await;
    let metrics = steward.metrics.render();
    assert!(metrics.contains("load_seconds_count 0"), "{metrics}");
    engine.change(|answers| answers.report = report(3, 2, 0));
    let restarted = |state: &EngineState| state.upstream.started_at_ms == Some(3);
    wait_for_state(&mut states, restarted).await;
    let mut answers = engine.answers.subscribe();
    let ordered = |_: &Answers| engine.orders.lock().unwrap().len() == 2;
    let ordered = timeout(WAIT_TIMEOUT, answers.wait_for(ordered)).await;
    ordered.expect("timed out").expect("the engine was dropped");
    let orders = engine.orders.lock().unwrap().clone();
    let sent = orders.iter().map(|order| (order.expected_orders, order.incarnation));
    assert_eq!(
        sent.collect::<Vec<_>>(),
        [(5, Some(incarnation(1))), (0, Some(incarnation(3)))]
    );
}

async fn next(changes: &mut Receiver<CacheChange>) -> CacheChange {
    let change = timeout(WAIT_TIMEOUT, changes.recv()).await;
    change.expect("timed out").expect("the view was dropped")
}

fn snapshot(started_at_ms: u64, parts: &[u64]) -> CacheChange {
    CacheChange {
        reset: true,
        added: parts.iter().map(|&part| part_key("", part)).collect(),
        removed: Vec::new(),
        started_at_ms: Some(started_at_ms),
        reading: Vec::new(),
    }
}

#[tokio::test]
async fn late_cache_events_of_an_earlier_incarnation_are_ignored() {
    // A request for events is pending during a restart, and its late answer describes the
    // earlier incarnation, whether or not it says so. Entries must receive an empty cache
    // once the restart is known, and then only the contents of the new incarnation.
    for reports_incarnation in [true, false] {
        let born = |started_at_ms: u64| reports_incarnation.then_some(started_at_ms);
        let engine = ScriptedEngine::new(Answers {
            listing: listing(born(1), 7, &[1]),
            ..Answers::default()
        });
        let view = Arc::new(CacheView::new());
        view.observe_incarnation(incarnation(1));
        let (_, mut changes) = view.subscribe();
        tokio::spawn(view.clone().follow(engine.clone()));
        assert_eq!(next(&mut changes).await, snapshot(1, &[1]));
        // Once a change is applied, the next request follows.
        let known = CacheEvents {
            epoch: 7,
            changes: vec![part(2)],
            incarnation: born(1).map(incarnation),
            ..CacheEvents::default()
        };
        engine.change(|answers| answers.events = Some(known.clone()));
        assert_eq!(next(&mut changes).await.added, [part_key("", 2)]);
        let is_requested = || engine.answers.receiver_count() > 0;
        while !is_requested() {
            tokio::task::yield_now().await;
        }
        view.observe_incarnation(incarnation(2));
        assert_eq!(next(&mut changes).await, snapshot(2, &[]));
        assert_eq!(view.epoch(), 0);
        engine.change(|answers| {
            answers.listing = listing(born(2), 9, &[3]);
            answers.events = Some(CacheEvents { changes: vec![part(5)], ..known });
        });
        assert_eq!(next(&mut changes).await, snapshot(2, &[3]));
    }
}

#[tokio::test]
async fn a_listing_can_be_the_first_report_of_a_new_incarnation() {
    // Prompt stores have no status reports, so the listing is the first sign of a restart.
    // Entries must receive the contents of the new incarnation.
    let engine = ScriptedEngine::new(Answers {
        listing: listing(Some(1), 7, &[1]),
        ..Answers::default()
    });
    let view = Arc::new(CacheView::new());
    let (_, mut changes) = view.subscribe();
    tokio::spawn(view.clone().follow(engine.clone()));
    assert_eq!(next(&mut changes).await, snapshot(1, &[1]));
    engine.change(|answers| {
        answers.listing = listing(Some(2), 9, &[3]);
        answers.events =
            Some(CacheEvents { epoch: 9, gap: true, ..CacheEvents::default() });
    });
    assert_eq!(next(&mut changes).await, snapshot(2, &[]));
    assert_eq!(next(&mut changes).await, snapshot(2, &[3]));
}

#[tokio::test]
async fn reading_notices_are_forwarded_only_for_the_current_incarnation() {
    // An engine restarts before an entry's notice of a part that it read arrives. Forwarded
    // for the new incarnation, the notice would make other entries fetch from an engine
    // whose cache is empty. Notices must not change the cache contents either, as only the
    // engine's own events report removals.
    let view = CacheView::new();
    view.observe_incarnation(Incarnation { started_at: UnixMs(2) });
    let (_, mut changes) = view.subscribe();
    let notice = |started_at_ms| ReadingNotice {
        read: vec![7],
        started_at_ms: Some(started_at_ms),
        ..ReadingNotice::default()
    };
    view.forward_reading(notice(1));
    view.forward_reading(notice(2));
    let forwarded = next(&mut changes).await;
    assert_eq!((forwarded.added, forwarded.started_at_ms), (vec![7], Some(2)));
    assert!(changes.is_empty());
    assert_eq!(view.subscribe().0.added, Vec::<u64>::new());
}
