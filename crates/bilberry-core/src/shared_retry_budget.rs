//! A retry budget that all entries share.
//!
//! The budget of a service has a part for each request and a fixed part. Each entry spends
//! the former for its own requests, so the parts of all entries add up without any message,
//! and an entry that starts has neither requests nor retries in the window. The fixed part
//! is one token bucket that sidecars keep (see [`crate::QuotaLedger`]): it outlives
//! entries, begins nearly empty where its owners are lost, and goes where it is needed.
//!
//! A retry counts from the time it is taken until a window after it has arrived. In
//! between it may wait for a place or a permit, or stand still with its entry, and then
//! arrive together with retries that were taken later.
//!
//! When engines crash one after another under full load, requests that have not started
//! are retried on one full engine after another. At the next crash no retry is left for
//! the streams of that engine. Their callers lose the output that they have received,
//! whereas a request that has not started can still be refused and retried by its
//! caller. Part of the budget is therefore reserved for started streams, so that more of
//! them resume elsewhere and fewer requests are cut off.

use std::collections::VecDeque;

use crate::Quota;
use crate::UnixMs;

/// The length of the buckets in which a window is counted.
const BUCKET_MS: u64 = 500;

/// The fraction of the part for requests that can be spent.
///
/// The rest is a margin for requests that are counted here slightly earlier than where
/// they arrive.
const USABLE_FRACTION: f64 = 0.9;

/// The fraction of that part available to requests whose callers have received nothing.
const RESEND_FRACTION: f64 = 0.6;

/// The fraction of the fixed part that the shared bucket holds.
///
/// What the bucket holds and what it is refilled with in a window stay below the fixed part.
/// The margin covers retries that arrive later than they were charged, owners that decide
/// apart while entries disagree about them, and what a bucket holds at first.
const SHARED_BURST_FRACTION: f64 = 0.25;

/// The fraction of the fixed part with which the shared bucket is refilled in a window.
const SHARED_REFILL_FRACTION: f64 = 0.4;

/// The fraction of the fixed part that the bucket holds when it is created.
///
/// Where all sidecars were lost, nobody knows what the bucket held. Without this, the first
/// requests after such a loss would have no retry.
const SHARED_INITIAL_FRACTION: f64 = 0.1;

/// The longest time for which a denial of the shared bucket holds.
const MAX_DENIED_MS: u64 = 5_000;

/// The purpose of a retry.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum RetryKind {
    /// Resends a request whose caller has received nothing.
    Resend,
    /// Resumes a stream that its caller has started to receive.
    Resume,
}

impl RetryKind {
    fn fraction(self) -> f64 {
        match self {
            Self::Resend => RESEND_FRACTION,
            Self::Resume => USABLE_FRACTION,
        }
    }
}

/// The retry limits of one service, over all entries.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct BudgetLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed per window, over all entries.
    pub slack: f64,
    /// The length of the window.
    pub window_ms: u64,
}

impl BudgetLimits {
    /// Returns the bucket that holds the fixed part; `None` if there is none.
    pub fn shared_quota(&self) -> Option<Quota> {
        let window_s = self.window_ms as f64 / 1_000.0;
        let quota = Quota {
            rate_per_s: self.slack * SHARED_REFILL_FRACTION / window_s,
            burst: self.slack * SHARED_BURST_FRACTION,
            version: 0,
        };
        (quota.rate_per_s > 0.0 && quota.rate_per_s.is_finite()).then_some(quota)
    }

    /// Returns what that bucket holds when an owner first hears of it.
    pub fn shared_initial(&self) -> f64 {
        self.slack * SHARED_INITIAL_FRACTION
    }
}

/// Where a retry comes from.
#[derive(Debug, Copy, Clone, PartialEq)]
pub enum RetrySource {
    /// The entry's own part, which it is taken from already.
    Own,
    /// The entry's own part holds `own` of it, which is taken; the rest is to be charged to
    /// the shared bucket.
    Shared {
        /// The fraction taken from the own part.
        own: f64,
    },
    /// Neither has a retry left.
    Denied,
}

/// An entry's part of the retry budget of one service.
#[derive(Debug)]
pub struct SharedRetryBudget {
    limits: BudgetLimits,
    buckets: VecDeque<Bucket>,
    /// What was taken for retries that may still arrive.
    pending: f64,
    /// What was taken for retries that have arrived since the last call with a time.
    arrived: f64,
    shared_denied_until: UnixMs,
    /// How often in a row the shared bucket had no retry.
    shared_denials: u32,
}

#[derive(Debug)]
struct Bucket {
    start: UnixMs,
    requests: u64,
    retries: f64,
}

impl SharedRetryBudget {
    /// Creates the budget of an entry that has had no requests.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            buckets: VecDeque::new(),
            pending: 0.0,
            arrived: 0.0,
            shared_denied_until: UnixMs(0),
            shared_denials: 0,
        }
    }

    /// Counts a client request.
    pub fn count_request(&mut self, now: UnixMs) {
        self.bucket(now).requests += 1;
    }

    /// Takes a retry, or what the own part has of it.
    pub fn take(&mut self, now: UnixMs, kind: RetryKind) -> RetrySource {
        let left = self.own_left(now, kind);
        let source = match () {
            _ if left >= 1.0 => RetrySource::Own,
            _ if !self.may_ask(now) => RetrySource::Denied,
            _ => RetrySource::Shared { own: left.max(0.0) },
        };
        self.pending += source.own();
        source
    }

    /// Reports whether there may be one more retry.
    pub fn has_left(&mut self, now: UnixMs, kind: RetryKind) -> bool {
        self.own_left(now, kind) >= 1.0 || self.may_ask(now)
    }

    /// Records that a retry has arrived, or may have, and will not arrive later.
    pub fn record_arrival(&mut self, own: f64) {
        self.pending = (self.pending - own).max(0.0);
        self.arrived += own;
    }

    /// Returns what was taken for a retry that never arrives.
    pub fn cancel(&mut self, own: f64) {
        self.pending = (self.pending - own).max(0.0);
    }

    /// Records that the shared bucket had a retry.
    pub fn record_shared_granted(&mut self) {
        self.shared_denials = 0;
    }

    /// Records that the shared bucket has no retry for `wait_ms`.
    ///
    /// Many entries may wait for the same retry, so the entry waits longer after each denial
    /// in a row.
    pub fn record_shared_denied(&mut self, wait_ms: u64, now: UnixMs) {
        let wait_ms = wait_ms.saturating_mul(1 << self.shared_denials.min(4));
        let until = now.plus_ms(wait_ms.min(MAX_DENIED_MS));
        self.shared_denials += 1;
        self.shared_denied_until = self.shared_denied_until.max(until);
    }

    fn may_ask(&self, now: UnixMs) -> bool {
        self.limits.shared_quota().is_some()
            && self.shared_denied_until.has_passed_at(now)
    }

    fn own_left(&mut self, now: UnixMs, kind: RetryKind) -> f64 {
        self.bucket(now);
        // For a bucket that is partly outside the window, only retries count, not
        // requests, so that no window exceeds the budget.
        let window_start = self.window_start(now);
        let complete = self.buckets.iter().filter(|bucket| bucket.start > window_start);
        let requests: u64 = complete.map(|bucket| bucket.requests).sum();
        let arrived: f64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        requests as f64 * self.limits.ratio * kind.fraction() - arrived - self.pending
    }

    fn window_start(&self, now: UnixMs) -> UnixMs {
        UnixMs(now.0.saturating_sub(self.limits.window_ms))
    }

    fn bucket(&mut self, now: UnixMs) -> &mut Bucket {
        let start = UnixMs(now.0 / BUCKET_MS * BUCKET_MS);
        let window_start = self.window_start(now);
        self.buckets.retain(|bucket| bucket.start.plus_ms(BUCKET_MS) > window_start);
        if self.buckets.back().is_none_or(|bucket| bucket.start < start) {
            self.buckets.push_back(Bucket { start, requests: 0, retries: 0.0 });
        }
        let arrived = std::mem::take(&mut self.arrived);
        let bucket =
            self.buckets.back_mut().expect("a bucket exists for the current time");
        bucket.retries += arrived;
        bucket
    }
}

impl RetrySource {
    /// Returns what is taken from the own part.
    pub fn own(self) -> f64 {
        match self {
            Self::Own => 1.0,
            Self::Shared { own } => own,
            Self::Denied => 0.0,
        }
    }
}
