//! Sharing one watch of the store between entries.

use std::sync::Arc;
use std::sync::Mutex;

use bilberry_core::Clock;
use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_steward::SourceResponse;
use bilberry_steward::WatchHub;
use bilberry_steward::WatchSource;
use bilberry_steward::WatchSourceError;
use bilberry_wire::WatchOutcome;
use bilberry_wire::WatchRequest;
use bilberry_wire::WatchResponse;
use bytes::Bytes;
use tokio::sync::Mutex as AsyncMutex;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

type Answer = Result<SourceResponse, WatchSourceError>;

/// A store that gives the answers of a test and records its calls.
#[derive(Clone)]
struct ScriptedSource {
    calls: Arc<Mutex<Vec<(String, u64, u64)>>>,
    answers: Arc<AsyncMutex<mpsc::UnboundedReceiver<Answer>>>,
}

impl WatchSource for ScriptedSource {
    async fn watch(&self, kind: &str, revision: u64, wait_ms: u64) -> Answer {
        self.calls.lock().unwrap().push((kind.to_string(), revision, wait_ms));
        match self.answers.lock().await.recv().await {
            Some(answer) => answer,
            None => std::future::pending().await,
        }
    }
}

/// A clock that stands still, so that `confirmed_ms` is deterministic.
#[derive(Debug, Copy, Clone)]
struct FixedClock;

impl Clock for FixedClock {
    fn now(&self) -> UnixMs {
        UnixMs(1_000_000)
    }
}

/// A hub and the store behind it.
struct Fixture {
    source: ScriptedSource,
    store: mpsc::UnboundedSender<Answer>,
    hub: Arc<WatchHub<ScriptedSource, FixedClock>>,
}

impl Fixture {
    fn new() -> Self {
        let (store, answers) = mpsc::unbounded_channel();
        let source = ScriptedSource {
            calls: Arc::default(),
            answers: Arc::new(AsyncMutex::new(answers)),
        };
        let hub = Arc::new(WatchHub::new(source.clone(), FixedClock));
        Self { source, store, hub }
    }

    /// Sends a request and waits until the hub has received it.
    async fn request(&self, revision: u64) -> JoinHandle<WatchResponse> {
        self.request_from(at(None, revision)).await
    }

    /// Sends a request from a position and waits until the hub has received it.
    async fn request_from(&self, position: StorePosition) -> JoinHandle<WatchResponse> {
        let StorePosition { era, revision } = position;
        let request = WatchRequest {
            kind: "config".to_string(),
            revision,
            wait_ms: 1_000,
            spacing_ms: 0,
            era,
        };
        let pending = tokio::spawn(self.hub.clone().answer(request));
        tokio::task::yield_now().await;
        pending
    }

    fn respond(&self, answer: Answer) {
        self.store.send(answer).expect("the hub was dropped");
    }

    fn calls(&self) -> Vec<(String, u64, u64)> {
        self.source.calls.lock().unwrap().clone()
    }
}

fn at(era: Option<u64>, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

fn changed(revision: u64, changes: &'static str) -> Answer {
    changed_to(at(None, revision), changes)
}

fn changed_to(position: StorePosition, changes: &'static str) -> Answer {
    Ok(SourceResponse::Changed {
        position,
        changes: Bytes::from_static(changes.as_bytes()),
    })
}

fn unchanged(revision: u64) -> Answer {
    Ok(SourceResponse::Unchanged(at(None, revision)))
}

async fn response(pending: JoinHandle<WatchResponse>) -> WatchResponse {
    pending.await.expect("the hub panicked")
}

#[tokio::test]
async fn requests_for_one_kind_share_a_call() {
    // Twenty entries request changes from one hub. The store, which other systems use too,
    // gets a single call, and all entries receive the change.
    let fixture = Fixture::new();
    let mut pending = Vec::new();
    for _ in 0..20 {
        pending.push(fixture.request(7).await);
    }
    assert_eq!(fixture.calls(), [("config".to_string(), 7, 1_000)]);
    fixture.respond(changed(9, "changes"));
    for request in pending {
        let answer = response(request).await;
        assert_eq!(answer.outcome(), WatchOutcome::Changed);
        assert_eq!((answer.revision, answer.changes.as_ref()), (9, &b"changes"[..]));
        // The call was made when the request arrived, so the answer says nothing about any
        // later time.
        assert_eq!(answer.confirmed_ms, 0);
    }
}

#[tokio::test]
async fn an_entry_behind_the_last_change_must_query_the_store() {
    // The change was sent to other entries before, so this one would never receive it.
    let fixture = Fixture::new();
    let first = fixture.request(7).await;
    fixture.respond(changed(9, "changes"));
    response(first).await;
    let behind = response(fixture.request(8).await).await;
    assert_eq!(behind.outcome(), WatchOutcome::OutOfSync);
    let up_to_date = fixture.request(9).await;
    fixture.respond(unchanged(12));
    let answer = response(up_to_date).await;
    assert_eq!((answer.outcome(), answer.revision), (WatchOutcome::Unchanged, 12));
}

#[tokio::test]
async fn requests_fail_immediately_while_the_store_is_unreachable() {
    // Entries that can reach the store query it directly and continue to serve callers. For
    // this, the hub must not delay requests after its first call has failed.
    let fixture = Fixture::new();
    let waiting = fixture.request(7).await;
    fixture.respond(Err(WatchSourceError("cut off".to_string())));
    assert_eq!(response(waiting).await.outcome(), WatchOutcome::StoreUnavailable);
    assert_eq!(
        response(fixture.request(7).await).await.outcome(),
        WatchOutcome::StoreUnavailable
    );
    // The hub's next call does not wait for changes. Once it succeeds, the hub answers
    // requests again.
    fixture.respond(unchanged(8));
    let retried = async {
        while fixture.calls().len() < 3 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    retried.await;
    assert_eq!(
        fixture.calls()[1..],
        [("config".to_string(), 7, 0), ("config".to_string(), 8, 1_000)]
    );
    let again = fixture.request(8).await;
    fixture.respond(changed(11, "later"));
    assert_eq!(response(again).await.outcome(), WatchOutcome::Changed);
}

#[tokio::test]
async fn an_entry_between_two_requests_receives_the_last_change() {
    // An entry continued to serve a revoked key until its cached copy of the key expired. The change arrived
    // between two requests of the entry, so the hub told it to query the store, which the
    // entry could not reach, and repeated that on each further request.
    let fixture = Fixture::new();
    let other = fixture.request(7).await;
    fixture.respond(changed(9, "changes"));
    response(other).await;
    let late = response(fixture.request(7).await).await;
    assert_eq!(late.outcome(), WatchOutcome::Changed);
    assert_eq!((late.revision, late.changes), (9, "changes".into()));
    // The answer is as old as the call that returned the change.
    assert_eq!(late.confirmed_ms, 0);
    // An entry that is two changes behind has missed one that the hub no longer keeps.
    let next = fixture.request(9).await;
    fixture.respond(changed(11, "more"));
    response(next).await;
    let behind = response(fixture.request(7).await).await;
    assert_eq!(behind.outcome(), WatchOutcome::OutOfSync);
}

#[tokio::test]
async fn all_entries_must_query_the_store_after_it_loses_history() {
    let fixture = Fixture::new();
    let waiting = fixture.request(7).await;
    fixture.respond(Ok(SourceResponse::HistoryLost));
    assert_eq!(response(waiting).await.outcome(), WatchOutcome::OutOfSync);
    // The next request starts a new watch.
    let again = fixture.request(20).await;
    fixture.respond(changed(21, "later"));
    assert_eq!(response(again).await.revision, 21);
}

#[tokio::test]
async fn a_hub_limits_the_number_of_watched_kinds() {
    // A faulty peer that requests more and more kinds must not cause a call for each.
    let fixture = Fixture::new();
    for number in 0..20 {
        let request =
            WatchRequest { kind: format!("kind-{number}"), ..WatchRequest::default() };
        tokio::spawn(fixture.hub.clone().answer(request));
    }
    tokio::task::yield_now().await;
    let request = WatchRequest { kind: "config".to_string(), ..WatchRequest::default() };
    let refused = fixture.hub.clone().answer(request).await;
    assert_eq!(refused.outcome(), WatchOutcome::StoreUnavailable);
    assert!(fixture.calls().len() <= 8);
}

#[tokio::test]
async fn all_entries_must_query_the_store_after_an_era_change() {
    // After the store is restored from an older copy, the changes after revision 12 belong
    // to a different history. Entries must not receive any result of the call that crossed
    // the eras.
    let fixture = Fixture::new();
    let waiting = fixture.request_from(at(Some(1), 12)).await;
    fixture.respond(changed_to(at(Some(2), 14), "changes"));
    assert_eq!(response(waiting).await.outcome(), WatchOutcome::OutOfSync);
    // The entry lists the objects and continues from the era of the listing.
    let again = fixture.request_from(at(Some(2), 11)).await;
    fixture.respond(changed_to(at(Some(2), 14), "later"));
    let answer = response(again).await;
    assert_eq!((answer.outcome(), answer.era), (WatchOutcome::Changed, Some(2)));
    // An entry in an earlier era must query the store too, whatever its revision.
    let late = response(fixture.request_from(at(Some(1), 900)).await).await;
    assert_eq!(late.outcome(), WatchOutcome::OutOfSync);
}

#[tokio::test]
async fn an_entry_ahead_of_the_hub_by_an_era_waits() {
    // If the hub answered `Quiet`, the entry would accept keys as confirmed by an obsolete
    // history. If it referred the entry to the store, the entry would alternate between
    // store and hub without a delay until the hub's call ends.
    let fixture = Fixture::new();
    let first = fixture.request_from(at(Some(1), 12)).await;
    let ahead = fixture.request_from(at(Some(2), 5)).await;
    fixture.respond(Ok(SourceResponse::Unchanged(at(Some(1), 12))));
    assert_eq!(response(first).await.outcome(), WatchOutcome::Unchanged);
    assert!(!ahead.is_finished());
    fixture.respond(Ok(SourceResponse::Unchanged(at(Some(2), 6))));
    assert_eq!(response(ahead).await.outcome(), WatchOutcome::OutOfSync);
}

#[tokio::test]
async fn an_entry_without_era_support_is_refused() {
    // An older release cannot learn the store's era. If it were told to query the store
    // once, it would alternate between store and hub without a delay.
    let fixture = Fixture::new();
    let _first = fixture.request_from(at(Some(1), 12)).await;
    let refused = response(fixture.request(12).await).await;
    assert_eq!(refused.outcome(), WatchOutcome::StoreUnavailable);
}
