//! Relaying reports of upstream crashes between entries.

use std::sync::Mutex;

use bilberry_core::CrashLedger;
use bilberry_core::CrashReport;
use bilberry_core::UnixMs;
use bilberry_wire::CrashNotice;
use tokio::sync::broadcast;

/// The number of notices buffered for a slow entry.
///
/// An entry that falls further behind receives all reports again.
const NOTICE_BUFFER: usize = 256;

/// The number of reports from which a cause is relayed, unless they are on trials.
///
/// Nothing follows from a single crash at other entries, and when many servers fail
/// together, nearly all causes are present at one of their crashes only.
const RELAY_AFTER: usize = 2;

/// Collects the crash reports of all entries and relays them to each connected entry.
#[derive(Debug)]
pub struct CrashRelay {
    ledger: Mutex<CrashLedger>,
    notices: broadcast::Sender<CrashNotice>,
}

impl CrashRelay {
    /// Creates a relay without any reports.
    pub fn new() -> Self {
        Self { ledger: Mutex::default(), notices: broadcast::Sender::new(NOTICE_BUFFER) }
    }

    /// Merges the reports of an entry and relays the new ones on causes that were present
    /// at several crashes.
    pub fn merge(&self, notice: CrashNotice, now: UnixMs) {
        let mut ledger = self.ledger.lock().unwrap();
        let mut reports = Vec::new();
        for report in notice.runs.into_iter().map(CrashReport::from) {
            let known = ledger.report_count(report.cause);
            match ledger.merge(report, now) {
                true if known >= RELAY_AFTER || report.is_trial() => reports.push(report),
                true if ledger.report_count(report.cause) >= RELAY_AFTER => {
                    reports.extend(ledger.reports_on(report.cause));
                }
                _ => {}
            }
        }
        for notice in CrashNotice::batches(&reports) {
            // Fails only if no entry is connected.
            let _ = self.notices.send(notice);
        }
    }

    /// Returns notices of the reports that have been relayed and have not expired, and a
    /// receiver for later notices.
    pub fn subscribe(
        &self,
        now: UnixMs,
    ) -> (Vec<CrashNotice>, broadcast::Receiver<CrashNotice>) {
        // Subscribes while holding the lock, so that no report is missed in between.
        let ledger = self.ledger.lock().unwrap();
        let mut reports = ledger.reports(now);
        reports.retain(|report| {
            report.is_trial() || ledger.report_count(report.cause) >= RELAY_AFTER
        });
        (CrashNotice::batches(&reports).collect(), self.notices.subscribe())
    }
}

impl Default for CrashRelay {
    fn default() -> Self {
        Self::new()
    }
}
