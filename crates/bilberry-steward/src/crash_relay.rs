//! Crashes of upstreams during runs, relayed between entries.

use std::sync::Mutex;

use bilberry_core::CrashLedger;
use bilberry_core::CrashReport;
use bilberry_core::UnixMs;
use bilberry_wire::CrashNotice;
use tokio::sync::broadcast;

/// How many notices may wait for a slow entry; one that falls behind gets all reports again.
const NOTICES_AHEAD: usize = 256;

/// The crashes that entries have reported, for all entries that connect.
#[derive(Debug)]
pub struct CrashRelay {
    ledger: Mutex<CrashLedger>,
    news: broadcast::Sender<CrashNotice>,
}

impl CrashRelay {
    /// Creates a relay that knows of no crash.
    pub fn new() -> Self {
        Self { ledger: Mutex::default(), news: broadcast::Sender::new(NOTICES_AHEAD) }
    }

    /// Merges the reports of an entry, and relays those that were not known.
    pub fn merge(&self, notice: CrashNotice, now: UnixMs) {
        let mut ledger = self.ledger.lock().unwrap();
        let mut reports: Vec<_> =
            notice.runs.into_iter().map(CrashReport::from).collect();
        reports.retain(|report| ledger.merge(*report, now));
        for news in CrashNotice::of(&reports) {
            // Without a receiver there is nobody to relay to.
            let _ = self.news.send(news);
        }
    }

    /// Returns notices of all crashes that are not forgotten, and a receiver of later ones.
    pub fn subscribe(
        &self,
        now: UnixMs,
    ) -> (Vec<CrashNotice>, broadcast::Receiver<CrashNotice>) {
        // Under the lock, so that no report falls between the two.
        let ledger = self.ledger.lock().unwrap();
        (CrashNotice::of(&ledger.reports(now)).collect(), self.news.subscribe())
    }
}

impl Default for CrashRelay {
    fn default() -> Self {
        Self::new()
    }
}
