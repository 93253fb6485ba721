//! The newest weights that a sidecar has heard of.

use std::collections::HashMap;
use std::sync::Mutex;

use bilberry_core::Name;
use bilberry_core::NamedWeights;
use bilberry_core::RolloutPlace;
use bilberry_core::UnixMs;
use bilberry_wire::EntryNotice;

/// What a sidecar has heard of the weights of its service.
#[derive(Debug, Default)]
pub struct Newest {
    heard: Mutex<Heard>,
}

#[derive(Debug, Default)]
struct Heard {
    weights: HashMap<Name, NamedWeights>,
    place: Option<RolloutPlace>,
}

impl Newest {
    /// Notes that weights exist; older ones change nothing.
    pub fn hear(&self, model: &str, version: u64, now: UnixMs) {
        let mut heard = self.heard.lock().unwrap();
        heard.weights.entry(model.into()).or_default().note(version, now);
    }

    /// Takes over what an entry knows.
    ///
    /// A sidecar that is cut off from the platform learns of new weights from
    /// the entries, which see them at other upstreams.
    pub fn hear_entry(&self, notice: &EntryNotice, now: UnixMs) {
        for weights in notice.newest.iter().filter(|weights| weights.version > 0) {
            self.hear(&weights.model, weights.version, now);
        }
        let servers = notice.servers as usize;
        let position = notice.position as usize;
        let down = notice.down as usize;
        self.heard.lock().unwrap().place = Some(RolloutPlace { position, servers, down });
    }

    /// Returns the version that an engine with these weights is to load, and since
    /// when it has lacked newer ones.
    pub fn lacking(&self, model: &str, version: u64) -> Option<(u64, UnixMs)> {
        let heard = self.heard.lock().unwrap();
        let weights = heard.weights.get(model)?;
        let since = weights.lacking_since(version)?;
        weights.newest().map(|(newest, _)| (newest, since))
    }

    /// Returns the engine's place among those of its service.
    pub fn place(&self) -> RolloutPlace {
        let alone = RolloutPlace { position: 0, servers: 1, down: 0 };
        self.heard.lock().unwrap().place.unwrap_or(alone)
    }
}
