//! What an entry knows of crashes and of the requests that ran at crashed upstreams.

use std::sync::Mutex;

use bilberry_core::CrashLedger;
use bilberry_core::CrashReport;
use bilberry_core::RequestKey;
use bilberry_core::ServedRequests;
use bilberry_core::Standing;
use bilberry_core::UnixMs;
use bilberry_wire::CrashNotice;

/// The crashes that this entry or others have seen, and the requests served here lately.
#[derive(Debug, Default)]
pub(crate) struct KnownCrashes {
    ledger: Mutex<CrashLedger>,
    served: Mutex<ServedRequests>,
}

/// What reports have changed.
#[derive(Debug)]
pub(crate) struct Merged {
    /// The reports that were not known.
    pub(crate) news: Vec<CrashReport>,
    /// Crashes that are void, as their requests ran to their end here shortly before.
    pub(crate) voided: Vec<CrashReport>,
    /// The requests whose quarantine has begun, and until when.
    pub(crate) quarantined: Vec<(RequestKey, UnixMs)>,
}

impl KnownCrashes {
    /// Merges reports.
    pub(crate) fn merge(&self, reports: Vec<CrashReport>, now: UnixMs) -> Merged {
        let mut news = reports;
        let before: Vec<_> = news.iter().map(|r| self.standing(r.request, now)).collect();
        let requests: Vec<_> = news.iter().map(|report| report.request).collect();
        {
            let mut ledger = self.ledger.lock().unwrap();
            news.retain(|report| ledger.merge(*report, now));
        }
        let voided = self.void_crashes_of_served(&news, now);
        let mut quarantined: Vec<_> = requests
            .into_iter()
            .zip(before)
            .filter(|(_, before)| !matches!(before, Standing::Quarantined { .. }))
            .filter_map(|(request, _)| match self.standing(request, now) {
                Standing::Quarantined { until } => Some((request, until)),
                _ => None,
            })
            .collect();
        quarantined.dedup();
        Merged { news, voided, quarantined }
    }

    /// Records that a request ran to its end; returns the crashes that are void now.
    pub(crate) fn record_served(
        &self,
        request: RequestKey,
        now: UnixMs,
    ) -> Vec<CrashReport> {
        self.served.lock().unwrap().record(request, now);
        self.ledger.lock().unwrap().void_crashes(request)
    }

    /// Returns whether and how a request may be sent.
    pub(crate) fn standing(&self, request: RequestKey, now: UnixMs) -> Standing {
        self.ledger.lock().unwrap().standing(request, now)
    }

    /// Returns whether a request in quarantine must wait instead of being rejected.
    pub(crate) fn is_quarantine_pending(&self, request: RequestKey, now: UnixMs) -> bool {
        self.ledger.lock().unwrap().is_quarantine_pending(request, now)
    }

    /// Returns the notices that a sidecar gets as it connects.
    pub(crate) fn notices(&self, now: UnixMs) -> Vec<CrashNotice> {
        let reports = self.ledger.lock().unwrap().reports_on_suspects(now);
        CrashNotice::of(&reports).collect()
    }

    fn void_crashes_of_served(
        &self,
        reports: &[CrashReport],
        now: UnixMs,
    ) -> Vec<CrashReport> {
        let served = self.served.lock().unwrap();
        let requests = reports.iter().map(|report| report.request);
        let requests: Vec<_> =
            requests.filter(|request| served.contains(*request, now)).collect();
        drop(served);
        let mut ledger = self.ledger.lock().unwrap();
        requests.into_iter().flat_map(|request| ledger.void_crashes(request)).collect()
    }
}
