//! Rate and concurrency limits per customer.

use std::collections::HashMap;

use crate::Name;
use crate::UnixMs;

/// The number of tracked customers above which idle ones are removed.
const IDLE_CLEANUP_THRESHOLD: usize = 1_024;

/// The limit that a customer's request exceeds.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum LimitExceeded {
    /// The rate limit is exhausted.
    Rate {
        /// The time until a request can be admitted, in milliseconds.
        wait_ms: u64,
    },
    /// Too many requests are in progress.
    Concurrency,
}

/// An entry's share of a customer's limits.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct Allowance {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests in progress.
    pub concurrency: u32,
}

impl Allowance {
    /// Divides a customer's limits evenly among `entries`.
    ///
    /// The load balancer spreads requests evenly, so the shares add up to the limit
    /// with an error of at most one request per entry. An exact count over all
    /// entries would require a call between processes for each request.
    pub fn share(rate_per_s: f64, concurrency: u32, entries: usize) -> Self {
        let entries = entries.max(1);
        Self {
            rate_per_s: rate_per_s / entries as f64,
            concurrency: concurrency.div_ceil(entries as u32),
        }
    }

    /// Returns the capacity of the token bucket, in requests.
    fn burst(self) -> f64 {
        self.rate_per_s.max(1.0)
    }
}

/// The token bucket and the requests in progress of one customer.
#[derive(Debug)]
struct Usage {
    tokens: f64,
    refilled_at: UnixMs,
    in_progress: u32,
}

/// The usage of all customers at one entry, checked against their limits.
#[derive(Debug, Default)]
pub struct CustomerLimits {
    usage: HashMap<Name, Usage>,
}

impl CustomerLimits {
    /// Admits a request; [`CustomerLimits::release`] must be called when it ends.
    pub fn try_acquire(
        &mut self,
        customer: &Name,
        allowance: Allowance,
        now: UnixMs,
    ) -> Result<(), LimitExceeded> {
        if self.usage.len() > IDLE_CLEANUP_THRESHOLD {
            self.remove_idle(now);
        }
        let full = Usage { tokens: allowance.burst(), refilled_at: now, in_progress: 0 };
        let usage = self.usage.entry(customer.clone()).or_insert(full);
        let refill =
            now.ms_since(usage.refilled_at) as f64 * allowance.rate_per_s / 1_000.0;
        usage.tokens = (usage.tokens + refill).min(allowance.burst());
        usage.refilled_at = usage.refilled_at.max(now);
        if usage.in_progress >= allowance.concurrency {
            return Err(LimitExceeded::Concurrency);
        }
        if usage.tokens < 1.0 {
            let wait_ms = (1.0 - usage.tokens) / allowance.rate_per_s * 1_000.0;
            return Err(LimitExceeded::Rate { wait_ms: wait_ms.ceil() as u64 });
        }
        usage.tokens -= 1.0;
        usage.in_progress += 1;
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self, customer: &Name) {
        if let Some(usage) = self.usage.get_mut(customer) {
            usage.in_progress = usage.in_progress.saturating_sub(1);
        }
    }

    /// Removes customers without requests in progress whose bucket has refilled.
    fn remove_idle(&mut self, now: UnixMs) {
        const REFILL_MS: u64 = 60_000;
        self.usage.retain(|_, usage| {
            usage.in_progress > 0 || now.ms_since(usage.refilled_at) < REFILL_MS
        });
    }
}
