//! All upstreams, by service.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use bilberry_core::Incarnation;
use bilberry_core::Name;
use bilberry_core::Told;
use bilberry_core::UnixMs;
use bilberry_wire::CacheChange;
use bilberry_wire::UpstreamState;
use tokio::sync::Notify;

use crate::Listed;
use crate::Upstream;

/// All upstreams that the platform lists.
#[derive(Debug, Default)]
pub struct Upstreams {
    by_id: Mutex<HashMap<Name, Arc<Upstream>>>,
    by_pool: ArcSwap<HashMap<Name, Vec<Arc<Upstream>>>>,
    listed: AtomicBool,
    /// Told whenever an upstream may have room again.
    pub changed: Arc<Notify>,
}

impl Upstreams {
    /// Takes over one line of the list; returns the incarnation that it ends, if any.
    ///
    /// A line of an earlier incarnation changes nothing: it was read slowly, or its
    /// write was carried out late.
    pub fn put(&self, listed: &Listed) -> Option<Arc<Upstream>> {
        let mut by_id = self.by_id.lock().unwrap();
        let known = by_id.get(&listed.id).cloned();
        let ended = match known {
            Some(known) if is_later(&known, listed.incarnation) => {
                self.insert(&mut by_id, Upstream::new(listed));
                known.end();
                Some(known)
            }
            Some(known) if is_earlier(&known, listed.incarnation) => None,
            Some(known) if known.address == listed.address => {
                known.update(listed);
                None
            }
            _ => {
                self.insert(&mut by_id, Upstream::new(listed));
                None
            }
        };
        drop(by_id);
        self.changed.notify_waiters();
        ended
    }

    /// Takes over what a sidecar says; returns the incarnation that it ends, if any.
    pub fn feed(
        &self,
        id: &str,
        state: UpstreamState,
        now: UnixMs,
    ) -> Option<Arc<Upstream>> {
        let mut by_id = self.by_id.lock().unwrap();
        let known = by_id.get(id).cloned()?;
        let ended = match Incarnation::compare(known.incarnation(), state.incarnation()) {
            Told::Older => None,
            Told::Same => {
                known.feed(state, now);
                None
            }
            Told::Newer => {
                let next = self.insert(&mut by_id, known.next_incarnation(&state));
                next.feed(state, now);
                known.end();
                Some(known)
            }
        };
        drop(by_id);
        self.changed.notify_waiters();
        ended
    }

    /// Takes over a change of an upstream's cache; returns whether it counts.
    ///
    /// A change of another incarnation than the present one does not.
    pub fn cache_change(&self, id: &str, change: &CacheChange, now: UnixMs) -> bool {
        let Some(known) = self.get(id) else { return false };
        let told = Incarnation::compare(known.incarnation(), change.incarnation());
        if told == Told::Same {
            known.cache_change(change, now);
        }
        told == Told::Same
    }

    /// Returns the present incarnation of an upstream.
    pub fn get(&self, id: &str) -> Option<Arc<Upstream>> {
        self.by_id.lock().unwrap().get(id).cloned()
    }

    /// Takes an upstream off; requests in progress there go on.
    pub fn remove(&self, id: &str) {
        let mut by_id = self.by_id.lock().unwrap();
        if let Some(gone) = by_id.remove(id) {
            gone.leave();
            self.publish(&by_id);
        }
    }

    /// Notes that the whole list has been read.
    pub fn note_listed(&self) {
        self.listed.store(true, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Reports whether the whole list has ever been read.
    ///
    /// Before that, a service without upstreams may well have some.
    pub fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Relaxed)
    }

    /// Returns the identities of all upstreams.
    pub fn ids(&self) -> Vec<Name> {
        self.by_id.lock().unwrap().keys().cloned().collect()
    }

    /// Returns the upstreams of a service, in an order that all entries agree on.
    pub fn of(&self, pool: &str) -> Vec<Arc<Upstream>> {
        self.by_pool.load().get(pool).cloned().unwrap_or_default()
    }

    /// Returns all upstreams.
    pub fn all(&self) -> Vec<Arc<Upstream>> {
        self.by_id.lock().unwrap().values().cloned().collect()
    }

    /// Returns the newest version of a model's weights that any upstream has.
    pub fn newest_weights(&self, pool: &str, model: &str, now: UnixMs) -> Option<u64> {
        let by_pool = self.by_pool.load();
        let upstreams = by_pool.get(pool)?;
        upstreams.iter().filter_map(|upstream| upstream.weights(model, now)).max()
    }

    fn insert(
        &self,
        by_id: &mut HashMap<Name, Arc<Upstream>>,
        upstream: Upstream,
    ) -> Arc<Upstream> {
        let upstream = Arc::new(upstream);
        by_id.insert(upstream.id.clone(), upstream.clone());
        retire_older(by_id, &upstream);
        self.publish(by_id);
        upstream
    }

    fn publish(&self, by_id: &HashMap<Name, Arc<Upstream>>) {
        let mut by_pool: HashMap<Name, Vec<Arc<Upstream>>> = HashMap::new();
        for upstream in by_id.values() {
            by_pool.entry(upstream.pool.clone()).or_default().push(upstream.clone());
        }
        for upstreams in by_pool.values_mut() {
            upstreams.sort_by_key(|upstream| upstream.address);
        }
        self.by_pool.store(Arc::new(by_pool));
    }
}

/// Reports whether what is told is of a later incarnation than the known one.
///
/// The first word of when an upstream started counts as one: what was known before
/// was written by somebody else, or by a server that has been replaced.
fn is_later(known: &Upstream, told: Option<Incarnation>) -> bool {
    match known.incarnation() {
        None => told.is_some(),
        known => Incarnation::compare(known, told) == Told::Newer,
    }
}

fn is_earlier(known: &Upstream, told: Option<Incarnation>) -> bool {
    Incarnation::compare(known.incarnation(), told) == Told::Older
}

/// Gives no more work to an identity whose address has a later one.
///
/// A crashed server stays on the list for some heartbeats after it has restarted
/// at the same address, or after another service was given the address. Entries
/// that had just restarted themselves sent to such identities until their few
/// repeats were used up, and refused callers with half of the servers idle.
fn retire_older(by_id: &HashMap<Name, Arc<Upstream>>, new: &Arc<Upstream>) {
    let others = by_id.values().filter(|known| known.id != new.id);
    for known in others.filter(|known| known.address == new.address) {
        let told = Incarnation::compare(known.incarnation(), new.incarnation());
        match told {
            Told::Newer => known.leave(),
            Told::Older => new.leave(),
            Told::Same if known.listed_at < new.listed_at => known.leave(),
            Told::Same => new.leave(),
        }
    }
}
