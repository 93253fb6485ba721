//! The HTTP API for callers.

use std::sync::Arc;

use bilberry_config::BODY_COPIES;
use bilberry_core::retry_after_ms;
use bilberry_node::BodyLimits;
use bilberry_node::ClientBody;
use bilberry_node::HttpHandler;
use bilberry_node::ReadBodyError;
use bilberry_node::RequestBody;
use bilberry_node::ResponseBody;
use bilberry_node::json_response;
use bilberry_node::read_body;
use bilberry_platform::Platform;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use serde::Serialize;

use crate::ApiError;
use crate::CompletionStyle;
use crate::Entry;
use crate::ErrorKind;
use crate::UpstreamProber;
use crate::auth::authenticate;

/// The header that identifies a request in responses, logs and the timeline.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// The maximum length of a request ID set by the caller.
const MAX_REQUEST_ID_BYTES: usize = 64;

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'a str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'a str,
    owned_by: &'a str,
}

impl<P: Platform, K: UpstreamProber> HttpHandler for Entry<P, K> {
    async fn handle(
        self: Arc<Self>,
        request: Request<ClientBody>,
    ) -> Response<ResponseBody> {
        let id = request_id(request.headers());
        let result = self.clone().dispatch(request, &id).await;
        let mut response = match result {
            Ok(response) => response,
            Err(error) => {
                self.node.metrics.count_answer(&error.code);
                self.node.events.record(&id, "answered", error.code.clone());
                error.response()
            }
        };
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
    }
}

impl<P: Platform, K: UpstreamProber> Entry<P, K> {
    async fn dispatch(
        self: Arc<Self>,
        request: Request<ClientBody>,
        id: &str,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::POST, "/v1/chat/completions") => {
                self.handle_completion(request, id, CompletionStyle::Chat).await
            }
            (&Method::POST, "/v1/completions") => {
                self.handle_completion(request, id, CompletionStyle::Text).await
            }
            (&Method::GET, "/v1/models") => self.list_models(request.headers()),
            (_, path) if path.starts_with("/services/") => {
                self.handle_service_call(request, id).await
            }
            (_, "/v1/chat/completions" | "/v1/completions" | "/v1/models") => {
                let message = "this path takes another method; use POST for completions";
                Err(ApiError::not_run(ErrorKind::Invalid, "wrong_method", message))
            }
            _ => {
                let message = "there is no such path; see the callers' page of the docs";
                Err(ApiError::not_run(ErrorKind::NotFound, "unknown_path", message))
            }
        }
    }

    async fn handle_completion(
        self: Arc<Self>,
        request: Request<ClientBody>,
        id: &str,
        style: CompletionStyle,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let admitted = self.admit(&request, id)?;
        let body = self.read(request, BODY_COPIES).await?;
        self.complete(admitted, style, body).await
    }

    /// Reads the body of a request, within the limits on size, time and memory.
    ///
    /// The request holds `copies` times its size while it is served.
    pub(crate) async fn read(
        &self,
        request: Request<ClientBody>,
        copies: u64,
    ) -> Result<RequestBody, ApiError> {
        let limits = BodyLimits {
            max_bytes: self.limits.max_body_bytes,
            timeout_ms: self.limits.body_timeout_ms,
            copies,
        };
        read_body(request.into_body(), limits).await.map_err(body_error)
    }

    fn list_models(
        &self,
        headers: &HeaderMap,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let compiled = self.node.config.compiled();
        let customer = authenticate(&compiled, headers)?;
        let models = customer.models.iter().filter_map(|name| compiled.models.get(name));
        let entry = |id| ModelEntry { id, object: "model", owned_by: "bilberrypaddle" };
        let data = models.map(|model| entry(model.name.as_str())).collect();
        Ok(json_response(StatusCode::OK, &ModelList { object: "list", data }))
    }
}

fn body_error(error: ReadBodyError) -> ApiError {
    let (kind, code) = match error {
        ReadBodyError::TooLarge(_) => (ErrorKind::TooLarge, "body_too_large"),
        ReadBodyError::Timeout(_) => (ErrorKind::SlowRequest, "body_too_slow"),
        ReadBodyError::Incomplete => (ErrorKind::Invalid, "body_incomplete"),
        ReadBodyError::NoRoom(_) => (ErrorKind::Unavailable, "no_memory"),
    };
    let retry_after_ms = (code == "no_memory").then(|| retry_after_ms(0, rand::random()));
    let error = ApiError::not_run(kind, code, error.to_string());
    ApiError { retry_after_ms, ..error }
}

/// Returns the request ID set by the caller if it is valid, or a random one.
fn request_id(headers: &HeaderMap) -> String {
    let given = headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    let is_valid = |text: &&str| {
        !text.is_empty()
            && text.len() <= MAX_REQUEST_ID_BYTES
            && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
    };
    match given.filter(is_valid) {
        Some(id) => id.to_string(),
        None => format!("{:016x}", rand::random::<u64>()),
    }
}
