//! Health of the upstream, based on recent calls and reports.

use std::sync::Mutex;

use bilberry_core::Breaker;
use bilberry_core::BreakerState;
use bilberry_core::Clock;
use bilberry_core::SystemClock;

/// The time for which a failing upstream gets no calls.
const BREAKER_OPEN_MS: u64 = 1_500;

/// The health of the upstream.
///
/// An upstream that fails immediately appears idle. Without circuit breakers, all
/// entries would prefer it, and it would receive all traffic.
#[derive(Debug, Default)]
pub(crate) struct Health {
    calls: Mutex<Breaker>,
    reports: Mutex<Breaker>,
}

impl Health {
    /// Returns whether entries must not route requests to the upstream.
    pub(crate) fn is_down(&self) -> bool {
        let now = SystemClock.now();
        let is_open = |breaker: &Mutex<Breaker>| {
            breaker.lock().unwrap().state(now) == BreakerState::Open
        };
        is_open(&self.calls) || is_open(&self.reports)
    }

    /// Returns whether a call may be made.
    pub(crate) fn admit(&self) -> bool {
        self.calls.lock().unwrap().try_acquire(SystemClock.now())
    }

    /// Records a successful call.
    pub(crate) fn succeed(&self) {
        self.calls.lock().unwrap().record_success();
    }

    /// Records a failed call.
    pub(crate) fn fail(&self) {
        fail(&self.calls);
    }

    /// Records whether a query for the state of the upstream succeeded.
    ///
    /// Reports have a separate breaker: an upstream whose calls fail may still report
    /// its state, and a successful report must not reset the breaker for calls.
    pub(crate) fn record_report(&self, succeeded: bool) {
        match succeeded {
            true => self.reports.lock().unwrap().record_success(),
            false => fail(&self.reports),
        }
    }
}

fn fail(breaker: &Mutex<Breaker>) {
    breaker.lock().unwrap().record_failure(SystemClock.now(), BREAKER_OPEN_MS);
}
