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

    /// Merges the reports of an entry and relays the new ones.
    pub fn merge(&self, notice: CrashNotice, now: UnixMs) {
        let mut ledger = self.ledger.lock().unwrap();
        let mut reports: Vec<_> =
            notice.runs.into_iter().map(CrashReport::from).collect();
        reports.retain(|report| ledger.merge(*report, now));
        for notice in CrashNotice::batches(&reports) {
            // Fails only if no entry is connected.
            let _ = self.notices.send(notice);
        }
    }

    /// Returns notices of all reports that have not expired, and a receiver for later
    /// notices.
    pub fn subscribe(
        &self,
        now: UnixMs,
    ) -> (Vec<CrashNotice>, broadcast::Receiver<CrashNotice>) {
        // Subscribes while holding the lock, so that no report is missed in between.
        let ledger = self.ledger.lock().unwrap();
        (CrashNotice::batches(&ledger.reports(now)).collect(), self.notices.subscribe())
    }
}

impl Default for CrashRelay {
    fn default() -> Self {
        Self::new()
    }
}
