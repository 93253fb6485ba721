//! Polling an engine and ordering it to load the newest weights.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Incarnation;
use bilberry_core::IncarnationOrder;
use bilberry_core::LoadOutlook;
use bilberry_core::LoadPermission;
use bilberry_core::PaceMeter;
use bilberry_core::Rollout;
use bilberry_core::UnixMs;
use bilberry_core::may_start_load;
use bilberry_core::sidecar_fencing_token;
use bilberry_wire::EnginePace;
use bilberry_wire::ModelVersion;
use bilberry_wire::UpstreamState;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::CacheView;
use crate::Engine;
use crate::EngineReport;
use crate::LatestWeights;
use crate::LoadOrder;
use crate::OrderGate;
use crate::OrderReply;
use crate::PartSharing;
use crate::RunInterest;
use crate::RunTracker;
use crate::SidecarMetrics;
use crate::SwapMode;
use crate::next_load::NextLoad;

/// The interval between polls of the engine.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// The timeout of polls and orders.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(250);

/// The number of consecutive failed polls after which the engine counts as down.
const FAILED_POLLS_UNTIL_DOWN: u32 = 2;

/// The delay after an order that the engine accepted or that had no effect.
const ORDER_DELAY_MS: u64 = 150;

/// The delay after an order that was rejected or got no reply.
///
/// An order without a reply may have been accepted, or may be executed seconds later. A
/// retry does not have to wait for that: both orders carry the same expected order count,
/// so the engine executes only one of them. If it restarts, which resets the count, it
/// refuses an order that is addressed to its earlier identity.
const ORDER_RETRY_DELAY_MS: u64 = 100;

/// Polls one engine, publishes its state and orders it to load weights.
#[derive(Debug)]
pub struct EngineController<E, C> {
    engine: E,
    clock: C,
    holder: String,
    outdated_weights_max_ms: Option<u64>,
    newest: Arc<LatestWeights>,
    cache: Arc<CacheView>,
    order_gate: Arc<OrderGate>,
    run_interest: RunInterest,
    runs: Arc<RunTracker>,
    sharing: Arc<PartSharing<C>>,
    state: watch::Sender<EngineState>,
    /// Counters and gauges.
    pub metrics: SidecarMetrics,
}

/// The engine state that an engine controller publishes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineState {
    /// The state that is sent to entries.
    pub upstream: UpstreamState,
    /// When the engine starts to load weights, if a load is planned.
    pub loads_at: Option<UnixMs>,
}

/// State kept between polls.
#[derive(Debug)]
struct PollState {
    /// The incarnation that the other fields refer to, if known.
    incarnation: Option<Incarnation>,
    rollout: Rollout,
    failed_polls: u32,
    /// The accepted order whose load has not completed yet.
    accepted_order: Option<AcceptedOrder>,
    /// The most recently logged plan.
    plan: Option<LoadPlan>,
    next_order_at: UnixMs,
    /// When the engine's parts were released for the next load.
    released_at: Option<UnixMs>,
    /// Whether the stall of the engine has been logged.
    is_stalled: bool,
    pace: PaceMeter,
}

impl PollState {
    fn new(outdated_weights_max_ms: Option<u64>) -> Self {
        Self {
            incarnation: None,
            rollout: Rollout::new(outdated_weights_max_ms),
            failed_polls: 0,
            accepted_order: None,
            plan: None,
            next_order_at: UnixMs(0),
            released_at: None,
            is_stalled: false,
            pace: PaceMeter::default(),
        }
    }
}

/// The version and start of a planned load.
#[derive(Debug, PartialEq, Eq)]
struct LoadPlan {
    version: u64,
    starts_at: UnixMs,
}

/// An order that the engine accepted.
#[derive(Debug)]
struct AcceptedOrder {
    version: u64,
    sent_at: UnixMs,
}

impl<E: Engine, C: Clock> EngineController<E, C> {
    /// Creates an engine controller.
    ///
    /// `holder` identifies this host in orders. `outdated_weights_max_ms` is the time
    /// after which no request may start on older weights.
    pub fn new(
        engine: E,
        clock: C,
        holder: String,
        outdated_weights_max_ms: Option<u64>,
        newest: Arc<LatestWeights>,
        cache: Arc<CacheView>,
    ) -> Self {
        let sharing = PartSharing::new(clock.clone(), outdated_weights_max_ms);
        Self {
            engine,
            sharing: Arc::new(sharing),
            clock,
            holder,
            outdated_weights_max_ms,
            newest,
            cache,
            order_gate: Arc::default(),
            run_interest: RunInterest::default(),
            runs: Arc::default(),
            state: watch::Sender::default(),
            metrics: SidecarMetrics::new(),
        }
    }

    /// Sends no order before `order_gate` allows it.
    pub fn with_order_gate(self, order_gate: Arc<OrderGate>) -> Self {
        Self { order_gate, ..self }
    }

    /// Queries the engine's runs only while an entry uses them.
    pub fn with_run_interest(self, run_interest: RunInterest) -> Self {
        Self { run_interest, ..self }
    }

    /// Records the engine's runs in `runs`, which answers the queries of entries.
    pub fn with_run_tracker(self, runs: Arc<RunTracker>) -> Self {
        Self { runs, ..self }
    }

    /// Returns the sharing of the engine's prompt parts.
    pub fn sharing(&self) -> Arc<PartSharing<C>> {
        self.sharing.clone()
    }

    /// Subscribes to the engine's state.
    pub fn state(&self) -> watch::Receiver<EngineState> {
        self.state.subscribe()
    }

    /// Polls the engine indefinitely.
    pub async fn run(self: Arc<Self>) {
        let mut state = PollState::new(self.outdated_weights_max_ms);
        loop {
            match self.poll().await {
                Some(report) if self.admit_report(&report, &mut state) => {
                    self.record_response(&mut state);
                    self.process_report(&report, &mut state).await;
                }
                _ => self.record_failed_poll(&mut state),
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn poll(&self) -> Option<EngineReport> {
        let report = self.engine.report(self.run_interest.detail());
        match timeout(ENGINE_TIMEOUT, report).await {
            Ok(Ok(report)) => Some(report),
            Ok(Err(error)) => {
                log::debug!(target: "bilberry_steward::steward", "{error}");
                None
            }
            Err(_) => None,
        }
    }

    /// Returns whether a report is from the current or a new incarnation of the engine.
    ///
    /// A new incarnation resets the state. With the weights, orders and delays of the
    /// previous one, entries would send requests that the engine refuses, and orders would
    /// wait for a load that is never executed.
    fn admit_report(&self, report: &EngineReport, state: &mut PollState) -> bool {
        let relation = Incarnation::compare(state.incarnation, report.incarnation);
        if relation == IncarnationOrder::Newer {
            log::info!(target: "engine", running = report.running, orders = report.orders; "started again");
            *state = PollState::new(self.outdated_weights_max_ms);
            self.runs.reset();
        }
        if relation != IncarnationOrder::Older {
            state.incarnation = report.incarnation.or(state.incarnation);
        }
        relation != IncarnationOrder::Older
    }

    fn record_response(&self, state: &mut PollState) {
        if state.failed_polls >= FAILED_POLLS_UNTIL_DOWN {
            log::info!(target: "engine", questions = state.failed_polls; "answers again");
        }
        state.failed_polls = 0;
    }

    fn record_failed_poll(&self, state: &mut PollState) {
        state.failed_polls += 1;
        self.metrics.unanswered.inc();
        if state.failed_polls == FAILED_POLLS_UNTIL_DOWN {
            log::warn!(target: "engine", questions = state.failed_polls; "is down");
            state.accepted_order = None;
            // If engines do not report their incarnation, entries detect a restart from
            // the epoch once the engine responds again.
            self.cache.clear_epoch();
            self.metrics.engine_up.set(0);
            state.pace.interrupt();
            self.publish(|published| {
                published.upstream.up = false;
                published.upstream.stalled = false;
                published.upstream.pace = None;
            });
        }
    }

    /// Publishes the state in a report, and sends an order if a load is due.
    async fn process_report(&self, report: &EngineReport, state: &mut PollState) {
        let now = self.clock.now();
        let pace = self.measure_pace(report, state, now);
        let next_load = self.next_load(report, state);
        let outlook = self.load_outlook(report, next_load.as_ref());
        let sharing = self.sharing.update(outlook, &report.models);
        let planned_start = next_load.as_ref().map(|load| load.starts_at);
        let next_load = self.await_release(next_load, state, now);
        self.record_plan(report, next_load.as_ref(), state, now);
        let loading =
            report.busy || next_load.as_ref().is_some_and(|load| load.is_imminent(now));
        let stalled = self.runs.record(report, now);
        self.record_stall(report, stalled, state);
        self.metrics.engine_up.set(1);
        self.metrics.running.set(report.running as i64);
        self.metrics.queued.set(report.queued as i64);
        self.metrics.used_tokens.set(report.used_tokens as i64);
        self.publish(|published| {
            published.loads_at = planned_start;
            let upstream = &mut published.upstream;
            upstream.up = true;
            upstream.cache_epoch = self.cache.epoch();
            upstream.started_at_ms =
                state.incarnation.map(|current| current.started_at.0);
            upstream.leaving = report.is_leaving;
            upstream.loading = loading;
            upstream.models = report.models.clone();
            upstream.running = report.running;
            upstream.queued = report.queued;
            upstream.used_tokens = report.used_tokens;
            upstream.total_tokens = report.total_tokens;
            upstream.stalled = stalled;
            upstream.pace = pace;
            upstream.sharing = Some(sharing.into());
        });
        if let Some(incarnation) = state.incarnation {
            self.cache.observe_incarnation(incarnation);
        }
        self.record_completed_load(report, state, now);
        let queued = report.queued;
        let is_due = |load: &NextLoad| {
            load.starts_at <= now && may_start_load(load.drains_from, queued, now)
        };
        if let Some(load) = next_load.filter(|load| !report.busy && is_due(load)) {
            self.send_order(report, &load, state).await;
        }
    }

    /// Logs and counts the start and the end of a stall.
    fn record_stall(&self, report: &EngineReport, stalled: bool, state: &mut PollState) {
        self.metrics.engine_stalled.set(i64::from(stalled));
        if std::mem::replace(&mut state.is_stalled, stalled) == stalled {
            return;
        }
        let (running, queued) = (report.running, report.queued);
        let loading = report.busy;
        match stalled {
            true => {
                self.metrics.stalls.inc();
                log::warn!(target: "engine", running, queued; "runs make no progress");
            }
            false => {
                self.metrics.ended_stalls.inc();
                log::info!(target: "engine", running, queued, loading; "runs make progress again");
            }
        }
    }

    /// Measures the engine's pace from its runs, if they are reported.
    fn measure_pace(
        &self,
        report: &EngineReport,
        state: &mut PollState,
        now: UnixMs,
    ) -> Option<EnginePace> {
        match &report.runs {
            Some(runs) => state.pace.record(state.incarnation, runs, report.busy, now),
            None => state.pace.interrupt(),
        }
        let pace = state.pace.pace(now).map(EnginePace::from);
        let EnginePace { prefill_token_ns, output_token_us } = pace.unwrap_or_default();
        self.metrics.engine_prefill_token_ns.set(prefill_token_ns as i64);
        self.metrics.event_us.set(output_token_us as i64);
        pace
    }

    /// Returns the load that brings outdated weights of the engine up to date.
    ///
    /// The load is scheduled from the first version that the engine missed, and loads the
    /// newest version by then. If each new version restarted the schedule, an engine late
    /// in the rollout order would never load while versions are announced faster than a
    /// rollout takes.
    fn next_load(&self, report: &EngineReport, state: &PollState) -> Option<NextLoad> {
        let load_for = |served: &ModelVersion| {
            let (version, since) =
                self.newest.missing_version(&served.model, served.version)?;
            let weights = ModelVersion { model: served.model.clone(), version };
            let planned_at = state.rollout.starts_at(since, self.newest.rollout_place());
            let starts_at = planned_at.max(state.next_order_at);
            let starts_at = starts_at.max(self.order_gate.allowed_at());
            Some(NextLoad {
                weights,
                planned_at,
                drains_from: planned_at,
                starts_at,
                outdated_since: since,
                mode: SwapMode::Finish,
            })
        };
        report.models.iter().find_map(load_for)
    }

    /// Returns what is known of the engine's next load.
    fn load_outlook(
        &self,
        report: &EngineReport,
        next_load: Option<&NextLoad>,
    ) -> LoadOutlook {
        let now = self.clock.now();
        let is_known = |served: &ModelVersion| self.newest.knows(&served.model);
        match next_load {
            _ if report.busy || !report.models.iter().all(is_known) => {
                LoadOutlook::Imminent
            }
            Some(load) if load.ends_sharing(now) => LoadOutlook::Imminent,
            Some(_) => LoadOutlook::Planned,
            None if !self.newest.is_listed() => LoadOutlook::Unconfirmed,
            None => LoadOutlook::Current,
        }
    }

    /// Delays a load until its engine's parts are released, and sets how it may begin.
    fn await_release(
        &self,
        load: Option<NextLoad>,
        state: &mut PollState,
        now: UnixMs,
    ) -> Option<NextLoad> {
        let permission = load.as_ref().map(|load| match load.ends_sharing(now) {
            true => self.sharing.permission(),
            false => LoadPermission::Wait,
        });
        let mode = match permission {
            Some(LoadPermission::Retain) => SwapMode::Continue,
            Some(LoadPermission::Finish) => SwapMode::Finish,
            Some(LoadPermission::Wait) | None => {
                state.released_at = None;
                return load.map(|load| load.postponed(now));
            }
        };
        let released_at = *state.released_at.get_or_insert(now);
        load.map(|load| load.released(released_at, mode))
    }

    /// Logs and counts a load that was planned or rescheduled.
    fn record_plan(
        &self,
        report: &EngineReport,
        next_load: Option<&NextLoad>,
        state: &mut PollState,
        now: UnixMs,
    ) {
        let plan = next_load.map(|load| LoadPlan {
            version: load.weights.version,
            starts_at: load.planned_at,
        });
        if plan == state.plan {
            return;
        }
        if let Some(plan) = &plan {
            let place = self.newest.rollout_place();
            self.metrics.plans.inc();
            log::info!(
                target: "weights",
                version = plan.version,
                has = report.models.iter().map(|m| m.version).max().unwrap_or_default(),
                in_ms = plan.starts_at.ms_since(now),
                position = place.position as u64,
                servers = place.servers as u64,
                down = place.down as u64;
                "load planned"
            );
        }
        state.plan = plan;
    }

    fn record_completed_load(
        &self,
        report: &EngineReport,
        state: &mut PollState,
        now: UnixMs,
    ) {
        let serves = |version: u64| report.models.iter().any(|m| m.version >= version);
        let is_completed = |order: &&AcceptedOrder| !report.busy && serves(order.version);
        if let Some(order) = state.accepted_order.as_ref().filter(is_completed) {
            let load_ms = now.ms_since(order.sent_at);
            log::info!(target: "weights", version = order.version, load_ms; "loaded");
            self.metrics.load_seconds.observe(load_ms as f64 / 1_000.0);
            state.rollout.record_load(load_ms);
            state.accepted_order = None;
        }
    }

    async fn send_order(
        &self,
        report: &EngineReport,
        load: &NextLoad,
        state: &mut PollState,
    ) {
        let now = self.clock.now();
        let order = LoadOrder {
            weights: load.weights.clone(),
            mode: load.mode,
            holder: self.holder.clone(),
            // Versions only increase, also across restarts of this process, which
            // persists no state. The fencing token therefore never decreases.
            fencing_number: sidecar_fencing_token(load.weights.version),
            expected_orders: report.orders,
            incarnation: state.incarnation,
            addressee: self.newest.engine_identity(),
        };
        if load.mode == SwapMode::Continue {
            self.sharing.record_retaining_order(&load.weights);
        }
        let reply = timeout(ENGINE_TIMEOUT, self.engine.load(&order)).await;
        let (outcome, delay_ms) = match &reply {
            Ok(Ok(OrderReply::Accepted)) => ("accepted", ORDER_DELAY_MS),
            Ok(Ok(OrderReply::AlreadyApplied)) => ("holds", ORDER_DELAY_MS),
            Ok(Ok(OrderReply::Conflict)) => ("conflict", ORDER_DELAY_MS),
            Ok(Ok(OrderReply::OtherIncarnation)) => {
                ("other_incarnation", ORDER_RETRY_DELAY_MS)
            }
            // The next order is addressed to another identity, or to none.
            Ok(Ok(OrderReply::Misdirected(_))) => ("misdirected", 0),
            Ok(Ok(OrderReply::Rejected(_))) => ("rejected", ORDER_RETRY_DELAY_MS),
            Ok(Err(_)) | Err(_) => ("no_answer", ORDER_RETRY_DELAY_MS),
        };
        self.metrics.count_order(outcome);
        if let (Ok(Ok(OrderReply::Misdirected(actual))), Some(refused)) =
            (&reply, &order.addressee)
        {
            self.newest.record_refused_identity(refused, actual.as_deref());
        }
        let unreleased = self.sharing.unreleased();
        log::info!(
            target: "weights",
            model = load.weights.model.as_str(),
            version = load.weights.version,
            addressee = order.addressee.as_deref().unwrap_or_default(),
            expected = report.orders,
            running = report.running,
            queued = report.queued,
            retains = load.mode == SwapMode::Continue,
            unreleased = unreleased.connected,
            unidentified = unreleased.unidentified,
            departed = unreleased.departed,
            lacking_ms = now.ms_since(load.outdated_since);
            "order {outcome}"
        );
        state.next_order_at = now.plus_ms(delay_ms);
        if matches!(reply, Ok(Ok(OrderReply::Accepted))) {
            let version = load.weights.version;
            state.accepted_order = Some(AcceptedOrder { version, sent_at: now });
            self.publish(|published| published.upstream.loading = true);
        }
    }

    fn publish(&self, change: impl FnOnce(&mut EngineState)) {
        self.state.send_if_modified(|state| {
            let mut before = state.clone();
            change(state);
            // The pace changes with each report; entries get it with the next message.
            before.upstream.pace = state.upstream.pace;
            *state != before
        });
    }
}
