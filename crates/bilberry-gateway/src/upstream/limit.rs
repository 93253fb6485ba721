//! The request limit of an upstream, as known to this entry.

use bilberry_core::LimitReport;
use bilberry_core::RequestLimit;
use bilberry_core::UnixMs;

use crate::Upstream;

/// How often a limit that an upstream keeps reporting is passed on again.
const REPEAT_INTERVAL_MS: u64 = 5_000;

impl Upstream {
    /// Records a report of the limit; returns whether other entries should receive it.
    pub fn record_limit(&self, report: LimitReport, now: UnixMs) -> bool {
        let mut live = self.live.lock().unwrap();
        if live.limit.record(report) {
            log::info!(
                target: "upstream",
                upstream = self.id.as_str(),
                limit_per_s = report.limit.map(RequestLimit::per_s),
                age_ms = now.ms_since(report.at);
                "the request limit changed"
            );
            live.limit_passed_on_at = now;
            return true;
        }
        let is_due = now.ms_since(live.limit_passed_on_at) >= REPEAT_INTERVAL_MS;
        if !is_due || report.limit.is_none() {
            return false;
        }
        live.limit_passed_on_at = now;
        true
    }

    /// Restores the limit of the same incarnation, which was unlisted meanwhile.
    pub(crate) fn restore_limit(&self, report: LimitReport) {
        self.live.lock().unwrap().limit.record(report);
    }

    /// Returns the most recent report of the limit.
    pub(crate) fn limit_report(&self) -> Option<LimitReport> {
        self.live.lock().unwrap().limit.report()
    }

    /// Returns the requests that it accepts per second from all entries together.
    pub fn request_limit(&self) -> Option<RequestLimit> {
        self.live.lock().unwrap().limit.limit()
    }

    /// Returns until when it gets no requests because of its limit or a requested pause, if
    /// that is in the future.
    pub(crate) fn held_back_until(&self, now: UnixMs) -> Option<UnixMs> {
        self.paused_until(now).max(self.limited_until(now))
    }

    /// Returns until when its limit admits no request, if that is in the future.
    pub fn limited_until(&self, now: UnixMs) -> Option<UnixMs> {
        self.live.lock().unwrap().limit.denied_until(now)
    }

    /// Records that a request awaits the decision of the limit's owners.
    pub(crate) fn await_permit(&self, now: UnixMs) {
        self.live.lock().unwrap().limit.await_decision(now);
    }

    /// Records that its limit admitted a request.
    pub(crate) fn record_permit(&self) {
        self.live.lock().unwrap().limit.record_admitted();
    }

    /// Records that its limit admits no request for `wait_ms`; `entries` may ask.
    pub(crate) fn record_permit_denied(&self, wait_ms: u64, entries: usize, now: UnixMs) {
        let draw = rand::random();
        self.live.lock().unwrap().limit.record_denied(wait_ms, entries, draw, now);
    }
}
