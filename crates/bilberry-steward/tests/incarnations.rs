//! An engine that starts again under its identity, as its sidecar follows it.

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
use bilberry_steward::EngineReport;
use bilberry_steward::EngineSilent;
use bilberry_steward::EngineState;
use bilberry_steward::LoadOrder;
use bilberry_steward::Newest;
use bilberry_steward::OrderReply;
use bilberry_steward::Steward;
use bilberry_wire::CacheChange;
use bilberry_wire::ModelVersion;
use bilberry_wire::ReadingNotice;
use tokio::sync::broadcast::Receiver;
use tokio::sync::watch;
use tokio::time::timeout;

const MODEL: &str = "model-a";

/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(10);

/// An engine whose answers a test chooses.
#[derive(Debug, Clone)]
struct ChosenEngine {
    answers: watch::Sender<Answers>,
    orders: Arc<Mutex<Vec<LoadOrder>>>,
}

#[derive(Debug, Clone, Default)]
struct Answers {
    report: EngineReport,
    /// What the engine reports once it has accepted an order.
    after_order: Option<EngineReport>,
    listing: CacheListing,
    /// The answer to the question for events, which waits while there is none.
    events: Option<CacheEvents>,
}

impl ChosenEngine {
    fn new(answers: Answers) -> Self {
        Self { answers: watch::Sender::new(answers), orders: Arc::default() }
    }

    fn change(&self, change: impl FnOnce(&mut Answers)) {
        self.answers.send_modify(change);
    }
}

impl Engine for ChosenEngine {
    async fn report(&self) -> Result<EngineReport, EngineSilent> {
        Ok(self.answers.borrow().report.clone())
    }

    async fn load(&self, order: &LoadOrder) -> Result<OrderReply, EngineSilent> {
        self.orders.lock().unwrap().push(order.clone());
        self.change(|answers| {
            answers.report = answers.after_order.take().unwrap_or(answers.report.clone());
        });
        Ok(OrderReply::Accepted)
    }

    async fn cache_events(&self, _: u64) -> Result<CacheEvents, EngineSilent> {
        let mut answers = self.answers.subscribe();
        let answered = answers.wait_for(|answers| answers.events.is_some()).await;
        answered.map_err(|error| EngineSilent(error.to_string()))?;
        let mut taken = None;
        self.change(|answers| taken = answers.events.take());
        taken.ok_or_else(|| EngineSilent("taken by another question".to_string()))
    }

    async fn cache_listing(&self) -> Result<CacheListing, EngineSilent> {
        Ok(self.answers.borrow().listing.clone())
    }
}

fn start(born_ms: u64) -> Incarnation {
    Incarnation { born_at: UnixMs(born_ms) }
}

fn report(born_ms: u64, version: u64, orders: u64) -> EngineReport {
    EngineReport {
        models: vec![ModelVersion { model: MODEL.to_string(), version }],
        orders,
        incarnation: Some(start(born_ms)),
        ..EngineReport::default()
    }
}

fn part(part: u64) -> CachedPart {
    CachedPart { salt: String::new(), part, held: true }
}

fn listing(born_ms: Option<u64>, epoch: u64, parts: &[u64]) -> CacheListing {
    CacheListing {
        epoch,
        next: 0,
        parts: parts.iter().copied().map(part).collect(),
        incarnation: born_ms.map(start),
    }
}

/// Starts a sidecar's part that follows the engine.
fn follow(
    engine: &ChosenEngine,
    newest: Newest,
) -> Arc<Steward<ChosenEngine, BootClock>> {
    let cache = Arc::new(CacheView::new());
    let holder = "sidecar-0".to_string();
    let clock = BootClock::new();
    let newest = Arc::new(newest);
    let steward =
        Arc::new(Steward::new(engine.clone(), clock, holder, None, newest, cache));
    tokio::spawn(steward.clone().run());
    steward
}

async fn state_where(
    states: &mut watch::Receiver<EngineState>,
    suits: impl FnMut(&EngineState) -> bool,
) -> EngineState {
    let found = timeout(PATIENCE, states.wait_for(suits)).await;
    found.expect("it comes").expect("the sidecar runs").clone()
}

#[tokio::test]
async fn a_late_report_of_an_earlier_start_tells_nothing_of_the_present_one() {
    // Entries go on with the weights of the present start. What answers the sidecar
    // is the earlier one, on a connection from before; the present one has then not
    // answered, and counts as down if that lasts.
    let engine =
        ChosenEngine::new(Answers { report: report(2, 1, 0), ..Answers::default() });
    let steward = follow(&engine, Newest::default());
    let mut states = steward.state();
    state_where(&mut states, |state| state.upstream.born_ms == Some(2)).await;
    engine.change(|answers| answers.report = report(1, 7, 3));
    let state = state_where(&mut states, |state| !state.upstream.up).await;
    assert_eq!(state.upstream.born_ms, Some(2));
    assert_eq!(state.upstream.models[0].version, 1);
    engine.change(|answers| answers.report = report(2, 1, 0));
    state_where(&mut states, |state| state.upstream.up).await;
}

#[tokio::test]
async fn an_order_that_ended_with_its_start_is_no_load_and_the_next_names_its_count() {
    // The engine gets the weights by a second order. It restarts after it took the
    // first one, with other weights and no order counted. What it has then was not
    // loaded, so that how long loads take is not learnt from it.
    let newest = Newest::default();
    newest.hear(MODEL, 3, BootClock::new().now());
    let engine = ChosenEngine::new(Answers {
        report: report(1, 2, 5),
        after_order: Some(report(2, 3, 0)),
        ..Answers::default()
    });
    let steward = follow(&engine, newest);
    let mut states = steward.state();
    let again = |state: &EngineState| state.upstream.born_ms == Some(2);
    state_where(&mut states, again).await;
    let loads = steward.metrics.render();
    assert!(loads.contains("load_seconds_count 0"), "{loads}");
    engine.change(|answers| answers.report = report(3, 2, 0));
    let again = |state: &EngineState| state.upstream.born_ms == Some(3);
    state_where(&mut states, again).await;
    let mut answers = engine.answers.subscribe();
    let ordered = |_: &Answers| engine.orders.lock().unwrap().len() == 2;
    let ordered = timeout(PATIENCE, answers.wait_for(ordered)).await;
    ordered.expect("it comes").expect("the engine is there");
    let orders = engine.orders.lock().unwrap().clone();
    let named = orders.iter().map(|order| (order.expected_orders, order.incarnation));
    assert_eq!(named.collect::<Vec<_>>(), [(5, Some(start(1))), (0, Some(start(3)))]);
}

async fn next(changes: &mut Receiver<CacheChange>) -> CacheChange {
    let change = timeout(PATIENCE, changes.recv()).await;
    change.expect("it comes").expect("the view lives")
}

fn all(born_ms: u64, parts: &[u64]) -> CacheChange {
    CacheChange {
        reset: true,
        added: parts.iter().map(|&part| part_key("", part)).collect(),
        removed: Vec::new(),
        born_ms: Some(born_ms),
        reading: Vec::new(),
    }
}

#[tokio::test]
async fn events_of_an_earlier_start_bring_nothing_into_the_cache_of_the_next() {
    // Entries hear of an empty cache as soon as the restart is known, and then of
    // what the next start holds. A question for events waits from before; its answer
    // comes late and tells of the earlier start, by name or not.
    for tells_born in [true, false] {
        let told = |born_ms: u64| tells_born.then_some(born_ms);
        let engine = ChosenEngine::new(Answers {
            listing: listing(told(1), 7, &[1]),
            ..Answers::default()
        });
        let view = Arc::new(CacheView::new());
        view.enter(start(1));
        let (_, mut changes) = view.subscribe();
        tokio::spawn(view.clone().follow(engine.clone()));
        assert_eq!(next(&mut changes).await, all(1, &[1]));
        // A change that is taken in shows that the next question has been asked.
        let known = CacheEvents {
            epoch: 7,
            changes: vec![part(2)],
            incarnation: told(1).map(start),
            ..CacheEvents::default()
        };
        engine.change(|answers| answers.events = Some(known.clone()));
        assert_eq!(next(&mut changes).await.added, [part_key("", 2)]);
        let asked = || engine.answers.receiver_count() > 0;
        while !asked() {
            tokio::task::yield_now().await;
        }
        view.enter(start(2));
        assert_eq!(next(&mut changes).await, all(2, &[]));
        assert_eq!(view.epoch(), 0);
        engine.change(|answers| {
            answers.listing = listing(told(2), 9, &[3]);
            answers.events = Some(CacheEvents { changes: vec![part(5)], ..known });
        });
        assert_eq!(next(&mut changes).await, all(2, &[3]));
    }
}

#[tokio::test]
async fn a_cache_that_tells_of_a_later_start_first_is_followed_at_once() {
    // Entries hear what the next start holds. A store of kept prompts restarts, of
    // which no report tells; its own listing is the first word.
    let engine = ChosenEngine::new(Answers {
        listing: listing(Some(1), 7, &[1]),
        ..Answers::default()
    });
    let view = Arc::new(CacheView::new());
    let (_, mut changes) = view.subscribe();
    tokio::spawn(view.clone().follow(engine.clone()));
    assert_eq!(next(&mut changes).await, all(1, &[1]));
    engine.change(|answers| {
        answers.listing = listing(Some(2), 9, &[3]);
        answers.events =
            Some(CacheEvents { epoch: 9, gap: true, ..CacheEvents::default() });
    });
    assert_eq!(next(&mut changes).await, all(2, &[]));
    assert_eq!(next(&mut changes).await, all(2, &[3]));
}

#[tokio::test]
async fn what_an_entry_says_is_read_is_passed_on_for_the_same_start_alone() {
    // An entry has a part read and says so; its engine restarts before the word is here.
    // Passed on for the new start, it would have other entries fetch from an engine that
    // is empty. It is also not held: only the engine's own events say when a part ends.
    let view = CacheView::new();
    view.enter(Incarnation { born_at: UnixMs(2) });
    let (_, mut changes) = view.subscribe();
    let read = |born_ms| ReadingNotice {
        read: vec![7],
        born_ms: Some(born_ms),
        ..ReadingNotice::default()
    };
    view.pass_on(read(1));
    view.pass_on(read(2));
    let passed_on = next(&mut changes).await;
    assert_eq!((passed_on.added, passed_on.born_ms), (vec![7], Some(2)));
    assert!(changes.is_empty());
    assert_eq!(view.subscribe().0.added, Vec::<u64>::new());
}
