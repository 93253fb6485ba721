//! Connections to the sidecars of upstreams, over which sidecars report state.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_wire::AdmissionOutcome;
use bilberry_wire::AdmissionResponse;
use bilberry_wire::AdmissionStage;
use bilberry_wire::AdmissionUpdate;
use bilberry_wire::Body;
use bilberry_wire::Frame;
use bilberry_wire::FrameCodec;
use bilberry_wire::QuotaRefund;
use bilberry_wire::QuotaRequest;
use bilberry_wire::QuotaResponse;
use bilberry_wire::SharingRelease;
use bilberry_wire::WatchResponse;
use bilberry_wire::WireError;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio_util::codec::Framed;

use crate::Dialect;
use crate::Gateway;
use crate::Policy;
use crate::Upstream;
use crate::admission::AdmissionMessage;
use crate::admission::AdmissionQueue;
use crate::connections::set_tcp_options;
use crate::hubs::HubQuestion;
use crate::hubs::QUESTION_QUEUE_CAPACITY;
use crate::quota_client::QUOTA_QUEUE_CAPACITY;
use crate::quota_client::QuotaQuestion;
use crate::run_query::PendingRunQueries;
use crate::run_query::RUN_QUERY_QUEUE_CAPACITY;
use crate::stream_origin::ORIGIN_QUEUE_CAPACITY;
use crate::stream_origin::PendingOriginQueries;
use crate::upstreams::UpstreamsByPool;

/// The interval at which the set of feeds is reconciled with the listed upstreams.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(200);

/// The timeout of a connection attempt to a sidecar.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a sidecar may send nothing; it repeats its state three times as often.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The interval at which an entry repeats its notice to a sidecar that it has asked for
/// admissions.
///
/// A sidecar ends the places of an entry that sends nothing for three times as long, as
/// callers of the other entries need them.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The capacity of the queue of notices to one sidecar. Notices beyond it are dropped,
/// as the engine's own events report the same later.
const NOTICE_QUEUE_CAPACITY: usize = 64;

/// The delay before reconnecting to a sidecar.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);

/// Keeps a connection to the sidecar of each engine, for as long as it is listed.
pub async fn follow_sidecars<D: Dialect, C: Clock>(
    gateway: Arc<Gateway<D, C>>,
    sidecar_port: u16,
) {
    let mut feeds = Feeds::new();
    let publisher = gateway.clone();
    tokio::spawn(async move { publisher.maintain_pool_summaries().await });
    let recorder = gateway.clone();
    tokio::spawn(async move { recorder.maintain_origins().await });
    tokio::spawn(gateway.clone().check_hosts());
    let mut previous = None;
    loop {
        let current = (gateway.upstreams.by_pool(), gateway.policy());
        if previous.as_ref().is_none_or(|previous| !is_unchanged(previous, &current)) {
            reconcile_feeds(&mut feeds, &gateway, &current.0, sidecar_port);
            previous = Some(current);
        }
        sleep(RECONCILE_INTERVAL).await;
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
    let feed_key = |upstream: &Arc<Upstream>| {
        let address = SocketAddr::new(upstream.address.ip(), sidecar_port);
        (upstream.id.clone(), address)
    };
    let upstreams = || by_pool.values().flat_map(|pool| pool.iter());
    let listed: HashSet<_> = upstreams().map(feed_key).collect();
    for (_, feed) in feeds.extract_if(|key, _| !listed.contains(key)) {
        feed.abort();
    }
    for upstream in upstreams().filter(|upstream| gateway.is_engine(upstream)) {
        feeds.entry(feed_key(upstream)).or_insert_with_key(|(id, address)| {
            gateway.quotas.expect(upstream.seed, gateway.clock.now());
            gateway.origins.expect(upstream.seed, gateway.clock.now());
            tokio::spawn(maintain_feed(gateway.clone(), id.clone(), *address))
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

/// Connects to a sidecar and reconnects whenever the connection ends.
async fn maintain_feed<D: Dialect, C: Clock>(
    gateway: Arc<Gateway<D, C>>,
    id: Name,
    address: SocketAddr,
) {
    let mut has_received_state = false;
    loop {
        let outcome = run_feed(&gateway, &id, address, &mut has_received_state).await;
        if let Some(upstream) = gateway.upstreams.get(&id) {
            upstream.clear_feed();
            if is_timeout(&outcome) {
                gateway.part_uses.of(upstream.address).forget_report();
            }
        }
        gateway.stores.forget_reporter(&id, &[]);
        if std::mem::take(&mut has_received_state) {
            let reason =
                outcome.err().map_or_else(String::new, |error| error.to_string());
            log::info!(target: "sidecar", upstream = id.as_str(), reason = reason.as_str(); "lost");
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Reports whether a sidecar can't be reached, while it may still order a load.
fn is_timeout(outcome: &Result<(), WireError>) -> bool {
    matches!(outcome, Err(WireError::Io(error)) if error.kind() == ErrorKind::TimedOut)
}

/// Exchanges messages with a sidecar until the connection ends or the upstream is
/// unlisted.
async fn run_feed<D: Dialect, C: Clock>(
    gateway: &Gateway<D, C>,
    id: &Name,
    address: SocketAddr,
    has_received_state: &mut bool,
) -> Result<(), WireError> {
    let timed_out = |_| std::io::Error::from(ErrorKind::TimedOut);
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let connected = connecting.await.map_err(timed_out)?;
    gateway.sidecars.record_connect(address.ip(), &connected, gateway.clock.now());
    let stream = connected?;
    if let Some(upstream) = gateway.upstreams.get(id) {
        let now = gateway.clock.now();
        upstream.with_host_life(|life| life.expect_report(now));
    }
    set_tcp_options(&stream);
    let mut framed = Framed::new(stream, FrameCodec::new());
    let (queue, mut queued) = mpsc::channel(NOTICE_QUEUE_CAPACITY);
    let (requests, mut queued_requests) = mpsc::channel(QUESTION_QUEUE_CAPACITY);
    let mut pending = PendingQuestions::default();
    let (charges, mut queued_charges) = mpsc::channel(QUOTA_QUEUE_CAPACITY);
    let mut pending_charges = PendingCharges::default();
    let (admissions, mut queued_admissions) = AdmissionQueue::new();
    let mut pending_admissions = PendingAdmissions::default();
    let (run_queries, mut queued_run_queries) = mpsc::channel(RUN_QUERY_QUEUE_CAPACITY);
    let mut pending_run_queries = PendingRunQueries::default();
    let (origins, mut queued_origins) = mpsc::channel(ORIGIN_QUEUE_CAPACITY);
    let mut pending_origins = PendingOriginQueries::default();
    let mut quota_registration = None;
    let mut origin_registration = None;
    let mut registration = None;
    let mut last_notice = None;
    let mut summaries = gateway.subscribe_to_pool_summaries();
    let mut deadline = Instant::now() + IDLE_TIMEOUT;
    let mut repeat_at = Instant::now();
    let mut current: Option<Arc<Upstream>> = None;
    let parts = gateway.upstreams.get(id).map(|it| gateway.part_uses.of(it.address));
    let Some(parts) = parts else { return Ok(()) };
    let mut released_term = None;
    // Crash reports are replayed, as a sidecar that has restarted knows of none.
    for notice in gateway.crashes.notices(gateway.clock.now()) {
        let body = Some(Body::CrashNotice(notice));
        framed.send(Frame { body, ..Frame::default() }).await?;
    }
    loop {
        // Looked up each time, as another incarnation may have replaced it.
        let Some(upstream) = gateway.upstreams.get(id) else { return Ok(()) };
        if current.as_ref().is_none_or(|before| !Arc::ptr_eq(before, &upstream)) {
            let before = current.replace(upstream.clone());
            if before.is_some_and(|before| is_same_incarnation(&before, &upstream)) {
                return Ok(());
            }
            upstream.set_sidecar_queue(queue.clone());
            upstream.set_admission_queue(admissions.clone());
            upstream.set_run_query_queue(run_queries.clone());
            summaries.mark_changed();
        }
        if summaries.has_changed().unwrap_or(false) {
            let notice = {
                let summaries = summaries.borrow_and_update();
                summaries
                    .get(&upstream.pool)
                    .map(|summary| summary.notice(&gateway.settings.host, &upstream))
            };
            if let Some(notice) = notice.filter(|n| last_notice.as_ref() != Some(n)) {
                gateway.stores.forget_reporter(id, &notice.prompt_stores);
                let body = Some(Body::EntryNotice(notice.clone()));
                framed.send(Frame { body, ..Frame::default() }).await?;
                last_notice = Some(notice);
            }
        }
        let term = parts.released_term(gateway.clock.now()).unwrap_or_default();
        if released_term.replace(term) != Some(term) {
            let process = gateway.part_uses.process;
            let body = Some(Body::SharingRelease(SharingRelease { term, process }));
            framed.send(Frame { body, ..Frame::default() }).await?;
        }
        let frame = tokio::select! {
            _ = parts.ended.notified() => continue,
            frame = timeout_at(deadline, framed.next()) => frame.map_err(timed_out)?,
            _ = summaries.changed() => {
                // `changed` marks the value as seen, but the notice is yet to be built.
                summaries.mark_changed();
                continue;
            }
            body = queued.recv() => {
                framed.send(Frame { body, ..Frame::default() }).await?;
                continue;
            }
            Some(request) = queued_requests.recv() => {
                framed.send(pending.register(request)).await?;
                continue;
            }
            Some(question) = queued_charges.recv() => {
                framed.send(pending_charges.register(question)).await?;
                continue;
            }
            _ = sleep_until(repeat_at), if pending_admissions.has_asked => {
                if let Some(notice) = last_notice.clone() {
                    let body = Some(Body::EntryNotice(notice));
                    framed.send(Frame { body, ..Frame::default() }).await?;
                }
                repeat_at = Instant::now() + REPEAT_INTERVAL;
                continue;
            }
            Some(message) = queued_admissions.recv() => {
                framed.send(pending_admissions.register(message)).await?;
                continue;
            }
            Some(message) = queued_origins.recv() => {
                framed.send(pending_origins.register(message)).await?;
                continue;
            }
            Some(question) = queued_run_queries.recv() => {
                framed.send(pending_run_queries.register(question)).await?;
                continue;
            }
        };
        deadline = Instant::now() + IDLE_TIMEOUT;
        let Some(frame) = frame else { return Ok(()) };
        let Frame { call, body, .. } = frame?;
        let state = match body {
            Some(Body::UpstreamState(state)) => Some(state),
            Some(Body::CacheChange(change)) => {
                gateway.apply_cache_change(id, &change);
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
            Some(Body::LimitNotice(notice)) => {
                gateway.apply_limit_notice(&notice);
                None
            }
            Some(Body::WatchResponse(response)) => {
                pending.resolve(call, response);
                None
            }
            Some(Body::OriginReply(reply)) => {
                pending_origins.resolve(call, reply);
                None
            }
            Some(Body::RunReply(reply)) => {
                pending_run_queries.resolve(call, reply);
                None
            }
            Some(Body::QuotaResponse(response)) => {
                if let Some(refund) = pending_charges.resolve(call, response) {
                    gateway.quotas.record_late_reply(upstream.seed);
                    let body = Some(Body::QuotaRefund(refund));
                    framed.send(Frame { body, ..Frame::default() }).await?;
                }
                None
            }
            Some(Body::AdmissionResponse(response)) => {
                if let Some(ended) = pending_admissions.resolve(call, response) {
                    let body = Some(Body::AdmissionUpdate(ended));
                    framed.send(Frame { call, body, ..Frame::default() }).await?;
                }
                None
            }
            _ => None,
        };
        if let Some(state) = state {
            if !std::mem::replace(has_received_state, true) {
                let address = address.to_string();
                log::info!(target: "sidecar", upstream = id.as_str(), address = address.as_str(); "heard");
            }
            if state.keeps_quotas {
                gateway.quotas.record_contact(gateway.clock.now());
                quota_registration.get_or_insert_with(|| {
                    let seed = upstream.seed;
                    gateway.quotas.register(id, seed, charges.clone(), &gateway.clock)
                });
            }
            if state.keeps_origins {
                origin_registration.get_or_insert_with(|| {
                    let seed = upstream.seed;
                    gateway.origins.register(seed, origins.clone(), &gateway.clock)
                });
            }
            gateway.apply_sidecar_state(id, state);
            registration.get_or_insert_with(|| {
                gateway.hubs.register(address, &upstream, requests.clone())
            });
        }
    }
}

/// The watch requests that a sidecar has not answered yet, by call id.
#[derive(Debug, Default)]
struct PendingQuestions {
    last_call: u64,
    replies: HashMap<u64, oneshot::Sender<WatchResponse>>,
}

impl PendingQuestions {
    /// Registers a request and returns the frame that sends it.
    fn register(&mut self, request: HubQuestion) -> Frame {
        // Requests whose senders have given up are dropped.
        self.replies.retain(|_, reply| !reply.is_closed());
        self.last_call += 1;
        self.replies.insert(self.last_call, request.reply);
        let body = Some(Body::WatchRequest(request.ask));
        Frame { call: self.last_call, body, ..Frame::default() }
    }

    /// Passes a response to the sender of its request.
    fn resolve(&mut self, call: u64, response: WatchResponse) {
        if let Some(reply) = self.replies.remove(&call) {
            let _ = reply.send(response);
        }
    }
}

/// The charges that a sidecar has not decided yet, by call id.
#[derive(Debug, Default)]
struct PendingCharges {
    last_call: u64,
    charges: HashMap<u64, (QuotaRequest, oneshot::Sender<QuotaResponse>)>,
}

impl PendingCharges {
    /// Registers a question and returns the frame that sends it.
    fn register(&mut self, question: QuotaQuestion) -> Frame {
        self.last_call += 1;
        let body = match question {
            QuotaQuestion::Charge { request, reply } => {
                self.charges.insert(self.last_call, (request.clone(), reply));
                Body::QuotaRequest(request)
            }
            QuotaQuestion::Refund(refund) => Body::QuotaRefund(refund),
            QuotaQuestion::Limit(notice) => Body::LimitNotice(notice),
        };
        Frame { call: self.last_call, body: Some(body), ..Frame::default() }
    }

    /// Passes a decision to the request that waits for it.
    ///
    /// Returns the refund of a late decision, whose request no longer waits.
    fn resolve(&mut self, call: u64, response: QuotaResponse) -> Option<QuotaRefund> {
        let (request, reply) = self.charges.remove(&call)?;
        let unused = reply.send(response).err()?;
        let cost = if unused.admitted { request.cost } else { 0.0 };
        Some(QuotaRefund { customer: request.customer, cost })
    }
}

/// The requests that wait for the decision of a sidecar on their admission, by call id.
#[derive(Debug, Default)]
struct PendingAdmissions {
    /// Whether there has been a request.
    has_asked: bool,
    responses: HashMap<u64, mpsc::Sender<AdmissionResponse>>,
}

impl PendingAdmissions {
    /// Registers a message and returns the frame that sends it.
    fn register(&mut self, message: AdmissionMessage) -> Frame {
        let (call, body) = match message {
            AdmissionMessage::Request { call, request, responses, space } => {
                drop(space);
                self.has_asked = true;
                self.responses.insert(call, responses);
                (call, Body::AdmissionRequest(request))
            }
            AdmissionMessage::Update { call, stage } => {
                if stage == AdmissionStage::Ended {
                    self.responses.remove(&call);
                }
                let stage = stage.into();
                (call, Body::AdmissionUpdate(AdmissionUpdate { stage }))
            }
        };
        Frame { call, body: Some(body), ..Frame::default() }
    }

    /// Passes a response to the request that waits for it.
    ///
    /// Returns the end of an admission whose request no longer waits.
    fn resolve(
        &mut self,
        call: u64,
        response: AdmissionResponse,
    ) -> Option<AdmissionUpdate> {
        let outcome = response.outcome();
        let is_delivered = match self.responses.get(&call) {
            Some(responses) => responses.try_send(response).is_ok(),
            None => false,
        };
        if outcome != AdmissionOutcome::Queued {
            self.responses.remove(&call);
        }
        let is_late = outcome == AdmissionOutcome::Admitted && !is_delivered;
        is_late.then(|| AdmissionUpdate { stage: AdmissionStage::Ended.into() })
    }
}

/// Reports whether two values of an upstream have the same incarnation, which means that
/// it was briefly unlisted and then listed again.
///
/// The feed then has to reconnect, as the sidecar reports the full contents of the cache
/// only at the start of a connection.
fn is_same_incarnation(before: &Upstream, upstream: &Upstream) -> bool {
    before.incarnation() == upstream.incarnation()
}
