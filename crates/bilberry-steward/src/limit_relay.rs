//! Relaying the request limits of servers between entries.

use std::collections::HashMap;
use std::sync::Mutex;

use bilberry_core::Incarnation;
use bilberry_core::IncarnationOrder;
use bilberry_core::LimitReport;
use bilberry_core::UnixMs;
use bilberry_wire::LimitNotice;
use tokio::sync::broadcast;

/// The number of notices buffered for a slow entry.
///
/// An entry that falls further behind receives all limits again.
const NOTICE_BUFFER: usize = 256;

/// How long a report is passed on to entries that connect.
///
/// Entries repeat a limit every few seconds while its server reports it.
const REPORT_TTL_MS: u64 = 30_000;

/// The maximum number of servers whose limits are kept.
const MAX_SERVERS: usize = 4_096;

/// Keeps the most recent limit of each server and relays changes to all entries.
#[derive(Debug)]
pub struct LimitRelay {
    known: Mutex<HashMap<String, KnownLimit>>,
    notices: broadcast::Sender<LimitNotice>,
}

#[derive(Debug, Copy, Clone)]
struct KnownLimit {
    incarnation: Option<Incarnation>,
    report: LimitReport,
}

impl LimitRelay {
    /// Creates a relay that knows no limits.
    pub fn new() -> Self {
        Self { known: Mutex::default(), notices: broadcast::Sender::new(NOTICE_BUFFER) }
    }

    /// Merges the report of an entry, and relays it if it changes the server's limit.
    pub fn merge(&self, notice: &LimitNotice, now: UnixMs) {
        let Some(report) = notice.report(now) else { return };
        let incarnation = notice.incarnation();
        let mut known = self.known.lock().unwrap();
        known.retain(|_, known| !known.is_expired(now));
        let before = known.get(&notice.server).copied();
        let is_newest = match before {
            Some(before) => before.is_replaced_by(incarnation, report),
            None => known.len() < MAX_SERVERS,
        };
        if !is_newest {
            return;
        }
        known.insert(notice.server.clone(), KnownLimit { incarnation, report });
        let is_repeated = before.is_some_and(|before| {
            before.incarnation == incarnation && before.report.limit == report.limit
        });
        if !is_repeated {
            // Fails only if no entry is connected.
            let _ = self.notices.send(notice.clone());
        }
    }

    /// Returns notices of all limits that have not expired, and a receiver for changes.
    pub fn subscribe(
        &self,
        now: UnixMs,
    ) -> (Vec<LimitNotice>, broadcast::Receiver<LimitNotice>) {
        // Subscribes while holding the lock, so that no change is missed in between.
        let known = self.known.lock().unwrap();
        let current = known.iter().filter(|(_, known)| !known.is_expired(now));
        let notices = current.map(|(server, known)| {
            LimitNotice::new(server, known.incarnation, known.report, now)
        });
        (notices.collect(), self.notices.subscribe())
    }
}

impl Default for LimitRelay {
    fn default() -> Self {
        Self::new()
    }
}

impl KnownLimit {
    fn is_replaced_by(
        &self,
        incarnation: Option<Incarnation>,
        report: LimitReport,
    ) -> bool {
        match Incarnation::compare(self.incarnation, incarnation) {
            IncarnationOrder::Newer => true,
            IncarnationOrder::Same => report.replaces(&self.report),
            IncarnationOrder::Older => false,
        }
    }

    fn is_expired(&self, now: UnixMs) -> bool {
        now.ms_since(self.report.at) >= REPORT_TTL_MS
    }
}
