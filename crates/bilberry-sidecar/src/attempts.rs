//! Deduplication of attempts.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Mutex;

/// The number of remembered attempts: several minutes at the peak rate of a server.
const CAPACITY: usize = 16_384;

/// The tokens of recent attempts, by which duplicates are detected.
#[derive(Debug, Default)]
pub(crate) struct RecentAttempts {
    recent: Mutex<Recent>,
}

#[derive(Debug, Default)]
struct Recent {
    tokens: HashSet<u64>,
    order: VecDeque<u64>,
}

impl RecentAttempts {
    /// Records an attempt; returns false if it was recorded before.
    ///
    /// Otherwise, a frame duplicated by a network element would run its request twice,
    /// which is not acceptable for non-repeatable calls, such as one that sends a proof.
    pub(crate) fn insert(&self, token: u64) -> bool {
        let mut recent = self.recent.lock().unwrap();
        if !recent.tokens.insert(token) {
            return false;
        }
        recent.order.push_back(token);
        if recent.order.len() > CAPACITY
            && let Some(oldest) = recent.order.pop_front()
        {
            recent.tokens.remove(&oldest);
        }
        true
    }
}
