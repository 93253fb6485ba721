//! What an entry knows of one upstream at this moment.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use bilberry_core::Name;
use bilberry_core::Offer;
use bilberry_core::UnixMs;
use bilberry_wire::CacheChange;
use bilberry_wire::UpstreamState;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::EngineTerms;
use crate::ServerLoad;

/// How long a sidecar's word counts; it repeats itself three times as often.
const FEED_FRESH_MS: u64 = 1_500;

/// For how long a part counts as held after it was read or used there.
///
/// Some cache events never arrive. A part whose end was not told would else count
/// as held for ever, and every fetch of it would go to the one upstream that does
/// not have it.
const HELD_MS: u64 = 6_000;

/// How long an upstream is left alone after its first failure.
///
/// About the time in which a crash shows on the sidecar's feed as well.
const FIRST_SUSPICION_MS: u64 = 250;

/// The longest time for which an upstream is left alone between two trials.
const MOST_SUSPICION_MS: u64 = 2_000;

/// How many requests a plain server may have from one entry for each slot.
///
/// Two let a short queue keep every slot busy; more would only wait.
const PLAIN_REQUESTS_PER_SLOT: u64 = 2;

/// An upstream as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    /// Its identity; a restart brings a new one.
    pub id: Name,
    /// Its service.
    pub pool: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub place: Name,
    /// Requests that it runs at once.
    pub slots: u64,
    /// Whether it leaves.
    pub leaving: bool,
    /// The models that it serves, with the versions of their weights.
    pub models: Vec<(Name, u64)>,
    /// When it was first listed, as a number that grows with each new entry.
    pub listed_at: u64,
}

/// An upstream and what is known of it.
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
    /// When it was first listed, as a number that grows with each new entry.
    pub listed_at: u64,
    live: Mutex<Live>,
    parts: Mutex<HashMap<u64, UnixMs>>,
    lost: watch::Sender<bool>,
}

#[derive(Debug)]
struct Live {
    slots: u64,
    leaving: bool,
    listed_models: Vec<(Name, u64)>,
    feed: Option<(UpstreamState, UnixMs)>,
    incarnation: u64,
    loads_at: Option<UnixMs>,
    load: Option<ServerLoad>,
    in_progress: u64,
    sent_since_feed: u64,
    tokens_since_feed: u64,
    pending_tokens: u64,
    reserved_tokens: u64,
    failures: u32,
    suspect_until: UnixMs,
    known_alive: bool,
}

impl Upstream {
    /// Creates an upstream that nothing but the list is known of.
    pub fn new(listed: &Listed) -> Self {
        let live = Live {
            slots: listed.slots,
            leaving: listed.leaving,
            listed_models: listed.models.clone(),
            feed: None,
            incarnation: 0,
            loads_at: None,
            load: None,
            in_progress: 0,
            sent_since_feed: 0,
            tokens_since_feed: 0,
            pending_tokens: 0,
            reserved_tokens: 0,
            failures: 0,
            suspect_until: UnixMs(0),
            known_alive: false,
        };
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
        }
    }

    /// Takes over what the list says now.
    pub fn update(&self, listed: &Listed) {
        let mut live = self.live.lock().unwrap();
        live.slots = listed.slots;
        live.leaving |= listed.leaving;
        live.listed_models = listed.models.clone();
    }

    /// Takes no new work from now on.
    pub fn leave(&self) {
        self.live.lock().unwrap().leaving = true;
    }

    /// Takes over what the sidecar says.
    pub fn feed(&self, state: UpstreamState, now: UnixMs) {
        self.lost.send_if_modified(|lost| {
            let changed = *lost == state.up;
            *lost = !state.up;
            changed
        });
        let mut live = self.live.lock().unwrap();
        if state.up && live.feed.as_ref().is_none_or(|(old, _)| !old.up) {
            live.failures = 0;
            live.suspect_until = UnixMs(0);
        }
        // The identity on the list outlives the server by some heartbeats. What
        // answers at its address meanwhile is another one, which refuses what is
        // meant for the first.
        match state.incarnation {
            0 => {}
            told if live.incarnation == 0 => live.incarnation = told,
            told => live.leaving |= told != live.incarnation,
        }
        live.known_alive = state.up;
        live.loads_at = state.loads_in_ms.map(|in_ms| now.plus_ms(in_ms));
        live.sent_since_feed = 0;
        live.tokens_since_feed = 0;
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
    }

    /// Notes that it is about to hold a part, before its sidecar says so.
    pub fn expect_part(&self, key: u64, now: UnixMs) {
        self.parts.lock().unwrap().insert(key, now);
    }

    /// Reports whether it holds a part that others may rely on.
    ///
    /// A fetch from an engine that is gone holds up its request for some hundred
    /// milliseconds, so what an engine holds counts only while it is known to live.
    pub fn holds(&self, key: u64, now: UnixMs) -> bool {
        if !self.live.lock().unwrap().known_alive {
            return false;
        }
        let parts = self.parts.lock().unwrap();
        parts.get(&key).is_some_and(|at| now.ms_since(*at) < HELD_MS)
    }

    /// Forgets what the sidecar said of the moment, as it no longer answers.
    ///
    /// What the engine holds is kept until a send to it fails. An engine goes on
    /// without its sidecar; with its parts forgotten too, its prompts were read anew
    /// elsewhere. Worth under full load with sidecars that end again and again: 0.19
    /// in place of 0.08, mean of four plays.
    pub fn forget_feed(&self) {
        let mut live = self.live.lock().unwrap();
        live.feed = None;
        live.loads_at = None;
        drop(live);
        self.lost.send_if_modified(|lost| std::mem::replace(lost, false));
    }

    /// Takes over the load that an answer reported.
    pub fn note_load(&self, load: ServerLoad) {
        self.live.lock().unwrap().load = Some(load);
    }

    /// Notes that the upstream answered.
    pub fn note_answer(&self) {
        let mut live = self.live.lock().unwrap();
        live.failures = 0;
        live.suspect_until = UnixMs(0);
        live.known_alive = true;
    }

    /// Notes that the upstream gave no answer, and leaves it alone for a while.
    pub fn note_failure(&self, now: UnixMs) {
        let mut live = self.live.lock().unwrap();
        let pause_ms = FIRST_SUSPICION_MS << live.failures.min(3);
        live.failures += 1;
        live.known_alive = false;
        live.suspect_until = now.plus_ms(pause_ms.min(MOST_SUSPICION_MS));
    }

    /// Leaves the upstream alone for `pause_ms`, as it said that it is full.
    pub fn note_busy(&self, now: UnixMs, pause_ms: u64) {
        let mut live = self.live.lock().unwrap();
        live.suspect_until = live.suspect_until.max(now.plus_ms(pause_ms));
    }

    /// Returns the version of a model's weights, from the freshest source.
    pub fn weights(&self, model: &str, now: UnixMs) -> Option<u64> {
        let live = self.live.lock().unwrap();
        let listed = live.listed_models.iter().find(|(name, _)| name == model);
        let listed = listed.map(|&(_, version)| version);
        let fed = live.fresh_feed(now).and_then(|state| {
            state.models.iter().find(|found| found.model == model).map(|m| m.version)
        });
        // Versions only grow, so the higher of both is the newer word.
        fed.max(listed)
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
            usable: live.takes_work(now),
            same_place: self.place == own_place,
            free_slots: room.saturating_sub(present),
            free_tokens: total_tokens.map_or(u64::MAX, |t| t.saturating_sub(used_tokens)),
            pending_tokens: live.pending_tokens,
            running: present,
            queued,
            newest_weights: true,
            held_tokens: 0,
            loads_in_ms: live.loads_at.map(|at| at.ms_since(now)),
        }
    }

    /// Reports whether its sidecar says that it is down.
    pub fn is_down(&self, now: UnixMs) -> bool {
        let live = self.live.lock().unwrap();
        live.leaving || live.fresh_feed(now).is_some_and(|state| !state.up)
    }

    /// Reports whether it lives, as far as its sidecar and the last send say.
    pub fn lives(&self, now: UnixMs) -> bool {
        let live = self.live.lock().unwrap();
        let fed = live.fresh_feed(now).is_none_or(|state| state.up);
        fed && !live.leaving && live.failures == 0
    }

    /// Reports whether its sidecar spoke lately.
    pub fn is_followed(&self, now: UnixMs) -> bool {
        self.live.lock().unwrap().fresh_feed(now).is_some()
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

impl Live {
    fn fresh_feed(&self, now: UnixMs) -> Option<&UpstreamState> {
        let fresh = |at: UnixMs| now.ms_since(at) < FEED_FRESH_MS;
        self.feed.as_ref().filter(|(_, at)| fresh(*at)).map(|(state, _)| state)
    }

    fn takes_work(&self, now: UnixMs) -> bool {
        let fed = self.fresh_feed(now).is_none_or(|state| state.up && !state.loading);
        fed && !self.leaving && self.suspect_until.has_passed_at(now)
    }
}

/// A request's seat at an upstream; given back when dropped.
#[derive(Debug)]
pub struct Seat {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    memory_tokens: u64,
    pending_tokens: u64,
    freed: Arc<tokio::sync::Notify>,
}

impl Seat {
    /// Takes a seat for a request of this size.
    pub fn take(
        upstream: Arc<Upstream>,
        memory_tokens: u64,
        pending_tokens: u64,
        freed: Arc<tokio::sync::Notify>,
    ) -> Self {
        let mut live = upstream.live.lock().unwrap();
        live.in_progress += 1;
        live.sent_since_feed += 1;
        live.tokens_since_feed += memory_tokens;
        live.reserved_tokens += memory_tokens;
        live.pending_tokens += pending_tokens;
        drop(live);
        Self { upstream, memory_tokens, pending_tokens, freed }
    }

    /// Notes that the prompt has been read.
    pub fn prompt_is_read(&mut self) {
        let pending = std::mem::take(&mut self.pending_tokens);
        self.upstream.live.lock().unwrap().pending_tokens -= pending;
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.prompt_is_read();
        let mut live = self.upstream.live.lock().unwrap();
        live.in_progress -= 1;
        live.reserved_tokens -= self.memory_tokens;
        drop(live);
        self.freed.notify_waiters();
    }
}
