//! The current knowledge of an entry about one upstream.

mod admission;
mod limit;
mod live;
pub(crate) mod reservation;
mod stalls;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;

use bilberry_core::HostLife;
use bilberry_core::Incarnation;
use bilberry_core::Name;
use bilberry_core::PlacementCandidate;
use bilberry_core::PrefillBacklog;
use bilberry_core::SidecarStatus;
use bilberry_core::SoftwareId;
use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_core::WeightsStatus;
use bilberry_core::WorkPace;
use bilberry_wire::Body;
use bilberry_wire::CacheChange;
use bilberry_wire::UpstreamState;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::EngineConfig;
use crate::Listing;
use crate::ServerStatus;
use crate::admission::AdmissionQueue;
use crate::run_query::RunQuestion;
use crate::upstream::live::Live;

/// How long a part counts as held after it was prefilled or used there.
///
/// Some cache events are lost. Without an expiry, a part whose eviction was not
/// reported would count as held forever, and every fetch of it would go to an upstream
/// that does not have it. A failed fetch costs one millisecond, prefilling a part again
/// a few hundred, so a part that is no longer held does less harm than one forgotten too
/// early.
const PART_TTL_MS: u64 = 12_000;

/// The number of recorded parts of one upstream above which expired ones are pruned.
///
/// Engines currently cache a few hundred shared parts, and some eviction events are lost;
/// without pruning, the parts would accumulate in an entry that runs for weeks.
const PART_PRUNE_THRESHOLD: usize = 4_000;

/// The backoff after the first failure of an upstream.
///
/// About the time in which the sidecar's feed reports a crash as well.
const INITIAL_BACKOFF_MS: u64 = 250;

/// The longest backoff between two attempts at a failing upstream.
const MAX_BACKOFF_MS: u64 = 2_000;

/// The longest pause that an upstream may request.
///
/// A longer one is most likely given in the wrong unit; the one request per hour that is
/// then sent reveals the mistake.
const MAX_PAUSE_MS: u64 = 3_600_000;

/// The number of requests per slot that one entry sends to a plain server.
///
/// With two, a short queue keeps every slot busy; more would only wait.
const PLAIN_REQUESTS_PER_SLOT: u64 = 2;

/// How old the state of an engine may be when its sidecar sends it.
///
/// A sidecar that has asked a restarted engine for its state repeats the earlier one until
/// the reply or its timeout.
const MAX_REPORT_AGE_MS: u64 = 500;

/// The version that stands for missing weights; versions of actual weights start at 1.
const NO_WEIGHTS: u64 = 0;

/// Reports whether a part recorded as held from `since` on counts as held at `now`.
fn is_held(since: UnixMs, now: UnixMs) -> bool {
    since.has_passed_at(now) && now.ms_since(since) < PART_TTL_MS
}

/// Returns the software version that a listing names, and its id.
fn listed_software(listed: &Listing) -> Option<(Name, SoftwareId)> {
    let version = listed.software.clone()?;
    let id = SoftwareId::new(&listed.pool, &version);
    Some((version, id))
}

/// Removes expired parts once the number of parts exceeds the threshold.
fn prune_expired(parts: &mut HashMap<u64, UnixMs>, now: UnixMs) {
    if parts.len() > PART_PRUNE_THRESHOLD {
        parts.retain(|_, since| now.ms_since(*since) < PART_TTL_MS);
    }
}

/// One incarnation of an upstream and its state.
///
/// When the upstream restarts under the same id, another value replaces this one. The
/// reservations, failures, weights, cached parts and leaving state of the earlier
/// incarnation then no longer count, and requests that still refer to it can detect the
/// restart.
#[derive(Debug)]
pub struct Upstream {
    /// Its id.
    pub id: Name,
    /// Its service.
    pub pool: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// A hash of its address.
    pub seed: u64,
    /// When it was first listed, as a position that grows with each new entry.
    pub listed_at: StorePosition,
    /// The version of its software, once the list names it for this incarnation.
    software: OnceLock<(Name, SoftwareId)>,
    live: Mutex<Live>,
    parts: Mutex<HashMap<u64, UnixMs>>,
    lost: watch::Sender<bool>,
    /// Whether its sidecar reports that its runs make no progress.
    stalled: watch::Sender<bool>,
    /// Whether neither its sidecar nor the upstream itself answers.
    host_silent: watch::Sender<bool>,
    to_sidecar: Mutex<Option<mpsc::Sender<Body>>>,
    admissions: Mutex<Option<AdmissionQueue>>,
    run_queries: Mutex<Option<mpsc::Sender<RunQuestion>>>,
    status_changed: Arc<Notify>,
}

impl Upstream {
    /// Creates an upstream of which only its listing is known.
    pub fn new(listed: &Listing) -> Self {
        let live = Live::new(listed);
        Self {
            id: listed.id.clone(),
            pool: listed.pool.clone(),
            address: listed.address,
            data_centre: listed.data_centre.clone(),
            // Hashes the address instead of the id, so that a restarted server keeps its
            // share of the prompts and the other servers keep theirs.
            seed: xxh3_64(listed.address.to_string().as_bytes()),
            listed_at: listed.listed_at,
            software: listed_software(listed).map(OnceLock::from).unwrap_or_default(),
            live: Mutex::new(live),
            parts: Mutex::default(),
            lost: watch::Sender::new(false),
            stalled: watch::Sender::new(false),
            host_silent: watch::Sender::new(false),
            to_sidecar: Mutex::default(),
            admissions: Mutex::default(),
            run_queries: Mutex::default(),
            status_changed: Arc::default(),
        }
    }

    /// Sets the notification for when it starts leaving, goes down or comes back, when
    /// the feed from its sidecar starts or is lost, or when its models change.
    pub(crate) fn set_status_notify(&mut self, status_changed: Arc<Notify>) {
        self.status_changed = status_changed;
    }

    /// Applies a new listing of this incarnation.
    pub fn update(&self, listed: &Listing) {
        if let Some(software) = listed_software(listed) {
            self.software.get_or_init(|| software);
        }
        let mut live = self.live.lock().unwrap();
        live.slots = listed.slots;
        let starts_leaving = listed.leaving && !live.leaving;
        live.leaving |= listed.leaving;
        live.confirmed |= listed.incarnation.is_some();
        if starts_leaving || live.listed_models != listed.models {
            self.status_changed.notify_one();
        }
        live.listed_models = listed.models.clone();
    }

    /// Returns the version of its software, if the list names it for this incarnation.
    pub fn software(&self) -> Option<&Name> {
        self.software.get().map(|(version, _)| version)
    }

    /// Returns the id of its software version, if known.
    pub fn software_id(&self) -> Option<SoftwareId> {
        self.software.get().map(|&(_, id)| id)
    }

    /// Returns the software version that answered at `at` under its id, if that is
    /// certain.
    ///
    /// A server that has started again under its id answers requests that were meant for
    /// the earlier start, until its sidecar or the list reports the later one.
    pub fn software_at(&self, at: UnixMs) -> Option<SoftwareId> {
        let live = self.live.lock().unwrap();
        let is_certain = !live.ended || live.reported_at >= at.plus_ms(MAX_REPORT_AGE_MS);
        self.software_id().filter(|_| is_certain)
    }

    /// Marks it as leaving; it gets no new work.
    pub fn leave(&self) {
        self.live.lock().unwrap().leaving = true;
        self.status_changed.notify_one();
    }

    /// Records that it has announced its shutdown; it does so once per incarnation.
    pub fn announce_leaving(&self) {
        let mut live = self.live.lock().unwrap();
        live.leaving = true;
        live.announced_leaving = true;
        self.status_changed.notify_one();
    }

    /// Reports whether it has announced its shutdown.
    pub fn has_announced_leaving(&self) -> bool {
        self.live.lock().unwrap().announced_leaving
    }

    /// Marks this incarnation as ended by a restart.
    ///
    /// Its runs are lost, and it gets no new work. Without this, requests would wait for
    /// streams whose engine has restarted without closing the connection.
    pub fn end(&self) {
        let mut live = self.live.lock().unwrap();
        live.leaving = true;
        live.ended = true;
        self.lost.send_replace(true);
        self.status_changed.notify_one();
    }

    /// Reports whether the upstream has restarted since.
    pub fn has_ended(&self) -> bool {
        self.live.lock().unwrap().ended
    }

    /// Returns the incarnation, if known.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.live.lock().unwrap().incarnation
    }

    /// Creates the next incarnation from the first state that its sidecar reports.
    ///
    /// The list still describes this incarnation, so its weights and leaving state are
    /// not carried over. A model whose weights the sidecar does not report yet has
    /// none, so that requests for it are refused there instead of running on whatever
    /// weights it loads.
    ///
    /// A sidecar does not know whether its engine kept its id, so the new incarnation
    /// gets one request at a time until it has answered or is listed. An engine that
    /// came back under another id refuses all requests; if all its slots were offered
    /// at once, it would use up the retries of many requests.
    pub fn next_incarnation(&self, state: &UpstreamState) -> Self {
        let reported_version = |name: &Name| {
            let found = state.models.iter().find(|found| found.model == *name);
            found.map_or(NO_WEIGHTS, |found| found.version)
        };
        let (slots, models) = {
            let live = self.live.lock().unwrap();
            let models = live.listed_models.iter();
            let models = models.map(|(name, _)| (name.clone(), reported_version(name)));
            (live.slots, models.collect())
        };
        let next = Self::new(&Listing {
            id: self.id.clone(),
            pool: self.pool.clone(),
            address: self.address,
            data_centre: self.data_centre.clone(),
            slots,
            leaving: false,
            models,
            listed_at: self.listed_at,
            // A server may start with other software under its id.
            software: None,
            incarnation: state.incarnation(),
        });
        next.live.lock().unwrap().confirmed = false;
        next
    }

    /// Applies a state of this incarnation that the sidecar reports.
    pub fn apply_state(&self, state: UpstreamState, now: UnixMs) {
        let mut live = self.live.lock().unwrap();
        if live.ended {
            return;
        }
        self.lost.send_if_modified(|lost| {
            let changed = *lost == state.up;
            *lost = !state.up;
            changed
        });
        self.set_stalled(state.stalled);
        if state.up && live.feed.as_ref().is_none_or(|(old, _)| !old.up) {
            live.failures = 0;
            live.backoff_until = UnixMs(0);
        }
        let was_leaving = live.leaving;
        // A listing outlives its server by some heartbeats. Meanwhile another server
        // may answer at its address, and it refuses requests meant for the first. If
        // the state includes the start time, it identifies the server. The cache epoch
        // is queried separately and may lag behind the start time.
        match state.cache_epoch {
            _ if state.started_at_ms.is_some() => live.incarnation = state.incarnation(),
            0 => {}
            epoch if live.cache_epoch == 0 => live.cache_epoch = epoch,
            epoch => live.leaving |= epoch != live.cache_epoch,
        }
        live.leaving |= state.leaving;
        live.announced_leaving |= state.leaving;
        live.seems_down = !state.up;
        live.host_life.record_report(now);
        self.host_silent.send_if_modified(std::mem::take);
        live.loads_at = state.loads_in_ms.map(|in_ms| now.plus_ms(in_ms));
        live.sent_since_feed = 0;
        live.tokens_since_feed = 0;
        live.pending_since_feed = 0;
        let is_unchanged = live
            .fresh_feed(now)
            .is_some_and(|known| known.up == state.up && known.models == state.models);
        if !is_unchanged || live.leaving != was_leaving {
            self.status_changed.notify_one();
        }
        live.feed = Some((state, now));
        live.reported_at = now;
    }

    /// Applies a change of its cache.
    pub fn apply_cache_change(&self, change: &CacheChange, now: UnixMs) {
        let mut parts = self.parts.lock().unwrap();
        if change.reset {
            parts.clear();
        }
        change.removed.iter().for_each(|key| {
            parts.remove(key);
        });
        parts.extend(change.added.iter().map(|&key| (key, now)));
        prune_expired(&mut parts, now);
    }

    /// Returns the number of recorded parts, including expired ones.
    pub fn part_count(&self) -> usize {
        self.parts.lock().unwrap().len()
    }

    /// Records that it holds a part from `since` on, before its sidecar reports the part.
    pub fn expect_part(&self, key: u64, since: UnixMs) {
        self.parts.lock().unwrap().insert(key, since);
    }

    /// Records that it is expected to hold a part from `expected_end` on, unless it holds
    /// the part already.
    pub fn expect_reading(&self, key: u64, expected_end: UnixMs, now: UnixMs) {
        let mut parts = self.parts.lock().unwrap();
        let since = parts.entry(key).or_insert(expected_end);
        if !is_held(*since, now) {
            *since = expected_end;
        }
        prune_expired(&mut parts, now);
    }

    /// Discards those of the parts that it was expected to hold from `since` on or later.
    pub fn forget_parts_since(&self, keys: &[u64], since: UnixMs) {
        let mut parts = self.parts.lock().unwrap();
        for key in keys {
            if parts.get(key).is_some_and(|&expected| expected >= since) {
                parts.remove(key);
            }
        }
    }

    /// Reports whether it holds a part that other engines may fetch.
    ///
    /// A fetch from a dead engine delays its request by a few hundred milliseconds, so
    /// the parts of an engine that seems down do not count.
    pub fn holds(&self, key: u64, now: UnixMs) -> bool {
        if self.live.lock().unwrap().seems_down {
            return false;
        }
        let parts = self.parts.lock().unwrap();
        parts.get(&key).is_some_and(|since| is_held(*since, now))
    }

    /// Discards the state from the sidecar after its connection is lost.
    ///
    /// The engine's parts still count until a send to it fails, as an engine keeps
    /// running without its sidecar. If its parts were discarded too, its prompts would be
    /// prefilled again at other engines. Under full load with sidecars that end
    /// repeatedly, this more than halves the value for callers.
    pub fn clear_feed(&self) {
        let mut live = self.live.lock().unwrap();
        if live.feed.take().is_some() {
            self.status_changed.notify_one();
        }
        live.loads_at = None;
        self.set_stalled(false);
        if live.ended {
            return;
        }
        self.lost.send_if_modified(|lost| std::mem::replace(lost, false));
    }

    /// Changes or reads the signs of life of its host.
    pub fn with_host_life<T>(&self, act: impl FnOnce(&mut HostLife) -> T) -> T {
        let mut live = self.live.lock().unwrap();
        let outcome = act(&mut live.host_life);
        let is_silent = live.host_life.is_silent();
        self.host_silent
            .send_if_modified(|known| std::mem::replace(known, is_silent) != is_silent);
        outcome
    }

    /// Reports whether its host is silent, or the next report of its sidecar is overdue.
    pub fn is_host_doubtful(&self, now: UnixMs) -> bool {
        self.live.lock().unwrap().host_life.is_doubtful(now)
    }

    /// Reports whether neither its sidecar nor the upstream itself answers.
    pub fn is_host_silent(&self) -> bool {
        *self.host_silent.borrow()
    }

    /// Waits until neither its sidecar nor the upstream itself answers.
    pub(crate) async fn wait_until_host_silent(&self) {
        let mut host_silent = self.host_silent.subscribe();
        if host_silent.wait_for(|&silent| silent).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Applies the status in one of its answers.
    pub fn record_status(&self, status: &ServerStatus, now: UnixMs) {
        let mut live = self.live.lock().unwrap();
        live.load = status.load.or(live.load);
        if let Some(percent) = status.load.and_then(|load| load.host_percent) {
            live.host_load.record(percent, now);
        }
        if status.is_shutting_down && !live.announced_leaving {
            live.leaving = true;
            live.announced_leaving = true;
            self.status_changed.notify_one();
            log::info!(target: "upstream", upstream = self.id.as_str(); "announced shutdown in an answer");
        }
        if let Some(retry_after_ms) = status.retry_after_ms {
            log::info!(target: "upstream", upstream = self.id.as_str(), retry_after_ms; "turned a request away with Retry-After");
            let until = now.plus_ms(retry_after_ms.min(MAX_PAUSE_MS));
            live.paused_until = live.paused_until.max(until);
        }
    }

    /// Records that the upstream answered.
    pub fn record_answer(&self, now: UnixMs) {
        let mut live = self.live.lock().unwrap();
        live.confirmed = true;
        live.host_life.record_answer(now);
        self.host_silent.send_if_modified(std::mem::take);
        live.failures = 0;
        live.backoff_until = UnixMs(0);
        live.seems_down = false;
    }

    /// Records that the upstream gave no answer, and backs off.
    pub fn record_failure(&self, now: UnixMs) {
        let mut live = self.live.lock().unwrap();
        let pause_ms = INITIAL_BACKOFF_MS << live.failures.min(3);
        live.failures += 1;
        live.seems_down = true;
        live.backoff_until = now.plus_ms(pause_ms.min(MAX_BACKOFF_MS));
    }

    /// Backs off for `pause_ms` after the upstream answered that it is full.
    pub fn record_busy(&self, now: UnixMs, pause_ms: u64) {
        let mut live = self.live.lock().unwrap();
        live.backoff_until = live.backoff_until.max(now.plus_ms(pause_ms));
    }

    /// Returns the version of a model's weights from the most recent source.
    pub fn weights(&self, model: &str, now: UnixMs) -> Option<u64> {
        let live = self.live.lock().unwrap();
        let listed = live.listed_models.iter().find(|(name, _)| name == model);
        let listed = listed.map(|&(_, version)| version);
        // Versions only increase within one incarnation, so the higher one is the more
        // recent.
        live.reported_weights(model, now).max(listed)
    }

    /// Returns the version of a model's weights that its sidecar reports.
    pub fn reported_weights(&self, model: &str, now: UnixMs) -> Option<u64> {
        self.live.lock().unwrap().reported_weights(model, now)
    }

    /// Returns the models that the list or its sidecar names, possibly with duplicates.
    pub(crate) fn model_names(&self, now: UnixMs) -> Vec<Name> {
        let live = self.live.lock().unwrap();
        let reported = live.fresh_feed(now).map_or(&[][..], |state| &state.models);
        let reported = reported.iter().map(|found| Name::from(found.model.as_str()));
        let listed = live.listed_models.iter().map(|(name, _)| name.clone());
        listed.chain(reported).collect()
    }

    /// Returns all models with the versions of their weights.
    pub fn models(&self, now: UnixMs) -> Vec<(Name, u64)> {
        let names: Vec<Name> = {
            let live = self.live.lock().unwrap();
            live.listed_models.iter().map(|(name, _)| name.clone()).collect()
        };
        let version = |name: &Name| self.weights(name, now).unwrap_or_default();
        names.into_iter().map(|name| (name.clone(), version(&name))).collect()
    }

    /// Returns how many entries are connected to its sidecar, if known.
    pub fn entries_seen(&self, now: UnixMs) -> Option<usize> {
        let live = self.live.lock().unwrap();
        live.fresh_feed(now).map(|state| state.entries as usize)
    }

    /// Returns its capacity and eligibility for new work.
    pub fn offer(
        &self,
        now: UnixMs,
        own_place: &str,
        engine: Option<EngineConfig>,
    ) -> PlacementCandidate {
        let live = self.live.lock().unwrap();
        let feed = live.fresh_feed(now);
        let (running, queued) = match (feed, live.load) {
            (Some(state), _) => (state.running, state.queued),
            (None, Some(load)) if engine.is_none() => (load.running, load.waiting),
            (None, _) => (0, 0),
        };
        // The sidecar's last state does not include requests that were sent after it.
        let (unseen, unseen_tokens) = match feed {
            Some(_) => (live.sent_since_feed, live.tokens_since_feed),
            None => (0, 0),
        };
        let in_progress = (running + queued + unseen).max(live.in_progress);
        let capacity = match engine {
            Some(_) => live.slots,
            None => live.slots * PLAIN_REQUESTS_PER_SLOT,
        };
        let total_tokens = feed
            .map(|state| state.total_tokens)
            .filter(|&total| total > 0)
            .or(engine.map(|engine| engine.memory_tokens));
        let fed_tokens = feed.map_or(0, |state| state.used_tokens);
        let used_tokens = (fed_tokens + unseen_tokens).max(live.reserved_tokens);
        PlacementCandidate {
            seed: self.seed,
            usable: live.is_eligible(now),
            same_data_centre: self.data_centre == own_place,
            free_slots: capacity.saturating_sub(in_progress),
            free_tokens: total_tokens.map_or(u64::MAX, |t| t.saturating_sub(used_tokens)),
            pending_tokens: live.pending_tokens,
            running: in_progress,
            own_running: live.in_progress,
            mean_pending_tokens: 0,
            reported_pending_tokens: None,
            queued,
            weights: WeightsStatus::Acceptable,
            cached_tokens: 0,
            loads_in_ms: live.loads_at.map(|at| at.ms_since(now)),
            pace: feed.and_then(|state| state.pace).map(WorkPace::from),
            host_percent: match engine {
                Some(_) => None,
                None => live.host_load.percent(now),
            },
        }
    }

    /// Returns the prompt tokens that it prefills before those of a new request with a
    /// priority, if its sidecar reports them.
    pub fn reported_pending_tokens(&self, priority: u32, now: UnixMs) -> Option<u64> {
        let live = self.live.lock().unwrap();
        let load = live.fresh_feed(now)?.admission.as_ref()?;
        let ahead = load.waiting.iter().filter(|waiting| waiting.priority <= priority);
        let waiting_tokens: u64 = ahead.map(|waiting| waiting.tokens).sum();
        Some(load.admitted_tokens + waiting_tokens + live.pending_since_feed)
    }

    /// Returns how much this entry's requests at it still have to prefill on average.
    pub fn prefill_backlog(&self, now: UnixMs) -> PrefillBacklog {
        let mut live = self.live.lock().unwrap();
        let (pending_tokens, running) = (live.pending_tokens, live.in_progress);
        live.backlog.change(pending_tokens, running, now);
        live.backlog
    }

    /// Reports whether it is leaving or its sidecar reports it as down.
    pub fn is_down(&self, now: UnixMs) -> bool {
        self.live.lock().unwrap().is_down(now)
    }

    /// Reports whether it may have other weights by `until`, according to its sidecar.
    ///
    /// An upstream that is down may come back with any weights.
    pub fn may_load_by(&self, until: UnixMs, now: UnixMs) -> bool {
        let live = self.live.lock().unwrap();
        let loads = live.loads_at.is_some_and(|loads_at| loads_at <= until);
        live.fresh_feed(now).is_some_and(|state| !state.up || state.loading || loads)
    }

    /// Reports whether it is alive according to its sidecar and the last send.
    pub fn is_alive(&self, now: UnixMs) -> bool {
        let live = self.live.lock().unwrap();
        !live.is_down(now) && live.failures == 0
    }

    /// Sets the queue of messages to its sidecar.
    pub fn set_sidecar_queue(&self, queue: mpsc::Sender<Body>) {
        *self.to_sidecar.lock().unwrap() = Some(queue);
    }

    /// Sets the queue of queries to its sidecar.
    pub(crate) fn set_run_query_queue(&self, queue: mpsc::Sender<RunQuestion>) {
        *self.run_queries.lock().unwrap() = Some(queue);
    }

    /// Queues a message to its sidecar; returns whether the queue took it.
    pub fn send_to_sidecar(&self, message: Body) -> bool {
        let queue = self.to_sidecar.lock().unwrap();
        queue.as_ref().is_some_and(|queue| queue.try_send(message).is_ok())
    }

    /// Returns when its sidecar last reported; `None` if it never has.
    pub fn heard_at(&self) -> Option<UnixMs> {
        let reported_at = self.live.lock().unwrap().reported_at;
        (reported_at > UnixMs(0)).then_some(reported_at)
    }

    /// Returns whether its sidecar reports it as up or down, or does not report.
    pub fn sidecar_status(&self, now: UnixMs) -> SidecarStatus {
        match self.live.lock().unwrap().fresh_feed(now) {
            Some(state) if state.up => SidecarStatus::Up,
            Some(_) => SidecarStatus::Down,
            None => SidecarStatus::Silent,
        }
    }

    /// Reports whether a current state from its sidecar is known.
    pub fn has_current_feed(&self, now: UnixMs) -> bool {
        self.live.lock().unwrap().fresh_feed(now).is_some()
    }

    /// Returns the end of the pause that it has requested, if that is in the future.
    pub fn paused_until(&self, now: UnixMs) -> Option<UnixMs> {
        let until = self.live.lock().unwrap().paused_until;
        (!until.has_passed_at(now)).then_some(until)
    }

    /// Reports whether it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.live.lock().unwrap().leaving
    }

    /// Waits until its sidecar reports it as down or a later incarnation replaces it.
    pub async fn wait_until_lost(&self) {
        let mut lost = self.lost.subscribe();
        if lost.wait_for(|&lost| lost).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
