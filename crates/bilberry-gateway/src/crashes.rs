//! Attribution of upstream crashes to the runs in progress.
//!
//! A connection may end early for many reasons. A run counts as in progress at a crash
//! only once the crash is confirmed by the upstream's sidecar, by a later start, or,
//! where no sidecar reports, by a refused connection. Reports are relayed to the other
//! entries by a few sidecars, which also replay them to entries that connect later.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::CrashCause;
use bilberry_core::CrashReport;
use bilberry_core::Name;
use bilberry_core::RequestStanding;
use bilberry_core::RequestStatus;
use bilberry_core::UnixMs;
use bilberry_wire::Body;
use bilberry_wire::CrashNotice;
use tokio::runtime::Handle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Dialect;
use crate::Gateway;
use crate::Refusal;
use crate::RequestContext;
use crate::Upstream;
use crate::connections::ConnectError;
use crate::connections::connect;
use crate::known_crashes::IncarnationHash;
use crate::known_crashes::KnownCrashes;
use crate::known_crashes::MergeOutcome;
use crate::trials::Trial;

/// How long to wait for the confirmation of a crash; sidecars report one within 100 ms.
const CONFIRM_WITHIN: Duration = Duration::from_secs(2);

/// How long to wait for the confirmation after a caller left. Shorter, as many callers
/// leave a slow engine, and a later crash of it may have any cause.
const ABANDONED_WITHIN: Duration = Duration::from_millis(500);

/// The delay between the end of a connection and the probe of an upstream without a
/// sidecar, in which an exiting process closes its listening socket.
const PROBE_AFTER: Duration = Duration::from_millis(50);

/// How long a server streams an answer until the parts of the prompt count as harmless.
///
/// A part crashes a server as it begins to answer; an event in transit may still arrive.
pub(crate) const SOUND_AFTER_MS: u64 = 100;

/// How long a run without the head of a response lasts until its server may have begun to
/// answer.
const MIN_RUN_MS: u64 = 20;

/// The maximum number of prompt parts that the report of one run names.
const MAX_REPORTED_PARTS: usize = 32;

/// The maximum number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 16;

/// How many sidecars relay a report, so that no report is lost when a sidecar fails.
const RELAYS: usize = 3;

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Starts to watch for a crash of the upstream after a run's connection ended early.
    ///
    /// Does nothing for an upstream that is leaving, whose shutdown is planned.
    pub(crate) fn record_interrupted_run(
        self: &Arc<Self>,
        context: &RequestContext,
        upstream: &Arc<Upstream>,
    ) {
        if upstream.is_leaving() && !upstream.has_ended() {
            return;
        }
        let confirmation = match upstream.has_current_feed(self.clock.now()) {
            true => Confirmation::BySidecar { within: CONFIRM_WITHIN },
            false => Confirmation::ByProbe,
        };
        let ended_at = Some(self.clock.now());
        self.watch_for_crash(context, upstream, ended_at, confirmation);
    }

    /// Starts to watch for a crash of the upstream after a caller left while its
    /// request may still run; an engine may continue a request whose connection is
    /// closed.
    pub(crate) fn record_abandoned_run(self: &Arc<Self>, context: &RequestContext) {
        let Some(upstream) = &context.sent_to else { return };
        if !upstream.is_leaving() && upstream.has_current_feed(self.clock.now()) {
            let within = ABANDONED_WITHIN;
            self.watch_for_crash(
                context,
                upstream,
                None,
                Confirmation::BySidecar { within },
            );
        }
    }

    /// Reports a run as in progress at a crash once the crash is confirmed.
    ///
    /// Without `ended_at`, the run is assumed to have lasted until the confirmation.
    fn watch_for_crash(
        self: &Arc<Self>,
        context: &RequestContext,
        upstream: &Arc<Upstream>,
        ended_at: Option<UnixMs>,
        confirmation: Confirmation,
    ) {
        // There is no runtime if a caller leaves during the shutdown of the process.
        let Ok(runtime) = Handle::try_current() else { return };
        let mut run = InterruptedRun::new(context, upstream);
        let gateway = self.clone();
        let upstream = upstream.clone();
        runtime.spawn(async move {
            if has_crashed(&upstream, confirmation).await {
                let ended_at = ended_at.unwrap_or_else(|| gateway.clock.now());
                run.ran_ms = ended_at.ms_since(run.sent_at);
                run.streamed_ms = run.first_event_at.map(|at| ended_at.ms_since(at));
                gateway.metrics.crashed_runs.inc();
                if run.first_event_at.is_none() {
                    gateway.metrics.crashed_before_first_event.inc();
                }
                match gateway.log_budget.spend(gateway.clock.now(), false) {
                    true => run.log(&upstream),
                    false => drop(gateway.metrics.dropped_lines.inc()),
                }
                let reports = run.reports(&gateway.crashes, gateway.clock.now());
                gateway.merge_crashes(reports, Origin::Own);
            }
        });
    }

    /// Merges the crashes that a sidecar relays.
    pub(crate) fn merge_crash_notice(&self, notice: CrashNotice) {
        let reports = notice.runs.into_iter().map(CrashReport::from).collect();
        self.merge_crashes(reports, Origin::Relayed);
    }

    /// Records that a request completed, so that earlier crashes are not attributed to
    /// it.
    pub(crate) fn record_served(&self, context: &RequestContext) {
        self.record_harmless(&[context.cause(), context.cause().in_trial()]);
    }

    /// Records that a server has answered on the request's prompt and lived, so that
    /// crashes are not attributed to the parts of the prompt, and ends its trial.
    pub(crate) fn record_sound_parts(&self, context: &mut RequestContext) {
        let causes = context.causes_of_run();
        context.trial = None;
        self.record_harmless(&causes);
    }

    fn record_harmless(&self, causes: &[CrashCause]) {
        let now = self.clock.now();
        let is_quarantined = |cause: &CrashCause| {
            let status = self.crashes.confirmed_status(*cause, now);
            matches!(status, RequestStatus::Quarantined { .. })
        };
        let released: Vec<_> = causes.iter().filter(|it| is_quarantined(it)).collect();
        let voided = self.crashes.record_served(causes, now);
        for cause in released {
            log::info!(
                target: "crash",
                key = cause.to_string().as_str();
                "released from quarantine, a server completed it"
            );
        }
        self.share_crashes(voided);
    }

    /// Returns whether and how a request may be sent.
    pub(crate) fn standing(&self, context: &RequestContext) -> RequestStanding {
        let (request, parts) = (context.cause(), context.part_causes.all());
        self.crashes.standing_of(request, parts, self.clock.now())
    }

    /// Returns the refusal of a request in quarantine, unless the quarantine is pending.
    pub(crate) fn check_quarantine(
        &self,
        context: &RequestContext,
    ) -> Result<(), Refusal> {
        let standing = self.standing(context);
        match standing.status {
            _ if standing.is_pending => Ok(()),
            RequestStatus::Quarantined { until } => {
                let for_ms = until.ms_since(self.clock.now());
                let part =
                    standing.blamed.and_then(|cause| context.part_causes.id_of(cause));
                Err(match part {
                    Some(part) => Refusal::PartQuarantined { part, for_ms },
                    None => Refusal::Quarantined { for_ms },
                })
            }
            RequestStatus::Good | RequestStatus::Suspect => Ok(()),
        }
    }

    /// Reports whether a request may have caused several crashes, or is on trial. Such a
    /// request is sent only once per attempt.
    pub(crate) fn is_suspect(&self, context: &RequestContext) -> bool {
        context.trial.is_some() || self.standing(context).status != RequestStatus::Good
    }

    /// Begins a trial if the prompt of the request has suspected parts; returns whether
    /// the request may be sent now.
    pub(crate) fn begin_trial(
        &self,
        context: &mut RequestContext,
        standing: &RequestStanding,
    ) -> bool {
        let parts = &standing.suspected_parts;
        if parts.is_empty() {
            context.trial = None;
            return true;
        }
        if context.trial.as_ref().is_some_and(|trial| trial.parts() == parts) {
            return true;
        }
        context.trial = None;
        context.trial = self.trials.begin(parts);
        context.trial.is_some()
    }

    /// Returns how many crashes of an upstream's known incarnation have been reported,
    /// or 0 for engines.
    ///
    /// Plain servers may restart before their new start is known. An engine's sidecar
    /// reports each start, and may report a live engine as down, which must not count
    /// twice.
    pub(crate) fn earlier_crashes(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
    ) -> u64 {
        match context.pool.engine {
            Some(_) => 0,
            None => self.crashes.count_crashes(IncarnationHash::of(upstream)),
        }
    }

    /// Reports whether a request may run once more after this many runs.
    pub(crate) fn may_run_after(&self, context: &RequestContext, runs: u32) -> bool {
        context.may_run_after(runs) && !self.is_suspect(context)
    }

    /// Merges reports, logs new quarantines, and shares the reports that originate here.
    fn merge_crashes(&self, reports: Vec<CrashReport>, origin: Origin) {
        let now = self.clock.now();
        let MergeOutcome { new_reports, voided, quarantined } =
            self.crashes.merge(reports, now);
        for (cause, until) in quarantined {
            let key = cause.to_string();
            let for_ms = until.ms_since(now);
            if !self.crashes.is_part(cause) {
                self.metrics.quarantines.inc();
                log::warn!(
                    target: "crash",
                    key = key.as_str(),
                    for_ms;
                    "request quarantined, it crashed the servers that ran it"
                );
                continue;
            }
            self.metrics.part_quarantines.inc();
            let part = self.crashes.part_id(cause).map(|id| format!("{id:x}"));
            log::warn!(
                target: "crash",
                key = key.as_str(),
                part = part.unwrap_or_default().as_str(),
                for_ms;
                "prompt part quarantined, it crashed the servers that began to answer on it"
            );
        }
        let own = if origin == Origin::Own { new_reports } else { Vec::new() };
        self.share_crashes(own.into_iter().chain(voided).collect());
    }

    /// Sends reports to the sidecars that relay them.
    ///
    /// The sidecars depend on the cause, so that the same ones receive the reports of all
    /// entries on it.
    fn share_crashes(&self, reports: Vec<CrashReport>) {
        if reports.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut sidecars = self.upstreams.all();
        sidecars.retain(|upstream| upstream.has_current_feed(now));
        let mut by_cause: HashMap<CrashCause, Vec<CrashReport>> = HashMap::new();
        for report in reports {
            by_cause.entry(report.cause).or_default().push(report);
        }
        let mut by_sidecar: HashMap<u64, (Arc<Upstream>, Vec<CrashReport>)> =
            HashMap::new();
        for (cause, reports) in by_cause {
            sidecars.sort_unstable_by_key(|upstream| upstream.seed ^ cause.0);
            for upstream in sidecars.iter().take(RELAYS) {
                let new_entry = || (upstream.clone(), Vec::new());
                let (_, due) = by_sidecar.entry(upstream.seed).or_insert_with(new_entry);
                due.extend(&reports);
            }
        }
        if by_sidecar.is_empty() {
            log::debug!("no sidecar to relay crash reports");
        }
        for (upstream, reports) in by_sidecar.into_values() {
            for notice in CrashNotice::batches(&reports) {
                if !upstream.send_to_sidecar(Body::CrashNotice(notice)) {
                    let id = &upstream.id;
                    log::debug!("could not send crash reports to the sidecar of {id}");
                }
            }
        }
    }
}

/// Where a report was observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// This entry.
    Own,
    /// Another entry; a sidecar relayed the report.
    Relayed,
}

/// A run whose connection ended before its answer was complete.
#[derive(Debug)]
struct InterruptedRun {
    /// Whether the request was suspect when it was sent.
    was_suspect: bool,
    /// The parts of the prompt on which the run is evidence, each as a cause and by its id.
    part_causes: Vec<(CrashCause, u64)>,
    /// Kept until it is known whether the run crashed its server, so that no other run of
    /// the same parts begins meanwhile.
    trial: Option<Arc<Trial>>,
    attempt: Name,
    key: CrashCause,
    customer: Name,
    path: String,
    server: u64,
    sent_at: UnixMs,
    ran_ms: u64,
    has_head: bool,
    first_event_at: Option<UnixMs>,
    /// The time from the first event to the end of the run.
    streamed_ms: Option<u64>,
}

impl InterruptedRun {
    fn new(context: &RequestContext, upstream: &Upstream) -> Self {
        let customer = context.customer.as_ref();
        Self {
            attempt: context.call.attempt.clone(),
            key: context.cause(),
            customer: customer.map(|c| c.name.clone()).unwrap_or_default(),
            path: context.uri.path().to_string(),
            server: IncarnationHash::of(upstream).crash_id(context.earlier_crashes),
            sent_at: context.sent_at,
            ran_ms: 0,
            part_causes: {
                let causes = context.causes_of_run().into_iter();
                let with_id = |cause| Some((cause, context.part_causes.id_of(cause)?));
                causes.filter_map(with_id).collect()
            },
            trial: context.trial.clone(),
            was_suspect: context.was_suspect,
            has_head: context.run_has_head,
            first_event_at: context.run_first_event_at,
            streamed_ms: None,
        }
    }

    /// Returns the reports on the request and, if its server had just begun to answer, on
    /// the parts of its prompt that no server has answered on lately.
    fn reports(&self, known: &KnownCrashes, now: UnixMs) -> Vec<CrashReport> {
        let Self { key: cause, server, ran_ms, .. } = *self;
        let mut reports = vec![CrashReport { cause, server, ran_ms, is_void: false }];
        if self.was_suspect && known.is_confirming(cause, now) {
            reports.push(CrashReport::of_request_trial(cause, server));
        }
        // A request may be sent after the crash, before the entry knows of it.
        let has_begun = self.has_head || ran_ms >= MIN_RUN_MS;
        if !has_begun || self.streamed_ms.is_some_and(|ms| ms >= SOUND_AFTER_MS) {
            return reports;
        }
        let causes: Vec<_> = self.part_causes.iter().map(|(cause, _)| *cause).collect();
        let unserved = known.unserved(&causes, now);
        for cause in unserved.into_iter().take(MAX_REPORTED_PARTS) {
            let id = self.part_causes.iter().find(|(other, _)| *other == cause);
            id.inspect(|(_, id)| known.record_part_id(cause, *id));
            let is_trial = self.trial.is_some() && known.is_confirming(cause, now);
            reports.push(CrashReport::of_part(cause, server, is_trial));
        }
        reports
    }

    fn log(&self, upstream: &Upstream) {
        let mut parts: Vec<String> = Vec::new();
        for (_, id) in self.part_causes.iter().take(MAX_LOGGED_PARTS) {
            // A part in a trial may be there as two causes.
            let id = format!("{id:x}");
            if !parts.contains(&id) {
                parts.push(id);
            }
        }
        log::warn!(
            target: "crash",
            request = self.attempt.as_str(),
            key = self.key.to_string().as_str(),
            customer = self.customer.as_str(),
            path = self.path.as_str(),
            upstream = upstream.id.as_str(),
            parts = parts.join(",").as_str(),
            ran_ms = self.ran_ms,
            is_trial = self.trial.is_some(),
            streamed_ms = self.streamed_ms.map_or(-1, |ms| ms as i64);
            "the upstream crashed during a run"
        );
    }
}

/// How the crash of an upstream is confirmed.
#[derive(Debug, Clone, Copy)]
enum Confirmation {
    /// Its sidecar reports the crash, or a later start, in time.
    BySidecar { within: Duration },
    /// The upstream refuses a new connection.
    ByProbe,
}

async fn has_crashed(upstream: &Upstream, confirmation: Confirmation) -> bool {
    match confirmation {
        Confirmation::BySidecar { within } => {
            timeout(within, upstream.wait_until_lost()).await.is_ok()
        }
        Confirmation::ByProbe if upstream.has_ended() => true,
        Confirmation::ByProbe => {
            sleep(PROBE_AFTER).await;
            matches!(connect(upstream.address).await, Err(ConnectError::Refused))
        }
    }
}
