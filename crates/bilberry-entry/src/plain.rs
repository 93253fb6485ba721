//! Serving calls to plain services, some of which run at most once.

mod attempt;
mod claimed;

use std::sync::Arc;

use bilberry_config::Service;
use bilberry_core::Name;
use bilberry_node::OutBody;
use bilberry_platform::Platform;
use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;

use self::attempt::Attempted;
use self::attempt::unclear;
use crate::ApiError;
use crate::Entry;
use crate::ErrorKind;
use crate::Knowledge;
use crate::entry::Admitted;
use crate::replay::pass_on;

/// The header by which a repeated call is known.
const KEY_HEADER: &str = "idempotency-key";

/// The longest key.
const KEY_BYTES: usize = 256;

/// How many attempts a repeatable call may have.
const MOST_ATTEMPTS: usize = 3;

/// A call to a plain service.
#[derive(Debug, Clone)]
struct PlainAsk {
    service: Arc<Service>,
    method: String,
    path: String,
    content_type: String,
    key: Option<String>,
    body: Bytes,
}

impl<P: Platform, K: Knowledge> Entry<P, K> {
    /// Takes a call in and serves it.
    pub(crate) async fn take_plain(
        self: Arc<Self>,
        request: Request<Incoming>,
        id: &str,
    ) -> Result<Response<OutBody>, ApiError> {
        let admitted = self.admit(request.headers(), id)?;
        let ask = self.read_plain(&admitted, request).await?;
        let once =
            ask.service.non_repeatable_methods.contains(&ask.method.as_str().into());
        // A call that may not be repeated goes on to its end and its record even
        // if the caller goes away: it would be left unclear for no reason.
        let entry = self.clone();
        let serving = self.tasks.spawn(async move {
            let answered = match (once, &ask.key) {
                (false, _) => entry.call_repeatable(&admitted, &ask).await,
                (true, Some(_)) => entry.call_claimed(&admitted, &ask).await,
                (true, None) => entry.call_once(&admitted, &ask).await,
            };
            entry.node.events.record(&admitted.id, "answered", word_of(&answered));
            answered
        });
        let answered = serving.await;
        answered.unwrap_or_else(|_| Err(unclear("internal", "the call was cut off")))
    }

    async fn read_plain(
        &self,
        admitted: &Admitted<P, K>,
        request: Request<Incoming>,
    ) -> Result<PlainAsk, ApiError> {
        let rest = request.uri().path().strip_prefix("/services/").unwrap_or_default();
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let known = admitted.compiled.services.get(&Name::from(name));
        let service = known
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
        let key = key_of(&request)?;
        let content_type = request.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        Ok(PlainAsk {
            service,
            method: request.method().to_string(),
            path,
            content_type: content_type.unwrap_or_default().to_string(),
            key,
            body: self.read(request).await?,
        })
    }

    /// Serves a call that may be repeated.
    async fn call_repeatable(
        &self,
        admitted: &Admitted<P, K>,
        ask: &PlainAsk,
    ) -> Result<Response<OutBody>, ApiError> {
        self.retry_budget.lock().unwrap().earn();
        let mut tried = Vec::new();
        loop {
            let error = match self.attempt(admitted, ask, &mut tried).await {
                Attempted::Answered(answer) => return Ok(pass_on(answer)),
                Attempted::NotRun(error) | Attempted::Unclear(error) => error,
            };
            let is_last = tried.len() >= MOST_ATTEMPTS || error.code == "no_upstream";
            if is_last || !self.retry_budget.lock().unwrap().spend() {
                return Err(error);
            }
        }
    }

    /// Serves a call that may not be repeated and has no key: one dispatch.
    async fn call_once(
        &self,
        admitted: &Admitted<P, K>,
        ask: &PlainAsk,
    ) -> Result<Response<OutBody>, ApiError> {
        match self.attempt(admitted, ask, &mut Vec::new()).await {
            Attempted::Answered(answer) => Ok(pass_on(answer)),
            Attempted::NotRun(error) | Attempted::Unclear(error) => Err(error),
        }
    }
}

fn key_of(request: &Request<Incoming>) -> Result<Option<String>, ApiError> {
    let Some(value) = request.headers().get(KEY_HEADER) else { return Ok(None) };
    match value.to_str() {
        Ok(key) if (1..=KEY_BYTES).contains(&key.len()) => Ok(Some(key.to_string())),
        _ => {
            let message = format!(
                "`Idempotency-Key` must have 1 to {KEY_BYTES} visible characters"
            );
            Err(ApiError::not_run(ErrorKind::Invalid, "invalid_key", message))
        }
    }
}

fn word_of(answered: &Result<Response<OutBody>, ApiError>) -> String {
    match answered {
        Ok(response) => response.status().to_string(),
        Err(error) => error.code.clone(),
    }
}
