//! The versions of model weights known to an entry.

use std::collections::HashMap;
use std::sync::Mutex;

use bilberry_core::AnnouncedWeights;
use bilberry_core::Name;
use bilberry_core::UnixMs;
use tokio::sync::Notify;

/// The known versions of each model's weights.
#[derive(Debug, Default)]
pub struct KnownWeights {
    by_model: Mutex<HashMap<Name, AnnouncedWeights>>,
    /// Notified when a new version becomes known.
    pub(crate) changed: Notify,
}

impl KnownWeights {
    /// Records a version that may have been announced as early as `since`; returns
    /// whether it is new.
    pub fn note(&self, model: &Name, version: u64, since: UnixMs) -> bool {
        let mut by_model = self.by_model.lock().unwrap();
        let is_new = by_model.entry(model.clone()).or_default().record(version, since);
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

    /// Returns for how long an upstream with this version has lacked newer weights, or
    /// `None` if its weights are the newest.
    ///
    /// An unknown version is treated as older than all that were announced.
    pub fn lacking_ms(
        &self,
        model: &str,
        version: Option<u64>,
        now: UnixMs,
    ) -> Option<u64> {
        let by_model = self.by_model.lock().unwrap();
        let since = by_model.get(model)?.outdated_since(version.unwrap_or_default())?;
        Some(now.ms_since(since))
    }
}
