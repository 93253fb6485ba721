//! Publishing the engine's state to entries.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_node::Clients;
use bilberry_node::FrameMeter;
use bilberry_node::MeteredStream;
use bilberry_wire::Body;
use bilberry_wire::CacheChange;
use bilberry_wire::Frame;
use bilberry_wire::FrameCodec;
use bilberry_wire::StoreChange;
use bilberry_wire::UpstreamState;
use bilberry_wire::WatchRequest;
use bilberry_wire::WatchResponse;
use bilberry_wire::WireError;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::future::select_all;
use futures_util::stream::FuturesUnordered;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::broadcast;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio_util::codec::Framed;

use crate::AdmissionControl;
use crate::CacheView;
use crate::CrashRelay;
use crate::Engine;
use crate::EngineState;
use crate::FollowedStore;
use crate::LatestWeights;
use crate::LimitRelay;
use crate::OriginOwner;
use crate::PartSharing;
use crate::PromptStores;
use crate::QuotaOwner;
use crate::RunInterest;
use crate::RunTracker;
use crate::WatchHub;
use crate::WatchSource;
use crate::quota_owner::EntryPresence;

/// The interval at which an unchanged state is sent again.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// The minimum interval between two messages that only update the engine's load.
///
/// Ten messages per second to all entries amount to a few kilobytes at present sizes.
/// Entries already know about the requests that they sent themselves.
const LOAD_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// How long sent data may stay unacknowledged before an entry counts as absent.
///
/// An unchanged state is sent often enough that a lost host is detected in this time.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long an entry that has asked for admissions may send nothing; it repeats its notice
/// three times as often.
///
/// A suspended entry does not report the progress of its requests, and callers of the
/// other entries need the places.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The maximum number of connected entries.
const MAX_ENTRIES: u64 = 1_024;

/// The maximum number of pending watch requests per entry, which watches three kinds.
const MAX_PENDING_WATCHES: usize = 8;

/// The data that a sidecar publishes to entries, and its sources.
#[derive(Debug)]
pub struct Feed<E, S, C> {
    /// The engine's state.
    pub state: watch::Receiver<EngineState>,
    /// The contents of the engine's cache.
    pub cache: Arc<CacheView>,
    /// The prompt stores that are followed at the request of entries.
    pub stores: PromptStores<E>,
    /// The newest known weights.
    pub newest: Arc<LatestWeights>,
    /// The crash reports of entries.
    pub crashes: CrashRelay,
    /// Watches the platform's store on behalf of entries.
    pub hub: Arc<WatchHub<S, C>>,
    /// The customer quotas kept for all entries.
    pub quotas: Arc<QuotaOwner<C>>,
    /// The admissions of requests to the engine.
    pub admissions: Arc<AdmissionControl<C>>,
    /// The request limits of servers that entries report.
    pub limits: LimitRelay,
    /// The origins of streams recorded for all entries.
    pub origins: Arc<OriginOwner<C>>,
    /// Whether entries use what the sidecar observes of the engine's runs.
    pub run_interest: RunInterest,
    /// The progress of the engine's runs.
    pub runs: Arc<RunTracker>,
    /// The sharing of the engine's prompt parts.
    pub sharing: Arc<PartSharing<C>>,
    /// The clock for load times and reports.
    pub clock: C,
    /// The connections of entries.
    pub clients: Arc<Clients>,
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
                log::warn!("failed to accept a connection from an entry: {error}");
                sleep(LOAD_UPDATE_INTERVAL).await;
                continue;
            }
        };
        if entries.load(Ordering::Relaxed) >= MAX_ENTRIES {
            continue;
        }
        let Some(client) = feed.clients.open().await else { continue };
        let connection = ConnectionCount::new(entries.clone());
        let feed = feed.clone();
        tokio::spawn(async move {
            let (stream, meter) = MeteredStream::new(stream, client);
            let served = tokio::select! {
                served = serve_entry(stream, &meter, &feed, &connection) => served,
                _ = meter.close_requested() => {
                    Err(std::io::Error::from(ErrorKind::ConnectionAborted).into())
                }
            };
            if let Err(error) = served {
                log::info!(target: "entry", address = address.to_string().as_str(), reason = error.to_string().as_str(); "lost");
            }
        });
    }
}

/// Counts a connected entry until it is dropped.
struct ConnectionCount {
    entries: Arc<AtomicU64>,
}

impl ConnectionCount {
    fn new(entries: Arc<AtomicU64>) -> Self {
        entries.fetch_add(1, Ordering::Relaxed);
        Self { entries }
    }

    fn total(&self) -> u64 {
        self.entries.load(Ordering::Relaxed)
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.entries.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sends updates to one entry and handles its notices until it disconnects.
async fn serve_entry<E: Engine, S: WatchSource, C: Clock>(
    stream: MeteredStream<TcpStream>,
    meter: &FrameMeter,
    feed: &Feed<E, S, C>,
    connection: &ConnectionCount,
) -> Result<(), WireError> {
    set_tcp_options(stream.get_ref())?;
    let mut framed = Framed::new(stream, FrameCodec::new());
    let mut state = feed.state.clone();
    let mut cache = CacheSubscription::new(feed.cache.clone());
    let mut stores = Vec::new();
    let mut watches = FuturesUnordered::new();
    let mut sent_born_ms = None;
    let mut presence = EntryPresence::new(feed.quotas.clone());
    let mut interest = feed.run_interest.connect();
    let mut admissions = feed.admissions.connect();
    let sharing = feed.sharing.connect();
    let mut asks_admissions = false;
    let mut received_at = Instant::now();
    let (known_crashes, mut crashes) = feed.crashes.subscribe(feed.clock.now());
    for notice in known_crashes {
        send(&mut framed, Body::CrashNotice(notice)).await?;
    }
    let (known_limits, mut limits) = feed.limits.subscribe(feed.clock.now());
    for notice in known_limits {
        send(&mut framed, Body::LimitNotice(notice)).await?;
    }
    loop {
        let sent = state.borrow_and_update().clone();
        let now = feed.clock.now();
        let upstream = UpstreamState {
            entries: connection.total(),
            keeps_quotas: true,
            keeps_origins: true,
            admission: interest.is_stated().then(|| feed.admissions.load()),
            loads_in_ms: sent.loads_at.map(|at| at.ms_since(now)),
            ..sent.upstream.clone()
        };
        let started_at_ms = Some(upstream.started_at_ms);
        send(&mut framed, Body::UpstreamState(upstream)).await?;
        // Entries ignore the cache contents of an incarnation that they do not know yet.
        if std::mem::replace(&mut sent_born_ms, started_at_ms) != started_at_ms {
            cache = CacheSubscription::new(feed.cache.clone());
            send_snapshot(&mut framed, meter, cache.take_snapshot()).await?;
        }
        let sent_at = Instant::now();
        let mut next_at = sent_at + REFRESH_INTERVAL;
        loop {
            tokio::select! {
                _ = sleep_until(next_at) => break,
                changed = state.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    if is_urgent(&sent, &state.borrow_and_update()) {
                        break;
                    }
                    next_at = sent_at + LOAD_UPDATE_INTERVAL;
                }
                change = cache.next() => {
                    send(&mut framed, Body::CacheChange(change)).await?;
                }
                change = next_store_change(&mut stores) => {
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
                notice = limits.recv() => {
                    let notices = match notice {
                        Ok(notice) => vec![notice],
                        Err(_) => {
                            let (all, later) = feed.limits.subscribe(feed.clock.now());
                            limits = later;
                            all
                        }
                    };
                    for notice in notices {
                        send(&mut framed, Body::LimitNotice(notice)).await?;
                    }
                }
                Some((call, response)) = admissions.next_response() => {
                    let body = Some(Body::AdmissionResponse(response));
                    framed.send(Frame { call, body, ..Frame::default() }).await?;
                }
                Some(answer) = watches.next(), if !watches.is_empty() => {
                    framed.send(answer).await?;
                }
                _ = sleep_until(received_at + SILENCE_TIMEOUT), if asks_admissions => {
                    return Err(std::io::Error::from(ErrorKind::TimedOut).into());
                }
                frame = framed.next() => {
                    let Some(frame) = frame else { return Ok(()) };
                    received_at = Instant::now();
                    let Frame { call, body, .. } = frame?;
                    meter.record_frame();
                    let notice = match body {
                        Some(Body::EntryNotice(notice)) => notice,
                        Some(Body::ReadingNotice(notice)) => {
                            feed.cache.forward_reading(notice);
                            continue;
                        }
                        Some(Body::CrashNotice(notice)) => {
                            feed.crashes.merge(notice, feed.clock.now());
                            continue;
                        }
                        Some(Body::WatchRequest(request)) if watches.len() < MAX_PENDING_WATCHES => {
                            watches.push(answer_watch(feed.hub.clone(), call, request));
                            continue;
                        }
                        Some(Body::QuotaRequest(request)) => {
                            let body = Some(Body::QuotaResponse(feed.quotas.charge(&request)));
                            framed.send(Frame { call, body, ..Frame::default() }).await?;
                            continue;
                        }
                        Some(Body::AdmissionRequest(request)) => {
                            asks_admissions = true;
                            let response = admissions.request(call, &request);
                            let body = Some(Body::AdmissionResponse(response));
                            framed.send(Frame { call, body, ..Frame::default() }).await?;
                            continue;
                        }
                        Some(Body::AdmissionUpdate(update)) => {
                            admissions.update(call, update);
                            continue;
                        }
                        Some(Body::RunQuery(query)) => {
                            let reply = feed.runs.answer(&query, feed.clock.now());
                            let body = Some(Body::RunReply(reply));
                            framed.send(Frame { call, body, ..Frame::default() }).await?;
                            continue;
                        }
                        Some(Body::OriginNotice(notice)) => {
                            feed.origins.record(&notice);
                            continue;
                        }
                        Some(Body::OriginQuery(query)) => {
                            let body = Some(Body::OriginReply(feed.origins.answer(&query)));
                            framed.send(Frame { call, body, ..Frame::default() }).await?;
                            continue;
                        }
                        Some(Body::SharingRelease(release)) => {
                            sharing.record(&release);
                            continue;
                        }
                        Some(Body::LimitNotice(notice)) => {
                            feed.limits.merge(&notice, feed.clock.now());
                            continue;
                        }
                        Some(Body::QuotaRefund(refund)) => {
                            feed.quotas.refund(&refund);
                            continue;
                        }
                        _ => continue,
                    };
                    presence.identify(&notice.entry);
                    let interest_changed = interest.set(notice.observes_runs);
                    feed.newest.record_notice(&notice, feed.clock.now());
                    let wanted = parse_addresses(&notice.prompt_stores);
                    stores.retain(|store: &StoreSubscription| wanted.contains(&store.address));
                    for address in wanted {
                        if stores.iter().any(|store| store.address == address) {
                            continue;
                        }
                        let mut store = StoreSubscription::new(address, &feed.stores);
                        send(&mut framed, Body::StoreChange(store.take_snapshot())).await?;
                        stores.push(store);
                    }
                    // The entry needs the work ahead before it places requests here.
                    if interest_changed {
                        break;
                    }
                },
            }
        }
    }
}

/// Answers a request for changes of the platform's store.
async fn answer_watch<S: WatchSource, C: Clock>(
    hub: Arc<WatchHub<S, C>>,
    call: u64,
    request: WatchRequest,
) -> Frame {
    let response: WatchResponse = hub.answer(request).await;
    Frame { call, body: Some(Body::WatchResponse(response)), ..Frame::default() }
}

/// The subscription of one entry to a cache.
struct CacheSubscription {
    view: Arc<CacheView>,
    /// The contents at the start of the subscription, until they are sent.
    snapshot: Option<CacheChange>,
    changes: broadcast::Receiver<CacheChange>,
}

impl CacheSubscription {
    fn new(view: Arc<CacheView>) -> Self {
        let (snapshot, changes) = view.subscribe();
        Self { view, snapshot: Some(snapshot), changes }
    }

    /// Returns the contents at the start of the subscription; empty on later calls.
    fn take_snapshot(&mut self) -> CacheChange {
        self.snapshot.take().unwrap_or_default()
    }

    /// Returns the next change, or the full contents if changes were missed.
    async fn next(&mut self) -> CacheChange {
        match self.changes.recv().await {
            Ok(change) => change,
            Err(_) => {
                *self = Self::new(self.view.clone());
                self.take_snapshot()
            }
        }
    }
}

/// The subscription of one entry to a prompt store.
struct StoreSubscription {
    address: SocketAddr,
    cache: CacheSubscription,
    /// Keeps the store followed while the subscription exists.
    _store: Arc<FollowedStore>,
}

impl StoreSubscription {
    fn new<E: Engine>(address: SocketAddr, stores: &PromptStores<E>) -> Self {
        let store = stores.follow(address);
        Self { address, cache: CacheSubscription::new(store.view.clone()), _store: store }
    }

    /// Returns the contents of the store at the start of the subscription.
    fn take_snapshot(&mut self) -> StoreChange {
        let change = self.cache.take_snapshot();
        self.store_change(change)
    }

    async fn next(&mut self) -> StoreChange {
        let change = self.cache.next().await;
        self.store_change(change)
    }

    fn store_change(&self, change: CacheChange) -> StoreChange {
        StoreChange { store: self.address.to_string(), change: Some(change) }
    }
}

/// Waits for the next change of any store; never returns if there are no stores.
async fn next_store_change(stores: &mut [StoreSubscription]) -> StoreChange {
    if stores.is_empty() {
        return std::future::pending().await;
    }
    select_all(stores.iter_mut().map(|store| Box::pin(store.next()))).await.0
}

/// Sets the options of a connection from an entry.
fn set_tcp_options(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Parses the addresses of stores and ignores invalid ones.
fn parse_addresses(texts: &[String]) -> Vec<SocketAddr> {
    texts.iter().filter_map(|text| text.parse().ok()).collect()
}

async fn send(
    framed: &mut Framed<MeteredStream<TcpStream>, FrameCodec>,
    body: Body,
) -> Result<(), WireError> {
    framed.send(Frame { body: Some(body), ..Frame::default() }).await
}

/// Sends all contents of the cache, which are charged until the entry has read them.
async fn send_snapshot(
    framed: &mut Framed<MeteredStream<TcpStream>, FrameCodec>,
    meter: &FrameMeter,
    snapshot: CacheChange,
) -> Result<(), WireError> {
    let body = Some(Body::CacheChange(snapshot));
    let frame = Frame { body, ..Frame::default() };
    let mut charge = meter.client().charge();
    let charged = charge.add(frame.size_bytes() as u64).await;
    charged.map_err(|error| std::io::Error::new(ErrorKind::OutOfMemory, error))?;
    framed.send(frame).await
}

/// Returns whether a change must be sent at once, as entries would otherwise send
/// requests that the engine cannot serve.
fn is_urgent(before: &EngineState, now: &EngineState) -> bool {
    let urgent = |state: &EngineState| {
        let EngineState { upstream, loads_at } = state;
        let incarnation = (upstream.cache_epoch, upstream.started_at_ms);
        let up = (upstream.up, upstream.stalled);
        let loads = (upstream.loading, *loads_at, upstream.sharing);
        (up, upstream.leaving, incarnation, loads)
    };
    urgent(before) != urgent(now) || before.upstream.models != now.upstream.models
}
