//! Services whose upstreams all ask for fewer requests, by a limit or a pause.

use std::collections::HashMap;
use std::sync::Mutex;

use bilberry_core::AdmittedRate;
use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::UnixMs;
use bilberry_core::time_to_admit_ms;

use crate::Dialect;
use crate::Gateway;

/// The longest time for which callers are told to stay away.
const MAX_STAY_AWAY_MS: u64 = 30_000;

/// The requests that wait for capacity or were told when to return, by service.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests {
    pools: Mutex<HashMap<Name, PoolQueue>>,
}

#[derive(Debug, Default)]
struct PoolQueue {
    waiting: usize,
    /// The requests of this entry that limits of its servers admitted.
    admitted: AdmittedRate,
    /// When the last of the rejected callers was told to return.
    return_at: UnixMs,
}

/// When the upstreams of a service, all of which are held back, admit requests again.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub(crate) struct HeldBack {
    /// When the first of them admits a request.
    pub(crate) until: UnixMs,
    /// How long their limits take to admit those that wait already, in milliseconds, if
    /// all of them have one.
    pub(crate) queue_ms: Option<u64>,
}

impl HeldBack {
    /// Reports whether a request that has waited since `began` should wait no longer.
    ///
    /// It may wait until `until` for the end of a pause, and until `limited_until` for its
    /// turn under limits.
    pub(crate) fn is_hopeless(
        &self,
        began: UnixMs,
        until: UnixMs,
        limited_until: UnixMs,
        now: UnixMs,
    ) -> bool {
        let turn_at = self.queue_ms.map(|queue_ms| began.plus_ms(queue_ms).max(now));
        self.until > until || turn_at.is_some_and(|turn_at| turn_at > limited_until)
    }
}

/// Counts a request as waiting until it is dropped.
pub(crate) struct WaitingGuard<'a> {
    waiting: &'a WaitingRequests,
    pool: Name,
    /// The number of requests that waited before.
    pub(crate) ahead: usize,
}

impl WaitingRequests {
    /// Counts a request as waiting.
    pub(crate) fn enter(&self, pool: &Name) -> WaitingGuard<'_> {
        let mut pools = self.pools.lock().unwrap();
        let queue = pools.entry(pool.clone()).or_default();
        let ahead = queue.waiting;
        queue.waiting += 1;
        WaitingGuard { waiting: self, pool: pool.clone(), ahead }
    }

    /// Records that the limit of a server of the service admitted a request.
    pub(crate) fn record_admitted(&self, pool: &Name, now: UnixMs) {
        let mut pools = self.pools.lock().unwrap();
        pools.entry(pool.clone()).or_default().admitted.record(now);
    }

    fn admitted_per_s(&self, pool: &Name, now: UnixMs) -> f64 {
        let mut pools = self.pools.lock().unwrap();
        pools.get_mut(pool).map_or(0.0, |queue| queue.admitted.per_s(now))
    }

    /// Returns when a rejected caller should return, if the service admits a request of
    /// this entry every `interval_ms` from `first_at` on.
    ///
    /// Each rejected caller gets the next of these times, so that they do not return
    /// together.
    fn reserve_return(
        &self,
        pool: &Name,
        first_at: UnixMs,
        interval_ms: u64,
        now: UnixMs,
    ) -> UnixMs {
        let mut pools = self.pools.lock().unwrap();
        let queue = pools.entry(pool.clone()).or_default();
        let next = queue.return_at.plus_ms(interval_ms).max(first_at);
        queue.return_at = next.min(now.plus_ms(MAX_STAY_AWAY_MS));
        queue.return_at
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let mut pools = self.waiting.pools.lock().unwrap();
        if let Some(queue) = pools.get_mut(&self.pool) {
            queue.waiting -= 1;
        }
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Returns when a service admits a request again, with `ahead` requests before it, if
    /// all its upstreams are held back; upstreams that are shutting down are ignored.
    pub(crate) fn held_back(
        &self,
        pool: &Name,
        ahead: usize,
        now: UnixMs,
    ) -> Option<HeldBack> {
        let upstreams = self.upstreams.of(pool);
        let not_leaving = upstreams.iter().filter(|upstream| !upstream.is_leaving());
        let ends: Option<Vec<UnixMs>> =
            not_leaving.clone().map(|upstream| upstream.held_back_until(now)).collect();
        let until = ends?.into_iter().min()?;
        let limits: Option<Vec<f64>> = not_leaving
            .map(|upstream| upstream.request_limit().map(|limit| limit.per_s()))
            .collect();
        let queue_ms = limits.map(|limits| {
            let own_per_s = self.waiting.admitted_per_s(pool, now);
            let entries = self.entries_sharing();
            time_to_admit_ms(ahead, limits.iter().sum(), entries, own_per_s)
        });
        Some(HeldBack { until, queue_ms })
    }

    /// Returns when a caller that is rejected now should return, if all upstreams of the
    /// service are held back.
    pub(crate) fn reserve_return(&self, pool: &Name, now: UnixMs) -> Option<UnixMs> {
        let next = self.held_back(pool, 1, now)?;
        Some(match next.queue_ms {
            Some(interval_ms) => {
                self.waiting.reserve_return(pool, next.until, interval_ms, now)
            }
            None => next.until,
        })
    }
}
