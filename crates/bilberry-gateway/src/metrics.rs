//! Metrics of an entry that forwards requests.

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

/// The upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS_S: [f64; 10] =
    [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.4, 1.0, 2.5, 5.0];

/// The label of a counter of outcomes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// The outcome.
    pub outcome: &'static str,
}

/// The labels of the gauge of servers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServerLabels {
    /// The service.
    pub pool: String,
    /// The version of the software; empty if unknown.
    pub software: String,
}

/// All metrics of an entry.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Mutex<Registry>,
    /// Requests by outcome.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Sends to upstreams by outcome.
    pub sends: Family<OutcomeLabel, Counter>,
    /// Units charged to customers' quotas, by decision.
    pub quota_units: Family<OutcomeLabel, Counter>,
    /// Requests charged to the limits of upstreams, by decision.
    pub permits: Family<OutcomeLabel, Counter>,
    /// Streams that callers took up, by how their software version was found.
    pub takeups: Family<OutcomeLabel, Counter>,
    /// Requests for admission to engines, by outcome.
    pub admissions: Family<OutcomeLabel, Counter>,
    /// Time that requests were queued by the sidecars of engines.
    pub admission_wait_seconds: Histogram,
    /// Queries about the progress of silent runs, by outcome.
    pub run_queries: Family<OutcomeLabel, Counter>,
    /// Runs given up while their upstreams were connected, by what became of the answer.
    pub left_runs: Family<OutcomeLabel, Counter>,
    /// Callers that left without their whole answers, by what is known of the host of their
    /// run.
    pub left_callers: Family<OutcomeLabel, Counter>,
    /// Retries of the budget that all entries share, by what became of them.
    pub retries: Family<OutcomeLabel, Counter>,
    /// Runs that were in progress at an upstream when it crashed.
    pub crashed_runs: Counter,
    /// Those of them that had not sent their first event.
    pub crashed_before_first_event: Counter,
    /// New connections closed unread because the process has too little processor time.
    pub closed_connections: Counter,
    /// Trial runs of requests whose prompts have suspected parts.
    pub trials: Counter,
    /// Prompt parts put in quarantine because they crash servers.
    pub part_quarantines: Counter,
    /// Requests put in quarantine because they crash servers.
    pub quarantines: Counter,
    /// Time to the first byte of an answer.
    pub first_byte_seconds: Histogram,
    /// Time that requests waited for an upstream with free capacity.
    pub wait_seconds: Histogram,
    /// Streams that were resumed at another upstream.
    pub resumed: Counter,
    /// Requests placed on weights older than the newest known version.
    pub placed_on_older_weights: Counter,
    /// Requests that were predicted to miss a target wherever they were placed.
    pub predicted_late: Counter,
    /// Servers that are not leaving, by service and software version.
    pub servers: Family<ServerLabels, Gauge>,
    /// Upstreams that are no longer listed but still in use.
    pub kept_upstreams: Gauge,
    /// The version of the configuration in force.
    pub config_version: Gauge,
    /// The customers that it isolates.
    pub isolated_customers: Gauge,
    /// Configurations that isolated a customer, after which the prompts that the others
    /// share are read anew.
    pub isolations: Counter,
    /// Watch requests for changes of the platform's store, by recipient and outcome.
    pub watches: Family<OutcomeLabel, Counter>,
    /// Engines on hosts where no connection to a sidecar has ever succeeded.
    pub engines_without_sidecar: Gauge,
    /// Whether this entry orders the weights of those engines, 0 or 1.
    pub holds_orders: Gauge,
    /// Orders to those engines, by outcome.
    pub orders: Family<OutcomeLabel, Counter>,
    /// Objects of the platform's store that could not be decoded.
    pub unreadable: UnreadableObjects,
    /// Restores of the platform's store from an older copy.
    pub era_changes: EraChanges,
    /// Log lines that were dropped.
    pub dropped_lines: Counter,
    /// What callers make the process hold.
    pub clients: ClientMetrics,
}

impl GatewayMetrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let histogram = || Histogram::new(LATENCY_BOUNDS_S);
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("bilberry")),
            requests: Family::default(),
            sends: Family::default(),
            quota_units: Family::default(),
            permits: Family::default(),
            takeups: Family::default(),
            admissions: Family::default(),
            admission_wait_seconds: histogram(),
            run_queries: Family::default(),
            left_runs: Family::default(),
            left_callers: Family::default(),
            retries: Family::default(),
            crashed_runs: Counter::default(),
            closed_connections: Counter::default(),
            trials: Counter::default(),
            part_quarantines: Counter::default(),
            crashed_before_first_event: Counter::default(),
            quarantines: Counter::default(),
            first_byte_seconds: histogram(),
            wait_seconds: histogram(),
            resumed: Counter::default(),
            placed_on_older_weights: Counter::default(),
            predicted_late: Counter::default(),
            servers: Family::default(),
            kept_upstreams: Gauge::default(),
            config_version: Gauge::default(),
            isolated_customers: Gauge::default(),
            isolations: Counter::default(),
            watches: Family::default(),
            engines_without_sidecar: Gauge::default(),
            holds_orders: Gauge::default(),
            orders: Family::default(),
            unreadable: UnreadableObjects::default(),
            era_changes: EraChanges::default(),
            dropped_lines: Counter::default(),
            clients: ClientMetrics::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock().unwrap();
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register("sends", "Sends to upstreams", self.sends.clone());
        let help = "Queries about the progress of silent runs";
        registry.register("run_queries", help, self.run_queries.clone());
        let help = "Runs given up while connected by what became of the answer";
        registry.register("left_runs", help, self.left_runs.clone());
        let help = "Callers that left by what is known of the host of their run";
        registry.register("left_callers", help, self.left_callers.clone());
        let help = "Retries of the shared budget by what became of them";
        registry.register("retries", help, self.retries.clone());
        let help = "Runs in progress at an upstream when it crashed";
        registry.register("crashed_runs", help, self.crashed_runs.clone());
        let help = "New connections closed unread in an overload";
        registry.register("closed_connections", help, self.closed_connections.clone());
        let help = "Trial runs of requests with suspected prompt parts";
        registry.register("trials", help, self.trials.clone());
        let help = "Prompt parts put in quarantine";
        registry.register("part_quarantines", help, self.part_quarantines.clone());
        let help = "Runs without an event at an upstream when it crashed";
        let counter = self.crashed_before_first_event.clone();
        registry.register("crashed_before_first_event", help, counter);
        let help = "Units of customer quotas by decision";
        registry.register("quota_units", help, self.quota_units.clone());
        let help = "Requests charged to the limits of upstreams by decision";
        registry.register("permits", help, self.permits.clone());
        let help = "Streams that callers took up by how their version was found";
        registry.register("takeups", help, self.takeups.clone());
        let help = "Requests for admission to engines by outcome";
        registry.register("admissions", help, self.admissions.clone());
        let wait = self.admission_wait_seconds.clone();
        let help = "Time queued by the sidecars of engines";
        registry.register("admission_wait_seconds", help, wait);
        let help = "Requests put in quarantine";
        registry.register("quarantines", help, self.quarantines.clone());
        let first = self.first_byte_seconds.clone();
        registry.register("first_byte_seconds", "Time until the first byte", first);
        let wait = self.wait_seconds.clone();
        registry.register("wait_seconds", "Time waited for room", wait);
        registry.register("resumed", "Streams continued", self.resumed.clone());
        let older = self.placed_on_older_weights.clone();
        let help = "Requests placed on older weights";
        registry.register("placed_on_older_weights", help, older);
        let late = self.predicted_late.clone();
        let help = "Requests predicted to miss a target when they were placed";
        registry.register("predicted_late", help, late);
        let help = "Servers that are not leaving by software version";
        registry.register("servers", help, self.servers.clone());
        let kept = self.kept_upstreams.clone();
        let help = "Upstreams in use that the list no longer names";
        registry.register("kept_upstreams", help, kept);
        let version = self.config_version.clone();
        registry.register("config_version", "Configuration in force", version);
        let isolated = self.isolated_customers.clone();
        registry.register("isolated_customers", "Customers isolated by it", isolated);
        let help = "Configurations that isolated a customer";
        registry.register("isolations", help, self.isolations.clone());
        let help = "Questions for changes of the store";
        registry.register("watches", help, self.watches.clone());
        let without = self.engines_without_sidecar.clone();
        let help = "Engines at whose host no sidecar was heard";
        registry.register("engines_without_sidecar", help, without);
        let holds = self.holds_orders.clone();
        let help = "Whether this entry orders the weights of those engines";
        registry.register("holds_orders", help, holds);
        registry.register("orders", "Orders to load weights", self.orders.clone());
        self.unreadable.register(&mut registry);
        self.era_changes.register(&mut registry);
        let dropped = self.dropped_lines.clone();
        registry.register("dropped_lines", "Log lines dropped", dropped);
        self.clients.register(&mut registry);
    }

    /// Counts the outcome of a request.
    pub fn count_request(&self, outcome: &'static str) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts the outcome of a send to an upstream.
    pub fn count_send(&self, outcome: &'static str) {
        self.sends.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a query about the progress of a silent run.
    pub(crate) fn count_run_query(&self, outcome: &'static str) {
        self.run_queries.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a run that was given up while its upstream was connected.
    pub(crate) fn count_left_run(&self, outcome: &'static str) {
        self.left_runs.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a caller that left without its whole answer, by what is known of the host of its
    /// run.
    pub(crate) fn count_left_caller(&self, host: &'static str) {
        self.left_callers.get_or_create(&OutcomeLabel { outcome: host }).inc();
    }

    /// Counts units by the decision on their charge.
    pub fn count_quota(&self, outcome: &'static str, units: f64) {
        self.quota_units.get_or_create(&OutcomeLabel { outcome }).inc_by(units as u64);
    }

    /// Counts the decision on a request to an upstream with a limit.
    pub fn count_permit(&self, outcome: &'static str) {
        self.permits.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a stream that a caller took up.
    pub(crate) fn count_takeup(&self, outcome: &'static str) {
        self.takeups.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts the outcome of a request for admission to an engine.
    pub fn count_admission(&self, outcome: &'static str) {
        self.admissions.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts the outcome of an order to an engine without a sidecar.
    pub fn count_order(&self, outcome: &'static str) {
        self.orders.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a watch request for changes of the store.
    pub fn count_watch(&self, outcome: &'static str) {
        self.watches.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        render_metrics(&self.registry)
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}
