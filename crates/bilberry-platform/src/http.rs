//! The platform over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_core::Breaker;
use bilberry_core::Clock;
use bilberry_core::SystemClock;
use bilberry_core::backoff_ms;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use tokio::time::timeout;

use crate::HostEntry;
use crate::Listing;
use crate::Object;
use crate::Platform;
use crate::PlatformError;

/// The largest answer that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// The shortest time for which the breaker stays open.
const LEAST_OPEN_MS: u64 = 200;

/// The longest time for which the breaker stays open.
const MOST_OPEN_MS: u64 = 5_000;

/// Calls to the platform: each with a deadline, behind one breaker.
///
/// It knows nothing of paths or bodies, so that every dialect of the object API
/// shares it.
#[derive(Debug, Clone)]
pub struct StoreClient {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    call_ms: u64,
    most_open_ms: u64,
    health: Mutex<Health>,
}

/// How the last calls went.
#[derive(Debug, Default)]
struct Health {
    breaker: Breaker,
    failures: u32,
}

impl StoreClient {
    /// Creates a client; no call is made yet.
    ///
    /// A call is given up after `call_ms`; the breaker stays open for at most
    /// `most_open_ms`.
    pub fn new(address: SocketAddr, call_ms: u64, most_open_ms: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(call_ms)));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        let health = Mutex::new(Health::default());
        let shared = Shared { client, address, call_ms, most_open_ms, health };
        Self { shared: Arc::new(shared) }
    }

    /// Makes a call that the platform may hold for `wait_ms` before it answers.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait_ms: u64,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        self.call_with(method, path, &[], body, wait_ms).await
    }

    /// Makes a call with headers of its own.
    pub async fn call_with(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: Bytes,
        wait_ms: u64,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let answer = self.exchange(method, path, headers, body, wait_ms).await?;
        Ok((answer.status(), answer.into_body()))
    }

    /// Makes a call with headers of its own; returns the whole answer.
    pub async fn exchange(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: Bytes,
        wait_ms: u64,
    ) -> Result<Response<Bytes>, PlatformError> {
        self.admit()?;
        let allowed = Duration::from_millis(self.shared.call_ms + wait_ms);
        let sent = self.send(method, path, headers, body);
        let answer = match timeout(allowed, sent).await {
            Ok(answer) => answer,
            Err(_) => Err("the deadline passed".to_string()),
        };
        match answer {
            Ok(answer)
                if answer.status().is_server_error()
                    || answer.status() == StatusCode::TOO_MANY_REQUESTS =>
            {
                self.note_failure();
                Err(PlatformError::Unclear(format!("status {}", answer.status())))
            }
            Ok(answer) => {
                *self.shared.health.lock().unwrap() = Health::default();
                Ok(answer)
            }
            Err(reason) => {
                self.note_failure();
                Err(PlatformError::Unclear(reason))
            }
        }
    }

    /// Reports whether the last call was answered.
    pub fn is_up(&self) -> bool {
        self.shared.health.lock().unwrap().failures == 0
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: Bytes,
    ) -> Result<Response<Bytes>, String> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.shared.address));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        if !body.is_empty() {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        let request = request.body(Full::new(body)).map_err(|error| error.to_string())?;
        let sent = self.shared.client.request(request).await;
        let answer = sent.map_err(|error| error.to_string())?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| error.to_string())?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    /// Refuses a call at once while the platform is known to be down.
    ///
    /// Without it every caller of an outage would hang for its whole deadline.
    fn admit(&self) -> Result<(), PlatformError> {
        match self.shared.health.lock().unwrap().breaker.admit(SystemClock.now()) {
            true => Ok(()),
            false => Err(PlatformError::Open),
        }
    }

    fn note_failure(&self) {
        let mut health = self.shared.health.lock().unwrap();
        health.failures = health.failures.saturating_add(1);
        // Jitter keeps a fleet from knocking in step when the platform returns.
        let unit = rand::random_range(0.5..1.0);
        let most_ms = self.shared.most_open_ms;
        let open_ms = backoff_ms(health.failures, LEAST_OPEN_MS, most_ms, unit);
        health.breaker.fail(SystemClock.now().plus_ms(open_ms));
    }
}

/// The platform's object API over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    store: StoreClient,
    watch_ms: u64,
}

#[derive(Deserialize)]
struct VersionAnswer {
    version: u64,
}

impl HttpPlatform {
    /// Creates an adapter; no call is made yet.
    pub fn new(address: SocketAddr, call_ms: u64, watch_ms: u64) -> Self {
        Self { store: StoreClient::new(address, call_ms, MOST_OPEN_MS), watch_ms }
    }
}

impl Platform for HttpPlatform {
    async fn read(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let path = format!("/v1/objects/{key}");
        match self.store.call(Method::GET, &path, Bytes::new(), 0).await? {
            (StatusCode::OK, body) => decode(&body).map(Some),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, body) => Err(refused(status, &body)),
        }
    }

    async fn write(
        &self,
        key: &str,
        value: &str,
        expected: u64,
    ) -> Result<u64, PlatformError> {
        let path = format!("/v1/objects/{key}?if_version={expected}");
        let body = Bytes::copy_from_slice(value.as_bytes());
        match self.store.call(Method::PUT, &path, body, 0).await? {
            (StatusCode::OK, body) => Ok(decode::<VersionAnswer>(&body)?.version),
            (StatusCode::CONFLICT, body) => {
                Err(PlatformError::Conflict(decode::<VersionAnswer>(&body)?.version))
            }
            (status, body) => Err(refused(status, &body)),
        }
    }

    async fn delete(&self, key: &str, expected: u64) -> Result<(), PlatformError> {
        let path = format!("/v1/objects/{key}?if_version={expected}");
        match self.store.call(Method::DELETE, &path, Bytes::new(), 0).await? {
            (StatusCode::OK, _) => Ok(()),
            (StatusCode::CONFLICT, body) => {
                Err(PlatformError::Conflict(decode::<VersionAnswer>(&body)?.version))
            }
            (status, body) => Err(refused(status, &body)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let path = format!("/v1/list?prefix={prefix}");
        match self.store.call(Method::GET, &path, Bytes::new(), 0).await? {
            (StatusCode::OK, body) => decode(&body),
            (status, body) => Err(refused(status, &body)),
        }
    }

    async fn watch(&self, prefix: &str, position: u64) -> Result<Listing, PlatformError> {
        let wait_ms = self.watch_ms;
        let path =
            format!("/v1/watch?prefix={prefix}&after={position}&wait_ms={wait_ms}");
        match self.store.call(Method::GET, &path, Bytes::new(), wait_ms).await? {
            (StatusCode::OK, body) => decode(&body),
            (status, body) => Err(refused(status, &body)),
        }
    }

    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        match self.store.call(Method::GET, "/v1/hosts", Bytes::new(), 0).await? {
            (StatusCode::OK, body) => decode(&body),
            (status, body) => Err(refused(status, &body)),
        }
    }

    fn is_up(&self) -> bool {
        self.store.is_up()
    }
}

fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body)
        .map_err(|error| PlatformError::Unclear(format!("unreadable answer: {error}")))
}

fn refused(status: StatusCode, body: &[u8]) -> PlatformError {
    PlatformError::Refused(format!("{status}: {}", String::from_utf8_lossy(body)))
}
