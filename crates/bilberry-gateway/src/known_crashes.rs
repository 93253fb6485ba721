//! The crashes known to an entry and the requests that ran at crashed upstreams.

use std::collections::HashMap;
use std::sync::Mutex;

use bilberry_core::CompletedRequests;
use bilberry_core::CrashCause;
use bilberry_core::CrashLedger;
use bilberry_core::CrashReport;
use bilberry_core::RequestStanding;
use bilberry_core::RequestStatus;
use bilberry_core::UnixMs;
use bilberry_wire::CrashNotice;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Upstream;

/// The range over which the ends of quarantines are spread between entries.
///
/// Wide enough that the crash of the first trial afterwards is known before the others.
const QUARANTINE_SPREAD_MS: u64 = 60_000;

/// The most parts of prompts whose ids are kept for the log.
const MAX_PART_IDS: usize = 1_000;

/// The most crashes of one incarnation that are counted separately.
const MAX_EARLIER_CRASHES: u64 = 64;

/// The crashes that this entry or others have reported, and the requests that completed
/// here recently.
#[derive(Debug)]
pub(crate) struct KnownCrashes {
    ledger: Mutex<CrashLedger>,
    served: Mutex<CompletedRequests>,
    /// The ids of parts of prompts in reports of this entry.
    part_ids: Mutex<HashMap<CrashCause, u64>>,
}

/// A hash of an upstream's id and the start time of its known incarnation, the same at
/// all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct IncarnationHash(u64);

impl IncarnationHash {
    /// Hashes the incarnation that the list or the sidecar reports; the start time is 0
    /// if none is known.
    pub(crate) fn of(upstream: &Upstream) -> Self {
        let start =
            upstream.incarnation().map_or(0, |incarnation| incarnation.started_at.0);
        Self(xxh3_64(format!("{}/{start}", upstream.id).as_bytes()))
    }

    /// Returns the id of the crash that follows `earlier_crashes` others in the
    /// incarnation.
    ///
    /// Prevents the crashes of a server that restarts before the list shows its new start
    /// from counting as one. The first crash keeps the hash itself as its id, for
    /// compatibility with entries of the previous release.
    pub(crate) fn crash_id(self, earlier_crashes: u64) -> u64 {
        match earlier_crashes {
            0 => self.0,
            _ => xxh3_64_with_seed(&self.0.to_le_bytes(), earlier_crashes),
        }
    }
}

/// The outcome of merging reports.
#[derive(Debug)]
pub(crate) struct MergeOutcome {
    /// The reports that were not known before.
    pub(crate) new_reports: Vec<CrashReport>,
    /// Crashes that are void, as their causes completed here shortly before.
    pub(crate) voided: Vec<CrashReport>,
    /// The newly quarantined causes, each with the end of its quarantine.
    pub(crate) quarantined: Vec<(CrashCause, UnixMs)>,
}

impl KnownCrashes {
    /// Creates the record of an entry on this host, without any crashes.
    pub(crate) fn new(host: &str) -> Self {
        let spread_ms = xxh3_64(host.as_bytes()) % QUARANTINE_SPREAD_MS;
        Self {
            ledger: Mutex::new(CrashLedger::with_quarantine_spread(spread_ms)),
            served: Mutex::default(),
            part_ids: Mutex::default(),
        }
    }

    /// Merges reports and voids the crashes of causes that completed here recently.
    pub(crate) fn merge(&self, reports: Vec<CrashReport>, now: UnixMs) -> MergeOutcome {
        let mut new_reports = reports;
        let before: Vec<_> =
            new_reports.iter().map(|r| self.confirmed_status(r.cause, now)).collect();
        let requests: Vec<_> = new_reports.iter().map(|report| report.cause).collect();
        {
            let mut ledger = self.ledger.lock().unwrap();
            new_reports.retain(|report| ledger.merge(*report, now));
        }
        let voided = self.void_crashes_of_served(&new_reports, now);
        let mut quarantined: Vec<_> = requests
            .into_iter()
            .zip(before)
            .filter(|(_, before)| !matches!(before, RequestStatus::Quarantined { .. }))
            .filter_map(|(request, _)| match self.confirmed_status(request, now) {
                RequestStatus::Quarantined { until } => Some((request, until)),
                _ => None,
            })
            .collect();
        quarantined.sort_unstable();
        quarantined.dedup();
        MergeOutcome { new_reports, voided, quarantined }
    }

    /// Records that servers have completed these causes; returns the crashes that this
    /// voids.
    pub(crate) fn record_served(
        &self,
        causes: &[CrashCause],
        now: UnixMs,
    ) -> Vec<CrashReport> {
        let mut served = self.served.lock().unwrap();
        causes.iter().for_each(|cause| served.record(*cause, now));
        drop(served);
        let mut ledger = self.ledger.lock().unwrap();
        causes.iter().flat_map(|cause| ledger.void_crashes(*cause)).collect()
    }

    /// Reports whether the crash of a trial confirms that a cause crashes servers.
    pub(crate) fn is_confirming(&self, cause: CrashCause, now: UnixMs) -> bool {
        self.ledger.lock().unwrap().is_confirming(cause, now)
    }

    /// Returns those of the causes that servers have not completed recently.
    pub(crate) fn unserved(&self, causes: &[CrashCause], now: UnixMs) -> Vec<CrashCause> {
        let served = self.served.lock().unwrap();
        causes.iter().copied().filter(|cause| !served.contains(*cause, now)).collect()
    }

    /// Returns whether and how a request with these shared parts may be sent.
    pub(crate) fn standing_of(
        &self,
        request: CrashCause,
        parts: &[CrashCause],
        now: UnixMs,
    ) -> RequestStanding {
        self.ledger.lock().unwrap().standing_of(request, parts, now)
    }

    /// Reports whether a cause is a part of prompts.
    pub(crate) fn is_part(&self, cause: CrashCause) -> bool {
        let ledger = self.ledger.lock().unwrap();
        ledger.reports_on(cause).iter().any(CrashReport::is_part)
    }

    /// Keeps the id of a part of prompts for the log.
    pub(crate) fn record_part_id(&self, cause: CrashCause, id: u64) {
        let mut part_ids = self.part_ids.lock().unwrap();
        if part_ids.len() >= MAX_PART_IDS {
            part_ids.clear();
        }
        part_ids.insert(cause, id);
    }

    /// Returns the id of a part of prompts, if a report of this entry named it.
    pub(crate) fn part_id(&self, cause: CrashCause) -> Option<u64> {
        self.part_ids.lock().unwrap().get(&cause).copied()
    }

    /// Returns the status by one cause.
    pub(crate) fn confirmed_status(
        &self,
        request: CrashCause,
        now: UnixMs,
    ) -> RequestStatus {
        self.ledger.lock().unwrap().confirmed_status(request, now)
    }

    /// Counts the known crashes in an incarnation, from the first up to the first gap.
    pub(crate) fn count_crashes(&self, incarnation: IncarnationHash) -> u64 {
        let ledger = self.ledger.lock().unwrap();
        let is_known = |earlier_crashes: &u64| {
            ledger.has_crashed(incarnation.crash_id(*earlier_crashes))
        };
        (0..MAX_EARLIER_CRASHES).take_while(is_known).count() as u64
    }

    /// Returns the notices that are sent to a sidecar when it connects.
    pub(crate) fn notices(&self, now: UnixMs) -> Vec<CrashNotice> {
        let reports = self.ledger.lock().unwrap().reports_on_suspects(now);
        CrashNotice::batches(&reports).collect()
    }

    fn void_crashes_of_served(
        &self,
        reports: &[CrashReport],
        now: UnixMs,
    ) -> Vec<CrashReport> {
        let served = self.served.lock().unwrap();
        let requests = reports.iter().map(|report| report.cause);
        let requests: Vec<_> =
            requests.filter(|request| served.contains(*request, now)).collect();
        drop(served);
        let mut ledger = self.ledger.lock().unwrap();
        requests.into_iter().flat_map(|request| ledger.void_crashes(request)).collect()
    }
}
