//! The admissions of requests to the sidecar's engine, for all entries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use bilberry_core::Admission;
use bilberry_core::AdmissionTerms;
use bilberry_core::CallId;
use bilberry_core::Clock;
use bilberry_core::EngineCapacity;
use bilberry_core::EngineQueue;
use bilberry_core::Name;
use bilberry_core::RequestKey;
use bilberry_core::UnixMs;
use bilberry_wire::AdmissionLoad;
use bilberry_wire::AdmissionOutcome;
use bilberry_wire::AdmissionRequest;
use bilberry_wire::AdmissionResponse;
use bilberry_wire::AdmissionStage;
use bilberry_wire::AdmissionUpdate;
use bilberry_wire::PriorityLoad;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::AdmissionMetrics;
use crate::EngineState;

/// The time without rejections after which their end is logged.
///
/// On-call engineers need one line for a surge, also if some of its seconds are quiet.
const REJECTIONS_END_MS: u64 = 5_000;

/// Decides on the admission of requests to the engine.
#[derive(Debug)]
pub struct AdmissionControl<C> {
    engine: watch::Receiver<EngineState>,
    state: Mutex<State>,
    /// Signalled when the next deadline may have changed.
    deadline_changed: Notify,
    metrics: AdmissionMetrics,
    clock: C,
}

#[derive(Debug, Default)]
struct State {
    queue: EngineQueue,
    connections: BTreeMap<u64, mpsc::UnboundedSender<(u64, AdmissionResponse)>>,
    connections_made: u64,
    engine: EngineCapacity,
    /// Whether the engine is up and doesn't announce its shutdown.
    is_serving: bool,
    started_at_ms: Option<u64>,
    /// The last known epoch of the engine's cache; zero while unknown.
    cache_epoch: u64,
    rejections: Option<Rejections>,
}

/// A sequence of rejections that is logged as one.
#[derive(Debug)]
struct Rejections {
    count: u64,
    last_at: UnixMs,
}

impl<C: Clock> AdmissionControl<C> {
    /// Creates an admission control without requests.
    pub fn new(
        engine: watch::Receiver<EngineState>,
        clock: C,
        metrics: AdmissionMetrics,
    ) -> Self {
        let deadline_changed = Notify::new();
        Self { engine, state: Mutex::default(), deadline_changed, metrics, clock }
    }

    /// Follows the engine's state and makes the decisions that depend on time alone.
    pub async fn run(self: Arc<Self>) {
        let mut engine = self.engine.clone();
        loop {
            engine.mark_unchanged();
            let deadline = self.advance();
            let wait_for_deadline = async {
                match deadline {
                    Some(at) => sleep(at.remaining(self.clock.now())).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                changed = engine.changed() => if changed.is_err() {
                    return;
                },
                _ = wait_for_deadline => {}
                _ = self.deadline_changed.notified() => {}
            }
        }
    }

    /// Returns the prefill work ahead.
    pub fn load(&self) -> AdmissionLoad {
        let work = self.state.lock().unwrap().queue.work_ahead();
        let waiting = work.waiting_tokens.into_iter();
        AdmissionLoad {
            admitted_tokens: work.admitted_tokens,
            waiting: waiting
                .map(|(priority, tokens)| PriorityLoad { priority, tokens })
                .collect(),
        }
    }

    /// Adds the connection of an entry.
    pub(crate) fn connect(self: &Arc<Self>) -> AdmissionConnection<C> {
        let (sender, responses) = mpsc::unbounded_channel();
        let mut state = self.state.lock().unwrap();
        state.connections_made += 1;
        let connection = state.connections_made;
        state.connections.insert(connection, sender);
        AdmissionConnection { control: self.clone(), connection, responses }
    }

    /// Makes the decisions that are due and returns when the next one is.
    fn advance(&self) -> Option<UnixMs> {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap();
        state.record_engine(&self.engine.borrow());
        self.settle(&mut state, now);
        state.end_rejections(now);
        let rejections_end =
            state.rejections.as_ref().map(|r| r.last_at.plus_ms(REJECTIONS_END_MS));
        state.queue.next_deadline(now).into_iter().chain(rejections_end).min()
    }

    fn request(&self, id: CallId, request: &AdmissionRequest) -> AdmissionResponse {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap();
        // An entry may ask before the task that follows the engine has run.
        state.record_engine(&self.engine.borrow());
        let decision = state.request(id, request, now);
        self.record(&mut state, decision, now);
        self.settle(&mut state, now);
        drop(state);
        if let Admission::Queued { .. } = decision {
            self.deadline_changed.notify_one();
        }
        response(decision)
    }

    fn update(&self, id: CallId, update: AdmissionUpdate) {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap();
        match update.stage() {
            AdmissionStage::Ended => state.queue.end(id, now),
            AdmissionStage::Prefilled => state.queue.mark_prefilled(id, now),
        }
        self.settle(&mut state, now);
    }

    fn disconnect(&self, connection: u64) {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap();
        state.connections.remove(&connection);
        state.queue.end_connection(connection, now);
        self.settle(&mut state, now);
    }

    /// Makes the decisions that are due and passes them to their connections.
    fn settle(&self, state: &mut State, now: UnixMs) {
        for (id, decision) in state.queue.next_decisions(now) {
            self.record(state, decision, now);
            if let Some(connection) = state.connections.get(&id.connection) {
                // Fails only if the connection is being closed, which ends the request.
                let _ = connection.send((id.call, response(decision)));
            }
        }
        let outstanding_tokens = state.queue.work_ahead().admitted_tokens;
        let prefill_token_ns = state.queue.us_per_token() * 1_000.0;
        self.metrics.waiting.set(state.queue.waiting_count() as i64);
        self.metrics.admitted.set(state.queue.admitted_count() as i64);
        self.metrics.outstanding_tokens.set(outstanding_tokens as i64);
        self.metrics.prefill_token_ns.set(prefill_token_ns as i64);
    }

    fn record(&self, state: &mut State, decision: Admission, now: UnixMs) {
        match decision {
            Admission::Admitted => self.metrics.count("admitted"),
            Admission::Queued { .. } => self.metrics.count("queued"),
            Admission::Withdrawn => self.metrics.count("withdrawn"),
            Admission::Rejected { retry_after_ms } => {
                self.metrics.count("rejected");
                if state.record_rejection(retry_after_ms, now) {
                    self.deadline_changed.notify_one();
                }
            }
        }
    }
}

impl State {
    fn record_engine(&mut self, reported: &EngineState) {
        let upstream = &reported.upstream;
        if self.is_new_incarnation(upstream.started_at_ms, upstream.cache_epoch) {
            let waiting = self.queue.waiting_count() as u64;
            let admitted = self.queue.admitted_count() as u64;
            log::info!(target: "admission", waiting, admitted; "queue emptied, the engine was started again");
            self.queue.reset();
        }
        self.started_at_ms = upstream.started_at_ms.or(self.started_at_ms);
        self.cache_epoch = match upstream.cache_epoch {
            0 => self.cache_epoch,
            epoch => epoch,
        };
        self.is_serving = upstream.up && !upstream.leaving;
        if !self.is_serving {
            self.queue.withdraw_waiting();
        }
        self.engine = EngineCapacity {
            slots: self.engine.slots,
            total_tokens: upstream.total_tokens,
            used_tokens: upstream.used_tokens,
            running: upstream.running,
        };
        self.queue.record_engine(self.engine);
    }

    /// Returns whether the engine was started again.
    ///
    /// Engines that don't report their start are identified by the epoch of their cache.
    fn is_new_incarnation(&self, started_at_ms: Option<u64>, cache_epoch: u64) -> bool {
        match (self.started_at_ms, started_at_ms) {
            (Some(before), Some(now)) => before != now,
            (None, None) => {
                self.cache_epoch != 0
                    && cache_epoch != 0
                    && self.cache_epoch != cache_epoch
            }
            _ => false,
        }
    }

    fn request(
        &mut self,
        id: CallId,
        request: &AdmissionRequest,
        now: UnixMs,
    ) -> Admission {
        if !self.is_serving {
            return Admission::Withdrawn;
        }
        if request.slots > 0 && request.slots != self.engine.slots {
            self.engine.slots = request.slots;
            self.queue.record_engine(self.engine);
        }
        let terms = AdmissionTerms {
            customer: Name::from(request.customer.as_str()),
            priority: request.priority,
            target_at: now.plus_ms(request.target_in_ms),
            start_by: now.plus_ms(request.max_wait_ms),
            prefill_tokens: request.prefill_tokens,
            memory_tokens: request.memory_tokens,
            key: RequestKey(request.key),
            max_return_ms: request.max_return_ms,
            target_ms: request.target_ms,
            shortest_target_ms: request.shortest_target_ms,
        };
        self.queue.request(id, terms, now)
    }

    /// Records a rejection and returns whether it is the first one of a sequence.
    fn record_rejection(&mut self, retry_after_ms: u64, now: UnixMs) -> bool {
        if let Some(rejections) = &mut self.rejections {
            rejections.count += 1;
            rejections.last_at = now;
            return false;
        }
        log::warn!(
            target: "admission",
            retry_after_ms,
            waiting = self.queue.waiting_count() as u64,
            outstanding_tokens = self.queue.work_ahead().admitted_tokens,
            used_tokens = self.engine.used_tokens,
            total_tokens = self.engine.total_tokens;
            "requests are being rejected"
        );
        self.rejections = Some(Rejections { count: 1, last_at: now });
        true
    }

    fn end_rejections(&mut self, now: UnixMs) {
        let has_ended = |rejections: &mut Rejections| {
            rejections.last_at.plus_ms(REJECTIONS_END_MS).has_passed_at(now)
        };
        if let Some(Rejections { count, .. }) = self.rejections.take_if(has_ended) {
            log::info!(target: "admission", rejected = count; "requests are no longer rejected");
        }
    }
}

fn response(decision: Admission) -> AdmissionResponse {
    let (outcome, wait_ms) = match decision {
        Admission::Admitted => (AdmissionOutcome::Admitted, 0),
        Admission::Queued { wait_ms } => (AdmissionOutcome::Queued, wait_ms),
        Admission::Withdrawn => (AdmissionOutcome::Withdrawn, 0),
        Admission::Rejected { retry_after_ms } => {
            (AdmissionOutcome::Rejected, retry_after_ms)
        }
    };
    AdmissionResponse { outcome: outcome.into(), wait_ms }
}

/// The connection of an entry, which ends all its requests on drop.
#[derive(Debug)]
pub(crate) struct AdmissionConnection<C: Clock> {
    control: Arc<AdmissionControl<C>>,
    connection: u64,
    responses: mpsc::UnboundedReceiver<(u64, AdmissionResponse)>,
}

impl<C: Clock> AdmissionConnection<C> {
    /// Decides on a request; a queued one gets a second response later.
    pub(crate) fn request(
        &self,
        call: u64,
        request: &AdmissionRequest,
    ) -> AdmissionResponse {
        self.control.request(self.id(call), request)
    }

    /// Records the progress of a request.
    pub(crate) fn update(&self, call: u64, update: AdmissionUpdate) {
        self.control.update(self.id(call), update);
    }

    /// Waits for the next response to a queued request, with its call number.
    pub(crate) async fn next_response(&mut self) -> Option<(u64, AdmissionResponse)> {
        self.responses.recv().await
    }

    fn id(&self, call: u64) -> CallId {
        CallId { connection: self.connection, call }
    }
}

impl<C: Clock> Drop for AdmissionConnection<C> {
    fn drop(&mut self) {
        self.control.disconnect(self.connection);
    }
}
