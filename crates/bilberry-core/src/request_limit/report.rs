//! The order of reports about one server's limit.

use crate::ReportedLimit;
use crate::RequestLimit;
use crate::UnixMs;

/// What is known about the limit of one incarnation of a server.
///
/// The later report replaces the earlier one, so that processes that exchange reports
/// agree in whatever order they receive them.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct LimitReport {
    /// The limit; `None` if the server has none any more.
    pub limit: Option<RequestLimit>,
    /// When the server reported it, by the clock of this process.
    pub at: UnixMs,
}

impl LimitReport {
    /// Creates the report of a response to a request sent at `sent_at`; `None` if the
    /// response does not tell.
    ///
    /// A response without a limit may have been written at any time since the request was
    /// sent, so it does not end a limit that was reported after that.
    pub fn from_response(
        reported: ReportedLimit,
        sent_at: UnixMs,
        received_at: UnixMs,
    ) -> Option<Self> {
        match reported {
            ReportedLimit::Limited(limit) => {
                Some(Self { limit: Some(limit), at: received_at })
            }
            ReportedLimit::Unlimited => Some(Self { limit: None, at: sent_at }),
            ReportedLimit::Unknown => None,
        }
    }

    /// Reports whether this report replaces `other`.
    ///
    /// Of two reports of the same time the stricter one counts.
    pub fn replaces(&self, other: &Self) -> bool {
        let strictness = |report: &Self| match report.limit {
            Some(limit) => -limit.per_s(),
            None => f64::NEG_INFINITY,
        };
        self.at > other.at
            || (self.at == other.at && strictness(self) > strictness(other))
    }
}
