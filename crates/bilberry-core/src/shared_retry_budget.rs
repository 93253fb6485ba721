//! A retry budget that all entries share without communication.
//!
//! When engines crash one after another under full load, requests that have not started
//! are retried on one full engine after another. At the next crash no retry is left for
//! the streams of that engine. Their callers lose the output that they have received,
//! whereas a request that has not started can still be refused and retried by its
//! caller. Part of the budget is therefore reserved for started streams, so that more of
//! them resume elsewhere and fewer requests are cut off.

use std::collections::VecDeque;

use crate::UnixMs;
use crate::entry_share::entry_share;

/// The length of the buckets in which a window is counted.
const BUCKET_MS: u64 = 500;

/// The fraction of the budget that can be spent.
///
/// The rest is a margin for requests that are counted here slightly earlier than where
/// they arrive, and for an entry that is partitioned but still counted.
const USABLE_FRACTION: f64 = 0.9;

/// The fraction of the budget available to requests whose callers have received nothing.
const RESEND_FRACTION: f64 = 0.6;

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

/// An entry's share of the retry budget of one service.
///
/// The part proportional to requests needs no division: each entry counts its own
/// requests, and the shares add up to the ratio of all requests. The fixed part is
/// divided by the number of entries.
#[derive(Debug)]
pub struct SharedRetryBudget {
    terms: BudgetLimits,
    buckets: VecDeque<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    start: UnixMs,
    requests: u64,
    retries: u64,
}

impl SharedRetryBudget {
    /// Creates an unspent budget.
    pub fn new(terms: BudgetLimits) -> Self {
        Self { terms, buckets: VecDeque::new() }
    }

    /// Counts a client request.
    pub fn count_request(&mut self, now: UnixMs) {
        self.bucket(now).requests += 1;
    }

    /// Spends one retry; returns false if the budget is exhausted.
    pub fn spend(
        &mut self,
        now: UnixMs,
        entries: Option<usize>,
        repeat: RetryKind,
    ) -> bool {
        let has_left = self.has_left(now, entries, repeat);
        if has_left {
            self.bucket(now).retries += 1;
        }
        has_left
    }

    /// Returns a retry that was spent at `spent_at` and not used.
    pub fn refund(&mut self, spent_at: UnixMs) {
        let start = UnixMs(spent_at.0 / BUCKET_MS * BUCKET_MS);
        if let Some(bucket) = self.buckets.iter_mut().find(|it| it.start == start) {
            bucket.retries = bucket.retries.saturating_sub(1);
        }
    }

    /// Reports whether one more retry is within the budget.
    pub fn has_left(
        &mut self,
        now: UnixMs,
        entries: Option<usize>,
        repeat: RetryKind,
    ) -> bool {
        self.bucket(now);
        // For a bucket that is partly outside the window, only retries count, not
        // requests, so that no window exceeds the budget.
        let window_start = self.window_start(now);
        let complete = self.buckets.iter().filter(|bucket| bucket.start > window_start);
        let requests: u64 = complete.map(|bucket| bucket.requests).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = entry_share(self.terms.slack, entries);
        let allowed = requests as f64 * self.terms.ratio + slack;
        retries as f64 + 1.0 <= allowed * repeat.fraction()
    }

    fn window_start(&self, now: UnixMs) -> UnixMs {
        UnixMs(now.0.saturating_sub(self.terms.window_ms))
    }

    fn bucket(&mut self, now: UnixMs) -> &mut Bucket {
        let start = UnixMs(now.0 / BUCKET_MS * BUCKET_MS);
        let window_start = self.window_start(now);
        self.buckets.retain(|bucket| bucket.start.plus_ms(BUCKET_MS) > window_start);
        if self.buckets.back().is_none_or(|bucket| bucket.start < start) {
            self.buckets.push_back(Bucket { start, requests: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a bucket exists for the current time")
    }
}
