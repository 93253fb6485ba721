//! Counters and gauges of a sidecar.

use std::sync::Mutex;

use bilberry_node::ClientMetrics;
use bilberry_node::EraChanges;
use bilberry_node::UnreadableObjects;
use bilberry_node::render_metrics;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// The upper bounds of the histogram buckets for weight loads, in seconds.
const LOAD_BUCKETS_S: [f64; 6] = [0.25, 0.5, 1.0, 2.0, 5.0, 10.0];

/// The label of the order counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrderLabel {
    /// The outcome of the order.
    pub outcome: &'static str,
}

/// The label of the admission counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AdmissionLabel {
    /// The outcome of the decision.
    pub outcome: &'static str,
}

/// The metrics of admissions to an engine.
#[derive(Debug, Clone, Default)]
pub struct AdmissionMetrics {
    /// Decisions on requests, by outcome; a queued request is counted for both decisions.
    pub decisions: Family<AdmissionLabel, Counter>,
    /// Requests that wait for their admission.
    pub waiting: Gauge,
    /// Requests that were admitted and have not ended.
    pub admitted: Gauge,
    /// Prompt tokens of admitted requests that are not prefilled yet.
    pub outstanding_tokens: Gauge,
    /// The measured time to prefill a prompt token, in nanoseconds.
    pub prefill_token_ns: Gauge,
}

impl AdmissionMetrics {
    /// Counts a decision by its outcome.
    pub fn count(&self, outcome: &'static str) {
        self.decisions.get_or_create(&AdmissionLabel { outcome }).inc();
    }

    fn register(&self, registry: &mut Registry) {
        let decisions = self.decisions.clone();
        registry.register("admissions", "Decisions on admissions", decisions);
        let waiting = self.waiting.clone();
        registry.register("admissions_waiting", "Requests that wait for one", waiting);
        let admitted = self.admitted.clone();
        let help = "Requests admitted and not ended";
        registry.register("admissions_admitted", help, admitted);
        let outstanding = self.outstanding_tokens.clone();
        let help = "Prompt tokens admitted and not prefilled";
        registry.register("outstanding_prefill_tokens", help, outstanding);
        let pace = self.prefill_token_ns.clone();
        registry.register("prefill_token_ns", "Time to prefill a token, in ns", pace);
    }
}

/// All metrics of a sidecar.
#[derive(Debug)]
pub struct SidecarMetrics {
    registry: Mutex<Registry>,
    /// What entries make the process hold.
    pub clients: ClientMetrics,
    /// Orders to load weights, by outcome.
    pub orders: Family<OrderLabel, Counter>,
    /// Weight loads that were planned or rescheduled.
    pub plans: Counter,
    /// The duration of weight loads.
    pub load_seconds: Histogram,
    /// Polls that the engine did not answer.
    pub unanswered: Counter,
    /// Whether the engine responds, 0 or 1.
    pub engine_up: Gauge,
    /// Whether the engine responds while its runs make no progress, 0 or 1.
    pub engine_stalled: Gauge,
    /// How often the engine's runs ceased to make progress.
    pub stalls: Counter,
    /// Those after which the engine went on without a restart: it was slow, not hung.
    pub ended_stalls: Counter,
    /// Requests running at the engine.
    pub running: Gauge,
    /// Requests queued at the engine.
    pub queued: Gauge,
    /// The engine's memory that cannot be freed at present, in tokens.
    pub used_tokens: Gauge,
    /// Admissions of requests to the engine.
    pub admissions: AdmissionMetrics,
    /// The engine's time to prefill a prompt token, in nanoseconds; 0 while unknown.
    pub engine_prefill_token_ns: Gauge,
    /// The engine's time between two events of a run, in microseconds; 0 while unknown.
    pub event_us: Gauge,
    /// Streams whose origins are recorded here.
    pub stream_origins: Gauge,
    /// Objects of the platform's store that could not be interpreted.
    pub unreadable: UnreadableObjects,
    /// Changes of the platform store's era, which follow a restore from an older copy.
    pub era_changes: EraChanges,
}

impl SidecarMetrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("bilberry")),
            clients: ClientMetrics::default(),
            orders: Family::default(),
            plans: Counter::default(),
            load_seconds: Histogram::new(LOAD_BUCKETS_S),
            unanswered: Counter::default(),
            engine_up: Gauge::default(),
            engine_stalled: Gauge::default(),
            stalls: Counter::default(),
            ended_stalls: Counter::default(),
            running: Gauge::default(),
            queued: Gauge::default(),
            used_tokens: Gauge::default(),
            admissions: AdmissionMetrics::default(),
            engine_prefill_token_ns: Gauge::default(),
            event_us: Gauge::default(),
            stream_origins: Gauge::default(),
            unreadable: UnreadableObjects::default(),
            era_changes: EraChanges::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock().unwrap();
        registry.register("orders", "Orders to load weights", self.orders.clone());
        let plans = self.plans.clone();
        registry.register("load_plans", "Loads planned or planned anew", plans);
        let loads = self.load_seconds.clone();
        registry.register("load_seconds", "How long loads took", loads);
        let unanswered = self.unanswered.clone();
        registry.register("unanswered", "Questions left unanswered", unanswered);
        let up = self.engine_up.clone();
        registry.register("engine_up", "Whether the engine answers", up);
        let stalled = self.engine_stalled.clone();
        let help = "Whether the engine's runs make no progress";
        registry.register("engine_stalled", help, stalled);
        let stalls = self.stalls.clone();
        registry.register("stalls", "Stalls of the engine's runs", stalls);
        let ended = self.ended_stalls.clone();
        let help = "Stalls after which the engine went on without a restart";
        registry.register("ended_stalls", help, ended);
        registry.register("running", "Requests that run", self.running.clone());
        registry.register("queued", "Requests that wait", self.queued.clone());
        let used = self.used_tokens.clone();
        registry.register("used_tokens", "Tokens of memory in use", used);
        self.admissions.register(&mut registry);
        let prefill = self.engine_prefill_token_ns.clone();
        let help = "Time to prefill a prompt token, 0 while unknown";
        registry.register("engine_prefill_token_ns", help, prefill);
        let help = "Time between two events of a run, 0 while unknown";
        registry.register("event_us", help, self.event_us.clone());
        let help = "Streams whose software version is recorded here";
        registry.register("stream_origins", help, self.stream_origins.clone());
        self.unreadable.register(&mut registry);
        self.era_changes.register(&mut registry);
        self.clients.register(&mut registry);
    }

    /// Counts an order by its outcome.
    pub fn count_order(&self, outcome: &'static str) {
        self.orders.get_or_create(&OrderLabel { outcome }).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        render_metrics(&self.registry)
    }
}

impl Default for SidecarMetrics {
    fn default() -> Self {
        Self::new()
    }
}
