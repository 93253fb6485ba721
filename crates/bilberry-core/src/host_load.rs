//! The mean load of a plain server's host, from the answers of the server.
//!
//! Designed for servers that share their hosts with other work, whose reported load
//! changes many times a second and is outdated when an answer arrives.

use crate::UnixMs;

/// The time over which reports are averaged.
///
/// Callers are served by a server for seconds, not for the moment of one report.
const WINDOW_MS: f64 = 3_000.0;

/// The age of the latest report from which the mean no longer counts.
///
/// A server that is avoided gives no answers, so its callers' load must return to it
/// before it can be measured again.
const FRESH_MS: u64 = 6_000;

/// The lowest and the highest load that counts, in percent.
///
/// A server that reports an implausible load still gets some requests and not all.
const PLAUSIBLE_PERCENT: (u64, u64) = (40, 400);

/// The mean load of one server's host.
#[derive(Debug, Clone, Default)]
pub struct HostLoadMean {
    percent_sum: f64,
    reports: f64,
    added_at: UnixMs,
}

impl HostLoadMean {
    /// Records how long work takes on the host, in percent of the usual time.
    pub fn record(&mut self, percent: u64, now: UnixMs) {
        let kept = (-(now.ms_since(self.added_at) as f64) / WINDOW_MS).exp();
        let (least, most) = PLAUSIBLE_PERCENT;
        self.percent_sum = self.percent_sum * kept + percent.clamp(least, most) as f64;
        self.reports = self.reports * kept + 1.0;
        self.added_at = now;
    }

    /// Returns the mean, unless the latest report is too old.
    pub fn percent(&self, now: UnixMs) -> Option<u64> {
        let is_fresh = self.reports > 0.0 && now.ms_since(self.added_at) < FRESH_MS;
        is_fresh.then(|| (self.percent_sum / self.reports).round() as u64)
    }
}
