//! What a request takes up at an upstream while it is there.

use std::sync::Arc;

use tokio::sync::Notify;

use crate::Upstream;

/// A request's seat at an upstream; given back when dropped.
#[derive(Debug)]
pub struct Seat {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    memory_tokens: u64,
    pending_tokens: u64,
    pending_tokens_ahead: u64,
    is_trial: bool,
    freed: Arc<Notify>,
}

impl Seat {
    /// Takes a seat for a request of this size.
    pub fn take(
        upstream: Arc<Upstream>,
        memory_tokens: u64,
        pending_tokens: u64,
        freed: Arc<Notify>,
    ) -> Self {
        let mut live = upstream.live.lock().unwrap();
        let pending_tokens_ahead = live.pending_tokens;
        live.in_progress += 1;
        live.sent_since_feed += 1;
        live.tokens_since_feed += memory_tokens;
        live.reserved_tokens += memory_tokens;
        live.pending_tokens += pending_tokens;
        let is_trial = live.doubtful;
        live.trials += u64::from(is_trial);
        drop(live);
        Self {
            upstream,
            memory_tokens,
            pending_tokens,
            pending_tokens_ahead,
            is_trial,
            freed,
        }
    }

    /// Returns how many tokens its upstream had to read before, as far as this entry
    /// sent them.
    pub fn pending_tokens_ahead(&self) -> u64 {
        self.pending_tokens_ahead
    }

    /// Notes that the prompt has been read.
    pub fn prompt_is_read(&mut self) {
        let pending = std::mem::take(&mut self.pending_tokens);
        self.upstream.live.lock().unwrap().pending_tokens -= pending;
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.prompt_is_read();
        let mut live = self.upstream.live.lock().unwrap();
        live.in_progress -= 1;
        live.reserved_tokens -= self.memory_tokens;
        live.trials -= u64::from(self.is_trial);
        drop(live);
        self.freed.notify_waiters();
    }
}
