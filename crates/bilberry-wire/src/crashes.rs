//! Reports of requests that were running at an upstream when it crashed.

use bilberry_core::CrashCause;
use bilberry_core::CrashReport;

/// The maximum number of runs per notice, which is some tens of kilobytes.
const MAX_RUNS_PER_NOTICE: usize = 2_000;

/// Crashes that an entry has observed, or that a sidecar relays to entries.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashNotice {
    /// The interrupted runs.
    #[prost(message, repeated, tag = "1")]
    pub runs: Vec<CrashedRun>,
}

/// A run of a request that was in progress when its server crashed.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct CrashedRun {
    /// The key of the request.
    #[prost(fixed64, tag = "1")]
    pub cause: u64,
    /// A hash of the server's identity and start time.
    #[prost(fixed64, tag = "2")]
    pub server: u64,
    /// Whether the report is void because the request has since run to completion.
    #[prost(bool, tag = "3")]
    pub is_void: bool,
    /// How long the request had run, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub ran_ms: u64,
}

impl From<CrashReport> for CrashedRun {
    fn from(report: CrashReport) -> Self {
        let CrashReport { cause, server, ran_ms, is_void } = report;
        Self { cause: cause.0, server, is_void, ran_ms }
    }
}

impl From<CrashedRun> for CrashReport {
    fn from(run: CrashedRun) -> Self {
        let CrashedRun { cause, server, is_void, ran_ms } = run;
        Self { cause: CrashCause(cause), server, ran_ms, is_void }
    }
}

impl CrashNotice {
    /// Splits these reports into notices that each fit into a frame.
    ///
    /// Yields nothing if there are no reports.
    pub fn batches(reports: &[CrashReport]) -> impl Iterator<Item = Self> {
        let chunks = reports.chunks(MAX_RUNS_PER_NOTICE);
        chunks.map(|chunk| Self { runs: chunk.iter().copied().map(Into::into).collect() })
    }
}
