//! One budget for repeats that all entries draw on without talking.

use std::collections::VecDeque;

use crate::UnixMs;
use crate::entry_share::entry_share;

/// How finely a window is counted.
const BUCKET_MS: u64 = 500;

/// The part of the budget that is used.
///
/// Windows of the entries and of whoever checks the sum don't start together,
/// and requests in progress are counted on both sides of an edge.
const USED_PART: f64 = 0.7;

/// The limits on repeats of one service, over all entries.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct BudgetTerms {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, over all entries, in one window.
    pub slack: f64,
    /// The window's length.
    pub window_ms: u64,
}

/// The repeats of one service that one entry may make.
///
/// The part that grows with requests is safe to divide: each entry counts its
/// own, and the sum over entries is the ratio of all requests. The fixed part is
/// divided by the number of entries.
#[derive(Debug)]
pub struct SharedBudget {
    terms: BudgetTerms,
    buckets: VecDeque<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    start: UnixMs,
    requests: u64,
    repeats: u64,
}

impl SharedBudget {
    /// Creates a budget with nothing spent.
    pub fn new(terms: BudgetTerms) -> Self {
        Self { terms, buckets: VecDeque::new() }
    }

    /// Counts one request of a client.
    pub fn count_request(&mut self, now: UnixMs) {
        self.bucket(now).requests += 1;
    }

    /// Takes one repeat out; returns false if there is none left.
    pub fn spend(&mut self, now: UnixMs, entries: Option<usize>) -> bool {
        self.bucket(now);
        let requests: u64 = self.buckets.iter().map(|b| b.requests).sum();
        let repeats: u64 = self.buckets.iter().map(|b| b.repeats).sum();
        let slack = entry_share(self.terms.slack, entries);
        let allowed = requests as f64 * self.terms.ratio + slack;
        if repeats as f64 + 1.0 > allowed * USED_PART {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }

    fn bucket(&mut self, now: UnixMs) -> &mut Bucket {
        let start = UnixMs(now.0 / BUCKET_MS * BUCKET_MS);
        let oldest = UnixMs(now.0.saturating_sub(self.terms.window_ms));
        self.buckets.retain(|bucket| bucket.start > oldest);
        if self.buckets.back().is_none_or(|bucket| bucket.start < start) {
            self.buckets.push_back(Bucket { start, requests: 0, repeats: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just made sure of")
    }
}
