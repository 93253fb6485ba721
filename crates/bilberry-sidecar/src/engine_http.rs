//! A client for engines with an OpenAI-compatible HTTP API.

mod events;
mod stream;

use std::net::SocketAddr;
use std::time::Duration;

use bilberry_core::Fingerprint;
use bilberry_platform::FramedBody;
use bilberry_platform::MAX_READ_BYTES;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use self::events::HttpEvents;
use self::stream::HttpStream;
use crate::Engine;
use crate::EngineCall;
use crate::EngineError;
use crate::EngineInfo;
use crate::Snapshot;
use crate::connector::LimitedConnector;
use crate::exchange::HttpClient;
use crate::exchange::exchange;
use crate::exchange::read_body;
use crate::exchange::with_timeout;

/// The response header with the engine's incarnation.
const INCARNATION_HEADER: &str = "x-engine-incarnation";

/// The response header with the engine's weights.
const WEIGHTS_HEADER: &str = "x-engine-weights";

/// The timeout of requests other than completions and load orders.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The error message for a timeout.
const TIMEOUT_MESSAGE: &str = "no answer in time";

/// The timeout of an order to load weights.
const LOAD_TIMEOUT: Duration = Duration::from_millis(30_000);

/// The maximum size of a response that is not streamed, sufficient for a snapshot.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// A client for an engine over HTTP.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    client: HttpClient,
    address: SocketAddr,
}

/// The fields that the sidecar adds to the caller's request.
#[derive(Serialize)]
struct AddedFields<'a> {
    stream: bool,
    stream_options: StreamOptions,
    cache_salt: &'a str,
    priority: u32,
    #[serde(skip_serializing_if = "str::is_empty")]
    resume_text: &'a str,
}

#[derive(Serialize)]
struct StreamOptions {
    include_usage: bool,
}

#[derive(Serialize)]
struct LoadOrder<'a> {
    weights: &'a str,
    fencing: u64,
}

#[derive(Deserialize)]
struct InfoResponse {
    incarnation: u64,
    weights: String,
    max_running: usize,
}

#[derive(Deserialize)]
struct SnapshotResponse {
    incarnation: u64,
    next_sequence: u64,
    blocks: Vec<u64>,
}

impl HttpEngine {
    /// Creates a client; does not connect yet.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .http1_max_buf_size(MAX_READ_BYTES)
            .build(LimitedConnector::default());
        Self { client, address }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<FramedBody>, EngineError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| EngineError::Lost(error.to_string()))?;
        let answer = exchange(&self.client, request).await?;
        match answer.status() {
            status if status.is_success() => Ok(answer),
            status => {
                let message = read_text(answer).await.unwrap_or_default();
                Err(EngineError::Refused { status: status.as_u16(), message })
            }
        }
    }

    async fn query<T: DeserializeOwned>(&self, path: &str) -> Result<T, EngineError> {
        let query = async {
            let answer = self.send(Method::GET, path, Bytes::new()).await?;
            let text = read_text(answer).await?;
            serde_json::from_str(&text).map_err(|e| EngineError::Lost(e.to_string()))
        };
        with_timeout(QUERY_TIMEOUT, TIMEOUT_MESSAGE, query).await
    }
}

impl Engine for HttpEngine {
    type Stream = HttpStream;
    type Events = HttpEvents;

    async fn run(&self, call: EngineCall) -> Result<HttpStream, EngineError> {
        let body = add_fields(&call);
        let answer = self.send(Method::POST, &call.path, body).await?;
        let info = info_from_headers(answer.headers());
        Ok(HttpStream::new(info, answer.into_body()))
    }

    async fn info(&self) -> Result<EngineInfo, EngineError> {
        let answer: InfoResponse = self.query("/v1/engine").await?;
        Ok(EngineInfo {
            incarnation: answer.incarnation,
            weights: answer.weights,
            max_running: answer.max_running,
        })
    }

    async fn events(&self) -> Result<HttpEvents, EngineError> {
        let sending = self.send(Method::GET, "/v1/cache/events", Bytes::new());
        let answer = with_timeout(QUERY_TIMEOUT, TIMEOUT_MESSAGE, sending).await?;
        Ok(HttpEvents::new(answer.into_body()))
    }

    async fn snapshot(&self) -> Result<Snapshot, EngineError> {
        let answer: SnapshotResponse = self.query("/v1/cache/blocks").await?;
        Ok(Snapshot {
            incarnation: answer.incarnation,
            next_sequence: answer.next_sequence,
            blocks: answer.blocks.into_iter().map(|b| b as Fingerprint).collect(),
        })
    }

    async fn load_weights(&self, weights: &str, fencing: u64) -> Result<(), EngineError> {
        let order = serde_json::to_vec(&LoadOrder { weights, fencing });
        let order = Bytes::from(order.unwrap_or_default());
        let sending = async {
            let answer = self.send(Method::POST, "/v1/orders/load", order).await?;
            read_text(answer).await
        };
        with_timeout(LOAD_TIMEOUT, TIMEOUT_MESSAGE, sending).await.map(|_| ())
    }
}

/// Adds the sidecar's fields to the caller's JSON object.
///
/// The entry removes fields with these names from requests, so that callers cannot
/// choose a salt and thus access cached blocks of other customers.
fn add_fields(call: &EngineCall) -> Bytes {
    let added = AddedFields {
        stream: true,
        stream_options: StreamOptions { include_usage: true },
        cache_salt: &call.cache_salt,
        priority: call.priority,
        resume_text: &call.resume_text,
    };
    let added = serde_json::to_vec(&added).unwrap_or_default();
    let own = call.body.strip_suffix(b"}").unwrap_or(&call.body);
    let mut body = BytesMut::with_capacity(own.len() + added.len());
    body.extend_from_slice(own);
    if own != b"{" {
        body.extend_from_slice(b",");
    }
    body.extend_from_slice(&added[1..]);
    body.freeze()
}

fn info_from_headers(headers: &HeaderMap) -> EngineInfo {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    EngineInfo {
        incarnation: text(INCARNATION_HEADER).and_then(|t| t.parse().ok()).unwrap_or(0),
        weights: text(WEIGHTS_HEADER).unwrap_or_default().to_string(),
        max_running: 0,
    }
}

async fn read_text(answer: Response<FramedBody>) -> Result<String, EngineError> {
    let body = read_body(answer, MAX_RESPONSE_BYTES).await?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}
