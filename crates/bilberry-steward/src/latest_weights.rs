//! The newest weights known to a sidecar.

use std::collections::HashMap;
use std::sync::Mutex;

use bilberry_core::AnnouncedWeights;
use bilberry_core::Name;
use bilberry_core::RolloutPlace;
use bilberry_core::UnixMs;
use bilberry_wire::EntryNotice;

use crate::engine_identities::EngineIdentities;

/// The newest weights of a service's models, the engine's position in rollouts, and the
/// identity that orders to it are addressed to.
#[derive(Debug, Default)]
pub struct LatestWeights {
    known: Mutex<Known>,
}

#[derive(Debug, Default)]
struct Known {
    weights: HashMap<Name, AnnouncedWeights>,
    place: Option<RolloutPlace>,
    is_listed: bool,
    identities: EngineIdentities,
}

impl LatestWeights {
    /// Records that weights exist; older versions change nothing.
    pub fn record_version(&self, model: &str, version: u64, now: UnixMs) {
        let mut known = self.known.lock().unwrap();
        known.weights.entry(model.into()).or_default().record(version, now);
    }

    /// Records what an entry reports: the newest weights, the rollout position, and the
    /// identity under which it lists the engine.
    ///
    /// A sidecar that is partitioned from the platform receives new weights from the
    /// entries, which see them at other upstreams.
    pub fn record_notice(&self, notice: &EntryNotice, now: UnixMs) {
        for weights in notice.newest.iter().filter(|weights| weights.version > 0) {
            self.record_version(&weights.model, weights.version, now);
        }
        let servers = notice.servers as usize;
        let position = notice.position as usize;
        let down = notice.down as usize;
        let mut known = self.known.lock().unwrap();
        known.place = Some(RolloutPlace { position, servers, down });
        known.identities.record(&notice.upstream);
    }

    /// Records that the engine refused an order as addressed to another identity, and the
    /// identity with which it answered, if any.
    pub fn record_refused_identity(&self, refused: &Name, actual: Option<&str>) {
        let mut known = self.known.lock().unwrap();
        known.identities.refuse(refused);
        known.identities.record(actual.unwrap_or_default());
    }

    /// Returns the engine's identity, if an entry or the engine told one that the engine
    /// has not refused since.
    pub fn engine_identity(&self) -> Option<Name> {
        self.known.lock().unwrap().identities.current()
    }

    /// Records that all announced versions have been read from the platform.
    pub fn record_listing(&self) {
        self.known.lock().unwrap().is_listed = true;
    }

    /// Reports whether this process has read all versions announced before its start.
    pub fn is_listed(&self) -> bool {
        self.known.lock().unwrap().is_listed
    }

    /// Reports whether any version of a model's weights is known.
    pub fn knows(&self, model: &str) -> bool {
        self.known.lock().unwrap().weights.contains_key(model)
    }

    /// Returns the version that an engine with these weights should load, and the time
    /// since which its weights have been outdated.
    pub fn missing_version(&self, model: &str, version: u64) -> Option<(u64, UnixMs)> {
        let known = self.known.lock().unwrap();
        let weights = known.weights.get(model)?;
        let since = weights.outdated_since(version)?;
        weights.newest().map(|(newest, _)| (newest, since))
    }

    /// Returns the engine's position in rollouts of its service.
    ///
    /// Until an entry has reported one, the engine counts as the only one.
    pub fn rollout_place(&self) -> RolloutPlace {
        let alone = RolloutPlace { position: 0, servers: 1, down: 0 };
        self.known.lock().unwrap().place.unwrap_or(alone)
    }
}
