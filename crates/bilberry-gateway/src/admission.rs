//! Asks the sidecar of an engine to admit requests before they are sent there.
//!
//! Answers a surge of long prompts from many entries: the sidecar orders them, so that
//! short requests with an earlier target do not stand behind them inside the engine.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::UnixMs;
use bilberry_core::WeightsStatus;
use bilberry_wire::AdmissionOutcome;
use bilberry_wire::AdmissionRequest;
use bilberry_wire::AdmissionResponse;
use bilberry_wire::AdmissionStage;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::Dialect;
use crate::Gateway;
use crate::RequestContext;
use crate::Upstream;
use crate::placement::Placement;
use crate::serve::max_retry_after_ms;

/// The largest number of admission requests to one sidecar that are yet to be sent.
///
/// The sidecar of a request beyond it would respond too late for its caller.
const QUEUE_CAPACITY: usize = 256;

/// The number of responses to a request that are kept until they are read: one that it
/// is queued, and the decision.
const RESPONSE_CAPACITY: usize = 2;

/// How long a request waits for the first response of a sidecar.
///
/// Another engine can take the request, and its caller's target is some hundred
/// milliseconds away.
const FIRST_RESPONSE_TIMEOUT_MS: u64 = 100;

/// The interval at which a queued request is checked for a reason to leave the queue.
///
/// A caller's target is some hundred milliseconds away, and another engine needs most of
/// them.
const QUEUE_CHECK_INTERVAL_MS: u64 = 25;

/// The largest number of engines whose sidecars are asked to admit a request.
///
/// Sidecars reject a request when its wait would be of no use to the caller, who then
/// needs a refusal at once.
const MAX_ASKED: usize = 2;

/// The admission of a request to an engine, which ends on drop.
#[derive(Debug)]
pub struct AdmissionGuard {
    messages: mpsc::UnboundedSender<AdmissionMessage>,
    call: u64,
    is_prefilled: bool,
    is_open: bool,
}

/// The queue of admission messages to one connected sidecar.
///
/// Bounded by the requests that are yet to be sent; each of them is followed by at most
/// two updates, which must not be lost.
#[derive(Debug, Clone)]
pub(crate) struct AdmissionQueue {
    messages: mpsc::UnboundedSender<AdmissionMessage>,
    space: Arc<Semaphore>,
    last_call: Arc<AtomicU64>,
}

/// A message to a sidecar about the admission of a request.
#[derive(Debug)]
pub(crate) enum AdmissionMessage {
    /// Asks for the admission.
    Request {
        /// The number of the call, unique for the connection.
        call: u64,
        /// The request.
        request: AdmissionRequest,
        /// The channel for the responses.
        responses: mpsc::Sender<AdmissionResponse>,
        /// The space in the queue.
        space: OwnedSemaphorePermit,
    },
    /// Reports the progress of the request.
    Update {
        /// The number of the call.
        call: u64,
        /// The progress.
        stage: AdmissionStage,
    },
}

/// The result of asking for an admission.
#[derive(Debug)]
pub(crate) enum AdmissionResult {
    /// The sidecar of the upstream does not decide on admissions.
    Unneeded,
    /// The request may be sent to the engine.
    Admitted(AdmissionGuard),
    /// The sidecar rejected the request.
    Rejected {
        /// The time after which the caller should return, in milliseconds.
        retry_after_ms: u64,
    },
    /// The sidecar did not respond in time, or no longer reports.
    Unavailable,
    /// The request stopped waiting: the engine can't take it any more, or it is too late.
    Withdrawn,
}

/// The sidecars that did not admit a request while it is being placed.
#[derive(Debug, Default)]
pub(crate) struct AdmissionAttempts {
    rejected: Vec<Arc<Upstream>>,
    unavailable: Vec<Arc<Upstream>>,
    /// The shortest time after which the caller may return to one that rejected it.
    pub(crate) retry_after_ms: Option<u64>,
}

impl AdmissionGuard {
    /// Reports that the engine has prefilled the prompt.
    pub(crate) fn mark_prefilled(&mut self) {
        if !std::mem::replace(&mut self.is_prefilled, true) {
            self.send(AdmissionStage::Prefilled);
        }
    }

    fn send(&self, stage: AdmissionStage) {
        // The end of the connection has ended the admission as well.
        let _ = self.messages.send(AdmissionMessage::Update { call: self.call, stage });
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        if self.is_open {
            self.send(AdmissionStage::Ended);
        }
    }
}

impl AdmissionQueue {
    /// Creates a queue and its receiver.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<AdmissionMessage>) {
        let (messages, received) = mpsc::unbounded_channel();
        let space = Arc::new(Semaphore::new(QUEUE_CAPACITY));
        (Self { messages, space, last_call: Arc::default() }, received)
    }

    /// Queues a request; `None` if the queue is full or the connection has ended.
    fn request(
        &self,
        request: AdmissionRequest,
    ) -> Option<(AdmissionGuard, mpsc::Receiver<AdmissionResponse>)> {
        let space = self.space.clone().try_acquire_owned().ok()?;
        let call = self.last_call.fetch_add(1, Ordering::Relaxed) + 1;
        let (responses, received) = mpsc::channel(RESPONSE_CAPACITY);
        let message = AdmissionMessage::Request { call, request, responses, space };
        self.messages.send(message).ok()?;
        let messages = self.messages.clone();
        let guard = AdmissionGuard { messages, call, is_prefilled: false, is_open: true };
        Some((guard, received))
    }
}

impl AdmissionAttempts {
    /// Records a result other than an admission.
    pub(crate) fn record(&mut self, upstream: &Arc<Upstream>, result: &AdmissionResult) {
        match result {
            AdmissionResult::Rejected { retry_after_ms } => {
                self.rejected.push(upstream.clone());
                let shortest = self.retry_after_ms.unwrap_or(u64::MAX);
                self.retry_after_ms = Some(shortest.min(*retry_after_ms));
            }
            AdmissionResult::Unavailable => self.unavailable.push(upstream.clone()),
            AdmissionResult::Unneeded
            | AdmissionResult::Admitted(_)
            | AdmissionResult::Withdrawn => {}
        }
    }

    /// Reports whether a sidecar has rejected the request.
    pub(crate) fn is_rejected(&self) -> bool {
        !self.rejected.is_empty()
    }

    /// Reports whether no further sidecar may be asked.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.rejected.len() + self.unavailable.len() >= MAX_ASKED
    }

    /// Reports whether the upstream's sidecar rejected the request.
    pub(crate) fn has_rejected(&self, upstream: &Arc<Upstream>) -> bool {
        self.rejected.iter().any(|other| Arc::ptr_eq(other, upstream))
    }

    /// Reports whether the upstream's sidecar did not respond.
    pub(crate) fn is_unavailable(&self, upstream: &Arc<Upstream>) -> bool {
        self.unavailable.iter().any(|other| Arc::ptr_eq(other, upstream))
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Asks the sidecar of the chosen upstream to admit the request if it decides on
    /// admissions, and waits in its queue until `until` at the latest.
    pub(crate) async fn request_admission(
        &self,
        context: &mut RequestContext,
        choice: &Placement,
        until: UnixMs,
    ) -> AdmissionResult {
        if !choice.asks_admission {
            return AdmissionResult::Unneeded;
        }
        let began = self.clock.now();
        let mut is_queued = false;
        let result = self.await_admission(context, choice, until, &mut is_queued).await;
        let waited_ms = self.clock.now().ms_since(began);
        let id = &choice.upstream.id;
        if is_queued {
            context.admission_wait_ms += waited_ms;
            context.add_detail(&format!("admission: queued {waited_ms} ms at {id}"));
            self.metrics.admission_wait_seconds.observe(waited_ms as f64 / 1_000.0);
        }
        let outcome = match &result {
            AdmissionResult::Unneeded => return result,
            AdmissionResult::Admitted(_) => "admitted",
            AdmissionResult::Rejected { retry_after_ms } => {
                context.add_detail(&format!(
                    "admission: rejected by {id}, retry in {retry_after_ms} ms"
                ));
                "rejected"
            }
            AdmissionResult::Unavailable => {
                context.add_detail(&format!("admission: no response from {id}"));
                "unavailable"
            }
            AdmissionResult::Withdrawn => "withdrawn",
        };
        self.metrics.count_admission(outcome);
        result
    }

    async fn await_admission(
        &self,
        context: &RequestContext,
        choice: &Placement,
        until: UnixMs,
        is_queued: &mut bool,
    ) -> AdmissionResult {
        let upstream = &choice.upstream;
        let now = self.clock.now();
        let respond_by = now.plus_ms(FIRST_RESPONSE_TIMEOUT_MS);
        let request = self.admission_request(context, choice, until, now);
        let (priority, tokens) = (context.priority(), choice.prefill_tokens);
        let _awaited = upstream.count_awaiting(priority, tokens);
        let pending = upstream.admission_queue().and_then(|queue| queue.request(request));
        let Some((mut guard, mut responses)) = pending else {
            return AdmissionResult::Unavailable;
        };
        loop {
            let now = self.clock.now();
            if !upstream.has_current_feed(now)
                || (!*is_queued && respond_by.has_passed_at(now))
            {
                return AdmissionResult::Unavailable;
            }
            if until.has_passed_at(now) || !self.may_await(context, choice, now) {
                return AdmissionResult::Withdrawn;
            }
            let next_check = now.plus_ms(QUEUE_CHECK_INTERVAL_MS).min(until);
            let wait = Duration::from_millis(next_check.ms_since(now).max(1));
            let response = match timeout(wait, responses.recv()).await {
                Ok(Some(response)) => response,
                Ok(None) => return AdmissionResult::Unavailable,
                Err(_) => continue,
            };
            match response.outcome() {
                AdmissionOutcome::Queued => *is_queued = true,
                AdmissionOutcome::Withdrawn => {
                    guard.is_open = false;
                    return AdmissionResult::Withdrawn;
                }
                AdmissionOutcome::Rejected => {
                    guard.is_open = false;
                    // The engine went down or began to load, and others may take it.
                    if !self.may_await(context, choice, self.clock.now()) {
                        return AdmissionResult::Withdrawn;
                    }
                    return AdmissionResult::Rejected {
                        retry_after_ms: response.wait_ms,
                    };
                }
                AdmissionOutcome::Admitted if self.may_start(context, choice) => {
                    return AdmissionResult::Admitted(guard);
                }
                AdmissionOutcome::Admitted => return AdmissionResult::Withdrawn,
            }
        }
    }

    fn admission_request(
        &self,
        context: &RequestContext,
        choice: &Placement,
        until: UnixMs,
        now: UnixMs,
    ) -> AdmissionRequest {
        let customer = context.customer.as_ref();
        let target_at = context.arrived_at.plus_ms(context.route.target_ms);
        AdmissionRequest {
            customer: customer.map(|it| it.name.to_string()).unwrap_or_default(),
            priority: context.priority().into(),
            target_in_ms: target_at.ms_since(now),
            max_wait_ms: until.ms_since(now),
            max_return_ms: max_retry_after_ms(context.deadline.ms_since(until)),
            prefill_tokens: choice.prefill_tokens,
            memory_tokens: choice.demand.memory_tokens(),
            slots: choice.upstream.slots(),
            key: context.key.0,
            target_ms: context.route.target_ms,
            shortest_target_ms: self
                .shortest_target_ms(&context.pool.name)
                .unwrap_or(context.route.target_ms),
        }
    }

    /// Reports whether the request may still wait for the chosen upstream.
    fn may_await(
        &self,
        context: &RequestContext,
        choice: &Placement,
        now: UnixMs,
    ) -> bool {
        let model = context.model();
        let version = choice.upstream.weights(model, now);
        let has_same_weights = choice.weights.is_none() || version == choice.weights;
        choice.upstream.is_serving(now)
            && has_same_weights
            && self.classify_weights(version, model, now) != WeightsStatus::Excluded
            && !self.standing(context).is_pending
            && self.check_quarantine(context).is_ok()
    }

    /// Reports whether the request may be sent to the upstream that has admitted it.
    fn may_start(&self, context: &RequestContext, choice: &Placement) -> bool {
        let now = self.clock.now();
        let place = &self.settings.data_centre;
        let offer = choice.upstream.offer(now, place, context.pool.engine);
        offer.usable && self.may_await(context, choice, now)
    }
}
