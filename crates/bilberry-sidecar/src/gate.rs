//! The state behind the admission lock, and what it knows of waiting times.

use std::time::Duration;
use std::time::Instant;

use bilberry_core::FairQueue;
use bilberry_core::Name;
use bilberry_core::Pushed;
use bilberry_core::UnixMs;
use tokio::sync::oneshot;

use crate::Work;
use crate::learned::Learned;

/// How much prefill may be under way at the engine for another to be added.
const PREFILL_AHEAD_US: f64 = 20_000.0;

/// By how much an estimated time is stretched before it is held to a deadline.
const ESTIMATE_MARGIN: f64 = 1.1;

/// The wait that is told while a pause lasts, so that work goes elsewhere.
const PAUSE_US: f64 = 2_000_000.0;

/// A request that waits to be told `G`.
#[derive(Debug)]
pub(crate) struct Ticket<G> {
    pub(crate) grant: oneshot::Sender<G>,
    pub(crate) work: Work,
}

/// The state behind the admission lock.
///
/// It doesn't know what waiting requests are told, which may be a permit that
/// gives its place back through the gate.
#[derive(Debug)]
pub(crate) struct Gate<G> {
    pub(crate) queue: FairQueue<Ticket<G>>,
    pub(crate) learned: Learned,
    pub(crate) paused: bool,
    pub(crate) asked: u64,
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
            learned: Learned::new(),
            paused: false,
            asked: 0,
            running: 0,
            configured_limit: limit,
            reported_limit: usize::MAX,
            prefill_backlog_tokens: 0,
            prefill_free_at: Instant::now(),
        }
    }

    pub(crate) fn set_configured(&mut self, limit: usize, queue_limit: usize) {
        self.configured_limit = limit;
        self.queue.set_limit(queue_limit);
    }

    pub(crate) fn set_reported(&mut self, limit: usize) {
        self.reported_limit = limit;
    }

    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// Returns the prefill tokens that the engine has before it.
    pub(crate) fn prefill_backlog_tokens(&self) -> u64 {
        self.prefill_backlog_tokens
    }

    pub(crate) fn push(&mut self, ticket: Ticket<G>) -> Pushed<Ticket<G>> {
        let Work { customer, weight, priority, .. } = ticket.work.clone();
        let cost = ticket.work.cost();
        self.queue.push(&customer, weight, priority, cost, ticket)
    }

    /// Reports whether one more request may go to the engine.
    ///
    /// An engine serves its own line in order of arrival. Were it given all that
    /// it can run, a customer's first request would stand behind another one's
    /// sixteen long prompts, and the fair queue in front would decide nothing. So
    /// long prefills go one at a time; short ones, whose prompts are cached, don't
    /// wait for that.
    pub(crate) fn has_place(&self) -> bool {
        let ahead_us =
            self.prefill_backlog_tokens as f64 * self.learned.prefill_us_per_token();
        self.running < self.limit() && !self.paused && ahead_us <= PREFILL_AHEAD_US
    }

    /// Returns the wait before the prefill of a customer's next request.
    pub(crate) fn wait_us(&self, customer: &Name, priority: u8) -> f64 {
        let prefill_us = self.prefill_left_us();
        if self.paused {
            return prefill_us + PAUSE_US;
        }
        if self.has_place() && self.queue.is_empty() {
            return prefill_us;
        }
        let ahead = self.queue.cost_ahead(customer, priority) as f64;
        let queued_us = ahead * self.learned.prefill_us_per_token();
        prefill_us + queued_us.max(self.until_place_us(ahead))
    }

    /// Reports whether an answer can't be whole by its deadline, after a wait.
    ///
    /// A request that starts and is cut at its deadline has used the engine for
    /// nothing. At twice the capacity nearly all did, as each was let in with
    /// just the time to reach its turn.
    pub(crate) fn is_too_late(&self, work: &Work, now: UnixMs, wait_us: f64) -> bool {
        let own_us = self.learned.own_us(work.prefill_tokens, work.output_tokens);
        let need_ms = (wait_us + own_us) / 1_000.0 * ESTIMATE_MARGIN;
        work.deadline.has_passed_at(now.plus_ms(need_ms as u64))
    }

    /// Returns how long all that waits would take.
    pub(crate) fn drain_ms(&self) -> u64 {
        let cost = self.queue.cost() as f64;
        let prefill_us = cost * self.learned.prefill_us_per_token();
        (prefill_us.max(self.until_place_us(cost)) / 1_000.0) as u64
    }

    /// Counts a request that goes to the engine.
    pub(crate) fn start(&mut self, tokens: u64) {
        let us = tokens as f64 * self.learned.prefill_us_per_token();
        let free_at = self.prefill_free_at.max(Instant::now());
        self.prefill_free_at = free_at + Duration::from_micros(us as u64);
        self.prefill_backlog_tokens += tokens;
        self.running += 1;
    }

    /// Counts the end of a prefill.
    pub(crate) fn end_prefill(&mut self, tokens: u64) {
        self.prefill_backlog_tokens -= tokens;
        if self.prefill_backlog_tokens == 0 {
            self.prefill_free_at = Instant::now();
        }
    }

    /// Counts the end of a request.
    pub(crate) fn end(&mut self) {
        self.running -= 1;
    }

    fn limit(&self) -> usize {
        self.configured_limit.min(self.reported_limit).max(1)
    }

    /// Returns how long the prefills that run will take, as far as is known.
    fn prefill_left_us(&self) -> f64 {
        let left = self.prefill_free_at.saturating_duration_since(Instant::now());
        left.as_micros() as f64
    }

    /// Returns how long `ahead` and the next one wait for running requests' ends.
    fn until_place_us(&self, ahead: f64) -> f64 {
        if self.running < self.limit() {
            return 0.0;
        }
        let mean = self.queue.cost() as f64 / self.queue.len().max(1) as f64;
        let per_place = (ahead + mean.max(1.0) / 2.0) / self.limit() as f64;
        per_place * self.learned.service_us_per_cost()
    }
}
