//! All upstreams, by service.

use std::collections::HashMap;
use std::collections::HashSet;
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

/// How many upstreams that announced their shutdown and are off the list are kept.
///
/// Far more than leave within the seconds in which a list can be out of date.
const MAX_ANNOUNCED: usize = 4_096;

/// The upstreams of each service, in an order that all entries agree on.
pub(crate) type UpstreamsByPool = HashMap<Name, Arc<[Arc<Upstream>]>>;

/// All upstreams that the platform lists.
#[derive(Debug, Default)]
pub struct Upstreams {
    by_id: Mutex<HashMap<Name, Arc<Upstream>>>,
    by_pool: ArcSwap<UpstreamsByPool>,
    unnamed: Mutex<Unnamed>,
    /// Upstreams taken off the list that had announced their shutdown.
    announced: Mutex<HashMap<Name, Arc<Upstream>>>,
    listed: AtomicBool,
    /// Told whenever an upstream may have room again.
    pub changed: Arc<Notify>,
    /// Notified when an upstream is added or removed, starts leaving, goes down or comes
    /// back, when the feed from its sidecar starts or is lost, or when its models change.
    pub(crate) status_changed: Arc<Notify>,
}

/// Lines of the list that wait for a configuration to name their service.
#[derive(Debug, Default)]
struct Unnamed {
    named_pools: HashSet<Name>,
    lines: HashMap<Name, Listed>,
}

impl Upstreams {
    /// Takes over one line of the list; returns the incarnation that it ends, if any.
    ///
    /// It counts once a configuration names its service. Anybody may list a server
    /// of a service that nobody knows; at the address of a server in use, it would
    /// count as the later one there, and the server would get no more work.
    pub fn put(&self, listed: &Listed) -> Option<Arc<Upstream>> {
        // Held throughout, so that a configuration that names the service meanwhile
        // finds the line either held back or in use.
        let mut unnamed = self.unnamed.lock().unwrap();
        if unnamed.hold_back(listed) {
            self.take_off(&listed.id);
            return None;
        }
        self.put_named(listed)
    }

    /// Takes over which services the configuration in force names.
    pub fn name_pools(&self, pools: impl IntoIterator<Item = Name>) {
        let mut unnamed = self.unnamed.lock().unwrap();
        for listed in unnamed.name_pools(pools) {
            // Held back until now, so no incarnation of it was in use.
            self.put_named(&listed);
        }
    }

    /// Takes over a line whose service is named.
    ///
    /// A line of an earlier incarnation changes nothing: it was read slowly, or its
    /// write was carried out late.
    fn put_named(&self, listed: &Listed) -> Option<Arc<Upstream>> {
        let mut by_id = self.by_id.lock().unwrap();
        let known = by_id.get(&listed.id).cloned();
        let ended = match known {
            Some(known) if is_later(&known, listed.incarnation) => {
                self.insert(&mut by_id, Upstream::new(listed));
                known.end();
                Some(known)
            }
            Some(known) if is_earlier(&known, listed.incarnation) => None,
            Some(known) if is_same(&known, listed) => {
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
        self.unnamed.lock().unwrap().lines.remove(id);
        self.take_off(id);
    }

    fn take_off(&self, id: &str) {
        let mut by_id = self.by_id.lock().unwrap();
        if let Some(gone) = by_id.remove(id) {
            gone.leave();
            self.publish(&by_id);
            self.keep_announcement(gone);
        }
    }

    /// Keeps that an upstream has announced its shutdown, in case a list that does not
    /// know of it yet names the upstream again.
    fn keep_announcement(&self, gone: Arc<Upstream>) {
        if !gone.has_announced_leaving() {
            return;
        }
        let mut announced = self.announced.lock().unwrap();
        if announced.len() >= MAX_ANNOUNCED {
            announced.clear();
        }
        announced.insert(gone.id.clone(), gone);
    }

    /// Restores the announcement of an upstream that is listed again in the same start.
    fn restore_announcement(&self, upstream: &Upstream) {
        let Some(before) = self.announced.lock().unwrap().remove(&upstream.id) else {
            return;
        };
        let told = Incarnation::compare(before.incarnation(), upstream.incarnation());
        if told == Told::Same && before.address == upstream.address {
            log::info!(target: "upstream", upstream = upstream.id.as_str(); "ignoring a listing of a server that announced its shutdown");
            upstream.announce_leaving();
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
    pub fn of(&self, pool: &str) -> Arc<[Arc<Upstream>]> {
        self.by_pool.load().get(pool).cloned().unwrap_or_default()
    }

    /// Returns all upstreams, by service.
    pub(crate) fn by_pool(&self) -> Arc<UpstreamsByPool> {
        self.by_pool.load_full()
    }

    /// Returns all upstreams.
    pub fn all(&self) -> Vec<Arc<Upstream>> {
        self.by_id.lock().unwrap().values().cloned().collect()
    }

    /// Returns the newest version of a model's weights that a sidecar tells of.
    ///
    /// Not what the list says: anybody may write there, and a version that was never
    /// named would bar all that were.
    pub fn newest_told(&self, pool: &str, model: &str, now: UnixMs) -> Option<u64> {
        let by_pool = self.by_pool.load();
        let upstreams = by_pool.get(pool)?;
        upstreams.iter().filter_map(|upstream| upstream.told_weights(model, now)).max()
    }

    fn insert(
        &self,
        by_id: &mut HashMap<Name, Arc<Upstream>>,
        mut upstream: Upstream,
    ) -> Arc<Upstream> {
        upstream.set_status_notify(self.status_changed.clone());
        self.restore_announcement(&upstream);
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
        let by_pool =
            by_pool.into_iter().map(|(pool, upstreams)| (pool, upstreams.into()));
        self.by_pool.store(Arc::new(by_pool.collect()));
        self.status_changed.notify_one();
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
