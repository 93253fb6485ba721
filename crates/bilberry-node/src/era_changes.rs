//! The counter of restores of the platform's store from an older copy.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Counts the changes of the store's era that a process has detected.
#[derive(Debug, Clone, Default)]
pub struct EraChanges {
    count: Counter,
}

impl EraChanges {
    /// Adds the counter to a process's metrics.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Returns of the store from an older copy";
        registry.register("store_era_changes", help, self.count.clone());
    }

    /// Counts one change.
    pub fn increment(&self) {
        self.count.inc();
    }

    /// Returns the number of counted changes.
    pub fn total(&self) -> u64 {
        self.count.get()
    }
}
