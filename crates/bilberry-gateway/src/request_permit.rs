//! Permits for requests to servers that limit what they accept from all entries.
//!
//! The limit of a server is a quota whose bucket the owners of customer quotas keep. A
//! request is charged to it after placement and before it is sent.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::FIRST_CONTACT_MS;
use bilberry_core::LimitReport;
use bilberry_core::Name;
use bilberry_core::QUOTA_OWNERS;
use bilberry_core::Quota;
use bilberry_core::QuotaDecision;
use bilberry_core::RankedOwner;
use bilberry_core::UnixMs;
use bilberry_core::combine_replies;
use bilberry_wire::LimitNotice;
use bilberry_wire::QuotaRequest;
use hyper::HeaderMap;
use hyper::StatusCode;
use tokio::time::sleep;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use crate::Dialect;
use crate::Gateway;
use crate::RequestContext;
use crate::Upstream;
use crate::quota::CONTACT_POLL_INTERVAL;
use crate::quota_client::ChargedQuota;
use crate::quota_client::OwnerAnswer;
use crate::quota_client::OwnerAnswers;
use crate::quota_client::QuotaQuestion;

/// How long a request waits for the owners of a limit.
///
/// Another server can take the request, so the wait is much shorter than for a quota.
const DECISION_TIMEOUT: Duration = Duration::from_millis(100);

/// The time until the next charge after owners did not reply.
const UNDECIDED_WAIT_MS: u64 = 250;

/// How often owners that do not reply are replaced before a charge is given up.
const MAX_OWNER_ROUNDS: usize = 3;

/// The longest time until the next charge at an entry that reaches no owner.
const MAX_ISOLATED_WAIT_MS: u64 = 5_000;

/// How owners of a bucket are asked.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub(crate) enum OwnerRounds {
    /// Once; without all replies the charge is denied, as another server can take the
    /// request.
    One,
    /// Those that do not reply are replaced, and an entry that has just started waits for
    /// the first contact.
    Several,
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Records what the response to a request says about its server, and passes the limit
    /// of the server on.
    pub(crate) fn record_server_status(
        &self,
        upstream: &Upstream,
        status: StatusCode,
        headers: &HeaderMap,
        sent_at: UnixMs,
    ) {
        let now = self.clock.now();
        let server_status = self.dialect.server_status(status, headers);
        upstream.record_status(&server_status, now);
        self.record_host_load(upstream, &server_status);
        let report = LimitReport::from_response(server_status.limit, sent_at, now);
        self.record_limit(upstream, report);
    }

    /// As `record_server_status`, for the response to a control call.
    ///
    /// Servers may report their limit only to requests, so the limit does not end here.
    pub(crate) fn record_control_status(
        &self,
        upstream: &Upstream,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        let now = self.clock.now();
        let server_status = self.dialect.server_status(status, headers);
        upstream.record_status(&server_status, now);
        let report = LimitReport::from_response(server_status.limit, now, now);
        self.record_limit(upstream, report.filter(|report| report.limit.is_some()));
    }

    fn record_limit(&self, upstream: &Upstream, report: Option<LimitReport>) {
        let now = self.clock.now();
        if let Some(report) = report.filter(|report| upstream.record_limit(*report, now))
        {
            self.publish_limit(upstream, report);
        }
    }

    /// Applies a limit that another entry passed on.
    pub(crate) fn apply_limit_notice(&self, notice: &LimitNotice) {
        let now = self.clock.now();
        let Some(report) = notice.report(now) else { return };
        self.upstreams.apply_limit(&notice.server, notice.incarnation(), report, now);
    }

    /// Sends a report to the owners of the limit, which relay it to all entries.
    fn publish_limit(&self, upstream: &Upstream, report: LimitReport) {
        let now = self.clock.now();
        let notice = LimitNotice::new(&upstream.id, upstream.incarnation(), report, now);
        let state = self.quotas.state.lock().unwrap();
        let owners =
            state.owners(xxh3_64(bucket_name(&upstream.id).as_bytes()), &[], now);
        for owner in owners.iter().filter_map(|owner| state.links.get(&owner.seed)) {
            // A notice that is lost is repeated while the server reports the limit.
            let _ = owner.questions.try_send(QuotaQuestion::Limit(notice.clone()));
        }
    }

    /// Charges a request to the limit of the upstream, if it has one; returns whether the
    /// request may be sent there.
    ///
    /// A request that the upstream's sidecar has admitted needs no free slot.
    pub(crate) async fn acquire_permit(
        &self,
        context: &mut RequestContext,
        upstream: &Arc<Upstream>,
        is_admitted: bool,
    ) -> bool {
        context.permit = None;
        let report = upstream.limit_report();
        let Some((limit, report)) = report.and_then(|known| Some((known.limit?, known)))
        else {
            return true;
        };
        upstream.await_permit(self.clock.now());
        let quota = limit.quota(report.at);
        let asked_at = self.clock.now();
        let request = QuotaRequest {
            customer: bucket_name(&upstream.id),
            config_version: quota.version,
            rate_per_s: quota.rate_per_s,
            burst: quota.burst,
            cost: 1.0,
            key: context.key.0,
            version_age_ms: Some(asked_at.0.saturating_sub(quota.version)),
            ..QuotaRequest::default()
        };
        let (decision, charged) = self.charge_bucket(request, OwnerRounds::One).await;
        context.permit = charged;
        let now = self.clock.now();
        match decision {
            QuotaDecision::Admitted => {
                self.metrics.count_permit("admitted");
                upstream.record_permit();
                self.waiting.record_admitted(&context.pool.name, now);
                self.upstreams.changed.notify_waiters();
            }
            QuotaDecision::Denied { wait_ms } => {
                self.metrics.count_permit("denied");
                upstream.record_permit_denied(wait_ms, self.entries_sharing(), now);
                context.add_detail(&format!(
                    "{} accepts {limit}, the next in {wait_ms} ms",
                    upstream.id
                ));
                return false;
            }
        }
        // The upstream may have filled up or left meanwhile.
        let place = &self.settings.data_centre;
        let offer = upstream.offer(now, place, context.pool.engine);
        let may_send = offer.usable && (is_admitted || offer.free_slots > 0);
        if !may_send {
            self.return_permit(context);
        }
        may_send
    }

    /// Returns the permit of a request that did not reach its upstream.
    pub(crate) fn return_permit(&self, context: &mut RequestContext) {
        if let Some(permit) = context.permit.take() {
            self.quotas.refund(&permit);
        }
    }

    /// Makes a charge to a bucket that owners keep for all entries, or to this entry's part
    /// of it if no owner is in contact.
    pub(crate) async fn charge_bucket(
        &self,
        request: QuotaRequest,
        rounds: OwnerRounds,
    ) -> (QuotaDecision, Option<ChargedQuota>) {
        let now = self.clock.now();
        let bucket = xxh3_64(request.customer.as_bytes());
        let mut owners = self.quotas.state.lock().unwrap().owners(bucket, &[], now);
        if owners.is_empty() && rounds == OwnerRounds::Several {
            owners = self.await_first_owners(bucket).await;
        }
        if owners.is_empty() {
            return (self.charge_bucket_isolated(&request), None);
        }
        let mut answers = OwnerAnswers::new(&self.quotas, &request);
        let have_replied = match rounds {
            OwnerRounds::Several => self.ask_owners_in_turn(&request, &mut answers).await,
            OwnerRounds::One => {
                let asking = self.ask_owners(&request, &owners, &mut answers);
                let _ = timeout(DECISION_TIMEOUT, asking).await;
                answers.get().len() >= owners.len()
            }
        };
        if !have_replied {
            return (QuotaDecision::Denied { wait_ms: UNDECIDED_WAIT_MS }, None);
        }
        let replies: Vec<_> = answers.get().iter().map(OwnerAnswer::reply).collect();
        match combine_replies(&replies) {
            Some(QuotaDecision::Admitted) => {
                (QuotaDecision::Admitted, Some(answers.into_charge()))
            }
            Some(denied) => (denied, None),
            None => (QuotaDecision::Denied { wait_ms: UNDECIDED_WAIT_MS }, None),
        }
    }

    /// Asks the owners of a bucket, and others in place of those that do not reply; returns
    /// whether as many replied as are expected to.
    async fn ask_owners_in_turn(
        &self,
        request: &QuotaRequest,
        answers: &mut OwnerAnswers<'_>,
    ) -> bool {
        let bucket = xxh3_64(request.customer.as_bytes());
        for _ in 0..MAX_OWNER_ROUNDS {
            let now = self.clock.now();
            let answered: Vec<u64> = answers.get().iter().map(|it| it.seed).collect();
            let mut owners =
                self.quotas.state.lock().unwrap().owners(bucket, &answered, now);
            owners.truncate(QUOTA_OWNERS - answered.len());
            if owners.is_empty() {
                break;
            }
            self.ask_owners(request, &owners, answers).await;
        }
        !answers.get().is_empty()
    }

    /// Waits until an entry that has just started is in contact with owners of a bucket.
    ///
    /// What it may use without them is used in addition to what they grant to others.
    async fn await_first_owners(&self, bucket: u64) -> Vec<RankedOwner> {
        loop {
            let now = self.clock.now();
            let (owners, started_at) = {
                let state = self.quotas.state.lock().unwrap();
                (state.owners(bucket, &[], now), state.isolated.started_at())
            };
            if !owners.is_empty() || now.ms_since(started_at) >= FIRST_CONTACT_MS {
                return owners;
            }
            sleep(CONTACT_POLL_INTERVAL).await;
        }
    }

    /// Makes a charge to this entry's part of a bucket.
    fn charge_bucket_isolated(&self, request: &QuotaRequest) -> QuotaDecision {
        let QuotaRequest { rate_per_s, burst, .. } = *request;
        let quota = Quota { rate_per_s, burst, version: request.config_version };
        let bucket = Name::from(request.customer.as_str());
        let entries = self.entries_sharing();
        let now = self.clock.now();
        let mut state = self.quotas.state.lock().unwrap();
        let draw = rand::random();
        let charge = request.charge();
        match state.isolated.charge(&bucket, quota, charge, entries, draw, now) {
            true => QuotaDecision::Admitted,
            false => {
                let wait_ms = (entries as f64 / quota.rate_per_s * 1_000.0) as u64;
                QuotaDecision::Denied { wait_ms: wait_ms.min(MAX_ISOLATED_WAIT_MS) }
            }
        }
    }
}

/// Returns the name of the bucket of a server's limit.
///
/// Begins with a character that no customer's name contains.
fn bucket_name(server: &str) -> String {
    format!("\0server/{server}")
}
