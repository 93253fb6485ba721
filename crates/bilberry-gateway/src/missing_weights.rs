//! Detection of engines without a sidecar on their host.

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::RolloutPlace;
use bilberry_core::UnixMs;

use crate::Dialect;
use crate::Gateway;
use crate::Upstream;

/// Whether hosts have a sidecar, as observed from connection attempts.
#[derive(Debug, Default)]
pub struct SidecarPresenceMap {
    by_host: Mutex<HashMap<IpAddr, SidecarPresence>>,
}

/// Whether a host has a sidecar.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
enum SidecarPresence {
    /// Connections have been refused since then, and none has succeeded since this
    /// process started.
    RefusesSince(UnixMs),
    /// A connection has succeeded.
    Seen,
}

impl SidecarPresenceMap {
    /// Records the result of a connection attempt to the sidecar of a host.
    ///
    /// A timeout is ignored, as the host may be partitioned or suspended.
    pub fn record_connect<T>(
        &self,
        host: IpAddr,
        connected: &io::Result<T>,
        now: UnixMs,
    ) {
        let mut by_host = self.by_host.lock().unwrap();
        match connected {
            Ok(_) => {
                by_host.insert(host, SidecarPresence::Seen);
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                by_host.entry(host).or_insert(SidecarPresence::RefusesSince(now));
            }
            Err(_) => {}
        }
    }

    /// Reports whether a host has refused connections for at least `min_refusal_ms` and
    /// never accepted one.
    pub fn lacks_sidecar(&self, host: IpAddr, min_refusal_ms: u64, now: UnixMs) -> bool {
        match self.by_host.lock().unwrap().get(&host) {
            Some(SidecarPresence::RefusesSince(since)) => {
                now.ms_since(*since) >= min_refusal_ms
            }
            Some(SidecarPresence::Seen) | None => false,
        }
    }
}

/// An engine that lacks a version of its weights and has no sidecar to order it.
#[derive(Debug, Clone)]
pub struct MissingWeights {
    /// The engine.
    pub upstream: Arc<Upstream>,
    /// The model.
    pub model: Name,
    /// The version to load.
    pub version: u64,
    /// When the oldest version that it lacks was announced.
    pub lacking_since: UnixMs,
    /// Its position among the servers of its service.
    pub place: RolloutPlace,
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Reports whether an upstream is an engine.
    pub(crate) fn is_engine(&self, upstream: &Upstream) -> bool {
        let policy = self.policy();
        let pool = policy.as_ref().and_then(|policy| policy.pools.get(&upstream.pool));
        pool.is_some_and(|pool| pool.engine.is_some())
    }

    /// Returns the engines on hosts where no sidecar has ever accepted a connection and
    /// the sidecar port has refused connections for at least `min_refusal_ms`.
    pub fn engines_without_sidecar(&self, min_refusal_ms: u64) -> Vec<Arc<Upstream>> {
        let now = self.clock.now();
        let lacks = |upstream: &Arc<Upstream>| {
            let host = upstream.address.ip();
            !upstream.is_leaving()
                && self.sidecars.lacks_sidecar(host, min_refusal_ms, now)
                && self.is_engine(upstream)
        };
        self.upstreams.all().into_iter().filter(lacks).collect()
    }

    /// Returns the first model of which an engine without a sidecar lacks the newest
    /// weights.
    pub fn missing_weights(&self, upstream: &Arc<Upstream>) -> Option<MissingWeights> {
        let now = self.clock.now();
        let lacking = |(model, version): (Name, u64)| {
            let lacking_ms = self.weights.lacking_ms(&model, Some(version), now)?;
            Some(MissingWeights {
                upstream: upstream.clone(),
                version: self.weights.newest(&model)?,
                model,
                lacking_since: UnixMs(now.0.saturating_sub(lacking_ms)),
                place: self.rollout_place(upstream),
            })
        };
        upstream.models(now).into_iter().find_map(lacking)
    }

    /// Returns the position of an upstream among the servers of its service.
    ///
    /// Ordered by hash: in address order, a rollout would take all servers of one data
    /// centre out of service at once.
    pub(crate) fn rollout_place(&self, upstream: &Upstream) -> RolloutPlace {
        let now = self.clock.now();
        let peers = self.upstreams.of(&upstream.pool);
        RolloutPlace {
            position: peers.iter().filter(|peer| peer.seed < upstream.seed).count(),
            servers: peers.len(),
            down: peers.iter().filter(|peer| peer.is_down(now)).count(),
        }
    }
}
