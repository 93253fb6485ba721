//! HTTP requests to upstreams, and the classification of their failures.

use std::time::Duration;

use bilberry_platform::FramedBody;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper_util::client::legacy::Client;
use tokio::time::timeout;

use crate::EngineError;
use crate::PlainError;
use crate::connector::LimitedConnector;
use crate::connector::end_head;

/// A client for requests with complete bodies.
pub(crate) type HttpClient = Client<LimitedConnector, Full<Bytes>>;

/// The reason why a request got no response.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// No connection was established, so the request was not sent.
    Unreachable(String),
    /// The connection failed; the request may have run.
    Lost(String),
}

/// Sends a request and waits for the head of the response.
pub(crate) async fn exchange(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
) -> Result<Response<FramedBody>, ExchangeError> {
    let method = request.method().clone();
    match client.request(request).await {
        Ok(response) => {
            end_head(&response);
            FramedBody::check(&method, response)
                .map_err(|error| ExchangeError::Lost(error.to_string()))
        }
        // Only if no connection was established is it certain that the request did not
        // run.
        Err(error) if error.is_connect() => {
            Err(ExchangeError::Unreachable(error.to_string()))
        }
        Err(error) => Err(ExchangeError::Lost(error.to_string())),
    }
}

/// The reason for a response that ends with its connection, as one does that is cut off by a
/// crash.
const UNDELIMITED: &str =
    "the response has neither a length nor chunks; have the server send one of them";

/// Reads the body of a response of at most `max_bytes`.
pub(crate) async fn read_body(
    response: Response<FramedBody>,
    max_bytes: usize,
) -> Result<Bytes, ExchangeError> {
    if !response.body().framing().is_delimited() {
        return Err(ExchangeError::Lost(UNDELIMITED.to_string()));
    }
    match Limited::new(response.into_body(), max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(ExchangeError::Lost(error.to_string())),
    }
}

/// Applies a timeout to an operation of an engine; `message` describes the timeout.
pub(crate) async fn with_timeout<T>(
    duration: Duration,
    message: &str,
    operation: impl Future<Output = Result<T, EngineError>>,
) -> Result<T, EngineError> {
    match timeout(duration, operation).await {
        Ok(result) => result,
        Err(_) => Err(EngineError::Lost(message.to_string())),
    }
}

impl From<ExchangeError> for EngineError {
    fn from(failure: ExchangeError) -> Self {
        match failure {
            ExchangeError::Unreachable(reason) => Self::Unreachable(reason),
            ExchangeError::Lost(reason) => Self::Lost(reason),
        }
    }
}

impl From<ExchangeError> for PlainError {
    fn from(failure: ExchangeError) -> Self {
        match failure {
            ExchangeError::Unreachable(reason) => Self::Unreachable(reason),
            ExchangeError::Lost(reason) => Self::Lost(reason),
        }
    }
}
