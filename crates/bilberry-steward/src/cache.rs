//! Which parts of prompts the engine holds, as its cache events tell.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_core::Incarnation;
use bilberry_core::Told;
use bilberry_core::UnixMs;
use bilberry_core::part_key;
use bilberry_wire::CacheChange;
use bilberry_wire::ReadingNotice;
use tokio::sync::broadcast;
use tokio::time::sleep;

use crate::Engine;

/// How many batches of changes may wait for a slow entry.
///
/// One that falls further behind is told everything anew.
const BATCHES_AHEAD: usize = 64;

/// How long to wait after a question that failed.
const PAUSE: Duration = Duration::from_millis(200);

/// The least time between two questions, so that events come in batches.
const BATCH_EVERY: Duration = Duration::from_millis(30);

/// One change of an engine's cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedPart {
    /// What keeps it apart from equal parts.
    pub salt: String,
    /// The part.
    pub part: u64,
    /// Whether it is held now.
    pub held: bool,
}

/// What an engine's cache events said.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheEvents {
    /// Chosen anew by the engine at each start.
    pub epoch: u64,
    /// From where to ask on.
    pub next: u64,
    /// Whether events are missing.
    pub gap: bool,
    /// The changes in order.
    pub changes: Vec<CachedPart>,
    /// Which start of the engine this tells of, if it says so.
    pub incarnation: Option<Incarnation>,
}

/// All that an engine holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheListing {
    /// Chosen anew by the engine at each start.
    pub epoch: u64,
    /// From where to ask for events on.
    pub next: u64,
    /// The parts.
    pub parts: Vec<CachedPart>,
    /// Which start of the engine this tells of, if it says so.
    pub incarnation: Option<Incarnation>,
}

/// What the engine holds, and the entries that are told of it.
#[derive(Debug)]
pub struct CacheView {
    held: Mutex<Held>,
    epoch: AtomicU64,
    changes: broadcast::Sender<CacheChange>,
}

/// The parts that one incarnation holds.
#[derive(Debug, Default)]
struct Held {
    parts: HashSet<u64>,
    incarnation: Option<Incarnation>,
}

impl CacheView {
    /// Creates a view of an engine that holds nothing.
    pub fn new() -> Self {
        Self {
            held: Mutex::default(),
            epoch: AtomicU64::new(0),
            changes: broadcast::Sender::new(BATCHES_AHEAD),
        }
    }

    /// Returns all that is held, and the changes from then on.
    pub fn subscribe(&self) -> (CacheChange, broadcast::Receiver<CacheChange>) {
        let held = self.held.lock().unwrap();
        // Under the lock, so that no change falls between the two.
        let changes = self.changes.subscribe();
        (held.all(), changes)
    }

    /// Returns what the engine's cache chose at its start; zero while it is unknown.
    pub fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Relaxed)
    }

    /// Forgets what the engine's cache chose, as it may have started anew.
    pub fn forget_epoch(&self) {
        self.epoch.store(0, Ordering::Relaxed);
    }

    /// Returns the incarnation whose parts these are, if it is known.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.held.lock().unwrap().incarnation
    }

    /// Notes which incarnation the engine is; a later one holds nothing yet.
    pub fn enter(&self, incarnation: Incarnation) {
        let mut held = self.held.lock().unwrap();
        match Incarnation::compare(held.incarnation, Some(incarnation)) {
            Told::Older => {}
            Told::Same => held.incarnation = Some(incarnation),
            Told::Newer => {
                *held = Held { incarnation: Some(incarnation), ..Held::default() };
                self.forget_epoch();
                // Nobody listening is no fault.
                let _ = self.changes.send(held.all());
            }
        }
    }

    /// Passes on what an entry says that its requests read.
    ///
    /// Not taken into what is held: the engine's own events say that, and when it ends.
    pub fn pass_on(&self, notice: ReadingNotice) {
        let held = self.held.lock().unwrap();
        let meant = notice.born_ms.map(|ms| Incarnation { born_at: UnixMs(ms) });
        if Incarnation::compare(held.incarnation, meant) != Told::Same {
            return;
        }
        let change = CacheChange {
            added: notice.read,
            born_ms: notice.born_ms,
            reading: notice.begun,
            ..CacheChange::default()
        };
        // Nobody listening is no fault.
        let _ = self.changes.send(change);
    }

    /// Follows the engine's cache for ever.
    pub async fn follow<E: Engine>(self: Arc<Self>, engine: E) {
        let mut position = None;
        loop {
            position = match self.step(&engine, position).await {
                Some(position) => {
                    sleep(BATCH_EVERY).await;
                    Some(position)
                }
                None => {
                    sleep(PAUSE).await;
                    None
                }
            };
        }
    }

    /// Asks once; `None` if all that is known must be learnt anew.
    async fn step<E: Engine>(
        &self,
        engine: &E,
        position: Option<(u64, u64)>,
    ) -> Option<(u64, u64)> {
        let asked = self.incarnation();
        let Some((epoch, since)) = position else {
            let listing = engine.cache_listing().await.ok()?;
            let held = self.admit(asked, listing.incarnation)?;
            self.epoch.store(listing.epoch, Ordering::Relaxed);
            self.replace(held, &listing.parts);
            return Some((listing.epoch, listing.next));
        };
        let events = match engine.cache_events(since).await {
            Ok(events) => events,
            Err(error) => {
                log::info!(target: "cache", reason = error.to_string().as_str(); "events lost");
                self.replace(self.held.lock().unwrap(), &[]);
                return None;
            }
        };
        if events.gap || events.epoch != epoch {
            log::info!(target: "cache", epoch = events.epoch, gap = events.gap; "listed anew");
            return None;
        }
        let held = self.admit(asked, events.incarnation)?;
        self.epoch.store(epoch, Ordering::Relaxed);
        self.apply(held, &events.changes);
        Some((epoch, events.next))
    }

    /// Returns what is held, if an answer tells of the same incarnation.
    ///
    /// A question waits for events up to a second, and its answer may come from
    /// before a restart that is known by now. Taken in, it would have parts fetched
    /// from an engine that is empty.
    fn admit(
        &self,
        asked: Option<Incarnation>,
        told: Option<Incarnation>,
    ) -> Option<MutexGuard<'_, Held>> {
        if let Some(told) = told {
            self.enter(told);
        }
        let held = self.held.lock().unwrap();
        let is_same = match told {
            Some(_) => held.incarnation == told,
            None => held.incarnation == asked,
        };
        is_same.then_some(held)
    }

    fn replace(&self, mut held: MutexGuard<'_, Held>, parts: &[CachedPart]) {
        let keys = parts.iter().map(|part| part_key(&part.salt, part.part));
        held.parts = keys.collect();
        // Nobody listening is no fault.
        let _ = self.changes.send(held.all());
    }

    fn apply(&self, mut held: MutexGuard<'_, Held>, changes: &[CachedPart]) {
        if changes.is_empty() {
            return;
        }
        let mut change =
            CacheChange { born_ms: held.born_ms(), ..CacheChange::default() };
        for part in changes {
            let key = part_key(&part.salt, part.part);
            match part.held {
                true if held.parts.insert(key) => change.added.push(key),
                false if held.parts.remove(&key) => change.removed.push(key),
                _ => {}
            }
        }
        // A part that came and went within the batch stands in both lists; what
        // is held in the end decides.
        change.added.retain(|key| held.parts.contains(key));
        change.removed.retain(|key| !held.parts.contains(key));
        let _ = self.changes.send(change);
    }
}

impl Held {
    /// Returns all parts, as a change that replaces what was told before.
    fn all(&self) -> CacheChange {
        CacheChange {
            reset: true,
            added: self.parts.iter().copied().collect(),
            removed: Vec::new(),
            born_ms: self.born_ms(),
            ..CacheChange::default()
        }
    }

    fn born_ms(&self) -> Option<u64> {
        self.incarnation.map(|incarnation| incarnation.born_at.0)
    }
}

impl Default for CacheView {
    fn default() -> Self {
        Self::new()
    }
}
