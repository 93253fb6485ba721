//! Who may use the upstream now, who waits, and who is refused.

use std::sync::Arc;
use std::sync::Mutex;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::Pushed;
use bilberry_core::QueueKey;
use bilberry_core::SystemClock;
use bilberry_core::UnixMs;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::Work;
use crate::gate::Gate;
use crate::gate::Ticket;
use crate::permit::Pause;
use crate::permit::Permit;

/// After how many requests idle customers' accounts are cleared away.
const FORGET_EVERY: u64 = 1_024;

/// The gate in front of one upstream.
///
/// A lock is held for a few operations on maps in memory and never across an
/// await. An actor's mailbox would cost each request two wake-ups instead; see
/// the design note on admission.
#[derive(Debug, Clone)]
pub struct Admission {
    pub(crate) gate: Arc<Mutex<Gate<Granted>>>,
}

/// Why a request did not come through the gate.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// There was no place for it.
    Busy {
        /// How long the queue would take to be served.
        wait_ms: u64,
    },
    /// Its deadline passed while it waited.
    Expired,
}

/// What a waiting request is told.
#[derive(Debug)]
pub(crate) enum Granted {
    /// A place.
    Place(Permit),
    /// Another customer's request, short of its share, took the waiting place.
    Displaced,
    /// Its answer would not be whole by its deadline any more.
    TooLate,
}

/// The answer of the gate.
enum Asked {
    Run(Permit),
    Refused { wait_ms: u64 },
    Wait(oneshot::Receiver<Granted>, QueueKey),
}

impl Admission {
    /// Creates a gate for `limit` running and `queue_limit` waiting requests.
    pub fn new(limit: usize, queue_limit: usize) -> Self {
        Self { gate: Arc::new(Mutex::new(Gate::new(limit, queue_limit))) }
    }

    /// Follows the bounds of the configuration.
    pub fn set_configured(&self, limit: usize, queue_limit: usize) {
        self.gate.lock().unwrap().set_configured(limit, queue_limit);
        self.start_waiting();
    }

    /// Follows the upstream's own bound on running requests.
    pub fn set_reported(&self, limit: usize) {
        self.gate.lock().unwrap().set_reported(limit);
        self.start_waiting();
    }

    /// Starts nothing new for as long as the pause lives; what runs goes on.
    pub fn pause(&self) -> Pause {
        Pause::new(self.clone())
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.gate.lock().unwrap().running()
    }

    /// Returns how many requests wait.
    pub fn queued(&self) -> usize {
        self.gate.lock().unwrap().queue.len()
    }

    /// Returns the wait before the prefill of a customer's next request.
    pub fn wait_ms(&self, customer: &Name, priority: u8) -> f64 {
        self.gate.lock().unwrap().wait_us(customer, priority) / 1_000.0
    }

    /// Returns how long one prompt token takes.
    pub fn prefill_us_per_token(&self) -> f64 {
        self.gate.lock().unwrap().learned.prefill_us_per_token()
    }

    /// Waits for a place.
    pub async fn enter(&self, work: Work, now: UnixMs) -> Result<Permit, Refusal> {
        let left = work.deadline.left(now);
        let (granted, key) = match self.ask(work, now) {
            Asked::Run(permit) => return Ok(permit),
            Asked::Refused { wait_ms } => return Err(Refusal::Busy { wait_ms }),
            Asked::Wait(granted, key) => (granted, key),
        };
        // A caller that goes away drops this future; its item leaves the queue.
        let _waiting = Waiting { admission: self, key };
        match timeout(left, granted).await {
            Ok(Ok(Granted::Place(permit))) => Ok(permit),
            Ok(Ok(Granted::TooLate)) | Err(_) => Err(Refusal::Expired),
            Ok(_) => Err(Refusal::Busy { wait_ms: self.drain_ms() }),
        }
    }

    fn ask(&self, work: Work, now: UnixMs) -> Asked {
        let mut gate = self.gate.lock().unwrap();
        gate.asked += 1;
        if gate.asked.is_multiple_of(FORGET_EVERY) {
            gate.queue.forget_idle();
        }
        if gate.has_place() && gate.queue.is_empty() {
            return Asked::Run(Permit::start(self.clone(), &mut gate, work));
        }
        // A request that can't be served in time only takes a place from one that
        // can; its caller learns now rather than at its deadline.
        let wait_us = gate.wait_us(&work.customer, work.priority);
        if gate.is_too_late(&work, now, wait_us) {
            return Asked::Refused { wait_ms: (wait_us / 1_000.0) as u64 };
        }
        let (grant, granted) = oneshot::channel();
        match gate.push(Ticket { grant, work }) {
            Pushed::Queued(key) => Asked::Wait(granted, key),
            Pushed::Displaced(key, other) => {
                let _ = other.grant.send(Granted::Displaced);
                Asked::Wait(granted, key)
            }
            Pushed::Refused(_) => Asked::Refused { wait_ms: gate.drain_ms() },
        }
    }

    fn drain_ms(&self) -> u64 {
        self.gate.lock().unwrap().drain_ms()
    }

    /// Gives free places to those that wait.
    pub(crate) fn start_waiting(&self) {
        let mut unclaimed = Vec::new();
        let mut gate = self.gate.lock().unwrap();
        while gate.has_place() {
            let Some(Ticket { grant, work }) = gate.queue.pop() else { break };
            if gate.is_too_late(&work, SystemClock.now(), 0.0) {
                let _ = grant.send(Granted::TooLate);
                continue;
            }
            let permit = Permit::start(self.clone(), &mut gate, work);
            unclaimed.extend(grant.send(Granted::Place(permit)).err());
        }
        drop(gate);
        // Permits of callers that went away are given back here, which takes the
        // lock again.
        drop(unclaimed);
    }
}

/// A request in the queue, taken out if its caller goes away.
struct Waiting<'a> {
    admission: &'a Admission,
    key: QueueKey,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.admission.gate.lock().unwrap().queue.remove(self.key);
    }
}
