//! What an entry knows of the weights that were named.

use std::collections::HashMap;
use std::sync::Mutex;

use bilberry_core::Name;
use bilberry_core::NamedWeights;
use bilberry_core::UnixMs;
use tokio::sync::Notify;

/// The weights of each model that are known to exist.
#[derive(Debug, Default)]
pub struct KnownWeights {
    by_model: Mutex<HashMap<Name, NamedWeights>>,
    /// Notified when a new version is noted.
    pub(crate) changed: Notify,
}

impl KnownWeights {
    /// Notes a version that may have been named from `since` on; returns whether it
    /// is new.
    pub fn note(&self, model: &Name, version: u64, since: UnixMs) -> bool {
        let mut by_model = self.by_model.lock().unwrap();
        let is_new = by_model.entry(model.clone()).or_default().note(version, since);
        if is_new {
            self.changed.notify_one();
        }
        is_new
    }

    /// Returns the newest version of a model's weights.
    pub fn newest(&self, model: &str) -> Option<u64> {
        let by_model = self.by_model.lock().unwrap();
        by_model.get(model)?.newest().map(|(version, _)| version)
    }

    /// Returns for how long an upstream with this version has lacked newer weights;
    /// `None` if it lacks none.
    ///
    /// One whose version is unknown may lack all that were ever named.
    pub fn lacking_ms(
        &self,
        model: &str,
        version: Option<u64>,
        now: UnixMs,
    ) -> Option<u64> {
        let by_model = self.by_model.lock().unwrap();
        let since = by_model.get(model)?.lacking_since(version.unwrap_or_default())?;
        Some(now.ms_since(since))
    }
}
