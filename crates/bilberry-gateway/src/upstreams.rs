//! All upstreams, by service.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use bilberry_core::Name;
use bilberry_core::UnixMs;
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
    /// Takes over one line of the list.
    pub fn put(&self, listed: &Listed) {
        let mut by_id = self.by_id.lock().unwrap();
        match by_id.get(&listed.id) {
            Some(known) if known.address == listed.address => known.update(listed),
            _ => {
                let upstream = Arc::new(Upstream::new(listed));
                retire_older(&by_id, &upstream);
                by_id.insert(listed.id.clone(), upstream);
                self.publish(&by_id);
            }
        }
        drop(by_id);
        self.changed.notify_waiters();
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

/// Gives no more work to an identity whose address has a later one.
///
/// A crashed server stays on the list for some heartbeats after it has restarted
/// at the same address, or after another service was given the address. Entries
/// that had just restarted themselves sent to such identities until their few
/// repeats were used up, and refused callers with half of the servers idle.
fn retire_older(by_id: &HashMap<Name, Arc<Upstream>>, new: &Arc<Upstream>) {
    for known in by_id.values().filter(|known| known.address == new.address) {
        match known.listed_at < new.listed_at {
            true => known.leave(),
            false => new.leave(),
        }
    }
}
