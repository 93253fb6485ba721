//! Which runs were in progress at an upstream when it crashed.
//!
//! A run whose connection ends early may have been cut by anything; it counts as in progress
//! at a crash only once the upstream's end is confirmed by its sidecar, by a later start,
//! or, where no sidecar reports, by a refused connection. Reports reach the other entries
//! through a few sidecars, which also replay them to entries that connect later.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::CrashLedger;
use bilberry_core::CrashReport;
use bilberry_core::Name;
use bilberry_core::RequestKey;
use bilberry_core::ServedRequests;
use bilberry_core::Standing;
use bilberry_core::UnixMs;
use bilberry_wire::Body;
use bilberry_wire::CrashNotice;
use tokio::time::sleep;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use crate::Dialect;
use crate::Gateway;
use crate::Job;
use crate::Refusal;
use crate::Upstream;
use crate::connections::ConnectError;
use crate::connections::connect;

/// How long the confirmation of a crash is waited for; sidecars report one within a
/// tenth of a second.
const CONFIRM_WITHIN: Duration = Duration::from_secs(2);

/// How long after a connection ended an upstream without a sidecar is probed, so that a
/// process that is about to exit has closed its listening socket.
const PROBE_AFTER: Duration = Duration::from_millis(50);

/// How many sidecars relay a report, so that the loss of one loses none.
const RELAYS: usize = 3;

/// What an entry knows of crashes and of the requests that ran at them.
#[derive(Debug, Default)]
pub(crate) struct KnownCrashes {
    ledger: Mutex<CrashLedger>,
    served: Mutex<ServedRequests>,
}

impl KnownCrashes {
    /// Merges reports; returns those that were not known.
    fn merge(&self, reports: Vec<CrashReport>, now: UnixMs) -> Vec<CrashReport> {
        let mut ledger = self.ledger.lock().unwrap();
        let mut news = reports;
        news.retain(|report| ledger.merge(*report, now));
        news
    }

    /// Records that a request ran to its end; returns the crashes that are void now.
    fn record_served(&self, request: RequestKey, now: UnixMs) -> Vec<CrashReport> {
        self.served.lock().unwrap().record(request, now);
        self.ledger.lock().unwrap().acquit(request)
    }

    /// Voids the crashes of requests that ran to their end here shortly before.
    fn acquit_served(&self, reports: &[CrashReport], now: UnixMs) -> Vec<CrashReport> {
        let served = self.served.lock().unwrap();
        let innocent = reports.iter().map(|report| report.request);
        let innocent: Vec<_> =
            innocent.filter(|key| served.contains(*key, now)).collect();
        let mut ledger = self.ledger.lock().unwrap();
        innocent.into_iter().flat_map(|key| ledger.acquit(key)).collect()
    }

    /// Returns how a request stands.
    pub(crate) fn standing(&self, request: RequestKey, now: UnixMs) -> Standing {
        self.ledger.lock().unwrap().standing(request, now)
    }

    /// Returns the notices that a sidecar gets as it connects.
    pub(crate) fn notices(&self, now: UnixMs) -> Vec<CrashNotice> {
        let reports = self.ledger.lock().unwrap().reports_on_suspects(now);
        CrashNotice::of(&reports).collect()
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Records that a run's connection ended early, and later whether its upstream crashed.
    ///
    /// An upstream that leaves ends as planned.
    pub(crate) fn record_interrupted_run(
        self: &Arc<Self>,
        job: &Job,
        upstream: &Arc<Upstream>,
    ) {
        if upstream.is_leaving() && !upstream.has_ended() {
            return;
        }
        let now = self.clock.now();
        let is_followed = upstream.is_followed(now);
        let gateway = self.clone();
        let upstream = upstream.clone();
        let run = CrashedRun::new(job, now);
        tokio::spawn(async move {
            if has_crashed(&upstream, is_followed).await {
                gateway.metrics.crashed_runs.inc();
                match gateway.lines.spend(gateway.clock.now(), false) {
                    true => run.log(&upstream),
                    false => drop(gateway.metrics.dropped_lines.inc()),
                }
                let server = server_hash(&upstream);
                let report = CrashReport { request: run.key, server, is_void: false };
                gateway.merge_crashes(vec![report], true);
            }
        });
    }

    /// Merges the crashes that a sidecar relays.
    pub(crate) fn merge_crash_notice(&self, notice: CrashNotice) {
        self.merge_crashes(
            notice.runs.into_iter().map(CrashReport::from).collect(),
            false,
        );
    }

    /// Records that a request ran to its end, which acquits it.
    pub(crate) fn record_served(&self, job: &Job) {
        let now = self.clock.now();
        let voided = self.crashes.record_served(job.key, now);
        self.share_crashes(voided);
    }

    /// Returns the refusal of a request in quarantine.
    pub(crate) fn check_quarantine(&self, job: &Job) -> Result<(), Refusal> {
        let now = self.clock.now();
        match self.crashes.standing(job.key, now) {
            Standing::Quarantined { until } => {
                Err(Refusal::Quarantined { for_ms: until.ms_since(now) })
            }
            Standing::Good | Standing::Suspect => Ok(()),
        }
    }

    /// Reports whether a request is sent once an attempt, and where least else runs.
    pub(crate) fn is_suspect(&self, job: &Job) -> bool {
        self.crashes.standing(job.key, self.clock.now()) != Standing::Good
    }

    /// Reports whether a request may run once more after this many runs.
    pub(crate) fn may_run_after(&self, job: &Job, runs: u32) -> bool {
        job.may_run_after(runs) && !self.is_suspect(job)
    }

    /// Merges reports, logs what follows from them, and shares those of this entry's own.
    fn merge_crashes(&self, reports: Vec<CrashReport>, is_own: bool) {
        let now = self.clock.now();
        let news = self.crashes.merge(reports, now);
        let voided = self.crashes.acquit_served(&news, now);
        news.iter().filter(|report| !report.is_void).for_each(|report| {
            if let Standing::Quarantined { until } =
                self.crashes.standing(report.request, now)
            {
                self.metrics.quarantines.inc();
                log::warn!(
                    target: "crash",
                    key = report.request.to_string().as_str(),
                    for_ms = until.ms_since(now);
                    "request quarantined, it crashed the servers that ran it"
                );
            }
        });
        let own = if is_own { news } else { Vec::new() };
        self.share_crashes(own.into_iter().chain(voided).collect());
    }

    /// Sends reports to the sidecars that relay them.
    fn share_crashes(&self, reports: Vec<CrashReport>) {
        let Some(first) = reports.first() else { return };
        let hash = first.request.0;
        let now = self.clock.now();
        let mut sidecars = self.upstreams.all();
        sidecars.retain(|upstream| upstream.is_followed(now));
        // An order of the request's own, in which entries choose the same sidecars.
        sidecars.sort_by_key(|upstream| upstream.seed ^ hash);
        for notice in CrashNotice::of(&reports) {
            let sent = sidecars.iter().filter(|upstream| {
                upstream.send_to_sidecar(Body::CrashNotice(notice.clone()))
            });
            if sent.take(RELAYS).count() == 0 {
                log::debug!("no sidecar relays crashes of {hash:016x}");
            }
        }
    }
}

/// A run whose connection ended before its answer was whole.
#[derive(Debug)]
struct CrashedRun {
    attempt: Name,
    key: RequestKey,
    customer: Name,
    path: String,
    ran_ms: u64,
}

impl CrashedRun {
    fn new(job: &Job, now: UnixMs) -> Self {
        let customer = job.customer.as_ref();
        Self {
            attempt: job.call.attempt.clone(),
            key: job.key,
            customer: customer.map(|c| c.name.clone()).unwrap_or_default(),
            path: job.uri.path().to_string(),
            ran_ms: now.ms_since(job.sent_at),
        }
    }

    fn log(&self, upstream: &Upstream) {
        log::warn!(
            target: "crash",
            request = self.attempt.as_str(),
            key = self.key.to_string().as_str(),
            customer = self.customer.as_str(),
            path = self.path.as_str(),
            upstream = upstream.id.as_str(),
            ran_ms = self.ran_ms;
            "the upstream crashed during a run"
        );
    }
}

/// Returns whether an upstream that has closed a connection has crashed.
async fn has_crashed(upstream: &Upstream, is_followed: bool) -> bool {
    if is_followed || upstream.has_ended() {
        return timeout(CONFIRM_WITHIN, upstream.lost()).await.is_ok();
    }
    sleep(PROBE_AFTER).await;
    matches!(connect(upstream.address).await, Err(ConnectError::Refused))
}

/// Returns a hash of an upstream's identity and start that all entries agree on.
fn server_hash(upstream: &Upstream) -> u64 {
    let start = upstream.incarnation().map_or(0, |incarnation| incarnation.born_at.0);
    xxh3_64(format!("{}/{start}", upstream.id).as_bytes())
}
