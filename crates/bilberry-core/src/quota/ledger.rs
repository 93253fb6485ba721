//! The token buckets at an owner.

use std::collections::HashMap;

use crate::Name;
use crate::OwnerReply;
use crate::Quota;
use crate::QuotaCharge;
use crate::QuotaDecision;
use crate::UnixMs;
use crate::quota::turns::CallerReturn;
use crate::quota::turns::Turns;

/// The longest interval between two calls of [`QuotaLedger::tick`].
///
/// After a longer one the process was suspended, and other owners decided meanwhile.
const MAX_TICK_GAP_MS: u64 = 1_000;

/// The longest interval between two charges of one takeover.
const MAX_TAKEOVER_GAP_MS: u64 = 2_000;

/// The share of entries below which the owner may have missed charges.
const MIN_SHARE: f64 = 0.5;

/// The largest cost of a small request, as a fraction of the burst.
const SMALL_COST: f64 = 0.02;

/// The fraction of the burst that only small requests and turns may use.
///
/// Small requests don't wait behind large ones: they take little of the quota, and a
/// customer above its limit gets far more of them served.
const SMALL_RESERVE: f64 = 0.2;

/// The number of buckets above which full ones are removed.
const CLEANUP_THRESHOLD: usize = 64;

/// The token buckets of the customers that one sidecar owns.
///
/// A denied request gets a turn: a time at which it will be admitted. Its units are set
/// aside until then, so that other callers don't take them. A caller that returns early
/// loses its turn.
#[derive(Debug)]
pub struct QuotaLedger {
    buckets: HashMap<Name, Bucket>,
    /// Since when no charge can have been missed.
    known_since: UnixMs,
    ticked_at: UnixMs,
    cleanup_at: usize,
}

/// The bucket of one customer.
#[derive(Debug)]
struct Bucket {
    quota: Quota,
    /// Since when this owner has received all charges of the customer.
    known_since: UnixMs,
    /// When it was last charged in place of an owner that was lost.
    taken_over_at: UnixMs,
    /// The available units; negative after a request that is larger than the burst.
    level: f64,
    refilled_at: UnixMs,
    /// The share of the rate at the last refill.
    share: f64,
    turns: Turns,
}

impl QuotaLedger {
    /// Creates a ledger whose buckets are empty at `now`.
    pub fn new(now: UnixMs) -> Self {
        Self {
            buckets: HashMap::new(),
            known_since: now,
            ticked_at: now,
            cleanup_at: CLEANUP_THRESHOLD,
        }
    }

    /// Records that the process is running and which share of the entries reach it.
    pub fn tick(&mut self, share: f64, now: UnixMs) {
        if now.ms_since(self.ticked_at) > MAX_TICK_GAP_MS || share < MIN_SHARE {
            self.known_since = now;
            self.buckets.values_mut().for_each(|bucket| bucket.empty(now));
        }
        self.ticked_at = now;
    }

    /// Charges a request to a customer's bucket.
    ///
    /// `share` is the part of the rate that the entries in contact may use. `is_takeover`
    /// tells that this owner stands in for one that was lost.
    pub fn charge(
        &mut self,
        customer: &Name,
        quota: Quota,
        charge: QuotaCharge,
        share: f64,
        is_takeover: bool,
        now: UnixMs,
    ) -> OwnerReply {
        if now.ms_since(self.ticked_at) > MAX_TICK_GAP_MS {
            self.tick(share, now);
        }
        self.remove_full(now);
        let known_since = self.known_since;
        let fresh = || Bucket::new(quota, charge.initial, known_since, share, now);
        let bucket = self.buckets.entry(customer.clone()).or_insert_with(fresh);
        bucket.update(quota, share, now);
        if is_takeover {
            bucket.take_over(now);
        }
        let known_for_ms = now.ms_since(bucket.known_since);
        OwnerReply { decision: bucket.charge(charge, now), known_for_ms }
    }

    /// Returns the units of a request that was charged and did not run.
    pub fn refund(&mut self, customer: &str, cost: f64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.level = (bucket.level + cost).min(bucket.quota.burst);
        }
    }

    /// Returns the level of a customer's bucket, in units, if it is not full.
    pub fn level(&self, customer: &str) -> Option<f64> {
        self.buckets.get(customer).map(|bucket| bucket.level)
    }

    /// Removes full buckets; they would be created in the same state.
    fn remove_full(&mut self, now: UnixMs) {
        if self.buckets.len() < self.cleanup_at {
            return;
        }
        self.buckets.retain(|_, bucket| {
            bucket.refill(bucket.share, now);
            bucket.level < bucket.quota.burst || !bucket.turns.is_empty()
        });
        self.cleanup_at = CLEANUP_THRESHOLD.max(self.buckets.len() * 2);
    }
}

impl Bucket {
    /// Creates the bucket of a customer without charges since `known_since`.
    ///
    /// It held `initial` units then.
    fn new(
        quota: Quota,
        initial: f64,
        known_since: UnixMs,
        share: f64,
        now: UnixMs,
    ) -> Self {
        let mut bucket = Self {
            quota,
            known_since,
            taken_over_at: UnixMs::default(),
            level: initial.min(quota.burst),
            refilled_at: known_since,
            share,
            turns: Turns::new(),
        };
        bucket.refill(share, now);
        bucket
    }

    /// Empties a bucket whose charges went to other owners until now.
    fn take_over(&mut self, now: UnixMs) {
        if now.ms_since(self.taken_over_at) > MAX_TAKEOVER_GAP_MS {
            self.empty(now);
        }
        self.taken_over_at = now;
    }

    /// Drops what the bucket holds, as charges may have been missed.
    fn empty(&mut self, now: UnixMs) {
        self.level = self.level.min(0.0);
        self.refilled_at = now;
        self.known_since = now;
    }

    /// Refills the bucket and adopts a newer quota.
    fn update(&mut self, quota: Quota, share: f64, now: UnixMs) {
        self.refill(share, now);
        if quota.version > self.quota.version {
            self.quota = quota;
            self.level = self.level.min(quota.burst);
        }
        self.turns.expire(now);
    }

    fn refill(&mut self, share: f64, now: UnixMs) {
        // The lower share applies to the whole interval, as the time of the change is
        // not known.
        let rate = self.quota.rate_per_s * share.min(self.share);
        let refill = now.ms_since(self.refilled_at) as f64 / 1_000.0 * rate;
        self.level = (self.level + refill).min(self.quota.burst);
        self.refilled_at = self.refilled_at.max(now);
        self.share = share;
    }

    fn charge(&mut self, charge: QuotaCharge, now: UnixMs) -> QuotaDecision {
        let burst = self.quota.burst;
        let is_small = charge.cost <= burst * SMALL_COST;
        let floor = if charge.is_uniform { 0.0 } else { burst * SMALL_RESERVE };
        // A request that is larger than the burst is admitted when the bucket is full and
        // leaves a debt, as it could never be admitted otherwise.
        let needed = charge.cost.min(burst - floor);
        let rate = self.quota.rate_per_s * self.share;
        let caller = self.turns.end(charge.key, now);
        let available = match caller {
            CallerReturn::Early => f64::NEG_INFINITY,
            CallerReturn::Due(due_at) => self.level - self.turns.set_aside(due_at),
            CallerReturn::New if is_small => self.level,
            CallerReturn::New => self.turns.spare(self.level, rate, now) - floor,
        };
        if available >= needed {
            self.level -= charge.cost;
            return QuotaDecision::Admitted;
        }
        let set_aside = self.turns.set_aside(UnixMs(u64::MAX));
        let refill_ms = (needed + floor + set_aside - self.level) / rate * 1_000.0;
        let wait_ms = (refill_ms.ceil() as u64).max(1);
        if wait_ms <= charge.max_wait_ms && caller != CallerReturn::Early {
            self.turns.insert(charge.key, charge.cost, now.plus_ms(wait_ms));
        }
        QuotaDecision::Denied { wait_ms }
    }
}
