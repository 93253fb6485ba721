//! Calls that run at most once, identified by an idempotency key from the caller.

use bilberry_core::Claim;
use bilberry_core::ClaimState;
use bilberry_core::retry_after_ms;
use bilberry_node::ResponseBody;
use bilberry_platform::Platform;
use bilberry_platform::PlatformError;
use hyper::Response;

use crate::ApiError;
use crate::ClaimOutcome;
use crate::Claims;
use crate::Entry;
use crate::ErrorKind;
use crate::UpstreamProber;
use crate::entry::Admitted;
use crate::plain::ServiceCall;
use crate::plain::attempt::AttemptOutcome;
use crate::replay::into_response;
use crate::replay::recorded_answer;
use crate::replay::respond_to_repeat;

impl<P: Platform, K: UpstreamProber> Entry<P, K> {
    /// Executes a non-repeatable call under a claim on its key.
    pub(super) async fn call_claimed(
        &self,
        admitted: &Admitted<P, K>,
        call: &ServiceCall,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let key = call.key.as_deref().unwrap_or_default();
        let customer = &admitted.customer.name;
        let object = Claims::<P>::object_key(&call.service.name, customer, key);
        let claim = Claim {
            attempt: format!("{:032x}", rand::random::<u128>()),
            request_hash: request_hash(call),
            deadline: admitted.deadline,
            state: ClaimState::Running,
        };
        let version = match self.claims.claim(&object, &claim).await {
            Ok(ClaimOutcome::Acquired(version)) => version,
            Ok(ClaimOutcome::Existing(verdict)) => return respond_to_repeat(verdict),
            Err(error) => {
                return self
                    .handle_claim_failure(admitted, call, object, claim, error)
                    .await;
            }
        };
        self.node.events.record(&admitted.id, "claimed", &object);
        let outcome = self.attempt(admitted, call, &mut Vec::new()).await;
        let (state, result) = match outcome {
            AttemptOutcome::Answered(answer) => {
                (ClaimState::Done(recorded_answer(&answer)), Ok(into_response(answer)))
            }
            AttemptOutcome::NotRun(error) => (ClaimState::NotRun, Err(error)),
            AttemptOutcome::Unknown(error) => (ClaimState::Unclear, Err(error)),
        };
        let claim = Claim { state, ..claim };
        if self.claims.record(&object, &claim, version).await.is_err() {
            let claims = self.claims.clone();
            self.tasks.spawn(claims.record_with_retries(object, claim, version));
        }
        result
    }

    /// Executes or rejects a call whose claim could not be written.
    async fn handle_claim_failure(
        &self,
        admitted: &Admitted<P, K>,
        call: &ServiceCall,
        object: String,
        claim: Claim,
        error: PlatformError,
    ) -> Result<Response<ResponseBody>, ApiError> {
        // A claim whose write had no response may or may not be stored. If the call
        // ran anyway, a repeat of its key could find no claim and run as well.
        let may_be_stored = matches!(error, PlatformError::UnknownOutcome(_));
        if call.service.run_without_claim && !may_be_stored {
            return self.call_once(admitted, call).await;
        }
        if may_be_stored {
            let claims = self.claims.clone();
            self.tasks.spawn(claims.release_with_retries(object, claim));
        }
        let message = "the record that keeps this call to one run can't be written now; \
                       come back with the same key";
        let kind = ErrorKind::Unavailable;
        Err(ApiError::not_run(kind, "claim_unavailable", message)
            .retry_after(retry_after_ms(0, rand::random())))
    }
}

fn request_hash(call: &ServiceCall) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}
