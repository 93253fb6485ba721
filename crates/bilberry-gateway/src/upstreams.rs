//! All upstreams, by service.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use bilberry_core::Incarnation;
use bilberry_core::IncarnationOrder;
use bilberry_core::LimitReport;
use bilberry_core::Name;
use bilberry_core::UnixMs;
use bilberry_wire::CacheChange;
use bilberry_wire::UpstreamState;
use tokio::sync::Notify;

use crate::Listing;
use crate::Upstream;

/// The maximum number of unlisted upstreams whose reported status is remembered.
///
/// Far more than leave within the seconds for which a list can be out of date.
const MAX_REMEMBERED: usize = 4_096;

/// The upstreams of each service, in an order that all entries agree on.
pub(crate) type UpstreamsByPool = HashMap<Name, Arc<[Arc<Upstream>]>>;

/// All upstreams that the platform lists.
#[derive(Debug, Default)]
pub struct Upstreams {
    by_id: Mutex<HashMap<Name, Arc<Upstream>>>,
    by_pool: ArcSwap<UpstreamsByPool>,
    deferred: Mutex<DeferredListings>,
    /// Unlisted upstreams that had announced their shutdown or a request limit.
    remembered: Mutex<HashMap<Name, Arc<Upstream>>>,
    listed: AtomicBool,
    /// Notified when an upstream may have free capacity again.
    pub changed: Arc<Notify>,
    /// Notified when an upstream is added or removed, starts leaving, goes down or comes
    /// back, when the feed from its sidecar starts or is lost, or when its models change.
    pub(crate) status_changed: Arc<Notify>,
}

/// Listings that are deferred until a configuration names their service.
#[derive(Debug, Default)]
struct DeferredListings {
    named_pools: HashSet<Name>,
    by_id: HashMap<Name, Listing>,
}

impl Upstreams {
    /// Applies a listing; returns the incarnation that it ends, if any.
    ///
    /// The listing is deferred until a configuration names its service. Anyone may list
    /// a server of an unknown service. If it had the address of a server in use, it
    /// would count as the later one at that address, and the server would get no more
    /// work.
    pub fn apply_listing(&self, listed: &Listing) -> Option<Arc<Upstream>> {
        // Locked throughout, so that a configuration that names the service concurrently
        // finds the listing either deferred or in use.
        let mut deferred = self.deferred.lock().unwrap();
        if deferred.defer(listed) {
            self.remove_by_id(&listed.id);
            return None;
        }
        self.put_named(listed)
    }

    /// Sets the services that the configuration in force names, and applies the deferred
    /// listings of these services.
    pub fn set_configured_pools(&self, pools: impl IntoIterator<Item = Name>) {
        let mut deferred = self.deferred.lock().unwrap();
        for listed in deferred.release_named(pools) {
            // Deferred until now, so no incarnation of it was in use.
            self.put_named(&listed);
        }
    }

    /// Applies a listing whose service is configured.
    ///
    /// A listing of an earlier incarnation is ignored: it was read or written late.
    fn put_named(&self, listed: &Listing) -> Option<Arc<Upstream>> {
        let mut by_id = self.by_id.lock().unwrap();
        let known = by_id.get(&listed.id).cloned();
        let ended = match known {
            Some(known) if is_earlier(&known, listed.incarnation) => None,
            Some(known)
                if is_later(&known, listed.incarnation)
                    || is_other_software(&known, listed) =>
            {
                self.insert(&mut by_id, Upstream::new(listed));
                known.end();
                Some(known)
            }
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

    /// Applies a state from a sidecar; returns the incarnation that it ends, if any.
    pub fn apply_state(
        &self,
        id: &str,
        state: UpstreamState,
        now: UnixMs,
    ) -> Option<Arc<Upstream>> {
        let mut by_id = self.by_id.lock().unwrap();
        let known = by_id.get(id).cloned()?;
        let ended = match Incarnation::compare(known.incarnation(), state.incarnation()) {
            IncarnationOrder::Older => None,
            IncarnationOrder::Same => {
                known.apply_state(state, now);
                None
            }
            IncarnationOrder::Newer => {
                let next = self.insert(&mut by_id, known.next_incarnation(&state));
                next.apply_state(state, now);
                known.end();
                Some(known)
            }
        };
        drop(by_id);
        self.changed.notify_waiters();
        ended
    }

    /// Applies a change of an upstream's cache; returns whether it was applied.
    ///
    /// A change of any other than the current incarnation is ignored.
    pub fn apply_cache_change(
        &self,
        id: &str,
        change: &CacheChange,
        now: UnixMs,
    ) -> bool {
        let Some(known) = self.get(id) else { return false };
        let order = Incarnation::compare(known.incarnation(), change.incarnation());
        if order == IncarnationOrder::Same {
            known.apply_cache_change(change, now);
        }
        order == IncarnationOrder::Same
    }

    /// Applies the request limit that another entry learnt of.
    ///
    /// A report of any other than the current incarnation is ignored.
    pub(crate) fn apply_limit(
        &self,
        id: &str,
        incarnation: Option<Incarnation>,
        report: LimitReport,
        now: UnixMs,
    ) {
        let Some(known) = self.get(id) else { return };
        let order = Incarnation::compare(known.incarnation(), incarnation);
        if order == IncarnationOrder::Same {
            known.record_limit(report, now);
            self.changed.notify_waiters();
        }
    }

    /// Returns the current incarnation of an upstream.
    pub fn get(&self, id: &str) -> Option<Arc<Upstream>> {
        self.by_id.lock().unwrap().get(id).cloned()
    }

    /// Removes an upstream; its requests in progress continue.
    pub fn remove(&self, id: &str) {
        self.deferred.lock().unwrap().by_id.remove(id);
        self.remove_by_id(id);
    }

    fn remove_by_id(&self, id: &str) {
        let mut by_id = self.by_id.lock().unwrap();
        if let Some(removed) = by_id.remove(id) {
            removed.leave();
            self.publish(&by_id);
            self.remember_status(removed);
        }
    }

    /// Remembers what a removed upstream has reported of itself, in case the list names
    /// it again.
    fn remember_status(&self, removed: Arc<Upstream>) {
        if !removed.has_announced_leaving() && removed.request_limit().is_none() {
            return;
        }
        let mut remembered = self.remembered.lock().unwrap();
        if remembered.len() >= MAX_REMEMBERED {
            remembered.clear();
        }
        remembered.insert(removed.id.clone(), removed);
    }

    /// Restores the status of an upstream whose same incarnation is listed again.
    fn restore_status(&self, upstream: &Upstream) {
        let Some(before) = self.remembered.lock().unwrap().remove(&upstream.id) else {
            return;
        };
        let order = Incarnation::compare(before.incarnation(), upstream.incarnation());
        if order != IncarnationOrder::Same || before.address != upstream.address {
            return;
        }
        if before.has_announced_leaving() {
            log::info!(target: "upstream", upstream = upstream.id.as_str(); "ignoring a listing of a server that announced its shutdown");
            upstream.announce_leaving();
        }
        if let Some(report) = before.limit_report() {
            upstream.restore_limit(report);
        }
    }

    /// Records that the complete list has been read.
    pub fn mark_list_complete(&self) {
        self.listed.store(true, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Reports whether the complete list has been read at least once.
    ///
    /// Before that, a service without known upstreams may still have some.
    pub fn is_list_complete(&self) -> bool {
        self.listed.load(Ordering::Relaxed)
    }

    /// Returns the ids of all upstreams, including those with deferred listings.
    pub fn ids(&self) -> Vec<Name> {
        let mut ids: Vec<Name> = self.by_id.lock().unwrap().keys().cloned().collect();
        ids.extend(self.deferred.lock().unwrap().by_id.keys().cloned());
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

    /// Returns the newest version of a model's weights that a sidecar reports.
    ///
    /// Ignores the list, which anyone may write to: a version there that was never
    /// announced would block all announced ones.
    pub fn newest_reported(&self, pool: &str, model: &str, now: UnixMs) -> Option<u64> {
        let by_pool = self.by_pool.load();
        let upstreams = by_pool.get(pool)?;
        upstreams
            .iter()
            .filter_map(|upstream| upstream.reported_weights(model, now))
            .max()
    }

    fn insert(
        &self,
        by_id: &mut HashMap<Name, Arc<Upstream>>,
        mut upstream: Upstream,
    ) -> Arc<Upstream> {
        upstream.set_status_notify(self.status_changed.clone());
        self.restore_status(&upstream);
        log::info!(
            target: "upstream",
            upstream = upstream.id.as_str(),
            pool = upstream.pool.as_str(),
            software = upstream.software().map_or("", Name::as_str);
            "listed"
        );
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

impl DeferredListings {
    /// Defers a listing if its service is not configured; returns whether it did.
    fn defer(&mut self, listed: &Listing) -> bool {
        self.by_id.remove(&listed.id);
        let is_configured = self.named_pools.contains(&listed.pool);
        if !is_configured {
            self.by_id.insert(listed.id.clone(), listed.clone());
        }
        !is_configured
    }

    /// Sets the configured services; removes and returns the listings that are no longer
    /// deferred.
    fn release_named(&mut self, pools: impl IntoIterator<Item = Name>) -> Vec<Listing> {
        self.named_pools = pools.into_iter().collect();
        let named_pools = &self.named_pools;
        let released =
            self.by_id.extract_if(|_, listed| named_pools.contains(&listed.pool));
        released.map(|(_, listed)| listed).collect()
    }
}

/// Reports whether a listing has the address and service of the server known by its id.
fn is_same(known: &Upstream, listed: &Listing) -> bool {
    known.address == listed.address && known.pool == listed.pool
}

/// Reports whether a listing names other software than that of the known incarnation.
///
/// Software changes only with a restart, which not all servers report.
fn is_other_software(known: &Upstream, listed: &Listing) -> bool {
    let listed = listed.software.as_ref();
    known.software().is_some_and(|known| listed.is_some_and(|listed| listed != known))
}

/// Reports whether a listed incarnation is later than the known one.
///
/// The first listing with a start time counts as later: the previous listing was
/// written by another process, or by a server that has been replaced.
fn is_later(known: &Upstream, listed: Option<Incarnation>) -> bool {
    match known.incarnation() {
        None => listed.is_some(),
        known => Incarnation::compare(known, listed) == IncarnationOrder::Newer,
    }
}

/// Reports whether a listed incarnation is earlier than the known one.
fn is_earlier(known: &Upstream, listed: Option<Incarnation>) -> bool {
    Incarnation::compare(known.incarnation(), listed) == IncarnationOrder::Older
}

/// Marks an upstream as leaving if another one was started or listed later at its
/// address.
///
/// A crashed server stays listed for some heartbeats after it has restarted at the same
/// address under another id, or after another service was given the address. Without
/// this check, entries that have just restarted themselves send requests to such stale
/// ids until the few retries are used up, and refuse callers while half of the servers
/// are idle.
fn retire_older(by_id: &HashMap<Name, Arc<Upstream>>, new: &Arc<Upstream>) {
    let others = by_id.values().filter(|known| known.id != new.id);
    for known in others.filter(|known| known.address == new.address) {
        match Incarnation::compare(known.incarnation(), new.incarnation()) {
            IncarnationOrder::Newer => known.leave(),
            IncarnationOrder::Older => new.leave(),
            IncarnationOrder::Same if known.listed_at < new.listed_at => known.leave(),
            IncarnationOrder::Same => new.leave(),
        }
    }
}
