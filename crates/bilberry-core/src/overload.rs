//! Decides how many new connections a process admits that has too little processor time.
//!
//! A balancer may send most new connections to one of many entries. What an entry has read
//! it must serve, so it closes connections beyond that before it reads from them, and
//! their callers reach other entries. The delay with which a due task runs shows how much
//! work is ahead of a new request. Only a delay that persists counts, as in CoDel: a
//! process that stood still for a moment has a single long one.

/// The number of measurements of which the shortest one counts.
const SAMPLES: usize = 3;

/// The delay from which new connections are closed, in milliseconds.
const CLOSE_FROM_MS: u64 = 40;

/// The delay at which the share of closed connections reaches `MAX_CLOSED_SHARE`, in
/// milliseconds.
///
/// A caller of a plain service notices twice as long a delay as lateness.
const CLOSE_MOST_MS: u64 = 120;

/// The largest share of new connections that are closed.
///
/// The rest is served if all entries are overloaded.
const MAX_CLOSED_SHARE: f64 = 0.9;

/// The recent delays of due tasks of a process.
#[derive(Debug, Clone, Default)]
pub struct OverloadGate {
    delays_ms: [u64; SAMPLES],
    next: usize,
}

impl OverloadGate {
    /// Records how much later than due a task ran, in milliseconds.
    pub fn record_delay(&mut self, delay_ms: u64) {
        self.delays_ms[self.next] = delay_ms;
        self.next = (self.next + 1) % SAMPLES;
    }

    /// Returns the share of new connections to close, from 0 to 1.
    pub fn closed_share(&self) -> f64 {
        let delay_ms = self.delays_ms.iter().min().copied().unwrap_or_default();
        let over_ms = delay_ms.saturating_sub(CLOSE_FROM_MS) as f64;
        let share = over_ms / (CLOSE_MOST_MS - CLOSE_FROM_MS) as f64;
        (share * MAX_CLOSED_SHARE).min(MAX_CLOSED_SHARE)
    }

    /// Decides whether to admit a new connection; `draw` is a random number from 0 to 1.
    pub fn admits(&self, draw: f64) -> bool {
        draw >= self.closed_share()
    }
}
