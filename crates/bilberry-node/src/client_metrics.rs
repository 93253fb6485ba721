//! Metrics of what clients make a process hold.

use bilberry_core::ClientStage;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The label of the gauge of held bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct HeldLabel {
    /// `whole` for requests that were read whole, `incomplete` for all others.
    pub requests: &'static str,
}

/// The label of the counter of connections that yielded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StageLabel {
    /// How far the request of the connection was.
    pub stage: &'static str,
}

/// Metrics of what clients make a process hold.
#[derive(Debug, Clone, Default)]
pub struct ClientMetrics {
    /// The bytes that are held.
    pub held_bytes: Family<HeldLabel, Gauge>,
    /// The bytes that may be held.
    pub max_held_bytes: Gauge,
    /// Open connections.
    pub connections: Gauge,
    /// Connections that had to yield, by the stage of their request.
    pub yielded: Family<StageLabel, Counter>,
    /// Connections and parts of requests for which there was no room.
    pub without_room: Counter,
}

impl ClientMetrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        let held = self.held_bytes.clone();
        registry.register("client_bytes", "Bytes held for clients", held);
        let most = self.max_held_bytes.clone();
        registry.register("client_bytes_max", "Bytes that may be held for clients", most);
        let connections = self.connections.clone();
        registry.register("client_connections", "Connections of clients", connections);
        let yielded = self.yielded.clone();
        let help = "Connections with incomplete requests that made room";
        registry.register("clients_yielded", help, yielded);
        let help = "Connections and parts of requests without room";
        registry.register("clients_without_room", help, self.without_room.clone());
    }

    /// Sets the gauges.
    pub(crate) fn set_held(&self, whole_bytes: u64, all_bytes: u64, connections: usize) {
        let set = |requests, bytes: u64| {
            self.held_bytes.get_or_create(&HeldLabel { requests }).set(bytes as i64);
        };
        set("whole", whole_bytes);
        set("incomplete", all_bytes - whole_bytes);
        self.connections.set(connections as i64);
    }

    /// Counts a connection that has to yield.
    pub(crate) fn count_yielded(&self, stage: ClientStage) {
        let stage = match stage {
            ClientStage::Idle => "idle",
            ClientStage::Head => "head",
            ClientStage::Body => "body",
            ClientStage::Whole => "whole",
            ClientStage::Closing => "closing",
        };
        self.yielded.get_or_create(&StageLabel { stage }).inc();
    }
}
