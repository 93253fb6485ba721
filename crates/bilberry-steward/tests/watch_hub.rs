//! One watch of the store that many entries share.

use std::sync::Arc;
use std::sync::Mutex;

use bilberry_core::Clock;
use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_steward::SourceAnswer;
use bilberry_steward::SourceLost;
use bilberry_steward::WatchHub;
use bilberry_steward::WatchSource;
use bilberry_wire::WatchAnswer;
use bilberry_wire::WatchAsk;
use bilberry_wire::WatchOutcome;
use bytes::Bytes;
use tokio::sync::Mutex as AsyncMutex;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

type Answer = Result<SourceAnswer, SourceLost>;

/// A store that answers when and what a test says.
#[derive(Clone)]
struct Source {
    calls: Arc<Mutex<Vec<(String, u64, u64)>>>,
    answers: Arc<AsyncMutex<mpsc::UnboundedReceiver<Answer>>>,
}

impl WatchSource for Source {
    async fn watch(&self, kind: &str, revision: u64, wait_ms: u64) -> Answer {
        self.calls.lock().unwrap().push((kind.to_string(), revision, wait_ms));
        match self.answers.lock().await.recv().await {
            Some(answer) => answer,
            None => std::future::pending().await,
        }
    }
}

/// A clock that stands still, so that what an answer proves is known to the millisecond.
#[derive(Debug, Copy, Clone)]
struct StillClock;

impl Clock for StillClock {
    fn now(&self) -> UnixMs {
        UnixMs(1_000_000)
    }
}

/// A hub and the store behind it.
struct Fixture {
    source: Source,
    store: mpsc::UnboundedSender<Answer>,
    hub: Arc<WatchHub<Source, StillClock>>,
}

impl Fixture {
    fn new() -> Self {
        let (store, answers) = mpsc::unbounded_channel();
        let source =
            Source { calls: Arc::default(), answers: Arc::new(AsyncMutex::new(answers)) };
        let hub = Arc::new(WatchHub::new(source.clone(), StillClock));
        Self { source, store, hub }
    }

    /// Asks, and waits until the hub has the question.
    async fn ask(&self, revision: u64) -> JoinHandle<WatchAnswer> {
        self.ask_from(at(None, revision)).await
    }

    /// Asks from a position, and waits until the hub has the question.
    async fn ask_from(&self, position: StorePosition) -> JoinHandle<WatchAnswer> {
        let StorePosition { era, revision } = position;
        let ask = WatchAsk {
            kind: "config".to_string(),
            revision,
            wait_ms: 1_000,
            spacing_ms: 0,
            era,
        };
        let asking = tokio::spawn(self.hub.clone().answer(ask));
        tokio::task::yield_now().await;
        asking
    }

    fn says(&self, answer: Answer) {
        self.store.send(answer).expect("the hub lives");
    }

    fn calls(&self) -> Vec<(String, u64, u64)> {
        self.source.calls.lock().unwrap().clone()
    }
}

fn at(era: Option<u64>, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

fn news(revision: u64, changes: &'static str) -> Answer {
    news_to(at(None, revision), changes)
}

fn news_to(position: StorePosition, changes: &'static str) -> Answer {
    Ok(SourceAnswer::News { position, changes: Bytes::from_static(changes.as_bytes()) })
}

fn quiet(revision: u64) -> Answer {
    Ok(SourceAnswer::Quiet(at(None, revision)))
}

async fn answered(asking: JoinHandle<WatchAnswer>) -> WatchAnswer {
    asking.await.expect("the hub answers")
}

#[tokio::test]
async fn many_who_ask_cost_one_call() {
    // Each caller's entry hears of the change. Twenty entries ask one hub; the store,
    // which others use too, is asked once for all of them.
    let fixture = Fixture::new();
    let mut asking = Vec::new();
    for _ in 0..20 {
        asking.push(fixture.ask(7).await);
    }
    assert_eq!(fixture.calls(), [("config".to_string(), 7, 1_000)]);
    fixture.says(news(9, "changes"));
    for asking in asking {
        let answer = answered(asking).await;
        assert_eq!(answer.outcome(), WatchOutcome::News);
        assert_eq!((answer.revision, answer.news.as_ref()), (9, &b"changes"[..]));
        // The call was made just as the question came, so the news proves nothing about
        // any later moment.
        assert_eq!(answer.known_ms, 0);
    }
}

#[tokio::test]
async fn an_entry_that_lags_is_sent_to_the_store() {
    // Its callers would else miss a change for good: it was told to others before.
    let fixture = Fixture::new();
    let first = fixture.ask(7).await;
    fixture.says(news(9, "changes"));
    answered(first).await;
    let behind = answered(fixture.ask(8).await).await;
    assert_eq!(behind.outcome(), WatchOutcome::OutOfStep);
    let in_step = fixture.ask(9).await;
    fixture.says(quiet(12));
    let answer = answered(in_step).await;
    assert_eq!((answer.outcome(), answer.revision), (WatchOutcome::Quiet, 12));
}

#[tokio::test]
async fn a_hub_without_the_store_says_so_at_once() {
    // An entry that is not cut off itself asks the store then, and serves its callers
    // on. The hub's first call fails; who asks after that is not kept waiting.
    let fixture = Fixture::new();
    let waiting = fixture.ask(7).await;
    fixture.says(Err(SourceLost("cut off".to_string())));
    assert_eq!(answered(waiting).await.outcome(), WatchOutcome::Lost);
    assert_eq!(answered(fixture.ask(7).await).await.outcome(), WatchOutcome::Lost);
    // Its next call comes back at once, and once that was answered it tells again.
    fixture.says(quiet(8));
    let asked_again = async {
        while fixture.calls().len() < 3 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    asked_again.await;
    assert_eq!(
        fixture.calls()[1..],
        [("config".to_string(), 7, 0), ("config".to_string(), 8, 1_000)]
    );
    let again = fixture.ask(8).await;
    fixture.says(news(11, "later"));
    assert_eq!(answered(again).await.outcome(), WatchOutcome::News);
}

#[tokio::test]
async fn an_entry_between_two_questions_hears_the_last_change() {
    // A key was taken away, and one entry went on to serve it for as long as keys count.
    // It had just been answered when the change came, so the others were told and it was
    // sent to the store, which it could not reach; asked anew, the hub sent it there again.
    let fixture = Fixture::new();
    let other = fixture.ask(7).await;
    fixture.says(news(9, "changes"));
    answered(other).await;
    let late = answered(fixture.ask(7).await).await;
    assert_eq!(late.outcome(), WatchOutcome::News);
    assert_eq!((late.revision, late.news), (9, "changes".into()));
    // It proves no more than the call that brought it.
    assert_eq!(late.known_ms, 0);
    // Two changes behind, it lacks one that is not kept.
    let next = fixture.ask(9).await;
    fixture.says(news(11, "more"));
    answered(next).await;
    let behind = answered(fixture.ask(7).await).await;
    assert_eq!(behind.outcome(), WatchOutcome::OutOfStep);
}

#[tokio::test]
async fn a_forgotten_history_sends_all_to_the_store() {
    let fixture = Fixture::new();
    let waiting = fixture.ask(7).await;
    fixture.says(Ok(SourceAnswer::HistoryLost));
    assert_eq!(answered(waiting).await.outcome(), WatchOutcome::OutOfStep);
    // Whoever asks first after that has it watched anew.
    let again = fixture.ask(20).await;
    fixture.says(news(21, "later"));
    assert_eq!(answered(again).await.revision, 21);
}

#[tokio::test]
async fn a_hub_bounds_what_it_watches() {
    // A confused peer that asks for ever new kinds costs the store no calls for each.
    let fixture = Fixture::new();
    for number in 0..20 {
        let ask = WatchAsk { kind: format!("kind-{number}"), ..WatchAsk::default() };
        tokio::spawn(fixture.hub.clone().answer(ask));
    }
    tokio::task::yield_now().await;
    let ask = WatchAsk { kind: "config".to_string(), ..WatchAsk::default() };
    let refused = fixture.hub.clone().answer(ask).await;
    assert_eq!(refused.outcome(), WatchOutcome::Lost);
    assert!(fixture.calls().len() <= 8);
}

#[tokio::test]
async fn a_store_from_an_older_copy_sends_all_to_the_store() {
    // Callers' entries would take what followed revision 12 of one history for what
    // followed it in the other. Nothing of the call that saw the change is told.
    let fixture = Fixture::new();
    let waiting = fixture.ask_from(at(Some(1), 12)).await;
    fixture.says(news_to(at(Some(2), 14), "changes"));
    assert_eq!(answered(waiting).await.outcome(), WatchOutcome::OutOfStep);
    // The entry lists, and asks from the era that it has read.
    let again = fixture.ask_from(at(Some(2), 11)).await;
    fixture.says(news_to(at(Some(2), 14), "later"));
    let answer = answered(again).await;
    assert_eq!((answer.outcome(), answer.era), (WatchOutcome::News, Some(2)));
    // One that is late by an era is sent there too, whatever its revision.
    let late = answered(fixture.ask_from(at(Some(1), 900)).await).await;
    assert_eq!(late.outcome(), WatchOutcome::OutOfStep);
}

#[tokio::test]
async fn a_hub_of_an_earlier_era_keeps_an_entry_of_a_later_one_waiting() {
    // Told "quiet", the entry would count keys as confirmed by a history that is over.
    // Sent to the store, it would ask in turn there and here until the hub's call ends.
    let fixture = Fixture::new();
    let first = fixture.ask_from(at(Some(1), 12)).await;
    let ahead = fixture.ask_from(at(Some(2), 5)).await;
    fixture.says(Ok(SourceAnswer::Quiet(at(Some(1), 12))));
    assert_eq!(answered(first).await.outcome(), WatchOutcome::Quiet);
    assert!(!ahead.is_finished());
    fixture.says(Ok(SourceAnswer::Quiet(at(Some(2), 6))));
    assert_eq!(answered(ahead).await.outcome(), WatchOutcome::OutOfStep);
}

#[tokio::test]
async fn an_entry_that_knows_no_eras_watches_by_itself() {
    // An older process can't be told in which era it is. Sent to the store, it would ask
    // in turn there and here without a pause.
    let fixture = Fixture::new();
    let _first = fixture.ask_from(at(Some(1), 12)).await;
    let older = answered(fixture.ask(12).await).await;
    assert_eq!(older.outcome(), WatchOutcome::Lost);
}
