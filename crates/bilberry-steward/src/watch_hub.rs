//! Watching the platform's store on behalf of entries.
//!
//! If each entry watches the store itself, 68 entries with 78 engines make some 140 calls
//! per second. Instead, the first request for a kind of object starts a watch in this
//! process, and all requests for the same kind share its results.

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::PendingWatch;
use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_core::WatchReply;
use bilberry_core::WatchResult;
use bilberry_wire::WatchOutcome;
use bilberry_wire::WatchRequest;
use bilberry_wire::WatchResponse;
use bytes::Bytes;
use thiserror::Error;
use tokio::sync::broadcast;
use tokio::time::sleep;

/// The delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// How long a kind is watched after the last request for it.
///
/// Clients send the next request as soon as the previous one is answered. A client that
/// has sent none for this long is gone or uses another hub.
const IDLE_TIMEOUT_MS: u64 = 5_000;

/// The number of outcomes buffered for a client.
///
/// Clients receive outcomes immediately; one that falls behind queries the store itself.
const OUTCOME_BUFFER: usize = 16;

/// The maximum number of watched kinds; entries watch three.
///
/// Limits the load that other clients can cause.
const MAX_WATCHED_KINDS: usize = 8;

/// The result of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SourceResponse {
    /// Nothing changed up to this position.
    Unchanged(StorePosition),
    /// Something changed.
    Changed {
        /// The position up to which the changes are complete.
        position: StorePosition,
        /// The changes in the encoding of the store.
        changes: Bytes,
    },
    /// The store no longer has the history after the revision.
    HistoryLost,
}

/// The store did not return a usable response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the store does not answer: {0}; entries query it directly in the meantime")]
pub struct WatchSourceError(pub String);

/// A client of the platform's store.
pub trait WatchSource: Clone + Send + Sync + 'static {
    /// Waits up to `wait_ms` for changes of a kind of object after a revision.
    fn watch(
        &self,
        kind: &str,
        revision: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<SourceResponse, WatchSourceError>> + Send;
}

/// Watches kinds of objects while clients request their changes.
#[derive(Debug)]
pub struct WatchHub<S, C> {
    source: S,
    clock: C,
    watches: Mutex<HashMap<Name, SharedWatch>>,
}

/// The watch of one kind of object.
#[derive(Debug)]
struct SharedWatch {
    /// The position since which no change has been reported.
    unchanged_since: StorePosition,
    /// The last reported change.
    ///
    /// A change may arrive after an entry was answered and before it sends its next
    /// request. An entry that is partitioned from the store would miss it permanently.
    last_change: Option<LastChange>,
    /// Whether the last call failed.
    failing: bool,
    /// The most recent request.
    request: WatchRequest,
    requested_at: UnixMs,
    outcomes: broadcast::Sender<Outcome>,
}

/// The last reported change, and the position since which there was none before it.
#[derive(Debug)]
struct LastChange {
    unchanged_since: StorePosition,
    update: WatchResult<Bytes>,
}

impl SharedWatch {
    /// Answers a client that lags with the last change, if it has missed no other.
    fn answer_with_last_change(&self, pending: PendingWatch) -> WatchResponse {
        let missed_no_other =
            |last: &&LastChange| !pending.is_behind(last.unchanged_since);
        let last = self.last_change.as_ref().filter(missed_no_other);
        let reply = last.and_then(|last| pending.reply_from(&last.update));
        into_answer(reply.unwrap_or(WatchReply::OutOfSync))
    }
}

/// The outcome of a call, sent to all waiting clients.
#[derive(Debug, Clone)]
enum Outcome {
    Update(WatchResult<Bytes>),
    HistoryLost,
    Failed,
}

/// The parameters of a call to the store.
struct CallParams {
    wait_ms: u64,
    spacing_ms: u64,
}

impl<S: WatchSource, C: Clock> WatchHub<S, C> {
    /// Creates a hub without any watches.
    pub fn new(source: S, clock: C) -> Self {
        Self { source, clock, watches: Mutex::default() }
    }

    /// Answers a request once a call to the store has an outcome for it.
    pub async fn answer(self: Arc<Self>, request: WatchRequest) -> WatchResponse {
        let arrived_at = self.clock.now();
        let pending = PendingWatch { position: request.position(), arrived_at };
        let mut outcomes = match self.subscribe(request, pending) {
            Ok(outcomes) => outcomes,
            Err(answer) => return answer,
        };
        loop {
            let reply = match outcomes.recv().await {
                Ok(Outcome::Update(update)) => pending.reply_from(&update),
                Ok(Outcome::Failed) => {
                    return answer_without_changes(WatchOutcome::StoreUnavailable);
                }
                Ok(Outcome::HistoryLost) | Err(_) => Some(WatchReply::OutOfSync),
            };
            if let Some(reply) = reply {
                return into_answer(reply);
            }
        }
    }

    /// Subscribes to the watch of a kind and starts it if there is none.
    ///
    /// Returns a response instead if the request can be answered immediately.
    fn subscribe(
        self: &Arc<Self>,
        request: WatchRequest,
        pending: PendingWatch,
    ) -> Result<broadcast::Receiver<Outcome>, WatchResponse> {
        let mut watches = self.watches.lock().unwrap();
        let kind = Name::from(&request.kind);
        let is_full = watches.len() >= MAX_WATCHED_KINDS;
        match watches.get_mut(&kind) {
            Some(shared) => {
                shared.requested_at = pending.arrived_at;
                shared.request = request;
                match () {
                    // The last call failed, so the client should not wait for another
                    // call that is likely to fail.
                    () if shared.failing => {
                        Err(answer_without_changes(WatchOutcome::StoreUnavailable))
                    }
                    // The client does not support eras, so it could not get the era
                    // from the store either. It would alternate between the store and
                    // this hub without a delay.
                    () if pending.lacks_era_of(shared.unchanged_since) => {
                        Err(answer_without_changes(WatchOutcome::StoreUnavailable))
                    }
                    () if pending.is_behind(shared.unchanged_since) => {
                        Err(shared.answer_with_last_change(pending))
                    }
                    () => Ok(shared.outcomes.subscribe()),
                }
            }
            None if is_full => {
                Err(answer_without_changes(WatchOutcome::StoreUnavailable))
            }
            None => {
                let (outcomes, receiver) = broadcast::channel(OUTCOME_BUFFER);
                let position = pending.position;
                let shared = SharedWatch {
                    unchanged_since: position,
                    last_change: None,
                    failing: false,
                    request,
                    requested_at: pending.arrived_at,
                    outcomes,
                };
                watches.insert(kind.clone(), shared);
                tokio::spawn(self.clone().follow(kind, position));
                Ok(receiver)
            }
        }
    }

    /// Watches a kind until it is idle or its history is lost.
    async fn follow(self: Arc<Self>, kind: Name, mut position: StorePosition) {
        let revision = position.revision;
        log::info!(target: "store", kind = kind.as_str(), revision; "watches for entries");
        while let Some(params) = self.next_call(&kind) {
            let called_at = self.clock.now();
            let call = self.source.watch(&kind, position.revision, params.wait_ms);
            let update = match call.await {
                Ok(SourceResponse::Unchanged(to)) => {
                    let latest = called_at.plus_ms(params.wait_ms);
                    let known_at = latest.min(self.clock.now());
                    WatchResult {
                        from: position,
                        to,
                        changes: None,
                        confirmed_at: known_at,
                    }
                }
                Ok(SourceResponse::Changed { position: to, changes }) => WatchResult {
                    from: position,
                    to,
                    changes: Some(changes),
                    confirmed_at: called_at,
                },
                Ok(SourceResponse::HistoryLost) => break,
                Err(error) => {
                    self.log_failure(&kind, &error);
                    self.broadcast(&kind, Outcome::Failed);
                    sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            if !update.is_single_era() {
                break;
            }
            let is_change = update.changes.is_some();
            let waited_ms = update.confirmed_at.ms_since(called_at);
            position = if is_change { update.to } else { position.max(update.to) };
            self.broadcast(&kind, Outcome::Update(update));
            if is_change {
                // Lets changes in quick succession accumulate into one response.
                let next_at = called_at.plus_ms(params.spacing_ms);
                sleep(next_at.remaining(self.clock.now())).await;
            } else if waited_ms < params.wait_ms {
                // Repeated at once, watches that end early would use up the store's read quota.
                sleep(RETRY_DELAY).await;
            }
        }
        let ended = self.watches.lock().unwrap().remove(&kind);
        if let Some(shared) = ended {
            let _ = shared.outcomes.send(Outcome::HistoryLost);
        }
        let revision = position.revision;
        log::info!(target: "store", kind = kind.as_str(), revision; "watches for entries no more");
    }

    /// Returns the parameters of the next call; `None` if the watch is idle.
    fn next_call(&self, kind: &Name) -> Option<CallParams> {
        let watches = self.watches.lock().unwrap();
        let shared = watches.get(kind)?;
        let idle_ms = self.clock.now().ms_since(shared.requested_at);
        if shared.outcomes.receiver_count() == 0 && idle_ms >= IDLE_TIMEOUT_MS {
            return None;
        }
        // The first call after a failure does not wait for changes, as requests are refused
        // until it succeeds.
        let wait_ms = if shared.failing { 0 } else { shared.request.wait_ms };
        Some(CallParams { wait_ms, spacing_ms: shared.request.spacing_ms })
    }

    /// Sends an outcome to all waiting clients, and records it for later requests.
    fn broadcast(&self, kind: &Name, outcome: Outcome) {
        let mut watches = self.watches.lock().unwrap();
        let Some(shared) = watches.get_mut(kind) else { return };
        shared.failing = matches!(outcome, Outcome::Failed);
        if let Outcome::Update(update @ WatchResult { changes: Some(_), .. }) = &outcome {
            let unchanged_since =
                std::mem::replace(&mut shared.unchanged_since, update.to);
            let update = update.clone();
            shared.last_change = Some(LastChange { unchanged_since, update });
        }
        // Fails only if no client is waiting.
        let _ = shared.outcomes.send(outcome);
    }

    /// Logs the first of consecutive failures.
    fn log_failure(&self, kind: &Name, error: &WatchSourceError) {
        let watches = self.watches.lock().unwrap();
        if watches.get(kind).is_some_and(|shared| !shared.failing) {
            log::warn!(target: "store", kind = kind.as_str(), reason = error.to_string().as_str(); "lost while watching for entries");
        }
    }
}

fn into_answer(reply: WatchReply<Bytes>) -> WatchResponse {
    let (outcome, position, confirmed_ms, news) = match reply {
        WatchReply::Changes { position, news, confirmed_ms } => {
            (WatchOutcome::Changed, position, confirmed_ms, news)
        }
        WatchReply::Unchanged { position, confirmed_ms } => {
            (WatchOutcome::Unchanged, position, confirmed_ms, Bytes::new())
        }
        WatchReply::OutOfSync => return answer_without_changes(WatchOutcome::OutOfSync),
    };
    let StorePosition { era, revision } = position;
    WatchResponse { outcome: outcome.into(), revision, confirmed_ms, changes: news, era }
}

fn answer_without_changes(outcome: WatchOutcome) -> WatchResponse {
    WatchResponse { outcome: outcome.into(), ..WatchResponse::default() }
}
