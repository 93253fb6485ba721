//! The prompt parts in an engine's cache, maintained from its cache events.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_core::Incarnation;
use bilberry_core::IncarnationOrder;
use bilberry_core::UnixMs;
use bilberry_core::part_key;
use bilberry_wire::CacheChange;
use bilberry_wire::ReadingNotice;
use tokio::sync::broadcast;
use tokio::time::sleep;

use crate::Engine;

/// The number of change batches buffered for a slow entry.
///
/// An entry that falls further behind receives the full contents again.
const CHANGE_BUFFER: usize = 64;

/// The delay before a full listing after a failed call or an unusable response.
const RELIST_DELAY: Duration = Duration::from_millis(200);

/// The delay between two requests, which lets events accumulate into batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(30);

/// The presence of a prompt part in an engine's cache, or a change of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedPart {
    /// The salt that distinguishes it from equal parts.
    pub salt: String,
    /// The identifier of the part.
    pub part: u64,
    /// Whether the cache holds the part now.
    pub is_cached: bool,
}

/// A batch of events of an engine's cache.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheEvents {
    /// A value that the engine chooses at each start.
    pub epoch: u64,
    /// The position from which to request the next events.
    pub next: u64,
    /// Whether events before these are missing.
    pub gap: bool,
    /// The changes in chronological order.
    pub changes: Vec<CachedPart>,
    /// The incarnation of the engine that reported this, if known.
    pub incarnation: Option<Incarnation>,
}

/// The full contents of an engine's cache.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheListing {
    /// A value that the engine chooses at each start.
    pub epoch: u64,
    /// The position from which to request events.
    pub next: u64,
    /// The parts in the cache.
    pub parts: Vec<CachedPart>,
    /// The incarnation of the engine that reported this, if known.
    pub incarnation: Option<Incarnation>,
}

/// A view of an engine's cache that entries subscribe to.
#[derive(Debug)]
pub struct CacheView {
    contents: Mutex<Contents>,
    epoch: AtomicU64,
    changes: broadcast::Sender<CacheChange>,
}

/// The parts that one incarnation holds.
#[derive(Debug, Default)]
struct Contents {
    /// Keys of the parts that are held.
    parts: HashSet<u64>,
    incarnation: Option<Incarnation>,
}

impl CacheView {
    /// Creates a view of an empty cache.
    pub fn new() -> Self {
        Self {
            contents: Mutex::default(),
            epoch: AtomicU64::new(0),
            changes: broadcast::Sender::new(CHANGE_BUFFER),
        }
    }

    /// Returns the current contents, and a receiver for later changes.
    pub fn subscribe(&self) -> (CacheChange, broadcast::Receiver<CacheChange>) {
        let contents = self.contents.lock().unwrap();
        // Subscribes while holding the lock, so that no change is missed in between.
        let changes = self.changes.subscribe();
        (contents.snapshot(), changes)
    }

    /// Returns the epoch that the engine's cache chose at its start; zero while unknown.
    pub fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Relaxed)
    }

    /// Resets the epoch to unknown, as the engine may have restarted.
    pub fn clear_epoch(&self) {
        self.epoch.store(0, Ordering::Relaxed);
    }

    /// Returns the incarnation that the contents belong to, if known.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.contents.lock().unwrap().incarnation
    }

    /// Records the engine's incarnation.
    ///
    /// A later one than before starts with an empty cache; an earlier one is ignored.
    pub fn observe_incarnation(&self, incarnation: Incarnation) {
        let mut contents = self.contents.lock().unwrap();
        match Incarnation::compare(contents.incarnation, Some(incarnation)) {
            IncarnationOrder::Older => {}
            IncarnationOrder::Same => contents.incarnation = Some(incarnation),
            IncarnationOrder::Newer => {
                *contents =
                    Contents { incarnation: Some(incarnation), ..Contents::default() };
                self.clear_epoch();
                // Fails only if no entry is subscribed.
                let _ = self.changes.send(contents.snapshot());
            }
        }
    }

    /// Forwards an entry's notice of parts that its requests prefill.
    ///
    /// The parts are not added to the contents: the engine's own events report when they
    /// are added and removed.
    pub fn forward_reading(&self, notice: ReadingNotice) {
        let contents = self.contents.lock().unwrap();
        let prefilled_by =
            notice.started_at_ms.map(|ms| Incarnation { started_at: UnixMs(ms) });
        if Incarnation::compare(contents.incarnation, prefilled_by)
            != IncarnationOrder::Same
        {
            return;
        }
        let change = CacheChange {
            added: notice.read,
            started_at_ms: notice.started_at_ms,
            reading: notice.begun,
            ..CacheChange::default()
        };
        // Fails only if no entry is subscribed.
        let _ = self.changes.send(change);
    }

    /// Follows the engine's cache indefinitely.
    pub async fn follow<E: Engine>(self: Arc<Self>, engine: E) {
        let mut position = None;
        loop {
            position = match self.update(&engine, position).await {
                Some(position) => {
                    sleep(BATCH_INTERVAL).await;
                    Some(position)
                }
                None => {
                    sleep(RELIST_DELAY).await;
                    None
                }
            };
        }
    }

    /// Requests a listing or the next events, and returns the epoch and the next position.
    ///
    /// Returns `None` if the contents must be listed again.
    async fn update<E: Engine>(
        &self,
        engine: &E,
        position: Option<(u64, u64)>,
    ) -> Option<(u64, u64)> {
        let at_request = self.incarnation();
        let Some((epoch, since)) = position else {
            let listing = engine.cache_listing().await.ok()?;
            let contents = self.lock_for(at_request, listing.incarnation)?;
            self.epoch.store(listing.epoch, Ordering::Relaxed);
            self.replace(contents, &listing.parts);
            return Some((listing.epoch, listing.next));
        };
        let events = match engine.cache_events(since).await {
            Ok(events) => events,
            Err(error) => {
                log::info!(target: "cache", reason = error.to_string().as_str(); "events lost");
                self.replace(self.contents.lock().unwrap(), &[]);
                return None;
            }
        };
        if events.gap || events.epoch != epoch {
            log::info!(target: "cache", epoch = events.epoch, gap = events.gap; "listing again after a gap or an epoch change");
            return None;
        }
        let contents = self.lock_for(at_request, events.incarnation)?;
        self.epoch.store(epoch, Ordering::Relaxed);
        self.apply(contents, &events.changes);
        Some((epoch, events.next))
    }

    /// Locks the contents if a response describes their incarnation.
    ///
    /// A request waits up to a second for events, so its response may predate a restart
    /// that has become known meanwhile. Applying it would make entries fetch parts from
    /// an engine whose cache is empty.
    fn lock_for(
        &self,
        at_request: Option<Incarnation>,
        reported: Option<Incarnation>,
    ) -> Option<MutexGuard<'_, Contents>> {
        if let Some(reported) = reported {
            self.observe_incarnation(reported);
        }
        let contents = self.contents.lock().unwrap();
        let is_same = match reported {
            Some(_) => contents.incarnation == reported,
            None => contents.incarnation == at_request,
        };
        is_same.then_some(contents)
    }

    fn replace(&self, mut contents: MutexGuard<'_, Contents>, parts: &[CachedPart]) {
        let keys = parts.iter().map(|part| part_key(&part.salt, part.part));
        contents.parts = keys.collect();
        // Fails only if no entry is subscribed.
        let _ = self.changes.send(contents.snapshot());
    }

    fn apply(&self, mut contents: MutexGuard<'_, Contents>, changes: &[CachedPart]) {
        if changes.is_empty() {
            return;
        }
        let mut change = CacheChange {
            started_at_ms: contents.started_at_ms(),
            ..CacheChange::default()
        };
        for part in changes {
            let key = part_key(&part.salt, part.part);
            match part.is_cached {
                true if contents.parts.insert(key) => change.added.push(key),
                false if contents.parts.remove(&key) => change.removed.push(key),
                _ => {}
            }
        }
        // A part that was both added and removed within the batch is in both lists; only
        // its final state is sent.
        change.added.retain(|key| contents.parts.contains(key));
        change.removed.retain(|key| !contents.parts.contains(key));
        let _ = self.changes.send(change);
    }
}

impl Contents {
    /// Returns the contents as a change that replaces everything sent before.
    fn snapshot(&self) -> CacheChange {
        CacheChange {
            reset: true,
            added: self.parts.iter().copied().collect(),
            removed: Vec::new(),
            started_at_ms: self.started_at_ms(),
            ..CacheChange::default()
        }
    }

    fn started_at_ms(&self) -> Option<u64> {
        self.incarnation.map(|incarnation| incarnation.started_at.0)
    }
}

impl Default for CacheView {
    fn default() -> Self {
        Self::new()
    }
}
