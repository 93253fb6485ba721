//! The interface of the sidecar to a plain service, and its HTTP implementation.

use std::future::Future;
use std::net::SocketAddr;

use bilberry_platform::HttpConnection;
use bilberry_platform::SendError;
use bilberry_wire::PlainAnswer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::exchange::read_body;

/// The maximum size of an answer, which must fit into a frame.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// The header for the idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct PlainRequest {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
    /// The caller's idempotency key; empty if there is none.
    pub idempotency_key: String,
}

/// An error of a call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlainError {
    /// The service is unreachable; the call was not sent.
    #[error("the service can't be reached: {0}; check that it runs")]
    Unreachable(String),
    /// The connection failed; the call may have run.
    #[error("the service broke off: {0}; check with it whether the call ran")]
    Lost(String),
}

/// A plain service, which is any HTTP service that is not an engine.
pub trait PlainService: Clone + Send + Sync + 'static {
    /// Makes a call, without retries.
    fn call(
        &self,
        request: PlainRequest,
    ) -> impl Future<Output = Result<PlainAnswer, PlainError>> + Send;
}

/// A plain service over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlainService {
    address: SocketAddr,
}

impl HttpPlainService {
    /// Creates a client; does not connect yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Opens a connection.
    ///
    /// Each call uses a new one and is never retried. If a pooled connection had just been
    /// closed by the service, it would be unknown whether the call ran, and a retry could run
    /// it twice.
    async fn connect(&self) -> Result<HttpConnection<Full<Bytes>>, PlainError> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| PlainError::Unreachable(error.to_string()))?;
        HttpConnection::new(stream)
            .await
            .map_err(|error| PlainError::Unreachable(error.to_string()))
    }
}

impl PlainService for HttpPlainService {
    async fn call(&self, call: PlainRequest) -> Result<PlainAnswer, PlainError> {
        let mut request = Request::builder()
            .method(call.method.as_str())
            .uri(call.path)
            .header(HOST, self.address.to_string());
        if !call.content_type.is_empty() {
            request = request.header(CONTENT_TYPE, call.content_type);
        }
        if !call.idempotency_key.is_empty() {
            request = request.header(IDEMPOTENCY_KEY_HEADER, call.idempotency_key);
        }
        let request = request
            .body(Full::new(call.body))
            .map_err(|error| PlainError::Unreachable(error.to_string()))?;
        let mut connection = self.connect().await?;
        let answer = connection.send(request).await?;
        let status = u32::from(answer.status().as_u16());
        let content_type = answer.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let content_type = content_type.unwrap_or_default().to_string();
        let body = read_body(answer, MAX_ANSWER_BYTES).await?;
        match connection.has_surplus_bytes().await {
            true => Err(PlainError::Lost("bytes follow the answer".to_string())),
            false => Ok(PlainAnswer { status, content_type, body }),
        }
    }
}

impl From<SendError> for PlainError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(reason) => Self::Unreachable(reason),
            SendError::NoResponse(reason) | SendError::InvalidResponse(reason) => {
                Self::Lost(reason)
            }
        }
    }
}
