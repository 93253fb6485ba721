//! What an entry knows of one upstream at this moment.

mod live;
pub(crate) mod seat;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use bilberry_core::Incarnation;
use bilberry_core::Name;
use bilberry_core::Offer;
use bilberry_core::SidecarStatus;
use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_core::Weights;
use bilberry_wire::Body;
use bilberry_wire::CacheChange;
use bilberry_wire::UpstreamState;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::EngineTerms;
use crate::Listed;
use crate::ServerStatus;
use crate::upstream::live::Live;

/// For how long a part counts as held after it was read or used there.
///
/// Some cache events never arrive. A part whose end was not told would else count
/// as held for ever, and every fetch of it would go to the one upstream that does
/// not have it. A fetch in vain costs a millisecond, a part that is read anew some
/// hundred: 0.005 of the callers' worth more than with 6 s, and 0.010 more than with
/// 3 s, mean of twelve paired plays of crashes and new weights on three deployments.
const HELD_MS: u64 = 12_000;

/// How many parts of one upstream are remembered before those out of date are cleared
/// away.
///
/// An engine of today caches some hundred shared parts, and some events that end one
/// never arrive; without this, an entry that runs for weeks would remember them all.
const CLEAR_PARTS_ABOVE: usize = 4_000;

/// How long an upstream is left alone after its first failure.
///
/// About the time in which a crash shows on the sidecar's feed as well.
const FIRST_SUSPICION_MS: u64 = 250;

/// The longest time for which an upstream is left alone between two trials.
const MOST_SUSPICION_MS: u64 = 2_000;

/// The longest pause that an upstream may ask for.
///
/// One that asks for more most likely has the unit wrong; one request an hour shows it.
const MAX_PAUSE_MS: u64 = 3_600_000;

/// How many requests a plain server may have from one entry for each slot.
///
/// Two let a short queue keep every slot busy; more would only wait.
const PLAIN_REQUESTS_PER_SLOT: u64 = 2;

/// The version of weights that are not there; those that are count from 1.
const NO_WEIGHTS: u64 = 0;

/// Reports whether a part that is held from `since` on still counts as held.
fn is_held(since: UnixMs, now: UnixMs) -> bool {
    since.has_passed_at(now) && now.ms_since(since) < HELD_MS
}

/// Clears away parts that no longer count as held, once there are many.
fn clear_stale(parts: &mut HashMap<u64, UnixMs>, now: UnixMs) {
    if parts.len() > CLEAR_PARTS_ABOVE {
        parts.retain(|_, since| now.ms_since(*since) < HELD_MS);
    }
}

/// One incarnation of an upstream and what is known of it.
///
/// Where it starts again under its identity another value takes its place, so that
/// seats, failures, weights, cached parts and leaving of the earlier start count no
/// more, and requests that still hold this one can tell.
#[derive(Debug)]
pub struct Upstream {
    /// Its identity.
    pub id: Name,
    /// Its service.
    pub pool: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub place: Name,
    /// A hash of its identity.
    pub seed: u64,
    /// When it was first listed, as a position that grows with each new entry.
    pub listed_at: StorePosition,
    live: Mutex<Live>,
    parts: Mutex<HashMap<u64, UnixMs>>,
    lost: watch::Sender<bool>,
    to_sidecar: Mutex<Option<mpsc::Sender<Body>>>,
    status_changed: Arc<Notify>,
}

impl Upstream {
    /// Creates an upstream that nothing but the list is known of.
    pub fn new(listed: &Listed) -> Self {
        let live = Live::new(listed);
        Self {
            id: listed.id.clone(),
            pool: listed.pool.clone(),
            address: listed.address,
            place: listed.place.clone(),
            // The address, not the identity: a server that restarts keeps its
            // share of prompts, and its neighbours keep theirs.
            seed: xxh3_64(listed.address.to_string().as_bytes()),
            listed_at: listed.listed_at,
            live: Mutex::new(live),
            parts: Mutex::default(),
            lost: watch::Sender::new(false),
            to_sidecar: Mutex::default(),
            status_changed: Arc::default(),
        }
    }

    /// Sets what to notify when it starts leaving, goes down or comes back, when the feed
    /// from its sidecar starts or is lost, or when its models change.
    pub(crate) fn set_status_notify(&mut self, status_changed: Arc<Notify>) {
        self.status_changed = status_changed;
    }

    /// Takes over what the list says now.
    pub fn update(&self, listed: &Listed) {
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

    /// Takes no new work from now on.
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

    /// Reports whether it has announced its shutdown in an answer.
    pub fn has_announced_leaving(&self) -> bool {
        self.live.lock().unwrap().announced_leaving
    }

    /// Notes that it has started again: this incarnation is over.
    ///
    /// What still runs there is lost, and takes no new work. A stream that its engine
    /// left without closing the connection would else be waited for.
    pub fn end(&self) {
        let mut live = self.live.lock().unwrap();
        live.leaving = true;
        live.ended = true;
        self.lost.send_replace(true);
        self.status_changed.notify_one();
    }

    /// Reports whether it has started again since.
    pub fn has_ended(&self) -> bool {
        self.live.lock().unwrap().ended
    }

    /// Returns which of its starts this is, if that is known.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.live.lock().unwrap().incarnation
    }

    /// Returns the upstream as its sidecar first tells of its next incarnation.
    ///
    /// The list still speaks of this one, so its weights and its leaving are not
    /// taken over. A model of which the sidecar tells no weights yet has none: what
    /// is meant for it is refused there, and never runs on whatever it loads.
    ///
    /// A sidecar can't say whether its engine kept its identity, so this start is
    /// tried with one request at a time until it has answered or is listed. One that
    /// came back under another identity refuses all; offered its free slots at once,
    /// it would use up the repeats of many requests.
    pub fn next_incarnation(&self, state: &UpstreamState) -> Self {
        let told = |name: &Name| {
            let found = state.models.iter().find(|found| found.model == *name);
            found.map_or(NO_WEIGHTS, |found| found.version)
        };
        let (slots, models) = {
            let live = self.live.lock().unwrap();
            let models = live.listed_models.iter();
            let models = models.map(|(name, _)| (name.clone(), told(name)));
            (live.slots, models.collect())
        };
        let next = Self::new(&Listed {
            id: self.id.clone(),
            pool: self.pool.clone(),
            address: self.address,
            place: self.place.clone(),
            slots,
            leaving: false,
            models,
            listed_at: self.listed_at,
            incarnation: state.incarnation(),
        });
        next.live.lock().unwrap().confirmed = false;
        next
    }

    /// Takes over what the sidecar says of this incarnation.
    pub fn feed(&self, state: UpstreamState, now: UnixMs) {
        let mut live = self.live.lock().unwrap();
        if live.ended {
            return;
        }
        self.lost.send_if_modified(|lost| {
            let changed = *lost == state.up;
            *lost = !state.up;
            changed
        });
        if state.up && live.feed.as_ref().is_none_or(|(old, _)| !old.up) {
            live.failures = 0;
            live.suspect_until = UnixMs(0);
        }
        let was_leaving = live.leaving;
        // The identity on the list outlives the server by some heartbeats. What
        // answers at its address meanwhile is another one, which refuses what is
        // meant for the first. Where the start is told, it says which one answers;
        // the epoch of the cache, asked for apart, may lag behind it.
        match state.cache_epoch {
            _ if state.born_ms.is_some() => live.incarnation = state.incarnation(),
            0 => {}
            told if live.cache_epoch == 0 => live.cache_epoch = told,
            told => live.leaving |= told != live.cache_epoch,
        }
        live.leaving |= state.leaving;
        live.announced_leaving |= state.leaving;
        live.seems_gone = !state.up;
        live.doubtful = false;
        live.loads_at = state.loads_in_ms.map(|in_ms| now.plus_ms(in_ms));
        live.sent_since_feed = 0;
        live.tokens_since_feed = 0;
        let is_unchanged = live
            .fresh_feed(now)
            .is_some_and(|known| known.up == state.up && known.models == state.models);
        if !is_unchanged || live.leaving != was_leaving {
            self.status_changed.notify_one();
        }
        live.feed = Some((state, now));
    }

    /// Takes over a change of its cache.
    pub fn cache_change(&self, change: &CacheChange, now: UnixMs) {
        let mut parts = self.parts.lock().unwrap();
        if change.reset {
            parts.clear();
        }
        change.removed.iter().for_each(|key| {
            parts.remove(key);
        });
        parts.extend(change.added.iter().map(|&key| (key, now)));
        clear_stale(&mut parts, now);
    }

    /// Returns how many parts are remembered, those out of date included.
    pub fn remembered_parts(&self) -> usize {
        self.parts.lock().unwrap().len()
    }

    /// Notes that it holds a part from `since` on, before its sidecar says so.
    pub fn expect_part(&self, key: u64, since: UnixMs) {
        self.parts.lock().unwrap().insert(key, since);
    }

    /// Notes that it should have read a part by `done_by`, unless it holds it.
    pub fn expect_reading(&self, key: u64, done_by: UnixMs, now: UnixMs) {
        let mut parts = self.parts.lock().unwrap();
        let since = parts.entry(key).or_insert(done_by);
        if !is_held(*since, now) {
            *since = done_by;
        }
        clear_stale(&mut parts, now);
    }

    /// Reports whether it holds a part that others may rely on.
    ///
    /// A fetch from an engine that is gone holds up its request for some hundred
    /// milliseconds, so what an engine holds does not count once it seems to be gone.
    pub fn holds(&self, key: u64, now: UnixMs) -> bool {
        if self.live.lock().unwrap().seems_gone {
            return false;
        }
        let parts = self.parts.lock().unwrap();
        parts.get(&key).is_some_and(|since| is_held(*since, now))
    }

    /// Forgets what the sidecar said of the moment, as it no longer answers.
    ///
    /// What the engine holds is kept until a send to it fails. An engine goes on
    /// without its sidecar; with its parts forgotten too, its prompts were read anew
    /// elsewhere: under full load, with sidecars that end again and again, 0.08 of the
    /// callers' worth is left, and 0.19 with this, mean of four plays.
    pub fn forget_feed(&self) {
        let mut live = self.live.lock().unwrap();
        if live.feed.take().is_some() {
            self.status_changed.notify_one();
        }
        live.loads_at = None;
        if live.ended {
            return;
        }
        self.lost.send_if_modified(|lost| std::mem::replace(lost, false));
    }

    /// Notes that its sidecar fell silent while the connection stayed open.
    ///
    /// A host that stands still looks so, and each request sent there waits with it until
    /// its caller leaves. One request at a time shows whether the engine still answers.
    pub fn doubt(&self) {
        self.live.lock().unwrap().doubtful = true;
    }

    /// Records what one of its answers says of it.
    pub fn record_status(&self, status: &ServerStatus, now: UnixMs) {
        let mut live = self.live.lock().unwrap();
        live.load = status.load.or(live.load);
        if status.is_leaving && !live.announced_leaving {
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

    /// Notes that the upstream answered.
    pub fn note_answer(&self) {
        let mut live = self.live.lock().unwrap();
        live.confirmed = true;
        live.doubtful = false;
        live.failures = 0;
        live.suspect_until = UnixMs(0);
        live.seems_gone = false;
    }

    /// Notes that the upstream gave no answer, and leaves it alone for a while.
    pub fn record_failure(&self, now: UnixMs) {
        let mut live = self.live.lock().unwrap();
        let pause_ms = FIRST_SUSPICION_MS << live.failures.min(3);
        live.failures += 1;
        live.seems_gone = true;
        live.suspect_until = now.plus_ms(pause_ms.min(MOST_SUSPICION_MS));
    }

    /// Leaves the upstream alone for `pause_ms`, as it said that it is full.
    pub fn record_busy(&self, now: UnixMs, pause_ms: u64) {
        let mut live = self.live.lock().unwrap();
        live.suspect_until = live.suspect_until.max(now.plus_ms(pause_ms));
    }

    /// Returns the version of a model's weights, from the freshest source.
    pub fn weights(&self, model: &str, now: UnixMs) -> Option<u64> {
        let live = self.live.lock().unwrap();
        let listed = live.listed_models.iter().find(|(name, _)| name == model);
        let listed = listed.map(|&(_, version)| version);
        // Versions only grow within one incarnation, so the higher of both is the
        // newer word.
        live.told_weights(model, now).max(listed)
    }

    /// Returns the version of a model's weights that its sidecar tells of.
    pub fn told_weights(&self, model: &str, now: UnixMs) -> Option<u64> {
        self.live.lock().unwrap().told_weights(model, now)
    }

    /// Returns the models that the list or its sidecar names, possibly with duplicates.
    pub(crate) fn model_names(&self, now: UnixMs) -> Vec<Name> {
        let live = self.live.lock().unwrap();
        let told = live.fresh_feed(now).map_or(&[][..], |state| &state.models);
        let told = told.iter().map(|found| Name::from(found.model.as_str()));
        let listed = live.listed_models.iter().map(|(name, _)| name.clone());
        listed.chain(told).collect()
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

    /// Returns how many entries its sidecar sees, if that is known.
    pub fn entries_seen(&self, now: UnixMs) -> Option<usize> {
        let live = self.live.lock().unwrap();
        live.fresh_feed(now).map(|state| state.entries as usize)
    }

    /// Returns how it stands as a place for new work.
    pub fn offer(
        &self,
        now: UnixMs,
        own_place: &str,
        engine: Option<EngineTerms>,
    ) -> Offer {
        let live = self.live.lock().unwrap();
        let feed = live.fresh_feed(now);
        let (running, queued) = match (feed, live.load) {
            (Some(state), _) => (state.running, state.queued),
            (None, Some(load)) if engine.is_none() => (load.running, load.waiting),
            (None, _) => (0, 0),
        };
        // What this entry sent after the sidecar's last word is not in it yet.
        let (unseen, unseen_tokens) = match feed {
            Some(_) => (live.sent_since_feed, live.tokens_since_feed),
            None => (0, 0),
        };
        let present = (running + queued + unseen).max(live.in_progress);
        let room = match engine {
            Some(_) => live.slots,
            None => live.slots * PLAIN_REQUESTS_PER_SLOT,
        };
        let total_tokens = feed
            .map(|state| state.total_tokens)
            .filter(|&total| total > 0)
            .or(engine.map(|engine| engine.memory_tokens));
        let fed_tokens = feed.map_or(0, |state| state.used_tokens);
        let used_tokens = (fed_tokens + unseen_tokens).max(live.reserved_tokens);
        Offer {
            seed: self.seed,
            usable: live.is_eligible(now),
            same_place: self.place == own_place,
            free_slots: room.saturating_sub(present),
            free_tokens: total_tokens.map_or(u64::MAX, |t| t.saturating_sub(used_tokens)),
            pending_tokens: live.pending_tokens,
            running: present,
            queued,
            weights: Weights::Fine,
            held_tokens: 0,
            loads_in_ms: live.loads_at.map(|at| at.ms_since(now)),
        }
    }

    /// Reports whether its sidecar says that it is down.
    pub fn is_down(&self, now: UnixMs) -> bool {
        self.live.lock().unwrap().is_down(now)
    }

    /// Reports whether it may have other weights by `until`, as its sidecar tells.
    ///
    /// One that is down may come back with any.
    pub fn may_load_by(&self, until: UnixMs, now: UnixMs) -> bool {
        let live = self.live.lock().unwrap();
        let loads = live.loads_at.is_some_and(|loads_at| loads_at <= until);
        live.fresh_feed(now).is_some_and(|state| !state.up || state.loading || loads)
    }

    /// Reports whether it lives, as far as its sidecar and the last send say.
    pub fn lives(&self, now: UnixMs) -> bool {
        let live = self.live.lock().unwrap();
        !live.is_down(now) && live.failures == 0
    }

    /// Sets the queue of messages to its sidecar.
    pub fn set_sidecar_queue(&self, queue: mpsc::Sender<Body>) {
        *self.to_sidecar.lock().unwrap() = Some(queue);
    }

    /// Queues a message to its sidecar; returns whether the queue took it.
    pub fn send_to_sidecar(&self, message: Body) -> bool {
        let queue = self.to_sidecar.lock().unwrap();
        queue.as_ref().is_some_and(|queue| queue.try_send(message).is_ok())
    }

    /// Returns what its sidecar reports of it.
    pub fn sidecar_status(&self, now: UnixMs) -> SidecarStatus {
        match self.live.lock().unwrap().fresh_feed(now) {
            Some(state) if state.up => SidecarStatus::Up,
            Some(_) => SidecarStatus::Down,
            None => SidecarStatus::Silent,
        }
    }

    /// Reports whether its sidecar spoke lately.
    pub fn is_followed(&self, now: UnixMs) -> bool {
        self.live.lock().unwrap().fresh_feed(now).is_some()
    }

    /// Returns until when it has asked for no requests, if that is still to come.
    pub fn paused_until(&self, now: UnixMs) -> Option<UnixMs> {
        let until = self.live.lock().unwrap().paused_until;
        (!until.has_passed_at(now)).then_some(until)
    }

    /// Reports whether it leaves.
    pub fn is_leaving(&self) -> bool {
        self.live.lock().unwrap().leaving
    }

    /// Returns once its sidecar says that the upstream is gone.
    pub async fn lost(&self) {
        let mut lost = self.lost.subscribe();
        if lost.wait_for(|&lost| lost).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
