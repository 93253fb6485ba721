//! The progress of the engine's runs, shared by the poll loop and the entries' queries.

use std::sync::Mutex;

use bilberry_core::ObservedRun;
use bilberry_core::RunProgress;
use bilberry_core::UnixMs;
use bilberry_wire::RunQuery;
use bilberry_wire::RunReply;

use crate::EngineReport;

/// The progress of the engine's runs.
#[derive(Debug, Default)]
pub struct RunTracker {
    progress: Mutex<RunProgress>,
}

impl RunTracker {
    /// Records a report; one that does not list its runs discards what is known.
    ///
    /// Returns whether the engine is stalled.
    pub(crate) fn record(&self, report: &EngineReport, now: UnixMs) -> bool {
        let mut progress = self.progress.lock().unwrap();
        let is_listed =
            |runs: &&Vec<ObservedRun>| !runs.is_empty() || report.running == 0;
        let Some(runs) = report.runs.as_ref().filter(is_listed) else {
            progress.reset();
            return false;
        };
        progress.record(runs, report.queued, report.busy, now);
        progress.is_stalled(now)
    }

    /// Discards what is known of an incarnation that has ended.
    pub(crate) fn reset(&self) {
        self.progress.lock().unwrap().reset();
    }

    /// Answers a query about the progress of a run.
    pub(crate) fn answer(&self, query: &RunQuery, now: UnixMs) -> RunReply {
        let status = self.progress.lock().unwrap().status(&query.attempt, now);
        status.map_or_else(RunReply::default, |status| RunReply {
            run_idle_ms: status.run_idle_ms,
            engine_idle_ms: status.engine_idle_ms,
            queued: status.queued,
            is_known: true,
        })
    }
}
