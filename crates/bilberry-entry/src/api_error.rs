//! Errors returned to callers, in the format of the OpenAI API.

use bilberry_core::RunState;
use bilberry_node::ResponseBody;
use bilberry_node::json_response;
use bilberry_wire::Refused;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde::Serialize;

/// The kind of an error, which determines its HTTP status.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum ErrorKind {
    /// The request is malformed or invalid.
    Invalid,
    /// The API key or token is missing or unknown.
    Unauthenticated,
    /// The credentials do not permit the operation.
    Forbidden,
    /// The path, model, service or upstream does not exist.
    NotFound,
    /// The request is too large.
    TooLarge,
    /// The request was not received in time.
    SlowRequest,
    /// The request conflicts with another one, such as a call with the same key.
    Conflict,
    /// The idempotency key was used for another request.
    Mismatch,
    /// The customer exceeds its rate or concurrency limit.
    RateLimited,
    /// The request cannot be served at this time.
    Unavailable,
    /// The upstream failed.
    Upstream,
    /// The deadline passed.
    Deadline,
}

/// An error returned to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiError {
    /// The kind.
    pub kind: ErrorKind,
    /// A stable, machine-readable code.
    pub code: String,
    /// The cause and, where possible, a remedy.
    pub message: String,
    /// Whether the request ran.
    pub run_state: RunState,
    /// The time after which to retry; `None` if a retry does not help.
    pub retry_after_ms: Option<u64>,
}

/// The body of an error response.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    code: &'a str,
    param: Option<&'a str>,
    run_state: RunState,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl ApiError {
    /// Creates an error for a request that did not run.
    pub fn not_run(kind: ErrorKind, code: &str, message: impl Into<String>) -> Self {
        Self {
            kind,
            code: code.to_string(),
            message: message.into(),
            run_state: RunState::NotRun,
            retry_after_ms: None,
        }
    }

    /// Creates an error for a request that may have run.
    pub fn may_have_run(code: &str, message: impl Into<String>) -> Self {
        let run_state = RunState::MayHaveRun;
        Self { run_state, ..Self::not_run(ErrorKind::Upstream, code, message) }
    }

    /// Sets the time after which to retry.
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Sets whether the request ran.
    pub fn with_run_state(mut self, run_state: RunState) -> Self {
        self.run_state = run_state;
        self
    }

    /// Converts the rejection of a request by a sidecar.
    pub fn from_refusal(refused: &Refused) -> Self {
        let kind = match refused.upstream_status {
            0 if refused.may_have_run => ErrorKind::Upstream,
            0 => ErrorKind::Unavailable,
            _ => ErrorKind::Invalid,
        };
        let run_state = match refused.may_have_run {
            true => RunState::MayHaveRun,
            false => RunState::NotRun,
        };
        let retry_after_ms =
            (refused.upstream_status == 0).then_some(refused.retry_after_ms);
        let error = Self::not_run(kind, &refused.code, refused.message.clone());
        Self { run_state, retry_after_ms, ..error }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match self.kind {
            ErrorKind::Invalid => StatusCode::BAD_REQUEST,
            ErrorKind::Unauthenticated => StatusCode::UNAUTHORIZED,
            ErrorKind::Forbidden => StatusCode::FORBIDDEN,
            ErrorKind::NotFound => StatusCode::NOT_FOUND,
            ErrorKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ErrorKind::SlowRequest => StatusCode::REQUEST_TIMEOUT,
            ErrorKind::Conflict => StatusCode::CONFLICT,
            ErrorKind::Mismatch => StatusCode::UNPROCESSABLE_ENTITY,
            ErrorKind::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            ErrorKind::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            ErrorKind::Upstream => StatusCode::BAD_GATEWAY,
            ErrorKind::Deadline => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the JSON body.
    pub(crate) fn body(&self) -> ErrorBody<'_> {
        ErrorBody {
            error: ErrorFields {
                message: &self.message,
                kind: self.error_type(),
                code: &self.code,
                param: None,
                run_state: self.run_state,
                retry_after_ms: self.retry_after_ms,
            },
        }
    }

    /// Returns the HTTP response.
    pub fn response(&self) -> Response<ResponseBody> {
        let mut response = json_response(self.status(), &self.body());
        if let Some(ms) = self.retry_after_ms {
            let seconds = HeaderValue::from(ms.div_ceil(1_000));
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
        response
    }

    fn error_type(&self) -> &'static str {
        match self.kind {
            ErrorKind::Invalid
            | ErrorKind::NotFound
            | ErrorKind::TooLarge
            | ErrorKind::SlowRequest
            | ErrorKind::Conflict
            | ErrorKind::Mismatch => "invalid_request_error",
            ErrorKind::Unauthenticated => "authentication_error",
            ErrorKind::Forbidden => "permission_error",
            ErrorKind::RateLimited => "rate_limit_error",
            ErrorKind::Unavailable | ErrorKind::Upstream | ErrorKind::Deadline => {
                "server_error"
            }
        }
    }
}
