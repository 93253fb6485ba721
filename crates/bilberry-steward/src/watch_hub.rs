//! Watching the platform's store on behalf of entries.
//!
//! Entries that follow the store each for itself make some 140 calls a second where 68
//! of them stand before 78 engines. The first of them that asks has this process watch;
//! whoever asks for the same meanwhile is told what that one watch brings.

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_core::Brought;
use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_core::WatchQuestion;
use bilberry_core::WatchReply;
use bilberry_wire::WatchAnswer;
use bilberry_wire::WatchAsk;
use bilberry_wire::WatchOutcome;
use bytes::Bytes;
use thiserror::Error;
use tokio::sync::broadcast;
use tokio::time::sleep;

/// How long to wait after a call that failed.
const PAUSE: Duration = Duration::from_millis(120);

/// For how long a kind is watched after the last question for it.
///
/// Askers ask again as soon as they are answered; who has not for so long is gone, or
/// has found another hub.
const IDLE_MS: u64 = 5_000;

/// How many outcomes an asker may lag behind.
///
/// An asker takes each outcome at once; one that lags asks the store itself.
const OUTCOMES_AHEAD: usize = 16;

/// How many kinds are watched at most; entries follow three.
///
/// A bound against whatever else may connect and ask.
const MAX_KINDS: usize = 8;

/// What a call to the store brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SourceAnswer {
    /// Nothing changed; all is told up to this position.
    Quiet(StorePosition),
    /// Something changed.
    News {
        /// The position up to which all is told.
        position: StorePosition,
        /// The changes, as the store sent them.
        changes: Bytes,
    },
    /// The store no longer knows what followed the revision.
    HistoryLost,
}

/// The store did not answer in a way that can be passed on.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the store does not answer: {0}; entries ask it themselves meanwhile")]
pub struct SourceLost(pub String);

/// The port to the platform's store.
pub trait WatchSource: Clone + Send + Sync + 'static {
    /// Waits up to `wait_ms` for changes of a kind after a revision.
    fn watch(
        &self,
        kind: &str,
        revision: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<SourceAnswer, SourceLost>> + Send;
}

/// Watches kinds of objects for as long as somebody asks.
#[derive(Debug)]
pub struct WatchHub<S, C> {
    source: S,
    clock: C,
    kinds: Mutex<HashMap<Name, SharedKind>>,
}

/// One kind that is watched.
#[derive(Debug)]
struct SharedKind {
    /// From here on nothing has changed, as far as is told.
    quiet_from: StorePosition,
    /// The last change told.
    ///
    /// An entry asks anew after each answer, and a change may come in between. One that
    /// can't reach the store itself would never hear of it.
    last_news: Option<LastNews>,
    /// Whether the last call failed.
    failing: bool,
    /// What the last asker wanted.
    ask: WatchAsk,
    asked_at: UnixMs,
    outcomes: broadcast::Sender<Outcome>,
}

/// The last change told, and the position from which nothing had changed before it.
#[derive(Debug)]
struct LastNews {
    quiet_from: StorePosition,
    brought: Brought<Bytes>,
}

impl SharedKind {
    /// Tells an asker that is behind the last change, if it lacks no other.
    fn tell_last(&self, question: WatchQuestion) -> WatchAnswer {
        let lacks_no_other = |last: &&LastNews| !question.is_behind(last.quiet_from);
        let last = self.last_news.as_ref().filter(lacks_no_other);
        let heard = last.and_then(|last| question.hear(&last.brought));
        into_answer(heard.unwrap_or(WatchReply::OutOfStep))
    }
}

/// What came of one call, for all who wait.
#[derive(Debug, Clone)]
enum Outcome {
    Brought(Brought<Bytes>),
    HistoryLost,
    Lost,
}

/// How to make the next call.
struct Terms {
    wait_ms: u64,
    spacing_ms: u64,
}

impl<S: WatchSource, C: Clock> WatchHub<S, C> {
    /// Watches nothing yet.
    pub fn new(source: S, clock: C) -> Self {
        Self { source, clock, kinds: Mutex::default() }
    }

    /// Answers a question once there is something to say.
    pub async fn answer(self: Arc<Self>, ask: WatchAsk) -> WatchAnswer {
        let arrived_at = self.clock.now();
        let question = WatchQuestion { position: ask.position(), arrived_at };
        let mut outcomes = match self.join(ask, question) {
            Ok(outcomes) => outcomes,
            Err(answer) => return answer,
        };
        loop {
            let heard = match outcomes.recv().await {
                Ok(Outcome::Brought(brought)) => question.hear(&brought),
                Ok(Outcome::Lost) => return without_news(WatchOutcome::Lost),
                Ok(Outcome::HistoryLost) | Err(_) => Some(WatchReply::OutOfStep),
            };
            if let Some(reply) = heard {
                return into_answer(reply);
            }
        }
    }

    /// Has the kind watched; returns what will come of the calls, or what can be told
    /// at once.
    fn join(
        self: &Arc<Self>,
        ask: WatchAsk,
        question: WatchQuestion,
    ) -> Result<broadcast::Receiver<Outcome>, WatchAnswer> {
        let mut kinds = self.kinds.lock().unwrap();
        let kind = Name::from(&ask.kind);
        let is_full = kinds.len() >= MAX_KINDS;
        match kinds.get_mut(&kind) {
            Some(shared) => {
                shared.asked_at = question.arrived_at;
                shared.ask = ask;
                match () {
                    // Known to be in vain: the asker is not to wait for a call that
                    // fails as well.
                    () if shared.failing => Err(without_news(WatchOutcome::Lost)),
                    // It can't learn of the era from the store either. Sent there, it
                    // would ask in turn there and here without a pause.
                    () if question.knows_no_era_of(shared.quiet_from) => {
                        Err(without_news(WatchOutcome::Lost))
                    }
                    () if question.is_behind(shared.quiet_from) => {
                        Err(shared.tell_last(question))
                    }
                    () => Ok(shared.outcomes.subscribe()),
                }
            }
            None if is_full => Err(without_news(WatchOutcome::Lost)),
            None => {
                let (outcomes, heard) = broadcast::channel(OUTCOMES_AHEAD);
                let position = question.position;
                let shared = SharedKind {
                    quiet_from: position,
                    last_news: None,
                    failing: false,
                    ask,
                    asked_at: question.arrived_at,
                    outcomes,
                };
                kinds.insert(kind.clone(), shared);
                tokio::spawn(self.clone().follow(kind, position));
                Ok(heard)
            }
        }
    }

    /// Watches a kind until nobody asks for it any more, or its history is over.
    async fn follow(self: Arc<Self>, kind: Name, mut position: StorePosition) {
        let revision = position.revision;
        log::info!(target: "store", kind = kind.as_str(), revision; "watches for entries");
        while let Some(terms) = self.terms(&kind) {
            let asked_at = self.clock.now();
            let call = self.source.watch(&kind, position.revision, terms.wait_ms);
            let brought = match call.await {
                Ok(SourceAnswer::Quiet(to)) => {
                    let quiet_until = asked_at.plus_ms(terms.wait_ms);
                    let known_at = quiet_until.min(self.clock.now());
                    Brought { from: position, to, news: None, known_at }
                }
                Ok(SourceAnswer::News { position: to, changes }) => {
                    let news = Some(changes);
                    Brought { from: position, to, news, known_at: asked_at }
                }
                Ok(SourceAnswer::HistoryLost) => break,
                Err(lost) => {
                    self.note_lost(&kind, &lost);
                    self.tell(&kind, Outcome::Lost);
                    sleep(PAUSE).await;
                    continue;
                }
            };
            if !brought.is_of_one_era() {
                break;
            }
            let is_news = brought.news.is_some();
            position = if is_news { brought.to } else { position.max(brought.to) };
            self.tell(&kind, Outcome::Brought(brought));
            if is_news {
                // Changes that come in a row are read together.
                let next_at = asked_at.plus_ms(terms.spacing_ms);
                sleep(next_at.left(self.clock.now())).await;
            }
        }
        let ended = self.kinds.lock().unwrap().remove(&kind);
        if let Some(shared) = ended {
            let _ = shared.outcomes.send(Outcome::HistoryLost);
        }
        let revision = position.revision;
        log::info!(target: "store", kind = kind.as_str(), revision; "watches for entries no more");
    }

    /// Returns how to make the next call; `None` if nobody asks any more.
    fn terms(&self, kind: &Name) -> Option<Terms> {
        let kinds = self.kinds.lock().unwrap();
        let shared = kinds.get(kind)?;
        let unasked_ms = self.clock.now().ms_since(shared.asked_at);
        if shared.outcomes.receiver_count() == 0 && unasked_ms >= IDLE_MS {
            return None;
        }
        // The first call after a failure comes back at once, as who asks is refused
        // until it does.
        let wait_ms = if shared.failing { 0 } else { shared.ask.wait_ms };
        Some(Terms { wait_ms, spacing_ms: shared.ask.spacing_ms })
    }

    /// Tells all who wait, and what who asks later has to know.
    fn tell(&self, kind: &Name, outcome: Outcome) {
        let mut kinds = self.kinds.lock().unwrap();
        let Some(shared) = kinds.get_mut(kind) else { return };
        shared.failing = matches!(outcome, Outcome::Lost);
        if let Outcome::Brought(brought @ Brought { news: Some(_), .. }) = &outcome {
            let quiet_from = std::mem::replace(&mut shared.quiet_from, brought.to);
            let brought = brought.clone();
            shared.last_news = Some(LastNews { quiet_from, brought });
        }
        // Nobody may be waiting at this moment.
        let _ = shared.outcomes.send(outcome);
    }

    fn note_lost(&self, kind: &Name, lost: &SourceLost) {
        let kinds = self.kinds.lock().unwrap();
        if kinds.get(kind).is_some_and(|shared| !shared.failing) {
            log::warn!(target: "store", kind = kind.as_str(), reason = lost.to_string().as_str(); "lost while watching for entries");
        }
    }
}

fn into_answer(reply: WatchReply<Bytes>) -> WatchAnswer {
    let (outcome, position, known_ms, news) = match reply {
        WatchReply::News { position, news, known_ms } => {
            (WatchOutcome::News, position, known_ms, news)
        }
        WatchReply::Quiet { position, known_ms } => {
            (WatchOutcome::Quiet, position, known_ms, Bytes::new())
        }
        WatchReply::OutOfStep => return without_news(WatchOutcome::OutOfStep),
    };
    let StorePosition { era, revision } = position;
    WatchAnswer { outcome: outcome.into(), revision, known_ms, news, era }
}

fn without_news(outcome: WatchOutcome) -> WatchAnswer {
    WatchAnswer { outcome: outcome.into(), ..WatchAnswer::default() }
}
