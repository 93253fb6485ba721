//! Execution of calls to the plain service.

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::SystemClock;
use bilberry_core::UnixMs;
use bilberry_node::Reply;
use bilberry_platform::Platform;
use bilberry_wire::Body;
use bilberry_wire::Dispatch;

use crate::Engine;
use crate::Permit;
use crate::PlainError;
use crate::PlainRequest;
use crate::PlainService;
use crate::Sidecar;
use crate::Work;
use crate::refusals::may_have_run;
use crate::refusals::not_admitted;
use crate::refusals::not_run;

impl<P: Platform, E: Engine, S: PlainService> Sidecar<P, E, S> {
    /// Serves a call to the plain service; sends exactly one final message.
    pub(crate) async fn serve_plain(&self, dispatch: Dispatch, reply: Reply) {
        let deadline = UnixMs(dispatch.deadline_unix_ms);
        let work = Work {
            customer: Name::from(dispatch.customer.as_str()),
            weight: u64::from(dispatch.weight),
            priority: dispatch.priority.min(255) as u8,
            prefill_tokens: 0,
            output_tokens: 1,
            deadline,
        };
        let final_message =
            match self.admission.acquire_permit(work, SystemClock.now()).await {
                Ok(permit) => self.run_plain(&dispatch, &reply, permit).await,
                Err(refusal) => not_admitted(refusal),
            };
        reply.send(final_message).await;
    }

    async fn run_plain(
        &self,
        dispatch: &Dispatch,
        reply: &Reply,
        mut permit: Permit,
    ) -> Body {
        // A sidecar that was suspended may resume with calls that were reported to
        // their callers as lost. The deadline prevents it from running them.
        if UnixMs(dispatch.deadline_unix_ms).has_passed_at(SystemClock.now()) {
            return not_run("deadline_passed", "the deadline passed", None);
        }
        if !self.health.admit() {
            return not_run("upstream_down", "the service fails; come back later", None);
        }
        // Once it is notified of the start, the entry can no longer assume that the
        // call did not run.
        if !reply.send(Body::Started(true)).await {
            return not_run("caller_gone", "the caller went away", None);
        }
        self.node.events.record(&dispatch.request, "service_started", "");
        let request = PlainRequest {
            method: dispatch.method.clone(),
            path: dispatch.path.clone(),
            content_type: dispatch.content_type.clone(),
            body: dispatch.body.clone(),
            idempotency_key: dispatch.idempotency_key.clone(),
        };
        match self.service.call(request).await {
            Ok(answer) => {
                self.health.succeed();
                permit.record_served(0, 1);
                Body::PlainAnswer(answer)
            }
            Err(error @ PlainError::Unreachable(_)) => {
                self.health.fail();
                not_run("upstream_down", &error.to_string(), None)
            }
            Err(error @ PlainError::Lost(_)) => {
                self.health.fail();
                may_have_run("upstream_lost", &error.to_string())
            }
        }
    }
}
