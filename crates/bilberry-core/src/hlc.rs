//! Hybrid logical clocks, which order events across processes.

use std::sync::Mutex;

use crate::Clock;

/// The number of low bits that count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// A timestamp with milliseconds in the high bits and a counter in the low bits.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hlc(pub u64);

impl Hlc {
    /// Returns the wall-clock part in milliseconds.
    pub fn unix_ms(self) -> u64 {
        self.0 >> COUNTER_BITS
    }
}

/// A clock that never returns a timestamp lower than one it has seen.
#[derive(Debug)]
pub struct HlcClock<C> {
    clock: C,
    last: Mutex<u64>,
}

impl<C: Clock> HlcClock<C> {
    /// Creates a hybrid logical clock on top of a physical `clock`.
    pub fn new(clock: C) -> Self {
        Self { clock, last: Mutex::new(0) }
    }

    /// Returns a timestamp greater than every one returned or observed before.
    pub fn tick(&self) -> Hlc {
        let wall = self.clock.now().0 << COUNTER_BITS;
        let mut last = self.last.lock().unwrap();
        *last = wall.max(*last + 1);
        Hlc(*last)
    }

    /// Advances the clock to a timestamp received with a message.
    pub fn observe(&self, seen: Hlc) {
        let mut last = self.last.lock().unwrap();
        *last = (*last).max(seen.0);
    }
}
