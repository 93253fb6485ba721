//! HTTP client for the platform's object API.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_core::Breaker;
use bilberry_core::Clock;
use bilberry_core::SystemClock;
use bilberry_core::backoff_ms;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use serde::Deserialize;
use tokio::time::timeout;

use crate::HostEntry;
use crate::Listing;
use crate::Object;
use crate::Platform;
use crate::PlatformError;
use crate::connections::Connections;

/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The minimum time for which the circuit breaker stays open.
const MIN_OPEN_MS: u64 = 200;

/// The maximum time for which the circuit breaker stays open.
const MAX_OPEN_MS: u64 = 5_000;

/// An HTTP client with a deadline for each call and one circuit breaker for all.
///
/// It is independent of paths and body formats, so that all dialects of the
/// object API can use it.
#[derive(Debug, Clone)]
pub struct StoreClient {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    connections: Connections,
    address: SocketAddr,
    call_ms: u64,
    max_open_ms: u64,
    health: Mutex<Health>,
}

/// The circuit breaker and the number of consecutive failures.
#[derive(Debug, Default)]
struct Health {
    breaker: Breaker,
    consecutive_failures: u32,
}

impl StoreClient {
    /// Creates a client without opening a connection.
    ///
    /// Calls time out after `call_ms`; the circuit breaker stays open for at most
    /// `max_open_ms`.
    pub fn new(address: SocketAddr, call_ms: u64, max_open_ms: u64) -> Self {
        let connections = Connections::new(address, call_ms, MAX_RESPONSE_BYTES);
        let health = Mutex::new(Health::default());
        let shared = Shared { connections, address, call_ms, max_open_ms, health };
        Self { shared: Arc::new(shared) }
    }

    /// Makes a call whose deadline is extended by `wait_ms` for long polling.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait_ms: u64,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let response = self.exchange(method, path, &[], body, wait_ms).await?;
        Ok((response.status(), response.into_body()))
    }

    /// Makes a call with additional headers and returns the whole response.
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
        let response = match timeout(allowed, sent).await {
            Ok(response) => response,
            Err(_) => Err("the deadline passed".to_string()),
        };
        match response {
            Ok(response) if is_failure(response.status()) => {
                self.record_failure();
                Err(PlatformError::UnknownOutcome(format!(
                    "status {}",
                    response.status()
                )))
            }
            Ok(response) => {
                *self.shared.health.lock().unwrap() = Health::default();
                Ok(response)
            }
            Err(reason) => {
                self.record_failure();
                Err(PlatformError::UnknownOutcome(reason))
            }
        }
    }

    /// Returns whether the last call succeeded.
    pub fn is_up(&self) -> bool {
        self.shared.health.lock().unwrap().consecutive_failures == 0
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
            .uri(path)
            .header(HOST, self.shared.address.to_string());
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        if !body.is_empty() {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        let request = request.body(Full::new(body)).map_err(|error| error.to_string())?;
        self.shared.connections.exchange(request).await
    }

    /// Rejects the call immediately while the circuit breaker is open.
    ///
    /// Otherwise each call during an outage would block until its deadline.
    fn admit(&self) -> Result<(), PlatformError> {
        match self.shared.health.lock().unwrap().breaker.try_acquire(SystemClock.now()) {
            true => Ok(()),
            false => Err(PlatformError::CircuitOpen),
        }
    }

    fn record_failure(&self) {
        let mut health = self.shared.health.lock().unwrap();
        health.consecutive_failures = health.consecutive_failures.saturating_add(1);
        // Jitter prevents synchronized retries by all processes when the platform
        // recovers.
        let unit = rand::random_range(0.5..1.0);
        let max_ms = self.shared.max_open_ms;
        let open_ms = backoff_ms(health.consecutive_failures, MIN_OPEN_MS, max_ms, unit);
        health.breaker.record_failure(SystemClock.now(), open_ms);
    }
}

/// The platform's object API over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    store: StoreClient,
    watch_ms: u64,
}

#[derive(Deserialize)]
struct VersionResponse {
    version: u64,
}

impl HttpPlatform {
    /// Creates an adapter without opening a connection.
    pub fn new(address: SocketAddr, call_ms: u64, watch_ms: u64) -> Self {
        Self { store: StoreClient::new(address, call_ms, MAX_OPEN_MS), watch_ms }
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
            (StatusCode::OK, body) => Ok(decode::<VersionResponse>(&body)?.version),
            (StatusCode::CONFLICT, body) => {
                Err(PlatformError::Conflict(decode::<VersionResponse>(&body)?.version))
            }
            (status, body) => Err(refused(status, &body)),
        }
    }

    async fn delete(&self, key: &str, expected: u64) -> Result<(), PlatformError> {
        let path = format!("/v1/objects/{key}?if_version={expected}");
        match self.store.call(Method::DELETE, &path, Bytes::new(), 0).await? {
            (StatusCode::OK, _) => Ok(()),
            (StatusCode::CONFLICT, body) => {
                Err(PlatformError::Conflict(decode::<VersionResponse>(&body)?.version))
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
    serde_json::from_slice(body).map_err(|error| {
        PlatformError::UnknownOutcome(format!("unreadable response: {error}"))
    })
}

/// Returns whether a status means that the platform is unavailable or overloaded.
fn is_failure(status: StatusCode) -> bool {
    status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS
}

fn refused(status: StatusCode, body: &[u8]) -> PlatformError {
    PlatformError::Rejected(format!("{status}: {}", String::from_utf8_lossy(body)))
}
