//! The ring buffer of a process's recent events.

use std::collections::VecDeque;
use std::sync::Mutex;

use bilberry_core::Hlc;
use bilberry_core::HlcClock;
use bilberry_core::Name;
use bilberry_core::SystemClock;
use bilberry_wire::Event;

/// The capacity of the ring buffer.
const RING_CAPACITY: usize = 4_096;

/// Recent events with hybrid logical timestamps, which order them across processes.
#[derive(Debug)]
pub struct EventLog {
    process: Name,
    clock: HlcClock<SystemClock>,
    ring: Mutex<VecDeque<Event>>,
}

impl EventLog {
    /// Creates an empty ring buffer.
    pub fn new(process: Name) -> Self {
        Self {
            process,
            clock: HlcClock::new(SystemClock),
            ring: Mutex::new(VecDeque::new()),
        }
    }

    /// Records an event.
    pub fn record(&self, request: &str, what: &str, detail: impl Into<String>) {
        let event = Event {
            hlc: self.clock.tick().0,
            process: self.process.to_string(),
            request: request.to_string(),
            what: what.to_string(),
            detail: detail.into(),
        };
        let mut ring = self.ring.lock().unwrap();
        if ring.len() == RING_CAPACITY {
            ring.pop_front();
        }
        ring.push_back(event);
    }

    /// Returns the latest `most` events; only those of `request` unless it is empty.
    pub fn recent(&self, request: &str, most: usize) -> Vec<Event> {
        let ring = self.ring.lock().unwrap();
        let matches = |event: &&Event| request.is_empty() || event.request == request;
        let mut events: Vec<_> =
            ring.iter().rev().filter(matches).take(most).cloned().collect();
        events.reverse();
        events
    }

    /// Returns the timestamp for an outgoing frame.
    pub fn stamp(&self) -> u64 {
        self.clock.tick().0
    }

    /// Advances the clock to the timestamp of an incoming frame.
    pub fn observe(&self, stamp: u64) {
        self.clock.observe(Hlc(stamp));
    }
}
