//! A client for the administration API.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::arguments::Arguments;
use crate::error::CtlError;

/// The environment variable for the token.
const TOKEN_VARIABLE: &str = "BILBERRY_TOKEN";

/// A client for the administration API of an entry.
pub(crate) struct Client {
    address: String,
    token: String,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub(crate) fn new(arguments: &Arguments) -> Self {
        let token = arguments.token.clone();
        Self {
            address: arguments.address.clone(),
            token: token
                .or_else(|| std::env::var(TOKEN_VARIABLE).ok())
                .unwrap_or_default(),
            http: HttpClient::builder(TokioExecutor::new()).build_http(),
        }
    }

    pub(crate) async fn get(&self, path: &str) -> Result<Value, CtlError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    pub(crate) async fn post(&self, path: &str, body: &Value) -> Result<Value, CtlError> {
        self.call(Method::POST, path, body.to_string().into()).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Value, CtlError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(body))
            .map_err(|error| CtlError::Usage(error.to_string()))?;
        let sent = self.http.request(request).await;
        let response = sent.map_err(|error| self.unreachable(&error))?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| self.unreachable(&error))?.to_bytes();
        let value: Value = serde_json::from_slice(&body).unwrap_or_default();
        if status.is_success() {
            return Ok(value);
        }
        let field = |name: &str| value["error"][name].as_str().unwrap_or("?").to_string();
        let (code, message) = (field("code"), field("message"));
        Err(CtlError::Refused { status: status.as_u16(), code, message })
    }

    fn unreachable(&self, error: &dyn std::error::Error) -> CtlError {
        let reason = error.to_string();
        CtlError::Unreachable { address: self.address.clone(), reason }
    }
}
