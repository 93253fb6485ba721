//! An entry's access to a server with a request limit.

use crate::LimitReport;
use crate::RequestLimit;
use crate::UnixMs;

/// How long the gate stays closed while a charge awaits its decision.
///
/// One request at a time asks, as the decision holds for all that come meanwhile.
const DECISION_TIMEOUT_MS: u64 = 500;

/// The longest wait that an owner's denial causes, before the backoff.
///
/// An owner that no entry is registered with divides by a rate of zero.
const MAX_WAIT_MS: u64 = 10_000;

/// The largest binary exponent of the backoff after denied charges.
const MAX_BACKOFF_EXPONENT: u32 = 8;

/// The number of entries per factor by which the backoff may lengthen a wait.
///
/// A few entries get the requests of a limit in turn without any backoff; hundreds would
/// ask far more often than there are requests to admit.
const ENTRIES_PER_BACKOFF: usize = 4;

/// The known limit of one server, and when this entry may next ask for a request to it.
#[derive(Debug, Copy, Clone, Default)]
pub struct LimitGate {
    report: Option<LimitReport>,
    /// Until when a charge awaits its decision.
    undecided_until: UnixMs,
    denied_until: UnixMs,
    /// The number of denied charges since the last admitted one.
    denials: u32,
}

impl LimitGate {
    /// Records a report; returns whether it changes the limit.
    pub fn record(&mut self, report: LimitReport) -> bool {
        if self.report.is_some_and(|known| !report.replaces(&known)) {
            return false;
        }
        let previous = self.limit();
        self.report = Some(report);
        let is_changed = previous != report.limit;
        if is_changed {
            self.reopen();
        }
        is_changed
    }

    /// Returns the most recent report.
    pub fn report(&self) -> Option<LimitReport> {
        self.report
    }

    /// Returns the limit, if there is one.
    pub fn limit(&self) -> Option<RequestLimit> {
        self.report.and_then(|report| report.limit)
    }

    /// Returns whether a request may ask for a charge.
    pub fn is_open(&self, now: UnixMs) -> bool {
        self.denied_until(now).is_none()
            && (self.limit().is_none() || self.undecided_until.has_passed_at(now))
    }

    /// Returns until when all charges are expected to be denied, if that is in the future.
    pub fn denied_until(&self, now: UnixMs) -> Option<UnixMs> {
        let is_denied = self.limit().is_some() && !self.denied_until.has_passed_at(now);
        is_denied.then_some(self.denied_until)
    }

    /// Records that a charge awaits its decision.
    pub fn await_decision(&mut self, now: UnixMs) {
        self.undecided_until = now.plus_ms(DECISION_TIMEOUT_MS);
    }

    /// Records that a charge was admitted.
    pub fn record_admitted(&mut self) {
        self.reopen();
    }

    /// Records that a charge was denied and can be admitted in `wait_ms` at the earliest.
    ///
    /// `entries` is the number of entries that may ask, and `draw` a random number from 0
    /// to 1, which spreads them.
    pub fn record_denied(
        &mut self,
        wait_ms: u64,
        entries: usize,
        draw: f64,
        now: UnixMs,
    ) {
        let exponential = 1usize << self.denials.min(MAX_BACKOFF_EXPONENT);
        let longest = exponential.min(entries / ENTRIES_PER_BACKOFF).max(1) as f64;
        self.denials = self.denials.saturating_add(1);
        let factor = 1.0 + draw * (longest - 1.0);
        self.undecided_until = UnixMs::default();
        self.denied_until =
            now.plus_ms((wait_ms.min(MAX_WAIT_MS) as f64 * factor) as u64);
    }

    fn reopen(&mut self) {
        self.undecided_until = UnixMs::default();
        self.denied_until = UnixMs::default();
        self.denials = 0;
    }
}
