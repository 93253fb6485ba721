//! Admission control for the upstream.

use std::sync::Arc;
use std::sync::Mutex;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::Pushed;
use bilberry_core::QueueKey;
use bilberry_core::SystemClock;
use bilberry_core::UnixMs;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::Work;
use crate::gate::Gate;
use crate::gate::QueuedRequest;
use crate::permit::Pause;
use crate::permit::Permit;

/// The number of requests between removals of idle customers' queue state.
const IDLE_CLEANUP_INTERVAL: u64 = 1_024;

/// The admission control of one upstream.
///
/// The state is behind a lock, which is held for a few operations on in-memory maps
/// and never across an await. An actor would cost each request two wake-ups instead;
/// see the design note on admission.
#[derive(Debug, Clone)]
pub struct Admission {
    pub(crate) gate: Arc<Mutex<Gate<QueueOutcome>>>,
}

/// The reason why a request was not admitted.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The upstream or its queue is at capacity.
    Busy {
        /// The estimated time until capacity is available.
        wait_ms: u64,
    },
    /// The deadline passed, or became unreachable, in the queue.
    Expired,
}

/// The outcome for a queued request.
#[derive(Debug)]
pub(crate) enum QueueOutcome {
    /// The request was admitted.
    Admitted(Permit),
    /// The request was displaced from the queue by one of a customer that is below its
    /// fair share.
    Displaced,
    /// The response could not be completed by the deadline.
    TooLate,
}

/// The decision on a new request.
enum Decision {
    Run(Permit),
    Refused { wait_ms: u64 },
    Wait(oneshot::Receiver<QueueOutcome>, QueueKey),
}

impl Admission {
    /// Creates an admission control with limits on running and queued requests.
    pub fn new(limit: usize, queue_limit: usize) -> Self {
        Self { gate: Arc::new(Mutex::new(Gate::new(limit, queue_limit))) }
    }

    /// Sets the configured limits.
    pub fn set_configured_limits(&self, limit: usize, queue_limit: usize) {
        self.gate.lock().unwrap().set_configured_limits(limit, queue_limit);
        self.start_queued();
    }

    /// Sets the limit on running requests that the upstream reports.
    pub fn set_reported_limit(&self, limit: usize) {
        self.gate.lock().unwrap().set_reported_limit(limit);
        self.start_queued();
    }

    /// Starts no new requests until the returned guard is dropped; running requests
    /// continue.
    pub fn pause(&self) -> Pause {
        Pause::new(self.clone())
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.gate.lock().unwrap().running()
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.gate.lock().unwrap().queue.len()
    }

    /// Estimates the wait before the prefill of a customer's next request.
    pub fn wait_ms(&self, customer: &Name, priority: u8) -> f64 {
        self.gate.lock().unwrap().wait_us(customer, priority) / 1_000.0
    }

    /// Returns the estimated prefill time per prompt token.
    pub fn prefill_us_per_token(&self) -> f64 {
        self.gate.lock().unwrap().estimates.prefill_us_per_token()
    }

    /// Waits until the request is admitted.
    pub async fn acquire_permit(
        &self,
        work: Work,
        now: UnixMs,
    ) -> Result<Permit, Refusal> {
        let left = work.deadline.remaining(now);
        let (outcome_receiver, key) = match self.decide(work, now) {
            Decision::Run(permit) => return Ok(permit),
            Decision::Refused { wait_ms } => return Err(Refusal::Busy { wait_ms }),
            Decision::Wait(outcome_receiver, key) => (outcome_receiver, key),
        };
        // If the caller disconnects, this future is dropped, and with it the queue item.
        let _guard = QueueGuard { admission: self, key };
        match timeout(left, outcome_receiver).await {
            Ok(Ok(QueueOutcome::Admitted(permit))) => Ok(permit),
            Ok(Ok(QueueOutcome::TooLate)) | Err(_) => Err(Refusal::Expired),
            Ok(_) => Err(Refusal::Busy { wait_ms: self.queue_drain_ms() }),
        }
    }

    fn decide(&self, work: Work, now: UnixMs) -> Decision {
        let mut gate = self.gate.lock().unwrap();
        gate.requests += 1;
        if gate.requests.is_multiple_of(IDLE_CLEANUP_INTERVAL) {
            gate.queue.forget_idle();
        }
        if gate.has_capacity() && gate.queue.is_empty() {
            return Decision::Run(Permit::start(self.clone(), &mut gate, work));
        }
        // A request that cannot be served in time would only take capacity from
        // others. Its caller is informed now rather than at the deadline.
        let wait_us = gate.wait_us(&work.customer, work.priority);
        if gate.is_too_late(&work, now, wait_us) {
            return Decision::Refused { wait_ms: (wait_us / 1_000.0) as u64 };
        }
        let (outcome, outcome_receiver) = oneshot::channel();
        match gate.push(QueuedRequest { outcome, work }) {
            Pushed::Queued(key) => Decision::Wait(outcome_receiver, key),
            Pushed::Displaced(key, other) => {
                let _ = other.outcome.send(QueueOutcome::Displaced);
                Decision::Wait(outcome_receiver, key)
            }
            Pushed::Refused(_) => Decision::Refused { wait_ms: gate.queue_drain_ms() },
        }
    }

    fn queue_drain_ms(&self) -> u64 {
        self.gate.lock().unwrap().queue_drain_ms()
    }

    /// Starts queued requests while there is capacity.
    pub(crate) fn start_queued(&self) {
        let mut undelivered = Vec::new();
        let mut gate = self.gate.lock().unwrap();
        while gate.has_capacity() {
            let Some(QueuedRequest { outcome, work }) = gate.queue.pop() else { break };
            if gate.is_too_late(&work, SystemClock.now(), 0.0) {
                let _ = outcome.send(QueueOutcome::TooLate);
                continue;
            }
            let permit = Permit::start(self.clone(), &mut gate, work);
            undelivered.extend(outcome.send(QueueOutcome::Admitted(permit)).err());
        }
        drop(gate);
        // Dropping the permits of disconnected callers acquires the lock again.
        drop(undelivered);
    }
}

/// A queued request, which is removed from the queue on drop.
struct QueueGuard<'a> {
    admission: &'a Admission,
    key: QueueKey,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.admission.gate.lock().unwrap().queue.remove(self.key);
    }
}
