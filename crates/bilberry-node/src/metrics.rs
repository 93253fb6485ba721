//! The metrics of every process.

use std::sync::Mutex;

use bilberry_wire::Body;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::ClientMetrics;

/// The labels of the peer traffic counters.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PeerLabels {
    /// `sent` or `received`.
    pub direction: &'static str,
    /// `control` or `data`.
    pub class: &'static str,
}

/// The labels of the counter of responses to callers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResponseLabels {
    /// The error code, or `ok`.
    pub code: String,
}

/// All metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Bytes exchanged with peers.
    pub peer_bytes: Family<PeerLabels, Counter>,
    /// Messages exchanged with peers.
    pub peer_messages: Family<PeerLabels, Counter>,
    /// Responses to callers.
    pub answers: Family<ResponseLabels, Counter>,
    /// Calls to upstreams, including retries.
    pub upstream_calls: Counter,
    /// Requests accepted for routing.
    pub requests: Counter,
    /// Prompt tokens of completed requests.
    pub prompt_tokens: Counter,
    /// Prompt tokens found in the engines' caches.
    pub cached_tokens: Counter,
    /// Requests in progress.
    pub in_progress: Gauge,
    /// Requests queued for the upstream.
    pub queued: Gauge,
    /// Blocks in the sidecar's index.
    pub cached_blocks: Gauge,
    /// Processed cache events.
    pub cache_events: Counter,
    /// Gaps in the stream of cache events.
    pub cache_event_gaps: Counter,
    /// The active configuration revision.
    pub revision: Gauge,
    /// What callers make the process hold.
    pub clients: ClientMetrics,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("bilberry")),
            peer_bytes: Family::default(),
            peer_messages: Family::default(),
            answers: Family::default(),
            upstream_calls: Counter::default(),
            requests: Counter::default(),
            prompt_tokens: Counter::default(),
            cached_tokens: Counter::default(),
            in_progress: Gauge::default(),
            queued: Gauge::default(),
            cached_blocks: Gauge::default(),
            cache_events: Counter::default(),
            cache_event_gaps: Counter::default(),
            revision: Gauge::default(),
            clients: ClientMetrics::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock().unwrap();
        let peer = registry.sub_registry_with_prefix("peer");
        peer.register("bytes", "Bytes between peers", self.peer_bytes.clone());
        peer.register("messages", "Messages between peers", self.peer_messages.clone());
        registry.register("answers", "Answers to callers", self.answers.clone());
        let calls = self.upstream_calls.clone();
        registry.register("upstream_calls", "Calls to upstreams", calls);
        registry.register("requests", "Requests accepted", self.requests.clone());
        let tokens = self.prompt_tokens.clone();
        registry.register("prompt_tokens", "Prompt tokens answered", tokens);
        let tokens = self.cached_tokens.clone();
        registry.register("cached_tokens", "Prompt tokens found cached", tokens);
        let progress = self.in_progress.clone();
        registry.register("in_progress", "Requests in progress", progress);
        registry.register("queued", "Requests that wait", self.queued.clone());
        let blocks = self.cached_blocks.clone();
        registry.register("cached_blocks", "Blocks in the index", blocks);
        let events = self.cache_events.clone();
        registry.register("cache_events", "Cache events taken in", events);
        let gaps = self.cache_event_gaps.clone();
        registry.register("cache_event_gaps", "Gaps in the cache events", gaps);
        let revision = self.revision.clone();
        registry.register("config_revision", "Revision in force", revision);
        self.clients.register(&mut registry);
    }

    /// Counts one frame.
    pub fn count_frame(&self, direction: &'static str, body: &Body, bytes: usize) {
        let class = match body {
            Body::Dispatch(_)
            | Body::Started(_)
            | Body::Chunk(_)
            | Body::Finished(_)
            | Body::PlainAnswer(_)
            | Body::Refused(_)
            | Body::Cancel(_) => "data",
            _ => "control",
        };
        let labels = PeerLabels { direction, class };
        self.peer_bytes.get_or_create(&labels).inc_by(bytes as u64);
        self.peer_messages.get_or_create(&labels).inc();
    }

    /// Counts one response to a caller.
    pub fn count_answer(&self, code: &str) {
        self.answers.get_or_create(&ResponseLabels { code: code.to_string() }).inc();
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        render_metrics(&self.registry)
    }
}

/// Returns the metrics of a registry in the text format of Prometheus.
pub fn render_metrics(registry: &Mutex<Registry>) -> String {
    let mut text = String::new();
    let registry = registry.lock().unwrap();
    // Writing into a string can't fail.
    let _ = encode(&mut text, &registry);
    text
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
