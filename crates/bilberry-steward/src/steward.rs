//! Following one engine and bringing it to the newest weights.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Incarnation;
use bilberry_core::Rollout;
use bilberry_core::Told;
use bilberry_core::UnixMs;
use bilberry_core::may_begin_load;
use bilberry_core::sidecar_fence;
use bilberry_wire::ModelVersion;
use bilberry_wire::UpstreamState;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::CacheView;
use crate::Engine;
use crate::EngineReport;
use crate::FirstOrder;
use crate::LoadOrder;
use crate::Newest;
use crate::OrderReply;
use crate::StewardMetrics;
use crate::SwapMode;

/// How often the engine is asked how it fares.
const ASK_EVERY: Duration = Duration::from_millis(40);

/// How long an answer of the engine is waited for.
const ASK: Duration = Duration::from_millis(250);

/// How many questions in a row go unanswered before the engine counts as down.
const SILENT_QUESTIONS: u32 = 2;

/// For how long before a load the engine gets no new work.
///
/// Short answers end in this time; what still runs goes on with new weights and
/// loses the worth of what it generates after that.
const DRAIN_MS: u64 = 250;

/// How long to wait after an order that failed.
const ORDER_PAUSE_MS: u64 = 150;

/// How long to wait after an order without an answer.
///
/// It may have been accepted, or be carried out seconds later. The same order may
/// follow at once all the same: both name the count of orders that they expect,
/// so the engine carries out one of them.
const ORDER_DOUBT_MS: u64 = 100;

/// One engine, followed by its sidecar.
#[derive(Debug)]
pub struct Steward<E, C> {
    engine: E,
    clock: C,
    holder: String,
    weights_bound_ms: Option<u64>,
    newest: Arc<Newest>,
    cache: Arc<CacheView>,
    first_order: Arc<FirstOrder>,
    state: watch::Sender<EngineState>,
    /// Counters and gauges.
    pub metrics: StewardMetrics,
}

/// What a steward tells of its engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineState {
    /// How the engine fares.
    pub upstream: UpstreamState,
    /// When it begins to load weights, if that is planned.
    pub loads_at: Option<UnixMs>,
}

/// What a steward remembers from one look to the next.
#[derive(Debug)]
struct Progress {
    /// The incarnation that all of this is about, if it is known.
    incarnation: Option<Incarnation>,
    rollout: Rollout,
    unanswered: u32,
    ordered: Option<Ordered>,
    planned: Option<Planned>,
    not_before: UnixMs,
}

impl Progress {
    fn new(weights_bound_ms: Option<u64>) -> Self {
        Self {
            incarnation: None,
            rollout: Rollout::new(weights_bound_ms),
            unanswered: 0,
            ordered: None,
            planned: None,
            not_before: UnixMs(0),
        }
    }
}

/// A load that was planned.
#[derive(Debug, PartialEq, Eq)]
struct Planned {
    version: u64,
    starts_at: UnixMs,
}

/// An order that was given.
#[derive(Debug)]
struct Ordered {
    version: u64,
    at: UnixMs,
}

impl<E: Engine, C: Clock> Steward<E, C> {
    /// Creates a steward; `holder` names this host in orders, and nothing may begin on
    /// older weights after `weights_bound_ms`.
    pub fn new(
        engine: E,
        clock: C,
        holder: String,
        weights_bound_ms: Option<u64>,
        newest: Arc<Newest>,
        cache: Arc<CacheView>,
    ) -> Self {
        Self {
            engine,
            clock,
            holder,
            weights_bound_ms,
            newest,
            cache,
            first_order: Arc::default(),
            state: watch::Sender::default(),
            metrics: StewardMetrics::new(),
        }
    }

    /// Gives no order before `first_order` allows it.
    pub fn after(self, first_order: Arc<FirstOrder>) -> Self {
        Self { first_order, ..self }
    }

    /// Returns the engine's state, as it changes.
    pub fn state(&self) -> watch::Receiver<EngineState> {
        self.state.subscribe()
    }

    /// Follows the engine for ever.
    pub async fn run(self: Arc<Self>) {
        let mut progress = Progress::new(self.weights_bound_ms);
        loop {
            match self.ask().await {
                Some(report) if self.is_of_present(&report, &mut progress) => {
                    self.note_answer(&mut progress);
                    self.step(&report, &mut progress).await;
                }
                _ => self.note_silence(&mut progress),
            }
            sleep(ASK_EVERY).await;
        }
    }

    async fn ask(&self) -> Option<EngineReport> {
        match timeout(ASK, self.engine.report()).await {
            Ok(Ok(report)) => Some(report),
            Ok(Err(error)) => {
                log::debug!("{error}");
                None
            }
            Err(_) => None,
        }
    }

    /// Reports whether an answer is not of an incarnation that is over; a later one
    /// has all that was known forgotten.
    ///
    /// Weights, orders and pauses of the earlier start would have entries send what
    /// is refused, and orders wait for a load that nobody carries out.
    fn is_of_present(&self, report: &EngineReport, progress: &mut Progress) -> bool {
        let told = Incarnation::compare(progress.incarnation, report.incarnation);
        if told == Told::Newer {
            log::info!(target: "engine", running = report.running, orders = report.orders; "started again");
            *progress = Progress::new(self.weights_bound_ms);
        }
        if told != Told::Older {
            progress.incarnation = report.incarnation.or(progress.incarnation);
        }
        told != Told::Older
    }

    fn note_answer(&self, progress: &mut Progress) {
        if progress.unanswered >= SILENT_QUESTIONS {
            log::info!(target: "engine", questions = progress.unanswered; "answers again");
        }
        progress.unanswered = 0;
    }

    fn note_silence(&self, progress: &mut Progress) {
        progress.unanswered += 1;
        self.metrics.unanswered.inc();
        if progress.unanswered == SILENT_QUESTIONS {
            log::warn!(target: "engine", questions = progress.unanswered; "is down");
            progress.ordered = None;
            // Where engines don't tell their start, entries learn from the epoch
            // whether the engine they knew is the one that answers next.
            self.cache.forget_epoch();
            self.metrics.engine_up.set(0);
            self.publish(|state| state.upstream.up = false);
        }
    }

    /// Looks at one report: gives an order if one is due, and tells the entries.
    async fn step(&self, report: &EngineReport, progress: &mut Progress) {
        let now = self.clock.now();
        let due = self.due(report, progress);
        self.note_plan(report, due.as_ref(), progress, now);
        let loading = report.busy || due.as_ref().is_some_and(|due| due.is_near(now));
        self.metrics.engine_up.set(1);
        self.metrics.running.set(report.running as i64);
        self.metrics.queued.set(report.queued as i64);
        self.metrics.used_tokens.set(report.used_tokens as i64);
        self.publish(|state| {
            state.loads_at = due.as_ref().map(|due| due.starts_at);
            let state = &mut state.upstream;
            state.up = true;
            state.cache_epoch = self.cache.epoch();
            state.born_ms = progress.incarnation.map(|started| started.born_at.0);
            state.leaving = report.is_leaving;
            state.loading = loading;
            state.models = report.models.clone();
            state.running = report.running;
            state.queued = report.queued;
            state.used_tokens = report.used_tokens;
            state.total_tokens = report.total_tokens;
        });
        if let Some(incarnation) = progress.incarnation {
            self.cache.enter(incarnation);
        }
        self.note_loaded(report, progress, now);
        let waiting = report.queued;
        let begins = |due: &Due| {
            due.starts_at <= now && may_begin_load(due.planned_at, waiting, now)
        };
        if let Some(due) = due.filter(|due| !report.busy && begins(due)) {
            self.order(report, &due, progress).await;
        }
    }

    /// Returns the load that the engine still lacks.
    ///
    /// Its turn counts from the first naming that it missed, and it takes the newest
    /// weights then. With turns that begin anew at each naming, an engine late in the
    /// order has none for as long as weights are named faster than a rollout takes.
    fn due(&self, report: &EngineReport, progress: &Progress) -> Option<Due> {
        let lacking = |has: &ModelVersion| {
            let (version, since) = self.newest.lacking(&has.model, has.version)?;
            let weights = ModelVersion { model: has.model.clone(), version };
            let planned_at = progress.rollout.starts_at(since, self.newest.place());
            let starts_at = planned_at.max(progress.not_before);
            let starts_at = starts_at.max(self.first_order.allowed_at());
            Some(Due { weights, planned_at, starts_at, lacking_since: since })
        };
        report.models.iter().find_map(lacking)
    }

    /// Logs when a load was planned, and when it was planned anew.
    fn note_plan(
        &self,
        report: &EngineReport,
        due: Option<&Due>,
        progress: &mut Progress,
        now: UnixMs,
    ) {
        let planned = due.map(|due| Planned {
            version: due.weights.version,
            starts_at: due.planned_at,
        });
        if planned == progress.planned {
            return;
        }
        if let Some(planned) = &planned {
            let place = self.newest.place();
            self.metrics.plans.inc();
            log::info!(
                target: "weights",
                version = planned.version,
                has = report.models.iter().map(|has| has.version).max().unwrap_or_default(),
                in_ms = planned.starts_at.ms_since(now),
                position = place.position as u64,
                servers = place.servers as u64,
                down = place.down as u64;
                "load planned"
            );
        }
        progress.planned = planned;
    }

    fn note_loaded(&self, report: &EngineReport, progress: &mut Progress, now: UnixMs) {
        let has = |version: u64| report.models.iter().any(|m| m.version >= version);
        let done = progress.ordered.as_ref().filter(|o| !report.busy && has(o.version));
        if let Some(ordered) = done {
            let load_ms = now.ms_since(ordered.at);
            log::info!(target: "weights", version = ordered.version, load_ms; "loaded");
            self.metrics.load_seconds.observe(load_ms as f64 / 1_000.0);
            progress.rollout.measure(load_ms);
            progress.ordered = None;
        }
    }

    async fn order(&self, report: &EngineReport, due: &Due, progress: &mut Progress) {
        let now = self.clock.now();
        let order = LoadOrder {
            weights: due.weights.clone(),
            mode: SwapMode::Continue,
            holder: self.holder.clone(),
            // Versions only grow, also over restarts of this process, which
            // keeps nothing; so the number never falls.
            fencing_number: sidecar_fence(due.weights.version),
            expected_orders: report.orders,
            incarnation: progress.incarnation,
        };
        let reply = timeout(ASK, self.engine.load(&order)).await;
        let (outcome, pause_ms) = match &reply {
            Ok(Ok(OrderReply::Accepted)) => ("accepted", ORDER_PAUSE_MS),
            Ok(Ok(OrderReply::Holds)) => ("holds", ORDER_PAUSE_MS),
            Ok(Ok(OrderReply::Conflict)) => ("conflict", ORDER_PAUSE_MS),
            Ok(Ok(OrderReply::OtherIncarnation)) => ("other_incarnation", ORDER_DOUBT_MS),
            Ok(Ok(OrderReply::Rejected(_))) => ("rejected", ORDER_DOUBT_MS),
            Ok(Err(_)) | Err(_) => ("no_answer", ORDER_DOUBT_MS),
        };
        self.metrics.count_order(outcome);
        log::info!(
            target: "weights",
            model = due.weights.model.as_str(),
            version = due.weights.version,
            expected = report.orders,
            running = report.running,
            queued = report.queued,
            lacking_ms = now.ms_since(due.lacking_since);
            "order {outcome}"
        );
        progress.not_before = now.plus_ms(pause_ms);
        if matches!(reply, Ok(Ok(OrderReply::Accepted))) {
            progress.ordered = Some(Ordered { version: due.weights.version, at: now });
            self.publish(|state| state.upstream.loading = true);
        }
    }

    fn publish(&self, change: impl FnOnce(&mut EngineState)) {
        self.state.send_if_modified(|state| {
            let before = state.clone();
            change(state);
            *state != before
        });
    }
}

/// A load that is to come.
#[derive(Debug)]
struct Due {
    weights: ModelVersion,
    /// When its turn comes.
    planned_at: UnixMs,
    /// The same, unless an order that failed has to be waited for.
    starts_at: UnixMs,
    /// When the first weights were named that the engine lacks.
    lacking_since: UnixMs,
}

impl Due {
    fn is_near(&self, now: UnixMs) -> bool {
        self.starts_at <= now.plus_ms(DRAIN_MS)
    }
}
