//! Which engines have no sidecar beside them.

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

/// What connecting to sidecars has shown of their hosts.
#[derive(Debug, Default)]
pub struct SidecarSigns {
    by_host: Mutex<HashMap<IpAddr, Sign>>,
}

/// Whether a host has a sidecar.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
enum Sign {
    /// Nothing listens there, and nothing ever did as long as this process runs.
    RefusesSince(UnixMs),
    /// One has taken a connection.
    Heard,
}

impl SidecarSigns {
    /// Notes how a connection to the sidecar of a host came out.
    ///
    /// One that hangs says nothing: the host may be cut off or stand still.
    pub fn note<T>(&self, host: IpAddr, connected: &io::Result<T>, now: UnixMs) {
        let mut by_host = self.by_host.lock().unwrap();
        match connected {
            Ok(_) => {
                by_host.insert(host, Sign::Heard);
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                by_host.entry(host).or_insert(Sign::RefusesSince(now));
            }
            Err(_) => {}
        }
    }

    /// Reports whether a host has refused connections for `lasting_ms` and never taken
    /// one.
    pub fn lacks_sidecar(&self, host: IpAddr, lasting_ms: u64, now: UnixMs) -> bool {
        match self.by_host.lock().unwrap().get(&host) {
            Some(Sign::RefusesSince(since)) => now.ms_since(*since) >= lasting_ms,
            Some(Sign::Heard) | None => false,
        }
    }
}

/// An engine that lacks weights and has no sidecar to order them.
#[derive(Debug, Clone)]
pub struct Unattended {
    /// The engine.
    pub upstream: Arc<Upstream>,
    /// The model.
    pub model: Name,
    /// The version to load.
    pub version: u64,
    /// When the first weights were named that it lacks.
    pub lacking_since: UnixMs,
    /// Its place among the servers of its service.
    pub place: RolloutPlace,
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Reports whether an upstream is an engine.
    pub(crate) fn is_engine(&self, upstream: &Upstream) -> bool {
        let policy = self.policy();
        let pool = policy.as_ref().and_then(|policy| policy.pools.get(&upstream.pool));
        pool.is_some_and(|pool| pool.engine.is_some())
    }

    /// Returns the engines at whose host no sidecar was ever heard, and whose port for
    /// one has refused connections for `lasting_ms`.
    pub fn engines_without_sidecar(&self, lasting_ms: u64) -> Vec<Arc<Upstream>> {
        let now = self.clock.now();
        let lacks = |upstream: &Arc<Upstream>| {
            let host = upstream.address.ip();
            !upstream.is_leaving()
                && self.sidecars.lacks_sidecar(host, lasting_ms, now)
                && self.is_engine(upstream)
        };
        self.upstreams.all().into_iter().filter(lacks).collect()
    }

    /// Returns what one of these engines lacks, if it lacks any weights.
    pub fn lacking(&self, upstream: &Arc<Upstream>) -> Option<Unattended> {
        let now = self.clock.now();
        let lacking = |(model, version): (Name, u64)| {
            let lacking_ms = self.weights.lacking_ms(&model, Some(version), now)?;
            Some(Unattended {
                upstream: upstream.clone(),
                version: self.weights.newest(&model)?,
                model,
                lacking_since: UnixMs(now.0.saturating_sub(lacking_ms)),
                place: self.rollout_place(upstream),
            })
        };
        upstream.models(now).into_iter().find_map(lacking)
    }

    /// Returns the place of an upstream among the servers of its service.
    ///
    /// Ordered by hash, as the order of addresses would take all servers of one data
    /// centre away at once.
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
