//! Charges requests to their customers' quotas, which sidecars keep for all entries.

use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::QUOTA_OWNERS;
use bilberry_core::Quota;
use bilberry_core::QuotaCharge;
use bilberry_core::QuotaDecision;
use bilberry_core::RankedOwner;
use bilberry_core::combine_replies;
use bilberry_wire::QuotaRequest;
use bilberry_wire::QuotaResponse;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::xxh3_64;

use crate::Dialect;
use crate::Gateway;
use crate::Refusal;
use crate::RequestContext;
use crate::quota_client::OwnerAnswer;
use crate::quota_client::OwnerAnswers;
use crate::quota_client::QuotaQuestion;

/// The timeout for the first reply of the owners of a quota.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// The timeout for the other owner's reply, from the first reply on.
const OTHER_REPLY_TIMEOUT: Duration = Duration::from_millis(50);

/// How long replies are awaited that arrived while this process was suspended.
const LATE_REPLY_TIMEOUT: Duration = Duration::from_millis(2);

/// How long a sidecar that did not reply in time is not asked.
///
/// The connection to a sidecar that stays silent is closed about then.
pub(crate) const SILENT_PAUSE_MS: u64 = 1_500;

/// How long a request waits for enough owners to reply after contact was lost.
const CONTACT_TIMEOUT_MS: u64 = 600;

/// The interval at which a request without an owner looks for one.
pub(crate) const CONTACT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The number of entries assumed until an owner tells it.
const ASSUMED_ENTRIES: usize = 16;

/// The divisor of the time left to a caller that gives the longest `Retry-After` that it
/// follows.
const RETRY_AFTER_DIVISOR: u64 = 3;

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Charges the request to its customer's quota, if there is one.
    pub(crate) async fn charge_quota(
        &self,
        context: &mut RequestContext,
    ) -> Result<(), Refusal> {
        let Some(customer) = context.customer.clone() else { return Ok(()) };
        let Some(terms) = customer.quota else { return Ok(()) };
        let quota = Quota {
            rate_per_s: terms.rate_per_s,
            burst: terms.burst,
            version: context.config_version,
        };
        let quota = self.settings.quota_tolerance.widen(quota);
        let cost = terms.unit.cost(context.call.memory_tokens());
        let left_ms = context.deadline.ms_since(self.clock.now());
        let request = QuotaRequest {
            customer: customer.name.to_string(),
            config_version: quota.version,
            rate_per_s: quota.rate_per_s,
            burst: quota.burst,
            cost,
            key: context.key.0,
            max_wait_ms: left_ms / RETRY_AFTER_DIVISOR,
            is_takeover: false,
            entries: 0,
            version_age_ms: None,
            initial: 0.0,
            is_uniform: false,
        };
        let decision = match self.decide_at_owners(&request, context).await {
            Some(decision) => Some(decision),
            None => self
                .charge_isolated(&customer.name, quota, cost, context)
                .then_some(QuotaDecision::Admitted),
        };
        let outcome = match decision {
            Some(QuotaDecision::Admitted) => "admitted",
            Some(QuotaDecision::Denied { .. }) => "denied",
            None => "unknown",
        };
        self.metrics.count_quota(outcome, cost);
        match decision {
            Some(QuotaDecision::Admitted) => Ok(()),
            Some(QuotaDecision::Denied { wait_ms }) => {
                Err(Refusal::QuotaExceeded { wait_ms })
            }
            None => Err(Refusal::QuotaUnknown),
        }
    }

    /// Takes back the charge of a request that ended without having run.
    pub(crate) fn refund_unless_run(&self, context: &RequestContext) {
        let has_run = context.runs > 0 || context.sent_to.is_some();
        if let Some(charged) = context.quota.as_ref().filter(|_| !has_run) {
            self.quotas.refund(charged);
            self.metrics.count_quota("refunded", charged.cost);
        }
    }

    /// Asks owners until enough of them have replied; returns `None` if they don't.
    ///
    /// An owner that does not reply is replaced by the next one, so that all entries
    /// decide by the same owners.
    async fn decide_at_owners(
        &self,
        request: &QuotaRequest,
        context: &mut RequestContext,
    ) -> Option<QuotaDecision> {
        let customer = xxh3_64(request.customer.as_bytes());
        let began = self.clock.now();
        let mut answers = OwnerAnswers::new(&self.quotas, request);
        while answers.get().len() < QUOTA_OWNERS {
            let now = self.clock.now();
            let answered: Vec<u64> =
                answers.get().iter().map(|answer| answer.seed).collect();
            let mut owners =
                self.quotas.state.lock().unwrap().owners(customer, &answered, now);
            owners.truncate(QUOTA_OWNERS - answered.len());
            if owners.is_empty() && !answered.is_empty() {
                break;
            }
            self.ask_owners(request, &owners, &mut answers).await;
            let lost_at = self.quotas.state.lock().unwrap().contact_lost_at(began);
            if answers.get().len() < QUOTA_OWNERS
                && self.clock.now().ms_since(lost_at) >= CONTACT_TIMEOUT_MS
            {
                return None;
            }
            if owners.is_empty() {
                sleep(CONTACT_POLL_INTERVAL).await;
            }
        }
        self.combine_answers(answers, context)
    }

    /// Adds the answers that arrive in time.
    pub(crate) async fn ask_owners(
        &self,
        request: &QuotaRequest,
        owners: &[RankedOwner],
        answers: &mut OwnerAnswers<'_>,
    ) {
        let mut pending = self.send_charges(request, owners);
        let mut deadline = Instant::now() + FIRST_REPLY_TIMEOUT;
        while !pending.is_empty() {
            let next = match timeout_at(deadline, pending.next()).await {
                Ok(next) => next,
                Err(_) => match timeout(LATE_REPLY_TIMEOUT, pending.next()).await {
                    Ok(next) => next,
                    Err(_) => break,
                },
            };
            if let Some(Some(answer)) = next {
                let now = self.clock.now();
                self.quotas.state.lock().unwrap().record_answer(&answer, now);
                answers.add(answer);
                deadline = deadline.min(Instant::now() + OTHER_REPLY_TIMEOUT);
            }
        }
        let now = self.clock.now();
        let mut state = self.quotas.state.lock().unwrap();
        for owner in owners {
            let has_answered =
                answers.get().iter().any(|answer| answer.seed == owner.seed);
            if let Some(link) = state.links.get_mut(&owner.seed).filter(|_| !has_answered)
            {
                link.silent_until = now.plus_ms(SILENT_PAUSE_MS);
            }
        }
    }

    /// Sends the charge to each owner and returns the pending replies.
    fn send_charges(
        &self,
        request: &QuotaRequest,
        owners: &[RankedOwner],
    ) -> FuturesUnordered<impl Future<Output = Option<OwnerAnswer>> + use<D, C>> {
        let state = self.quotas.state.lock().unwrap();
        let entries = state.entries.current(self.clock.now()) as u64;
        let pending = FuturesUnordered::new();
        for &RankedOwner { seed, is_takeover } in owners {
            let Some(link) = state.links.get(&seed) else { continue };
            let request = QuotaRequest { is_takeover, entries, ..request.clone() };
            let (reply, response) = oneshot::channel();
            if link.questions.try_send(QuotaQuestion::Charge { request, reply }).is_ok() {
                let upstream = link.upstream.clone();
                pending.push(async move {
                    let response = response.await.ok()?;
                    Some(OwnerAnswer { seed, upstream, response })
                });
            }
        }
        pending
    }

    /// Decides from the answers.
    fn combine_answers(
        &self,
        answers: OwnerAnswers<'_>,
        context: &mut RequestContext,
    ) -> Option<QuotaDecision> {
        let replies: Vec<_> = answers.get().iter().map(OwnerAnswer::reply).collect();
        let decision = combine_replies(&replies)?;
        match decision {
            QuotaDecision::Admitted => context.quota = Some(answers.into_charge()),
            QuotaDecision::Denied { wait_ms } => {
                context.add_detail(&format!("quota: cost {}", answers.cost()));
                for OwnerAnswer { upstream, response, .. } in answers.get() {
                    let QuotaResponse { level, known_for_ms, .. } = response;
                    context.add_detail(&format!(
                        "level {level:.0} at {upstream}, known for {known_for_ms} ms"
                    ));
                }
                context.add_detail(&format!("wait {wait_ms} ms"));
            }
        }
        Some(decision)
    }

    /// Returns the number of entries that share quotas and limits.
    pub(crate) fn entries_sharing(&self) -> usize {
        let counted = self.entries.lock().unwrap().current();
        match self.quotas.state.lock().unwrap().entries.current(self.clock.now()) {
            0 => counted.unwrap_or(ASSUMED_ENTRIES),
            told => told,
        }
    }

    /// Charges the request to this entry's part of the quota.
    fn charge_isolated(
        &self,
        customer: &Name,
        quota: Quota,
        cost: f64,
        context: &mut RequestContext,
    ) -> bool {
        let now = self.clock.now();
        let entries = self.entries_sharing();
        let mut state = self.quotas.state.lock().unwrap();
        context.add_detail(&format!("quota: cost {cost}, no owner, {entries} entries"));
        let draw = rand::random();
        let charge = QuotaCharge {
            cost,
            key: context.key,
            max_wait_ms: 0,
            initial: 0.0,
            is_uniform: false,
        };
        state.isolated.charge(customer, quota, charge, entries, draw, now)
    }
}
