//! Minimal HTTP client for tests.

use std::sync::LazyLock;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// A fully read HTTP response.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// Parses the body as JSON; returns `Null` if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns a header value, if it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Sends a request and reads the whole response body.
///
/// The error is human-readable text.
pub async fn send(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<Reply, String> {
    let response = open(method, url, headers, body.into()).await?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string())?;
    Ok(Reply {
        status: head.status.as_u16(),
        headers: head.headers,
        body: body.to_bytes(),
    })
}

/// Sends a GET request without credentials.
pub async fn get(url: String) -> Result<Reply, String> {
    send("GET", &url, &[], "").await
}

/// Sends a request and returns once the response head has arrived.
pub(crate) async fn open(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<Response<Incoming>, String> {
    let mut request = Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body)).map_err(|error| error.to_string())?;
    let client = client();
    client.request(request).await.map_err(|error| error.to_string())
}

/// Returns a client without connection reuse.
///
/// Each test has its own Tokio runtime, and a pooled connection would belong to a
/// runtime that has shut down.
fn client() -> Client<HttpConnector, Full<Bytes>> {
    static CLIENT: LazyLock<Client<HttpConnector, Full<Bytes>>> = LazyLock::new(|| {
        Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http()
    });
    CLIENT.clone()
}
