//! One request to an upstream over HTTP, and what its failure proves.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use tokio::time::timeout;

use crate::EngineError;
use crate::PlainError;

/// A client whose requests have whole bodies.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Why a request got no answer.
#[derive(Debug)]
pub(crate) enum NoAnswer {
    /// No connection opened, so the upstream was not given the request.
    Unreachable(String),
    /// It broke off; the request may have run.
    Lost(String),
}

/// Sends a request and waits for the head of its answer.
pub(crate) async fn exchange(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, NoAnswer> {
    match client.request(request).await {
        Ok(answer) => Ok(answer),
        // Only a connection that never opened proves that nothing ran.
        Err(error) if error.is_connect() => Err(NoAnswer::Unreachable(error.to_string())),
        Err(error) => Err(NoAnswer::Lost(error.to_string())),
    }
}

/// Reads the body of an answer, unless it is larger than `most_bytes`.
pub(crate) async fn read_body(
    answer: Response<Incoming>,
    most_bytes: usize,
) -> Result<Bytes, NoAnswer> {
    match Limited::new(answer.into_body(), most_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(NoAnswer::Lost(error.to_string())),
    }
}

/// Gives up on an engine after `bound`; `late` says so.
pub(crate) async fn within<T>(
    bound: Duration,
    late: &str,
    waiting: impl Future<Output = Result<T, EngineError>>,
) -> Result<T, EngineError> {
    match timeout(bound, waiting).await {
        Ok(result) => result,
        Err(_) => Err(EngineError::Lost(late.to_string())),
    }
}

impl From<NoAnswer> for EngineError {
    fn from(failure: NoAnswer) -> Self {
        match failure {
            NoAnswer::Unreachable(reason) => Self::Unreachable(reason),
            NoAnswer::Lost(reason) => Self::Lost(reason),
        }
    }
}

impl From<NoAnswer> for PlainError {
    fn from(failure: NoAnswer) -> Self {
        match failure {
            NoAnswer::Unreachable(reason) => Self::Unreachable(reason),
            NoAnswer::Lost(reason) => Self::Lost(reason),
        }
    }
}
