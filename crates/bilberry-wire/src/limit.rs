//! The request limits that servers report, exchanged between entries.

use bilberry_core::Incarnation;
use bilberry_core::LimitReport;
use bilberry_core::ReportedLimit;
use bilberry_core::UnixMs;

/// The most recent report of a server's request limit that the sender knows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LimitNotice {
    /// The id of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// When the server started, in Unix milliseconds, if known.
    #[prost(fixed64, optional, tag = "2")]
    pub started_at_ms: Option<u64>,
    /// The requests per second that it accepts from all entries together; absent if the
    /// limit has ended.
    #[prost(double, optional, tag = "3")]
    pub limit_per_s: Option<f64>,
    /// How long ago the server reported it, in milliseconds.
    ///
    /// Relative, because the receiving host's clock may differ.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

impl LimitNotice {
    /// Creates the notice of a report that is sent at `now`.
    pub fn new(
        server: &str,
        incarnation: Option<Incarnation>,
        report: LimitReport,
        now: UnixMs,
    ) -> Self {
        Self {
            server: server.to_string(),
            started_at_ms: incarnation.map(|start| start.started_at.0),
            limit_per_s: report.limit.map(|limit| limit.per_s()),
            age_ms: now.ms_since(report.at),
        }
    }

    /// Returns the incarnation of the server, if known.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.started_at_ms.map(|ms| Incarnation { started_at: UnixMs(ms) })
    }

    /// Returns the report of a notice received at `now`; `None` if its limit is invalid.
    pub fn report(&self, now: UnixMs) -> Option<LimitReport> {
        let reported = match self.limit_per_s {
            Some(per_s) => ReportedLimit::from_rate(per_s),
            None => ReportedLimit::Unlimited,
        };
        let at = UnixMs(now.0.saturating_sub(self.age_ms));
        LimitReport::from_response(reported, at, at)
    }
}
