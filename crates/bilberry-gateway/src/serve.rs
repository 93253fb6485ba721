//! Handles a caller's request from arrival to response.

use std::sync::Arc;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::PartCauses;
use bilberry_core::RequestKey;
use bilberry_core::UnixMs;
use bilberry_node::BodyLimits;
use bilberry_node::ClientBody;
use bilberry_node::ClientConnection;
use bilberry_node::ClientTimeouts;
use bilberry_node::HttpHandler;
use bilberry_node::ReadBodyError;
use bilberry_node::RequestBody;
use bilberry_node::ResponseBody;
use bilberry_node::read_body;
use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::header::CONNECTION;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use xxhash_rust::xxh3::xxh3_64;

use crate::Dialect;
use crate::Gateway;
use crate::Policy;
use crate::Refusal;
use crate::RequestContext;
use crate::RequestMetadata;
use crate::forward::UpstreamResponse;
use crate::plain_response::PlainResponse;
use crate::relay::is_stream;
use crate::stream_origin::StreamStart;
use crate::successor::UnusedSuccessors;

/// The timeout for receiving a request body.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// The divisor of a caller's remaining time that gives the longest `Retry-After`.
///
/// Callers honour the header only up to a third of the time that they have left.
const RETRY_AFTER_DIVISOR: u64 = 4;

/// The divisor of a wait that gives the range over which retries after it are spread.
const WAIT_SPREAD_DIVISOR: u64 = 4;

/// The longest spread of the retries after a time named by a sidecar.
///
/// Callers that several entries rejected together get the same time, and one that returns
/// more than a second late is treated like a newcomer.
const ADMISSION_SPREAD_MAX_MS: u64 = 200;

/// The divisor of that time that gives the spread of the retries after it.
const ADMISSION_SPREAD_DIVISOR: u64 = 8;

/// The shortest and the longest `Retry-After` of a refused request, in milliseconds.
///
/// Capacity becomes free as running requests finish, some hundred milliseconds apart.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (100, 1_000);

impl<D: Dialect, C: Clock> HttpHandler for Gateway<D, C> {
    fn client_times(&self) -> Option<ClientTimeouts> {
        self.policy().map(|policy| policy.limits.times)
    }

    fn max_head_bytes(&self) -> Option<usize> {
        self.policy().map(|policy| policy.limits.header_bytes)
    }

    fn admits_connection(&self) -> bool {
        let admits = self.overload.lock().unwrap().admits(rand::random());
        if !admits {
            self.metrics.closed_connections.inc();
        }
        admits
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<ClientBody>,
    ) -> Response<ResponseBody> {
        let gateway = self.clone();
        let mut response = gateway.serve(request).await;
        if self.is_stopping() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    async fn serve(
        self: Arc<Self>,
        request: Request<ClientBody>,
    ) -> Response<ResponseBody> {
        let arrived_at = self.clock.now();
        let (head, body) = request.into_parts();
        let client = body.client().clone();
        let checked = self.decode_and_route(head, client, arrived_at);
        let (policy, mut context) = match checked {
            Ok(checked) => checked,
            Err((attempt, refusal)) => return self.refuse_early(&attempt, &refusal),
        };
        context.body = match self.read_request_body(body, &policy, &context).await {
            Ok(body) => body,
            Err(refusal) => return self.refuse_early(&context.call.attempt, &refusal),
        };
        if let Err(refusal) = self.check_stop(&context) {
            return self.refuse(&context, &refusal);
        }
        context.key = context.compute_key();
        context.part_causes = context.compute_part_causes();
        if let Err(refusal) = self.check_quarantine(&context) {
            return self.refuse(&context, &refusal);
        }
        if let Err(refusal) = self.resolve_takeup(&mut context).await {
            return self.refuse(&context, &refusal);
        }
        if let Err(refusal) = self.charge_quota(&mut context).await {
            return self.refuse(&context, &refusal);
        }
        self.count_request(&context.pool.name);
        let mut caller = CallerGuard { gateway: self.clone(), context: Some(context) };
        let outcome = caller.serve().await;
        let context = caller.context.take();
        match (outcome, context) {
            (ServeOutcome::Complete(response), Some(context)) => {
                self.record_outcome(&context, "served");
                response
            }
            (ServeOutcome::Stream(response), Some(context)) => {
                self.relay(context, *response)
            }
            (ServeOutcome::Partial(response, buffered), Some(context)) => {
                self.stream_partial(context, *response, buffered)
            }
            (ServeOutcome::Refused(refusal), Some(context)) => {
                self.refuse(&context, &refusal)
            }
            (_, None) => Refusal::NotReady.to_response(RETRY_AFTER_RANGE_MS.0),
        }
    }

    /// Decodes and routes the request, and checks that it is allowed.
    fn decode_and_route(
        &self,
        head: Parts,
        client: Arc<ClientConnection>,
        arrived_at: UnixMs,
    ) -> Result<(Arc<Policy>, RequestContext), (Name, Refusal)> {
        let call = match self.dialect.decode(&head.headers) {
            Ok(call) => call,
            Err(bad) => return Err((Name::new(), Refusal::BadRequest(bad))),
        };
        let attempt = call.attempt.clone();
        let created = self.create_job(head, client, call, arrived_at);
        created.map_err(|refusal| (attempt, refusal))
    }

    fn create_job(
        &self,
        head: Parts,
        client: Arc<ClientConnection>,
        call: RequestMetadata,
        arrived_at: UnixMs,
    ) -> Result<(Arc<Policy>, RequestContext), Refusal> {
        let policy = self.policy().ok_or(Refusal::NotReady)?;
        let max_bytes = policy.limits.header_bytes;
        if head_bytes(&head) > max_bytes {
            return Err(Refusal::HeadTooLarge(max_bytes));
        }
        let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
        let route = policy.route(host.unwrap_or_default(), head.uri.path());
        let route = route.cloned().ok_or(Refusal::NoRoute)?;
        let customer = match &policy.customers {
            Some(customers) if !route.public => {
                if !self.are_keys_confirmed() {
                    return Err(Refusal::KeysUnconfirmed);
                }
                let key = call.key.as_ref().ok_or(Refusal::UnknownKey)?;
                Some(customers.get(key).cloned().ok_or(Refusal::UnknownKey)?)
            }
            _ => None,
        };
        let name = customer.as_ref().map(|customer| customer.name.as_str());
        let scope = policy.scopes.isolated().scope_of(name);
        let target = route.target(xxh3_64(call.attempt.as_bytes()));
        let pool = target.and_then(|pool| policy.pools.get(pool)).cloned();
        let pool = pool.ok_or(Refusal::NoCapacity)?;
        let timeout_ms = call.timeout_ms.unwrap_or(route.timeout_ms);
        let deadline = arrived_at.plus_ms(timeout_ms.min(route.timeout_ms));
        let context = RequestContext {
            client,
            call,
            route,
            customer,
            scope,
            pool,
            config_version: policy.version,
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body: Default::default(),
            key: RequestKey(0),
            part_causes: PartCauses::default(),
            arrived_at,
            deadline,
            progressed_at: arrived_at,
            tried: Vec::new(),
            quota: None,
            permit: None,
            sends: 0,
            sent_at: arrived_at,
            sent_to: None,
            earlier_crashes: 0,
            trial: None,
            was_suspect: false,
            runs: 0,
            start: StreamStart::default(),
            backup: None,
            takeover_retry: None,
            retry: None,
            weights: None,
            weights_outdated_ms: None,
            predicted: None,
            prompt_keys: Vec::new(),
            prefill: None,
            prefix_wait_until: None,
            waited_ms: 0,
            waited_for_parts_ms: 0,
            admission_wait_ms: 0,
            admission_retry_ms: None,
            source: None,
            supplied_tokens: 0,
            first_byte_ms: None,
            run_has_head: false,
            run_first_event_at: None,
            left_runs: 0,
            unused_successors: UnusedSuccessors::default(),
            detail: String::new(),
        };
        Ok((policy, context))
    }

    async fn read_request_body(
        &self,
        body: ClientBody,
        policy: &Policy,
        context: &RequestContext,
    ) -> Result<RequestBody, Refusal> {
        let left_ms = context.deadline.ms_since(self.clock.now());
        let limits = BodyLimits {
            max_bytes: policy.limits.body_bytes,
            timeout_ms: left_ms.min(BODY_TIMEOUT_MS),
            copies: 1,
        };
        read_body(body, limits).await.map_err(|error| match error {
            ReadBodyError::TooLarge(max_bytes) => Refusal::BodyTooLarge(max_bytes),
            ReadBodyError::Timeout(_) => Refusal::DeadlineBeforeSend,
            ReadBodyError::Incomplete => Refusal::BodyIncomplete,
            // A stopping server gives up bodies that are not read whole.
            ReadBodyError::NoRoom(_) if self.is_stopping() => Refusal::Stopping,
            ReadBodyError::NoRoom(_) => Refusal::NoMemory,
        })
    }

    fn refuse_early(&self, attempt: &str, refusal: &Refusal) -> Response<ResponseBody> {
        self.metrics.count_request(refusal.code());
        if self.log_budget.spend(self.clock.now(), false) {
            log::info!(
                target: "request",
                request = attempt,
                config = self.policy().map_or(0, |policy| policy.version);
                "{}", refusal.code()
            );
        } else {
            self.metrics.dropped_lines.inc();
        }
        refusal.to_response(retry_after_ms(RETRY_AFTER_RANGE_MS.1))
    }

    fn refuse(
        &self,
        context: &RequestContext,
        refusal: &Refusal,
    ) -> Response<ResponseBody> {
        self.record_outcome(context, refusal.code());
        let now = self.clock.now();
        let left_ms = context.deadline.ms_since(now);
        let return_at = matches!(refusal, Refusal::NoCapacity)
            .then(|| self.reserve_return(&context.pool.name, now))
            .flatten();
        let outage_range_ms = self.outage_retry_range_ms(&context.pool.name, left_ms);
        let wait_ms = return_at.map(|return_at| return_at.ms_since(now));
        let range_ms = outage_range_ms.or(wait_ms.map(retry_range_after_wait_ms));
        refusal.to_response(match (refusal, range_ms) {
            (Refusal::NoCapacity, _) if context.admission_retry_ms.is_some() => {
                admission_retry_after_ms(context.admission_retry_ms, left_ms)
            }
            (
                Refusal::StreamOriginUnknown
                | Refusal::StreamSoftwareGone
                | Refusal::Stopping,
                _,
            ) => retry_after_ms(0),
            (Refusal::NoWeights, _) => late_retry_after_ms(left_ms),
            (Refusal::Quarantined { for_ms }, _) => *for_ms,
            (Refusal::PartQuarantined { for_ms, .. }, _) => *for_ms,
            (Refusal::QuotaExceeded { wait_ms }, _) => *wait_ms,
            (Refusal::NoCapacity, Some((min, max))) => rand::random_range(min..=max),
            _ => retry_after_ms(left_ms),
        })
    }
}

/// Returns a random retry delay for a refused caller.
///
/// The jitter keeps callers that were refused together from retrying together.
fn retry_after_ms(left_ms: u64) -> u64 {
    let (min, max) = RETRY_AFTER_RANGE_MS;
    let max = (left_ms / RETRY_AFTER_DIVISOR).clamp(min, max);
    rand::random_range(min.min(max)..=max)
}

/// Returns the range of retry delays if all upstreams are held back, and room is expected
/// in `wait_ms`.
fn retry_range_after_wait_ms(wait_ms: u64) -> (u64, u64) {
    (wait_ms, wait_ms + (wait_ms / WAIT_SPREAD_DIVISOR).max(RETRY_AFTER_RANGE_MS.0))
}

/// Returns the longest retry delay for a caller with `left_ms` remaining.
pub(crate) fn max_retry_after_ms(left_ms: u64) -> u64 {
    left_ms / RETRY_AFTER_DIVISOR
}

/// Returns the retry delay for a caller that sidecars rejected, with a small jitter.
///
/// Sidecars let it go ahead of newcomers when it returns, so it may return on time.
fn admission_retry_after_ms(retry_after_ms: Option<u64>, left_ms: u64) -> u64 {
    let (min, default) = RETRY_AFTER_RANGE_MS;
    let after_ms = retry_after_ms.unwrap_or(default).max(min);
    let spread_ms = (after_ms / ADMISSION_SPREAD_DIVISOR).min(ADMISSION_SPREAD_MAX_MS);
    let jitter_ms = rand::random_range(0..=spread_ms);
    (after_ms + jitter_ms).min(max_retry_after_ms(left_ms).max(min))
}

/// Returns a random retry delay for a caller for which no upstream has the weights.
///
/// No upstream is known to load them, so the delay is as long as callers honour: a caller
/// retries once, and an early retry would be refused again.
fn late_retry_after_ms(left_ms: u64) -> u64 {
    let max = (left_ms / RETRY_AFTER_DIVISOR).max(1);
    rand::random_range(max / 2..=max)
}

fn head_bytes(head: &Parts) -> usize {
    let line = head.uri.path_and_query().map_or(0, |path| path.as_str().len());
    let headers = head.headers.iter();
    line + headers
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum::<usize>()
}

/// The outcome of serving a request.
enum ServeOutcome {
    Complete(Response<ResponseBody>),
    Stream(Box<UpstreamResponse>),
    /// A plain response that is too large to be buffered, and the part that was read.
    Partial(Box<UpstreamResponse>, Bytes),
    Refused(Refusal),
}

/// Logs the request if its caller disconnects before the response starts.
///
/// The HTTP server drops the handler's future when the caller closes the connection, so
/// such a request would otherwise not be logged.
struct CallerGuard<D: Dialect, C: Clock> {
    gateway: Arc<Gateway<D, C>>,
    context: Option<RequestContext>,
}

impl<D: Dialect, C: Clock> CallerGuard<D, C> {
    /// Serves the request, or gives it a final answer before the entry ends.
    async fn serve(&mut self) -> ServeOutcome {
        let gateway = self.gateway.clone();
        tokio::select! {
            biased;
            outcome = self.serve_until_answered() => return outcome,
            () = gateway.wait_until_final_answers() => {}
        }
        let Some(context) = &mut self.context else {
            return ServeOutcome::Refused(Refusal::NotReady);
        };
        context.count_unused_successors();
        gateway.record_abandoned_run(context);
        ServeOutcome::Refused(match context.runs > 0 || context.sent_to.is_some() {
            true => Refusal::OutcomeUnknown,
            false => Refusal::Stopping,
        })
    }

    async fn serve_until_answered(&mut self) -> ServeOutcome {
        let Some(context) = &mut self.context else {
            return ServeOutcome::Refused(Refusal::NotReady);
        };
        loop {
            let response = match self.gateway.forward(context).await {
                Ok(response) => response,
                Err(refusal) => return ServeOutcome::Refused(refusal),
            };
            if is_stream(context, &response.http) {
                return ServeOutcome::Stream(Box::new(response));
            }
            match self.gateway.buffer_response(context, response).await {
                Ok(PlainResponse::Complete(response)) => {
                    return ServeOutcome::Complete(response);
                }
                Ok(PlainResponse::Partial(response, buffered)) => {
                    return ServeOutcome::Partial(response, buffered);
                }
                Err(Refusal::OutcomeUnknown) => {
                    context.runs += 1;
                    let again = self.gateway.may_run_after(context, context.runs)
                        && self.gateway.take_resend(context).await;
                    if !again {
                        return ServeOutcome::Refused(Refusal::OutcomeUnknown);
                    }
                }
                Err(refusal) => return ServeOutcome::Refused(refusal),
            }
        }
    }
}

impl<D: Dialect, C: Clock> Drop for CallerGuard<D, C> {
    fn drop(&mut self) {
        if let Some(context) = &mut self.context {
            context.count_unused_successors();
            self.gateway.count_left_caller(context);
            self.gateway.record_abandoned_run(context);
            self.gateway.record_outcome(context, "caller_left");
        }
    }
}
