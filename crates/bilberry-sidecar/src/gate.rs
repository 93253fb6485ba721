//! The state of the admission control, and its estimates of waiting times.

use std::time::Duration;
use std::time::Instant;

use bilberry_core::FairQueue;
use bilberry_core::Name;
use bilberry_core::Pushed;
use bilberry_core::UnixMs;
use tokio::sync::oneshot;

use crate::Work;
use crate::estimates::TimeEstimates;

/// The maximum prefill backlog of the engine at which another request is started.
const MAX_PREFILL_BACKLOG_US: f64 = 20_000.0;

/// The safety factor for estimated times that are compared with deadlines.
const ESTIMATE_MARGIN: f64 = 1.1;

/// The additional wait reported during a pause, so that requests are routed elsewhere.
const PAUSED_WAIT_US: f64 = 2_000_000.0;

/// A queued request, which receives its outcome as a `G`.
#[derive(Debug)]
pub(crate) struct QueuedRequest<G> {
    pub(crate) outcome: oneshot::Sender<G>,
    pub(crate) work: Work,
}

/// The state behind the admission lock.
///
/// It is generic over the outcome of queued requests, which may be a permit that
/// releases its capacity through the gate.
#[derive(Debug)]
pub(crate) struct Gate<G> {
    pub(crate) queue: FairQueue<QueuedRequest<G>>,
    pub(crate) estimates: TimeEstimates,
    pub(crate) paused: bool,
    pub(crate) requests: u64,
    running: usize,
    configured_limit: usize,
    reported_limit: usize,
    prefill_backlog_tokens: u64,
    prefill_free_at: Instant,
}

impl<G> Gate<G> {
    pub(crate) fn new(limit: usize, queue_limit: usize) -> Self {
        Self {
            queue: FairQueue::new(queue_limit),
            estimates: TimeEstimates::new(),
            paused: false,
            requests: 0,
            running: 0,
            configured_limit: limit,
            reported_limit: usize::MAX,
            prefill_backlog_tokens: 0,
            prefill_free_at: Instant::now(),
        }
    }

    pub(crate) fn set_configured_limits(&mut self, limit: usize, queue_limit: usize) {
        self.configured_limit = limit;
        self.queue.set_limit(queue_limit);
    }

    pub(crate) fn set_reported_limit(&mut self, limit: usize) {
        self.reported_limit = limit;
    }

    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of prompt tokens that the engine has yet to compute.
    pub(crate) fn prefill_backlog_tokens(&self) -> u64 {
        self.prefill_backlog_tokens
    }

    pub(crate) fn push(&mut self, request: QueuedRequest<G>) -> Pushed<QueuedRequest<G>> {
        let Work { customer, weight, priority, .. } = request.work.clone();
        let cost = request.work.cost();
        self.queue.push(&customer, weight, priority, cost, request)
    }

    /// Returns whether another request may be sent to the engine.
    ///
    /// An engine serves its internal queue in order of arrival. If it were given as
    /// many requests as it can run, the first request of a customer would wait behind
    /// sixteen long prompts of another one, and the fair queue would have no effect.
    /// Long prefills are therefore sent one at a time; short ones, whose prompts are
    /// cached, do not have to wait.
    pub(crate) fn has_capacity(&self) -> bool {
        let ahead_us =
            self.prefill_backlog_tokens as f64 * self.estimates.prefill_us_per_token();
        self.running < self.limit() && !self.paused && ahead_us <= MAX_PREFILL_BACKLOG_US
    }

    /// Estimates the wait before the prefill of a customer's next request.
    pub(crate) fn wait_us(&self, customer: &Name, priority: u8) -> f64 {
        let prefill_us = self.prefill_left_us();
        if self.paused {
            return prefill_us + PAUSED_WAIT_US;
        }
        if self.has_capacity() && self.queue.is_empty() {
            return prefill_us;
        }
        let ahead = self.queue.cost_ahead(customer, priority) as f64;
        let queued_us = ahead * self.estimates.prefill_us_per_token();
        prefill_us + queued_us.max(self.capacity_wait_us(ahead))
    }

    /// Returns whether a response cannot be completed by its deadline after a wait.
    ///
    /// A request that is aborted at its deadline has wasted engine time. At twice the
    /// capacity, nearly all requests did, as each was admitted with just enough time
    /// to start.
    pub(crate) fn is_too_late(&self, work: &Work, now: UnixMs, wait_us: f64) -> bool {
        let request_us =
            self.estimates.request_us(work.prefill_tokens, work.output_tokens);
        let need_ms = (wait_us + request_us) / 1_000.0 * ESTIMATE_MARGIN;
        work.deadline.has_passed_at(now.plus_ms(need_ms as u64))
    }

    /// Estimates the time for serving all queued requests.
    pub(crate) fn queue_drain_ms(&self) -> u64 {
        let cost = self.queue.cost() as f64;
        let prefill_us = cost * self.estimates.prefill_us_per_token();
        (prefill_us.max(self.capacity_wait_us(cost)) / 1_000.0) as u64
    }

    /// Records that a request was sent to the engine.
    pub(crate) fn start(&mut self, tokens: u64) {
        let us = tokens as f64 * self.estimates.prefill_us_per_token();
        let free_at = self.prefill_free_at.max(Instant::now());
        self.prefill_free_at = free_at + Duration::from_micros(us as u64);
        self.prefill_backlog_tokens += tokens;
        self.running += 1;
    }

    /// Records the end of a prefill.
    pub(crate) fn end_prefill(&mut self, tokens: u64) {
        self.prefill_backlog_tokens -= tokens;
        if self.prefill_backlog_tokens == 0 {
            self.prefill_free_at = Instant::now();
        }
    }

    /// Records the end of a request.
    pub(crate) fn end(&mut self) {
        self.running -= 1;
    }

    fn limit(&self) -> usize {
        self.configured_limit.min(self.reported_limit).max(1)
    }

    /// Estimates the remaining time of the running prefills.
    fn prefill_left_us(&self) -> f64 {
        let left = self.prefill_free_at.saturating_duration_since(Instant::now());
        left.as_micros() as f64
    }

    /// Estimates how long a request behind `ahead` queued cost waits for running requests
    /// to end.
    fn capacity_wait_us(&self, ahead: f64) -> f64 {
        if self.running < self.limit() {
            return 0.0;
        }
        let mean = self.queue.cost() as f64 / self.queue.len().max(1) as f64;
        let cost_per_slot = (ahead + mean.max(1.0) / 2.0) / self.limit() as f64;
        cost_per_slot * self.estimates.service_us_per_cost()
    }
}
