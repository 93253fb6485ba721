//! Which requests were running at upstreams when these crashed.

use bilberry_core::CrashReport;
use bilberry_core::RequestKey;

/// How many runs one notice carries, some tens of kilobytes.
const MAX_RUNS: usize = 2_000;

/// Crashes that an entry has seen, or that a sidecar relays to entries.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashNotice {
    /// The crashes.
    #[prost(message, repeated, tag = "1")]
    pub runs: Vec<CrashedRun>,
}

/// A run of a request that was in progress when its server crashed.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct CrashedRun {
    /// The key of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// A hash of the server's identity and start.
    #[prost(fixed64, tag = "2")]
    pub server: u64,
    /// Whether the request is not to blame, as it has run to its end since.
    #[prost(bool, tag = "3")]
    pub is_void: bool,
    /// How long the request had run, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub ran_ms: u64,
}

impl From<CrashReport> for CrashedRun {
    fn from(report: CrashReport) -> Self {
        let CrashReport { request, server, ran_ms, is_void } = report;
        Self { request: request.0, server, is_void, ran_ms }
    }
}

impl From<CrashedRun> for CrashReport {
    fn from(run: CrashedRun) -> Self {
        let CrashedRun { request, server, is_void, ran_ms } = run;
        Self { request: RequestKey(request), server, ran_ms, is_void }
    }
}

impl CrashNotice {
    /// Returns notices of these crashes, each of which fits a frame; none of none.
    pub fn of(reports: &[CrashReport]) -> impl Iterator<Item = Self> {
        let chunks = reports.chunks(MAX_RUNS);
        chunks.map(|chunk| Self { runs: chunk.iter().copied().map(Into::into).collect() })
    }
}
