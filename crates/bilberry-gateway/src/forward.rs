//! Sends a request to upstreams until one of them responds.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::RequestStatus;
use bilberry_core::RetryKind;
use bilberry_platform::FramedBody;
use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::CallKind;
use crate::Connection;
use crate::Dialect;
use crate::Gateway;
use crate::KvCacheCopy;
use crate::Refusal;
use crate::RequestContext;
use crate::Reservation;
use crate::ResponseClass;
use crate::SendError;
use crate::Upstream;
use crate::run_query::AwaitedRun;
use crate::run_query::SLOW;
use crate::run_query::Suspicion;
use crate::run_query::wait_until_replaced;
use crate::stream_origin::RequiredSoftware;
use crate::successor::BegunRun;
use crate::successor::RunOutcome;

/// How many sends are allowed beyond the route's attempts if the request did not run.
///
/// A send to an upstream that is full or has other weights costs a round trip. Three such
/// sends in a row mean that this entry's view of the upstreams is wrong.
const EXTRA_SENDS: u32 = 2;

/// How long no requests are sent to an upstream that reported that it is full.
const BUSY_PAUSE_MS: u64 = 60;

/// The share of its target latency after which a plain call without a response is
/// retried.
const PLAIN_TIMEOUT_FACTOR: f64 = 0.7;

/// The timeout for the start of a stream, as a multiple of its target latency.
///
/// A stream's first event comes after the prefill of its prompt, so silence within the
/// target latency is no sign of a failure.
const STREAM_TIMEOUT_FACTOR: f64 = 2.0;

/// The same multiple for an engine that its sidecar reports as alive.
///
/// Such an engine is slow because it is loaded, and a second send would add to the load.
/// With the shorter timeout, a sixth of all streams are sent twice in an overload that
/// follows the loss of engines.
const LIVE_STREAM_TIMEOUT_FACTOR: f64 = 5.0;

/// The head of an upstream's response, with the body still to be read.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub http: Response<FramedBody>,
    pub connection: Connection,
    pub reservation: Reservation,
    /// What was received of the body before it is relayed.
    pub received: Bytes,
}

/// The outcome of one send.
enum SendOutcome {
    Responded(Box<UpstreamResponse>),
    /// The successor of a run that counted as lost responded.
    Replaced(Box<UpstreamResponse>),
    /// The request did not run, so it may be sent to another upstream.
    NotRun(&'static str),
    /// The request may have run or may still run.
    MayHaveRun(&'static str),
    /// The caller's deadline has passed.
    Expired,
    /// The caller is about to leave, and the host of its run shows no sign of life.
    HostSilent,
}

/// Why a run was not resumed from a copy of its KV cache.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub(crate) enum CopySendError {
    /// The engine was full or not reached, so the copy is unused.
    NotRun,
    /// The engine has other weights or was replaced, so it has no copy that can be used.
    CopyLost,
    /// The request may have run or may still run.
    MayHaveRun,
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Sends the request to upstreams until one responds.
    ///
    /// An error response is kept while other upstreams are tried, and relayed if none of
    /// them succeeds. Once a send may have run, no refusal claims that the request did
    /// not run: a later upstream's refusal covers only the send to that upstream.
    pub(crate) async fn forward(
        self: &Arc<Self>,
        context: &mut RequestContext,
    ) -> Result<UpstreamResponse, Refusal> {
        let mut failed = None;
        match (self.try_upstreams(context, &mut failed).await, failed) {
            (Ok(response), _) => Ok(response),
            (Err(_), Some(response)) => Ok(response),
            (Err(refusal), None) if context.runs > 0 && refusal.guarantees_not_run() => {
                Err(Refusal::OutcomeUnknown)
            }
            (Err(refusal), None) => Err(refusal),
        }
    }

    async fn try_upstreams(
        self: &Arc<Self>,
        context: &mut RequestContext,
        failed: &mut Option<UpstreamResponse>,
    ) -> Result<UpstreamResponse, Refusal> {
        loop {
            let reservation = self.acquire_reservation(context).await?;
            self.check_quarantine(context)?;
            self.check_stop(context)?;
            let upstream = reservation.upstream.clone();
            match self.send(context, reservation).await {
                SendOutcome::Responded(response)
                    if self.should_retry_elsewhere(context, &response) =>
                {
                    self.metrics.count_send("failed_there");
                    context.detail =
                        format!("status {}", response.http.status().as_u16());
                    if !self.take_resend(context).await {
                        return Ok(*response);
                    }
                    *failed = Some(*response);
                }
                SendOutcome::Responded(response) => {
                    self.metrics.count_send("answered");
                    return Ok(*response);
                }
                SendOutcome::NotRun(reason) => {
                    context.sent_to = None;
                    self.cancel_prefill(context, &upstream);
                    self.metrics.count_send(reason);
                    context.detail = reason.to_string();
                    self.check_resend(context).await?;
                }
                SendOutcome::Replaced(response) => return Ok(*response),
                SendOutcome::MayHaveRun(reason) => {
                    self.metrics.count_send(reason);
                    context.detail = reason.to_string();
                    context.runs += 1;
                    let answer_at = context.answer_due_at();
                    let resumed = tokio::select! {
                        resumed = self.resume_from_backup(context, None, &upstream, None) => {
                            resumed
                        }
                        _ = self.wait_until_answer_is_due(answer_at, &upstream) => {
                            return Err(Refusal::HostSilent);
                        }
                    };
                    if let Some(response) = resumed {
                        return Ok(response);
                    }
                    self.check_rerun(context).await?;
                }
                SendOutcome::Expired => {
                    self.metrics.count_send("expired");
                    return Err(Refusal::DeadlinePassed);
                }
                SendOutcome::HostSilent => {
                    self.metrics.count_send("host_silent");
                    return Err(Refusal::HostSilent);
                }
            }
        }
    }

    /// Reports whether an error response should be retried on another upstream.
    fn should_retry_elsewhere(
        &self,
        context: &mut RequestContext,
        response: &UpstreamResponse,
    ) -> bool {
        let failed = response.http.status().is_server_error();
        if !failed || !context.route.kind.is_repeatable() {
            return false;
        }
        context.runs += 1;
        self.may_run_after(context, context.runs) && self.has_time(context)
    }

    async fn check_resend(&self, context: &mut RequestContext) -> Result<(), Refusal> {
        let attempts_used_up = context.sends >= context.route.max_attempts + EXTRA_SENDS;
        // A request that was never sent put no load on any upstream.
        let costs_nothing =
            [NOT_CONNECTED, OTHER_START, QUARANTINED].contains(&context.detail.as_str());
        match !attempts_used_up
            && self.has_time(context)
            && (costs_nothing || self.take_resend(context).await)
        {
            true => Ok(()),
            false => Err(Refusal::NoCapacity),
        }
    }

    async fn check_rerun(&self, context: &mut RequestContext) -> Result<(), Refusal> {
        let allowed = self.may_run_after(context, context.runs) && self.has_time(context);
        match allowed && self.take_resend(context).await {
            true => Ok(()),
            false => Err(Refusal::OutcomeUnknown),
        }
    }

    /// Takes a retry for the next send; returns whether the budget had one.
    pub(crate) async fn take_resend(&self, context: &mut RequestContext) -> bool {
        context.retry = self.take_retry(&context.pool.name, RetryKind::Resend).await;
        if context.retry.is_none() {
            context.add_detail(NO_RETRY);
        }
        context.retry.is_some()
    }

    pub(crate) fn has_time(&self, context: &RequestContext) -> bool {
        !context.deadline.has_passed_at(self.clock.now())
    }

    async fn send(
        self: &Arc<Self>,
        context: &mut RequestContext,
        mut reservation: Reservation,
    ) -> SendOutcome {
        let upstream = reservation.upstream.clone();
        context.tried.push(upstream.clone());
        context.backup = self.choose_backup(context, &upstream);
        // An at-most-once call gets a new connection. On a reused one, a response to
        // another call, or a close during the send, would leave it unknown whether the
        // call ran.
        let reuse = context.route.kind != CallKind::NonRepeatable;
        let connected = self.connections.get(upstream.address, reuse).await;
        let mut connection = match connected {
            Ok(connection) => connection,
            Err(_) => {
                upstream.record_failure(self.clock.now());
                self.connections.close_idle_to(upstream.address);
                self.return_permit(context);
                return SendOutcome::NotRun(NOT_CONNECTED);
            }
        };
        let is_continued = context.start.required() != RequiredSoftware::Any;
        if is_continued && !self.is_known_incarnation(&mut connection, &upstream).await {
            self.return_permit(context);
            return SendOutcome::NotRun(OTHER_START);
        }
        // The causes of crashes may have become known since the upstream was chosen.
        if self.check_quarantine(context).is_err() {
            self.return_permit(context);
            return SendOutcome::NotRun(QUARANTINED);
        }
        if context.trial.is_some() {
            self.metrics.trials.inc();
        }
        let last_event = context.call.last_event;
        let request = self.request(context, &mut reservation, last_event, None);
        context.sends += 1;
        reservation.mark_sent();
        context.set_retry_sent(true);
        let now = self.clock.now();
        context.sent_at = now;
        context.sent_to = Some(upstream.clone());
        context.run_has_head = false;
        context.run_first_event_at = None;
        context.was_suspect = self.standing(context).status != RequestStatus::Good;
        context.earlier_crashes = self.earlier_crashes(context, &upstream);
        let repeatable = context.route.kind.is_repeatable();
        let left = context.deadline.remaining(now);
        let max_silence = response_timeout(context, upstream.has_current_feed(now));
        let was_slow = AtomicBool::new(false);
        let answer_at = context.answer_due_at();
        let awaited = AwaitedRun {
            upstream: &upstream,
            max_silence,
            is_observed: self.observes_runs(&context.pool.name),
            was_slow: &was_slow,
            retry: RetryKind::Resend,
            last_event: None,
        };
        let sending = async {
            tokio::select! {
                sent = connection.send(request) => sent,
                _ = wait_until_replaced(&upstream), if repeatable => {
                    Err(SendError::NoResponse("the upstream has ended".to_string()))
                }
            }
        };
        let responding = tokio::select! {
            responding = self.await_run(context, awaited, sending, is_failure) => responding,
            _ = sleep(left) => {
                context.count_unused_successors();
                note_if_slow(context, &was_slow);
                return SendOutcome::Expired;
            }
            _ = self.wait_until_answer_is_due(answer_at, &upstream) => {
                context.count_unused_successors();
                return SendOutcome::HostSilent;
            }
        };
        let sent = match responding {
            RunOutcome::Made(sent) => sent,
            RunOutcome::Replaced(begun) => {
                let BegunRun { context: successor, response, suspicion } = *begun;
                if suspicion == Suspicion::Down {
                    self.record_interrupted_run(context, &upstream);
                }
                self.metrics.count_send(suspicion.label());
                self.metrics.count_left_run("replaced");
                context.adopt(successor, suspicion);
                return SendOutcome::Replaced(Box::new(response));
            }
        };
        note_if_slow(context, &was_slow);
        match sent {
            Ok(response) => {
                context.run_has_head = true;
                context.retry = None;
                self.classify_response(context, response, connection, reservation)
            }
            Err(SendError::NotSent(_)) => {
                context.set_retry_sent(false);
                upstream.record_failure(self.clock.now());
                reservation.settle_part_uses();
                self.return_permit(context);
                SendOutcome::NotRun(NOT_CONNECTED)
            }
            Err(error @ (SendError::NoResponse(_) | SendError::InvalidResponse(_))) => {
                context.retry = None;
                upstream.record_failure(self.clock.now());
                self.record_interrupted_run(context, &upstream);
                self.connections.close_idle_to(upstream.address);
                SendOutcome::MayHaveRun(match error {
                    SendError::InvalidResponse(_) => "invalid_response",
                    _ => "no_answer",
                })
            }
        }
    }

    /// Reports whether the retry budget and the capacity of an untried upstream allow
    /// another send.
    pub(crate) fn can_send_elsewhere(
        &self,
        context: &RequestContext,
        retry: RetryKind,
    ) -> bool {
        let now = self.clock.now();
        let upstreams = self.upstreams.of(&context.pool.name);
        let required = context.start.required();
        let mut untried = upstreams
            .iter()
            .filter(|other| !context.has_tried(other) && required.allows(other));
        let has_capacity = |other: &Arc<Upstream>| {
            let offer = other.offer(now, &self.settings.data_centre, context.pool.engine);
            offer.usable && offer.free_slots > 0
        };
        self.may_take_retry(&context.pool.name, retry) && untried.any(has_capacity)
    }

    /// Sends the request to the engine that holds a backup of its KV cache.
    pub(crate) async fn send_to_backup(
        self: &Arc<Self>,
        context: &mut RequestContext,
        mut reservation: Reservation,
        last_event: Option<u64>,
        copy: KvCacheCopy,
    ) -> Result<UpstreamResponse, CopySendError> {
        let upstream = reservation.upstream.clone();
        context.tried.push(upstream.clone());
        let connected = self.connections.get(upstream.address, true).await;
        let mut connection = connected.map_err(|_| CopySendError::NotRun)?;
        if self.is_suspect(context) {
            context.add_detail("the request may crash the backup engine as well");
            return Err(CopySendError::MayHaveRun);
        }
        let request = self.request(context, &mut reservation, last_event, Some(copy));
        context.sends += 1;
        reservation.mark_sent();
        context.set_retry_sent(true);
        context.sent_at = self.clock.now();
        context.sent_to = Some(upstream.clone());
        context.run_has_head = false;
        context.run_first_event_at = None;
        context.was_suspect = self.standing(context).status != RequestStatus::Good;
        context.earlier_crashes = self.earlier_crashes(context, &upstream);
        let left = context.deadline.remaining(context.sent_at);
        let sent = timeout(left, connection.send(request)).await;
        if matches!(sent, Ok(Err(SendError::NotSent(_)))) {
            context.set_retry_sent(false);
        }
        context.retry = None;
        let response = match sent.map_err(|_| CopySendError::MayHaveRun)? {
            Ok(response) => response,
            Err(SendError::NotSent(_)) => {
                reservation.settle_part_uses();
                return Err(CopySendError::NotRun);
            }
            Err(SendError::NoResponse(_) | SendError::InvalidResponse(_)) => {
                self.record_interrupted_run(context, &upstream);
                return Err(CopySendError::MayHaveRun);
            }
        };
        context.run_has_head = true;
        match self.classify_response(context, response, connection, reservation) {
            SendOutcome::Responded(response) => Ok(*response),
            SendOutcome::NotRun(OTHER_WEIGHTS | REPLACED) => Err(CopySendError::CopyLost),
            SendOutcome::NotRun(_) => Err(CopySendError::NotRun),
            _ => Err(CopySendError::MayHaveRun),
        }
    }

    fn classify_response(
        &self,
        context: &RequestContext,
        response: Response<FramedBody>,
        connection: Connection,
        mut reservation: Reservation,
    ) -> SendOutcome {
        let verdict = self.dialect.classify_response(
            response.status(),
            response.headers(),
            &context.call.attempt,
            &reservation.upstream.id,
        );
        if !matches!(verdict, ResponseClass::Replaced | ResponseClass::Mismatched) {
            self.record_server_status(
                &reservation.upstream,
                response.status(),
                response.headers(),
                context.sent_at,
            );
        }
        if !matches!(verdict, ResponseClass::Mismatched | ResponseClass::Unsigned)
            && !response.status().is_success()
        {
            reservation.settle_part_uses();
        }
        match verdict {
            ResponseClass::Valid => {
                reservation.upstream.record_answer(self.clock.now());
                if !response.status().is_success() {
                    reservation.end_admission();
                }
                SendOutcome::Responded(Box::new(UpstreamResponse {
                    http: response,
                    connection,
                    reservation,
                    received: Bytes::new(),
                }))
            }
            ResponseClass::Busy => {
                reservation.upstream.record_busy(self.clock.now(), BUSY_PAUSE_MS);
                SendOutcome::NotRun("busy")
            }
            ResponseClass::OtherWeights => {
                reservation.upstream.record_busy(self.clock.now(), BUSY_PAUSE_MS);
                SendOutcome::NotRun(OTHER_WEIGHTS)
            }
            ResponseClass::Replaced => {
                reservation.upstream.leave();
                log::info!(
                    target: "upstream",
                    upstream = reservation.upstream.id.as_str();
                    "another upstream took over its address"
                );
                SendOutcome::NotRun(REPLACED)
            }
            ResponseClass::Mismatched => SendOutcome::MayHaveRun("crossed"),
            ResponseClass::Unsigned => SendOutcome::MayHaveRun("unsigned"),
        }
    }
}

/// Records in the request log that a slow run was waited for.
fn note_if_slow(context: &mut RequestContext, was_slow: &AtomicBool) {
    if was_slow.load(Ordering::Relaxed) {
        context.detail = SLOW.to_string();
    }
}

/// The detail of a request that was not sent again for want of a retry.
pub(crate) const NO_RETRY: &str = "the retry budget is exhausted";

/// The name, in logs and metrics, of a send of which no byte was written.
const NOT_CONNECTED: &str = "not_connected";

/// The reason for a request that its upstream rejected because of its weights.
const OTHER_WEIGHTS: &str = "other_weights";

/// The reason for a request that reached another upstream than the intended one.
const REPLACED: &str = "replaced";

/// The reason for a request that was not sent, as another process than the known one
/// answers at the upstream's address.
const OTHER_START: &str = "other_start";

/// The reason for a request that was not sent, as it or a part of its prompt was
/// quarantined meanwhile.
const QUARANTINED: &str = "quarantined";

/// Reports whether a send has failed, or was rejected in a way that another upstream may
/// not reject it.
fn is_failure(sent: &Result<Response<FramedBody>, SendError>) -> bool {
    match sent.as_ref().map(|response| response.status()) {
        Ok(StatusCode::MISDIRECTED_REQUEST | StatusCode::TOO_MANY_REQUESTS) => true,
        Ok(status) => status.is_server_error(),
        Err(_) => true,
    }
}

/// Returns how long to wait for the head of a response before the run is suspected.
fn response_timeout(context: &RequestContext, is_followed: bool) -> Duration {
    let factor = match context.route.kind.is_stream() {
        true if is_followed => LIVE_STREAM_TIMEOUT_FACTOR,
        true => STREAM_TIMEOUT_FACTOR,
        false => PLAIN_TIMEOUT_FACTOR,
    };
    Duration::from_millis((context.route.target_ms as f64 * factor) as u64)
}
