//! One attempt at one server of a plain service.

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::RunState;
use bilberry_core::Scope;
use bilberry_core::SystemClock;
use bilberry_core::retry_after_ms;
use bilberry_node::LinkError;
use bilberry_platform::Platform;
use bilberry_wire::Body;
use bilberry_wire::Dispatch;
use bilberry_wire::Kind;
use bilberry_wire::PlainAnswer;
use tokio::time::timeout;

use crate::ApiError;
use crate::Entry;
use crate::ErrorKind;
use crate::Knowledge;
use crate::RouteRequest;
use crate::entry::Admitted;
use crate::plain::PlainAsk;

/// How one attempt at a service ended.
pub(super) enum Attempted {
    Answered(PlainAnswer),
    NotRun(ApiError),
    Unclear(ApiError),
}

impl<P: Platform, K: Knowledge> Entry<P, K> {
    /// Makes one attempt at one upstream.
    pub(super) async fn attempt(
        &self,
        admitted: &Admitted<P, K>,
        ask: &PlainAsk,
        tried: &mut Vec<Name>,
    ) -> Attempted {
        let route = route_ask(admitted, ask, tried);
        let choice = self.router.route(&admitted.compiled, &route).await;
        let Some(choice) = choice else {
            let message = "no server of the service takes calls; come back later";
            let kind = ErrorKind::Unavailable;
            let error = ApiError::not_run(kind, "no_upstream", message)
                .retry_after(retry_after_ms(0, rand::random()));
            return Attempted::NotRun(error);
        };
        tried.push(choice.upstream.clone());
        self.node.metrics.upstream_calls.inc();
        self.node.events.record(&admitted.id, "sent", choice.upstream.as_str());
        let dispatch = dispatch(admitted, ask);
        let sent = self.links.call(choice.address, Body::Dispatch(dispatch)).await;
        let mut call = match sent {
            Ok(call) => call,
            Err(error) => {
                self.router.record_failure(&choice.upstream);
                return of_link_error(error);
            }
        };
        loop {
            let left = admitted.deadline.left(SystemClock.now());
            match timeout(left, call.next()).await {
                Ok(Ok(Body::PlainAnswer(answer))) => return Attempted::Answered(answer),
                Ok(Ok(Body::Refused(refused))) if refused.may_have_run => {
                    return Attempted::Unclear(ApiError::of_refusal(&refused));
                }
                Ok(Ok(Body::Refused(refused))) => {
                    return Attempted::NotRun(ApiError::of_refusal(&refused));
                }
                Ok(Ok(_)) => {}
                Ok(Err(error)) => {
                    self.router.record_failure(&choice.upstream);
                    return of_link_error(error);
                }
                Err(_) => return Attempted::Unclear(late()),
            }
        }
    }
}

fn route_ask<P: Platform, K: Knowledge>(
    admitted: &Admitted<P, K>,
    ask: &PlainAsk,
    tried: &[Name],
) -> RouteRequest {
    let customer = &admitted.customer;
    RouteRequest {
        request: admitted.id.clone(),
        pool: ask.service.pool.clone(),
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

fn dispatch<P: Platform, K: Knowledge>(
    admitted: &Admitted<P, K>,
    ask: &PlainAsk,
) -> Dispatch {
    Dispatch {
        request: admitted.id.clone(),
        attempt_token: rand::random(),
        kind: Kind::Plain.into(),
        customer: admitted.customer.name.to_string(),
        weight: admitted.customer.weight,
        priority: u32::from(admitted.customer.priority),
        deadline_unix_ms: admitted.deadline.0,
        method: ask.method.clone(),
        path: ask.path.clone(),
        content_type: ask.content_type.clone(),
        body: ask.body.clone(),
        idempotency_key: ask.key.clone().unwrap_or_default(),
        ..Dispatch::default()
    }
}

fn of_link_error(error: LinkError) -> Attempted {
    match error {
        // Only a frame that never left proves that nothing ran.
        LinkError::Unreachable(_) => Attempted::NotRun(
            ApiError::not_run(
                ErrorKind::Unavailable,
                "upstream_unreachable",
                error.to_string(),
            )
            .retry_after(retry_after_ms(0, rand::random())),
        ),
        LinkError::Lost(_) | LinkError::Late(_) => {
            Attempted::Unclear(unclear("upstream_lost", &error.to_string()))
        }
    }
}

pub(super) fn unclear(code: &str, message: &str) -> ApiError {
    ApiError::may_have_run(code, message).retry_after(retry_after_ms(0, rand::random()))
}

fn late() -> ApiError {
    let message = "the deadline passed; ask again with the same key for the outcome";
    let error = ApiError::not_run(ErrorKind::Deadline, "deadline_passed", message);
    error
        .with_run_state(RunState::MayHaveRun)
        .retry_after(retry_after_ms(0, rand::random()))
}
