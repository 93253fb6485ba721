//! Finds the software version at which a caller's stream may go on.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::ORIGIN_OWNERS;
use bilberry_core::OriginAnswer;
use bilberry_core::OriginEvidence;
use bilberry_core::SoftwareId;
use bilberry_core::StreamOrigin;
use bilberry_core::UnixMs;
use bilberry_core::decide_origin;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::CallKind;
use crate::Dialect;
use crate::Gateway;
use crate::Refusal;
use crate::RequestContext;
use crate::Upstream;
use crate::stream_origin::RequiredSoftware;
use crate::stream_origin::client::attempt_hash;
use crate::stream_origin::client::stream_id;

/// The timeout for the replies of the sidecars that may hold an origin.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// The timeout for the other replies, once one has told the origin.
const OTHER_REPLY_TIMEOUT: Duration = Duration::from_millis(30);

/// How long a request waits for contact with a sidecar that should hold its origin.
const CONTACT_TIMEOUT_MS: u64 = 500;

/// How long a request waits until the list of servers is confirmed.
///
/// Callers give up a silent stream after two seconds or more, and an unchanged list is
/// confirmed every two seconds.
const CONFIRMATION_TIMEOUT_MS: u64 = 1_900;

/// The interval at which a waiting request checks again.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The interval at which origins are passed on to new owners.
const COMPLETE_INTERVAL: Duration = Duration::from_millis(100);

/// How long an origin is kept beyond the time limits of the request and of the route.
///
/// Some callers count their time limit from each attempt, and return when it is over.
const RETURN_MARGIN_MS: u64 = 60_000;

/// By how much longer than a route's timeout a single version must have been listed.
///
/// Covers the time until a caller returns, and servers that begin streams for entries with
/// an old list after they have left it.
const PROOF_MARGIN_MS: u64 = 10_000;

/// The longest time for which an origin is kept.
const MAX_LIFETIME_MS: u64 = 600_000;

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Passes the origins of streams on to new owners, indefinitely.
    pub(crate) async fn maintain_origins(&self) {
        loop {
            sleep(COMPLETE_INTERVAL).await;
            self.origins.complete(self.clock.now());
        }
    }

    /// Determines the software version at which a stream goes on that a caller takes up.
    ///
    /// The service may be another than that drawn for a new stream.
    pub(crate) async fn resolve_takeup(
        &self,
        context: &mut RequestContext,
    ) -> Result<(), Refusal> {
        if !context.call.is_takeup() || !context.route.kind.is_stream() {
            return Ok(());
        }
        let began = self.clock.now();
        let (found, source) = self.find_origin(context, began).await;
        let waited_ms = self.clock.now().ms_since(began);
        context.add_detail(&format!("take-up: {source} after {waited_ms} ms"));
        let Some(software) = found else {
            self.metrics.count_takeup("unknown");
            return Err(Refusal::StreamOriginUnknown);
        };
        context.start.taken_up_at = Some(software);
        self.select_pool(context, software);
        match self.lacks_required_software(context) {
            true => {
                self.metrics.count_takeup("no_server");
                Err(Refusal::StreamSoftwareGone)
            }
            false => {
                self.metrics.count_takeup(source);
                Ok(())
            }
        }
    }

    /// Returns the version that began a stream, and how it is known.
    async fn find_origin(
        &self,
        context: &RequestContext,
        began: UnixMs,
    ) -> (Option<SoftwareId>, &'static str) {
        let attempt = context.call.resumes.as_deref().map(attempt_hash);
        let max_stream_ms = context.route.timeout_ms + PROOF_MARGIN_MS;
        let mut evidence = OriginEvidence {
            answers: Vec::new(),
            is_named: attempt.is_some(),
            seen_alone: None,
            proven: None,
        };
        let mut may_learn_more = true;
        loop {
            if std::mem::take(&mut may_learn_more) {
                let (answers, lacks_owner) = self.ask_origin(context, attempt).await;
                evidence.answers = answers;
                let waited_ms = self.clock.now().ms_since(began);
                may_learn_more = lacks_owner && waited_ms < CONTACT_TIMEOUT_MS;
            }
            let now = self.clock.now();
            let history = self.software_history(&context.pool.name);
            evidence.seen_alone = history.confirmed_alone(began, now);
            evidence.proven = history.proven(began, max_stream_ms, now);
            if let Some(software) = decide_origin(&evidence) {
                let is_recorded =
                    evidence.answers.contains(&OriginAnswer::Known(software));
                let source = if is_recorded { "recorded" } else { "single_version" };
                return (Some(software), source);
            }
            // A confirmation of the list may decide.
            let is_confirmable = match evidence.agreed() {
                OriginAnswer::Known(software) => {
                    history.seen_alone(now) == Some(software)
                }
                OriginAnswer::Unknown => {
                    history.provable(began, max_stream_ms, now).is_some()
                }
                OriginAnswer::Conflicting => false,
            };
            let is_conflict = evidence.answers.contains(&OriginAnswer::Conflicting);
            let awaits_proof =
                is_confirmable && now.ms_since(began) < CONFIRMATION_TIMEOUT_MS;
            if is_conflict || !(may_learn_more || awaits_proof) {
                return (None, if is_conflict { "conflicting" } else { "unknown" });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns what this entry and the owners know of a stream, and whether an owner did
    /// not reply.
    async fn ask_origin(
        &self,
        context: &RequestContext,
        attempt: Option<u64>,
    ) -> (Vec<OriginAnswer>, bool) {
        let asked = self.origins.ask(context.key, attempt, self.clock.now());
        let mut answers = vec![asked.own];
        let owners_asked = asked.replies.len().min(ORIGIN_OWNERS);
        let mut owners_replied = 0;
        let mut pending = FuturesUnordered::new();
        for (rank, reply) in asked.replies.into_iter().enumerate() {
            pending.push(async move { (rank, reply.await) });
        }
        let mut deadline = Instant::now() + REPLY_TIMEOUT;
        loop {
            let is_told = answers.iter().any(|answer| *answer != OriginAnswer::Unknown);
            if is_told {
                deadline = deadline.min(Instant::now() + OTHER_REPLY_TIMEOUT);
            }
            if is_told && owners_replied == owners_asked {
                break;
            }
            let Ok(Some((rank, reply))) = timeout_at(deadline, pending.next()).await
            else {
                break;
            };
            if let Ok(reply) = reply {
                owners_replied += usize::from(rank < ORIGIN_OWNERS);
                answers.push(reply.into());
            }
        }
        (answers, asked.lacks_owner || owners_replied < owners_asked)
    }

    /// Selects the service of the route to which the software belongs.
    fn select_pool(&self, context: &mut RequestContext, software: SoftwareId) {
        let has_software = |pool: &Name| {
            let upstreams = self.upstreams.of(pool);
            upstreams.iter().any(|upstream| upstream.software_id() == Some(software))
        };
        if has_software(&context.pool.name) {
            return;
        }
        let mut targets = context.route.targets.iter().map(|(pool, _)| pool);
        let Some(pool) = targets.find(|pool| has_software(pool)) else { return };
        let policy = self.policy();
        if let Some(pool) = policy.and_then(|policy| policy.pools.get(pool).cloned()) {
            context.pool = pool;
        }
    }

    /// Reports whether no server is left of the software version that the request needs.
    pub(crate) fn lacks_required_software(&self, context: &RequestContext) -> bool {
        let required = context.start.required();
        if required == RequiredSoftware::Any || !self.upstreams.is_list_complete() {
            return false;
        }
        let now = self.clock.now();
        let upstreams = self.upstreams.of(&context.pool.name);
        let serves = |upstream: &Arc<Upstream>| {
            required.allows(upstream) && !upstream.is_down(now)
        };
        !upstreams.iter().any(serves)
    }

    /// Records the server that makes the first event which the caller receives.
    ///
    /// Must be called before the event is sent, so that no stream is broken off whose
    /// origin was never sent to its owners.
    pub(crate) fn record_origin(
        &self,
        context: &mut RequestContext,
        upstream: &Arc<Upstream>,
    ) {
        if context.start.first_server.is_some() {
            return;
        }
        let now = self.clock.now();
        context.start.first_server = Some((upstream.clone(), now));
        if let Some(software) = context.start.origin() {
            self.tell_origin(context, Some(software));
        }
    }

    /// Records that the origin of a stream is uncertain, as its server may have been
    /// replaced under its id before the first event.
    pub(crate) fn withdraw_uncertain_origin(&self, context: &RequestContext) {
        let is_uncertain = context.start.required() == RequiredSoftware::Unknown;
        let has_begun = context.start.first_server.is_some();
        if has_begun && is_uncertain {
            self.tell_origin(context, None);
        }
    }

    fn tell_origin(&self, context: &RequestContext, software: Option<SoftwareId>) {
        if context.route.kind != CallKind::ResumableStream {
            return;
        }
        let now = self.clock.now();
        let timeout_ms = context.call.timeout_ms.unwrap_or(0);
        let lifetime_ms = timeout_ms.max(context.route.timeout_ms) + RETURN_MARGIN_MS;
        let customer = context.customer.as_ref().map_or("", |customer| &customer.name);
        // A caller may name the first attempt or the last one.
        let attempts = [Some(&context.call.attempt), context.call.resumes.as_ref()];
        for attempt in attempts.into_iter().flatten() {
            let origin = StreamOrigin {
                stream: stream_id(context.key, attempt),
                software,
                customer: attempt_hash(customer) as u32,
                expires_at: now.plus_ms(lifetime_ms.min(MAX_LIFETIME_MS)),
            };
            self.origins.record(origin, now);
        }
    }
}
