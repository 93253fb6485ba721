//! The counter of objects that a process could not parse.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// The label of the counter of unreadable objects.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

/// Counts objects of the platform's store that can't be parsed, by kind.
#[derive(Debug, Clone, Default)]
pub struct UnreadableObjects {
    by_kind: Family<KindLabel, Counter>,
}

impl UnreadableObjects {
    /// Adds the counter to a process's metrics.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Changes of objects in the store that were not understood";
        registry.register("unreadable_objects", help, self.by_kind.clone());
    }

    /// Exports the counter of a kind as zero, so that its first increment is visible
    /// in rates.
    pub fn declare(&self, kind: &'static str) {
        drop(self.by_kind.get_or_create(&KindLabel { kind }));
    }

    /// Counts one object.
    pub fn increment(&self, kind: &'static str) {
        self.by_kind.get_or_create(&KindLabel { kind }).inc();
    }
}
