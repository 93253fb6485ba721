//! A single attempt of a call to a plain service.

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::RunState;
use bilberry_core::Scope;
use bilberry_core::SystemClock;
use bilberry_core::retry_after_ms;
use bilberry_node::PeerError;
use bilberry_platform::Platform;
use bilberry_wire::Body;
use bilberry_wire::Dispatch;
use bilberry_wire::PlainAnswer;
use bilberry_wire::RequestKind;
use futures_util::FutureExt;
use futures_util::future::Fuse;
use futures_util::future::FusedFuture;
use tokio::time::timeout;

use crate::ApiError;
use crate::Entry;
use crate::ErrorKind;
use crate::RouteRequest;
use crate::UpstreamProber;
use crate::entry::Admitted;
use crate::plain::MAX_ATTEMPTS;
use crate::plain::ServiceCall;

/// The outcome of an attempt.
pub(super) enum AttemptOutcome {
    Answered(PlainAnswer),
    NotRun(ApiError),
    Unknown(ApiError),
}

impl<P: Platform, K: UpstreamProber> Entry<P, K> {
    /// Makes one attempt at one upstream, which is added to `tried`.
    pub(super) async fn attempt(
        &self,
        admitted: &Admitted<P, K>,
        service_call: &ServiceCall,
        tried: &mut Vec<Name>,
    ) -> AttemptOutcome {
        let route = route_request(admitted, service_call, tried);
        let choice = self.router.route(&admitted.compiled, &route).await;
        let Some(choice) = choice else {
            let message = "no server of the service takes calls; come back later";
            let kind = ErrorKind::Unavailable;
            let error = ApiError::not_run(kind, "no_upstream", message)
                .retry_after(retry_after_ms(0, rand::random()));
            return AttemptOutcome::NotRun(error);
        };
        tried.push(choice.upstream.clone());
        self.node.metrics.upstream_calls.inc();
        self.node.events.record(&admitted.id, "sent", choice.upstream.as_str());
        let dispatch = dispatch(admitted, service_call);
        let sent = self.links.call(choice.address, Body::Dispatch(dispatch)).await;
        let mut call = match sent {
            Ok(call) => call,
            Err(error) => {
                self.router.record_failure(&choice.upstream);
                return link_error_outcome(error);
            }
        };
        let mut outcome = None;
        let other = Fuse::terminated();
        tokio::pin!(other);
        loop {
            let left = admitted.deadline.remaining(SystemClock.now());
            let message = tokio::select! {
                message = timeout(left, call.next()), if outcome.is_none() => message,
                found = &mut other, if !other.is_terminated() => match (found, outcome) {
                    (AttemptOutcome::Answered(answer), _) => {
                        return AttemptOutcome::Answered(answer);
                    }
                    (_, Some(outcome)) => return outcome,
                    (_, None) => {
                        outcome = None;
                        continue;
                    }
                },
            };
            let ended = match message {
                Ok(Ok(Body::PlainAnswer(answer))) => {
                    return AttemptOutcome::Answered(answer);
                }
                Ok(Ok(Body::Refused(refused))) if refused.may_have_run => {
                    AttemptOutcome::Unknown(ApiError::from_refusal(&refused))
                }
                Ok(Ok(Body::Refused(refused))) => {
                    AttemptOutcome::NotRun(ApiError::from_refusal(&refused))
                }
                Ok(Ok(_)) => continue,
                // Its server may have begun to run the call, and can still answer it.
                Ok(Err(PeerError::Silent(_))) => {
                    self.router.record_failure(&choice.upstream);
                    let may_repeat = service_call.is_repeatable()
                        && tried.len() < MAX_ATTEMPTS
                        && other.is_terminated();
                    if may_repeat && self.retry_budget.lock().unwrap().spend() {
                        let mut tried = tried.clone();
                        other.set(
                            Box::pin(async move {
                                self.attempt(admitted, service_call, &mut tried).await
                            })
                            .fuse(),
                        );
                    }
                    continue;
                }
                Ok(Err(error)) => {
                    self.router.record_failure(&choice.upstream);
                    link_error_outcome(error)
                }
                Err(_) => AttemptOutcome::Unknown(deadline_error()),
            };
            if other.is_terminated() {
                return ended;
            }
            outcome = Some(ended);
        }
    }
}

fn route_request<P: Platform, K: UpstreamProber>(
    admitted: &Admitted<P, K>,
    service_call: &ServiceCall,
    tried: &[Name],
) -> RouteRequest {
    let customer = &admitted.customer;
    RouteRequest {
        request: admitted.id.clone(),
        pool: service_call.service.pool.clone(),
        customer: customer.name.clone(),
        priority: customer.priority,
        scope: Scope {
            customer: customer.name.clone(),
            model: Name::new(),
            adapter: Name::new(),
            weights: Name::new(),
        },
        prompt: String::new(),
        required_weights: None,
        tried: tried.to_vec(),
    }
}

fn dispatch<P: Platform, K: UpstreamProber>(
    admitted: &Admitted<P, K>,
    service_call: &ServiceCall,
) -> Dispatch {
    Dispatch {
        request: admitted.id.clone(),
        attempt_token: rand::random(),
        kind: RequestKind::Plain.into(),
        customer: admitted.customer.name.to_string(),
        weight: admitted.customer.weight,
        priority: u32::from(admitted.customer.priority),
        deadline_unix_ms: admitted.deadline.0,
        method: service_call.method.clone(),
        path: service_call.path.clone(),
        content_type: service_call.content_type.clone(),
        body: service_call.body.clone(),
        idempotency_key: service_call.key.clone().unwrap_or_default(),
        ..Dispatch::default()
    }
}

fn link_error_outcome(error: PeerError) -> AttemptOutcome {
    match error {
        // Only if the frame was not sent is it certain that the call did not run.
        PeerError::Unreachable(_) => AttemptOutcome::NotRun(
            ApiError::not_run(
                ErrorKind::Unavailable,
                "upstream_unreachable",
                error.to_string(),
            )
            .retry_after(retry_after_ms(0, rand::random())),
        ),
        PeerError::Lost(_) | PeerError::Silent(_) | PeerError::Timeout(_) => {
            AttemptOutcome::Unknown(outcome_unknown_error(
                "upstream_lost",
                &error.to_string(),
            ))
        }
    }
}

pub(super) fn outcome_unknown_error(code: &str, message: &str) -> ApiError {
    ApiError::may_have_run(code, message).retry_after(retry_after_ms(0, rand::random()))
}

fn deadline_error() -> ApiError {
    let message = "the deadline passed; ask again with the same key for the outcome";
    let error = ApiError::not_run(ErrorKind::Deadline, "deadline_passed", message);
    error
        .with_run_state(RunState::MayHaveRun)
        .retry_after(retry_after_ms(0, rand::random()))
}
