//! Listening to the sidecars of upstreams.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_wire::Body;
use bilberry_wire::Frame;
use bilberry_wire::FrameCodec;
use bilberry_wire::WatchAnswer;
use bilberry_wire::WireError;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio_util::codec::Framed;

use crate::Dialect;
use crate::Gateway;
use crate::Policy;
use crate::Upstream;
use crate::connections::set_options;
use crate::hubs::HubQuestion;
use crate::hubs::QUESTIONS_AHEAD;
use crate::upstreams::UpstreamsByPool;

/// How often the set of sidecars is compared with the list.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// How long a connection to a sidecar may take.
const CONNECT: Duration = Duration::from_millis(300);

/// How long a sidecar may be silent; it repeats itself three times as often.
const SILENCE: Duration = Duration::from_millis(1_500);

/// How many notices for one sidecar may wait; more are left to the engine's events.
const NOTICES_AHEAD: usize = 64;

/// How long a lost sidecar is left alone.
const PAUSE: Duration = Duration::from_millis(300);

/// Keeps a connection to the sidecar of each engine, for as long as it is listed.
pub async fn follow_sidecars<D: Dialect, C: Clock>(
    gateway: Arc<Gateway<D, C>>,
    sidecar_port: u16,
) {
    let mut feeds = Feeds::new();
    let publisher = gateway.clone();
    tokio::spawn(async move { publisher.maintain_pool_summaries().await });
    let mut previous = None;
    loop {
        let current = (gateway.upstreams.by_pool(), gateway.policy());
        if previous.as_ref().is_none_or(|previous| !is_unchanged(previous, &current)) {
            reconcile_feeds(&mut feeds, &gateway, &current.0, sidecar_port);
            previous = Some(current);
        }
        sleep(LOOK_EVERY).await;
    }
}

/// The tasks that follow sidecars, keyed by upstream ID and sidecar address.
type Feeds = HashMap<(Name, SocketAddr), JoinHandle<()>>;

/// Aborts the feeds of upstreams that are no longer listed and starts the missing feeds
/// of engines.
fn reconcile_feeds<D: Dialect, C: Clock>(
    feeds: &mut Feeds,
    gateway: &Arc<Gateway<D, C>>,
    by_pool: &UpstreamsByPool,
    sidecar_port: u16,
) {
    let place = |upstream: &Arc<Upstream>| {
        let address = SocketAddr::new(upstream.address.ip(), sidecar_port);
        (upstream.id.clone(), address)
    };
    let upstreams = || by_pool.values().flat_map(|pool| pool.iter());
    let listed: HashSet<_> = upstreams().map(place).collect();
    for (_, feed) in feeds.extract_if(|followed, _| !listed.contains(followed)) {
        feed.abort();
    }
    for upstream in upstreams().filter(|upstream| gateway.is_engine(upstream)) {
        feeds.entry(place(upstream)).or_insert_with_key(|(id, address)| {
            tokio::spawn(follow(gateway.clone(), id.clone(), *address))
        });
    }
}

/// The upstreams and the configuration, which determine the set of feeds.
type FeedInputs = (Arc<UpstreamsByPool>, Option<Arc<Policy>>);

/// Reports whether neither the upstreams nor the configuration have been replaced.
fn is_unchanged(before: &FeedInputs, after: &FeedInputs) -> bool {
    let policy = |inputs: &FeedInputs| inputs.1.as_ref().map(Arc::as_ptr);
    Arc::ptr_eq(&before.0, &after.0) && policy(before) == policy(after)
}

async fn follow<D: Dialect, C: Clock>(
    gateway: Arc<Gateway<D, C>>,
    id: Name,
    address: SocketAddr,
) {
    let mut told = false;
    loop {
        let outcome = listen(&gateway, &id, address, &mut told).await;
        if let Some(upstream) = gateway.upstreams.get(&id) {
            upstream.forget_feed();
            if told && outcome.as_ref().is_err_and(is_silence) {
                upstream.doubt();
            }
        }
        gateway.stores.forget_reporter(&id, &[]);
        if std::mem::take(&mut told) {
            let reason =
                outcome.err().map_or_else(String::new, |error| error.to_string());
            log::info!(target: "sidecar", upstream = id.as_str(), reason = reason.as_str(); "lost");
        }
        sleep(PAUSE).await;
    }
}

/// Reports whether a connection was given up as nothing came, rather than ended.
fn is_silence(error: &WireError) -> bool {
    matches!(error, WireError::Io(error) if error.kind() == ErrorKind::TimedOut)
}

async fn listen<D: Dialect, C: Clock>(
    gateway: &Gateway<D, C>,
    id: &Name,
    address: SocketAddr,
    told: &mut bool,
) -> Result<(), WireError> {
    let late = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
    let connecting = timeout(CONNECT, TcpStream::connect(address));
    let connected = connecting.await.map_err(late)?;
    gateway.sidecars.note(address.ip(), &connected, gateway.clock.now());
    let stream = connected?;
    set_options(&stream);
    let mut framed = Framed::new(stream, FrameCodec::new());
    let (queue, mut queued) = mpsc::channel(NOTICES_AHEAD);
    let (questions, mut to_ask) = mpsc::channel(QUESTIONS_AHEAD);
    let mut asked = Asked::default();
    let mut joined = None;
    let mut noticed = None;
    let mut summaries = gateway.subscribe_to_pool_summaries();
    let mut silent_at = Instant::now() + SILENCE;
    let mut followed: Option<Arc<Upstream>> = None;
    // A sidecar that started again knows of no crash.
    for notice in gateway.crashes.notices(gateway.clock.now()) {
        let body = Some(Body::CrashNotice(notice));
        framed.send(Frame { body, ..Frame::default() }).await?;
    }
    loop {
        // Looked up each time, as another incarnation may have taken its place.
        let Some(upstream) = gateway.upstreams.get(id) else { return Ok(()) };
        if followed.as_ref().is_none_or(|before| !Arc::ptr_eq(before, &upstream)) {
            let before = followed.replace(upstream.clone());
            if before.is_some_and(|before| was_listed_anew(&before, &upstream)) {
                return Ok(());
            }
            upstream.set_sidecar_queue(queue.clone());
            summaries.mark_changed();
        }
        if summaries.has_changed().unwrap_or(false) {
            let notice = {
                let summaries = summaries.borrow_and_update();
                summaries.get(&upstream.pool).map(|summary| summary.notice(&upstream))
            };
            if let Some(notice) = notice.filter(|n| noticed.as_ref() != Some(n)) {
                gateway.stores.forget_reporter(id, &notice.prompt_stores);
                let body = Some(Body::EntryNotice(notice.clone()));
                framed.send(Frame { body, ..Frame::default() }).await?;
                noticed = Some(notice);
            }
        }
        let frame = tokio::select! {
            frame = timeout_at(silent_at, framed.next()) => frame.map_err(late)?,
            _ = summaries.changed() => {
                // `changed` marks the value as seen, but the notice is yet to be built.
                summaries.mark_changed();
                continue;
            }
            body = queued.recv() => {
                framed.send(Frame { body, ..Frame::default() }).await?;
                continue;
            }
            Some(question) = to_ask.recv() => {
                framed.send(asked.put(question)).await?;
                continue;
            }
        };
        silent_at = Instant::now() + SILENCE;
        let Some(frame) = frame else { return Ok(()) };
        let Frame { call, body, .. } = frame?;
        let state = match body {
            Some(Body::UpstreamState(state)) => Some(state),
            Some(Body::CacheChange(change)) => {
                gateway.note_cache(id, &change);
                None
            }
            Some(Body::StoreChange(change)) => {
                gateway.stores.apply_report(id, &change);
                None
            }
            Some(Body::CrashNotice(notice)) => {
                gateway.merge_crash_notice(notice);
                None
            }
            Some(Body::WatchAnswer(answer)) => {
                asked.answer(call, answer);
                None
            }
            _ => None,
        };
        if let Some(state) = state {
            if !std::mem::replace(told, true) {
                let address = address.to_string();
                log::info!(target: "sidecar", upstream = id.as_str(), address = address.as_str(); "heard");
            }
            gateway.hear(id, state);
            joined.get_or_insert_with(|| {
                gateway.hubs.join(address, &upstream, questions.clone())
            });
        }
    }
}

/// The questions that a sidecar has yet to answer.
#[derive(Debug, Default)]
struct Asked {
    last_call: u64,
    waiting: HashMap<u64, oneshot::Sender<WatchAnswer>>,
}

impl Asked {
    /// Notes a question; returns the frame that asks it.
    fn put(&mut self, question: HubQuestion) -> Frame {
        // Whoever asked may have given up meanwhile.
        self.waiting.retain(|_, reply| !reply.is_closed());
        self.last_call += 1;
        self.waiting.insert(self.last_call, question.reply);
        let body = Some(Body::WatchAsk(question.ask));
        Frame { call: self.last_call, body, ..Frame::default() }
    }

    /// Hands an answer to who asked.
    fn answer(&mut self, call: u64, answer: WatchAnswer) {
        if let Some(reply) = self.waiting.remove(&call) {
            let _ = reply.send(answer);
        }
    }
}

/// Reports whether two values of an upstream have the same incarnation, which means
/// that it was briefly unlisted and then listed again.
///
/// What its cache holds was told before; only a new connection tells it all again.
fn was_listed_anew(before: &Upstream, upstream: &Upstream) -> bool {
    before.incarnation() == upstream.incarnation()
}
