//! Telling entries how the engine fares.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_wire::Body;
use bilberry_wire::CacheChange;
use bilberry_wire::Frame;
use bilberry_wire::FrameCodec;
use bilberry_wire::StoreChange;
use bilberry_wire::UpstreamState;
use bilberry_wire::WatchAnswer;
use bilberry_wire::WatchAsk;
use bilberry_wire::WireError;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::future::select_all;
use futures_util::stream::FuturesUnordered;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::broadcast;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio_util::codec::Framed;

use crate::CacheView;
use crate::CrashRelay;
use crate::Engine;
use crate::EngineState;
use crate::FollowedStore;
use crate::Newest;
use crate::PromptStores;
use crate::WatchHub;
use crate::WatchSource;

/// How often the state is repeated although nothing changed.
const REPEAT_EVERY: Duration = Duration::from_millis(500);

/// The least time between two messages that only tell of other loads.
///
/// Ten messages a second are a few kilobytes to all entries of today's sizes;
/// what entries sent themselves they know without them.
const LOAD_EVERY: Duration = Duration::from_millis(100);

/// How many entries may listen at once.
const MAX_ENTRIES: u64 = 1_024;

/// How many questions of one entry may wait; it follows three kinds.
const MAX_QUESTIONS: usize = 8;

/// What a sidecar tells entries, and from where it knows it.
#[derive(Debug)]
pub struct Feed<E, S, C> {
    /// The engine's state, as it changes.
    pub state: watch::Receiver<EngineState>,
    /// What the engine holds.
    pub cache: Arc<CacheView>,
    /// Stores of kept prompts, followed where an entry asks for one.
    pub stores: PromptStores<E>,
    /// The newest weights that were heard of.
    pub newest: Arc<Newest>,
    /// Crashes that entries report.
    pub crashes: CrashRelay,
    /// The platform's store, watched for entries that ask.
    pub hub: Arc<WatchHub<S, C>>,
    /// The clock.
    pub clock: C,
}

/// Serves the feed to every entry that connects.
pub async fn serve_feed<E: Engine, S: WatchSource, C: Clock>(
    listener: TcpListener,
    feed: Feed<E, S, C>,
) {
    let feed = Arc::new(feed);
    let entries = Arc::new(AtomicU64::new(0));
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("an entry could not connect: {error}");
                sleep(LOAD_EVERY).await;
                continue;
            }
        };
        if entries.load(Ordering::Relaxed) >= MAX_ENTRIES {
            continue;
        }
        let listening = Listening::new(entries.clone());
        let feed = feed.clone();
        tokio::spawn(async move {
            if let Err(error) = tell(stream, &feed, &listening).await {
                log::info!(target: "entry", address = address.to_string().as_str(), reason = error.to_string().as_str(); "lost");
            }
        });
    }
}

/// Counts one entry that listens.
struct Listening {
    entries: Arc<AtomicU64>,
}

impl Listening {
    fn new(entries: Arc<AtomicU64>) -> Self {
        entries.fetch_add(1, Ordering::Relaxed);
        Self { entries }
    }

    fn count(&self) -> u64 {
        self.entries.load(Ordering::Relaxed)
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.entries.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn tell<E: Engine, S: WatchSource, C: Clock>(
    stream: TcpStream,
    feed: &Feed<E, S, C>,
    listening: &Listening,
) -> Result<(), WireError> {
    stream.set_nodelay(true)?;
    let mut framed = Framed::new(stream, FrameCodec::new());
    let mut state = feed.state.clone();
    let mut cache = Subscription::of(feed.cache.clone());
    let mut stores = Vec::new();
    let mut answers = FuturesUnordered::new();
    let mut told_born_ms = None;
    let (known_crashes, mut crashes) = feed.crashes.subscribe(feed.clock.now());
    for notice in known_crashes {
        send(&mut framed, Body::CrashNotice(notice)).await?;
    }
    loop {
        let told = state.borrow_and_update().clone();
        let now = feed.clock.now();
        let state_now = UpstreamState {
            entries: listening.count(),
            loads_in_ms: told.loads_at.map(|at| at.ms_since(now)),
            ..told.upstream.clone()
        };
        let born_ms = Some(state_now.born_ms);
        send(&mut framed, Body::UpstreamState(state_now)).await?;
        // Entries take in what is held only by an incarnation that they know.
        if std::mem::replace(&mut told_born_ms, born_ms) != born_ms {
            cache = Subscription::of(feed.cache.clone());
            send(&mut framed, Body::CacheChange(cache.all())).await?;
        }
        let sent_at = Instant::now();
        let mut next_at = sent_at + REPEAT_EVERY;
        loop {
            tokio::select! {
                _ = sleep_until(next_at) => break,
                changed = state.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    if is_urgent(&told, &state.borrow_and_update()) {
                        break;
                    }
                    next_at = sent_at + LOAD_EVERY;
                }
                change = cache.next() => {
                    send(&mut framed, Body::CacheChange(change)).await?;
                }
                change = next_of(&mut stores) => {
                    send(&mut framed, Body::StoreChange(change)).await?;
                }
                notice = crashes.recv() => {
                    let notices = match notice {
                        Ok(notice) => vec![notice],
                        Err(_) => {
                            let (all, later) = feed.crashes.subscribe(feed.clock.now());
                            crashes = later;
                            all
                        }
                    };
                    for notice in notices {
                        send(&mut framed, Body::CrashNotice(notice)).await?;
                    }
                }
                Some(answer) = answers.next(), if !answers.is_empty() => {
                    framed.send(answer).await?;
                }
                frame = framed.next() => {
                    let Some(frame) = frame else { return Ok(()) };
                    let Frame { call, body, .. } = frame?;
                    let notice = match body {
                        Some(Body::EntryNotice(notice)) => notice,
                        Some(Body::ReadingNotice(notice)) => {
                            feed.cache.pass_on(notice);
                            continue;
                        }
                        Some(Body::CrashNotice(notice)) => {
                            feed.crashes.merge(notice, feed.clock.now());
                            continue;
                        }
                        Some(Body::WatchAsk(ask)) if answers.len() < MAX_QUESTIONS => {
                            answers.push(answer(feed.hub.clone(), call, ask));
                            continue;
                        }
                        _ => continue,
                    };
                    feed.newest.hear_entry(&notice, feed.clock.now());
                    let wanted = addresses(&notice.prompt_stores);
                    stores.retain(|store: &StoreSubscription| wanted.contains(&store.address));
                    for address in wanted {
                        if stores.iter().any(|store| store.address == address) {
                            continue;
                        }
                        let mut store = StoreSubscription::new(address, &feed.stores);
                        send(&mut framed, Body::StoreChange(store.all())).await?;
                        stores.push(store);
                    }
                },
            }
        }
    }
}

/// Answers a question for changes of the platform's store.
async fn answer<S: WatchSource, C: Clock>(
    hub: Arc<WatchHub<S, C>>,
    call: u64,
    ask: WatchAsk,
) -> Frame {
    let answer: WatchAnswer = hub.answer(ask).await;
    Frame { call, body: Some(Body::WatchAnswer(answer)), ..Frame::default() }
}

/// What one entry has been told of a cache.
struct Subscription {
    view: Arc<CacheView>,
    held: Option<CacheChange>,
    changes: broadcast::Receiver<CacheChange>,
}

impl Subscription {
    fn of(view: Arc<CacheView>) -> Self {
        let (held, changes) = view.subscribe();
        Self { view, held: Some(held), changes }
    }

    /// Returns all that was held when the subscription began; empty later.
    fn all(&mut self) -> CacheChange {
        self.held.take().unwrap_or_default()
    }

    /// Returns the next change, or everything anew if too many were missed.
    async fn next(&mut self) -> CacheChange {
        match self.changes.recv().await {
            Ok(change) => change,
            Err(_) => {
                *self = Self::of(self.view.clone());
                self.all()
            }
        }
    }
}

/// A store that one entry is told of.
struct StoreSubscription {
    address: SocketAddr,
    parts: Subscription,
    /// Keeps the store followed.
    _store: Arc<FollowedStore>,
}

impl StoreSubscription {
    fn new<E: Engine>(address: SocketAddr, stores: &PromptStores<E>) -> Self {
        let store = stores.follow(address);
        Self { address, parts: Subscription::of(store.view.clone()), _store: store }
    }

    /// Returns all that the store held when the subscription began.
    fn all(&mut self) -> StoreChange {
        let change = self.parts.all();
        self.told(change)
    }

    async fn next(&mut self) -> StoreChange {
        let change = self.parts.next().await;
        self.told(change)
    }

    fn told(&self, change: CacheChange) -> StoreChange {
        StoreChange { store: self.address.to_string(), change: Some(change) }
    }
}

/// Waits for the next change of any store; for ever where none is followed.
async fn next_of(stores: &mut [StoreSubscription]) -> StoreChange {
    if stores.is_empty() {
        return std::future::pending().await;
    }
    select_all(stores.iter_mut().map(|store| Box::pin(store.next()))).await.0
}

/// Reads the addresses of stores; what is no address names none.
fn addresses(texts: &[String]) -> Vec<SocketAddr> {
    texts.iter().filter_map(|text| text.parse().ok()).collect()
}

async fn send(
    framed: &mut Framed<TcpStream, FrameCodec>,
    body: Body,
) -> Result<(), WireError> {
    framed.send(Frame { body: Some(body), ..Frame::default() }).await
}

/// Reports whether entries must know at once, as they would send work in vain.
fn is_urgent(before: &EngineState, now: &EngineState) -> bool {
    let urgent = |state: &EngineState| {
        let EngineState { upstream, loads_at } = state;
        let start = (upstream.cache_epoch, upstream.born_ms);
        (upstream.up, upstream.loading, upstream.leaving, start, *loads_at)
    };
    urgent(before) != urgent(now) || before.upstream.models != now.upstream.models
}
