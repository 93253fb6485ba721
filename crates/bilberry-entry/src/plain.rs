//! Handling of calls to plain services, including those that run at most once.

mod attempt;
mod claimed;

use std::sync::Arc;

use bilberry_config::Service;
use bilberry_core::Name;
use bilberry_node::ClientBody;
use bilberry_node::ClientCharge;
use bilberry_node::ResponseBody;
use bilberry_platform::Platform;
use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::header::CONTENT_TYPE;

use self::attempt::AttemptOutcome;
use self::attempt::outcome_unknown_error;
use crate::ApiError;
use crate::Entry;
use crate::ErrorKind;
use crate::UpstreamProber;
use crate::entry::Admitted;
use crate::replay::into_response;

/// The header that identifies repeats of a call.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The maximum length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// How many times its size a call holds: its body, and the frame that carries it.
const CALL_COPIES: u64 = 3;

/// The maximum number of attempts of a repeatable call.
const MAX_ATTEMPTS: usize = 3;

/// A call to a plain service.
#[derive(Debug, Clone)]
struct ServiceCall {
    service: Arc<Service>,
    method: String,
    path: String,
    content_type: String,
    key: Option<String>,
    body: Bytes,
    /// The charge for the body and its copies.
    _charge: Option<Arc<ClientCharge>>,
}

impl ServiceCall {
    /// Reports whether the call may run more than once.
    pub(super) fn is_repeatable(&self) -> bool {
        !self.service.non_repeatable_methods.contains(&self.method.as_str().into())
    }
}

impl<P: Platform, K: UpstreamProber> Entry<P, K> {
    /// Handles a call to a plain service.
    pub(crate) async fn handle_service_call(
        self: Arc<Self>,
        request: Request<ClientBody>,
        id: &str,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let admitted = self.admit(&request, id)?;
        let call = self.read_call(&admitted, request).await?;
        let non_repeatable = !call.is_repeatable();
        // The call runs in its own task, so that it completes and its outcome is
        // recorded even if the caller disconnects. Otherwise the outcome of a
        // non-repeatable call would be needlessly unknown.
        let entry = self.clone();
        let task = self.tasks.spawn(async move {
            let result = match (non_repeatable, &call.key) {
                (false, _) => entry.call_repeatable(&admitted, &call).await,
                (true, Some(_)) => entry.call_claimed(&admitted, &call).await,
                (true, None) => entry.call_once(&admitted, &call).await,
            };
            entry.node.events.record(&admitted.id, "answered", outcome_code(&result));
            result
        });
        let result = task.await;
        result.unwrap_or_else(|_| {
            Err(outcome_unknown_error("internal", "the call was cut off"))
        })
    }

    async fn read_call(
        &self,
        admitted: &Admitted<P, K>,
        request: Request<ClientBody>,
    ) -> Result<ServiceCall, ApiError> {
        let rest = request.uri().path().strip_prefix("/services/").unwrap_or_default();
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let configured = admitted.compiled.services.get(&Name::from(name));
        let service = configured
            .filter(|service| admitted.customer.services.contains(&service.name))
            .cloned()
            .ok_or_else(|| {
                let message = format!("service `{name}` is not yours to use");
                ApiError::not_run(ErrorKind::NotFound, "service_not_found", message)
            })?;
        let path = match request.uri().query() {
            Some(query) => format!("/{path}?{query}"),
            None => format!("/{path}"),
        };
        let key = idempotency_key(&request)?;
        let content_type = request.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let content_type = content_type.unwrap_or_default().to_string();
        let method = request.method().to_string();
        let body = self.read(request, CALL_COPIES).await?;
        Ok(ServiceCall {
            service,
            method,
            path,
            content_type,
            key,
            _charge: body.charge(),
            body: body.to_bytes(),
        })
    }

    /// Executes a repeatable call, with retries.
    async fn call_repeatable(
        &self,
        admitted: &Admitted<P, K>,
        call: &ServiceCall,
    ) -> Result<Response<ResponseBody>, ApiError> {
        self.retry_budget.lock().unwrap().add_credit();
        let mut tried = Vec::new();
        loop {
            let error = match self.attempt(admitted, call, &mut tried).await {
                AttemptOutcome::Answered(answer) => return Ok(into_response(answer)),
                AttemptOutcome::NotRun(error) | AttemptOutcome::Unknown(error) => error,
            };
            let is_last = tried.len() >= MAX_ATTEMPTS || error.code == "no_upstream";
            if is_last || !self.retry_budget.lock().unwrap().spend() {
                return Err(error);
            }
        }
    }

    /// Executes a call in a single attempt.
    async fn call_once(
        &self,
        admitted: &Admitted<P, K>,
        call: &ServiceCall,
    ) -> Result<Response<ResponseBody>, ApiError> {
        match self.attempt(admitted, call, &mut Vec::new()).await {
            AttemptOutcome::Answered(answer) => Ok(into_response(answer)),
            AttemptOutcome::NotRun(error) | AttemptOutcome::Unknown(error) => Err(error),
        }
    }
}

fn idempotency_key(request: &Request<ClientBody>) -> Result<Option<String>, ApiError> {
    let Some(value) = request.headers().get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len()) => {
            Ok(Some(key.to_string()))
        }
        _ => {
            let message = format!(
                "`Idempotency-Key` must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible \
                 characters"
            );
            Err(ApiError::not_run(ErrorKind::Invalid, "invalid_key", message))
        }
    }
}

fn outcome_code(result: &Result<Response<ResponseBody>, ApiError>) -> String {
    match result {
        Ok(response) => response.status().to_string(),
        Err(error) => error.code.clone(),
    }
}
