//! Which services' sidecars observe the runs of their engines for this entry.

use std::collections::HashSet;
use std::sync::Mutex;

use bilberry_core::Clock;
use bilberry_core::Name;

use crate::Dialect;
use crate::Gateway;
use crate::ServerStatus;
use crate::Upstream;

/// The services whose servers share their hosts with other work and report how long
/// their work takes.
#[derive(Debug, Default)]
pub(crate) struct SharedHosts {
    pools: Mutex<HashSet<Name>>,
}

impl SharedHosts {
    /// Records a status; returns whether it is the first of its service with the load of
    /// the host.
    fn record(&self, pool: &Name, status: &ServerStatus) -> bool {
        let is_reported = status.load.is_some_and(|load| load.host_percent.is_some());
        if !is_reported || self.contains(pool) {
            return false;
        }
        self.pools.lock().unwrap().insert(pool.clone())
    }

    fn contains(&self, pool: &str) -> bool {
        self.pools.lock().unwrap().contains(pool)
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Records whether an upstream reports the load of its host.
    pub(crate) fn record_host_load(&self, upstream: &Upstream, status: &ServerStatus) {
        if self.shared_hosts.record(&upstream.pool, status) {
            log::info!(target: "upstream", pool = upstream.pool.as_str(); "servers report the load of their hosts");
            self.upstreams.status_changed.notify_one();
        }
    }

    /// Reports whether the servers of a service report the load of their hosts.
    pub(crate) fn has_shared_hosts(&self, pool: &str) -> bool {
        self.shared_hosts.contains(pool)
    }

    /// Reports whether a service orders the requests that compete for it.
    pub(crate) fn is_ordered(&self, pool: &str) -> bool {
        self.shortest_target_ms(pool).is_some()
    }

    /// Returns the shortest target latency of the routes to a service, if it orders the
    /// requests which compete for it.
    pub(crate) fn shortest_target_ms(&self, pool: &str) -> Option<u64> {
        self.policy()?.ordered_pools.get(pool).copied()
    }

    /// Reports whether this entry uses what sidecars observe of their engines' runs.
    pub(crate) fn observes_runs(&self, pool: &str) -> bool {
        self.has_shared_hosts(pool) || self.is_ordered(pool)
    }
}
