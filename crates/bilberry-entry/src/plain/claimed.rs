//! Calls that run at most once, under the key that their caller gave them.

use bilberry_core::Claim;
use bilberry_core::ClaimState;
use bilberry_core::retry_after_ms;
use bilberry_node::OutBody;
use bilberry_platform::Platform;
use bilberry_platform::PlatformError;
use hyper::Response;

use crate::ApiError;
use crate::ClaimOutcome;
use crate::Claims;
use crate::Entry;
use crate::ErrorKind;
use crate::Knowledge;
use crate::entry::Admitted;
use crate::plain::PlainAsk;
use crate::plain::attempt::Attempted;
use crate::replay::pass_on;
use crate::replay::recorded;
use crate::replay::repeat_answer;

impl<P: Platform, K: Knowledge> Entry<P, K> {
    /// Serves a call that may not be repeated, under its key.
    pub(super) async fn call_claimed(
        &self,
        admitted: &Admitted<P, K>,
        ask: &PlainAsk,
    ) -> Result<Response<OutBody>, ApiError> {
        let key = ask.key.as_deref().unwrap_or_default();
        let customer = &admitted.customer.name;
        let object = Claims::<P>::object_key(&ask.service.name, customer, key);
        let claim = Claim {
            attempt: format!("{:032x}", rand::random::<u128>()),
            request_hash: request_hash(ask),
            deadline: admitted.deadline,
            state: ClaimState::Running,
        };
        let version = match self.claims.claim(&object, &claim).await {
            Ok(ClaimOutcome::Acquired(version)) => version,
            Ok(ClaimOutcome::Existing(verdict)) => return repeat_answer(verdict),
            Err(error) => {
                return self.without_claim(admitted, ask, object, claim, error).await;
            }
        };
        self.node.events.record(&admitted.id, "claimed", &object);
        let attempted = self.attempt(admitted, ask, &mut Vec::new()).await;
        let (state, answered) = match attempted {
            Attempted::Answered(answer) => {
                (ClaimState::Done(recorded(&answer)), Ok(pass_on(answer)))
            }
            Attempted::NotRun(error) => (ClaimState::NotRun, Err(error)),
            Attempted::Unclear(error) => (ClaimState::Unclear, Err(error)),
        };
        let claim = Claim { state, ..claim };
        if self.claims.record(&object, &claim, version).await.is_err() {
            let claims = self.claims.clone();
            self.tasks.spawn(claims.record_with_retries(object, claim, version));
        }
        answered
    }

    /// Serves or refuses a call while the platform can't keep its claim.
    async fn without_claim(
        &self,
        admitted: &Admitted<P, K>,
        ask: &PlainAsk,
        object: String,
        claim: Claim,
        error: PlatformError,
    ) -> Result<Response<OutBody>, ApiError> {
        // A claim whose answer was lost may stand; running without it could meet
        // a repeat of the key that finds no claim and runs as well.
        let may_stand = matches!(error, PlatformError::Unclear(_));
        if ask.service.run_without_claim && !may_stand {
            return self.call_once(admitted, ask).await;
        }
        if may_stand {
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

fn request_hash(ask: &PlainAsk) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [ask.method.as_bytes(), ask.path.as_bytes(), &ask.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}
