//! All upstreams, by service.

use std::collections::HashMap;
use std::collections::HashSet;
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
    unnamed: Mutex<Unnamed>,
    listed: AtomicBool,
    /// Told whenever an upstream may have room again.
    pub changed: Arc<Notify>,
}

/// Lines of the list that wait for a configuration to name their service.
#[derive(Debug, Default)]
struct Unnamed {
    named_pools: HashSet<Name>,
    lines: HashMap<Name, Listed>,
}

impl Upstreams {
    /// Takes over one line of the list.
    ///
    /// It counts once a configuration names its service. Anybody may list a server
    /// of a service that nobody knows; at the address of a server in use, it would
    /// count as the later one there, and the server would get no more work.
    pub fn put(&self, listed: &Listed) {
        // Held throughout, so that a configuration that names the service meanwhile
        // finds the line either held back or in use.
        let mut unnamed = self.unnamed.lock().unwrap();
        match unnamed.hold_back(listed) {
            true => self.take_off(&listed.id),
            false => self.put_named(listed),
        }
    }

    /// Takes over which services the configuration in force names.
    pub fn name_pools(&self, pools: impl IntoIterator<Item = Name>) {
        let mut unnamed = self.unnamed.lock().unwrap();
        let now_named = unnamed.name_pools(pools);
        now_named.iter().for_each(|listed| self.put_named(listed));
    }

    fn put_named(&self, listed: &Listed) {
        let mut by_id = self.by_id.lock().unwrap();
        match by_id.get(&listed.id) {
            Some(known) if is_same(known, listed) => known.update(listed),
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
        self.unnamed.lock().unwrap().lines.remove(id);
        self.take_off(id);
    }

    fn take_off(&self, id: &str) {
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

    /// Returns the identities of all upstreams, of services not named too.
    pub fn ids(&self) -> Vec<Name> {
        let mut ids: Vec<Name> = self.by_id.lock().unwrap().keys().cloned().collect();
        ids.extend(self.unnamed.lock().unwrap().lines.keys().cloned());
        ids
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

impl Unnamed {
    /// Keeps a line for later if its service is not named; returns whether it did.
    fn hold_back(&mut self, listed: &Listed) -> bool {
        self.lines.remove(&listed.id);
        let is_named = self.named_pools.contains(&listed.pool);
        if !is_named {
            self.lines.insert(listed.id.clone(), listed.clone());
        }
        !is_named
    }

    /// Takes over the named services; returns the lines that count from now on.
    fn name_pools(&mut self, pools: impl IntoIterator<Item = Name>) -> Vec<Listed> {
        self.named_pools = pools.into_iter().collect();
        let named_pools = &self.named_pools;
        let now_named = self.lines.extract_if(|_, line| named_pools.contains(&line.pool));
        now_named.map(|(_, line)| line).collect()
    }
}

/// Reports whether a line is of the server that is known by its identity.
fn is_same(known: &Upstream, listed: &Listed) -> bool {
    known.address == listed.address && known.pool == listed.pool
}

/// Gives no more work to an identity whose address has a later one.
///
/// A crashed server stays on the list for some heartbeats after it has restarted
/// at the same address, or after another service was given the address. Entries
/// that had just restarted themselves sent to such identities until their few
/// repeats were used up, and refused callers with half of the servers idle.
fn retire_older(by_id: &HashMap<Name, Arc<Upstream>>, new: &Arc<Upstream>) {
    let other =
        |known: &&Arc<Upstream>| known.address == new.address && known.id != new.id;
    for known in by_id.values().filter(other) {
        match known.listed_at < new.listed_at {
            true => known.leave(),
            false => new.leave(),
        }
    }
}
