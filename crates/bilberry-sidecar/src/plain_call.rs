//! Running one call on the plain service.

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
use crate::answers::may_have_run;
use crate::answers::not_admitted;
use crate::answers::not_run;

impl<P: Platform, E: Engine, S: PlainService> Sidecar<P, E, S> {
    /// Serves one plain call and ends it with exactly one last message.
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
        let last = match self.admission.enter(work, SystemClock.now()).await {
            Ok(permit) => self.run_plain(&dispatch, &reply, permit).await,
            Err(refusal) => not_admitted(refusal),
        };
        reply.send(last).await;
    }

    async fn run_plain(
        &self,
        dispatch: &Dispatch,
        reply: &Reply,
        mut permit: Permit,
    ) -> Body {
        // A sidecar that was frozen thaws with calls whose callers were told long
        // ago that they are lost. The stored deadline keeps it from running them.
        if UnixMs(dispatch.deadline_unix_ms).has_passed_at(SystemClock.now()) {
            return not_run("deadline_passed", "the deadline passed", None);
        }
        if !self.health.admit() {
            return not_run("upstream_down", "the service fails; come back later", None);
        }
        // From here on the entry can't say "not run" of itself.
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
